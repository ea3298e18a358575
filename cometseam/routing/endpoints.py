"""The table of listed caches, by number, and what each event of discovery changes in it."""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from hashlib import blake2b

from cometseam import interface as i
from cometseam.protocol.discovery_events import EndpointEntry, EndpointList

# Maximum age assumed for events that discovery sends while the front runs. Timestamps are Unix times of other
# machines. If this machine's wall clock was wrong when the process started, the limit makes the start of an
# endpoint or a purge seem later than it was (the endpoint colder, more copies too old), never earlier.
MAX_LIVE_EVENT_AGE_MS = 10_000.0


def local_event_time(timestamp: float, now: float, is_live: bool) -> float:
    """Return the time of an event on the clock of `now`, from its Unix timestamp (ms).

    It is never after `now`, and with `is_live` at most `MAX_LIVE_EVENT_AGE_MS` before.
    """
    return max(min(timestamp, now), now - MAX_LIVE_EVENT_AGE_MS) if is_live else min(timestamp, now)


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """What distinguishes a ready cache from one that was ready under its name before."""

    address: tuple[str, int]
    timestamp: float  # of its start, Unix time in ms


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """What an event of discovery changed, as numbers of caches, and the event for the decision module."""

    update: i.CacheListUpdate
    affected: Set[int]  # all that it named, and with a whole list all that were listed
    replaced: Set[int]  # were ready, and are not, or have another address or start
    ready: Set[int]  # those of the affected that are ready now
    not_ready: Set[int]  # were ready, and are not


class EndpointTable:
    """The listed caches by number. Caches that are gone are removed."""

    def __init__(self) -> None:
        self._entries: dict[int, EndpointEntry] = {}
        self._numbers_by_name: dict[str, int] = {}
        # By number: the timestamp of its start, and that time on the local clock.
        self._start_times: dict[int, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, cache: int) -> EndpointEntry | None:
        """Return a cache's entry; None if it is not listed."""
        return self._entries.get(cache)

    def is_ready(self, cache: int) -> bool:
        """Return whether a cache is listed as ready."""
        entry = self._entries.get(cache)
        return entry is not None and entry.lifecycle is i.Lifecycle.READY

    def _starts(self, caches: Iterable[int]) -> dict[int, EndpointStart]:
        """Return the starts of those of the caches that are ready, by number."""
        ready = i.Lifecycle.READY
        entries = ((cache, self._entries.get(cache)) for cache in caches)
        return {
            cache: EndpointStart(entry.address, entry.ready_at)
            for cache, entry in entries
            if entry is not None and entry.lifecycle is ready
        }

    def _affected_by(self, listing: EndpointList) -> set[int]:
        """Return the listed caches that an event names; a whole list affects each of them."""
        if listing.is_snapshot:
            return set(self._entries)
        numbers = (self._numbers_by_name.get(entry.name) for entry in listing.entries)
        return {number for number in numbers if number is not None}

    def apply(self, listing: EndpointList, now: float, is_live: bool = True) -> EndpointChanges:
        """Apply a list of caches, or changes to it, as `apply_listing` does; return what changed.

        The cost grows with the entries of the event, not with the table.
        """
        affected = self._affected_by(listing)
        previous = self._starts(affected)
        update = self.apply_listing(listing, now, is_live)
        affected.update(entry.cache for entry in update.entries)
        current = self._starts(affected)
        return EndpointChanges(
            update=update,
            affected=affected,
            replaced={cache for cache, start in previous.items() if current.get(cache) != start},
            ready=current.keys(),
            not_ready=previous.keys() - current.keys(),
        )

    def number(self, name: str) -> int | None:
        """Return the number of a cache; None if it is not listed."""
        return self._numbers_by_name.get(name)

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of the ready caches, by name."""
        ready = i.Lifecycle.READY
        return {entry.name: entry.address for entry in self._entries.values() if entry.lifecycle is ready}

    def _number_for(self, name: str) -> int:
        """Return a cache's number.

        It is derived from the name alone, so that all fronts use the same number, also after a restart.
        """
        salt = 0
        while name not in self._numbers_by_name:
            digest = blake2b(name.encode(), digest_size=8, salt=salt.to_bytes(8, "big")).digest()
            number = int.from_bytes(digest, "big")
            salt += 1  # on a collision (1 in 2^64) the later name is hashed with another salt
            if number not in self._entries:
                return number
        return self._numbers_by_name[name]

    def _start_time(self, number: int, timestamp: float, now: float, is_live: bool) -> float:
        """Return when a cache started (0: long ago). The same timestamp always gives the same local time."""
        if timestamp <= 0.0:
            self._start_times.pop(number, None)
            return 0.0
        known_start = self._start_times.get(number)
        if known_start is None or known_start[0] != timestamp:
            known_start = self._start_times[number] = (timestamp, local_event_time(timestamp, now, is_live))
        return known_start[1]

    def apply_listing(self, listing: EndpointList, now: float, is_live: bool = True) -> i.CacheListUpdate:
        """Apply a list of caches, or changes to it; return them as an event.

        Args:
            listing: the event from discovery.
            now: the clock's time.
            is_live: whether it was received while the front ran, rather than read at the start.
        """
        if listing.is_snapshot:
            self._entries.clear()
            self._numbers_by_name.clear()
        cache_entries = []
        for entry in listing.entries:
            number = self._number_for(entry.name)
            if entry.lifecycle is i.Lifecycle.GONE:
                self._entries.pop(number, None)
                self._numbers_by_name.pop(entry.name, None)
                self._start_times.pop(number, None)
            else:
                self._entries[number], self._numbers_by_name[entry.name] = entry, number
            started_at = self._start_time(number, entry.ready_at, now, is_live)
            cache_entries.append(
                i.CacheEntry(
                    number, entry.lifecycle, started_at, entry.cell, entry.zone, entry.kind, entry.weight
                )
            )
        if listing.is_snapshot:
            self._start_times = {
                cache: start for cache, start in self._start_times.items() if cache in self._entries
            }
        return i.CacheListUpdate(
            i.ListUpdateKind.FULL if listing.is_snapshot else i.ListUpdateKind.CHANGES, tuple(cache_entries)
        )
