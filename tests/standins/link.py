"""A link shared by many fronts, simulated in virtual time: its load depends on what they shed."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cometseam.levels import LevelPolicy, LevelStateMachine
from cometseam.levels.policy import shed_share_of

STEP_MS = 250.0


@dataclass
class Shared:
    """Fronts on one link: each offers its share of the load, sheds by its level, and sees the link's load."""

    policy: LevelPolicy
    fronts: int
    demand: Callable[[float], float]  # clients' load by time (ms), as a multiple of the link's capacity
    seed: int
    sheddable_share: float = 1.0  # share of the load that the levels may shed
    load: list[float] = field(default_factory=list)
    changes: list[tuple[float, int, int]] = field(default_factory=list)  # time, front, level

    def run(self, duration: float) -> None:
        """Simulate `duration` ms."""
        random = Random(self.seed)
        machines = [
            LevelStateMachine(self.policy, Random(random.getrandbits(32))) for _ in range(self.fronts)
        ]
        smoothed_load = self.demand(0.0)
        now = 0.0
        while now < duration:
            offered = 0.0
            for machine in machines:
                shed = shed_share_of(machine.current_actions(), 0, "")
                offered += self.demand(now) / self.fronts * (1.0 - self.sheddable_share * shed)
            # Fronts see the load through the answers of the last seconds.
            smoothed_load += 0.25 * (offered - smoothed_load)
            self.load.append(smoothed_load)
            for front_index, machine in enumerate(machines):
                reported_load = smoothed_load * (1.0 + 0.02 * random.uniform(-1.0, 1.0))
                change = machine.step(now, {"link": reported_load})
                if change is not None:
                    self.changes.append((now, front_index, change.after))
            now += STEP_MS

    def swing(self, start: float) -> tuple[float, float]:
        """Return the range of the load from `start` (ms) on, and the mean period of its swings (ms)."""
        samples = self.load[int(start / STEP_MS) :]
        mean = sum(samples) / len(samples)
        crossings = [index for index in range(1, len(samples)) if samples[index - 1] < mean <= samples[index]]
        period = (
            STEP_MS * (crossings[-1] - crossings[0]) / (len(crossings) - 1) if len(crossings) > 1 else 0.0
        )
        return max(samples) - min(samples), period
