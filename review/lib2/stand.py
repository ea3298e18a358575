"""Stand-ins on loopback for what a front talks to: change log, caches, clients, and the front's process.

They follow the users' protocol page. All times in records are seconds since the start of the run.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HEAD = struct.Struct(">IBI")
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError)
STARTED_AT = time.monotonic()


def now() -> float:
    """Return seconds since the start of the run."""
    return time.monotonic() - STARTED_AT


class Record:
    """Writes `record.txt`: a line for all that was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115

    def add(self, what: str) -> None:
        """Add a line with the time."""
        self._file.write(f"{now():8.3f} {what}\n")


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def endpoint(name: str, address: str, kind: str = "standard", **more: Any) -> dict[str, Any]:
    """Return an entry of the list of caches."""
    zone = {"standard": "edge-1", "parent": "north", "origin": "middle"}[kind]
    return {
        "name": name, "address": address, "zone": zone, "type": kind, "group": 1, "status": "active",
        "weight": 8.0, "since_ms": 0,
    } | more  # fmt: skip


class ChangeLog:
    """The change log: numbered events by long polls over HTTP/1.1."""

    def __init__(self, record: Record, endpoints: list[dict[str, Any]]) -> None:
        self.record = record
        first = {"seq": 1, "fleet": {"index": 1, "snapshot": True, "endpoints": endpoints}}
        self.events: list[dict[str, Any]] = [first]
        self.address = ""
        self.polls = 0
        self._changed = asyncio.Event()
        self._moved = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def move(self, closes_after: float) -> None:
        """Tell nothing more, accept no connection any more, and close the open ones after so many seconds."""
        self._moved, self.events = True, list(self.events)
        assert self._server is not None
        self._server.close()
        self.record.add(f"change log at {self.address}: moved")

        def close() -> None:
            for writer in self._writers:
                writer.close()

        asyncio.get_running_loop().call_later(closes_after, close)

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as a configuration holds them."""
        return {"seq": len(self.events), "results": list(self.events)}

    def tell(self, quietly: bool = False, **event: Any) -> None:
        """Add an event; `quietly`: without a line in the record."""
        self.events.append({"seq": len(self.events) + 1, **event})
        if not quietly:
            self.record.add(f"change log: {json.dumps(self.events[-1])}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(*ENDS):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                since = int(head.split("since=")[1].split("&")[0])
                hold = int(head.split("timeout=")[1].split()[0]) / 1000.0
                due = time.monotonic() + hold
                self.polls += 1
                while len(self.events) <= since and (left := due - time.monotonic()) > 0.0:
                    with suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), left)
                told = self.events[since:]
                body = json.dumps({"seq": len(self.events), "results": told}).encode()
                if told:
                    self.record.add(f"change log: asked from {since}, answers with {len(told)} events")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


class Attempt:
    """A request that has come whole to a cache."""

    def __init__(self, cache: "Cache", writer: asyncio.StreamWriter, parts: list[bytes], first_at: float):
        self.cache, self.writer, self.id, self.first_at, self.at = (
            cache,
            writer,
            parts[1].decode(),
            first_at,
            now(),
        )
        text = parts[2].decode()
        self.fields = {} if text == "-" else dict(item.split("=", 1) for item in text.split(","))
        self.body = parts[3]
        self.stopped = False

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Answer it, unless it was given up or its connection has ended."""
        if self.stopped or self.writer.is_closing():
            return
        self.cache.record.add(f"{self.cache.name}: answers {self.id} {word} {fields} {len(body)} bytes")
        self.writer.write(resp(self.id, word, fields, body))
        self.cache.open.pop((id(self.writer), self.id), None)


def resp(*parts: str | bytes) -> bytes:
    """Encode an array of bulk strings."""
    raw = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in raw)


class Cache:
    """A cache, parent or origin; `run` is called for each request that has come whole."""

    def __init__(self, name: str, record: Record, run: Callable[[Attempt], Awaitable[None]]) -> None:
        self.name, self.record, self._run = name, record, run
        self.address = ""
        self.open: dict[tuple[int, str], Attempt] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(*ENDS):
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                first_at, parts = now(), []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                if parts[0] == b"HELO":
                    writer.write(resp(parts[1], "FIT", "-"))
                elif parts[0] == b"STOP":
                    attempt = self.open.pop((id(writer), parts[1].decode()), None)
                    self.record.add(f"{self.name}: STOP {parts[1].decode()}")
                    if attempt is not None:
                        attempt.stopped = True
                else:
                    attempt = Attempt(self, writer, parts, first_at)
                    self.open[id(writer), attempt.id] = attempt
                    self.record.add(f"{self.name}: gets {attempt.id} {parts[2].decode()}")
                    task = asyncio.create_task(self._run(attempt))  # type: ignore[arg-type]
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        for key in [key for key in self.open if key[0] == id(writer)]:
            self.open.pop(key).stopped = True
        writer.close()


class Client:
    """One connection of a client, with the answers by stream."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self.name, self.record, self._address = name, record, address
        self.answers: dict[int, tuple[float, int, dict[str, str], bytes]] = {}
        self.second_answers: list[int] = []
        self.sent: dict[int, tuple[float, float]] = {}  # by stream: when its last byte was written, its limit
        self.ended_at: float | None = None
        self.stream = 0
        self.ready: bool | None = None
        self.arrived = asyncio.Event()
        self.writer: asyncio.StreamWriter
        self._reads: asyncio.Task[None]

    async def connect(self) -> "Client":
        """Connect; the system accepts it, whether or not the front has."""
        host, port = self._address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self._reads = asyncio.create_task(self._read())
        return self

    async def request(self, txn: str, limit: float, body: bytes = b"", **fields: str) -> int:
        """Send a request of `maps` and return its stream; `limit` is in seconds."""
        self.stream += 1
        stream = self.stream
        values = {
            "verb": "maps", "txn": txn, "limit": str(round(limit * 1000.0)), "item": txn, "nth": "0",
            "batch": "7", "ram": "200",
        } | fields  # fmt: skip
        payload = bytes((len(values),)) + b"".join(
            bytes((len(key),)) + key.encode() + struct.pack(">H", len(value)) + value.encode()
            for key, value in values.items()
        )
        self.writer.write(HEAD.pack(5 + len(payload) + len(body), 16, stream) + payload + body)
        await self.writer.drain()
        self.sent[stream] = (now(), limit)
        self.record.add(f"{self.name}: sends {txn} on stream {stream}, waits {limit:g} s")
        return stream

    async def ask_ready(self) -> bool:
        """Ask whether the front is ready."""
        self.ready = None
        self.writer.write(HEAD.pack(6, 32, 1 << 20) + b"\0")
        while self.ready is None and self.ended_at is None:
            self.arrived.clear()
            await asyncio.wait_for(self.arrived.wait(), 5.0)
        return bool(self.ready)

    async def answer(self, stream: int, wait: float) -> tuple[float, int, dict[str, str], bytes] | None:
        """Wait for an answer for at most so many seconds."""
        due = now() + wait
        while stream not in self.answers and self.ended_at is None and (left := due - now()) > 0.0:
            self.arrived.clear()
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.arrived.wait(), left)
        return self.answers.get(stream)

    async def _read(self) -> None:
        with suppress(*ENDS):
            while True:
                length, kind, stream = HEAD.unpack(await self.reader.readexactly(HEAD.size))
                payload = await self.reader.readexactly(length - 5)
                if kind == 33:
                    self.ready = payload[0] == 1
                elif kind == 17:
                    self._take_answer(stream, payload)
                self.arrived.set()
        self.ended_at = now()
        self.arrived.set()
        self.writer.close()

    def _take_answer(self, stream: int, payload: bytes) -> None:
        code, count, offset, fields = payload[0], payload[1], 2, {}
        for _ in range(count):
            end = offset + 1 + payload[offset]
            size = payload[end] << 8 | payload[end + 1]
            fields[payload[offset + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
            offset = end + 2 + size
        word = {1: "served", 2: "refused", 3: "failed"}[code]
        self.record.add(f"{self.name}: stream {stream} is {word} {fields} {len(payload) - offset} bytes")
        if stream in self.answers:
            self.second_answers.append(stream)
        self.answers[stream] = (now(), code, fields, payload[offset:])

    def close(self) -> None:
        """End the connection."""
        self._reads.cancel()
        self.writer.close()


class Front:
    """The front's process, started with the deploy file's `run`."""

    def __init__(self, record: Record, config: dict[str, Any], name: str = "front") -> None:
        self.record, self.config, self.name = record, config, name
        self._folder = tempfile.TemporaryDirectory(prefix="cometseam-case-")
        self.path = Path(self._folder.name) / "config.json"
        self.address: str = config["listen"]
        self.process: subprocess.Popen[bytes] | None = None
        self.extra_environment: dict[str, str] = {}

    def write_config(self) -> None:
        """Replace the configuration file."""
        text = json.dumps(self.config)
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        run = deploy_command("run")
        temporary = Path(self._folder.name) / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "TMPDIR": str(temporary), "ROUTER_CONFIG": str(self.path), "ROUTER_NAME": self.config["name"],
            "ROUTER_LISTEN": self.address,
        } | self.extra_environment  # fmt: skip
        with open(Path(self._folder.name) / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log,
                start_new_session=True,
            )  # fmt: skip
        self.record.add(f"{self.name}: started as process {self.process.pid} at {self.address}")

    def signal(self, number: int) -> None:
        """Send a signal."""
        assert self.process is not None
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, most: float = 20.0) -> None:
        """Wait until the front has answered that it is ready."""
        due = now() + most
        while now() < due:
            assert self.process is not None
            if self.process.poll() is not None:
                raise RuntimeError(f"the front ended with {self.process.returncode}: {self.log()[-2000:]}")
            with suppress(OSError, asyncio.TimeoutError):
                client = await Client("look", self.address, self.record).connect()
                is_ready = await client.ask_ready()
                client.close()
                if is_ready:
                    self.record.add(f"{self.name}: ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the front is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return what the front has logged."""
        return (Path(self._folder.name) / "log.txt").read_text(errors="replace")

    def end(self) -> None:
        """End the process and what it has started."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
        for line in self.log().splitlines()[-60:]:
            self.record.add(f"{self.name} logged: {line[:300]}")
        self._folder.cleanup()


def private_kb(process: int) -> int:
    """Return the private memory of a process in KB."""
    lines = Path(f"/proc/{process}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))


class Platform:
    """Looks at a front's private memory 50 times a second, and kills the front once it is over the limit."""

    def __init__(self, front: Front, memory_mb: int, record: Record) -> None:
        self.limit_kb, self.peak_kb, self.killed_at = memory_mb * 1024, 0, 0.0
        assert front.process is not None
        self._process, self._front, self._record = front.process, front, record
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while self._process.poll() is None:
            with suppress(OSError):
                used = private_kb(self._process.pid)
                if used // 1024 > self.peak_kb // 1024:
                    self._record.add(f"private memory of the front: {used} KB")
                self.peak_kb = max(self.peak_kb, used)
                if used > self.limit_kb and not self.killed_at:
                    self.killed_at = now()
                    self._record.add(f"the platform kills the front at {used} KB of {self.limit_kb}")
                    self._front.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)


def deploy_command(key: str) -> str:
    """Return a command of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        if line.startswith(f"{key} = "):
            return str(json.loads(line.partition(" = ")[2]))
    raise RuntimeError(f"deploy/balancer.toml has no {key}")


def sample_config(known: dict[str, Any], changelog: str, seed: int = 0) -> dict[str, Any]:
    """Return the sample's configuration at a free port, with another list of caches and change log."""
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "sample.json").read_text())
    config["listen"] = f"127.0.0.1:{free_port()}"
    config["seed"] = f"{seed or Random().getrandbits(60):x}"
    config["changelog"], config["known"] = changelog, known
    return config


class OwnLag:
    """Measures by how much the stand-ins themselves ran late."""

    def __init__(self) -> None:
        self.most = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            before = now()
            await asyncio.sleep(0.02)
            self.most = max(self.most, now() - before - 0.02)

    def check(self, allowed: float) -> None:
        """Raise an error if the stand-ins were too late for the case to be judged."""
        if self.most > allowed:
            raise RuntimeError(f"the stand-ins ran late themselves, by {self.most:.3f} s")


SLACK = 0.55  # past a request's time an answer by then breaks no rule: half a second, and 50 ms on sockets
CROSSING = 0.05  # a request that crosses the end of its connection by so much is sent again by its client


def lost_requests(clients: list[Client], record: Record) -> tuple[list[str], int]:
    """Return a line for each request that was lost, and how many requests there were."""
    lost, count = [], 0
    for client in clients:
        for stream, (sent_at, limit) in client.sent.items():
            count += 1
            answer = client.answers.get(stream)
            if answer is not None and answer[0] - sent_at <= limit + SLACK:
                continue
            if answer is None and client.ended_at is not None and client.ended_at - sent_at <= CROSSING:
                record.add(f"{client.name}: stream {stream} crossed the end of its connection")
                continue
            how = f"answered after {answer[0] - sent_at:.3f} s" if answer is not None else "never answered"
            lost.append(f"{client.name} stream {stream}, sent at {sent_at:.3f}, waits {limit:g} s: {how}")
    return lost, count


def with_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _play(case: Callable[[Record], Awaitable[list[str]]], record: Record) -> list[str]:
    """Play a case; a signal that tells the script to end cancels it, so that it ends what it started."""
    playing = asyncio.ensure_future(asyncio.wait_for(case(record), 110.0))  # type: ignore[arg-type]
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    return await playing


def main(case: Callable[[Record], Awaitable[list[str]]], folder: Path) -> None:
    """Run a case; exit with 1 where the rule was broken, 0 where it held, 2 where the case couldn't run."""
    record = Record(folder)
    record.add(f"with the disruption: {with_trouble()}")
    try:
        broken = asyncio.run(_play(case, record))
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record.add(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record.add("broken" if broken else "held")
    print("broken" if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
