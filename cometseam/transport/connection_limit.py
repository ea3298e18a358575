"""Decides how many connections to endpoints may be open, and which idle one gives way to a new one."""

from typing import Protocol

from cometseam.counters import COUNTERS

# A request goes over each connection of an endpoint once: a lookup that missed needs a second for its fill.
MIN_CONNECTIONS_PER_PEER = 2
MAX_CONNECTIONS_PER_PEER = 8


class LimitedConnection(Protocol):
    """A connection that counts against the limit."""

    used_at: float  # ms; when it last carried a relay or an answer

    @property
    def is_idle(self) -> bool:
        """Return whether it is open and carries no relay."""
        ...

    def close(self, why: str) -> None:
        """Close it at once."""
        ...


class Waiter(Protocol):
    """A peer that waits for room for a connection."""

    @property
    def needs_connection(self) -> bool:
        """Return whether relays still wait for a connection."""
        ...

    def on_room(self) -> None:
        """Try again; it must not call the limit before it returns."""
        ...


class ConnectionLimit:
    """The connections to all endpoints together, those being established among them."""

    def __init__(self, maximum: int) -> None:
        """Set the maximum, which may be changed later; connections above a lower one end by themselves."""
        self.maximum = maximum
        self._connections: set[LimitedConnection] = set()
        self._waiters: dict[Waiter, None] = {}  # in the order of their coming

    def __len__(self) -> int:
        return len(self._connections)

    def share(self, target_count: int) -> int:
        """Return how many connections each of `target_count` endpoints may have.

        The shares of many endpoints can exceed the maximum, which then holds by itself.
        """
        equal_share = self.maximum // max(target_count, 1)
        return min(max(equal_share, MIN_CONNECTIONS_PER_PEER), MAX_CONNECTIONS_PER_PEER)

    def acquire(self, connection: LimitedConnection, may_evict: bool) -> bool:
        """Count a connection about to be opened; return False if there is no room for it.

        With `may_evict`, the connection that has been idle for longest is closed where there is none.
        """
        if len(self._connections) >= self.maximum:
            evicted = self._least_recently_used() if may_evict else None
            if evicted is None:
                return False
            COUNTERS.add("peer.connections_evicted")
            self._connections.remove(evicted)
            evicted.close("another endpoint needs a connection")
        self._connections.add(connection)
        return True

    def _least_recently_used(self) -> LimitedConnection | None:
        idle = (connection for connection in self._connections if connection.is_idle)
        return min(idle, key=lambda connection: connection.used_at, default=None)

    def release(self, connection: LimitedConnection) -> None:
        """Count a connection no more once it has ended; an evicted one is counted no more already."""
        if connection in self._connections:
            self._connections.remove(connection)
            self.tell_next_waiter()

    def wait(self, waiter: Waiter) -> None:
        """Have `waiter` called once there is room, in turn."""
        self._waiters.setdefault(waiter)

    def tell_next_waiter(self) -> None:
        """Call the next waiter that needs a connection, as one has ended or become idle."""
        while self._waiters:
            waiter = next(iter(self._waiters))
            del self._waiters[waiter]
            if waiter.needs_connection:
                waiter.on_room()
                return
