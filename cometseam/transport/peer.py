"""One cache, parent or origin: an actor that sends it relays and tells how each ended."""

import errno
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS, check_invariant
from cometseam.events import log_event
from cometseam.mailbox import Mailbox
from cometseam.protocol import ProtocolError
from cometseam.protocol.resp import (
    HELLO_REPLY,
    Answer,
    Decoder,
    write_hello,
    write_request,
    write_stop,
)  # fmt: skip
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.clock import Timer
from cometseam.transport.connection import Chunk, Connection
from cometseam.transport.resources import RESUME_SETTLE_MS, ProcessResources

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

    def __init__(self, peer: "Peer", around: ProcessResources) -> None:
        self._peer, self._around = peer, around
        self.connection: Connection | None = None
        self.attempts: dict[str, Attempt] = {}  # by id; one leaves when it has ended
        # By id: given up? past PAST the oldest leaves.
        self.recent_ids: OrderedDict[str, bool] = OrderedDict()
        self.used_at = self._heard_at = self._busy_since = 0.0
        self._sent = self._strays = 0  # relays written, and answers to none of those that are out
        self._watch: Timer | None = None  # while relays are out
        self._doubted = False  # silent: nothing new is sent until it is heard of
        self._doubted_at = 0.0
        self._inside_since = 0.0  # when the answer that is half read began; 0: there is none
        self._unwanted = False  # nobody waits for that answer: nothing new is sent behind it
        self.closed_locally = False  # by this program, which has logged why
        self._decoder = Decoder(around.pool.allocate)

    def is_usable(self) -> bool:
        """Tell whether relays may be sent over it."""
        usable = self.connection is not None and not self.connection.closed
        return usable and not self._doubted and not self._unwanted

    def remote_has_closed(self) -> bool:
        """Tell whether the other side has ended it, as far as that shows and is not read yet."""
        return self.connection is not None and self.connection.remote_has_closed()

    def load(self, id: str) -> tuple[bool, int] | None:
        """Tell how busy it is; None: it can't take a relay of this id."""
        connection, out = self.connection, len(self.attempts)
        if connection is None or not self.is_usable() or out >= self._around.links.max_streams:
            return None
        if id in self.attempts or (
            id in self.recent_ids and (self.recent_ids[id] or self._around.connections_per_peer > 1)
        ):
            return None  # a late answer to the earlier relay, or a second one, would be taken for this one's
        return connection.is_write_blocked, out

    async def run(self) -> None:
        """Connect, and read answers until the connection ends."""
        try:
            sock = await self._connect()
        except OSError as error:
            if error.errno in LOCAL:
                COUNTERS.add("peer.local_failure")
                log_event("peer.local_failure", peer=self._peer.name, why=str(error))
                self._peer.channel_closed(self, was_connected=False, local_failure=True)
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
            self._peer.dispatch()
            await self.connection.run(self._feed)
        except Exception as error:
            COUNTERS.add("peer.exception")
            log_event("peer.connection_failed", error, peer=self._peer.name)
        finally:
            if not self.closed_locally:
                unanswered = len(self.attempts)
                log_event(
                    "peer.connection_ended", peer=self._peer.name, why="by the peer", unanswered=unanswered
                )
            self._decoder.close()
            if self._watch is not None:
                self._watch.cancel()
            self._peer.channel_closed(self, was_connected=True)

    def _not_connected(self, error: Exception) -> None:
        COUNTERS.add("peer.not_connected")
        log_event("peer.not_connected", peer=self._peer.name, why=str(error))
        self._peer.channel_closed(self, was_connected=False)

    async def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with anyio.fail_after(self._around.links.connect_timeout / 1000.0):
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
        except ProtocolError as error:
            unusable = str(error)
        if answers:
            self._doubted = self._unwanted = False
        if not self._decoder.has_partial_answer:
            self._inside_since = 0.0
        elif answers or not self._inside_since:
            self._inside_since = self._heard_at
        for answer in answers:
            ask = self.attempts.get(answer.id)
            if ask is not None and answer.is_not_modified and not _names(answer, ask.command.held_tag):
                # A copy is called current only where a cache has named that very copy.
                unusable = "a client's copy that was not told of"
            elif ask is not None:
                del self.attempts[answer.id]
                self._remember(answer.id, given_up=False)
                self.used_at = self._heard_at
                self._peer.finish_attempt(ask, EndReason.ANSWERED, answer)
                continue
            if answer.body is not None:
                answer.body.free()
            if answer.id in self.recent_ids:
                COUNTERS.add("peer.late_answer")
            elif answer.word != HELLO_REPLY:
                # Guards the relays beside it: what nobody asked for says nothing against the others.
                COUNTERS.add("peer.stray_answer")
                self._strays += 1
                if self._strays > self._sent + self._around.links.max_streams:
                    unusable = "more answers than it was asked for"
        if unusable:
            COUNTERS.add("peer.bad_input")
            log_event("peer.unusable", peer=self._peer.name, why=unusable)
            self.close("unusable input")
        self._peer.dispatch()
        return taken

    def _remember(self, id: str, given_up: bool) -> None:
        self.recent_ids[id] = given_up
        if len(self.recent_ids) > PAST * self._around.links.max_streams:
            self.recent_ids.popitem(last=False)

    def _look(self) -> None:
        """Look whether the peer still works on what is out; it is looked at for as long as something is.

        Guards against a connection that stays open and is of no more use: what is out on it would only time
        out, each relay by itself. It harms where a peer stands still for so long and then goes on.
        """
        self._watch = None
        if not self.attempts or self._doubted or self.connection is None or self.connection.closed:
            return
        silence = SILENCE * self._around.links.connect_timeout
        due = max(self._heard_at, self._busy_since) + silence
        now = self._around.clock.now()
        if self._inside_since and now - self._inside_since > self._around.links.max_deadline:
            # Guards against an answer that dribbles for ever: to the look above it is never silent.
            COUNTERS.add("peer.never_ends")
            self.close("an answer that does not end")
        elif due > now or self.connection.has_input():  # what is to be read is no silence
            self._watch = self._around.timers.call_at(max(due, now + silence), self._look)
        elif self._decoder.has_partial_answer:
            COUNTERS.add("peer.stopped_short")
            self.close("an answer that stopped short")
        else:
            self._doubt()

    def send(self, ask: Attempt) -> None:
        """Write a relay."""
        assert self.connection is not None
        now = self.used_at = self._around.clock.now()
        if not self.attempts:
            self._busy_since = now
        self.attempts[ask.command.id] = ask
        ask.channel = self
        self._sent += 1
        if self._watch is None:
            silence = SILENCE * self._around.links.connect_timeout
            self._watch = self._around.timers.call_at(now + silence, self._look)

        def written(whole: bool) -> None:
            ask.written_at = self._around.clock.now() if whole else 0.0

        def begin() -> bool:
            # It has waited behind others: what was learnt meanwhile counts, as at `Peer.dispatch`.
            now = self._around.clock.now()
            is_settled = not self._around.write_wait()
            if is_settled and ask.may_begin(now) and ask.outgoing is not None:
                ask.outgoing.chunks[0] = self._head(ask, now)  # less time is left than when it was queued
                return True
            self.attempts.pop(ask.command.id, None)
            self._peer.finish_attempt(ask, EndReason.UNSENT)
            return False

        ask.on_begin()
        parts: list[Chunk] = [self._head(ask, self._around.clock.now()), *ask.body, b"\r\n"]
        ask.outgoing = self.connection.send(parts, written, begin)

    @staticmethod
    def _head(ask: Attempt, now: float) -> bytes:
        """Return what comes before an attempt's body; its deadline is what is left as it is written."""
        size = sum(len(part) for part in ask.body)
        return write_request(ask.command, ask.deadline - now, size)

    def withdraw(self, ask: Attempt) -> bool:
        """Take a relay back, if nothing of it is written."""
        if ask.outgoing is None or self.connection is None or not self.connection.withdraw(ask.outgoing):
            return False
        self.attempts.pop(ask.command.id, None)
        return True

    def give_up(self, ask: Attempt) -> None:
        """Write that a relay of which something is written is given up."""
        assert self.connection is not None
        id = ask.command.id
        self.attempts.pop(id, None)
        self._decoder.discard(id)
        half = self._decoder.partial_answer_id
        if half is not None and half not in self.attempts and not self._unwanted:
            self._pass_over()
        if ask.written_at:
            self._remember(id, given_up=True)
            self.connection.send([write_stop(id)])
        if self.connection.is_write_blocked:
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
        due = self._doubted_at + REPLY * self._around.links.connect_timeout
        self._around.timers.call_at(due, self._end_doubt)

    def _end_doubt(self) -> None:
        """End a doubted connection that has said nothing; one that sends is looked at again, to a bound.

        Guards against one that is left doubted, so unusable, for ever: by an answer that does not end.
        """
        if self._doubted and self.connection is not None and not self.connection.closed:
            links, now = self._around.links, self._around.clock.now()
            speaks = self.connection.has_input() or self._heard_at > self._doubted_at
            if speaks and now - self._doubted_at < LAST_WORD * links.connect_timeout:
                self._around.timers.call_at(now + REPLY * links.connect_timeout, self._end_doubt)
            else:
                COUNTERS.add("peer.silent")
                self.close("silent")
        elif self.attempts and self._watch is None:
            self._look()

    def _pass_over(self) -> None:
        """Wait for the rest of an answer that nobody wants any more, to a bound."""
        self._unwanted = True
        began, now = self._inside_since, self._around.clock.now()
        rest = max(LAST_WORD * self._around.links.connect_timeout, now - began)

        def look() -> None:
            if self._unwanted and self._inside_since == began:
                COUNTERS.add("peer.never_ends")
                self.close("an unwanted answer that does not end")

        self._around.timers.call_at(now + rest, look)

    def close(self, why: str) -> None:
        """End the connection, and with it all that is out on it."""
        if self.connection is not None and not self.connection.closed:
            self.closed_locally = True
            log_event("peer.connection_ended", peer=self._peer.name, why=why, unanswered=len(self.attempts))
            self.connection.close()


def _names(answer: Answer, held_tag: str) -> bool:
    """Tell whether an answer names the copy that the client holds."""
    return bool(held_tag) and answer.tag == held_tag


@dataclass(slots=True)
class Peer:
    """The actor: its mailbox, its connections and what is out to it."""

    name: str
    address: tuple[str, int]
    resources: ProcessResources
    on_attempt_ended: Callable[[AttemptEnded], None]
    mailbox: Mailbox[Attempt | GiveUp]
    end_counts: Counter[str] = field(default_factory=Counter)  # how relays to it ended; gone with the peer
    _channels: list[Channel] = field(default_factory=list)
    _waiting: list[Attempt] = field(default_factory=list)  # for a connection; each leaves by its own time-out
    _out: dict[int, Attempt] = field(default_factory=dict)  # by pull
    _settling: bool = False
    _tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Carry out what the mailbox says, until stopped."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                message = await self.mailbox.take()
                try:
                    if isinstance(message, Attempt):
                        self._ask(message)
                    else:
                        self._give_up(message)
                except Exception as error:
                    COUNTERS.add("peer.exception")
                    log_event("peer.message_failed", error, peer=self.name)
                    if isinstance(message, Attempt):
                        self.finish_attempt(message, EndReason.UNCONNECTED)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is out or waits."""
        return not self._out and not len(self.mailbox)

    def _ask(self, ask: Attempt) -> None:
        check_invariant(ask.pull_number not in self._out, "one relay of a pull out at a time")
        self._out[ask.pull_number] = ask
        ask.timer = self.resources.timers.call_at(ask.deadline, lambda: self._stop(ask, EndReason.TIMED_OUT))
        if ask.begin_by < ask.deadline:  # it may wait behind others, on a connection that takes no bytes
            self.resources.timers.call_at(ask.begin_by, lambda: self._give_up(GiveUp(ask, if_unsent=True)))
        self._waiting.append(ask)
        self.dispatch()

    def _give_up(self, message: GiveUp) -> None:
        ask = message.attempt
        if self._out.get(ask.pull_number) is not ask:
            return
        begun = ask.outgoing is not None and (ask.outgoing.begun or ask.written_at)
        if not (message.if_unsent and begun):
            self._stop(ask, EndReason.GIVEN_UP)
        else:
            ask.wanted = False  # should its connection break before it is written whole, it is decided anew

    def dispatch(self) -> None:
        """Give what waits to connections; bring another up where all that are open are at work."""
        if not self._waiting:
            return
        if wait := self.resources.write_wait():
            if not self._settling:
                self._settling = True
                now = self.resources.clock.now()
                self.resources.timers.call_at(now + min(wait, RESUME_SETTLE_MS), self._settled)
            return
        # A peer closes what is idle: what is written just then would be lost.
        links = self.resources.links
        now = self.resources.clock.now()
        fresh = now - (links.idle_timeout - links.connect_timeout)
        for channel in self._channels[:]:
            if not channel.attempts and channel.connection and channel.used_at < fresh:
                channel.close("idle")
        waiting, self._waiting, share = self._waiting, [], self.resources.connections_per_peer
        for ask in waiting:
            # Every relay passes here just before it is written, however long it has waited for a connection.
            if not ask.may_begin(now):
                self.finish_attempt(ask, EndReason.UNSENT)
                continue
            best, least, coming = self._choose(ask)
            # Guards against a relay written whole to a connection whose end lies unread: it might have run.
            while best is not None and not best.attempts and best.remote_has_closed():
                COUNTERS.add("peer.had_left")
                best.close("its end lies unread")
                best, least, coming = self._choose(ask)
            if least >= (False, links.max_streams // 8) and not coming and len(self._channels) < share:
                self._open()
            if best is not None:
                best.send(ask)
            else:
                self._waiting.append(ask)

    def _settled(self) -> None:
        self._settling = False
        self.dispatch()

    def _choose(self, ask: Attempt) -> tuple["Channel | None", tuple[bool, int], bool]:
        """Return the least busy connection that can take a relay, how busy, and whether one comes up."""
        best: Channel | None = None
        least, coming = (True, self.resources.links.max_streams), False
        for channel in self._channels:
            load = channel.load(ask.command.id)
            if load is not None and load < least:
                best, least = channel, load
            coming = coming or channel.connection is None
        return best, least, coming

    def _open(self) -> None:
        assert self._tasks is not None
        channel = Channel(self, self.resources)
        self._channels.append(channel)
        COUNTERS.record_max("peer.connections_each", len(self._channels))
        self._tasks.start_soon(channel.run)

    def channel_closed(self, channel: Channel, was_connected: bool, local_failure: bool = False) -> None:
        """A connection has ended or did not come up; `local_failure`: by no fault of the endpoint."""
        self._channels.remove(channel)
        asks, channel.attempts = list(channel.attempts.values()), {}
        for ask in asks:
            if ask.written_at:
                self.finish_attempt(ask, EndReason.BROKEN)
            elif ask.requeued or not ask.wanted:
                self.finish_attempt(ask, EndReason.UNSENT)
            else:  # a connection that breaks when new or idle tells nothing of the peer: it takes another
                ask.channel, ask.outgoing, ask.requeued = None, None, True
                self._waiting.append(ask)
        if was_connected:
            self.dispatch()
        elif local_failure:  # what waits goes on waiting, to its own end
            self.resources.timers.call_at(self.resources.clock.now() + TRY_AGAIN, self.dispatch)
        elif not any(channel.is_usable() for channel in self._channels):
            for ask in list(self._waiting):
                self.finish_attempt(ask, EndReason.UNCONNECTED)

    def _stop(self, ask: Attempt, how: EndReason) -> None:
        """Give a relay up: that is written before its end is told, so before the pull's next is sent."""
        if ask.channel is None or ask.channel.withdraw(ask):
            self.finish_attempt(ask, EndReason.UNSENT)
        else:
            whole = bool(ask.written_at)
            ask.channel.give_up(ask)
            self.finish_attempt(ask, how if whole else EndReason.UNCONNECTED)

    def finish_attempt(self, ask: Attempt, how: EndReason, answer: Answer | None = None) -> None:
        """Tell that a relay has ended."""
        if self._out.get(ask.pull_number) is not ask:
            return
        del self._out[ask.pull_number]
        if ask.timer is not None:
            ask.timer.cancel()
        if ask.channel is None and ask in self._waiting:
            self._waiting.remove(ask)
        self.on_attempt_ended(AttemptEnded(ask, how, answer))

    def stop(self) -> None:
        """End the actor and its connections."""
        for channel in self._channels:
            channel.close("the endpoint has gone")
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
