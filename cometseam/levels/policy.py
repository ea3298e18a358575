"""What the operator's file sets of levels: values, checked and immutable; times in ms."""

from dataclasses import dataclass

from cometseam.levels.conditions import CompoundCondition

FULL_SERVICE = "full"  # the name of the level that leaves nothing out
MIN_STAY_MS = 10_000.0  # ms between two changes, whatever the file says


@dataclass(frozen=True, slots=True)
class ShedShare:
    """A share of the pulls of a workload, or of a route, that is shed."""

    workload: int  # -1: a route's
    route: str
    share: float


@dataclass(frozen=True, slots=True)
class LevelActions:
    """What a level leaves out."""

    shed: tuple[ShedShare, ...] = ()
    ageing: bool = False  # an ageing copy is taken before a fill is begun
    first_seen: bool = True  # a first-seen object may be filled
    further: bool = True  # further relays may go
    fills: float = 1.0  # share of the limit on fills out
    later: float | None = None  # ms told with a shed pull


@dataclass(frozen=True, slots=True)
class Level:
    """A named level: when it is entered and left, for how long it stays at least, and what it leaves out."""

    name: str
    enter: CompoundCondition
    leave: CompoundCondition
    measures: LevelActions
    stay: float = MIN_STAY_MS
    ramp: float = MIN_STAY_MS  # ms over which what it shed beyond the level below comes back


@dataclass(frozen=True, slots=True)
class LevelPolicy:
    """All levels, from the first below full service to the least."""

    levels: tuple[Level, ...]
    spread: float = 0.5  # part by which times are lengthened, drawn by each front's seed
    calm: float = 60_000.0  # ms without a change after which the hold-down halves
    reading: float = 10_000.0  # ms after a part within which the next parts of its object are spared
    keep: str = ""  # where the present level is kept over restarts

    def level_number(self, name: str) -> int | None:
        """Return the number of a level by its name; 0 is full service."""
        names = [FULL_SERVICE, *(level.name for level in self.levels)]
        return names.index(name) if name in names else None

    def actions_of(self, number: int) -> LevelActions:
        """Return what a level leaves out."""
        return self.levels[number - 1].measures if number else LevelActions()

    def level_name(self, number: int) -> str:
        """Return the name of a level."""
        return self.levels[number - 1].name if number else FULL_SERVICE


def shed_share_of(measures: LevelActions, workload: int, route: str) -> float:
    """Return the share of a kind of pull that is shed: the largest said of its workload or route."""
    return max(
        (
            shed.share
            for shed in measures.shed
            if (shed.workload == workload if not shed.route else shed.route == route)
        ),
        default=0.0,
    )


def is_at_least_as_strict(one: LevelActions, other: LevelActions) -> bool:
    """Tell whether one leaves out all that the other does."""
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
