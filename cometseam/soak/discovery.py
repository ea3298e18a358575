"""Stand-ins for discovery: one log of events for all fronts, and a long poll for each front.

A front's numbers begin anew with each start: 1 is the list of its configuration.
"""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from cometseam.soak.endpoints import BROKEN, reset
from cometseam.soak.history import Changed, DiscoveryTrouble, History, Polled

HEAD = 4096  # bytes of a poll's head at most


@dataclass
class EventLog:
    """All events since the soak began, numbered from 1, and the list of endpoints as it is now."""

    history: History
    lines: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    grown: anyio.Event = field(default_factory=anyio.Event)

    def change(self, line: dict[str, Any], state: str) -> None:
        """Have an endpoint, given by its line in the list, be in another state."""
        name, line = line["name"], {**line, "status": state}
        if state == "left":
            self.lines.pop(name, None)
        else:
            self.lines[name] = line
        self._add({"fleet": {"snapshot": False, "endpoints": [line]}}, endpoint=name, state=state)

    def purge(self, group: int) -> None:
        """Purge a group of objects now."""
        event = {"invalidate": {"bucket": group, "time": round(time.time() * 1000.0)}}
        self._add(event, purged_group=group)

    def whole(self) -> list[dict[str, Any]]:
        """Return the list of endpoints, for a configuration."""
        listing = {"index": 1, "snapshot": True, "endpoints": list(self.lines.values())}
        return [{"seq": 1, "fleet": listing}]

    def _add(self, event: dict[str, Any], **told: Any) -> None:
        self.events.append(event)
        self.history.add(Changed(time.monotonic(), len(self.events), **told))
        self.grown.set()
        self.grown = anyio.Event()


class Discovery:
    """What one front polls."""

    def __init__(self, front: int, log: EventLog, port: int) -> None:
        self.front, self.life, self.base, self.port = front, 0, 0, port
        self.delay = 0.0  # s
        self._log = log
        self._tasks: TaskGroup | None = None
        self._streams: set[SocketStream] = set()
        self._silent: set[SocketStream] = set()
        self._listening: anyio.CancelScope | None = None
        self._down = 0  # faults that keep it down

    async def listen(self, tasks: TaskGroup) -> None:
        """Listen at its port of the loopback address."""
        self._tasks = tasks
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self._listening = anyio.CancelScope()
        tasks.start_soon(self._accept, listener, self._listening)

    async def silence(self, lasts: float) -> int:
        """Answer nothing more on the connections that there are; return how many."""
        self._silent |= self._streams
        return len(self._streams)

    async def slow(self, delay: float, lasts: float) -> None:
        """Write each answer late for a while."""
        began = time.monotonic()
        self.delay = delay
        await anyio.sleep(lasts)
        self.delay = 0.0
        until = time.monotonic() + delay  # answers begun before are late as well
        self._log.history.add(DiscoveryTrouble(began, until, self.front, delay))

    async def down(self, lasts: float) -> None:
        """Reset all connections and refuse new ones for a while."""
        began = time.monotonic()
        self._down += 1
        if self._listening is not None:
            self._listening.cancel()
        for stream in list(self._streams):
            await reset(stream)
        await anyio.sleep(lasts)
        self._down -= 1
        if not self._down and self._tasks is not None:
            await self.listen(self._tasks)
        self._log.history.add(DiscoveryTrouble(began, time.monotonic(), self.front, 0.0))

    async def _accept(self, listener: anyio.abc.Listener[SocketStream], scope: anyio.CancelScope) -> None:
        with scope:
            try:
                await listener.serve(self._serve)
            finally:
                with anyio.CancelScope(shield=True):
                    await listener.aclose()

    async def _serve(self, stream: SocketStream) -> None:
        reader, life = BufferedByteReceiveStream(stream), self.life
        self._streams.add(stream)
        try:
            while True:
                head = (await reader.receive_until(b"\r\n\r\n", HEAD)).decode()
                await self._poll(stream, reader, head, life)
        except (*BROKEN, ValueError, IndexError):
            pass
        finally:
            self._streams.discard(stream)
            self._silent.discard(stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _poll(
        self, stream: SocketStream, reader: BufferedByteReceiveStream, head: str, life: int
    ) -> None:
        asked_at, told, answered_at = time.monotonic(), 0, 0.0
        since = int(head.split("since=")[1].split("&")[0]) - 1 + self.base
        hold = int(head.split("timeout=")[1].split()[0]) / 1000.0
        try:
            if stream in self._silent:
                await self._until_closed(reader)
            with anyio.move_on_after(hold):
                while len(self._log.events) <= since:
                    await self._log.grown.wait()
            last = len(self._log.events)
            text = self._text(since, last)
            await anyio.sleep(self.delay)
            if stream in self._silent:
                await self._until_closed(reader)
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            told, answered_at = last, time.monotonic()
        finally:
            self._log.history.add(Polled(asked_at, self.front, life, answered_at, time.monotonic(), told))

    async def _until_closed(self, reader: BufferedByteReceiveStream) -> None:
        """Wait until the front has closed a connection; ends with what `receive` raises."""
        while True:
            await reader.receive()

    def _text(self, since: int, last: int) -> bytes:
        events = self._log.events[since:last]
        results = [{"seq": number - self.base + 1, **event} for number, event in enumerate(events, since + 1)]
        return json.dumps({"seq": last - self.base + 1, "results": results}).encode()
