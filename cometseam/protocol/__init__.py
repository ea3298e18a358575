"""Codecs of the socket protocols: client frames, RESP and discovery events. Nothing here does I/O.

Decoders accept a stream in arbitrary pieces and limit their memory: a message larger than the protocol allows
raises `ProtocolError`. A pull is a client's request; a relay is one attempt of it at a cache.
"""

from collections.abc import Callable
from typing import Protocol


class ProtocolError(ValueError):
    """The peer sent something that the protocol does not allow."""


class StoredBody(Protocol):
    """The bytes of one message."""

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, in pieces."""

    def free(self) -> None:
        """Release the memory; the body must not be used afterwards."""


class Body(StoredBody, Protocol):
    """Buffer for the bytes of one message, filled as they arrive."""

    def write(self, data: memoryview) -> int:
        """Append the bytes that are still missing from the start of `data`; return how many were consumed."""

    def is_complete(self) -> bool:
        """Return whether all bytes of the message have been written."""


# Returns a buffer for a number of bytes; None if none is available now, and the caller has to retry later.
BodyAllocator = Callable[[int], Body | None]
