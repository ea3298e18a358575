"""When discovery is polled, on how many connections at once, and when one of them is given up. No I/O.

A poll whose answer is late may still be answered, and that answer notifies the front whether or not it is
read. So a late poll is not given up: another begins beside it, on a connection of its own, and whichever is
answered first tells. All times are milliseconds of a monotonic clock, which the caller passes in.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollPolicy:
    """Spans in milliseconds, and how many connections there may be.

    What discovery would have told, had it been asked, counts as known; so every wait of the front's own is
    well under the grace of a drain (`for_drain_grace`). By default a silent connection is followed by another
    after 2.0 s, and then by one each 250 ms, until one is answered.
    """

    hold: float = 1500.0  # how long discovery may keep a poll that it has nothing to tell
    quick_hold: float = 1.0  # the same of a poll that begins beside an overdue one: it is answered at once
    answer_allowance: float = 500.0  # past its hold, an unanswered poll is overdue
    quick_allowance: float = 200.0  # the same of a poll that is to be answered at once
    connect_allowance: float = 200.0  # a connection that has not come up by then is overdue
    abandon_after: float = 5000.0  # past its hold, an unanswered poll is given up
    connect_abandon_after: float = 1000.0  # a connection that has not come up by then is given up
    connection_interval: float = 250.0  # between two connections that begin beside each other
    initial_back_off: float = 20.0  # after a connection that failed, until another begins; it doubles
    max_back_off: float = 100.0
    max_connections: int = 8  # connections at once
    protected_polls: int = 2  # of them, the oldest polls, that are never given up early

    @classmethod
    def for_drain_grace(cls, grace: float) -> "PollPolicy":
        """Return the terms for a grace of drains in ms: no wait is over half of it."""
        defaults = cls()
        allowance = min(defaults.quick_allowance, 0.4 * grace)
        return cls(
            quick_allowance=allowance,
            connect_allowance=allowance,
            connection_interval=min(defaults.connection_interval, 0.5 * grace),
            max_back_off=max(min(defaults.max_back_off, 0.2 * grace), defaults.initial_back_off),
        )


@dataclass(slots=True)
class TrackedConnection:
    """One connection: coming up (`hold` is None), or with a poll that is not answered yet."""

    started_at: float
    hold: float | None = None
    uses_current_address: bool = True  # to the address that is configured now


@dataclass(frozen=True, slots=True)
class ScheduleDecision:
    """What is to be done now, and when to look again (the same clock)."""

    start_connection: bool
    abandoned: tuple[int, ...]
    next_check_at: float


class PollSchedule:
    """Decides for all connections of one front; a connection goes by a number that the caller gives it."""

    def __init__(self, policy: PollPolicy) -> None:
        """Begin with no connection."""
        self.policy = policy
        self._connections: dict[int, TrackedConnection] = {}
        self._earliest_start = float("-inf")  # no connection begins before
        self._back_off = policy.initial_back_off

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self._connections)

    def check(self, now: float) -> ScheduleDecision:
        """Tell whether another connection is to begin, and which ones are given up."""
        abandoned = tuple(
            number for number, each in self._connections.items() if self._abandon_at(each) <= now
        )
        remaining = [each for number, each in self._connections.items() if number not in abandoned]
        overdue_at = max(
            (self._overdue_at(each) for each in remaining if each.uses_current_address), default=now
        )
        start_at = max(overdue_at, self._earliest_start)
        start = start_at <= now
        if start and len(remaining) >= self.policy.max_connections:
            abandoned = (*abandoned, self._connection_to_replace(abandoned))
        times = [
            self._abandon_at(each) for number, each in self._connections.items() if number not in abandoned
        ]
        if not start:
            times.append(start_at)
        return ScheduleDecision(start, abandoned, min(times, default=now + self.policy.hold))

    def _connection_to_replace(self, abandoned: tuple[int, ...]) -> int:
        """Return the connection that gives its place to another.

        That is the newest with no poll yet, as no answer can be lost with it. Where all have one, it is the
        longest unanswered but for the oldest, which a very slow discovery still answers: a newer one's answer
        may be on its way, and the front would be notified without knowing.
        """
        remaining = {number: each for number, each in self._connections.items() if number not in abandoned}
        connecting = [number for number, each in remaining.items() if each.hold is None]
        if connecting:
            return max(connecting, key=lambda number: remaining[number].started_at)
        return sorted(remaining, key=lambda number: remaining[number].started_at)[self.policy.protected_polls]

    def connection_started(self, number: int, now: float) -> None:
        """Take in that a connection begins to come up."""
        if any(each.uses_current_address for each in self._connections.values()):
            self._earliest_start = now + self.policy.connection_interval
        self._connections[number] = TrackedConnection(now)

    def poll_sent(self, number: int, now: float, immediate: bool = False) -> float:
        """Take in that a poll is written on a connection; return how long discovery may hold it.

        Args:
            number: the connection's.
            now: the time.
            at_once: the answer is wanted now, also where it tells nothing.
        """
        connection = self._connections[number]
        is_first = connection.hold is None
        others = [
            each for other, each in self._connections.items() if other != number and each.uses_current_address
        ]
        immediate = immediate or (is_first and bool(others))
        hold = self.policy.quick_hold if immediate else self.policy.hold
        connection.started_at, connection.hold = now, hold
        return hold

    def poll_answered(self, number: int, now: float) -> bool:
        """Take in an answer; return whether the next poll goes over the same connection.

        It does not where another connection polls well, or where discovery has moved.
        """
        self._back_off = self.policy.initial_back_off
        # One that answers at once with nothing, and ends each connection, must not keep the front busy.
        self._earliest_start = now + self.policy.initial_back_off
        answered = self._connections[number]
        others = [
            each for other, each in self._connections.items() if other != number and each.uses_current_address
        ]
        return answered.uses_current_address and not any(now < self._overdue_at(each) for each in others)

    def connection_closed(self, number: int) -> None:
        """Take in that a connection is closed."""
        self._connections.pop(number, None)

    def connection_failed(self, number: int, now: float) -> None:
        """Take in that a connection broke, was refused, or brought what cannot be used."""
        self.connection_closed(number)
        self._earliest_start = now + self._back_off
        self._back_off = min(2.0 * self._back_off, self.policy.max_back_off)

    def address_changed(self, now: float) -> list[int]:
        """Take in that discovery has another address: a connection to it begins at once.

        Polls that are outstanding at the old one may still be answered. Returned are the connections that are
        to end: those with no poll yet, and the oldest where there would be no place for the new one.
        """
        self._back_off, self._earliest_start = self.policy.initial_back_off, now
        for each in self._connections.values():
            each.uses_current_address = False
        to_close = [number for number, each in self._connections.items() if each.hold is None]
        with_poll = [number for number in self._connections if number not in to_close]
        if len(with_poll) >= self.policy.max_connections:
            to_close.append(min(with_poll, key=lambda number: self._connections[number].started_at))
        return to_close

    def _overdue_at(self, each: TrackedConnection) -> float:
        if each.hold is None:
            return each.started_at + self.policy.connect_allowance
        is_quick = each.hold <= self.policy.quick_hold
        allowance = self.policy.quick_allowance if is_quick else self.policy.answer_allowance
        return each.started_at + each.hold + allowance

    def _abandon_at(self, each: TrackedConnection) -> float:
        if each.hold is None:
            return each.started_at + self.policy.connect_abandon_after
        return each.started_at + each.hold + self.policy.abandon_after
