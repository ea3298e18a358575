"""Measures shared limits and verdicts among real fronts on loopback. Not run by CI.

For each fault of `tests/test_limits_fronts.py`, and for none: the relays of three real fronts to a cold
simulated cache in any window of 3 s, relative to its limit, with the limit allocated by demand (shared) and
in equal parts, in turns. Verdicts: the time from the prober's verdict until each other front received it,
by the fronts' logs.

Also relays in flight at one cache, and further relays per second, under a cap for the fleet: maximum and
mean relative to the cap, allocated by demand and in equal parts (where no front reaches the service).

    python -m bench.limits --rounds 2 --rulings 12
    python -m bench.limits --rounds 0 --rulings 0 --relays 1 --retries 1
"""

import argparse
import re
from datetime import datetime
from statistics import fmean, median

import anyio

from tests import test_limits_fronts as played
from tests import test_relays_fronts as capped
from tests import test_retries_fronts as allowed
from tests.standins.fronts import Fronts, fronts, over_limit

LIMIT_CASES = {
    "none, one front hot": (played.one_hot, played.nothing),
    "demand moves each second": (played.moving, played.nothing),
    "coordinator killed": (played.moving, played.coordinator_killed),
    "coordinator paused, wakes late": (played.moving, played.coordinator_paused),
    "the hot front's link cut": (played.one_hot, played.hot_link_cut),
    "all links cut for 3 grants": (played.moving, played.all_links_cut),
    "service frozen 2 s": (played.moving, played.service_frozen),
    "service split in two": (played.moving, played.service_split),
    "two of three fronts restarted": (played.moving, played.most_restarted),
}
VERDICT_LINE = re.compile(
    r"(\d\d:\d\d:\d\d\.\d{3}) \S+ fleet: (\S+) (?:is ruled|heard) (\w+) \(token (\d+), ruling (\d+)\)"
)


async def measure_limits(rounds: int, only: str) -> None:
    """Run each case with both allocations, in turns; `only` selects the cases whose name contains it."""
    print("fault | allocation | max in a window, by the limit | used after 4 s, mean")
    for name, (rate, fault) in LIMIT_CASES.items():
        for _ in range(rounds if only in name else 0):
            # Without sharing, faults of the service do not reach a front: there is nothing to compare.
            for variant in ("shared", "equal parts") if fault is played.nothing else ("shared",):
                run = await played.play(variant == "shared", rate, 10.0, fault)
                used = [share for at, share in run.used() if at > 4.0]
                print(f"{name} | {variant} | {over_limit(run):.2f} | {fmean(used or [0.0]):.2f}", flush=True)


async def cut_all_links(running_fronts: Fronts) -> None:
    """Cut all fronts off from the service, so that each has an equal part."""
    for link in running_fronts.links:
        await link.set_cut()


RELAY_CASES = {
    "one front hot": (0.0, played.nothing),
    "demand moves every 2 s": (2.0, played.nothing),
    "coordinator killed": (2.0, played.coordinator_killed),
    "coordinator paused, wakes late": (2.0, played.coordinator_paused),
    "the hot front's link cut": (0.0, played.hot_link_cut),
    "all links cut for 3 grants": (2.0, played.all_links_cut),
    "service frozen 2 s": (2.0, played.service_frozen),
    "service split in two": (2.0, played.service_split),
    "two of three fronts restarted": (2.0, played.restarted),
}


async def measure_relays(rounds: int, only: str) -> None:
    """Run each case with the cap shared, and the case without fault also in equal parts, in turns."""
    print("fault | allocation | max in flight at a cache, by the cap | mean from 5 s on | relays a second")
    for name, (demand_period, fault) in RELAY_CASES.items():
        for _ in range(rounds if only in name else 0):
            variants = {"shared": fault}
            if fault is played.nothing:
                variants["equal parts"] = cut_all_links
            for variant, variant_fault in variants.items():
                run = await capped.play(capped.CAP, variant_fault, 10.0, demand_period)
                settled = [out for at, _, out in run.caches.levels if at - run.cold_at >= 5.0]
                max_ratio, mean_ratio = capped.most(run) / capped.CAP, fmean(settled or [0.0]) / capped.CAP
                print(
                    f"{name} | {variant} | {max_ratio:.2f} | {mean_ratio:.2f} | {len(settled) / 5.0:.0f}",
                    flush=True,
                )


RETRY_CASES = {
    "one front hot": played.nothing,
    "coordinator killed": played.coordinator_killed,
    "coordinator paused, wakes late": played.coordinator_paused,
    "the hot front's link cut": played.hot_link_cut,
    "all links cut for 3 grants": played.all_links_cut,
    "service frozen 2 s": played.service_frozen,
    "service split in two": played.service_split,
}


async def measure_retries(rounds: int, only: str) -> None:
    """Do the same for further relays during an outage, with nearly all demand at one front."""
    print("fault | allocation | max further relays in a second, by the fleet's limit | mean from 5 s on")
    for name, fault in RETRY_CASES.items():
        for _ in range(rounds if only in name else 0):
            variants = {"shared": fault}
            if fault is played.nothing:
                variants["equal parts"] = cut_all_links
            for variant, variant_fault in variants.items():
                counts = allowed.further(await allowed.play(allowed.ALLOWED, variant_fault, 10.0))
                settled = [count for at, count in counts if at >= 5.0]
                max_ratio = max((count for _, count in counts), default=0) / allowed.ALLOWED
                mean_ratio = fmean(settled or [0.0]) / allowed.ALLOWED
                print(f"{name} | {variant} | {max_ratio:.2f} | {mean_ratio:.2f}", flush=True)


def verdict_times(text: str, marker: str) -> dict[tuple[str, str, str], float]:
    """Return the time (s of the day) of each verdict in a log, of the lines that contain `marker`."""
    times: dict[tuple[str, str, str], float] = {}
    for line in text.splitlines():
        match = VERDICT_LINE.search(line)
        if match and marker in line:
            at = datetime.strptime(match[1], "%H:%M:%S.%f")
            seconds = at.hour * 3600.0 + at.minute * 60.0 + at.second + at.microsecond / 1e6
            times.setdefault((match[2], match[4], match[5]), seconds)
    return times


async def measure_verdicts(count: int) -> None:
    """Make a cache stop answering and resume, and print how late other fronts received each verdict."""
    delays: list[float] = []
    async with fronts(4, ("cache-2", "cache-3")) as run:
        prober = await run.wait_for_owner()

        def published_count() -> int:
            return run.testbeds[prober].output.count(b"is ruled")

        with anyio.move_on_after(60):
            while published_count() < count:
                run.caches.silent.symmetric_difference_update({1})
                count_before = published_count()
                while published_count() == count_before:
                    await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        published = verdict_times(run.testbeds[prober].output.decode(), "ruled")
        for front_index, front in enumerate(run.testbeds):
            if front_index != prober:
                received = verdict_times(front.output.decode(), "heard")
                delays += [received[key] - at for key, at in published.items() if key in received]
    delays.sort()
    percentile_99 = delays[min(int(0.99 * len(delays)), len(delays) - 1)]
    print(f"verdicts: {len(delays)} heard, median {1000 * median(delays):.0f} ms after the prober", end=", ")
    print(f"99th {1000 * percentile_99:.0f} ms, most {1000 * delays[-1]:.0f} ms")


async def main(arguments: argparse.Namespace) -> None:
    """Run all measurements asked for."""
    if arguments.rulings:
        await measure_verdicts(arguments.rulings)
    await measure_limits(arguments.rounds, arguments.only)
    await measure_relays(arguments.relays, arguments.only)
    await measure_retries(arguments.retries, arguments.only)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--rulings", type=int, default=12)
    parser.add_argument("--relays", type=int, default=0, help="rounds of relays in flight under a cap")
    parser.add_argument("--retries", type=int, default=0, help="rounds of further relays in an outage")
    parser.add_argument("--only", default="", help="run the cases whose name contains this")
    anyio.run(main, parser.parse_args(), backend="asyncio")
