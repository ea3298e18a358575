"""What the module's actor holds of the levels: signals in, changes out. No I/O."""

from collections.abc import Callable
from random import Random

from cometseam.interface import ServiceLevel
from cometseam.levels.machine import LevelChange, LevelStateMachine, map_level
from cometseam.levels.policy import FULL_SERVICE, LevelActions, LevelPolicy
from cometseam.levels.signals import Histogram, Signals, UtilizationSample

EVALUATION_INTERVAL_MS = 250.0  # ms between two looks: a level changes in tens of seconds


class LevelController:
    """The signals of a front, the level that they come to, and the routes that shares are told by."""

    def __init__(
        self, scheme: LevelPolicy, routes: tuple[tuple[str, int], ...], workloads: tuple[str, ...],
        chance: Random, make: Callable[[], Histogram], level: int = 0,
    ) -> None:  # fmt: skip
        """Begin in a level; `routes` hold (name, plan) of each route: pulls name their plan."""
        self.signals = Signals(workloads, make)
        self.state_machine = LevelStateMachine(scheme, chance, level)
        self._routes, self._workloads = routes, workloads
        self._told: LevelActions | None = None
        self.signal_values: dict[str, float | None] = {}

    @property
    def level_name(self) -> str:
        """Tell the name of the present level."""
        return self.state_machine.policy.level_name(self.state_machine.level)

    def replace_policy(
        self, scheme: LevelPolicy, routes: tuple[tuple[str, int], ...], chance: Random
    ) -> None:
        """Go on under another scheme, in the level that stands for the present one."""
        old = self.state_machine
        level = map_level(old.policy, old.level, scheme)
        self.state_machine = LevelStateMachine(scheme, chance, level)
        self.state_machine.since_change_ms = (
            old.since_change_ms if scheme.level_name(level) == old.policy.level_name(old.level) else 0.0
        )
        self._routes, self._told = routes, None

    def step(self, now: float, front: UtilizationSample) -> tuple[LevelChange | None, ServiceLevel | None]:
        """Take in the front's own figures; tell a change of level, and what the module is to be told."""
        self.signal_values = self.signals.read(now, front)
        change = self.state_machine.step(now, self.signal_values)
        measures = self.state_machine.current_actions()
        if measures == self._told:
            return change, None
        self._told = measures
        return change, self.to_service_level(measures)

    def to_service_level(self, measures: LevelActions) -> ServiceLevel:
        """Return what the module is told of what is left out."""
        if measures == LevelActions() and not self.state_machine.level:
            return ServiceLevel()
        shares = [0.0] * len(self._workloads)
        routes: dict[int, float] = {}
        for shed in measures.shed:
            if not shed.route:
                shares[shed.workload] = max(shares[shed.workload], shed.share)
            for name, plan in self._routes:
                if shed.route and name == shed.route:
                    routes[plan] = max(routes.get(plan, 0.0), shed.share)
        return ServiceLevel(
            self.state_machine.level, tuple(shares), routes, measures.ageing, measures.first_seen,
            measures.further, measures.fills, measures.later, self.state_machine.policy.reading,
        )  # fmt: skip

    def seconds_by_level(self) -> dict[str, float]:
        """Return the seconds in each level."""
        scheme = self.state_machine.policy
        names = [FULL_SERVICE, *(level.name for level in scheme.levels)]
        return {
            name: time / 1000.0 for name, time in zip(names, self.state_machine.level_times_ms, strict=True)
        }
