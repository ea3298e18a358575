"""One cache, parent or origin: an actor that sends it relays and tells how each ended."""

import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cometseam.counters import COUNTERS, invariant
from cometseam.mailbox import Mailbox
from cometseam.protocol import Malformed
from cometseam.protocol.resp import Answer, Decoder, write_request, write_stop
from cometseam.settings import Links
from cometseam.transport.buffers import Pool
from cometseam.transport.clock import Clock, Timer, Timers
from cometseam.transport.connection import Connection, Outgoing, Part

LEFT_BEHIND = 1024  # relays given up on a connection that are remembered, for answers that crossed the end


class How(StrEnum):
    """How a relay ended."""

    ANSWERED = "answered"
    UNSENT = "unsent"  # given up before it was written whole: it never ran
    UNCONNECTED = "unconnected"  # no connection came up, or it broke before the relay was written whole
    BROKEN = "broken"  # the connection broke after it was written whole
    TIMED_OUT = "timed_out"
    GIVEN_UP = "given_up"


@dataclass(slots=True, eq=False)
class Ask:
    """A relay to be sent: one is out for a pull at a time."""

    pull: int
    relay: int
    id: str
    fields: dict[str, str]
    body: list[memoryview]
    asked_at: float
    due: float
    timer: Timer | None = None
    channel: "Channel | None" = None
    outgoing: Outgoing | None = None
    written: bool = False


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Stop waiting for a relay."""

    pull: int
    relay: int


@dataclass(frozen=True, slots=True)
class End:
    """A relay has ended."""

    ask: Ask
    how: How
    answer: Answer | None = None


class Channel:
    """One connection to the peer, coming up or open."""

    def __init__(self, peer: "Peer") -> None:
        self.peer = peer
        self.connection: Connection | None = None
        self.asks: dict[str, Ask] = {}  # by id; one leaves when it has ended
        self.left: OrderedDict[str, None] = OrderedDict()  # past LEFT_BEHIND the oldest leaves
        self.used_at = 0.0
        self._decoder = Decoder(peer.pool.room)

    async def run(self) -> None:
        """Connect, and read answers until the connection ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with anyio.fail_after(self.peer.links.connect_within / 1000.0):
                try:
                    sock.connect(self.peer.address)
                except BlockingIOError:
                    await anyio.wait_writable(sock)
                if failed := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(failed, "not connected")
        except (OSError, TimeoutError):
            sock.close()
            COUNTERS.add("peer.not_connected")
            self.peer.lost(self, came_up=False)
            return
        except BaseException:
            sock.close()
            raise
        COUNTERS.add("peer.connected")
        self.connection = Connection(sock, self.peer.pool)
        self.used_at = self.peer.clock.now()
        self.peer.came_up()
        try:
            await self.connection.run(self._feed)
        except Exception as error:
            COUNTERS.add("peer.exception")
            logger.opt(exception=error).error("{}: a connection failed", self.peer.name)
        finally:
            self._decoder.close()
            self.peer.lost(self, came_up=True)

    def _feed(self, data: memoryview) -> int:
        answers: list[Answer] = []
        try:
            taken = self._decoder.feed(data, answers)
            for answer in answers:
                self._answer(answer)
        except Malformed as error:
            COUNTERS.add("peer.bad_input")
            logger.warning("{} sent what can't be used: {}", self.peer.name, error)
            self.close()
            return len(data)
        return taken

    def _answer(self, answer: Answer) -> None:
        ask = self.asks.pop(answer.id, None)
        if ask is not None:
            self.used_at = self.peer.clock.now()
            self.peer.end(ask, How.ANSWERED, answer)
            return
        if answer.body is not None:
            answer.body.free()
        if answer.id not in self.left:
            raise Malformed(f"an answer to nothing that was asked: {answer.id[:40]}")
        COUNTERS.add("peer.late_answer")

    def send(self, ask: Ask) -> None:
        """Write a relay."""
        assert self.connection is not None
        self.asks[ask.id] = ask
        ask.channel = self
        self.used_at = self.peer.clock.now()
        ask.fields["ttl"] = str(max(round(ask.due - self.used_at), 1))
        size = sum(len(part) for part in ask.body)
        head = write_request(ask.id, ask.fields, size)
        parts: list[Part] = [head, *ask.body, b"\r\n"] if size else [head + b"\r\n"]

        def written(whole: bool) -> None:
            ask.written = whole

        ask.outgoing = self.connection.send(parts, written)

    def give_up(self, ask: Ask) -> None:
        """Take a relay back where nothing of it was written, else write that it is given up."""
        assert self.connection is not None
        self.asks.pop(ask.id, None)
        if ask.written:
            self.left[ask.id] = None
            if len(self.left) > LEFT_BEHIND:
                self.left.popitem(last=False)
            stop = self.connection.send([write_stop(ask.id)])
            if self.connection.is_stuck and stop.parts:
                # A peer that takes no more bytes would hear of it too late; closing tells at once.
                self.close()
        elif ask.outgoing is not None and not self.connection.withdraw(ask.outgoing):
            self.close()

    def close(self) -> None:
        """End the connection, and with it all that is out on it."""
        if self.connection is not None:
            self.connection.close()


@dataclass(slots=True)
class Peer:
    """The actor: its mailbox, its connections and what is out to it."""

    name: str
    address: tuple[str, int]
    links: Links
    most_channels: int
    pool: Pool
    clock: Clock
    timers: Timers
    report: Callable[[End], None]
    mailbox: Mailbox[Ask | GiveUp]
    leaving: bool = False
    _channels: list[Channel] = field(default_factory=list)
    _waiting: list[Ask] = field(default_factory=list)  # for a connection; each leaves by its own time-out
    _out: dict[int, Ask] = field(default_factory=dict)  # by pull
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Carry out what the mailbox says, until stopped."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                message = await self.mailbox.take()
                try:
                    if isinstance(message, Ask):
                        self._ask(message)
                    elif (ask := self._out.get(message.pull)) and ask.relay == message.relay:
                        self._give_up(ask, How.GIVEN_UP)
                except Exception as error:
                    COUNTERS.add("peer.exception")
                    logger.opt(exception=error).error("{}: a message failed", self.name)
                    if isinstance(message, Ask):
                        self.end(message, How.UNCONNECTED)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is out or waits."""
        return not self._out and not len(self.mailbox)

    def _ask(self, ask: Ask) -> None:
        invariant(ask.pull not in self._out, "one relay of a pull out at a time")
        self._out[ask.pull] = ask
        ask.timer = self.timers.at(ask.due, lambda: self._give_up(ask, How.TIMED_OUT))
        self._waiting.append(ask)
        self._place()

    def _place(self) -> None:
        """Give what waits to connections; bring another up where all that are open are at work."""
        now = self.clock.now()
        for channel in list(self._channels):
            # A peer closes what is idle: what is written just then would be lost.
            if channel.connection and not channel.asks and now - channel.used_at > self._idle():
                channel.close()
        left: list[Ask] = []
        for ask in self._waiting:
            free = [c for c in self._channels if c.connection and not c.connection.closed
                    and len(c.asks) < self.links.streams
                    and ask.id not in c.left and ask.id not in c.asks]  # fmt: skip
            best = min(free, key=lambda c: (c.connection.is_stuck, len(c.asks)), default=None)  # type: ignore[union-attr]
            coming = any(c.connection is None for c in self._channels)
            if not coming and (best is None or best.asks) and len(self._channels) < self.most_channels:
                self._open()
            if best is None:
                left.append(ask)
            else:
                best.send(ask)
        self._waiting = left

    def _idle(self) -> float:
        return self.links.idle - self.links.connect_within

    def _open(self) -> None:
        assert self._tasks is not None
        channel = Channel(self)
        self._channels.append(channel)
        COUNTERS.see("peer.connections_each", len(self._channels))
        self._tasks.start_soon(channel.run)

    def came_up(self) -> None:
        """A connection is open."""
        self._place()

    def lost(self, channel: Channel, came_up: bool) -> None:
        """A connection has ended or did not come up."""
        if channel in self._channels:
            self._channels.remove(channel)
        asks, channel.asks = list(channel.asks.values()), {}
        for ask in asks:
            self.end(ask, How.BROKEN if ask.written else How.UNCONNECTED)
        if not came_up and not any(c.connection for c in self._channels):
            for ask in list(self._waiting):
                self.end(ask, How.UNCONNECTED)
        elif self._waiting:
            self._place()

    def _give_up(self, ask: Ask, how: How) -> None:
        if ask.channel is not None:
            written = ask.written
            ask.channel.give_up(ask)
            self.end(ask, how if written else How.UNSENT)
        else:
            self.end(ask, How.UNSENT)

    def end(self, ask: Ask, how: How, answer: Answer | None = None) -> None:
        """Tell that a relay has ended."""
        if self._out.get(ask.pull) is not ask:
            return
        del self._out[ask.pull]
        if ask.timer is not None:
            ask.timer.cancel()
        if ask.channel is None and ask in self._waiting:
            self._waiting.remove(ask)
        self.report(End(ask, how, answer))

    def stop(self) -> None:
        """End the actor and its connections."""
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
