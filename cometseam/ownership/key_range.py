"""A front's view of a range of keys on the service, from reads of the whole range and a watch: without I/O.

Reads and watch events arrive independently and can overtake each other: the answer to a read from before an
event may be applied after it. Each carries its revision, so what is older than the view is ignored, and the
reported state never goes back. What a watch misses (it was compacted or cut, or lost events) the next read
corrects; so reads continue beside the watch, and the time since the last answered read bounds how old the
view can be (`age`).
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
    """A change: the key and its entry; None where it was removed."""

    key: bytes
    entry: KeyEntry | None


class KeyRangeView:
    """A range of keys. Its size is the range's: a removed key leaves the view."""

    def __init__(self) -> None:
        self.entries_by_key: dict[bytes, KeyEntry] = {}
        self.revision = 0  # the latest seen, of a read or an event
        self.last_read_at: float | None = None  # when the last answered read was sent
        self.revision_rollbacks = 0  # times that the service had a lower revision than seen before

    def apply_read(
        self, revision: int, entries: dict[bytes, KeyEntry], sent_at: float, floor: int
    ) -> list[KeyChange]:
        """Apply a read of the whole range, sent at `sent_at` when `revision` here was `floor`; return the
        changes.

        A read of a lower revision than was known when it was sent can only come from a service that lost
        state (restored from a backup): the view starts over with it. Fences keep their tokens, so owners
        elected at the lower revisions are rejected until revisions have passed the old ones.
        """
        if revision < floor:
            self.revision_rollbacks += 1
        elif revision < self.revision:
            return []  # later events have been applied since it was answered
        changes = [KeyChange(key, None) for key in self.entries_by_key if key not in entries]
        changes += [
            KeyChange(key, entry) for key, entry in entries.items() if self.entries_by_key.get(key) != entry
        ]
        self.entries_by_key, self.revision, self.last_read_at = dict(entries), revision, sent_at
        return changes

    def apply_event(self, revision: int, key: bytes, entry: KeyEntry | None) -> list[KeyChange]:
        """Apply a watch event, a write (`entry`) or removal (None), made at `revision`; return the change."""
        known = self.entries_by_key.get(key)
        if revision < self.revision or (known is not None and known.mod_revision >= revision):
            return []  # a read, or the event itself, was applied before
        self.revision = revision
        if entry is None:
            return [KeyChange(key, None)] if self.entries_by_key.pop(key, None) is not None else []
        self.entries_by_key[key] = entry
        return [KeyChange(key, entry)]

    def age(self, now: float) -> float:
        """Return the largest possible age (ms) of the view; infinite before the first read."""
        return float("inf") if self.last_read_at is None else now - self.last_read_at
