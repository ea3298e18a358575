"""State that all connections to endpoints share: settings, buffers, clock, and when they may write."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cometseam.memory import RequestBudget
from cometseam.settings import NetworkSettings
from cometseam.transport.buffers import BufferPool
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection_limit import ConnectionLimit

# A loop lag above this counts as a pause of the process.
PAUSE_THRESHOLD_MS = 50.0
# No new relay is written for this long after a pause: what clients and discovery sent meanwhile (withdrawals,
# drains) is read first.
RESUME_SETTLE_MS = 8.0
# A request that is read within this time after a pause may have arrived during it.
RESUME_READ_MS = 30.0
LAG_SAMPLE_INTERVAL_MS = 50.0


@dataclass(slots=True)
class ProcessResources:
    """Resources and timing state shared by all peers. Times are in ms of `clock`, durations in ms."""

    links: NetworkSettings
    pool: BufferPool
    clock: Clock
    timers: Timers
    connection_limit: ConnectionLimit  # of the connections to all peers
    budget: RequestBudget = field(default_factory=RequestBudget)  # counts the connections to peers
    target_count: int = 1  # endpoints to which this front sends requests
    sampled_at: float = float("inf")  # when the loop's lag was last measured
    resumed_at: float = float("-inf")  # when the process last resumed after a pause
    pause_duration: float = 0.0  # the longest that this pause can have lasted
    # The longest that requests still wait for discovery to confirm the list of endpoints; 0: no wait.
    confirmation_wait: Callable[[], float] = field(default=lambda: 0.0)
    on_resume: Callable[[float], None] = field(default=lambda pause_ms: None)  # called after each pause
    # Whether an answer has said why a fill failed: then a miss without such a note can only answer a lookup.
    are_failures_noted: bool = False
    _last_connection_number: int = 0

    def next_connection_number(self) -> int:
        """Return a number for a connection to a peer, which no other has in this process."""
        self._last_connection_number += 1
        return self._last_connection_number

    def record_loop_lag(self, lag: float) -> None:
        """Record by how many ms the event loop ran late."""
        now = self.clock.now()
        if lag > PAUSE_THRESHOLD_MS and now >= self.resumed_at + RESUME_READ_MS:
            self._record_pause(now, lag)
        self.sampled_at = now

    def write_wait(self) -> float:
        """Return for how many ms no new relay may be written; 0: writing is allowed.

        After a pause of the process unread input is read first, and the state of the endpoints has to be
        confirmed.
        """
        wait = self.unconfirmed_wait()
        return max(self.resumed_at + RESUME_SETTLE_MS - self.clock.now(), wait, 0.0)

    def unconfirmed_wait(self) -> float:
        """Return for how many ms requests still wait for the state of the endpoints to be confirmed."""
        self.detect_process_pause()
        return self.confirmation_wait()

    def earliest_arrival(self) -> float:
        """Return the earliest time at which input that is read now can have arrived."""
        self.detect_process_pause()
        now = self.clock.now()
        return now - self.pause_duration if now < self.resumed_at + RESUME_READ_MS else now

    def detect_process_pause(self) -> None:
        """Detect a pause before the next lag sample: the loop may serve sockets before that timer."""
        now = self.clock.now()
        if now - self.sampled_at > LAG_SAMPLE_INTERVAL_MS + PAUSE_THRESHOLD_MS:
            pause_duration, self.sampled_at = now - self.sampled_at, now
            self._record_pause(now, pause_duration)

    def _record_pause(self, now: float, pause_duration: float) -> None:
        self.resumed_at, self.pause_duration = now, pause_duration
        self.on_resume(pause_duration)

    @property
    def connections_per_peer(self) -> int:
        """Return how many connections each peer may have."""
        return self.connection_limit.share(self.target_count)
