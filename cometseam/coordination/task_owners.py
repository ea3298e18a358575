"""One front's part in all the fleet's tasks: it watches who owns which task, campaigns when it is due, and
renews the tasks that it owns.

Unlike `TaskHolder.run` (one task, its key read every `renew_ms`) this follows the keys of all tasks by one
watch, and campaigns only for tasks that have become free, when the `CampaignScheduler` says so: with 200
fronts and 50 tasks the service bears one read per front every `refresh_ms` and a few campaigns per change of
owner, not one read per task, front and renewal.
"""

from collections.abc import Callable

import aetcd
import anyio
from anyio.abc import TaskGroup

from cometseam.coordination.election import Clock, TaskHolder, UnusedLease, owner_key
from cometseam.coordination.key_watcher import KeyRangeWatcher
from cometseam.ownership import CampaignScheduler, KeyChange, OwnershipTerms, State

OWNER_PREFIX = owner_key("")
POLL_INTERVAL_S = 0.01  # between two checks for due campaigns
StateCallback = Callable[[TaskHolder], None]


class TaskOwners:
    """Holds tasks for one front; `on_change` is called each time that a task's state may have changed."""

    def __init__(
        self,
        client: aetcd.Client,
        name: str,
        tasks: dict[str, OwnershipTerms],
        refresh_ms: float,
        clock: Clock,
        on_change: StateCallback,
        spread_ms: float | None = None,
    ) -> None:
        """`spread_ms`: the longest wait before a campaign; half of the shortest `renew_ms` by default."""
        self.clock, self.on_change = clock, on_change
        self.holders = {
            task: TaskHolder(client, task, name, terms, clock, read_first=False)
            for task, terms in tasks.items()
        }
        min_renew_ms = min(terms.renew_ms for terms in tasks.values())
        spread_or_default_ms = 0.5 * min_renew_ms if spread_ms is None else spread_ms
        self.campaign_scheduler = CampaignScheduler(
            name, list(tasks), spread_ms=spread_or_default_ms, retry_ms=2.0 * min_renew_ms
        )
        self.owner_watcher = KeyRangeWatcher(client, OWNER_PREFIX, refresh_ms, clock, self._apply_changes)
        self._awaiting_first_read = True
        self._unused_lease: UnusedLease | None = None  # of a lost campaign, for the next one

    def _apply_changes(self, changes: list[KeyChange]) -> None:
        now = self.clock()
        if self._awaiting_first_read:  # a task without a key in the first read has no owner
            self._awaiting_first_read = False
            for task in self.holders:
                if OWNER_PREFIX + task.encode() not in self.owner_watcher.view.entries_by_key:
                    self.campaign_scheduler.record_key(task, 0, now)
        for change in changes:
            task = change.key.removeprefix(OWNER_PREFIX).decode(errors="replace")
            token = change.entry.create_revision if change.entry is not None else 0
            self.campaign_scheduler.record_key(task, token, now)
            # A change from before this front's own key was created says nothing about that key: the removal
            # of the earlier owner's key can arrive by the watch after the campaign was won.
            if (
                task in self.holders
                and self.owner_watcher.view.revision >= self.holders[task].ownership.token
            ):
                self.holders[task].ownership.record_key_holder(token, now)

    async def run(self) -> None:
        """Take part until cancelled; release the tasks owned then."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.owner_watcher.run)
                while True:
                    await anyio.sleep(POLL_INTERVAL_S)
                    if self._awaiting_first_read and self.owner_watcher.view.last_read_at is not None:
                        self._apply_changes([])  # the range was empty, so the watcher reported no change
                    while (task := self.campaign_scheduler.pop_due_task(self.clock())) is not None:
                        await self._campaign(self.holders[task], group)
        finally:
            with anyio.CancelScope(shield=True):
                for holder in self.holders.values():
                    await holder.release()

    async def _campaign(self, holder: TaskHolder, group: TaskGroup) -> None:
        if holder.lease is not None:
            return
        holder.unused_lease, self._unused_lease = self._unused_lease, None
        await holder.campaign()
        self._unused_lease, holder.unused_lease = holder.unused_lease, None
        if holder.lease is None:
            return  # another owner, or no answer: the scheduler retries until the key is seen
        self.campaign_scheduler.record_won(holder.ownership.task, holder.ownership.token)
        self.on_change(holder)
        group.start_soon(self._renew_until_lost, holder)

    async def _renew_until_lost(self, holder: TaskHolder) -> None:
        # `Ownership` decides what a late renewal means (the loop was busy, the process paused); this ends
        # when the task is lost, and the front campaigns again after a while.
        while holder.lease is not None:
            before = holder.ownership.state
            await anyio.sleep(holder.ownership.terms.renew_ms / 1000.0)
            await holder.renew()
            if holder.ownership.state is not before:
                self.on_change(holder)
        self.campaign_scheduler.record_lost(holder.ownership.task, self.clock())
        self.on_change(holder)

    def active_holders(self) -> list[TaskHolder]:
        """The tasks that this front may act for now."""
        now = self.clock()
        return [h for h in self.holders.values() if h.lease is not None and h.ownership.may_act(now)]

    def states(self) -> dict[str, State]:
        """This front's state for each task."""
        return {task: holder.ownership.state for task, holder in self.holders.items()}
