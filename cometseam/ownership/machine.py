"""One task, one owner: the states of a front that takes part in an election, without I/O.

A front is a candidate until a transaction on the coordination service makes its key the task's key; it is
then the owner, with a fencing token (the revision at which its key was written, which no later owner can have
lower). It acts only while its lease surely lives by its own clock: from the moment it *sent* the request that
granted or renewed the lease, less what clocks may drift in that time, less a margin. Past that moment it is
losing: it does nothing on the task's behalf but may still be renewed. When the service says the lease or the
key is gone, or another front holds the key, it has lost, and becomes a candidate again on the next campaign.

Times are float ms of one monotonic clock, handed in. Nothing here sleeps, sends or reads.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """Where a front stands towards one task."""

    CANDIDATE = "candidate"  # holds nothing; may campaign
    OWNER = "owner"  # holds the key, and its lease surely lives: may act
    LOSING = "losing"  # holds the key as far as it knows, but its lease may have ended: must not act
    LOST = "lost"  # the service said the lease or key is gone, or another holds it


class OwnershipTermsError(ValueError):
    """Terms under which no front could own a task safely: one line naming the term and the reason."""


@dataclass(frozen=True)
class OwnershipTerms:
    """What ownership of a task goes by.

    `ttl_ms`: the lease's time to live as granted (etcd grants whole seconds). `margin_ms`: how long before
    the lease's end by its own clock an owner stops acting; it covers a pause between the check and the
    effect's send, and the time the effect takes to reach its target. `drift`: the most that two clocks may
    run apart, as a share of time passed (0.01 is 1%). `renew_ms`: how often an owner renews. `round_trip_ms`:
    the longest round trip to the service that the operator expects.
    """

    ttl_ms: float
    margin_ms: float
    drift: float
    renew_ms: float
    round_trip_ms: float

    def check(self) -> None:
        """Refuse terms that cannot keep one owner at a time: `OwnershipTermsError`, naming the first term at
        fault."""
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
                "so that a renewal lands in time"
            )

    @property
    def acting_window_ms(self) -> float:
        """How long after sending a grant or renewal an owner may act: the lease less drift and margin."""
        return self.ttl_ms * (1.0 - self.drift) - self.margin_ms


@dataclass(frozen=True)
class StateChange:
    """A change of state, for the log and for the module: before, after, the token, the time (ms), why."""

    before: State
    after: State
    token: int
    at: float
    reason: str


class Ownership:
    """One front's standing towards one task.

    Events come in by the methods below, each with the time it was seen; `may_act(now)` is the one question
    every effect asks before it is sent, and the token it is sent with is `token`. The table is one task's: it
    holds the token and two times, no more.
    """

    def __init__(self, task: str, terms: OwnershipTerms) -> None:
        terms.check()
        self.task = task
        self.terms = terms
        self.state = State.CANDIDATE
        self.token = 0
        self.sent_at = 0.0  # when the last request that granted or renewed the lease was sent
        self.last_now = 0.0  # the latest time handed in
        # How often the clock was seen to go back: what was sent before a turn proves nothing.
        self.clock_regressions = 0
        self.changes: list[StateChange] = []  # emptied by whoever reads them: `pop_changes`

    def _change_state(self, after: State, at: float, reason: str) -> None:
        if after is not self.state:
            self.changes.append(StateChange(self.state, after, self.token, at, reason))
            self.state = after

    def pop_changes(self) -> list[StateChange]:
        """Return the changes since the last call, and forget them."""
        changes, self.changes = self.changes, []
        return changes

    def _check_clock(self, now: float) -> None:
        """Take in the time. Guards against a clock that goes back (a process moved to another machine, a
        suspended one, a faulty source): by it a lease that has ended still lives. What holds the lease is
        then unproven, so this front acts no more until a renewal that it sends from now on is answered."""
        if now < self.last_now:
            self.clock_regressions += 1
            self.sent_at = now - self.terms.acting_window_ms
            if self.state is State.OWNER:
                self._change_state(State.LOSING, now, "clock went back")
        self.last_now = now

    def record_won(self, token: int, sent_at: float, now: float, clock_regressions: int = 0) -> None:
        """The campaign's transaction wrote this front's key at revision `token`; the lease was asked at
        `sent_at`, when `clock_regressions` was the machine's."""
        if token <= 0:
            raise ValueError(f"token {token} is not a revision")
        self._check_clock(now)
        self.token = token
        self.sent_at = (
            sent_at if clock_regressions == self.clock_regressions else now - self.terms.acting_window_ms
        )
        self._change_state(State.OWNER if self._lease_valid(now) else State.LOSING, now, "won")

    def record_renewal(self, sent_at: float, ttl_ms: float, now: float, clock_regressions: int = 0) -> None:
        """A keep-alive sent at `sent_at`, when `clock_regressions` was the machine's, came back with `ttl_ms`
        left; 0 or less means the lease is gone."""
        self._check_clock(now)
        if self.state not in (State.OWNER, State.LOSING):
            return
        if ttl_ms <= 0.0:
            self._change_state(State.LOST, now, "lease gone")
            return
        if clock_regressions == self.clock_regressions:
            # A reply to an older keep-alive than one already counted moves nothing back.
            self.sent_at = max(self.sent_at, sent_at)
        self._change_state(State.OWNER if self._lease_valid(now) else State.LOSING, now, "renewed")

    def record_key_holder(self, holder_token: int, now: float) -> None:
        """The service shows the task's key written at `holder_token`, or 0 for no key."""
        if self.state in (State.OWNER, State.LOSING) and holder_token != self.token:
            self._change_state(State.LOST, now, "key gone" if holder_token == 0 else "held by another")

    def tick(self, now: float) -> None:
        """Time passed: an owner whose lease may have ended by its own clock stops acting; one that has heard
        nothing for a whole lease more gives the task up.

        The second guards against a link that carries requests but loses their answers: the keep-alives still
        reach the service and keep the lease, so that no other front can take the task, while this one never
        hears that it may act. Given up, it stops renewing, and the lease ends one TTL after the last
        keep-alive arrived. A task is so without an owner for at most `acting_window_ms + 2 * ttl_ms` after
        the last answer heard.
        """
        self._check_clock(now)
        if self.state is State.OWNER and not self._lease_valid(now):
            self._change_state(State.LOSING, now, "renewal overdue")
        if (
            self.state is State.LOSING
            and now >= self.sent_at + self.terms.acting_window_ms + self.terms.ttl_ms
        ):
            self._change_state(State.LOST, now, "unheard for a lease")

    def begin_campaign(self, now: float) -> bool:
        """Whether to campaign now: only a candidate, or one that has lost, does; it is then a candidate."""
        if self.state is State.LOST:
            self._change_state(State.CANDIDATE, now, "campaign again")
        return self.state is State.CANDIDATE

    def _lease_valid(self, now: float) -> bool:
        return self.token > 0 and now < self.sent_at + self.terms.acting_window_ms

    def may_act(self, now: float) -> bool:
        """Whether an effect sent now is safe by this front's own clock; an owner past its time becomes
        losing."""
        self.tick(now)
        return self.state is State.OWNER

    def may_act_until(self) -> float:
        """The time (ms) until which this front may act, or 0 where it holds nothing."""
        return self.sent_at + self.terms.acting_window_ms if self.token else 0.0
