"""One cache, parent or origin: an actor that sends it relays and tells how each ended."""

import errno
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS, invariant
from cometseam.events import say
from cometseam.mailbox import Mailbox
from cometseam.protocol import Malformed
from cometseam.protocol.resp import (
    ALIVE,
    Answer,
    Decoder,
    write_hello,
    write_request,
    write_stop,
)  # fmt: skip
from cometseam.transport.attempt import Ask, End, GiveUp, How
from cometseam.transport.clock import Timer
from cometseam.transport.connection import Connection, Part
from cometseam.transport.surroundings import SETTLE, Surroundings

PAST = 4  # times its streams: ids that a connection has done with and remembers, for answers that come again
# Parts of the time that a connection may take to come up: a silence after which it is asked whether it works,
# and how long it may take to say so.
SILENCE, REPLY = 0.5, 0.5
# Times the same: how long a doubted connection may send bytes of no whole answer, or the rest of an answer
# come that nobody waits for any more (or as long again as it has taken so far, where that is longer).
LAST_WORD = 2.0


# Errors that tell of this machine's own want (descriptors, memory, ports, routes), not of the endpoint; and
# after how many ms a connection is tried again then.
LOCAL = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN,
    errno.ENETUNREACH,
})  # fmt: skip
TRY_AGAIN = 20.0


class Channel:
    """One connection to the peer, coming up or open."""

    def __init__(self, peer: "Peer", around: Surroundings) -> None:
        self._peer, self._around = peer, around
        self.connection: Connection | None = None
        self.asks: dict[str, Ask] = {}  # by id; one leaves when it has ended
        self.past: OrderedDict[str, bool] = OrderedDict()  # by id: given up? past PAST the oldest leaves
        self.used_at = self._heard_at = self._busy_since = 0.0
        self._sent = self._strays = 0  # relays written, and answers to none of those that are out
        self._watch: Timer | None = None  # while relays are out
        self._doubted = False  # silent: nothing new is sent until it is heard of
        self._doubted_at = 0.0
        self._inside_since = 0.0  # when the answer that is half read began; 0: there is none
        self._unwanted = False  # nobody waits for that answer: nothing new is sent behind it
        self.ended_here = False  # by this program, which has logged why
        self._decoder = Decoder(around.pool.room)

    def is_usable(self) -> bool:
        """Tell whether relays may be sent over it."""
        usable = self.connection is not None and not self.connection.closed
        return usable and not self._doubted and not self._unwanted

    def has_left(self) -> bool:
        """Tell whether the other side has ended it, as far as that shows and is not read yet."""
        return self.connection is not None and self.connection.has_left()

    def load(self, id: str) -> tuple[bool, int] | None:
        """Tell how busy it is; None: it can't take a relay of this id."""
        connection, out = self.connection, len(self.asks)
        if connection is None or not self.is_usable() or out >= self._around.links.streams:
            return None
        if id in self.asks or (id in self.past and (self.past[id] or self._around.share > 1)):
            return None  # a late answer to the earlier relay, or a second one, would be taken for this one's
        return connection.is_stuck, out

    async def run(self) -> None:
        """Connect, and read answers until the connection ends."""
        try:
            sock = await self._connect()
        except OSError as error:
            if error.errno in LOCAL:
                COUNTERS.add("peer.local_failure")
                say("peer.local_failure", peer=self._peer.name, why=str(error))
                self._peer.lost(self, came_up=False, locally=True)
                return
            self._not_connected(error)
            return
        except Exception as error:  # whatever it is, no connection came up
            self._not_connected(error)
            return
        COUNTERS.add("peer.connected")
        self.connection = Connection(sock, self._around.pool, self._around.clock)
        self.used_at = self._around.clock.now()
        try:
            self._peer.place()
            await self.connection.run(self._feed)
        except Exception as error:
            COUNTERS.add("peer.exception")
            say("peer.connection_failed", error, peer=self._peer.name)
        finally:
            if not self.ended_here:
                unanswered = len(self.asks)
                say("peer.connection_ended", peer=self._peer.name, why="by the peer", unanswered=unanswered)
            self._decoder.close()
            if self._watch is not None:
                self._watch.cancel()
            self._peer.lost(self, came_up=True)

    def _not_connected(self, error: Exception) -> None:
        COUNTERS.add("peer.not_connected")
        say("peer.not_connected", peer=self._peer.name, why=str(error))
        self._peer.lost(self, came_up=False)

    async def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with anyio.fail_after(self._around.links.connect_within / 1000.0):
                try:
                    sock.connect(self._peer.address)
                except BlockingIOError as error:
                    if error.errno != errno.EINPROGRESS:  # EAGAIN: no local port is free
                        raise
                    await anyio.wait_writable(sock)
                if failed := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(failed, "not connected")
        except BaseException:
            sock.close()
            raise
        return sock

    def _feed(self, data: memoryview) -> int:
        self._heard_at = self._around.clock.now()
        answers: list[Answer] = []
        taken, unusable = len(data), ""
        try:
            taken = self._decoder.feed(data, answers)
        except Malformed as error:
            unusable = str(error)
        if answers:
            self._doubted = self._unwanted = False
        if not self._decoder.is_inside:
            self._inside_since = 0.0
        elif answers or not self._inside_since:
            self._inside_since = self._heard_at
        for answer in answers:
            ask = self.asks.get(answer.id)
            if ask is not None and answer.copy_holds and not _names(answer, ask.command.held_tag):
                # A copy is called current only where a cache has named that very copy.
                unusable = "a client's copy that was not told of"
            elif ask is not None:
                del self.asks[answer.id]
                self._remember(answer.id, given_up=False)
                self.used_at = self._heard_at
                self._peer.end(ask, How.ANSWERED, answer)
                continue
            if answer.body is not None:
                answer.body.free()
            if answer.id in self.past:
                COUNTERS.add("peer.late_answer")
            elif answer.word != ALIVE:
                # Guards the relays beside it: what nobody asked for says nothing against the others.
                COUNTERS.add("peer.stray_answer")
                self._strays += 1
                if self._strays > self._sent + self._around.links.streams:
                    unusable = "more answers than it was asked for"
        if unusable:
            COUNTERS.add("peer.bad_input")
            say("peer.unusable", peer=self._peer.name, why=unusable)
            self.close("unusable input")
        self._peer.place()
        return taken

    def _remember(self, id: str, given_up: bool) -> None:
        self.past[id] = given_up
        if len(self.past) > PAST * self._around.links.streams:
            self.past.popitem(last=False)

    def _look(self) -> None:
        """Look whether the peer still works on what is out; it is looked at for as long as something is.

        Guards against a connection that stays open and is of no more use: what is out on it would only time
        out, each relay by itself. It harms where a peer stands still for so long and then goes on.
        """
        self._watch = None
        if not self.asks or self._doubted or self.connection is None or self.connection.closed:
            return
        silence = SILENCE * self._around.links.connect_within
        due = max(self._heard_at, self._busy_since) + silence
        now = self._around.clock.now()
        if self._inside_since and now - self._inside_since > self._around.links.longest_cut_off:
            # Guards against an answer that dribbles for ever: to the look above it is never silent.
            COUNTERS.add("peer.never_ends")
            self.close("an answer that does not end")
        elif due > now or self.connection.has_input():  # what is to be read is no silence
            self._watch = self._around.timers.at(max(due, now + silence), self._look)
        elif self._decoder.is_inside:
            COUNTERS.add("peer.stopped_short")
            self.close("an answer that stopped short")
        else:
            self._doubt()

    def send(self, ask: Ask) -> None:
        """Write a relay."""
        assert self.connection is not None
        now = self.used_at = self._around.clock.now()
        if not self.asks:
            self._busy_since = now
        self.asks[ask.command.id] = ask
        ask.channel = self
        self._sent += 1
        if self._watch is None:
            silence = SILENCE * self._around.links.connect_within
            self._watch = self._around.timers.at(now + silence, self._look)

        def written(whole: bool) -> None:
            ask.written_at = self._around.clock.now() if whole else 0.0

        def begin() -> bool:
            # It has waited behind others: what was learnt meanwhile counts, as at `Peer.place`.
            now = self._around.clock.now()
            is_settled = not self._around.write_wait()
            if is_settled and ask.may_begin(now) and ask.outgoing is not None:
                ask.outgoing.parts[0] = self._head(ask, now)  # less time is left than when it was queued
                return True
            self.asks.pop(ask.command.id, None)
            self._peer.end(ask, How.UNSENT)
            return False

        ask.begins()
        parts: list[Part] = [self._head(ask, self._around.clock.now()), *ask.body, b"\r\n"]
        ask.outgoing = self.connection.send(parts, written, begin)

    @staticmethod
    def _head(ask: Ask, now: float) -> bytes:
        """Return what comes before an attempt's body; its deadline is what is left as it is written."""
        size = sum(len(part) for part in ask.body)
        return write_request(ask.command, ask.due - now, size)

    def take_back(self, ask: Ask) -> bool:
        """Take a relay back, if nothing of it is written."""
        if ask.outgoing is None or self.connection is None or not self.connection.withdraw(ask.outgoing):
            return False
        self.asks.pop(ask.command.id, None)
        return True

    def give_up(self, ask: Ask) -> None:
        """Write that a relay of which something is written is given up."""
        assert self.connection is not None
        id = ask.command.id
        self.asks.pop(id, None)
        self._decoder.drop(id)
        half = self._decoder.half_read
        if half is not None and half not in self.asks and not self._unwanted:
            self._pass_over()
        if ask.written_at:
            self._remember(id, given_up=True)
            self.connection.send([write_stop(id)])
        if self.connection.is_stuck:
            # A peer that takes no more bytes would hear of it too late; its end tells at once.
            self.close("an attempt given up behind unwritten bytes")
        elif ask.written_at > self._heard_at:
            self._doubt()

    def _doubt(self) -> None:
        """Ask whether a silent connection works: that of a machine that has vanished stays open."""
        if self._doubted or self.connection is None:
            return
        self._doubted, self._doubted_at = True, self._around.clock.now()
        COUNTERS.add("peer.doubted")
        self.connection.send([write_hello("alive")])
        due = self._doubted_at + REPLY * self._around.links.connect_within
        self._around.timers.at(due, self._end_doubt)

    def _end_doubt(self) -> None:
        """End a doubted connection that has said nothing; one that sends is looked at again, to a bound.

        Guards against one that is left doubted, so unusable, for ever: by an answer that does not end.
        """
        if self._doubted and self.connection is not None and not self.connection.closed:
            links, now = self._around.links, self._around.clock.now()
            speaks = self.connection.has_input() or self._heard_at > self._doubted_at
            if speaks and now - self._doubted_at < LAST_WORD * links.connect_within:
                self._around.timers.at(now + REPLY * links.connect_within, self._end_doubt)
            else:
                COUNTERS.add("peer.silent")
                self.close("silent")
        elif self.asks and self._watch is None:
            self._look()

    def _pass_over(self) -> None:
        """Wait for the rest of an answer that nobody wants any more, to a bound."""
        self._unwanted = True
        began, now = self._inside_since, self._around.clock.now()
        rest = max(LAST_WORD * self._around.links.connect_within, now - began)

        def look() -> None:
            if self._unwanted and self._inside_since == began:
                COUNTERS.add("peer.never_ends")
                self.close("an unwanted answer that does not end")

        self._around.timers.at(now + rest, look)

    def close(self, why: str) -> None:
        """End the connection, and with it all that is out on it."""
        if self.connection is not None and not self.connection.closed:
            self.ended_here = True
            say("peer.connection_ended", peer=self._peer.name, why=why, unanswered=len(self.asks))
            self.connection.close()


def _names(answer: Answer, held_tag: str) -> bool:
    """Tell whether an answer names the copy that the client holds."""
    return bool(held_tag) and answer.tag == held_tag


@dataclass(slots=True)
class Peer:
    """The actor: its mailbox, its connections and what is out to it."""

    name: str
    address: tuple[str, int]
    around: Surroundings
    report: Callable[[End], None]
    mailbox: Mailbox[Ask | GiveUp]
    ends: Counter[str] = field(default_factory=Counter)  # how relays to it ended; gone with the peer
    _channels: list[Channel] = field(default_factory=list)
    _waiting: list[Ask] = field(default_factory=list)  # for a connection; each leaves by its own time-out
    _out: dict[int, Ask] = field(default_factory=dict)  # by pull
    _settling: bool = False
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
                    else:
                        self._give_up(message)
                except Exception as error:
                    COUNTERS.add("peer.exception")
                    say("peer.message_failed", error, peer=self.name)
                    if isinstance(message, Ask):
                        self.end(message, How.UNCONNECTED)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is out or waits."""
        return not self._out and not len(self.mailbox)

    def _ask(self, ask: Ask) -> None:
        invariant(ask.pull not in self._out, "one relay of a pull out at a time")
        self._out[ask.pull] = ask
        ask.timer = self.around.timers.at(ask.due, lambda: self._stop(ask, How.TIMED_OUT))
        if ask.begin_by < ask.due:  # it may wait behind others, on a connection that takes no bytes
            self.around.timers.at(ask.begin_by, lambda: self._give_up(GiveUp(ask, if_unsent=True)))
        self._waiting.append(ask)
        self.place()

    def _give_up(self, message: GiveUp) -> None:
        ask = message.ask
        if self._out.get(ask.pull) is not ask:
            return
        begun = ask.outgoing is not None and (ask.outgoing.begun or ask.written_at)
        if not (message.if_unsent and begun):
            self._stop(ask, How.GIVEN_UP)
        else:
            ask.wanted = False  # should its connection break before it is written whole, it is decided anew

    def place(self) -> None:
        """Give what waits to connections; bring another up where all that are open are at work."""
        if not self._waiting:
            return
        if wait := self.around.write_wait():
            if not self._settling:
                self._settling = True
                now = self.around.clock.now()
                self.around.timers.at(now + min(wait, SETTLE), self._settled)
            return
        # A peer closes what is idle: what is written just then would be lost.
        links = self.around.links
        now = self.around.clock.now()
        fresh = now - (links.idle - links.connect_within)
        for channel in self._channels[:]:
            if not channel.asks and channel.connection and channel.used_at < fresh:
                channel.close("idle")
        waiting, self._waiting, share = self._waiting, [], self.around.share
        for ask in waiting:
            # Every relay passes here just before it is written, however long it has waited for a connection.
            if not ask.may_begin(now):
                self.end(ask, How.UNSENT)
                continue
            best, least, coming = self._choose(ask)
            # Guards against a relay written whole to a connection whose end lies unread: it might have run.
            while best is not None and not best.asks and best.has_left():
                COUNTERS.add("peer.had_left")
                best.close("its end lies unread")
                best, least, coming = self._choose(ask)
            if least >= (False, links.streams // 8) and not coming and len(self._channels) < share:
                self._open()
            if best is not None:
                best.send(ask)
            else:
                self._waiting.append(ask)

    def _settled(self) -> None:
        self._settling = False
        self.place()

    def _choose(self, ask: Ask) -> tuple["Channel | None", tuple[bool, int], bool]:
        """Return the least busy connection that can take a relay, how busy, and whether one comes up."""
        best: Channel | None = None
        least, coming = (True, self.around.links.streams), False
        for channel in self._channels:
            load = channel.load(ask.command.id)
            if load is not None and load < least:
                best, least = channel, load
            coming = coming or channel.connection is None
        return best, least, coming

    def _open(self) -> None:
        assert self._tasks is not None
        channel = Channel(self, self.around)
        self._channels.append(channel)
        COUNTERS.see("peer.connections_each", len(self._channels))
        self._tasks.start_soon(channel.run)

    def lost(self, channel: Channel, came_up: bool, locally: bool = False) -> None:
        """A connection has ended or did not come up; `locally`: by no fault of the endpoint."""
        self._channels.remove(channel)
        asks, channel.asks = list(channel.asks.values()), {}
        for ask in asks:
            if ask.written_at:
                self.end(ask, How.BROKEN)
            elif ask.again or not ask.wanted:
                self.end(ask, How.UNSENT)
            else:  # a connection that breaks when new or idle tells nothing of the peer: it takes another
                ask.channel, ask.outgoing, ask.again = None, None, True
                self._waiting.append(ask)
        if came_up:
            self.place()
        elif locally:  # what waits goes on waiting, to its own end
            self.around.timers.at(self.around.clock.now() + TRY_AGAIN, self.place)
        elif not any(channel.is_usable() for channel in self._channels):
            for ask in list(self._waiting):
                self.end(ask, How.UNCONNECTED)

    def _stop(self, ask: Ask, how: How) -> None:
        """Give a relay up: that is written before its end is told, so before the pull's next is sent."""
        if ask.channel is None or ask.channel.take_back(ask):
            self.end(ask, How.UNSENT)
        else:
            whole = bool(ask.written_at)
            ask.channel.give_up(ask)
            self.end(ask, how if whole else How.UNCONNECTED)

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
        for channel in self._channels:
            channel.close("the endpoint has gone")
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
