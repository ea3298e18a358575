"""The actor around the decision module, and the only caller of `Front.handle`.

It owns the open pulls, the endpoint table and the peers. Its input comes through its mailbox, apart from
discovery events, which are applied at once; ends of relays are handled before new pulls.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from cometseam import interface as i
from cometseam.counters import COUNTERS, check_invariant
from cometseam.events import log_event
from cometseam.logic import Front
from cometseam.mailbox import Mailbox
from cometseam.operator import CompiledConfig
from cometseam.protocol.discovery_events import DiscoveryEvent, EndpointList, Purge
from cometseam.protocol.frames import PullRequest
from cometseam.protocol.resp import Answer
from cometseam.routing import translate
from cometseam.routing.attempt_audit import AttemptAudit
from cometseam.routing.endpoints import EndpointTable
from cometseam.routing.messages import (
    CacheCapacityLease,
    CacheHealthVerdict,
    ClientGone,
    Message,
    PlansUpdated,
    PullOverdue,
    RequestReceived,
)
from cometseam.routing.outdated import OutdatedDecisions
from cometseam.settings import NameTables
from cometseam.timing import RouteTable
from cometseam.tracing import FinishedTrace, TraceMode, Tracer
from cometseam.transport.answer_matching import NO_HISTORY, RequestHistory
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.client import Client
from cometseam.transport.clock import Timer
from cometseam.transport.peer import Peer
from cometseam.transport.resources import ProcessResources

if TYPE_CHECKING:
    from cometseam.routing.levels import LevelManager


# Age of a pull from which its client's connection is checked before anything is sent for the pull. Nothing
# may be sent later than 100 ms after the client has left, and its hang-up may be unread while the front lags.
CLIENT_CHECK_AFTER_MS = 50.0
# Share of a request's time for which it may wait for discovery; shed later, it has little time left to be
# served by another front.
MAX_HELD_TIME_SHARE = 0.4


@dataclass(slots=True, eq=False)
class OpenPull:
    """A pull that is unanswered or has a relay in flight; it is removed when neither holds."""

    number: int
    client: Client
    stream: int
    request: PullRequest
    event: i.Pull
    deadline: float
    received_at: float
    unanswered: bool = True
    relay_count: int = 0
    in_flight: "InFlightRelay | None" = None
    timer: Timer | None = None
    history: RequestHistory = NO_HISTORY  # its attempts that have ended


@dataclass(slots=True)
class InFlightRelay:
    """A pull's relay in flight, its attempt, and the peer that it went to (None: its cache is not listed)."""

    relay: i.Relay
    attempt: Attempt
    peer: Peer | None


def _has_waited_too_long(message: Message, now: float) -> bool:
    """Return whether a held request has used up its share of time to wait for discovery."""
    return (
        isinstance(message, RequestReceived)
        and now - message.received_at >= MAX_HELD_TIME_SHARE * message.request.time_left
    )


class Router:
    """The actor around one `Front`."""

    def __init__(
        self, front: Front, names: NameTables, max_open: int, resources: ProcessResources, seed: int = 0,
        tracer: Tracer | None = None,
    ) -> None:  # fmt: skip
        self._seed = seed  # for random choices outside the decision module: spreads level changes of fronts
        self._levels: LevelManager | None = None
        self._front, self._names, self._resources = front, names, resources
        self._workloads = {name: index for index, name in enumerate(names.workloads)}
        self._endpoints = EndpointTable()
        self._peers: dict[int, Peer] = {}  # by cache; removed when the cache is gone or has another address
        self._mailbox: Mailbox[Message] = Mailbox(max_open)
        self._max_open = max_open
        self._open: dict[int, OpenPull] = {}
        self._pulls_by_stream: dict[tuple[Client, int], OpenPull] = {}  # unanswered pulls
        self._request_ids: set[str] = set()  # of the pulls in `_open`
        self._last_number = 0
        self._pending_events: deque[i.Event] = deque()  # not yet handled by the module
        self._tasks: TaskGroup | None = None
        self._route_table: RouteTable | None = None  # the operator's routes; open pulls keep their plan
        self._has_list = False
        # Reads and applies any unread discovery events; see `apply_changes`.
        self.read_discovery: Callable[[], None] = lambda: None
        self.audit = AttemptAudit(self._endpoints, resources.clock.now)
        self.draining = self._closing = False
        self._tracer = tracer if tracer is not None and tracer.mode is not TraceMode.OFF else None
        self._target_latencies = (
            [workload.target_latency for workload in front.settings.workloads]
            if self._tracer is not None
            else []
        )

    # Input from other parts of the program

    def is_ready(self) -> bool:
        """Return whether the front can serve pulls."""
        return self._has_list and not self.draining and not self._resources.confirmation_wait()

    @property
    def pending_count(self) -> int:
        """Return how many pulls are open, plus messages that are not handled yet."""
        return len(self._open) + len(self._mailbox)

    @property
    def has_unanswered(self) -> bool:
        """Return whether any pull, open or in the mailbox, is unanswered."""
        return any(pull.unanswered for pull in self._open.values()) or any(
            isinstance(message, RequestReceived) for message in self._mailbox
        )

    def submit_pull(self, client: Client, stream: int, request: PullRequest) -> bool:
        """Queue a pull; return False if too many are open or the front is shutting down."""
        if self._closing or self.pending_count >= self._max_open:
            COUNTERS.add("pull.no_room")
            return False
        # The client's deadline counts from its sending: a request read after a pause of the process may have
        # arrived at the start of the pause.
        return self._mailbox.offer(
            RequestReceived(client, stream, request, self._resources.earliest_arrival())
        )

    def hang_up(self, client: Client, stream: int) -> None:
        """Queue the withdrawal of a pull by its client, behind the pull if that is not handled yet."""
        self._mailbox.push(ClientGone(client, stream))

    def apply_changes(self, changes: list[DiscoveryEvent], is_live: bool = True) -> None:
        """Apply discovery events at once, so that every later decision takes them into account.

        `is_live`: they were received while the front ran, rather than read at its start.
        """
        outdated = OutdatedDecisions()
        for change in changes:
            try:
                self._apply_change(change, is_live, outdated)
            except Exception as error:  # the events after it are still applied
                COUNTERS.add("routing.exception")
                log_event("actor.failed", error, kind=type(change).__name__)
        self._withdraw_unsent(outdated)

    def record_loop_lag(self, lag: float) -> None:
        """Queue the event loop's lag (ms)."""
        self._resources.record_loop_lag(lag)
        self._mailbox.put_urgent(i.LoopLagged(lag))  # bounded: one per `LAG_SAMPLE_INTERVAL_MS`

    def update_plans(self, compiled: CompiledConfig) -> None:
        """Queue new plans, which apply to pulls received from then on."""
        self._mailbox.put_urgent(PlansUpdated(compiled))  # one per reload

    def apply_verdict(self, cache: str, bad: bool, ttl: float, age: float) -> None:
        """Queue a health verdict of the fleet on a cache; it is ignored if the cache is not listed.

        Args:
            cache: the name of the cache.
            bad: whether the cache is unhealthy.
            ttl: for how many ms the verdict holds.
            age: how many ms ago its evidence began.
        """
        # Bounded: at most one per cache, a few a minute.
        self._mailbox.put_urgent(CacheHealthVerdict(cache, bad, ttl, age))

    def apply_capacity_lease(self, group: str, cache: str, share: float, ttl: float) -> None:
        """Queue this front's share of a limit, which holds for `ttl` ms.

        The limit is a cache's slow-start budget, the relays in flight there, or a retry budget of the fleet
        (`cache` is then the budget's name).
        """
        # Bounded: one per cache in slow start, capped cache and shared retry budget in each refresh interval.
        if group.startswith("retries:"):
            self._mailbox.put_urgent(i.RetryBudgetShare(cache, share, ttl))
        else:
            self._mailbox.put_urgent(CacheCapacityLease(cache, share, ttl, group.endswith(":relays")))

    def set_concurrency_cap(self, per_cache: float, per_parent: float) -> None:
        """Queue the limits on the fleet's relays in flight at one cache and at one parent; 0: no limit."""
        self._mailbox.put_urgent(i.ConcurrencyCap(per_cache, per_parent))  # sent once

    def capacity_demands(self) -> dict[str, dict[str, float]]:
        """Return the share that this front demands of each shared limit, by group of fronts and cache."""
        from cometseam.routing import capacity_demand  # imported only if limits are shared

        now = self._resources.clock.now()
        demands = capacity_demand.retry_demands(self._front.active_plans, now)
        for suffix, read_demands in (
            ("", capacity_demand.slow_start_demands),
            (capacity_demand.RELAYS_SUFFIX, capacity_demand.relay_demands),
        ):
            for cache, demand in read_demands(self._front, now).items():
                entry = self._endpoints.get(cache)
                if entry is not None:
                    group = capacity_demand.group_of(self._front, cache, self._names.zones) + suffix
                    demands.setdefault(group, {})[entry.name] = demand
        return demands

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of the ready caches, by name."""
        return self._endpoints.addresses()

    def _update_levels(self, compiled: CompiledConfig) -> None:
        """Apply the service levels of a new operator's file; the level matching the current one is kept."""
        if compiled.level_policy is None:
            if self._levels is not None:
                self._levels.disable()
                self._levels = None
            return
        named_routes = zip(compiled.route_names, compiled.table.routes, strict=True)
        routes = tuple((name, plan) for name, (plan, _) in named_routes)
        if self._levels is not None:
            self._levels.replace(compiled.level_policy, routes)
            return
        from cometseam.routing.levels import LevelManager  # imports hdrh: only if levels are configured

        self._levels = LevelManager(
            compiled.level_policy, routes, self._front, self._names.workloads, self._resources,
            self._process_event, lambda: len(self._open) / self._max_open, self._seed,
        )  # fmt: skip

    async def close(self) -> None:
        """Save the state that is kept across restarts."""
        if self._levels is not None:
            self._levels.save_level()

    def _enqueue_attempt_end(self, end: AttemptEnded) -> None:
        self._mailbox.put_urgent(end)  # bounded by the relays in flight

    # The actor

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                # No variable here refers to the message, which would stay in memory until the next one.
                self._handle_safely(await self._mailbox.take(self._hold_requests))

    def _handle_safely(self, message: Message) -> None:
        """Handle a message; an exception is logged and ends nothing but the handling of this one."""
        self.read_discovery()  # its events apply even if the front reads them late
        try:
            self._handle(message)
        except Exception as error:
            COUNTERS.add("routing.exception")
            log_event("actor.failed", error, kind=type(message).__name__)

    def _hold_requests(self) -> float:
        """Return for how many more ms at most requests are held until discovery has confirmed the list.

        Requests that have used up their share of time are shed: another front may serve them in time.
        """
        wait = self._resources.unconfirmed_wait()
        if wait:
            now = self._resources.clock.now()
            for message in self._mailbox.remove(lambda message: _has_waited_too_long(message, now)):
                assert isinstance(message, RequestReceived)
                COUNTERS.add("pull.shed_unconfirmed")
                message.client.answer_shed(message.stream, wait)
                message.request.frame.free()
        return wait

    def _handle(self, message: Message) -> None:
        match message:
            case RequestReceived():
                self._open_pull(message)
            case AttemptEnded():
                self._end_attempt(message)
            case PullOverdue():
                self._expire_pull(message.number)
            case ClientGone():
                pull = self._pulls_by_stream.get((message.client, message.stream))
                if pull is not None:
                    self._disconnect_pull(pull)
            case i.TimerFired() | i.ConcurrencyCap() | i.RetryBudgetShare() | i.ShuttingDown():
                self._process_event(message)
            case i.LoopLagged():
                self._process_event(message)
                if self._levels is not None:
                    self._levels.update(message.lag)
            case CacheHealthVerdict():
                number = self._endpoints.number(message.cache)
                if number is None:  # not listed any more, or not on this front yet
                    COUNTERS.add("fleet.verdict.unlisted")
                    return
                self._process_event(i.HealthVerdict(number, message.bad, message.ttl, message.age))
            case CacheCapacityLease():
                number = self._endpoints.number(message.cache)
                if number is not None:
                    self._process_event(
                        i.CapacityLease(number, message.share, message.ttl, message.for_relays)
                    )
            case PlansUpdated():
                # Routes and plans change together between two events, so no pull sees a mix of old and new.
                self._route_table = message.compiled.table
                self._process_event(message.compiled.plans)
                self._update_levels(message.compiled)

    def _open_pull(self, message: RequestReceived) -> None:
        request, now = message.request, self._resources.clock.now()
        # Withdrawn pulls are dropped first: hundreds of them would delay the others.
        if not self._awaits(message.client, message.stream, message.received_at):
            COUNTERS.add("pull.withdrawn")
            request.frame.free()
            return
        workload = self._workloads.get(request.workload)
        if workload is None:
            message.client.reject_input(message.stream, "verb: unknown")
            request.frame.free()
            return
        if request.id in self._request_ids:
            message.client.reject_input(message.stream, "txn: open already")
            request.frame.free()
            return
        self._last_number += 1
        deadline = message.received_at + request.time_left
        event = translate.pull_event(self._last_number, request, workload, deadline - now)
        if self._route_table is not None:
            translate.assign_plan(event, self._route_table, message.client.address)
            event.client_network = translate.network_of(message.client.address)
        pull = OpenPull(
            self._last_number, message.client, message.stream, request, event, deadline, message.received_at
        )
        self._open[pull.number] = pull
        self._request_ids.add(request.id)
        self._pulls_by_stream[message.client, message.stream] = pull
        COUNTERS.add("pull.taken")
        COUNTERS.record_max("pull.open", len(self._open))
        if self._tracer is not None:
            target_latency = (
                self._target_latencies[workload]
                if workload < len(self._target_latencies)
                else deadline - message.received_at
            )
            self._tracer.start_trace(
                pull.number,
                request.id,
                request.workload,
                message.received_at,
                target_latency,
                deadline - message.received_at,
            )
        # Guarantees an answer soon after the grace period even if this program has a fault. The message is
        # handled after the end of an attempt that was due before it, however late both timers run.
        overdue_at = deadline + self._resources.links.answer_grace
        overdue = PullOverdue(pull.number)
        pull.timer = self._resources.timers.call_at(overdue_at, lambda: self._mailbox.put_urgent(overdue))
        self._process_event(event)

    def _awaits(self, client: Client, stream: int, since: float) -> bool:
        """Return whether a client still waits for the answer to a request that it sent at `since`.

        This is called when a pull is opened and just before a relay is written, so it reads unread discovery
        events as well.
        """
        self.read_discovery()
        if self._resources.clock.now() - since > CLIENT_CHECK_AFTER_MS:
            client.withdraw_if_disconnected()
        return client.awaits(stream)

    def _disconnect_pull(self, pull: OpenPull) -> None:
        COUNTERS.add("pull.hung_up")
        self._settle_pull(pull, "hung_up")
        self._process_event(i.ClientDisconnected(pull.number))

    def _expire_pull(self, number: int) -> None:
        pull = self._open.get(number)
        if pull is not None and pull.unanswered:
            self._settle_pull(pull, "overdue")
            pull.client.answer_errored(pull.stream)
            check_invariant(False, "an answer by the cut-off")

    def _apply_change(self, change: DiscoveryEvent, is_live: bool, outdated: OutdatedDecisions) -> None:
        if isinstance(change, Purge):
            COUNTERS.add("changelog.purges")
            self._process_event(translate.purge_event(change, self._resources.clock.now(), is_live))
            outdated.add_purge(change)
        elif isinstance(change, EndpointList):
            changes = self._endpoints.apply(change, self._resources.clock.now(), is_live)
            self.audit.record_changes(changes)
            for cache in changes.affected:
                self._remove_outdated_peer(cache)
            is_first_list = not self._has_list and change.is_snapshot
            self._has_list = True
            update = changes.update
            self._process_event(
                i.CacheListUpdate(i.ListUpdateKind.CACHED, update.entries) if is_first_list else update
            )
            self._resources.target_count = len(self._front.edges)
            outdated.caches.update(changes.replaced)

    def _remove_outdated_peer(self, cache: int) -> None:
        """Remove a cache's peer if the cache is gone or has another address."""
        peer, entry = self._peers.get(cache), self._endpoints.get(cache)
        if peer is not None and (entry is None or entry.address != peer.address):
            del self._peers[cache]
            self._start_task(self._stop_when_idle, peer)

    def _withdraw_unsent(self, outdated: OutdatedDecisions) -> None:
        """Withdraw the unsent relays that were decided before a drain, a purge or a new start.

        They are marked at once: a connection may be established before the peer's actor runs again.
        """
        if outdated.is_empty:
            return
        for pull in self._open.values():
            in_flight = pull.in_flight
            if in_flight is None or in_flight.peer is None:
                continue
            if outdated.affects(pull.event, in_flight.relay):
                in_flight.attempt.wanted = False
                in_flight.peer.mailbox.push(GiveUp(in_flight.attempt, if_unsent=True))

    async def _stop_when_idle(self, peer: Peer) -> None:
        """Stop a removed peer once its relays in flight have ended."""
        while not peer.is_idle:
            await anyio.sleep(self._resources.links.connect_timeout / 1000.0)
        peer.stop()

    def _start_task(self, run: Callable[..., object], *arguments: object) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(run, *arguments)  # type: ignore[arg-type]

    # Events and actions

    def _process_event(self, event: i.Event) -> None:
        self._pending_events.append(event)
        while self._pending_events:
            event = self._pending_events.popleft()
            try:
                for action in self._front.handle(self._resources.clock.now(), event):
                    self._perform(action)
            except Exception as error:
                COUNTERS.add("module.exception")
                log_event("module.failed", error, kind=type(event).__name__)
                pull = self._open.get(getattr(event, "id", -1))
                if pull is not None and pull.unanswered:
                    self._settle_pull(pull, "errored")
                    pull.client.answer_errored(pull.stream)

    def _perform(self, action: i.Action) -> None:
        match action:
            case i.Relay():
                self._send_relay(action)
            case i.Shed() | i.Error():
                pull = self._open.get(action.id)
                if pull is None or not pull.unanswered:
                    return
                self._settle_pull(pull, "shed" if isinstance(action, i.Shed) else "errored")
                if isinstance(action, i.Shed):
                    self._record_answer(pull, "shed")
                    pull.client.answer_shed(pull.stream, action.retry_after)
                else:
                    self._record_answer(pull, "errored")
                    pull.client.answer_errored(pull.stream)
            case i.Recall():
                pull = self._open.get(action.id)
                if pull is not None and pull.in_flight is not None and pull.in_flight.peer is not None:
                    pull.in_flight.peer.mailbox.push(GiveUp(pull.in_flight.attempt, action.if_unsent))
            case i.StartTimer():
                fired = i.TimerFired(action.timer_id)
                due_at = self._resources.clock.now() + action.delay
                self._resources.timers.call_at(due_at, lambda: self._mailbox.put_urgent(fired))
            case i.Watch():
                # Discovery is followed at all times; an empty update confirms that nothing was missed.
                self._pending_events.append(i.CacheListUpdate(i.ListUpdateKind.CHANGES, ()))
            case i.Probe():
                self._pending_events.append(i.ProbeEnded(action.cache, i.Outcome.NOT_SENT, ()))
            case i.LogMessage():
                log_event("module.says", text=action.text)

    def _send_relay(self, relay: i.Relay) -> None:
        pull = self._open[relay.id]
        check_invariant(
            pull.unanswered and pull.in_flight is None, "a relay for a pull that is owed and has none out"
        )
        now = self._resources.clock.now()
        source = self._endpoints.get(relay.source) if relay.source != relay.cache else None
        deadline = now + relay.timeout if relay.timeout else pull.deadline
        command = translate.relay_command(relay, pull.request, source.name if source is not None else "")
        attempt = Attempt(pull.number, pull.relay_count, command, pull.request.body(), now, deadline)
        attempt.history = pull.history
        attempt.is_client_waiting = lambda: self._awaits(pull.client, pull.stream, pull.received_at)
        attempt.on_begin = lambda: self.audit.check(relay, pull.request.id)
        if relay.write_within:
            attempt.begin_by = now + relay.write_within
        peer = self._peer_for(relay.cache)
        pull.relay_count += 1
        pull.in_flight = InFlightRelay(relay, attempt, peer)
        COUNTERS.add("relay.sent")
        if self._tracer is not None:
            entry = self._endpoints.get(relay.cache)
            cache_name = entry.name if entry is not None else str(relay.cache)
            self._tracer.record_relay(
                pull.number, now, cache_name, source.name if source else "", relay.timeout
            )
        if peer is None or not peer.mailbox.offer(attempt):
            COUNTERS.add("relay.no_room")
            self._enqueue_attempt_end(AttemptEnded(attempt, EndReason.UNSENT))

    def _peer_for(self, cache: int) -> Peer | None:
        peer, entry = self._peers.get(cache), self._endpoints.get(cache)
        if peer is None and entry is not None:
            max_messages = self._resources.links.max_streams * self._resources.connections_per_peer
            peer = Peer(
                entry.name, entry.address, self._resources, self._enqueue_attempt_end, Mailbox(max_messages)
            )
            self._peers[cache] = peer
            self._start_task(peer.run)
        return peer

    def _end_attempt(self, end: AttemptEnded) -> None:
        answer, pull = end.answer, self._open.get(end.attempt.pull_number)
        check_invariant(pull is not None and pull.in_flight is not None, "an end of a relay that is out")
        kind = answer.word.lower() if answer is not None else end.reason
        COUNTERS.add(f"relay.{kind}")
        if pull is not None and pull.in_flight is not None and pull.in_flight.peer is not None:
            pull.in_flight.peer.end_counts[kind] += 1
        body = answer.body if answer is not None else None
        if pull is None or pull.in_flight is None:
            if body is not None:
                body.free()
            return
        cache, pull.in_flight = pull.in_flight.relay.cache, None
        pull.history = end.attempt.history
        if self._tracer is not None:
            self._trace_end(pull, cache, kind, answer)
        if answer is not None and answer.outcome is i.Outcome.OK and pull.unanswered:
            self._settle_pull(pull, "finished")
            self._record_answer(pull, "finished")
            pull.client.answer_served(pull.stream, answer.is_not_modified, body)
        elif body is not None:
            body.free()
        if pull.unanswered and not pull.client.awaits(pull.stream):
            # The client has left, and its `ClientGone` is still queued: nothing more is sent for this pull.
            self._disconnect_pull(pull)
        if not pull.unanswered:
            self._settle_pull(pull)
        now = self._resources.clock.now()
        event = translate.ended_event(end, cache, now, not pull.unanswered, self._names.load_report_names)
        if self._levels is not None and event.load:
            self._levels.record_link_report(event, self._endpoints.get(cache))
        self._process_event(event)

    def _record_answer(self, pull: OpenPull, kind: str) -> None:
        if self._levels is not None:
            self._levels.record_answer(pull.event, pull.received_at, kind)

    def _trace_end(self, pull: OpenPull, cache: int, kind: str, answer: Answer | None) -> None:
        assert self._tracer is not None
        entry = self._endpoints.get(cache)
        remark = (
            answer.remark.name.lower() if answer is not None and answer.remark is not i.Remark.NONE else ""
        )
        lag = f"{answer.waited:.0f}" if answer is not None and answer.waited else ""
        now = self._resources.clock.now()
        self._tracer.record_relay_end(
            pull.number, now, entry.name if entry is not None else str(cache), kind, remark, lag
        )

    def _settle_pull(self, pull: OpenPull, kind: str = "settled") -> None:
        """Mark a pull as answered, and remove it if no relay is in flight.

        Every final answer passes through here, just before it is written; the trace gets `kind` as its end.
        """
        if pull.unanswered:
            COUNTERS.record_max("answer_past_cut_off_ms", self._resources.clock.now() - pull.deadline)
            if self._tracer is not None:
                self._log_trace(self._tracer.finish_trace(pull.number, self._resources.clock.now(), kind))
        pull.unanswered = False
        if pull.in_flight is not None:
            # Nothing is sent for a pull after its final answer or after its client has left: an attempt that
            # waits in a mailbox, for a connection or to be requeued is not written any more.
            pull.in_flight.attempt.wanted = False
        if pull.timer is not None:
            pull.timer.cancel()
        self._pulls_by_stream.pop((pull.client, pull.stream), None)
        if pull.in_flight is None and self._open.pop(pull.number, None) is not None:
            self._request_ids.discard(pull.request.id)
            pull.request.frame.free()

    def _log_trace(self, trace: FinishedTrace | None) -> None:
        if trace is None:
            return
        COUNTERS.add("trace.told")
        log_event(
            "pull.traced",
            id=trace.id,
            workload=trace.workload,
            kind=trace.kind,
            took=trace.duration,
            quoted=trace.target_latency,
            late="late" if trace.late else "in time",
            steps=trace.text(),
        )

    def peer_end_counts(self) -> list[tuple[str, dict[str, int]]]:
        """Return for each peer how many relays to it ended in which way."""
        peers = sorted(self._peers.values(), key=lambda peer: peer.name)
        return [(peer.name, dict(sorted(peer.end_counts.items()))) for peer in peers]

    def begin_shutdown(self) -> None:
        """Refuse new pulls and have the module answer those that are unanswered."""
        self._closing = True
        self._mailbox.push(i.ShuttingDown())  # behind the pulls already received
