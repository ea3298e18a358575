"""One TCP connection: passes input to a decoder, and writes complete messages in order."""

import errno
import socket
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cometseam.transport.buffers import BufferPool
from cometseam.transport.clock import Clock

Chunk = bytes | memoryview
# After its write side is shut down, a connection is still read: for LINGER_S after the last byte was written,
# and up to LINGER_BYTES. Input that arrives at a closed socket makes the system send a reset, which can
# destroy answers already written (RFC 9112, 9.6).
LINGER_S = 1.0
LINGER_BYTES = 262144  # one message of the largest size
LINGER_CHECK_S = 0.1  # how often a closing connection checks whether all is written
# Errors of a call that do not concern the connection: the call is repeated, after MEMORY_RETRY_S where the
# system lacked memory.
TRANSIENT_ERRORS = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
MEMORY_RETRY_S = 0.01
# First byte of TCP_INFO (the state) once the remote side has reset or closed the connection, even if input
# before that is unread.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
REMOTE_CLOSE_STATES = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT})


class OutgoingMessage:
    """A message that is queued or being written."""

    __slots__ = ("begun", "chunks", "may_begin", "on_done")

    def __init__(self, chunks: list[Chunk], on_done: Callable[[bool], None] | None) -> None:
        self.chunks = chunks
        self.on_done = on_done  # called once, with whether the message was fully written
        self.begun = False
        self.may_begin: Callable[[], bool] | None = None  # called before the first byte; False drops it

    def finish(self, is_complete: bool) -> None:
        """Report once whether the message was fully written, and release its chunks and callbacks.

        The callbacks refer to what was sent, which refers to the message: without the release it would all
        stay in memory until the garbage collector runs.
        """
        on_done, self.on_done, self.may_begin, self.chunks = self.on_done, None, None, []
        if on_done is not None:
            on_done(is_complete)


class Connection:
    """A connected socket. `run` reads until the connection ends; `close` may be called from any task.

    Args:
        sock: the socket.
        pool: provides the buffer for each read, in which input stays while it cannot be consumed.
        clock: the process's clock.
        read_buffer: if given, it is read into this buffer instead, however few the pool has left. Connections
            share it: their input must always be consumed at once.
    """

    def __init__(
        self, sock: socket.socket, pool: BufferPool, clock: Clock, read_buffer: bytearray | None = None
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._pool, self._clock, self._read_buffer = sock, pool, clock, read_buffer
        self._outgoing: deque[OutgoingMessage] = deque()
        self._tasks: TaskGroup | None = None  # while `run` is active
        self._is_awaiting_writable = False  # a task waits until the socket is writable
        self.write_blocked_since = 0.0  # when bytes were last accepted, or a message was queued behind none
        self._last_write_at = 0.0
        self.closed = False
        self._is_close_requested = False  # the write side is to be shut down
        self._ended: anyio.Event | None = None  # set at the close; there is one once it lingers
        self._is_write_shut_down = self._ends_on_remote_close = False
        # A write failed for lack of system memory: the socket may count as writable all the same.
        self._is_short_of_memory = False
        self._discarded_bytes = 0  # bytes read after the write side was shut down

    @property
    def is_closing(self) -> bool:
        """Return whether no new message is accepted."""
        return self.closed or self._is_close_requested

    @property
    def is_write_blocked(self) -> bool:
        """Return whether messages wait for the remote side to read."""
        return bool(self._outgoing)

    @property
    def queued_messages(self) -> int:
        """Return how many messages wait for the remote side to read."""
        return len(self._outgoing)

    def has_input(self) -> bool:
        """Return whether there is unread input."""
        try:
            return not self.closed and bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def remote_has_closed(self) -> bool:
        """Return whether the remote side has closed or reset it, as far as that shows behind unread input."""
        if self.closed:
            return True
        try:
            if not self._sock.recv(1, socket.MSG_PEEK):
                return True
        except OSError as error:
            return error.errno not in TRANSIENT_ERRORS
        try:
            return self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in REMOTE_CLOSE_STATES
        except (OSError, IndexError, AttributeError):  # no TCP_INFO here: reading will show it
            return False

    def send(
        self, chunks: list[Chunk], on_done: Callable[[bool], None] | None = None,
        may_begin: Callable[[], bool] | None = None,
    ) -> OutgoingMessage:  # fmt: skip
        """Write a message: at once as far as the socket accepts it, and the rest as it becomes writable.

        Args:
            chunks: the bytes of the message.
            on_done: called once, with whether the message was fully written.
            may_begin: called just before the first byte if the message had to wait; False drops the message.
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
        if not message.begun and message in self._outgoing:
            message.may_begin = may_begin
        return message

    def withdraw(self, message: OutgoingMessage) -> bool:
        """Remove a queued message of which nothing has been written; return whether that was possible."""
        if message.begun or message not in self._outgoing:
            return False
        self._outgoing.remove(message)
        message.finish(False)
        return True

    def flush(self) -> None:
        """Write queued messages as far as the socket accepts them now."""
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
                self._start_awaiting_writable()
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
        """Close without losing data: write what is queued, shut down the write side, then read up to a bound.

        It may be called repeatedly; `close` closes at once.
        """
        if not self.is_closing:
            self._is_close_requested = True
            self._shut_down_if_written()
            self._start_lingering()

    def _shut_down_if_written(self) -> None:
        if (
            self._is_close_requested
            and not self._outgoing
            and not self._is_write_shut_down
            and not self.closed
        ):
            self._is_write_shut_down = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                if error.errno != errno.ENOTCONN:  # it was reset: reading reports that
                    self.close()

    def _start_lingering(self) -> None:
        if self._tasks is not None:
            self._ended = anyio.Event()
            self._tasks.start_soon(self._linger, self._ended)

    async def _linger(self, ended: anyio.Event) -> None:
        while self._outgoing and not self.closed:  # bounded: stalled connections are closed elsewhere
            with anyio.move_on_after(LINGER_CHECK_S):
                await ended.wait()
        # What was written longer ago than LINGER_S is taken to have arrived.
        with anyio.move_on_after(max(LINGER_S - (self._clock.now() - self._last_write_at) / 1000.0, 0.0)):
            await ended.wait()
        self.close()

    async def run(
        self,
        feed: Callable[[memoryview], int],
        on_remote_close: Callable[[], None] | None = None,
        may_read: Callable[[], bool] = lambda: True,
    ) -> None:
        """Pass input to `feed`, which returns how many bytes it consumed, until the connection ends.

        While `may_read` returns False, input is left to the system. With `on_remote_close`, a close by the
        remote side ends the connection although some of its input is still unread, and `on_remote_close` is
        called in the same turn of the loop: the rest of the shutdown takes a few turns.
        """
        self._ends_on_remote_close = on_remote_close is not None
        try:
            # The other tasks are started only when they are needed: most connections are idle most of the
            # time, and each waiting task takes some KB.
            async with anyio.create_task_group() as self._tasks:
                if self._outgoing:
                    self._start_awaiting_writable()
                if self._is_close_requested:
                    self._start_lingering()
                await self._read(feed, may_read)
                if on_remote_close is not None:
                    on_remote_close()
                # Its other tasks end by themselves at the close: a cancelled task refers to its error, which
                # refers to the task and the connection until the garbage collector runs.
                self.close()
        finally:
            self._tasks = None
            self.close()

    async def _read(self, feed: Callable[[memoryview], int], may_read: Callable[[], bool]) -> None:
        skip_wait = False
        while not self.closed:
            try:
                if not skip_wait:
                    await anyio.wait_readable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return
            skipped_wait, skip_wait = skip_wait, False
            while not may_read() or (buffer := self._read_buffer or self._pool.acquire()) is None:
                if await self._wait_to_read():
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
                    if await self._wait_to_read():
                        return
                # A remote close may follow directly: the next read does not wait, so it is detected before
                # the requests just read are handled. Otherwise pulls would be forwarded for clients that left
                # while the front was late to read.
                skip_wait = self._ends_on_remote_close and not skipped_wait and size < len(buffer)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    return
                if error.errno in (errno.ENOMEM, errno.ENOBUFS):
                    await anyio.sleep(MEMORY_RETRY_S)
                continue
            finally:
                if buffer is not self._read_buffer:
                    self._pool.release([buffer])

    async def _wait_to_read(self) -> bool:
        """Wait briefly, or until a buffer is free; return whether the remote side has closed meanwhile.

        Without this check pulls would be forwarded for clients that have gone, as no read can detect it now.
        """
        await self._pool.wait()
        return self._ends_on_remote_close and self.remote_has_closed()

    def _start_awaiting_writable(self) -> None:
        if self._tasks is not None and not self._is_awaiting_writable:
            self._is_awaiting_writable = True
            self._tasks.start_soon(self._write_when_writable)

    async def _write_when_writable(self) -> None:
        """Write the queued messages as the socket becomes writable, until none is left."""
        try:
            while self._outgoing and not self.closed:
                if self._is_short_of_memory:
                    self._is_short_of_memory = False
                    await anyio.sleep(MEMORY_RETRY_S)
                await anyio.wait_writable(self._sock)
                if not self.closed:
                    self._write()
        except (anyio.ClosedResourceError, ValueError, OSError):
            return
        finally:
            self._is_awaiting_writable = False

    def close(self) -> None:
        """Close the connection at once; messages not fully written are reported as such."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self._sock)
        self._sock.close()
        self._is_close_requested = True
        if self._ended is not None:
            self._ended.set()
        while self._outgoing:
            self._outgoing.popleft().finish(False)
