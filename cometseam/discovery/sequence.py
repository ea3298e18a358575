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

    def __init__(self, last: int) -> None:
        """Begin after the event of this number."""
        self.last_seq = last
        self._doubted = (0, 0)  # the number that was due, and the event that came and was not taken

    def accept(self, changes: list[DiscoveryEvent]) -> AcceptResult:
        """Take in the events of an answer, ordered by number."""
        accepted = AcceptResult()
        for place, change in enumerate(changes):
            due = self.last_seq + 1
            if change.seq < due:
                accepted.duplicates += 1
                continue
            if self._is_doubtful(change, due) and self._doubted != (due, change.seq):
                self._doubted = (due, change.seq)
                accepted.error = f"event {due}: {_why(change)}"
                if change.seq == due:  # a gap says less: its numbers may not be those of this front
                    accepted.events += _restrictions(changes[place:])
                return accepted
            self.last_seq = change.seq
            if isinstance(change, UnusableEvent):
                accepted.skipped.append(change)
                accepted.events += [change.usable] if change.usable is not None else []
            else:
                accepted.events.append(change)
        return accepted

    def reset_retry(self) -> None:
        """Have the next doubtful event asked for anew: what was doubted came from elsewhere."""
        self._doubted = (0, 0)

    @staticmethod
    def _is_doubtful(change: DiscoveryEvent, due: int) -> bool:
        return change.seq > due or isinstance(change, UnusableEvent)


def _why(change: DiscoveryEvent) -> str:
    return change.reason if isinstance(change, UnusableEvent) else f"event {change.seq} instead of it"


def _restrictions(changes: list[DiscoveryEvent]) -> list[DiscoveryEvent]:
    """Return what is safe to act on before events are asked for again: endpoints that take no more, purges.

    They were told with this answer; the next one may take a while.
    """
    safe: list[DiscoveryEvent] = []
    for change in changes:
        listing = change.usable if isinstance(change, UnusableEvent) else change
        if isinstance(listing, Purge):
            safe.append(listing)
        elif listing is not None:
            lines = tuple(line for line in listing.entries if not line.is_ready)
            safe += [EndpointList(listing.seq, False, lines)] if lines else []
    return safe
