"""The level policy of an operator's file: validated, immutable values; times in ms."""

from dataclasses import dataclass

from cometseam.levels.conditions import CompoundCondition

FULL_SERVICE = "full"  # the name of level 0, which leaves nothing out
MIN_STAY_MS = 10_000.0  # minimum time between two changes, whatever the file sets


@dataclass(frozen=True, slots=True)
class ShedShare:
    """A share (0 to 1) of the pulls of a workload, or of a route, that is shed."""

    workload: int  # -1 if it is for a route
    route: str  # empty if it is for a workload
    share: float


@dataclass(frozen=True, slots=True)
class LevelActions:
    """What a level leaves out; the defaults leave nothing out."""

    shed: tuple[ShedShare, ...] = ()
    ageing: bool = False  # prefer a stale copy to starting a fill
    first_seen: bool = True  # allow fills of objects that are seen for the first time
    further: bool = True  # allow further relays after a failure
    fills: float = 1.0  # share of the limit on fills in flight
    later: float | None = None  # ms that a shed pull's client is asked to wait, at least


@dataclass(frozen=True, slots=True)
class Level:
    """A named level: its conditions, its minimum stay (ms) and what it leaves out."""

    name: str
    enter: CompoundCondition
    leave: CompoundCondition
    measures: LevelActions
    stay: float = MIN_STAY_MS
    ramp: float = MIN_STAY_MS  # ms over which pulls shed only by this level are admitted again


@dataclass(frozen=True, slots=True)
class LevelPolicy:
    """All reduced levels, from the least strict to the strictest, and the settings they share."""

    levels: tuple[Level, ...]
    spread: float = 0.5  # largest share by which a front's times are lengthened, drawn at random
    calm: float = 60_000.0  # ms without a change after which the hold-down factors halve
    reading: float = 10_000.0  # ms after a part in which further parts of the object are not shed
    keep: str = ""  # path of the file that keeps the present level over restarts; empty: none

    def level_number(self, name: str) -> int | None:
        """Return the number of the level of this name, 0 for full service, or None."""
        names = [FULL_SERVICE, *(level.name for level in self.levels)]
        return names.index(name) if name in names else None

    def actions_of(self, number: int) -> LevelActions:
        """Return what the level of this number leaves out."""
        return self.levels[number - 1].measures if number else LevelActions()

    def level_name(self, number: int) -> str:
        """Return the name of the level of this number."""
        return self.levels[number - 1].name if number else FULL_SERVICE


def shed_share_of(actions: LevelActions, workload: int, route: str) -> float:
    """Return the share of pulls shed: the largest of the entries for the workload or the route."""
    return max(
        (
            shed.share
            for shed in actions.shed
            if (shed.workload == workload if not shed.route else shed.route == route)
        ),
        default=0.0,
    )


def is_at_least_as_strict(one: LevelActions, other: LevelActions) -> bool:
    """Return whether `one` leaves out everything that `other` does."""
    shares = all(
        any(
            mine.workload == theirs.workload and mine.route == theirs.route and mine.share >= theirs.share
            for mine in one.shed
        )
        for theirs in other.shed
    )
    flags = (one.ageing or not other.ageing) and (other.first_seen or not one.first_seen)
    flags = flags and (other.further or not one.further) and one.fills <= other.fills
    return shares and flags and (one.later or 0.0) >= (other.later or 0.0)
