"""The one clock, and what is to be done at a time of it."""

import time
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

import anyio

from cometseam.counters import COUNTERS
from cometseam.events import log_event

TIMER_GRANULARITY_MS = (
    4.0  # ms within which what comes due is done in one turn of the loop; deadlines have 50
)


class Clock:
    """Milliseconds of the monotonic clock, on a scale that agreed with Unix time when the process started.

    All spans are differences of `now`, so a step of the wall clock changes none. Unix time is read once; a
    stamp of another machine is compared with `now` only in `routing.translate`, which says what is assumed.
    """

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, unix: Callable[[], float] = time.time
    ) -> None:
        """Read both clocks, which tell seconds."""
        self._monotonic = monotonic
        self._start = 1000.0 * (unix() - monotonic())

    def now(self) -> float:
        """Return the time in milliseconds; it never goes back."""
        return self._start + 1000.0 * self._monotonic()


class Timer:
    """Something to be done at a time; cancelled it is forgotten when its time comes."""

    __slots__ = ("due", "run")

    def __init__(self, due: float, run: Callable[[], None]) -> None:
        self.due, self.run = due, run

    def cancel(self) -> None:
        """See to it that nothing is done."""
        self.run = _do_nothing


def _do_nothing() -> None:
    pass


class Timers:
    """What is to be done and when. An entry leaves when its time comes: no later than the longest wait."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._earlier_timer = anyio.Event()
        self._wakes_at = 0.0

    def call_at(self, due: float, run: Callable[[], None]) -> Timer:
        """Have something done at a time."""
        timer = Timer(due, run)
        heappush(self._heap, (due, next(self._sequence), timer))
        if due < self._wakes_at - TIMER_GRANULARITY_MS:
            self._earlier_timer.set()
        return timer

    async def run(self) -> None:
        """Do what comes due, for ever."""
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
