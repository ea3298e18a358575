"""Which events of an answer are taken in: each once, in order, with none left out. No I/O."""

from dataclasses import dataclass, field

from cometseam.protocol.discovery_events import DiscoveryEvent, EndpointList, Purge, UnusableEvent


@dataclass(slots=True)
class AcceptResult:
    """What an answer brought: events to act on, in order, and what went wrong (empty: nothing)."""

    events: list[DiscoveryEvent] = field(default_factory=list)
    duplicates: int = 0  # events that had been taken in before
    skipped: list[UnusableEvent] = field(default_factory=list)  # events left out, in part or whole
    error: str = ""


class EventSequence:
    """Follows the numbers of events.

    An event that cannot be used, or that does not follow the last one, is asked for once more. If it is no
    better then, what can be used of it is taken: later drains and purges count more than what is missing.
    """

    def __init__(self, last_seq: int) -> None:
        """Begin after the event of this number."""
        self.last_seq = last_seq
        self._retry_requested = (0, 0)  # the number that was due, and the event that came and was not taken

    def accept(self, events: list[DiscoveryEvent]) -> AcceptResult:
        """Take in the events of an answer, ordered by number."""
        result = AcceptResult()
        for index, event in enumerate(events):
            expected_seq = self.last_seq + 1
            if event.seq < expected_seq:
                result.duplicates += 1
                continue
            if self._needs_retry(event, expected_seq) and self._retry_requested != (expected_seq, event.seq):
                self._retry_requested = (expected_seq, event.seq)
                result.error = f"event {expected_seq}: {_describe_problem(event)}"
                if event.seq == expected_seq:  # a gap says less: its numbers may not be those of this front
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
        """Have the next doubtful event asked for anew: what was doubted came from elsewhere."""
        self._retry_requested = (0, 0)

    @staticmethod
    def _needs_retry(event: DiscoveryEvent, expected_seq: int) -> bool:
        return event.seq > expected_seq or isinstance(event, UnusableEvent)


def _describe_problem(event: DiscoveryEvent) -> str:
    return event.reason if isinstance(event, UnusableEvent) else f"event {event.seq} instead of it"


def _restricting_events(events: list[DiscoveryEvent]) -> list[DiscoveryEvent]:
    """Return what is safe to act on before events are asked for again: endpoints that take no more, purges.

    They were told with this answer; the next one may take a while.
    """
    safe: list[DiscoveryEvent] = []
    for event in events:
        usable = event.usable if isinstance(event, UnusableEvent) else event
        if isinstance(usable, Purge):
            safe.append(usable)
        elif usable is not None:
            entries = tuple(line for line in usable.entries if not line.is_ready)
            safe += [EndpointList(usable.seq, False, entries)] if entries else []
    return safe
