"""Tracks whether discovery has confirmed what the front knows of endpoints and purges. No I/O.

The front counts as informed of all that discovery would have reported to a poll. So the state is confirmed
only while a poll is outstanding, or was until very recently. It is unconfirmed after a start, after a pause
of the process, and when no connection has carried a poll for a while. An answer to a poll sent since then
confirms it. All times are milliseconds of a monotonic clock, passed in by the caller.
"""

from dataclasses import dataclass
from enum import StrEnum


class UnconfirmedCause(StrEnum):
    """Why the known state is unconfirmed."""

    START = "start"
    PROCESS_PAUSED = "stand-still"
    NOT_POLLED = "not asked"


@dataclass(frozen=True, slots=True)
class ConfirmationPolicy:
    """Durations in milliseconds. After its wait a request uses the unconfirmed state: discovery may be down.

    At a start waiting costs little, because other fronts serve meanwhile, and the known state may be old. A
    front that is already serving waits less, and not at all if discovery refuses connections.
    """

    max_gap: float = 250.0  # time without an outstanding poll after which the known state is unconfirmed
    start_wait: float = 2000.0  # how long requests wait for the first answer
    gap_wait: float = 250.0  # how long requests wait for an answer after a gap
    max_refusals: int = 3  # consecutive refused connections after which a serving front does not wait

    @classmethod
    def for_drain_grace(cls, grace: float) -> "ConfirmationPolicy":
        """Return the policy for a drain grace period in ms: a gap is at most half of it."""
        defaults = cls()
        return cls(max_gap=min(defaults.max_gap, 0.5 * grace))


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The known state has been confirmed: why it was unconfirmed before, and for how long in ms."""

    cause: UnconfirmedCause
    duration: float


@dataclass(frozen=True, slots=True)
class _UnconfirmedState:
    cause: UnconfirmedCause
    since: float
    polls_count_from: float  # only answers to polls sent since then confirm the state
    wait_until: float


@dataclass(frozen=True, slots=True)
class _OutstandingPoll:
    sent_at: float
    answer_due_at: float  # when a healthy discovery answers at the latest
    is_long_poll: bool  # held by discovery until an event occurs, on a connection that was answered before


class ConfirmationTracker:
    """Tracks the polls of one front."""

    def __init__(self, policy: ConfirmationPolicy, now: float) -> None:
        """Begin unconfirmed: the age of the initial endpoint list is unknown."""
        self._policy = policy
        self._outstanding: dict[int, _OutstandingPoll] = {}
        self._not_polled_since = now  # valid while no long poll is outstanding
        self._refusals = 0
        self._unconfirmed: _UnconfirmedState | None = _UnconfirmedState(
            UnconfirmedCause.START, now, now, now + policy.start_wait
        )

    def unconfirmed_for(self, now: float) -> float | None:
        """Return for how many ms the known state has been unconfirmed; None if it is confirmed."""
        self._detect_gap(now)
        return None if self._unconfirmed is None else now - self._unconfirmed.since

    def remaining_wait(self, now: float) -> float:
        """Return for how many ms at most requests wait for discovery's answer; 0 if they may be sent now."""
        self._detect_gap(now)
        return 0.0 if self._unconfirmed is None else max(self._unconfirmed.wait_until - now, 0.0)

    def poll_sent(self, number: int, now: float, hold: float, is_long_poll: bool) -> None:
        """Record that a poll was written on a connection."""
        self._detect_gap(now)
        self._outstanding[number] = _OutstandingPoll(
            now, now + hold, is_long_poll and self._unconfirmed is None
        )

    def poll_answered(self, number: int, now: float) -> Confirmed | None:
        """Record that a poll was answered; return what this confirms, or None."""
        self._detect_gap(now)
        poll = self._outstanding.get(number)
        self.poll_ended(number, now)
        self._refusals = 0
        state = self._unconfirmed
        if poll is None or state is None or poll.sent_at < state.polls_count_from:
            return None
        self._unconfirmed, self._not_polled_since = None, now
        return Confirmed(state.cause, now - state.since)

    def poll_ended(self, number: int, now: float) -> None:
        """Record that a poll was answered or its connection was closed."""
        poll = self._outstanding.pop(number, None)
        if poll is not None and poll.is_long_poll and not self._has_long_poll():
            self._not_polled_since = now

    def connection_refused(self, now: float) -> None:
        """Record that discovery refused a connection: it reports nothing to any front."""
        self._refusals += 1
        state = self._unconfirmed
        if (
            state is not None
            and state.cause is not UnconfirmedCause.START
            and self._refusals >= self._policy.max_refusals
        ):
            self._unconfirmed = _UnconfirmedState(
                state.cause, state.since, state.polls_count_from, min(state.wait_until, now)
            )

    def address_changed(self, now: float) -> None:
        """Record a new discovery address: polls outstanding at the old one confirm nothing about it."""
        self._detect_gap(now)
        self._outstanding.clear()
        self._not_polled_since = now

    def polling_resumed(self, now: float) -> None:
        """Record that the front polls itself again, after it relied on another front's polls.

        The other front's reports count for nothing any more, so requests wait for an answer of its own.
        """
        self._unconfirmed = _UnconfirmedState(
            UnconfirmedCause.NOT_POLLED, now, now, now + self._policy.gap_wait
        )

    def process_paused(self, now: float, duration: float) -> None:
        """Record that the process continues after a pause of `duration` ms.

        The state stays as it was if the pause is at most `max_gap`, or if a long poll was outstanding
        throughout and fell due at most `max_gap` ago, or not yet: discovery would have answered it.
        """
        if duration <= self._policy.max_gap or self._was_polled_throughout(now - duration, now):
            return
        self._unconfirmed = _UnconfirmedState(
            UnconfirmedCause.PROCESS_PAUSED, now, now, now + self._policy.gap_wait
        )

    def _was_polled_throughout(self, since: float, now: float) -> bool:
        due_from = now - self._policy.max_gap
        long_polls = (poll for poll in self._outstanding.values() if poll.is_long_poll)
        return any(poll.sent_at <= since and poll.answer_due_at >= due_from for poll in long_polls)

    def _has_long_poll(self) -> bool:
        return any(poll.is_long_poll for poll in self._outstanding.values())

    def _detect_gap(self, now: float) -> None:
        """Mark the state unconfirmed if no long poll has been outstanding for longer than `max_gap`."""
        since = self._not_polled_since + self._policy.max_gap
        if self._unconfirmed is None and not self._has_long_poll() and now > since:
            wait_until = since + self._policy.gap_wait
            self._unconfirmed = _UnconfirmedState(
                UnconfirmedCause.NOT_POLLED, since, self._not_polled_since, wait_until
            )
