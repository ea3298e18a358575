"""One front reads the change log for all: who reads it, and when the others do so themselves. Without I/O.

The front that holds the task `list` polls the log as ever, and says after each poll how far it has come, with
the last events. The others rest their own polls while that word is fresh: while it has changed within
`bound_ms` by their own clock. They poll themselves, at once and until it is fresh again,

- when the word stands still (the reader died, its link to the log or theirs to the service failed): what a
  front does not hear it asks for, so that a drain or a purge is known at most `bound_ms` later than by a poll
  of its own, plus that poll;
- when the word leaves a gap (it was away for longer than the tail reaches back): until it has caught up.

It takes one log for all fronts with one numbering; the file says so by naming `fleet.log`.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MAX_TAIL_EVENTS = 256  # events that the reader's word reaches back
MAX_TAIL_BYTES = 256 << 10  # bytes of it; an event beyond leaves a gap, which the others ask for themselves


@dataclass(slots=True)
class LogTail:
    """The reader's side: its last events. It holds `TAIL` of them, and `MOST` bytes, at most."""

    events: deque[tuple[int, int, Any]] = field(default_factory=deque)  # number, size, event
    size: int = 0
    polls: int = 0

    def add(self, events: list[tuple[int, int, Any]]) -> None:
        """Take in what a poll brought: each event with its number and its size in bytes."""
        self.polls += 1
        for number, size, event in events:
            if self.events and number != self.events[-1][0] + 1:
                self.events.clear()  # what lies before a gap helps nobody
                self.size = 0
            self.events.append((number, size, event))
            self.size += size
            while self.events and (len(self.events) > MAX_TAIL_EVENTS or self.size > MAX_TAIL_BYTES):
                self.size -= self.events.popleft()[1]

    def event_payloads(self) -> list[Any]:
        """The events to be said, in order."""
        return [event for _, _, event in self.events]


class LogPollGate:
    """The others' side: whether this front polls the log itself."""

    def __init__(self, bound_ms: float) -> None:
        self.bound_ms = bound_ms
        self.latest_update: tuple[int, int] = (0, 0)  # token of the reader and its polls, as last heard
        self.received_at: float | None = None
        self.has_gap = False
        self.stale_updates = 0  # words of an older reader, passed over

    def record_update(self, token: int, polls: int, now: float) -> bool:
        """A word of the reader was seen; return whether it says something new."""
        if (token, polls) < self.latest_update:
            self.stale_updates += 1
            return False
        if (token, polls) == self.latest_update:
            return False  # a read of the whole shows it again: it is no fresher for it
        self.latest_update, self.received_at = (token, polls), now
        return True

    def record_catch_up(self, complete: bool) -> None:
        """The word was taken in, and went on from where this front was (`whole`) or left a gap."""
        self.has_gap = not complete

    def should_poll(self, is_reader: bool, now: float) -> bool:
        """Tell whether this front polls the log now; `reads`: it holds the task `list`."""
        fresh = self.received_at is not None and now < self.received_at + self.bound_ms
        return is_reader or self.has_gap or not fresh
