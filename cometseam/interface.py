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
    NOT_SENT = 2
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


class Idempotency(StrEnum):
    """Whether a pull of a workload may run again."""

    REPEATABLE = "repeatable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class DedupScope(StrEnum):
    """The caches that drop each other's repeats of a tagged pull."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListUpdateKind(IntEnum):
    """What a `CacheListUpdate` event holds."""

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

    target_latency: float
    target_latency_factor: float
    deadline: float
    gain: float
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: float
    is_write: bool
    fresh_ttl: float
    stale_ttl: float
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
    weights_known: bool
    link_load_index: int
    can_recall: bool
    sends_retry_after: bool
    max_retry_after: float
    relay_limit: int
    joins_fills: bool
    stream_rate: float
    slow_start_initial_share: float
    slow_start_duration: float
    overload_factor: float
    overload_window: float
    parent_slow_start_initial_share: float
    parent_slow_start_duration: float
    parent_overload_factor: float
    purge_propagation: float


class RelayKind(IntEnum):
    """What a relay is for: it looks at what a cache holds, has it fill, or passes by what is kept."""

    LOOK = 0
    FILL = 1
    DIRECT = 2


class ScaledDuration(NamedTuple):
    """A time that goes with the size of a pull: `base` ms, and `part` times the pull's own sending time."""

    base: float
    part: float


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
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
    # By `RelayKind`: for the first relay of a pull, and for further ones after a failure.
    time_outs: tuple[tuple[ScaledDuration | None, ScaledDuration | None], ...] = ((None, None),) * 3
    relays: int | None = None  # that may fail; looks that are answered with a miss are not among them
    wait: float = 0.0  # ms before the first further relay
    growth: float = 1.0
    longest_wait: float = 0.0
    jitter: float = 0.0  # part of a wait that is added at most
    # When a relay out is given up for another elsewhere, where one may go.
    second: ScaledDuration | None = None
    worth: frozenset[Outcome] | None = None  # the outcomes after which a further relay goes
    come_back_in: float | None = None  # ms told with a shed pull
    allowance: RetryBudgetTerms | None = None


@dataclass(frozen=True, slots=True)
class Plans:
    """The operator's plans from now on; pulls that are open keep theirs. A pull names its plan by place."""

    plans: tuple[Plan, ...]
    # Of the networks of clients that a pull may name.
    network_budgets: tuple[RetryBudgetTerms | None, ...] = ()
    front_budget: RetryBudgetTerms | None = None


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The level of reduced service has changed: what is left out from now on; by default nothing."""

    level: int = 0
    shed_shares: tuple[float, ...] = ()  # of pulls that are shed, by workload; empty: none of any
    plan_shed_shares: dict[int, float] = field(default_factory=dict)  # the same by plan
    prefer_stale: bool = False  # an ageing copy is taken before a fill is begun
    fill_first_seen: bool = True  # a first-seen object may be filled
    allow_further_relays: bool = True  # further relays may go
    fill_limit_share: float = 1.0  # share of the limit on fills out
    min_retry_after: float | None = None  # ms told with a shed pull, at least
    reading_window: float = 0.0  # ms for which an object whose parts are being read is spared


@dataclass(frozen=True, slots=True)
class CacheEntry:
    """One line of the list of caches; parents and the origin are lines of it too."""

    cache: int
    lifecycle: Lifecycle
    ready_at: float
    cell: int
    zone: int
    kind: int
    weight: float


@dataclass(frozen=True, slots=True)
class CacheListUpdate:
    """The list of caches, or what has changed in it."""

    kind: ListUpdateKind
    entries: tuple[CacheEntry, ...]


@dataclass(slots=True)
class Pull:
    """A client wants one part of an object; the front now owes one final answer."""

    id: int
    object: int
    part: int
    workload: int
    time_left: float
    is_write: bool
    size_kb: float
    group: int
    plan_index: int = -1  # by place in the last `Plans`; -1: none
    network_index: int = -1
    client_network: int = 0  # the network that the client is one of, for fairness under a level


@dataclass(frozen=True, slots=True)
class RelayBegan:
    """A relay's answer has begun to stream; the relay now belongs to the client."""

    id: int


@dataclass(slots=True)
class RelayEnded:
    """A relay has ended."""

    id: int
    relay: int
    cache: int
    outcome: Outcome
    remark: Remark
    duration: float
    waited: float
    closed: bool
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; no answer is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The front ends: what is still owed is answered now."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has come due."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
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
class LoopLagged:
    """The front itself comes so much later to what is due, in ms: its core is busy or shared."""

    lag: float


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """The fleet's prober's verdict on a cache: `bad` for `ttl` ms from now, evidence begun `evidence_age` ms
    ago.

    Or the verdict has been taken back or has ended: `bad` is False.
    """

    cache: int
    bad: bool
    ttl: float
    evidence_age: float


@dataclass(frozen=True, slots=True)
class CapacityLease:
    """This front's part (0 to 1) of what a cold cache bears from all fronts, for `ttl` ms from now.

    Or, with `for_relays`, of how many relays they may have out there (`ConcurrencyCap`). Past that it goes by
    the lesser of this and an equal part, until it is told anew.
    """

    cache: int
    share: float
    ttl: float
    for_relays: bool = False


@dataclass(frozen=True, slots=True)
class ConcurrencyCap:
    """How many relays all fronts that send there may have out at one cache, and at one parent; 0: any."""

    per_cache: float
    per_parent: float


@dataclass(frozen=True, slots=True)
class RetryBudgetShare:
    """This front's part (0 to 1) of the further relays that a budget allows the fleet, for `ttl` ms.

    Past that it goes by the lesser of this and an equal part, until it is told anew.
    """

    budget_name: str
    share: float
    ttl: float


FleetEvent = HealthVerdict | CapacityLease | ConcurrencyCap | RetryBudgetShare  # what the fleet tells
ControlEvent = CacheListUpdate | ProbeEnded | Purged | LoopLagged | Plans | ServiceLevel | ShuttingDown
Event = Pull | RelayBegan | RelayEnded | ClientDisconnected | TimerFired | ControlEvent | FleetEvent


@dataclass(slots=True)
class Relay:
    """Ask `cache` for the copy; where it lacks one it fills from `source` (itself: it does not fill)."""

    id: int
    cache: int
    source: int
    rank: int
    join_fill: bool
    only_cached: bool
    parent_no_store: bool
    renew: bool
    timeout: float
    max_age: float
    write_within: float = 0.0  # ms from now past which no byte of it may be written first; 0: any time


@dataclass(slots=True)
class Shed:
    """Final answer: not done, and trying again is harmless."""

    id: int
    retry_after: float


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
class StartTimer:
    """Ask for a `TimerFired` with this mark."""

    timer_id: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a cache for its load."""

    cache: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

    text: str


Action = Relay | Shed | Error | Recall | StartTimer | Probe | Watch | LogMessage
