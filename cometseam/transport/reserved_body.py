"""The payload of a request, together with the memory that is reserved for the request."""

from cometseam.counters import check_invariant
from cometseam.memory import ClientAccount
from cometseam.protocol import StoredBody


class ReservedBody:
    """A payload that arrived in one piece or lies in buffers; freeing it releases the reservation as well."""

    __slots__ = ("_account", "_buffer", "_payload", "_reserved")

    def __init__(
        self, payload: bytes, buffer: StoredBody | None, account: ClientAccount, reserved: int
    ) -> None:
        self._payload, self._buffer = payload, buffer  # the payload is in `buffer` if there is one
        self._account, self._reserved = account, reserved

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on, in pieces."""
        return [memoryview(self._payload)[start:]] if self._buffer is None else self._buffer.views(start)

    def free(self) -> None:
        """Release the payload and what is reserved for its request."""
        check_invariant(self._reserved > 0, "a request is freed once")
        self._account.release(self._reserved)
        self._reserved, self._payload = 0, b""
        if self._buffer is not None:
            self._buffer.free()
            self._buffer = None
