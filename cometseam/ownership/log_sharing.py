"""One front reads the discovery event log for all: who reads it, when others poll themselves. Without I/O.

The front that owns the task `list` polls the log as usual, and after each poll publishes its position with
the latest events. The others pause their own polls while that update is fresh: while it has changed within
`bound_ms` by their own clock. They poll themselves, at once and until it is fresh again,

- when the update stops changing (the reader died, its link to the log or theirs to the service failed): so a
  drain or a purge is known at most `bound_ms` later than by a poll of its own, plus that poll;
- when the update leaves a gap (this front was away for longer than the tail covers): until it has caught up;
- when this front's configuration names another log than the one that the update was read from, or has changed
  since the update was received.

This requires one log with one numbering for all fronts; the file states that by naming `fleet.log`. While a
log moves, some fronts follow the old address and some the new one, so each update names its own.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MAX_TAIL_EVENTS = 256  # events in the reader's update
# Size of the update; older events are left out, which leaves a gap that the other fronts poll for themselves.
MAX_TAIL_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class LogSource:
    """The log that a front's configuration names, and how often the name has changed in this process."""

    address: str  # host:port
    generation: int = 0


@dataclass(slots=True)
class LogTail:
    """The reader's latest events: at most `MAX_TAIL_EVENTS`, and `MAX_TAIL_BYTES` in total."""

    events: deque[tuple[int, int, Any]] = field(default_factory=deque)  # number, size, event
    size: int = 0
    polls: int = 0

    def add(self, events: list[tuple[int, int, Any]]) -> None:
        """Add the events of a poll: each with its number and its size in bytes."""
        self.polls += 1
        for number, size, event in events:
            if self.events and number != self.events[-1][0] + 1:
                self.events.clear()  # events before a gap are of no use
                self.size = 0
            self.events.append((number, size, event))
            self.size += size
            while self.events and (len(self.events) > MAX_TAIL_EVENTS or self.size > MAX_TAIL_BYTES):
                self.size -= self.events.popleft()[1]

    def event_payloads(self) -> list[Any]:
        """The events to publish, in order."""
        return [event for _, _, event in self.events]


class LogPollGate:
    """The other fronts' side: whether this front polls the log itself."""

    def __init__(self, bound_ms: float) -> None:
        self.bound_ms = bound_ms
        self.latest_update: tuple[int, int] = (0, 0)  # token of the reader and number of its polls
        # When the latest usable update was received, and under which configuration.
        self.received_at: float | None = None
        self.received_for: LogSource | None = None
        self.has_gap = False
        self.stale_updates = 0  # updates of an earlier reader, ignored
        self.foreign_updates = 0  # updates read from another log than this front's, ignored

    def record_update(self, token: int, polls: int, address: str, source: LogSource, now: float) -> bool:
        """Record an update of the reader; return whether it is a new one, read from this front's log.

        Args:
            token: fencing token of the reader.
            polls: number of the reader's polls under that token.
            address: the log that the reader polled.
            source: the log that this front's configuration names.
            now: the clock's time, in ms.
        """
        if (token, polls) < self.latest_update:
            self.stale_updates += 1
            return False
        if (token, polls) == self.latest_update:
            return False  # a read of the whole range shows it again: that does not make it fresher
        self.latest_update = (token, polls)
        if address != source.address:
            self.foreign_updates += 1
            return False
        self.received_at, self.received_for = now, source
        return True

    def record_catch_up(self, complete: bool) -> None:
        """Record that an update was applied: without a gap after this front's position (`complete`), or
        not."""
        self.has_gap = not complete

    def should_poll(self, is_reader: bool, source: LogSource, now: float) -> bool:
        """Return whether this front polls the log of `source` now; `is_reader`: it owns the task `list`."""
        fresh = (
            self.received_at is not None
            and self.received_for == source
            and now < self.received_at + self.bound_ms
        )
        return is_reader or self.has_gap or not fresh
