"""The actor for one endpoint (cache, parent or origin): sends it relays and reports how each ended."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS, check_invariant
from cometseam.events import log_event
from cometseam.mailbox import Mailbox
from cometseam.protocol.resp import (
    Answer,
)  # fmt: skip
from cometseam.transport.answer_matching import connection_use
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.channel import Channel
from cometseam.transport.resources import RESUME_SETTLE_MS, ProcessResources

# Connections of a peer that may end slowly while others have replaced them.
MAX_RETIRING = 2
# Time after which a connection that failed for lack of local resources is tried again.
LOCAL_RETRY_MS = 20.0


@dataclass(slots=True, eq=False)
class Peer:
    """The actor: its mailbox, its connections and the relays in flight to the endpoint."""

    name: str
    address: tuple[str, int]
    resources: ProcessResources
    on_attempt_ended: Callable[[AttemptEnded], None]
    mailbox: Mailbox[Attempt | GiveUp]
    end_counts: Counter[str] = field(default_factory=Counter)  # relays by how they ended; lost with the peer
    _channels: list[Channel] = field(default_factory=list)
    _waiting: list[Attempt] = field(default_factory=list)  # for a connection, each at most until its deadline
    _in_flight: dict[int, Attempt] = field(default_factory=dict)  # by pull number
    _is_settling: bool = False  # a dispatch is scheduled for when relays may be written again
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Process messages of the mailbox until stopped."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                # No variable here refers to the message, which would stay in memory until the next one.
                self._handle(await self.mailbox.take())

    def _handle(self, message: Attempt | GiveUp) -> None:
        try:
            if isinstance(message, Attempt):
                self._start_attempt(message)
            else:
                self._give_up(message)
        except Exception as error:
            COUNTERS.add("peer.exception")
            log_event("peer.message_failed", error, peer=self.name)
            if isinstance(message, Attempt):
                self.finish_attempt(message, EndReason.UNCONNECTED)

    @property
    def is_idle(self) -> bool:
        """Return whether no relay is in flight and the mailbox is empty."""
        return not self._in_flight and not len(self.mailbox)

    def _start_attempt(self, attempt: Attempt) -> None:
        check_invariant(attempt.pull_number not in self._in_flight, "one relay of a pull out at a time")
        self._in_flight[attempt.pull_number] = attempt
        self._call_at(attempt, attempt.deadline, lambda: self._stop_attempt(attempt, EndReason.TIMED_OUT))
        if attempt.begin_by < attempt.deadline:  # it may be queued on a connection that accepts no bytes
            self._call_at(attempt, attempt.begin_by, lambda: self._give_up(GiveUp(attempt, if_unsent=True)))
        self._waiting.append(attempt)
        self.dispatch()

    def _call_at(self, attempt: Attempt, due: float, run: Callable[[], None]) -> None:
        """Call `run` at the time `due`, unless the attempt has ended by then."""
        attempt.timers.append(self.resources.timers.call_at(due, run))

    def _give_up(self, message: GiveUp) -> None:
        attempt = message.attempt
        if self._in_flight.get(attempt.pull_number) is not attempt:
            return
        has_begun = attempt.outgoing is not None and (attempt.outgoing.begun or attempt.written_at)
        if not (message.if_unsent and has_begun):
            self._stop_attempt(attempt, EndReason.GIVEN_UP)
        else:
            # If its connection breaks before it is fully written, it ends as UNSENT and is not requeued.
            attempt.wanted = False

    @property
    def needs_connection(self) -> bool:
        """Return whether relays still wait for a connection."""
        return bool(self._waiting)

    def on_room(self) -> None:
        """Dispatch relays that wait for room for a connection, after the caller has returned."""
        self.resources.timers.call_at(self.resources.clock.now(), self.dispatch)

    def dispatch(self) -> None:
        """Assign waiting relays to connections, and open another connection if all are busy."""
        for channel in self._channels[:]:
            channel.close_if_retired()
        if not self._waiting:
            return
        if wait := self.resources.write_wait():
            if not self._is_settling:
                self._is_settling = True
                now = self.resources.clock.now()
                self.resources.timers.call_at(now + min(wait, RESUME_SETTLE_MS), self._end_settling)
            return
        now = self.resources.clock.now()
        self._close_idle_channels(now)
        waiting, self._waiting = self._waiting, []
        is_full = self._is_full()
        for attempt in waiting:
            if is_full and attempt.awaits_stream:
                self._waiting.append(attempt)
                continue
            self._place(attempt, now)
            is_full = self._is_full()

    def _close_idle_channels(self, now: float) -> None:
        """Close connections that the peer is about to close: a relay written at that moment would be lost."""
        links = self.resources.links
        idle_since_limit = now - (links.idle_timeout - links.connect_timeout)
        for channel in self._channels[:]:
            if not channel.attempts and channel.connection and channel.used_at < idle_since_limit:
                channel.close("idle")

    def _is_full(self) -> bool:
        """Return whether no connection has a stream free, and none may be opened now beside them."""
        staying, is_connecting = 0, False
        for channel in self._channels:
            if channel.is_leaving:
                continue
            staying += 1
            is_connecting = is_connecting or channel.connection is None
            if channel.has_free_stream():
                return False
        return is_connecting or staying >= self.resources.connections_per_peer

    def _place(self, attempt: Attempt, now: float) -> None:
        """Send an attempt over the best connection, or have it wait, perhaps for another connection.

        Every attempt is checked here just before it is written, however long it has waited.
        """
        if not attempt.may_begin(now):
            self.finish_attempt(attempt, EndReason.UNSENT)
            return
        best, least_load, is_connecting = self._choose_channel(attempt)
        # A relay fully written to a connection whose close is still unread would count as possibly run.
        while best is not None and not best.attempts and best.remote_has_closed():
            COUNTERS.add("peer.had_left")
            best.close("closed by the peer, not read yet")
            best, least_load, is_connecting = self._choose_channel(attempt)
        if least_load >= (False, self.resources.links.max_streams // 8) and not is_connecting:
            self._add_channel(attempt, is_required=best is None)
        if best is not None:
            best.send(attempt)
            return
        attempt.awaits_stream = all(
            channel.may_carry(attempt) for channel in self._channels if not channel.is_leaving
        )
        self._waiting.append(attempt)

    def _end_settling(self) -> None:
        self._is_settling = False
        self.dispatch()

    def _choose_channel(self, attempt: Attempt) -> tuple["Channel | None", tuple[bool, int], bool]:
        """Return the best usable connection, its load, and whether one is being established.

        Among those that can be written to, one that has not carried the attempt's id is preferred, then the
        least busy one.
        """
        best: Channel | None = None
        least_load, is_connecting = (True, self.resources.links.max_streams), False
        least_rank = (True, True, self.resources.links.max_streams)
        for channel in self._channels:
            is_connecting = is_connecting or channel.connection is None
            load = channel.load(attempt)
            if load is None:
                continue
            is_blocked, attempt_count = load
            rank = (is_blocked, attempt.history.has_used(channel.number), attempt_count)
            if rank < least_rank:
                best, least_load, least_rank = channel, load, rank
        return best, least_load, is_connecting

    def _add_channel(self, attempt: Attempt, is_required: bool) -> None:
        """Open another connection if there is room; `is_required`: no open one can take the attempt.

        A required one may replace a connection of this peer that may not carry the attempt, and the least
        recently used idle one of all peers. If there is none of these, the attempt waits for a while.
        """
        staying = [channel for channel in self._channels if not channel.is_leaving]
        share = self.resources.connections_per_peer
        has_share = len(staying) >= share
        replaced = self._choose_replaced(attempt) if has_share and is_required else None
        if has_share and replaced is None:
            return
        channel, limit = Channel(self, self.resources), self.resources.connection_limit
        if len(self._channels) >= share + MAX_RETIRING or not limit.acquire(channel, may_evict=is_required):
            if is_required:
                COUNTERS.add("peer.no_room_for_connection")
                limit.wait(self)
                self._limit_wait(attempt)
            return
        if replaced is not None:
            COUNTERS.add("peer.connection_replaced")
            replaced.retire()
        self._open_channel(channel)

    def _choose_replaced(self, attempt: Attempt) -> Channel | None:
        """Return the least busy usable connection that may not carry the attempt."""
        used = (
            channel for channel in self._channels if channel.is_usable() and not channel.may_carry(attempt)
        )
        return min(used, key=lambda channel: len(channel.attempts), default=None)

    def _limit_wait(self, attempt: Attempt) -> None:
        """Have an attempt end unsent if it gets no connection in the time that one may take to come up."""
        if attempt.is_wait_limited:
            return
        attempt.is_wait_limited = True
        due = self.resources.clock.now() + self.resources.links.connect_timeout

        def end_if_waiting() -> None:
            if attempt in self._waiting and not self._can_place(attempt):
                self.finish_attempt(attempt, EndReason.UNSENT)

        self._call_at(attempt, due, end_if_waiting)

    def _can_place(self, attempt: Attempt) -> bool:
        """Return whether an open connection may take the attempt, now or once it has room."""
        return any(channel.is_usable() and channel.may_carry(attempt) for channel in self._channels)

    def _handle_failed_connect(self) -> None:
        """End the waiting attempts, or have those that no open connection may take try another one, once."""
        is_reachable = any(channel.is_usable() for channel in self._channels)
        for attempt in list(self._waiting):
            if not is_reachable:
                self.finish_attempt(attempt, EndReason.UNCONNECTED)
            elif not self._can_place(attempt):
                # The peer works, as its open connections show: the failure says nothing about it.
                if attempt.has_failed_to_connect:
                    self.finish_attempt(attempt, EndReason.UNSENT)
                attempt.has_failed_to_connect = True
        self.dispatch()

    def _open_channel(self, channel: Channel) -> None:
        assert self._tasks is not None
        self._channels.append(channel)
        COUNTERS.record_max("peer.connections_each", len(self._channels))
        self._tasks.start_soon(channel.run)

    def channel_closed(self, channel: Channel, was_connected: bool, local_failure: bool = False) -> None:
        """Handle a connection that ended or failed; `local_failure`: the endpoint is not the cause."""
        self._channels.remove(channel)
        self.resources.connection_limit.release(channel)
        attempts, channel.attempts = list(channel.attempts.values()), {}
        for attempt in attempts:
            if attempt.written_at:
                self.finish_attempt(attempt, EndReason.BROKEN)
            elif attempt.requeued or not attempt.wanted:
                self.finish_attempt(attempt, EndReason.UNSENT)
            else:  # a new or idle connection that breaks says nothing about the peer: use another one
                attempt.channel, attempt.outgoing, attempt.requeued = None, None, True
                self._waiting.append(attempt)
        if was_connected:
            self.dispatch()
        elif local_failure:  # waiting relays go on waiting, until their deadlines
            self.resources.timers.call_at(self.resources.clock.now() + LOCAL_RETRY_MS, self.dispatch)
        else:
            self._handle_failed_connect()

    def _stop_attempt(self, attempt: Attempt, reason: EndReason) -> None:
        """End a relay early: the stop is sent before its end is reported, so before the pull's next relay."""
        if attempt.channel is None or attempt.channel.withdraw(attempt):
            self.finish_attempt(attempt, EndReason.UNSENT)
        else:
            is_written = bool(attempt.written_at)
            attempt.channel.give_up(attempt)
            attempt.channel.close_if_retired()
            self.finish_attempt(attempt, reason if is_written else EndReason.UNCONNECTED)

    def finish_attempt(self, attempt: Attempt, reason: EndReason, answer: Answer | None = None) -> None:
        """Report that a relay has ended; later calls for it do nothing."""
        if self._in_flight.get(attempt.pull_number) is not attempt:
            return
        del self._in_flight[attempt.pull_number]
        attempt.cancel_timers()
        if attempt.channel is None:
            if attempt in self._waiting:
                self._waiting.remove(attempt)
        else:
            if reason is not EndReason.UNSENT:
                use = connection_use(attempt.channel.number, attempt.command, answer)
                attempt.history = attempt.history.with_use(use)
            if attempt.channel.is_idle:
                self.resources.connection_limit.tell_next_waiter()
        self.on_attempt_ended(AttemptEnded(attempt, reason, answer))

    def stop(self) -> None:
        """Stop the actor and close its connections."""
        for channel in self._channels:
            channel.close("the endpoint was removed")
            self.resources.connection_limit.release(channel)
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
