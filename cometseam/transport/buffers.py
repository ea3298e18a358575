"""A bounded pool of fixed-size buffers, which are allocated on first use and reused."""

from collections.abc import Callable
from typing import Protocol

import anyio

from cometseam.counters import COUNTERS, check_invariant
from cometseam.memory import RequestBudget

# An eighth of the largest message: small messages waste little, large ones need few buffers.
BUFFER_SIZE_BYTES = 32768
SHORTAGE_RETRY_S = 0.1
MIN_POOL_BUFFERS = 2 * 8  # two of the largest messages
REQUEST_QUOTA_DIVISOR = 2  # requests may use the pool divided by this; the rest is for answers


def _do_nothing() -> None:
    pass


class BufferPool:
    """Hands out buffers; their number is bounded by the memory that they may use."""

    def __init__(self, memory_bytes: int) -> None:
        self._free: list[bytearray] = []
        self._unallocated = self.max_buffers = 0
        self.resize(memory_bytes)
        self._buffer_released = anyio.Event()
        self.on_shortage: Callable[[], None] = _do_nothing  # called to have buffers freed

    def resize(self, memory_bytes: int) -> None:
        """Change the memory bound; surplus buffers in use are discarded when they are released."""
        max_buffers = max(memory_bytes // BUFFER_SIZE_BYTES, MIN_POOL_BUFFERS)
        self._unallocated += max_buffers - self.max_buffers
        self.max_buffers = max_buffers
        self._trim()

    def _trim(self) -> None:
        while self._unallocated < 0 and self._free:
            self._free.pop()
            self._unallocated += 1

    @property
    def in_use(self) -> int:
        """Return how many buffers are in use."""
        return self.max_buffers - self._unallocated - len(self._free)

    def acquire(self) -> bytearray | None:
        """Return a buffer, or None if the pool is exhausted."""
        return self._take() if self._ensure_available(1) else None

    def _take(self) -> bytearray:
        """Return one of the available buffers."""
        if self._free:
            return self._free.pop()
        self._unallocated -= 1
        COUNTERS.record_max("buffers", self.max_buffers - self._unallocated)
        return bytearray(BUFFER_SIZE_BYTES)

    def allocate(self, size: int) -> "MessageBuffer | None":
        """Return buffers for a message of `size` bytes, or None where there are not enough for all of it."""
        count = -(-size // BUFFER_SIZE_BYTES)
        if not self._ensure_available(count):
            return None
        return MessageBuffer(self, [self._take() for _ in range(count)], size)

    def _ensure_available(self, count: int) -> bool:
        """Return whether `count` buffers are available, after having some freed if they are not."""
        if count > len(self._free) + self._unallocated:
            COUNTERS.add("buffers.short")
            self.on_shortage()
        return count <= len(self._free) + self._unallocated

    def release(self, buffers: list[bytearray]) -> None:
        """Return buffers to the pool."""
        self._free += buffers
        self._trim()
        check_invariant(self.in_use >= 0, "buffers come back once")
        if not self._buffer_released.is_set():
            self._buffer_released.set()

    async def wait(self) -> None:
        """Wait until a buffer is released, at most `SHORTAGE_RETRY_S`; the caller then tries again."""
        if self._buffer_released.is_set():
            self._buffer_released = anyio.Event()
        with anyio.move_on_after(SHORTAGE_RETRY_S):
            await self._buffer_released.wait()


class BufferQuota:
    """The part of a pool that one kind of message may use; the rest is left for the others.

    Its messages take a buffer when bytes for it have arrived. If none is left, `reclaim` is asked to have one
    released.
    """

    def __init__(self, pool: BufferPool, divisor: int, reclaim: Callable[[], bool]) -> None:
        self._pool, self._divisor = pool, divisor
        self._reclaim = reclaim  # returns whether it had buffers released
        self.in_use = 0

    @property
    def max_buffers(self) -> int:
        """Return how many buffers its messages may hold together."""
        return self._pool.max_buffers // self._divisor

    def allocate(self, size: int) -> "MessageBuffer":
        """Return storage for a message of `size` bytes, without a buffer as yet."""
        return MessageBuffer(self, [], size)

    def acquire(self) -> bytearray | None:
        """Return a buffer, or None if there is none even after reclaiming."""
        buffer = self._try_acquire()
        if buffer is None:
            COUNTERS.add("buffers.requests_short")
        while buffer is None and self._reclaim():
            buffer = self._try_acquire()
        return buffer

    def _try_acquire(self) -> bytearray | None:
        if self.in_use >= self.max_buffers:
            return None
        buffer = self._pool.acquire()
        if buffer is not None:
            self.in_use += 1
            COUNTERS.record_max("buffers.requests", self.in_use)
        return buffer

    def release(self, buffers: list[bytearray]) -> None:
        """Return buffers to the pool."""
        self.in_use -= len(buffers)
        check_invariant(self.in_use >= 0, "a quota's buffers come back once")
        self._pool.release(buffers)


class RequestBuffers:
    """The buffers and the memory for the input of all clients.

    Reading takes none of the pool, and incomplete requests a part of it at most: clients that leave theirs
    incomplete delay neither the input of others nor the answers of endpoints.
    """

    def __init__(self, pool: BufferPool, reclaim: Callable[[], bool], budget: RequestBudget) -> None:
        self.pool, self.budget = pool, budget
        self.quota = BufferQuota(pool, REQUEST_QUOTA_DIVISOR, reclaim)
        self.read_buffer = bytearray(BUFFER_SIZE_BYTES)


class BufferSource(Protocol):
    """Where a message takes its buffers from."""

    def acquire(self) -> bytearray | None:
        """Return a buffer, or None if there is none."""

    def release(self, buffers: list[bytearray]) -> None:
        """Take buffers back."""


class MessageBuffer:
    """Storage for one message: buffers given at the start, or taken from `source` as bytes arrive."""

    __slots__ = ("_buffers", "_filled", "_is_freed", "_source", "size")

    def __init__(self, source: BufferSource, buffers: list[bytearray], size: int) -> None:
        self._source, self._buffers, self.size = source, buffers, size
        self._filled = 0
        self._is_freed = False

    def write(self, data: memoryview) -> int:
        """Copy as much of `data` as the message still lacks; return how many bytes that was.

        It is less than that if a buffer is missing and the source has none.
        """
        consumed = min(self.size - self._filled, len(data))
        copied = 0
        while copied < consumed:
            buffer_index, offset = divmod(self._filled, BUFFER_SIZE_BYTES)
            if buffer_index == len(self._buffers) and not self._add_buffer():
                break
            copy_size = min(BUFFER_SIZE_BYTES - offset, consumed - copied)
            self._buffers[buffer_index][offset : offset + copy_size] = data[copied : copied + copy_size]
            copied += copy_size
            self._filled += copy_size
        return copied

    def _add_buffer(self) -> bool:
        buffer = self._source.acquire()
        if buffer is None:
            return False
        self._buffers.append(buffer)
        return True

    def is_complete(self) -> bool:
        """Return whether all bytes of the message have been written."""
        return self._filled == self.size

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, as one view per buffer."""
        views = []
        for buffer_index, buffer in enumerate(self._buffers):
            first_byte, end_byte = (
                max(start - buffer_index * BUFFER_SIZE_BYTES, 0),
                min(self.size - buffer_index * BUFFER_SIZE_BYTES, BUFFER_SIZE_BYTES),
            )
            if first_byte < end_byte:
                views.append(memoryview(buffer)[first_byte:end_byte])
        return views

    def free(self) -> None:
        """Return the buffers to the pool."""
        check_invariant(not self._is_freed or not self.size, "a message is freed once")
        self._is_freed = True
        buffers, self._buffers = self._buffers, []
        self._source.release(buffers)
