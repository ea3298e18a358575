"""Buffers of one size, made when first needed and used again."""

from collections.abc import Callable

import anyio

from cometseam.counters import COUNTERS, check_invariant

BUFFER_SIZE_BYTES = 32768  # an eighth of the largest message: small ones waste little, large ones take few
SHORTAGE_RETRY_S = 0.1  # s


def _do_nothing() -> None:
    pass


class BufferPool:
    """Lends buffers; their number is bounded by the memory they may take."""

    def __init__(self, memory_bytes: int) -> None:
        self._free: list[bytearray] = []
        self._unallocated = self.max_buffers = 0
        self.resize(memory_bytes)
        self._buffer_released = anyio.Event()
        self.on_shortage: Callable[[], None] = _do_nothing  # asks for room to be made

    def resize(self, memory_bytes: int) -> None:
        """Change the bound; where more are lent, they are forgotten as they come back."""
        max_buffers = max(memory_bytes // BUFFER_SIZE_BYTES, 2 * 8)
        self._unallocated += max_buffers - self.max_buffers
        self.max_buffers = max_buffers
        self._trim()

    def _trim(self) -> None:
        while self._unallocated < 0 and self._free:
            self._free.pop()
            self._unallocated += 1

    @property
    def in_use(self) -> int:
        """Tell how many are lent."""
        return self.max_buffers - self._unallocated - len(self._free)

    def acquire(self) -> bytearray | None:
        """Lend one buffer."""
        if self._free:
            return self._free.pop()
        if self._unallocated <= 0:
            return None
        self._unallocated -= 1
        COUNTERS.record_max("buffers", self.max_buffers - self._unallocated)
        return bytearray(BUFFER_SIZE_BYTES)

    def allocate(self, size: int) -> "MessageBuffer | None":
        """Lend room for a message of this size, or nothing where it can't be lent whole."""
        count = -(-size // BUFFER_SIZE_BYTES)
        if count > len(self._free) + self._unallocated:
            COUNTERS.add("buffers.short")
            self.on_shortage()
        if count > len(self._free) + self._unallocated:
            return None
        return MessageBuffer(
            self, [buffer for _ in range(count) if (buffer := self.acquire()) is not None], size
        )

    def release(self, buffers: list[bytearray]) -> None:
        """Take lent buffers back."""
        self._free += buffers
        self._trim()
        check_invariant(self.in_use >= 0, "buffers come back once")
        if not self._buffer_released.is_set():
            self._buffer_released.set()

    async def wait(self) -> None:
        """Wait until a buffer comes back, or for so long that it is time to ask for room again."""
        if self._buffer_released.is_set():
            self._buffer_released = anyio.Event()
        with anyio.move_on_after(SHORTAGE_RETRY_S):
            await self._buffer_released.wait()


class MessageBuffer:
    """Room for one message, in buffers of the pool."""

    __slots__ = ("_buffers", "_filled", "_pool", "size")

    def __init__(self, pool: BufferPool, buffers: list[bytearray], size: int) -> None:
        self._pool, self._buffers, self.size = pool, buffers, size
        self._filled = 0

    def write(self, data: memoryview) -> int:
        """Take in what is still missing, at most all of `data`, and tell how much that was."""
        consumed = min(self.size - self._filled, len(data))
        copied = 0
        while copied < consumed:
            buffer_index, offset = divmod(self._filled, BUFFER_SIZE_BYTES)
            copy_size = min(BUFFER_SIZE_BYTES - offset, consumed - copied)
            self._buffers[buffer_index][offset : offset + copy_size] = data[copied : copied + copy_size]
            copied += copy_size
            self._filled += copy_size
        return consumed

    def is_complete(self) -> bool:
        """Tell whether nothing is missing any more."""
        return self._filled == self.size

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, in pieces."""
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
        """Give the buffers back."""
        check_invariant(bool(self._buffers) or not self.size, "a message is freed once")
        buffers, self._buffers = self._buffers, []
        self._pool.release(buffers)
