"""The purges that limit which copies a front accepts. No I/O; times and durations are in ms."""

from cometseam.interface import Purged

PurgeKey = tuple[int, int]  # (object, -1) or, for a whole group, (0, group)


class PurgeTable:
    """The latest purge of each object and group, while copies from before it may still exist."""

    def __init__(self, propagation: float) -> None:
        self._propagation = propagation  # after a purge is notified, until no older copy is left anywhere
        # When the latest purge was made, and until when it is enforced; in the order of these ends.
        self._purges: dict[PurgeKey, tuple[float, float]] = {}

    def record(self, event: Purged, now: float) -> None:
        """Record a purge that was notified at `now`; expired ones are dropped.

        Purges may be notified in another order than they were made: an earlier one never replaces a later
        one, since copies from between the two are out of date as well. `now` never decreases from call to
        call, so that the purge notified last is enforced the longest.
        """
        self._drop_expired(now)
        key = (event.object, -1) if event.object else (0, event.group)
        known_purged_at, known_end = self._purges.pop(key, (float("-inf"), 0.0))
        purged_at, end = now - event.age, now + self._propagation
        self._purges[key] = (max(purged_at, known_purged_at), max(end, known_end))

    def _drop_expired(self, now: float) -> None:
        """Drop the purges that are not enforced any more, which are the first ones."""
        while self._purges:
            key = next(iter(self._purges))
            if self._purges[key][1] > now:
                return
            del self._purges[key]

    def latest(self, object_id: int, group: int, now: float) -> float | None:
        """Return when an object or its group was last purged; None if no purge applies at `now`."""
        recorded = (self._purges.get((object_id, -1)), self._purges.get((0, group)))
        return max((times[0] for times in recorded if times is not None and times[1] > now), default=None)
