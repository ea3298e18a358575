"""Stand-ins for clients: they ask at a rate, on connections that they use until these end."""

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
from cometseam.soak.endpoints import BROKEN
from cometseam.soak.history import Abandoned, History, Replied, Requested

AGAIN = 0.05  # s from the end of a connection to the next
MOST_STREAMS = 30
GROUPS, OBJECTS = 4, 400


@dataclass
class Target:
    """A front as clients see it."""

    number: int
    address: tuple[str, int]
    life: int = 0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What clients ask for: the class by its wire name, and how long they wait (s)."""

    name: str
    limit: float


class Client:
    """One client of one front; every other one goes on sending although it is asked to send no more."""

    def __init__(
        self, number: int, target: Target, classes: list[RequestClass], rate: float, history: History,
        requests: dict[str, Requested], chance: Random, serial: "count[int]",
    ) -> None:  # fmt: skip
        self._is_stubborn = bool(number % 2)
        self._target, self._classes, self._rate = target, classes, rate
        self._history, self._requests, self._chance, self._serial = history, requests, chance, serial
        self._open: dict[int, str] = {}
        self._names: dict[int, str] = {}  # of all streams of the connection
        self._may_send = True
        self._leave = anyio.Event()
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        """Ask until cancelled, over one connection after the other."""
        while True:
            with suppress(*BROKEN):
                await self._connect()
            await anyio.sleep(AGAIN)

    def leave(self) -> int:
        """Close the connection with requests open on it; return how many there were."""
        left = len(self._open)
        self._leave.set()
        return left

    async def _connect(self) -> None:
        life = self._target.life
        stream = await anyio.connect_tcp(*self._target.address)
        self._open, self._names, self._may_send, self._leave = {}, {}, True, anyio.Event()
        by_client = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, stream, tasks.cancel_scope)
                tasks.start_soon(self._send, stream, life, tasks.cancel_scope)
                await self._leave.wait()
                by_client = True
                tasks.cancel_scope.cancel()
        except* BROKEN:
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            for request in self._open.values():
                self._history.add(Abandoned(time.monotonic(), request, by_client))
            self._open = {}

    async def _send(self, stream: SocketStream, life: int, scope: anyio.CancelScope) -> None:
        for number in count(1):
            await anyio.sleep(self._chance.expovariate(self._rate))
            if not self._may_send:
                while self._open:
                    await anyio.sleep(AGAIN)
                scope.cancel()
                return
            if len(self._open) >= MOST_STREAMS:
                continue
            request, data = self._request(number, life)
            self._open[number] = self._names[number] = request.request
            self._requests[request.request] = request
            self._history.add(request)
            await stream.send(data)

    def _request(self, stream: int, life: int) -> tuple[Requested, bytes]:
        asked, name = self._chance.choice(self._classes), f"{next(self._serial):016x}"
        item = min(int(self._chance.paretovariate(0.8)), OBJECTS)
        limit = self._chance.uniform(0.5, 1.0) * asked.limit
        group = item % GROUPS
        fields = {
            "verb": asked.name, "txn": name, "limit": f"{limit * 1000.0:.0f}", "item": f"{item:016x}",
            "nth": "0", "batch": str(group), "ram": "40",
        }  # fmt: skip
        data = write_frame(FrameType.PULL, stream, write_fields(fields))
        request = Requested(time.monotonic(), self._target.number, life, name, limit, group, asked.name)
        return request, data

    async def _read(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                head = await reader.receive_exactly(9)
                length, kind, number = struct.unpack(">IBI", head)
                payload = await reader.receive_exactly(length - 5) if length > 5 else b""
                if kind == FrameType.ANSWER and number:
                    self._open.pop(number, None)
                    self._history.add(Replied(time.monotonic(), self._names[number], payload[0]))
                elif kind == FrameType.NO_MORE:
                    self._may_send = self._is_stubborn
        except BROKEN:
            scope.cancel()
