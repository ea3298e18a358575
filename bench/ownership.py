"""Ownership on loopback, measured: failover after SIGKILL, late effects refused, load on the service.

Real processes: the etcd stand-in, agent fronts (`cometseam.coordination.agent`), a fenced target, our proxy.
Not run by CI; one command repeats it:

    python -m bench.ownership --kills 24 --late 10 --calm 10
"""

import argparse
import json
import os
import signal
import statistics

import anyio

from tests.standins.fleet import TTL_MS, Fleet, first_owner, fleet, late_owner, newer, owner_now


async def failover(kills: int, extra: tuple[str, ...] = ()) -> list[float]:
    """Seconds from an owner's SIGKILL to its successor's first effect let through; 3 kills a fleet of 4."""
    took: list[float] = []
    while len(took) < kills:
        async with fleet(4, extra=extra) as here:
            owner = await first_owner(here)
            for _ in range(min(3, kills - len(took))):
                here.fronts[owner.name].kill()
                killed = anyio.current_time()
                await here.target.wait_for(newer(owner.token), 10)
                took.append(anyio.current_time() - killed)
                after = owner_now(here.target.history)
                assert after is not None
                owner = after
    return took


async def late(runs: int) -> tuple[int, int]:
    """Late owners played `runs` times with the fence on: late effects that arrived, and of them refused."""
    arrived = refused = 0
    for _ in range(runs):
        played = await late_owner(True)
        assert played.anomalies == []
        arrived += played.arrived
        refused += played.refused
    return arrived, refused


async def counted(here: Fleet) -> dict[str, int]:
    """End the stand-in and return the calls that it had, by method."""
    os.kill(here.etcd.pid, signal.SIGTERM)
    assert here.etcd.stdout is not None
    text = b""
    with anyio.fail_after(10):
        async for chunk in here.etcd.stdout:
            text += chunk
            if b"calls " in text and text.endswith(b"\n"):
                break
    told: dict[str, int] = json.loads(text.split(b"calls ", 1)[1].decode())
    return told


async def load(seconds: float, fronts: int, extra: tuple[str, ...] = ()) -> dict[str, float]:
    """Calls on the service per front per second in a calm fleet, by method, as the stand-in counted them."""
    async with fleet(fronts, extra=extra) as here:
        await first_owner(here)
        await anyio.sleep(seconds)
        calls = await counted(here)
    return {name: count / fronts / seconds for name, count in calls.items()}


async def main(words: argparse.Namespace) -> None:
    # The baseline (every candidate campaigns in full) and the reading candidate alternate in one run.
    ways = {"campaign in full": ("--no-look",), "read the key first": ()}
    took: dict[str, list[float]] = {way: [] for way in ways}
    per: dict[str, dict[str, float]] = {way: {} for way in ways}
    for _ in range(2):
        for way, extra in ways.items():
            took[way] += await failover(words.kills // 2, extra)
            for name, value in (await load(words.calm / 2, 3, extra)).items():
                per[way][name] = per[way].get(name, 0.0) + value / 2
    for way in ways:
        times = sorted(took[way])
        p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
        median = statistics.median(times)
        print(f"{way}: failover after SIGKILL, {len(times)} kills, TTL {TTL_MS:g} ms:")
        print(f"  median {median:.2f} s, 99th {p99:.2f} s, most {times[-1]:.2f} s")
        print(f"  median / TTL {median * 1000 / TTL_MS:.2f}, 99th / TTL {p99 * 1000 / TTL_MS:.2f}")
        calls = per[way]
        parts = ", ".join(f"{name} {value:.1f}" for name, value in sorted(calls.items()))
        total = sum(calls.values())
        print(f"  calls on the service a front a second, 3 fronts, {words.calm:g} s calm: {total:.1f}")
        print(f"  ({parts})")
    ratio = sum(per["read the key first"].values()) / sum(per["campaign in full"].values())
    print(f"calls a front a second, reading first against in full: {ratio:.2f}")
    arrived, refused = await late(words.late)
    print(f"late owners, {words.late} plays: {arrived} late effects arrived, {refused} refused")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=24)
    parser.add_argument("--late", type=int, default=10)
    parser.add_argument("--calm", type=float, default=10.0)
    anyio.run(main, parser.parse_args(), backend="asyncio")
