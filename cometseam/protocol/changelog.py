"""The change log: numbered events on the list of caches and on purges."""

import json
from dataclasses import dataclass
from typing import Any

from cometseam.interface import Lifecycle
from cometseam.protocol import Malformed
from cometseam.reading import Faulty, Section

MOST = 4 << 20  # bytes of one answer
STATES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the list of caches."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: Lifecycle
    weight: float
    since: float


@dataclass(frozen=True, slots=True)
class Fleet:
    """The list of caches, or what has changed in it."""

    seq: int
    whole: bool
    lines: tuple[Line, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or with object 0 a group, was purged at a time."""

    seq: int
    object: int
    group: int
    time: float


Change = Fleet | Purge


def path(since: int, timeout: int) -> str:
    """Return what to ask for: the events after `since`."""
    return f"/changes?since={since}&timeout={timeout}"


def read_text(raw: bytes) -> list[Change]:
    """Read the text of an answer."""
    try:
        return read_changes(Section(json.loads(raw)))
    except (ValueError, RecursionError) as error:
        raise Malformed(f"the change log: {error}") from error


def read_changes(answer: Section) -> list[Change]:
    """Read events; what is not usable is `Faulty` as a whole, so that nothing is half applied."""
    answer.whole("seq", low=0)
    return [_change(item) for item in answer.sections("results")]


def _change(item: Section) -> Change:
    seq = item.whole("seq", low=0)
    if "fleet" in item.values:
        fleet = item.section("fleet")
        return Fleet(seq, fleet.flag("snapshot"), tuple(_line(line) for line in fleet.sections("endpoints")))
    purge = item.section("invalidate")
    if "object" in purge.values:
        return Purge(seq, read_id(purge, "object"), 0, purge.number("time"))
    return Purge(seq, 0, purge.whole("bucket", low=0), purge.number("time"))


def _line(line: Section) -> Line:
    return Line(
        name=line.text("name"),
        address=read_address(line, "address"),
        zone=line.text("zone"),
        kind=line.text("type"),
        cell=line.whole("group", 0),
        state=line.one_of("status", STATES),
        weight=line.number("weight", 1.0, low=0),
        since=line.number("since_ms", 0.0, low=0),
    )


def read_id(section: Section, key: str) -> int:
    """Read an id of 16 hex digits."""
    text = section.text(key)
    try:
        if len(text) == 16:
            return int(text, 16)
    except ValueError:
        pass
    raise Faulty(f"{section.at(key)}: 16 hex digits were expected, not {text[:40]!r}")


def read_address(section: Section, key: str) -> tuple[str, int]:
    """Read `host:port`."""
    text: Any = section.text(key)
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Faulty(f"{section.at(key)}: host:port was expected, not {text[:40]!r}")
    return host, int(port)
