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
TRACKED, GAPS = 6000, 6  # objects' parts whose requests are remembered, and gaps for each of them
GAP_FLOOR = 250.0  # ms; closer requests count as this far apart: a client's retries are no popularity
VALUES, RECUT = 600, 50  # recent values that are cut in thirds, and values between two cuts
FIRST_CREDIT, CREDIT, MOST_CREDIT = 1.0, 0.2, 10.0  # at the start, for each good answer, at most
LEAST_LIMIT, UNSIZED_LIMIT = 2.0, 8.0  # relays out at a cache: at least, and at first with sizes untold
CUT, CUT_PAUSE, WEARS = 0.8, 500.0, 0.9  # left of a limit that is cut, ms between two; left of lateness
ERRS, ERRING = 0.1, 0.3  # weight of one answer in a cache's share of errors, and from where that is illness
COLD_PART = 0.75  # share of a cold cache's budget that is used: sizes and weights are not exact
SPILL_SHARE = 0.55  # share of the quoted time: past it a pull spills on
ADMISSION_SHARE = 0.65  # share of the quoted time: within it a pull is begun
CROWD_LASTS = 3000.0  # ms, by the root of a zone's fronts, in which what was seen wears off to a third
UNSURE = 0.6  # margin on a crowd, of what it adds, that very many fronts make needed
IDLE = 0.5  # share of a limit up to which a pull may go on past its quoted time
SPARE = 0.1  # share of the kept copies found gone up to which a cache has room to spare
STRAIN = 3.0  # times the usual wait for the origin that show that it is asked for too much
SLACK = 100.0  # ms past the time expected of a transfer before its link is held to be fuller than thought
BACK_OFF, LONGEST_BACK_OFF = 400.0, 6400.0  # ms that a struck cache is left alone, at first and at most
FILL_PART = 0.5  # fills out at first, as a part of the relays that the zone's caches may have out
LATE, LOOKS, PATIENCE = 600.0, 200.0, 4.0  # ms past PATIENCE times its own time when a fill, a look times out
FAIR, WEIGH = 0.8, 0.05  # part of a workload's answered share below which its large may be late; one's weight
LOSING, HASTE = 0.12, 1.5  # share of lost answers from where that is HASTE times the pace that answers have
NEVER_RAN = (Outcome.MISS, Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.FULL)
SOURCE_AT_FAULT = (Remark.SOURCE_REFUSED, Remark.SOURCE_BROKE)
WORD = (1 << 64) - 1
MARK, RESTS = 16, 0xFFFF  # a timer's mark: the pull's id, and its relays when it was set or that it rests


def hash_pair(wanted: int, cache: int) -> int:
    """Hash an object with a cache; all fronts agree on it."""
    word = (wanted * 0x9E3779B97F4A7C15 + cache * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & WORD
    word = (word ^ word >> 30) * 0xBF58476D1CE4E5B9 & WORD
    word = (word ^ word >> 27) * 0x94D049BB133111EB & WORD
    return word ^ word >> 31


class ConcurrencyLimit:
    """How many may be out at once; it grows by one where a round went well and is cut by a share."""

    def __init__(self, size: float, lasts: float) -> None:
        self.size, self.slowdown_decay = max(size, LEAST_LIMIT), lasts
        self.max_size, self.in_flight, self.cut_at = 4.0 * self.size, 0, 0.0
        # Times its own time that a transfer took of late, and when.
        self.last_slowdown, self.last_slowdown_at = 1.0, 0.0

    def adjust(self, well: bool, now: float, proven: bool = False) -> None:
        """Cut it by what is out where that is proven too much; cuts close together have one cause."""
        if well and self.in_flight + 2 > self.size:
            self.size = min(self.size + 1.0 / self.size, self.max_size)
        if not well and now - self.cut_at >= CUT_PAUSE:
            self.cut_at = now
            self.size = max(
                CUT * (min(self.size, self.in_flight + 1.0) if proven else self.size), LEAST_LIMIT
            )

    def slowdown(self, now: float) -> float:
        """Tell how many times its own time a transfer is expected to take; what was seen wears off."""
        return 1.0 + (self.last_slowdown - 1.0) * exp((self.last_slowdown_at - now) / self.slowdown_decay)

    def expected_slowdown(self, now: float) -> float:
        """Tell how many times its own time one more would take."""
        return max((self.in_flight + 1) / self.size, self.slowdown(now))

    def record_slowdown(self, seen: float, now: float, sure: float = 1.0) -> None:
        """Take in how many times its own time a transfer took, and how sure that is."""
        crowd = self.slowdown(now)
        self.last_slowdown, self.last_slowdown_at = crowd + 0.5 * sure * (max(seen, 1.0) - crowd), now


class Server:
    """One start of a cache, a parent or the origin, as this front knows it."""

    def __init__(self, told: CacheEntry, weight: float, limit: ConcurrencyLimit, equal: float) -> None:
        self.entry, self.weight, self.started_at = told, weight, told.ready_at
        self.limit, self.retry_tokens, self.consecutive_failures = limit, FIRST_CREDIT, 0
        self.answered_at = self.ejected_until = 0.0
        # Share of what it kept that looks find gone, and of errors, lately.
        self.eviction_rate = self.error_rate = 0.0
        # Share of looks not answered while it was well, and its pace, lately.
        self.lookup_loss_rate, self.slowdown = 0.0, 1.0
        self.slowdown_at = float("-inf")  # when a fill through it last told that
        # Of what it bears cold; of relays out there.
        self.slow_start_share, self.relay_share = CapacityShare(equal), CapacityShare(equal)
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

    def __init__(self, pull: Pull, workload: Workload, now: float, pace: float, plans: ActivePlans) -> None:
        self.pull, self.workload = pull, workload
        # The operator's; kept when new ones come.
        self.plan, self.retry_budgets = plans.plan_and_budgets(pull.plan_index, pull.network_index)
        self.awaiting_retry: RelayEnded | None = None  # what it goes on with after a wait
        self.is_write = workload.is_write or pull.is_write  # it can't be cached
        # A copy is one of a part.
        self.part_key, self.deadline = pull.object << 16 | pull.part, now + pull.time_left
        self.sending_time = pull.size_kb / pace if pace else 0.0
        self.target_at = now + min(
            workload.target_latency + workload.target_latency_factor * self.sending_time, pull.time_left
        )
        # The rank at which the relay out is kept.
        self.relay_count = self.failures = self.errors = self.rank = 0
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
        # When, where, by which relay it may have run.
        self.may_have_run: tuple[float, CacheEntry, int] | None = None
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
        by_zone, zone = settings.fronts_by_zone, settings.zone
        # Fronts here.
        self.sharing_fronts = max(by_zone[zone] if 0 <= zone < len(by_zone) else settings.fronts, 1)
        self.slowdown_decay: float = CROWD_LASTS * self.sharing_fronts**0.5
        self.random = Random(seed)
        self.now = self.lag = 0.0  # lag: how much this front was of late, what is old counting less
        # Through the zone's link; from the origin; set by a list.
        self.fill_limit = self.origin_limit = ConcurrencyLimit(0.0, 0.0)
        self.actions: list[Action] = []
        # A pull leaves when it is answered and none of its relays is out.
        self.pending: dict[int, PendingPull] = {}
        self.servers: dict[int, Server] = {}  # as the list has them; what is gone or draining leaves
        # Left the list while the fleet shares out what they bear; past MAX_REMOVED the longest gone leaves,
        # and so does one that comes back. Guards the fleet's bound: the rest of their part was lent, by their
        # name.
        self.removed: dict[int, Server] = {}
        self.edges: list[Server] = []  # the caches of this zone, the parents by nearness, the origin
        self.edge_set: set[Server] = set()  # the same caches: a look-up costs the same however many there are
        self.parents: list[list[Server]] = [[], []]
        self.origin: Server | None = None
        # Past TRACKED the longest unasked leaves.
        self.histories: OrderedDict[int, RequestHistory] = OrderedDict()
        self.history_counts = [0] * len(settings.workloads)
        self.values: deque[float] = deque(maxlen=VALUES)
        self.rank_bounds, self.values_until_recut = [0.0, 0.0], 0
        self.link_utilization = float("inf")  # transfers on the zone's link over those that fit, as last told
        # ms to a fetched copy; of fills past their sending.
        self.usual_origin_wait = self.usual_fill_wait = 100.0
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
                self._take(event)
            case RelayEnded():
                self._ended(event)
            case TimerFired():
                self._rang(event.timer_id)
            case Plans():
                self.active_plans = ActivePlans(event, self.active_plans, self.settings.fronts)
            case RetryBudgetShare():
                self.active_plans.apply_share(event, now)
            case ServiceLevel():
                self.load_shedder.apply_service_level(event)
            case LoopLagged():
                self.lag = max(event.lag, WEARS * self.lag)
            case CacheListUpdate():
                self._members(event)
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
                self._let_go(self.pending[event.id])
            case ShuttingDown():
                for held in [held for held in self.pending.values() if held.unanswered]:
                    self._answer(held)
                    self._let_go(held)
            case Purged():
                self.purges = {what: times for what, times in self.purges.items() if times[1] > now}
                what = (event.object, -1) if event.object else (0, event.group)
                self.purges[what] = (now - event.age, now + self.settings.purge_propagation)
        return self.actions

    # The list of caches
    def _members(self, event: CacheListUpdate) -> None:
        if event.kind is ListUpdateKind.CACHED and self.settings.asks_for_list:
            self.actions.append(Watch())
        if event.kind is ListUpdateKind.FAILED:
            # A list service that is overrun must not be asked by all fronts at once again.
            self.actions.append(StartTimer(0, 500.0 + 1000.0 * self.random.random()))
            return
        if event.kind is not ListUpdateKind.CHANGES:
            for cache in self.servers.keys() - {entry.cache for entry in event.entries}:
                self._part(self.servers.pop(cache))
        for entry in event.entries:
            self._listed(entry)
        s = self.settings
        by_id = [self.servers[cache] for cache in sorted(self.servers)]
        parents = [server for server in by_id if server.entry.kind == s.parent_kind]
        hub = s.hub_of[s.zone] if s.zone < len(s.hub_of) else -1
        self.parents = [[p for p in parents if (p.entry.zone == hub) is near] for near in (True, False)]
        self.origin = next((server for server in by_id if server.entry.kind == s.origin_kind), None)
        upper = (s.parent_kind, s.origin_kind)
        self.edges = [e for e in by_id if e.entry.zone == s.zone and e.entry.kind not in upper]
        self.edge_set = set(self.edges)
        if self.fill_limit is self.origin_limit:
            pooled = sum(edge.limit.size for edge in self.edges)
            self.fill_limit, self.origin_limit = (
                ConcurrencyLimit(FILL_PART * pooled, self.slowdown_decay),
                ConcurrencyLimit(4.0 * pooled, self.slowdown_decay),
            )

    def _listed(self, entry: CacheEntry) -> None:
        known = self.servers.pop(entry.cache, None) or self.removed.pop(entry.cache, None)
        if entry.lifecycle is not Lifecycle.READY:
            self._part(known)
            return
        weight = entry.weight if self.settings.weights_known and entry.weight > 0 else 1.0
        if known and known.entry.ready_at == entry.ready_at:
            known.entry, known.weight = entry, weight
            self.servers[entry.cache] = known
            return
        limit = weight if self.settings.weights_known else UNSIZED_LIMIT
        sharing = self.count_sharing_fronts(entry)
        fresh = Server(entry, weight, ConcurrencyLimit(limit / sharing, self.slowdown_decay), 1.0 / sharing)
        if known:  # what it got before its start was told counts, and what the fleet granted there holds on
            fresh.sent_work, fresh.slow_start_share, fresh.relay_share = (
                known.sent_work,
                known.slow_start_share,
                known.relay_share,
            )
        self.servers[entry.cache] = fresh

    def _part(self, server: Server | None) -> None:
        if server and (
            server.slow_start_share.leased_until or server.relay_share.leased_until or any(self.relay_caps)
        ):
            self.removed[server.entry.cache] = server
            if len(self.removed) > MAX_REMOVED:
                del self.removed[next(iter(self.removed))]

    def count_sharing_fronts(self, entry: CacheEntry) -> int:
        """Tell how many fronts send to it."""
        s = self.settings
        here = entry.zone == s.zone and entry.kind not in (s.parent_kind, s.origin_kind)
        return self.sharing_fronts if here else max(s.fronts, 1)

    # The value of an object, and the rank that it earns
    def _rank(self, held: PendingPull) -> int:
        """Tell the rank at which the pull's copy is kept; 0 is not kept."""
        pull = held.pull
        if held.is_write:
            return 0
        track = self.histories.get(held.part_key)
        if track is None:
            held.history = self.histories[held.part_key] = RequestHistory(self.now, pull.workload)
            self.history_counts[pull.workload] += 1
            if len(self.histories) > TRACKED:
                self.history_counts[self.histories.popitem(last=False)[1].workload] -= 1
            return 0
        held.history = track
        self.histories.move_to_end(held.part_key)
        track.request_gaps = (
            *track.request_gaps[1 - GAPS :],
            max(self.now - track.last_request_at, GAP_FLOOR),
        )
        track.last_request_at = self.now
        size = max(pull.size_kb * 1024.0, 3.0)
        value = (2.0 + size / 536.0) / log(size) * self.history_counts[track.workload] / len(self.histories)
        value *= sum(1000.0 / gap for gap in track.request_gaps)
        self.values.append(value)
        self.values_until_recut -= 1
        if self.values_until_recut < 0:
            self.values_until_recut = RECUT
            ordered = sorted(self.values)
            self.rank_bounds = [ordered[len(ordered) // 3], ordered[2 * len(ordered) // 3]]
        return 1 + bisect_right(self.rank_bounds, value)

    # A pull's course
    def _take(self, pull: Pull) -> None:
        if pull.workload >= len(self.settings.workloads) or pull.id in self.pending:
            self.actions.append(Error(pull.id))
            return
        held = PendingPull(
            pull,
            self.settings.workloads[pull.workload],
            self.now,
            self.settings.stream_rate,
            self.active_plans,
        )
        held.target_at -= self.lag  # a late front answers late: what cannot be in time is shed early
        self.mean_sending_times[pull.workload] += 0.02 * (
            held.sending_time - self.mean_sending_times[pull.workload]
        )
        self.pending[pull.id] = held
        held.sequence = self._course(held)
        self._advance(held, None)

    def _course(self, held: PendingPull) -> CandidateSequence:
        rank = self._rank(held)
        if self.load_shedder.should_shed(self.now, held.pull, held.sending_time):
            return
        while True:
            ended = None
            for way in self._ways(held):
                # First-seen fills pass unkept to spare the room. A cache that loses little of what it keeps
                # has room to spare, so has one just started; a front just started knows of no loss: rank 1.
                spare = way.source is not way.target and way.target.eviction_rate < SPARE
                ended = yield way, rank or int(spare and not held.is_write)
                if ended is not None:
                    break
            if ended is None or not held.unanswered or self.now + held.sending_time > held.deadline:
                return  # where no relay could finish any more, the client is told at once

    def _advance(self, held: PendingPull, ended: RelayEnded | None) -> None:
        """Resume a pull's course until one of its ways is sent or it has none left."""
        try:
            way, rank = held.sequence.send(ended)
            while not self._send(held, way, rank):
                way, rank = held.sequence.send(None)
        except StopIteration:
            if held.unanswered:
                self._answer(held)
            if not held.in_flight:
                self.pending.pop(held.pull.id, None)

    def _ways(self, held: PendingPull) -> Iterator[Candidate]:
        """Tell where the pull may go, best first."""
        draws = held.hash_order = held.hash_order or sorted(
            self.edges, key=lambda e: -self._draw(held.part_key, e)
        )
        edges = [edge for edge in draws if edge in self.edge_set]
        well = [edge for edge in edges if self._well(edge) and edge not in held.rejected_by]
        # A pull that two caches answer with an error is at fault itself: it is not sent round all of them.
        well = [edge for edge in well if not held.failures or (edge.retry_tokens >= 1.0 and held.errors < 2)]
        if held.missed_by in well:
            yield from self._fills(held, held.missed_by)
            # Before it is shed, a neighbour that it spilled to earlier may hold it: a look costs little.
            unknown = (
                e for e in well if (e, False) not in held.known_misses and self._in_time(held, e.limit)
            )
            yield from (Candidate(e, e) for e in unknown)
            return
        # A hot object, or a cache that is slow, must not jam one link while others have room: a cache that
        # would take most of the quoted time passes the pull on in hash order, and takes it back later.
        ample = SPILL_SHARE * (held.target_at - self.now)
        room = {
            edge: None for edge in well if held.sending_time * edge.limit.expected_slowdown(self.now) <= ample
        }
        # Overload: what cannot be answered by its quoted time would only slow down the others. Where all are
        # crowded the order stays the hash's: the least crowded of late would keep copies everywhere.
        fit = [*room, *(edge for edge in well if edge not in room and self._in_time(held, edge.limit))]
        for edge in fit if well or held.failures else edges:  # nothing is well: better a try than none
            yield from self._at(held, edge)

    def _at(self, held: PendingPull, edge: Server) -> Iterator[Candidate]:
        # A look tells what the cache holds, so which pulls are fills. A cold cache is not asked twice.
        if not held.is_write and not self.slow_start_budget(edge):
            yield Candidate(edge, edge)
        yield from self._fills(held, edge)

    def _fills(self, held: PendingPull, edge: Server) -> Iterator[Candidate]:
        """Tell how the edge may come by a copy, best first."""
        sources = self._sources(held)
        first = sources[0] if sources and sources[0] is not self.origin else None
        # What comes in shares one link. More fills than it carries all end late, are given up and keep
        # nothing, so that the next pulls miss as well; so a fill that cannot be in time is not begun.
        gaps = held.history.request_gaps if held.history else None
        eased = self.load_shedder.may_fill(gaps, self.fill_limit.in_flight, self.fill_limit.size)
        link_has_room = eased and (held.joins_fill or self._in_time(held, self.fill_limit))
        ageing: list[Candidate] = []
        if held.workload.stale_ttl and (edge, True) not in held.known_misses:
            ageing.append(Candidate(edge, edge, allow_stale=True))
        if held.workload.stale_ttl and first and link_has_room and (first, True) not in held.known_misses:
            ageing.append(Candidate(edge, first, only_cached=True, allow_stale=True))
        yield from ageing if self.load_shedder.service_level.prefer_stale else ()
        if link_has_room and not held.origin_rejected:
            # In the same way a slow origin, asked for more than it can do, is in time for nobody: past a
            # limit of its own a parent gives only what it holds.
            taking = (self.usual_origin_wait + held.sending_time) * self.origin_limit.slowdown(self.now)
            soon = (
                taking <= self._due(held) - self.now
                and self.origin_limit.in_flight + 1 <= self.origin_limit.size
            )
            soon = soon or held.is_write
            for e in sources:
                # With many fronts a source's link is full long before a front's own limit tells.
                if soon and self._in_time(held, e.limit):
                    yield Candidate(edge, e)
                elif not (soon or e is self.origin or (e, False) in held.known_misses) and self._well(e):
                    yield Candidate(edge, e, only_cached=True)
        yield from () if self.load_shedder.service_level.prefer_stale else ageing

    def _in_time(self, held: PendingPull, limit: ConcurrencyLimit) -> bool:
        """Tell whether it can be in the quoted time, or late at a place that is not busy."""
        # Gain goes by the pull and room by the byte: a pull larger than the mean bears less crowd. The more
        # fronts, the fewer answers each sees: what it knows of a crowd gets a margin.
        large = max(held.sending_time / max(self.mean_sending_times[held.pull.workload], 1.0), 1.0) ** 0.5
        unsure = 1.0 + UNSURE * (1.0 - 1.0 / self.sharing_fronts)
        taking: float = held.sending_time * (1.0 + (limit.expected_slowdown(self.now) - 1.0) * large * unsure)
        idle = (
            limit.in_flight + 1 <= IDLE * limit.size
            and limit.slowdown(self.now) + self.lag / SLACK <= 1 + IDLE
        )
        return taking <= ADMISSION_SHARE * ((held.deadline if idle else self._due(held)) - self.now)

    def _tier(self, held: PendingPull) -> int:
        """Tell whether it is above the mean of its workload (1), and above twice that (2)."""
        large = held.sending_time / max(self.mean_sending_times[held.pull.workload], 1.0)
        return (large > 1.0) + (large > 2.0)

    def _due(self, held: PendingPull) -> float:
        """Tell by when it should be answered: the quoted time, or its cut-off.

        Guards the large, which a crowd's room by the byte sheds first: where fewer of them are answered of
        late than is their part, they may be late. It costs room that smaller ones earn more with.
        """
        shares, tier = self.answered_shares[held.pull.workload], self._tier(held)
        return held.deadline if tier and shares[tier] < FAIR * shares[0] else held.target_at

    def _count(self, held: PendingPull, done: bool) -> None:
        shares = self.answered_shares[held.pull.workload]
        for tier in {0, self._tier(held)}:
            shares[tier] += WEIGH * (done - shares[tier])

    def _sources(self, held: PendingPull) -> list[Server]:
        """Tell where a miss may be filled from, best first."""
        groups = [] if held.is_write else self.parents
        ordered = [p for group in groups for p in sorted(group, key=lambda p: -self._draw(held.part_key, p))]
        ordered += [self.origin] if self.origin else []
        return sorted(ordered, key=lambda e: 2 * (not self._well(e)) + (not self._in_time(held, e.limit)))

    def _draw(self, wanted: int, server: Server) -> float:
        """Rendezvous hashing: each cache draws for the object; twice the weight wins twice as often."""
        return server.weight / -log((hash_pair(wanted, server.entry.cache) + 1) / (WORD + 2))

    def _well(self, server: Server) -> bool:
        """A struck cache rests, and then gets one relay at a time until it answers."""
        return self.now >= server.ejected_until and (
            not server.consecutive_failures or not server.limit.in_flight
        )

    # The gate: each rule is kept here, for every send and every final answer
    def _send(self, held: PendingPull, way: Candidate, rank: int) -> bool:
        """Send one relay, or bar it."""
        s, pull, target, source = self.settings, held.pull, *way[:2]
        # No relay outlasts its workload's cut-off.
        left = min(held.deadline - self.now, held.workload.deadline)
        # Pulls get one answer in time, and nothing after it.
        if not held.unanswered or held.in_flight or left <= 0 or held.relay_count >= s.relay_limit:
            return False
        # No effect happens twice.
        if held.may_have_run and not self._may_repeat(held, target):
            return False
        # An outage is not multiplied: where a plan sets budgets, a further relay goes only within each.
        further = held.failures > 0
        if further and not held.retry_budgets.has_room(self.now):
            return False
        # Drains are kept: only what the list has as ready is in the table.
        if any(self.servers.get(server.entry.cache) is not server for server in (target, source)):
            return False
        # The fleet has no more out at one cache than its cap: this front keeps to its part.
        if any(self._capped(server) for server in {target: 0, source: 0}):
            return False
        # Cold caches are not pushed over.
        mean = self.mean_sending_times[pull.workload]
        # A cache counts each ask at its workload's mean, a parent at its size.
        work = held.sending_time or mean
        if not self._fits(target, mean) or (source is not target and not self._fits(source, work)):
            return False
        target.sent_work.append([self.now, mean])
        held.source_work = [self.now, work]
        if source is not target:
            source.sent_work.append(held.source_work)
        # Purges are kept.
        oldest = held.workload.fresh_ttl + held.workload.stale_ttl if way.allow_stale else 0.0
        for what in ((pull.object, -1), (0, pull.group)):
            made, void = self.purges.get(what, (0.0, 0.0))
            if void > self.now:
                age = max(self.now - made, 0.001)
                oldest = min(oldest or held.workload.fresh_ttl or age, age)
        held.candidate, held.rank, held.in_flight, held.sent_at = way, rank, True, self.now
        held.is_fill = source is not target and not held.joins_fill
        for limit in self._limits(held):
            limit.in_flight += 1
        target.retry_tokens -= float(further)
        held.retry_budgets.record_relay(self.now, further, held.relay_count)
        # A repeat is dropped only for so long: it may not wait to be written past that.
        within = held.may_have_run[0] + held.workload.dedup_window - self.now if held.may_have_run else 0.0
        within *= held.workload.idempotency is Idempotency.TAGGED
        held.may_have_run = held.may_have_run or (self.now, target.entry, held.relay_count)
        held.relay_count += 1
        slowing = self.fill_limit if held.is_fill else target.limit
        held.slowdown_at_send = max(slowing.in_flight / slowing.size, 1.0)
        lasts = PATIENCE * held.sending_time * held.slowdown_at_send
        if target.lookup_loss_rate > LOSING:
            # What loses answers is well otherwise: who waits as long as for a slow cache is late for nothing.
            lasts = min(
                HASTE * held.sending_time * max(slowing.slowdown(self.now), held.slowdown_at_send), lasts
            )
        lasts += LOOKS if source is target else LATE
        lasts = left if held.workload.idempotency is Idempotency.ONCE_ONLY else lasts
        lasts, second = timeout_and_hedge_delay(
            held.plan, source is target, held.is_write, further, held.sending_time, lasts, left
        )
        self.actions.append(
            Relay(
                pull.id,
                target.entry.cache,
                source.entry.cache,
                rank,
                s.joins_fills,
                way.only_cached,
                False,
                False,
                lasts,
                oldest,
                within,
            )
        )
        if s.can_recall and second < lasts:
            self.actions.append(StartTimer(pull.id << MARK | held.relay_count, second))
        return True

    def _rang(self, mark: int) -> None:
        """Go on after a wait; or give the relay out up for a second copy, where one may go elsewhere.

        Guards against a cache that is slow and not ill; harms where all are slow alike: so budgets bound it.
        """
        held = self.pending.get(mark >> MARK)
        if held is None:
            self.actions += [Watch()] if mark == 0 else []  # 0 is the list's: it is asked for again
        elif held.awaiting_retry is not None and mark == held.pull.id << MARK | RESTS:
            resting, held.awaiting_retry = held.awaiting_retry, None
            self._advance(held, resting)
        elif held.unanswered and held.in_flight and mark == held.pull.id << MARK | held.relay_count:
            target, worth = held.candidate.target, may_retry(held.plan, held.failures + 1, Outcome.CANCELLED)
            others = [
                e for e in self.edges if e not in (target, *held.rejected_by) and self._may_repeat(held, e)
            ]
            others = [e for e in others if self._well(e) and e.retry_tokens >= 1.0]
            if worth and others and held.retry_budgets.has_room(self.now):
                held.rejected_by.append(target)
                self.actions.append(Recall(held.pull.id, held.relay_count - 1))

    def _limits(self, held: PendingPull) -> list[ConcurrencyLimit]:
        """Tell which limits the relay that is out counts against."""
        limits = [server.limit for server in dict.fromkeys((held.candidate.target, held.candidate.source))]
        more = [self.fill_limit] if held.candidate.only_cached else [self.fill_limit, self.origin_limit]
        return limits + more * held.is_fill

    def _may_repeat(self, held: PendingPull, target: Server) -> bool:
        """Tell whether a pull that may have run may go to this cache as well."""
        assert held.may_have_run is not None
        (at, first, _), workload = held.may_have_run, held.workload
        if workload.idempotency is not Idempotency.TAGGED:
            return workload.idempotency is Idempotency.REPEATABLE
        same_zone = workload.dedup_scope is DedupScope.ALL or target.entry.zone == first.zone
        same_cell = workload.dedup_scope is not DedupScope.CELL or target.entry.cell == first.cell
        return same_zone and same_cell and self.now < at + workload.dedup_window

    def slow_start_budget(self, server: Server) -> float:
        """Tell the work that a cold server may get in a window that began before now; 0 where it is warm."""
        s, told, age = self.settings, server.entry, self.now - server.started_at
        cold_from, warm_after, multiple = s.slow_start_initial_share, s.slow_start_duration, s.overload_factor
        if told.kind == s.parent_kind:
            cold_from, warm_after, multiple = (
                s.parent_slow_start_initial_share,
                s.parent_slow_start_duration,
                s.parent_overload_factor,
            )
        if server.started_at <= 0 or age >= warm_after or told.kind == s.origin_kind:
            return 0.0
        share = cold_from + (1.0 - cold_from) * max(age - s.overload_window, 0.0) / warm_after
        whole = COLD_PART * multiple * share * server.weight * s.overload_window
        return whole * server.slow_start_share.share_at(self.now)  # the rest may be lent

    def _fits(self, server: Server, work: float) -> bool:
        """Tell whether a cold server's budget holds this much more."""
        while server.sent_work and server.sent_work[0][0] <= self.now - self.settings.overload_window:
            server.sent_work.popleft()
        budget = self.slow_start_budget(server)
        fits = not budget or sum(entry[1] for entry in server.sent_work) + work <= budget
        server.slow_start_share.rejected += not fits
        return fits

    def _capped(self, server: Server) -> bool:
        """Tell whether one more relay out at a cache or parent would pass this front's part of the cap."""
        whole = (
            self.relay_caps[server.entry.kind == self.settings.parent_kind]
            if server is not self.origin
            else 0.0
        )
        return whole > 0.0 and not server.relay_share.fits(server.limit.in_flight + 1, whole, self.now)

    def _answer(self, held: PendingPull) -> None:
        """Give the final answer: shed where trying again is harmless, else errored."""
        held.unanswered, workload, s = False, held.workload, self.settings
        self._count(held, False)
        # A repeat is known.
        dropped = workload.idempotency is Idempotency.TAGGED and workload.dedup_scope is DedupScope.ALL
        if held.may_have_run is None or workload.idempotency is Idempotency.REPEATABLE or dropped:
            back = min(
                self.load_shedder.retry_after(held.plan.come_back_in or workload.target_latency),
                s.max_retry_after,
            )
            self.actions.append(Shed(held.pull.id, back if s.sends_retry_after else 0.0))
        else:
            self.actions.append(Error(held.pull.id))

    def _let_go(self, held: PendingPull) -> None:
        """Nothing is owed any more. Taking back what was never sent needs no leave."""
        held.sequence.close()
        if held.in_flight:
            self.actions.append(Recall(held.pull.id, held.relay_count - 1, not self.settings.can_recall))
        else:
            self.pending.pop(held.pull.id, None)

    # What relays tell
    def _ended(self, event: RelayEnded) -> None:
        held = self.pending.get(event.id)
        if held is None or not held.in_flight or event.relay != held.relay_count - 1:
            return
        held.in_flight = False
        for limit in self._limits(held):
            limit.in_flight -= 1
        failures = held.failures
        self._learn(held, event)
        if event.outcome in NEVER_RAN and held.may_have_run and held.may_have_run[2] == event.relay:
            held.may_have_run = None
        if held.unanswered and event.outcome is Outcome.OK:
            self._count(held, True)
        held.unanswered = held.unanswered and not event.closed and event.outcome is not Outcome.OK
        if held.unanswered and held.failures > failures:
            rest = retry_wait(held.plan, held.failures, self.random)
            on = self.load_shedder.may_retry() and may_retry(held.plan, held.failures, event.outcome)
            if not on or rest + self.now > held.deadline:
                held.sequence.close()  # given up, and told at once
            elif rest > 0.0:
                held.awaiting_retry = event
                self.actions.append(StartTimer(event.id << MARK | RESTS, rest))
                return
        if held.unanswered:
            self._advance(held, event)
        else:
            held.sequence.close()
            self.pending.pop(event.id, None)

    def _learn(self, held: PendingPull, event: RelayEnded) -> None:
        target, source, outcome, remark = (
            held.candidate.target,
            held.candidate.source,
            event.outcome,
            event.remark,
        )
        waited, sure = event.waited, 1.0
        if outcome is Outcome.TIMEOUT and self.link_utilization == float("inf"):
            # It may have waited all of its LATE: the silence of a cache or a source is not laid to the link.
            # Where the link's fullness is told, it goes to the source.
            waited = LATE
        if outcome is Outcome.FULL and held.is_fill and remark is Remark.NONE:
            # Untold who turned it away: its source, as a dead one does; the next one too: the origin behind.
            remark = Remark.ORIGIN_FAILED if held.fill_rejected else Remark.SOURCE_BROKE
            held.fill_rejected = True
        if outcome is Outcome.OK and remark is Remark.NONE:
            # Nothing is told of how it came about: a look finds only what is kept, all else was filled, and
            # what it took past its sending was a wait as far as that is usual; short sendings tell little.
            remark = Remark.HIT if source is target else Remark.FILLED
            past = max(event.duration - held.sending_time, 0.0)
            if held.is_fill:
                self.usual_fill_wait += (0.1 if past < self.usual_fill_wait else 0.02) * (
                    past - self.usual_fill_wait
                )
                waited = min(past, self.usual_fill_wait)
                sure = held.sending_time / (held.sending_time + waited + 1.0)
        if self.settings.link_load_index < len(event.load) and target in self.edge_set:
            self.link_utilization = event.load[self.settings.link_load_index]
            # Others' share of the link.
            self.fill_limit.record_slowdown(
                (1.0 - 1.0 / self.count_sharing_fronts(target.entry)) * self.link_utilization, self.now
            )
        looked = source is target or held.candidate.only_cached
        looked = looked and outcome is Outcome.MISS and remark not in SOURCE_AT_FAULT
        if looked:
            held.known_misses.append((source, held.candidate.allow_stale))
        held.missed_by = target if looked or held.missed_by is target else None
        held.joins_fill = looked and remark is Remark.JOINED
        held.origin_rejected = held.origin_rejected or remark is Remark.ORIGIN_FAILED
        held.failures += outcome is not Outcome.OK and not looked
        if source is target and outcome in (Outcome.OK, Outcome.MISS, Outcome.TIMEOUT):
            # What is slow times out as well, but its answers are slow too, by the longer of them.
            if outcome is Outcome.OK:
                seen = max((event.duration - SLACK) / max(held.sending_time, 1.0), 1.0)
                target.slowdown += (
                    0.3 * held.sending_time / (held.sending_time + SLACK) * (seen - target.slowdown)
                )
            lost = (
                outcome is Outcome.TIMEOUT and target.answered_at >= held.sent_at and target.slowdown < HASTE
            )
            target.lookup_loss_rate += ERRS * (lost - target.lookup_loss_rate)
        faulty = outcome is Outcome.ERROR and remark is Remark.NONE
        held.errors += faulty
        target.error_rate += (
            ERRS * (faulty - target.error_rate) * (outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR))
        )
        if remark is Remark.HIT:
            held.source_work[1] = 0.0  # the source was not asked; one that answers that it lacks the copy was
        kept = held.history.cached_at if held.history and not held.candidate.allow_stale else None
        if kept and kept[0] is target is source and kept[1] > self.now and (looked or remark is Remark.HIT):
            target.eviction_rate += 0.02 * (looked - target.eviction_rate)
        if held.history and outcome is Outcome.OK and held.rank:
            held.history.cached_at = (target, self.now + (held.workload.fresh_ttl or float("inf")))
        fetched = remark is Remark.FILLED_FROM_ORIGIN
        sent_in = event.duration - waited if held.is_fill else event.duration
        at_pace = outcome is Outcome.OK and sent_in <= held.sending_time * held.slowdown_at_send + SLACK
        if held.is_fill and remark is not Remark.HIT and not looked:
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                # A slow transfer over a link that is not full is its source's fault: a parent that has gone
                # grey answers at once and sends slowly. Where fullness is not told, both are blamed.
                source.limit.adjust(at_pace, self.now)
                pace = max(sent_in - SLACK, 0.0) / held.sending_time if held.sending_time else 0.0
                # A fetched copy far slower than the parent's crowd explains is slow by the origin's link.
                by_origin = fetched and pace > 2.0 * source.limit.slowdown(self.now)
                full = self.link_utilization
                if full == float("inf"):
                    # Untold: the link is no fuller than what came lately through the quickest other source.
                    others = [e for e in self._sources(held) if e is not source]
                    others = [e for e in others if self.now - e.slowdown_at < self.slowdown_decay]
                    full = HASTE * min((e.slowdown for e in others), default=full)
                    source.slowdown_at = self.now
                    source.slowdown += 0.5 * sure * (max(pace, 1.0) - source.slowdown)
                slow = self.fill_limit if pace <= full else self.origin_limit if by_origin else source.limit
                for limit in (self.fill_limit, source.limit):
                    if limit is slow or pace < limit.slowdown(self.now):
                        limit.record_slowdown(pace, self.now, sure)
                if fetched:
                    strain = max(
                        event.waited / self.usual_origin_wait, pace if slow is self.origin_limit else 0.0
                    )
                    self.origin_limit.record_slowdown(strain, self.now)
                if at_pace or self.link_utilization > 1.0:
                    self.fill_limit.adjust(at_pace, self.now)
            if remark is Remark.ORIGIN_FAILED:
                # Each failure doubles the wait expected: with many fronts, none has two out to learn from.
                self.origin_limit.record_slowdown(3.0 * self.origin_limit.slowdown(self.now), self.now)
            if remark is Remark.ORIGIN_FAILED or event.waited > STRAIN * self.usual_origin_wait + SLACK:
                self.origin_limit.adjust(False, self.now, proven=True)
            elif fetched:
                self.origin_limit.adjust(True, self.now)
                self.usual_origin_wait += 0.05 * (event.waited - self.usual_origin_wait)
        if outcome is Outcome.OK:
            self._good(target)
            if remark in (Remark.FILLED, Remark.FILLED_FROM_ORIGIN) and source is not target:
                self._good(source)
            if not held.is_fill or remark is Remark.HIT:
                target.limit.adjust(at_pace, self.now)
                if held.sending_time:
                    target.limit.record_slowdown((event.duration - SLACK) / held.sending_time, self.now)
        elif remark in SOURCE_AT_FAULT:
            target.answered_at = self.now
            self._strike(source)
        elif outcome is Outcome.FULL and remark is not Remark.ORIGIN_FAILED:
            target.answered_at = self.now
            held.rejected_by.append(target)
            if remark is not Remark.NO_PLACE:
                target.limit.adjust(False, self.now, proven=True)
        elif outcome is Outcome.CONNECT_FAILED:
            # What takes no connections is down, and cold when it is back, seconds before the list tells
            # so. It harms where a cache that was merely full is then sent too little.
            self._strike(target)
            target.started_at = self.now
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT):
            # What has vanished answers nothing; a break beside answers is no illness. A slow origin or link
            # delays all sources: one behind while another delivers is at fault (unless on one long answer).
            if outcome is Outcome.TIMEOUT:
                target.limit.adjust(False, self.now)
            if target.answered_at < held.sent_at:
                self._strike(target)
            elif outcome is Outcome.TIMEOUT and source.answered_at < held.sent_at <= max(
                e.answered_at for e in self._sources(held)
            ):
                self._strike(source)
        elif outcome in (Outcome.MISS, Outcome.ERROR, Outcome.FULL):
            target.answered_at = self.now
            target.retry_tokens = min(target.retry_tokens + CREDIT, MOST_CREDIT)
            if looked and source is not target:
                self._good(source)
            if faulty:
                held.rejected_by.append(target)
                # What errs while others do not is ill, and quick: all that is hashed to it would fail.
                if target.error_rate > ERRING > min((edge.error_rate for edge in self.edges), default=1.0):
                    self._strike(target)

    def _good(self, server: Server) -> None:
        server.answered_at, server.consecutive_failures, server.ejected_until = self.now, 0, 0.0
        server.retry_tokens = min(server.retry_tokens + CREDIT, MOST_CREDIT)

    def _strike(self, server: Server) -> None:
        """Leave a server alone that failed; relays that fail together count once."""
        if self.now < server.ejected_until:
            return
        rest = min(BACK_OFF * 2.0**server.consecutive_failures, LONGEST_BACK_OFF)
        server.ejected_until = self.now + rest * (1.0 + 0.25 * self.random.random())
        server.consecutive_failures += 1
        server.retry_tokens = min(server.retry_tokens, FIRST_CREDIT)
