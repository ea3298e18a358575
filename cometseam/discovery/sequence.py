"""Decides which events of an answer are accepted: each once, in order, without gaps. No I/O."""

from dataclasses import dataclass, field

from cometseam.protocol.discovery_events import DiscoveryEvent, EndpointList, Purge, UnusableEvent


@dataclass(slots=True)
class AcceptResult:
    """Result of an answer: the events to act on, in order, and a description of the error, empty if none."""

    events: list[DiscoveryEvent] = field(default_factory=list)
    duplicates: int = 0  # events that had been accepted before
    skipped: list[UnusableEvent] = field(default_factory=list)  # events left out, partly or completely
    error: str = ""


class EventSequence:
    """Tracks the sequence numbers of events.

    An event that is unusable or does not follow the last one is requested once more. If the repeated answer
    is no better, its usable part is accepted: later drains and purges matter more than what is missing.
    """

    def __init__(self, last_seq: int) -> None:
        """Begin after the event with this sequence number."""
        self.last_seq = last_seq
        # Expected and received sequence number of the last problem for which a retry was requested.
        self._last_retry = (0, 0)

    def accept(self, events: list[DiscoveryEvent]) -> AcceptResult:
        """Process the events of an answer, which are ordered by sequence number."""
        result = AcceptResult()
        for index, event in enumerate(events):
            expected_seq = self.last_seq + 1
            if event.seq < expected_seq:
                result.duplicates += 1
                continue
            if self._needs_retry(event, expected_seq) and self._last_retry != (expected_seq, event.seq):
                self._last_retry = (expected_seq, event.seq)
                result.error = f"event {expected_seq}: {_describe_problem(event)}"
                # After a gap nothing is used: its sequence numbers may not be those of this front.
                if event.seq == expected_seq:
                    result.events += _restricting_events(events[index:])
                return result
            self.last_seq = event.seq
            if isinstance(event, UnusableEvent):
                result.skipped.append(event)
                result.events += [event.usable] if event.usable is not None else []
            else:
                result.events.append(event)
        return result

    def reset_retry(self) -> None:
        """Allow a new retry for the next problem: the previous one was in an answer from elsewhere."""
        self._last_retry = (0, 0)

    @staticmethod
    def _needs_retry(event: DiscoveryEvent, expected_seq: int) -> bool:
        return event.seq > expected_seq or isinstance(event, UnusableEvent)


def _describe_problem(event: DiscoveryEvent) -> str:
    return event.reason if isinstance(event, UnusableEvent) else f"event {event.seq} instead of it"


def _restricting_events(events: list[DiscoveryEvent]) -> list[DiscoveryEvent]:
    """Return what is safe to apply before the events are requested again.

    These are purges and endpoints that are not ready: this answer has reported them, and the next one may
    take a while.
    """
    safe: list[DiscoveryEvent] = []
    for event in events:
        usable = event.usable if isinstance(event, UnusableEvent) else event
        if isinstance(usable, Purge):
            safe.append(usable)
        elif usable is not None:
            entries = tuple(entry for entry in usable.entries if not entry.is_ready)
            safe += [EndpointList(usable.seq, False, entries)] if entries else []
    return safe
