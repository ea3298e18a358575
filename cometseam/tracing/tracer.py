"""Per-pull traces, kept while a pull is open and reported once, when it ends abnormally.

A trace records the relays of a pull: the cache and source of each, how long it waited, how it ended, and how
the pull was finally answered. Counters show how many pulls were late; a trace shows why one was.

Traces are kept for open pulls only: `finish_trace` and `discard_trace` remove them. At most `max_open` pulls
are traced, each with at most `MAX_EVENTS_PER_TRACE` events; pulls and events beyond that are counted. A token
bucket, refilled by the caller's clock, limits the output: if every pull fails, a front reports `per_second`
traces a second and counts the rest.

Times are float ms of the front's single clock; traces report them relative to the pull's arrival.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class TraceMode(StrEnum):
    """Which pulls are reported."""

    OFF = "off"
    WRONG = "wrong"  # shed, errored, hung up, expired at the deadline, or slower than the target latency
    ALL = "all"


MAX_EVENTS_PER_TRACE = 12  # further ones are only counted, in `omitted_events`


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """An event of a pull, `at` ms after its arrival; `kind` is `relay` or `end`."""

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
    """A trace to be logged: the pull's request id, how and when it ended, and its events."""

    id: str
    workload: str
    kind: str  # finished, shed, errored, hung_up, overdue
    late: bool  # answered later than the target latency
    duration: float  # ms from arrival to the final answer
    target_latency: float
    deadline: float
    events: tuple[TraceEvent, ...]
    omitted_events: int

    def text(self) -> str:
        """Return the events as one line: `at kind cache detail; …`."""
        listed_events = "; ".join(str(event) for event in self.events)
        return f"{listed_events}; {self.omitted_events} more" if self.omitted_events else listed_events


class Tracer:
    """Keeps a trace for each open pull and returns those to be reported."""

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
        self.suppressed = 0  # traces dropped by the rate limit
        self.untraced = 0  # pulls that arrived while `max_open` were traced

    def __len__(self) -> int:
        return len(self._open_traces)

    def start_trace(
        self, number: int, id: str, workload: str, at: float, target_latency: float, deadline: float
    ) -> None:
        """Start the trace of a pull; `target_latency` and `deadline` are in ms from `at`."""
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
        """Record a relay to `cache`.

        Args:
            number: the pull.
            at: the clock's time.
            cache: the name of the cache.
            source: the name of the endpoint that it fills from; "" if none.
            timeout: ms until the relay times out; 0: the pull's deadline applies.
        """
        detail = f"from {source}" if source else ""
        if timeout:
            detail = f"{detail} within {timeout:.0f}".lstrip()
        self._add_event(number, at, "relay", cache, detail)

    def record_relay_end(
        self, number: int, at: float, cache: str, outcome: str, remark: str = "", lag: str = ""
    ) -> None:
        """Record the end of a relay.

        Args:
            number: the pull.
            at: the clock's time.
            cache: the name of the cache.
            outcome: the answer's status word, or how the relay ended without an answer.
            remark: the answer's remark; "" if none.
            lag: the wait (ms) that the answer reports; "" if none.
        """
        detail = " ".join(
            part for part in (outcome, remark and f"why={remark}", lag and f"lag={lag}") if part
        )
        self._add_event(number, at, "end", cache, detail)

    def discard_trace(self, number: int) -> None:
        """Remove the trace of a pull without reporting it."""
        self._open_traces.pop(number, None)

    def finish_trace(self, number: int, at: float, kind: str) -> FinishedTrace | None:
        """Remove a pull's trace at its final answer; return it if it is to be reported within the limit."""
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
        """Return whether a token could be taken from the bucket. A clock that goes backwards adds none."""
        if self._refilled_at is not None and at > self._refilled_at:
            self._tokens = min(self._burst, self._tokens + (at - self._refilled_at) * self._tokens_per_ms)
        if self._refilled_at is None or at > self._refilled_at:
            self._refilled_at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
