"""Helpers of the tests: `Drive` drives one `Front` by hand, `World` runs the real program among stand-ins."""

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


def line(cache: int, state: i.Lifecycle = i.Lifecycle.READY, ready_at: float = 0.0) -> i.CacheEntry:
    """One line of the list; the cache's number tells its kind, and its last digit its cell."""
    kind = cache // 10 - 1
    return i.CacheEntry(cache, state, ready_at, cache % 10, 1 if kind == 0 else 0, kind, 8.0)


class Drive:
    """A front, its clock and the trace of its decisions."""

    def __init__(self, settings: i.Settings = SETTINGS, caches: tuple[int, ...] = SERVERS) -> None:
        self.front, self.now = Front(7, settings), 1000.0
        self.trace: list[str] = []
        self.relays: dict[int, int] = {}
        self.last: dict[int, i.Relay] = {}
        self.tell(i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(line(cache) for cache in caches)))

    def tell(self, event: i.Event, after: float = 0.0) -> None:
        """Pass an event on, and write down all that comes back but the timers."""
        self.now += after
        for action in self.front.handle(self.now, event):
            if isinstance(action, i.Relay):
                self.last[action.id] = action
                self.relays[action.id] = self.relays.get(action.id, -1) + 1
                text = f"relay to {action.cache} from {action.source} rank {action.rank}"
                text += " held only" if action.only_cached else ""
                text += f" oldest {action.max_age:g}" if action.max_age else ""
            elif isinstance(action, i.StartTimer):
                continue
            else:
                text = type(action).__name__.lower()
            number = getattr(action, "id", "-")
            self.trace.append(f"{self.now - 1000.0:g} pull {number}: {text}")

    def pull(self, number: int, wanted: int = 5, workload: int = 0, after: float = 10.0,
             part: int = 0) -> None:  # fmt: skip
        """A client asks for a part of an object."""
        self.tell(i.Pull(number, wanted, part, workload, 2000.0, False, 500.0, 3), after)

    def end(self, number: int, outcome: i.Outcome = i.Outcome.OK, remark: i.Remark = i.Remark.HIT,
            after: float = 100.0, load: tuple[float, ...] = ()) -> None:  # fmt: skip
        """The pull's newest relay ends."""
        relay = self.last[number]
        closed = outcome is i.Outcome.OK
        ended = i.RelayEnded(
            number, self.relays[number], relay.cache, outcome, remark, after, 0.0, closed, load
        )
        self.tell(ended, after)

    def lack(self, number: int, load: tuple[float, ...] = ()) -> None:
        """The cache that was looked at holds no copy."""
        self.end(number, i.Outcome.MISS, i.Remark.NONE, after=1.0, load=load)

    def check(self, name: str) -> None:
        """Compare the trace with the one kept under `traces/`."""
        kept = Path(__file__).parent / "traces" / f"{name}.txt"
        text = "\n".join(self.trace) + "\n"
        if "KEEP_TRACES" in environ:  # after a change that is meant to show
            kept.write_text(text)
        assert text == kept.read_text()


SAMPLE: dict[str, Any] = json.loads((Path(__file__).parent.parent / "deploy" / "sample.json").read_text())
ENDS = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError)
PATIENCE = 20.0  # s that a test may wait for anything; none waits for time to pass


@dataclass
class Asked:
    """A command that reached a stand-in, and the connection it came over."""

    cache: "Cache"
    stream: SocketStream
    parts: list[str]
    body: bytes = b""

    @property
    def word(self) -> str:
        return self.parts[0]

    @property
    def id(self) -> str:
        return self.parts[1]

    @property
    def fields(self) -> dict[str, str]:
        return dict(item.split("=", 1) for item in self.parts[2].split(","))

    async def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        await self.stream.send(resp(self.id, word, fields, body))


def resp(*parts: str | bytes) -> bytes:
    """A RESP array."""
    raws = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raws) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in raws)


class News:
    """Wakes those that wait for something to be so."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def tell(self) -> None:
        self._event.set()

    async def until(self, met: Callable[[], Any]) -> None:
        while not met():
            if self._event.is_set():
                self._event = anyio.Event()
            await self._event.wait()


class Cache:
    """A stand-in for a cache: it writes down what it is asked, and answers what a test tells it to."""

    def __init__(self, name: str, news: News) -> None:
        self.name, self.news = name, news
        self.asked: list[Asked] = []
        self.seen = self.doubted = self.ended = 0
        self.alive = False  # else it is silent, as a machine that has vanished is

    async def serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                count = int((await reader.receive_until(b"\r\n", 20))[1:])
                raws = []
                for _ in range(count):
                    size = int((await reader.receive_until(b"\r\n", 20))[1:])
                    raws.append((await reader.receive_exactly(size + 2))[:-2])
                asked = Asked(self, stream, [raw.decode() for raw in raws[:3]], b"".join(raws[3:]))
                if asked.word == "HELO":
                    self.doubted += 1
                    if self.alive:
                        await asked.answer("FIT")
                    continue
                self.asked.append(asked)
                self.news.tell()
        except ENDS:
            await stream.aclose()
            self.ended += 1
            self.news.tell()

    async def next(self) -> Asked:
        await self.news.until(lambda: len(self.asked) > self.seen)
        self.seen += 1
        return self.asked[self.seen - 1]


@dataclass
class Got:
    """A frame that came from the front."""

    type: int
    stream: int
    code: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def frame(kind: int, stream: int = 0, payload: bytes = b"") -> bytes:
    """A client's frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def fields_of(values: dict[str, str]) -> bytes:
    """Fields as clients write them."""
    raws = [(name.encode(), value.encode()) for name, value in values.items()]
    return bytes([len(raws)]) + b"".join(
        bytes([len(name)]) + name + struct.pack(">H", len(value)) + value for name, value in raws
    )


def order(stream: int, body: bytes = b"", **changed: str | None) -> bytes:
    """A client's request; a field changed to None is left out."""
    values: dict[str, str | None] = {
        "verb": "maps", "txn": f"{stream:016x}", "limit": "2500", "item": "7f3a9c21e0b4d655", "nth": "3",
        "batch": "17", "ram": "41.5", **changed,
    }  # fmt: skip
    told = {name: value for name, value in values.items() if value is not None}
    return frame(16, stream, fields_of(told) + body)


class Caller:
    """A client's connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._reader = BufferedByteReceiveStream(stream)

    async def send(self, *raws: bytes) -> None:
        await self.stream.send(b"".join(raws))

    async def next(self) -> Got:
        length, kind, stream = struct.unpack(">IBI", await self._reader.receive_exactly(9))
        payload = await self._reader.receive_exactly(length - 5) if length > 5 else b""
        if not payload:
            return Got(kind, stream)
        values, at = {}, 2
        for _ in range(payload[1]):
            end = at + 1 + payload[at]
            size = int.from_bytes(payload[end : end + 2], "big")
            values[payload[at + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
            at = end + 2 + size
        return Got(kind, stream, payload[0], values, payload[at:])

    async def ended(self) -> bool:
        """Wait for the end of the connection; False where a frame comes first."""
        try:
            await self.next()
        except (anyio.IncompleteRead, anyio.BrokenResourceError):
            return True
        return False


class World:
    """The program as a process, with stand-ins for all that it talks to."""

    def __init__(self) -> None:
        self.config = deepcopy(SAMPLE)
        self.caches: dict[str, Cache] = {}
        self.log: list[dict[str, Any]] = []  # the events after those of the configuration
        self.broken: list[bytes] = []  # what the change log answers instead, once each
        self.polled: list[int] = []  # the number that each poll asked from
        self.news = News()
        self.environment: dict[str, str] = {}
        self.command = [sys.executable, "-m", "cometseam"]
        self.listens = b"listens"  # what the log says once it does
        self.discover = self.change_log  # answers polls of discovery
        self.before_start: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
        self.process: Process
        self.path: Path
        self._tasks: TaskGroup
        self.output = b""

    async def listen(self, serve: Callable[[SocketStream], Any]) -> str:
        """Listen at a free port of the loopback address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._tasks.start_soon(listener.serve, serve)
        return f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"

    async def add(self, name: str, like: str | None = None, at: str | None = None) -> Cache:
        """Stand in for a cache of the sample, or for one more like it; `at`: another one does, there."""
        lines = self.config["known"]["results"][0]["fleet"]["endpoints"]
        if like is not None:
            lines.append({**next(line for line in lines if line["name"] == like), "name": name})
        line = next(line for line in lines if line["name"] == name)
        cache = self.caches[name] = Cache(name, self.news)
        line["address"] = at or await self.listen(cache.serve)
        return cache

    def line(self, name: str, /, **changed: Any) -> dict[str, Any]:
        """A cache's line in the list, changed."""
        lines = self.config["known"]["results"][0]["fleet"]["endpoints"]
        return {**next(line for line in lines if line["name"] == name), **changed}

    def tell(self, **event: Any) -> None:
        """Add an event to the change log."""
        self.log.append({"seq": len(self.log) + 2, **event})
        self.news.tell()

    async def polled_from(self, since: int) -> None:
        """Wait until the front has asked for what comes after an event, so has the event."""
        await self.news.until(lambda: any(asked >= since for asked in self.polled))

    async def change_log(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                head = (await reader.receive_until(b"\r\n\r\n", 4096)).decode()
                since = int(head.split("since=")[1].split("&")[0])
                self.polled.append(since)
                self.news.tell()
                with anyio.move_on_after(int(head.split("timeout=")[1].split()[0]) / 1000.0):
                    await self.news.until(lambda: self.broken or len(self.log) + 1 > since)  # noqa: B023
                new = [event for event in self.log if event["seq"] > since]
                told = json.dumps({"seq": len(self.log) + 1, "results": new}).encode()
                text = self.broken.pop(0) if self.broken else told
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        except ENDS:
            await stream.aclose()

    async def break_log(self, *texts: bytes) -> None:
        """Have the change log answer these texts first."""
        self.broken += texts
        self.news.tell()
        await self.news.until(lambda: not self.broken)

    async def first(self) -> Asked:
        """Wait until one of the caches is asked something new."""
        await self.news.until(lambda: any(len(cache.asked) > cache.seen for cache in self.caches.values()))
        return await next(c for c in self.caches.values() if len(c.asked) > c.seen).next()

    async def start(self, folder: Path) -> None:
        """Start the program and wait until it is ready."""
        self.config["changelog"] = await self.listen(self.discover)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.config["listen"] = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        await listener.aclose()
        self.path = path = folder / "config.json"
        path.write_text(json.dumps(self.config))
        await self.before_start()  # what happens from here on is not in the list of the start
        self.process = await anyio.open_process(
            self.command, stderr=PIPE, env={**environ, "ROUTER_CONFIG": str(path), **self.environment},
        )  # fmt: skip
        self._tasks.start_soon(self._read_log)
        await self.logged(self.listens)

    async def reload(self, text: str | None = None) -> None:
        """Replace the configuration by what it is now, or by a text, and have it read anew."""
        line = b"configuration: "
        had = self.output.count(line)
        self.path.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)
        await self.news.until(lambda: self.output.count(line) > had)

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for text in self.process.stderr:
            self.output += text
            self.news.tell()

    async def logged(self, text: bytes) -> None:
        """Wait until the program's log holds this and the line's end."""
        await self.news.until(lambda: b"\n" in self.output.partition(text)[2])

    async def call(self) -> Caller:
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
        told = self.output.decode().split("counters (at exit): ")[1]
        # What must hold and did not is named by a few words.
        return {name: float(value) for name, value in re.findall(r"(\S[^=\n]*)=(-?[0-9.]+)", told)}


@asynccontextmanager
async def world(
    folder: Path, *more: str, operator: Path | None = None, log: str = "text", listens: bytes = b"listens",
    patience: float = PATIENCE, at: dict[str, str] | None = None, command: list[str] | None = None,
    environment: dict[str, str] | None = None, name: str = "front-1",
    prepare: Callable[[World], None] | None = None, **limits: int,
) -> AsyncIterator[World]:  # fmt: skip
    """The program among stand-ins for the sample's caches, and for more like its first."""
    here = World()
    here.config["limits"].update(limits)
    here.config["name"] = name
    if prepare is not None:
        prepare(here)
    here.listens = listens
    here.command = command or here.command
    here.environment = {"COMETSEAM_LOG_FORMAT": log, **(environment or {})}
    if operator is not None:
        here.environment["COMETSEAM_OPERATOR"] = str(operator)
    with anyio.fail_after(patience):
        async with anyio.create_task_group() as tasks:
            here._tasks = tasks
            for name in ("cache-1", "parent-1", "origin-1"):
                await here.add(name, at=(at or {}).get(name))
            for name in more:
                await here.add(name, like="cache-1", at=(at or {}).get(name))
            await here.start(folder)
            try:
                yield here
            finally:
                if here.process.returncode is None:
                    here.process.kill()
                await here.process.wait()
                tasks.cancel_scope.cancel()
