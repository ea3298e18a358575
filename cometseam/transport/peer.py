"""The actor for one endpoint (cache, parent or origin): sends it relays and reports how each ended."""

import errno
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS, check_invariant
from cometseam.events import log_event
from cometseam.mailbox import Mailbox
from cometseam.protocol import ProtocolError
from cometseam.protocol.resp import (
    FAILURE_REMARKS,
    HELLO_REPLY,
    Answer,
    Decoder,
    write_hello,
    write_request,
    write_stop,
)  # fmt: skip
from cometseam.transport.answer_matching import connection_use
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.clock import Timer
from cometseam.transport.connection import Chunk, Connection
from cometseam.transport.resources import RESUME_SETTLE_MS, ProcessResources

# A connection remembers this many times `max_streams` finished ids, to recognize late and repeated answers.
REMEMBERED_IDS_PER_STREAM = 4
# Connections of a peer that may end slowly while others have replaced them.
MAX_RETIRING = 2
# These are multiples of the connect timeout.
SILENCE_FACTOR = 0.5  # silence with relays in flight after which a keep-alive check starts
REPLY_FACTOR = 0.5  # time in which the reply to a keep-alive check has to come
# The time in which a suspect connection that keeps sending must complete an answer, and in which the rest of
# an unwanted answer must arrive (or as long again as it has taken so far, if that is longer).
PARTIAL_ANSWER_FACTOR = 2.0


# Connect errors caused by this machine (descriptors, memory, ports, routes), not by the endpoint. The
# connection is tried again after LOCAL_RETRY_MS.
LOCAL_ERRORS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN,
    errno.ENETUNREACH,
})  # fmt: skip
LOCAL_RETRY_MS = 20.0


class Channel:
    """One connection to the peer, being established or open."""

    def __init__(self, peer: "Peer", resources: ProcessResources) -> None:
        self._peer, self._resources = peer, resources
        self.number = resources.next_connection_number()
        self.connection: Connection | None = None
        self.attempts: dict[str, Attempt] = {}  # in flight, by id
        # Finished ids, with whether each was given up; the oldest are dropped (REMEMBERED_IDS_PER_STREAM).
        self.recent_ids: OrderedDict[str, bool] = OrderedDict()
        self.used_at = self._last_received_at = self._busy_since = 0.0
        self._sent_count = self._stray_count = 0  # relays sent, and answers to none of them
        self._silence_timer: Timer | None = None  # set while relays are in flight
        self._is_suspect = False  # under keep-alive check: no new relay until an answer arrives
        self._suspect_since = 0.0
        self._partial_answer_since = 0.0  # when an incomplete answer began; 0: there is none
        self._is_answer_unwanted = False  # the incomplete answer is for a relay given up: no new relay
        self._is_retiring = False  # replaced by another one: no new relay, closed after the last one out
        self.closed_locally = False  # by this process, which has logged why
        self._decoder = Decoder(resources.pool.allocate)

    @property
    def is_leaving(self) -> bool:
        """Return whether it takes no more relays for good."""
        return self._is_retiring or (self.connection is not None and self.connection.closed)

    @property
    def is_idle(self) -> bool:
        """Return whether it is open and carries no relay."""
        return self.connection is not None and not self.connection.closed and not self.attempts

    def is_usable(self) -> bool:
        """Return whether relays may be sent over it."""
        usable = self.connection is not None and not self.is_leaving
        return usable and not self._is_suspect and not self._is_answer_unwanted

    def remote_has_closed(self) -> bool:
        """Return whether the remote side has closed it, as far as that shows behind unread input."""
        return self.connection is not None and self.connection.remote_has_closed()

    def may_carry(self, attempt: Attempt) -> bool:
        """Return whether late or repeated answers to earlier attempts can be told from the attempt's own."""
        id, history = attempt.command.id, attempt.history
        if id in self.attempts:
            return False
        if not history.has_used(self.number):
            return id not in self.recent_ids
        return history.may_use_again(self.number, attempt.command, self._resources.are_failures_noted)

    def load(self, attempt: Attempt) -> tuple[bool, int] | None:
        """Return whether writing is blocked and how many relays are in flight; None: it can't be used now."""
        connection, attempt_count = self.connection, len(self.attempts)
        if connection is None or not self.is_usable() or attempt_count >= self._resources.links.max_streams:
            return None
        if not self.may_carry(attempt):
            return None
        return connection.is_write_blocked, attempt_count

    def retire(self) -> None:
        """Send no more relays over it, and close it once none is in flight."""
        self._is_retiring = True
        self.close_if_retired()

    def close_if_retired(self) -> None:
        """Close it if another one has replaced it and no relay is in flight."""
        if self._is_retiring and not self.attempts:
            self.close("replaced")

    async def run(self) -> None:
        """Connect, and read answers until the connection ends."""
        try:
            sock = await self._connect()
        except OSError as error:
            if error.errno in LOCAL_ERRORS:
                COUNTERS.add("peer.local_failure")
                log_event("peer.local_failure", peer=self._peer.name, why=str(error))
                self._peer.channel_closed(self, was_connected=False, local_failure=True)
                return
            self._report_not_connected(error)
            return
        except Exception as error:  # whatever the error, no connection was established
            self._report_not_connected(error)
            return
        COUNTERS.add("peer.connected")
        self.connection = Connection(sock, self._resources.pool, self._resources.clock)
        self.used_at = self._resources.clock.now()
        try:
            self._peer.dispatch()
            if self.is_idle:
                self._resources.connection_limit.tell_next_waiter()
            await self.connection.run(self._feed)
        except Exception as error:
            COUNTERS.add("peer.exception")
            log_event("peer.connection_failed", error, peer=self._peer.name)
        finally:
            if not self.closed_locally:
                unanswered = len(self.attempts)
                log_event(
                    "peer.connection_ended", peer=self._peer.name, why="by the peer", unanswered=unanswered
                )
            self._decoder.close()
            if self._silence_timer is not None:
                self._silence_timer.cancel()
            self._peer.channel_closed(self, was_connected=True)

    def _report_not_connected(self, error: Exception) -> None:
        COUNTERS.add("peer.not_connected")
        log_event("peer.not_connected", peer=self._peer.name, why=str(error))
        self._peer.channel_closed(self, was_connected=False)

    async def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with anyio.fail_after(self._resources.links.connect_timeout / 1000.0):
                try:
                    sock.connect(self._peer.address)
                except BlockingIOError as error:
                    if error.errno != errno.EINPROGRESS:  # EAGAIN: no local port is free
                        raise
                    await anyio.wait_writable(sock)
                if failed := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(failed, "not connected")
        except BaseException:
            sock.close()
            raise
        return sock

    def _feed(self, data: memoryview) -> int:
        self._last_received_at = self._resources.clock.now()
        answers: list[Answer] = []
        consumed, error_text = len(data), ""
        try:
            consumed = self._decoder.feed(data, answers)
        except ProtocolError as error:
            error_text = str(error)
        if answers:
            self._is_suspect = self._is_answer_unwanted = False
        if not self._decoder.has_partial_answer:
            self._partial_answer_since = 0.0
        elif answers or not self._partial_answer_since:
            self._partial_answer_since = self._last_received_at
        for answer in answers:
            attempt = self.attempts.get(answer.id)
            if answer.remark in FAILURE_REMARKS:
                self._resources.are_failures_noted = True
            if attempt is not None and attempt.history.is_repeated(answer, self.number):
                attempt = None
            if (
                attempt is not None
                and answer.is_not_modified
                and not _has_held_tag(answer, attempt.command.held_tag)
            ):
                # A client's copy is confirmed as current only by an answer with that copy's tag.
                error_text = "an answer confirms a copy without the client's tag"
            elif attempt is not None:
                del self.attempts[answer.id]
                self._remember(answer.id, given_up=False)
                self.used_at = self._last_received_at
                self._peer.finish_attempt(attempt, EndReason.ANSWERED, answer)
                continue
            if answer.body is not None:
                answer.body.free()
            if answer.id in self.recent_ids:
                COUNTERS.add("peer.late_answer")
            elif answer.word != HELLO_REPLY:
                # The connection is kept for its other relays, which a stray answer does not concern.
                COUNTERS.add("peer.stray_answer")
                self._stray_count += 1
                if self._stray_count > self._sent_count + self._resources.links.max_streams:
                    error_text = "more stray answers than relays sent"
        if error_text:
            COUNTERS.add("peer.bad_input")
            log_event("peer.unusable", peer=self._peer.name, why=error_text)
            self.close("unusable input")
        self._peer.dispatch()
        return consumed

    def _remember(self, request_id: str, given_up: bool) -> None:
        self.recent_ids[request_id] = given_up
        if len(self.recent_ids) > REMEMBERED_IDS_PER_STREAM * self._resources.links.max_streams:
            self.recent_ids.popitem(last=False)

    def _check_silence(self) -> None:
        """Check whether the connection is silent or an answer does not end, while relays are in flight.

        Without it, relays on a connection that stays open but no longer works would only time out one by one.
        The drawback is that a peer which only pauses for long enough loses the connection as well.
        """
        self._silence_timer = None
        if not self.attempts or self._is_suspect or self.connection is None or self.connection.closed:
            return
        silence_ms = SILENCE_FACTOR * self._resources.links.connect_timeout
        due = max(self._last_received_at, self._busy_since) + silence_ms
        now = self._resources.clock.now()
        if (
            self._partial_answer_since
            and now - self._partial_answer_since > self._resources.links.max_deadline
        ):
            # An answer that trickles in without end never counts as silence.
            COUNTERS.add("peer.never_ends")
            self.close("an answer that does not end")
        elif due > now or self.connection.has_input():  # unread input is no silence
            self._silence_timer = self._resources.timers.call_at(
                max(due, now + silence_ms), self._check_silence
            )
        elif self._decoder.has_partial_answer:
            COUNTERS.add("peer.stopped_short")
            self.close("an answer that stopped halfway")
        else:
            self._start_keep_alive_check()

    def send(self, attempt: Attempt) -> None:
        """Send a relay, or queue it behind unwritten ones."""
        assert self.connection is not None
        now = self.used_at = self._resources.clock.now()
        if not self.attempts:
            self._busy_since = now
        self.attempts[attempt.command.id] = attempt
        attempt.channel = self
        self._sent_count += 1
        if self._silence_timer is None:
            silence_ms = SILENCE_FACTOR * self._resources.links.connect_timeout
            self._silence_timer = self._resources.timers.call_at(now + silence_ms, self._check_silence)

        def on_written(is_complete: bool) -> None:
            attempt.written_at = self._resources.clock.now() if is_complete else 0.0

        def may_begin() -> bool:
            # It was queued behind others: the state is checked anew, as in `Peer.dispatch`.
            now = self._resources.clock.now()
            may_write = not self._resources.write_wait()
            if may_write and attempt.may_begin(now) and attempt.outgoing is not None:
                # Less time is left than when it was queued.
                attempt.outgoing.chunks[0] = self._encode_head(attempt, now)
                return True
            self.attempts.pop(attempt.command.id, None)
            self._peer.finish_attempt(attempt, EndReason.UNSENT)
            return False

        attempt.on_begin()
        chunks: list[Chunk] = [
            self._encode_head(attempt, self._resources.clock.now()),
            *attempt.body,
            b"\r\n",
        ]
        attempt.outgoing = self.connection.send(chunks, on_written, may_begin)

    @staticmethod
    def _encode_head(attempt: Attempt, now: float) -> bytes:
        """Return the part of the request before its body, with the time left until the deadline at `now`."""
        size = sum(len(chunk) for chunk in attempt.body)
        return write_request(attempt.command, attempt.deadline - now, size)

    def withdraw(self, attempt: Attempt) -> bool:
        """Remove a queued relay of which nothing has been written; return whether that was possible."""
        if (
            attempt.outgoing is None
            or self.connection is None
            or not self.connection.withdraw(attempt.outgoing)
        ):
            return False
        self.attempts.pop(attempt.command.id, None)
        return True

    def give_up(self, attempt: Attempt) -> None:
        """Abandon a relay whose transmission has begun, and tell the endpoint to stop working on it."""
        assert self.connection is not None
        id = attempt.command.id
        self.attempts.pop(id, None)
        self._decoder.discard(id)
        partial_id = self._decoder.partial_answer_id
        if partial_id is not None and partial_id not in self.attempts and not self._is_answer_unwanted:
            self._await_unwanted_answer()
        if attempt.written_at:
            self._remember(id, given_up=True)
            self.connection.send([write_stop(id)])
        if self.connection.is_write_blocked:
            # The peer reads no more bytes and would get the stop too late; a close reaches it at once.
            self.close("an attempt given up behind unwritten bytes")
        elif attempt.written_at > self._last_received_at:
            self._start_keep_alive_check()

    def _start_keep_alive_check(self) -> None:
        """Send a hello on a silent connection, which stays open even if the remote machine has vanished."""
        if self._is_suspect or self.connection is None:
            return
        self._is_suspect, self._suspect_since = True, self._resources.clock.now()
        COUNTERS.add("peer.doubted")
        self.connection.send([write_hello("alive")])
        due = self._suspect_since + REPLY_FACTOR * self._resources.links.connect_timeout
        self._resources.timers.call_at(due, self._finish_keep_alive_check)

    def _finish_keep_alive_check(self) -> None:
        """Close a suspect connection that has stayed silent; one that sends is checked again, up to a bound.

        The bound keeps an answer that does not end from leaving the connection suspect and unusable for ever.
        """
        if self._is_suspect and self.connection is not None and not self.connection.closed:
            links, now = self._resources.links, self._resources.clock.now()
            has_received = self.connection.has_input() or self._last_received_at > self._suspect_since
            if has_received and now - self._suspect_since < PARTIAL_ANSWER_FACTOR * links.connect_timeout:
                self._resources.timers.call_at(
                    now + REPLY_FACTOR * links.connect_timeout, self._finish_keep_alive_check
                )
            else:
                COUNTERS.add("peer.silent")
                self.close("silent")
        elif self.attempts and self._silence_timer is None:
            self._check_silence()

    def _await_unwanted_answer(self) -> None:
        """Wait for the rest of an answer to a relay given up, up to a bound."""
        self._is_answer_unwanted = True
        partial_since, now = self._partial_answer_since, self._resources.clock.now()
        wait_ms = max(PARTIAL_ANSWER_FACTOR * self._resources.links.connect_timeout, now - partial_since)

        def close_if_unfinished() -> None:
            if self._is_answer_unwanted and self._partial_answer_since == partial_since:
                COUNTERS.add("peer.never_ends")
                self.close("an unwanted answer that does not end")

        self._resources.timers.call_at(now + wait_ms, close_if_unfinished)

    def close(self, why: str) -> None:
        """Close the connection; its relays end, or move to another connection (`Peer.channel_closed`)."""
        if self.connection is not None and not self.connection.closed:
            self.closed_locally = True
            log_event("peer.connection_ended", peer=self._peer.name, why=why, unanswered=len(self.attempts))
            self.connection.close()


def _has_held_tag(answer: Answer, held_tag: str) -> bool:
    """Return whether an answer carries the tag of the copy that the client holds."""
    return bool(held_tag) and answer.tag == held_tag


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
                message = await self.mailbox.take()
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
        attempt.timer = self.resources.timers.call_at(
            attempt.deadline, lambda: self._stop_attempt(attempt, EndReason.TIMED_OUT)
        )
        if attempt.begin_by < attempt.deadline:  # it may be queued on a connection that accepts no bytes
            self.resources.timers.call_at(
                attempt.begin_by, lambda: self._give_up(GiveUp(attempt, if_unsent=True))
            )
        self._waiting.append(attempt)
        self.dispatch()

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
        # Peers close idle connections: a relay written at that moment would be lost.
        links = self.resources.links
        now = self.resources.clock.now()
        idle_since_limit = now - (links.idle_timeout - links.connect_timeout)
        for channel in self._channels[:]:
            if not channel.attempts and channel.connection and channel.used_at < idle_since_limit:
                channel.close("idle")
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            # Every relay is checked here just before it is written, however long it has waited.
            if not attempt.may_begin(now):
                self.finish_attempt(attempt, EndReason.UNSENT)
                continue
            best, least_load, is_connecting = self._choose_channel(attempt)
            # A relay fully written to a connection whose close is still unread would count as possibly run.
            while best is not None and not best.attempts and best.remote_has_closed():
                COUNTERS.add("peer.had_left")
                best.close("closed by the peer, not read yet")
                best, least_load, is_connecting = self._choose_channel(attempt)
            if least_load >= (False, links.max_streams // 8) and not is_connecting:
                self._add_channel(attempt, is_required=best is None)
            if best is not None:
                best.send(attempt)
            else:
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

        self.resources.timers.call_at(due, end_if_waiting)

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
        if attempt.timer is not None:
            attempt.timer.cancel()
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
