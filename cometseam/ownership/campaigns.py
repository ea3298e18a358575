"""When a front campaigns for which task: without I/O; the time is a parameter.

If two hundred fronts that see a task's key disappear all campaigned at once, one would win, and the service
would bear two hundred transactions for it. So each front waits first, and a front that sees the key again
meanwhile does not campaign at all. The wait is chosen so that

- a front that owns no task comes before one that owns some: tasks spread without a central count;
- among fronts that own equally many, each task has another first front (by a hash of both names), always the
  same one, so that a task tends to return to the front that owned it before;
- the wait is never longer than `spread_ms`, which is part of the stated time without an owner.

Missed notifications are allowed for: a campaign without success (no answer, or the task is owned by another
front that this one has not seen) is repeated after `retry_ms`, whatever the watch reports.
"""

from dataclasses import dataclass
from hashlib import blake2b

HASH_SPREAD_FRACTION = 0.5  # of the spread: the range of the wait among fronts that own equally many tasks
MAX_COUNTED_TASKS = 4  # a front that owns this many tasks, or more, waits longest


@dataclass(slots=True)
class CampaignState:
    """What is known of one task: its key's token (0: no key, -1: not seen yet), and when to campaign."""

    token: int = -1
    campaign_at: float | None = None
    owned_here: bool = False


class CampaignScheduler:
    """One front's campaigns. The table has one entry per task that the operator's file names."""

    def __init__(self, name: str, tasks: list[str], spread_ms: float, retry_ms: float) -> None:
        if spread_ms < 0.0 or retry_ms <= 0.0:
            raise ValueError(f"spread_ms {spread_ms:g} must be 0 or more, retry_ms {retry_ms:g} above 0")
        self.name, self.spread_ms, self.retry_ms = name, spread_ms, retry_ms
        self.tasks = {task: CampaignState() for task in tasks}
        self.campaigns_started = 0  # the load that this front's campaigns put on the service
        self.campaigns_avoided = 0  # not started, since another owner's key was seen in time

    @property
    def owned_count(self) -> int:
        """How many tasks this front owns."""
        return sum(state.owned_here for state in self.tasks.values())

    def campaign_delay(self, task: str) -> float:
        """Return how long (ms) this front waits before it campaigns for a task that has become free."""
        digest = blake2b(f"{self.name}\0{task}".encode(), digest_size=8).digest()
        hash_fraction = int.from_bytes(digest, "big") / 2.0**64
        load_fraction = min(self.owned_count, MAX_COUNTED_TASKS) / MAX_COUNTED_TASKS
        return self.spread_ms * (
            (1.0 - HASH_SPREAD_FRACTION) * load_fraction + HASH_SPREAD_FRACTION * hash_fraction
        )

    def record_key(self, task: str, token: int, now: float) -> None:
        """Record the task's key as the service shows it: created at revision `token`, 0 for no key."""
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
        """Return the task to campaign for now, the one due longest, or None; its next campaign is scheduled
        `retry_ms` from now.

        One at a time: where many tasks become free at once (most of a fleet was restarted), each front begins
        with another one and sees which tasks the others won before it goes on; otherwise the first fronts to
        start would campaign for all tasks.
        """
        due = [(s.campaign_at, t) for t, s in self.tasks.items() if s.campaign_at is not None]
        if not due or min(due)[0] > now:
            return None
        task = min(due)[1]
        self.tasks[task].campaign_at = now + self.retry_ms
        self.campaigns_started += 1
        return task

    def next_campaign_at(self) -> float | None:
        """Return when the next campaign is due; None where none is."""
        return min((s.campaign_at for s in self.tasks.values() if s.campaign_at is not None), default=None)

    def record_won(self, task: str, token: int) -> None:
        """Record that this front owns the task."""
        self.tasks[task] = CampaignState(token, None, True)

    def record_lost(self, task: str, now: float) -> None:
        """Record that this front no longer owns the task; it campaigns again after `retry_ms`, as it is not
        known yet whether another front owns it."""
        self.tasks[task] = CampaignState(-1, now + self.retry_ms, False)
