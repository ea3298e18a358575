"""The process's clock, and timers on it."""

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

import anyio

from cometseam.counters import COUNTERS
from cometseam.events import log_event

# Timers due within this run in one turn of the loop; deadlines have a tolerance of 50 ms.
TIMER_GRANULARITY_MS = 4.0
# Cancelled timers are removed from the queue once there are more than this many and they are most of it.
MAX_KEPT_CANCELLED_TIMERS = 256


class Clock:
    """Milliseconds of the monotonic clock, on a scale that agreed with Unix time when the process started.

    All durations are differences of `now`, so a step of the wall clock changes none. Unix time is read once.
    A timestamp of another machine is compared with `now` only in `routing.translate`, which states the
    assumption behind that.
    """

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, unix: Callable[[], float] = time.time
    ) -> None:
        """Read both clocks, which return seconds."""
        self._monotonic = monotonic
        self._start = 1000.0 * (unix() - monotonic())

    def now(self) -> float:
        """Return the time in milliseconds; it never decreases."""
        return self._start + 1000.0 * self._monotonic()


class Timer:
    """A call due at a time. A cancelled one stays in the queue until that is cleaned up."""

    __slots__ = ("_on_cancelled", "due", "run")

    def __init__(self, due: float, run: Callable[[], None], on_cancelled: Callable[[], None]) -> None:
        self.due, self.run, self._on_cancelled = due, run, on_cancelled

    def cancel(self) -> None:
        """Make the timer do nothing; it has no effect on one that is cancelled or has run."""
        if self.is_active:
            self.take_call()
            self._on_cancelled()

    @property
    def is_active(self) -> bool:
        """Return whether it has neither run nor been cancelled."""
        return self.run is not _do_nothing

    def take_call(self) -> Callable[[], None]:
        """Return the call, and keep no reference to it and to all that it refers to."""
        call, self.run = self.run, _do_nothing
        return call


def _do_nothing() -> None:
    pass


class Timers:
    """The queue of timers; at most half of it, and a few more, are cancelled ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._cancelled_count = 0  # of the timers in the queue
        self._earlier_timer = anyio.Event()
        self._wakes_at = 0.0

    def call_at(self, due: float, run: Callable[[], None]) -> Timer:
        """Call `run` at the time `due`."""
        timer = Timer(due, run, self._count_cancelled)
        heappush(self._heap, (due, next(self._sequence), timer))
        if due < self._wakes_at - TIMER_GRANULARITY_MS:
            self._earlier_timer.set()
        return timer

    def __len__(self) -> int:
        return len(self._heap)

    def _count_cancelled(self) -> None:
        """Count a cancelled timer; remove all of them once they are most of the queue."""
        self._cancelled_count += 1
        if self._cancelled_count > max(MAX_KEPT_CANCELLED_TIMERS, len(self._heap) // 2):
            self._heap[:] = [entry for entry in self._heap if entry[2].is_active]
            heapify(self._heap)
            self._cancelled_count = 0

    def _run_first(self, now: float) -> None:
        """Remove the first timer of the queue and run it, unless it is cancelled."""
        due, _, timer = heappop(self._heap)
        if not timer.is_active:
            self._cancelled_count -= 1
            return
        COUNTERS.record_max("timer_late_ms", now - due)
        try:
            timer.take_call()()
        except Exception as error:
            COUNTERS.add("timer.exception")
            log_event("timer.failed", error)

    async def run(self) -> None:
        """Run timers as they come due, until cancelled."""
        while True:
            now = self._clock.now()
            while self._heap and (self._heap[0][0] <= now or not self._heap[0][2].is_active):
                self._run_first(now)
            self._wakes_at = (
                max(self._heap[0][0], now + TIMER_GRANULARITY_MS) if self._heap else now + 60000.0
            )
            self._earlier_timer = anyio.Event()
            with anyio.move_on_after(max(self._wakes_at - self._clock.now(), 0.0) / 1000.0):
                await self._earlier_timer.wait()
