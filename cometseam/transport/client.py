"""One client's connection: its frames, its pulls and their answers."""

import socket
from typing import Protocol

from cometseam.counters import COUNTERS
from cometseam.events import log_event
from cometseam.memory import REQUEST_BYTES, ClientAccount
from cometseam.protocol import Body, ProtocolError
from cometseam.protocol.frames import (
    MAX_FRAME_LENGTH,
    Decoder,
    Frame,
    FrameType,
    PullRequest,
    read_pull_request,
    write_errored,
    write_frame,
    write_readiness,
    write_served,
    write_shed,
)  # fmt: skip
from cometseam.timing import address_number
from cometseam.transport.buffers import RequestBuffers
from cometseam.transport.clock import Clock
from cometseam.transport.connection import Chunk, Connection
from cometseam.transport.reserved_body import ReservedBody

CLIENT_FRAME_TYPES = (FrameType.PULL, FrameType.HANG_UP, FrameType.READY)
MAX_OPEN_PULLS = 32  # per connection, by the protocol
# Answers that wait for a client to read them. A pull is open until its answer has arrived: clients that
# keep to the protocol cause half of that; the other half is for readiness checks.
MAX_QUEUED_ANSWERS = 2 * MAX_OPEN_PULLS
# The protocol wants unusable connections to be reported within 3 s of connecting: a connection that has sent
# no complete frame, or only part of one, is closed a second earlier.
FRAME_TIMEOUT_MS = 2000.0
# If the buffers for requests run short, an incomplete frame of which nothing came for this long gives its up.
STALLED_FRAME_MS = 100.0
# By the protocol clients close connections that have been idle for 4 s: a longer idle one is unused.
IDLE_TIMEOUT_MS = 4500.0


class PullHandler(Protocol):
    """Processes the pulls that arrive on client connections."""

    def is_ready(self) -> bool:
        """Return whether the front can serve pulls."""

    def submit_pull(self, client: "Client", stream: int, request: PullRequest) -> bool:
        """Accept a pull and take over its frame's buffers; return False if there is no room for it now."""

    def hang_up(self, client: "Client", stream: int) -> None:
        """Withdraw a pull: its client no longer waits for an answer on this stream."""


class Client:
    """One connection to a client."""

    def __init__(
        self,
        sock: socket.socket,
        buffers: RequestBuffers,
        clock: Clock,
        pull_handler: PullHandler,
        address: str = "",
    ) -> None:
        self.address = address_number(address)  # as a number: routes and budgets may depend on it
        self._connection = Connection(sock, buffers.pool, clock, buffers.read_buffer)
        self._decoder = Decoder(buffers.quota.allocate)
        self._account = ClientAccount(buffers.budget)
        self._clock, self._pull_handler = clock, pull_handler
        self._open_streams: set[int] = set()  # streams with an unanswered pull
        self._highest_stream = 0
        self._partial_frame_since = 0.0  # when an incomplete frame began; 0: there is none
        self.received_at = clock.now()  # when input was last read
        self._has_sent_frame = False  # at least one complete frame
        self.used_at = clock.now()  # when it last sent a complete frame or was answered
        self._is_closing = False  # no more input is processed; closes when no pull is open
        self._discarded_bytes = 0  # bytes received since `_is_closing` was set
        self._connected_at = clock.now()
        self._close_reason = "the client"  # or why this process closed the connection

    @property
    def is_idle(self) -> bool:
        """Return whether no pull is unanswered and no answer is still being written."""
        return not self._open_streams and not self._connection.is_write_blocked

    @property
    def is_closable(self) -> bool:
        """Return whether closing it loses no input received so far, not even part of a frame."""
        return self.is_idle and not self._decoder.has_partial_frame and not self._connection.has_input()

    @property
    def is_drained(self) -> bool:
        """Return whether nothing that was received on it still needs an answer."""
        return self._is_closing or self.is_closable

    def is_evictable(self, first_pull_timeout: float) -> bool:
        """Return whether it may be closed for a new client.

        A new connection is kept for `first_pull_timeout` ms, as its first pull may still be on the way.
        """
        return self.is_closable and (
            self._has_sent_frame or self._connected_at < self._clock.now() - first_pull_timeout
        )

    def is_stalled(self, stall_timeout: float) -> bool:
        """Return whether it has left an answer partly unread for longer than `stall_timeout` ms."""
        if (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - stall_timeout
        ):
            self._connection.flush()  # after a pause of this process the client may well be reading
        return (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - stall_timeout
        )

    def is_overdue(self) -> bool:
        """Return whether no pull is open and it has been idle, or its frame incomplete, for too long."""
        if self.is_idle and self._is_frame_overdue():
            return True
        if self._has_sent_frame:  # a frame that has just begun is awaited: `_is_frame_overdue` bounds that
            return self.is_closable and self.used_at < self._clock.now() - IDLE_TIMEOUT_MS
        is_silent = self.is_idle and not self._connection.has_input()
        return is_silent and self.used_at < self._clock.now() - FRAME_TIMEOUT_MS

    def _is_frame_overdue(self) -> bool:
        """Return whether a frame has been incomplete for too long."""
        # Unread input may be the rest of it: timers run before sockets after a pause of the process.
        is_late = 0.0 < self._partial_frame_since < self._clock.now() - FRAME_TIMEOUT_MS
        return is_late and not self._connection.has_input()

    def reject_incomplete_frame(self) -> None:
        """Stop processing input of a client whose frame is overdue; its open pulls are still answered."""
        if not self.is_idle and not self._is_closing and self._is_frame_overdue():
            self.reject_input(0, "a frame that does not end")

    def has_stalled_frame(self) -> bool:
        """Return whether an incomplete frame holds buffers although nothing comes for it."""
        is_late = self.received_at < self._clock.now() - STALLED_FRAME_MS
        return is_late and self._decoder.holds_buffers and not self._connection.has_input()

    def discard_partial_frame(self) -> None:
        """Release the buffers of an incomplete frame; if it still ends, its pull is shed."""
        COUNTERS.add("client.frame_discarded")
        self._decoder.discard_partial_frame()

    async def run(self, draining: bool) -> None:
        """Serve the connection until it ends."""
        if draining:
            self.send_no_more()
        try:
            await self._connection.run(self._feed, self._withdraw, self._may_read)
        finally:
            self._decoder.close()
            self._withdraw()
            if self._close_reason != "the client":
                log_event("client.ended", why=self._close_reason, pending=0)

    def withdraw_if_disconnected(self) -> None:
        """Withdraw its pulls if the client has closed the connection, even if that is still unread."""
        if self._open_streams and self._connection.remote_has_closed():
            self._withdraw()

    def _withdraw(self) -> None:
        if self._open_streams:
            log_event("client.ended", why=self._close_reason, pending=len(self._open_streams))
        for stream in sorted(self._open_streams):
            self._pull_handler.hang_up(self, stream)
        self._open_streams.clear()

    def awaits(self, stream: int) -> bool:
        """Return whether the client still waits for an answer on this stream."""
        return stream in self._open_streams

    def send_no_more(self) -> None:
        """Ask the client to send no new pull on this connection."""
        self._connection.send([write_frame(FrameType.NO_MORE, 0)])

    def close(self, reason: str) -> None:
        """Close the connection at once: unwritten answers are lost."""
        self._close_reason = reason
        self._connection.close()

    def close_gracefully(self, reason: str) -> None:
        """Close the connection and process no more input; what has been sent still reaches the client."""
        self._close_reason = reason
        self._stop_processing_input()
        self._connection.close_gracefully()

    def _stop_processing_input(self) -> None:
        self._is_closing = True
        self._decoder.close()

    def _may_read(self) -> bool:
        """Return whether input is read.

        If no more of it is processed, it is not read past a bound while answers are pending: a flood then
        stays in the client's send buffer, and the pending answers are not lost.
        """
        return not self._is_closing or self._discarded_bytes <= MAX_FRAME_LENGTH or self.is_idle

    def _feed(self, data: memoryview) -> int:
        if self._is_closing:
            self._discarded_bytes += len(data)
            return len(data)
        self.received_at = self._clock.now()
        frames: list[Frame] = []
        error_text = ""
        try:
            self._decoder.feed(data, frames)
        except ProtocolError as error:
            error_text = str(error)
        if frames:
            self._has_sent_frame, self.used_at = True, self._clock.now()
        for frame in frames:
            if self._is_closing:
                frame.free()
            else:
                self._handle_frame(frame)
        if frames or not self._partial_frame_since:
            self._partial_frame_since = self._clock.now() if self._decoder.has_partial_frame else 0.0
        if error_text and not self._is_closing:
            self.reject_input(0, error_text)
        return len(data)

    def _close_if_done(self) -> None:
        if self._is_closing and self.is_idle:
            self._connection.close_gracefully()

    def _handle_frame(self, frame: Frame) -> None:
        if self._connection.queued_messages >= MAX_QUEUED_ANSWERS:
            self.reject_input(0, "too many answers are left unread")
            frame.free()
            return
        COUNTERS.add(
            f"client.frame.{frame.type}" if frame.type in CLIENT_FRAME_TYPES else "client.frame.unknown"
        )
        match frame.type:
            case FrameType.PULL:
                self._handle_pull(frame)
                return
            case FrameType.HANG_UP:
                if frame.stream in self._open_streams:
                    self._open_streams.discard(frame.stream)
                    self._pull_handler.hang_up(self, frame.stream)
            case FrameType.READY:
                self._connection.send([write_readiness(frame.stream, self._pull_handler.is_ready())])
            case _:
                self.reject_input(0, f"an unknown type {frame.type}")
        frame.free()

    def _handle_pull(self, frame: Frame) -> None:
        stream = frame.stream
        if stream <= self._highest_stream:
            self.reject_input(0, f"stream {stream} is not new")
            frame.free()
            return
        self._highest_stream = stream
        try:
            if len(self._open_streams) >= MAX_OPEN_PULLS:
                raise ProtocolError("too many are open on this connection")
            request = self._read_request(frame)
        except ProtocolError as error:
            self.reject_input(stream, str(error))
            frame.free()
            return
        self._open_streams.add(stream)
        if request is None or not self._pull_handler.submit_pull(self, stream, request):
            self.answer_shed(stream, 0.0)
            frame.free()

    def _read_request(self, frame: Frame) -> PullRequest | None:
        """Decode a pull and reserve its memory; None if there is none for it, now or as it arrived."""
        if frame.is_discarded:
            COUNTERS.add("pull.no_buffers")
            return None
        request = read_pull_request(frame)
        size = REQUEST_BYTES + len(frame.payload)
        if not self._account.reserve(size):
            COUNTERS.add("pull.no_memory")
            return None
        frame.payload_buffer = ReservedBody(frame.payload, frame.payload_buffer, self._account, size)
        frame.payload = b""
        return request

    def reject_input(self, stream: int, reason: str) -> None:
        """Answer with an error, process no more input, and close the connection once no pull is open.

        This protects other clients from one that floods, or repeats its input as soon as it gets the error.
        """
        COUNTERS.add("client.bad_input")
        log_event("client.unusable", why=reason)
        self._close_reason = "unusable input"
        self._stop_processing_input()
        self._open_streams.discard(stream)
        self._connection.send([write_errored(stream, reason)], lambda _: self._close_if_done())

    def answer_served(self, stream: int, copy_holds: bool, body: Body | None) -> None:
        """Answer a pull with `body`, whose buffers are freed once it is written or cannot be."""
        views = body.views() if body is not None else []
        head = write_served(stream, copy_holds, sum(len(view) for view in views))
        self._answer(stream, "served", [head, *views], body)

    def answer_shed(self, stream: int, come_back_in: float) -> None:
        """Answer that the pull was shed: a retry, after `come_back_in` ms, is harmless."""
        self._answer(stream, "shed", [write_shed(stream, come_back_in)])

    def answer_errored(self, stream: int, reason: str = "") -> None:
        """Answer that the pull failed."""
        self._answer(stream, "errored", [write_errored(stream, reason)])

    def _answer(self, stream: int, outcome: str, chunks: list[Chunk], body: Body | None = None) -> None:
        if stream not in self._open_streams:  # its client has left, and the handler has yet to process that
            COUNTERS.add("answer.hung_up")
            if body is not None:
                body.free()
            return
        self._open_streams.discard(stream)
        self.used_at = self._clock.now()

        def on_written(is_complete: bool) -> None:
            if body is not None:
                body.free()
            COUNTERS.add(f"answer.{outcome}" if is_complete else "answer.not_written")
            self._close_if_done()

        self._connection.send(chunks, on_written)
