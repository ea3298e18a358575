"""A fleet in virtual time: the real module in every front, one cache falls silent, verdicts shared or not.

Two hundred `Front`s (the module as it ships) send pulls to the caches of one zone; from a moment on one cache
takes connections and says nothing. *Nobody*: no front probes, each learns by its own pulls. *Each*: each
front probes each cache and knows what it sees itself. *Shared*: one front probes (`Prober`, more often, since
it does so for all), its rulings reach all after `--lag` ms and go through each front's `VerdictTable` to its
module; the prober dies in the middle, and another goes on a lease later. All in one run, the same seed, the
same pulls. Caches are modelled, nothing is sent on sockets:

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
from cometseam.ownership import LogPollGate
from cometseam.verdicts import Prober, ProbeTerms, VerdictTable

BAD = 1000  # the cache that falls silent
PROBING = ProbeTerms()
LEASE = 3000.0  # ms until another front has taken a dead prober's task over


@dataclass
class Fleet:
    """The fronts, the clock and what is counted."""

    fronts: list[Front]
    chance: Random
    silent: Callable[[float], bool]
    now: float = 0.0
    due: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    seen: Counter[str] = field(default_factory=Counter)
    relays: dict[tuple[int, int], int] = field(default_factory=dict)
    began: dict[tuple[int, int], float] = field(default_factory=dict)
    _order: "count[int]" = field(default_factory=count)

    def at(self, when: float, run: Callable[[], None]) -> None:
        heappush(self.due, (when, next(self._order), run))

    def play(self, until: float) -> None:
        """Let time pass."""
        while self.due and self.due[0][0] <= until:
            self.now, _, run = heappop(self.due)
            run()

    def tell(self, front: int, event: i.Event) -> None:
        """Hand an event to a front's module and carry out what it asks for."""
        for action in self.fronts[front].handle(self.now, event):
            match action:
                case i.Relay():
                    self._relay(front, action)
                case i.StartTimer():
                    rang = i.TimerFired(action.timer_id)
                    self.at(self.now + action.delay, lambda rang=rang: self.tell(front, rang))  # type: ignore[misc]
                case i.Shed() | i.Error():
                    self.seen["given up"] += 1
                    self.began.pop((front, action.id), None)
                case i.Recall():
                    pass

    def _relay(self, front: int, relay: i.Relay) -> None:
        key = (front, relay.id)
        self.relays[key] = number = self.relays.get(key, -1) + 1
        self.seen["relays"] += 1
        silent = relay.cache == BAD and self.silent(self.now)
        outcome = i.Outcome.TIMEOUT if silent else i.Outcome.OK
        took = relay.timeout if silent else 15.0 + 10.0 * self.chance.random()

        def end() -> None:
            self.seen["failures"] += silent
            if not silent and key in self.began:
                late = self.now - self.began.pop(key)
                self.seen["finished"] += 1
                self.seen["late"] += late > 300.0
            load = (0.4,)
            ended = i.RelayEnded(
                relay.id, number, relay.cache, outcome, i.Remark.HIT, took, 0.0, not silent, load
            )
            self.tell(front, ended)

        self.at(self.now + max(took, 1.0), end)


def pulls(fleet: Fleet, rate: float, seconds: float) -> None:
    """Draw each front's pulls: a Poisson stream each, objects by a heavy tail."""
    for front in range(len(fleet.fronts)):
        at, number = 0.0, 0
        while (at := at + fleet.chance.expovariate(rate) * 1000.0) < seconds * 1000.0:
            number += 1
            wanted = int(2000 * fleet.chance.random() ** 2)

            def ask(front: int = front, number: int = number, wanted: int = wanted) -> None:
                fleet.began[front, number] = fleet.now
                fleet.tell(front, i.Pull(number, wanted, 0, 0, 2000.0, False, 50.0, 3))

            fleet.at(at + 1.0, ask)


Ruled = Callable[[str, bool, float], None]  # cache, bad, ms since the evidence began


def probe(fleet: Fleet, prober: Prober, until: Callable[[], bool], ruled: Ruled) -> None:
    """Have one prober work every 20 ms, for as long as it lives."""
    if not until():
        return
    for cache in prober.start_due_probes(fleet.now):
        fleet.seen["probes"] += 1
        ill = cache == str(BAD) and fleet.silent(fleet.now)
        after = prober.terms.within if ill else 2.0
        fleet.at(fleet.now + after, lambda cache=cache, ill=ill: prober.record_probe_result(cache, not ill))  # type: ignore[misc]
    for ruling in prober.pop_due_verdicts(fleet.now):
        ruled(ruling.cache, ruling.bad, fleet.now - ruling.evidence_since)
    fleet.at(fleet.now + 20.0, lambda: probe(fleet, prober, until, ruled))


def play(words: argparse.Namespace, seed: int, way: str) -> Counter[str]:
    """One run; return what it counted."""
    told = replace(settings(), fronts=words.fronts, fronts_by_zone=(0, words.fronts, 0))
    entries = [
        i.CacheEntry(BAD + c, i.Lifecycle.READY, 0.0, c % 10, 1, 0, 200.0) for c in range(words.caches)
    ]
    begin, end = 0.25 * words.seconds * 1000.0, 0.85 * words.seconds * 1000.0
    chance = Random(seed)
    fronts = [Front(seed + n, told) for n in range(words.fronts)]
    fleet = Fleet(fronts, chance, lambda now: begin <= now < end)
    for front in range(words.fronts):
        fleet.tell(front, i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(entries)))
    pulls(fleet, words.rate, words.seconds)
    names = [str(entry.cache) for entry in entries]
    boards = [VerdictTable(PROBING.lasts) for _ in range(words.fronts)]

    def publish(token: int, number: "count[int]") -> Ruled:
        def ruled(cache: str, bad: bool, age: float) -> None:
            fleet.seen["rulings"] += 1
            said = next(number)

            def hear(front: int) -> None:
                heard = boards[front].record_verdict(cache, token, said, bad, age, fleet.now)
                if heard is not None:
                    fleet.tell(front, i.HealthVerdict(int(cache), heard.bad, heard.ttl, heard.age))

            for front in range(words.fronts):
                late = words.lag * (0.5 + chance.random())
                fleet.at(fleet.now + late, lambda front=front: hear(front))  # type: ignore[misc]

        return ruled

    def prober(until: Callable[[], bool], out: Ruled, board: VerdictTable) -> None:
        within = min(PROBING.within, 0.6 * words.interval)
        one = Prober(PROBING if way == "each" else replace(PROBING, interval=words.interval, within=within))
        one.update_caches(names, fleet.now)
        one.take_over(board.bad_caches(fleet.now), fleet.now)
        probe(fleet, one, until, out)

    if way == "shared":
        dies = 0.5 * words.seconds * 1000.0
        fleet.at(1.0, lambda: prober(lambda: fleet.now < dies, publish(5, count(1)), boards[0]))
        fleet.at(dies + LEASE, lambda: prober(lambda: True, publish(9, count(1)), boards[1]))
    elif way == "each":  # each front for itself, as without a fleet: what it finds stays with it
        for front in range(words.fronts):

            def alone(cache: str, bad: bool, age: float, front: int = front) -> None:
                fleet.tell(front, i.HealthVerdict(int(cache), bad, PROBING.lasts if bad else 0.0, age))

            fleet.at(1.0, lambda alone=alone, front=front: prober(lambda: True, alone, boards[front]))  # type: ignore[misc]
    fleet.play(words.seconds * 1000.0)
    return fleet.seen


def log_reads(words: argparse.Namespace, seed: int, shared: bool) -> tuple[int, float]:
    """Polls of the change log by all fronts, and the longest (ms) until a front knew an event.

    A long poll takes 2 s where nothing comes. Shared: the reader's word goes to all after `--lag`; it dies in
    the middle, and another reads a lease later. An event comes every 5 s.
    """
    chance, seen = Random(seed), 0
    fleet = Fleet([], chance, lambda now: False)
    turns = [LogPollGate(4000.0) for _ in range(words.fronts)]
    known = [0] * words.fronts
    heard_at: list[dict[int, float]] = [{} for _ in range(words.fronts)]
    reader: list[int | None] = [0 if shared else None]
    token, polls = [5], [0]

    def last() -> int:
        return int(fleet.now / 5000.0)

    def knows(front: int, number: int) -> None:
        for event in range(known[front] + 1, number + 1):
            heard_at[front][event] = fleet.now
        known[front] = max(known[front], number)

    def say(number: int) -> None:
        polls[0] += 1
        word = (token[0], polls[0])
        for front in range(words.fronts):
            late = words.lag * (0.5 + chance.random())

            def hear(front: int = front) -> None:
                if turns[front].record_update(*word, fleet.now):
                    knows(front, number)

            fleet.at(fleet.now + late, hear)

    def poll(front: int) -> None:
        nonlocal seen
        reads = reader[0] == front
        if not turns[front].should_poll(reads, fleet.now):
            fleet.at(fleet.now + 50.0, lambda: poll(front))
            return
        seen += 1
        number = last()
        until = fleet.now + 2000.0
        if number <= known[front]:  # a long poll: answered when the next event comes, or empty
            until = min(until, (number + 1) * 5000.0 + 1.0)

        def answered() -> None:
            knows(front, last())
            if reader[0] == front:
                say(last())
            fleet.at(fleet.now + 20.0, lambda: poll(front))

        fleet.at(fleet.now + 5.0 if number > known[front] else until, answered)

    def dies() -> None:
        reader[0] = None

    def elect() -> None:
        reader[0], token[0], polls[0] = 1, 9, 0

    for front in range(words.fronts):
        fleet.at(1.0 + 2000.0 * chance.random(), lambda front=front: poll(front))  # type: ignore[misc]
    if shared:
        fleet.at(500.0 * words.seconds, dies)
        fleet.at(500.0 * words.seconds + LEASE, elect)
    fleet.play(words.seconds * 1000.0)
    late = [at - event * 5000.0 for heard in heard_at for event, at in heard.items()]
    return seen, max(late)


def main() -> None:
    """Print the figures of each way, seed by seed, and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--caches", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=3.0, help="pulls a second a front")
    parser.add_argument("--lag", type=float, default=50.0, help="ms, mean, from a ruling to a front's module")
    parser.add_argument("--interval", type=float, default=500.0, help="ms between a shared prober's probes")
    parser.add_argument("--seeds", type=int, default=3)
    words = parser.parse_args()
    for seed in range(1, words.seeds + 1):
        ways = {way: play(words, seed, way) for way in ("nobody", "each", "shared")}
        for way, seen in ways.items():
            told = ", ".join(f"{name} {seen[name]}" for name in sorted(seen))
            print(f"seed {seed} {way}: {told}")
        one = ways["shared"]
        fewer = ways["each"]["probes"] / max(one["probes"], 1)
        paid = [one["failures"] / max(ways[way]["failures"], 1) for way in ("nobody", "each")]
        print(f"seed {seed}: probes 1/{fewer:.0f} of each", end="; ")
        print(f"failures {paid[0]:.2f} of nobody, {paid[1]:.2f} of each")
        one_read, one_late = log_reads(words, seed, True)
        each_read, each_late = log_reads(words, seed, False)
        print(
            f"seed {seed}: polls of the change log {one_read} shared, {each_read} each, "
            f"1/{each_read / one_read:.0f}; an event at most {one_late:.0f} and {each_late:.0f} ms late"
        )


if __name__ == "__main__":
    main()
