"""Which events of an answer are taken in: each once, in order, with none left out. No I/O."""

from dataclasses import dataclass, field

from cometseam.protocol.changelog import Change, Listing, Purge, Unusable


@dataclass(slots=True)
class Accepted:
    """What an answer brought: events to act on, in order, and what went wrong (empty: nothing)."""

    changes: list[Change] = field(default_factory=list)
    repeated: int = 0  # events that had been taken in before
    passed_over: list[Unusable] = field(default_factory=list)  # events left out, in part or whole
    fault: str = ""


class EventSequence:
    """Follows the numbers of events.

    An event that cannot be used, or that does not follow the last one, is asked for once more. If it is no
    better then, what can be used of it is taken: later drains and purges count more than what is missing.
    """

    def __init__(self, last: int) -> None:
        """Begin after the event of this number."""
        self.last = last
        self._doubted = (0, 0)  # the number that was due, and the event that came and was not taken

    def accept(self, changes: list[Change]) -> Accepted:
        """Take in the events of an answer, ordered by number."""
        accepted = Accepted()
        for place, change in enumerate(changes):
            due = self.last + 1
            if change.seq < due:
                accepted.repeated += 1
                continue
            if self._is_doubtful(change, due) and self._doubted != (due, change.seq):
                self._doubted = (due, change.seq)
                accepted.fault = f"event {due}: {_why(change)}"
                if change.seq == due:  # a gap says less: its numbers may not be those of this front
                    accepted.changes += _restrictions(changes[place:])
                return accepted
            self.last = change.seq
            if isinstance(change, Unusable):
                accepted.passed_over.append(change)
                accepted.changes += [change.usable] if change.usable is not None else []
            else:
                accepted.changes.append(change)
        return accepted

    def forget_doubt(self) -> None:
        """Have the next doubtful event asked for anew: what was doubted came from elsewhere."""
        self._doubted = (0, 0)

    @staticmethod
    def _is_doubtful(change: Change, due: int) -> bool:
        return change.seq > due or isinstance(change, Unusable)


def _why(change: Change) -> str:
    return change.why if isinstance(change, Unusable) else f"event {change.seq} instead of it"


def _restrictions(changes: list[Change]) -> list[Change]:
    """Return what is safe to act on before events are asked for again: endpoints that take no more, purges.

    They were told with this answer; the next one may take a while.
    """
    safe: list[Change] = []
    for change in changes:
        listing = change.usable if isinstance(change, Unusable) else change
        if isinstance(listing, Purge):
            safe.append(listing)
        elif listing is not None:
            lines = tuple(line for line in listing.lines if not line.is_ready)
            safe += [Listing(listing.seq, False, lines)] if lines else []
    return safe
