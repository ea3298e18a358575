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
from cometseam.events import say
from cometseam.levels import Reading, Scheme, keep
from cometseam.levels.watch import EVERY, Watch
from cometseam.logic import Front
from cometseam.protocol.changelog import Line
from cometseam.transport.surroundings import Surroundings

KEPT_EVERY = 20_000.0  # ms between two times that a level is kept: it is old after two minutes


def histogram() -> HdrHistogram:
    """Return a histogram of hundredths of the quoted time."""
    return HdrHistogram(1, 1000, 2)


def word(name: str) -> str:
    """Return a level's name as a part of a counter's: counters are told in one line, apart by spaces."""
    return "-".join(name.split())


class Levels:
    """The levels of one front."""

    def __init__(
        self, scheme: Scheme, routes: tuple[tuple[str, int], ...], front: Front, workloads: tuple[str, ...],
        around: Surroundings, decide: Callable[[i.Event], None], opened: Callable[[], float], seed: int,
    ) -> None:  # fmt: skip
        self._front, self._around, self._decide, self._opened = front, around, decide, opened
        self._chance = Random(seed ^ 0x1E7E15)
        self._looked = self._kept = 0.0
        self._eased = front.easing.shed
        self._since = around.clock.now()
        level = self._begin(scheme)
        self._workloads = workloads
        self._watch = Watch(scheme, routes, workloads, self._chance, histogram, level)

    def _begin(self, scheme: Scheme) -> int:
        """Return the level that was kept, or full service."""
        if not scheme.keep:
            return 0
        try:
            kept = keep.read(Path(scheme.keep), self._around.clock.now())
        except keep.Unkept as error:
            say("level.not_kept", why=str(error))
            return 0
        if kept is None:
            return 0
        level = scheme.place(kept[0])
        if level is None:
            say("level.not_kept", why=f"no level has the name {kept[0]!r} any more")
            return 0
        self._since = kept[1]
        say("level.found", level=kept[0])
        return level

    def replace(self, scheme: Scheme, routes: tuple[tuple[str, int], ...]) -> None:
        """Go on under another scheme."""
        before = self._watch.name
        self._watch.replaced(scheme, routes, self._chance)
        if self._watch.name != before:
            say("level.mapped", before=before, after=self._watch.name)

    def end(self) -> None:
        """Leave nothing out any more: the file has no levels."""
        if self._watch.machine.level:
            say("level.mapped", before=self._watch.name, after="full")
        self._decide(i.Eased())

    def end_process(self) -> None:
        """Keep the level for the next start."""
        self._keep(self._around.clock.now())

    def reported(self, event: i.Ended, line: Line | None) -> None:
        """Take in how full the zone's link is, where a cache of the zone tells it."""
        settings = self._front.settings
        upper = (settings.parent_kind, settings.origin_kind)
        if line is None or line.zone != settings.zone or line.kind in upper:
            return
        if settings.link_report < len(event.load):
            self._watch.signals.link(self._around.clock.now(), event.load[settings.link_report])

    def answered(self, pull: i.Pull, taken_at: float, kind: str) -> None:
        """Take in a final answer; what the level itself shed says nothing of the trouble."""
        if kind == "shed" and self._front.easing.shed != self._eased:
            self._eased = self._front.easing.shed
            COUNTERS.add(f"levels.shed.{word(self._watch.name)}")
            return
        settings, now = self._front.settings, self._around.clock.now()
        rules = settings.workloads[pull.workload]
        sending = pull.size_kb / settings.pace if settings.pace else 0.0
        quoted = rules.quoted + rules.stretch * sending
        self._watch.signals.answered(now, pull.workload, kind, now - taken_at, quoted)

    def look(self, lag: float) -> None:
        """Take in how late the loop is, and every now and then look whether the level changes."""
        now = self._around.clock.now()
        self._watch.signals.lag(now, lag)
        if now - self._looked < EVERY:
            return
        self._looked = now
        front = self._front
        budgets = list(front.plans.budgets.values())
        spent = sum(not budget.has_room(now) for budget in budgets) / len(budgets) if budgets else None
        pool = self._around.pool
        fills = front.fills.out / max(front.fills.size, 1.0)
        reading = Reading(fills, pool.out / pool.most, self._opened(), spent)
        change, eased = self._watch.step(now, reading)
        if change is not None:
            scheme = self._watch.machine.scheme
            COUNTERS.add("levels.changes")
            known = {name: value for name, value in change.values.items() if value is not None}
            before, after = scheme.name(change.before), scheme.name(change.after)
            why, stayed = change.why, change.stayed
            say("level.changed", before=before, after=after, why=why, values=known, stayed=stayed)
            self._since = now
        if eased is not None:
            self._decide(eased)
        for what, count in front.easing.counts.items():
            COUNTERS.counts[f"levels.left_out.{self._named(what)}"] = count
        for name, time in self._watch.times().items():
            COUNTERS.most[f"levels.s_in.{word(name)}"] = time
        if change is not None or now - self._kept >= KEPT_EVERY:
            self._keep(now)

    def _named(self, what: str) -> str:
        """Return what was left out with the workload by its name."""
        kind, _, workload = what.partition(".")
        return f"{kind}.{self._workloads[int(workload)]}" if workload else kind

    def _keep(self, now: float) -> None:
        self._kept = now
        path = self._watch.machine.scheme.keep
        if not path:
            return
        try:
            keep.write(Path(path), self._watch.name, self._since, now)
        except OSError as error:
            COUNTERS.add("levels.not_kept")
            say("level.not_kept", why=f"{path}: {error.strerror}")
