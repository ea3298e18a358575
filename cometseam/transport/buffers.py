"""Buffers of one size, made when first needed and used again."""

from collections.abc import Callable

import anyio

from cometseam.counters import COUNTERS, check_invariant

BUFFER_SIZE_BYTES = 32768  # an eighth of the largest message: small ones waste little, large ones take few
ASK_AGAIN = 0.1  # s


def _nothing() -> None:
    pass


class BufferPool:
    """Lends buffers; their number is bounded by the memory they may take."""

    def __init__(self, memory: int) -> None:
        self._free: list[bytearray] = []
        self._unmade = self.max_buffers = 0
        self.resize(memory)
        self._freed = anyio.Event()
        self.on_shortage: Callable[[], None] = _nothing  # asks for room to be made

    def resize(self, memory: int) -> None:
        """Change the bound; where more are lent, they are forgotten as they come back."""
        most = max(memory // BUFFER_SIZE_BYTES, 2 * 8)
        self._unmade += most - self.max_buffers
        self.max_buffers = most
        self._trim()

    def _trim(self) -> None:
        while self._unmade < 0 and self._free:
            self._free.pop()
            self._unmade += 1

    @property
    def in_use(self) -> int:
        """Tell how many are lent."""
        return self.max_buffers - self._unmade - len(self._free)

    def acquire(self) -> bytearray | None:
        """Lend one buffer."""
        if self._free:
            return self._free.pop()
        if self._unmade <= 0:
            return None
        self._unmade -= 1
        COUNTERS.record_max("buffers", self.max_buffers - self._unmade)
        return bytearray(BUFFER_SIZE_BYTES)

    def allocate(self, size: int) -> "MessageBuffer | None":
        """Lend room for a message of this size, or nothing where it can't be lent whole."""
        count = -(-size // BUFFER_SIZE_BYTES)
        if count > len(self._free) + self._unmade:
            COUNTERS.add("buffers.short")
            self.on_shortage()
        if count > len(self._free) + self._unmade:
            return None
        return MessageBuffer(
            self, [buffer for _ in range(count) if (buffer := self.acquire()) is not None], size
        )

    def release(self, buffers: list[bytearray]) -> None:
        """Take lent buffers back."""
        self._free += buffers
        self._trim()
        check_invariant(self.in_use >= 0, "buffers come back once")
        if not self._freed.is_set():
            self._freed.set()

    async def wait(self) -> None:
        """Wait until a buffer comes back, or for so long that it is time to ask for room again."""
        if self._freed.is_set():
            self._freed = anyio.Event()
        with anyio.move_on_after(ASK_AGAIN):
            await self._freed.wait()


class MessageBuffer:
    """Room for one message, in buffers of the pool."""

    __slots__ = ("_buffers", "_filled", "_pool", "size")

    def __init__(self, pool: BufferPool, buffers: list[bytearray], size: int) -> None:
        self._pool, self._buffers, self.size = pool, buffers, size
        self._filled = 0

    def write(self, data: memoryview) -> int:
        """Take in what is still missing, at most all of `data`, and tell how much that was."""
        taken = min(self.size - self._filled, len(data))
        at = 0
        while at < taken:
            place, offset = divmod(self._filled, BUFFER_SIZE_BYTES)
            step = min(BUFFER_SIZE_BYTES - offset, taken - at)
            self._buffers[place][offset : offset + step] = data[at : at + step]
            at += step
            self._filled += step
        return taken

    def is_complete(self) -> bool:
        """Tell whether nothing is missing any more."""
        return self._filled == self.size

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, in pieces."""
        views = []
        for place, buffer in enumerate(self._buffers):
            low, high = (
                max(start - place * BUFFER_SIZE_BYTES, 0),
                min(self.size - place * BUFFER_SIZE_BYTES, BUFFER_SIZE_BYTES),
            )
            if low < high:
                views.append(memoryview(buffer)[low:high])
        return views

    def free(self) -> None:
        """Give the buffers back."""
        check_invariant(bool(self._buffers) or not self.size, "a message is freed once")
        buffers, self._buffers = self._buffers, []
        self._pool.release(buffers)
