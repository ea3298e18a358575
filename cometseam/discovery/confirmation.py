"""Whether discovery has confirmed what the front knows of endpoints and purges. No I/O.

What discovery would have told, had it been asked, counts as known. So what the front knows is good only while
a poll is outstanding, or was until a moment ago. Else it is unconfirmed: after a start, after the process has
stood still, and where no connection has carried a poll for a while. An answer to a poll asked since confirms
it. All times are milliseconds of a monotonic clock, which the caller passes in.
"""

from dataclasses import dataclass
from enum import StrEnum


class UnconfirmedCause(StrEnum):
    """Why what is known is unconfirmed."""

    START = "start"
    PROCESS_PAUSED = "stand-still"
    NOT_POLLED = "not asked"


@dataclass(frozen=True, slots=True)
class ConfirmationPolicy:
    """Spans in milliseconds. Past the waits requests go out by what is known: discovery may be down.

    At a start the wait costs little, as others serve meanwhile, and what is known may be old; a front that
    serves already waits less, and not at all where discovery refuses connections.
    """

    max_gap: float = 250.0  # without a poll outstanding, past which what is known is unconfirmed
    start_wait: float = 2000.0  # that requests wait for the first answer
    gap_wait: float = 250.0  # that requests wait for an answer after a gap
    max_refusals: int = 3  # connections refused in a row after which a front that serves does not wait

    @classmethod
    def for_drain_grace(cls, grace: float) -> "ConfirmationPolicy":
        """Return the terms for a grace of drains in ms: a gap is at most half of it."""
        defaults = cls()
        return cls(max_gap=min(defaults.max_gap, 0.5 * grace))


@dataclass(frozen=True, slots=True)
class Confirmed:
    """What was known has been confirmed: why it was not before, and for how long (ms)."""

    cause: UnconfirmedCause
    duration: float


@dataclass(frozen=True, slots=True)
class _UnconfirmedState:
    cause: UnconfirmedCause
    since: float
    polls_count_from: float  # an answer to a poll asked from then on confirms
    wait_until: float


@dataclass(frozen=True, slots=True)
class _OutstandingPoll:
    sent_at: float
    answer_due_at: float  # when discovery answers at the latest, if it is well
    is_long_poll: bool  # held by discovery until something happens, on a connection that has been answered


class ConfirmationTracker:
    """Follows the polls of one front."""

    def __init__(self, policy: ConfirmationPolicy, now: float) -> None:
        """Begin with a list of unknown age."""
        self._policy = policy
        self._outstanding: dict[int, _OutstandingPoll] = {}
        self._not_polled_since = now  # while no watch is outstanding
        self._refusals = 0
        self._unconfirmed: _UnconfirmedState | None = _UnconfirmedState(
            UnconfirmedCause.START, now, now, now + policy.start_wait
        )

    def unconfirmed_for(self, now: float) -> float | None:
        """Return for how long what is known has been unconfirmed; None where it is confirmed."""
        self._detect_gap(now)
        return None if self._unconfirmed is None else now - self._unconfirmed.since

    def remaining_wait(self, now: float) -> float:
        """Return for how long requests wait at most until discovery has answered; 0: they may go out."""
        self._detect_gap(now)
        return 0.0 if self._unconfirmed is None else max(self._unconfirmed.wait_until - now, 0.0)

    def poll_sent(self, number: int, now: float, hold: float, is_long_poll: bool) -> None:
        """Take in that a poll is written on a connection."""
        self._detect_gap(now)
        self._outstanding[number] = _OutstandingPoll(
            now, now + hold, is_long_poll and self._unconfirmed is None
        )

    def poll_answered(self, number: int, now: float) -> Confirmed | None:
        """Take in that a poll is answered; return what that has confirmed."""
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
        """Take in that a poll is answered, or that its connection has ended."""
        poll = self._outstanding.pop(number, None)
        if poll is not None and poll.is_long_poll and not self._has_long_poll():
            self._not_polled_since = now

    def connection_refused(self, now: float) -> None:
        """Take in that discovery refuses connections: it tells nobody anything."""
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
        """Take in that discovery has another address: polls outstanding at the old one show nothing of it."""
        self._detect_gap(now)
        self._outstanding.clear()
        self._not_polled_since = now

    def process_paused(self, now: float, duration: float) -> None:
        """Take in that the process goes on after it has stood still for so long.

        A poll that was outstanding all the while, and is not due yet, would have been answered.
        """
        if duration <= self._policy.max_gap or self._was_polled_throughout(now - duration, now):
            return
        self._unconfirmed = _UnconfirmedState(
            UnconfirmedCause.PROCESS_PAUSED, now, now, now + self._policy.gap_wait
        )

    def _was_polled_throughout(self, since: float, now: float) -> bool:
        due_from = now - self._policy.max_gap
        long_polls = (each for each in self._outstanding.values() if each.is_long_poll)
        return any(each.sent_at <= since and each.answer_due_at >= due_from for each in long_polls)

    def _has_long_poll(self) -> bool:
        return any(each.is_long_poll for each in self._outstanding.values())

    def _detect_gap(self, now: float) -> None:
        """Notice that no watch has been outstanding for too long."""
        since = self._not_polled_since + self._policy.max_gap
        if self._unconfirmed is None and not self._has_long_poll() and now > since:
            wait_until = since + self._policy.gap_wait
            self._unconfirmed = _UnconfirmedState(
                UnconfirmedCause.NOT_POLLED, since, self._not_polled_since, wait_until
            )
