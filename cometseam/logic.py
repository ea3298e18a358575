"""Every decision of the router: the cache for a pull, the source of a fill, what is kept and when to stop.

A pull is a client's request; a relay is one attempt to have a cache answer it. The caller creates one `Front`
per front with its seed and settings, passes each event with the current time to `handle`, and carries out the
returned actions in order (see `cometseam.interface`). Fronts share no state. All times are in ms.
"""

from array import array
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
from cometseam.purges import PurgeTable
from cometseam.server_table import ServerTable
from cometseam.timing import ActivePlans, CapacityShare, may_retry, retry_wait, timeout_and_hedge_delay

# Servers that left the list and are remembered; see `Front.removed`.
MAX_REMOVED = 256
# Parts of objects whose request times are remembered, and gaps between requests kept for each of them.
MAX_HISTORIES = 6000
MAX_REQUEST_GAPS = 6
# Shorter gaps count as this long: retries of one client do not make a part popular.
MIN_REQUEST_GAP_MS = 250.0
# The values of recent pulls are divided into thirds, one for each rank; pulls between two updates of these.
MAX_RECENT_VALUES = 600
VALUES_BETWEEN_CUTS = 50
# A further relay costs a retry token of the server asked. Tokens: at its start (and at most after a failure),
# gained for each answer, and at most.
INITIAL_RETRY_TOKENS = 1.0
RETRY_TOKENS_PER_ANSWER = 0.2
MAX_RETRY_TOKENS = 10.0
# Relays in flight at a server: the lowest limit, and the first one where the list gives no weights.
MIN_LIMIT = 2.0
INITIAL_LIMIT_WITHOUT_WEIGHTS = 8.0
# What a cut leaves of a limit, and the shortest time between two cuts.
LIMIT_CUT_FACTOR = 0.8
MIN_CUT_INTERVAL_MS = 500.0
# What each report of event loop lag leaves of the lag before it, at least.
LAG_DECAY_FACTOR = 0.9
# Weight of one answer in a server's error rate and lookup loss rate.
ERROR_RATE_GAIN = 0.1
# A server whose error rate is above this is ejected if another one's is below it.
ERROR_RATE_THRESHOLD = 0.3
# Share of a server's slow-start budget that is used: sizes and weights are not exact.
SLOW_START_BUDGET_SHARE = 0.75
# Share of the time to the target latency: a cache expected to take longer is passed over for the next one.
SPILL_SHARE = 0.55
# Share of the time to the target latency: a relay is sent only where it is expected to end within it.
ADMISSION_SHARE = 0.65
# Time in which an observed slowdown decays to 1/e, for one front; it grows with the square root of the number
# of fronts that share a zone.
SLOWDOWN_DECAY_MS = 3000.0
# Safety margin, as a share of the slowdown above 1, that is added where very many fronts share a zone.
MANY_FRONTS_MARGIN = 0.6
# A limit counts as idle while one more relay fits in this share of it and its slowdown, with the event loop
# lag over TRANSFER_ALLOWANCE_MS added, exceeds 1 by at most this; a pull may miss its target latency there.
IDLE_SHARE = 0.5
# Share of kept copies found gone up to which a cache has spare room.
SPARE_EVICTION_RATE = 0.1
# The origin counts as overloaded when a wait for it exceeds this multiple of the usual one, plus
# TRANSFER_ALLOWANCE_MS.
ORIGIN_STRAIN_FACTOR = 3.0
# A transfer may exceed its expected time by this before its link counts as slower than expected.
TRANSFER_ALLOWANCE_MS = 100.0
# How long a server that failed is ejected: at first, and at most.
FIRST_BACK_OFF_MS = 400.0
MAX_BACK_OFF_MS = 6400.0
# Initial limit of fills in flight, as a share of the relays that the zone's caches may have in flight.
INITIAL_FILL_SHARE = 0.5
# A relay times out after TIMEOUT_FACTOR times its expected transfer time plus the fill or lookup allowance.
FILL_ALLOWANCE_MS = 600.0
LOOKUP_ALLOWANCE_MS = 200.0
TIMEOUT_FACTOR = 4.0
# Large pulls may be late where their answered share is below this part of their workload's.
FAIR_SHARE_RATIO = 0.8
# Weight of one pull in an answered share.
ANSWERED_SHARE_GAIN = 0.05
# A cache that leaves a larger share of lookups unanswered than this is waited for NORMAL_PACE_FACTOR times
# the expected transfer time, not TIMEOUT_FACTOR times.
LOSS_RATE_THRESHOLD = 0.12
# A server that is slower than expected by no more than this factor keeps its normal pace.
NORMAL_PACE_FACTOR = 1.5
# Outcomes that prove that the relay did not run at the server.
NEVER_RAN = (Outcome.MISS, Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.FULL)
# Remarks that attribute a failed fill to its source, not to the cache that was asked.
SOURCE_AT_FAULT = (Remark.SOURCE_REFUSED, Remark.SOURCE_BROKE)
UINT64_MAX = (1 << 64) - 1
# A timer id is the pull's id, shifted by these bits, and a suffix: the number of relays sent when a hedge
# timer was set, or RETRY_WAIT_SUFFIX for the wait before a further relay.
TIMER_SUFFIX_BITS = 16
RETRY_WAIT_SUFFIX = 0xFFFF


def hash_pair(object_key: int, cache: int) -> int:
    """Hash an object's part with a cache to 64 bits; all fronts compute the same value."""
    mixed = (object_key * 0x9E3779B97F4A7C15 + cache * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & UINT64_MAX
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & UINT64_MAX
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & UINT64_MAX
    return mixed ^ mixed >> 31


class ConcurrencyLimit:
    """An adaptive limit on relays in flight, with the slowdown factor observed behind it.

    The limit grows by about one per round of successful relays that use it fully, up to four times its
    initial size, and is cut to a share of itself on failure (additive increase, multiplicative decrease).
    """

    def __init__(self, size: float, decay: float) -> None:
        self.size, self.slowdown_decay = max(size, MIN_LIMIT), decay
        self.max_size, self.in_flight, self.cut_at = 4.0 * self.size, 0, 0.0
        # The latest estimate of the slowdown factor (time taken by a transfer over its sending time), and
        # when it was made.
        self.last_slowdown, self.last_slowdown_at = 1.0, 0.0

    def adjust(self, succeeded: bool, now: float, proven: bool = False) -> None:
        """Raise the limit after a success that used it fully, or cut it after a failure.

        `proven`: the server was overloaded by what was in flight, so the cut starts from that. Failures
        within MIN_CUT_INTERVAL_MS of a cut have the same cause and do not cut again.
        """
        if succeeded and self.in_flight + 2 > self.size:
            self.size = min(self.size + 1.0 / self.size, self.max_size)
        if not succeeded and now - self.cut_at >= MIN_CUT_INTERVAL_MS:
            self.cut_at = now
            self.size = max(
                LIMIT_CUT_FACTOR * (min(self.size, self.in_flight + 1.0) if proven else self.size), MIN_LIMIT
            )

    def slowdown(self, now: float) -> float:
        """Return the slowdown factor expected of a transfer; earlier observations decay towards 1."""
        return 1.0 + (self.last_slowdown - 1.0) * exp((self.last_slowdown_at - now) / self.slowdown_decay)

    def expected_slowdown(self, now: float) -> float:
        """Return the slowdown factor expected of one more transfer, given what is in flight."""
        return max((self.in_flight + 1) / self.size, self.slowdown(now))

    def record_slowdown(self, observed: float, now: float, confidence: float = 1.0) -> None:
        """Move the estimate half way to an observed slowdown factor, or less with a `confidence` below 1."""
        current = self.slowdown(now)
        self.last_slowdown, self.last_slowdown_at = (
            current + 0.5 * confidence * (max(observed, 1.0) - current),
            now,
        )


class Server:
    """A cache, a parent or the origin since its last start, as this front knows it."""

    def __init__(self, entry: CacheEntry, weight: float, limit: ConcurrencyLimit, equal_share: float) -> None:
        self.entry, self.weight, self.started_at = entry, weight, entry.ready_at
        self.limit, self.retry_tokens, self.consecutive_failures = limit, INITIAL_RETRY_TOKENS, 0
        self.answered_at = self.ejected_until = 0.0
        # Recent shares: of kept copies that a lookup found gone, and of answers that were errors.
        self.eviction_rate = self.error_rate = 0.0
        # Recent share of lookups that got no answer while it answered others, and its recent slowdown factor.
        self.lookup_loss_rate, self.slowdown = 0.0, 1.0
        self.slowdown_at = float("-inf")  # when a fill from it last updated `slowdown`
        # This front's shares of its slow-start budget and of the cap on relays in flight there.
        self.slow_start_share, self.relay_share = CapacityShare(equal_share), CapacityShare(equal_share)
        # [time sent, work in ms of sending time]; entries older than the overload window are removed.
        self.sent_work: deque[list[float]] = deque()


class RequestHistory:
    """When one part of an object was requested recently."""

    __slots__ = ("cached_at", "last_request_at", "request_gaps", "workload")
    NO_GAPS = array("d")

    def __init__(self, now: float, workload: int) -> None:
        self.last_request_at, self.workload = now, workload
        # The cache that was last given a copy, and until when that copy is fresh.
        self.cached_at: tuple[Server, float] | None = None
        self.request_gaps = self.NO_GAPS  # replaced, never changed


class PendingPull:
    """A pull that has no final answer yet or whose relay is still in flight."""

    __slots__ = (
        "awaiting_retry",
        "candidate",
        "deadline",
        "errors",
        "failures",
        "fill_rejected",
        "hash_order",
        "history",
        "in_flight",
        "is_fill",
        "is_write",
        "joins_fill",
        "known_misses",
        "may_have_run",
        "missed_by",
        "origin_rejected",
        "part_key",
        "plan",
        "pull",
        "rank",
        "rejected_by",
        "relay_count",
        "retry_budgets",
        "sending_time",
        "sent_at",
        "sequence",
        "slowdown_at_send",
        "source_work",
        "target_at",
        "unanswered",
        "workload",
    )

    def __init__(
        self, pull: Pull, workload: Workload, now: float, stream_rate: float, plans: ActivePlans
    ) -> None:
        self.pull, self.workload = pull, workload
        # The operator's plan and budgets, kept when new plans are loaded.
        self.plan, self.retry_budgets = plans.plan_and_budgets(pull.plan_index, pull.network_index)
        self.awaiting_retry: RelayEnded | None = None  # the failure after which it is waiting to retry
        self.is_write = workload.is_write or pull.is_write  # a write cannot be cached
        # Copies are kept by part of an object, so the key holds both.
        self.part_key, self.deadline = pull.object << 16 | pull.part, now + pull.time_left
        self.sending_time = pull.size_kb / stream_rate if stream_rate else 0.0
        self.target_at = now + min(
            workload.target_latency + workload.target_latency_factor * self.sending_time, pull.time_left
        )
        # `rank`: at which the copy of the relay in flight is kept.
        self.relay_count = self.failures = self.errors = self.rank = 0
        self.in_flight, self.unanswered = False, True
        self.hash_order: list[Server] = []  # the zone's caches in the hash order of its part
        self.rejected_by: list[Server] = []  # caches that rejected it, erred or were given up in a hedge
        self.missed_by: Server | None = None  # the cache that answered a lookup with a miss
        # Servers that hold no copy; with True, not even a stale one.
        self.known_misses: list[tuple[Server, bool]] = []
        # Whether the relay in flight may fill; whether it would join a fill already under way; whether the
        # origin failed the fill; and whether a cache rejected a fill without saying who was at fault.
        self.is_fill = self.joins_fill = self.origin_rejected = self.fill_rejected = False
        self.history: RequestHistory | None = None
        self.candidate: Candidate
        self.sent_at = self.slowdown_at_send = 0.0
        self.source_work: list[float] = [0.0, 0.0]
        # Since when, where and by which relay it may have run; None: it has not run.
        self.may_have_run: tuple[float, CacheEntry, int] | None = None
        self.sequence: CandidateSequence


class Candidate(NamedTuple):
    """A candidate route: the cache to ask, the source of a fill (for a lookup the cache itself), options."""

    target: Server
    source: Server
    only_cached: bool = False  # the source answers only from its own copy
    allow_stale: bool = False  # a stale copy is accepted


CandidateSequence = Generator[tuple[Candidate, int], RelayEnded | None, None]


class Front:
    """One front: its view of the servers, its estimates and its pending pulls."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.settings = settings
        by_zone, own_zone = settings.fronts_by_zone, settings.zone
        # Fronts that send to the caches of this zone.
        self.sharing_fronts = max(by_zone[own_zone] if 0 <= own_zone < len(by_zone) else settings.fronts, 1)
        self.slowdown_decay: float = SLOWDOWN_DECAY_MS * self.sharing_fronts**0.5
        self.random = Random(seed)
        # `lag`: recent delay of this front's event loop (ms); earlier delays decay.
        self.now = self.lag = 0.0
        # Limits on fills through the zone's link and on fetches from the origin; set by the first list.
        self.fill_limit = self.origin_limit = ConcurrencyLimit(0.0, 0.0)
        self.actions: list[Action] = []
        # A pull is removed once it is answered and no relay of it is in flight.
        self.pending: dict[int, PendingPull] = {}
        # The servers that the list has as ready, and below those of one role; all change as the list does.
        self._table: ServerTable[Server] = ServerTable(settings)
        self.servers = self._table.servers
        # Servers that left the list while the fleet shares out their capacity. An entry is removed when its
        # server comes back; past MAX_REMOVED the one that left first is dropped. This guards the fleet's
        # bound: the rest of such a server's capacity is leased to other fronts under its name, so this
        # front's share must survive its absence.
        self.removed: dict[int, Server] = {}
        # The caches of this zone. `parents`: those of the zone's hub, then all others.
        self.edges, self.edge_set, self.parents = (
            self._table.edges,
            self._table.edge_set,
            self._table.parents,
        )
        # Past MAX_HISTORIES the part that was not requested for the longest time is dropped.
        self.histories: OrderedDict[int, RequestHistory] = OrderedDict()
        self.history_counts = [0] * len(settings.workloads)
        self.values: deque[float] = deque(maxlen=MAX_RECENT_VALUES)
        self.rank_bounds, self.values_until_recut = [0.0, 0.0], 0
        # Load of the zone's link over its capacity, as last reported; infinite while none was reported.
        self.link_utilization = float("inf")
        # Usual time (ms) that the origin takes for a fetch, and that fills take beyond their sending time.
        self.usual_origin_wait = self.usual_fill_wait = 100.0
        # By workload: the recent answered share of all pulls, of those above the mean size, and of those
        # above twice the mean size.
        self.answered_shares = [[1.0, 1.0, 1.0] for _ in settings.workloads]
        self.mean_sending_times = [workload.target_latency for workload in settings.workloads]
        self.purges = PurgeTable(settings.purge_propagation)
        self.active_plans, self.load_shedder = ActivePlans(Plans(())), LoadShedder(self.random)
        # Relays that all fronts together may have in flight at a cache, and at a parent; 0: no cap.
        self.relay_caps = (0.0, 0.0)

    @property
    def origin(self) -> Server | None:
        """The origin; None if none is listed."""
        return self._table.origin

    def handle(self, now: float, event: Event) -> list[Action]:
        """Apply one event at the time `now` (ms) and return the actions to carry out, in order."""
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
                # A fleet verdict is ignored where this front got an answer after the verdict's evidence
                # began.
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
                self.purges.record(event, now)
        return self.actions

    # The cache list
    def _apply_list_update(self, event: CacheListUpdate) -> None:
        """Apply changes, or a whole list: what it leaves out is removed.

        A failed list request is repeated by a timer. The first list sets the limits on fills.
        """
        if event.kind is ListUpdateKind.CACHED and self.settings.asks_for_list:
            self.actions.append(Watch())
        if event.kind is ListUpdateKind.FAILED:
            # The delay is random: all fronts retrying at once would overload the list service again.
            self.actions.append(StartTimer(0, 500.0 + 1000.0 * self.random.random()))
            return
        if event.kind is not ListUpdateKind.CHANGES:
            for cache in self.servers.keys() - {entry.cache for entry in event.entries}:
                self._remember_removed(self._table.pop(cache))
        for entry in event.entries:
            self._apply_list_entry(entry)
        if self.fill_limit is self.origin_limit:
            pooled_limit = sum(edge.limit.size for edge in self.edges)
            self.fill_limit, self.origin_limit = (
                ConcurrencyLimit(INITIAL_FILL_SHARE * pooled_limit, self.slowdown_decay),
                ConcurrencyLimit(4.0 * pooled_limit, self.slowdown_decay),
            )

    def _apply_list_entry(self, entry: CacheEntry) -> None:
        """Add, update or remove one server.

        A server with a new start time is a new `Server` with estimates reset; one that is not ready leaves
        the table, so that nothing is sent to it.
        """
        known = self._table.pop(entry.cache) or self.removed.pop(entry.cache, None)
        if entry.lifecycle is not Lifecycle.READY:
            self._remember_removed(known)
            return
        weight = entry.weight if self.settings.weights_known and entry.weight > 0 else 1.0
        if known and known.entry.ready_at == entry.ready_at:
            known.entry, known.weight = entry, weight
            self._table.add(known)
            return
        limit = weight if self.settings.weights_known else INITIAL_LIMIT_WITHOUT_WEIGHTS
        sharing_fronts = self.count_sharing_fronts(entry)
        server = Server(
            entry, weight, ConcurrencyLimit(limit / sharing_fronts, self.slowdown_decay), 1.0 / sharing_fronts
        )
        # Work sent before the list reported the restart counts, and the fleet's leases continue.
        if known:
            server.sent_work, server.slow_start_share, server.relay_share = (
                known.sent_work,
                known.slow_start_share,
                known.relay_share,
            )
        self._table.add(server)

    def _remember_removed(self, server: Server | None) -> None:
        """Keep a server that left while the fleet leases its capacity or caps relays.

        Past MAX_REMOVED the one that left first is dropped.
        """
        if server and (
            server.slow_start_share.leased_until or server.relay_share.leased_until or any(self.relay_caps)
        ):
            self.removed[server.entry.cache] = server
            if len(self.removed) > MAX_REMOVED:
                del self.removed[next(iter(self.removed))]

    def count_sharing_fronts(self, entry: CacheEntry) -> int:
        """Return how many fronts send to a server: those of this zone for its caches, else all."""
        settings = self.settings
        in_own_zone = entry.zone == settings.zone and entry.kind not in (
            settings.parent_kind,
            settings.origin_kind,
        )
        return self.sharing_fronts if in_own_zone else max(settings.fronts, 1)

    # The value of an object and its rank
    def _record_and_rank(self, pending: PendingPull) -> int:
        """Record the request and return the rank at which the pull's copy is kept.

        The ranks are 1 to 3; 0 is for writes and for parts seen for the first time. The value of a part grows
        with its request rate, its workload's share of the remembered parts, and its size; its rank is the
        third of recent values that it falls in.
        """
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
        gap = max(self.now - history.last_request_at, MIN_REQUEST_GAP_MS)
        history.request_gaps = history.request_gaps[1 - MAX_REQUEST_GAPS :] + array("d", (gap,))
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

    # Candidates for a pull
    def _start_pull(self, pull: Pull) -> None:
        """Start a pull, or answer it with an error if its workload is unknown or its id is in use."""
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
        # This front answers late by its lag, so what cannot meet its target latency is shed early.
        pending.target_at -= self.lag
        self.mean_sending_times[pull.workload] += 0.02 * (
            pending.sending_time - self.mean_sending_times[pull.workload]
        )
        self.pending[pull.id] = pending
        pending.sequence = self._candidate_sequence(pending)
        self._advance(pending, None)

    def _candidate_sequence(self, pending: PendingPull) -> CandidateSequence:
        """Yield candidates, each with the rank at which to keep the copy.

        The caller sends back how the relay to a candidate ended, or None if none was sent. The sequence ends
        when the pull is shed, no candidate is left or no relay could end before the deadline.
        """
        rank = self._record_and_rank(pending)
        if self.load_shedder.should_shed(self.now, pending.pull, pending.sending_time):
            return
        while True:
            ended = None
            for candidate in self._candidates(pending):
                # A first-seen part is not kept, to save room. A cache that loses few of its kept copies has
                # spare room, as has one that has just started; a front that has just started knows of no
                # losses. Such a copy is kept at rank 1.
                has_spare_room = (
                    candidate.source is not candidate.target
                    and candidate.target.eviction_rate < SPARE_EVICTION_RATE
                )
                ended = yield candidate, rank or int(has_spare_room and not pending.is_write)
                if ended is not None:
                    break
            if ended is None or not pending.unanswered or self.now + pending.sending_time > pending.deadline:
                # No relay could end in time any more: answer the client at once.
                return

    def _advance(self, pending: PendingPull, ended: RelayEnded | None) -> None:
        """Send the first candidate that may be sent, or give the final answer if none is left."""
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
        """Yield the candidates for the pull, best first.

        Available caches in hash order: first those expected to be quick, then those expected to meet the
        target latency. If no cache is available, a pull that has not failed yet tries them all.
        """
        hash_order = pending.hash_order = pending.hash_order or sorted(
            self.edges, key=lambda other: -self._draw(pending.part_key, other)
        )
        edges = [edge for edge in hash_order if edge in self.edge_set]
        available = [edge for edge in edges if self._is_available(edge) and edge not in pending.rejected_by]
        # A pull that two caches answered with an error is at fault itself and is not sent to all of them.
        available = [
            edge
            for edge in available
            if not pending.failures or (edge.retry_tokens >= 1.0 and pending.errors < 2)
        ]
        if pending.missed_by in available:
            yield from self._fill_candidates(pending, pending.missed_by)
            # Before it is shed, it is looked up at other caches: one that an earlier pull spilled to may hold
            # the copy, and a lookup is cheap.
            not_known_to_miss = (
                other
                for other in available
                if (other, False) not in pending.known_misses and self._can_be_in_time(pending, other.limit)
            )
            yield from (Candidate(other, other) for other in not_known_to_miss)
            return
        # A hot object or a slow cache must not saturate one link while others have room: a cache expected to
        # take most of the time to the target latency is passed over in hash order, and used again later.
        max_time = SPILL_SHARE * (pending.target_at - self.now)
        with_room = {
            edge: None
            for edge in available
            if pending.sending_time * edge.limit.expected_slowdown(self.now) <= max_time
        }
        # Under overload, a pull that cannot meet its target latency would only slow down the others. If all
        # caches are slow the hash order is kept: choosing the least loaded one would spread copies over all
        # caches.
        in_order = [
            *with_room,
            *(
                edge
                for edge in available
                if edge not in with_room and self._can_be_in_time(pending, edge.limit)
            ),
        ]
        # With no cache available, a first attempt at any is better than none.
        for edge in in_order if available or pending.failures else edges:
            yield from self._candidates_at(pending, edge)

    def _candidates_at(self, pending: PendingPull, edge: Server) -> Iterator[Candidate]:
        """Yield a lookup at the cache, then its fills."""
        # A lookup shows whether the cache holds a copy, so which pulls need a fill. A cache in slow start is
        # not asked twice.
        if not pending.is_write and not self.slow_start_budget(edge):
            yield Candidate(edge, edge)
        yield from self._fill_candidates(pending, edge)

    def _fill_candidates(self, pending: PendingPull, edge: Server) -> Iterator[Candidate]:
        """Yield the routes by which the cache may get a copy, best first.

        A fill is offered only where the zone's link has room for it, and stale copies come before fills or
        after them as the service level says. While the origin is too slow, parents are asked only for what
        they hold.
        """
        sources = self._fill_sources(pending)
        first_parent = sources[0] if sources and sources[0] is not self.origin else None
        # All fills share one link. If more are started than it carries, all end late, are abandoned and leave
        # no copy, so that the next pulls miss as well. A fill that cannot be in time is therefore not
        # started.
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
            # In the same way an overloaded origin answers nobody in time: past its own limit a parent is
            # asked only for what it holds.
            fetch_time = (self.usual_origin_wait + pending.sending_time) * self.origin_limit.slowdown(
                self.now
            )
            origin_in_time = (
                fetch_time <= self._answer_by(pending) - self.now
                and self.origin_limit.in_flight + 1 <= self.origin_limit.size
            )
            origin_in_time = origin_in_time or pending.is_write
            for source in sources:
                # With many fronts a source's link is full long before this front's own limit shows it.
                if origin_in_time and self._can_be_in_time(pending, source.limit):
                    yield Candidate(edge, source)
                elif not (
                    origin_in_time or source is self.origin or (source, False) in pending.known_misses
                ) and self._is_available(source):
                    yield Candidate(edge, source, only_cached=True)
        yield from () if self.load_shedder.service_level.prefer_stale else stale_candidates

    def _can_be_in_time(self, pending: PendingPull, limit: ConcurrencyLimit) -> bool:
        """Return whether a relay behind this limit is expected to meet its target latency.

        The expected time is the sending time, multiplied by the expected slowdown; it must fit in
        ADMISSION_SHARE of the time left. Where the limit is idle, the deadline replaces the target latency.
        """
        # Gain is earned per pull but capacity is used per byte, so a pull above the mean size tolerates less
        # slowdown. The more fronts there are, the fewer answers each one sees, so its estimate of the
        # slowdown gets a safety margin.
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
        """Return 0 for a pull up to its workload's mean size, 1 above it and 2 above twice the mean."""
        relative_size = pending.sending_time / max(self.mean_sending_times[pending.pull.workload], 1.0)
        return (relative_size > 1.0) + (relative_size > 2.0)

    def _answer_by(self, pending: PendingPull) -> float:
        """Return the time by which a pull should be answered: its target latency or its deadline.

        Under load, large pulls are shed first because capacity is used per byte. Where fewer of them were
        answered recently than their fair share, they may exceed the target latency. This costs capacity on
        which smaller pulls would earn more.
        """
        shares, tier = self.answered_shares[pending.pull.workload], self._size_tier(pending)
        return pending.deadline if tier and shares[tier] < FAIR_SHARE_RATIO * shares[0] else pending.target_at

    def _record_answered_share(self, pending: PendingPull, answered: bool) -> None:
        """Update the answered shares of the pull's workload and size tier."""
        shares = self.answered_shares[pending.pull.workload]
        for tier in {0, self._size_tier(pending)}:
            shares[tier] += ANSWERED_SHARE_GAIN * (answered - shares[tier])

    def _fill_sources(self, pending: PendingPull) -> list[Server]:
        """Return the sources of a fill, best first: parents of the hub, other parents, the origin.

        Available sources that can be in time come first, then available but slow ones, then ejected ones.
        """
        groups = [] if pending.is_write else self.parents
        sources = [
            parent
            for group in groups
            for parent in sorted(group, key=lambda parent: -self._draw(pending.part_key, parent))
        ]
        sources += [self.origin] if self.origin else []
        return sorted(
            sources,
            key=lambda source: 2 * (not self._is_available(source))
            + (not self._can_be_in_time(pending, source.limit)),
        )

    def _draw(self, object_key: int, server: Server) -> float:
        """Return a cache's score for a part in rendezvous hashing; twice the weight wins twice as often."""
        return server.weight / -log((hash_pair(object_key, server.entry.cache) + 1) / (UINT64_MAX + 2))

    def _is_available(self, server: Server) -> bool:
        """Return whether relays may be sent to the server now.

        An ejected server gets none until its back-off ends, and then one at a time until it answers.
        """
        return self.now >= server.ejected_until and (
            not server.consecutive_failures or not server.limit.in_flight
        )

    # Sending and answering: all relays are sent here, and all final answers are given here except errors for
    # pulls that cannot be started. The rules on when and where a relay may be sent are enforced here.
    def _send(self, pending: PendingPull, candidate: Candidate, rank: int) -> bool:
        """Send one relay of a pull to the candidate if every rule allows it; return whether it was sent."""
        settings, pull, target, source = self.settings, pending.pull, *candidate[:2]
        # No relay lasts longer than its workload's deadline.
        time_left = min(pending.deadline - self.now, pending.workload.deadline)
        # A pull gets one answer in time and nothing after it; it has one relay in flight at a time.
        if (
            not pending.unanswered
            or pending.in_flight
            or time_left <= 0
            or pending.relay_count >= settings.relay_limit
        ):
            return False
        # A pull that may have run is repeated only where it cannot take effect twice.
        if pending.may_have_run and not self._may_repeat_at(pending, target):
            return False
        # Retries must not multiply an outage: where a plan sets budgets, a further relay needs room in each
        # of them.
        further = pending.failures > 0
        if further and not pending.retry_budgets.has_room(self.now):
            return False
        # A drained server gets nothing new: the table holds only servers that the list has as ready.
        if any(self.servers.get(server.entry.cache) is not server for server in (target, source)):
            return False
        # The fleet caps the relays in flight at one server; this front keeps to its share.
        if any(self._exceeds_cap(server) for server in {target: 0, source: 0}):
            return False
        # A server in slow start gets no more than this front's share of its budget.
        mean_time = self.mean_sending_times[pull.workload]
        # A cache counts each request at its workload's mean, a parent at its size.
        work = pending.sending_time or mean_time
        if not self._fits_slow_start_budget(target, mean_time) or (
            source is not target and not self._fits_slow_start_budget(source, work)
        ):
            return False
        target.sent_work.append([self.now, mean_time])
        pending.source_work = [self.now, work]
        if source is not target:
            source.sent_work.append(pending.source_work)
        # Copies from before a purge are not accepted.
        max_age = pending.workload.fresh_ttl + pending.workload.stale_ttl if candidate.allow_stale else 0.0
        purged_at = self.purges.latest(pull.object, pull.group, self.now)
        if purged_at is not None:
            age = max(self.now - purged_at, 0.001)
            max_age = min(max_age or pending.workload.fresh_ttl or age, age)
        pending.candidate, pending.rank, pending.in_flight, pending.sent_at = candidate, rank, True, self.now
        pending.is_fill = source is not target and not pending.joins_fill
        for limit in self._limits_of_relay(pending):
            limit.in_flight += 1
        target.retry_tokens -= float(further)
        pending.retry_budgets.record_relay(self.now, further, pending.relay_count)
        # Caches drop repeats for the dedup window only, so the relay must not be written after that.
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
            # A cache that loses answers is otherwise healthy: waiting as long as for a slow one only delays
            # the retry.
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
        """Resume a pull after its retry wait, or hedge it.

        To hedge, the relay in flight is recalled so that the pull is retried at another cache. This guards
        against a cache that is slow without failing. Where all caches are slow it adds load, so the retry
        budgets bound it.
        """
        pending = self.pending.get(timer_id >> TIMER_SUFFIX_BITS)
        if pending is None:
            # Timer 0 asks for the list again.
            self.actions += [Watch()] if timer_id == 0 else []
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
        """Return the limits that the relay in flight counts against."""
        limits = [
            server.limit for server in dict.fromkeys((pending.candidate.target, pending.candidate.source))
        ]
        shared_limits = (
            [self.fill_limit] if pending.candidate.only_cached else [self.fill_limit, self.origin_limit]
        )
        return limits + shared_limits * pending.is_fill

    def _may_repeat_at(self, pending: PendingPull, target: Server) -> bool:
        """Return whether a pull that may have run may also be sent to this server.

        An idempotent pull may go anywhere, one with an idempotency key only where and while its repeats are
        dropped, and a non-idempotent one nowhere.
        """
        assert pending.may_have_run is not None
        (sent_at, first_entry, _), workload = pending.may_have_run, pending.workload
        if workload.idempotency is not Idempotency.TAGGED:
            return workload.idempotency is Idempotency.REPEATABLE
        same_zone = workload.dedup_scope is DedupScope.ALL or target.entry.zone == first_entry.zone
        same_cell = workload.dedup_scope is not DedupScope.CELL or target.entry.cell == first_entry.cell
        return same_zone and same_cell and self.now < sent_at + workload.dedup_window

    def slow_start_budget(self, server: Server) -> float:
        """Return the work (ms of sending time) that a server in slow start may get per overload window.

        0: the server is not in slow start and has no such bound.
        """
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
        # The rest of the budget may be leased to other fronts.
        return whole_budget * server.slow_start_share.share_at(self.now)

    def _fits_slow_start_budget(self, server: Server, work: float) -> bool:
        """Return whether a server's slow-start budget has room for more work (ms of sending time).

        A send that does not fit counts towards this front's demand for a larger share of the budget.
        """
        while server.sent_work and server.sent_work[0][0] <= self.now - self.settings.overload_window:
            server.sent_work.popleft()
        budget = self.slow_start_budget(server)
        fits = not budget or sum(sent[1] for sent in server.sent_work) + work <= budget
        server.slow_start_share.rejected += not fits
        return fits

    def _exceeds_cap(self, server: Server) -> bool:
        """Return whether one more relay in flight at a server would exceed this front's share of the cap."""
        cap = (
            self.relay_caps[server.entry.kind == self.settings.parent_kind]
            if server is not self.origin
            else 0.0
        )
        return cap > 0.0 and not server.relay_share.fits(server.limit.in_flight + 1, cap, self.now)

    def _give_final_answer(self, pending: PendingPull) -> None:
        """Give the final answer: shed where a client's retry is harmless, else an error."""
        pending.unanswered, workload, settings = False, pending.workload, self.settings
        self._record_answered_share(pending, False)
        # Whether every cache would drop a repeat, so that a client's retry cannot take effect twice.
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
        """Drop a pull that needs no answer any more, or recall its relay in flight.

        Where the settings do not allow recalls, the relay is recalled only if it was not sent yet, which
        needs no permission.
        """
        pending.sequence.close()
        if pending.in_flight:
            self.actions.append(
                Recall(pending.pull.id, pending.relay_count - 1, not self.settings.can_recall)
            )
        else:
            self.pending.pop(pending.pull.id, None)

    # Relay results
    def _handle_relay_ended(self, event: RelayEnded) -> None:
        """Record the end of a relay, then retry the pull, wait to retry it, or finish it.

        A pull that was answered is finished. One that failed is retried if the service level, its plan and
        its deadline allow it, after the plan's wait.
        """
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
                # Give up: with the sequence closed, the final answer follows at once.
                pending.sequence.close()
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
        """Update limits, slowdowns, error rates and ejections from how a relay ended.

        The main question is who is at fault: the cache that was asked, the source of a fill, the zone's link
        or the origin. Answers that do not say how they came about are classified first.
        """
        target, source, outcome, remark = (
            pending.candidate.target,
            pending.candidate.source,
            event.outcome,
            event.remark,
        )
        waited, confidence = event.waited, 1.0
        if outcome is Outcome.TIMEOUT and self.link_utilization == float("inf"):
            # It may have waited for all of FILL_ALLOWANCE_MS: the silence of a cache or a source is not
            # attributed to the link. Where the link's utilization is reported, the wait is attributed to the
            # source.
            waited = FILL_ALLOWANCE_MS
        if outcome is Outcome.FULL and pending.is_fill and remark is Remark.NONE:
            # The answer does not say who rejected the fill: assume its source, because a failed parent causes
            # the same answer; at a second rejection, assume the origin behind the sources.
            remark = Remark.ORIGIN_FAILED if pending.fill_rejected else Remark.SOURCE_BROKE
            pending.fill_rejected = True
        if outcome is Outcome.OK and remark is Remark.NONE:
            # The answer does not say how it came about: a lookup finds only kept copies, all else was filled.
            # Time beyond the sending time was a wait, up to the usual wait; short transfers say little about
            # the link.
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
            # The other fronts' share of the link.
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
            # A slow cache times out as well, but its answers are slow too, which long transfers show best. So
            # a time-out beside quick answers is a lost answer.
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
            # The source was not asked, so it did no work; one that answered that it lacks the copy was asked.
            pending.source_work[1] = 0.0
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
                # A slow transfer over a link that is not full is its source's fault: a degraded parent
                # answers at once and sends slowly. Where utilization is not reported, both may be blamed.
                source.limit.adjust(at_pace, self.now)
                slowdown = (
                    max(transfer_time - TRANSFER_ALLOWANCE_MS, 0.0) / pending.sending_time
                    if pending.sending_time
                    else 0.0
                )
                # A fetched copy that is far slower than the parent's slowdown explains is slow because of the
                # origin's link.
                by_origin = from_origin and slowdown > 2.0 * source.limit.slowdown(self.now)
                link_slowdown = self.link_utilization
                if link_slowdown == float("inf"):
                    # Not reported: the link is no slower than the quickest other source was recently.
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
                # Each failure doubles the expected wait: with many fronts, none has two relays
                # in flight there to learn from.
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
            # A server that refuses connections is down, and back in slow start seconds before the list
            # reports its restart. The cost: a cache that was merely full is then sent too little.
            self._eject(target)
            target.started_at = self.now
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT):
            # A server that vanished answers nothing; a broken connection beside other answers is no sign of
            # that. A slow origin or link delays all sources, so a source is at fault only if another one
            # delivered meanwhile (unless it is busy with one long answer).
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
                # A cache that returns errors while others do not is faulty. It answers quickly, so its limit
                # does not stop pulls, and every pull hashed to it would fail.
                if (
                    target.error_rate
                    > ERROR_RATE_THRESHOLD
                    > min((edge.error_rate for edge in self.edges), default=1.0)
                ):
                    self._eject(target)

    def _record_success(self, server: Server) -> None:
        """Record a good answer of a server: it ends the ejection and earns retry tokens."""
        server.answered_at, server.consecutive_failures, server.ejected_until = self.now, 0, 0.0
        server.retry_tokens = min(server.retry_tokens + RETRY_TOKENS_PER_ANSWER, MAX_RETRY_TOKENS)

    def _eject(self, server: Server) -> None:
        """Eject a server that failed, with exponential back-off and jitter.

        Failures during an ejection count once: relays that fail together have one cause.
        """
        if self.now < server.ejected_until:
            return
        back_off = min(FIRST_BACK_OFF_MS * 2.0**server.consecutive_failures, MAX_BACK_OFF_MS)
        server.ejected_until = self.now + back_off * (1.0 + 0.25 * self.random.random())
        server.consecutive_failures += 1
        server.retry_tokens = min(server.retry_tokens, INITIAL_RETRY_TOKENS)
