"""Simulated discovery: one event log for all fronts, and a long-poll server for each front.

A front's event numbers begin anew with each start: 1 is the endpoint list of its configuration.
"""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from cometseam.soak.endpoints import CONNECTION_ERRORS, reset_connection
from cometseam.soak.history import Changed, DiscoveryTrouble, History, Polled

MAX_HEAD_BYTES = 4096  # of a poll's request line and headers


@dataclass
class EventLog:
    """All events since the soak began, numbered from 1, and the current endpoint list."""

    history: History
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    event_added: anyio.Event = field(default_factory=anyio.Event)

    def set_state(self, entry: dict[str, Any], state: str) -> None:
        """Put an endpoint, given by its entry, into a state; `left` removes it from the list."""
        name, entry = entry["name"], {**entry, "status": state}
        if state == "left":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self._add({"fleet": {"snapshot": False, "endpoints": [entry]}}, endpoint=name, state=state)

    def purge(self, group: int) -> None:
        """Add the purge of a group of objects, as of now."""
        event = {"invalidate": {"bucket": group, "time": round(time.time() * 1000.0)}}
        self._add(event, purged_group=group)

    def full_list(self) -> list[dict[str, Any]]:
        """Return the current endpoint list, in the form of a front's configuration."""
        listing = {"index": 1, "snapshot": True, "endpoints": list(self.entries.values())}
        return [{"seq": 1, "fleet": listing}]

    def _add(self, event: dict[str, Any], **details: Any) -> None:
        self.events.append(event)
        self.history.add(Changed(time.monotonic(), len(self.events), **details))
        self.event_added.set()
        self.event_added = anyio.Event()


class Discovery:
    """The discovery server that one front polls."""

    def __init__(self, front: int, log: EventLog, port: int) -> None:
        self.front, self.life, self.base, self.port = front, 0, 0, port
        self.delay = 0.0  # s
        self._log = log
        self._tasks: TaskGroup | None = None
        self._streams: set[SocketStream] = set()
        self._unanswered_streams: set[SocketStream] = set()
        self._listener_scope: anyio.CancelScope | None = None
        self._outages = 0  # overlapping faults that keep it down

    async def listen(self, tasks: TaskGroup) -> None:
        """Listen on its port of the loopback address."""
        self._tasks = tasks
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self._listener_scope = anyio.CancelScope()
        tasks.start_soon(self._accept, listener, self._listener_scope)

    async def stop_answering(self, duration: float) -> int:
        """Stop answering on the open connections, for as long as they last; return how many there are."""
        self._unanswered_streams |= self._streams
        return len(self._streams)

    async def delay_answers(self, delay: float, duration: float) -> None:
        """Delay each answer by `delay` seconds for `duration` seconds."""
        began_at = time.monotonic()
        self.delay = delay
        await anyio.sleep(duration)
        self.delay = 0.0
        until = time.monotonic() + delay  # answers begun before the end are late as well
        self._log.history.add(DiscoveryTrouble(began_at, until, self.front, delay))

    async def take_down(self, duration: float) -> None:
        """Reset all connections and refuse new ones for `duration` seconds."""
        began_at = time.monotonic()
        self._outages += 1
        if self._listener_scope is not None:
            self._listener_scope.cancel()
        for stream in list(self._streams):
            await reset_connection(stream)
        await anyio.sleep(duration)
        self._outages -= 1
        if not self._outages and self._tasks is not None:
            await self.listen(self._tasks)
        self._log.history.add(DiscoveryTrouble(began_at, time.monotonic(), self.front, 0.0))

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
                head = (await reader.receive_until(b"\r\n\r\n", MAX_HEAD_BYTES)).decode()
                await self._answer_poll(stream, reader, head, life)
        except (*CONNECTION_ERRORS, ValueError, IndexError):
            pass
        finally:
            self._streams.discard(stream)
            self._unanswered_streams.discard(stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _answer_poll(
        self, stream: SocketStream, reader: BufferedByteReceiveStream, head: str, life: int
    ) -> None:
        asked_at, last_answered, answered_at = time.monotonic(), 0, 0.0
        since = int(head.split("since=")[1].split("&")[0]) - 1 + self.base
        poll_timeout = int(head.split("timeout=")[1].split()[0]) / 1000.0
        try:
            if stream in self._unanswered_streams:
                await self._wait_until_closed(reader)
            with anyio.move_on_after(poll_timeout):
                while len(self._log.events) <= since:
                    await self._log.event_added.wait()
            last = len(self._log.events)
            body = self._encode_events(since, last)
            await anyio.sleep(self.delay)
            if stream in self._unanswered_streams:
                await self._wait_until_closed(reader)
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            last_answered, answered_at = last, time.monotonic()
        finally:
            self._log.history.add(
                Polled(asked_at, self.front, life, answered_at, time.monotonic(), last_answered)
            )

    async def _wait_until_closed(self, reader: BufferedByteReceiveStream) -> None:
        """Read until the front closes the connection; it ends with the exception that `receive` raises."""
        while True:
            await reader.receive()

    def _encode_events(self, since: int, last: int) -> bytes:
        events = self._log.events[since:last]
        results = [{"seq": number - self.base + 1, **event} for number, event in enumerate(events, since + 1)]
        return json.dumps({"seq": last - self.base + 1, "results": results}).encode()
