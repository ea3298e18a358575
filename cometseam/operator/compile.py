"""Compiles the validated form of the operator's file to the runtime configuration; checks values together.

Does no I/O. Plans are inherited leaf by leaf: the file's `default`, then the plan of the pull's workload,
then the route's; `null` resets an inherited value to the program's built-in default. A route that matches
several workloads becomes one entry for each of them; one fallback entry for each workload follows all routes.
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
PLAN_KEYS = ("time_outs", "relays", "wait", "second", "retry_on", "budget", "later", "until")


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """One entry of the compiled route table."""

    name: str  # of the route, or `workload maps` where no route matches
    route_index: int  # index in the file's `routes`; -1 for a workload's fallback entry
    workload: int
    plan: Plan
    value_sources: dict[str, str]  # by leaf of the plan: the part of the file that set its value
    box: Box


class Compiler:
    """Compiles one file and collects its faults in `faults`, each as the path of a key and a reason."""

    def __init__(self, file: FileForm, platform: Platform) -> None:
        self.file, self.platform = file, platform
        self.faults: list[tuple[Path, str]] = []
        self._reported: set[tuple[Path, str]] = set()
        self.entries: list[RouteEntry] = []
        self._workload_numbers = {name: number for number, name in enumerate(platform.names.workloads)}
        for name in file.workloads:
            if name not in self._workload_numbers:
                self._report_fault(("workloads", name), self._unknown_workload(name))
        for name in file.largest:
            if name not in self._workload_numbers:
                self._report_fault(("largest", name), self._unknown_workload(name))
        self.networks = Networks(file.networks, self._report_fault)
        self._check_budget_networks_disjoint()
        self._add_routes()
        self._add_workload_entries()
        self.level_policy = build_level_policy(file.levels, platform, self.file.routes, self._report_fault)
        self.fleet = fleet.check_fleet(file.fleet, platform.settings, self._report_fault)
        self._check_fleet_budgets()

    def _report_fault(self, path: Path, reason: str) -> None:
        if (path, reason) not in self._reported:
            self._reported.add((path, reason))
            self.faults.append((path, reason))

    def _unknown_workload(self, name: str) -> str:
        return f"the settings have no workload {name!r}; they have {', '.join(self._workload_numbers)}"

    # Budgets

    def _check_fleet_budgets(self) -> None:
        """Report each budget with a `fleet` limit where the file has no `fleet.limits` to share it out."""
        file = self.file
        if file.fleet is not None and file.fleet.limits is not None:
            return
        budgets: list[tuple[Path, BudgetForm | None]] = [(("front",), file.front.budget)]
        budgets += [(("networks", name), form.budget) for name, form in file.networks.items()]
        plans = [
            (("default",), file.default),
            *((("workloads", workload), plan_form) for workload, plan_form in file.workloads.items()),
        ]
        budgets += [(path, plan.budget) for path, plan in plans]
        budgets += [(("routes", index, "plan"), route.plan.budget) for index, route in enumerate(file.routes)]
        for path, budget in budgets:
            if budget is not None and budget.fleet is not None:
                self._report_fault(
                    (*path, "budget", "fleet"), "the file has no fleet.limits: nobody would share it out"
                )

    def _check_budget_networks_disjoint(self) -> None:
        """Report networks with a budget that overlap: an address must belong to at most one of them."""
        with_budget = [name for name, form in self.file.networks.items() if form.budget is not None]
        for index, name in enumerate(with_budget):
            for earlier in with_budget[:index]:
                overlap = intersection(self.networks.intervals[name], self.networks.intervals[earlier])
                if overlap:
                    self._report_fault(
                        ("networks", name, "budget"),
                        f"{name} and {earlier} overlap in {format_intervals(overlap)}, "
                        "and both have a budget",
                    )

    # Routes

    def _add_routes(self) -> None:
        index_by_name: dict[str, int] = {}
        boxes: list[Box] = []
        route_indices: list[int] = []
        for route_index, route in enumerate(self.file.routes):
            if route.name in index_by_name:
                first = index_by_name[route.name]
                self._report_fault(
                    ("routes", route_index, "name"), f"{route.name!r} is the name of routes[{first}] too"
                )
            index_by_name.setdefault(route.name, route_index)
            box = self._match_box(route_index, route.match)
            if box is None:
                continue
            boxes.append(box)
            route_indices.append(route_index)
            self.entries += self._route_entries(route_index, route, box)
        for box_index, covering in covered_routes(boxes).items():
            route_index, names = (
                route_indices[box_index],
                [self.file.routes[route_indices[other]].name for other in covering],
            )
            self._report_fault(
                ("routes", route_index), f"it can never match: {', '.join(names[:6])} cover it"
            )
        self._check_contradictions(boxes, route_indices)

    def _check_contradictions(self, boxes: list[Box], route_indices: list[int]) -> None:
        """Report routes with different plans whose matches differ only in their networks, where these overlap
        and neither contains the other.
        """
        for index, others in enumerate(overlapping_earlier(boxes)):
            route = self.file.routes[route_indices[index]]
            for other in others if route.match.networks else ():
                other_route = self.file.routes[route_indices[other]]
                if not other_route.match.networks or boxes[index][:5] != boxes[other][:5]:
                    continue
                addresses, other_addresses = boxes[index][5], boxes[other][5]
                overlap = intersection(addresses, other_addresses)
                if (
                    difference(addresses, other_addresses)
                    and difference(other_addresses, addresses)
                    and route.plan != other_route.plan
                ):
                    self._report_fault(
                        ("routes", route_indices[index], "match", "networks"),
                        f"{format_intervals(overlap)} is in the networks of {other_route.name} too, "
                        "and their plans contradict; exclude it from one of them",
                    )

    def _match_box(self, route_index: int, match: MatchForm) -> Box | None:
        path: Path = ("routes", route_index, "match")
        box = list(universal_box())
        count = len(self._workload_numbers)
        box[0] = ((0, count),) if count else ()
        if match.workload is not None:
            workload_intervals = []
            for index, name in enumerate(match.workload):
                if name in self._workload_numbers:
                    workload_intervals.append(
                        (self._workload_numbers[name], self._workload_numbers[name] + 1)
                    )
                else:
                    self._report_fault((*path, "workload", index), self._unknown_workload(name))
            box[0] = union(workload_intervals)
        if match.objects is not None:
            box[1] = union([_object_range(form.prefix, form.from_, form.to) for form in match.objects])
        for axis, ranges in ((2, match.groups), (3, match.parts)):
            if ranges is not None:
                box[axis] = union([_number_range(form.from_, form.to, AXIS_ENDS[axis]) for form in ranges])
        if match.size is not None:
            high = AXIS_ENDS[4] if match.size.to is None else min(int(match.size.to), AXIS_ENDS[4])
            box[4] = union([(int(match.size.from_), high)])
        if match.networks is not None:
            addresses: list[tuple[int, int]] = []
            for index, name in enumerate(match.networks):
                if name in self.networks.intervals:
                    addresses += self.networks.intervals[name]
                else:
                    known = ", ".join(self.networks.intervals) or "none"
                    self._report_fault(
                        (*path, "networks", index), f"networks has no set {name!r}; it has {known}"
                    )
            box[5] = union(addresses)
        return tuple(box) if all(box) else None

    def _route_entries(self, route_index: int, route: RouteForm, box: Box) -> Iterator[RouteEntry]:
        for number in (number for low, high in box[0] for number in range(low, high)):
            clipped = self._clip_to_largest((((number, number + 1),), *box[1:]), number)
            if clipped is None:
                name = self.platform.names.workloads[number]
                path = ("routes", route_index, "match", "size")
                largest = self.file.largest[name]
                self._report_fault(path, f"no {name} are so large: largest.{name} is {largest:g} bytes")
                continue
            plan, value_sources = self._resolve(number, route)
            self._validate(plan, value_sources, number, clipped, route_index)
            yield RouteEntry(route.name, route_index, number, plan, value_sources, clipped)

    def _clip_to_largest(self, box: Box, workload: int) -> Box | None:
        """Limit a box to pulls up to the workload's `largest`: plans are validated and applied only to those.

        Returns None where no size is left.
        """
        largest = self.file.largest.get(self.platform.names.workloads[workload])
        sizes = box[4] if largest is None else intersection(box[4], ((0, int(largest) + 1),))
        return (*box[:4], sizes, box[5]) if sizes else None

    def _add_workload_entries(self) -> None:
        for name, number in self._workload_numbers.items():
            plan, value_sources = self._resolve(number, None)
            box = self._clip_to_largest((((number, number + 1),), *universal_box()[1:]), number)
            assert box is not None  # `largest` is 0 or more, and the clipped sizes include it
            self._validate(plan, value_sources, number, box, -1)
            self.entries.append(RouteEntry(f"workload {name}", -1, number, plan, value_sources, box))

    # Plans

    def _resolve(self, workload: int, route: RouteForm | None) -> tuple[Plan, dict[str, str]]:
        """Return the plan of a workload under a route (None: no route), and the source of each leaf."""
        name = self.platform.names.workloads[workload]
        merged: dict[str, Any] = {}
        value_sources: dict[str, str] = {}
        layers: list[tuple[str, PlanForm]] = [("default", self.file.default)]
        if name in self.file.workloads:
            layers.append((f"workloads.{name}", self.file.workloads[name]))
        if route is not None:
            layers.append((f"routes[{self.file.routes.index(route)}]", route.plan))
        for source, form in layers:
            _merge_layer(merged, form.model_dump(exclude_unset=True), "", source, value_sources)
        for leaf in PLAN_KEYS:
            value_sources.setdefault(leaf, BUILT_IN_DEFAULT)
        budget_name = value_sources["budget"]
        if route is not None and budget_name.startswith("routes["):
            budget_name = f"route {route.name}"
        return _build_plan(
            merged, route.name if route is not None else f"workload {name}", budget_name
        ), value_sources

    def _validate(
        self, plan: Plan, value_sources: dict[str, str], workload: int, box: Box, route_index: int
    ) -> None:
        """Validate a plan, and report each fault at the path that set the faulty value."""
        settings, links = self.platform.settings, self.platform.links
        rules, stream_rate = settings.workloads[workload], settings.stream_rate
        low, high = box[4][0][0] / BYTES_PER_KB, box[4][-1][1] / BYTES_PER_KB
        name = self.platform.names.workloads[workload]
        context = PlanContext(
            name,
            rules,
            min(low / stream_rate, rules.deadline) if stream_rate else 0.0,
            # No plan can serve a pull that takes longer to send than its deadline.
            min((high - 1 / BYTES_PER_KB) / stream_rate, rules.deadline) if stream_rate else 0.0,
            links.connect_timeout,
            value_sources.get("~until") == "cut-off",
            value_sources.get("~where") == "any",
        )
        for key, reason in validate_plan(plan, context, settings):
            source = _value_source(value_sources, key)
            path: Path = (
                (*_split_path(source), *key.split("."))
                if source != BUILT_IN_DEFAULT
                else _split_path("default")
            )
            if source.startswith("routes["):
                path = ("routes", route_index, "plan", *key.split("."))
            elif route_index >= 0 and source != BUILT_IN_DEFAULT:
                reason += f" (in route {self.file.routes[route_index].name})"
            self._report_fault(path, reason)

    # Result

    def build(self, digest: str) -> tuple[CompiledConfig, list[Intervals]]:
        """Return the runtime configuration and the address intervals of networks with a budget.

        Must be called only where `faults` is empty.
        """
        plan_numbers: dict[Plan, int] = {}
        routes = tuple(
            (plan_numbers.setdefault(entry.plan, len(plan_numbers)), entry.box) for entry in self.entries
        )
        tree_builder = RouteTreeBuilder([entry.box for entry in self.entries])
        tree_builder.build()
        with_budget = [(name, form) for name, form in self.file.networks.items() if form.budget is not None]
        intervals = [self.networks.intervals[name] for name, _ in with_budget]
        plans = Plans(
            tuple(plan_numbers),
            tuple(_retry_budget_terms(f"network {name}", form.budget) for name, form in with_budget),
            _retry_budget_terms("front", self.file.front.budget),
        )
        trees = (tuple(tree_builder.roots), tuple(tree_builder.nodes), tuple(tree_builder.leaves))
        table = RouteTable(routes, *trees, tuple(intervals))
        names = tuple(entry.name for entry in self.entries)
        return CompiledConfig(digest, plans, names, table, self.level_policy, self.fleet), intervals


def _object_range(prefix: str | None, low: str | None, high: str | None) -> tuple[int, int]:
    if prefix is not None:
        low = high = prefix
    first = int((low or "0").ljust(16, "0"), 16)
    last = int((high or "f").ljust(16, "f"), 16)
    return first, last + 1


def _number_range(low: int, high: int | None, end: int) -> tuple[int, int]:
    return low, end if high is None else min(high + 1, end)


def _merge_layer(
    target: dict[str, Any], layer: dict[str, Any], path: str, source: str, value_sources: dict[str, str]
) -> None:
    for key, value in layer.items():
        leaf_path = f"{path}.{key}" if path else key
        inherited = target.get(key)
        if isinstance(value, dict) and key not in ("budget", "second", "wait") and not _is_span(value):
            target[key] = dict(inherited) if isinstance(inherited, dict) else {}
            _merge_layer(target[key], value, leaf_path, source, value_sources)
        else:
            target[key] = value
        value_sources[leaf_path] = source
        if key == "until" and value is not None:
            value_sources["~until"] = value
        if key == "second" and isinstance(value, dict):
            value_sources["~where"] = value.get("where", "group")


def _is_span(value: dict[str, Any]) -> bool:
    return bool(value.keys() & {"base", "part"})


def _value_source(value_sources: dict[str, str], key: str) -> str:
    while key:
        if key in value_sources:
            return value_sources[key]
        key = key.rpartition(".")[0]
    return BUILT_IN_DEFAULT


def _split_path(dotted_path: str) -> Path:
    return tuple(dotted_path.split("."))


def _scaled_duration(value: Any) -> ScaledDuration | None:
    return None if value is None else ScaledDuration(value.get("base", 0.0), value.get("part", 0.0))


def _retry_budget_terms(name: str, value: BudgetForm | dict[str, Any] | None) -> RetryBudgetTerms | None:
    if value is None:
        return None
    form = value if isinstance(value, BudgetForm) else BudgetForm.model_construct(**value)
    return RetryBudgetTerms(name, form.share, form.window, form.floor, float(form.fleet or 0))


def _build_plan(merged: dict[str, Any], name: str, budget_name: str) -> Plan:
    time_outs = merged.get("time_outs") or {}
    wait, second, worth = merged.get("wait"), merged.get("second"), merged.get("retry_on")
    time_outs_by_kind = []
    for kind in RelayKind:
        kind_time_outs = time_outs.get(kind.name.lower()) or {}
        time_outs_by_kind.append(
            (_scaled_duration(kind_time_outs.get("first")), _scaled_duration(kind_time_outs.get("further")))
        )
    base = wait["base"] if wait else 0.0
    longest_wait = (wait.get("most") if wait else None) or base * (
        wait.get("growth", 2.0) if wait else 1.0
    ) ** 10
    return Plan(
        name=name,
        time_outs=tuple(time_outs_by_kind),
        relays=merged.get("relays"),
        wait=base,
        growth=wait.get("growth", 2.0) if wait else 1.0,
        longest_wait=longest_wait,
        jitter=wait.get("jitter", 0.0) if wait else 0.0,
        second=_scaled_duration(second["after"]) if second else None,
        worth=None if worth is None else frozenset(OUTCOMES_BY_NAME[outcome] for outcome in worth),
        come_back_in=merged.get("later"),
        # All pulls that inherit the budget from the same part of the file share it.
        allowance=_retry_budget_terms(budget_name, merged.get("budget")),
    )
