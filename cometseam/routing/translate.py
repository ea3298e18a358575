"""Converts received messages to events of the decision module, and its relays to commands."""

from hashlib import blake2b

from cometseam import interface as i
from cometseam.protocol.discovery_events import EndpointEntry, EndpointList, Purge
from cometseam.protocol.frames import PullRequest
from cometseam.protocol.resp import Command
from cometseam.timing import RouteKey, RouteTable, size_in_bytes
from cometseam.timing.table import IPV4_MAPPED_BASE
from cometseam.transport.attempt import AttemptEnded, EndReason

OUTCOMES_BY_END_REASON = {
    EndReason.UNSENT: i.Outcome.NOT_SENT,
    EndReason.UNCONNECTED: i.Outcome.CONNECT_FAILED,
    EndReason.BROKEN: i.Outcome.RESET,
    EndReason.TIMED_OUT: i.Outcome.TIMEOUT,
    EndReason.GIVEN_UP: i.Outcome.CANCELLED,
}


# Maximum age assumed for events that discovery sends while the front runs. Timestamps are Unix times of other
# machines. If this machine's wall clock was wrong when the process started, the limit makes the start of an
# endpoint or a purge seem later than it was (the endpoint colder, more copies too old), never earlier.
MAX_LIVE_EVENT_AGE_MS = 10_000.0


def local_event_time(timestamp: float, now: float, is_live: bool) -> float:
    """Return the time of an event on the clock of `now`, from its Unix timestamp (ms).

    It is never after `now`, and with `is_live` at most `MAX_LIVE_EVENT_AGE_MS` before.
    """
    return max(min(timestamp, now), now - MAX_LIVE_EVENT_AGE_MS) if is_live else min(timestamp, now)


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

    def starts(self) -> dict[int, tuple[tuple[str, int], float]]:
        """Return the address and start timestamp of each ready cache, by number."""
        ready = i.Lifecycle.READY
        entries = self._entries.items()
        return {
            cache: (entry.address, entry.ready_at) for cache, entry in entries if entry.lifecycle is ready
        }

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


def purge_event(purge: Purge, now: float, is_live: bool = True) -> i.Purged:
    """Return the event for a purge."""
    return i.Purged(purge.object, purge.group, now - local_event_time(purge.time, now, is_live))


def pull_event(number: int, request: PullRequest, workload: int, time_left: float) -> i.Pull:
    """Return the event for a client's request, with `time_left` ms until its deadline."""
    return i.Pull(number, int(request.object, 16), request.part, workload, time_left, False, request.size_kb,
                  request.group)  # fmt: skip


def assign_plan(event: i.Pull, table: RouteTable, address: int) -> None:
    """Set a pull's plan, from the first route that matches it, and the network of its client."""
    route = table.find(
        RouteKey(event.workload, event.object, event.group, event.part, size_in_bytes(event.size_kb), address)
    )
    event.plan_index = table.routes[route][0] if route >= 0 else -1
    event.network_index = table.find_network(address)


def network_of(address: int) -> int:
    """Return the network of a client address, used for fairness: its /24, or with IPv6 its /48."""
    return address >> 8 if address >> 32 == IPV4_MAPPED_BASE >> 32 else address >> 80


def ended_event(
    end: AttemptEnded, cache: int, now: float, is_pull_closed: bool, load_names: tuple[str, ...]
) -> i.RelayEnded:
    """Return the event for the end of a relay.

    Args:
        end: how the attempt ended.
        cache: the cache that it was sent to.
        now: the clock's time.
        is_pull_closed: whether the pull needs no answer any more.
        load_names: the load values to pass on; none are unless the answer has all of them.
    """
    attempt, answer = end.attempt, end.answer
    duration = now - attempt.queued_at
    if answer is None:
        outcome = OUTCOMES_BY_END_REASON[end.reason]
        return i.RelayEnded(
            attempt.pull_number,
            attempt.relay_index,
            cache,
            outcome,
            i.Remark.NONE,
            duration,
            0.0,
            is_pull_closed,
            (),
        )
    reported_load = answer.load or {}
    load = (
        tuple(reported_load[name] for name in load_names)
        if all(name in reported_load for name in load_names)
        else ()
    )
    return i.RelayEnded(
        attempt.pull_number,
        attempt.relay_index,
        cache,
        answer.outcome,
        answer.remark,
        duration,
        answer.waited,
        is_pull_closed,
        load,
    )


def relay_command(relay: i.Relay, request: PullRequest, source: str) -> Command:
    """Return the command to send for a relay."""
    return Command(
        request.id,
        request.workload,
        request.object,
        request.part,
        source,
        relay.rank,
        relay.max_age,
        relay.join_fill,
        relay.only_cached,
        relay.parent_no_store,
        relay.renew,
        request.held_tag,
        request.idempotency_key,
    )
