"""A stand-in for one etcd member: the v3 API over gRPC on loopback, written from etcd's published
documentation, on the generated servicer classes of the client library (aetcd).

It serves KV (Range, Put, DeleteRange, Txn, Compact), Lease (Grant, Revoke, KeepAlive, TimeToLive) and Watch.
Its state: keys with create and mod revisions and versions; leases with their keys; the events since the last
compaction (at most `MAX_EVENTS`; beyond that the oldest are compacted).

Faults that a test can cause:
- A pause of the process (SIGSTOP) acts as a frozen leader: on the first tick after it every lease is extended
  by the length of the pause, much as a new etcd leader renews leases to their full TTL.
- A kill and restart: with `--wal FILE` each change that a client requests is written and fsynced before it
  is answered, and the expiry of a lease before watchers receive it. A restart replays the file; leases get
  their full TTL back, as in etcd's recovery.
- SIGUSR1 turns the dropping of keep-alives on and off: while it is on, they get no answer and renew nothing.

    python -m tests.standins.etcd --port 0 --wal FILE     # prints "listening PORT", serves until SIGTERM,
                                                          # then prints "calls {method: count}"
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import grpc
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

MAX_EVENTS = 10_000  # kept for watches that start at a past revision
TICK_S = 0.05  # between two checks for expired leases
FREEZE_THRESHOLD_S = 0.5  # a tick this late means that the process was frozen


@dataclass
class Lease:
    ttl: int  # s, as granted
    deadline: float  # when it expires, in monotonic s
    keys: set[bytes] = field(default_factory=set)


class Store:
    """The state of one member: revisions, keys, leases, events."""

    def __init__(self, wal: str | None = None) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.keys: dict[bytes, kv_pb2.KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.events: list[kv_pb2.Event] = []
        self.next_lease_id = 0x1000
        self.watchers: set[asyncio.Queue[kv_pb2.Event | None]] = set()
        self.drop_keep_alives = False
        self.wal = None
        if wal is not None:
            if os.path.exists(wal):
                self._replay(wal)
            self.wal = open(wal, "a")  # noqa: SIM115 - kept open for the life of the member

    def header(self) -> rpc_pb2.ResponseHeader:
        return rpc_pb2.ResponseHeader(cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    # -- the write-ahead log: written and fsynced before a change is answered
    def _write_wal(self, entry: dict[str, Any]) -> None:
        if self.wal is not None:
            self.wal.write(json.dumps(entry) + "\n")
            self.wal.flush()
            os.fsync(self.wal.fileno())

    def _replay(self, path: str) -> None:
        with open(path) as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except json.JSONDecodeError:
                    break  # a torn last line: its change was never answered
                kind = entry["kind"]
                if kind == "grant":
                    self.leases[entry["id"]] = Lease(entry["ttl"], time.monotonic() + entry["ttl"])
                    self.next_lease_id = max(self.next_lease_id, entry["id"] + 1)
                elif kind == "revoke":
                    self._drop_lease(entry["id"], write_wal=False)
                elif kind == "put":
                    self._put(
                        bytes.fromhex(entry["key"]),
                        bytes.fromhex(entry["value"]),
                        entry["lease"],
                        write_wal=False,
                    )
                elif kind == "delete":
                    self._delete(bytes.fromhex(entry["key"]), write_wal=False)
                elif kind == "compact":
                    self.compact(entry["revision"], write_wal=False)

    # -- changes
    def _publish_event(self, event: kv_pb2.Event) -> None:
        self.events.append(event)
        if len(self.events) > MAX_EVENTS:
            self.compact(self.events[len(self.events) - MAX_EVENTS].kv.mod_revision, write_wal=False)
        for queue in self.watchers:
            queue.put_nowait(event)

    def _put(self, key: bytes, value: bytes, lease_id: int, write_wal: bool = True) -> kv_pb2.KeyValue | None:
        if write_wal:
            self._write_wal({"kind": "put", "key": key.hex(), "value": value.hex(), "lease": lease_id})
        self.revision += 1
        previous = self.keys.get(key)
        if (
            previous is not None
            and previous.lease
            and previous.lease != lease_id
            and previous.lease in self.leases
        ):
            self.leases[previous.lease].keys.discard(key)
        kv = kv_pb2.KeyValue(
            key=key,
            value=value,
            lease=lease_id,
            mod_revision=self.revision,
            create_revision=previous.create_revision if previous else self.revision,
            version=previous.version + 1 if previous else 1,
        )
        self.keys[key] = kv
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self._publish_event(kv_pb2.Event(type=kv_pb2.Event.PUT, kv=kv))
        return previous

    def _delete(self, key: bytes, write_wal: bool = True) -> kv_pb2.KeyValue | None:
        previous = self.keys.pop(key, None)
        if previous is None:
            return None
        if write_wal:
            self._write_wal({"kind": "delete", "key": key.hex()})
        self.revision += 1
        if previous.lease in self.leases:
            self.leases[previous.lease].keys.discard(key)
        self._publish_event(
            kv_pb2.Event(type=kv_pb2.Event.DELETE, kv=kv_pb2.KeyValue(key=key, mod_revision=self.revision))
        )
        return previous

    def _drop_lease(self, lease_id: int, write_wal: bool = True) -> None:
        lease_state = self.leases.pop(lease_id, None)
        if lease_state is None:
            return
        if write_wal:
            self._write_wal({"kind": "revoke", "id": lease_id})
        for key in sorted(lease_state.keys):
            self._delete(key, write_wal=write_wal)

    def compact(self, revision: int, write_wal: bool = True) -> None:
        if revision <= self.compacted_revision:
            return
        if write_wal:
            self._write_wal({"kind": "compact", "revision": revision})
        self.compacted_revision = revision
        self.events = [event for event in self.events if event.kv.mod_revision >= revision]

    # -- KV
    def select(self, key: bytes, end: bytes) -> list[kv_pb2.KeyValue]:
        if not end:
            return [self.keys[key]] if key in self.keys else []
        to_end = end == b"\0"
        return [self.keys[k] for k in sorted(self.keys) if k >= key and (to_end or k < end)]

    def range(self, request: rpc_pb2.RangeRequest) -> rpc_pb2.RangeResponse:
        kvs = self.select(request.key, request.range_end)
        count = len(kvs)
        if request.limit:
            kvs = kvs[: request.limit]
        return rpc_pb2.RangeResponse(header=self.header(), kvs=kvs, count=count, more=len(kvs) < count)

    def put(self, request: rpc_pb2.PutRequest) -> rpc_pb2.PutResponse:
        if request.lease and request.lease not in self.leases:
            raise KeyError("etcdserver: requested lease not found")
        previous = self._put(request.key, request.value, request.lease)
        answer = rpc_pb2.PutResponse(header=self.header())
        if request.prev_kv and previous is not None:
            answer.prev_kv.CopyFrom(previous)
        return answer

    def delete(self, request: rpc_pb2.DeleteRangeRequest) -> rpc_pb2.DeleteRangeResponse:
        deleted_or_none = [self._delete(kv.key) for kv in self.select(request.key, request.range_end)]
        deleted_kvs = [kv for kv in deleted_or_none if kv is not None]
        return rpc_pb2.DeleteRangeResponse(
            header=self.header(), deleted=len(deleted_kvs), prev_kvs=deleted_kvs if request.prev_kv else []
        )

    def _compare_holds(self, compare: rpc_pb2.Compare) -> bool:
        kv = self.keys.get(compare.key)
        target = compare.target
        if target == rpc_pb2.Compare.VALUE:
            if kv is None:
                return False
            actual: Any = kv.value
            expected: Any = compare.value
        else:
            name = {
                rpc_pb2.Compare.VERSION: "version",
                rpc_pb2.Compare.CREATE: "create_revision",
                rpc_pb2.Compare.MOD: "mod_revision",
                rpc_pb2.Compare.LEASE: "lease",
            }[target]
            actual = getattr(kv, name) if kv is not None else 0
            expected = getattr(compare, name)
        result = compare.result
        if result == rpc_pb2.Compare.EQUAL:
            return bool(actual == expected)
        if result == rpc_pb2.Compare.NOT_EQUAL:
            return bool(actual != expected)
        if result == rpc_pb2.Compare.GREATER:
            return bool(actual > expected)
        return bool(actual < expected)

    def txn(self, request: rpc_pb2.TxnRequest) -> rpc_pb2.TxnResponse:
        succeeded = all(self._compare_holds(compare) for compare in request.compare)
        answers = []
        for op in request.success if succeeded else request.failure:
            kind = op.WhichOneof("request")
            if kind == "request_range":
                answers.append(rpc_pb2.ResponseOp(response_range=self.range(op.request_range)))
            elif kind == "request_put":
                answers.append(rpc_pb2.ResponseOp(response_put=self.put(op.request_put)))
            elif kind == "request_delete_range":
                answers.append(rpc_pb2.ResponseOp(response_delete_range=self.delete(op.request_delete_range)))
            else:
                answers.append(rpc_pb2.ResponseOp(response_txn=self.txn(op.request_txn)))
        return rpc_pb2.TxnResponse(header=self.header(), succeeded=succeeded, responses=answers)

    # -- leases
    def grant(self, request: rpc_pb2.LeaseGrantRequest) -> rpc_pb2.LeaseGrantResponse:
        lease_id = request.ID or self.next_lease_id
        self.next_lease_id = max(self.next_lease_id, lease_id) + 1
        ttl = max(request.TTL, 1)
        self._write_wal({"kind": "grant", "id": lease_id, "ttl": ttl})
        self.leases[lease_id] = Lease(ttl, time.monotonic() + ttl)
        return rpc_pb2.LeaseGrantResponse(header=self.header(), ID=lease_id, TTL=ttl)

    def keep_alive(self, lease_id: int) -> rpc_pb2.LeaseKeepAliveResponse:
        lease_state = self.leases.get(lease_id)
        if lease_state is None:
            return rpc_pb2.LeaseKeepAliveResponse(header=self.header(), ID=lease_id, TTL=0)
        lease_state.deadline = time.monotonic() + lease_state.ttl
        return rpc_pb2.LeaseKeepAliveResponse(header=self.header(), ID=lease_id, TTL=lease_state.ttl)

    def expire_leases(self, now: float, gap_s: float) -> None:
        """Drop leases past their deadline; after a freeze of `gap_s`, first extend every lease by it."""
        if gap_s > FREEZE_THRESHOLD_S:
            for lease_state in self.leases.values():
                lease_state.deadline += gap_s
        for lease_id in [
            lease_id for lease_id, lease_state in self.leases.items() if lease_state.deadline <= now
        ]:
            self._drop_lease(lease_id)


class KVService(rpc_pb2_grpc.KVServicer):  # type: ignore[misc]
    def __init__(self, store: Store) -> None:
        self.store = store

    async def Range(self, request: rpc_pb2.RangeRequest, context: grpc.aio.ServicerContext) -> Any:
        return self.store.range(request)

    async def Put(self, request: rpc_pb2.PutRequest, context: grpc.aio.ServicerContext) -> Any:
        try:
            return self.store.put(request)
        except KeyError as error:
            await context.abort(grpc.StatusCode.NOT_FOUND, str(error.args[0]))

    async def DeleteRange(self, request: Any, context: grpc.aio.ServicerContext) -> Any:
        return self.store.delete(request)

    async def Txn(self, request: rpc_pb2.TxnRequest, context: grpc.aio.ServicerContext) -> Any:
        try:
            return self.store.txn(request)
        except KeyError as error:
            await context.abort(grpc.StatusCode.NOT_FOUND, str(error.args[0]))

    async def Compact(self, request: Any, context: grpc.aio.ServicerContext) -> Any:
        self.store.compact(request.revision)
        return rpc_pb2.CompactionResponse(header=self.store.header())


class LeaseService(rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    def __init__(self, store: Store) -> None:
        self.store = store

    async def LeaseGrant(self, request: Any, context: grpc.aio.ServicerContext) -> Any:
        return self.store.grant(request)

    async def LeaseRevoke(self, request: Any, context: grpc.aio.ServicerContext) -> Any:
        if request.ID not in self.store.leases:
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.store._drop_lease(request.ID)
        return rpc_pb2.LeaseRevokeResponse(header=self.store.header())

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        async for request in requests:
            if not self.store.drop_keep_alives:
                yield self.store.keep_alive(request.ID)

    async def LeaseTimeToLive(self, request: Any, context: grpc.aio.ServicerContext) -> Any:
        lease_state = self.store.leases.get(request.ID)
        if lease_state is None:
            return rpc_pb2.LeaseTimeToLiveResponse(header=self.store.header(), ID=request.ID, TTL=-1)
        remaining_s = int(max(lease_state.deadline - time.monotonic(), 0.0))
        keys = sorted(lease_state.keys) if request.keys else []
        return rpc_pb2.LeaseTimeToLiveResponse(
            header=self.store.header(), ID=request.ID, TTL=remaining_s, grantedTTL=lease_state.ttl, keys=keys
        )


class WatchService(rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    def __init__(self, store: Store) -> None:
        self.store = store
        self.last_watch_id = 0

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        store = self.store
        queue: asyncio.Queue[kv_pb2.Event | None] = asyncio.Queue(maxsize=MAX_EVENTS)
        watches: dict[int, tuple[bytes, bytes]] = {}
        answers: asyncio.Queue[rpc_pb2.WatchResponse | None] = asyncio.Queue()

        def matches(event: kv_pb2.Event, key: bytes, end: bytes) -> bool:
            event_key = event.kv.key
            return event_key == key if not end else (event_key >= key and (end == b"\0" or event_key < end))

        async def handle_requests() -> None:
            async for request in requests:
                if request.HasField("create_request"):
                    creation = request.create_request
                    self.last_watch_id += 1
                    watch_id = self.last_watch_id
                    if creation.start_revision and creation.start_revision < store.compacted_revision:
                        await answers.put(
                            rpc_pb2.WatchResponse(
                                header=store.header(),
                                watch_id=watch_id,
                                created=True,
                                canceled=True,
                                compact_revision=store.compacted_revision,
                                cancel_reason="etcdserver: mvcc: required revision has been compacted",
                            )
                        )
                        continue
                    watches[watch_id] = (creation.key, creation.range_end)
                    await answers.put(
                        rpc_pb2.WatchResponse(header=store.header(), watch_id=watch_id, created=True)
                    )
                    if creation.start_revision:
                        past_events = [
                            e
                            for e in store.events
                            if e.kv.mod_revision >= creation.start_revision
                            and matches(e, creation.key, creation.range_end)
                        ]
                        if past_events:
                            await answers.put(
                                rpc_pb2.WatchResponse(
                                    header=store.header(), watch_id=watch_id, events=past_events
                                )
                            )
                elif request.HasField("cancel_request"):
                    watch_id = request.cancel_request.watch_id
                    watches.pop(watch_id, None)
                    await answers.put(
                        rpc_pb2.WatchResponse(header=store.header(), watch_id=watch_id, canceled=True)
                    )
            await answers.put(None)

        async def forward_events() -> None:
            while (event := await queue.get()) is not None:
                for watch_id, (key, end) in list(watches.items()):
                    if matches(event, key, end):
                        await answers.put(
                            rpc_pb2.WatchResponse(header=store.header(), watch_id=watch_id, events=[event])
                        )

        store.watchers.add(queue)
        tasks = [asyncio.ensure_future(handle_requests()), asyncio.ensure_future(forward_events())]
        try:
            while (answer := await answers.get()) is not None:
                yield answer
        finally:
            store.watchers.discard(queue)
            for task in tasks:
                task.cancel()


async def run_lease_timer(store: Store) -> None:
    """Expire leases at every tick; the lateness of a tick is passed on as the length of a freeze."""
    last_tick = time.monotonic()
    while True:
        await asyncio.sleep(TICK_S)
        now = time.monotonic()
        store.expire_leases(now, now - last_tick - TICK_S)
        last_tick = now


class CallCounter(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Counts the calls to the member, by method; a stream (keep-alives, watches) counts once."""

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}

    async def intercept_service(self, continuation: Any, details: Any) -> Any:
        method = details.method.rsplit("/", 1)[-1]
        self.calls[method] = self.calls.get(method, 0) + 1
        return await continuation(details)


async def serve(port: int, wal: str | None) -> None:
    store = Store(wal)
    call_counter = CallCounter()
    server = grpc.aio.server(interceptors=[call_counter])
    rpc_pb2_grpc.add_KVServicer_to_server(KVService(store), server)
    rpc_pb2_grpc.add_LeaseServicer_to_server(LeaseService(store), server)
    rpc_pb2_grpc.add_WatchServicer_to_server(WatchService(store), server)
    bound_port = server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    print(f"listening {bound_port}", flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)

    def toggle_keep_alives() -> None:
        store.drop_keep_alives = not store.drop_keep_alives

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, toggle_keep_alives)
    lease_timer = asyncio.ensure_future(run_lease_timer(store))
    await stop.wait()
    print("calls " + json.dumps(call_counter.calls, sort_keys=True), flush=True)
    lease_timer.cancel()
    await server.stop(0.2)


def main() -> int:
    parser = argparse.ArgumentParser(description="A stand-in for etcd's v3 API on loopback")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--wal", default=None)
    args = parser.parse_args()
    asyncio.run(serve(args.port, args.wal))
    return 0


if __name__ == "__main__":
    sys.exit(main())
