"""Measures ownership on loopback: failover after SIGKILL, refusal of late effects, load on the service.

Real processes: the simulated etcd, agent fronts (`cometseam.coordination.agent`), a fenced target, a proxy.
Not run by CI:

    python -m bench.ownership --kills 24 --late 10 --calm 10
"""

import argparse
import json
import os
import signal
import statistics

import anyio

from tests.standins.fleet import TTL_MS, Fleet, first_owner, fleet, late_owner, newer, owner_now


async def measure_failover(kills: int, extra: tuple[str, ...] = ()) -> list[float]:
    """Return the seconds from an owner's SIGKILL to its successor's first effect; 3 kills per fleet of 4."""
    durations: list[float] = []
    while len(durations) < kills:
        async with fleet(4, extra=extra) as test_fleet:
            owner = await first_owner(test_fleet)
            for _ in range(min(3, kills - len(durations))):
                test_fleet.fronts[owner.name].kill()
                killed_at = anyio.current_time()
                await test_fleet.target.wait_for(newer(owner.token), 10)
                durations.append(anyio.current_time() - killed_at)
                successor = owner_now(test_fleet.target.history)
                assert successor is not None
                owner = successor
    return durations


async def play_late_owners(runs: int) -> tuple[int, int]:
    """Play a late owner `runs` times with fencing; return the late effects that arrived and those refused."""
    arrived = refused = 0
    for _ in range(runs):
        result = await late_owner(True)
        assert result.anomalies == []
        arrived += result.arrived
        refused += result.refused
    return arrived, refused


async def stop_and_count_calls(test_fleet: Fleet) -> dict[str, int]:
    """Stop the simulated etcd and return the number of calls that it received, by method."""
    os.kill(test_fleet.etcd.pid, signal.SIGTERM)
    assert test_fleet.etcd.stdout is not None
    output = b""
    with anyio.fail_after(10):
        async for chunk in test_fleet.etcd.stdout:
            output += chunk
            if b"calls " in output and output.endswith(b"\n"):
                break
    calls: dict[str, int] = json.loads(output.split(b"calls ", 1)[1].decode())
    return calls


async def measure_load(seconds: float, fronts: int, extra: tuple[str, ...] = ()) -> dict[str, float]:
    """Return the calls per front and second in a fleet without faults, by method."""
    async with fleet(fronts, extra=extra) as test_fleet:
        await first_owner(test_fleet)
        await anyio.sleep(seconds)
        calls = await stop_and_count_calls(test_fleet)
    return {name: count / fronts / seconds for name, count in calls.items()}


async def main(arguments: argparse.Namespace) -> None:
    # The baseline (every candidate campaigns without reading the key first) alternates with reading it.
    variants = {"campaign in full": ("--no-look",), "read the key first": ()}
    durations: dict[str, list[float]] = {variant: [] for variant in variants}
    calls_by_variant: dict[str, dict[str, float]] = {variant: {} for variant in variants}
    for _ in range(2):
        for variant, extra in variants.items():
            durations[variant] += await measure_failover(arguments.kills // 2, extra)
            for name, value in (await measure_load(arguments.calm / 2, 3, extra)).items():
                calls_by_variant[variant][name] = calls_by_variant[variant].get(name, 0.0) + value / 2
    for variant in variants:
        times = sorted(durations[variant])
        p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
        median = statistics.median(times)
        print(f"{variant}: failover after SIGKILL, {len(times)} kills, TTL {TTL_MS:g} ms:")
        print(f"  median {median:.2f} s, 99th {p99:.2f} s, most {times[-1]:.2f} s")
        print(f"  median / TTL {median * 1000 / TTL_MS:.2f}, 99th / TTL {p99 * 1000 / TTL_MS:.2f}")
        calls = calls_by_variant[variant]
        parts = ", ".join(f"{name} {value:.1f}" for name, value in sorted(calls.items()))
        total = sum(calls.values())
        print(f"  calls on the service a front a second, 3 fronts, {arguments.calm:g} s calm: {total:.1f}")
        print(f"  ({parts})")
    ratio = sum(calls_by_variant["read the key first"].values()) / sum(
        calls_by_variant["campaign in full"].values()
    )
    print(f"calls a front a second, reading first against in full: {ratio:.2f}")
    arrived, refused = await play_late_owners(arguments.late)
    print(f"late owners, {arguments.late} plays: {arrived} late effects arrived, {refused} refused")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=24)
    parser.add_argument("--late", type=int, default=10)
    parser.add_argument("--calm", type=float, default=10.0)
    anyio.run(main, parser.parse_args(), backend="asyncio")
