"""An actor's bounded mailbox, with a separate queue for urgent messages."""

from collections import deque
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Generic, TypeVar

import anyio

Message = TypeVar("Message")
WAIT_RECHECK_INTERVAL_MS = 5.0  # how often `normal_wait` is called again while it holds messages back


class Mailbox(Generic[Message]):
    """A message queue with a single reader."""

    def __init__(self, max_messages: int) -> None:
        self.max_messages = max_messages
        self._urgent: deque[Message] = deque()
        self._normal: deque[Message] = deque()
        self._message_added = anyio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._normal)

    def __iter__(self) -> Iterator[Message]:
        return chain(self._urgent, self._normal)

    def offer(self, message: Message) -> bool:
        """Append a normal message; return False if the mailbox is full."""
        if len(self._normal) >= self.max_messages:
            return False
        self._normal.append(message)
        self._message_added.set()
        return True

    def push(self, message: Message) -> None:
        """Append a normal message even if the mailbox is full. The sender must bound their number."""
        self._normal.append(message)
        self._message_added.set()

    def put_urgent(self, message: Message) -> None:
        """Append an urgent message, read before all normal ones. The sender must bound their number."""
        self._urgent.append(message)
        self._message_added.set()

    def remove(self, is_wanted: Callable[[Message], bool]) -> list[Message]:
        """Remove the normal messages that match, at any position, and return them."""
        removed: list[Message] = []
        kept: deque[Message] = deque()
        for message in self._normal:
            (removed if is_wanted(message) else kept).append(message)
        self._normal = kept
        return removed

    async def take(self, normal_wait: Callable[[], float] = lambda: 0.0) -> Message:
        """Remove and return the next message; wait while there is none.

        Args:
            normal_wait: returns for how many ms at most normal messages are held back; called again every
                few ms.
        """
        while True:
            if self._urgent:
                return self._urgent.popleft()
            wait = normal_wait() if self._normal else float("inf")
            if not wait:
                return self._normal.popleft()
            self._message_added = anyio.Event()
            with anyio.move_on_after(min(wait, WAIT_RECHECK_INTERVAL_MS) / 1000.0 if self._normal else None):
                await self._message_added.wait()
