"""The signals that levels depend on: values of the front over windows; too few or old samples mean unknown.

signal                   meaning                                         window     unknown
link                     utilization of the zone's link, as reported     2 s        under 5 answers, or
                         by its caches (1: full)                                    none for 3 s
fills                    fills in flight over their limit                now        never
late:W, shed:W,          share of the pulls of workload W; a pull shed   5 s        under 20 pulls
errored:W                by a level does not count as shed
pressure:W               95th percentile of the answer time over the     5 to 10 s  under 20 answers
                         target latency
lag                      longest delay of the event loop, ms             1 s        no sample for 2 s
buffers, open            share of the buffers in use, of the pulls       now        never
                         that may be open
budgets                  share of the retry budgets without room         now        if there is none
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

LINK_WINDOW_MS = 2000.0
WORKLOAD_WINDOW_MS = 5000.0
LAG_WINDOW_MS = 1000.0
MAX_LINK_AGE_MS = 3000.0  # after the last answer the signal becomes unknown
MAX_LAG_AGE_MS = 2000.0
MIN_LINK_SAMPLES = 5
MIN_WORKLOAD_SAMPLES = 20
SLICE_MS = 250.0  # samples of one slice of a window expire together
FRONT_SIGNALS = ("link", "fills", "lag", "buffers", "open", "budgets")
WORKLOAD_SIGNALS = ("late", "shed", "errored", "pressure")
# The largest value of each signal that has one.
SIGNAL_MAX = {"late": 1.0, "shed": 1.0, "errored": 1.0, "buffers": 1.0, "open": 1.0, "budgets": 1.0}
MAX_PRESSURE_PERCENT = 1000  # of the target latency; larger values count as this

SignalValues = Mapping[str, float | None]


class SlidingWindow:
    """Count, sum and maximum of recent samples, in slices that expire when they start before the window."""

    def __init__(self, length_ms: float) -> None:
        self._length_ms = length_ms
        self._slices: deque[list[float]] = deque()  # [start, samples, sum, maximum]
        self.last_at = float("-inf")

    def add(self, now: float, value: float) -> None:
        """Add one sample."""
        start = now - now % SLICE_MS
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append([start, 0.0, 0.0, value])
        entry = self._slices[-1]
        entry[1] += 1.0
        entry[2] += value
        entry[3] = max(entry[3], value)
        self.last_at = now
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self._slices and self._slices[0][0] <= now - self._length_ms:
            self._slices.popleft()

    def read(self, now: float) -> tuple[float, float, float]:
        """Return the number of samples in the window, their sum and their maximum."""
        self._expire(now)
        if not self._slices:
            return 0.0, 0.0, 0.0
        return (
            sum(entry[1] for entry in self._slices),
            sum(entry[2] for entry in self._slices),
            max(entry[3] for entry in self._slices),
        )


class Histogram(Protocol):
    """The methods of hdrhistogram's histograms that are used."""

    def record_value(self, value: int) -> bool:
        """Record a value."""

    def get_value_at_percentile(self, percentile: float) -> int:
        """Return the value that this percentage (0 to 100) of the recorded values does not exceed."""

    def get_total_count(self) -> int:
        """Return the number of recorded values."""

    def reset(self) -> None:
        """Remove all values."""


class RotatingHistogram:
    """Percentiles over one to two windows: two histograms, of which the older is cleared every window."""

    def __init__(self, length_ms: float, make_histogram: Callable[[], Histogram]) -> None:
        self._length_ms, self._histograms = length_ms, (make_histogram(), make_histogram())
        self._current, self._rotated_at = 0, float("-inf")

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= 2.0 * self._length_ms:
            for each in self._histograms:
                each.reset()
            self._rotated_at = now
        elif now - self._rotated_at >= self._length_ms:
            self._current = 1 - self._current
            self._histograms[self._current].reset()
            self._rotated_at = now

    def add(self, now: float, value: float) -> None:
        """Add an answer time, as a ratio to the target latency."""
        self._rotate(now)
        self._histograms[self._current].record_value(min(max(int(100.0 * value), 1), MAX_PRESSURE_PERCENT))

    def read(self, now: float, percentile: float) -> tuple[int, float]:
        """Return the number of samples in both windows, and the percentile.

        The percentile is the larger of those of the windows with enough samples, and 0 if neither has enough.
        """
        self._rotate(now)
        counts = [each.get_total_count() for each in self._histograms]
        values = [
            each.get_value_at_percentile(percentile) / 100.0
            for each, count in zip(self._histograms, counts, strict=True)
            if count >= MIN_WORKLOAD_SAMPLES
        ]
        return sum(counts), max(values, default=0.0)


@dataclass(slots=True)
class UtilizationSample:
    """The signals that the front measures itself, at one evaluation; see the table above."""

    fills: float
    buffers: float
    open: float
    budgets: float | None


class Signals:
    """Collects samples and computes the signals; memory is bounded by the workloads and slices."""

    def __init__(self, workloads: tuple[str, ...], make_histogram: Callable[[], Histogram]) -> None:
        self.workloads = workloads
        self._link, self._lag = SlidingWindow(LINK_WINDOW_MS), SlidingWindow(LAG_WINDOW_MS)
        self._outcomes = {
            kind: [SlidingWindow(WORKLOAD_WINDOW_MS) for _ in workloads]
            for kind in ("late", "shed", "errored")
        }
        self._pressure = [RotatingHistogram(WORKLOAD_WINDOW_MS, make_histogram) for _ in workloads]

    def record_link(self, now: float, utilization: float) -> None:
        """Record the link utilization that an answer of one of the zone's caches reports (1: full)."""
        self._link.add(now, utilization)

    def record_lag(self, now: float, lag_ms: float) -> None:
        """Record a delay of the event loop."""
        self._lag.add(now, lag_ms)

    def record_answer(
        self, now: float, workload: int, kind: str, duration: float, target_latency: float
    ) -> None:
        """Record the answer to a pull, `finished`, `shed` or `errored`, after `duration` ms."""
        is_late = kind == "finished" and duration > target_latency
        for name, windows in self._outcomes.items():
            windows[workload].add(now, float(is_late if name == "late" else kind == name))
        if kind == "finished" and target_latency > 0.0:
            self._pressure[workload].add(now, duration / target_latency)

    def read(self, now: float, sample: UtilizationSample) -> dict[str, float | None]:
        """Return the value of each signal, None if it is unknown."""
        values: dict[str, float | None] = {
            "fills": sample.fills, "buffers": sample.buffers, "open": sample.open, "budgets": sample.budgets,
        }  # fmt: skip
        count, total, _ = self._link.read(now)
        is_known = count >= MIN_LINK_SAMPLES and now - self._link.last_at <= MAX_LINK_AGE_MS
        values["link"] = total / count if is_known else None
        count, _, largest_lag = self._lag.read(now)
        values["lag"] = largest_lag if count and now - self._lag.last_at <= MAX_LAG_AGE_MS else None
        for index, workload in enumerate(self.workloads):
            for name, windows in self._outcomes.items():
                count, total, _ = windows[index].read(now)
                values[f"{name}:{workload}"] = total / count if count >= MIN_WORKLOAD_SAMPLES else None
            samples, value = self._pressure[index].read(now, 95.0)
            values[f"pressure:{workload}"] = value if samples >= MIN_WORKLOAD_SAMPLES else None
        return values


def signal_names(workloads: tuple[str, ...]) -> list[str]:
    """Return the names of all signals, for these workloads."""
    return [*FRONT_SIGNALS, *(f"{kind}:{workload}" for kind in WORKLOAD_SIGNALS for workload in workloads)]
