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
        usual = cls()
        patience = min(usual.quick_allowance, 0.4 * grace)
        return cls(
            quick_allowance=patience,
            connect_allowance=patience,
            connection_interval=min(usual.connection_interval, 0.5 * grace),
            max_back_off=max(min(usual.max_back_off, 0.2 * grace), usual.initial_back_off),
        )


@dataclass(slots=True)
class TrackedConnection:
    """One connection: coming up (`hold` is None), or with a poll that is not answered yet."""

    since: float
    hold: float | None = None
    current: bool = True  # to the address that is configured now


@dataclass(frozen=True, slots=True)
class ScheduleDecision:
    """What is to be done now, and when to look again (the same clock)."""

    start_connection: bool
    abandoned: tuple[int, ...]
    next_check_at: float


class PollSchedule:
    """Decides for all connections of one front; a connection goes by a number that the caller gives it."""

    def __init__(self, terms: PollPolicy) -> None:
        """Begin with no connection."""
        self.terms = terms
        self._outstanding: dict[int, TrackedConnection] = {}
        self._begin_from = float("-inf")  # no connection begins before
        self._wait = terms.initial_back_off

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self._outstanding)

    def check(self, now: float) -> ScheduleDecision:
        """Tell whether another connection is to begin, and which ones are given up."""
        lost = tuple(number for number, each in self._outstanding.items() if self._lost_at(each) <= now)
        live = [each for number, each in self._outstanding.items() if number not in lost]
        overdue_at = max((self._overdue_at(each) for each in live if each.current), default=now)
        begin_at = max(overdue_at, self._begin_from)
        begin = begin_at <= now
        if begin and len(live) >= self.terms.max_connections:
            lost = (*lost, self._least_promising(lost))
        times = [self._lost_at(each) for number, each in self._outstanding.items() if number not in lost]
        if not begin:
            times.append(begin_at)
        return ScheduleDecision(begin, lost, min(times, default=now + self.terms.hold))

    def _least_promising(self, lost: tuple[int, ...]) -> int:
        """Return the connection that gives its place to another.

        That is the newest with no poll yet, as no answer can be lost with it. Where all have one, it is the
        longest unanswered but for the oldest, which a very slow discovery still answers: a newer one's answer
        may be on its way, and the front would be notified without knowing.
        """
        left = {number: each for number, each in self._outstanding.items() if number not in lost}
        coming_up = [number for number, each in left.items() if each.hold is None]
        if coming_up:
            return max(coming_up, key=lambda number: left[number].since)
        return sorted(left, key=lambda number: left[number].since)[self.terms.protected_polls]

    def connection_started(self, number: int, now: float) -> None:
        """Take in that a connection begins to come up."""
        if any(each.current for each in self._outstanding.values()):
            self._begin_from = now + self.terms.connection_interval
        self._outstanding[number] = TrackedConnection(now)

    def poll_sent(self, number: int, now: float, immediate: bool = False) -> float:
        """Take in that a poll is written on a connection; return how long discovery may hold it.

        Args:
            number: the connection's.
            now: the time.
            at_once: the answer is wanted now, also where it tells nothing.
        """
        outstanding = self._outstanding[number]
        is_first = outstanding.hold is None
        others = [each for other, each in self._outstanding.items() if other != number and each.current]
        immediate = immediate or (is_first and bool(others))
        hold = self.terms.quick_hold if immediate else self.terms.hold
        outstanding.since, outstanding.hold = now, hold
        return hold

    def poll_answered(self, number: int, now: float) -> bool:
        """Take in an answer; return whether the next poll goes over the same connection.

        It does not where another connection polls well, or where discovery has moved.
        """
        self._wait = self.terms.initial_back_off
        # One that answers at once with nothing, and ends each connection, must not keep the front busy.
        self._begin_from = now + self.terms.initial_back_off
        answered = self._outstanding[number]
        others = [each for other, each in self._outstanding.items() if other != number and each.current]
        return answered.current and not any(now < self._overdue_at(each) for each in others)

    def connection_closed(self, number: int) -> None:
        """Take in that a connection is closed."""
        self._outstanding.pop(number, None)

    def connection_failed(self, number: int, now: float) -> None:
        """Take in that a connection broke, was refused, or brought what cannot be used."""
        self.connection_closed(number)
        self._begin_from = now + self._wait
        self._wait = min(2.0 * self._wait, self.terms.max_back_off)

    def address_changed(self, now: float) -> list[int]:
        """Take in that discovery has another address: a connection to it begins at once.

        Polls that are outstanding at the old one may still be answered. Returned are the connections that are
        to end: those with no poll yet, and the oldest where there would be no place for the new one.
        """
        self._wait, self._begin_from = self.terms.initial_back_off, now
        for each in self._outstanding.values():
            each.current = False
        ends = [number for number, each in self._outstanding.items() if each.hold is None]
        polled = [number for number in self._outstanding if number not in ends]
        if len(polled) >= self.terms.max_connections:
            ends.append(min(polled, key=lambda number: self._outstanding[number].since))
        return ends

    def _overdue_at(self, each: TrackedConnection) -> float:
        if each.hold is None:
            return each.since + self.terms.connect_allowance
        is_quick = each.hold <= self.terms.quick_hold
        patience = self.terms.quick_allowance if is_quick else self.terms.answer_allowance
        return each.since + each.hold + patience

    def _lost_at(self, each: TrackedConnection) -> float:
        if each.hold is None:
            return each.since + self.terms.connect_abandon_after
        return each.since + each.hold + self.terms.abandon_after
