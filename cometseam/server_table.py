"""The servers in use, by their part in routing: caches of the own zone, parents, the origin.

The collections are kept up to date by each change alone, so that a change costs the same in a large list as
in a small one.
"""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from typing import Generic, Protocol, TypeVar

from cometseam.interface import CacheEntry, Settings


class ListedServer(Protocol):
    """A server with its entry in the list."""

    entry: CacheEntry


ServerT = TypeVar("ServerT", bound=ListedServer)


def _cache_number(server: ListedServer) -> int:
    return server.entry.cache


class ServerTable(Generic[ServerT]):
    """Ready servers by cache number. Sequences are ordered by that number, whatever order they came in."""

    def __init__(self, settings: Settings) -> None:
        self._zone, self._parent_kind = settings.zone, settings.parent_kind
        self._origin_kind = settings.origin_kind
        self._hub_zone = settings.hub_of[settings.zone] if settings.zone < len(settings.hub_of) else -1
        self._servers: dict[int, ServerT] = {}
        self._edges: list[ServerT] = []
        self._edge_set: set[ServerT] = set()
        self._hub_parents: list[ServerT] = []
        self._other_parents: list[ServerT] = []
        self._origins: list[ServerT] = []

    @property
    def servers(self) -> Mapping[int, ServerT]:
        """All servers by cache number; the same mapping at each call."""
        return self._servers

    @property
    def edges(self) -> Sequence[ServerT]:
        """The caches of the own zone; the same list at each call."""
        return self._edges

    @property
    def edge_set(self) -> set[ServerT]:
        """The caches of the own zone; membership tests cost the same however many there are."""
        return self._edge_set

    @property
    def parents(self) -> Sequence[Sequence[ServerT]]:
        """The parents of the zone's hub, then all others; the same lists at each call."""
        return (self._hub_parents, self._other_parents)

    @property
    def origin(self) -> ServerT | None:
        """The origin; None if none is listed."""
        return self._origins[0] if self._origins else None

    def add(self, server: ServerT) -> None:
        """Add a server whose cache is not in the table. Its entry may not change while it is there."""
        assert server.entry.cache not in self._servers
        self._servers[server.entry.cache] = server
        role = self._role(server.entry)
        if role is None:
            return
        role.insert(bisect_left(role, server.entry.cache, key=_cache_number), server)
        if role is self._edges:
            self._edge_set.add(server)

    def pop(self, cache: int) -> ServerT | None:
        """Remove and return a server; None if the cache is not in the table."""
        server = self._servers.pop(cache, None)
        role = self._role(server.entry) if server is not None else None
        if server is not None and role is not None:
            del role[bisect_left(role, cache, key=_cache_number)]
            self._edge_set.discard(server)
        return server

    def _role(self, entry: CacheEntry) -> list[ServerT] | None:
        """Return the sequence that a server belongs to; None for a cache of another zone."""
        if entry.kind == self._parent_kind:
            return self._hub_parents if entry.zone == self._hub_zone else self._other_parents
        if entry.kind == self._origin_kind:
            return self._origins
        return self._edges if entry.zone == self._zone else None
