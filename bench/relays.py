"""Counts the outcomes of relays by kind: the simulator's wire host with a tally.

Run in place of `sim` of deploy/balancer.toml. At the end of input each process writes one JSON line to
standard error: for each kind of relay (look, held, ageing, fill, fetch; `+` after a failure) how many were
sent, missed, failed, and were answered within the target latency and late.
"""

import json
import sys
from collections import Counter
from dataclasses import dataclass, field

from cometseam import interface as i
from cometseam import wirehost
from cometseam.logic import Front


@dataclass
class Tally:
    """Outcomes of relays, over all fronts of this process."""

    counts: Counter[str] = field(default_factory=Counter)


TALLY = Tally()


class CountingFront(Front):
    """A front that counts its actions and events in the tally."""

    def __init__(self, seed: int, settings: i.Settings) -> None:
        super().__init__(seed, settings)
        self.in_flight: dict[int, tuple[str, float]] = {}  # by pull with a relay in flight: kind, target time

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Count the event, then the actions that follow it."""
        counts = TALLY.counts
        if isinstance(event, i.RelayEnded) and event.id in self.in_flight:
            kind, target_at = self.in_flight.pop(event.id)
            if event.outcome is i.Outcome.OK:
                counts[f"{kind} {'in time' if now <= target_at else 'late'}"] += 1
            else:
                is_miss = event.outcome is i.Outcome.MISS
                counts[f"{kind} {'lacks' if is_miss else event.outcome.name.lower()}"] += 1
        if isinstance(event, i.Pull):
            counts["pulls"] += 1
        actions = super().handle(now, event)
        for action in actions:
            if isinstance(action, i.Relay):
                pending_pull = self.pending[action.id]
                kind = "look" if action.source == action.cache else "fill"
                if action.only_cached:  # parents ordered by hash, those of the hub first
                    parent_order = [
                        parent.entry.cache
                        for group in self.parents
                        for parent in sorted(group, key=lambda e: -self._draw(pending_pull.part_key, e))
                    ]
                    parent_index = parent_order.index(action.source)
                    kind = "held" if parent_index > 1 else ("held by first", "held by second")[parent_index]
                if self.origin is not None and action.source == self.origin.entry.cache:
                    kind = "fetch"
                if pending_pull.candidate.allow_stale:
                    kind = "ageing " + kind
                if pending_pull.failures:
                    kind += "+"
                target_latency = (
                    pending_pull.workload.target_latency
                    + pending_pull.workload.target_latency_factor * pending_pull.sending_time
                )
                arrived_at = pending_pull.deadline - pending_pull.pull.time_left
                self.in_flight[action.id] = (
                    kind,
                    arrived_at + min(target_latency, pending_pull.pull.time_left),
                )
                counts[f"{kind} sent"] += 1
            elif isinstance(action, i.Shed):
                counts["shed"] += 1
            elif isinstance(action, i.Error):
                counts["errored"] += 1
        return actions


def main() -> int:
    """Serve the wire until its input ends, then write the tally."""
    wirehost.Front = CountingFront  # type: ignore[attr-defined]
    status = wirehost.main()
    print(json.dumps({"tally": dict(sorted(TALLY.counts.items()))}), file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
