"""What a cold cache gets from two hundred fronts in virtual time, its limit shared out or in equal parts.

The module as it ships in every front (`bench.fleet_model`'s fleet), `FrontShares` and `Coordinator` between
them with everything late by `--lag` ms on average. A cache starts anew, cold; some fronts ask a lot, most
little; seven seconds on, seven in ten fronts are killed at once and start anew (the herd of the fleet's
days), the coordinator among them. Counted: relays to the cold cache in any window, as a part of its limit.
Both ways in one run, the same seed and pulls:

    python -m bench.limits_model --fronts 200 --seconds 24 --seeds 3
"""

import argparse
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from statistics import fmean

from bench.cpu import settings
from bench.fleet_model import Fleet
from cometseam import interface as i
from cometseam.limits import CapacityGrant, Coordinator, FrontShares, SharingTerms
from cometseam.logic import Front
from cometseam.routing import capacity_demand
from cometseam.timing import CapacityShare

COLD = 1000  # the cache that starts anew
SENDING = 300.0  # ms of each pull: the workload's mean from the start, so that all count alike
ANEW, HERD, LEASE = 2_000.0, 9_000.0, 3_000.0  # ms: when the cache starts, the herd; without a coordinator
WARMS = 25_000.0  # ms that the cache is cold
NAME, WEIGHT, CACHES = "cold", 400.0, 4


@dataclass
class Seen:
    """When relays reached the cold cache, and the limit in relays a window at that time."""

    at: list[tuple[float, float]] = field(default_factory=list)


class Counting(Fleet):
    """A fleet that writes down what reaches the cold cache."""

    seen_cold: Seen

    def _relay(self, front: int, relay: i.Relay) -> None:
        if relay.cache == COLD:
            module = self.fronts[front]
            server = module.servers[COLD]
            kept, server.slow_start_share = server.slow_start_share, CapacityShare(1.0)
            whole = module.slow_start_budget(server)
            server.slow_start_share = kept
            if whole:
                self.seen_cold.at.append((self.now, whole / SENDING))
        super()._relay(front, relay)


def used(seen: Seen, window: float) -> list[tuple[float, float]]:
    """At each relay: the time, and relays of the last window by the limit then."""
    found, first = [], 0
    for place, (at, limit) in enumerate(seen.at):
        while seen.at[first][0] <= at - window:
            first += 1
        found.append((at, (place - first + 1) / limit))
    return found


def listed(ready_at: float) -> i.CacheEntry:
    """The cold cache's line, started at a time."""
    return i.CacheEntry(COLD, i.Lifecycle.READY, ready_at, 0, 1, 0, WEIGHT)


def play(words: argparse.Namespace, seed: int, shared: bool) -> list[tuple[float, float]]:
    """One run; return what the cold cache got."""
    by_zone = (0, words.fronts, 0)
    told = replace(settings(), fronts=words.fronts, fronts_by_zone=by_zone, slow_start_duration=WARMS)
    terms = SharingTerms(words.fronts, grant_ttl=3000.0, refresh=500.0, window=told.overload_window)
    chance = Random(seed)
    fleet = Counting([Front(seed + n, told) for n in range(words.fronts)], chance, lambda now: False)
    fleet.seen_cold = Seen()
    others = [i.CacheEntry(COLD + c, i.Lifecycle.READY, 0.0, c, 1, 0, WEIGHT) for c in range(1, CACHES)]
    others += [i.CacheEntry(2000 + p, i.Lifecycle.READY, 0.0, 0, 0, 1, 4000.0) for p in range(2)]
    others.append(i.CacheEntry(3000, i.Lifecycle.READY, 0.0, 0, 0, 2, 4000.0))
    for front in range(words.fronts):
        fleet.tell(front, i.CacheListUpdate(i.ListUpdateKind.CACHED, (listed(0.0), *others)))
        late = 200.0 * chance.random()
        starts = i.CacheListUpdate(i.ListUpdateKind.CHANGES, (listed(ANEW),))
        fleet.at(ANEW + late, lambda front=front, starts=starts: fleet.tell(front, starts))  # type: ignore[misc]
    number = [0] * words.fronts

    def ask(front: int, rate: float) -> None:
        number[front] += 1
        wanted = chance.randrange(1 << 32)
        fleet.began[front, number[front]] = fleet.now
        size = SENDING * told.stream_rate
        fleet.tell(front, i.Pull(number[front], wanted, 0, 0, 2000.0, False, size, 3))
        fleet.at(fleet.now + 1000.0 * chance.expovariate(rate), lambda: ask(front, rate))

    for front in range(words.fronts):
        rate = words.rate * (8.0 if front % 10 == 0 else 2.0 / 9.0)  # a tenth of the fronts has four fifths
        fleet.at(1.0 + 1000.0 * chance.expovariate(rate), lambda front=front, rate=rate: ask(front, rate))  # type: ignore[misc]

    held = {front: FrontShares(terms) for front in range(words.fronts)}
    process = {front: f"{front}.0" for front in range(words.fronts)}
    standing: dict[str, CapacityGrant] = {}
    coordinator: list[Coordinator | None] = [Coordinator(terms, 5)]

    def later(run: Callable[[], None]) -> None:
        fleet.at(fleet.now + words.lag * (0.5 + chance.random()), run)

    def front_asks(front: int) -> None:
        fleet.at(fleet.now + terms.refresh, lambda: front_asks(front))
        wishes = capacity_demand.slow_start_demands(fleet.fronts[front], fleet.now)
        share, name = held[front], process[front]
        if COLD not in wishes:
            return
        one = share.make_report({NAME: wishes[COLD]}, fleet.now)

        def hear() -> None:
            if coordinator[0] is not None:
                coordinator[0].record_report(name, one, fleet.now)

        later(hear)

    def tell(front: int) -> None:
        share, now = held[front], fleet.now
        part, ends = share.current_share(NAME, now), share.next_change_at(NAME, now)
        fleet.tell(front, i.CapacityLease(COLD, part, max(ends - now, 0.0)))

    def share_out() -> None:
        fleet.at(fleet.now + terms.refresh, share_out)
        if coordinator[0] is None:
            return
        for name, grant in coordinator[0].allocate(fleet.now).items():
            standing[name] = grant
            front = int(name.split(".")[0])

            def take(front: int = front, name: str = name, grant: CapacityGrant = grant) -> None:
                if process[front] == name and held[front].apply_grant(grant, fleet.now):
                    tell(front)

            later(take)

    def herd() -> None:
        coordinator[0] = None
        for front in chance.sample(range(words.fronts), int(0.7 * words.fronts)):
            fleet.fronts[front] = Front(seed + 7919 + front, told)
            fleet.relays = {key: value for key, value in fleet.relays.items() if key[0] != front}
            number[front] += 1_000_000
            held[front], process[front] = FrontShares(terms), f"{front}.1"
            fleet.tell(front, i.CacheListUpdate(i.ListUpdateKind.CACHED, (listed(ANEW), *others)))

    def elect() -> None:
        coordinator[0] = anew = Coordinator(terms, 9)
        for name, grant in standing.items():
            anew.record_existing_grant(name, grant, fleet.now)

    fleet.at(HERD, herd)
    if shared:
        fleet.at(HERD + LEASE, elect)
        fleet.at(1.0, share_out)
        for front in range(words.fronts):
            fleet.at(1.0 + terms.refresh * chance.random(), lambda front=front: front_asks(front))  # type: ignore[misc]
    fleet.play(words.seconds * 1000.0)
    return used(fleet.seen_cold, told.overload_window)


def main() -> None:
    """Print, for each way and seed, the part of the limit that was used and the most of it in any window."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=16.0, help="pulls a second a front, in the mean")
    parser.add_argument("--lag", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    words = parser.parse_args()
    spans = {"before the herd": (ANEW + 4500.0, HERD), "2 s from the herd on": (HERD, HERD + 2000.0),
             "without a coordinator": (HERD + 2000.0, HERD + LEASE),
             "after": (HERD + LEASE + 4500.0, words.seconds * 1000.0)}  # fmt: skip
    for seed in range(1, words.seeds + 1):
        for way in ("shared", "equal parts"):
            got = play(words, seed, way == "shared")
            line = []
            for name, (begin, end) in spans.items():
                inside = [share for at, share in got if begin <= at < end] or [0.0]
                line.append(f"{name} {fmean(inside):.2f}, most {max(inside):.2f}")
            print(f"seed {seed} {way}: " + "; ".join(line))


if __name__ == "__main__":
    main()
