"""From what came in on sockets to the module's events, and from its relays to what is written."""

from hashlib import blake2b

from loguru import logger

from cometseam import interface as i
from cometseam.protocol import Malformed
from cometseam.protocol.changelog import Fleet, Line, Purge
from cometseam.protocol.frames import Request
from cometseam.settings import Names
from cometseam.transport.peer import End, How

WORDS = {
    "DONE": i.Outcome.OK, "KEEP": i.Outcome.OK, "LACK": i.Outcome.MISS, "WAIT": i.Outcome.FULL,
    "BROKE": i.Outcome.ERROR, "PAST": i.Outcome.MOOT,
}  # fmt: skip
HOWS = {
    How.UNSENT: i.Outcome.MOOT, How.UNCONNECTED: i.Outcome.CONNECT_FAILED, How.BROKEN: i.Outcome.RESET,
    How.TIMED_OUT: i.Outcome.TIMEOUT, How.GIVEN_UP: i.Outcome.CANCELLED,
}  # fmt: skip
REMARKS = {
    "cached": i.Remark.HIT, "fetched": i.Remark.FILLED, "fetched_root": i.Remark.FILLED_FROM_ORIGIN,
    "merged": i.Remark.JOINED, "past_fresh": i.Remark.STALE, "up_refused": i.Remark.SOURCE_REFUSED,
    "up_lost": i.Remark.SOURCE_BROKE, "up_empty": i.Remark.SOURCE_LACKS, "fills_full": i.Remark.NO_PLACE,
    "root_failed": i.Remark.ORIGIN_FAILED,
}  # fmt: skip


class Roster:
    """The caches by name and by number. It holds what the list holds, so a cache that is gone leaves."""

    def __init__(self, names: Names) -> None:
        self._zones = {name: place for place, name in enumerate(names.zones)}
        self._kinds = {name: place for place, name in enumerate(names.kinds)}
        self._lines: dict[int, Line] = {}
        self._numbers: dict[str, int] = {}

    def __contains__(self, cache: int) -> bool:
        return cache in self._lines

    def line(self, cache: int) -> Line:
        """Return a cache's line."""
        return self._lines[cache]

    def _number(self, name: str) -> int:
        """Tell a cache's number: by its name alone, so that all fronts hash alike, also after a restart."""
        number = self._numbers.get(name)
        salt = 0
        while number is None:
            digest = blake2b(name.encode(), digest_size=8, salt=salt.to_bytes(8, "big")).digest()
            number = int.from_bytes(digest, "big")
            if number in self._lines:  # two names in 2^64 alike: the later one draws again
                number, salt = None, salt + 1
        return number

    def check(self, fleet: Fleet) -> None:
        """Refuse a list of which a line can't be used."""
        for line in fleet.lines:
            if line.zone not in self._zones:
                raise Malformed(f"{line.name}: unknown zone {line.zone!r}")
            if line.kind not in self._kinds:
                raise Malformed(f"{line.name}: unknown type {line.kind!r}")

    def members(self, fleet: Fleet) -> i.Members:
        """Take in a list or its changes."""
        if fleet.whole:
            self._lines.clear()
            self._numbers.clear()
        entries = []
        for line in fleet.lines:
            number = self._number(line.name)
            if line.state is i.Lifecycle.GONE:
                self._lines.pop(number, None)
                self._numbers.pop(line.name, None)
            else:
                self._lines[number], self._numbers[line.name] = line, number
            entries.append(
                i.Listed(number, line.state, line.since, line.cell, self._zones[line.zone],
                         self._kinds[line.kind], line.weight)
            )  # fmt: skip
        return i.Members(i.ListKind.FULL if fleet.whole else i.ListKind.CHANGES, tuple(entries))


def purged(purge: Purge, now: float) -> i.Purged:
    """Return a purge as an event."""
    return i.Purged(purge.object, purge.group, max(now - purge.time, 0.0))


def pull(number: int, request: Request, workload: int, left: float) -> i.Pull:
    """Return a request as an event."""
    return i.Pull(number, int(request.item, 16), request.nth, workload, left, False, request.ram,
                  request.batch)  # fmt: skip


def ended(end: End, cache: int, now: float, closed: bool, reports: tuple[str, ...]) -> i.Ended:
    """Return a relay's end as an event."""
    ask, answer = end.ask, end.answer
    outcome, remark, waited = i.Outcome.ERROR, i.Remark.NONE, 0.0
    load: tuple[float, ...] = ()
    if answer is None:
        outcome = HOWS[end.how]
    else:
        outcome = WORDS.get(answer.word, i.Outcome.ERROR)
        remark = REMARKS.get(answer.fields.get("why", ""), i.Remark.NONE)
        waited = _number(answer.fields.get("lag", ""))
        load = _load(answer.fields.get("rep", ""), reports)
    return i.Ended(ask.pull, ask.relay, cache, outcome, remark, now - ask.asked_at, waited, closed, load)


def _number(text: str) -> float:
    try:
        return max(float(text), 0.0) if text else 0.0
    except ValueError:
        logger.warning("a cache told {!r} for a number", text[:40])
        return 0.0


def _load(text: str, reports: tuple[str, ...]) -> tuple[float, ...]:
    """Read `name:value;name:value`; a report that lacks a figure is none."""
    told = dict(item.partition(":")[::2] for item in text.split(";")) if text else {}
    return tuple(_number(told[name]) for name in reports) if all(name in told for name in reports) else ()


def relay_fields(relay: i.Relay, request: Request, source: str) -> dict[str, str]:
    """Return the fields of a relay but its time, which is told when it is written."""
    asked = {"ride": relay.join, "have-only": relay.only_held, "through": relay.parent_keeps_none,
             "update": relay.renew}  # fmt: skip
    opts = [word for word, on in asked.items() if on]
    fields = {"lane": request.verb, "name": request.item, "piece": str(request.nth)}
    if source:
        fields["via"] = source
    if relay.rank:
        fields["tier"] = str(relay.rank)
    if relay.oldest > 0:
        fields["fresh"] = str(max(int(relay.oldest), 1))
    if opts:
        fields["opts"] = "+".join(opts)
    if request.got:
        fields["known"] = request.got
    return fields
