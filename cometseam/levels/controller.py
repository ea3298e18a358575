"""The service level of one front: signal values in, level changes and service levels out. No I/O."""

from collections.abc import Callable
from random import Random

from cometseam.interface import ServiceLevel
from cometseam.levels.machine import LevelChange, LevelStateMachine, map_level
from cometseam.levels.policy import FULL_SERVICE, LevelActions, LevelPolicy
from cometseam.levels.signals import Histogram, Signals, UtilizationSample

EVALUATION_INTERVAL_MS = 250.0  # short enough for levels, which change over tens of seconds


class LevelController:
    """The signals of a front, its state machine, and the plans of the routes that a level may shed."""

    def __init__(
        self, policy: LevelPolicy, routes: tuple[tuple[str, int], ...], workloads: tuple[str, ...],
        rng: Random, make_histogram: Callable[[], Histogram], level: int = 0,
    ) -> None:  # fmt: skip
        """Start in `level`; `routes` holds (name, plan index) of each route, as pulls carry a plan index."""
        self.signals = Signals(workloads, make_histogram)
        self.state_machine = LevelStateMachine(policy, rng, level)
        self._routes, self._workloads = routes, workloads
        self._last_actions: LevelActions | None = None
        self.signal_values: dict[str, float | None] = {}

    @property
    def level_name(self) -> str:
        """Return the name of the present level."""
        return self.state_machine.policy.level_name(self.state_machine.level)

    def replace_policy(self, policy: LevelPolicy, routes: tuple[tuple[str, int], ...], rng: Random) -> None:
        """Continue under another policy, in the level of it that corresponds to the present one."""
        previous = self.state_machine
        level = map_level(previous.policy, previous.level, policy)
        self.state_machine = LevelStateMachine(policy, rng, level)
        self.state_machine.since_change_ms = (
            previous.since_change_ms
            if policy.level_name(level) == previous.policy.level_name(previous.level)
            else 0.0
        )
        self._routes, self._last_actions = routes, None

    def step(self, now: float, sample: UtilizationSample) -> tuple[LevelChange | None, ServiceLevel | None]:
        """Evaluate the signals; return a level change, and a service level if its actions have changed."""
        self.signal_values = self.signals.read(now, sample)
        change = self.state_machine.step(now, self.signal_values)
        actions = self.state_machine.current_actions()
        if actions == self._last_actions:
            return change, None
        self._last_actions = actions
        return change, self.to_service_level(actions)

    def to_service_level(self, actions: LevelActions) -> ServiceLevel:
        """Return the service level for the decision module: actions by workload and plan index."""
        if actions == LevelActions() and not self.state_machine.level:
            return ServiceLevel()
        shares = [0.0] * len(self._workloads)
        plan_shares: dict[int, float] = {}
        for shed in actions.shed:
            if not shed.route:
                shares[shed.workload] = max(shares[shed.workload], shed.share)
            for name, plan_index in self._routes:
                if shed.route and name == shed.route:
                    plan_shares[plan_index] = max(plan_shares.get(plan_index, 0.0), shed.share)
        return ServiceLevel(
            self.state_machine.level, tuple(shares), plan_shares, actions.ageing, actions.first_seen,
            actions.further, actions.fills, actions.later, self.state_machine.policy.reading,
        )  # fmt: skip

    def seconds_by_level(self) -> dict[str, float]:
        """Return the time spent in each level, in seconds."""
        policy = self.state_machine.policy
        names = [FULL_SERVICE, *(level.name for level in policy.levels)]
        return {
            name: time_ms / 1000.0
            for name, time_ms in zip(names, self.state_machine.level_times_ms, strict=True)
        }
