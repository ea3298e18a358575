"""The output of `render` and `explain` as JSON-compatible values."""

from typing import Any

from cometseam.interface import Plan, RelayKind, RetryBudgetTerms
from cometseam.operator.compile import BUILT_IN_DEFAULT, Compiler, RouteEntry
from cometseam.operator.load import LoadedFile
from cometseam.operator.networks import format_intervals
from cometseam.timing.intervals import Intervals
from cometseam.timing.retry_policy import max_retry_wait, scaled_duration
from cometseam.timing.table import AXES, AXIS_ENDS, BYTES_PER_KB, RouteKey, any_contains
from cometseam.timing.validate import OUTCOME_NAMES, RELAY_KIND_NAMES

DECIDED_BY_PROGRAM = "as the module decides"


def _plan_values(plan: Plan) -> dict[str, Any]:
    """Return the values of a plan as text, by their key in the file."""
    values: dict[str, Any] = {}
    for kind in RelayKind:
        for index, name in enumerate(("first", "further")):
            span = plan.time_outs[kind][index]
            if span is not None:
                text = f"{span.base:g}ms + {span.part:g} of its sending time"
            else:
                text = DECIDED_BY_PROGRAM if index == 0 or plan.time_outs[kind][0] is None else "as first"
            values[f"time_outs.{RELAY_KIND_NAMES[kind]}.{name}"] = text
    values["relays"] = plan.relays or DECIDED_BY_PROGRAM
    jitter = f", jitter {plan.jitter:g}"
    values["wait"] = (
        f"{plan.wait:g}ms, growth {plan.growth:g}, most {plan.longest_wait:g}ms{jitter}"
        if plan.wait
        else "none"
    )
    second = plan.second
    values["second"] = f"after {second.base:g}ms + {second.part:g} of its sending time" if second else "none"
    values["retry_on"] = (
        "all" if plan.worth is None else ", ".join(sorted(OUTCOME_NAMES[outcome] for outcome in plan.worth))
    )
    terms = plan.allowance
    values["budget"] = f"{terms.name}: {_format_budget(terms)}" if terms else "none"
    values["later"] = f"{plan.come_back_in:g}ms" if plan.come_back_in else "the workload's quoted time"
    return values


def _format_budget(terms: RetryBudgetTerms) -> str:
    fleet = f", the fleet {terms.fleet:g} at most" if terms.fleet else ""
    return f"{terms.share:g} of first relays in {terms.window:g}ms, {terms.floor:g} at least{fleet}"


def _value_source(entry: RouteEntry, key: str) -> str:
    while key:
        if key in entry.value_sources:
            return entry.value_sources[key]
        key = key.rpartition(".")[0]
    return BUILT_IN_DEFAULT


def render_plans(compiler: Compiler) -> list[dict[str, Any]]:
    """Return each route entry with all its plan values and the source of each."""
    names = compiler.platform.names.workloads
    return [
        {
            "route": entry.name,
            "workload": names[entry.workload],
            "values": [
                {"key": key, "value": value, "from": _value_source(entry, key)}
                for key, value in _plan_values(entry.plan).items()
            ],
        }
        for entry in compiler.entries
    ]


def _format_axis(axis: int, intervals: Intervals, names: tuple[str, ...]) -> str:
    if AXES[axis] == "workload":
        return ", ".join(names[number] for low, high in intervals for number in range(low, high))
    if AXES[axis] == "address":
        return format_intervals(intervals)
    if AXES[axis] == "object":
        return ", ".join(f"{low:016x}-{high - 1:016x}" for low, high in intervals[:3])
    if AXES[axis] == "size":
        return ", ".join(
            f"{low / BYTES_PER_KB:g} KB"
            + ("" if high == AXIS_ENDS[axis] else f" to {high / BYTES_PER_KB:g} KB")
            for low, high in intervals
        )
    return ", ".join(f"{low}" if high == low + 1 else f"{low}-{high - 1}" for low, high in intervals[:3])


def explain_route(loaded: LoadedFile, route_key: RouteKey, kb: float) -> dict[str, Any]:
    """Return the matching route, why earlier ones did not match, the budgets and the worst-case steps."""
    compiler: Compiler = loaded.compiler
    table, names = loaded.compiled.table, compiler.platform.names.workloads
    entry_index = table.find(route_key)
    passed_over: list[dict[str, str]] = []
    earlier_entries = compiler.entries[: entry_index if entry_index >= 0 else None]
    for entry in earlier_entries:
        reason = next(
            f"{AXES[axis]} is not in {_format_axis(axis, intervals, names)}"
            for axis, intervals in enumerate(entry.box)
            if not any_contains(intervals, route_key[axis])
        )
        passed_over.append({"route": entry.name, "why": reason})
    steps: list[dict[str, Any]] = []
    budgets: dict[str, str] = {}
    if entry_index >= 0:
        plan = compiler.entries[entry_index].plan
        steps = worst_case_steps(plan, compiler, route_key.workload, kb)
        plans = loaded.compiled.plans
        network = table.find_network(route_key.address)
        network_budget = plans.network_budgets[network] if network >= 0 else None
        for terms in (plans.front_budget, network_budget, plan.allowance):
            if terms is not None:
                budgets[terms.name] = _format_budget(terms)
    return {
        "route": compiler.entries[entry_index].name if entry_index >= 0 else None,
        "passed_over": passed_over,
        "budgets": budgets,
        "steps": steps,
    }


def worst_case_steps(plan: Plan, compiler: Compiler, workload: int, kb: float) -> list[dict[str, Any]]:
    """Return the steps of a pull in the worst case: relays end at their time-outs, waits are longest.

    `from` of each step is in ms after the start of the pull; `kb` is the size of the part in KB.
    """
    settings = compiler.platform.settings
    rules = settings.workloads[workload]
    sending = kb / settings.stream_rate if settings.stream_rate else 0.0
    target_latency = min(rules.target_latency + rules.target_latency_factor * sending, rules.deadline)
    steps: list[dict[str, Any]] = []
    elapsed = 0.0

    def add_step(what: str) -> None:
        steps.append({"from": round(elapsed, 3), "what": what})

    for number in range(plan.relays or settings.relay_limit):
        if number and (wait := max_retry_wait(plan, number)):
            add_step(f"wait up to {wait:g} ms")
            elapsed += wait
        if elapsed + sending > rules.deadline:
            add_step("given up at once: nothing could come before the cut-off")
            return steps
        time_outs = []
        for kind in RelayKind:
            span = plan.time_outs[kind][int(number > 0)] or plan.time_outs[kind][0]
            if span is not None:
                time_outs.append((scaled_duration(span, sending), RELAY_KIND_NAMES[kind]))
        limits = (
            ", ".join(f"{name} until {elapsed + time:g}" for time, name in time_outs)
            or f"time-outs {DECIDED_BY_PROGRAM}"
        )
        add_step(f"relay {number + 1}: {limits}")
        if plan.second is not None and number + 1 < (plan.relays or settings.relay_limit):
            delay = scaled_duration(plan.second, sending)
            add_step(f"  given up at {elapsed + delay:g} for a second copy elsewhere, where one may go")
        if not time_outs:
            break
        elapsed += max(time for time, _ in time_outs)
    add_step(
        f"at the latest; quoted time {target_latency:g} ms, cut-off {rules.deadline:g} ms, "
        f"sending {sending:g} ms"
    )
    return steps
