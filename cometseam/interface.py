"""What the decision module is told and what it asks for: settings, events, actions and outcomes.

Times are milliseconds with fractions. Ids of pulls, caches and objects are whole numbers chosen by
the other side. Nothing in this file decides anything. What is made for every pull is not frozen, as that
makes it several times as dear; nobody changes it.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple


class Outcome(IntEnum):
    """How a relay ended."""

    OK = 0
    MISS = 1
    MOOT = 2
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    FULL = 7
    ERROR = 8


class Remark(IntEnum):
    """What an answer tells of how it came about; NONE where nothing is told."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_FAILED = 10


class Effect(StrEnum):
    """Whether a pull of a workload may run again."""

    REPEATABLE = "repeatable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class Group(StrEnum):
    """The caches that drop each other's repeats of a tagged pull."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(IntEnum):
    """What a `Members` event holds."""

    CHANGES = 0
    CACHED = 1
    FAILED = 2
    FULL = 3


class Lifecycle(IntEnum):
    """Where a listed cache stands."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Workload:
    """One kind of pull."""

    quoted: float
    stretch: float
    cut_off: float
    gain: float
    effect: Effect
    group: Group
    window: float
    write: bool
    fresh: float
    grace: float
    stale_gain: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a front is handed at start; only what the decisions read."""

    workloads: tuple[Workload, ...]
    zone: int
    hub_of: tuple[int, ...]
    fronts_by_zone: tuple[int, ...]
    fronts: int
    parent_kind: int
    origin_kind: int
    asks_for_list: bool
    sized: bool
    link_report: int
    recalls: bool
    tells_retry: bool
    longest_retry: float
    relay_limit: int
    joins: bool
    pace: float
    cold_from: float
    warm_after: float
    fall_multiple: float
    fall_time: float
    parent_cold_from: float
    parent_warm_after: float
    parent_fall_multiple: float
    purge_takes: float


class Kind(IntEnum):
    """What a relay is for: it looks at what a cache holds, has it fill, or passes by what is kept."""

    LOOK = 0
    FILL = 1
    DIRECT = 2


class Span(NamedTuple):
    """A time that goes with the size of a pull: `base` ms, and `part` times the pull's own sending time."""

    base: float
    part: float


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many further relays may go: a share of first ones over a sliding window, and a floor."""

    name: str
    share: float  # further relays for each first one
    window: float  # ms
    floor: float  # further relays in a window whatever the share comes to
    fleet: float = 0.0  # and at most so many in a window from all fronts together; 0: any


@dataclass(frozen=True, slots=True)
class Plan:
    """What the operator sets for the pulls of a route; what is None the module decides as without a plan."""

    name: str = ""
    # By `Kind`: for the first relay of a pull, and for further ones after a failure.
    time_outs: tuple[tuple[Span | None, Span | None], ...] = ((None, None),) * 3
    relays: int | None = None  # that may fail; looks that are answered with a miss are not among them
    wait: float = 0.0  # ms before the first further relay
    growth: float = 1.0
    longest_wait: float = 0.0
    jitter: float = 0.0  # part of a wait that is added at most
    second: Span | None = None  # when a relay out is given up for another elsewhere, where one may go
    worth: frozenset[Outcome] | None = None  # the outcomes after which a further relay goes
    come_back_in: float | None = None  # ms told with a shed pull
    allowance: Allowance | None = None


@dataclass(frozen=True, slots=True)
class Plans:
    """The operator's plans from now on; pulls that are open keep theirs. A pull names its plan by place."""

    plans: tuple[Plan, ...]
    networks: tuple[Allowance | None, ...] = ()  # of the networks of clients that a pull may name
    front: Allowance | None = None


@dataclass(frozen=True, slots=True)
class Eased:
    """The level of reduced service has changed: what is left out from now on; by default nothing."""

    level: int = 0
    shares: tuple[float, ...] = ()  # of pulls that are shed, by workload; empty: none of any
    routes: dict[int, float] = field(default_factory=dict)  # the same by plan
    ageing: bool = False  # an ageing copy is taken before a fill is begun
    first_seen: bool = True  # a first-seen object may be filled
    further: bool = True  # further relays may go
    fills: float = 1.0  # share of the limit on fills out
    later: float | None = None  # ms told with a shed pull, at least
    reading: float = 0.0  # ms for which an object whose parts are being read is spared


@dataclass(frozen=True, slots=True)
class Listed:
    """One line of the list of caches; parents and the origin are lines of it too."""

    cache: int
    lifecycle: Lifecycle
    ready_at: float
    cell: int
    zone: int
    kind: int
    weight: float


@dataclass(frozen=True, slots=True)
class Members:
    """The list of caches, or what has changed in it."""

    kind: ListKind
    entries: tuple[Listed, ...]


@dataclass(slots=True)
class Pull:
    """A client wants one part of an object; the front now owes one final answer."""

    id: int
    object: int
    part: int
    workload: int
    left: float
    write: bool
    size_kb: float
    group: int
    plan: int = -1  # by place in the last `Plans`; -1: none
    network: int = -1
    client: int = 0  # the network that the client is one of, for fairness under a level


@dataclass(frozen=True, slots=True)
class Began:
    """A relay's answer has begun to stream; the relay now belongs to the client."""

    id: int


@dataclass(slots=True)
class Ended:
    """A relay has ended."""

    id: int
    relay: int
    cache: int
    outcome: Outcome
    remark: Remark
    took: float
    waited: float
    closed: bool
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class HungUp:
    """The client has gone; no answer is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Closing:
    """The front ends: what is still owed is answered now."""


@dataclass(frozen=True, slots=True)
class Rang:
    """A timer has come due."""

    mark: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe has ended."""

    cache: int
    outcome: Outcome
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or with object 0 a whole group, was purged `age` ago."""

    object: int
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class Lagged:
    """The front itself comes so much later to what is due, in ms: its core is busy or shared."""

    by: float


@dataclass(frozen=True, slots=True)
class Judged:
    """The fleet's prober's verdict on a cache: `bad` for `rest` ms from now, evidence begun `age` ms ago.

    Or the verdict has been taken back or has ended: `bad` is False.
    """

    cache: int
    bad: bool
    rest: float
    age: float


@dataclass(frozen=True, slots=True)
class Granted:
    """This front's part (0 to 1) of what a cold cache bears from all fronts, for `lasts` ms from now.

    Or, with `relays`, of how many relays they may have out there (`Capped`). Past that it goes by the lesser
    of this and an equal part, until it is told anew.
    """

    cache: int
    part: float
    lasts: float
    relays: bool = False


@dataclass(frozen=True, slots=True)
class Capped:
    """How many relays all fronts that send there may have out at one cache, and at one parent; 0: any."""

    caches: float
    parents: float


@dataclass(frozen=True, slots=True)
class Allotted:
    """This front's part (0 to 1) of the further relays that a budget allows the fleet, for `lasts` ms.

    Past that it goes by the lesser of this and an equal part, until it is told anew.
    """

    budget: str
    part: float
    lasts: float


Fleet = Judged | Granted | Capped | Allotted  # what the fleet tells
Facts = Members | Probed | Purged | Lagged | Plans | Eased | Closing
Event = Pull | Began | Ended | HungUp | Rang | Facts | Fleet


@dataclass(slots=True)
class Relay:
    """Ask `cache` for the copy; where it lacks one it fills from `source` (itself: it does not fill)."""

    id: int
    cache: int
    source: int
    rank: int
    join: bool
    only_held: bool
    parent_keeps_none: bool
    renew: bool
    time_out: float
    oldest: float
    within: float = 0.0  # ms from now past which no byte of it may be written first; 0: any time


@dataclass(slots=True)
class Shed:
    """Final answer: not done, and trying again is harmless."""

    id: int
    come_back_in: float


@dataclass(slots=True)
class Error:
    """Final answer: not done, and nothing is promised about what ran."""

    id: int


@dataclass(frozen=True, slots=True)
class Recall:
    """Stop waiting for a relay; with `if_unsent` only if it is not written yet, which needs no leave."""

    id: int
    relay: int
    if_unsent: bool = False


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a `Rang` with this mark."""

    mark: int
    after: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a cache for its load."""

    cache: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators' log."""

    text: str


Action = Relay | Shed | Error | Recall | Wake | Probe | Watch | Say
