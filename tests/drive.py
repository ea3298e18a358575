"""Test helpers: `FrontDriver` passes events to a `Front`; `FrontTestbed` runs the program with its peers."""

import json
import re
import signal
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass, field, replace
from os import environ
from pathlib import Path
from subprocess import PIPE
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import Process, SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from cometseam import interface as i
from cometseam.logic import Front

MAPS = i.Workload(
    target_latency=300.0,
    target_latency_factor=2.0,
    deadline=3000.0,
    gain=1.0,
    idempotency=i.Idempotency.REPEATABLE,
    dedup_scope=i.DedupScope.ALL,
    dedup_window=5000.0,
    is_write=False,
    fresh_ttl=5000.0,
    stale_ttl=20000.0,
    stale_gain=0.7,
)
SETTINGS = i.Settings(
    workloads=(
        MAPS,
        replace(MAPS, idempotency=i.Idempotency.TAGGED, dedup_scope=i.DedupScope.CELL, dedup_window=1000.0),
        replace(MAPS, idempotency=i.Idempotency.ONCE_ONLY),
        replace(MAPS, is_write=True),
    ),
    zone=1,
    hub_of=(0, 0, 0),
    fronts_by_zone=(0, 1, 1),
    fronts=2,
    parent_kind=1,
    origin_kind=2,
    asks_for_list=False,
    weights_known=True,
    link_load_index=0,
    can_recall=True,
    sends_retry_after=True,
    max_retry_after=1000.0,
    relay_limit=4,
    joins_fills=True,
    stream_rate=5.0,
    slow_start_initial_share=0.2,
    slow_start_duration=10000.0,
    overload_factor=2.0,
    overload_window=2000.0,
    parent_slow_start_initial_share=0.1,
    parent_slow_start_duration=15000.0,
    parent_overload_factor=2.0,
    purge_propagation=6000.0,
)
EDGES, PARENTS, ORIGIN = (11, 12, 13), (21, 22), 31
SERVERS = (*EDGES, *PARENTS, ORIGIN)


def cache_entry(cache: int, state: i.Lifecycle = i.Lifecycle.READY, ready_at: float = 0.0) -> i.CacheEntry:
    """Return a list entry; the tens digit of the cache's number gives its kind, the last digit its cell."""
    kind_index = cache // 10 - 1
    return i.CacheEntry(cache, state, ready_at, cache % 10, 1 if kind_index == 0 else 0, kind_index, 8.0)


class FrontDriver:
    """A front, its simulated clock, and the trace of its decisions."""

    def __init__(self, settings: i.Settings = SETTINGS, caches: tuple[int, ...] = SERVERS) -> None:
        self.front, self.now = Front(7, settings), 1000.0
        self.trace: list[str] = []
        self.relays: dict[int, int] = {}
        self.last: dict[int, i.Relay] = {}
        self.send_event(
            i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(cache_entry(cache) for cache in caches))
        )

    def send_event(self, event: i.Event, after: float = 0.0) -> None:
        """Pass an event to the front `after` ms, and add all actions but timers to the trace."""
        self.now += after
        for action in self.front.handle(self.now, event):
            if isinstance(action, i.Relay):
                self.last[action.id] = action
                self.relays[action.id] = self.relays.get(action.id, -1) + 1
                entry = f"relay to {action.cache} from {action.source} rank {action.rank}"
                entry += " held only" if action.only_cached else ""
                entry += f" oldest {action.max_age:g}" if action.max_age else ""
            elif isinstance(action, i.StartTimer):
                continue
            else:
                entry = type(action).__name__.lower()
            pull_id = getattr(action, "id", "-")
            self.trace.append(f"{self.now - 1000.0:g} pull {pull_id}: {entry}")

    def pull(self, number: int, object_id: int = 5, workload: int = 0, after: float = 10.0,
             part: int = 0) -> None:  # fmt: skip
        """Pass a client's pull of a part of an object."""
        self.send_event(i.Pull(number, object_id, part, workload, 2000.0, False, 500.0, 3), after)

    def end(self, number: int, outcome: i.Outcome = i.Outcome.OK, remark: i.Remark = i.Remark.HIT,
            after: float = 100.0, load: tuple[float, ...] = ()) -> None:  # fmt: skip
        """End the latest relay of a pull."""
        relay = self.last[number]
        is_served = outcome is i.Outcome.OK
        relay_ended = i.RelayEnded(
            number, self.relays[number], relay.cache, outcome, remark, after, 0.0, is_served, load
        )
        self.send_event(relay_ended, after)

    def end_with_miss(self, number: int, load: tuple[float, ...] = ()) -> None:
        """End a cache lookup with a miss."""
        self.end(number, i.Outcome.MISS, i.Remark.NONE, after=1.0, load=load)

    def check(self, name: str) -> None:
        """Compare the trace with the recorded one under `traces/`."""
        expected_path = Path(__file__).parent / "traces" / f"{name}.txt"
        text = "\n".join(self.trace) + "\n"
        if "KEEP_TRACES" in environ:  # to record traces anew after an intended change
            expected_path.write_text(text)
        assert text == expected_path.read_text()


SAMPLE: dict[str, Any] = json.loads((Path(__file__).parent.parent / "deploy" / "sample.json").read_text())
ENDS = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError)
DEFAULT_TIMEOUT_S = 20.0  # of a whole test; tests wait for conditions, never for time to pass


@dataclass
class ReceivedCommand:
    """A command that a simulated cache received, and the connection it came over."""

    cache: "Cache"
    stream: SocketStream
    parts: list[str]
    body: bytes = b""

    @property
    def verb(self) -> str:
        return self.parts[0]

    @property
    def id(self) -> str:
        return self.parts[1]

    @property
    def fields(self) -> dict[str, str]:
        return dict(item.split("=", 1) for item in self.parts[2].split(","))

    async def answer(self, verb: str, fields: str = "-", body: bytes = b"") -> None:
        await self.stream.send(resp(self.id, verb, fields, body))


def resp(*parts: str | bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    encoded = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in encoded)


class Notifier:
    """Lets tasks wait until a condition holds; `notify` makes them check it again."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        self._event.set()

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        while not condition():
            if self._event.is_set():
                self._event = anyio.Event()
            await self._event.wait()


class Cache:
    """A simulated cache: it records the commands that it receives; the test writes the answers.

    `taken` counts commands that the test took, `keep_alive_checks` such checks, `ended` closed connections.
    """

    def __init__(self, name: str, notifier: Notifier) -> None:
        self.name, self.notifier = name, notifier
        self.commands: list[ReceivedCommand] = []
        self.taken = self.keep_alive_checks = self.ended = 0
        self.alive = (
            False  # whether it answers keep-alive checks; if not, it is like a host that has vanished
        )

    async def serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                count = int((await reader.receive_until(b"\r\n", 20))[1:])
                parts = []
                for _ in range(count):
                    size = int((await reader.receive_until(b"\r\n", 20))[1:])
                    parts.append((await reader.receive_exactly(size + 2))[:-2])
                asked = ReceivedCommand(
                    self, stream, [raw.decode() for raw in parts[:3]], b"".join(parts[3:])
                )
                if asked.verb == "HELO":
                    self.keep_alive_checks += 1
                    if self.alive:
                        await asked.answer("FIT")
                    continue
                self.commands.append(asked)
                self.notifier.notify()
        except ENDS:
            await stream.aclose()
            self.ended += 1
            self.notifier.notify()

    async def next(self) -> ReceivedCommand:
        await self.notifier.wait_until(lambda: len(self.commands) > self.taken)
        self.taken += 1
        return self.commands[self.taken - 1]


@dataclass
class ReceivedFrame:
    """A frame received from the front."""

    type: int
    stream: int
    code: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def frame(kind: int, stream: int = 0, payload: bytes = b"") -> bytes:
    """Return a frame as a client writes it."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def fields_of(values: dict[str, str]) -> bytes:
    """Return fields as a client encodes them."""
    encoded = [(name.encode(), value.encode()) for name, value in values.items()]
    return bytes([len(encoded)]) + b"".join(
        bytes([len(name)]) + name + struct.pack(">H", len(value)) + value for name, value in encoded
    )


def client_request(stream: int, body: bytes = b"", **changed: str | None) -> bytes:
    """Return a client's request; a field changed to None is left out."""
    values: dict[str, str | None] = {
        "verb": "maps", "txn": f"{stream:016x}", "limit": "2500", "item": "7f3a9c21e0b4d655", "nth": "3",
        "batch": "17", "ram": "41.5", **changed,
    }  # fmt: skip
    present = {name: value for name, value in values.items() if value is not None}
    return frame(16, stream, fields_of(present) + body)


class Caller:
    """A client's connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._reader = BufferedByteReceiveStream(stream)

    async def send(self, *raws: bytes) -> None:
        await self.stream.send(b"".join(raws))

    async def next(self) -> ReceivedFrame:
        length, frame_type, stream = struct.unpack(">IBI", await self._reader.receive_exactly(9))
        payload = await self._reader.receive_exactly(length - 5) if length > 5 else b""
        if not payload:
            return ReceivedFrame(frame_type, stream)
        values, offset = {}, 2
        for _ in range(payload[1]):
            end = offset + 1 + payload[offset]
            size = int.from_bytes(payload[end : end + 2], "big")
            values[payload[offset + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
            offset = end + 2 + size
        return ReceivedFrame(frame_type, stream, payload[0], values, payload[offset:])

    async def ended(self) -> bool:
        """Wait for the end of the connection; return False if a frame comes first."""
        try:
            await self.next()
        except (anyio.IncompleteRead, anyio.BrokenResourceError):
            return True
        return False


class FrontTestbed:
    """The program as a process, with simulated peers for everything that it connects to."""

    def __init__(self) -> None:
        self.config = deepcopy(SAMPLE)
        self.caches: dict[str, Cache] = {}
        self.events: list[dict[str, Any]] = []  # discovery events after those of the configuration
        self.queued_answers: list[bytes] = []  # answers of discovery to send instead, once each
        self.polled: list[int] = []  # event number from which each poll asked
        self.notifier = Notifier()
        self.environment: dict[str, str] = {}
        self.command = [sys.executable, "-m", "cometseam"]
        self.listens = b"listens"  # text in the program's log once it accepts connections
        self.discovery_handler = self.serve_discovery  # answers polls of discovery
        self.discovery_address = ""  # of another front's discovery, if the fleet shares one
        self.before_start: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
        self.process: Process
        self.path: Path
        self._tasks: TaskGroup
        self.output = b""

    async def listen(self, serve: Callable[[SocketStream], Any]) -> str:
        """Listen on a free port of the loopback address; return the address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._tasks.start_soon(listener.serve, serve)
        return f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"

    async def add(self, name: str, like: str | None = None, address: str | None = None) -> Cache:
        """Simulate a cache of the sample, or one more like `like`; `address` is that of another server."""
        entries = self.config["known"]["results"][0]["fleet"]["endpoints"]
        if like is not None:
            entries.append({**next(line for line in entries if line["name"] == like), "name": name})
        line = next(line for line in entries if line["name"] == name)
        cache = self.caches[name] = Cache(name, self.notifier)
        line["address"] = address or await self.listen(cache.serve)
        return cache

    def endpoint_entry(self, name: str, /, **changed: Any) -> dict[str, Any]:
        """Return a cache's entry in the endpoint list, with changes."""
        entries = self.config["known"]["results"][0]["fleet"]["endpoints"]
        return {**next(line for line in entries if line["name"] == name), **changed}

    def add_event(self, **event: Any) -> None:
        """Add an event to discovery."""
        self.events.append({"seq": len(self.events) + 2, **event})
        self.notifier.notify()

    async def wait_for_poll_since(self, since: int) -> None:
        """Wait until the front polls for what follows an event, so it has received that event."""
        await self.notifier.wait_until(lambda: any(polled >= since for polled in self.polled))

    async def serve_discovery(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                head = (await reader.receive_until(b"\r\n\r\n", 4096)).decode()
                since = int(head.split("since=")[1].split("&")[0])
                self.polled.append(since)
                self.notifier.notify()
                with anyio.move_on_after(int(head.split("timeout=")[1].split()[0]) / 1000.0):
                    await self.notifier.wait_until(
                        lambda: self.queued_answers or len(self.events) + 1 > since  # noqa: B023
                    )
                new = [event for event in self.events if event["seq"] > since]
                answer = json.dumps({"seq": len(self.events) + 1, "results": new}).encode()
                body = self.queued_answers.pop(0) if self.queued_answers else answer
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except ENDS:
            await stream.aclose()

    async def send_poll_answers(self, *texts: bytes) -> None:
        """Send these bodies as the next answers to polls, and wait until all are sent."""
        self.queued_answers += texts
        self.notifier.notify()
        await self.notifier.wait_until(lambda: not self.queued_answers)

    async def next_command(self) -> ReceivedCommand:
        """Return the next command that any of the caches receives."""
        await self.notifier.wait_until(
            lambda: any(len(cache.commands) > cache.taken for cache in self.caches.values())
        )
        return await next(c for c in self.caches.values() if len(c.commands) > c.taken).next()

    async def start(self, folder: Path) -> None:
        """Start the program and wait until it is ready."""
        self.discovery_address = self.discovery_address or await self.listen(self.discovery_handler)
        self.config["changelog"] = self.discovery_address
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.config["listen"] = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        await listener.aclose()
        self.path = path = folder / "config.json"
        path.write_text(json.dumps(self.config))
        await self.before_start()  # later changes are not in the configuration that the program reads
        self.process = await anyio.open_process(
            self.command, stderr=PIPE, env={**environ, "ROUTER_CONFIG": str(path), **self.environment},
        )  # fmt: skip
        self._tasks.start_soon(self._read_log)
        await self.logged(self.listens)

    async def reload(self, text: str | None = None) -> None:
        """Write the current configuration, or `text`, to the file and make the program read it again."""
        marker = b"configuration: "
        count_before = self.output.count(marker)
        self.path.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)
        await self.notifier.wait_until(lambda: self.output.count(marker) > count_before)

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for text in self.process.stderr:
            self.output += text
            self.notifier.notify()

    async def logged(self, text: bytes) -> None:
        """Wait until the program's log holds this text and the end of its line."""
        await self.notifier.wait_until(lambda: b"\n" in self.output.partition(text)[2])

    async def connect_client(self) -> Caller:
        """Connect as a client."""
        host, port = self.config["listen"].split(":")
        return Caller(await anyio.connect_tcp(host, int(port)))

    async def stop(self) -> dict[str, float]:
        """End the program by SIGTERM, and return its counters."""
        self.process.send_signal(signal.SIGTERM)
        return await self.end()

    async def end(self) -> dict[str, float]:
        """Wait for the program's end, and return its counters."""
        assert await self.process.wait() == 0, self.output.decode()
        await self.logged(b"at exit")
        return parse_counters(self.output.decode().split("counters (at exit): ")[1])

    async def read_counters(self) -> dict[str, float]:
        """Return the running program's counters."""
        marker = b"counters (asked): "
        count_before = self.output.count(marker)
        self.process.send_signal(signal.SIGUSR1)
        await self.notifier.wait_until(
            lambda: self.output.count(marker) > count_before and b"\n" in self.output.rpartition(marker)[2]
        )
        return parse_counters(self.output.rpartition(marker)[2].partition(b"\n")[0].decode())


def parse_counters(text: str) -> dict[str, float]:
    """Return the counters of a log line; those of broken invariants have several words in their names."""
    return {name.strip(): float(value) for name, value in re.findall(r"(\S[^=\n]*)=(-?[0-9.]+)", text)}


@asynccontextmanager
async def front_testbed(
    folder: Path, *more: str, operator: Path | None = None, log: str = "text", listens: bytes = b"listens",
    timeout_s: float = DEFAULT_TIMEOUT_S, addresses: dict[str, str] | None = None,
    command: list[str] | None = None,
    environment: dict[str, str] | None = None, name: str = "front-1",
    prepare: Callable[[FrontTestbed], None] | None = None, **limits: int,
) -> AsyncIterator[FrontTestbed]:  # fmt: skip
    """Run the program among simulated caches: those of the sample, and `more` like its first."""
    testbed = FrontTestbed()
    testbed.config["limits"].update(limits)
    testbed.config["name"] = name
    if prepare is not None:
        prepare(testbed)
    testbed.listens = listens
    testbed.command = command or testbed.command
    testbed.environment = {"COMETSEAM_LOG_FORMAT": log, **(environment or {})}
    if operator is not None:
        testbed.environment["COMETSEAM_OPERATOR"] = str(operator)
    with anyio.fail_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            testbed._tasks = tasks
            for name in ("cache-1", "parent-1", "origin-1"):
                await testbed.add(name, address=(addresses or {}).get(name))
            for name in more:
                await testbed.add(name, like="cache-1", address=(addresses or {}).get(name))
            await testbed.start(folder)
            try:
                yield testbed
            finally:
                if testbed.process.returncode is None:
                    testbed.process.kill()
                await testbed.process.wait()
                tasks.cancel_scope.cancel()
