"""The process's clock, and timers on it."""

import time
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

import anyio

from cometseam.counters import COUNTERS
from cometseam.events import log_event

# Timers due within this run in one turn of the loop; deadlines have a tolerance of 50 ms.
TIMER_GRANULARITY_MS = 4.0


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
    """A call due at a time. A cancelled timer stays queued until then and does nothing."""

    __slots__ = ("due", "run")

    def __init__(self, due: float, run: Callable[[], None]) -> None:
        self.due, self.run = due, run

    def cancel(self) -> None:
        """Make the timer do nothing."""
        self.run = _do_nothing


def _do_nothing() -> None:
    pass


class Timers:
    """The queue of timers. An entry stays until it is due, so no longer than the longest wait."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._earlier_timer = anyio.Event()
        self._wakes_at = 0.0

    def call_at(self, due: float, run: Callable[[], None]) -> Timer:
        """Call `run` at the time `due`."""
        timer = Timer(due, run)
        heappush(self._heap, (due, next(self._sequence), timer))
        if due < self._wakes_at - TIMER_GRANULARITY_MS:
            self._earlier_timer.set()
        return timer

    async def run(self) -> None:
        """Run timers as they come due, until cancelled."""
        while True:
            now = self._clock.now()
            while self._heap and (self._heap[0][0] <= now or self._heap[0][2].run is _do_nothing):
                due, _, timer = heappop(self._heap)
                if timer.run is not _do_nothing:
                    COUNTERS.record_max("timer_late_ms", now - due)
                try:
                    timer.run()
                except Exception as error:
                    COUNTERS.add("timer.exception")
                    log_event("timer.failed", error)
            self._wakes_at = (
                max(self._heap[0][0], now + TIMER_GRANULARITY_MS) if self._heap else now + 60000.0
            )
            self._earlier_timer = anyio.Event()
            with anyio.move_on_after(max(self._wakes_at - self._clock.now(), 0.0) / 1000.0):
                await self._earlier_timer.wait()
