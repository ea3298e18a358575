"""Stand-ins for endpoints: they answer what they are asked, hang or reset as told, and record what came."""

import socket
import struct
import time
from contextlib import suppress
from random import Random

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from cometseam.protocol import ProtocolError
from cometseam.protocol.resp import read_fields
from cometseam.soak.history import Arrived, Finished, History, Requested

BROKEN = (
    anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError,
    anyio.DelimiterNotFound, OSError,
)  # fmt: skip
TAG = "4be0c1927d55a6f3"
LINE = 64  # bytes of a length's line at most
WORK = (0.002, 0.04)  # s that an attempt takes, at least and at most
WRITTEN_WITHIN = 1.0  # s
LACKS, TURNS_AWAY, BREAKS = 0.3, 0.02, 0.02  # shares of attempts


class Endpoint:
    """One cache, parent or origin."""

    def __init__(
        self, name: str, kind: str, history: History, requests: dict[str, Requested], chance: Random
    ) -> None:
        self.name, self.kind = name, kind
        self.address = ""
        self.hangs_until = 0.0
        self._history, self._requests, self._chance = history, requests, chance
        self._streams: dict[SocketStream, anyio.Lock] = {}  # and who writes to each now
        self._out: dict[tuple[int, str], anyio.CancelScope] = {}

    async def listen(self, tasks: TaskGroup) -> None:
        """Listen at a free port of the loopback address, until the task group ends."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self._serve)

    async def reset(self) -> int:
        """Reset all connections; return how many there were."""
        streams = list(self._streams)
        for stream in streams:
            await reset(stream)
        return len(streams)

    async def _serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        self._streams[stream] = anyio.Lock()
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    parts, first_at = await _read_command(reader)
                    self._handle(tasks, stream, parts, first_at)
        except* (*BROKEN, ProtocolError, ValueError):
            pass
        finally:
            del self._streams[stream]
            for key in [key for key in self._out if key[0] == id(stream)]:
                self._finish(stream, key[1], "ended")
            await anyio.aclose_forcefully(stream)

    def _handle(self, tasks: TaskGroup, stream: SocketStream, parts: list[bytes], first_at: float) -> None:
        word, name = parts[0], parts[1].decode()
        if word == b"HELO":
            tasks.start_soon(self._greet, stream, name)
        elif word == b"STOP":
            self._finish(stream, name, "stopped")
        elif word == b"REQ":
            fields = read_fields(parts[2].decode())
            self._record(name, fields, first_at)
            scope = self._out[id(stream), name] = anyio.CancelScope()
            tasks.start_soon(self._work, stream, name, fields, scope)

    def _record(self, name: str, fields: dict[str, str], first_at: float) -> None:
        request = self._requests[name]
        self._history.add(Arrived(
            at=time.monotonic(), first_at=first_at, front=request.front, life=request.life,
            endpoint=self.name, source=fields.get("via", ""), request=name,
            time_left=float(fields["ttl"]) / 1000.0,
            oldest=float(fields.get("fresh", 0.0)) / 1000.0,
        ))  # fmt: skip

    async def _greet(self, stream: SocketStream, tag: str) -> None:
        await anyio.sleep(max(self.hangs_until - time.monotonic(), 0.0))
        async with self._streams[stream]:
            await stream.send(_command(tag, "FIT", "-"))

    async def _work(
        self, stream: SocketStream, name: str, fields: dict[str, str], scope: anyio.CancelScope
    ) -> None:
        with scope:
            await anyio.sleep(self._chance.uniform(*WORK))
            while (left := self.hangs_until - time.monotonic()) > 0.0:
                await anyio.sleep(left)
            word = self._word("via" in fields)
            body = b"x" * 64 if word == "DONE" else b""
            told = "-"
            if word == "DONE":
                why = "fetched" if "via" in fields else "cached"
                told = f"tag={TAG},minted={round(time.time() * 1000.0)},why={why}"
            if (id(stream), name) not in self._out:
                return
            answer = _command(name, word, told, body)
            with anyio.CancelScope(shield=True), anyio.move_on_after(WRITTEN_WITHIN):
                async with self._streams[stream]:
                    await stream.send(answer)
            self._finish(stream, name, word)

    def _word(self, is_fill: bool) -> str:
        drawn = self._chance.random()
        if drawn < TURNS_AWAY:
            return "WAIT"
        if drawn < TURNS_AWAY + BREAKS:
            return "BROKE"
        return "LACK" if not is_fill and drawn < TURNS_AWAY + BREAKS + LACKS else "DONE"

    def _finish(self, stream: SocketStream, name: str, word: str) -> None:
        scope = self._out.pop((id(stream), name), None)
        if scope is not None:
            scope.cancel()
            self._history.add(Finished(time.monotonic(), self.name, name, word))


async def reset(stream: SocketStream) -> None:
    """Reset a connection: what lies unread at either side is lost."""
    at_once = struct.pack("ii", 1, 0)
    with suppress(*BROKEN, anyio.ClosedResourceError):
        stream.extra(SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
        await anyio.aclose_forcefully(stream)


async def _read_command(reader: BufferedByteReceiveStream) -> tuple[list[bytes], float]:
    """Read one command; return its parts, and when its first bytes were read."""
    first = await reader.receive_exactly(1)
    first_at = time.monotonic()
    count = int((first + await reader.receive_until(b"\r\n", LINE))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.receive_until(b"\r\n", LINE))[1:])
        parts.append((await reader.receive_exactly(size + 2))[:-2])
    return parts, first_at


def _command(*parts: str | bytes) -> bytes:
    raws = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raws) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in raws)
