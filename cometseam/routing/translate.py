"""From what came in on sockets to the module's events, and from its relays to what is written."""

from hashlib import blake2b

from cometseam import interface as i
from cometseam.protocol.changelog import Line, Listing, Purge
from cometseam.protocol.frames import Order
from cometseam.protocol.resp import Command
from cometseam.timing import Sight, Table, whole_size
from cometseam.timing.table import IPV4
from cometseam.transport.attempt import End, How

HOWS = {
    How.UNSENT: i.Outcome.MOOT, How.UNCONNECTED: i.Outcome.CONNECT_FAILED, How.BROKEN: i.Outcome.RESET,
    How.TIMED_OUT: i.Outcome.TIMEOUT, How.GIVEN_UP: i.Outcome.CANCELLED,
}  # fmt: skip


# ms: what discovery tells while the front runs happened no longer ago than that. Stamps are Unix times of
# other machines; where this one's wall clock was wrong when the process started, an endpoint's start is so
# believed to be later than it was (colder), and a purge too (more copies are too old): never the reverse.
NEWS_AGE = 10_000.0


def instant(stamp: float, now: float, is_news: bool) -> float:
    """Return when something happened, on the scale of `now`, from the Unix time (ms) that its event gives."""
    return max(min(stamp, now), now - NEWS_AGE) if is_news else min(stamp, now)


class Roster:
    """The caches by number. It holds what the list holds: a cache that has gone leaves."""

    def __init__(self) -> None:
        self._lines: dict[int, Line] = {}
        self._numbers: dict[str, int] = {}
        self._started: dict[int, tuple[float, float]] = {}  # by number: its start's stamp, and the instant

    def __len__(self) -> int:
        return len(self._lines)

    def get(self, cache: int) -> Line | None:
        """Return a cache's line."""
        return self._lines.get(cache)

    def ready(self, cache: int) -> bool:
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
            known = self._started[number] = (stamp, instant(stamp, now, is_news))
        return known[1]

    def take(self, listing: Listing, now: float, is_news: bool = True) -> i.Members:
        """Take in a list, or its changes.

        Args:
            listing: what discovery told.
            now: the clock's time.
            is_news: it was told while the front ran, and is no list of the start.
        """
        if listing.whole:
            self._lines.clear()
            self._numbers.clear()
        entries = []
        for line in listing.lines:
            number = self._number(line.name)
            if line.lifecycle is i.Lifecycle.GONE:
                self._lines.pop(number, None)
                self._numbers.pop(line.name, None)
                self._started.pop(number, None)
            else:
                self._lines[number], self._numbers[line.name] = line, number
            started = self._start(number, line.ready_at, now, is_news)
            entries.append(
                i.Listed(number, line.lifecycle, started, line.cell, line.zone, line.kind, line.weight)
            )
        if listing.whole:
            self._started = {each: at for each, at in self._started.items() if each in self._lines}
        return i.Members(i.ListKind.FULL if listing.whole else i.ListKind.CHANGES, tuple(entries))


def purged(purge: Purge, now: float, is_news: bool = True) -> i.Purged:
    """Return a purge as an event."""
    return i.Purged(purge.object, purge.group, now - instant(purge.time, now, is_news))


def pull(number: int, order: Order, workload: int, left: float) -> i.Pull:
    """Return a client's order as an event."""
    return i.Pull(number, int(order.object, 16), order.part, workload, left, False, order.size_kb,
                  order.group)  # fmt: skip


def plan(event: i.Pull, table: Table, address: int) -> None:
    """Give a pull the plan of the first route that matches it, and the network of its client."""
    route = table.find(
        Sight(event.workload, event.object, event.group, event.part, whole_size(event.size_kb), address)
    )
    event.plan = table.routes[route][0] if route >= 0 else -1
    event.network = table.network(address)


def network_of(address: int) -> int:
    """Return the network of a client, for fairness: its /24, or its /48 with IPv6."""
    return address >> 8 if address >> 32 == IPV4 >> 32 else address >> 80


def ended(end: End, cache: int, now: float, closed: bool, reports: tuple[str, ...]) -> i.Ended:
    """Return a relay's end as an event."""
    ask, answer = end.ask, end.answer
    took = now - ask.asked_at
    if answer is None:
        outcome = HOWS[end.how]
        return i.Ended(ask.pull, ask.relay, cache, outcome, i.Remark.NONE, took, 0.0, closed, ())
    told = answer.load or {}
    load = tuple(told[name] for name in reports) if all(name in told for name in reports) else ()
    return i.Ended(ask.pull, ask.relay, cache, answer.outcome, answer.remark, took, answer.waited, closed,
                   load)  # fmt: skip


def command(relay: i.Relay, order: Order, source: str) -> Command:
    """Return what is written for a relay."""
    return Command(
        order.id, order.workload, order.object, order.part, source, relay.rank, relay.oldest, relay.join,
        relay.only_held, relay.parent_keeps_none, relay.renew, order.held_tag,
        order.mark,
    )  # fmt: skip
