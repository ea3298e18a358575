"""A link that many fronts share, in virtual time: what they shed decides how full it is."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cometseam.levels import LevelPolicy, LevelStateMachine
from cometseam.levels.policy import shed_share_of

STEP = 250.0  # ms


@dataclass
class Shared:
    """Fronts on one link: each offers its part of the load, sheds by its level, hears of the link."""

    scheme: LevelPolicy
    fronts: int
    demand: Callable[[float], float]  # times the link's room that clients ask for, by time (ms)
    seed: int
    sheds_part: float = 1.0  # part of the load that the levels may shed
    load: list[float] = field(default_factory=list)
    changes: list[tuple[float, int, int]] = field(default_factory=list)  # time, front, level

    def run(self, length: float) -> None:
        """Let time pass."""
        chance = Random(self.seed)
        machines = [
            LevelStateMachine(self.scheme, Random(chance.getrandbits(32))) for _ in range(self.fronts)
        ]
        smooth = self.demand(0.0)
        now = 0.0
        while now < length:
            offered = 0.0
            for machine in machines:
                shed = shed_share_of(machine.current_actions(), 0, "")
                offered += self.demand(now) / self.fronts * (1.0 - self.sheds_part * shed)
            smooth += 0.25 * (offered - smooth)  # fronts hear of it by answers of the last seconds
            self.load.append(smooth)
            for place, machine in enumerate(machines):
                told = smooth * (1.0 + 0.02 * chance.uniform(-1.0, 1.0))
                change = machine.step(now, {"link": told})
                if change is not None:
                    self.changes.append((now, place, change.after))
            now += STEP

    def swing(self, start: float) -> tuple[float, float]:
        """Return the amplitude of the load after a time, and its mean period, ms."""
        tail = self.load[int(start / STEP) :]
        mean = sum(tail) / len(tail)
        ups = [n for n in range(1, len(tail)) if tail[n - 1] < mean <= tail[n]]
        period = STEP * (ups[-1] - ups[0]) / (len(ups) - 1) if len(ups) > 1 else 0.0
        return max(tail) - min(tail), period
