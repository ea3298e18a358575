"""What a front knows of a range of keys on the service, from reads of the whole and a watch: without I/O.

Reads and the watch come in by different ways and overtake each other: a read that was answered before an
event may be handed in after it. Each carries the revision it is of, so what is older than what is known is
passed over, and what is told outside never goes back. A watch that was compacted, cut or lost events is
mended by the next read; that is why reads go on beside it, and the time since the last one that was
answered bounds how old the view can be (`age`).
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Entry:
    """A key: its value, the revisions at which it was created and last written."""

    value: bytes
    created: int
    written: int


@dataclass(frozen=True, slots=True)
class Told:
    """A change: the key and its entry; None where it is gone."""

    key: bytes
    entry: Entry | None


class View:
    """A range of keys. It holds what the range holds: a key that is gone leaves."""

    def __init__(self) -> None:
        self.keys: dict[bytes, Entry] = {}
        self.revision = 0  # the latest seen, of a read or an event
        self.read_at: float | None = None  # when the last answered read was sent
        self.rewound = 0  # times that the service came back with less than it had told

    def read(self, revision: int, entries: dict[bytes, Entry], sent_at: float, floor: int) -> list[Told]:
        """Take in a whole read, sent at `sent_at` when `revision` here was `floor`; tell what changed.

        A read of a lower revision than was known when it was sent can only come from a service that lost
        state (restored from a backup): the view starts anew with it. Fences keep what they know, so owners
        of the lesser past stay refused until revisions have passed the old ones.
        """
        if revision < floor:
            self.rewound += 1
        elif revision < self.revision:
            return []  # events have told more since it was answered; it says nothing of the time after
        told = [Told(key, None) for key in self.keys if key not in entries]
        told += [Told(key, entry) for key, entry in entries.items() if self.keys.get(key) != entry]
        self.keys, self.revision, self.read_at = dict(entries), revision, sent_at
        return told

    def event(self, revision: int, key: bytes, entry: Entry | None) -> list[Told]:
        """Take in an event of the watch, a write (`entry`) or a removal (None), made at `revision`."""
        known = self.keys.get(key)
        if revision < self.revision or (known is not None and known.written >= revision):
            return []  # a read, or the event itself, told it already
        self.revision = revision
        if entry is None:
            return [Told(key, None)] if self.keys.pop(key, None) is not None else []
        self.keys[key] = entry
        return [Told(key, entry)]

    def age(self, now: float) -> float:
        """How old (ms) what is here can be at most; infinite before the first read."""
        return float("inf") if self.read_at is None else now - self.read_at
