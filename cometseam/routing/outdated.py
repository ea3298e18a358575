"""Which decisions on relays are outdated by events that discovery has sent since."""

from dataclasses import dataclass, field

from cometseam import interface as i
from cometseam.protocol.discovery_events import Purge


@dataclass(slots=True)
class OutdatedDecisions:
    """Collects the purges, and the caches that drained, left or started anew, of one or more events."""

    caches: set[int] = field(default_factory=set)
    _objects: set[int] = field(default_factory=set)
    _groups: set[int] = field(default_factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether no decision is outdated."""
        return not (self.caches or self._objects or self._groups)

    def add_purge(self, purge: Purge) -> None:
        """Add a purge of an object or of a group."""
        if purge.object:
            self._objects.add(purge.object)
        else:
            self._groups.add(purge.group)

    def affects(self, pull: i.Pull, relay: i.Relay) -> bool:
        """Return whether a relay of a pull was decided before one of the events."""
        return (
            relay.cache in self.caches
            or relay.source in self.caches
            or pull.object in self._objects
            or pull.group in self._groups
        )
