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

from cometseam.coordination.election import UNANSWERED, Clock, TaskHolder, call_or_unanswered
from cometseam.coordination.key_watcher import KeyRangeWatcher
from cometseam.coordination.task_owners import TaskOwners
from cometseam.counters import COUNTERS
from cometseam.limits import CapacityGrant, Coordinator, DemandReport, FrontShares, SharingTerms
from cometseam.ownership import KeyChange

LIMITS = "limits"  # the task of sharing out
ASKS, GRANTS = b"/cometseam/asks/", b"/cometseam/grants/"
LOOK = 0.02  # s between two looks at what is due
BATCH = 100  # keys in a transaction; etcd takes 128 by default
MOST = 1 << 20  # bytes of an ask or a grant

DemandReader = Callable[[], dict[str, dict[str, float]]]  # by group and limit
ShareCallback = Callable[[str, str, float, float], None]  # group, limit, part, for how long (ms)


def encode_report(ask: DemandReport) -> bytes:
    """Return an ask as it stands on the service, as JSON."""
    return json.dumps([ask.number, *ask.applied_grant, ask.demands], separators=(",", ":")).encode()


def encode_grant(grant: CapacityGrant) -> bytes:
    """Return a grant as it stands on the service, as JSON."""
    told = [grant.token, grant.number, grant.report_number, grant.shares, grant.previous_max_shares]
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


def decode_report(value: bytes) -> DemandReport:
    """Read what `encode_report` wrote; ValueError for anything else."""
    number, token, last, wishes = _parts(value, 3, 1)
    return DemandReport(number, (token, last), wishes)


def decode_grant(value: bytes) -> CapacityGrant:
    """Read what `encode_grant` wrote; ValueError for anything else."""
    return CapacityGrant(*_parts(value, 3, 2))


class LimitSharer:
    """One front's part. `groups`: the terms of each group of fronts; `mine`: the groups that it is one of."""

    def __init__(
        self,
        client: aetcd.Client,
        crew: TaskOwners,
        name: str,
        clock: Clock,
        groups: dict[str, SharingTerms],
        mine: set[str],
        wishes: DemandReader,
        granted: ShareCallback,
    ) -> None:
        self.client, self.task_owners, self.clock = client, crew, clock
        self.groups, self.read_demands, self.on_share = groups, wishes, granted
        self.process = f"{name}.{int(clock() * 1000.0):x}"
        self.front_shares = {group: FrontShares(groups[group]) for group in mine}
        self.refresh = min(terms.refresh for terms in groups.values())
        self.grant_ttl = max(terms.grant_ttl for terms in groups.values())
        self._lease: Any = None
        self._lease_at = 0.0
        self._told: dict[tuple[str, str], tuple[float, float]] = {}  # part and end as last told to the module
        self._coordinators: dict[str, Coordinator] = {}

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            for group in self.front_shares:
                key = GRANTS + f"{group}/{self.process}".encode()
                follower = KeyRangeWatcher(
                    self.client, key, 2.0 * self.refresh, self.clock, self._taker(group, key)
                )
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
        if self._lease is not None and now - self._lease_at < 0.5 * self.grant_ttl:
            return True
        if self._lease is not None:
            reply = await call_or_unanswered(self._lease.refresh())
            if reply is not UNANSWERED and reply is not None and reply.TTL > 0:
                self._lease_at = now
                return True
        seconds = max(round(2.0 * self.grant_ttl / 1000.0), 1)
        lease = await call_or_unanswered(self.client.lease(seconds))
        self._lease = None if lease is UNANSWERED else lease
        self._lease_at = now
        return self._lease is not None

    async def _ask(self) -> None:
        while True:
            await anyio.sleep(self.refresh / 1000.0)
            told = self.read_demands()
            for group, share in self.front_shares.items():
                wishes = told.get(group, {})
                if not wishes and not share.limit_names():
                    continue
                if not await self._keep_lease():
                    continue
                ask = share.make_report(wishes, self.clock())
                COUNTERS.add("fleet.limits.asks")
                key = ASKS + f"{group}/{self.process}".encode()
                await call_or_unanswered(self.client.put(key, encode_report(ask), self._lease))

    def _taker(self, group: str, key: bytes) -> Callable[[list[KeyChange]], None]:
        def take(told: list[KeyChange]) -> None:
            for change in told:
                if change.entry is None or change.key != key:
                    continue
                try:
                    grant = decode_grant(change.entry.value)
                except (ValueError, RecursionError):
                    COUNTERS.add("fleet.limits.unusable")
                    continue
                counts = self.front_shares[group].apply_grant(grant, self.clock())
                COUNTERS.add("fleet.limits.taken" if counts else "fleet.limits.passed_over")

        return take

    def _tell(self) -> None:
        """Tell the module of each share that has changed, and until when it holds by itself."""
        now = self.clock()
        for group, share in self.front_shares.items():
            for name in share.limit_names():
                part, ends = share.current_share(name, now), share.next_change_at(name, now)
                if self._told.get((group, name)) != (part, ends):
                    self._told[group, name] = (part, ends)
                    self.on_share(group, name, part, max(ends - now, 0.0))
            names = set(share.limit_names())
            for key in [key for key in self._told if key[0] == group and key[1] not in names]:
                del self._told[key]
                self.on_share(*key, share.terms.floor, 0.0)  # as without a grant: an equal part

    # The coordinator's side

    def _holder(self) -> TaskHolder | None:
        holder = self.task_owners.holders.get(LIMITS)
        holds = holder is not None and holder.lease is not None and holder.ownership.may_act(self.clock())
        return holder if holds else None

    async def _coordinate(self) -> None:
        while True:
            await anyio.sleep(LOOK)
            holder = self._holder()
            if holder is not None:
                await self._hold(holder)

    async def _hold(self, holder: TaskHolder) -> None:
        """Share out for as long as this front holds the task under this token and its clock does not turn."""
        token, turns = holder.ownership.token, holder.ownership.clock_regressions
        self._coordinators = {group: Coordinator(terms, token) for group, terms in self.groups.items()}
        # After the task was won: whatever an earlier coordinator still writes is refused by the service.
        answer = await call_or_unanswered(self.client.get_prefix(GRANTS))
        if answer is UNANSWERED:
            return
        for kv in answer:
            place = self._place(GRANTS, kv.key)
            try:
                if place is not None:
                    place[0].record_existing_grant(place[1], decode_grant(kv.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")
        COUNTERS.add("fleet.limits.coordinated")
        async with anyio.create_task_group() as tasks:
            follower = KeyRangeWatcher(self.client, ASKS, 2.0 * self.refresh, self.clock, self._hear)
            tasks.start_soon(follower.run)
            while self._holder() is holder and (
                holder.ownership.token,
                holder.ownership.clock_regressions,
            ) == (token, turns):
                await anyio.sleep(self.refresh / 1000.0)
                await self._share_out(holder)
            tasks.cancel_scope.cancel()

    def _place(self, prefix: bytes, key: bytes) -> tuple[Coordinator, str] | None:
        group, _, process = key.removeprefix(prefix).decode(errors="replace").partition("/")
        coordinator = self._coordinators.get(group)
        return None if coordinator is None or not process else (coordinator, process)

    def _hear(self, told: list[KeyChange]) -> None:
        for change in told:
            place = self._place(ASKS, change.key)
            if place is None:
                continue
            if change.entry is None:
                place[0].record_report_removed(place[1])
                continue
            try:
                place[0].record_report(place[1], decode_report(change.entry.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")

    async def _share_out(self, holder: TaskHolder) -> None:
        writes: list[tuple[bytes, bytes | None]] = []
        for group, coordinator in self._coordinators.items():
            for process, grant in coordinator.allocate(self.clock()).items():
                writes.append((GRANTS + f"{group}/{process}".encode(), encode_grant(grant)))
            for process in coordinator.pop_removed_fronts():
                writes.append((GRANTS + f"{group}/{process}".encode(), None))
        for at in range(0, len(writes), BATCH):
            written = await holder.write_fenced(writes[at : at + BATCH])
            COUNTERS.add("fleet.limits.written" if written else "fleet.limits.refused")
