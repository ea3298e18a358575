"""Connections of clients, and the listener that takes them in."""

import socket
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS
from cometseam.events import log_event
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
from cometseam.transport.buffers import BufferPool
from cometseam.transport.clock import Clock
from cometseam.transport.connection import Chunk, Connection

# By the protocol. What is unusable is told within 3 s of connecting: what has sent nothing whole, or part of
# a frame, has a second less. Clients end what is idle for 4 s: what stays longer is in nobody's use.
CLIENT_FRAME_TYPES = (FrameType.PULL, FrameType.HANG_UP, FrameType.READY)
MAX_OPEN_PULLS = 32  # pulls open on a connection
FRAME_TIMEOUT_MS = 2000.0
IDLE_TIMEOUT_MS = 4500.0
CHECK_INTERVAL_S = 0.25  # s between two looks for what has lasted too long
MAX_ACCEPTS_PER_TURN = 16  # connections taken in one turn of the loop
CLOSING_DIVISOR = 16  # part of the places that those on their way out may have beside those that are served
CLOSE_CROSSING_MS = (
    50.0  # ms by the protocol in which what a client sends may cross the end of its connection
)


class PullHandler(Protocol):
    """Where pulls go."""

    def is_ready(self) -> bool:
        """Tell whether the front can serve."""

    def submit_pull(self, client: "Client", stream: int, request: PullRequest) -> bool:
        """Take a pull in, and with it what its frame holds; False where there is no room for it now."""

    def hang_up(self, client: "Client", stream: int) -> None:
        """Nobody waits for this stream any more."""


class Client:
    """One connection of a client."""

    def __init__(
        self,
        sock: socket.socket,
        pool: BufferPool,
        clock: Clock,
        pull_handler: PullHandler,
        address: str = "",
    ) -> None:
        self.address = address_number(address)  # as a number: routes and budgets may go by it
        self._connection = Connection(sock, pool, clock)
        self._decoder = Decoder(pool.allocate)
        self._clock, self._pull_handler = clock, pull_handler
        self._open_streams: set[int] = set()  # streams that are owed an answer
        self._highest_stream = 0
        self._partial_frame_since = 0.0  # when the frame that is half read began; 0: there is none
        self._has_sent_frame = False  # has sent a whole frame
        self.used_at = clock.now()  # when it last sent a whole frame or was answered
        self._is_closing = False  # sent what can't be used: it ends when nothing is open on it any more
        self._discarded_bytes = 0  # bytes that came after that
        self._connected_at = clock.now()
        self._close_reason = "the client"  # or why this program ended the connection

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it or on its way out."""
        return not self._open_streams and not self._connection.is_write_blocked

    @property
    def is_closable(self) -> bool:
        """Tell whether its end would cost nothing that has come so far, in part or whole."""
        return self.is_idle and not self._decoder.has_partial_frame and not self._connection.has_input()

    @property
    def is_drained(self) -> bool:
        """Tell whether nothing has come on it that is still to be answered."""
        return self._is_closing or self.is_closable

    def is_evictable(self, first_pull_timeout: float) -> bool:
        """Tell whether it may give its place: the first pull of a new one may still be on its way."""
        return self.is_closable and (
            self._has_sent_frame or self._connected_at < self._clock.now() - first_pull_timeout
        )

    def is_stalled(self, stall_timeout: float) -> bool:
        """Tell whether it has left an answer half read for longer than that."""
        if (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - stall_timeout
        ):
            self._connection.flush()  # this program may have stood still, and the client reads well
        return (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - stall_timeout
        )

    def is_overdue(self) -> bool:
        """Tell whether it has held a place for too long with nothing that is open."""
        if self.is_idle and self._is_frame_overdue():
            return True
        if self._has_sent_frame:  # a frame that begins just then is waited for: `_is_half` bounds that
            return self.is_closable and self.used_at < self._clock.now() - IDLE_TIMEOUT_MS
        is_silent = self.is_idle and not self._connection.has_input()
        return is_silent and self.used_at < self._clock.now() - FRAME_TIMEOUT_MS

    def _is_frame_overdue(self) -> bool:
        """Tell whether a frame has been half read for too long, and not for want of room here."""
        if self._connection.starved and self._partial_frame_since:
            self._partial_frame_since = self._clock.now()
        # What lies unread may be its rest: after a stand-still of this program timers run first.
        is_late = 0.0 < self._partial_frame_since < self._clock.now() - FRAME_TIMEOUT_MS
        return is_late and not self._connection.has_input()

    def reject_incomplete_frame(self) -> None:
        """Take no more from a client whose frame does not end; pulls open on it are still answered."""
        if not self.is_idle and not self._is_closing and self._is_frame_overdue():
            self.reject_input(0, "a frame that does not end")

    async def run(self, draining: bool) -> None:
        """Serve it until it ends."""
        if draining:
            self.send_no_more()
        try:
            await self._connection.run(self._feed, self._withdraw)
        finally:
            self._decoder.close()
            self._withdraw()
            if self._close_reason != "the client":
                log_event("client.ended", why=self._close_reason, pending=0)

    def withdraw_if_disconnected(self) -> None:
        """Look whether the client has left, also where that is still unread; its pulls are withdrawn then."""
        if self._open_streams and self._connection.remote_has_closed():
            self._withdraw()

    def _withdraw(self) -> None:
        if self._open_streams:
            log_event("client.ended", why=self._close_reason, pending=len(self._open_streams))
        for stream in sorted(self._open_streams):
            self._pull_handler.hang_up(self, stream)
        self._open_streams.clear()

    def awaits(self, stream: int) -> bool:
        """Tell whether an answer on this stream is still wanted."""
        return stream in self._open_streams

    def send_no_more(self) -> None:
        """Say that no new pull should come on this connection."""
        self._connection.send([write_frame(FrameType.NO_MORE, 0)])

    def close(self, reason: str) -> None:
        """End the connection at once: what is on its way out is lost."""
        self._close_reason = reason
        self._connection.close()

    def close_gracefully(self, reason: str) -> None:
        """End the connection, and take no more from it; what has been written reaches the client."""
        self._close_reason = reason
        self._is_closing = True
        self._connection.close_gracefully()

    def _feed(self, data: memoryview) -> int:
        if self._is_closing:
            # Past the bound it is not read while it is owed something: what it floods us with waits at its
            # side, and answers that are owed on it are not lost.
            if self._discarded_bytes > MAX_FRAME_LENGTH and not self.is_idle:
                return 0
            self._discarded_bytes += len(data)
            return len(data)
        frames: list[Frame] = []
        consumed, error_text = len(data), ""
        try:
            consumed = self._decoder.feed(data, frames)
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
        return len(data) if self._is_closing else consumed

    def _close_if_done(self) -> None:
        if self._is_closing and self.is_idle:
            self._connection.close_gracefully()

    def _handle_frame(self, frame: Frame) -> None:
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
            request = read_pull_request(frame)
        except ProtocolError as error:
            self.reject_input(stream, str(error))
            frame.free()
            return
        self._open_streams.add(stream)
        if not self._pull_handler.submit_pull(self, stream, request):
            self.answer_shed(stream, 0.0)
            frame.free()

    def reject_input(self, stream: int, reason: str) -> None:
        """Tell what can't be used, take no more from it, and end it when nothing is open on it any more.

        Guards the others against a client that floods, or sends the same again as soon as it is told.
        """
        COUNTERS.add("client.bad_input")
        log_event("client.unusable", why=reason)
        self._is_closing, self._close_reason = True, "unusable input"
        self._open_streams.discard(stream)
        self._connection.send([write_errored(stream, reason)], lambda _: self._close_if_done())

    def answer_served(self, stream: int, copy_holds: bool, body: Body | None) -> None:
        """Answer a pull with its bytes; they are given back when they are written or can't be."""
        views = body.views() if body is not None else []
        head = write_served(stream, copy_holds, sum(len(view) for view in views))
        self._answer(stream, "served", [head, *views], body)

    def answer_shed(self, stream: int, come_back_in: float) -> None:
        """Answer that trying again is harmless."""
        self._answer(stream, "shed", [write_shed(stream, come_back_in)])

    def answer_errored(self, stream: int, reason: str = "") -> None:
        """Answer that a pull was not done."""
        self._answer(stream, "errored", [write_errored(stream, reason)])

    def _answer(self, stream: int, outcome: str, chunks: list[Chunk], body: Body | None = None) -> None:
        if stream not in self._open_streams:  # nobody waits any more, and that is still to be handled
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


class Listener:
    """Takes in connections of clients, no more than it may hold: past that the longest idle one ends.

    It ends write side first and is read to a bound, so that what crosses its end destroys no answer.
    """

    def __init__(
        self, address: tuple[str, int], max_clients: int, pool: BufferPool, clock: Clock, pull_handler: PullHandler,
        first_pull_timeout: float = 0.0,
    ) -> None:  # fmt: skip
        self.max_clients, self._pool, self._clock, self._pull_handler = max_clients, pool, clock, pull_handler
        self._first_pull_timeout = first_pull_timeout  # ms by which a new connection's first pull has come
        self.clients: set[Client] = set()  # a client leaves when its connection has ended
        # Those that were ended, and when; they are still read to a bound. They hold descriptors: with
        # `clients` they are at most `_bound`, and the one that was ended first gives its place at once.
        self._closing: dict[Client, float] = {}
        self._tasks: TaskGroup | None = None
        self._draining = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(socket.SOMAXCONN)
        self._sock.setblocking(False)

    async def run(self, tasks: TaskGroup) -> None:
        """Accept for ever."""
        self._tasks = tasks
        while True:
            try:
                await anyio.wait_readable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return  # by `begin_shutdown`
            for _ in range(MAX_ACCEPTS_PER_TURN):
                accepted = self.accept()
                if accepted is None:
                    await anyio.sleep(0.01)  # no place, or no descriptor: those that end make room
                if not accepted:
                    break

    def accept(self) -> bool | None:
        """Take one connection in; False where none waits, None where there is no place for it now."""
        if self._tasks is None or self._sock.fileno() < 0:
            return False
        connection_count = len(self.clients) + len(self._closing)
        idle_client = (
            self._longest_idle() if connection_count >= self.max_clients and not self._closing else None
        )
        if connection_count >= self.max_clients and idle_client is None and not self._closing:
            return None
        if connection_count >= self._max_connections:
            # The descriptor is wanted now. Past the time in which what a client sent may cross the end, a
            # reset can destroy nothing any more.
            oldest_closing, closing_since = next(iter(self._closing.items()), (None, 0.0))
            if oldest_closing is None or self._clock.now() - closing_since < CLOSE_CROSSING_MS:
                return None
            del self._closing[oldest_closing]
            oldest_closing.close("its place is wanted")
        try:
            sock, (address, *_) = self._sock.accept()
            client = Client(sock, self._pool, self._clock, self._pull_handler, address)
        except BlockingIOError:
            return False
        except (ConnectionAbortedError, InterruptedError):  # the next one may be waiting behind it
            COUNTERS.add("client.aborted")
            return None
        except OSError as error:
            COUNTERS.add("client.not_accepted")
            log_event("client.not_accepted", why=str(error))
            return None
        COUNTERS.add("client.accepted")
        if idle_client is not None:
            COUNTERS.add("client.gave_place")
            self._close_client(idle_client, "gave its place")
        self.clients.add(client)
        COUNTERS.record_max("client.connections", len(self.clients))
        self._tasks.start_soon(self._serve, client)
        return True

    @property
    def _max_connections(self) -> int:
        """Tell how many connections it may hold with those on their way out."""
        return self.max_clients + max(self.max_clients // CLOSING_DIVISOR, 1)

    def _longest_idle(self) -> Client | None:
        """Return the connection that has been idle longest, if there is one on which nothing is open."""
        by_age = sorted(self.clients, key=lambda client: client.used_at)
        return next((client for client in by_age if client.is_evictable(self._first_pull_timeout)), None)

    def _close_client(self, client: Client, reason: str) -> None:
        """End a connection; its descriptor is free when its client has seen that."""
        self.clients.discard(client)
        self._closing[client] = self._clock.now()
        client.close_gracefully(reason)

    @property
    def is_empty(self) -> bool:
        """Tell whether no connection is left, not even one that has been ended and is still read."""
        return not self.clients and not self._closing

    def begin_shutdown(self) -> None:
        """End all connections, and take no more in: the front ends. What has been written reaches clients."""
        anyio.notify_closing(self._sock)
        self._sock.close()
        for client in [*self.clients, *self._closing]:
            client.close_gracefully("the front ends")

    async def _serve(self, client: Client) -> None:
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            log_event("client.failed", error)
        finally:
            self.clients.discard(client)
            self._closing.pop(client, None)

    async def close_overdue(self, stall_timeout: float) -> None:
        """End what holds a place or buffers for longer than it may, for ever."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.close_stalled(stall_timeout)
            for client in list(self.clients):
                client.reject_incomplete_frame()
                if client.is_overdue():
                    COUNTERS.add("client.overdue")
                    self._close_client(client, "overdue")

    def close_stalled(self, stall_timeout: float) -> None:
        """End the connections that have kept buffers busy for so long: others wait for these."""
        for client in list(self.clients):
            if client.is_stalled(stall_timeout):
                COUNTERS.add("client.stalled")
                client.close("stalled")  # its buffers are wanted at once, and it takes nothing
                self.clients.discard(client)

    def drain(self) -> None:
        """Ask all clients to send no new pull, those to come as well."""
        self._draining = True
        for client in list(self.clients):
            client.send_no_more()
