"""Compares levels, the logic's own shedding, and neither: python -m bench.levels [--seeds 4] [--file FILE].

The real decision logic and levels in virtual time: three caches of limited size, whose fills share one
link, and requests for large new objects from 10 s to 40 s. No real machine and no other simulator is
involved.
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
from tests.drive import MAPS, SAMPLE, SERVERS, SETTINGS, cache_entry
from tests.standins.scripted import FrontSimulation, ScriptedReply

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
FRONT_SETTINGS = replace(SETTINGS, workloads=WORKLOADS, zone=1, stream_rate=3.5, parent_kind=1, origin_kind=2)
LINK_CAPACITY = 6.0  # fills at full rate that the link carries at once
CACHE_SIZE_KB = 400_000.0
DAY_MS = 50_000.0
LARGE_FROM_MS = 10_000.0  # large objects are requested from here
LARGE_UNTIL_MS = 40_000.0  # to here


class SharedLinkSimulation(FrontSimulation):
    """Simulated caches with least-recently-used eviction that fill over one shared link."""

    def __init__(self, compiled: CompiledConfig | None, seed: int) -> None:
        self.copies: dict[
            int, OrderedDict[int, tuple[float, float]]
        ] = {}  # by cache and object: KB, creation time
        self.transfers: dict[tuple[int, int], list[float]] = {}  # by relay: ms left, rank, cache, KB, object
        self.progressed_at = 0.0
        self.wake_up_number = 0
        self.controller: LevelController | None = None
        super().__init__(FRONT_SETTINGS, tuple(cache_entry(cache) for cache in SERVERS), self.answer, seed)
        if compiled is not None and compiled.level_policy is not None:
            both = zip(compiled.route_names, compiled.table.routes, strict=True)
            routes = tuple((name, plan) for name, (plan, _) in both)
            self.controller = LevelController(
                compiled.level_policy, routes, ("grids", "maps"), Random(seed), histogram
            )
            self.send_event(compiled.plans)
            self.schedule(0.0, self.step_levels)

    def step_levels(self) -> None:
        """Evaluate the levels, as the routing actor does."""
        assert self.controller is not None
        fill_utilization = self.front.fill_limit.in_flight / max(self.front.fill_limit.size, 1.0)
        _, service_level = self.controller.step(self.now, UtilizationSample(fill_utilization, 0.0, 0.0, None))
        if service_level is not None:
            self.send_event(service_level)
        if self.now < DAY_MS:
            self.schedule(self.now + EVALUATION_INTERVAL_MS, self.step_levels)

    def send_event(self, event: i.Event) -> None:
        """Add the link's load to answers and to the signals of the levels."""
        if isinstance(event, i.RelayEnded):
            link_utilization = len(self.transfers) / LINK_CAPACITY
            event = replace(event, load=(link_utilization,))
            if self.controller is not None:
                self.controller.signals.record_link(self.now, link_utilization)
        super().send_event(event)

    def _record_final(self, pull: int, kind: str) -> None:
        super()._record_final(pull, kind)
        if self.controller is not None:
            record = self.pull_records[pull]
            latency, target_latency = self.now - record.at, record.target_at - record.at
            if kind != "shed":
                self.controller.signals.record_answer(
                    self.now, record.pull.workload, kind, latency, target_latency
                )

    def answer(self, now: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
        """Answer a cache lookup from the copies; a fill shares the link and ends with its last byte."""
        copies = self.copies.setdefault(relay.cache, OrderedDict())
        transfer_time = pull.size_kb / FRONT_SETTINGS.stream_rate
        rules = WORKLOADS[pull.workload]
        copy = copies.get(pull.object)
        max_age = relay.max_age or (rules.fresh_ttl or float("inf"))
        if copy is not None and now - copy[1] <= max_age:
            copies.move_to_end(pull.object)
            return ScriptedReply(2.0 + transfer_time)
        if relay.source == relay.cache or relay.only_cached:
            miss_remark = i.Remark.NONE if relay.source == relay.cache else i.Remark.SOURCE_LACKS
            return ScriptedReply(2.0, i.Outcome.MISS, miss_remark)
        number = len(self.pull_records[relay.id].sent) - 1
        self._progress()
        self.transfers[relay.id, number] = [
            transfer_time,
            float(relay.rank),
            relay.cache,
            pull.size_kb,
            pull.object,
        ]
        self._schedule_wake_up()
        return ScriptedReply(None)

    def _progress(self) -> None:
        """Account for the bytes transferred since the last change."""
        rate = min(1.0, LINK_CAPACITY / max(len(self.transfers), 1))
        for entry in self.transfers.values():
            entry[0] -= (self.now - self.progressed_at) * rate
        self.progressed_at = self.now

    def _schedule_wake_up(self) -> None:
        """Schedule a call for the end of the first transfer; an earlier schedule becomes void."""
        self.wake_up_number += 1
        if self.transfers:
            rate = min(1.0, LINK_CAPACITY / len(self.transfers))
            wake_up_number = self.wake_up_number
            first_end = max(min(entry[0] for entry in self.transfers.values()), 0.0) / rate
            self.schedule(self.now + first_end + 0.01, lambda: self._finish_transfers(wake_up_number))

    def _finish_transfers(self, wake_up_number: int) -> None:
        if wake_up_number != self.wake_up_number:
            return
        self._progress()
        for (pull, number), entry in list(self.transfers.items()):
            if entry[0] <= 0.05:
                del self.transfers[pull, number]
                if entry[1]:
                    copies = self.copies[int(entry[2])]
                    copies[int(entry[4])] = (entry[3], self.now)
                    while sum(size for size, _ in copies.values()) > CACHE_SIZE_KB:
                        copies.popitem(last=False)
                self._end_relay(pull, number, ScriptedReply(0.0, i.Outcome.OK, i.Remark.FILLED))
        self._schedule_wake_up()

    def _end_relay(self, pull: int, number: int, reply: ScriptedReply) -> None:
        if (pull, number) in self.transfers:  # timed out or cancelled: it leaves the link
            self._progress()
            del self.transfers[pull, number]
            self._schedule_wake_up()
        super()._end_relay(pull, number, reply)


def run_day(
    compiled: CompiledConfig | None, load_factor: float, seed: int, is_plain: bool = False
) -> SharedLinkSimulation:
    """Play a day; with `is_plain` the logic neither sheds early nor spills under load."""
    admission_share, spill_share = logic.ADMISSION_SHARE, logic.SPILL_SHARE
    if is_plain:
        logic.ADMISSION_SHARE = logic.SPILL_SHARE = 1e9
    try:
        simulation = SharedLinkSimulation(compiled, seed)
        random, at, number = Random(seed), 0.0, 0
        while at < DAY_MS:
            at += random.expovariate(0.03 * load_factor)
            number += 1
            is_large = LARGE_FROM_MS <= at < LARGE_UNTIL_MS and random.random() < 0.04 * load_factor
            if is_large:  # one of a few large new grids
                object_id, size_kb, workload = 900_000 + random.randrange(12) + 12 * int(at / 6000), 9000.0, 0
            elif random.random() < 0.5:
                object_id, size_kb, workload = int(600 * random.random() ** 2.5), 1200.0, 0
            else:
                object_id, size_kb, workload = 10_000 + int(1500 * random.random() ** 2.5), 200.0, 1
            time_left = WORKLOADS[workload].deadline
            pull = i.Pull(number, object_id, 0, workload, time_left, False, size_kb, object_id % 256)
            pull.client_network = number % 7
            if compiled is not None:
                key = RouteKey(workload, object_id, object_id % 256, 0, size_in_bytes(size_kb), 1)
                route_index = compiled.table.find(key)
                pull.plan_index = compiled.table.routes[route_index][0] if route_index >= 0 else -1
            simulation.pull(at, pull)
        simulation.run()
        assert simulation.violations() == [], simulation.violations()[:3]
        return simulation
    finally:
        logic.ADMISSION_SHARE, logic.SPILL_SHARE = admission_share, spill_share


def gain_share(workload: int | None) -> Callable[[SharedLinkSimulation], float]:
    """Return a function for the share of gain within the target latency while large objects are requested."""

    def share(simulation: SharedLinkSimulation) -> float:
        offered = earned = 0.0
        for record in simulation.pull_records.values():
            if workload in (None, record.pull.workload) and LARGE_FROM_MS <= record.at < LARGE_UNTIL_MS:
                pull_gain = WORKLOADS[record.pull.workload].gain
                offered += pull_gain
                earned += pull_gain * (
                    record.finals[0][1] == "finished" and record.finals[0][0] <= record.target_at
                )
        return earned / offered

    return share


def main() -> None:
    """Print, for each load and variant, the share of gain of grids, of maps and of both."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--file", type=Path, default=Path("deploy/levels.jsonnet"))
    arguments = parser.parse_args()
    compiled = load(arguments.file, SAMPLE["settings"]).compiled
    print("load  variant          grids   maps    all   spread over seeds (all)")
    for load_factor in (0.8, 1.2, 1.6, 2.0):
        variants = {"neither": (None, True), "the module": (None, False), "and levels": (compiled, False)}
        for name, (levels, is_plain) in variants.items():
            simulations = [
                run_day(levels, load_factor, seed, is_plain) for seed in range(1, arguments.seeds + 1)
            ]
            shares = [statistics.mean(map(gain_share(which), simulations)) for which in (0, 1, None)]
            by_seed = [gain_share(None)(simulation) for simulation in simulations]
            times = [
                sum(s.controller.state_machine.level_times_ms[1:]) / 1000.0
                for s in simulations
                if s.controller
            ]
            remark = f"{min(by_seed):.3f} to {max(by_seed):.3f}"
            remark += f"; {statistics.mean(times):.1f} s below full service" if times else ""
            print(f"{load_factor:4}  {name:14} {shares[0]:7.3f} {shares[1]:6.3f} {shares[2]:6.3f}   {remark}")


if __name__ == "__main__":
    main()
