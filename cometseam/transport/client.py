"""Connections of clients, and the listener that takes them in."""

import socket
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cometseam.counters import COUNTERS
from cometseam.protocol import Body, Malformed
from cometseam.protocol.frames import (
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
from cometseam.transport.buffers import Pool
from cometseam.transport.clock import Clock
from cometseam.transport.connection import Connection, Part

MOST_OPEN = 32  # pulls open on a connection, by the protocol


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

    def __init__(self, sock: socket.socket, pool: Pool, clock: Clock, pulls: Pulls) -> None:
        self._connection = Connection(sock, pool, clock)
        self._decoder = Decoder(pool.room)
        self._clock, self._pulls = clock, pulls
        self._open: set[int] = set()  # streams that are owed an answer
        self._highest = 0
        self._half_since = 0.0  # when the frame that is half read began; 0: there is none
        self._ending = False  # framing is lost: it ends when nothing is open on it any more

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it or on its way out."""
        return not self._open and not self._connection.is_stuck

    def is_stalled(self, longest: float) -> bool:
        """Tell whether it has kept a frame half sent, or an answer half read, for longer than that."""
        before = self._clock.now() - longest
        half = 0.0 < self._half_since < before
        return half or (self._connection.is_stuck and self._connection.stuck_since < before)

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

    def tell_no_more(self) -> None:
        """Say that no new pull should come on this connection."""
        self._connection.send([write_frame(Type.NO_MORE, 0)])

    def close(self) -> None:
        """End the connection."""
        self._connection.close()

    def _feed(self, data: memoryview) -> int:
        if self._ending:
            return len(data)
        frames: list[Frame] = []
        taken, lost = len(data), ""
        try:
            taken = self._decoder.feed(data, frames)
        except Malformed as error:
            lost = str(error)
        for frame in frames:
            self._take(frame)
        if frames or not self._half_since:
            self._half_since = self._clock.now() if self._decoder.is_inside else 0.0
        if lost:
            self._ending = True
            self._unusable(0, lost)
            self._end_if_done()
        return taken

    def _end_if_done(self) -> None:
        if self._ending and self.is_idle:
            self.close()

    def _take(self, frame: Frame) -> None:
        COUNTERS.add(f"client.frame.{frame.type}")
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
                self._unusable(0, f"an unknown type {frame.type}")
        frame.free()

    def _take_pull(self, frame: Frame) -> None:
        stream = frame.stream
        if stream <= self._highest:
            self._unusable(0, f"stream {stream} is not new")
            frame.free()
            return
        self._highest = stream
        try:
            if len(self._open) >= MOST_OPEN:
                raise Malformed("too many are open on this connection")
            order = read_order(frame)
        except Malformed as error:
            self._unusable(stream, str(error))
            frame.free()
            return
        self._open.add(stream)
        if not self._pulls.take(self, stream, order):
            self.shed(stream, 0.0)
            frame.free()

    def _unusable(self, stream: int, why: str) -> None:
        COUNTERS.add("client.bad_input")
        logger.warning("a client sent what can't be used: {}", why)
        self._connection.send([write_errored(stream, why)])

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

        def written(whole: bool) -> None:
            if body is not None:
                body.free()
            COUNTERS.add(f"answer.{name}" if whole else "answer.not_written")

        self._connection.send(parts, written)
        self._end_if_done()


class Listener:
    """Takes in connections of clients, no more than it may hold."""

    def __init__(self, address: tuple[str, int], most: int, pool: Pool, clock: Clock, pulls: Pulls) -> None:
        self._most, self._pool, self._clock, self._pulls = most, pool, clock, pulls
        self.clients: set[Client] = set()  # a client leaves when its connection has ended
        self._left = anyio.Event()
        self._draining = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(most)
        self._sock.setblocking(False)

    async def run(self, tasks: TaskGroup) -> None:
        """Accept for ever."""
        while True:
            while len(self.clients) >= self._most:
                self._left = anyio.Event()
                await self._left.wait()
            await anyio.wait_readable(self._sock)
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                COUNTERS.add("client.not_accepted")
                logger.warning("a connection was not accepted: {}", error)
                await anyio.sleep(0.01)  # out of descriptors: those that end make room
                continue
            COUNTERS.add("client.accepted")
            client = Client(sock, self._pool, self._clock, self._pulls)
            self.clients.add(client)
            COUNTERS.see("client.connections", len(self.clients))
            tasks.start_soon(self._serve, client)

    async def _serve(self, client: Client) -> None:
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            logger.opt(exception=error).error("a client's connection failed")
        finally:
            self.clients.discard(client)
            self._left.set()

    async def end_stalled(self, longest: float) -> None:
        """End connections that keep buffers busy for longer than any pull may take, for ever."""
        while True:
            await anyio.sleep(longest / 1000.0 / 2.0)
            self.make_room(longest)

    def make_room(self, longest: float) -> None:
        """End the connections that have kept buffers busy for so long: others wait for these."""
        for client in list(self.clients):
            if client.is_stalled(longest):
                COUNTERS.add("client.stalled")
                client.close()

    def drain(self) -> None:
        """Ask all clients to send no new pull, those to come as well."""
        self._draining = True
        for client in list(self.clients):
            client.tell_no_more()
