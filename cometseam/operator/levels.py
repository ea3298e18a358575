"""Builds the level policy from its form in the operator's file, and checks values together."""

from collections.abc import Callable, Iterator

from cometseam.levels import (
    CompoundCondition,
    Level,
    LevelActions,
    LevelPolicy,
    ShedShare,
    ThresholdCondition,
)
from cometseam.levels.policy import FULL_SERVICE, is_at_least_as_strict
from cometseam.levels.signals import SIGNAL_MAX, signal_names
from cometseam.operator.platform import Platform
from cometseam.operator.schema import ConditionForm, LevelForm, LevelsForm, RouteForm

Path = tuple[str | int, ...]
ReportFault = Callable[[Path, str], None]


def build_level_policy(
    form: LevelsForm | None, platform: Platform, routes: list[RouteForm], report_fault: ReportFault
) -> LevelPolicy | None:
    """Return the level policy of a form, or None where the file has no levels; reports each fault."""
    if form is None:
        return None
    builder = _LevelBuilder(platform, {route.name for route in routes}, report_fault)
    levels = tuple(builder.level(number, step) for number, step in enumerate(form.steps))
    names: set[str] = {FULL_SERVICE}
    for number, step in enumerate(form.steps):
        if step.name in names:
            report_fault(("levels", "steps", number, "name"), f"{step.name!r} is the name of another level")
        names.add(step.name)
    for number in range(1, len(levels)):
        if not is_at_least_as_strict(levels[number].measures, levels[number - 1].measures):
            report_fault(
                ("levels", "steps", number, "measures"),
                f"{levels[number].name} leaves out less than {levels[number - 1].name}, which comes first",
            )
    return LevelPolicy(levels, form.spread, form.calm, form.reading, form.keep)


class _LevelBuilder:
    def __init__(self, platform: Platform, routes: set[str], report_fault: ReportFault) -> None:
        self._platform, self._routes, self._report_fault = platform, routes, report_fault
        self._workloads = platform.names.workloads
        self._signal_names = signal_names(self._workloads)

    def level(self, number: int, form: LevelForm) -> Level:
        path: Path = ("levels", "steps", number)
        enter = self._condition(form.enter, (*path, "enter"))
        leave = self._condition(form.leave, (*path, "leave"))
        self._check_hysteresis(enter, leave, path)
        return Level(form.name, enter, leave, self._level_actions(form, path), form.stay, form.ramp)

    def _condition(self, form: ConditionForm, path: Path) -> CompoundCondition:
        if form.signal is not None:
            return CompoundCondition(True, (self._threshold(form, path),))
        name, forms = ("all", form.all) if form.all is not None else ("any", form.any or [])
        parts = tuple(
            self._threshold(part, (*path, name, index))
            if part.signal is not None
            else self._condition(part, (*path, name, index))
            for index, part in enumerate(forms)
        )
        return CompoundCondition(name == "all", parts)

    def _threshold(self, form: ConditionForm, path: Path) -> ThresholdCondition:
        signal = form.signal or ""
        above = form.above is not None
        bound = form.above if form.above is not None else form.below
        assert bound is not None
        if signal not in self._signal_names:
            self._report_fault(
                (*path, "signal"), f"{signal!r} is not a signal; known are {', '.join(self._signal_names)}"
            )
        elif signal == "link" and not self._link_is_reported():
            reason = "the caches of this deployment do not report x1, so it is never known"
            self._report_fault((*path, "signal"), f"link: {reason}")
        elif above and bound >= SIGNAL_MAX.get(signal.partition(":")[0], float("inf")):
            self._report_fault((*path, "above"), f"{signal} never passes {bound:g}: it can never hold")
        elif not above and bound <= 0.0:
            self._report_fault((*path, "below"), f"{signal} is never below {bound:g}: it can never hold")
        return ThresholdCondition(signal, above, bound, form.for_)

    def _link_is_reported(self) -> bool:
        return self._platform.settings.link_load_index < len(self._platform.names.load_report_names)

    def _check_hysteresis(self, enter: CompoundCondition, leave: CompoundCondition, path: Path) -> None:
        """Check that each `enter` bound has an opposite `leave` bound on its signal, with a gap between."""
        leave_thresholds = list(leave.leaves())
        for entering in enter.leaves():
            opposites = [
                leaving
                for leaving in leave_thresholds
                if leaving.signal == entering.signal and leaving.above != entering.above
            ]
            if not opposites:
                self._report_fault(
                    (*path, "leave"),
                    f"it has no opposite bound on {entering.signal}, which is in enter: "
                    "the level would be left while its enter condition holds",
                )
            for leaving in opposites:
                gap = entering.bound - leaving.bound if entering.above else leaving.bound - entering.bound
                if gap <= 0.0:
                    side, other = ("above", "below") if entering.above else ("below", "above")
                    self._report_fault(
                        (*path, "leave"),
                        f"{entering.signal} enters {side} {entering.bound:g} and leaves {other} "
                        f"{leaving.bound:g}: a gap between the two bounds was expected",
                    )
        if not _can_hold(leave):
            self._report_fault((*path, "leave"), "its conditions contradict: the level could never be left")
        if not _can_hold(enter):
            self._report_fault(
                (*path, "enter"), "its conditions contradict: the level could never be entered"
            )

    def _level_actions(self, form: LevelForm, path: Path) -> LevelActions:
        measures = form.measures
        path = (*path, "measures")
        shed: list[ShedShare] = []
        for index, share in enumerate(measures.shed):
            shed_path: Path = (*path, "shed", index)
            if share.workload is not None and share.workload not in self._workloads:
                names = ", ".join(self._workloads)
                reason = f"the settings have no workload {share.workload!r}; they have {names}"
                self._report_fault((*shed_path, "workload"), reason)
                continue
            if share.route is not None and share.route not in self._routes:
                self._report_fault((*shed_path, "route"), f"{share.route!r} is not a route")
                continue
                continue
            number = self._workloads.index(share.workload) if share.workload is not None else -1
            new = ShedShare(number, share.route or "", share.share)
            if any((earlier.workload, earlier.route) == (new.workload, new.route) for earlier in shed):
                self._report_fault(shed_path, "the share of this workload or route is set twice")
            shed.append(new)
        fully_shed = {entry.workload for entry in shed if entry.share >= 1.0}
        if fully_shed >= set(range(len(self._workloads))):
            self._report_fault(
                (*path, "shed"), "it sheds all pulls of every workload: nothing would be served"
            )
        if measures.ageing and not any(workload.stale_ttl for workload in self._platform.settings.workloads):
            self._report_fault((*path, "ageing"), "no workload has copies that may age: it could never act")
        if measures.later is not None and not self._platform.settings.sends_retry_after:
            self._report_fault((*path, "later"), "the settings do not let clients be told when to come back")
        if measures.later is not None and not shed:
            self._report_fault((*path, "later"), "it applies to shed pulls only, and the level sheds none")
        actions = LevelActions(
            tuple(shed),
            measures.ageing,
            measures.first_seen_fills,
            measures.further_relays,
            measures.fills,
            measures.later,
        )
        if actions == LevelActions() and not measures.shed:
            self._report_fault(path, "it reduces nothing: the level is full service")
        return actions


def _possible_ranges(condition: CompoundCondition) -> Iterator[dict[str, tuple[float, float]]]:
    """Yield the alternatives under which a condition holds, each as the open range of every signal in it."""
    alternatives: list[dict[str, tuple[float, float]]] = [{}]
    for part in condition.parts:
        part_alternatives: list[dict[str, tuple[float, float]]]
        if isinstance(part, ThresholdCondition):
            part_alternatives = [
                {part.signal: (part.bound, float("inf")) if part.above else (float("-inf"), part.bound)}
            ]
        else:
            part_alternatives = list(_possible_ranges(part))
        if not condition.all:
            yield from part_alternatives
            continue
        combined = []
        for alternative in alternatives:
            for part_ranges in part_alternatives:
                ranges = dict(alternative)
                for signal, (low, high) in part_ranges.items():
                    earlier_low, earlier_high = ranges.get(signal, (float("-inf"), float("inf")))
                    ranges[signal] = (max(earlier_low, low), min(earlier_high, high))
                combined.append(ranges)
        alternatives = combined[:256]  # bounds the work: further alternatives are not checked
    if condition.all:
        yield from alternatives


def _can_hold(condition: CompoundCondition) -> bool:
    return any(all(low < high for low, high in ranges.values()) for ranges in _possible_ranges(condition))
