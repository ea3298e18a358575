"""Simulated discovery: long polls over HTTP/1.1, whose answers a test can delay, withhold or cut off.

It records when each answer was written completely, so that a test knows when a front was notified.
"""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from tests.drive import ENDS, Notifier


@dataclass
class Poll:
    """One poll of a front: its connection, the event that it asks from, and its time (monotonic seconds)."""

    connection: int
    since: int
    asked_at: float
    hold: float  # s that the poll may wait for events
    answered_at: float = 0.0  # when its answer was written completely; 0: it was not
    told: int = 0  # last event in its answer


@dataclass
class Discovery:
    """Discovery as one front sees it; events are numbered from 2, as 1 is the endpoint list of the start."""

    notifier: Notifier = field(default_factory=Notifier)
    events: list[dict[str, Any]] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    delay: float = 0.0  # s by which each answer is delayed
    silent: set[int] = field(default_factory=set)  # connections (by number, from 1) that are never answered
    ends: set[int] = field(default_factory=set)  # connections that are closed instead of answered
    connections: int = 0
    gate: anyio.Event | None = None  # holds all answers until it is set

    def add_event(self, **event: Any) -> int:
        """Add an event and return its number."""
        self.events.append({"seq": len(self.events) + 2, **event})
        self.notifier.notify()
        return len(self.events) + 1

    def drain(self, line: dict[str, Any]) -> int:
        """Add the event that an endpoint drains, and return its number."""
        changed = [line | {"status": "leaving"}]
        return self.add_event(fleet={"index": len(self.events) + 2, "snapshot": False, "endpoints": changed})

    def notified_at(self, event: int) -> float | None:
        """Return when the first answer with an event was written completely (monotonic seconds), or None."""
        times = [poll.answered_at for poll in self.polls if poll.since < event <= poll.told]
        return min(times, default=None)

    async def serve(self, stream: SocketStream) -> None:
        """Answer polls over one connection until it ends."""
        self.connections += 1
        number = self.connections
        reader = BufferedByteReceiveStream(stream)
        try:
            while True:
                head = (await reader.receive_until(b"\r\n\r\n", 4096)).decode()
                since = int(head.split("since=")[1].split("&")[0])
                timeout = int(head.split("timeout=")[1].split()[0]) / 1000.0
                poll = Poll(number, since, time.monotonic(), timeout)
                self.polls.append(poll)
                self.notifier.notify()
                if number in self.ends:
                    await stream.aclose()
                    return
                if number in self.silent:
                    await anyio.sleep_forever()
                await self._answer_poll(stream, poll)
        except ENDS:
            await stream.aclose()

    async def _answer_poll(self, stream: SocketStream, poll: Poll) -> None:
        with anyio.move_on_after(poll.hold):
            await self.notifier.wait_until(lambda: len(self.events) + 1 > poll.since)
        last = len(self.events) + 1
        new_events = [event for event in self.events if event["seq"] > poll.since]
        if self.gate is not None:
            await self.gate.wait()
        await anyio.sleep(self.delay)
        body = json.dumps({"seq": last, "results": new_events}).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        poll.answered_at, poll.told = time.monotonic(), last
        self.notifier.notify()
