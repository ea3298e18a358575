"""Decoding of discovery answers: numbered events on the list of caches and on purges."""

import json
from contextlib import suppress
from dataclasses import dataclass

from cometseam.interface import Lifecycle
from cometseam.json_section import FieldError, Section
from cometseam.protocol import ProtocolError
from cometseam.settings import NameTables

MAX_ANSWER_BYTES = 4 << 20  # maximum size of one answer
LIFECYCLES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the list of caches; zone and kind are indices into the lists of the settings."""

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
        """Return whether requests may be sent to the endpoint."""
        return self.lifecycle is Lifecycle.READY


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete list of caches (`is_snapshot`), or the entries that changed."""

    seq: int
    is_snapshot: bool
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """An object was purged at a time; with object 0, a whole group."""

    seq: int
    object: int
    group: int
    time: float


@dataclass(frozen=True, slots=True)
class UnusableEvent:
    """An event that cannot be decoded; `usable` holds the entries of a list of caches that can be."""

    seq: int
    reason: str
    usable: EndpointList | None = None


DiscoveryEvent = EndpointList | Purge | UnusableEvent


class NameIndexes:
    """The index of each zone and kind by its name, built once for all entries of an answer."""

    def __init__(self, names: NameTables) -> None:
        self.zones = {name: index for index, name in enumerate(names.zones)}
        self.kinds = {name: index for index, name in enumerate(names.kinds)}


def poll_path(since: int, timeout: int) -> str:
    """Return the request target of a poll for the events after `since`, held for at most `timeout` ms."""
    return f"/changes?since={since}&timeout={timeout}"


def parse_answer(raw: bytes, names: NameTables) -> list[DiscoveryEvent]:
    """Decode the text of an answer; raise ProtocolError if it is not valid."""
    try:
        return read_events(Section(json.loads(raw)), names)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(str(error)) from error


def read_events(answer: Section, names: NameTables) -> list[DiscoveryEvent]:
    """Decode events, ordered by sequence number.

    An event that cannot be decoded becomes an `UnusableEvent`, so that no event is silently applied in part.
    """
    answer.integer("seq", minimum=0)
    indexes = NameIndexes(names)
    events: list[DiscoveryEvent] = []
    for item in answer.sections("results"):
        seq = item.integer("seq", minimum=0)
        try:
            events.append(
                _parse_purge(seq, item)
                if "invalidate" in item.values
                else _parse_endpoint_list(seq, item, indexes)
            )
        except FieldError as error:
            events.append(UnusableEvent(seq, str(error), _parse_usable_entries(seq, item, indexes)))
    return sorted(events, key=lambda event: event.seq)


def _parse_purge(seq: int, item: Section) -> Purge:
    purge = item.section("invalidate")
    time = purge.number("time", minimum=0)
    if "object" in purge.values:
        return Purge(seq, read_id(purge, "object"), 0, time)
    return Purge(seq, 0, purge.integer("bucket", minimum=0), time)


def _parse_endpoint_list(seq: int, item: Section, indexes: NameIndexes) -> EndpointList:
    """Decode a list of caches; raise FieldError if any entry is invalid."""
    fleet = item.section("fleet")
    entries = tuple(_parse_entry(entry, indexes) for entry in fleet.sections("endpoints"))
    return EndpointList(seq, fleet.flag("snapshot"), entries)


def _parse_usable_entries(seq: int, item: Section, indexes: NameIndexes) -> EndpointList | None:
    """Decode the valid entries of a list of caches.

    An invalid entry with a valid name and a status other than ready is kept as gone, so that it gets no more
    requests.
    """
    entries = []
    try:
        fleet = item.section("fleet")
        for entry in fleet.sections("endpoints"):
            with suppress(FieldError):
                try:
                    entries.append(_parse_entry(entry, indexes))
                except FieldError:
                    name = entry.text("name")
                    if entry.one_of("status", LIFECYCLES) is not Lifecycle.READY:
                        entries.append(EndpointEntry(name, ("", 0), 0, 0, 0, Lifecycle.GONE, 1.0, 0.0))
        return EndpointList(seq, fleet.flag("snapshot"), tuple(entries)) if entries else None
    except FieldError:
        return None


def _parse_entry(entry: Section, indexes: NameIndexes) -> EndpointEntry:
    return EndpointEntry(
        name=entry.text("name"),
        address=read_address(entry, "address"),
        zone=entry.one_of("zone", indexes.zones),
        kind=entry.one_of("type", indexes.kinds),
        cell=entry.integer("group", 0),
        lifecycle=entry.one_of("status", LIFECYCLES),
        weight=entry.number("weight", 1.0, minimum=0),
        ready_at=entry.number("since_ms", 0.0, minimum=0),
    )


def read_id(section: Section, key: str) -> int:
    """Read an object id of 16 hex digits."""
    text = section.text(key)
    try:
        if len(text) == 16:
            return int(text, 16)
    except ValueError:
        pass
    raise FieldError(f"{section.key_path(key)}: 16 hex digits were expected, not {text[:40]!r}")


def read_address(section: Section, key: str) -> tuple[str, int]:
    """Read an address of the form `host:port`."""
    text = section.text(key)
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FieldError(f"{section.key_path(key)}: host:port was expected, not {text[:40]!r}")
    return host, int(port)
