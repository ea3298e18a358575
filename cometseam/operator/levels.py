"""From the form of the levels to a scheme, with the checks that take more than one value."""

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
Complain = Callable[[Path, str], None]


def build_level_policy(
    form: LevelsForm | None, platform: Platform, routes: list[RouteForm], complain: Complain
) -> LevelPolicy | None:
    """Return the scheme that a form stands for; what is wrong is told."""
    if form is None:
        return None
    reader = _Reader(platform, {route.name for route in routes}, complain)
    levels = tuple(reader.level(number, step) for number, step in enumerate(form.steps))
    names: set[str] = {FULL_SERVICE}
    for number, step in enumerate(form.steps):
        if step.name in names:
            complain(("levels", "steps", number, "name"), f"{step.name!r} is the name of another level")
        names.add(step.name)
    for number in range(1, len(levels)):
        if not is_at_least_as_strict(levels[number].measures, levels[number - 1].measures):
            complain(
                ("levels", "steps", number, "measures"),
                f"{levels[number].name} leaves out less than {levels[number - 1].name}, which comes first",
            )
    return LevelPolicy(levels, form.spread, form.calm, form.reading, form.keep)


class _Reader:
    def __init__(self, platform: Platform, routes: set[str], complain: Complain) -> None:
        self._platform, self._routes, self._complain = platform, routes, complain
        self._workloads = platform.names.workloads
        self._known = signal_names(self._workloads)

    def level(self, number: int, form: LevelForm) -> Level:
        path: Path = ("levels", "steps", number)
        enter = self._condition(form.enter, (*path, "enter"))
        leave = self._condition(form.leave, (*path, "leave"))
        self._gap(enter, leave, path)
        return Level(form.name, enter, leave, self._measures(form, path), form.stay, form.ramp)

    def _condition(self, form: ConditionForm, path: Path) -> CompoundCondition:
        if form.signal is not None:
            return CompoundCondition(True, (self._leaf(form, path),))
        name, forms = ("all", form.all) if form.all is not None else ("any", form.any or [])
        parts = tuple(
            self._leaf(part, (*path, name, place))
            if part.signal is not None
            else self._condition(part, (*path, name, place))
            for place, part in enumerate(forms)
        )
        return CompoundCondition(name == "all", parts)

    def _leaf(self, form: ConditionForm, path: Path) -> ThresholdCondition:
        signal = form.signal or ""
        above = form.above is not None
        bound = form.above if form.above is not None else form.below
        assert bound is not None
        if signal not in self._known:
            self._complain((*path, "signal"), f"{signal!r} is no signal; known are {', '.join(self._known)}")
        elif signal == "link" and not self._link_is_told():
            why = "the caches of this deployment do not report x1, so it is never known"
            self._complain((*path, "signal"), f"link: {why}")
        elif above and bound >= SIGNAL_MAX.get(signal.partition(":")[0], float("inf")):
            self._complain((*path, "above"), f"{signal} never passes {bound:g}: it can never hold")
        elif not above and bound <= 0.0:
            self._complain((*path, "below"), f"{signal} is never below {bound:g}: it can never hold")
        return ThresholdCondition(signal, above, bound, form.for_)

    def _link_is_told(self) -> bool:
        return self._platform.settings.link_load_index < len(self._platform.names.load_report_names)

    def _gap(self, enter: CompoundCondition, leave: CompoundCondition, path: Path) -> None:
        """Each bound that lets in must be undone by one that lets out, with a gap between them."""
        outs = list(leave.leaves())
        for leaf in enter.leaves():
            against = [out for out in outs if out.signal == leaf.signal and out.above != leaf.above]
            if not against:
                self._complain(
                    (*path, "leave"),
                    f"it says nothing of {leaf.signal}, which lets in: it would be left while that holds",
                )
            for out in against:
                gap = leaf.bound - out.bound if leaf.above else out.bound - leaf.bound
                if gap <= 0.0:
                    side, other = ("above", "below") if leaf.above else ("below", "above")
                    self._complain(
                        (*path, "leave"),
                        f"{leaf.signal} lets in {side} {leaf.bound:g} and out {other} {out.bound:g}: "
                        "there is no gap to hover in",
                    )
        if not _can_hold(leave):
            self._complain((*path, "leave"), "its conditions contradict: the level could never be left")
        if not _can_hold(enter):
            self._complain((*path, "enter"), "its conditions contradict: the level could never be entered")

    def _measures(self, form: LevelForm, path: Path) -> LevelActions:
        told = form.measures
        path = (*path, "measures")
        shed: list[ShedShare] = []
        for place, share in enumerate(told.shed):
            at: Path = (*path, "shed", place)
            if share.workload is not None and share.workload not in self._workloads:
                names = ", ".join(self._workloads)
                why = f"the settings have no workload {share.workload!r}; they have {names}"
                self._complain((*at, "workload"), why)
                continue
            if share.route is not None and share.route not in self._routes:
                self._complain((*at, "route"), f"{share.route!r} is no route")
                continue
                continue
            number = self._workloads.index(share.workload) if share.workload is not None else -1
            new = ShedShare(number, share.route or "", share.share)
            if any((old.workload, old.route) == (new.workload, new.route) for old in shed):
                self._complain(at, "its share is said twice")
            shed.append(new)
        whole = {one.workload for one in shed if one.share >= 1.0}
        if whole >= set(range(len(self._workloads))):
            self._complain((*path, "shed"), "it sheds all of every workload: that is no service at all")
        if told.ageing and not any(workload.stale_ttl for workload in self._platform.settings.workloads):
            self._complain((*path, "ageing"), "no workload has copies that may age: it could never act")
        if told.later is not None and not self._platform.settings.sends_retry_after:
            self._complain((*path, "later"), "the settings do not let clients be told when to come back")
        if told.later is not None and not shed:
            self._complain((*path, "later"), "it goes with shed pulls, and the level sheds none")
        measures = LevelActions(
            tuple(shed), told.ageing, told.first_seen_fills, told.further_relays, told.fills, told.later
        )
        if measures == LevelActions() and not told.shed:
            self._complain(path, "it leaves nothing out: the level is full service")
        return measures


def _alternatives(condition: CompoundCondition) -> Iterator[dict[str, tuple[float, float]]]:
    """Yield each way in which a condition can hold: by signal the range between its bounds."""
    ways: list[dict[str, tuple[float, float]]] = [{}]
    for part in condition.parts:
        mine: list[dict[str, tuple[float, float]]]
        if isinstance(part, ThresholdCondition):
            mine = [{part.signal: (part.bound, float("inf")) if part.above else (float("-inf"), part.bound)}]
        else:
            mine = list(_alternatives(part))
        if not condition.all:
            yield from mine
            continue
        joined = []
        for way in ways:
            for more in mine:
                both = dict(way)
                for signal, (low, high) in more.items():
                    a, b = both.get(signal, (float("-inf"), float("inf")))
                    both[signal] = (max(a, low), min(b, high))
                joined.append(both)
        ways = joined[:256]  # past so many ways it counts as one that can hold
    if condition.all:
        yield from ways


def _can_hold(condition: CompoundCondition) -> bool:
    return any(all(low < high for low, high in way.values()) for way in _alternatives(condition))
