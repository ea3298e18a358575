"""One TCP connection: reads into lent buffers, and writes messages whole and in order."""

import errno
import socket
from collections import deque
from collections.abc import Callable

import anyio

from cometseam.transport.buffers import BufferPool
from cometseam.transport.clock import Clock

Chunk = bytes | memoryview
# How long after the last byte was written, and how many bytes, a connection is read whose write side has
# ended: what comes unread to a closed socket makes the system send a reset, which can destroy answers already
# written (RFC 9112, 9.6).
LINGER_S = 1.0
LINGER_BYTES = 262144  # one message of the largest size
# Errors of a call that say nothing of the connection: the same call is made again after a while.
TRANSIENT_ERRORS = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
MEMORY_RETRY_S = 0.01
TCP_CLOSE_WAIT = (
    8  # TCP_INFO's first byte: the other side has ended, also where unread input comes before that
)


class OutgoingMessage:
    """A message on its way out."""

    __slots__ = ("begun", "chunks", "may_begin", "on_done")

    def __init__(self, chunks: list[Chunk], on_done: Callable[[bool], None] | None) -> None:
        self.chunks = chunks
        self.on_done = on_done  # told once, whether the message was written whole
        self.begun = False
        self.may_begin: Callable[[], bool] | None = None  # asked before its first byte; False: it is dropped

    def finish(self, is_complete: bool) -> None:
        """Tell how it went."""
        on_done, self.on_done, self.chunks = self.on_done, None, []
        if on_done is not None:
            on_done(is_complete)


class Connection:
    """A connected socket. `run` reads until it ends; `close` ends it from any task."""

    def __init__(self, sock: socket.socket, pool: BufferPool, clock: Clock) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._pool, self._clock = sock, pool, clock
        self._outgoing: deque[OutgoingMessage] = deque()
        self._write_blocked = anyio.Event()
        self.write_blocked_since = 0.0  # when the other side last stopped taking what is written
        self._last_write_at = 0.0
        self.closed = False
        self.starved = False  # its reading waits for room of this program's own
        self._close_requested = anyio.Event()  # set when the write side is to end
        self._is_write_shut_down = self._ends_with_remote = False
        self._is_short_of_memory = False  # the system had no memory for a write: it is writable all the same
        self._discarded_bytes = 0  # bytes read after that

    @property
    def is_closing(self) -> bool:
        """Tell whether nothing new is written to it."""
        return self.closed or self._close_requested.is_set()

    @property
    def is_write_blocked(self) -> bool:
        """Tell whether something waits until the other side reads."""
        return bool(self._outgoing)

    def has_input(self) -> bool:
        """Tell whether something has come in that is still to be read."""
        try:
            return not self.closed and bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def remote_has_closed(self) -> bool:
        """Tell whether the other side has ended or reset it, as far as that shows behind unread input."""
        if self.closed:
            return True
        try:
            if not self._sock.recv(1, socket.MSG_PEEK):
                return True
        except OSError as error:
            return error.errno not in TRANSIENT_ERRORS
        try:
            return self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
        except (OSError, IndexError, AttributeError):  # not told here: it shows when it is read
            return False

    def send(
        self, chunks: list[Chunk], on_done: Callable[[bool], None] | None = None,
        may_begin: Callable[[], bool] | None = None,
    ) -> OutgoingMessage:  # fmt: skip
        """Write a message, at once as far as the socket takes it.

        Args:
            parts: its bytes.
            done: told once, whether it was written whole.
            begin: where it has to wait, asked just before its first byte; False drops it.
        """
        message = OutgoingMessage(chunks, on_done)
        if self.is_closing:
            message.finish(False)
            return message
        if not self._outgoing:
            self.write_blocked_since = self._clock.now()
        self._outgoing.append(message)
        if len(self._outgoing) == 1:
            self._write()
        message.may_begin = may_begin
        return message

    def withdraw(self, message: OutgoingMessage) -> bool:
        """Take back a message of which nothing was written."""
        if message.begun or message not in self._outgoing:
            return False
        self._outgoing.remove(message)
        message.finish(False)
        return True

    def flush(self) -> None:
        """Write what waits, as far as the socket takes it now."""
        if not self.closed:
            self._write()

    def _write(self) -> None:
        while self._outgoing:
            message = self._outgoing[0]
            if not message.begun and message.may_begin is not None and not message.may_begin():
                self._outgoing.popleft()
                message.finish(False)
                continue
            try:
                sent = self._sock.sendmsg(message.chunks)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    self.close()
                    return
                self._is_short_of_memory = error.errno in (errno.ENOMEM, errno.ENOBUFS)
                if not self._write_blocked.is_set():
                    self._write_blocked.set()
                return
            self.write_blocked_since = self._last_write_at = self._clock.now()
            message.begun = True
            while message.chunks and sent >= len(message.chunks[0]):
                sent -= len(message.chunks.pop(0))
            if sent:
                message.chunks[0] = memoryview(message.chunks[0])[sent:]
            if message.chunks:
                continue
            self._outgoing.popleft()
            message.finish(True)
        self._shut_down_if_written()

    def close_gracefully(self) -> None:
        """End it without a loss: what waits is written, then the write side ends, then it is read to a bound.

        It may be called again; `close` ends it at once.
        """
        if not self.is_closing:
            self._close_requested.set()
            self._shut_down_if_written()

    def _shut_down_if_written(self) -> None:
        if (
            self._close_requested.is_set()
            and not self._outgoing
            and not self._is_write_shut_down
            and not self.closed
        ):
            self._is_write_shut_down = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                if error.errno != errno.ENOTCONN:  # it was reset: reading tells so
                    self.close()

    async def _linger(self) -> None:
        await self._close_requested.wait()
        while self._outgoing and not self.closed:  # bounded by whoever ends what is stalled
            await self._pool.wait()
        # What was written longer ago has reached it.
        await anyio.sleep(max(LINGER_S - (self._clock.now() - self._last_write_at) / 1000.0, 0.0))
        self.close()

    async def run(
        self, feed: Callable[[memoryview], int], on_remote_close: Callable[[], None] | None = None
    ) -> None:
        """Hand all that comes in to `feed`, which tells how much it took, until the connection ends.

        With `left` the other side's end ends it although something that it sent is still unread, and `left`
        is told in that very turn: what else ends with the connection takes a few.
        """
        self._ends_with_remote = on_remote_close is not None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_when_writable)
                tasks.start_soon(self._linger)
                await self._read(feed)
                if on_remote_close is not None:
                    on_remote_close()
                tasks.cancel_scope.cancel()
        finally:
            self.close()

    async def _read(self, feed: Callable[[memoryview], int]) -> None:
        skip_wait = False
        while not self.closed:
            try:
                if not skip_wait:
                    await anyio.wait_readable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return
            skipped_wait, skip_wait = skip_wait, False
            while (buffer := self._pool.acquire()) is None:
                if await self._wait_for_buffer():
                    return
            try:
                size = 0 if self.closed else self._sock.recv_into(buffer)
                if not size:
                    return
                if self._is_write_shut_down:
                    self._discarded_bytes += size
                    if self._discarded_bytes > LINGER_BYTES:
                        return
                    continue
                view = memoryview(buffer)[:size]
                while (consumed := feed(view)) < len(view):
                    view = view[consumed:]
                    if await self._wait_for_buffer():
                        return
                # Its end may lie behind all that has come: it is seen before what was read has its turn.
                # Guards against pulls sent on for clients who left while the front was late to read them.
                skip_wait = self._ends_with_remote and not skipped_wait and size < len(buffer)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    return
                if error.errno in (errno.ENOMEM, errno.ENOBUFS):
                    await anyio.sleep(MEMORY_RETRY_S)
                continue
            finally:
                self._pool.release([buffer])

    async def _wait_for_buffer(self) -> bool:
        """Wait a moment for room; tell whether the other side has left meanwhile.

        Guards against pulls that are sent on for clients who have gone: nothing is read now that would tell.
        """
        self.starved = True
        try:
            await self._pool.wait()
        finally:
            self.starved = False
        return self._ends_with_remote and self.remote_has_closed()

    async def _write_when_writable(self) -> None:
        while not self.closed:
            await self._write_blocked.wait()
            self._write_blocked = anyio.Event()
            try:
                if self._is_short_of_memory:
                    self._is_short_of_memory = False
                    await anyio.sleep(MEMORY_RETRY_S)
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
        self._close_requested.set()
        self._write_blocked.set()
        while self._outgoing:
            self._outgoing.popleft().finish(False)
