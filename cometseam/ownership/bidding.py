"""When a front campaigns for which task: without I/O, the clock and the chance handed in.

Two hundred fronts that all see a key go would all campaign in the same moment; one of them wins, and the
service bears two hundred transactions for it. So each waits a little first, and whoever sees the key again
meanwhile does not campaign at all. How long it waits is drawn so that

- a front that holds no task comes before one that holds some: work spreads without anybody counting it;
- among equals another front is first for each task (a hash of both names), the same at every time, so that
  a task tends to come back to where it was;
- the wait is never longer than `spread_ms`, which is part of the stated time without an owner.

What is not seen is not relied on: a campaign that came to nothing (no answer, or held by another that this
front has not seen) is tried again after `again_ms`, whatever the watch tells.
"""

from dataclasses import dataclass
from hashlib import blake2b

EQUALS = 0.5  # part of the spread in which fronts that hold equally many tasks follow each other
ENOUGH = 4  # tasks held from which on a front comes last


@dataclass(slots=True)
class Sight:
    """What is known of one task: who holds it (0: nobody, -1: never seen), and when to campaign."""

    token: int = -1
    bid_at: float | None = None
    mine: bool = False


class Bidder:
    """One front's campaigns. The table has one entry a task, as the operator's file names them."""

    def __init__(self, name: str, tasks: list[str], spread_ms: float, again_ms: float) -> None:
        if spread_ms < 0.0 or again_ms <= 0.0:
            raise ValueError(f"spread_ms {spread_ms:g} and again_ms {again_ms:g} must be 0 or more, above 0")
        self.name, self.spread_ms, self.again_ms = name, spread_ms, again_ms
        self.tasks = {task: Sight() for task in tasks}
        self.campaigns = 0  # begun: what this front costs the service
        self.spared = 0  # not begun, since another was seen to hold the task in time

    @property
    def held(self) -> int:
        """How many tasks this front holds."""
        return sum(sight.mine for sight in self.tasks.values())

    def wait(self, task: str) -> float:
        """How long (ms) this front waits before it campaigns for a task that has come free."""
        digest = blake2b(f"{self.name}\0{task}".encode(), digest_size=8).digest()
        draw = int.from_bytes(digest, "big") / 2.0**64
        behind = min(self.held, ENOUGH) / ENOUGH
        return self.spread_ms * ((1.0 - EQUALS) * behind + EQUALS * draw)

    def seen(self, task: str, token: int, now: float) -> None:
        """The service shows a task's key, created at `token`; 0 where there is none."""
        sight = self.tasks.get(task)
        if sight is None or sight.mine:
            return
        if token:
            self.spared += sight.bid_at is not None
            sight.bid_at = None
        elif sight.bid_at is None:
            sight.bid_at = now + self.wait(task)
        sight.token = token

    def due(self, now: float) -> str | None:
        """Tell the task to campaign for now, the one due longest, or None; it then waits for what comes of
        it, or `again_ms`.

        One at a time: where many tasks come free at once (most of a fleet was restarted) each front begins
        with another and sees what the others took before it goes on, or the first ones up would ask for all.
        """
        ready = [(s.bid_at, t) for t, s in self.tasks.items() if s.bid_at is not None]
        if not ready or min(ready)[0] > now:
            return None
        task = min(ready)[1]
        self.tasks[task].bid_at = now + self.again_ms
        self.campaigns += 1
        return task

    def next(self) -> float | None:
        """Tell when the next campaign is due; None where none is."""
        return min((s.bid_at for s in self.tasks.values() if s.bid_at is not None), default=None)

    def won(self, task: str, token: int) -> None:
        """This front holds the task."""
        self.tasks[task] = Sight(token, None, True)

    def lost(self, task: str, now: float) -> None:
        """It holds it no more; whether another does is not known yet, so it campaigns after a while."""
        self.tasks[task] = Sight(-1, now + self.again_ms, False)
