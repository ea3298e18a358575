"""Counts what each relay of a pull earned: a host of the simulator's wire with a tally.

Run in place of `sim` of deploy/balancer.toml; at the end of input it writes one JSON line a process to
standard error: for each kind of relay (look, held, ageing, fill, fetch; `+` after a failure) how many were
sent, lacked, failed, were answered within the quoted time and late.
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
    """What relays came to, over all fronts of this process."""

    counts: Counter[str] = field(default_factory=Counter)


TALLY = Tally()


class Counting(Front):
    """A front that tells the tally what it sends and hears."""

    def __init__(self, seed: int, settings: i.Settings) -> None:
        super().__init__(seed, settings)
        self.mine: dict[int, tuple[str, float]] = {}  # by pull whose relay is out

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Count what the event tells, then what the module does."""
        count = TALLY.counts
        if isinstance(event, i.RelayEnded) and event.id in self.mine:
            kind, quoted_by = self.mine.pop(event.id)
            if event.outcome is i.Outcome.OK:
                count[f"{kind} {'in time' if now <= quoted_by else 'late'}"] += 1
            else:
                lacks = event.outcome is i.Outcome.MISS
                count[f"{kind} {'lacks' if lacks else event.outcome.name.lower()}"] += 1
        if isinstance(event, i.Pull):
            count["pulls"] += 1
        actions = super().handle(now, event)
        for action in actions:
            if isinstance(action, i.Relay):
                held = self.pending[action.id]
                kind = "look" if action.source == action.cache else "fill"
                if action.only_cached:  # the parents in the order of the hash, those of the hub first
                    order = [
                        parent.entry.cache
                        for group in self.parents
                        for parent in sorted(group, key=lambda e: -self._draw(held.part_key, e))
                    ]
                    place = order.index(action.source)
                    kind = "held" if place > 1 else ("held by first", "held by second")[place]
                if self.origin is not None and action.source == self.origin.entry.cache:
                    kind = "fetch"
                if held.candidate.allow_stale:
                    kind = "ageing " + kind
                if held.failures:
                    kind += "+"
                quoted = (
                    held.workload.target_latency + held.workload.target_latency_factor * held.sending_time
                )
                taken = held.deadline - held.pull.time_left
                self.mine[action.id] = (kind, taken + min(quoted, held.pull.time_left))
                count[f"{kind} sent"] += 1
            elif isinstance(action, i.Shed):
                count["shed"] += 1
            elif isinstance(action, i.Error):
                count["errored"] += 1
        return actions


def main() -> int:
    """Host the wire until input ends, then write the tally."""
    wirehost.Front = Counting  # type: ignore[attr-defined]
    status = wirehost.main()
    print(json.dumps({"tally": dict(sorted(TALLY.counts.items()))}), file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
