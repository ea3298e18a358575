"""The interface of the decision module: settings, events, actions and outcomes; no decisions are made here.

A pull is a client's request; a relay is one attempt to have a cache answer it. Times are in ms, as floats.
Ids of pulls, caches and objects are integers chosen by the caller. The classes that are created for every
pull or relay are not frozen, because freezing makes creation several times as expensive; nothing modifies
them.
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
    """How an answer came about; NONE where the answer does not say."""

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
    """Whether a pull of a workload may run more than once.

    REPEATABLE: idempotent. TAGGED: it carries an idempotency key, by which repeats are dropped. ONCE_ONLY:
    not idempotent.
    """

    REPEATABLE = "repeatable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class DedupScope(StrEnum):
    """The caches that drop each other's repeats of a pull with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListUpdateKind(IntEnum):
    """What a `CacheListUpdate` contains."""

    CHANGES = 0
    CACHED = 1
    FAILED = 2
    FULL = 3


class Lifecycle(IntEnum):
    """The state of a cache on the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Workload:
    """The terms of one class of pulls; durations in ms.

    `target_latency` plus `target_latency_factor` times the sending time is the target latency of a pull;
    `deadline` is when it must have ended. `gain` is the value of an answer, `stale_gain` its factor for a
    stale one. Repeats are dropped within `dedup_scope` for `dedup_window`. A copy is fresh for `fresh_ttl`
    and usable as a stale one for `stale_ttl` after that.
    """

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
    """The settings of a front that the decisions use; durations in ms.

    `hub_of` and `fronts_by_zone` give each zone's hub and number of fronts; `fronts` counts all fronts.
    `link_load_index` is the index of the zone's link in reported loads. `relay_limit` bounds the relays of
    a pull. `stream_rate` is in KB per ms; 0: unknown. A server in slow start can take its initial share of
    its weight, which rises to all of it over the slow-start duration; its load within `overload_window` may
    be the overload factor times that. The fields with `parent_` are for parents. A purge may take up to
    `purge_propagation` to reach all servers.
    """

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
    """The purpose of a relay: a cache lookup, a fill, or a write, which bypasses what is kept."""

    LOOK = 0
    FILL = 1
    DIRECT = 2


class ScaledDuration(NamedTuple):
    """A duration that depends on a pull's size: `base` ms plus `part` times its sending time."""

    base: float
    part: float


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
    """A budget of further relays: a share of first relays over a sliding window, with a floor."""

    name: str
    share: float  # further relays per first relay
    window: float  # ms
    floor: float  # further relays per window, however low the share is
    fleet: float = 0.0  # at most this many per window from all fronts together; 0: no bound


@dataclass(frozen=True, slots=True)
class Plan:
    """The operator's terms for the pulls of a route; a field that is None leaves the built-in behaviour."""

    name: str = ""
    # By `RelayKind`: the time-out of a pull's first relay, and of further relays after a failure.
    time_outs: tuple[tuple[ScaledDuration | None, ScaledDuration | None], ...] = ((None, None),) * 3
    relays: int | None = None  # attempts that may fail; a lookup answered with a miss is not one
    wait: float = 0.0  # ms before the first further relay
    growth: float = 1.0
    longest_wait: float = 0.0
    jitter: float = 0.0  # share of a wait that is added at most
    # After this time a relay in flight is recalled and the pull sent elsewhere, if possible (hedging).
    second: ScaledDuration | None = None
    worth: frozenset[Outcome] | None = None  # the outcomes after which a further relay is sent
    come_back_in: float | None = None  # ms; the retry-after of a shed pull
    allowance: RetryBudgetTerms | None = None


@dataclass(frozen=True, slots=True)
class Plans:
    """The operator's plans from now on; pending pulls keep theirs. A pull names its plan by index."""

    plans: tuple[Plan, ...]
    # By the index of the client network that a pull names.
    network_budgets: tuple[RetryBudgetTerms | None, ...] = ()
    front_budget: RetryBudgetTerms | None = None


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The level of reduced service has changed: what is skipped from now on; the defaults skip nothing."""

    level: int = 0
    shed_shares: tuple[float, ...] = ()  # share of pulls shed, by workload; empty: none
    plan_shed_shares: dict[int, float] = field(default_factory=dict)  # the same by plan index
    prefer_stale: bool = False  # a stale copy is used before a fill is started
    fill_first_seen: bool = True  # an object requested for the first time may be filled
    allow_further_relays: bool = True  # further relays may be sent
    fill_limit_share: float = 1.0  # share of the limit on fills in flight
    min_retry_after: float | None = None  # ms; the lowest retry-after of a shed pull
    # Further parts of an object are not shed for this long (ms) after a part of it was let through.
    reading_window: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheEntry:
    """One entry of the list of caches, which includes parents and the origin."""

    cache: int
    lifecycle: Lifecycle
    ready_at: float
    cell: int
    zone: int
    kind: int
    weight: float


@dataclass(frozen=True, slots=True)
class CacheListUpdate:
    """The whole list of caches, or changes to it."""

    kind: ListUpdateKind
    entries: tuple[CacheEntry, ...]


@dataclass(slots=True)
class Pull:
    """A client requests one part of an object; the front must give one final answer.

    `time_left` (ms) ends at the client's deadline. `group` is the object's group, by which it can be purged.
    """

    id: int
    object: int
    part: int
    workload: int
    time_left: float
    is_write: bool
    size_kb: float
    group: int
    # Index in the last `Plans`; -1: none.
    plan_index: int = -1
    network_index: int = -1
    client_network: int = 0  # the client's network, for fairness while shedding


@dataclass(frozen=True, slots=True)
class RelayBegan:
    """A relay's answer has begun to stream to the client."""

    id: int


@dataclass(slots=True)
class RelayEnded:
    """A relay has ended.

    `relay` is its number within the pull, from 0. `duration` and the part of it that a cache `waited` for a
    source are in ms. `closed`: the pull needs no answer any more. `load` holds the cache's load report, or
    nothing.
    """

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
    """The client has disconnected; no answer is needed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The front shuts down: unanswered pulls get their final answer now."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has fired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A load probe has ended."""

    cache: int
    outcome: Outcome
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or with object 0 a whole group, was purged `age` ms ago."""

    object: int
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class LoopLagged:
    """The front's event loop runs `lag` ms late: its core is busy or shared."""

    lag: float


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """The fleet's verdict on a cache.

    `bad`: it is ejected for `ttl` ms, on evidence that began `evidence_age` ms ago. Not `bad`: the verdict
    was withdrawn or has expired.
    """

    cache: int
    bad: bool
    ttl: float
    evidence_age: float


@dataclass(frozen=True, slots=True)
class CapacityLease:
    """This front's share (0 to 1) of what a cache in slow start can take from all fronts, for `ttl` ms.

    With `for_relays`: its share of the relays that they may have in flight there (`ConcurrencyCap`). After
    `ttl` the front uses the lesser of this and an equal share until the next lease.
    """

    cache: int
    share: float
    ttl: float
    for_relays: bool = False


@dataclass(frozen=True, slots=True)
class ConcurrencyCap:
    """How many relays all fronts together may have in flight at a cache, and at a parent; 0: no cap."""

    per_cache: float
    per_parent: float


@dataclass(frozen=True, slots=True)
class RetryBudgetShare:
    """This front's share (0 to 1) of the further relays that a budget allows the fleet, for `ttl` ms.

    After `ttl` the front uses the lesser of this and an equal share until the next one.
    """

    budget_name: str
    share: float
    ttl: float


FleetEvent = HealthVerdict | CapacityLease | ConcurrencyCap | RetryBudgetShare  # decided by the fleet
ControlEvent = CacheListUpdate | ProbeEnded | Purged | LoopLagged | Plans | ServiceLevel | ShuttingDown
Event = Pull | RelayBegan | RelayEnded | ClientDisconnected | TimerFired | ControlEvent | FleetEvent


@dataclass(slots=True)
class Relay:
    """Ask `cache` for the copy; without one it fills from `source` (`cache` itself: it does not fill).

    `rank`: how valuable the copy is to keep; 0: it is not kept. `join_fill`: the relay may wait for a fill
    that is under way. `only_cached`: the source answers only from its own copy. `timeout` and `max_age` of an
    accepted copy are in ms; `max_age` 0: no bound of its own.
    """

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
    write_within: float = 0.0  # ms from now within which its first byte must be written; 0: no bound


@dataclass(slots=True)
class Shed:
    """Final answer: not done, and a retry is harmless, after `retry_after` ms (0: not stated)."""

    id: int
    retry_after: float


@dataclass(slots=True)
class Error:
    """Final answer: not done, and it may or may not have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Recall:
    """Stop waiting for a relay; with `if_unsent` only if it is not written yet, which needs no permission."""

    id: int
    relay: int
    if_unsent: bool = False


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Request a `TimerFired` with this id after `delay` ms."""

    timer_id: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a cache's load."""

    cache: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the cache list."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

    text: str


Action = Relay | Shed | Error | Recall | StartTimer | Probe | Watch | LogMessage
