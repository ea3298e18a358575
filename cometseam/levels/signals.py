"""What the levels go by: values of the front over windows; too few or old samples are unknown.

| signal | what it is | window | unknown | | --- | --- | --- | --- | | `link` | how full the zone's link is,
as the answers of its caches tell (1: full) | 2 s | under 5 answers, or none for 3 s | | `fills` | fills out
over their limit | now | never | | `late:W`, `shed:W`, `errored:W` | share of the workload's pulls; shed by
a level is not counted as shed | 5 s | under 20 pulls | | `pressure:W` | 95th percentile of the time to the
answer over the quoted time | 5 to 10 s | under 20 answers | | `lag` | the longest that the loop came late,
ms | 1 s | no look for 2 s | | `buffers`, `open` | share of the buffers lent, of the pulls that may be open
| now | never | | `budgets` | share of the retry budgets that have no room | now | where there is none |
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

LINK, SHARES, LAG = 2000.0, 5000.0, 1000.0  # ms of the windows
LINK_FRESH, LAG_FRESH = 3000.0, 2000.0
FEW_LINK, FEW = 5, 20
SLICE = 250.0  # ms in which a window counts together
PLAIN = ("link", "fills", "lag", "buffers", "open", "budgets")
BY_WORKLOAD = ("late", "shed", "errored", "pressure")
# What a signal can reach at most, where there is a most.
SIGNAL_MAX = {"late": 1.0, "shed": 1.0, "errored": 1.0, "buffers": 1.0, "open": 1.0, "budgets": 1.0}
PRESSURE_MOST = 1000  # hundredths of the quoted time that are told apart; more counts as that

SignalValues = Mapping[str, float | None]


class SlidingWindow:
    """Sums over the last so many ms, in slices; a slice leaves when it is older than the window."""

    def __init__(self, length: float) -> None:
        self._length = length
        self._slices: deque[list[float]] = deque()  # [start, samples, sum, most]
        self.last = float("-inf")

    def add(self, now: float, value: float) -> None:
        """Take in one sample."""
        start = now - now % SLICE
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append([start, 0.0, 0.0, value])
        entry = self._slices[-1]
        entry[1] += 1.0
        entry[2] += value
        entry[3] = max(entry[3], value)
        self.last = now
        self._roll(now)

    def _roll(self, now: float) -> None:
        while self._slices and self._slices[0][0] <= now - self._length:
            self._slices.popleft()

    def read(self, now: float) -> tuple[float, float, float]:
        """Return how many samples there are, their sum and the largest."""
        self._roll(now)
        if not self._slices:
            return 0.0, 0.0, 0.0
        return (
            sum(entry[1] for entry in self._slices),
            sum(entry[2] for entry in self._slices),
            max(entry[3] for entry in self._slices),
        )


class Histogram(Protocol):
    """What of hdrhistogram's histograms is used."""

    def record_value(self, value: int) -> bool:
        """Count a value."""

    def get_value_at_percentile(self, percentile: float) -> int:
        """Return the value that so many of 100 do not exceed."""

    def get_total_count(self) -> int:
        """Return how many were counted."""

    def reset(self) -> None:
        """Forget all."""


class RotatingHistogram:
    """Quantiles over one to two windows: two histograms, the older of which is emptied each window."""

    def __init__(self, length: float, make: Callable[[], Histogram]) -> None:
        self._length, self._both = length, (make(), make())
        self._turn, self._since = 0, float("-inf")

    def _rotate(self, now: float) -> None:
        if now - self._since >= 2.0 * self._length:
            for each in self._both:
                each.reset()
            self._since = now
        elif now - self._since >= self._length:
            self._turn = 1 - self._turn
            self._both[self._turn].reset()
            self._since = now

    def add(self, now: float, value: float) -> None:
        """Take in a share of the quoted time."""
        self._rotate(now)
        self._both[self._turn].record_value(min(max(int(100.0 * value), 1), PRESSURE_MOST))

    def read(self, now: float, percentile: float) -> tuple[int, float]:
        """Return how many samples there are, and the percentile: the worse of the two windows with enough."""
        self._rotate(now)
        counts = [each.get_total_count() for each in self._both]
        values = [
            each.get_value_at_percentile(percentile) / 100.0
            for each, count in zip(self._both, counts, strict=True)
            if count >= FEW
        ]
        return sum(counts), max(values, default=0.0)


@dataclass(slots=True)
class UtilizationSample:
    """What the front tells of itself at a look."""

    fills: float
    buffers: float
    open: float
    budgets: float | None


class Signals:
    """Takes in what the front sees; bounded by the number of workloads and slices."""

    def __init__(self, workloads: tuple[str, ...], make: Callable[[], Histogram]) -> None:
        self.workloads = workloads
        self._link, self._lag = SlidingWindow(LINK), SlidingWindow(LAG)
        self._ends = {
            kind: [SlidingWindow(SHARES) for _ in workloads] for kind in ("late", "shed", "errored")
        }
        self._pressure = [RotatingHistogram(SHARES, make) for _ in workloads]

    def record_link(self, now: float, fullness: float) -> None:
        """An answer of a cache of the zone tells how full the link is."""
        self._link.add(now, fullness)

    def record_lag(self, now: float, by: float) -> None:
        """The loop came late by so many ms."""
        self._lag.add(now, by)

    def record_answer(self, now: float, workload: int, kind: str, took: float, quoted: float) -> None:
        """A pull got its answer: `finished`, `shed` or `errored`, after `took` of `quoted` ms."""
        late = kind == "finished" and took > quoted
        for name, counts in self._ends.items():
            counts[workload].add(now, float(late if name == "late" else kind == name))
        if kind == "finished" and quoted > 0.0:
            self._pressure[workload].add(now, took / quoted)

    def read(self, now: float, front: UtilizationSample) -> dict[str, float | None]:
        """Return each signal's value; None: unknown."""
        out: dict[str, float | None] = {
            "fills": front.fills, "buffers": front.buffers, "open": front.open, "budgets": front.budgets,
        }  # fmt: skip
        count, total, _ = self._link.read(now)
        fresh = count >= FEW_LINK and now - self._link.last <= LINK_FRESH
        out["link"] = total / count if fresh else None
        count, _, most = self._lag.read(now)
        out["lag"] = most if count and now - self._lag.last <= LAG_FRESH else None
        for place, workload in enumerate(self.workloads):
            for name, counts in self._ends.items():
                count, total, _ = counts[place].read(now)
                out[f"{name}:{workload}"] = total / count if count >= FEW else None
            samples, value = self._pressure[place].read(now, 95.0)
            out[f"pressure:{workload}"] = value if samples >= FEW else None
        return out


def signal_names(workloads: tuple[str, ...]) -> list[str]:
    """Return the names of all signals."""
    return [*PLAIN, *(f"{kind}:{workload}" for kind in BY_WORKLOAD for workload in workloads)]
