"""The state machine of service levels: one change at a time, at least ten seconds apart.

A front rises to the highest level whose enter condition holds. It descends one level at a time, once the
condition to leave holds and the level's minimum stay is over; what only the upper level shed is then admitted
again over that level's ramp. A front that returns to a level soon after it left it must stay longer each time
(hold-down), which decays in calm.

    state     event                                              next state            result
    level n   the condition of level m > n holds, and            level m               a rise, with the values
              10 s have passed since the last change                                   that caused it
    level n   the condition to leave holds, and the stay,        level n - 1, ramping  a descent
              times the hold-down factor, is over
    level n   signals are unknown                                level n               none
    ramping   an enter condition holds, 10 s after the change    that level, no ramp   a rise
    any       the clock jumps                                    the same              none: one step counts
                                                                                       for 1 s at most
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from cometseam.levels.conditions import ConditionTracker, TruthValue
from cometseam.levels.policy import MIN_STAY_MS, LevelActions, LevelPolicy, ShedShare, is_at_least_as_strict

# The longest elapsed time that one step counts: across a clock jump the signals were not observed.
MAX_STEP_MS = 1000.0
MAX_HOLD_DOWN_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of level, and why it was made."""

    before: int
    after: int
    reason: str  # the condition that held
    values: dict[str, float | None]  # of the signals in that condition
    previous_duration: float  # ms spent in the level before


class LevelStateMachine:
    """Decides which level is in force and what it leaves out now."""

    def __init__(self, policy: LevelPolicy, rng: Random, level: int = 0) -> None:
        """Start in `level`; draws from `rng` how much longer the times of this front are than configured."""
        self.policy, self.level = policy, level
        time_factor = 1.0 + policy.spread * rng.random()
        self._enter = [ConditionTracker(each.enter, time_factor) for each in policy.levels]
        self._leave = [ConditionTracker(each.leave, time_factor) for each in policy.levels]
        self._ramp_factor = 1.0 + policy.spread * rng.random()
        # ms since the last change; a start in full service may change at once.
        self.since_change_ms = 0.0 if level else MIN_STAY_MS
        self.hold_down_factors = [1.0] * len(policy.levels)
        self._since_left_ms = [float("inf")] * len(policy.levels)  # by level
        self._calm_ms = 0.0
        self._ramp_from = level  # the level that a ramp descends from
        self.level_times_ms = [0.0] * (len(policy.levels) + 1)
        self._last_step_at: float | None = None

    def step(self, now: float, values: Mapping[str, float | None]) -> LevelChange | None:
        """Apply the signals' values at a time (ms) and return the change of level, if there is one."""
        elapsed = 0.0 if self._last_step_at is None else min(max(now - self._last_step_at, 0.0), MAX_STEP_MS)
        self._last_step_at = now
        self.since_change_ms += elapsed
        self.level_times_ms[self.level] += elapsed
        self._since_left_ms = [since + elapsed for since in self._since_left_ms]
        self._decay_hold_down(elapsed)
        entering = [tracker.step(elapsed, values) for tracker in self._enter]
        leaving = [tracker.step(elapsed, values) for tracker in self._leave]
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
        """Return the minimum time in the present level, hold-down included, in ms."""
        if not self.level:
            return MIN_STAY_MS
        return (
            max(self.policy.levels[self.level - 1].stay, MIN_STAY_MS) * self.hold_down_factors[self.level - 1]
        )

    def _decay_hold_down(self, elapsed: float) -> None:
        self._calm_ms += elapsed
        if self._calm_ms >= self.policy.calm:
            self._calm_ms = 0.0
            self.hold_down_factors = [max(factor / 2.0, 1.0) for factor in self.hold_down_factors]

    def _change(
        self, number: int, cause: ConditionTracker, values: Mapping[str, float | None]
    ) -> LevelChange:
        before, duration = self.level, self.since_change_ms
        cause_values = {leaf.signal: values.get(leaf.signal) for leaf in cause.condition.leaves()}
        change = LevelChange(before, number, str(cause.condition), cause_values, duration)
        if number > before:
            for index in range(before, number):
                if self._since_left_ms[index] < self.policy.calm:
                    self.hold_down_factors[index] = min(
                        2.0 * self.hold_down_factors[index], MAX_HOLD_DOWN_FACTOR
                    )
            self._ramp_from = number
        else:
            self._since_left_ms[before - 1] = 0.0
            self._ramp_from = before
        self.level, self.since_change_ms, self._calm_ms = number, 0.0, 0.0
        for tracker in (*self._enter, *self._leave):
            tracker.reset()
        return change

    def _ramp_share(self) -> float:
        """Return the share of the upper level's extra shedding that still applies: from 1 down to 0."""
        if self._ramp_from <= self.level:
            return 0.0
        ramp_ms = self.policy.levels[self._ramp_from - 1].ramp * self._ramp_factor
        return max(1.0 - self.since_change_ms / ramp_ms, 0.0) if ramp_ms > 0.0 else 0.0

    def current_actions(self) -> LevelActions:
        """Return what is left out now: the level's actions and, during a ramp, a share of the upper level's.

        Only shed shares and the limit on fills are ramped.
        """
        actions, ramp_share = self.policy.actions_of(self.level), self._ramp_share()
        if ramp_share <= 0.0:
            return actions
        upper = self.policy.actions_of(self._ramp_from)
        shares: dict[tuple[int, str], float] = {(s.workload, s.route): s.share for s in actions.shed}
        for shed in upper.shed:
            key = (shed.workload, shed.route)
            base = shares.get(key, 0.0)
            shares[key] = base + ramp_share * max(shed.share - base, 0.0)
        return LevelActions(
            tuple(ShedShare(workload, route, share) for (workload, route), share in shares.items()),
            actions.ageing, actions.first_seen, actions.further,
            actions.fills - ramp_share * (actions.fills - min(upper.fills, actions.fills)), actions.later,
        )  # fmt: skip

    def explain(self, values: Mapping[str, float | None]) -> list[str]:
        """Return for each change that is possible from this level what it still lacks, as text."""
        lines: list[str] = []
        for number in range(len(self.policy.levels), self.level, -1):
            missing = self._enter[number - 1].unmet_reasons(values)
            lines.append(f"up to {self.policy.level_name(number)}: {'; '.join(missing) or 'now'}")
        if self.level:
            missing = self._leave[self.level - 1].unmet_reasons(values)
            if self.since_change_ms < self.min_stay:
                missing.append(
                    f"its minimum stay lasts {(self.min_stay - self.since_change_ms) / 1000.0:.1f}s more"
                )
            lines.append(f"down to {self.policy.level_name(self.level - 1)}: {'; '.join(missing) or 'now'}")
        return lines


def map_level(before: LevelPolicy, level: int, after: LevelPolicy) -> int:
    """Return the level of a new policy that replaces a level of the old one.

    It is the level of the same name, else the first that is at least as strict, else the last one.
    """
    found = after.level_number(before.level_name(level))
    if found is not None:
        return found
    actions = before.actions_of(level)
    for number in range(len(after.levels) + 1):
        if is_at_least_as_strict(after.actions_of(number), actions):
            return number
    return len(after.levels)
