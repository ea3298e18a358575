"""Every decision of the router: which cache a pull goes to, what fills it, what is kept, when to stop.

A caller makes one `Front` a front, with its seed and the settings, passes events with the time to `handle`,
and carries out, in order, what actions come back (`cometseam.interface`). Nothing is shared between fronts.
"""

from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Generator, Iterator
from math import exp, log
from random import Random
from typing import NamedTuple

from cometseam.interface import (
    Action,
    CacheEntry,
    CacheListUpdate,
    CapacityLease,
    ClientDisconnected,
    ConcurrencyCap,
    DedupScope,
    Error,
    Event,
    HealthVerdict,
    Idempotency,
    Lifecycle,
    ListUpdateKind,
    LoopLagged,
    Outcome,
    Plans,
    Pull,
    Purged,
    Recall,
    Relay,
    RelayEnded,
    Remark,
    RetryBudgetShare,
    ServiceLevel,
    Settings,
    Shed,
    ShuttingDown,
    StartTimer,
    TimerFired,
    Watch,
    Workload,
)
from cometseam.levels import LoadShedder
from cometseam.timing import ActivePlans, CapacityShare, may_retry, retry_wait, timeout_and_hedge_delay

MAX_REMOVED = 256  # caches that left the list and are remembered
MAX_HISTORIES = 6000  # objects' parts whose requests are remembered, and gaps for each of them
MAX_REQUEST_GAPS = 6
MIN_REQUEST_GAP_MS = (
    250.0  # ms; closer requests count as this far apart: a client's retries are no popularity
)
MAX_RECENT_VALUES = 600  # recent values that are cut in thirds, and values between two cuts
VALUES_BETWEEN_CUTS = 50
INITIAL_RETRY_TOKENS = 1.0  # at the start, for each good answer, at most
RETRY_TOKENS_PER_ANSWER = 0.2
MAX_RETRY_TOKENS = 10.0
MIN_LIMIT = 2.0  # relays out at a cache: at least, and at first with sizes untold
INITIAL_LIMIT_WITHOUT_WEIGHTS = 8.0
LIMIT_CUT_FACTOR = 0.8  # left of a limit that is cut, ms between two; left of lateness
MIN_CUT_INTERVAL_MS = 500.0
LAG_DECAY_FACTOR = 0.9
ERROR_RATE_GAIN = 0.1  # weight of one answer in a cache's share of errors, and from where that is illness
ERROR_RATE_THRESHOLD = 0.3
SLOW_START_BUDGET_SHARE = 0.75  # share of a cold cache's budget that is used: sizes and weights are not exact
SPILL_SHARE = 0.55  # share of the quoted time: past it a pull spills on
ADMISSION_SHARE = 0.65  # share of the quoted time: within it a pull is begun
SLOWDOWN_DECAY_MS = 3000.0  # ms, by the root of a zone's fronts, in which what was seen wears off to a third
MANY_FRONTS_MARGIN = 0.6  # margin on a crowd, of what it adds, that very many fronts make needed
IDLE_SHARE = 0.5  # share of a limit up to which a pull may go on past its quoted time
SPARE_EVICTION_RATE = 0.1  # share of the kept copies found gone up to which a cache has room to spare
ORIGIN_STRAIN_FACTOR = 3.0  # times the usual wait for the origin that show that it is asked for too much
TRANSFER_ALLOWANCE_MS = (
    100.0  # ms past the time expected of a transfer before its link is held to be fuller than thought
)
FIRST_BACK_OFF_MS = 400.0  # ms that a struck cache is left alone, at first and at most
MAX_BACK_OFF_MS = 6400.0
INITIAL_FILL_SHARE = 0.5  # fills out at first, as a part of the relays that the zone's caches may have out
FILL_ALLOWANCE_MS = 600.0  # ms past PATIENCE times its own time when a fill, a look times out
LOOKUP_ALLOWANCE_MS = 200.0
TIMEOUT_FACTOR = 4.0
FAIR_SHARE_RATIO = 0.8  # part of a workload's answered share below which its large may be late; one's weight
ANSWERED_SHARE_GAIN = 0.05
LOSS_RATE_THRESHOLD = 0.12  # share of lost answers from where that is HASTE times the pace that answers have
NORMAL_PACE_FACTOR = 1.5
NEVER_RAN = (Outcome.MISS, Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.FULL)
SOURCE_AT_FAULT = (Remark.SOURCE_REFUSED, Remark.SOURCE_BROKE)
UINT64_MAX = (1 << 64) - 1
TIMER_SUFFIX_BITS = 16  # a timer's mark: the pull's id, and its relays when it was set or that it rests
RETRY_WAIT_SUFFIX = 0xFFFF


def hash_pair(object_key: int, cache: int) -> int:
    """Hash an object with a cache; all fronts agree on it."""
    mixed = (object_key * 0x9E3779B97F4A7C15 + cache * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & UINT64_MAX
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & UINT64_MAX
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & UINT64_MAX
    return mixed ^ mixed >> 31


class ConcurrencyLimit:
    """How many may be out at once; it grows by one where a round went well and is cut by a share."""

    def __init__(self, size: float, decay: float) -> None:
        self.size, self.slowdown_decay = max(size, MIN_LIMIT), decay
        self.max_size, self.in_flight, self.cut_at = 4.0 * self.size, 0, 0.0
        # Times its own time that a transfer took of late, and when.
        self.last_slowdown, self.last_slowdown_at = 1.0, 0.0

    def adjust(self, succeeded: bool, now: float, proven: bool = False) -> None:
        """Cut it by what is out where that is proven too much; cuts close together have one cause."""
        if succeeded and self.in_flight + 2 > self.size:
            self.size = min(self.size + 1.0 / self.size, self.max_size)
        if not succeeded and now - self.cut_at >= MIN_CUT_INTERVAL_MS:
            self.cut_at = now
            self.size = max(
                LIMIT_CUT_FACTOR * (min(self.size, self.in_flight + 1.0) if proven else self.size), MIN_LIMIT
            )

    def slowdown(self, now: float) -> float:
        """Tell how many times its own time a transfer is expected to take; what was seen wears off."""
        return 1.0 + (self.last_slowdown - 1.0) * exp((self.last_slowdown_at - now) / self.slowdown_decay)

    def expected_slowdown(self, now: float) -> float:
        """Tell how many times its own time one more would take."""
        return max((self.in_flight + 1) / self.size, self.slowdown(now))

    def record_slowdown(self, observed: float, now: float, confidence: float = 1.0) -> None:
        """Take in how many times its own time a transfer took, and how sure that is."""
        current = self.slowdown(now)
        self.last_slowdown, self.last_slowdown_at = (
            current + 0.5 * confidence * (max(observed, 1.0) - current),
            now,
        )


class Server:
    """One start of a cache, a parent or the origin, as this front knows it."""

    def __init__(self, entry: CacheEntry, weight: float, limit: ConcurrencyLimit, equal_share: float) -> None:
        self.entry, self.weight, self.started_at = entry, weight, entry.ready_at
        self.limit, self.retry_tokens, self.consecutive_failures = limit, INITIAL_RETRY_TOKENS, 0
        self.answered_at = self.ejected_until = 0.0
        # Share of what it kept that looks find gone, and of errors, lately.
        self.eviction_rate = self.error_rate = 0.0
        # Share of looks not answered while it was well, and its pace, lately.
        self.lookup_loss_rate, self.slowdown = 0.0, 1.0
        self.slowdown_at = float("-inf")  # when a fill through it last told that
        # Of what it bears cold; of relays out there.
        self.slow_start_share, self.relay_share = CapacityShare(equal_share), CapacityShare(equal_share)
        self.sent_work: deque[list[float]] = deque()  # [time, work] sent; what is older than a window leaves


class RequestHistory:
    """When one part of an object was asked for lately."""

    __slots__ = ("cached_at", "last_request_at", "request_gaps", "workload")

    def __init__(self, now: float, workload: int) -> None:
        self.last_request_at, self.workload = now, workload
        self.cached_at: tuple[Server, float] | None = None  # by which cache, and fresh until when
        self.request_gaps: tuple[float, ...] = ()


class PendingPull:
    """A pull that is owed its final answer, or whose relay is still out."""

    def __init__(
        self, pull: Pull, workload: Workload, now: float, stream_rate: float, plans: ActivePlans
    ) -> None:
        self.pull, self.workload = pull, workload
        # The operator's; kept when new ones come.
        self.plan, self.retry_budgets = plans.plan_and_budgets(pull.plan_index, pull.network_index)
        self.awaiting_retry: RelayEnded | None = None  # what it goes on with after a wait
        self.is_write = workload.is_write or pull.is_write  # it can't be cached
        # A copy is one of a part.
        self.part_key, self.deadline = pull.object << 16 | pull.part, now + pull.time_left
        self.sending_time = pull.size_kb / stream_rate if stream_rate else 0.0
        self.target_at = now + min(
            workload.target_latency + workload.target_latency_factor * self.sending_time, pull.time_left
        )
        self.relay_count = self.failures = self.errors = self.rank = (
            0  # the rank at which the relay out is kept
        )
        self.in_flight, self.unanswered = False, True
        self.hash_order: list[Server] = []  # its caches, in hash order
        self.rejected_by: list[Server] = []  # turned it away, or its fill
        self.missed_by: Server | None = None  # the cache that answered a look with a miss
        self.known_misses: list[tuple[Server, bool]] = []  # who holds no copy; True: not even an ageing one
        # Whether the relay out may fill, whether a fill was under way, and whether the origin failed it.
        self.is_fill = self.joins_fill = self.origin_rejected = self.fill_rejected = False
        self.history: RequestHistory | None = None
        self.candidate: Candidate
        self.sent_at = self.slowdown_at_send = 0.0
        self.source_work: list[float] = [0.0, 0.0]
        self.may_have_run: tuple[float, CacheEntry, int] | None = (
            None  # when, where, by which relay it may have run
        )
        self.sequence: CandidateSequence


class Candidate(NamedTuple):
    """Where a pull may go next: the cache to ask, the source of a fill (itself: a look) and on what terms."""

    target: Server
    source: Server
    only_cached: bool = False  # the source fetches nothing for it
    allow_stale: bool = False  # an ageing copy will do


CandidateSequence = Generator[tuple[Candidate, int], RelayEnded | None, None]


class Front:
    """One front: what it was told, what it saw, and the pulls it holds."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.settings = settings
        by_zone, own_zone = settings.fronts_by_zone, settings.zone
        # Fronts here.
        self.sharing_fronts = max(by_zone[own_zone] if 0 <= own_zone < len(by_zone) else settings.fronts, 1)
        self.slowdown_decay: float = SLOWDOWN_DECAY_MS * self.sharing_fronts**0.5
        self.random = Random(seed)
        self.now = self.lag = 0.0  # lag: how much this front was of late, what is old counting less
        # Through the zone's link; from the origin; set by a list.
        self.fill_limit = self.origin_limit = ConcurrencyLimit(0.0, 0.0)
        self.actions: list[Action] = []
        # A pull leaves when it is answered and none of its relays is out.
        self.pending: dict[int, PendingPull] = {}
        self.servers: dict[int, Server] = {}  # as the list has them; what is gone or draining leaves
        # Left the list while the fleet shares out what they bear; past MAX_REMOVED the longest gone leaves, and
        # so does one that comes back. Guards the fleet's bound: the rest of their part was lent, by their name.
        self.removed: dict[int, Server] = {}
        self.edges: list[Server] = []  # the caches of this zone, the parents by nearness, the origin
        self.edge_set: set[Server] = set()  # the same caches: a look-up costs the same however many there are
        self.parents: list[list[Server]] = [[], []]
        self.origin: Server | None = None
        # Past TRACKED the longest unasked leaves.
        self.histories: OrderedDict[int, RequestHistory] = OrderedDict()
        self.history_counts = [0] * len(settings.workloads)
        self.values: deque[float] = deque(maxlen=MAX_RECENT_VALUES)
        self.rank_bounds, self.values_until_recut = [0.0, 0.0], 0
        self.link_utilization = float("inf")  # transfers on the zone's link over those that fit, as last told
        self.usual_origin_wait = self.usual_fill_wait = (
            100.0  # ms to a fetched copy; of fills past their sending
        )
        # The share answered lately of all pulls of a workload, of those above its mean, and above twice that.
        self.answered_shares = [[1.0, 1.0, 1.0] for _ in settings.workloads]
        self.mean_sending_times = [workload.target_latency for workload in settings.workloads]
        self.purges: dict[tuple[int, int], tuple[float, float]] = {}  # made, void; a new one clears these
        self.active_plans, self.load_shedder = ActivePlans(Plans(())), LoadShedder(self.random)
        self.relay_caps = (0.0, 0.0)  # relays that the fleet may have out at a cache, at a parent; 0: any

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event and tell what to do."""
        self.now, self.actions = now, []
        match event:
            case Pull():
                self._start_pull(event)
            case RelayEnded():
                self._handle_relay_ended(event)
            case TimerFired():
                self._handle_timer(event.timer_id)
            case Plans():
                self.active_plans = ActivePlans(event, self.active_plans, self.settings.fronts)
            case RetryBudgetShare():
                self.active_plans.apply_share(event, now)
            case ServiceLevel():
                self.load_shedder.apply_service_level(event)
            case LoopLagged():
                self.lag = max(event.lag, LAG_DECAY_FACTOR * self.lag)
            case CacheListUpdate():
                self._apply_list_update(event)
            case HealthVerdict() if event.cache in self.servers:
                server = self.servers[event.cache]
                # The fleet's word; an answer that this front got since the evidence began outweighs it.
                if not event.bad or server.answered_at < now - event.evidence_age:
                    server.ejected_until, server.consecutive_failures = (
                        now + event.ttl,
                        server.consecutive_failures or int(event.bad),
                    )
            case CapacityLease() if event.cache in self.servers or event.cache in self.removed:
                server = self.servers.get(event.cache) or self.removed[event.cache]
                (server.relay_share if event.for_relays else server.slow_start_share).apply_lease(
                    event.share, event.ttl, now
                )
            case ConcurrencyCap():
                self.relay_caps = (event.per_cache, event.per_parent)
            case ClientDisconnected() if event.id in self.pending:
                self.pending[event.id].unanswered = False
                self._release(self.pending[event.id])
            case ShuttingDown():
                for pending in [pending for pending in self.pending.values() if pending.unanswered]:
                    self._give_final_answer(pending)
                    self._release(pending)
            case Purged():
                self.purges = {purge_key: times for purge_key, times in self.purges.items() if times[1] > now}
                purge_key = (event.object, -1) if event.object else (0, event.group)
                self.purges[purge_key] = (now - event.age, now + self.settings.purge_propagation)
        return self.actions

    # The list of caches
    def _apply_list_update(self, event: CacheListUpdate) -> None:
        if event.kind is ListUpdateKind.CACHED and self.settings.asks_for_list:
            self.actions.append(Watch())
        if event.kind is ListUpdateKind.FAILED:
            # A list service that is overrun must not be asked by all fronts at once again.
            self.actions.append(StartTimer(0, 500.0 + 1000.0 * self.random.random()))
            return
        if event.kind is not ListUpdateKind.CHANGES:
            for cache in self.servers.keys() - {entry.cache for entry in event.entries}:
                self._remember_removed(self.servers.pop(cache))
        for entry in event.entries:
            self._apply_list_entry(entry)
        settings = self.settings
        by_id = [self.servers[cache] for cache in sorted(self.servers)]
        parents = [server for server in by_id if server.entry.kind == settings.parent_kind]
        hub_zone = settings.hub_of[settings.zone] if settings.zone < len(settings.hub_of) else -1
        self.parents = [
            [parent for parent in parents if (parent.entry.zone == hub_zone) is in_hub]
            for in_hub in (True, False)
        ]
        self.origin = next((server for server in by_id if server.entry.kind == settings.origin_kind), None)
        upper_kinds = (settings.parent_kind, settings.origin_kind)
        self.edges = [
            listed
            for listed in by_id
            if listed.entry.zone == settings.zone and listed.entry.kind not in upper_kinds
        ]
        self.edge_set = set(self.edges)
        if self.fill_limit is self.origin_limit:
            pooled_limit = sum(edge.limit.size for edge in self.edges)
            self.fill_limit, self.origin_limit = (
                ConcurrencyLimit(INITIAL_FILL_SHARE * pooled_limit, self.slowdown_decay),
                ConcurrencyLimit(4.0 * pooled_limit, self.slowdown_decay),
            )

    def _apply_list_entry(self, entry: CacheEntry) -> None:
        known = self.servers.pop(entry.cache, None) or self.removed.pop(entry.cache, None)
        if entry.lifecycle is not Lifecycle.READY:
            self._remember_removed(known)
            return
        weight = entry.weight if self.settings.weights_known and entry.weight > 0 else 1.0
        if known and known.entry.ready_at == entry.ready_at:
            known.entry, known.weight = entry, weight
            self.servers[entry.cache] = known
            return
        limit = weight if self.settings.weights_known else INITIAL_LIMIT_WITHOUT_WEIGHTS
        sharing_fronts = self.count_sharing_fronts(entry)
        server = Server(
            entry, weight, ConcurrencyLimit(limit / sharing_fronts, self.slowdown_decay), 1.0 / sharing_fronts
        )
        if known:  # what it got before its start was told counts, and what the fleet granted there holds on
            server.sent_work, server.slow_start_share, server.relay_share = (
                known.sent_work,
                known.slow_start_share,
                known.relay_share,
            )
        self.servers[entry.cache] = server

    def _remember_removed(self, server: Server | None) -> None:
        if server and (
            server.slow_start_share.leased_until or server.relay_share.leased_until or any(self.relay_caps)
        ):
            self.removed[server.entry.cache] = server
            if len(self.removed) > MAX_REMOVED:
                del self.removed[next(iter(self.removed))]

    def count_sharing_fronts(self, entry: CacheEntry) -> int:
        """Tell how many fronts send to it."""
        settings = self.settings
        in_own_zone = entry.zone == settings.zone and entry.kind not in (
            settings.parent_kind,
            settings.origin_kind,
        )
        return self.sharing_fronts if in_own_zone else max(settings.fronts, 1)

    # The value of an object, and the rank that it earns
    def _record_and_rank(self, pending: PendingPull) -> int:
        """Tell the rank at which the pull's copy is kept; 0 is not kept."""
        pull = pending.pull
        if pending.is_write:
            return 0
        history = self.histories.get(pending.part_key)
        if history is None:
            pending.history = self.histories[pending.part_key] = RequestHistory(self.now, pull.workload)
            self.history_counts[pull.workload] += 1
            if len(self.histories) > MAX_HISTORIES:
                self.history_counts[self.histories.popitem(last=False)[1].workload] -= 1
            return 0
        pending.history = history
        self.histories.move_to_end(pending.part_key)
        history.request_gaps = (
            *history.request_gaps[1 - MAX_REQUEST_GAPS :],
            max(self.now - history.last_request_at, MIN_REQUEST_GAP_MS),
        )
        history.last_request_at = self.now
        size_bytes = max(pull.size_kb * 1024.0, 3.0)
        value = (
            (2.0 + size_bytes / 536.0)
            / log(size_bytes)
            * self.history_counts[history.workload]
            / len(self.histories)
        )
        value *= sum(1000.0 / gap for gap in history.request_gaps)
        self.values.append(value)
        self.values_until_recut -= 1
        if self.values_until_recut < 0:
            self.values_until_recut = VALUES_BETWEEN_CUTS
            sorted_values = sorted(self.values)
            self.rank_bounds = [
                sorted_values[len(sorted_values) // 3],
                sorted_values[2 * len(sorted_values) // 3],
            ]
        return 1 + bisect_right(self.rank_bounds, value)

    # A pull's course
    def _start_pull(self, pull: Pull) -> None:
        if pull.workload >= len(self.settings.workloads) or pull.id in self.pending:
            self.actions.append(Error(pull.id))
            return
        pending = PendingPull(
            pull,
            self.settings.workloads[pull.workload],
            self.now,
            self.settings.stream_rate,
            self.active_plans,
        )
        pending.target_at -= self.lag  # a late front answers late: what cannot be in time is shed early
        self.mean_sending_times[pull.workload] += 0.02 * (
            pending.sending_time - self.mean_sending_times[pull.workload]
        )
        self.pending[pull.id] = pending
        pending.sequence = self._candidate_sequence(pending)
        self._advance(pending, None)

    def _candidate_sequence(self, pending: PendingPull) -> CandidateSequence:
        rank = self._record_and_rank(pending)
        if self.load_shedder.should_shed(self.now, pending.pull, pending.sending_time):
            return
        while True:
            ended = None
            for candidate in self._candidates(pending):
                # First-seen fills pass unkept to spare the room. A cache that loses little of what it keeps
                # has room to spare, so has one just started; a front just started knows of no loss: rank 1.
                has_spare_room = (
                    candidate.source is not candidate.target
                    and candidate.target.eviction_rate < SPARE_EVICTION_RATE
                )
                ended = yield candidate, rank or int(has_spare_room and not pending.is_write)
                if ended is not None:
                    break
            if ended is None or not pending.unanswered or self.now + pending.sending_time > pending.deadline:
                return  # where no relay could finish any more, the client is told at once

    def _advance(self, pending: PendingPull, ended: RelayEnded | None) -> None:
        """Resume a pull's course until one of its ways is sent or it has none left."""
        try:
            candidate, rank = pending.sequence.send(ended)
            while not self._send(pending, candidate, rank):
                candidate, rank = pending.sequence.send(None)
        except StopIteration:
            if pending.unanswered:
                self._give_final_answer(pending)
            if not pending.in_flight:
                self.pending.pop(pending.pull.id, None)

    def _candidates(self, pending: PendingPull) -> Iterator[Candidate]:
        """Tell where the pull may go, best first."""
        hash_order = pending.hash_order = pending.hash_order or sorted(
            self.edges, key=lambda other: -self._hash_score(pending.part_key, other)
        )
        edges = [edge for edge in hash_order if edge in self.edge_set]
        available = [edge for edge in edges if self._is_available(edge) and edge not in pending.rejected_by]
        # A pull that two caches answer with an error is at fault itself: it is not sent round all of them.
        available = [
            edge
            for edge in available
            if not pending.failures or (edge.retry_tokens >= 1.0 and pending.errors < 2)
        ]
        if pending.missed_by in available:
            yield from self._fill_candidates(pending, pending.missed_by)
            # Before it is shed, a neighbour that it spilled to earlier may hold it: a look costs little.
            not_known_to_miss = (
                other
                for other in available
                if (other, False) not in pending.known_misses and self._can_be_in_time(pending, other.limit)
            )
            yield from (Candidate(other, other) for other in not_known_to_miss)
            return
        # A hot object, or a cache that is slow, must not jam one link while others have room: a cache that
        # would take most of the quoted time passes the pull on in hash order, and takes it back later.
        max_time = SPILL_SHARE * (pending.target_at - self.now)
        with_room = {
            edge: None
            for edge in available
            if pending.sending_time * edge.limit.expected_slowdown(self.now) <= max_time
        }
        # Overload: what cannot be answered by its quoted time would only slow down the others. Where all are
        # crowded the order stays the hash's: the least crowded of late would keep copies everywhere.
        in_order = [
            *with_room,
            *(
                edge
                for edge in available
                if edge not in with_room and self._can_be_in_time(pending, edge.limit)
            ),
        ]
        for edge in (
            in_order if available or pending.failures else edges
        ):  # nothing is well: better a try than none
            yield from self._candidates_at(pending, edge)

    def _candidates_at(self, pending: PendingPull, edge: Server) -> Iterator[Candidate]:
        # A look tells what the cache holds, so which pulls are fills. A cold cache is not asked twice.
        if not pending.is_write and not self.slow_start_budget(edge):
            yield Candidate(edge, edge)
        yield from self._fill_candidates(pending, edge)

    def _fill_candidates(self, pending: PendingPull, edge: Server) -> Iterator[Candidate]:
        """Tell how the edge may come by a copy, best first."""
        sources = self._fill_sources(pending)
        first_parent = sources[0] if sources and sources[0] is not self.origin else None
        # What comes in shares one link. More fills than it carries all end late, are given up and keep
        # nothing, so that the next pulls miss as well; so a fill that cannot be in time is not begun.
        request_gaps = pending.history.request_gaps if pending.history else None
        may_fill = self.load_shedder.may_fill(request_gaps, self.fill_limit.in_flight, self.fill_limit.size)
        link_has_room = may_fill and (pending.joins_fill or self._can_be_in_time(pending, self.fill_limit))
        stale_candidates: list[Candidate] = []
        if pending.workload.stale_ttl and (edge, True) not in pending.known_misses:
            stale_candidates.append(Candidate(edge, edge, allow_stale=True))
        if (
            pending.workload.stale_ttl
            and first_parent
            and link_has_room
            and (first_parent, True) not in pending.known_misses
        ):
            stale_candidates.append(Candidate(edge, first_parent, only_cached=True, allow_stale=True))
        yield from stale_candidates if self.load_shedder.service_level.prefer_stale else ()
        if link_has_room and not pending.origin_rejected:
            # In the same way a slow origin, asked for more than it can do, is in time for nobody: past a
            # limit of its own a parent gives only what it holds.
            fetch_time = (self.usual_origin_wait + pending.sending_time) * self.origin_limit.slowdown(
                self.now
            )
            origin_in_time = (
                fetch_time <= self._answer_by(pending) - self.now
                and self.origin_limit.in_flight + 1 <= self.origin_limit.size
            )
            origin_in_time = origin_in_time or pending.is_write
            for source in sources:
                # With many fronts a source's link is full long before a front's own limit tells.
                if origin_in_time and self._can_be_in_time(pending, source.limit):
                    yield Candidate(edge, source)
                elif not (
                    origin_in_time or source is self.origin or (source, False) in pending.known_misses
                ) and self._is_available(source):
                    yield Candidate(edge, source, only_cached=True)
        yield from () if self.load_shedder.service_level.prefer_stale else stale_candidates

    def _can_be_in_time(self, pending: PendingPull, limit: ConcurrencyLimit) -> bool:
        """Tell whether it can be in the quoted time, or late at a place that is not busy."""
        # Gain goes by the pull and room by the byte: a pull larger than the mean bears less crowd. The more
        # fronts, the fewer answers each sees: what it knows of a crowd gets a margin.
        size_factor = (
            max(pending.sending_time / max(self.mean_sending_times[pending.pull.workload], 1.0), 1.0) ** 0.5
        )
        margin = 1.0 + MANY_FRONTS_MARGIN * (1.0 - 1.0 / self.sharing_fronts)
        expected_time: float = pending.sending_time * (
            1.0 + (limit.expected_slowdown(self.now) - 1.0) * size_factor * margin
        )
        is_idle = (
            limit.in_flight + 1 <= IDLE_SHARE * limit.size
            and limit.slowdown(self.now) + self.lag / TRANSFER_ALLOWANCE_MS <= 1 + IDLE_SHARE
        )
        return expected_time <= ADMISSION_SHARE * (
            (pending.deadline if is_idle else self._answer_by(pending)) - self.now
        )

    def _size_tier(self, pending: PendingPull) -> int:
        """Tell whether it is above the mean of its workload (1), and above twice that (2)."""
        relative_size = pending.sending_time / max(self.mean_sending_times[pending.pull.workload], 1.0)
        return (relative_size > 1.0) + (relative_size > 2.0)

    def _answer_by(self, pending: PendingPull) -> float:
        """Tell by when it should be answered: the quoted time, or its cut-off.

        Guards the large, which a crowd's room by the byte sheds first: where fewer of them are answered of
        late than is their part, they may be late. It costs room that smaller ones earn more with.
        """
        shares, tier = self.answered_shares[pending.pull.workload], self._size_tier(pending)
        return pending.deadline if tier and shares[tier] < FAIR_SHARE_RATIO * shares[0] else pending.target_at

    def _record_answered_share(self, pending: PendingPull, answered: bool) -> None:
        shares = self.answered_shares[pending.pull.workload]
        for tier in {0, self._size_tier(pending)}:
            shares[tier] += ANSWERED_SHARE_GAIN * (answered - shares[tier])

    def _fill_sources(self, pending: PendingPull) -> list[Server]:
        """Tell where a miss may be filled from, best first."""
        groups = [] if pending.is_write else self.parents
        sources = [
            parent
            for group in groups
            for parent in sorted(group, key=lambda parent: -self._hash_score(pending.part_key, parent))
        ]
        sources += [self.origin] if self.origin else []
        return sorted(
            sources,
            key=lambda source: 2 * (not self._is_available(source))
            + (not self._can_be_in_time(pending, source.limit)),
        )

    def _hash_score(self, object_key: int, server: Server) -> float:
        """Rendezvous hashing: each cache draws for the object; twice the weight wins twice as often."""
        return server.weight / -log((hash_pair(object_key, server.entry.cache) + 1) / (UINT64_MAX + 2))

    def _is_available(self, server: Server) -> bool:
        """A struck cache rests, and then gets one relay at a time until it answers."""
        return self.now >= server.ejected_until and (
            not server.consecutive_failures or not server.limit.in_flight
        )

    # The gate: each rule is kept here, for every send and every final answer
    def _send(self, pending: PendingPull, candidate: Candidate, rank: int) -> bool:
        """Send one relay, or bar it."""
        settings, pull, target, source = self.settings, pending.pull, *candidate[:2]
        # No relay outlasts its workload's cut-off.
        time_left = min(pending.deadline - self.now, pending.workload.deadline)
        # Pulls get one answer in time, and nothing after it.
        if (
            not pending.unanswered
            or pending.in_flight
            or time_left <= 0
            or pending.relay_count >= settings.relay_limit
        ):
            return False
        # No effect happens twice.
        if pending.may_have_run and not self._may_repeat_at(pending, target):
            return False
        # An outage is not multiplied: where a plan sets budgets, a further relay goes only within each.
        further = pending.failures > 0
        if further and not pending.retry_budgets.has_room(self.now):
            return False
        # Drains are kept: only what the list has as ready is in the table.
        if any(self.servers.get(server.entry.cache) is not server for server in (target, source)):
            return False
        # The fleet has no more out at one cache than its cap: this front keeps to its part.
        if any(self._exceeds_cap(server) for server in {target: 0, source: 0}):
            return False
        # Cold caches are not pushed over.
        mean_time = self.mean_sending_times[pull.workload]
        # A cache counts each ask at its workload's mean, a parent at its size.
        work = pending.sending_time or mean_time
        if not self._fits_slow_start_budget(target, mean_time) or (
            source is not target and not self._fits_slow_start_budget(source, work)
        ):
            return False
        target.sent_work.append([self.now, mean_time])
        pending.source_work = [self.now, work]
        if source is not target:
            source.sent_work.append(pending.source_work)
        # Purges are kept.
        max_age = pending.workload.fresh_ttl + pending.workload.stale_ttl if candidate.allow_stale else 0.0
        for purge_key in ((pull.object, -1), (0, pull.group)):
            purged_at, applies_until = self.purges.get(purge_key, (0.0, 0.0))
            if applies_until > self.now:
                age = max(self.now - purged_at, 0.001)
                max_age = min(max_age or pending.workload.fresh_ttl or age, age)
        pending.candidate, pending.rank, pending.in_flight, pending.sent_at = candidate, rank, True, self.now
        pending.is_fill = source is not target and not pending.joins_fill
        for limit in self._limits_of_relay(pending):
            limit.in_flight += 1
        target.retry_tokens -= float(further)
        pending.retry_budgets.record_relay(self.now, further, pending.relay_count)
        # A repeat is dropped only for so long: it may not wait to be written past that.
        write_within = (
            pending.may_have_run[0] + pending.workload.dedup_window - self.now
            if pending.may_have_run
            else 0.0
        )
        write_within *= pending.workload.idempotency is Idempotency.TAGGED
        pending.may_have_run = pending.may_have_run or (self.now, target.entry, pending.relay_count)
        pending.relay_count += 1
        bottleneck = self.fill_limit if pending.is_fill else target.limit
        pending.slowdown_at_send = max(bottleneck.in_flight / bottleneck.size, 1.0)
        timeout = TIMEOUT_FACTOR * pending.sending_time * pending.slowdown_at_send
        if target.lookup_loss_rate > LOSS_RATE_THRESHOLD:
            # What loses answers is well otherwise: who waits as long as for a slow cache is late for nothing.
            timeout = min(
                NORMAL_PACE_FACTOR
                * pending.sending_time
                * max(bottleneck.slowdown(self.now), pending.slowdown_at_send),
                timeout,
            )
        timeout += LOOKUP_ALLOWANCE_MS if source is target else FILL_ALLOWANCE_MS
        timeout = time_left if pending.workload.idempotency is Idempotency.ONCE_ONLY else timeout
        timeout, hedge_delay = timeout_and_hedge_delay(
            pending.plan,
            source is target,
            pending.is_write,
            further,
            pending.sending_time,
            timeout,
            time_left,
        )
        self.actions.append(
            Relay(
                pull.id,
                target.entry.cache,
                source.entry.cache,
                rank,
                settings.joins_fills,
                candidate.only_cached,
                False,
                False,
                timeout,
                max_age,
                write_within,
            )
        )
        if settings.can_recall and hedge_delay < timeout:
            self.actions.append(StartTimer(pull.id << TIMER_SUFFIX_BITS | pending.relay_count, hedge_delay))
        return True

    def _handle_timer(self, timer_id: int) -> None:
        """Go on after a wait; or give the relay out up for a second copy, where one may go elsewhere.

        Guards against a cache that is slow and not ill; harms where all are slow alike: so budgets bound it.
        """
        pending = self.pending.get(timer_id >> TIMER_SUFFIX_BITS)
        if pending is None:
            self.actions += [Watch()] if timer_id == 0 else []  # 0 is the list's: it is asked for again
        elif (
            pending.awaiting_retry is not None
            and timer_id == pending.pull.id << TIMER_SUFFIX_BITS | RETRY_WAIT_SUFFIX
        ):
            ended, pending.awaiting_retry = pending.awaiting_retry, None
            self._advance(pending, ended)
        elif (
            pending.unanswered
            and pending.in_flight
            and timer_id == pending.pull.id << TIMER_SUFFIX_BITS | pending.relay_count
        ):
            target, may_go_on = (
                pending.candidate.target,
                may_retry(pending.plan, pending.failures + 1, Outcome.CANCELLED),
            )
            others = [
                edge
                for edge in self.edges
                if edge not in (target, *pending.rejected_by) and self._may_repeat_at(pending, edge)
            ]
            others = [edge for edge in others if self._is_available(edge) and edge.retry_tokens >= 1.0]
            if may_go_on and others and pending.retry_budgets.has_room(self.now):
                pending.rejected_by.append(target)
                self.actions.append(Recall(pending.pull.id, pending.relay_count - 1))

    def _limits_of_relay(self, pending: PendingPull) -> list[ConcurrencyLimit]:
        """Tell which limits the relay that is out counts against."""
        limits = [
            server.limit for server in dict.fromkeys((pending.candidate.target, pending.candidate.source))
        ]
        shared_limits = (
            [self.fill_limit] if pending.candidate.only_cached else [self.fill_limit, self.origin_limit]
        )
        return limits + shared_limits * pending.is_fill

    def _may_repeat_at(self, pending: PendingPull, target: Server) -> bool:
        """Tell whether a pull that may have run may go to this cache as well."""
        assert pending.may_have_run is not None
        (sent_at, first_entry, _), workload = pending.may_have_run, pending.workload
        if workload.idempotency is not Idempotency.TAGGED:
            return workload.idempotency is Idempotency.REPEATABLE
        same_zone = workload.dedup_scope is DedupScope.ALL or target.entry.zone == first_entry.zone
        same_cell = workload.dedup_scope is not DedupScope.CELL or target.entry.cell == first_entry.cell
        return same_zone and same_cell and self.now < sent_at + workload.dedup_window

    def slow_start_budget(self, server: Server) -> float:
        """Tell the work that a cold server may get in a window that began before now; 0 where it is warm."""
        settings, entry, age = self.settings, server.entry, self.now - server.started_at
        initial_share, duration, overload_factor = (
            settings.slow_start_initial_share,
            settings.slow_start_duration,
            settings.overload_factor,
        )
        if entry.kind == settings.parent_kind:
            initial_share, duration, overload_factor = (
                settings.parent_slow_start_initial_share,
                settings.parent_slow_start_duration,
                settings.parent_overload_factor,
            )
        if server.started_at <= 0 or age >= duration or entry.kind == settings.origin_kind:
            return 0.0
        share = initial_share + (1.0 - initial_share) * max(age - settings.overload_window, 0.0) / duration
        whole_budget = (
            SLOW_START_BUDGET_SHARE * overload_factor * share * server.weight * settings.overload_window
        )
        return whole_budget * server.slow_start_share.share_at(self.now)  # the rest may be lent

    def _fits_slow_start_budget(self, server: Server, work: float) -> bool:
        """Tell whether a cold server's budget holds this much more."""
        while server.sent_work and server.sent_work[0][0] <= self.now - self.settings.overload_window:
            server.sent_work.popleft()
        budget = self.slow_start_budget(server)
        fits = not budget or sum(sent[1] for sent in server.sent_work) + work <= budget
        server.slow_start_share.rejected += not fits
        return fits

    def _exceeds_cap(self, server: Server) -> bool:
        """Tell whether one more relay out at a cache or parent would pass this front's part of the cap."""
        cap = (
            self.relay_caps[server.entry.kind == self.settings.parent_kind]
            if server is not self.origin
            else 0.0
        )
        return cap > 0.0 and not server.relay_share.fits(server.limit.in_flight + 1, cap, self.now)

    def _give_final_answer(self, pending: PendingPull) -> None:
        """Give the final answer: shed where trying again is harmless, else errored."""
        pending.unanswered, workload, settings = False, pending.workload, self.settings
        self._record_answered_share(pending, False)
        # A repeat is known.
        repeats_dropped = (
            workload.idempotency is Idempotency.TAGGED and workload.dedup_scope is DedupScope.ALL
        )
        if pending.may_have_run is None or workload.idempotency is Idempotency.REPEATABLE or repeats_dropped:
            retry_after = min(
                self.load_shedder.retry_after(pending.plan.come_back_in or workload.target_latency),
                settings.max_retry_after,
            )
            self.actions.append(Shed(pending.pull.id, retry_after if settings.sends_retry_after else 0.0))
        else:
            self.actions.append(Error(pending.pull.id))

    def _release(self, pending: PendingPull) -> None:
        """Nothing is owed any more. Taking back what was never sent needs no leave."""
        pending.sequence.close()
        if pending.in_flight:
            self.actions.append(
                Recall(pending.pull.id, pending.relay_count - 1, not self.settings.can_recall)
            )
        else:
            self.pending.pop(pending.pull.id, None)

    # What relays tell
    def _handle_relay_ended(self, event: RelayEnded) -> None:
        pending = self.pending.get(event.id)
        if pending is None or not pending.in_flight or event.relay != pending.relay_count - 1:
            return
        pending.in_flight = False
        for limit in self._limits_of_relay(pending):
            limit.in_flight -= 1
        failures_before = pending.failures
        self._update_estimates(pending, event)
        if event.outcome in NEVER_RAN and pending.may_have_run and pending.may_have_run[2] == event.relay:
            pending.may_have_run = None
        if pending.unanswered and event.outcome is Outcome.OK:
            self._record_answered_share(pending, True)
        pending.unanswered = pending.unanswered and not event.closed and event.outcome is not Outcome.OK
        if pending.unanswered and pending.failures > failures_before:
            wait = retry_wait(pending.plan, pending.failures, self.random)
            may_go_on = self.load_shedder.may_retry() and may_retry(
                pending.plan, pending.failures, event.outcome
            )
            if not may_go_on or wait + self.now > pending.deadline:
                pending.sequence.close()  # given up, and told at once
            elif wait > 0.0:
                pending.awaiting_retry = event
                self.actions.append(StartTimer(event.id << TIMER_SUFFIX_BITS | RETRY_WAIT_SUFFIX, wait))
                return
        if pending.unanswered:
            self._advance(pending, event)
        else:
            pending.sequence.close()
            self.pending.pop(event.id, None)

    def _update_estimates(self, pending: PendingPull, event: RelayEnded) -> None:
        target, source, outcome, remark = (
            pending.candidate.target,
            pending.candidate.source,
            event.outcome,
            event.remark,
        )
        waited, confidence = event.waited, 1.0
        if outcome is Outcome.TIMEOUT and self.link_utilization == float("inf"):
            # It may have waited all of its LATE: the silence of a cache or a source is not laid to the link.
            # Where the link's fullness is told, it goes to the source.
            waited = FILL_ALLOWANCE_MS
        if outcome is Outcome.FULL and pending.is_fill and remark is Remark.NONE:
            # Untold who turned it away: its source, as a dead one does; the next one too: the origin behind.
            remark = Remark.ORIGIN_FAILED if pending.fill_rejected else Remark.SOURCE_BROKE
            pending.fill_rejected = True
        if outcome is Outcome.OK and remark is Remark.NONE:
            # Nothing is told of how it came about: a look finds only what is kept, all else was filled, and
            # what it took past its sending was a wait as far as that is usual; short sendings tell little.
            remark = Remark.HIT if source is target else Remark.FILLED
            excess_time = max(event.duration - pending.sending_time, 0.0)
            if pending.is_fill:
                self.usual_fill_wait += (0.1 if excess_time < self.usual_fill_wait else 0.02) * (
                    excess_time - self.usual_fill_wait
                )
                waited = min(excess_time, self.usual_fill_wait)
                confidence = pending.sending_time / (pending.sending_time + waited + 1.0)
        if self.settings.link_load_index < len(event.load) and target in self.edge_set:
            self.link_utilization = event.load[self.settings.link_load_index]
            # Others' share of the link.
            self.fill_limit.record_slowdown(
                (1.0 - 1.0 / self.count_sharing_fronts(target.entry)) * self.link_utilization, self.now
            )
        lookup_missed = source is target or pending.candidate.only_cached
        lookup_missed = lookup_missed and outcome is Outcome.MISS and remark not in SOURCE_AT_FAULT
        if lookup_missed:
            pending.known_misses.append((source, pending.candidate.allow_stale))
        pending.missed_by = target if lookup_missed or pending.missed_by is target else None
        pending.joins_fill = lookup_missed and remark is Remark.JOINED
        pending.origin_rejected = pending.origin_rejected or remark is Remark.ORIGIN_FAILED
        pending.failures += outcome is not Outcome.OK and not lookup_missed
        if source is target and outcome in (Outcome.OK, Outcome.MISS, Outcome.TIMEOUT):
            # What is slow times out as well, but its answers are slow too, by the longer of them.
            if outcome is Outcome.OK:
                observed = max((event.duration - TRANSFER_ALLOWANCE_MS) / max(pending.sending_time, 1.0), 1.0)
                target.slowdown += (
                    0.3
                    * pending.sending_time
                    / (pending.sending_time + TRANSFER_ALLOWANCE_MS)
                    * (observed - target.slowdown)
                )
            answer_lost = (
                outcome is Outcome.TIMEOUT
                and target.answered_at >= pending.sent_at
                and target.slowdown < NORMAL_PACE_FACTOR
            )
            target.lookup_loss_rate += ERROR_RATE_GAIN * (answer_lost - target.lookup_loss_rate)
        server_error = outcome is Outcome.ERROR and remark is Remark.NONE
        pending.errors += server_error
        target.error_rate += (
            ERROR_RATE_GAIN
            * (server_error - target.error_rate)
            * (outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR))
        )
        if remark is Remark.HIT:
            pending.source_work[1] = (
                0.0  # the source was not asked; one that answers that it lacks the copy was
            )
        cached_at = (
            pending.history.cached_at if pending.history and not pending.candidate.allow_stale else None
        )
        if (
            cached_at
            and cached_at[0] is target is source
            and cached_at[1] > self.now
            and (lookup_missed or remark is Remark.HIT)
        ):
            target.eviction_rate += 0.02 * (lookup_missed - target.eviction_rate)
        if pending.history and outcome is Outcome.OK and pending.rank:
            pending.history.cached_at = (target, self.now + (pending.workload.fresh_ttl or float("inf")))
        from_origin = remark is Remark.FILLED_FROM_ORIGIN
        transfer_time = event.duration - waited if pending.is_fill else event.duration
        at_pace = (
            outcome is Outcome.OK
            and transfer_time <= pending.sending_time * pending.slowdown_at_send + TRANSFER_ALLOWANCE_MS
        )
        if pending.is_fill and remark is not Remark.HIT and not lookup_missed:
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                # A slow transfer over a link that is not full is its source's fault: a parent that has gone
                # grey answers at once and sends slowly. Where fullness is not told, both are blamed.
                source.limit.adjust(at_pace, self.now)
                slowdown = (
                    max(transfer_time - TRANSFER_ALLOWANCE_MS, 0.0) / pending.sending_time
                    if pending.sending_time
                    else 0.0
                )
                # A fetched copy far slower than the parent's crowd explains is slow by the origin's link.
                by_origin = from_origin and slowdown > 2.0 * source.limit.slowdown(self.now)
                link_slowdown = self.link_utilization
                if link_slowdown == float("inf"):
                    # Untold: the link is no fuller than what came lately through the quickest other source.
                    other_sources = [other for other in self._fill_sources(pending) if other is not source]
                    other_sources = [
                        other for other in other_sources if self.now - other.slowdown_at < self.slowdown_decay
                    ]
                    link_slowdown = NORMAL_PACE_FACTOR * min(
                        (other.slowdown for other in other_sources), default=link_slowdown
                    )
                    source.slowdown_at = self.now
                    source.slowdown += 0.5 * confidence * (max(slowdown, 1.0) - source.slowdown)
                slow_limit = (
                    self.fill_limit
                    if slowdown <= link_slowdown
                    else self.origin_limit
                    if by_origin
                    else source.limit
                )
                for limit in (self.fill_limit, source.limit):
                    if limit is slow_limit or slowdown < limit.slowdown(self.now):
                        limit.record_slowdown(slowdown, self.now, confidence)
                if from_origin:
                    origin_slowdown = max(
                        event.waited / self.usual_origin_wait,
                        slowdown if slow_limit is self.origin_limit else 0.0,
                    )
                    self.origin_limit.record_slowdown(origin_slowdown, self.now)
                if at_pace or self.link_utilization > 1.0:
                    self.fill_limit.adjust(at_pace, self.now)
            if remark is Remark.ORIGIN_FAILED:
                # Each failure doubles the wait expected: with many fronts, none has two out to learn from.
                self.origin_limit.record_slowdown(3.0 * self.origin_limit.slowdown(self.now), self.now)
            if (
                remark is Remark.ORIGIN_FAILED
                or event.waited > ORIGIN_STRAIN_FACTOR * self.usual_origin_wait + TRANSFER_ALLOWANCE_MS
            ):
                self.origin_limit.adjust(False, self.now, proven=True)
            elif from_origin:
                self.origin_limit.adjust(True, self.now)
                self.usual_origin_wait += 0.05 * (event.waited - self.usual_origin_wait)
        if outcome is Outcome.OK:
            self._record_success(target)
            if remark in (Remark.FILLED, Remark.FILLED_FROM_ORIGIN) and source is not target:
                self._record_success(source)
            if not pending.is_fill or remark is Remark.HIT:
                target.limit.adjust(at_pace, self.now)
                if pending.sending_time:
                    target.limit.record_slowdown(
                        (event.duration - TRANSFER_ALLOWANCE_MS) / pending.sending_time, self.now
                    )
        elif remark in SOURCE_AT_FAULT:
            target.answered_at = self.now
            self._eject(source)
        elif outcome is Outcome.FULL and remark is not Remark.ORIGIN_FAILED:
            target.answered_at = self.now
            pending.rejected_by.append(target)
            if remark is not Remark.NO_PLACE:
                target.limit.adjust(False, self.now, proven=True)
        elif outcome is Outcome.CONNECT_FAILED:
            # What takes no connections is down, and cold when it is back, seconds before the list tells
            # so. It harms where a cache that was merely full is then sent too little.
            self._eject(target)
            target.started_at = self.now
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT):
            # What has vanished answers nothing; a break beside answers is no illness. A slow origin or link
            # delays all sources: one behind while another delivers is at fault (unless on one long answer).
            if outcome is Outcome.TIMEOUT:
                target.limit.adjust(False, self.now)
            if target.answered_at < pending.sent_at:
                self._eject(target)
            elif outcome is Outcome.TIMEOUT and source.answered_at < pending.sent_at <= max(
                other.answered_at for other in self._fill_sources(pending)
            ):
                self._eject(source)
        elif outcome in (Outcome.MISS, Outcome.ERROR, Outcome.FULL):
            target.answered_at = self.now
            target.retry_tokens = min(target.retry_tokens + RETRY_TOKENS_PER_ANSWER, MAX_RETRY_TOKENS)
            if lookup_missed and source is not target:
                self._record_success(source)
            if server_error:
                pending.rejected_by.append(target)
                # What errs while others do not is ill, and quick: all that is hashed to it would fail.
                if (
                    target.error_rate
                    > ERROR_RATE_THRESHOLD
                    > min((edge.error_rate for edge in self.edges), default=1.0)
                ):
                    self._eject(target)

    def _record_success(self, server: Server) -> None:
        server.answered_at, server.consecutive_failures, server.ejected_until = self.now, 0, 0.0
        server.retry_tokens = min(server.retry_tokens + RETRY_TOKENS_PER_ANSWER, MAX_RETRY_TOKENS)

    def _eject(self, server: Server) -> None:
        """Leave a server alone that failed; relays that fail together count once."""
        if self.now < server.ejected_until:
            return
        back_off = min(FIRST_BACK_OFF_MS * 2.0**server.consecutive_failures, MAX_BACK_OFF_MS)
        server.ejected_until = self.now + back_off * (1.0 + 0.25 * self.random.random())
        server.consecutive_failures += 1
        server.retry_tokens = min(server.retry_tokens, INITIAL_RETRY_TOKENS)
