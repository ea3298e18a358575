"""What all connections to endpoints share: settings, buffers, the clock, and when they may write."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cometseam.settings import NetworkSettings
from cometseam.transport.buffers import BufferPool
from cometseam.transport.clock import Clock, Timers

# ms by which the loop is late where the process has stood still; ms after that in which nothing new is
# written, as what clients and discovery sent meanwhile (withdrawals, drains) is read first; and ms in which
# a request that is read may have come while the process stood still.
PAUSE_THRESHOLD_MS = 50.0
RESUME_SETTLE_MS = 8.0
RESUME_READ_MS = 30.0
LAG_SAMPLE_INTERVAL_MS = 50.0  # ms between two measurements of the loop's lag


@dataclass(slots=True)
class ProcessResources:
    """What all peers share."""

    links: NetworkSettings
    pool: BufferPool
    clock: Clock
    timers: Timers
    max_connections: int  # to peers, at most
    peer_count: int = 1  # listed
    sampled_at: float = float("inf")  # when the loop's lag was last measured, a few times a second
    resumed_at: float = float("-inf")  # when the process last went on after it had stood still, on `clock`
    pause_duration: float = 0.0  # ms that it may have stood still then
    # For how many ms requests wait at most until discovery has confirmed the list of endpoints; 0: none.
    confirmation_wait: Callable[[], float] = field(default=lambda: 0.0)
    on_resume: Callable[[float], None] = field(default=lambda lasted: None)  # told of each stand-still, in ms

    def record_loop_lag(self, lag: float) -> None:
        """Take in by how many ms the loop came late to what was due."""
        now = self.clock.now()
        if lag > PAUSE_THRESHOLD_MS and now >= self.resumed_at + RESUME_READ_MS:
            self._record_pause(now, lag)
        self.sampled_at = now

    def write_wait(self) -> float:
        """Return for how many ms nothing new is written at most; 0: it may be written.

        After the process has stood still what lies unread is read first, and what is known of endpoints has
        to be confirmed.
        """
        wait = self.unconfirmed_wait()
        return max(self.resumed_at + RESUME_SETTLE_MS - self.clock.now(), wait, 0.0)

    def unconfirmed_wait(self) -> float:
        """Return for how many ms requests wait at most until what is known of endpoints is confirmed."""
        self.detect_process_pause()
        return self.confirmation_wait()

    def earliest_arrival(self) -> float:
        """Return the earliest time at which what is read now can have arrived."""
        self.detect_process_pause()
        now = self.clock.now()
        return now - self.pause_duration if now < self.resumed_at + RESUME_READ_MS else now

    def detect_process_pause(self) -> None:
        """Look for a stand-still here as well: sockets may come before the timer of the next sample."""
        now = self.clock.now()
        if now - self.sampled_at > LAG_SAMPLE_INTERVAL_MS + PAUSE_THRESHOLD_MS:
            pause_duration, self.sampled_at = now - self.sampled_at, now
            self._record_pause(now, pause_duration)

    def _record_pause(self, now: float, pause_duration: float) -> None:
        self.resumed_at, self.pause_duration = now, pause_duration
        self.on_resume(pause_duration)

    @property
    def connections_per_peer(self) -> int:
        """Tell how many connections each peer may have."""
        return max(self.max_connections // max(self.peer_count, 1), 1)
