"""Which level holds. One change at a time, ten seconds apart at least, whatever the signals do.

Up: to the highest level whose condition holds. Down: one level, once its condition to leave has held and
its stay is over; what it had left out comes back over its ramp. A front that comes back to a level soon
after it left it stays longer each time (hold-down), which wears off in calm.

| state | event | next | told | | --- | --- | --- | --- | | level n | the condition of m > n holds, 10 s
since the last change | level m | up, with the values that caused it | | level n | its condition to leave
holds, its stay times the hold-down is over | level n - 1, ramping | down | | level n | signals unknown |
level n | nothing | | ramping | a condition to enter holds, 10 s since the change | that level, no ramp | up
| | any | the clock jumps | the same | nothing: a step counts for a second at most |
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from cometseam.levels.conditions import ConditionTracker, TruthValue
from cometseam.levels.policy import MIN_STAY_MS, LevelActions, LevelPolicy, ShedShare, is_at_least_as_strict

LONGEST_STEP = 1000.0  # ms that one step counts for: what a clock jumps is no time that was watched
MOST_HOLD_DOWN = 8.0


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of level."""

    before: int
    after: int
    reason: str  # the condition that held
    values: dict[str, float | None]  # of the signals that it names
    previous_duration: float  # ms in the level before


class LevelStateMachine:
    """The level that holds, and what it leaves out now."""

    def __init__(self, scheme: LevelPolicy, chance: Random, level: int = 0) -> None:
        """Begin in a level; `chance` draws once how much later than others this front acts."""
        self.policy, self.level = scheme, level
        stretch = 1.0 + scheme.spread * chance.random()
        self._enter = [ConditionTracker(each.enter, stretch) for each in scheme.levels]
        self._leave = [ConditionTracker(each.leave, stretch) for each in scheme.levels]
        self._ramp_stretch = 1.0 + scheme.spread * chance.random()
        # ms since the last change; a fresh start may act at once.
        self.since_change_ms = 0.0 if level else MIN_STAY_MS
        self.hold_down_factors = [1.0] * len(scheme.levels)
        self._left = [float("inf")] * len(scheme.levels)  # ms since each level was left
        self._calm = 0.0
        self._from = level  # where a ramp comes down from
        self.level_times_ms = [0.0] * (len(scheme.levels) + 1)
        self._last: float | None = None

    def step(self, now: float, values: Mapping[str, float | None]) -> LevelChange | None:
        """Take in the signals' values at a time (ms) and tell whether the level changes."""
        passed = 0.0 if self._last is None else min(max(now - self._last, 0.0), LONGEST_STEP)
        self._last = now
        self.since_change_ms += passed
        self.level_times_ms[self.level] += passed
        self._left = [left + passed for left in self._left]
        self._wear(passed)
        entering = [watched.step(passed, values) for watched in self._enter]
        leaving = [watched.step(passed, values) for watched in self._leave]
        if self.since_change_ms < MIN_STAY_MS:
            return None
        for number in range(len(self.policy.levels), self.level, -1):
            if entering[number - 1] is TruthValue.TRUE:
                return self._change(number, self._enter[number - 1], values)
        if (
            self.level
            and leaving[self.level - 1] is TruthValue.TRUE
            and self.since_change_ms >= self.min_stay
        ):
            return self._change(self.level - 1, self._leave[self.level - 1], values)
        return None

    @property
    def min_stay(self) -> float:
        """Tell for how long the present level holds at least, ms."""
        if not self.level:
            return MIN_STAY_MS
        return (
            max(self.policy.levels[self.level - 1].stay, MIN_STAY_MS) * self.hold_down_factors[self.level - 1]
        )

    def _wear(self, passed: float) -> None:
        self._calm += passed
        if self._calm >= self.policy.calm:
            self._calm = 0.0
            self.hold_down_factors = [max(held / 2.0, 1.0) for held in self.hold_down_factors]

    def _change(
        self, number: int, cause: ConditionTracker, values: Mapping[str, float | None]
    ) -> LevelChange:
        before, stayed = self.level, self.since_change_ms
        named = {leaf.signal: values.get(leaf.signal) for leaf in cause.condition.leaves()}
        change = LevelChange(before, number, str(cause.condition), named, stayed)
        if number > before:
            for place in range(before, number):
                if self._left[place] < self.policy.calm:
                    self.hold_down_factors[place] = min(2.0 * self.hold_down_factors[place], MOST_HOLD_DOWN)
            self._from = number
        else:
            self._left[before - 1] = 0.0
            self._from = before
        self.level, self.since_change_ms, self._calm = number, 0.0, 0.0
        for watched in (*self._enter, *self._leave):
            watched.reset()
        return change

    def _ramped(self) -> float:
        """Return the part of what the level before left out that is still left out: from 1 down to 0."""
        if self._from <= self.level:
            return 0.0
        ramp = self.policy.levels[self._from - 1].ramp * self._ramp_stretch
        return max(1.0 - self.since_change_ms / ramp, 0.0) if ramp > 0.0 else 0.0

    def current_actions(self) -> LevelActions:
        """Return what is left out now: the level's, and in a ramp part of what the one above shed."""
        mine, part = self.policy.actions_of(self.level), self._ramped()
        if part <= 0.0:
            return mine
        above = self.policy.actions_of(self._from)
        shares: dict[tuple[int, str], float] = {(s.workload, s.route): s.share for s in mine.shed}
        for shed in above.shed:
            key = (shed.workload, shed.route)
            base = shares.get(key, 0.0)
            shares[key] = base + part * max(shed.share - base, 0.0)
        return LevelActions(
            tuple(ShedShare(workload, route, share) for (workload, route), share in shares.items()),
            mine.ageing, mine.first_seen, mine.further,
            mine.fills - part * (mine.fills - min(above.fills, mine.fills)), mine.later,
        )  # fmt: skip

    def explain(self, values: Mapping[str, float | None]) -> list[str]:
        """Tell what would have to change for the level to be left, up or down."""
        out: list[str] = []
        for number in range(len(self.policy.levels), self.level, -1):
            missing = self._enter[number - 1].unmet_reasons(values)
            out.append(f"up to {self.policy.level_name(number)}: {'; '.join(missing) or 'now'}")
        if self.level:
            missing = self._leave[self.level - 1].unmet_reasons(values)
            if self.since_change_ms < self.min_stay:
                missing.append(f"its stay lasts {(self.min_stay - self.since_change_ms) / 1000.0:.1f}s more")
            out.append(f"down to {self.policy.level_name(self.level - 1)}: {'; '.join(missing) or 'now'}")
        return out


def map_level(before: LevelPolicy, level: int, after: LevelPolicy) -> int:
    """Return the level that stands for one of another scheme: by name, else the least that does no less.

    Where none does no less it is the last one.
    """
    found = after.level_number(before.level_name(level))
    if found is not None:
        return found
    wanted = before.actions_of(level)
    for number in range(len(after.levels) + 1):
        if is_at_least_as_strict(after.actions_of(number), wanted):
            return number
    return len(after.levels)
