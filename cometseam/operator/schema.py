"""Schema of the operator's file: every key with its type, unit, range and default.

Each value is checked on its own here; checks across values are in `compile`. All faults are reported
together. Durations are kept in ms, sizes in bytes.
"""

import difflib
import math
import re
from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

from cometseam.operator.compiled import Fault
from cometseam.timing.validate import OUTCOMES_BY_NAME

MS_BY_UNIT = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0}
BYTES_BY_UNIT = {"B": 1.0, "KB": 1024.0, "MB": 1024.0**2, "GB": 1024.0**3}
MAX_DURATION_MS = 600_000.0  # no pull waits for longer
QUANTITY_PATTERN = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?) *([A-Za-z]+)")
HEX_PATTERN = re.compile(r"[0-9a-f]{1,16}")


def _parse_quantity(value: Any, units: dict[str, float], what: str, example: str) -> float:
    if not isinstance(value, str):
        raise ValueError(f"{what} with its unit was expected, as {example}, not {_short_repr(value)}")
    match = QUANTITY_PATTERN.fullmatch(value.strip())
    if match is None:
        raise ValueError(f"{what} was expected, as {example}, not {_short_repr(value)}")
    number, unit = match.groups()
    if unit not in units:
        raise ValueError(f"{unit!r} is not a unit of {what}; known are {', '.join(units)}")
    return float(number) * units[unit]


def parse_duration(value: Any) -> float:
    """Return a duration such as "250ms" in ms; raises `ValueError` without a known unit or out of range."""
    time = _parse_quantity(value, MS_BY_UNIT, "a duration", '"250ms"')
    if time < 0.0:
        raise ValueError(f"a duration can't be negative: {_short_repr(value)}")
    if time > MAX_DURATION_MS:
        raise ValueError(
            f"{_short_repr(value)} is longer than any pull waits ({MAX_DURATION_MS / 1000.0:g}s at most)"
        )
    return time


def parse_size(value: Any) -> float:
    """Return a size such as "300KB" in bytes; raises `ValueError` without a known unit or below zero."""
    count = _parse_quantity(value, BYTES_BY_UNIT, "a size", '"300KB"')
    if count < 0.0:
        raise ValueError(f"a size can't be negative: {_short_repr(value)}")
    return count


def parse_number(value: Any) -> float:
    """Return a number as a float; raises `ValueError` where it is none or not finite."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"a number was expected, not {_short_repr(value)}")
    if not math.isfinite(value):
        raise ValueError("a finite number was expected")
    return float(value)


def parse_integer(value: Any) -> int:
    """Return a whole number as an int; raises `ValueError` for any other value."""
    if parse_number(value) != int(value):
        raise ValueError(f"a whole number was expected, not {_short_repr(value)}")
    return int(value)


def expand_span(value: Any) -> Any:
    """Expand a bare duration to a span with that `base`."""
    return {"base": value} if isinstance(value, str) else value


def expand_time_out(value: Any) -> Any:
    """Expand a bare span to a time-out whose `first` it is; `further` then defaults to `first`."""
    if isinstance(value, str) or (isinstance(value, dict) and value.keys() & {"base", "part"}):
        return {"first": value}
    return value


def expand_range(value: Any) -> Any:
    """Expand a bare number to the range of that number only."""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return {"from": value, "to": value}
    return value


def wrap_in_list(value: Any) -> Any:
    """Expand a single value to a list of that value."""
    return value if isinstance(value, list) else [value]


def _short_repr(value: Any) -> str:
    return repr(value)[:40]


Duration = Annotated[float, BeforeValidator(parse_duration)]
Number = Annotated[float, BeforeValidator(parse_number)]
Integer = Annotated[int, BeforeValidator(parse_integer)]


class Strict(BaseModel):
    """Base of all forms: rejects unknown keys and does not convert types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True, populate_by_name=False)


class SpanForm(Strict):
    """A duration of `base` plus `part` times the pull's sending time."""

    base: Duration = 0.0
    part: Annotated[Number, Field(ge=0.0, le=100.0)] = 0.0


SpanField = Annotated[SpanForm, BeforeValidator(expand_span)]


class TimeOutForm(Strict):
    """Time-outs of the first relay of a pull, and of further relays after a failure."""

    first: SpanField | None = None
    further: SpanField | None = None


TimeOutField = Annotated[TimeOutForm, BeforeValidator(expand_time_out)]


class TimeOutsForm(Strict):
    """Time-outs by the kind of relay: cache lookup, fill, or direct to the origin."""

    look: TimeOutField | None = None
    fill: TimeOutField | None = None
    direct: TimeOutField | None = None


class WaitForm(Strict):
    """The wait between a failure and the further relay: `base`, multiplied by `growth` up to `most`."""

    base: Duration
    growth: Annotated[Number, Field(ge=1.0, le=10.0)] = 2.0
    most: Duration | None = None
    jitter: Annotated[Number, Field(ge=0.0, le=1.0)] = 0.0

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.most is not None and self.most < self.base:
            raise ValueError(f"most, {self.most:g} ms, lies below base, {self.base:g} ms")
        return self


class SecondForm(Strict):
    """When a relay in flight is given up for a second one at another endpoint."""

    after: SpanField
    keep_first: bool = False
    where: Literal["group", "any"] = "group"

    @model_validator(mode="after")
    def _reject_keep_first(self) -> Self:
        if self.keep_first:
            raise ValueError(
                "keep_first: the second would be sent while the first is still in flight; a pull never has "
                "two relays in flight"
            )
        return self


class BudgetForm(Strict):
    """A retry budget: further relays as a share of first ones in a window; `fleet` limits all fronts."""

    share: Annotated[Number, Field(ge=0.0, le=1.0)]
    window: Annotated[Duration, Field(ge=1000.0)] = 10_000.0
    floor: Annotated[Number, Field(ge=0.0, le=10_000.0)] = 5.0
    fleet: Annotated[Integer, Field(ge=1, le=10_000_000)] | None = None


class PlanForm(Strict):
    """What the default, a workload or a route can set; null resets an inherited value to the built-in one."""

    time_outs: TimeOutsForm | None = None
    relays: Annotated[Integer, Field(ge=1, le=64)] | None = None
    wait: WaitForm | None = None
    second: SecondForm | None = None
    retry_on: list[Literal[tuple(OUTCOMES_BY_NAME)]] | None = None  # type: ignore[valid-type]
    budget: BudgetForm | None = None
    later: Annotated[Duration, Field(ge=1.0)] | None = None
    until: Literal["quoted", "cut-off"] | None = None


class RangeForm(Strict):
    """A range of whole numbers, both ends included."""

    from_: Annotated[Integer, Field(ge=0)] = Field(default=0, alias="from")
    to: Annotated[Integer, Field(ge=0)] | None = None

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.to is not None and self.to < self.from_:
            raise ValueError(f"to, {self.to}, lies below from, {self.from_}: it can't match")
        return self


def _parse_hex(value: Any) -> str:
    if not isinstance(value, str) or HEX_PATTERN.fullmatch(value) is None:
        raise ValueError(f"1 to 16 hex digits in lower case were expected, not {_short_repr(value)}")
    return value


HexDigits = Annotated[str, BeforeValidator(_parse_hex)]


class ObjectsForm(Strict):
    """Objects by the first hex digits of their names, or a range of names with both ends included."""

    prefix: HexDigits | None = None
    from_: HexDigits | None = Field(default=None, alias="from")
    to: HexDigits | None = None

    @model_validator(mode="after")
    def _check_one_form(self) -> Self:
        if (self.prefix is None) == (self.from_ is None and self.to is None):
            raise ValueError("either prefix, or from and to, were expected")
        if self.from_ and self.to and int(self.to.ljust(16, "f"), 16) < int(self.from_.ljust(16, "0"), 16):
            raise ValueError(f"to, {self.to}, lies below from, {self.from_}: it can't match")
        return self


class SizeForm(Strict):
    """A range of part sizes; `from` is included, `to` is not."""

    from_: Annotated[float, BeforeValidator(parse_size)] = Field(default=0.0, alias="from")
    to: Annotated[float, BeforeValidator(parse_size)] | None = None

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.to is not None and self.to <= self.from_:
            raise ValueError("to does not lie above from: it can't match")
        return self


StringList = Annotated[list[str], BeforeValidator(wrap_in_list), Field(min_length=1)]
RangeList = Annotated[
    list[Annotated[RangeForm, BeforeValidator(expand_range)]],
    BeforeValidator(wrap_in_list),
    Field(min_length=1),
]


class MatchForm(Strict):
    """What a route matches: every key given must match; a list matches where one of its values does."""

    workload: StringList | None = None
    objects: Annotated[list[ObjectsForm], BeforeValidator(wrap_in_list), Field(min_length=1)] | None = None
    groups: RangeList | None = None
    parts: RangeList | None = None
    size: SizeForm | None = None
    networks: StringList | None = None


class RouteForm(Strict):
    """One route; the first route in the file that matches a pull applies."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    match: MatchForm = MatchForm()
    plan: PlanForm = PlanForm()


class NetworkForm(Strict):
    """A set of addresses: networks, addresses, ranges `a-b` and names of other sets, without `exclude`."""

    include: StringList
    exclude: Annotated[list[str], BeforeValidator(wrap_in_list)] = []
    budget: BudgetForm | None = None


class ConditionForm(Strict):
    """A signal beyond a bound for a duration (`for`); or all, or any, of several conditions."""

    signal: str | None = None
    above: Number | None = None
    below: Number | None = None
    for_: Duration = Field(default=1000.0, alias="for")
    all: Annotated[list["ConditionForm"], Field(min_length=1, max_length=16)] | None = None
    any: Annotated[list["ConditionForm"], Field(min_length=1, max_length=16)] | None = None

    @model_validator(mode="after")
    def _check_one_kind(self) -> Self:
        kinds = [self.signal is not None, self.all is not None, self.any is not None]
        if sum(kinds) != 1:
            raise ValueError("one of signal, all and any was expected")
        if self.signal is not None and (self.above is None) == (self.below is None):
            raise ValueError("a signal takes one of above and below")
        if self.signal is None and (self.above is not None or self.below is not None):
            raise ValueError("above and below go with a signal")
        return self


class ShedForm(Strict):
    """A share of the pulls of a workload or a route to shed."""

    workload: str | None = None
    route: str | None = None
    share: Annotated[Number, Field(gt=0.0, le=1.0)]

    @model_validator(mode="after")
    def _check_one_kind(self) -> Self:
        if (self.workload is None) == (self.route is None):
            raise ValueError("one of workload and route was expected")
        return self


class MeasuresForm(Strict):
    """What a level reduces or turns off."""

    shed: list[ShedForm] = []
    ageing: bool = False
    first_seen_fills: bool = True
    further_relays: bool = True
    fills: Annotated[Number, Field(ge=0.05, le=1.0)] = 1.0
    later: Annotated[Duration, Field(ge=1.0)] | None = None


class LevelForm(Strict):
    """One level below full service."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    enter: ConditionForm
    leave: ConditionForm
    stay: Annotated[Duration, Field(ge=10_000.0)] = 10_000.0
    ramp: Duration = 10_000.0
    measures: MeasuresForm


class LevelsForm(Strict):
    """The levels of reduced service (`steps`), from the least to the most reduced."""

    spread: Annotated[Number, Field(ge=0.0, le=1.0)] = 0.5
    calm: Annotated[Duration, Field(ge=10_000.0)] = 60_000.0
    reading: Duration = 10_000.0
    keep: str = ""
    steps: Annotated[list[LevelForm], Field(min_length=1, max_length=16)]


class TaskForm(Strict):
    """The lease of a task that one front of the fleet holds at a time."""

    ttl: Duration
    margin: Duration
    renew: Duration


class ProbingForm(Strict):
    """How the holder of the task `probe` probes caches, and how long its verdicts are valid."""

    interval: Annotated[Duration, Field(ge=100.0)] = 1000.0
    within: Annotated[Duration, Field(ge=10.0)] = 300.0
    fails: Annotated[Integer, Field(ge=2, le=100)] = 3
    passes: Annotated[Integer, Field(ge=1, le=100)] = 2
    lasts: Annotated[Duration, Field(ge=1000.0)] = 6000.0
    most_bad: Annotated[Number, Field(gt=0.0, le=1.0)] = 0.5
    most_out: Annotated[Integer, Field(ge=1, le=1024)] = 32


class LogForm(Strict):
    """One front, the holder of the task `list`, polls the discovery event log for the whole fleet.

    It requires one log with one numbering of its events for all fronts.
    """

    bound: Annotated[Duration, Field(ge=2500.0)] = 4000.0


class RelaysForm(Strict):
    """How many relays the whole fleet may have in flight at one cache, and at one parent."""

    caches: Annotated[Integer, Field(ge=1, le=1_000_000)] | None = None
    parents: Annotated[Integer, Field(ge=1, le=1_000_000)] | None = None


class LimitsForm(Strict):
    """The holder of the task `limits` divides the capacity of cold caches among the fronts."""

    refresh: Annotated[Duration, Field(ge=50.0)] = 500.0
    lasts: Annotated[Duration, Field(ge=200.0)] = 3000.0
    relays: RelaysForm | None = None


class FleetForm(Strict):
    """The fleet: its coordination service, and the tasks whose leases are held there."""

    service: Annotated[str, Field(min_length=1, max_length=255)]
    round_trip: Annotated[Duration, Field(gt=0.0)] = 100.0
    drift: Annotated[Number, Field(ge=0.0, le=0.1)] = 0.01
    refresh: Annotated[Duration, Field(ge=100.0)] = 1000.0
    spread: Duration | None = None
    tasks: Annotated[dict[str, TaskForm], Field(max_length=1024)]
    probing: ProbingForm | None = None
    log: LogForm | None = None
    limits: LimitsForm | None = None


class FrontForm(Strict):
    """Settings of the front as a whole."""

    budget: BudgetForm | None = None


class FileForm(Strict):
    """The whole file."""

    version: Literal[1]
    networks: dict[Annotated[str, Field(min_length=1, max_length=64)], NetworkForm] = {}
    front: FrontForm = FrontForm()
    default: PlanForm = PlanForm()
    workloads: dict[str, PlanForm] = {}
    levels: LevelsForm | None = None
    fleet: FleetForm | None = None
    largest: dict[str, Annotated[float, BeforeValidator(parse_size)]] = {}
    routes: Annotated[list[RouteForm], Field(max_length=20_000)] = []


def validate_file(value: Any) -> tuple[FileForm | None, list[tuple[tuple[str | int, ...], str]]]:
    """Validate a value; return the form without faults, or None with the path and reason of each fault."""
    try:
        return FileForm.model_validate(value), []
    except ValidationError as error:
        faults = []
        for details in error.errors(include_url=False):
            path = tuple(details["loc"])
            faults.append((path, _fault_reason(details, path)))
        return None, faults


def _fault_reason(details: Any, path: tuple[str | int, ...]) -> str:
    kind, given, context = details["type"], details.get("input"), details.get("ctx", {})
    match kind:
        case "extra_forbidden":
            known = _known_keys(path[:-1])
            close_matches = difflib.get_close_matches(str(path[-1]), known, 1, 0.6)
            if close_matches:
                return f"unknown key; did you mean {close_matches[0]}?"
            return f"unknown key; known are {', '.join(known)}"
        case "missing":
            return "missing"
        case "value_error":
            return str(context["error"])
        case "literal_error":
            words = context["expected"].replace("'", "").replace(" or ", ", ")
            close_matches = difflib.get_close_matches(str(given), words.split(", "), 1, 0.6)
            return f"{_short_repr(given)} is none of {words}" + (
                f"; did you mean {close_matches[0]}?" if close_matches else ""
            )
        case "greater_than_equal":
            return f"{given!r} is too small: {context['ge']:g} at least"
        case "greater_than":
            return f"{given!r} is too small: above {context['gt']:g} was expected"
        case "less_than_equal":
            return f"{given!r} is too large: {context['le']:g} at most"
        case "model_type" | "model_attributes_type" | "dict_type":
            return f"an object was expected, not {_short_repr(given)}"
        case "list_type":
            return f"a list was expected, not {_short_repr(given)}"
        case "too_short" | "string_too_short":
            return "it is empty"
        case "string_type":
            return f"a text was expected, not {_short_repr(given)}"
        case "bool_type":
            return f"true or false was expected, not {_short_repr(given)}"
    return str(details["msg"])


def _known_keys(path: tuple[str | int, ...]) -> list[str]:
    """Return the keys that the object at a path can have."""
    annotation: Any = FileForm
    for step in path:
        field = (
            annotation.model_fields.get(str(step))
            if isinstance(annotation, type) and issubclass(annotation, Strict)
            else None
        )
        annotation = _nested_form(field.annotation if field is not None else annotation)
    if isinstance(annotation, type) and issubclass(annotation, Strict):
        return [field.alias or name for name, field in annotation.model_fields.items()]
    return []


def _nested_form(annotation: Any) -> Any:
    """Return the form class nested in an annotation, or the annotation where there is none."""
    pending = [annotation]
    while pending:
        candidate = pending.pop()
        if isinstance(candidate, type) and issubclass(candidate, Strict):
            return candidate
        pending += [argument for argument in getattr(candidate, "__args__", ()) if argument is not type(None)]
    return annotation


def format_path(path: tuple[str | int, ...]) -> str:
    """Return a path as text, such as `routes[3].plan.relays`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else str(step)
    return text


def make_fault(path: tuple[str | int, ...], reason: str, location: str) -> Fault:
    """Return a fault with its path formatted."""
    return Fault(format_path(path), reason, location)
