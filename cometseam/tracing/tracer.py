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
class _OpenTrace:
    id: str
    workload: str
    received_at: float
    target_latency: float
    deadline: float  # ms from arrival
    events: list[TraceEvent] = field(default_factory=list)
    omitted_events: int = 0


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
        listed_events = "; ".join(str(event) for event in self.events)
        return f"{listed_events}; {self.omitted_events} more" if self.omitted_events else listed_events


class Tracer:
    """Keeps a trail for each open pull, and hands back those to be told."""

    def __init__(
        self, mode: TraceMode, per_second: float = 20.0, burst: int = 40, max_open: int = 4096
    ) -> None:
        if per_second <= 0 or burst < 1 or max_open < 1:
            raise ValueError("per_second, burst and max_open must be positive")
        self.mode = mode
        self._tokens_per_ms = per_second / 1000.0
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at: float | None = None
        self._max_open = max_open
        self._open_traces: dict[int, _OpenTrace] = {}
        self.suppressed = 0  # trails that the budget kept back
        self.untraced = 0  # pulls that came while `max_open` were traced

    def __len__(self) -> int:
        return len(self._open_traces)

    def start_trace(
        self, number: int, id: str, workload: str, at: float, target_latency: float, deadline: float
    ) -> None:
        """A pull came: `quoted` and `cut_off` in ms from now."""
        if self.mode is TraceMode.OFF:
            return
        if len(self._open_traces) >= self._max_open:
            self.untraced += 1
            return
        self._open_traces[number] = _OpenTrace(id, workload, at, target_latency, deadline)

    def _add_event(self, number: int, at: float, kind: str, cache: str, detail: str) -> None:
        trace = self._open_traces.get(number)
        if trace is None:
            return
        if len(trace.events) >= MAX_EVENTS_PER_TRACE:
            trace.omitted_events += 1
            return
        trace.events.append(TraceEvent(round(at - trace.received_at, 1), kind, cache, detail))

    def record_relay(self, number: int, at: float, cache: str, source: str, timeout: float) -> None:
        """A relay went out to `cache`, filled from `source` if another; `time_out` 0: the cut-off."""
        detail = f"from {source}" if source else ""
        if timeout:
            detail = f"{detail} within {timeout:.0f}".lstrip()
        self._add_event(number, at, "relay", cache, detail)

    def record_relay_end(
        self, number: int, at: float, cache: str, outcome: str, remark: str = "", lag: str = ""
    ) -> None:
        """A relay ended: `how` is the answer's word, or how it ended without one; `why`, `lag` as told."""
        detail = " ".join(
            part for part in (outcome, remark and f"why={remark}", lag and f"lag={lag}") if part
        )
        self._add_event(number, at, "end", cache, detail)

    def discard_trace(self, number: int) -> None:
        """Forget a pull without telling it."""
        self._open_traces.pop(number, None)

    def finish_trace(self, number: int, at: float, kind: str) -> FinishedTrace | None:
        """The pull's final answer: return its trail where it is to be told and the budget allows."""
        trace = self._open_traces.pop(number, None)
        if trace is None:
            return None
        duration = at - trace.received_at
        late = duration > trace.target_latency
        if self.mode is TraceMode.WRONG and kind == "finished" and not late:
            return None
        if not self._take_token(at):
            self.suppressed += 1
            return None
        events, duration = tuple(trace.events), round(duration, 1)
        remaining_fields = (trace.target_latency, trace.deadline, events, trace.omitted_events)
        return FinishedTrace(trace.id, trace.workload, kind, late, duration, *remaining_fields)

    def _take_token(self, at: float) -> bool:
        """Take one line from the budget, refilled by the clock; a clock that goes back refills nothing."""
        if self._refilled_at is not None and at > self._refilled_at:
            self._tokens = min(self._burst, self._tokens + (at - self._refilled_at) * self._tokens_per_ms)
        if self._refilled_at is None or at > self._refilled_at:
            self._refilled_at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
