"""Relays of two hundred fronts to a cold cache in virtual time, with its limit shared or in equal parts.

Every front runs the shipped decision logic (the fleet of `bench.fleet_model`), with `FrontShares` and
`Coordinator` between them and every message late by `--lag` ms on average. A cache restarts cold; some
fronts have much demand, most little. Seven seconds later, seven in ten fronts are killed at once and
restart, the coordinator among them. Counted are relays to the cold cache in any window, relative to its
limit. Both variants in one run, with the same seed and pulls:

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

COLD_CACHE = 1000  # the cache that restarts
TRANSFER_MS = 300.0  # of each pull: the workload's initial mean, so that all pulls count alike
COLD_START_MS = 2_000.0  # when the cache restarts
MASS_RESTART_MS = 9_000.0  # when most fronts restart
NO_COORDINATOR_MS = 3_000.0  # from then until there is a coordinator again
SLOW_START_MS = 25_000.0  # how long the cache counts as cold
LIMIT_NAME = "cold"
CACHE_WEIGHT = 400.0
CACHE_COUNT = 4


@dataclass
class ColdCacheRelays:
    """Times of relays to the cold cache, each with the limit at that time in relays per window."""

    at: list[tuple[float, float]] = field(default_factory=list)


class CountingFleet(Fleet):
    """A fleet that records the relays to the cold cache."""

    cold_relays: ColdCacheRelays

    def _start_relay(self, front: int, relay: i.Relay) -> None:
        if relay.cache == COLD_CACHE:
            decision_logic = self.fronts[front]
            server = decision_logic.servers[COLD_CACHE]
            own_share, server.slow_start_share = server.slow_start_share, CapacityShare(1.0)
            full_budget = decision_logic.slow_start_budget(server)
            server.slow_start_share = own_share
            if full_budget:
                self.cold_relays.at.append((self.now, full_budget / TRANSFER_MS))
        super()._start_relay(front, relay)


def used_shares(relays: ColdCacheRelays, window: float) -> list[tuple[float, float]]:
    """Return, for each relay, its time and the relays of the window that it ends, relative to the limit."""
    shares, first = [], 0
    for relay_index, (at, limit) in enumerate(relays.at):
        while relays.at[first][0] <= at - window:
            first += 1
        shares.append((at, (relay_index - first + 1) / limit))
    return shares


def cold_cache_entry(ready_at: float) -> i.CacheEntry:
    """Return the cold cache's list entry, with its start time."""
    return i.CacheEntry(COLD_CACHE, i.Lifecycle.READY, ready_at, 0, 1, 0, CACHE_WEIGHT)


def run(arguments: argparse.Namespace, seed: int, is_shared: bool) -> list[tuple[float, float]]:
    """Run once; return the used share of the cold cache's limit at each relay."""
    by_zone = (0, arguments.fronts, 0)
    front_settings = replace(
        settings(), fronts=arguments.fronts, fronts_by_zone=by_zone, slow_start_duration=SLOW_START_MS
    )
    terms = SharingTerms(
        arguments.fronts, grant_ttl=3000.0, refresh=500.0, window=front_settings.overload_window
    )
    random = Random(seed)
    fleet = CountingFleet(
        [Front(seed + n, front_settings) for n in range(arguments.fronts)], random, lambda now: False
    )
    fleet.cold_relays = ColdCacheRelays()
    others = [
        i.CacheEntry(COLD_CACHE + c, i.Lifecycle.READY, 0.0, c, 1, 0, CACHE_WEIGHT)
        for c in range(1, CACHE_COUNT)
    ]
    others += [i.CacheEntry(2000 + p, i.Lifecycle.READY, 0.0, 0, 0, 1, 4000.0) for p in range(2)]
    others.append(i.CacheEntry(3000, i.Lifecycle.READY, 0.0, 0, 0, 2, 4000.0))
    for front in range(arguments.fronts):
        fleet.send_event(front, i.CacheListUpdate(i.ListUpdateKind.CACHED, (cold_cache_entry(0.0), *others)))
        delay = 200.0 * random.random()
        restart_event = i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cold_cache_entry(COLD_START_MS),))
        fleet.schedule(
            COLD_START_MS + delay,
            lambda front=front, starts=restart_event: fleet.send_event(front, starts),  # type: ignore[misc]
        )
    pull_numbers = [0] * arguments.fronts

    def send_pull(front: int, rate: float) -> None:
        pull_numbers[front] += 1
        object_id = random.randrange(1 << 32)
        fleet.pulled_at[front, pull_numbers[front]] = fleet.now
        size = TRANSFER_MS * front_settings.stream_rate
        fleet.send_event(front, i.Pull(pull_numbers[front], object_id, 0, 0, 2000.0, False, size, 3))
        fleet.schedule(fleet.now + 1000.0 * random.expovariate(rate), lambda: send_pull(front, rate))

    for front in range(arguments.fronts):
        # A tenth of the fronts has four fifths of the demand.
        rate = arguments.rate * (8.0 if front % 10 == 0 else 2.0 / 9.0)
        fleet.schedule(
            1.0 + 1000.0 * random.expovariate(rate),
            lambda front=front, rate=rate: send_pull(front, rate),  # type: ignore[misc]
        )

    front_shares = {front: FrontShares(terms) for front in range(arguments.fronts)}
    process_names = {front: f"{front}.0" for front in range(arguments.fronts)}
    valid_grants: dict[str, CapacityGrant] = {}
    coordinator: list[Coordinator | None] = [Coordinator(terms, 5)]

    def after_lag(run: Callable[[], None]) -> None:
        fleet.schedule(fleet.now + arguments.lag * (0.5 + random.random()), run)

    def send_report(front: int) -> None:
        fleet.schedule(fleet.now + terms.refresh, lambda: send_report(front))
        demands = capacity_demand.slow_start_demands(fleet.fronts[front], fleet.now)
        share, name = front_shares[front], process_names[front]
        if COLD_CACHE not in demands:
            return
        report = share.make_report({LIMIT_NAME: demands[COLD_CACHE]}, fleet.now)

        def receive_report() -> None:
            if coordinator[0] is not None:
                coordinator[0].record_report(name, report, fleet.now)

        after_lag(receive_report)

    def send_lease(front: int) -> None:
        share, now = front_shares[front], fleet.now
        share_now, next_change = share.current_share(LIMIT_NAME, now), share.next_change_at(LIMIT_NAME, now)
        fleet.send_event(front, i.CapacityLease(COLD_CACHE, share_now, max(next_change - now, 0.0)))

    def send_grants() -> None:
        fleet.schedule(fleet.now + terms.refresh, send_grants)
        if coordinator[0] is None:
            return
        for name, grant in coordinator[0].allocate(fleet.now).items():
            valid_grants[name] = grant
            front = int(name.split(".")[0])

            def receive_grant(front: int = front, name: str = name, grant: CapacityGrant = grant) -> None:
                if process_names[front] == name and front_shares[front].apply_grant(grant, fleet.now):
                    send_lease(front)

            after_lag(receive_grant)

    def restart_most_fronts() -> None:
        coordinator[0] = None
        for front in random.sample(range(arguments.fronts), int(0.7 * arguments.fronts)):
            fleet.fronts[front] = Front(seed + 7919 + front, front_settings)
            fleet.relays = {key: value for key, value in fleet.relays.items() if key[0] != front}
            pull_numbers[front] += 1_000_000
            front_shares[front], process_names[front] = FrontShares(terms), f"{front}.1"
            fleet.send_event(
                front, i.CacheListUpdate(i.ListUpdateKind.CACHED, (cold_cache_entry(COLD_START_MS), *others))
            )

    def elect_coordinator() -> None:
        coordinator[0] = successor = Coordinator(terms, 9)
        for name, grant in valid_grants.items():
            successor.record_existing_grant(name, grant, fleet.now)

    fleet.schedule(MASS_RESTART_MS, restart_most_fronts)
    if is_shared:
        fleet.schedule(MASS_RESTART_MS + NO_COORDINATOR_MS, elect_coordinator)
        fleet.schedule(1.0, send_grants)
        for front in range(arguments.fronts):
            fleet.schedule(1.0 + terms.refresh * random.random(), lambda front=front: send_report(front))  # type: ignore[misc]
    fleet.play(arguments.seconds * 1000.0)
    return used_shares(fleet.cold_relays, front_settings.overload_window)


def main() -> None:
    """Print, for each variant and seed, the mean and maximum used share of the limit in any window."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=16.0, help="mean pulls per second and front")
    parser.add_argument("--lag", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    spans = {
        "before the mass restart": (COLD_START_MS + 4500.0, MASS_RESTART_MS),
        "2 s from the mass restart on": (MASS_RESTART_MS, MASS_RESTART_MS + 2000.0),
        "without a coordinator": (MASS_RESTART_MS + 2000.0, MASS_RESTART_MS + NO_COORDINATOR_MS),
        "after": (MASS_RESTART_MS + NO_COORDINATOR_MS + 4500.0, arguments.seconds * 1000.0),
    }
    for seed in range(1, arguments.seeds + 1):
        for variant in ("shared", "equal parts"):
            shares = run(arguments, seed, variant == "shared")
            figures = []
            for name, (begin, end) in spans.items():
                span_shares = [share for at, share in shares if begin <= at < end] or [0.0]
                figures.append(f"{name} {fmean(span_shares):.2f}, most {max(span_shares):.2f}")
            print(f"seed {seed} {variant}: " + "; ".join(figures))


if __name__ == "__main__":
    main()
