"""One front's part in all the fleet's tasks: it follows who holds what, campaigns when its bid is due, and
renews what it holds.

Beside `Holder.run` (one task, the key read every `renew_ms`) this follows all tasks' keys by one watch, and
campaigns only for what has come free, when the `Bidder` says so: with 200 fronts and 50 tasks the service
bears one read a front every `refresh_ms` and a few campaigns a change, not a read a task a front a renewal.
"""

from collections.abc import Callable

import aetcd
import anyio
from anyio.abc import TaskGroup

from cometseam.coordination.elect import Clock, Holder, Spare, key_of
from cometseam.coordination.follow import Follower
from cometseam.ownership import Bidder, State, Terms, Told

OWNERS = key_of("")
LOOK = 0.01  # s between two looks at bids that are due
Changed = Callable[[Holder], None]


class Crew:
    """Holds tasks for one front; `changed` is told each time that a task's standing may have changed."""

    def __init__(
        self, client: aetcd.Client, name: str, tasks: dict[str, Terms], refresh_ms: float, clock: Clock,
        changed: Changed, spread_ms: float | None = None,
    ) -> None:  # fmt: skip
        """`spread_ms`: the longest wait before a campaign; half of the shortest `renew_ms` by default."""
        self.clock, self.changed = clock, changed
        self.holders = {
            task: Holder(client, task, name, terms, clock, look_first=False) for task, terms in tasks.items()
        }
        again = min(terms.renew_ms for terms in tasks.values())
        half = 0.5 * again if spread_ms is None else spread_ms
        self.bidder = Bidder(name, list(tasks), spread_ms=half, again_ms=2.0 * again)
        self.follower = Follower(client, OWNERS, refresh_ms, clock, self._told)
        self._first = True
        self._spare: Spare | None = None  # the lease of a campaign that was lost, for the next one

    def _told(self, told: list[Told]) -> None:
        now = self.clock()
        if self._first:  # what was not in the first read has no owner
            self._first = False
            for task in self.holders:
                if OWNERS + task.encode() not in self.follower.view.keys:
                    self.bidder.seen(task, 0, now)
        for change in told:
            task = change.key.removeprefix(OWNERS).decode(errors="replace")
            token = change.entry.created if change.entry is not None else 0
            self.bidder.seen(task, token, now)
            # What was told before this front's own key was created says nothing of it: the end of the
            # owner before it can come by the watch after the campaign was won.
            if task in self.holders and self.follower.view.revision >= self.holders[task].owner.token:
                self.holders[task].owner.saw(token, now)

    async def run(self) -> None:
        """Take part until cancelled; what is held then is given back."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.follower.run)
                while True:
                    await anyio.sleep(LOOK)
                    if self._first and self.follower.view.read_at is not None:
                        self._told([])  # the range was empty: nothing was told
                    while (task := self.bidder.due(self.clock())) is not None:
                        await self._campaign(self.holders[task], group)
        finally:
            with anyio.CancelScope(shield=True):
                for holder in self.holders.values():
                    await holder.leave()

    async def _campaign(self, holder: Holder, group: TaskGroup) -> None:
        if holder.lease is not None:
            return
        holder.spare, self._spare = self._spare, None
        await holder.campaign()
        self._spare, holder.spare = holder.spare, None
        if holder.lease is None:
            return  # held by another, or unanswered: the bidder tries again until the key is seen
        self.bidder.won(holder.owner.task, holder.owner.token)
        self.changed(holder)
        group.start_soon(self._keep, holder)

    async def _keep(self, holder: Holder) -> None:
        # What is renewed late (the loop was busy, the process paused) is the owner's state to judge; the
        # task ends here when it is lost, and the front campaigns again after a while.
        while holder.lease is not None:
            before = holder.owner.state
            await anyio.sleep(holder.owner.terms.renew_ms / 1000.0)
            await holder.renew()
            if holder.owner.state is not before:
                self.changed(holder)
        self.bidder.lost(holder.owner.task, self.clock())
        self.changed(holder)

    def held(self) -> list[Holder]:
        """The tasks that this front may act for now."""
        now = self.clock()
        return [h for h in self.holders.values() if h.lease is not None and h.owner.may_act(now)]

    def states(self) -> dict[str, State]:
        """Where this front stands towards each task."""
        return {task: holder.owner.state for task, holder in self.holders.items()}
