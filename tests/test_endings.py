"""The paths that end things, on real sockets, with each crossing forced: what is owed then is paid.

Stand-ins hold a connection, a byte or an answer until the test says go (`docs/endings.md` names each row).
"""

import json
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any, cast

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from cometseam import interface as i
from cometseam.counters import COUNTERS
from cometseam.discovery import DiscoveryClient, PollPolicy, PollSchedule
from cometseam.interface import Lifecycle
from cometseam.logic import Front
from cometseam.mailbox import Mailbox
from cometseam.protocol.discovery_events import EndpointList
from cometseam.protocol.resp import Command
from cometseam.routing.actor import Router
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.buffers import BUFFER_SIZE_BYTES, BufferPool
from cometseam.transport.client import Client, Listener
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection import Connection
from cometseam.transport.peer import Peer
from cometseam.transport.resources import ProcessResources
from tests.drive import Cache, News, order, resp
from tests.test_actors import CONFIG, LISTING, Caller
from tests.test_actors import order as ordered

pytestmark = pytest.mark.anyio
TAG = "4be0c1927d55a6f3"
BIG = 1 << 24  # bytes: more than two sockets hold, so that writing them stops half way


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Here:
    """One peer with its real connections, a stand-in cache behind them, and a gate on each connection."""

    def __init__(self, tasks: TaskGroup, connections: int, connect_within: float) -> None:
        links = replace(CONFIG.links, connect_timeout=connect_within)
        clock = Clock()
        self.around = ProcessResources(links, BufferPool(1 << 22), clock, Timers(clock), connections)
        self.tasks, self.news = tasks, News()
        self.ends: list[AttemptEnded] = []
        self.cache = Cache("c", self.news)
        self.peer: Peer

    async def start(
        self, serve: Callable[[SocketStream], Any] | None = None, address: tuple[str, int] | None = None
    ) -> None:
        if address is None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.tasks.start_soon(listener.serve, serve or self.cache.serve)
            address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
        self.address = address
        self.peer = Peer("c", self.address, self.around, self.report, Mailbox(64))
        self.tasks.start_soon(self.peer.run)
        self.tasks.start_soon(self.around.timers.run)

    def report(self, end: AttemptEnded) -> None:
        self.ends.append(end)
        self.news.tell()

    def ask(
        self, number: int, body: int = 0, lasts: float = 9000.0, tag: str = "", begin_by: float = 9000.0
    ) -> Attempt:
        command = Command(f"{number:016x}", "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, tag)
        now = self.around.clock.now()
        ask = Attempt(number, 0, command, [memoryview(bytes(body))] if body else [], now, now + lasts)
        ask.begin_by = now + begin_by
        assert self.peer.mailbox.offer(ask)
        return ask

    async def ended(self, count: int = 1) -> list[EndReason]:
        await self.news.until(lambda: len(self.ends) >= count)
        return [end.reason for end in self.ends]


@asynccontextmanager
async def one_peer(connections: int = 8, connect_within: float = 400.0) -> AsyncIterator[Here]:
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            yield Here(tasks, connections, connect_within)
            tasks.cancel_scope.cancel()


# A client that has left


async def turns(count: int = 20) -> None:
    """Let every other task have its turn."""
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


@pytest.mark.parametrize("recalls", [True, False], ids=["may cancel", "may not cancel"])
@pytest.mark.parametrize("leaves", ["in the mailbox", "while a connection comes up"])
async def test_a_relay_whose_client_has_left_is_never_written(
    recalls: bool, leaves: str, gates: list[anyio.Event]
) -> None:
    """Guards the 0.3 s rule: 12 cases each, and not one is sent on, however late its connection comes up."""
    cases, settings = 12, replace(CONFIG.settings, can_recall=recalls)
    async with one_peer() as here:
        await here.start()
        actor = Router(Front(1, settings), CONFIG.names, 100, here.around)
        lines = tuple(replace(line, address=here.address) for line in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, lines)])
        caller, had = Caller(), COUNTERS.counts["relay.sent"]
        here.tasks.start_soon(actor.run)
        await turns()
        for stream in range(1, cases + 1):
            assert actor.submit_pull(cast(Client, caller), stream, ordered(id=stream))
            if leaves == "while a connection comes up":
                await turns()
            caller.gone.add(stream)
            actor.hang_up(cast(Client, caller), stream)
            await turns()
        sent = COUNTERS.counts["relay.sent"] - had
        assert sent == (cases if leaves == "while a connection comes up" else 0)  # the crossing took place
        assert bool(gates) == bool(sent)
        for gate in gates:
            gate.set()
        # A pull that nobody has withdrawn goes over the same connection: what was to be written is by then.
        assert actor.submit_pull(cast(Client, caller), 99, ordered(id=99))
        await turns()
        for gate in gates:
            gate.set()
        asked = await here.cache.next()
        assert asked.id == f"{99:016x}"
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert await caller.until(1) == ["99 served"]
        assert [asked.id for asked in here.cache.asked] == [f"{99:016x}"] and not actor.pending_count


@pytest.mark.parametrize("wanted", [True, False], ids=["wanted", "left, drained or purged meanwhile"])
async def test_what_was_half_written_when_its_connection_broke_goes_on_only_while_it_is_wanted(
    wanted: bool,
) -> None:
    """Guards against a relay that goes to a cache that has begun to drain, or for a client that has left."""
    go, served = anyio.Event(), 0

    async def serve(stream: SocketStream) -> None:
        nonlocal served
        served += 1
        got = 0
        while got < (BIG if served == 2 else 1):
            got += len(await stream.receive())
        if served == 2:
            await stream.send(resp(f"{1:016x}", "LACK", "-", b""))
            await anyio.sleep_forever()
        here.news.tell()
        await go.wait()
        await stream.aclose()

    async with one_peer() as here:
        await here.start(serve)
        ask = here.ask(1, body=BIG)
        await here.news.until(lambda: served and ask.outgoing is not None and ask.outgoing.begun)
        assert not ask.written_at  # it is half written
        if not wanted:
            here.peer.mailbox.push(GiveUp(ask, if_unsent=True))
            await turns()
            assert not here.ends  # what has begun is not taken back
        go.set()
        assert await here.ended() == [EndReason.ANSWERED if wanted else EndReason.UNSENT]
        assert served == (2 if wanted else 1)


def unread(here: Here, go: anyio.Event, got: bytearray) -> tuple[str, int]:
    """Accept one connection, and read nothing of it until told to; a stream of anyio reads at once."""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)

    async def serve() -> None:
        await anyio.wait_readable(listening)
        with listening, listening.accept()[0] as sock:
            sock.setblocking(False)
            await go.wait()
            while True:
                await anyio.wait_readable(sock)
                data = sock.recv(1 << 16)
                if not data:
                    return
                got.extend(data)
                here.news.tell()

    here.tasks.start_soon(serve)
    host, port = listening.getsockname()
    return host, port


async def test_a_relay_queued_behind_one_that_the_cache_takes_no_bytes_of_is_taken_back() -> None:
    """A socket that takes no bytes: what has not begun is not sent when it takes some again."""
    go, got = anyio.Event(), bytearray()
    async with one_peer(connections=1, connect_within=5000.0) as here:
        await here.start(address=unread(here, go, got))
        first = here.ask(1, body=BIG)
        await here.news.until(lambda: True)
        while first.outgoing is None or not first.outgoing.begun:
            await turns()
        second = here.ask(2)
        while second.outgoing is None:
            await turns()
        assert not second.outgoing.begun and not first.written_at  # it waits behind what is stuck
        here.peer.mailbox.push(GiveUp(second, if_unsent=True))
        assert await here.ended() == [EndReason.UNSENT]
        go.set()
        await here.news.until(lambda: len(got) > BIG)
        here.peer._stop_attempt(first, EndReason.GIVEN_UP)
        assert f"{2:016x}".encode() not in got


async def test_an_attempt_queued_on_a_full_socket_is_dropped_if_it_is_unwanted_when_its_turn_comes() -> None:
    """The socket takes bytes again before the peer has its turn, as after a stand-still of the front."""
    go, got = anyio.Event(), bytearray()
    async with one_peer(connections=1, connect_within=5000.0) as here:  # its silence ends no connection
        address = unread(here, go, got)
        await here.start(address=address)
        first = here.ask(1, body=BIG)
        while first.outgoing is None or not first.outgoing.begun:
            await turns()
        second, third = here.ask(2), here.ask(3)
        while third.outgoing is None:
            await turns()
        assert second.outgoing and not second.outgoing.begun  # it waits behind what is stuck
        second.is_client_waiting = lambda: False
        go.set()
        assert await here.ended() == [EndReason.UNSENT] and here.ends[0].attempt is second
        await here.news.until(lambda: f"{3:016x}".encode() in got)
        assert f"{2:016x}".encode() not in got and second.written_at == 0.0
        assert first.channel is not None and set(first.channel.attempts) == {f"{1:016x}", f"{3:016x}"}


@pytest.mark.parametrize(
    "change",
    [{"address": ("127.0.0.1", 1)}, {"ready_at": 5.0}, {"lifecycle": Lifecycle.DRAINING}],
    ids=["another address", "a new start", "a drain"],
)
async def test_what_waits_for_a_connection_is_decided_anew_when_its_cache_changes(
    change: dict[str, Any], gates: list[anyio.Event]
) -> None:
    """Guards against a relay to an address that is another's by now, and past a cold cache's budget."""
    ends: list[i.RelayEnded] = []

    class Noting(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.RelayEnded):
                ends.append(event)
                here.news.tell()
            return super().handle(now, event)

    async with one_peer() as here:
        await here.start()
        actor = Router(Noting(1, CONFIG.settings), CONFIG.names, 100, here.around)
        lines = tuple(replace(line, address=here.address) for line in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, lines)])
        here.tasks.start_soon(actor.run)
        assert actor.submit_pull(cast(Client, Caller()), 1, ordered(id=1))
        await turns()
        assert len(gates) == 1 and not ends  # it waits for the connection
        out = actor._open[1].in_flight
        assert out is not None
        actor.apply_changes([EndpointList(2, False, tuple(replace(line, **change) for line in lines))])
        await here.news.until(lambda: ends)
        assert ends[0].outcome is i.Outcome.NOT_SENT and not here.cache.asked
        assert here.around.clock.now() < out.attempt.deadline  # it did not merely time out


# Connections to caches


async def test_an_answer_that_never_ends_costs_its_connection_and_no_other_relay() -> None:
    """Guards against a connection kept unusable for ever, and with it a cache that may have just one."""
    fed = 0

    async def dribbles(stream: SocketStream) -> None:
        nonlocal fed
        fed += 1
        if fed > 1:
            await here.cache.serve(stream)
            return
        await stream.receive()
        try:
            await stream.send(b"*4\r\n$16\r\n%016x\r\n$4\r\nDONE\r\n$1\r\n-\r\n$200000\r\n" % 1)
            while True:  # never silent for as long as a silent connection is given
                await stream.send(b"x")
                await anyio.sleep(0.004)
        except anyio.BrokenResourceError:
            await stream.aclose()

    had = COUNTERS.counts["peer.never_ends"]
    async with one_peer(connections=1, connect_within=60.0) as here:
        await here.start(dribbles)
        here.ask(1, lasts=100.0)
        assert await here.ended() == [EndReason.TIMED_OUT]
        here.ask(2)
        asked = await here.cache.next()
        await asked.answer("LACK", "-")
        assert await here.ended(2) == [EndReason.TIMED_OUT, EndReason.ANSWERED] and fed == 2
    assert COUNTERS.counts["peer.never_ends"] == had + 1


async def test_a_doubted_connection_that_speaks_without_end_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against `_end_doubt` with input to read: it left the connection doubted, with no timer."""
    fed, speaks = 0, False
    monkeypatch.setattr(Connection, "has_input", lambda connection: speaks)  # it came at that very instant

    async def speaks_when_doubted(stream: SocketStream) -> None:
        nonlocal fed, speaks
        fed += 1
        if fed > 1:
            await here.cache.serve(stream)
            return
        got = b""
        while b"HELO" not in got:
            got += await stream.receive()
        speaks = True
        try:
            await stream.send(b"*4\r\n$16\r\n%016x\r\n$4\r\nDONE\r\n$1\r\n-\r\n$200000\r\n" % 7)
            while True:
                await stream.send(b"x")
                await anyio.sleep(0.004)
        except anyio.BrokenResourceError:
            await stream.aclose()

    async with one_peer(connections=1, connect_within=60.0) as here:
        await here.start(speaks_when_doubted)
        here.ask(1)
        assert await here.ended() == [EndReason.BROKEN]
        here.ask(2)
        await (await here.cache.next()).answer("LACK", "-")
        assert await here.ended(2) == [EndReason.BROKEN, EndReason.ANSWERED] and fed == 2


async def test_a_whole_answer_after_a_doubt_keeps_the_connection() -> None:
    """The other order of the crossing above: what is honest and slow keeps its connection."""
    async with one_peer(connections=1, connect_within=60.0) as here:
        await here.start()
        here.ask(1)
        asked = await here.cache.next()
        await here.news.until(lambda: True)
        with anyio.fail_after(5):
            while not here.cache.doubted:
                await anyio.sleep(0.001)
        await asked.answer("LACK", "-")
        assert await here.ended() == [EndReason.ANSWERED]
        here.ask(2)
        again = await here.cache.next()
        assert again.stream is asked.stream
        await again.answer("LACK", "-")
        assert await here.ended(2) == [EndReason.ANSWERED, EndReason.ANSWERED]


@pytest.mark.parametrize(
    ("fields", "how"),
    [
        (f"tag={TAG}", EndReason.ANSWERED),
        ("tag=0123456789abcdef", EndReason.BROKEN),
        ("minted=1", EndReason.BROKEN),
    ],
    ids=["the client's", "another", "none"],
)
async def test_a_copy_holds_only_where_a_cache_names_that_very_copy(fields: str, how: EndReason) -> None:
    """Guards against a client told that its copy is current by an answer that names another one."""
    async with one_peer() as here:
        await here.start()
        here.ask(1, tag=TAG)
        await (await here.cache.next()).answer("KEEP", fields)
        assert await here.ended() == [how]


async def test_an_answer_and_the_time_out_at_one_instant_end_a_relay_once_in_both_orders() -> None:
    """The answer lies unread when the time-out comes, and the other way round: one end, and no bytes kept."""
    async with one_peer() as here:
        await here.start()
        first = here.ask(1)
        asked = await here.cache.next()
        here.peer._stop_attempt(first, EndReason.TIMED_OUT)
        await asked.answer("DONE", f"tag={TAG},minted=1", b"late")
        second = here.ask(2)
        other = await here.cache.next()
        while other.word == "STOP":
            other = await here.cache.next()
        await other.answer("DONE", f"tag={TAG},minted=1", b"in time")
        await here.news.until(lambda: len(here.ends) == 2)
        here.peer._stop_attempt(second, EndReason.TIMED_OUT)  # its answer came first
        assert [end.reason for end in here.ends] == [EndReason.TIMED_OUT, EndReason.ANSWERED]
        answer = here.ends[1].answer
        assert answer is not None and answer.body is not None
        answer.body.free()
        await turns()
        assert here.around.pool.in_use <= 2 and here.peer.is_idle  # nothing but what its readers hold


# The end of the front


async def test_at_the_end_what_never_ran_is_shed_and_nothing_is_written_after_it(
    gates: list[anyio.Event],
) -> None:
    """Guards against `errored` for a pull that no cache has seen, and a relay written after its answer."""
    async with one_peer() as here:
        await here.start()
        actor = Router(Front(1, CONFIG.settings), CONFIG.names, 100, here.around)
        lines = tuple(replace(line, address=here.address) for line in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, lines)])
        here.tasks.start_soon(actor.run)
        caller = Caller()
        assert actor.submit_pull(cast(Client, caller), 1, ordered(id=1))
        await turns()
        assert len(gates) == 1  # its relay waits for a connection
        # Still in the mailbox when the end is told.
        assert actor.submit_pull(cast(Client, caller), 2, ordered(id=2))
        actor.begin_shutdown()
        # Shed by its client's connection.
        assert not actor.submit_pull(cast(Client, caller), 3, ordered(id=3))
        assert sorted(await caller.until(2)) == ["1 shed", "2 shed"] and not actor.has_unanswered
        had = COUNTERS.counts["peer.connected"]
        here.ask(7)  # another's, over a connection of its own
        await turns()
        for gate in gates:
            gate.set()
        assert (await here.cache.next()).id == f"{7:016x}"
        while COUNTERS.counts["peer.connected"] < had + 2:
            await turns()
        await turns()
        assert len(here.cache.asked) == 1


class Hand(Clock):
    """A clock that a test moves on."""

    at = 1000.0

    def now(self) -> float:
        return self.at

    async def sleep(self, seconds: float) -> None:
        """Stand in for `anyio.sleep`: the time passes, and every other task has its turn."""
        self.at += 1000.0 * seconds
        await turns()


class Owes:
    """Stands in for what drains: pulls are owed until the end is told."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now, self.told_at, self.ended = now, 0.0, False
        self.clients: list[Client] = []
        self.is_empty = True

    @property
    def has_unanswered(self) -> bool:
        return not self.told_at

    def begin_shutdown(self) -> None:
        if not self.told_at:
            self.told_at = self.now()
        else:
            self.ended = True

    def accept(self) -> bool:
        return False


@pytest.mark.parametrize("longest", [900.0, 2500.0, 6000.0])
async def test_a_drain_leaves_the_last_pull_its_whole_time(
    longest: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failing, at the longest cut-off + 350 ms, what came 600 ms after SIGTERM."""
    from cometseam.program import _drain

    clock = Hand()

    async def sleep(seconds: float) -> None:
        clock.at += 1000.0 * seconds

    monkeypatch.setattr(anyio, "sleep", sleep)
    config = replace(CONFIG, links=replace(CONFIG.links, max_deadline=longest))
    owes = Owes(clock.now)
    await _drain(config, clock, cast(Router, owes), cast(Listener, owes))
    killed = 1000.0 + min(longest, 3000.0) + 700.0  # no sooner than that, by the protocol
    assert killed - 100.0 <= owes.told_at <= killed - 50.0 and owes.ended


async def test_what_waits_to_be_accepted_at_the_end_is_taken_in_and_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset of connections that the machine has accepted and the front has not."""
    from cometseam.program import _drain

    clock, pulls = Hand(), Sheds()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            listener = Listener(("127.0.0.1", 0), 8, BufferPool(1 << 22), clock, pulls)
            listener._tasks = tasks  # nothing accepts but the drain
            sock = socket.create_connection(listener._sock.getsockname())
            sock.sendall(order(1))
            sock.setblocking(False)
            assert not listener.clients
            monkeypatch.setattr(anyio, "sleep", clock.sleep)
            tasks.start_soon(_drain, CONFIG, clock, cast(Router, pulls), listener)
            got, clean = await read_all(sock)
            assert clean and got[4] == 17 and got[9] == 2 and len(pulls.taken) == 1  # an answer: shed
            sock.close()


# The change log


def fourth_poll(terms: PollPolicy) -> float:
    """Return when the fourth connection polls where three before stay silent, in ms from the first poll."""
    schedule, now, begun = PollSchedule(terms), 0.0, 0
    while begun < 4:
        check = schedule.check(now)
        assert not check.abandoned
        if check.start_connection:
            begun += 1
            schedule.connection_started(begun, now)
            schedule.poll_sent(begun, now)  # they come up at once
        else:
            now = check.next_check_at
    return now


async def test_three_watches_in_a_row_fall_silent_and_it_is_heard_within_seven_seconds() -> None:
    """What replaces a silent connection is silent too, and the next; one of them dribbles for ever."""
    # With what a front takes to connect, and is late itself.
    assert fourth_poll(PollPolicy()) < 7000.0 - 500.0
    terms = PollPolicy(hold=40.0, answer_allowance=20.0, quick_allowance=20.0, connection_interval=20.0)
    news, came = News(), 0
    told: list[Any] = []
    event = {"seq": 2, "invalidate": {"object": "7" * 16, "time": 1}}

    async def serve(stream: SocketStream) -> None:
        nonlocal came
        came += 1
        news.tell()
        await stream.receive()
        if came == 2:
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n")
            try:
                while True:
                    await stream.send(b" ")
                    await anyio.sleep(0.002)
            except anyio.BrokenResourceError:
                return
        if came < 4:
            await anyio.sleep_forever()
        text = json.dumps({"seq": 2, "results": [event]}).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        await anyio.sleep_forever()

    def hand_on(changes: list[Any]) -> None:
        told.extend(changes)
        news.tell()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, serve)
            address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
            log = DiscoveryClient(address, 1, CONFIG.names, hand_on, terms)
            tasks.start_soon(log.run)
            await news.until(lambda: told)
            assert came == 4 and log.last_seq == 2
            tasks.cancel_scope.cancel()


async def test_a_move_to_another_log_while_an_answer_is_half_read_loses_and_repeats_nothing() -> None:
    """SIGHUP's crossing: half an answer has come at the move, its rest comes when the other has spoken."""
    news, told, asked = News(), list[Any](), list[str]()
    half, rest = anyio.Event(), anyio.Event()
    events = [{"seq": seq, "invalidate": {"object": f"{seq:016x}", "time": 1}} for seq in (2, 3)]
    text = json.dumps({"seq": 3, "results": events}).encode()
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)

    async def old(stream: SocketStream) -> None:
        await stream.receive()
        await stream.send(whole[:-40])
        half.set()
        await rest.wait()
        with suppress(anyio.BrokenResourceError):
            await stream.send(whole[-40:])

    async def new(stream: SocketStream) -> None:
        while len(asked) < 2:
            asked.append((await stream.receive()).decode().split(" ")[1])
            news.tell()
            if len(asked) == 1:
                await stream.send(whole)
        await anyio.sleep_forever()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            addresses = []
            for serve in (old, new):
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                tasks.start_soon(listener.serve, serve)
                addresses.append(("127.0.0.1", listener.extra(SocketAttribute.local_port)))
            log = DiscoveryClient(addresses[0], 1, CONFIG.names, told.extend)
            tasks.start_soon(log.run)
            await half.wait()
            await turns()
            assert not told
            log.set_address(addresses[1])
            await news.until(lambda: len(asked) == 2)  # it has what came, and asks on
            rest.set()
            await turns()
            assert [path.split("since=")[1].split("&")[0] for path in asked] == ["1", "3"]
            assert [change.seq for change in told] == [2, 3]
            tasks.cancel_scope.cancel()


# Clients' connections


class Takes:
    """Stands in for the router: it writes down what it takes, and who has left."""

    def __init__(self) -> None:
        self.taken: list[tuple[Client, int]] = []
        self.left: list[int] = []
        self.news = News()

    def is_ready(self) -> bool:
        return True

    def submit_pull(self, client: Client, stream: int, order: Any) -> bool:
        self.taken.append((client, stream))
        self.news.tell()
        return True

    def hang_up(self, client: Client, stream: int) -> None:
        self.left.append(stream)
        self.news.tell()


class Sheds(Takes):
    """The same at its end: it owes nothing, and takes nothing in."""

    has_unanswered = False

    def submit_pull(self, client: Client, stream: int, order: Any) -> bool:
        super().submit_pull(client, stream, order)
        return False  # its connection sheds it

    def begin_shutdown(self) -> None:
        """What is owed would be answered."""


@asynccontextmanager
async def clients(most: int = 8, memory: int = 1 << 22, greets_within: float = 60000.0) -> AsyncIterator[Any]:
    pulls, clock = Takes(), Clock()
    pool = BufferPool(memory)
    listener = Listener(("127.0.0.1", 0), most, pool, clock, pulls, greets_within)
    address = listener._sock.getsockname()

    async def call(buffer: int = 0) -> socket.socket:
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.setblocking(False)
        try:
            sock.connect(address)
        except BlockingIOError:
            await anyio.wait_writable(sock)
        return sock

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.run, tasks)
            yield listener, pulls, call, pool
            tasks.cancel_scope.cancel()


async def read_all(sock: socket.socket) -> tuple[bytes, bool]:
    """Read until the end; also tell whether that was a clean one, and no reset."""
    got = b""
    while True:
        await anyio.wait_readable(sock)
        try:
            data = sock.recv(1 << 16)
        except ConnectionResetError:
            return got, False
        if not data:
            return got, True
        got += data


class Whole:
    """An answer's body."""

    def __init__(self, size: int) -> None:
        self.bytes, self.freed = bytes(size), 0

    def views(self, start: int = 0) -> list[memoryview]:
        return [memoryview(self.bytes)[start:]]

    def free(self) -> None:
        self.freed += 1


async def test_answers_owed_to_a_client_that_floods_are_written_whole_and_then_it_ends() -> None:
    """Guards against answers dropped past the flood bound, or destroyed by the reset of unread input."""
    async with clients() as (listener, pulls, call, _):
        sock = await call(buffer=4096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        flood = order(1) + b"\xff" * 9 + bytes(2_000_000)  # far more than is read
        sent = 0

        async def send() -> None:
            nonlocal sent
            while sent < len(flood):
                await anyio.wait_writable(sock)
                try:
                    sent += sock.send(flood[sent : sent + 65536])
                except (BlockingIOError, InterruptedError):
                    continue
                except OSError:
                    return
                pulls.news.tell()

        async with anyio.create_task_group() as sending:
            sending.start_soon(send)
            await pulls.news.until(lambda: pulls.taken and sent > 300_000)
            (client, stream) = pulls.taken[0]
            await pulls.news.until(lambda: client._discarded_bytes > 262144)  # the bound is past
            await turns()
            assert client in listener.clients and client.awaits(stream) and not pulls.left
            body = Whole(240_000)
            client.answer_served(stream, False, body)
            got, clean = await read_all(sock)
            assert got.endswith(body.bytes) and len(got) > len(body.bytes) and body.freed == 1
            assert clean
            sending.cancel_scope.cancel()
        sock.close()
        while client in listener.clients:
            await turns()


async def test_a_connection_just_taken_in_is_not_ended_for_another_before_its_first_pull_can_come() -> None:
    """Guards against the eviction of a new connection whose first pull is on its way."""
    async with clients(most=3) as (listener, pulls, call, _):
        busy = [await call() for _ in range(2)]
        for sock in busy:
            sock.send(order(1))
        await pulls.news.until(lambda: len(pulls.taken) == 2)
        fresh = await call()
        while len(listener.clients) < 3:
            await turns()
        late = await call()
        for _ in range(3):
            assert listener.accept() is None  # there is no place: it waits
        fresh.send(order(5))
        await pulls.news.until(lambda: len(pulls.taken) == 3)
        client, stream = pulls.taken[-1]
        client.answer_shed(stream, 0.0)  # it has spoken and is idle: now it gives its place
        late.send(order(9))
        await pulls.news.until(lambda: len(pulls.taken) == 4)
        got, clean = await read_all(fresh)
        assert got and clean  # the answer written before has come whole
        for sock in (*busy, fresh, late):
            sock.close()


async def test_input_that_comes_between_the_look_and_the_end_makes_no_reset() -> None:
    """The client's next pull crosses the end of its idle connection: its last answer still comes whole."""
    async with clients() as (listener, pulls, call, _):
        sock = await call(buffer=4096)
        sock.send(order(1))
        await pulls.news.until(lambda: pulls.taken)
        client, stream = pulls.taken[0]
        body = Whole(100_000)
        client.answer_served(stream, False, body)
        got = b""
        while not client.is_closable:
            await anyio.wait_readable(sock)
            got += sock.recv(4096)
        listener._close_client(client, "overdue")
        sock.send(order(2))  # after the look, before the client sees the end
        rest, clean = await read_all(sock)
        assert clean and (got + rest).endswith(body.bytes) and len(pulls.taken) == 1
        sock.close()


async def test_a_frame_that_does_not_end_costs_no_answer_that_is_owed_beside_it() -> None:
    """Guards against ending a connection for a half-read frame while pulls on it are open."""
    async with clients() as (_, pulls, call, _):
        sock = await call()
        sock.send(order(1) + order(2)[:20])
        await pulls.news.until(lambda: pulls.taken)
        client, stream = pulls.taken[0]
        while not client._partial_frame_since:
            await turns()
        client._partial_frame_since -= 2500.0  # as long ago as is too long
        client.reject_incomplete_frame()
        assert not client.is_overdue() and client.awaits(stream)
        client.answer_shed(stream, 0.0)
        got, clean = await read_all(sock)
        assert clean and got.count(b"\x11") >= 2  # the error on stream 0, and the answer
        sock.close()


async def test_a_client_that_leaves_while_its_front_has_no_room_is_seen_to_leave() -> None:
    """Guards against pulls sent on for a client that has gone, behind input that waits for a buffer."""
    async with clients(memory=16 * BUFFER_SIZE_BYTES) as (_, pulls, call, pool):
        sock = await call()
        sock.send(order(1))
        await pulls.news.until(lambda: pulls.taken)
        lent = [buffer for _ in range(pool.max_buffers) if (buffer := pool.acquire()) is not None]
        assert pool.acquire() is None  # nothing can be read now
        sock.send(order(2))
        while not pulls.taken[0][0]._connection.starved:
            await anyio.sleep(0.001)
        sock.close()
        await pulls.news.until(lambda: pulls.left)
        assert pulls.left == [1] and len(pulls.taken) == 1
        pool.release(lent)
