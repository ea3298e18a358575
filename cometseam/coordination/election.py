"""Owning a task on etcd's v3 API, through the `aetcd` client under anyio: campaign, renew, read who owns it.

`cometseam.ownership.Ownership` decides; this module only sends requests and records what it saw, with the
time each request was *sent* (the lease is counted from then, never from when the answer came). A campaign is
one transaction (etcd's published Txn): if the task's key does not exist (`create_revision == 0`), put it with
this front's lease, otherwise read who owns it. The fencing token is the revision at which the key was
created; a later owner's key is created later, so its token is higher.

Cancelling `run` ends the campaign or the renewals and revokes the lease. A request that takes longer than
twice the terms' round trip exceeds its gRPC deadline and counts as not answered (it guards against a link
that hangs rather than fails).
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aetcd
import anyio

from cometseam.ownership import Ownership, OwnershipTerms, State

Clock = Callable[[], float]  # ms, monotonic
UNANSWERED: Any = object()  # what `call_or_unanswered` returns for a request that failed or timed out


def boot_time() -> float:
    """Return the time by which leases are measured: ms since the machine started, also while suspended.

    The front's own clock (Unix time that never goes back) is unsuitable because it can be set, and the plain
    monotonic one because it stops while the machine is suspended: on resume an expired lease would seem
    valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@dataclass(frozen=True)
class ServiceAddress:
    """The service's address, given as `host:port`."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "ServiceAddress":
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"coordination: {text!r} is not host:port")
        return cls(host, int(port))


def owner_key(task: str) -> bytes:
    """Return the task's key on the service."""
    return f"/cometseam/owners/{task}".encode()


def connect(address: ServiceAddress, terms: OwnershipTerms) -> aetcd.Client:
    """Return a client whose calls all have a deadline of twice the terms' round trip."""
    return aetcd.Client(host=address.host, port=address.port, timeout=2 * terms.round_trip_ms / 1000.0)


async def call_or_unanswered(call: Awaitable[Any]) -> Any:
    """Await one request; return `UNANSWERED` where it failed or passed the client's deadline.

    The deadline is the gRPC call's own (the client's `timeout`, see `connect`), not a cancel scope around the
    call: cancelling a grpc.aio call from outside ended the whole task group that contained it (`agent.py`
    exited at the first freeze of the service).
    """
    try:
        return await call
    except Exception:  # the link failed, the deadline passed or the service refused
        return UNANSWERED


@dataclass(frozen=True)
class UnusedLease:
    """A lease that a lost campaign left unused: requested at `sent_at` (ms), for `ttl_seconds`."""

    lease: Any
    ttl_seconds: int
    sent_at: float
    clock_regressions: int | None


class TaskHolder:
    """One front's part in one task: `run` campaigns and renews until it is cancelled."""

    def __init__(
        self,
        client: aetcd.Client,
        task: str,
        name: str,
        terms: OwnershipTerms,
        clock: Clock,
        read_first: bool = True,
    ) -> None:
        self.client = client
        self.read_first = (
            read_first  # before requesting a lease: 1 call instead of 3 while the task has an owner
        )
        self.ownership = Ownership(task, terms)
        self.name = name
        self.clock = clock
        self.lease: Any = None
        self.unused_lease: UnusedLease | None = None
        self.requests_sent = 0  # to the service, as a measure of its load

    async def _call(self, call: Awaitable[Any]) -> Any:
        self.requests_sent += 1
        return await call_or_unanswered(call)

    def _send_stamp(self) -> tuple[float, int | None]:
        """Update the state for the time; return the time, as that at which a request is sent, and the clock
        regressions by then, or None where the task is lost."""
        now = self.clock()
        self.ownership.tick(now)
        return now, None if self.ownership.state is State.LOST else self.ownership.clock_regressions

    async def campaign(self) -> None:
        """Request a lease and try to create the task's key with it; record a win in `ownership`."""
        now = self.clock()
        if not self.ownership.begin_campaign(now):
            return
        if self.read_first:
            # While another front owns the task, each campaign would be a lease grant, a failed transaction
            # and a revoke: three calls every `renew_ms` from every candidate. One read shows the same.
            existing = await self._call(self.client.get(owner_key(self.ownership.task)))
            if existing is UNANSWERED or existing is not None:
                return
        lease_grant, self.unused_lease = self.unused_lease, None
        now, clock_regressions = self._send_stamp()
        seconds = max(int(self.ownership.terms.ttl_ms // 1000), 1)
        # At most a tenth of its time may have passed: that much less remains to act before the first renewal.
        reusable = lease_grant is not None and (lease_grant.ttl_seconds, lease_grant.clock_regressions) == (
            seconds,
            clock_regressions,
        )
        if lease_grant is None or not reusable or now > lease_grant.sent_at + 100.0 * seconds:
            granted = await self._call(self.client.lease(seconds))
            if granted is UNANSWERED:
                return
            lease_grant = UnusedLease(granted, seconds, now, clock_regressions)
        lease, sent_at = lease_grant.lease, lease_grant.sent_at
        key = owner_key(self.ownership.task)
        tx = self.client.transactions
        answer = await self._call(
            self.client.transaction(
                compare=[tx.create(key) == 0],
                success=[tx.put(key, self.name.encode(), lease)],
                failure=[tx.get(key)],
            )
        )
        if answer is UNANSWERED:
            await self._call(lease.revoke())
            return
        succeeded, replies = answer
        if succeeded:
            self.lease = lease
            self.ownership.record_won(
                replies[0].response_put.header.revision, sent_at, self.clock(), clock_regressions or 0
            )
        else:
            # Kept for a campaign soon after, or until it expires: at most one per `TaskHolder`.
            self.unused_lease = lease_grant

    async def renew(self) -> None:
        """Renew the lease, then read who owns the key."""
        if self.lease is None:
            return
        sent_at, clock_regressions = self._send_stamp()
        if clock_regressions is None:
            self.lease = None  # given up: not renewed again, it expires
            return
        reply = await self._call(self.lease.refresh())
        if reply is not UNANSWERED and reply is not None:
            self.ownership.record_renewal(sent_at, float(reply.TTL) * 1000.0, self.clock(), clock_regressions)
        entry = await self._call(self.client.get(owner_key(self.ownership.task)))
        if entry is not UNANSWERED:  # `get` returns None for a key that does not exist
            self.ownership.record_key_holder(entry.create_revision if entry is not None else 0, self.clock())
        self.ownership.tick(self.clock())
        if self.ownership.state is State.LOST:
            self.lease = None  # not renewed again: given up, or gone at the service

    async def put_fenced(self, key: bytes, value: bytes) -> bool:
        """Write a key as the task's owner, in one transaction with the check of the owner.

        The service itself is the fence: the write is applied only while the task's key is the one that this
        front created (its create revision is the token), however late the request arrives. The key is removed
        with the owner's lease. Returns whether it was written; without an answer it returns False, although
        the key may have been written.
        """
        put = self.client.transactions.put
        return self.lease is not None and await self._write_as_owner([put(key, value, self.lease)])

    async def write_fenced(self, keys: list[tuple[bytes, bytes | None]]) -> bool:
        """Write keys, or remove those with None, in one transaction fenced like `put_fenced`.

        The keys outlive this owner.
        """
        tx = self.client.transactions
        return await self._write_as_owner([tx.delete(k) if v is None else tx.put(k, v) for k, v in keys])

    async def _write_as_owner(self, operations: list[Any]) -> bool:
        owner, tx = self.ownership, self.client.transactions
        if self.lease is None or not owner.may_act(self.clock()):
            return False
        task_key = owner_key(owner.task)
        answer = await self._call(
            self.client.transaction(
                compare=[tx.create(task_key) == owner.token], success=operations, failure=[tx.get(task_key)]
            )
        )
        if answer is UNANSWERED:
            return False
        succeeded, _ = answer
        if not succeeded:
            owner.record_key_holder(0, self.clock())
        return bool(succeeded)

    async def run(self) -> None:
        """Campaign and renew every `renew_ms`, until cancelled; then revoke the lease."""
        try:
            while True:
                if self.lease is None:
                    await self.campaign()
                else:
                    await self.renew()
                await anyio.sleep(self.ownership.terms.renew_ms / 1000.0)
        finally:
            await self.release()

    async def renew_until_lost(self) -> None:
        """Renew every `renew_ms` while the task is owned; return when it is lost."""
        while self.lease is not None:
            await anyio.sleep(self.ownership.terms.renew_ms / 1000.0)
            await self.renew()

    async def release(self) -> None:
        """Revoke the lease, so that the next owner need not wait for it to expire; also when cancelled."""
        if self.lease is not None:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                await self._call(self.lease.revoke())
            self.lease = None
