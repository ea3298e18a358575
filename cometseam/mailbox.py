"""The mailbox of an actor: bounded, with a lane for what must not wait behind the rest."""

from collections import deque
from collections.abc import Iterator
from itertools import chain
from typing import Generic, TypeVar

import anyio

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Messages for one reader."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._urgent: deque[Message] = deque()
        self._plain: deque[Message] = deque()
        self._filled = anyio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._plain)

    def __iter__(self) -> Iterator[Message]:
        return chain(self._urgent, self._plain)

    def offer(self, message: Message) -> bool:
        """Put a message in, if there is room."""
        if len(self._plain) >= self.most:
            return False
        self._plain.append(message)
        self._filled.set()
        return True

    def push(self, message: Message) -> None:
        """Put a message in whether there is room or not. Its sender bounds how many there can be."""
        self._plain.append(message)
        self._filled.set()

    def put_urgent(self, message: Message) -> None:
        """Put a message before all plain ones. Its sender bounds how many there can be."""
        self._urgent.append(message)
        self._filled.set()

    async def take(self) -> Message:
        """Take the next message; wait while there is none."""
        while not self:
            self._filled = anyio.Event()
            await self._filled.wait()
        if self._urgent:
            return self._urgent.popleft()
        return self._plain.popleft()
