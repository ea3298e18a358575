"""From what came in on sockets to the module's events, and from its relays to what is written."""

from hashlib import blake2b

from cometseam import interface as i
from cometseam.protocol.discovery_events import EndpointEntry, EndpointList, Purge
from cometseam.protocol.frames import PullRequest
from cometseam.protocol.resp import Command
from cometseam.timing import RouteKey, RouteTable, size_in_bytes
from cometseam.timing.table import IPV4_MAPPED_BASE
from cometseam.transport.attempt import AttemptEnded, EndReason

HOWS = {
    EndReason.UNSENT: i.Outcome.NOT_SENT,
    EndReason.UNCONNECTED: i.Outcome.CONNECT_FAILED,
    EndReason.BROKEN: i.Outcome.RESET,
    EndReason.TIMED_OUT: i.Outcome.TIMEOUT,
    EndReason.GIVEN_UP: i.Outcome.CANCELLED,
}


# ms: what discovery tells while the front runs happened no longer ago than that. Stamps are Unix times of
# other machines; where this one's wall clock was wrong when the process started, an endpoint's start is so
# believed to be later than it was (colder), and a purge too (more copies are too old): never the reverse.
MAX_LIVE_EVENT_AGE_MS = 10_000.0


def local_event_time(stamp: float, now: float, is_news: bool) -> float:
    """Return when something happened, on the scale of `now`, from the Unix time (ms) that its event gives."""
    return max(min(stamp, now), now - MAX_LIVE_EVENT_AGE_MS) if is_news else min(stamp, now)


class EndpointTable:
    """The caches by number. It holds what the list holds: a cache that has gone leaves."""

    def __init__(self) -> None:
        self._lines: dict[int, EndpointEntry] = {}
        self._numbers: dict[str, int] = {}
        self._started: dict[int, tuple[float, float]] = {}  # by number: its start's stamp, and the instant

    def __len__(self) -> int:
        return len(self._lines)

    def get(self, cache: int) -> EndpointEntry | None:
        """Return a cache's line."""
        return self._lines.get(cache)

    def is_ready(self, cache: int) -> bool:
        """Tell whether the list has a cache as ready."""
        line = self._lines.get(cache)
        return line is not None and line.lifecycle is i.Lifecycle.READY

    def starts(self) -> dict[int, tuple[tuple[str, int], float]]:
        """Return the address and the last start of each cache that is ready, by number."""
        ready = i.Lifecycle.READY
        lines = self._lines.items()
        return {cache: (line.address, line.ready_at) for cache, line in lines if line.lifecycle is ready}

    def number(self, name: str) -> int | None:
        """Return the number of a listed cache; None where it is not listed."""
        return self._numbers.get(name)

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of the caches that are ready, by name."""
        ready = i.Lifecycle.READY
        return {line.name: line.address for line in self._lines.values() if line.lifecycle is ready}

    def _number(self, name: str) -> int:
        """Tell a cache's number: by its name alone, so that all fronts hash alike, also after a restart."""
        salt = 0
        while name not in self._numbers:
            digest = blake2b(name.encode(), digest_size=8, salt=salt.to_bytes(8, "big")).digest()
            number = int.from_bytes(digest, "big")
            salt += 1  # two names in 2^64 alike: the later one draws again
            if number not in self._lines:
                return number
        return self._numbers[name]

    def _start(self, number: int, stamp: float, now: float, is_news: bool) -> float:
        """Return when a cache started (0: long ago); one start stays one instant, however often told."""
        if stamp <= 0.0:
            self._started.pop(number, None)
            return 0.0
        known = self._started.get(number)
        if known is None or known[0] != stamp:
            known = self._started[number] = (stamp, local_event_time(stamp, now, is_news))
        return known[1]

    def apply_listing(self, listing: EndpointList, now: float, is_news: bool = True) -> i.CacheListUpdate:
        """Take in a list, or its changes.

        Args:
            listing: what discovery told.
            now: the clock's time.
            is_news: it was told while the front ran, and is no list of the start.
        """
        if listing.is_snapshot:
            self._lines.clear()
            self._numbers.clear()
        entries = []
        for line in listing.entries:
            number = self._number(line.name)
            if line.lifecycle is i.Lifecycle.GONE:
                self._lines.pop(number, None)
                self._numbers.pop(line.name, None)
                self._started.pop(number, None)
            else:
                self._lines[number], self._numbers[line.name] = line, number
            started = self._start(number, line.ready_at, now, is_news)
            entries.append(
                i.CacheEntry(number, line.lifecycle, started, line.cell, line.zone, line.kind, line.weight)
            )
        if listing.is_snapshot:
            self._started = {each: at for each, at in self._started.items() if each in self._lines}
        return i.CacheListUpdate(
            i.ListUpdateKind.FULL if listing.is_snapshot else i.ListUpdateKind.CHANGES, tuple(entries)
        )


def purge_event(purge: Purge, now: float, is_news: bool = True) -> i.Purged:
    """Return a purge as an event."""
    return i.Purged(purge.object, purge.group, now - local_event_time(purge.time, now, is_news))


def pull_event(number: int, order: PullRequest, workload: int, left: float) -> i.Pull:
    """Return a client's order as an event."""
    return i.Pull(number, int(order.object, 16), order.part, workload, left, False, order.size_kb,
                  order.group)  # fmt: skip


def assign_plan(event: i.Pull, table: RouteTable, address: int) -> None:
    """Give a pull the plan of the first route that matches it, and the network of its client."""
    route = table.find(
        RouteKey(event.workload, event.object, event.group, event.part, size_in_bytes(event.size_kb), address)
    )
    event.plan_index = table.routes[route][0] if route >= 0 else -1
    event.network_index = table.find_network(address)


def network_of(address: int) -> int:
    """Return the network of a client, for fairness: its /24, or its /48 with IPv6."""
    return address >> 8 if address >> 32 == IPV4_MAPPED_BASE >> 32 else address >> 80


def ended_event(
    end: AttemptEnded, cache: int, now: float, closed: bool, reports: tuple[str, ...]
) -> i.RelayEnded:
    """Return a relay's end as an event."""
    ask, answer = end.attempt, end.answer
    took = now - ask.queued_at
    if answer is None:
        outcome = HOWS[end.reason]
        return i.RelayEnded(
            ask.pull_number, ask.relay_index, cache, outcome, i.Remark.NONE, took, 0.0, closed, ()
        )
    told = answer.load or {}
    load = tuple(told[name] for name in reports) if all(name in told for name in reports) else ()
    return i.RelayEnded(
        ask.pull_number,
        ask.relay_index,
        cache,
        answer.outcome,
        answer.remark,
        took,
        answer.waited,
        closed,
        load,
    )


def relay_command(relay: i.Relay, order: PullRequest, source: str) -> Command:
    """Return what is written for a relay."""
    return Command(
        order.id,
        order.workload,
        order.object,
        order.part,
        source,
        relay.rank,
        relay.max_age,
        relay.join_fill,
        relay.only_cached,
        relay.parent_no_store,
        relay.renew,
        order.held_tag,
        order.idempotency_key,
    )
