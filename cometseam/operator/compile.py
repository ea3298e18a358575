"""From the form of the operator's file to what serving holds, with the checks that take more than one value.

Without I/O. A plan is inherited by the leaf: the file's `default`, then that of the pull's workload, then
the route's; `null` takes an inherited value back, to what the module decides without a plan. A route that
matches several workloads becomes one entry for each of them whose plan differs; after all routes stands one
entry for each workload.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from cometseam.interface import Plan, Plans, RelayKind, RetryBudgetTerms, ScaledDuration
from cometseam.operator import fleet
from cometseam.operator.compiled import CompiledConfig
from cometseam.operator.levels import build_level_policy
from cometseam.operator.networks import Networks, format_intervals
from cometseam.operator.platform import Platform
from cometseam.operator.schema import BudgetForm, FileForm, MatchForm, PlanForm, RouteForm
from cometseam.timing.intervals import Intervals, difference, intersection, union, universal_box
from cometseam.timing.table import AXIS_ENDS, BYTES_PER_KB, Box, RouteTable
from cometseam.timing.tree_builder import RouteTreeBuilder, covered_routes, overlapping_earlier
from cometseam.timing.validate import OUTCOMES_BY_NAME, PlanContext, validate_plan

Path = tuple[str | int, ...]
BUILT_IN_DEFAULT = "the default of the program"
LEAVES = ("time_outs", "relays", "wait", "second", "retry_on", "budget", "later", "until")


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """One line of the compiled routes."""

    name: str  # of the route, or `workload maps` where no route matches
    route_index: int  # its place in the file; -1: none
    workload: int
    plan: Plan
    value_sources: dict[str, str]  # by leaf of the plan, where its value came from
    box: Box


class Compiler:
    """Compiles one file; what is wrong is in `faults`."""

    def __init__(self, file: FileForm, platform: Platform) -> None:
        self.file, self.platform = file, platform
        self.faults: list[tuple[Path, str]] = []
        self._told: set[tuple[Path, str]] = set()
        self.entries: list[RouteEntry] = []
        self._workloads = {name: place for place, name in enumerate(platform.names.workloads)}
        for name in file.workloads:
            if name not in self._workloads:
                self._complain(("workloads", name), self._unknown(name))
        for name in file.largest:
            if name not in self._workloads:
                self._complain(("largest", name), self._unknown(name))
        self.networks = Networks(file.networks, self._complain)
        self._budgets_apart()
        self._routes()
        self._fallbacks()
        self.level_policy = build_level_policy(file.levels, platform, self.file.routes, self._complain)
        self.fleet = fleet.check_fleet(file.fleet, platform.settings, self._complain)
        self._budgets_of_the_fleet()

    def _complain(self, path: Path, reason: str) -> None:
        if (path, reason) not in self._told:
            self._told.add((path, reason))
            self.faults.append((path, reason))

    def _unknown(self, name: str) -> str:
        return f"the settings have no workload {name!r}; they have {', '.join(self._workloads)}"

    # Networks

    def _budgets_of_the_fleet(self) -> None:
        """What a budget allows the fleet must be shared out by somebody."""
        file = self.file
        if file.fleet is not None and file.fleet.limits is not None:
            return
        held: list[tuple[Path, BudgetForm | None]] = [(("front",), file.front.budget)]
        held += [(("networks", name), form.budget) for name, form in file.networks.items()]
        plans = [(("default",), file.default), *((("workloads", n), p) for n, p in file.workloads.items())]
        held += [(path, plan.budget) for path, plan in plans]
        held += [(("routes", place, "plan"), route.plan.budget) for place, route in enumerate(file.routes)]
        for path, budget in held:
            if budget is not None and budget.fleet is not None:
                self._complain(
                    (*path, "budget", "fleet"), "the file has no fleet.limits: nobody would share it out"
                )

    def _budgets_apart(self) -> None:
        """A client's network must be one, where it is to have a budget of its own."""
        with_budget = [name for name, form in self.file.networks.items() if form.budget is not None]
        for place, name in enumerate(with_budget):
            for earlier in with_budget[:place]:
                both = intersection(self.networks.intervals[name], self.networks.intervals[earlier])
                if both:
                    self._complain(
                        ("networks", name, "budget"),
                        f"{name} and {earlier} overlap in {format_intervals(both)}, and both have a budget",
                    )

    # Routes

    def _routes(self) -> None:
        seen: dict[str, int] = {}
        boxes: list[Box] = []
        places: list[int] = []
        for place, route in enumerate(self.file.routes):
            if route.name in seen:
                first = seen[route.name]
                self._complain(("routes", place, "name"), f"{route.name!r} names routes[{first}] too")
            seen.setdefault(route.name, place)
            box = self._box(place, route.match)
            if box is None:
                continue
            boxes.append(box)
            places.append(place)
            self.entries += self._entries(place, route, box)
        for at, by in covered_routes(boxes).items():
            place, names = places[at], [self.file.routes[places[other]].name for other in by]
            self._complain(("routes", place), f"it can never match: {', '.join(names[:6])} cover it")
        self._contradictions(boxes, places)

    def _contradictions(self, boxes: list[Box], places: list[int]) -> None:
        """Routes that differ in overlapping networks alone, neither within the other, and contradict."""
        for at, others in enumerate(overlapping_earlier(boxes)):
            mine = self.file.routes[places[at]]
            for other in others if mine.match.networks else ():
                theirs = self.file.routes[places[other]]
                if not theirs.match.networks or boxes[at][:5] != boxes[other][:5]:
                    continue
                one, two = boxes[at][5], boxes[other][5]
                both = intersection(one, two)
                if difference(one, two) and difference(two, one) and mine.plan != theirs.plan:
                    self._complain(
                        ("routes", places[at], "match", "networks"),
                        f"{format_intervals(both)} is in the networks of {theirs.name} too, "
                        "and their plans contradict; exclude it from one of them",
                    )

    def _box(self, place: int, match: MatchForm) -> Box | None:
        path: Path = ("routes", place, "match")
        box = list(universal_box())
        count = len(self._workloads)
        box[0] = ((0, count),) if count else ()
        if match.workload is not None:
            found = []
            for at, name in enumerate(match.workload):
                if name in self._workloads:
                    found.append((self._workloads[name], self._workloads[name] + 1))
                else:
                    self._complain((*path, "workload", at), self._unknown(name))
            box[0] = union(found)
        if match.objects is not None:
            box[1] = union([_objects(form.prefix, form.from_, form.to) for form in match.objects])
        for axis, ranges in ((2, match.groups), (3, match.parts)):
            if ranges is not None:
                box[axis] = union([_range(form.from_, form.to, AXIS_ENDS[axis]) for form in ranges])
        if match.size is not None:
            high = AXIS_ENDS[4] if match.size.to is None else min(int(match.size.to), AXIS_ENDS[4])
            box[4] = union([(int(match.size.from_), high)])
        if match.networks is not None:
            addresses: list[tuple[int, int]] = []
            for at, name in enumerate(match.networks):
                if name in self.networks.intervals:
                    addresses += self.networks.intervals[name]
                else:
                    known = ", ".join(self.networks.intervals) or "none"
                    self._complain((*path, "networks", at), f"{name!r} is no set in networks: {known}")
            box[5] = union(addresses)
        return tuple(box) if all(box) else None

    def _entries(self, place: int, route: RouteForm, box: Box) -> Iterator[RouteEntry]:
        for number in (number for low, high in box[0] for number in range(low, high)):
            mine = self._clipped((((number, number + 1),), *box[1:]), number)
            if mine is None:
                name = self.platform.names.workloads[number]
                at = ("routes", place, "match", "size")
                most = self.file.largest[name]
                self._complain(at, f"no {name} are so large: largest.{name} is {most:g} bytes")
                continue
            plan, origins = self._resolve(number, route)
            self._prove(plan, origins, number, mine, place)
            yield RouteEntry(route.name, place, number, plan, origins, mine)

    def _clipped(self, box: Box, workload: int) -> Box | None:
        """Take out pulls larger than the file says there are: no plan is proved for them, none is given."""
        most = self.file.largest.get(self.platform.names.workloads[workload])
        sizes = box[4] if most is None else intersection(box[4], ((0, int(most) + 1),))
        return (*box[:4], sizes, box[5]) if sizes else None

    def _fallbacks(self) -> None:
        for name, number in self._workloads.items():
            plan, origins = self._resolve(number, None)
            box = self._clipped((((number, number + 1),), *universal_box()[1:]), number)
            assert box is not None  # a largest size of nothing holds that one
            self._prove(plan, origins, number, box, -1)
            self.entries.append(RouteEntry(f"workload {name}", -1, number, plan, origins, box))

    # Plans

    def _resolve(self, workload: int, route: RouteForm | None) -> tuple[Plan, dict[str, str]]:
        """Return the plan of a workload under a route, and where each of its leaves came from."""
        name = self.platform.names.workloads[workload]
        merged: dict[str, Any] = {}
        origins: dict[str, str] = {}
        layers: list[tuple[str, PlanForm]] = [("default", self.file.default)]
        if name in self.file.workloads:
            layers.append((f"workloads.{name}", self.file.workloads[name]))
        if route is not None:
            layers.append((f"routes[{self.file.routes.index(route)}]", route.plan))
        for origin, form in layers:
            _merge(merged, form.model_dump(exclude_unset=True), "", origin, origins)
        for leaf in LEAVES:
            origins.setdefault(leaf, BUILT_IN_DEFAULT)
        shared = origins["budget"]
        if route is not None and shared.startswith("routes["):
            shared = f"route {route.name}"
        return _plan(merged, route.name if route is not None else f"workload {name}", shared), origins

    def _prove(self, plan: Plan, origins: dict[str, str], workload: int, box: Box, place: int) -> None:
        """Have a plan proved; a fault is told where the value that is at fault stands."""
        settings, links = self.platform.settings, self.platform.links
        rules, pace = settings.workloads[workload], settings.stream_rate
        low, high = box[4][0][0] / BYTES_PER_KB, box[4][-1][1] / BYTES_PER_KB
        name = self.platform.names.workloads[workload]
        terms = PlanContext(
            name,
            rules,
            min(low / pace, rules.deadline) if pace else 0.0,
            # A pull that takes longer to send than its cut-off can't be served by any plan.
            min((high - 1 / BYTES_PER_KB) / pace, rules.deadline) if pace else 0.0,
            links.connect_timeout,
            origins.get("~until") == "cut-off",
            origins.get("~where") == "any",
        )
        for key, reason in validate_plan(plan, terms, settings):
            found = _origin(origins, key)
            path: Path = (*_split(found), *key.split(".")) if found != BUILT_IN_DEFAULT else _split("default")
            if found.startswith("routes["):
                path = ("routes", place, "plan", *key.split("."))
            elif place >= 0 and found != BUILT_IN_DEFAULT:
                reason += f" (in route {self.file.routes[place].name})"
            self._complain(path, reason)

    # The result

    def build(self, digest: str) -> tuple[CompiledConfig, list[Intervals]]:
        """Return what serving holds, and the intervals of networks with a budget. There must be no fault."""
        plans: dict[Plan, int] = {}
        routes = tuple((plans.setdefault(entry.plan, len(plans)), entry.box) for entry in self.entries)
        grower = RouteTreeBuilder([entry.box for entry in self.entries])
        grower.build()
        with_budget = [(name, form) for name, form in self.file.networks.items() if form.budget is not None]
        intervals = [self.networks.intervals[name] for name, _ in with_budget]
        told_plans = Plans(
            tuple(plans),
            tuple(_allowance(f"network {name}", form.budget) for name, form in with_budget),
            _allowance("front", self.file.front.budget),
        )
        trees = (tuple(grower.roots), tuple(grower.nodes), tuple(grower.leaves))
        table = RouteTable(routes, *trees, tuple(intervals))
        names = tuple(entry.name for entry in self.entries)
        return CompiledConfig(digest, told_plans, names, table, self.level_policy, self.fleet), intervals


def _objects(prefix: str | None, low: str | None, high: str | None) -> tuple[int, int]:
    if prefix is not None:
        low = high = prefix
    first = int((low or "0").ljust(16, "0"), 16)
    last = int((high or "f").ljust(16, "f"), 16)
    return first, last + 1


def _range(low: int, high: int | None, end: int) -> tuple[int, int]:
    return low, end if high is None else min(high + 1, end)


def _merge(
    into: dict[str, Any], given: dict[str, Any], path: str, origin: str, origins: dict[str, str]
) -> None:
    for key, value in given.items():
        leaf = f"{path}.{key}" if path else key
        old = into.get(key)
        if isinstance(value, dict) and key not in ("budget", "second", "wait") and not _is_span(value):
            into[key] = dict(old) if isinstance(old, dict) else {}
            _merge(into[key], value, leaf, origin, origins)
        else:
            into[key] = value
        origins[leaf] = origin
        if key == "until" and value is not None:
            origins["~until"] = value
        if key == "second" and isinstance(value, dict):
            origins["~where"] = value.get("where", "group")


def _is_span(value: dict[str, Any]) -> bool:
    return bool(value.keys() & {"base", "part"})


def _origin(origins: dict[str, str], key: str) -> str:
    while key:
        if key in origins:
            return origins[key]
        key = key.rpartition(".")[0]
    return BUILT_IN_DEFAULT


def _split(origin: str) -> Path:
    return tuple(origin.split("."))


def _span(value: Any) -> ScaledDuration | None:
    return None if value is None else ScaledDuration(value.get("base", 0.0), value.get("part", 0.0))


def _allowance(name: str, value: BudgetForm | dict[str, Any] | None) -> RetryBudgetTerms | None:
    if value is None:
        return None
    form = value if isinstance(value, BudgetForm) else BudgetForm.model_construct(**value)
    return RetryBudgetTerms(name, form.share, form.window, form.floor, float(form.fleet or 0))


def _plan(merged: dict[str, Any], name: str, shared: str) -> Plan:
    time_outs = merged.get("time_outs") or {}
    wait, second, worth = merged.get("wait"), merged.get("second"), merged.get("retry_on")
    times = []
    for kind in RelayKind:
        given = time_outs.get(kind.name.lower()) or {}
        times.append((_span(given.get("first")), _span(given.get("further"))))
    base = wait["base"] if wait else 0.0
    most = (wait.get("most") if wait else None) or base * (wait.get("growth", 2.0) if wait else 1.0) ** 10
    return Plan(
        name=name,
        time_outs=tuple(times),
        relays=merged.get("relays"),
        wait=base,
        growth=wait.get("growth", 2.0) if wait else 1.0,
        longest_wait=most,
        jitter=wait.get("jitter", 0.0) if wait else 0.0,
        second=_span(second["after"]) if second else None,
        worth=None if worth is None else frozenset(OUTCOMES_BY_NAME[word] for word in worth),
        come_back_in=merged.get("later"),
        # A budget is shared by all pulls of the part of the file that sets it.
        allowance=_allowance(shared, merged.get("budget")),
    )
