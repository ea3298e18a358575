"""Conditions over signals, of three values: true, false, and unknown where a signal tells nothing.

A leaf is true once its signal has been past its bound for its `lasts`; a sample on the other side starts it
anew, an unknown one stops its clock. So a spike of one sample enters nothing, and silence neither enters
nor leaves.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum


class TruthValue(Enum):
    """What a condition comes to now."""

    FALSE = 0
    TRUE = 1
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ThresholdCondition:
    """A signal above or below a bound for a time."""

    signal: str
    above: bool
    bound: float
    lasts: float  # ms

    def is_past_bound(self, value: float) -> bool:
        """Tell whether a value is past the bound."""
        return value > self.bound if self.above else value < self.bound

    def __str__(self) -> str:
        side = "above" if self.above else "below"
        return f"{self.signal} {side} {self.bound:g} for {self.lasts / 1000.0:g}s"


@dataclass(frozen=True, slots=True)
class CompoundCondition:
    """All or any of some conditions."""

    all: bool
    parts: tuple["CompoundCondition | ThresholdCondition", ...]

    def leaves(self) -> Iterator[ThresholdCondition]:
        """Yield the leaves in order."""
        for part in self.parts:
            if isinstance(part, ThresholdCondition):
                yield part
            else:
                yield from part.leaves()

    def __str__(self) -> str:
        return f"({(' and ' if self.all else ' or ').join(str(part) for part in self.parts)})"


def combine_truth_values(all_of: bool, verdicts: list[TruthValue]) -> TruthValue:
    """Join verdicts: unknown only where what is known does not settle it."""
    settles = TruthValue.FALSE if all_of else TruthValue.TRUE
    if settles in verdicts:
        return settles
    if TruthValue.UNKNOWN in verdicts:
        return TruthValue.UNKNOWN
    return TruthValue.TRUE if all_of else TruthValue.FALSE


class ConditionTracker:
    """A condition and how long each of its leaves has been past its bound."""

    def __init__(self, condition: CompoundCondition, stretch: float = 1.0) -> None:
        """Watch a condition; `stretch` lengthens its times, so that fronts do not act in step."""
        self.condition, self._stretch = condition, stretch
        self._held = [0.0 for _ in condition.leaves()]

    def step(self, passed: float, values: Mapping[str, float | None]) -> TruthValue:
        """Take in the signals' values after `passed` ms and tell the verdict."""
        leaves = list(self.condition.leaves())
        verdicts: list[TruthValue] = []
        for place, leaf in enumerate(leaves):
            value = values.get(leaf.signal)
            if value is None:
                verdicts.append(TruthValue.UNKNOWN)
            elif leaf.is_past_bound(value):
                self._held[place] += passed
                enough = self._held[place] >= leaf.lasts * self._stretch
                verdicts.append(TruthValue.TRUE if enough else TruthValue.FALSE)
            else:
                self._held[place] = 0.0
                verdicts.append(TruthValue.FALSE)
        return self._joined(self.condition, iter(verdicts))

    def _joined(self, condition: CompoundCondition, verdicts: Iterator[TruthValue]) -> TruthValue:
        parts = [
            next(verdicts) if isinstance(part, ThresholdCondition) else self._joined(part, verdicts)
            for part in condition.parts
        ]
        return combine_truth_values(condition.all, parts)

    def reset(self) -> None:
        """Start all leaves anew."""
        self._held = [0.0 for _ in self._held]

    def unmet_reasons(self, values: Mapping[str, float | None]) -> list[str]:
        """Tell for each leaf what is missing for it to hold."""
        out: list[str] = []
        for place, leaf in enumerate(self.condition.leaves()):
            value, lasts = values.get(leaf.signal), leaf.lasts * self._stretch
            if value is None:
                out.append(f"{leaf.signal} is not known")
            elif not leaf.is_past_bound(value):
                out.append(f"{leaf}: it is {value:g}")
            elif self._held[place] < lasts:
                left = (lasts - self._held[place]) / 1000.0
                out.append(f"{leaf}: it is {value:g}, for {left:.1f}s more")
        return out
