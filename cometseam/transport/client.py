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
SENT = (FrameType.PULL, FrameType.HANG_UP, FrameType.READY)
MAX_OPEN_PULLS = 32  # pulls open on a connection
FIRST_WORD, IDLE = 2000.0, 4500.0  # ms
LOOK = 0.25  # s between two looks for what has lasted too long
ACCEPTED = 16  # connections taken in one turn of the loop
SPARE = 16  # part of the places that those on their way out may have beside those that are served
# ms by the protocol in which what a client sends may cross the end of its connection.
CLOSE_CROSSING_MS = 50.0


class PullHandler(Protocol):
    """Where pulls go."""

    def is_ready(self) -> bool:
        """Tell whether the front can serve."""

    def submit_pull(self, client: "Client", stream: int, order: PullRequest) -> bool:
        """Take a pull in, and with it what its frame holds; False where there is no room for it now."""

    def hang_up(self, client: "Client", stream: int) -> None:
        """Nobody waits for this stream any more."""


class Client:
    """One connection of a client."""

    def __init__(
        self, sock: socket.socket, pool: BufferPool, clock: Clock, pulls: PullHandler, address: str = ""
    ) -> None:
        self.address = address_number(address)  # as a number: routes and budgets may go by it
        self._connection = Connection(sock, pool, clock)
        self._decoder = Decoder(pool.allocate)
        self._clock, self._pulls = clock, pulls
        self._open: set[int] = set()  # streams that are owed an answer
        self._highest = 0
        self._half_since = 0.0  # when the frame that is half read began; 0: there is none
        self._spoke = False  # has sent a whole frame
        self.used_at = clock.now()  # when it last sent a whole frame or was answered
        self._ending = False  # sent what can't be used: it ends when nothing is open on it any more
        self._passed_over = 0  # bytes that came after that
        self._came_at = clock.now()
        self._ended_by = "the client"  # or why this program ended the connection

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it or on its way out."""
        return not self._open and not self._connection.is_write_blocked

    @property
    def is_closable(self) -> bool:
        """Tell whether its end would cost nothing that has come so far, in part or whole."""
        return self.is_idle and not self._decoder.has_partial_frame and not self._connection.has_input()

    @property
    def is_drained(self) -> bool:
        """Tell whether nothing has come on it that is still to be answered."""
        return self._ending or self.is_closable

    def is_evictable(self, greets_within: float) -> bool:
        """Tell whether it may give its place: the first pull of a new one may still be on its way."""
        return self.is_closable and (self._spoke or self._came_at < self._clock.now() - greets_within)

    def is_stalled(self, longest: float) -> bool:
        """Tell whether it has left an answer half read for longer than that."""
        if (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - longest
        ):
            self._connection.flush()  # this program may have stood still, and the client reads well
        return (
            self._connection.is_write_blocked
            and self._connection.write_blocked_since < self._clock.now() - longest
        )

    def is_overdue(self) -> bool:
        """Tell whether it has held a place for too long with nothing that is open."""
        if self.is_idle and self._is_half():
            return True
        if self._spoke:  # a frame that begins just then is waited for: `_is_half` bounds that
            return self.is_closable and self.used_at < self._clock.now() - IDLE
        silent = self.is_idle and not self._connection.has_input()
        return silent and self.used_at < self._clock.now() - FIRST_WORD

    def _is_half(self) -> bool:
        """Tell whether a frame has been half read for too long, and not for want of room here."""
        if self._connection.starved and self._half_since:
            self._half_since = self._clock.now()
        # What lies unread may be its rest: after a stand-still of this program timers run first.
        late = 0.0 < self._half_since < self._clock.now() - FIRST_WORD
        return late and not self._connection.has_input()

    def reject_incomplete_frame(self) -> None:
        """Take no more from a client whose frame does not end; pulls open on it are still answered."""
        if not self.is_idle and not self._ending and self._is_half():
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
            if self._ended_by != "the client":
                log_event("client.ended", why=self._ended_by, pending=0)

    def withdraw_if_disconnected(self) -> None:
        """Look whether the client has left, also where that is still unread; its pulls are withdrawn then."""
        if self._open and self._connection.remote_has_closed():
            self._withdraw()

    def _withdraw(self) -> None:
        if self._open:
            log_event("client.ended", why=self._ended_by, pending=len(self._open))
        for stream in sorted(self._open):
            self._pulls.hang_up(self, stream)
        self._open.clear()

    def awaits(self, stream: int) -> bool:
        """Tell whether an answer on this stream is still wanted."""
        return stream in self._open

    def send_no_more(self) -> None:
        """Say that no new pull should come on this connection."""
        self._connection.send([write_frame(FrameType.NO_MORE, 0)])

    def close(self, why: str) -> None:
        """End the connection at once: what is on its way out is lost."""
        self._ended_by = why
        self._connection.close()

    def close_gracefully(self, why: str) -> None:
        """End the connection, and take no more from it; what has been written reaches the client."""
        self._ended_by = why
        self._ending = True
        self._connection.close_gracefully()

    def _feed(self, data: memoryview) -> int:
        if self._ending:
            # Past the bound it is not read while it is owed something: what it floods us with waits at its
            # side, and answers that are owed on it are not lost.
            if self._passed_over > MAX_FRAME_LENGTH and not self.is_idle:
                return 0
            self._passed_over += len(data)
            return len(data)
        frames: list[Frame] = []
        taken, lost = len(data), ""
        try:
            taken = self._decoder.feed(data, frames)
        except ProtocolError as error:
            lost = str(error)
        if frames:
            self._spoke, self.used_at = True, self._clock.now()
        for frame in frames:
            if self._ending:
                frame.free()
            else:
                self._take(frame)
        if frames or not self._half_since:
            self._half_since = self._clock.now() if self._decoder.has_partial_frame else 0.0
        if lost and not self._ending:
            self.reject_input(0, lost)
        return len(data) if self._ending else taken

    def _end_if_done(self) -> None:
        if self._ending and self.is_idle:
            self._connection.close_gracefully()

    def _take(self, frame: Frame) -> None:
        COUNTERS.add(f"client.frame.{frame.type}" if frame.type in SENT else "client.frame.unknown")
        match frame.type:
            case FrameType.PULL:
                self._take_pull(frame)
                return
            case FrameType.HANG_UP:
                if frame.stream in self._open:
                    self._open.discard(frame.stream)
                    self._pulls.hang_up(self, frame.stream)
            case FrameType.READY:
                self._connection.send([write_readiness(frame.stream, self._pulls.is_ready())])
            case _:
                self.reject_input(0, f"an unknown type {frame.type}")
        frame.free()

    def _take_pull(self, frame: Frame) -> None:
        stream = frame.stream
        if stream <= self._highest:
            self.reject_input(0, f"stream {stream} is not new")
            frame.free()
            return
        self._highest = stream
        try:
            if len(self._open) >= MAX_OPEN_PULLS:
                raise ProtocolError("too many are open on this connection")
            order = read_pull_request(frame)
        except ProtocolError as error:
            self.reject_input(stream, str(error))
            frame.free()
            return
        self._open.add(stream)
        if not self._pulls.submit_pull(self, stream, order):
            self.answer_shed(stream, 0.0)
            frame.free()

    def reject_input(self, stream: int, why: str) -> None:
        """Tell what can't be used, take no more from it, and end it when nothing is open on it any more.

        Guards the others against a client that floods, or sends the same again as soon as it is told.
        """
        COUNTERS.add("client.bad_input")
        log_event("client.unusable", why=why)
        self._ending, self._ended_by = True, "unusable input"
        self._open.discard(stream)
        self._connection.send([write_errored(stream, why)], lambda _: self._end_if_done())

    def answer_served(self, stream: int, copy_holds: bool, body: Body | None) -> None:
        """Answer a pull with its bytes; they are given back when they are written or can't be."""
        views = body.views() if body is not None else []
        head = write_served(stream, copy_holds, sum(len(view) for view in views))
        self._answer(stream, "served", [head, *views], body)

    def answer_shed(self, stream: int, come_back_in: float) -> None:
        """Answer that trying again is harmless."""
        self._answer(stream, "shed", [write_shed(stream, come_back_in)])

    def answer_errored(self, stream: int, why: str = "") -> None:
        """Answer that a pull was not done."""
        self._answer(stream, "errored", [write_errored(stream, why)])

    def _answer(self, stream: int, name: str, parts: list[Chunk], body: Body | None = None) -> None:
        if stream not in self._open:  # nobody waits any more, and that is still to be handled
            COUNTERS.add("answer.hung_up")
            if body is not None:
                body.free()
            return
        self._open.discard(stream)
        self.used_at = self._clock.now()

        def written(whole: bool) -> None:
            if body is not None:
                body.free()
            COUNTERS.add(f"answer.{name}" if whole else "answer.not_written")
            self._end_if_done()

        self._connection.send(parts, written)


class Listener:
    """Takes in connections of clients, no more than it may hold: past that the longest idle one ends.

    It ends write side first and is read to a bound, so that what crosses its end destroys no answer.
    """

    def __init__(
        self, address: tuple[str, int], max_clients: int, pool: BufferPool, clock: Clock, pulls: PullHandler,
        first_pull_timeout: float = 0.0,
    ) -> None:  # fmt: skip
        self.max_clients, self._pool, self._clock, self._pulls = max_clients, pool, clock, pulls
        self._greets_within = first_pull_timeout  # ms by which a new connection's first pull has come
        self.clients: set[Client] = set()  # a client leaves when its connection has ended
        # Those that were ended, and when; they are still read to a bound. They hold descriptors: with
        # `clients` they are at most `_bound`, and the one that was ended first gives its place at once.
        self._leaving: dict[Client, float] = {}
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
            for _ in range(ACCEPTED):
                taken = self.accept()
                if taken is None:
                    await anyio.sleep(0.01)  # no place, or no descriptor: those that end make room
                if not taken:
                    break

    def accept(self) -> bool | None:
        """Take one connection in; False where none waits, None where there is no place for it now."""
        if self._tasks is None or self._sock.fileno() < 0:
            return False
        places = len(self.clients) + len(self._leaving)
        idlest = self._idlest() if places >= self.max_clients and not self._leaving else None
        if places >= self.max_clients and idlest is None and not self._leaving:
            return None
        if places >= self._bound:
            # The descriptor is wanted now. Past the time in which what a client sent may cross the end, a
            # reset can destroy nothing any more.
            ended_first, at = next(iter(self._leaving.items()), (None, 0.0))
            if ended_first is None or self._clock.now() - at < CLOSE_CROSSING_MS:
                return None
            del self._leaving[ended_first]
            ended_first.close("its place is wanted")
        try:
            sock, (address, *_) = self._sock.accept()
            client = Client(sock, self._pool, self._clock, self._pulls, address)
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
        if idlest is not None:
            COUNTERS.add("client.gave_place")
            self._end(idlest, "gave its place")
        self.clients.add(client)
        COUNTERS.record_max("client.connections", len(self.clients))
        self._tasks.start_soon(self._serve, client)
        return True

    @property
    def _bound(self) -> int:
        """Tell how many connections it may hold with those on their way out."""
        return self.max_clients + max(self.max_clients // SPARE, 1)

    def _idlest(self) -> Client | None:
        """Return the connection that has been idle longest, if there is one on which nothing is open."""
        by_age = sorted(self.clients, key=lambda client: client.used_at)
        return next((client for client in by_age if client.is_evictable(self._greets_within)), None)

    def _end(self, client: Client, why: str) -> None:
        """End a connection; its descriptor is free when its client has seen that."""
        self.clients.discard(client)
        self._leaving[client] = self._clock.now()
        client.close_gracefully(why)

    @property
    def is_empty(self) -> bool:
        """Tell whether no connection is left, not even one that has been ended and is still read."""
        return not self.clients and not self._leaving

    def begin_shutdown(self) -> None:
        """End all connections, and take no more in: the front ends. What has been written reaches clients."""
        anyio.notify_closing(self._sock)
        self._sock.close()
        for client in [*self.clients, *self._leaving]:
            client.close_gracefully("the front ends")

    async def _serve(self, client: Client) -> None:
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            log_event("client.failed", error)
        finally:
            self.clients.discard(client)
            self._leaving.pop(client, None)

    async def close_overdue(self, longest: float) -> None:
        """End what holds a place or buffers for longer than it may, for ever."""
        while True:
            await anyio.sleep(LOOK)
            self.close_stalled(longest)
            for client in list(self.clients):
                client.reject_incomplete_frame()
                if client.is_overdue():
                    COUNTERS.add("client.overdue")
                    self._end(client, "overdue")

    def close_stalled(self, longest: float) -> None:
        """End the connections that have kept buffers busy for so long: others wait for these."""
        for client in list(self.clients):
            if client.is_stalled(longest):
                COUNTERS.add("client.stalled")
                client.close("stalled")  # its buffers are wanted at once, and it takes nothing
                self.clients.discard(client)

    def drain(self) -> None:
        """Ask all clients to send no new pull, those to come as well."""
        self._draining = True
        for client in list(self.clients):
            client.send_no_more()
