"""Decides when discovery is polled, over how many connections, and when a connection is abandoned. No I/O.

A late poll may still be answered, and the front then counts as informed whether or not it reads the answer.
So a late poll is not abandoned: another starts in parallel on its own connection, and the first answer to
arrive is used. All times are milliseconds of a monotonic clock, passed in by the caller.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollPolicy:
    """Durations in milliseconds, and the limits on connections.

    The front counts as informed of all that discovery would have reported to a poll, so each delay that the
    front itself causes is well below the drain grace period (`for_drain_grace`). By default a silent
    connection is followed by another after 2.0 s, and then by one more every 250 ms until one is answered.
    """

    hold: float = 1500.0  # how long discovery may hold a poll while it has no events
    poll_interval: float = 20.0  # after an answer, before the next poll on its connection
    quick_hold: float = 1.0  # hold of a poll that is to be answered immediately
    answer_allowance: float = 500.0  # time after its hold at which an unanswered poll is overdue
    quick_allowance: float = 200.0  # the same for a poll that is to be answered immediately
    connect_allowance: float = 200.0  # time after which a connection still being established is overdue
    abandon_after: float = 5000.0  # time after its hold at which an unanswered poll is abandoned
    connect_abandon_after: float = 1000.0  # time after which a connection being established is abandoned
    connection_interval: float = 250.0  # between the starts of two parallel connections
    initial_back_off: float = 20.0  # delay after a failed connection before the next one; doubles each time
    max_back_off: float = 100.0
    max_connections: int = 8  # open or being established at the same time
    protected_polls: int = 2  # the oldest polls among them, which are never abandoned early

    @classmethod
    def for_drain_grace(cls, grace: float) -> "PollPolicy":
        """Return the policy for a drain grace period in ms, which limits some delays to half of it."""
        defaults = cls()
        allowance = min(defaults.quick_allowance, 0.4 * grace)
        return cls(
            poll_interval=min(defaults.poll_interval, 0.1 * grace),
            quick_allowance=allowance,
            connect_allowance=allowance,
            connection_interval=min(defaults.connection_interval, 0.5 * grace),
            max_back_off=max(min(defaults.max_back_off, 0.2 * grace), defaults.initial_back_off),
        )


@dataclass(slots=True)
class TrackedConnection:
    """One connection: being established (`hold` is None), or with an unanswered poll."""

    started_at: float  # when connecting began, or the poll was sent
    hold: float | None = None
    uses_current_address: bool = True  # False after `address_changed`


@dataclass(frozen=True, slots=True)
class ScheduleDecision:
    """What to do now, and when to check again (on the same clock)."""

    start_connection: bool
    abandoned: tuple[int, ...]
    next_check_at: float


class PollSchedule:
    """Decides for all connections of one front; the caller identifies each connection by a number."""

    def __init__(self, policy: PollPolicy) -> None:
        """Begin without connections."""
        self.policy = policy
        self._connections: dict[int, TrackedConnection] = {}
        self._earliest_start = float("-inf")  # no connection starts before this time
        self._back_off = policy.initial_back_off

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def check(self, now: float) -> ScheduleDecision:
        """Return whether to start another connection, and which connections to abandon."""
        abandoned = tuple(
            number for number, connection in self._connections.items() if self._abandon_at(connection) <= now
        )
        remaining = [
            connection for number, connection in self._connections.items() if number not in abandoned
        ]
        overdue_at = max(
            (self._overdue_at(connection) for connection in remaining if connection.uses_current_address),
            default=now,
        )
        start_at = max(overdue_at, self._earliest_start)
        start = start_at <= now
        if start and len(remaining) >= self.policy.max_connections:
            abandoned = (*abandoned, self._connection_to_replace(abandoned))
        times = [
            self._abandon_at(connection)
            for number, connection in self._connections.items()
            if number not in abandoned
        ]
        if not start:
            times.append(start_at)
        return ScheduleDecision(start, abandoned, min(times, default=now + self.policy.hold))

    def _connection_to_replace(self, abandoned: tuple[int, ...]) -> int:
        """Return the connection to abandon so that another can start.

        This is the newest one without a poll, as no answer can be lost with it. If all have a poll, it is the
        one unanswered for longest, except for the `protected_polls` oldest, which a very slow discovery may
        still answer. The answer to a newer poll may be on its way, and the front would miss what it reports.
        """
        remaining = {
            number: connection for number, connection in self._connections.items() if number not in abandoned
        }
        connecting = [number for number, connection in remaining.items() if connection.hold is None]
        if connecting:
            return max(connecting, key=lambda number: remaining[number].started_at)
        return sorted(remaining, key=lambda number: remaining[number].started_at)[self.policy.protected_polls]

    def connection_started(self, number: int, now: float) -> None:
        """Record that a connection is being established."""
        if any(connection.uses_current_address for connection in self._connections.values()):
            self._earliest_start = now + self.policy.connection_interval
        self._connections[number] = TrackedConnection(now)

    def poll_sent(self, number: int, now: float, immediate: bool = False) -> float:
        """Record that a poll is written on a connection; return for how many ms discovery may hold it.

        Args:
            number: number of the connection.
            now: current time.
            immediate: whether an immediate answer is wanted, even without events.
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
        """Record an answer; return whether the next poll uses the same connection.

        It does not if another connection has a poll that is not overdue, or if the discovery address changed.
        """
        self._back_off = self.policy.initial_back_off
        # Avoids a busy loop if discovery answers immediately without events and closes each connection.
        self._earliest_start = now + self.policy.initial_back_off
        answered = self._connections[number]
        others = [
            connection
            for other, connection in self._connections.items()
            if other != number and connection.uses_current_address
        ]
        return answered.uses_current_address and not any(
            now < self._overdue_at(connection) for connection in others
        )

    def connection_closed(self, number: int) -> None:
        """Record that a connection was closed."""
        self._connections.pop(number, None)

    def connection_failed(self, number: int, now: float) -> None:
        """Record that a connection failed, was refused, or delivered unusable input."""
        self.connection_closed(number)
        self._earliest_start = now + self._back_off
        self._back_off = min(2.0 * self._back_off, self.policy.max_back_off)

    def address_changed(self, now: float) -> list[int]:
        """Record a new discovery address: a connection to it starts immediately.

        Polls outstanding at the old address may still be answered. Returns the connections to close: those
        without a poll, and the oldest one if there would be no room for the new connection.
        """
        self._back_off, self._earliest_start = self.policy.initial_back_off, now
        for connection in self._connections.values():
            connection.uses_current_address = False
        to_close = [number for number, connection in self._connections.items() if connection.hold is None]
        with_poll = [number for number in self._connections if number not in to_close]
        if len(with_poll) >= self.policy.max_connections:
            to_close.append(min(with_poll, key=lambda number: self._connections[number].started_at))
        return to_close

    def _overdue_at(self, connection: TrackedConnection) -> float:
        if connection.hold is None:
            return connection.started_at + self.policy.connect_allowance
        is_quick = connection.hold <= self.policy.quick_hold
        allowance = self.policy.quick_allowance if is_quick else self.policy.answer_allowance
        return connection.started_at + connection.hold + allowance

    def _abandon_at(self, connection: TrackedConnection) -> float:
        if connection.hold is None:
            return connection.started_at + self.policy.connect_abandon_after
        return connection.started_at + connection.hold + self.policy.abandon_after
