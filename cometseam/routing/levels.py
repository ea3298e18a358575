"""The levels of reduced service beside the module's actor: what it sees goes in, the module is told.

All of it runs in the actor. Only what is kept over restarts touches a disk: a small file, a few times a
minute.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from cometseam import interface as i
from cometseam.counters import COUNTERS
from cometseam.events import log_event
from cometseam.levels import LevelPolicy, UtilizationSample, snapshot
from cometseam.levels.controller import EVALUATION_INTERVAL_MS, LevelController
from cometseam.logic import Front
from cometseam.protocol.discovery_events import EndpointEntry
from cometseam.transport.resources import ProcessResources

KEPT_EVERY = 20_000.0  # ms between two times that a level is kept: it is old after two minutes


def histogram() -> HdrHistogram:
    """Return a histogram of hundredths of the quoted time."""
    return HdrHistogram(1, 1000, 2)


def counter_label(name: str) -> str:
    """Return a level's name as a part of a counter's: counters are told in one line, apart by spaces."""
    return "-".join(name.split())


class LevelManager:
    """The levels of one front."""

    def __init__(
        self,
        scheme: LevelPolicy,
        routes: tuple[tuple[str, int], ...],
        front: Front,
        workloads: tuple[str, ...],
        around: ProcessResources,
        decide: Callable[[i.Event], None],
        opened: Callable[[], float],
        seed: int,
    ) -> None:
        self._front, self._around, self._decide, self._opened = front, around, decide, opened
        self._chance = Random(seed ^ 0x1E7E15)
        self._looked = self._kept = 0.0
        self._eased = front.load_shedder.shed_count
        self._since = around.clock.now()
        level = self._begin(scheme)
        self._workloads = workloads
        self._watch = LevelController(scheme, routes, workloads, self._chance, histogram, level)

    def _begin(self, scheme: LevelPolicy) -> int:
        """Return the level that was kept, or full service."""
        if not scheme.keep:
            return 0
        try:
            kept = snapshot.read(Path(scheme.keep), self._around.clock.now())
        except snapshot.SnapshotError as error:
            log_event("level.not_kept", why=str(error))
            return 0
        if kept is None:
            return 0
        level = scheme.level_number(kept[0])
        if level is None:
            log_event("level.not_kept", why=f"no level has the name {kept[0]!r} any more")
            return 0
        self._since = kept[1]
        log_event("level.found", level=kept[0])
        return level

    def replace(self, scheme: LevelPolicy, routes: tuple[tuple[str, int], ...]) -> None:
        """Go on under another scheme."""
        before = self._watch.level_name
        self._watch.replace_policy(scheme, routes, self._chance)
        if self._watch.level_name != before:
            log_event("level.mapped", before=before, after=self._watch.level_name)

    def disable(self) -> None:
        """Leave nothing out any more: the file has no levels."""
        if self._watch.state_machine.level:
            log_event("level.mapped", before=self._watch.level_name, after="full")
        self._decide(i.ServiceLevel())

    def save_level(self) -> None:
        """Keep the level for the next start."""
        self._keep(self._around.clock.now())

    def record_link_report(self, event: i.RelayEnded, line: EndpointEntry | None) -> None:
        """Take in how full the zone's link is, where a cache of the zone tells it."""
        settings = self._front.settings
        upper = (settings.parent_kind, settings.origin_kind)
        if line is None or line.zone != settings.zone or line.kind in upper:
            return
        if settings.link_load_index < len(event.load):
            self._watch.signals.record_link(self._around.clock.now(), event.load[settings.link_load_index])

    def record_answer(self, pull: i.Pull, taken_at: float, kind: str) -> None:
        """Take in a final answer; what the level itself shed says nothing of the trouble."""
        if kind == "shed" and self._front.load_shedder.shed_count != self._eased:
            self._eased = self._front.load_shedder.shed_count
            COUNTERS.add(f"levels.shed.{counter_label(self._watch.level_name)}")
            return
        settings, now = self._front.settings, self._around.clock.now()
        rules = settings.workloads[pull.workload]
        sending = pull.size_kb / settings.stream_rate if settings.stream_rate else 0.0
        quoted = rules.target_latency + rules.target_latency_factor * sending
        self._watch.signals.record_answer(now, pull.workload, kind, now - taken_at, quoted)

    def update(self, lag: float) -> None:
        """Take in how late the loop is, and every now and then look whether the level changes."""
        now = self._around.clock.now()
        self._watch.signals.record_lag(now, lag)
        if now - self._looked < EVALUATION_INTERVAL_MS:
            return
        self._looked = now
        front = self._front
        budgets = list(front.active_plans.budgets.values())
        spent = sum(not budget.has_room(now) for budget in budgets) / len(budgets) if budgets else None
        pool = self._around.pool
        fills = front.fill_limit.in_flight / max(front.fill_limit.size, 1.0)
        reading = UtilizationSample(fills, pool.in_use / pool.max_buffers, self._opened(), spent)
        change, eased = self._watch.step(now, reading)
        if change is not None:
            scheme = self._watch.state_machine.policy
            COUNTERS.add("levels.changes")
            known = {name: value for name, value in change.values.items() if value is not None}
            before, after = scheme.level_name(change.before), scheme.level_name(change.after)
            why, stayed = change.reason, change.previous_duration
            log_event("level.changed", before=before, after=after, why=why, values=known, stayed=stayed)
            self._since = now
        if eased is not None:
            self._decide(eased)
        for what, count in front.load_shedder.skipped_counts.items():
            COUNTERS.counts[f"levels.left_out.{self._named(what)}"] = count
        for name, time in self._watch.seconds_by_level().items():
            COUNTERS.maxima[f"levels.s_in.{counter_label(name)}"] = time
        if change is not None or now - self._kept >= KEPT_EVERY:
            self._keep(now)

    def _named(self, what: str) -> str:
        """Return what was left out with the workload by its name."""
        kind, _, workload = what.partition(".")
        return f"{kind}.{self._workloads[int(workload)]}" if workload else kind

    def _keep(self, now: float) -> None:
        self._kept = now
        path = self._watch.state_machine.policy.keep
        if not path:
            return
        try:
            snapshot.write(Path(path), self._watch.level_name, self._since, now)
        except OSError as error:
            COUNTERS.add("levels.not_kept")
            log_event("level.not_kept", why=f"{path}: {error.strerror}")
