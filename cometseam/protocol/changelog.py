"""The change log: numbered events on the list of caches and on purges."""

import json
from contextlib import suppress
from dataclasses import dataclass

from cometseam.interface import Lifecycle
from cometseam.protocol import Malformed
from cometseam.reading import Faulty, Section
from cometseam.settings import Names

MOST = 4 << 20  # bytes of one answer
STATES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the list of caches; zone and kind by their places in the settings."""

    name: str
    address: tuple[str, int]
    zone: int
    kind: int
    cell: int
    lifecycle: Lifecycle
    weight: float
    ready_at: float

    @property
    def is_ready(self) -> bool:
        """Tell whether requests may be sent to it."""
        return self.lifecycle is Lifecycle.READY


@dataclass(frozen=True, slots=True)
class Listing:
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


@dataclass(frozen=True, slots=True)
class Unusable:
    """An event that can't be read, and of a list of caches the lines that can."""

    seq: int
    why: str
    usable: Listing | None = None


Change = Listing | Purge | Unusable


def path(since: int, timeout: int) -> str:
    """Return what to ask for: the events after `since`."""
    return f"/changes?since={since}&timeout={timeout}"


def read_text(raw: bytes, names: Names) -> list[Change]:
    """Read the text of an answer."""
    try:
        return read_changes(Section(json.loads(raw)), names)
    except (ValueError, RecursionError) as error:
        raise Malformed(str(error)) from error


def read_changes(answer: Section, names: Names) -> list[Change]:
    """Read events, in order. One that can't be read says so in its place: none is half applied."""
    answer.whole("seq", low=0)
    changes: list[Change] = []
    for item in answer.sections("results"):
        seq = item.whole("seq", low=0)
        try:
            changes.append(_purge(seq, item) if "invalidate" in item.values else _whole(seq, item, names))
        except Faulty as error:
            changes.append(Unusable(seq, str(error), _usable(seq, item, names)))
    return sorted(changes, key=lambda change: change.seq)


def _purge(seq: int, item: Section) -> Purge:
    purge = item.section("invalidate")
    time = purge.number("time", low=0)
    if "object" in purge.values:
        return Purge(seq, read_id(purge, "object"), 0, time)
    return Purge(seq, 0, purge.whole("bucket", low=0), time)


def _whole(seq: int, item: Section, names: Names) -> Listing:
    """Read a list of caches of which each line can be read."""
    listing = item.section("fleet")
    lines = tuple(_line(line, names) for line in listing.sections("endpoints"))
    return Listing(seq, listing.flag("snapshot"), lines)


def _usable(seq: int, item: Section, names: Names) -> Listing | None:
    """Read what can be read of a list of caches.

    Of a line that can't, the name and a state that takes no more requests are enough: it counts as gone.
    """
    lines = []
    try:
        listing = item.section("fleet")
        for line in listing.sections("endpoints"):
            with suppress(Faulty):
                try:
                    lines.append(_line(line, names))
                except Faulty:
                    name = line.text("name")
                    if line.one_of("status", STATES) is not Lifecycle.READY:
                        lines.append(Line(name, ("", 0), 0, 0, 0, Lifecycle.GONE, 1.0, 0.0))
        return Listing(seq, listing.flag("snapshot"), tuple(lines)) if lines else None
    except Faulty:
        return None


def _line(line: Section, names: Names) -> Line:
    zones = {name: place for place, name in enumerate(names.zones)}
    kinds = {name: place for place, name in enumerate(names.kinds)}
    return Line(
        name=line.text("name"),
        address=read_address(line, "address"),
        zone=line.one_of("zone", zones),
        kind=line.one_of("type", kinds),
        cell=line.whole("group", 0),
        lifecycle=line.one_of("status", STATES),
        weight=line.number("weight", 1.0, low=0),
        ready_at=line.number("since_ms", 0.0, low=0),
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
    text = section.text(key)
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Faulty(f"{section.at(key)}: host:port was expected, not {text[:40]!r}")
    return host, int(port)
