"""A fleet in virtual time in which one cache stops answering, with verdicts shared among fronts or not.

Two hundred `Front`s (the shipped decision logic) send pulls to the caches of one zone; from some time on,
one cache accepts connections and never answers. *nobody*: no front probes, each learns from its own pulls.
*each*: each front probes each cache and uses its own results. *shared*: one front probes (`Prober`, more
often, since it does so for all), and its verdicts reach all fronts after `--lag` ms through their
`VerdictTable`; the prober dies halfway, and another front takes over a lease later. All variants in one
run, with the same seed and the same pulls. Caches are modelled, nothing is sent on sockets:

    python -m bench.fleet_model --fronts 200 --caches 20 --seconds 60 --seeds 3
"""

import argparse
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from bench.cpu import settings
from cometseam import interface as i
from cometseam.logic import Front
from cometseam.ownership import LogPollGate, LogSource
from cometseam.verdicts import Prober, ProbeTerms, VerdictTable

SILENT_CACHE = 1000  # the cache that stops answering
PROBE_TERMS = ProbeTerms()
TAKEOVER_MS = 3000.0  # until another front has taken over a dead prober's task


@dataclass
class Fleet:
    """The fronts, the simulated clock, and the counters."""

    fronts: list[Front]
    random: Random
    is_silent: Callable[[float], bool]
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    relays: dict[tuple[int, int], int] = field(default_factory=dict)
    pulled_at: dict[tuple[int, int], float] = field(default_factory=dict)
    _sequence: "count[int]" = field(default_factory=count)

    def schedule(self, at: float, run: Callable[[], None]) -> None:
        heappush(self.events, (at, next(self._sequence), run))

    def play(self, until: float) -> None:
        """Run scheduled calls up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, run = heappop(self.events)
            run()

    def send_event(self, front: int, event: i.Event) -> None:
        """Pass an event to a front and carry out its actions."""
        for action in self.fronts[front].handle(self.now, event):
            match action:
                case i.Relay():
                    self._start_relay(front, action)
                case i.StartTimer():
                    timer_fired = i.TimerFired(action.timer_id)
                    self.schedule(
                        self.now + action.delay,
                        lambda rang=timer_fired: self.send_event(front, rang),  # type: ignore[misc]
                    )
                case i.Shed() | i.Error():
                    self.counts["given up"] += 1
                    self.pulled_at.pop((front, action.id), None)
                case i.Recall():
                    pass

    def _start_relay(self, front: int, relay: i.Relay) -> None:
        key = (front, relay.id)
        self.relays[key] = number = self.relays.get(key, -1) + 1
        self.counts["relays"] += 1
        unanswered = relay.cache == SILENT_CACHE and self.is_silent(self.now)
        outcome = i.Outcome.TIMEOUT if unanswered else i.Outcome.OK
        duration = relay.timeout if unanswered else 15.0 + 10.0 * self.random.random()

        def end() -> None:
            self.counts["failures"] += unanswered
            if not unanswered and key in self.pulled_at:
                latency = self.now - self.pulled_at.pop(key)
                self.counts["finished"] += 1
                self.counts["late"] += latency > 300.0
            load = (0.4,)
            ended = i.RelayEnded(
                relay.id, number, relay.cache, outcome, i.Remark.HIT, duration, 0.0, not unanswered, load
            )
            self.send_event(front, ended)

        self.schedule(self.now + max(duration, 1.0), end)


def schedule_pulls(fleet: Fleet, rate: float, seconds: float) -> None:
    """Schedule each front's pulls: a Poisson process each, with a skewed choice of objects."""
    for front in range(len(fleet.fronts)):
        at, number = 0.0, 0
        while (at := at + fleet.random.expovariate(rate) * 1000.0) < seconds * 1000.0:
            number += 1
            object_id = int(2000 * fleet.random.random() ** 2)

            def send_pull(front: int = front, number: int = number, object_id: int = object_id) -> None:
                fleet.pulled_at[front, number] = fleet.now
                fleet.send_event(front, i.Pull(number, object_id, 0, 0, 2000.0, False, 50.0, 3))

            fleet.schedule(at + 1.0, send_pull)


PublishVerdict = Callable[[str, bool, float], None]  # cache, bad, ms since the first evidence


def run_prober(fleet: Fleet, prober: Prober, is_alive: Callable[[], bool], publish: PublishVerdict) -> None:
    """Run a prober every 20 ms while it is alive."""
    if not is_alive():
        return
    for cache in prober.start_due_probes(fleet.now):
        fleet.counts["probes"] += 1
        fails = cache == str(SILENT_CACHE) and fleet.is_silent(fleet.now)
        duration = prober.terms.within if fails else 2.0
        fleet.schedule(
            fleet.now + duration,
            lambda cache=cache, fails=fails: prober.record_probe_result(cache, not fails),  # type: ignore[misc]
        )
    for verdict in prober.pop_due_verdicts(fleet.now):
        publish(verdict.cache, verdict.bad, fleet.now - verdict.evidence_since)
    fleet.schedule(fleet.now + 20.0, lambda: run_prober(fleet, prober, is_alive, publish))


def run(arguments: argparse.Namespace, seed: int, variant: str) -> Counter[str]:
    """Run one variant; return its counters."""
    front_settings = replace(settings(), fronts=arguments.fronts, fronts_by_zone=(0, arguments.fronts, 0))
    entries = [
        i.CacheEntry(SILENT_CACHE + c, i.Lifecycle.READY, 0.0, c % 10, 1, 0, 200.0)
        for c in range(arguments.caches)
    ]
    begin, end = 0.25 * arguments.seconds * 1000.0, 0.85 * arguments.seconds * 1000.0
    random = Random(seed)
    fronts = [Front(seed + n, front_settings) for n in range(arguments.fronts)]
    fleet = Fleet(fronts, random, lambda now: begin <= now < end)
    for front in range(arguments.fronts):
        fleet.send_event(front, i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(entries)))
    schedule_pulls(fleet, arguments.rate, arguments.seconds)
    names = [str(entry.cache) for entry in entries]
    verdict_tables = [VerdictTable(PROBE_TERMS.lasts) for _ in range(arguments.fronts)]

    def publisher(token: int, number: "count[int]") -> PublishVerdict:
        def publish(cache: str, bad: bool, age: float) -> None:
            fleet.counts["rulings"] += 1
            verdict_number = next(number)

            def receive(front: int) -> None:
                update = verdict_tables[front].record_verdict(
                    cache, token, verdict_number, bad, age, fleet.now
                )
                if update is not None:
                    fleet.send_event(front, i.HealthVerdict(int(cache), update.bad, update.ttl, update.age))

            for front in range(arguments.fronts):
                delay = arguments.lag * (0.5 + random.random())
                fleet.schedule(fleet.now + delay, lambda front=front: receive(front))  # type: ignore[misc]

        return publish

    def start_prober(
        is_alive: Callable[[], bool], publish_to: PublishVerdict, verdict_table: VerdictTable
    ) -> None:
        within = min(PROBE_TERMS.within, 0.6 * arguments.interval)
        prober = Prober(
            PROBE_TERMS
            if variant == "each"
            else replace(PROBE_TERMS, interval=arguments.interval, within=within)
        )
        prober.update_caches(names, fleet.now)
        prober.take_over(verdict_table.bad_caches(fleet.now), fleet.now)
        run_prober(fleet, prober, is_alive, publish_to)

    if variant == "shared":
        dies_at = 0.5 * arguments.seconds * 1000.0
        fleet.schedule(
            1.0, lambda: start_prober(lambda: fleet.now < dies_at, publisher(5, count(1)), verdict_tables[0])
        )
        fleet.schedule(
            dies_at + TAKEOVER_MS,
            lambda: start_prober(lambda: True, publisher(9, count(1)), verdict_tables[1]),
        )
    elif variant == "each":  # each front for itself, as without a fleet: its verdicts are not shared
        for front in range(arguments.fronts):

            def apply_own_verdict(cache: str, bad: bool, age: float, front: int = front) -> None:
                fleet.send_event(
                    front, i.HealthVerdict(int(cache), bad, PROBE_TERMS.lasts if bad else 0.0, age)
                )

            fleet.schedule(
                1.0,
                lambda publish=apply_own_verdict, front=front: start_prober(  # type: ignore[misc]
                    lambda: True, publish, verdict_tables[front]
                ),
            )
    fleet.play(arguments.seconds * 1000.0)
    return fleet.counts


def count_log_polls(arguments: argparse.Namespace, seed: int, is_shared: bool) -> tuple[int, float]:
    """Return the polls of discovery by all fronts, and the longest time (ms) until a front knew of an event.

    A long poll without events takes 2 s. With `is_shared` one front polls and sends updates to all, which
    arrive after `--lag`; it dies halfway, and another front polls a lease later. There is an event every 5 s.
    """
    random, poll_count = Random(seed), 0
    fleet = Fleet([], random, lambda now: False)
    source = LogSource("discovery")
    poll_gates = [LogPollGate(4000.0) for _ in range(arguments.fronts)]
    last_known = [0] * arguments.fronts
    received_at: list[dict[int, float]] = [{} for _ in range(arguments.fronts)]
    reader: list[int | None] = [0 if is_shared else None]
    token, update_number = [5], [0]

    def last_event() -> int:
        return int(fleet.now / 5000.0)

    def receive_events(front: int, number: int) -> None:
        for event in range(last_known[front] + 1, number + 1):
            received_at[front][event] = fleet.now
        last_known[front] = max(last_known[front], number)

    def share_update(number: int) -> None:
        update_number[0] += 1
        update = (token[0], update_number[0])
        for front in range(arguments.fronts):
            delay = arguments.lag * (0.5 + random.random())

            def receive_update(front: int = front) -> None:
                if poll_gates[front].record_update(*update, source.address, source, fleet.now):
                    receive_events(front, number)

            fleet.schedule(fleet.now + delay, receive_update)

    def poll(front: int) -> None:
        nonlocal poll_count
        is_reader = reader[0] == front
        if not poll_gates[front].should_poll(is_reader, source, fleet.now):
            fleet.schedule(fleet.now + 50.0, lambda: poll(front))
            return
        poll_count += 1
        number = last_event()
        answer_at = fleet.now + 2000.0
        if number <= last_known[front]:  # a long poll is answered with the next event, or empty
            answer_at = min(answer_at, (number + 1) * 5000.0 + 1.0)

        def handle_answer() -> None:
            receive_events(front, last_event())
            if reader[0] == front:
                share_update(last_event())
            fleet.schedule(fleet.now + 20.0, lambda: poll(front))

        fleet.schedule(fleet.now + 5.0 if number > last_known[front] else answer_at, handle_answer)

    def end_reader() -> None:
        reader[0] = None

    def elect_reader() -> None:
        reader[0], token[0], update_number[0] = 1, 9, 0

    for front in range(arguments.fronts):
        fleet.schedule(1.0 + 2000.0 * random.random(), lambda front=front: poll(front))  # type: ignore[misc]
    if is_shared:
        fleet.schedule(500.0 * arguments.seconds, end_reader)
        fleet.schedule(500.0 * arguments.seconds + TAKEOVER_MS, elect_reader)
    fleet.play(arguments.seconds * 1000.0)
    delays = [at - event * 5000.0 for times in received_at for event, at in times.items()]
    return poll_count, max(delays)


def main() -> None:
    """Print the counters of each variant and their ratios, seed by seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--caches", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=3.0, help="pulls per second and front")
    parser.add_argument(
        "--lag", type=float, default=50.0, help="mean ms from a verdict to its use in a front"
    )
    parser.add_argument(
        "--interval", type=float, default=500.0, help="ms between probes of the shared prober"
    )
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for seed in range(1, arguments.seeds + 1):
        counts_by_variant = {
            variant: run(arguments, seed, variant) for variant in ("nobody", "each", "shared")
        }
        for variant, counts in counts_by_variant.items():
            figures = ", ".join(f"{name} {counts[name]}" for name in sorted(counts))
            print(f"seed {seed} {variant}: {figures}")
        shared = counts_by_variant["shared"]
        probe_ratio = counts_by_variant["each"]["probes"] / max(shared["probes"], 1)
        failure_ratios = [
            shared["failures"] / max(counts_by_variant[variant]["failures"], 1)
            for variant in ("nobody", "each")
        ]
        print(f"seed {seed}: probes 1/{probe_ratio:.0f} of each", end="; ")
        print(f"failures {failure_ratios[0]:.2f} of nobody, {failure_ratios[1]:.2f} of each")
        one_read, one_late = count_log_polls(arguments, seed, True)
        each_read, each_late = count_log_polls(arguments, seed, False)
        print(
            f"seed {seed}: polls of the change log {one_read} shared, {each_read} each, "
            f"1/{each_read / one_read:.0f}; an event at most {one_late:.0f} and {each_late:.0f} ms late"
        )


if __name__ == "__main__":
    main()
