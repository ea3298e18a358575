"""The runtime configuration that a front uses: plans, the route tree, networks with a budget, levels, fleet.

The process that evaluated and checked the operator's file encodes it as JSON; decoding needs none of the
libraries used for checking.
"""

import json
from dataclasses import asdict, dataclass, fields
from typing import Any

from cometseam.interface import Outcome, Plan, Plans, RetryBudgetTerms, ScaledDuration
from cometseam.levels import (
    CompoundCondition,
    Level,
    LevelActions,
    LevelPolicy,
    ShedShare,
    ThresholdCondition,
)
from cometseam.timing import RouteTable


@dataclass(frozen=True, slots=True)
class Fault:
    """One reason why a file can't be used, and where it was found."""

    path: str  # of the key, as in `routes[3].plan.relays`
    reason: str
    location: str = ""  # file:line; empty where unknown

    def __str__(self) -> str:
        where = f"{self.location}: " if self.location else ""
        return f"{where}{self.path}: {self.reason}" if self.path else f"{where}{self.reason}"


class OperatorFileError(ValueError):
    """The operator's file can't be used; `faults` has at least one entry."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class CompiledConfig:
    """The runtime configuration; `digest` identifies the text of the file and its imports."""

    digest: str
    plans: Plans
    route_names: tuple[str, ...]  # names of the compiled routes, in order
    table: RouteTable
    level_policy: LevelPolicy | None = None  # the levels of reduced service
    fleet: dict[str, Any] | None = None  # argument of `fleet.parse_fleet_config`; None: not a fleet member


def _retry_budget_terms(value: Any) -> RetryBudgetTerms | None:
    return None if value is None else RetryBudgetTerms(**value)


def _scaled_duration(value: Any) -> ScaledDuration | None:
    return None if value is None else ScaledDuration(*value)


def plan_to_json(plan: Plan) -> dict[str, Any]:
    """Return a plan as JSON-compatible values."""
    values = {field.name: getattr(plan, field.name) for field in fields(plan)}
    values["worth"] = None if plan.worth is None else sorted(plan.worth)
    values["allowance"] = None if plan.allowance is None else asdict(plan.allowance)
    return values


def plan_from_json(values: dict[str, Any]) -> Plan:
    """Return the plan that `plan_to_json` encoded."""
    values = dict(values)
    values["time_outs"] = tuple(
        (_scaled_duration(first), _scaled_duration(later)) for first, later in values["time_outs"]
    )
    values["second"] = _scaled_duration(values["second"])
    values["worth"] = None if values["worth"] is None else frozenset(map(Outcome, values["worth"]))
    values["allowance"] = _retry_budget_terms(values["allowance"])
    return Plan(**values)


def _condition_to_json(condition: CompoundCondition | ThresholdCondition) -> Any:
    if isinstance(condition, ThresholdCondition):
        return [condition.signal, condition.above, condition.bound, condition.lasts]
    return {"all": condition.all, "parts": [_condition_to_json(part) for part in condition.parts]}


def _condition_from_json(value: Any) -> CompoundCondition:
    parts = tuple(
        ThresholdCondition(*part) if isinstance(part, list) else _condition_from_json(part)
        for part in value["parts"]
    )
    return CompoundCondition(value["all"], parts)


def level_policy_to_json(policy: LevelPolicy) -> dict[str, Any]:
    """Return a level policy as JSON-compatible values."""
    levels = [
        {
            "name": level.name,
            "enter": _condition_to_json(level.enter),
            "leave": _condition_to_json(level.leave),
            "measures": asdict(level.measures),
            "stay": level.stay,
            "ramp": level.ramp,
        }
        for level in policy.levels
    ]
    timing = {name: getattr(policy, name) for name in ("spread", "calm", "reading", "keep")}
    return {"levels": levels, **timing}


def level_policy_from_json(values: dict[str, Any]) -> LevelPolicy:
    """Return the level policy that `level_policy_to_json` encoded."""
    levels = []
    for level in values["levels"]:
        action_values = dict(level["measures"])
        actions = LevelActions(
            **{**action_values, "shed": tuple(ShedShare(**shed) for shed in action_values["shed"])}
        )
        conditions = {name: _condition_from_json(level[name]) for name in ("enter", "leave")}
        levels.append(Level(**{**level, **conditions, "measures": actions}))
    return LevelPolicy(**{**values, "levels": tuple(levels)})


def encode_compiled(compiled: CompiledConfig, networks: list[Any]) -> bytes:
    """Return the runtime configuration as JSON; `networks`: intervals of each network with a budget."""
    plans, table = compiled.plans, compiled.table
    text = {
        "digest": compiled.digest,
        "plans": [plan_to_json(plan) for plan in plans.plans],
        "allowances": [None if terms is None else asdict(terms) for terms in plans.network_budgets],
        "front": None if plans.front_budget is None else asdict(plans.front_budget),
        "names": compiled.route_names,
        "routes": table.routes,
        "roots": table.roots,
        "nodes": table.nodes,
        "leaves": table.leaves,
        "networks": networks,
        "levels": None if compiled.level_policy is None else level_policy_to_json(compiled.level_policy),
        "fleet": compiled.fleet,
    }
    return json.dumps(text).encode()


def _intervals_from_json(values: Any) -> tuple[tuple[int, int], ...]:
    return tuple((low, high) for low, high in values)


def decode_compiled(text: bytes) -> CompiledConfig:
    """Decode the JSON text that `encode_compiled` returned."""
    values = json.loads(text)
    plans = Plans(
        tuple(plan_from_json(plan) for plan in values["plans"]),
        tuple(_retry_budget_terms(terms) for terms in values["allowances"]),
        _retry_budget_terms(values["front"]),
    )
    table = RouteTable(
        tuple((plan, tuple(_intervals_from_json(axis) for axis in box)) for plan, box in values["routes"]),
        tuple((first, child) for first, child in values["roots"]),
        tuple((axis, tuple(cuts), tuple(children)) for axis, cuts, children in values["nodes"]),
        tuple(tuple(leaf) for leaf in values["leaves"]),
        tuple(_intervals_from_json(network) for network in values["networks"]),
    )
    level_policy = None if values["levels"] is None else level_policy_from_json(values["levels"])
    return CompiledConfig(
        values["digest"], plans, tuple(values["names"]), table, level_policy, values.get("fleet")
    )
