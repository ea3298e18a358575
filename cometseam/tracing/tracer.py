"""Trails of pulls, kept while each is open and told once, when it ends wrongly.

A front decides alone, and what a pull met is spread over its relays: which cache was asked, from which
source, how long it waited, how each relay ended, and how the pull was answered at last. A counter tells how
many pulls came late; a trail tells why one did. Trails are kept for open pulls only (`finish_trace` and
`discard_trace` empty the table, and it holds `max_open` at most: a pull past that is not traced, and
counted), with `MAX_EVENTS_PER_TRACE` steps each. What is told is bounded by a budget of lines a second,
refilled by the clock handed in: a front that goes wrong for everyone writes `per_second` trails a second and
counts the rest.

Times are float ms of the front's one clock; the trail tells them from the pull's arrival.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class TraceMode(StrEnum):
    """Which pulls are told."""

    OFF = "off"
    WRONG = "wrong"  # shed, errored, hung up, given up at the cut-off, or finished past the quoted time
    ALL = "all"


MAX_EVENTS_PER_TRACE = 12  # of one trail; further ones are counted in `omitted_events`


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One thing that became of a pull: `at` ms after it came; `kind` is `relay` or `end`."""

    at: float
    kind: str
    cache: str
    detail: str

    def __str__(self) -> str:
        return f"{self.at:.1f} {self.kind} {self.cache} {self.detail}".rstrip()


@dataclass(slots=True)
class _Trail:
    id: str
    workload: str
    taken_at: float
    quoted: float
    cut_off: float  # ms from arrival
    steps: list[TraceEvent] = field(default_factory=list)
    more: int = 0


@dataclass(frozen=True, slots=True)
class FinishedTrace:
    """A trail to be logged: the pull's client id, how it ended, when, and its steps."""

    id: str
    workload: str
    kind: str  # finished, shed, errored, hung_up, overdue
    late: bool  # past the quoted time
    duration: float  # ms from arrival to the final answer
    target_latency: float
    deadline: float
    events: tuple[TraceEvent, ...]
    omitted_events: int

    def text(self) -> str:
        """The steps as one line: `at kind cache detail; …`."""
        told = "; ".join(str(step) for step in self.events)
        return f"{told}; {self.omitted_events} more" if self.omitted_events else told


class Tracer:
    """Keeps a trail for each open pull, and hands back those to be told."""

    def __init__(
        self, mode: TraceMode, per_second: float = 20.0, burst: int = 40, max_open: int = 4096
    ) -> None:
        if per_second <= 0 or burst < 1 or max_open < 1:
            raise ValueError("per_second, burst and max_open must be positive")
        self.mode = mode
        self._per_ms = per_second / 1000.0
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at: float | None = None
        self._most_open = max_open
        self._trails: dict[int, _Trail] = {}
        self.suppressed = 0  # trails that the budget kept back
        self.untraced = 0  # pulls that came while `max_open` were traced

    def __len__(self) -> int:
        return len(self._trails)

    def start_trace(
        self, number: int, id: str, workload: str, at: float, quoted: float, cut_off: float
    ) -> None:
        """A pull came: `quoted` and `cut_off` in ms from now."""
        if self.mode is TraceMode.OFF:
            return
        if len(self._trails) >= self._most_open:
            self.untraced += 1
            return
        self._trails[number] = _Trail(id, workload, at, quoted, cut_off)

    def _step(self, number: int, at: float, what: str, cache: str, detail: str) -> None:
        trail = self._trails.get(number)
        if trail is None:
            return
        if len(trail.steps) >= MAX_EVENTS_PER_TRACE:
            trail.more += 1
            return
        trail.steps.append(TraceEvent(round(at - trail.taken_at, 1), what, cache, detail))

    def record_relay(self, number: int, at: float, cache: str, source: str, time_out: float) -> None:
        """A relay went out to `cache`, filled from `source` if another; `time_out` 0: the cut-off."""
        detail = f"from {source}" if source else ""
        if time_out:
            detail = f"{detail} within {time_out:.0f}".lstrip()
        self._step(number, at, "relay", cache, detail)

    def record_relay_end(
        self, number: int, at: float, cache: str, how: str, why: str = "", lag: str = ""
    ) -> None:
        """A relay ended: `how` is the answer's word, or how it ended without one; `why`, `lag` as told."""
        detail = " ".join(part for part in (how, why and f"why={why}", lag and f"lag={lag}") if part)
        self._step(number, at, "end", cache, detail)

    def discard_trace(self, number: int) -> None:
        """Forget a pull without telling it."""
        self._trails.pop(number, None)

    def finish_trace(self, number: int, at: float, kind: str) -> FinishedTrace | None:
        """The pull's final answer: return its trail where it is to be told and the budget allows."""
        trail = self._trails.pop(number, None)
        if trail is None:
            return None
        took = at - trail.taken_at
        late = took > trail.quoted
        if self.mode is TraceMode.WRONG and kind == "finished" and not late:
            return None
        if not self._spend(at):
            self.suppressed += 1
            return None
        steps, took = tuple(trail.steps), round(took, 1)
        told = (trail.quoted, trail.cut_off, steps, trail.more)
        return FinishedTrace(trail.id, trail.workload, kind, late, took, *told)

    def _spend(self, at: float) -> bool:
        """Take one line from the budget, refilled by the clock; a clock that goes back refills nothing."""
        if self._filled_at is not None and at > self._filled_at:
            self._tokens = min(self._burst, self._tokens + (at - self._filled_at) * self._per_ms)
        if self._filled_at is None or at > self._filled_at:
            self._filled_at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
