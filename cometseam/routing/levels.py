"""Connects the levels of reduced service to the router: feeds in signals, passes on changes of level.

All of this runs in the router's actor. The only disk access is the snapshot of the level for a restart: a
small file, written a few times a minute.
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

SNAPSHOT_INTERVAL_MS = 20_000.0  # a snapshot is too old to use after two minutes


def histogram() -> HdrHistogram:
    """Return a histogram of latencies in hundredths of the target latency."""
    return HdrHistogram(1, 1000, 2)


def counter_label(name: str) -> str:
    """Return a level's name without spaces, which separate the counters in a log line."""
    return "-".join(name.split())


class LevelManager:
    """Manages the level of reduced service of one front."""

    def __init__(
        self,
        policy: LevelPolicy,
        routes: tuple[tuple[str, int], ...],
        front: Front,
        workloads: tuple[str, ...],
        resources: ProcessResources,
        process_event: Callable[[i.Event], None],
        open_share: Callable[[], float],
        seed: int,
    ) -> None:
        self._front, self._resources, self._process_event, self._open_share = (
            front,
            resources,
            process_event,
            open_share,
        )
        self._random = Random(seed ^ 0x1E7E15)
        self._evaluated_at = self._saved_at = 0.0
        self._last_shed_count = front.load_shedder.shed_count
        self._level_since = resources.clock.now()
        level = self._restore_level(policy)
        self._workloads = workloads
        self._controller = LevelController(policy, routes, workloads, self._random, histogram, level)

    def _restore_level(self, policy: LevelPolicy) -> int:
        """Return the number of the level in the snapshot; 0 (full service) if there is none to use."""
        if not policy.keep:
            return 0
        try:
            saved = snapshot.read(Path(policy.keep), self._resources.clock.now())
        except snapshot.SnapshotError as error:
            log_event("level.not_kept", why=str(error))
            return 0
        if saved is None:
            return 0
        level = policy.level_number(saved[0])
        if level is None:
            log_event("level.not_kept", why=f"no level is named {saved[0]!r} any more")
            return 0
        self._level_since = saved[1]
        log_event("level.found", level=saved[0])
        return level

    def replace(self, policy: LevelPolicy, routes: tuple[tuple[str, int], ...]) -> None:
        """Replace the level policy; keep the level that corresponds to the current one."""
        before = self._controller.level_name
        self._controller.replace_policy(policy, routes, self._random)
        if self._controller.level_name != before:
            log_event("level.mapped", before=before, after=self._controller.level_name)

    def disable(self) -> None:
        """Return to full service: the operator's file no longer has levels."""
        if self._controller.state_machine.level:
            log_event("level.mapped", before=self._controller.level_name, after="full")
        self._process_event(i.ServiceLevel())

    def save_level(self) -> None:
        """Write the snapshot of the level for the next start."""
        self._save(self._resources.clock.now())

    def record_link_report(self, event: i.RelayEnded, entry: EndpointEntry | None) -> None:
        """Record the utilization of the zone's link, if an edge cache of the zone reports it."""
        settings = self._front.settings
        upper_tier_kinds = (settings.parent_kind, settings.origin_kind)
        if entry is None or entry.zone != settings.zone or entry.kind in upper_tier_kinds:
            return
        if settings.link_load_index < len(event.load):
            self._controller.signals.record_link(
                self._resources.clock.now(), event.load[settings.link_load_index]
            )

    def record_answer(self, pull: i.Pull, received_at: float, kind: str) -> None:
        """Record a final answer as a signal.

        Pulls that the level itself shed are only counted: they say nothing about the load.
        """
        if kind == "shed" and self._front.load_shedder.shed_count != self._last_shed_count:
            self._last_shed_count = self._front.load_shedder.shed_count
            COUNTERS.add(f"levels.shed.{counter_label(self._controller.level_name)}")
            return
        settings, now = self._front.settings, self._resources.clock.now()
        workload = settings.workloads[pull.workload]
        sending_time = pull.size_kb / settings.stream_rate if settings.stream_rate else 0.0
        target_latency = workload.target_latency + workload.target_latency_factor * sending_time
        self._controller.signals.record_answer(now, pull.workload, kind, now - received_at, target_latency)

    def update(self, lag: float) -> None:
        """Record the event loop's lag (ms); once per evaluation interval, evaluate the level."""
        now = self._resources.clock.now()
        self._controller.signals.record_lag(now, lag)
        if now - self._evaluated_at < EVALUATION_INTERVAL_MS:
            return
        self._evaluated_at = now
        front = self._front
        budgets = list(front.active_plans.budgets.values())
        exhausted_share = (
            sum(not budget.has_room(now) for budget in budgets) / len(budgets) if budgets else None
        )
        pool = self._resources.pool
        fill_utilization = front.fill_limit.in_flight / max(front.fill_limit.size, 1.0)
        sample = UtilizationSample(
            fill_utilization, pool.in_use / pool.max_buffers, self._open_share(), exhausted_share
        )
        change, service_level = self._controller.step(now, sample)
        if change is not None:
            policy = self._controller.state_machine.policy
            COUNTERS.add("levels.changes")
            known_values = {name: value for name, value in change.values.items() if value is not None}
            before, after = policy.level_name(change.before), policy.level_name(change.after)
            reason, previous_duration = change.reason, change.previous_duration
            log_event(
                "level.changed",
                before=before,
                after=after,
                why=reason,
                values=known_values,
                stayed=previous_duration,
            )
            self._level_since = now
        if service_level is not None:
            self._process_event(service_level)
        for label, count in front.load_shedder.skipped_counts.items():
            COUNTERS.counts[f"levels.left_out.{self._with_workload_name(label)}"] = count
        for name, seconds in self._controller.seconds_by_level().items():
            COUNTERS.maxima[f"levels.s_in.{counter_label(name)}"] = seconds
        if change is not None or now - self._saved_at >= SNAPSHOT_INTERVAL_MS:
            self._save(now)

    def _with_workload_name(self, label: str) -> str:
        """Return a label of the skipped counts with the workload's name in place of its index."""
        kind, _, workload = label.partition(".")
        return f"{kind}.{self._workloads[int(workload)]}" if workload else kind

    def _save(self, now: float) -> None:
        self._saved_at = now
        path = self._controller.state_machine.policy.keep
        if not path:
            return
        try:
            snapshot.write(Path(path), self._controller.level_name, self._level_since, now)
        except OSError as error:
            COUNTERS.add("levels.not_kept")
            log_event("level.not_kept", why=f"{path}: {error.strerror}")
