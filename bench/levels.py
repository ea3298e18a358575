"""Levels beside the module's own shedding and beside none: python -m bench.levels [--seeds 4] [--file FILE].

The real module and levels in virtual time: three caches with room for some objects behind one link that all
fills share by the bytes left, large new objects from 10 s to 40 s. Nothing here is a real machine or the
bench's simulator.
"""

import argparse
import statistics
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

from cometseam import interface as i
from cometseam import logic
from cometseam.levels import UtilizationSample
from cometseam.levels.controller import EVALUATION_INTERVAL_MS, LevelController
from cometseam.operator import CompiledConfig
from cometseam.operator.load import load
from cometseam.routing.levels import histogram
from cometseam.timing import RouteKey, size_in_bytes
from tests.drive import MAPS, SAMPLE, SERVERS, SETTINGS, line
from tests.standins.scripted import Said, World

WORKLOADS = (
    replace(
        MAPS,
        target_latency=600.0,
        target_latency_factor=1.6,
        deadline=6000.0,
        gain=2.0,
        fresh_ttl=0.0,
        stale_ttl=0.0,
    ),
    replace(
        MAPS,
        target_latency=250.0,
        target_latency_factor=2.0,
        deadline=3000.0,
        fresh_ttl=20_000.0,
        stale_ttl=20_000.0,
    ),
)
RULES = replace(SETTINGS, workloads=WORKLOADS, zone=1, stream_rate=3.5, parent_kind=1, origin_kind=2)
ROOM = 6.0  # fills at full pace that the link carries at once
HELD = 400_000.0  # KB that a cache keeps
LENGTH, FROM, TO = 50_000.0, 10_000.0, 40_000.0


class Linked(World):
    """Caches that keep what they are told, and fill over one link."""

    def __init__(self, compiled: CompiledConfig | None, seed: int) -> None:
        self.kept: dict[int, OrderedDict[int, tuple[float, float]]] = {}  # by cache: object: KB, made at
        self.active: dict[tuple[int, int], list[float]] = {}  # by relay: [ms of sending left, -]
        self.moved = 0.0
        self.turn = 0
        self.watch: LevelController | None = None
        super().__init__(RULES, tuple(line(cache) for cache in SERVERS), self.answer, seed)
        if compiled is not None and compiled.level_policy is not None:
            both = zip(compiled.route_names, compiled.table.routes, strict=True)
            routes = tuple((name, plan) for name, (plan, _) in both)
            self.watch = LevelController(
                compiled.level_policy, routes, ("grids", "maps"), Random(seed), histogram
            )
            self.tell(compiled.plans)
            self.at(0.0, self.look)

    def look(self) -> None:
        """Step the levels, as the module's actor does."""
        assert self.watch is not None
        fills = self.front.fill_limit.in_flight / max(self.front.fill_limit.size, 1.0)
        _, eased = self.watch.step(self.now, UtilizationSample(fills, 0.0, 0.0, None))
        if eased is not None:
            self.tell(eased)
        if self.now < LENGTH:
            self.at(self.now + EVALUATION_INTERVAL_MS, self.look)

    def tell(self, event: i.Event) -> None:
        """Let answers tell how full the link is, and the levels hear of it."""
        if isinstance(event, i.RelayEnded):
            full = len(self.active) / ROOM
            event = replace(event, load=(full,))
            if self.watch is not None:
                self.watch.signals.record_link(self.now, full)
        super().tell(event)

    def _record_final(self, pull: int, kind: str) -> None:
        super()._record_final(pull, kind)
        if self.watch is not None:
            story = self.stories[pull]
            took, quoted = self.now - story.at, story.target_at - story.at
            if kind != "shed":
                self.watch.signals.record_answer(self.now, story.pull.workload, kind, took, quoted)

    def answer(self, now: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
        """Answer a look from what is kept; a fill joins the link and ends when its bytes are over."""
        kept = self.kept.setdefault(relay.cache, OrderedDict())
        sending = pull.size_kb / RULES.stream_rate
        rules = WORKLOADS[pull.workload]
        copy = kept.get(pull.object)
        oldest = relay.max_age or (rules.fresh_ttl or float("inf"))
        if copy is not None and now - copy[1] <= oldest:
            kept.move_to_end(pull.object)
            return Said(2.0 + sending)
        if relay.source == relay.cache or relay.only_cached:
            lacks = i.Remark.NONE if relay.source == relay.cache else i.Remark.SOURCE_LACKS
            return Said(2.0, i.Outcome.MISS, lacks)
        number = len(self.stories[relay.id].sent) - 1
        self._move()
        self.active[relay.id, number] = [sending, float(relay.rank), relay.cache, pull.size_kb, pull.object]
        self._next()
        return Said(None)

    def _move(self) -> None:
        """Let the bytes pass that passed since the last change."""
        rate = min(1.0, ROOM / max(len(self.active), 1))
        for entry in self.active.values():
            entry[0] -= (self.now - self.moved) * rate
        self.moved = self.now

    def _next(self) -> None:
        """Look again when the first transfer ends."""
        self.turn += 1
        if self.active:
            rate = min(1.0, ROOM / len(self.active))
            turn = self.turn
            first = max(min(entry[0] for entry in self.active.values()), 0.0) / rate
            self.at(self.now + first + 0.01, lambda: self._arrived(turn))

    def _arrived(self, turn: int) -> None:
        if turn != self.turn:
            return
        self._move()
        for (pull, number), entry in list(self.active.items()):
            if entry[0] <= 0.05:
                del self.active[pull, number]
                if entry[1]:
                    kept = self.kept[int(entry[2])]
                    kept[int(entry[4])] = (entry[3], self.now)
                    while sum(size for size, _ in kept.values()) > HELD:
                        kept.popitem(last=False)
                self._end_relay(pull, number, Said(0.0, i.Outcome.OK, i.Remark.FILLED))
        self._next()

    def _end_relay(self, pull: int, number: int, reply: Said) -> None:
        if (pull, number) in self.active:  # timed out or given up: its bytes no longer come
            self._move()
            del self.active[pull, number]
            self._next()
        super()._end_relay(pull, number, reply)


def day(compiled: CompiledConfig | None, load_factor: float, seed: int, plain: bool = False) -> Linked:
    """Play a day; `plain`: the module neither sheds early nor spills by crowd."""
    certain, spill = logic.ADMISSION_SHARE, logic.SPILL_SHARE
    if plain:
        logic.ADMISSION_SHARE = logic.SPILL_SHARE = 1e9
    try:
        world = Linked(compiled, seed)
        chance, at, number = Random(seed), 0.0, 0
        while at < LENGTH:
            at += chance.expovariate(0.03 * load_factor)
            number += 1
            large = FROM <= at < TO and chance.random() < 0.04 * load_factor
            if large:  # one of a few new large grids
                wanted, size_kb, workload = 900_000 + chance.randrange(12) + 12 * int(at / 6000), 9000.0, 0
            elif chance.random() < 0.5:
                wanted, size_kb, workload = int(600 * chance.random() ** 2.5), 1200.0, 0
            else:
                wanted, size_kb, workload = 10_000 + int(1500 * chance.random() ** 2.5), 200.0, 1
            left = WORKLOADS[workload].deadline
            pull = i.Pull(number, wanted, 0, workload, left, False, size_kb, wanted % 256)
            pull.client_network = number % 7
            if compiled is not None:
                sight = RouteKey(workload, wanted, wanted % 256, 0, size_in_bytes(size_kb), 1)
                found = compiled.table.find(sight)
                pull.plan_index = compiled.table.routes[found][0] if found >= 0 else -1
            world.pull(at, pull)
        world.run()
        assert world.judge() == [], world.judge()[:3]
        return world
    finally:
        logic.ADMISSION_SHARE, logic.SPILL_SHARE = certain, spill


def gain(workload: int | None) -> Callable[[Linked], float]:
    """Return the share of gain in the quoted time while the large objects last."""

    def of(world: Linked) -> float:
        asked = got = 0.0
        for story in world.stories.values():
            if workload in (None, story.pull.workload) and FROM <= story.at < TO:
                worth = WORKLOADS[story.pull.workload].gain
                asked += worth
                got += worth * (story.finals[0][1] == "finished" and story.finals[0][0] <= story.target_at)
        return got / asked

    return of


def main() -> None:
    """Print a table a load: gain of grids, of maps and of both, for each variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--file", type=Path, default=Path("deploy/levels.jsonnet"))
    words = parser.parse_args()
    compiled = load(words.file, SAMPLE["settings"]).compiled
    print("load  variant          grids   maps    all   spread over seeds (all)")
    for load_factor in (0.8, 1.2, 1.6, 2.0):
        variants = {"neither": (None, True), "the module": (None, False), "and levels": (compiled, False)}
        for name, (levels, plain) in variants.items():
            worlds = [day(levels, load_factor, seed, plain) for seed in range(1, words.seeds + 1)]
            shares = [statistics.mean(map(gain(which), worlds)) for which in (0, 1, None)]
            each = [gain(None)(world) for world in worlds]
            times = [sum(w.watch.state_machine.level_times_ms[1:]) / 1000.0 for w in worlds if w.watch]
            told = f"{min(each):.3f} to {max(each):.3f}"
            told += f"; {statistics.mean(times):.1f} s below full service" if times else ""
            print(f"{load_factor:4}  {name:14} {shares[0]:7.3f} {shares[1]:6.3f} {shares[2]:6.3f}   {told}")


if __name__ == "__main__":
    main()
