"""Codecs of what is spoken on sockets: client frames, RESP and the change log. Nothing here does I/O.

Decoders take any piece of a stream and are bounded: what is larger than the protocol allows is malformed.
"""

from collections.abc import Callable
from typing import Protocol


class ProtocolError(ValueError):
    """The other side sent what the protocol does not allow."""


class Body(Protocol):
    """Room for the bytes of one message."""

    def write(self, data: memoryview) -> int:
        """Take in what is still missing, at most all of `data`, and tell how much that was."""

    def is_complete(self) -> bool:
        """Tell whether nothing is missing any more."""

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, in pieces."""

    def free(self) -> None:
        """Give the room back; the body must not be used after it."""


# Room for so many bytes; None: none is left now, ask again later.
BodyAllocator = Callable[[int], Body | None]
