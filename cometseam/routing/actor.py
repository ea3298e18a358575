"""The module's actor: the only place that calls `Front.handle`.

It owns the pulls that are open, the list of caches by name, and the peers. Everything it is told comes
through its mailbox; purges, changes of the list and relays that ended come before new requests.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cometseam import interface as i
from cometseam.counters import COUNTERS, invariant
from cometseam.logic import Front
from cometseam.mailbox import Mailbox
from cometseam.protocol.changelog import Change, Fleet
from cometseam.protocol.frames import Code, Request
from cometseam.routing import translate
from cometseam.settings import Names
from cometseam.transport.client import Client
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.peer import Ask, End, GiveUp, How, Peer

OVERDUE = 15.0  # ms past a pull's cut-off at which it is answered whatever the module does


@dataclass(slots=True, eq=False)
class Open:
    """A pull that is owed an answer or whose relay is out; it leaves when neither holds."""

    number: int
    client: Client
    stream: int
    request: Request
    cut_off: float
    owed: bool = True
    relays: int = 0
    out: int = -1  # the cache that its relay is out to


@dataclass(frozen=True, slots=True)
class Taken:
    """A request has come in."""

    client: Client
    stream: int
    request: Request
    at: float


@dataclass(frozen=True, slots=True)
class Left:
    """A client no longer waits for a stream."""

    client: Client
    stream: int


Message = Taken | Left | End | list[Change] | i.Rang


class Router:
    """The actor round one `Front`."""

    def __init__(
        self,
        front: Front,
        names: Names,
        most_open: int,
        clock: Clock,
        timers: Timers,
        make_peer: Callable[[str, tuple[str, int], Callable[[End], None]], Peer],
    ) -> None:
        self._front, self._names, self._clock, self._timers = front, names, clock, timers
        self._make_peer = make_peer
        self._workloads = {name: place for place, name in enumerate(names.workloads)}
        self._roster = translate.Roster(names)
        self._peers: dict[int, Peer] = {}  # by cache; one leaves when its cache has gone and nothing is out
        self._mailbox: Mailbox[Message] = Mailbox(most_open)
        self._most_open = most_open
        self._open: dict[int, Open] = {}
        self._by_stream: dict[tuple[Client, int], Open] = {}
        self._last = 0
        self._events: deque[i.Event] = deque()  # what an action brought about at once
        self._tasks: TaskGroup | None = None
        self._listed = False
        self.draining = False

    # What others tell it

    def is_ready(self) -> bool:
        """Tell whether it can serve."""
        return self._listed and not self.draining

    def take(self, client: Client, stream: int, request: Request) -> bool:
        """Take a request in, unless as many are open as it may hold."""
        if len(self._open) + len(self._mailbox) >= self._most_open:
            COUNTERS.add("pull.no_room")
            return False
        return self._mailbox.offer(Taken(client, stream, request, self._clock.now()))

    def hang_up(self, client: Client, stream: int) -> None:
        """A client no longer waits."""
        self._mailbox.put_urgent(Left(client, stream))

    async def change(self, changes: list[Change]) -> None:
        """Take in events of the change log."""
        for change in changes:
            if isinstance(change, Fleet):
                self._roster.check(change)
        self._mailbox.put_urgent(changes)

    @property
    def owed(self) -> int:
        """Tell how many pulls are open."""
        return len(self._open) + len(self._mailbox)

    # The actor

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._handle(await self._mailbox.take())

    def _handle(self, message: Message) -> None:
        try:
            match message:
                case Taken():
                    self._taken(message)
                case End():
                    self._ended(message)
                case Left():
                    pull = self._by_stream.get((message.client, message.stream))
                    if pull is not None:
                        COUNTERS.add("pull.hung_up")
                        self._settle(pull)
                        self._decide(i.HungUp(pull.number))
                case i.Rang():
                    self._decide(message)
                case _:
                    for change in message:
                        self._change(change)
        except Exception as error:
            COUNTERS.add("routing.exception")
            logger.opt(exception=error).error("a message failed")

    def _taken(self, taken: Taken) -> None:
        request = taken.request
        workload = self._workloads.get(request.verb)
        if workload is None:
            COUNTERS.add("client.bad_input")
            taken.client.answer(taken.stream, Code.FAILED, {"reason": "verb: unknown"})
            request.frame.free()
            return
        self._last += 1
        pull = Open(self._last, taken.client, taken.stream, request, taken.at + request.limit)
        self._open[pull.number] = pull
        self._by_stream[taken.client, taken.stream] = pull
        COUNTERS.add("pull.taken")
        COUNTERS.see("pull.open", len(self._open))
        self._timers.at(pull.cut_off + OVERDUE, lambda: self._overdue(pull))
        left = pull.cut_off - self._clock.now()
        self._decide(translate.pull(pull.number, request, workload, left))

    def _overdue(self, pull: Open) -> None:
        if pull.owed:
            invariant(False, "an answer by the cut-off")
            self._answer(pull, Code.FAILED, {})

    def _change(self, change: Change) -> None:
        now = self._clock.now()
        if not isinstance(change, Fleet):
            COUNTERS.add("changelog.purges")
            self._decide(translate.purged(change, now))
            return
        members = self._roster.members(change)
        for cache, peer in list(self._peers.items()):
            if cache not in self._roster or self._roster.line(cache).address != peer.address:
                self._peers.pop(cache)
                assert self._tasks is not None
                self._tasks.start_soon(self._retire, peer)
        if not self._listed and members.kind is i.ListKind.FULL:
            members = i.Members(i.ListKind.CACHED, members.entries)
        self._decide(members)
        self._listed = True

    async def _retire(self, peer: Peer) -> None:
        """Let what is out to a peer that is gone come to its end."""
        while not peer.is_idle:
            await anyio.sleep(0.1)
        peer.stop()

    # Events and actions

    def _decide(self, event: i.Event) -> None:
        self._events.append(event)
        while self._events:
            event = self._events.popleft()
            try:
                actions = self._front.handle(self._clock.now(), event)
            except Exception as error:
                COUNTERS.add("module.exception")
                logger.opt(exception=error).error("the module failed on {}", type(event).__name__)
                pull = self._open.get(getattr(event, "id", -1))
                if pull is not None and pull.owed:
                    self._answer(pull, Code.FAILED, {})
                continue
            for action in actions:
                self._act(action)

    def _act(self, action: i.Action) -> None:
        match action:
            case i.Relay():
                self._relay(action)
            case i.Shed():
                later = {"later": str(round(action.come_back_in))} if action.come_back_in > 0 else {}
                self._final(action.id, Code.REFUSED, later)
            case i.Error():
                self._final(action.id, Code.FAILED, {})
            case i.Recall():
                pull = self._open.get(action.id)
                if pull is not None and pull.out in self._peers:
                    self._peers[pull.out].mailbox.put_urgent(GiveUp(action.id, action.relay))
            case i.Wake():
                rang = i.Rang(action.mark)
                self._timers.at(self._clock.now() + action.after, lambda: self._mailbox.put_urgent(rang))
            case i.Watch():
                # The log is followed at all times; the call's one answer tells that nothing was missed.
                self._events.append(i.Members(i.ListKind.CHANGES, ()))
            case i.Say():
                logger.info("the module says: {}", action.text)
            case i.Probe():
                self._events.append(i.Probed(action.cache, i.Outcome.MOOT, ()))

    def _relay(self, relay: i.Relay) -> None:
        pull = self._open[relay.id]
        invariant(pull.owed and pull.out < 0, "a relay for a pull that is owed and has none out")
        now = self._clock.now()
        number, pull.relays = pull.relays, pull.relays + 1
        source = ""
        if relay.source != relay.cache and relay.source in self._roster:
            source = self._roster.line(relay.source).name
        time_out = relay.time_out if relay.time_out else pull.cut_off - now
        request = pull.request
        ask = Ask(pull.number, number, request.txn, translate.relay_fields(relay, request, source),
                  request.body(), now, now + time_out)  # fmt: skip
        pull.out = relay.cache
        peer = self._peer(relay.cache)
        COUNTERS.add("relay.sent")
        if peer is None or not peer.mailbox.offer(ask):
            COUNTERS.add("relay.no_room")
            self._report(End(ask, How.UNSENT))

    def _peer(self, cache: int) -> Peer | None:
        peer = self._peers.get(cache)
        if peer is None and cache in self._roster:
            line = self._roster.line(cache)
            peer = self._peers[cache] = self._make_peer(line.name, line.address, self._report)
            assert self._tasks is not None
            self._tasks.start_soon(peer.run)
        return peer

    def _report(self, end: End) -> None:
        self._mailbox.put_urgent(end)  # as many as there are relays out at most

    def _ended(self, end: End) -> None:
        pull = self._open.get(end.ask.pull)
        answer = end.answer
        invariant(pull is not None and pull.out >= 0, "an end of a relay that is out")
        if pull is None:
            if answer is not None and answer.body is not None:
                answer.body.free()
            return
        COUNTERS.add(f"relay.{answer.word.lower() if answer is not None else end.how}")
        cache, pull.out = pull.out, -1
        if answer is not None and answer.word in ("DONE", "KEEP") and pull.owed:
            keep = {"ok304": "1"} if answer.word == "KEEP" else {}
            self._answer(pull, Code.SERVED, keep, answer.body)
        elif answer is not None and answer.body is not None:
            answer.body.free()
        closed = not pull.owed
        if closed:
            self._close(pull)
        self._decide(translate.ended(end, cache, self._clock.now(), closed, self._names.reports))

    def _final(self, number: int, code: Code, fields: dict[str, str]) -> None:
        pull = self._open.get(number)
        if pull is not None and pull.owed:
            self._answer(pull, code, fields)

    def _answer(self, pull: Open, code: Code, fields: dict[str, str], body: Any = None) -> None:
        """Write a pull's one answer: every answer passes here."""
        self._settle(pull)
        COUNTERS.see("answer_past_cut_off_ms", self._clock.now() - pull.cut_off)
        pull.client.answer(pull.stream, code, fields, body)

    def _settle(self, pull: Open) -> None:
        """No answer is owed any more."""
        pull.owed = False
        self._by_stream.pop((pull.client, pull.stream), None)
        if pull.out < 0:
            self._close(pull)

    def _close(self, pull: Open) -> None:
        """The pull is done with."""
        if self._open.pop(pull.number, None) is not None:
            pull.request.frame.free()

    def give_up_all(self) -> None:
        """Answer all that is owed: the front ends."""
        for pull in list(self._open.values()):
            if pull.owed:
                self._answer(pull, Code.FAILED, {})


