"""A front's part in sharing limits out: it asks, takes what it is granted, and shares out while it holds
`limits`.

The decisions are `cometseam.limits`'; this carries asks and grants by keys on the service:

    /cometseam/asks/<group>/<process>      written by a front, with a lease of its own: gone when it is
    /cometseam/grants/<group>/<process>    written by the coordinator, fenced, without a lease: a new
                                           coordinator must find what may still be in force

A process has a name of its own at each start (a front that was restarted is another): its asks count from 1,
and nothing that was granted before its start is its own. It asks only while some cache is cold, or, where
relays out are capped, while it uses some.
"""

import json
from collections.abc import Callable
from typing import Any

import aetcd
import anyio

from cometseam.coordination.crew import Crew
from cometseam.coordination.elect import UNANSWERED, Clock, Holder, answered
from cometseam.coordination.follow import Follower
from cometseam.counters import COUNTERS
from cometseam.limits import Ask, Coordinator, Grant, Share, Sharing
from cometseam.ownership import Told

LIMITS = "limits"  # the task of sharing out
ASKS, GRANTS = b"/cometseam/asks/", b"/cometseam/grants/"
LOOK = 0.02  # s between two looks at what is due
BATCH = 100  # keys in a transaction; etcd takes 128 by default
MOST = 1 << 20  # bytes of an ask or a grant

Wishes = Callable[[], dict[str, dict[str, float]]]  # by group and limit
Granted = Callable[[str, str, float, float], None]  # group, limit, part, for how long (ms)


def write_ask(ask: Ask) -> bytes:
    """Return an ask as it stands on the service, as JSON."""
    return json.dumps([ask.number, *ask.on, ask.wishes], separators=(",", ":")).encode()


def write_grant(grant: Grant) -> bytes:
    """Return a grant as it stands on the service, as JSON."""
    told = [grant.token, grant.number, grant.ask, grant.shares, grant.earlier]
    return json.dumps(told, separators=(",", ":")).encode()


def _parts(value: bytes, whole: int, maps: int) -> list[Any]:
    """Read `whole` whole numbers and `maps` objects of parts; ValueError for anything else."""
    if len(value) > MOST:
        raise ValueError("too large")
    told = json.loads(value)
    if not isinstance(told, list) or len(told) != whole + maps:
        raise ValueError("a list of its length was expected")
    if not all(type(number) is int and number >= 0 for number in told[:whole]):
        raise ValueError("whole numbers were expected")
    for parts in told[whole:]:
        if not isinstance(parts, dict):
            raise ValueError("an object was expected")
        if not all(isinstance(part, int | float) and 0.0 <= part <= 1.0 for part in parts.values()):
            raise ValueError("parts of a whole were expected")
    return told


def read_ask(value: bytes) -> Ask:
    """Read what `write_ask` wrote; ValueError for anything else."""
    number, token, last, wishes = _parts(value, 3, 1)
    return Ask(number, (token, last), wishes)


def read_grant(value: bytes) -> Grant:
    """Read what `write_grant` wrote; ValueError for anything else."""
    return Grant(*_parts(value, 3, 2))


class Sharer:
    """One front's part. `groups`: the terms of each group of fronts; `mine`: the groups that it is one of."""

    def __init__(
        self, client: aetcd.Client, crew: Crew, name: str, clock: Clock, groups: dict[str, Sharing],
        mine: set[str], wishes: Wishes, granted: Granted,
    ) -> None:  # fmt: skip
        self.client, self.crew, self.clock = client, crew, clock
        self.groups, self.wishes, self.granted = groups, wishes, granted
        self.process = f"{name}.{int(clock() * 1000.0):x}"
        self.shares = {group: Share(groups[group]) for group in mine}
        self.refresh = min(terms.refresh for terms in groups.values())
        self.lasts = max(terms.lasts for terms in groups.values())
        self._lease: Any = None
        self._lease_at = 0.0
        self._told: dict[tuple[str, str], tuple[float, float]] = {}  # part and end as last told to the module
        self._coordinators: dict[str, Coordinator] = {}

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            for group in self.shares:
                key = GRANTS + f"{group}/{self.process}".encode()
                follower = Follower(self.client, key, 2.0 * self.refresh, self.clock, self._taker(group, key))
                tasks.start_soon(follower.run)
            tasks.start_soon(self._ask)
            tasks.start_soon(self._coordinate)
            while True:
                await anyio.sleep(LOOK)
                self._tell()

    # The front's side

    async def _keep_lease(self) -> bool:
        """Have a lease for the asks that lives on; another where it ended."""
        now = self.clock()
        if self._lease is not None and now - self._lease_at < 0.5 * self.lasts:
            return True
        if self._lease is not None:
            reply = await answered(self._lease.refresh())
            if reply is not UNANSWERED and reply is not None and reply.TTL > 0:
                self._lease_at = now
                return True
        seconds = max(round(2.0 * self.lasts / 1000.0), 1)
        lease = await answered(self.client.lease(seconds))
        self._lease = None if lease is UNANSWERED else lease
        self._lease_at = now
        return self._lease is not None

    async def _ask(self) -> None:
        while True:
            await anyio.sleep(self.refresh / 1000.0)
            told = self.wishes()
            for group, share in self.shares.items():
                wishes = told.get(group, {})
                if not wishes and not share.names():
                    continue
                if not await self._keep_lease():
                    continue
                ask = share.ask(wishes, self.clock())
                COUNTERS.add("fleet.limits.asks")
                key = ASKS + f"{group}/{self.process}".encode()
                await answered(self.client.put(key, write_ask(ask), self._lease))

    def _taker(self, group: str, key: bytes) -> Callable[[list[Told]], None]:
        def take(told: list[Told]) -> None:
            for change in told:
                if change.entry is None or change.key != key:
                    continue
                try:
                    grant = read_grant(change.entry.value)
                except (ValueError, RecursionError):
                    COUNTERS.add("fleet.limits.unusable")
                    continue
                counts = self.shares[group].take(grant, self.clock())
                COUNTERS.add("fleet.limits.taken" if counts else "fleet.limits.passed_over")

        return take

    def _tell(self) -> None:
        """Tell the module of each share that has changed, and until when it holds by itself."""
        now = self.clock()
        for group, share in self.shares.items():
            for name in share.names():
                part, ends = share.may(name, now), share.ends(name, now)
                if self._told.get((group, name)) != (part, ends):
                    self._told[group, name] = (part, ends)
                    self.granted(group, name, part, max(ends - now, 0.0))
            names = set(share.names())
            for key in [key for key in self._told if key[0] == group and key[1] not in names]:
                del self._told[key]
                self.granted(*key, share.terms.floor, 0.0)  # as without a grant: an equal part

    # The coordinator's side

    def _holder(self) -> Holder | None:
        holder = self.crew.holders.get(LIMITS)
        holds = holder is not None and holder.lease is not None and holder.owner.may_act(self.clock())
        return holder if holds else None

    async def _coordinate(self) -> None:
        while True:
            await anyio.sleep(LOOK)
            holder = self._holder()
            if holder is not None:
                await self._hold(holder)

    async def _hold(self, holder: Holder) -> None:
        """Share out for as long as this front holds the task under this token and its clock does not turn."""
        token, turns = holder.owner.token, holder.owner.turns
        self._coordinators = {group: Coordinator(terms, token) for group, terms in self.groups.items()}
        # After the task was won: whatever an earlier coordinator still writes is refused by the service.
        answer = await answered(self.client.get_prefix(GRANTS))
        if answer is UNANSWERED:
            return
        for kv in answer:
            place = self._place(GRANTS, kv.key)
            try:
                if place is not None:
                    place[0].found(place[1], read_grant(kv.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")
        COUNTERS.add("fleet.limits.coordinated")
        async with anyio.create_task_group() as tasks:
            follower = Follower(self.client, ASKS, 2.0 * self.refresh, self.clock, self._hear)
            tasks.start_soon(follower.run)
            while self._holder() is holder and (holder.owner.token, holder.owner.turns) == (token, turns):
                await anyio.sleep(self.refresh / 1000.0)
                await self._share_out(holder)
            tasks.cancel_scope.cancel()

    def _place(self, prefix: bytes, key: bytes) -> tuple[Coordinator, str] | None:
        group, _, process = key.removeprefix(prefix).decode(errors="replace").partition("/")
        coordinator = self._coordinators.get(group)
        return None if coordinator is None or not process else (coordinator, process)

    def _hear(self, told: list[Told]) -> None:
        for change in told:
            place = self._place(ASKS, change.key)
            if place is None:
                continue
            if change.entry is None:
                place[0].left(place[1])
                continue
            try:
                place[0].heard(place[1], read_ask(change.entry.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")

    async def _share_out(self, holder: Holder) -> None:
        writes: list[tuple[bytes, bytes | None]] = []
        for group, coordinator in self._coordinators.items():
            for process, grant in coordinator.share_out(self.clock()).items():
                writes.append((GRANTS + f"{group}/{process}".encode(), write_grant(grant)))
            for process in coordinator.forgotten():
                writes.append((GRANTS + f"{group}/{process}".encode(), None))
        for at in range(0, len(writes), BATCH):
            written = await holder.write(writes[at : at + BATCH])
            COUNTERS.add("fleet.limits.written" if written else "fleet.limits.refused")
