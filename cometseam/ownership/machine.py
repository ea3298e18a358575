"""The states of a front that takes part in the election of a task's owner. Without I/O.

A front is a candidate until a transaction on the coordination service makes its key the task's key; it is
then the owner, with a fencing token (the revision at which its key was written; a later owner has a higher
one). It acts only while its lease is certainly valid by its own clock: from the moment it *sent* the
request that granted or renewed the lease, less the clock drift in that time, less a margin. After that it is
losing: it does nothing on the task's behalf, but the lease may still be renewed. When the service reports
that the lease or the key is gone, or that another front owns the key, or has not answered for one more lease
time, it has lost, and becomes a candidate again on the next campaign.

Times are float ms of one monotonic clock, passed in. Nothing here sleeps, sends or reads.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """A front's state for one task."""

    CANDIDATE = "candidate"  # owns nothing; may campaign
    OWNER = "owner"  # owns the key, and its lease is certainly valid: may act
    LOSING = "losing"  # owns the key as far as it knows, but its lease may have expired: must not act
    LOST = "lost"  # the lease or key is gone, another front is owner, or the task was given up


class OwnershipTermsError(ValueError):
    """Terms under which no front could own a task safely: one line naming the term and the reason."""


@dataclass(frozen=True)
class OwnershipTerms:
    """The terms of owning a task.

    `ttl_ms`: the lease's time to live as granted (etcd grants whole seconds). `margin_ms`: how long before
    the lease's end by its own clock an owner stops acting; it covers a pause between the check and the
    effect's send, and the time the effect takes to reach its target. `drift`: the largest relative rate
    difference of two clocks, as a fraction of the elapsed time (0.01 is 1%). `renew_ms`: how often an owner
    renews. `round_trip_ms`: the longest round trip to the service that the operator expects.
    """

    ttl_ms: float
    margin_ms: float
    drift: float
    renew_ms: float
    round_trip_ms: float

    def check(self) -> None:
        """Raise `OwnershipTermsError`, naming the first invalid term, for terms that can't ensure a single
        owner."""
        if not 0.0 <= self.drift < 0.1:
            raise OwnershipTermsError(f"drift: {self.drift} is outside 0 to 0.1")
        if self.round_trip_ms <= 0.0:
            raise OwnershipTermsError(f"round_trip_ms: {self.round_trip_ms} is not above 0")
        if self.ttl_ms <= self.round_trip_ms:
            raise OwnershipTermsError(
                f"ttl_ms: {self.ttl_ms:g} ms is not longer than a round trip of {self.round_trip_ms:g} ms"
            )
        if self.margin_ms < 0.0:
            raise OwnershipTermsError(f"margin_ms: {self.margin_ms} is below 0")
        if self.acting_window_ms <= self.round_trip_ms:
            raise OwnershipTermsError(
                f"margin_ms: {self.margin_ms:g} ms leaves {self.acting_window_ms:g} ms to act of a "
                f"{self.ttl_ms:g} ms lease, "
                f"not more than a round trip of {self.round_trip_ms:g} ms"
            )
        if not self.round_trip_ms <= self.renew_ms <= self.acting_window_ms - self.round_trip_ms:
            raise OwnershipTermsError(
                f"renew_ms: {self.renew_ms:g} ms must lie between a round trip ({self.round_trip_ms:g} ms) "
                f"and the time to act less a round trip ({self.acting_window_ms - self.round_trip_ms:g} ms), "
                "so that a renewal arrives in time"
            )

    @property
    def acting_window_ms(self) -> float:
        """How long an owner may act after requesting a grant or renewal: the lease less drift and margin."""
        return self.ttl_ms * (1.0 - self.drift) - self.margin_ms


@dataclass(frozen=True)
class StateChange:
    """A change of state, for logging: the states before and after, the token, the time (ms), the reason."""

    before: State
    after: State
    token: int
    at: float
    reason: str


class Ownership:
    """One front's state for one task.

    Events are recorded by the methods below, each with the time it was seen; every effect asks `may_act(now)`
    before it is sent, and carries `token`.
    """

    def __init__(self, task: str, terms: OwnershipTerms) -> None:
        terms.check()
        self.task = task
        self.terms = terms
        self.state = State.CANDIDATE
        self.token = 0
        self.sent_at = 0.0  # when the last request that granted or renewed the lease was sent
        self.last_now = 0.0  # the time passed in last, also after a regression
        # Times that the clock was seen to go back: what was sent before a regression proves nothing.
        self.clock_regressions = 0
        self.changes: list[StateChange] = []  # since the last `pop_changes`

    def _change_state(self, after: State, at: float, reason: str) -> None:
        if after is not self.state:
            self.changes.append(StateChange(self.state, after, self.token, at, reason))
            self.state = after

    def pop_changes(self) -> list[StateChange]:
        """Return the changes since the last call, and clear them."""
        changes, self.changes = self.changes, []
        return changes

    def _check_clock(self, now: float) -> None:
        """Record the time, and stop acting if the clock went back (the process was moved to another machine
        or suspended, or the clock's source is faulty).

        By such a clock an expired lease would seem valid, so its validity is unproven: this front does not
        act until a renewal that it sends from now on is answered.
        """
        if now < self.last_now:
            self.clock_regressions += 1
            self.sent_at = now - self.terms.acting_window_ms
            if self.state is State.OWNER:
                self._change_state(State.LOSING, now, "clock went back")
        self.last_now = now

    def record_won(self, token: int, sent_at: float, now: float, clock_regressions: int = 0) -> None:
        """Record that the campaign's transaction wrote this front's key at revision `token`.

        The lease was requested at `sent_at`, when `clock_regressions` had the value given. Raises ValueError
        for a token that is no revision (0 or less).
        """
        if token <= 0:
            raise ValueError(f"token {token} is not a revision: a number above 0 was expected")
        self._check_clock(now)
        self.token = token
        self.sent_at = (
            sent_at if clock_regressions == self.clock_regressions else now - self.terms.acting_window_ms
        )
        self._change_state(State.OWNER if self._lease_valid(now) else State.LOSING, now, "won")

    def record_renewal(self, sent_at: float, ttl_ms: float, now: float, clock_regressions: int = 0) -> None:
        """Record the answer to a keep-alive sent at `sent_at`, when `clock_regressions` had the value given;
        `ttl_ms` is the remaining lease, 0 or less where the lease is gone."""
        self._check_clock(now)
        if self.state not in (State.OWNER, State.LOSING):
            return
        if ttl_ms <= 0.0:
            self._change_state(State.LOST, now, "lease gone")
            return
        if clock_regressions == self.clock_regressions:
            # The answer to an older keep-alive than one already recorded does not move the time back.
            self.sent_at = max(self.sent_at, sent_at)
        self._change_state(State.OWNER if self._lease_valid(now) else State.LOSING, now, "renewed")

    def record_key_holder(self, holder_token: int, now: float) -> None:
        """Record the task's key as the service shows it, written at `holder_token`; 0 for no key."""
        if self.state in (State.OWNER, State.LOSING) and holder_token != self.token:
            self._change_state(State.LOST, now, "key gone" if holder_token == 0 else "held by another")

    def tick(self, now: float) -> None:
        """Update the state for the time: an owner whose lease may have expired by its own clock stops acting;
        one without an answer for one more lease time gives the task up.

        Giving up guards against a link that carries requests but loses their answers: the keep-alives still
        reach the service and renew the lease, so no other front can win the task, while this one never
        receives the proof that it may act. Once it gives up, it stops renewing, and the lease expires one TTL
        after the last keep-alive arrived. So a task is without an owner for at most
        `acting_window_ms + 2 * ttl_ms` after the last answer received.
        """
        self._check_clock(now)
        if self.state is State.OWNER and not self._lease_valid(now):
            self._change_state(State.LOSING, now, "renewal overdue")
        if (
            self.state is State.LOSING
            and now >= self.sent_at + self.terms.acting_window_ms + self.terms.ttl_ms
        ):
            self._change_state(State.LOST, now, "no answer for a lease time")

    def begin_campaign(self, now: float) -> bool:
        """Return whether to campaign now; a front that has lost becomes a candidate again first."""
        if self.state is State.LOST:
            self._change_state(State.CANDIDATE, now, "campaign again")
        return self.state is State.CANDIDATE

    def _lease_valid(self, now: float) -> bool:
        return self.token > 0 and now < self.sent_at + self.terms.acting_window_ms

    def may_act(self, now: float) -> bool:
        """Return whether an effect sent now is safe by this front's own clock; updates the state first."""
        self.tick(now)
        return self.state is State.OWNER

    def may_act_until(self) -> float:
        """Return the time (ms) until which this front may act, or 0 where it owns nothing."""
        return self.sent_at + self.terms.acting_window_ms if self.token else 0.0
