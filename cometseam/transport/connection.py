"""One TCP connection: reads into lent buffers, and writes messages whole and in order."""

import socket
from collections import deque
from collections.abc import Callable

import anyio

from cometseam.transport.buffers import Pool
from cometseam.transport.clock import Clock

Part = bytes | memoryview


class Outgoing:
    """A message on its way out."""

    __slots__ = ("begun", "done", "parts")

    def __init__(self, parts: list[Part], done: Callable[[bool], None] | None) -> None:
        self.parts = parts
        self.done = done  # told once, whether the message was written whole
        self.begun = False

    def finish(self, whole: bool) -> None:
        """Tell how it went."""
        done, self.done, self.parts = self.done, None, []
        if done is not None:
            done(whole)


class Connection:
    """A connected socket. `run` reads until it ends; `close` ends it from any task."""

    def __init__(self, sock: socket.socket, pool: Pool, clock: Clock) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._pool, self._clock = sock, pool, clock
        self._out: deque[Outgoing] = deque()
        self._stuck = anyio.Event()
        self.stuck_since = 0.0  # when the other side last stopped taking what is written
        self.closed = False

    @property
    def is_stuck(self) -> bool:
        """Tell whether something waits until the other side reads."""
        return bool(self._out)

    def has_input(self) -> bool:
        """Tell whether something has come in that is still to be read."""
        try:
            return not self.closed and bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def send(self, parts: list[Part], done: Callable[[bool], None] | None = None) -> Outgoing:
        """Write a message, at once as far as the socket takes it."""
        message = Outgoing(parts, done)
        if self.closed:
            message.finish(False)
            return message
        if not self._out:
            self.stuck_since = self._clock.now()
        self._out.append(message)
        if len(self._out) == 1:
            self._write()
        return message

    def withdraw(self, message: Outgoing) -> bool:
        """Take back a message of which nothing was written."""
        if message.begun or message not in self._out:
            return False
        self._out.remove(message)
        message.finish(False)
        return True

    def _write(self) -> None:
        while self._out:
            message = self._out[0]
            try:
                sent = self._sock.sendmsg(message.parts)
            except (BlockingIOError, InterruptedError):
                if not self._stuck.is_set():
                    self._stuck.set()
                return
            except OSError:
                self.close()
                return
            self.stuck_since = self._clock.now()
            message.begun = True
            while message.parts and sent >= len(message.parts[0]):
                sent -= len(message.parts.pop(0))
            if sent:
                message.parts[0] = memoryview(message.parts[0])[sent:]
            if message.parts:
                continue
            self._out.popleft()
            message.finish(True)

    async def run(self, feed: Callable[[memoryview], int]) -> None:
        """Hand all that comes in to `feed`, which tells how much it took, until the connection ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_on)
                await self._read(feed)
                tasks.cancel_scope.cancel()
        finally:
            self.close()

    async def _read(self, feed: Callable[[memoryview], int]) -> None:
        while not self.closed:
            try:
                await anyio.wait_readable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return
            while (buffer := self._pool.take()) is None:
                await self._pool.wait()
            try:
                size = 0 if self.closed else self._sock.recv_into(buffer)
                if not size:
                    return
                view = memoryview(buffer)[:size]
                while (taken := feed(view)) < len(view):
                    view = view[taken:]
                    await self._pool.wait()
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                return
            finally:
                self._pool.give_back([buffer])

    async def _write_on(self) -> None:
        while not self.closed:
            await self._stuck.wait()
            self._stuck = anyio.Event()
            try:
                await anyio.wait_writable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return
            if not self.closed:
                self._write()

    def close(self) -> None:
        """End the connection; what was not written whole is told so."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self._sock)
        self._sock.close()
        self._stuck.set()
        while self._out:
            self._out.popleft().finish(False)
