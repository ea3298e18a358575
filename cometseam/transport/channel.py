"""One connection to an endpoint: sends relays, matches their answers, and ends it when it is of no use."""

import errno
import socket
from collections import OrderedDict
from typing import TYPE_CHECKING

import anyio

from cometseam.counters import COUNTERS
from cometseam.events import log_event
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
from cometseam.transport.attempt import Attempt, EndReason
from cometseam.transport.clock import Timer
from cometseam.transport.connection import Chunk, Connection
from cometseam.transport.resources import ProcessResources

# A connection remembers this many times `max_streams` finished ids, to recognize late and repeated answers.
REMEMBERED_IDS_PER_STREAM = 4
# These are multiples of the connect timeout.
SILENCE_FACTOR = 0.5  # silence with relays in flight after which a keep-alive check starts
REPLY_FACTOR = 0.5  # time in which the reply to a keep-alive check has to come
# The time in which a suspect connection that keeps sending must complete an answer, and in which the rest of
# an unwanted answer must arrive (or as long again as it has taken so far, if that is longer).
PARTIAL_ANSWER_FACTOR = 2.0


# Connect errors caused by this machine (descriptors, memory, ports, routes), not by the endpoint.
LOCAL_ERRORS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN,
    errno.ENETUNREACH,
})  # fmt: skip

if TYPE_CHECKING:
    from cometseam.transport.peer import Peer


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

    def has_free_stream(self) -> bool:
        """Return whether one more relay may be sent over it."""
        return self.is_usable() and len(self.attempts) < self._resources.links.max_streams

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
        if connection is None or not self.has_free_stream():
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
        self._resources.budget.add_connection()
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
            self._resources.budget.remove_connection()
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
