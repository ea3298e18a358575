"""Stand-ins for clients, caches, the change log and the platform. Loopback only; standard library only."""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
NETWORK_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError)


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the milliseconds since the start."""
        return (time.monotonic() - self._start) * 1000.0

    def add(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():10.1f} {who:<12} {what}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


def bulk_array(*parts: str | bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    raw = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in raw)


class Link:
    """One connection at a cache."""

    def __init__(self, cache: "Cache", writer: asyncio.StreamWriter) -> None:
        self.cache, self._writer = cache, writer
        self.open: dict[str, asyncio.Task[None]] = {}  # the requests that run, by id

    def answer(self, request: str, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Write an answer."""
        self.cache.record.add(self.cache.name, f"answers {request} {word} {fields} {len(body)} bytes")
        with suppress(OSError):
            self._writer.write(bulk_array(request, word, fields, body))

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info("socket")
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()


Work = Callable[[Link, str, dict[str, str], bytes], Awaitable[None]]


class Cache:
    """A cache, parent or origin; `work` runs for each request until it is done or given up."""

    def __init__(self, name: str, record: Record, work: Work) -> None:
        self.name, self.record, self._work = name, record, work
        self.address, self.links = "", set[Link]()

    async def listen(self) -> None:
        """Listen on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(self, writer)
        self.links.add(link)
        try:
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                parts = []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                self._handle(link, writer, parts)
        except (*NETWORK_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            for request, task in link.open.items():
                self.record.add(self.name, f"connection ends under {request}")
                task.cancel()
            writer.close()

    def _handle(self, link: Link, writer: asyncio.StreamWriter, parts: list[bytes]) -> None:
        word, request = parts[0].decode(), parts[1].decode()
        if word == "HELO":
            writer.write(bulk_array(request, "FIT", "-", b""))
        elif word == "STOP":
            self.record.add(self.name, f"is told to stop {request}")
            if request in link.open:
                link.open.pop(request).cancel()
        elif word == "REQ":
            fields = dict(item.split("=", 1) for item in parts[2].decode().split(",") if "=" in item)
            self.record.add(self.name, f"gets {request} {parts[2].decode()}")
            link.open[request] = asyncio.ensure_future(self._run(link, request, fields, parts[3]))

    async def _run(self, link: Link, request: str, fields: dict[str, str], body: bytes) -> None:
        await self._work(link, request, fields, body)
        link.open.pop(request, None)


class ChangeLog:
    """The change log of one front: numbered events, told to polls."""

    def __init__(self, record: Record) -> None:
        self._record, self.events, self.base = record, list[dict[str, Any]](), 1
        self._added = asyncio.Event()
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def add(self, event: dict[str, Any]) -> None:
        """Add an event; from now on it is in the change log."""
        self.events.append({"seq": self.base + len(self.events) + 1, **event})
        self._record.add("change log", json.dumps(self.events[-1]))
        self._added.set()
        self._added = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                since = int(head.split("since=")[1].split("&")[0])
                timeout = int(head.split("timeout=")[1].split()[0]) / 1000.0
                end = time.monotonic() + min(timeout, 5.0)
                while not (later := [event for event in self.events if event["seq"] > since]):
                    left = end - time.monotonic()
                    if left <= 0:
                        break
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._added.wait(), left)
                last = self.base + len(self.events)
                body = json.dumps({"seq": last, "results": later}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (*NETWORK_ERRORS, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Front:
    """A front's process, started by the command of the deploy file."""

    def __init__(self, config: dict[str, Any], record: Record) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="front-"))
        self._record, self._process = record, None
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port: int = probe.getsockname()[1]
        config["listen"] = f"127.0.0.1:{self.port}"
        self.config = config
        self._path = self.folder / "config.json"

    async def start(self) -> None:
        """Start it and wait until it is ready, 30 s at most."""
        self._path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ, "ROUTER_CONFIG": str(self._path), "ROUTER_NAME": self.config["name"],
            "ROUTER_LISTEN": self.config["listen"], "TMPDIR": str(self.folder),
        }  # fmt: skip
        with (self.folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("platform", f"starts {self.config['name']} (process {self._process.pid})")
        for _ in range(300):
            with suppress(*NETWORK_ERRORS, TimeoutError):
                if await asyncio.wait_for(self._is_ready(), 2.0):
                    self._record.add("platform", f"{self.config['name']} is ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the front is not ready")

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(frame(32, 1, b"\0"))
            while True:
                length, kind, _ = struct.unpack(">IBI", await reader.readexactly(9))
                payload = await reader.readexactly(length - 5)
                if kind == 33:
                    return payload[0] == 1
        finally:
            writer.close()

    @property
    def status(self) -> int | None:
        """Return its exit status; None while it runs."""
        return self._process.returncode if self._process is not None else None

    @property
    def process_id(self) -> int:
        """Return the number of its process."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process is not None and self._process.returncode is None:
            self._record.add("platform", f"sends {number.name} to {self.config['name']}")
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait for its end."""
        assert self._process is not None
        await self._process.wait()

    async def end(self) -> None:
        """End it: SIGTERM, then SIGKILL; record its counters and remove its folder."""
        self.signal(signal.SIGTERM)
        if self._process is not None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._process.wait(), 4.0)
            self.signal(signal.SIGKILL)
            await self._process.wait()
            lines = (self.folder / "log").read_text(errors="replace").splitlines()
            for line in lines:
                if "counters (at exit)" in line:
                    self._record.add("front", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode a client's frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def fields_of(values: dict[str, str]) -> bytes:
    """Encode fields."""
    parts = [bytes((len(values),))]
    for name, value in values.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return b"".join(parts)


class Answer:
    """An answer to a request, and when it came whole."""

    def __init__(self, code: int, fields: dict[str, str], body: bytes, at: float) -> None:
        self.code, self.fields, self.body, self.at = code, fields, body, at


class Client:
    """A usual client: one connection, any number of requests."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name, self._port, self.record = name, port, record
        self._stream = 0
        self._waiting: dict[int, tuple[str, asyncio.Future[Answer | None]]] = {}
        self.answers: dict[str, list[Answer]] = {}  # all answers, by request
        self.ended = False
        self.told_no_more = False

    async def connect(self) -> None:
        """Connect to the front."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._task = asyncio.ensure_future(self._read())

    def send(self, values: dict[str, str], body: bytes = b"") -> "asyncio.Future[Answer | None]":
        """Send a request; the result is its answer, or None if the connection ends before."""
        self._stream += 1
        future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
        self._waiting[self._stream] = values["txn"], future
        self.answers[values["txn"]] = []
        self.record.add(self.name, f"sends {' '.join(f'{k}={v}' for k, v in values.items())}")
        self._writer.write(frame(16, self._stream, fields_of(values) + body))
        return future

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = struct.unpack(">IBI", await self._reader.readexactly(9))
                payload = await self._reader.readexactly(length - 5)
                if kind == 48:
                    self.told_no_more = True
                if kind != 17:
                    continue
                values, end = {}, 2
                for _ in range(payload[1]):
                    name = payload[end + 1 : end + 1 + payload[end]].decode()
                    end += 1 + payload[end]
                    size = payload[end] << 8 | payload[end + 1]
                    values[name] = payload[end + 2 : end + 2 + size].decode()
                    end += 2 + size
                request, future = self._waiting.get(stream, ("-", None))
                self.record.add(
                    self.name, f"gets {request} code {payload[0]} {values} {len(payload) - end} bytes"
                )
                answer = Answer(payload[0], values, payload[end:], self.record.now())
                self.answers.setdefault(request, []).append(answer)
                if future is not None and not future.done():
                    future.set_result(answer)
        except NETWORK_ERRORS:
            pass
        finally:
            self.ended = True
            for request, future in self._waiting.values():
                if not future.done():
                    self.record.add(self.name, f"connection ends under {request}")
                    future.set_result(None)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def play(case: Callable[[Record], Awaitable[bool]], folder: Path, seconds: float = 100.0) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def bounded() -> bool:
        # A case that is told to end still ends the processes that it started.
        this_task = asyncio.current_task()
        assert this_task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
        return await asyncio.wait_for(case(record), seconds)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.add("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    else:
        record.add("case", "the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        return int(broken)
    finally:
        record.close()


def settings_of_the_sample() -> dict[str, Any]:
    """Return the sample's configuration, the change log and the list still to be set."""
    return json.loads((ROOT / "deploy" / "sample.json").read_text())


def entry(name: str, address: str, zone: str, kind: str, weight: float) -> dict[str, Any]:
    """Return a line of the list of caches."""
    return {
        "name": name, "address": address, "zone": zone, "type": kind, "group": 1, "status": "active",
        "weight": weight, "since_ms": 0,
    }  # fmt: skip


async def small_branch(record: Record, work: Work) -> list[dict[str, Any]]:
    """Start three caches of one branch, a parent and the origin; return their list."""
    entries = []
    for name, zone, kind, weight in (
        ("cache-1", "edge-1", "standard", 4.0),
        ("cache-2", "edge-1", "standard", 4.0),
        ("cache-3", "edge-1", "standard", 4.0),
        ("parent-1", "north", "parent", 16.0),
        ("origin-1", "middle", "origin", 16.0),
    ):
        cache = Cache(name, record, work)
        await cache.listen()
        entries.append(entry(name, cache.address, zone, kind, weight))
    return entries


def known(entries: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the change log's events at the start: the whole list."""
    return {"seq": 1, "results": [{"seq": 1, "fleet": {"index": 1, "snapshot": True, "endpoints": entries}}]}
