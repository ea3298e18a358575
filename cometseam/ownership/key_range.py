"""What a front knows of a range of keys on the service, from reads of the whole and a watch: without I/O.

Reads and the watch come in by different ways and overtake each other: a read that was answered before an
event may be handed in after it. Each carries the revision it is of, so what is older than what is known is
passed over, and what is told outside never goes back. A watch that was compacted, cut or lost events is
mended by the next read; that is why reads go on beside it, and the time since the last one that was
answered bounds how old the view can be (`age`).
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A key: its value, the revisions at which it was created and last written."""

    value: bytes
    create_revision: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A change: the key and its entry; None where it is gone."""

    key: bytes
    entry: KeyEntry | None


class KeyRangeView:
    """A range of keys. It holds what the range holds: a key that is gone leaves."""

    def __init__(self) -> None:
        self.entries_by_key: dict[bytes, KeyEntry] = {}
        self.revision = 0  # the latest seen, of a read or an event
        self.last_read_at: float | None = None  # when the last answered read was sent
        self.revision_rollbacks = 0  # times that the service came back with less than it had told

    def apply_read(
        self, revision: int, entries: dict[bytes, KeyEntry], sent_at: float, floor: int
    ) -> list[KeyChange]:
        """Take in a whole read, sent at `sent_at` when `revision` here was `floor`; tell what changed.

        A read of a lower revision than was known when it was sent can only come from a service that lost
        state (restored from a backup): the view starts anew with it. Fences keep what they know, so owners
        of the lesser past stay refused until revisions have passed the old ones.
        """
        if revision < floor:
            self.revision_rollbacks += 1
        elif revision < self.revision:
            return []  # events have told more since it was answered; it says nothing of the time after
        changes = [KeyChange(key, None) for key in self.entries_by_key if key not in entries]
        changes += [
            KeyChange(key, entry) for key, entry in entries.items() if self.entries_by_key.get(key) != entry
        ]
        self.entries_by_key, self.revision, self.last_read_at = dict(entries), revision, sent_at
        return changes

    def apply_event(self, revision: int, key: bytes, entry: KeyEntry | None) -> list[KeyChange]:
        """Take in an event of the watch, a write (`entry`) or a removal (None), made at `revision`."""
        known = self.entries_by_key.get(key)
        if revision < self.revision or (known is not None and known.mod_revision >= revision):
            return []  # a read, or the event itself, told it already
        self.revision = revision
        if entry is None:
            return [KeyChange(key, None)] if self.entries_by_key.pop(key, None) is not None else []
        self.entries_by_key[key] = entry
        return [KeyChange(key, entry)]

    def age(self, now: float) -> float:
        """How old (ms) what is here can be at most; infinite before the first read."""
        return float("inf") if self.last_read_at is None else now - self.last_read_at
