"""Bodies of messages that take no buffer of the pool: small ones, and those that are not kept."""


class DiscardedBody:
    """Body that discards the bytes of a message that is no longer wanted."""

    def __init__(self, size: int) -> None:
        self._missing = size

    def write(self, data: memoryview) -> int:
        """Discard the bytes that are still missing from the start of `data`; return how many these were."""
        discarded = min(self._missing, len(data))
        self._missing -= discarded
        return discarded

    def is_complete(self) -> bool:
        """Return whether all bytes of the message have been discarded."""
        return not self._missing

    def views(self, start: int = 0) -> list[memoryview]:
        """Return no bytes: none are kept."""
        return []

    def free(self) -> None:
        """Do nothing: no buffer is held."""


class SmallBody:
    """Body of a message that is small enough to be kept outside the pool."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._bytes = bytearray()

    def write(self, data: memoryview) -> int:
        """Append the bytes that are still missing from the start of `data`; return how many these were."""
        consumed = min(self._size - len(self._bytes), len(data))
        self._bytes += data[:consumed]
        return consumed

    def is_complete(self) -> bool:
        """Return whether all bytes of the message have been written."""
        return len(self._bytes) == self._size

    def views(self, start: int = 0) -> list[memoryview]:
        """Return the bytes from `start` on."""
        return [memoryview(self._bytes)[start:]]

    def free(self) -> None:
        """Do nothing: no buffer is held."""
