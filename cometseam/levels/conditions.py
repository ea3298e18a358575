"""Conditions over signals with three truth values: true, false, and unknown if a signal has no value.

A threshold is true once its signal has been past the bound for its `lasts` ms. A sample on the other side of
the bound restarts that time, and an unknown sample pauses it. So a spike of one sample enters no level, and a
signal without values neither enters nor leaves one.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum


class TruthValue(Enum):
    """The present value of a condition."""

    FALSE = 0
    TRUE = 1
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ThresholdCondition:
    """True once a signal has been above or below a bound for a time."""

    signal: str
    above: bool
    bound: float
    lasts: float  # ms that the signal must stay past the bound

    def is_past_bound(self, value: float) -> bool:
        """Return whether a value is past the bound."""
        return value > self.bound if self.above else value < self.bound

    def __str__(self) -> str:
        side = "above" if self.above else "below"
        return f"{self.signal} {side} {self.bound:g} for {self.lasts / 1000.0:g}s"


@dataclass(frozen=True, slots=True)
class CompoundCondition:
    """The conjunction (`all`) or disjunction of several conditions."""

    all: bool
    parts: tuple["CompoundCondition | ThresholdCondition", ...]

    def leaves(self) -> Iterator[ThresholdCondition]:
        """Yield the threshold conditions in order."""
        for part in self.parts:
            if isinstance(part, ThresholdCondition):
                yield part
            else:
                yield from part.leaves()

    def __str__(self) -> str:
        return f"({(' and ' if self.all else ' or ').join(str(part) for part in self.parts)})"


def combine_truth_values(is_conjunction: bool, truth_values: list[TruthValue]) -> TruthValue:
    """Combine by `all` or `any`; the result is unknown only if the known values do not decide it."""
    deciding = TruthValue.FALSE if is_conjunction else TruthValue.TRUE
    if deciding in truth_values:
        return deciding
    if TruthValue.UNKNOWN in truth_values:
        return TruthValue.UNKNOWN
    return TruthValue.TRUE if is_conjunction else TruthValue.FALSE


class ConditionTracker:
    """A condition, and for each of its thresholds the time that the signal has been past the bound."""

    def __init__(self, condition: CompoundCondition, time_factor: float = 1.0) -> None:
        """Track a condition; `time_factor` lengthens its times, so that fronts do not all change at once."""
        self.condition, self._time_factor = condition, time_factor
        self._times_past_bound = [0.0 for _ in condition.leaves()]

    def step(self, elapsed: float, values: Mapping[str, float | None]) -> TruthValue:
        """Apply the signals' values after `elapsed` ms and return the condition's truth value."""
        thresholds = list(self.condition.leaves())
        truth_values: list[TruthValue] = []
        for index, threshold in enumerate(thresholds):
            value = values.get(threshold.signal)
            if value is None:
                truth_values.append(TruthValue.UNKNOWN)
            elif threshold.is_past_bound(value):
                self._times_past_bound[index] += elapsed
                is_met = self._times_past_bound[index] >= threshold.lasts * self._time_factor
                truth_values.append(TruthValue.TRUE if is_met else TruthValue.FALSE)
            else:
                self._times_past_bound[index] = 0.0
                truth_values.append(TruthValue.FALSE)
        return self._evaluate(self.condition, iter(truth_values))

    def _evaluate(self, condition: CompoundCondition, truth_values: Iterator[TruthValue]) -> TruthValue:
        values = [
            next(truth_values) if isinstance(part, ThresholdCondition) else self._evaluate(part, truth_values)
            for part in condition.parts
        ]
        return combine_truth_values(condition.all, values)

    def reset(self) -> None:
        """Restart the time of each threshold."""
        self._times_past_bound = [0.0 for _ in self._times_past_bound]

    def unmet_reasons(self, values: Mapping[str, float | None]) -> list[str]:
        """Return for each threshold that is not met what it lacks."""
        reasons: list[str] = []
        for index, threshold in enumerate(self.condition.leaves()):
            value, needed = values.get(threshold.signal), threshold.lasts * self._time_factor
            if value is None:
                reasons.append(f"{threshold.signal} is not known")
            elif not threshold.is_past_bound(value):
                reasons.append(f"{threshold}: it is {value:g}")
            elif self._times_past_bound[index] < needed:
                remaining_s = (needed - self._times_past_bound[index]) / 1000.0
                reasons.append(f"{threshold}: it is {value:g}, and must stay so for {remaining_s:.1f}s more")
        return reasons
