"""Connections of clients, and the listener that takes them in."""

import socket
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS
from cometseam.events import say
from cometseam.protocol import Body, Malformed
from cometseam.protocol.frames import (
    MOST,
    Decoder,
    Frame,
    Order,
    Type,
    read_order,
    write_errored,
    write_frame,
    write_readiness,
    write_served,
    write_shed,
)  # fmt: skip
from cometseam.timing import whole_address
from cometseam.transport.buffers import Pool
from cometseam.transport.clock import Clock
from cometseam.transport.connection import Connection, Part

# By the protocol. What is unusable is told within 3 s of connecting: what has sent nothing whole, or part of
# a frame, has a second less. Clients end what is idle for 4 s: what stays longer is in nobody's use.
SENT = (Type.PULL, Type.HANG_UP, Type.READY)
MOST_OPEN = 32  # pulls open on a connection
FIRST_WORD, IDLE = 2000.0, 4500.0  # ms
LOOK = 0.25  # s between two looks for what has lasted too long
ACCEPTED = 16  # connections taken in one turn of the loop


class Pulls(Protocol):
    """Where pulls go."""

    def is_ready(self) -> bool:
        """Tell whether the front can serve."""

    def take(self, client: "Client", stream: int, order: Order) -> bool:
        """Take a pull in, and with it what its frame holds; False where there is no room for it now."""

    def hang_up(self, client: "Client", stream: int) -> None:
        """Nobody waits for this stream any more."""


class Client:
    """One connection of a client."""

    def __init__(
        self, sock: socket.socket, pool: Pool, clock: Clock, pulls: Pulls, address: str = ""
    ) -> None:
        self.address = whole_address(address)  # as a number: routes and budgets may go by it
        self._connection = Connection(sock, pool, clock)
        self._decoder = Decoder(pool.room)
        self._clock, self._pulls = clock, pulls
        self._open: set[int] = set()  # streams that are owed an answer
        self._highest = 0
        self._half_since = 0.0  # when the frame that is half read began; 0: there is none
        self._spoke = False  # has sent a whole frame
        self.used_at = clock.now()  # when it last sent a whole frame or was answered
        self._ending = False  # sent what can't be used: it ends when nothing is open on it any more
        self._passed_over = 0  # bytes that came after that

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it or on its way out."""
        return not self._open and not self._connection.is_stuck

    @property
    def is_spare(self) -> bool:
        """Tell whether its end would cost nothing that has come so far."""
        return self.is_idle and not self._connection.has_input()

    def is_stalled(self, longest: float) -> bool:
        """Tell whether it has left an answer half read for longer than that."""
        return self._connection.is_stuck and self._connection.stuck_since < self._clock.now() - longest

    def is_overdue(self) -> bool:
        """Tell whether it has held a place for too long with nothing that is open."""
        now = self._clock.now()
        if 0.0 < self._half_since < now - FIRST_WORD:
            return True
        return self.is_spare and self.used_at < now - (IDLE if self._spoke else FIRST_WORD)

    async def run(self, draining: bool) -> None:
        """Serve it until it ends."""
        if draining:
            self.tell_no_more()
        try:
            await self._connection.run(self._feed)
        finally:
            self._decoder.close()
            for stream in sorted(self._open):
                self._pulls.hang_up(self, stream)
            self._open.clear()

    def awaits(self, stream: int) -> bool:
        """Tell whether an answer on this stream is still wanted."""
        return stream in self._open

    def tell_no_more(self) -> None:
        """Say that no new pull should come on this connection."""
        self._connection.send([write_frame(Type.NO_MORE, 0)])

    def close(self) -> None:
        """End the connection."""
        self._connection.close()

    def _feed(self, data: memoryview) -> int:
        if self._ending:
            self._passed_over += len(data)
            if self._passed_over > MOST:  # what is open on it no longer counts for more than reading this
                self.close()
            return len(data)
        frames: list[Frame] = []
        taken, lost = len(data), ""
        try:
            taken = self._decoder.feed(data, frames)
        except Malformed as error:
            lost = str(error)
        if frames:
            self._spoke, self.used_at = True, self._clock.now()
        for frame in frames:
            if self._ending:
                frame.free()
            else:
                self._take(frame)
        if frames or not self._half_since:
            self._half_since = self._clock.now() if self._decoder.is_inside else 0.0
        if lost and not self._ending:
            self.unusable(0, lost)
        return len(data) if self._ending else taken

    def _end_if_done(self) -> None:
        if self._ending and self.is_idle:
            self.close()

    def _take(self, frame: Frame) -> None:
        COUNTERS.add(f"client.frame.{frame.type}" if frame.type in SENT else "client.frame.unknown")
        match frame.type:
            case Type.PULL:
                self._take_pull(frame)
                return
            case Type.HANG_UP:
                if frame.stream in self._open:
                    self._open.discard(frame.stream)
                    self._pulls.hang_up(self, frame.stream)
            case Type.READY:
                self._connection.send([write_readiness(frame.stream, self._pulls.is_ready())])
            case _:
                self.unusable(0, f"an unknown type {frame.type}")
        frame.free()

    def _take_pull(self, frame: Frame) -> None:
        stream = frame.stream
        if stream <= self._highest:
            self.unusable(0, f"stream {stream} is not new")
            frame.free()
            return
        self._highest = stream
        try:
            if len(self._open) >= MOST_OPEN:
                raise Malformed("too many are open on this connection")
            order = read_order(frame)
        except Malformed as error:
            self.unusable(stream, str(error))
            frame.free()
            return
        self._open.add(stream)
        if not self._pulls.take(self, stream, order):
            self.shed(stream, 0.0)
            frame.free()

    def unusable(self, stream: int, why: str) -> None:
        """Tell what can't be used, take no more from it, and end it when nothing is open on it any more.

        Guards the others against a client that floods, or sends the same again as soon as it is told.
        """
        COUNTERS.add("client.bad_input")
        say("client.unusable", why=why)
        self._ending = True
        self._open.discard(stream)
        self._connection.send([write_errored(stream, why)], lambda _: self._end_if_done())

    def served(self, stream: int, copy_holds: bool, body: Body | None) -> None:
        """Answer a pull with its bytes; they are given back when they are written or can't be."""
        views = body.views() if body is not None else []
        head = write_served(stream, copy_holds, sum(len(view) for view in views))
        self._answer(stream, "served", [head, *views], body)

    def shed(self, stream: int, come_back_in: float) -> None:
        """Answer that trying again is harmless."""
        self._answer(stream, "shed", [write_shed(stream, come_back_in)])

    def errored(self, stream: int, why: str = "") -> None:
        """Answer that a pull was not done."""
        self._answer(stream, "errored", [write_errored(stream, why)])

    def _answer(self, stream: int, name: str, parts: list[Part], body: Body | None = None) -> None:
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
    """Takes in connections of clients, no more than it may hold: past that the longest idle one ends."""

    def __init__(self, address: tuple[str, int], most: int, pool: Pool, clock: Clock, pulls: Pulls) -> None:
        self.most, self._pool, self._clock, self._pulls = most, pool, clock, pulls
        self.clients: set[Client] = set()  # a client leaves when its connection has ended
        self._draining = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(socket.SOMAXCONN)
        self._sock.setblocking(False)

    async def run(self, tasks: TaskGroup) -> None:
        """Accept for ever."""
        while True:
            await anyio.wait_readable(self._sock)
            for _ in range(ACCEPTED):
                idlest = self._idlest() if len(self.clients) >= self.most else None
                if len(self.clients) >= self.most and idlest is None:
                    await anyio.sleep(0.01)  # a pull is open on each: those that end make room
                    break
                try:
                    sock, (address, *_) = self._sock.accept()
                    client = Client(sock, self._pool, self._clock, self._pulls, address)
                except (BlockingIOError, ConnectionAbortedError):
                    break
                except OSError as error:
                    COUNTERS.add("client.not_accepted")
                    say("client.not_accepted", why=str(error))
                    await anyio.sleep(0.01)  # out of descriptors: those that end make room
                    break
                COUNTERS.add("client.accepted")
                if idlest is not None:
                    COUNTERS.add("client.gave_place")
                    self._end(idlest)
                self.clients.add(client)
                COUNTERS.see("client.connections", len(self.clients))
                tasks.start_soon(self._serve, client)

    def _idlest(self) -> Client | None:
        """Return the connection that has been idle longest, if there is one on which nothing is open."""
        by_age = sorted(self.clients, key=lambda client: client.used_at)
        return next((client for client in by_age if client.is_spare), None)

    def _end(self, client: Client) -> None:
        client.close()
        self.clients.discard(client)  # its descriptor is free at once

    async def _serve(self, client: Client) -> None:
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            say("client.failed", error)
        finally:
            self.clients.discard(client)

    async def end_overdue(self, longest: float) -> None:
        """End what holds a place or buffers for longer than it may, for ever."""
        while True:
            await anyio.sleep(LOOK)
            self.make_room(longest)
            for client in list(self.clients):
                if client.is_overdue():
                    COUNTERS.add("client.overdue")
                    self._end(client)

    def make_room(self, longest: float) -> None:
        """End the connections that have kept buffers busy for so long: others wait for these."""
        for client in list(self.clients):
            if client.is_stalled(longest):
                COUNTERS.add("client.stalled")
                self._end(client)

    def drain(self) -> None:
        """Ask all clients to send no new pull, those to come as well."""
        self._draining = True
        for client in list(self.clients):
            client.tell_no_more()
