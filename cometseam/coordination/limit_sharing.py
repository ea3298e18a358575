"""A front's part in sharing limits: it reports demand, applies its grants, and issues grants while it owns
the task `limits`.

`cometseam.limits` decides; this module carries reports and grants by keys on the service:

    /cometseam/asks/<group>/<process>      a report, written by a front with a lease of its own: the key is
                                           removed when the front's lease ends
    /cometseam/grants/<group>/<process>    a grant, written by the coordinator, fenced, without a lease: a new
                                           coordinator must find the grants that may still be valid

A process has a new name at each start (a restarted front is another process): its reports are numbered
from 1, and no grant from before its start applies to it. It reports only while some cache is cold or, where
relays in flight are capped, while it uses some of that cap.
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

LIMITS_TASK = "limits"  # the task of the coordinator that issues grants
REPORT_PREFIX = b"/cometseam/asks/"
GRANT_PREFIX = b"/cometseam/grants/"
POLL_INTERVAL_S = 0.02  # between two checks for changed shares and for the coordinator's task
MAX_KEYS_PER_TRANSACTION = 100  # etcd accepts 128 operations by default
MAX_VALUE_BYTES = 1 << 20  # of a report or a grant

DemandReader = Callable[[], dict[str, dict[str, float]]]  # demands by group and limit
ShareCallback = Callable[[str, str, float, float], None]  # group, limit, share, for how long (ms)


def encode_report(report: DemandReport) -> bytes:
    """Return a report as it is stored on the service, as JSON."""
    return json.dumps([report.number, *report.applied_grant, report.demands], separators=(",", ":")).encode()


def encode_grant(grant: CapacityGrant) -> bytes:
    """Return a grant as it is stored on the service, as JSON."""
    fields = [grant.token, grant.number, grant.report_number, grant.shares, grant.previous_max_shares]
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode_fields(value: bytes, integer_count: int, map_count: int) -> list[Any]:
    """Decode a list of `integer_count` integers and `map_count` objects of shares.

    Raises ValueError for anything else.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError("the value is larger than MAX_VALUE_BYTES")
    fields = json.loads(value)
    if not isinstance(fields, list) or len(fields) != integer_count + map_count:
        raise ValueError("the value is not a list with the expected number of fields")
    if not all(type(number) is int and number >= 0 for number in fields[:integer_count]):
        raise ValueError("integers of 0 or more were expected")
    for shares in fields[integer_count:]:
        if not isinstance(shares, dict):
            raise ValueError("an object of shares was expected")
        if not all(isinstance(share, int | float) and 0.0 <= share <= 1.0 for share in shares.values()):
            raise ValueError("shares between 0 and 1 were expected")
    return fields


def decode_report(value: bytes) -> DemandReport:
    """Decode what `encode_report` returned; raises ValueError for anything else."""
    number, token, grant_number, demands = _decode_fields(value, 3, 1)
    return DemandReport(number, (token, grant_number), demands)


def decode_grant(value: bytes) -> CapacityGrant:
    """Decode what `encode_grant` returned; raises ValueError for anything else."""
    return CapacityGrant(*_decode_fields(value, 3, 2))


class LimitSharer:
    """One front's part in sharing limits.

    `groups`: the terms of each group of fronts; `own_groups`: the groups that this front belongs to.
    """

    def __init__(
        self,
        client: aetcd.Client,
        task_owners: TaskOwners,
        name: str,
        clock: Clock,
        groups: dict[str, SharingTerms],
        own_groups: set[str],
        read_demands: DemandReader,
        on_share: ShareCallback,
    ) -> None:
        self.client, self.task_owners, self.clock = client, task_owners, clock
        self.groups, self.read_demands, self.on_share = groups, read_demands, on_share
        self.process = f"{name}.{int(clock() * 1000.0):x}"
        self.front_shares = {group: FrontShares(groups[group]) for group in own_groups}
        self.refresh = min(terms.refresh for terms in groups.values())
        self.grant_ttl = max(terms.grant_ttl for terms in groups.values())
        self._lease: Any = None
        self._lease_at = 0.0
        # Share and its next change without a new grant, by group and limit, as last passed to `on_share`.
        self._notified: dict[tuple[str, str], tuple[float, float]] = {}
        self._coordinators: dict[str, Coordinator] = {}

    async def run(self) -> None:
        """Report, apply grants and coordinate until cancelled."""
        async with anyio.create_task_group() as tasks:
            for group in self.front_shares:
                key = GRANT_PREFIX + f"{group}/{self.process}".encode()
                watcher = KeyRangeWatcher(
                    self.client, key, 2.0 * self.refresh, self.clock, self._grant_handler(group, key)
                )
                tasks.start_soon(watcher.run)
            tasks.start_soon(self._report_demands)
            tasks.start_soon(self._coordinate)
            while True:
                await anyio.sleep(POLL_INTERVAL_S)
                self._notify_changes()

    # The front's side

    async def _ensure_lease(self) -> bool:
        """Renew the lease of the reports, or get a new one; return whether there is one."""
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

    async def _report_demands(self) -> None:
        while True:
            await anyio.sleep(self.refresh / 1000.0)
            demands_by_group = self.read_demands()
            for group, shares in self.front_shares.items():
                demands = demands_by_group.get(group, {})
                if not demands and not shares.limit_names():
                    continue
                if not await self._ensure_lease():
                    continue
                report = shares.make_report(demands, self.clock())
                COUNTERS.add("fleet.limits.asks")
                key = REPORT_PREFIX + f"{group}/{self.process}".encode()
                await call_or_unanswered(self.client.put(key, encode_report(report), self._lease))

    def _grant_handler(self, group: str, key: bytes) -> Callable[[list[KeyChange]], None]:
        def apply_grants(changes: list[KeyChange]) -> None:
            for change in changes:
                if change.entry is None or change.key != key:
                    continue
                try:
                    grant = decode_grant(change.entry.value)
                except (ValueError, RecursionError):
                    COUNTERS.add("fleet.limits.unusable")
                    continue
                applied = self.front_shares[group].apply_grant(grant, self.clock())
                COUNTERS.add("fleet.limits.taken" if applied else "fleet.limits.passed_over")

        return apply_grants

    def _notify_changes(self) -> None:
        """Call `on_share` for each share that has changed, with how long it stays without a new grant."""
        now = self.clock()
        for group, shares in self.front_shares.items():
            for name in shares.limit_names():
                current, next_change_at = shares.current_share(name, now), shares.next_change_at(name, now)
                if self._notified.get((group, name)) != (current, next_change_at):
                    self._notified[group, name] = (current, next_change_at)
                    self.on_share(group, name, current, max(next_change_at - now, 0.0))
            names = set(shares.limit_names())
            for key in [key for key in self._notified if key[0] == group and key[1] not in names]:
                del self._notified[key]
                self.on_share(*key, shares.terms.floor, 0.0)  # as without a grant: an equal share

    # The coordinator's side

    def _active_holder(self) -> TaskHolder | None:
        holder = self.task_owners.holders.get(LIMITS_TASK)
        active = holder is not None and holder.lease is not None and holder.ownership.may_act(self.clock())
        return holder if active else None

    async def _coordinate(self) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            holder = self._active_holder()
            if holder is not None:
                await self._run_coordinator(holder)

    async def _run_coordinator(self, holder: TaskHolder) -> None:
        """Issue grants while this front owns the task under this token and its clock does not go back."""
        token, clock_regressions = holder.ownership.token, holder.ownership.clock_regressions
        self._coordinators = {group: Coordinator(terms, token) for group, terms in self.groups.items()}
        # Read after the task was won: the service rejects later writes of an earlier coordinator.
        answer = await call_or_unanswered(self.client.get_prefix(GRANT_PREFIX))
        if answer is UNANSWERED:
            return
        for kv in answer:
            target = self._find_coordinator(GRANT_PREFIX, kv.key)
            try:
                if target is not None:
                    target[0].record_existing_grant(target[1], decode_grant(kv.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")
        COUNTERS.add("fleet.limits.coordinated")
        async with anyio.create_task_group() as tasks:
            watcher = KeyRangeWatcher(
                self.client, REPORT_PREFIX, 2.0 * self.refresh, self.clock, self._apply_reports
            )
            tasks.start_soon(watcher.run)
            while self._active_holder() is holder and (
                holder.ownership.token,
                holder.ownership.clock_regressions,
            ) == (token, clock_regressions):
                await anyio.sleep(self.refresh / 1000.0)
                await self._write_grants(holder)
            tasks.cancel_scope.cancel()

    def _find_coordinator(self, prefix: bytes, key: bytes) -> tuple[Coordinator, str] | None:
        group, _, process = key.removeprefix(prefix).decode(errors="replace").partition("/")
        coordinator = self._coordinators.get(group)
        return None if coordinator is None or not process else (coordinator, process)

    def _apply_reports(self, changes: list[KeyChange]) -> None:
        for change in changes:
            target = self._find_coordinator(REPORT_PREFIX, change.key)
            if target is None:
                continue
            if change.entry is None:
                target[0].record_report_removed(target[1])
                continue
            try:
                target[0].record_report(target[1], decode_report(change.entry.value), self.clock())
            except (ValueError, RecursionError):
                COUNTERS.add("fleet.limits.unusable")

    async def _write_grants(self, holder: TaskHolder) -> None:
        writes: list[tuple[bytes, bytes | None]] = []
        for group, coordinator in self._coordinators.items():
            for process, grant in coordinator.allocate(self.clock()).items():
                writes.append((GRANT_PREFIX + f"{group}/{process}".encode(), encode_grant(grant)))
            for process in coordinator.pop_removed_fronts():
                writes.append((GRANT_PREFIX + f"{group}/{process}".encode(), None))
        for start in range(0, len(writes), MAX_KEYS_PER_TRANSACTION):
            written = await holder.write_fenced(writes[start : start + MAX_KEYS_PER_TRANSACTION])
            COUNTERS.add("fleet.limits.written" if written else "fleet.limits.refused")
