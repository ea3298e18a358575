"""Limits and verdicts among real fronts on loopback, measured: not run by CI; one command repeats it.

For each fault of `tests/test_limits_fronts.py`, and for none: what a cold stand-in cache gets from three
real fronts in any window of 3 s, as a part of its limit; with the limit shared out and in equal parts, in
turns. And verdicts: how long after the prober ruled each other front heard it, by the fronts' own logs.

And relays out at one cache at once, and further relays in a second, under a cap for the fleet: the most and
the mean by the cap, with it shared out and in equal parts (no front reaches the service).

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

FAULTS = {
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
RULED = re.compile(
    r"(\d\d:\d\d:\d\d\.\d{3}) \S+ fleet: (\S+) (?:is ruled|heard) (\w+) \(token (\d+), ruling (\d+)\)"
)


async def limits(rounds: int, only: str) -> None:
    """Play each fault in both ways, in turns; `only`: those whose name holds it."""
    print("fault | way | most in a window, by the limit | used after 4 s, mean")
    for name, (rate, fault) in FAULTS.items():
        for _ in range(rounds if only in name else 0):
            # Without sharing no fault on the service's side reaches a front: nothing to set beside it.
            for way in ("shared", "equal parts") if fault is played.nothing else ("shared",):
                here = await played.play(way == "shared", rate, 10.0, fault)
                used = [share for at, share in here.used() if at > 4.0]
                print(f"{name} | {way} | {over_limit(here):.2f} | {fmean(used or [0.0]):.2f}", flush=True)


async def links_cut_from_the_start(here: Fronts) -> None:
    """Nobody reaches the service: each front has its equal part."""
    for link in here.links:
        await link.set_cut()


RELAYS = {
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


async def relays(rounds: int, only: str) -> None:
    """Play each fault with the cap shared out, and, where there is none, in equal parts, in turns."""
    print("fault | way | most out at a cache, by the cap | mean from 5 s on, by the cap | relays a second")
    for name, (turn, fault) in RELAYS.items():
        for _ in range(rounds if only in name else 0):
            ways = {"shared": fault}
            if fault is played.nothing:
                ways["equal parts"] = links_cut_from_the_start
            for way, thrown in ways.items():
                here = await capped.play(capped.CAP, thrown, 10.0, turn)
                late = [out for at, _, out in here.caches.levels if at - here.cold_at >= 5.0]
                most, mean = capped.most(here) / capped.CAP, fmean(late or [0.0]) / capped.CAP
                print(f"{name} | {way} | {most:.2f} | {mean:.2f} | {len(late) / 5.0:.0f}", flush=True)


RETRIES = {
    "one front hot": played.nothing,
    "coordinator killed": played.coordinator_killed,
    "coordinator paused, wakes late": played.coordinator_paused,
    "the hot front's link cut": played.hot_link_cut,
    "all links cut for 3 grants": played.all_links_cut,
    "service frozen 2 s": played.service_frozen,
    "service split in two": played.service_split,
}


async def retries(rounds: int, only: str) -> None:
    """The same of further relays in an outage: one front has nearly all that is asked."""
    print("fault | way | most further relays in a second, by what the fleet may | mean from 5 s on")
    for name, fault in RETRIES.items():
        for _ in range(rounds if only in name else 0):
            ways = {"shared": fault}
            if fault is played.nothing:
                ways["equal parts"] = links_cut_from_the_start
            for way, thrown in ways.items():
                counts = allowed.further(await allowed.play(allowed.ALLOWED, thrown, 10.0))
                late = [count for at, count in counts if at >= 5.0]
                most = max((count for _, count in counts), default=0) / allowed.ALLOWED
                mean = fmean(late or [0.0]) / allowed.ALLOWED
                print(f"{name} | {way} | {most:.2f} | {mean:.2f}", flush=True)


def rulings(text: str, word: str) -> dict[tuple[str, str, str], float]:
    """Read when (s of the day) each ruling of a log was made, or heard."""
    found: dict[tuple[str, str, str], float] = {}
    for line in text.splitlines():
        match = RULED.search(line)
        if match and word in line:
            at = datetime.strptime(match[1], "%H:%M:%S.%f")
            seconds = at.hour * 3600.0 + at.minute * 60.0 + at.second + at.microsecond / 1e6
            found.setdefault((match[2], match[4], match[5]), seconds)
    return found


async def verdicts(count: int) -> None:
    """Have a cache fall silent and come back, and read how late each other front heard each ruling."""
    late: list[float] = []
    async with fronts(4, ("cache-2", "cache-3")) as here:
        prober = await here.probing()

        def said() -> int:
            return here.worlds[prober].output.count(b"is ruled")

        with anyio.move_on_after(60):
            while said() < count:
                here.caches.silent.symmetric_difference_update({1})
                before = said()
                while said() == before:
                    await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        made = rulings(here.worlds[prober].output.decode(), "ruled")
        for place, front in enumerate(here.worlds):
            if place != prober:
                heard = rulings(front.output.decode(), "heard")
                late += [heard[key] - at for key, at in made.items() if key in heard]
    late.sort()
    ninetyninth = late[min(int(0.99 * len(late)), len(late) - 1)]
    print(f"verdicts: {len(late)} heard, median {1000 * median(late):.0f} ms after the prober", end=", ")
    print(f"99th {1000 * ninetyninth:.0f} ms, most {1000 * late[-1]:.0f} ms")


async def main(words: argparse.Namespace) -> None:
    """Measure both."""
    if words.rulings:
        await verdicts(words.rulings)
    await limits(words.rounds, words.only)
    await relays(words.relays, words.only)
    await retries(words.retries, words.only)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--rulings", type=int, default=12)
    parser.add_argument("--relays", type=int, default=0, help="rounds of relays out under a cap")
    parser.add_argument("--retries", type=int, default=0, help="rounds of further relays in an outage")
    parser.add_argument("--only", default="", help="play the faults whose name holds this")
    anyio.run(main, parser.parse_args(), backend="asyncio")
