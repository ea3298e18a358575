"""Connections of clients, and the listener that takes them in."""

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cometseam.counters import COUNTERS, invariant
from cometseam.protocol import Body, Malformed
from cometseam.protocol.frames import (
    Code,
    Decoder,
    Frame,
    Request,
    Type,
    read_request,
    write_answer,
    write_fields,
    write_frame,
)  # fmt: skip
from cometseam.transport.buffers import Pool
from cometseam.transport.connection import Connection, Part

MOST_OPEN = 32  # requests open on a connection, by the protocol


class Requests(Protocol):
    """Where requests go."""

    def is_ready(self) -> bool:
        """Tell whether the front can serve."""

    def take(self, client: "Client", stream: int, request: Request) -> bool:
        """Take a request in; False where there is no room for it now."""

    def hang_up(self, client: "Client", stream: int) -> None:
        """Nobody waits for this stream any more."""


class Client:
    """One connection of a client."""

    def __init__(self, sock: socket.socket, pool: Pool, requests: Requests) -> None:
        self._connection = Connection(sock, pool)
        self._decoder = Decoder(pool.room)
        self._requests = requests
        self._open: set[int] = set()  # streams that are owed an answer
        self._highest = 0
        self._ending = False  # framing is lost: it ends when nothing is open on it any more

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it or on its way out."""
        return not self._open and not self._connection.is_stuck

    async def run(self, draining: bool) -> None:
        """Serve it until it ends."""
        if draining:
            self.tell_no_more()
        try:
            await self._connection.run(self._feed)
        finally:
            self._decoder.close()
            for stream in sorted(self._open):
                self._requests.hang_up(self, stream)
            self._open.clear()

    def tell_no_more(self) -> None:
        """Say that no new request should come on this connection."""
        self._connection.send([write_frame(Type.NO_MORE, 0)])

    def close(self) -> None:
        """End the connection."""
        self._connection.close()

    def _feed(self, data: memoryview) -> int:
        if self._ending:
            return len(data)
        frames: list[Frame] = []
        try:
            taken = self._decoder.feed(data, frames)
        except Malformed as error:
            taken = len(data)
            self._ending = True
            for frame in frames:
                self._frame(frame)
            self._tell(0, str(error))
        else:
            for frame in frames:
                self._frame(frame)
        if self._ending and not self._open:
            self.close()
        return taken

    def _frame(self, frame: Frame) -> None:
        COUNTERS.add(f"client.frame_in.{frame.type}")
        if frame.type == Type.REQUEST:
            self._request(frame)
            return
        if frame.type == Type.HANG_UP:
            if frame.stream in self._open:
                self._open.discard(frame.stream)
                self._requests.hang_up(self, frame.stream)
        elif frame.type == Type.READY:
            code = 1 if self._requests.is_ready() else 2
            self._connection.send(
                [write_frame(Type.READINESS, frame.stream, bytes((code,)) + write_fields({}))]
            )
        else:
            self._tell(frame.stream if frame.stream in self._open else 0, f"an unknown type {frame.type}")
        frame.free()

    def _request(self, frame: Frame) -> None:
        stream = frame.stream
        why = ""
        if stream <= self._highest:
            why = f"stream {stream} is not new"
            stream = 0
        else:
            self._highest = stream
            if len(self._open) >= MOST_OPEN:
                why = "too many open requests"
        if not why:
            try:
                request = read_request(frame)
                self._open.add(stream)
                if self._requests.take(self, stream, request):
                    return
                self.answer(stream, Code.REFUSED, {})
            except Malformed as error:
                why = str(error)
        frame.free()
        if why:
            self._tell(stream, why)

    def _tell(self, stream: int, why: str) -> None:
        """Answer a request, or with stream 0 the connection, that it can't be used."""
        COUNTERS.add("client.bad_input")
        logger.warning("a client sent what can't be used: {}", why)
        self._open.discard(stream)
        self._connection.send([write_answer(stream, Code.FAILED, {"reason": why[:200]})])

    def answer(
        self,
        stream: int,
        code: Code,
        fields: dict[str, str],
        body: Body | None = None,
        done: Callable[[bool], None] | None = None,
    ) -> None:
        """Write the one answer of a request; the body is given back when it is written or can't be."""
        invariant(stream in self._open, "one answer a request")
        self._open.discard(stream)
        parts: list[Part] = [*body.views()] if body is not None else []
        head = write_answer(stream, code, fields, sum(len(part) for part in parts))

        def written(whole: bool) -> None:
            if body is not None:
                body.free()
            COUNTERS.add(f"client.answer.{code.name.lower()}" if whole else "client.answer.not_written")
            if done is not None:
                done(whole)

        self._connection.send([head, *parts], written)
        if self._ending and not self._open and not self._connection.is_stuck:
            self.close()


class Listener:
    """Takes in connections of clients, no more than it may hold."""

    def __init__(self, address: tuple[str, int], most: int, pool: Pool, requests: Requests) -> None:
        self._most, self._pool, self._requests = most, pool, requests
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
            await anyio.wait_readable(self._sock)
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                COUNTERS.add("client.not_accepted")
                logger.warning("a connection was not accepted: {}", error)
                await anyio.sleep(0.01)  # out of descriptors: those that end make room
                continue
            COUNTERS.add("client.accepted")
            tasks.start_soon(self._serve, Client(sock, self._pool, self._requests))
            while len(self.clients) >= self._most:
                self._left = anyio.Event()
                await self._left.wait()

    async def _serve(self, client: Client) -> None:
        self.clients.add(client)
        COUNTERS.see("client.connections", len(self.clients))
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            logger.opt(exception=error).error("a client's connection failed")
        finally:
            self.clients.discard(client)
            self._left.set()

    def drain(self) -> None:
        """Ask all clients to send no new request, those to come as well."""
        self._draining = True
        for client in self.clients:
            client.tell_no_more()
