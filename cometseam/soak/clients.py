"""Simulated clients: each sends requests at a mean rate, on one connection after the other."""

import struct
import time
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from random import Random

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from cometseam.protocol.frames import FrameType, write_fields, write_frame
from cometseam.soak.endpoints import CONNECTION_ERRORS
from cometseam.soak.history import Abandoned, History, Replied, Requested

RETRY_INTERVAL_S = 0.05  # before connecting again, and between checks for open requests
MAX_OPEN_STREAMS = 30
GROUP_COUNT = 4
OBJECT_COUNT = 400


@dataclass
class Target:
    """A front as clients see it; `life` counts the starts of its process."""

    number: int
    address: tuple[str, int]
    life: int = 0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class: its name on the wire, and the longest that clients wait for an answer (s)."""

    name: str
    limit: float


class Client:
    """One client of one front; every second one keeps sending after the front's NO_MORE."""

    def __init__(
        self, number: int, target: Target, classes: list[RequestClass], rate: float, history: History,
        requests: dict[str, Requested], random: Random, request_numbers: "count[int]",
    ) -> None:  # fmt: skip
        self._ignores_no_more = bool(number % 2)
        self._target, self._classes, self._rate = target, classes, rate
        self._history, self._requests, self._random, self._request_numbers = (
            history,
            requests,
            random,
            request_numbers,
        )
        self._open_requests: dict[int, str] = {}
        self._request_ids: dict[int, str] = {}  # by stream, also of answered ones
        self._may_send = True
        self._leave_event = anyio.Event()
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        """Send requests until cancelled, over one connection after the other."""
        while True:
            with suppress(*CONNECTION_ERRORS):
                await self._connect()
            await anyio.sleep(RETRY_INTERVAL_S)

    def leave(self) -> int:
        """Close the connection with its requests open; return how many there are."""
        open_count = len(self._open_requests)
        self._leave_event.set()
        return open_count

    async def _connect(self) -> None:
        life = self._target.life
        stream = await anyio.connect_tcp(*self._target.address)
        self._open_requests, self._request_ids, self._may_send, self._leave_event = (
            {},
            {},
            True,
            anyio.Event(),
        )
        by_client = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, stream, tasks.cancel_scope)
                tasks.start_soon(self._send, stream, life, tasks.cancel_scope)
                await self._leave_event.wait()
                by_client = True
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            for request in self._open_requests.values():
                self._history.add(Abandoned(time.monotonic(), request, by_client))
            self._open_requests = {}

    async def _send(self, stream: SocketStream, life: int, scope: anyio.CancelScope) -> None:
        for stream_number in count(1):
            await anyio.sleep(self._random.expovariate(self._rate))
            if not self._may_send:
                while self._open_requests:
                    await anyio.sleep(RETRY_INTERVAL_S)
                scope.cancel()
                return
            if len(self._open_requests) >= MAX_OPEN_STREAMS:
                continue
            request, frame = self._make_request(stream_number, life)
            self._open_requests[stream_number] = self._request_ids[stream_number] = request.request
            self._requests[request.request] = request
            self._history.add(request)
            await stream.send(frame)

    def _make_request(self, stream: int, life: int) -> tuple[Requested, bytes]:
        request_class, request_id = self._random.choice(self._classes), f"{next(self._request_numbers):016x}"
        item = min(int(self._random.paretovariate(0.8)), OBJECT_COUNT)
        limit = self._random.uniform(0.5, 1.0) * request_class.limit
        group = item % GROUP_COUNT
        fields = {
            "verb": request_class.name, "txn": request_id, "limit": f"{limit * 1000.0:.0f}",
            "item": f"{item:016x}", "nth": "0", "batch": str(group), "ram": "40",
        }  # fmt: skip
        frame = write_frame(FrameType.PULL, stream, write_fields(fields))
        request = Requested(
            time.monotonic(), self._target.number, life, request_id, limit, group, request_class.name
        )
        return request, frame

    async def _read(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                head = await reader.receive_exactly(9)
                length, frame_type, stream_number = struct.unpack(">IBI", head)
                payload = await reader.receive_exactly(length - 5) if length > 5 else b""
                if frame_type == FrameType.ANSWER and stream_number:
                    self._open_requests.pop(stream_number, None)
                    self._history.add(Replied(time.monotonic(), self._request_ids[stream_number], payload[0]))
                elif frame_type == FrameType.NO_MORE:
                    self._may_send = self._ignores_no_more
        except CONNECTION_ERRORS:
            scope.cancel()
