"""When a front campaigns for which task: without I/O, the clock and the chance handed in.

Two hundred fronts that all see a key go would all campaign in the same moment; one of them wins, and the
service bears two hundred transactions for it. So each waits a little first, and whoever sees the key again
meanwhile does not campaign at all. How long it waits is drawn so that

- a front that holds no task comes before one that holds some: work spreads without anybody counting it;
- among equals another front is first for each task (a hash of both names), the same at every time, so that
  a task tends to come back to where it was;
- the wait is never longer than `spread_ms`, which is part of the stated time without an owner.

What is not seen is not relied on: a campaign that came to nothing (no answer, or held by another that this
front has not seen) is tried again after `retry_ms`, whatever the watch tells.
"""

from dataclasses import dataclass
from hashlib import blake2b

HASH_SPREAD_FRACTION = (
    0.5  # part of the spread in which fronts that hold equally many tasks follow each other
)
MAX_COUNTED_TASKS = 4  # tasks held from which on a front comes last


@dataclass(slots=True)
class CampaignState:
    """What is known of one task: who holds it (0: nobody, -1: never seen), and when to campaign."""

    token: int = -1
    campaign_at: float | None = None
    owned_here: bool = False


class CampaignScheduler:
    """One front's campaigns. The table has one entry a task, as the operator's file names them."""

    def __init__(self, name: str, tasks: list[str], spread_ms: float, retry_ms: float) -> None:
        if spread_ms < 0.0 or retry_ms <= 0.0:
            raise ValueError(f"spread_ms {spread_ms:g} and retry_ms {retry_ms:g} must be 0 or more, above 0")
        self.name, self.spread_ms, self.retry_ms = name, spread_ms, retry_ms
        self.tasks = {task: CampaignState() for task in tasks}
        self.campaigns_started = 0  # begun: what this front costs the service
        self.campaigns_avoided = 0  # not begun, since another was seen to hold the task in time

    @property
    def owned_count(self) -> int:
        """How many tasks this front holds."""
        return sum(state.owned_here for state in self.tasks.values())

    def campaign_delay(self, task: str) -> float:
        """How long (ms) this front waits before it campaigns for a task that has come free."""
        digest = blake2b(f"{self.name}\0{task}".encode(), digest_size=8).digest()
        hash_fraction = int.from_bytes(digest, "big") / 2.0**64
        load_fraction = min(self.owned_count, MAX_COUNTED_TASKS) / MAX_COUNTED_TASKS
        return self.spread_ms * (
            (1.0 - HASH_SPREAD_FRACTION) * load_fraction + HASH_SPREAD_FRACTION * hash_fraction
        )

    def record_key(self, task: str, token: int, now: float) -> None:
        """The service shows a task's key, created at `token`; 0 where there is none."""
        state = self.tasks.get(task)
        if state is None or state.owned_here:
            return
        if token:
            self.campaigns_avoided += state.campaign_at is not None
            state.campaign_at = None
        elif state.campaign_at is None:
            state.campaign_at = now + self.campaign_delay(task)
        state.token = token

    def pop_due_task(self, now: float) -> str | None:
        """Tell the task to campaign for now, the one due longest, or None; it then waits for what comes of
        it, or `retry_ms`.

        One at a time: where many tasks come free at once (most of a fleet was restarted) each front begins
        with another and sees what the others took before it goes on, or the first ones up would ask for all.
        """
        due = [(s.campaign_at, t) for t, s in self.tasks.items() if s.campaign_at is not None]
        if not due or min(due)[0] > now:
            return None
        task = min(due)[1]
        self.tasks[task].campaign_at = now + self.retry_ms
        self.campaigns_started += 1
        return task

    def next_campaign_at(self) -> float | None:
        """Tell when the next campaign is due; None where none is."""
        return min((s.campaign_at for s in self.tasks.values() if s.campaign_at is not None), default=None)

    def record_won(self, task: str, token: int) -> None:
        """This front holds the task."""
        self.tasks[task] = CampaignState(token, None, True)

    def record_lost(self, task: str, now: float) -> None:
        """It holds it no more; whether another does is not known yet, so it campaigns after a while."""
        self.tasks[task] = CampaignState(-1, now + self.retry_ms, False)
