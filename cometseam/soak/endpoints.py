"""Simulated endpoints: they answer attempts, hang or reset connections on demand, record arrivals."""

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

CONNECTION_ERRORS = (
    anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError,
    anyio.DelimiterNotFound, OSError,
)  # fmt: skip
COPY_TAG = "4be0c1927d55a6f3"
MAX_LINE_BYTES = 64  # of a line that holds a length
WORK_RANGE_S = (0.002, 0.04)  # minimum and maximum time that an attempt takes
WRITE_TIMEOUT_S = 1.0
# Shares of all attempts.
MISS_SHARE = 0.3  # of cache lookups only
REJECT_SHARE = 0.02
FAILURE_SHARE = 0.02


class Endpoint:
    """A simulated cache, parent or origin."""

    def __init__(
        self, name: str, kind: str, history: History, requests: dict[str, Requested], random: Random
    ) -> None:
        self.name, self.kind = name, kind
        self.address = ""
        self.hangs_until = 0.0
        self._history, self._requests, self._random = history, requests, random
        self._write_locks: dict[SocketStream, anyio.Lock] = {}  # open connections
        self._in_flight: dict[tuple[int, str], anyio.CancelScope] = {}

    async def listen(self, tasks: TaskGroup) -> None:
        """Listen on a free port of the loopback address until the task group ends."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self._serve)

    async def reset(self) -> int:
        """Reset all connections; return how many there were."""
        streams = list(self._write_locks)
        for stream in streams:
            await reset_connection(stream)
        return len(streams)

    async def _serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        self._write_locks[stream] = anyio.Lock()
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    parts, first_at = await _read_command(reader)
                    self._handle(tasks, stream, parts, first_at)
        except* (*CONNECTION_ERRORS, ProtocolError, ValueError):
            pass
        finally:
            del self._write_locks[stream]
            for key in [key for key in self._in_flight if key[0] == id(stream)]:
                self._finish(stream, key[1], "ended")
            await anyio.aclose_forcefully(stream)

    def _handle(self, tasks: TaskGroup, stream: SocketStream, parts: list[bytes], first_at: float) -> None:
        command, request_id = parts[0], parts[1].decode()
        if command == b"HELO":
            tasks.start_soon(self._answer_greeting, stream, request_id)
        elif command == b"STOP":
            self._finish(stream, request_id, "stopped")
        elif command == b"REQ":
            fields = read_fields(parts[2].decode())
            self._record_arrival(request_id, fields, first_at)
            scope = self._in_flight[id(stream), request_id] = anyio.CancelScope()
            tasks.start_soon(self._run_attempt, stream, request_id, fields, scope)

    def _record_arrival(self, request_id: str, fields: dict[str, str], first_at: float) -> None:
        request = self._requests[request_id]
        self._history.add(Arrived(
            at=time.monotonic(), first_at=first_at, front=request.front, life=request.life,
            endpoint=self.name, source=fields.get("via", ""), request=request_id,
            time_left=float(fields["ttl"]) / 1000.0,
            oldest=float(fields.get("fresh", 0.0)) / 1000.0,
        ))  # fmt: skip

    async def _answer_greeting(self, stream: SocketStream, greeting_id: str) -> None:
        await anyio.sleep(max(self.hangs_until - time.monotonic(), 0.0))
        async with self._write_locks[stream]:
            await stream.send(_encode_command(greeting_id, "FIT", "-"))

    async def _run_attempt(
        self, stream: SocketStream, request_id: str, fields: dict[str, str], scope: anyio.CancelScope
    ) -> None:
        with scope:
            await anyio.sleep(self._random.uniform(*WORK_RANGE_S))
            while (hang_left := self.hangs_until - time.monotonic()) > 0.0:
                await anyio.sleep(hang_left)
            outcome = self._draw_outcome("via" in fields)
            body = b"x" * 64 if outcome == "DONE" else b""
            answer_fields = "-"
            if outcome == "DONE":
                reason = "fetched" if "via" in fields else "cached"
                answer_fields = f"tag={COPY_TAG},minted={round(time.time() * 1000.0)},why={reason}"
            if (id(stream), request_id) not in self._in_flight:
                return
            answer = _encode_command(request_id, outcome, answer_fields, body)
            with anyio.CancelScope(shield=True), anyio.move_on_after(WRITE_TIMEOUT_S):
                async with self._write_locks[stream]:
                    await stream.send(answer)
            self._finish(stream, request_id, outcome)

    def _draw_outcome(self, is_fill: bool) -> str:
        drawn = self._random.random()
        if drawn < REJECT_SHARE:
            return "WAIT"
        if drawn < REJECT_SHARE + FAILURE_SHARE:
            return "BROKE"
        return "LACK" if not is_fill and drawn < REJECT_SHARE + FAILURE_SHARE + MISS_SHARE else "DONE"

    def _finish(self, stream: SocketStream, request_id: str, outcome: str) -> None:
        scope = self._in_flight.pop((id(stream), request_id), None)
        if scope is not None:
            scope.cancel()
            self._history.add(Finished(time.monotonic(), self.name, request_id, outcome))


async def reset_connection(stream: SocketStream) -> None:
    """Reset a connection; data unread on either side is lost."""
    zero_linger = struct.pack("ii", 1, 0)
    with suppress(*CONNECTION_ERRORS, anyio.ClosedResourceError):
        stream.extra(SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
        await anyio.aclose_forcefully(stream)


async def _read_command(reader: BufferedByteReceiveStream) -> tuple[list[bytes], float]:
    """Read one command; return its parts, and the time at which its first byte was read."""
    first_byte = await reader.receive_exactly(1)
    first_at = time.monotonic()
    part_count = int((first_byte + await reader.receive_until(b"\r\n", MAX_LINE_BYTES))[1:])
    parts = []
    for _ in range(part_count):
        size = int((await reader.receive_until(b"\r\n", MAX_LINE_BYTES))[1:])
        parts.append((await reader.receive_exactly(size + 2))[:-2])
    return parts, first_at


def _encode_command(*parts: str | bytes) -> bytes:
    encoded = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in encoded)
