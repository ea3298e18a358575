"""Races at the end of relays, connections, drains and processes, on real sockets.

Two events cross, for example a client's disconnect and the connect for its relay: the tests force each order
by holding back a connection, a byte or an answer. They guard against pending answers that are lost or sent
twice, and against relays that are still sent for nobody. `docs/endings.md` has a row for each race.
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
from cometseam.transport.client import Client
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection import Connection
from cometseam.transport.connection_limit import ConnectionLimit
from cometseam.transport.listener import Listener
from cometseam.transport.peer import Peer
from cometseam.transport.resources import ProcessResources
from tests.drive import Cache, Notifier, client_request, resp
from tests.test_actors import CONFIG, LISTING, Caller
from tests.test_actors import order as ordered

pytestmark = pytest.mark.anyio
TAG = "4be0c1927d55a6f3"
BIG_BYTES = 1 << 24  # more than the buffers of two sockets hold, so that writing blocks halfway


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class PeerHarness:
    """One peer with real connections to a stand-in cache; records how its attempts end."""

    def __init__(self, tasks: TaskGroup, connections: int, connect_timeout: float) -> None:
        links = replace(CONFIG.links, connect_timeout=connect_timeout)
        clock = Clock()
        self.resources = ProcessResources(
            links, BufferPool(1 << 22), clock, Timers(clock), ConnectionLimit(connections)
        )
        self.tasks, self.notifier = tasks, Notifier()
        self.ended_attempts: list[AttemptEnded] = []
        self.cache = Cache("c", self.notifier)
        self.peer: Peer

    async def start(
        self, serve: Callable[[SocketStream], Any] | None = None, address: tuple[str, int] | None = None
    ) -> None:
        if address is None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.tasks.start_soon(listener.serve, serve or self.cache.serve)
            address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
        self.address = address
        self.peer = Peer("c", self.address, self.resources, self.on_attempt_ended, Mailbox(64))
        self.tasks.start_soon(self.peer.run)
        self.tasks.start_soon(self.resources.timers.run)

    def on_attempt_ended(self, end: AttemptEnded) -> None:
        self.ended_attempts.append(end)
        self.notifier.notify()

    def start_attempt(
        self,
        number: int,
        body: int = 0,
        time_limit: float = 9000.0,
        tag: str = "",
        begin_within: float = 9000.0,
    ) -> Attempt:
        command = Command(f"{number:016x}", "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, tag)
        now = self.resources.clock.now()
        attempt = Attempt(
            number, 0, command, [memoryview(bytes(body))] if body else [], now, now + time_limit
        )
        attempt.begin_by = now + begin_within
        assert self.peer.mailbox.offer(attempt)
        return attempt

    async def end_reasons(self, count: int = 1) -> list[EndReason]:
        await self.notifier.wait_until(lambda: len(self.ended_attempts) >= count)
        return [end.reason for end in self.ended_attempts]


@asynccontextmanager
async def one_peer(connections: int = 8, connect_timeout: float = 400.0) -> AsyncIterator[PeerHarness]:
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            yield PeerHarness(tasks, connections, connect_timeout)
            tasks.cancel_scope.cancel()


# Clients that disconnect


async def run_other_tasks(count: int = 20) -> None:
    """Yield to the event loop `count` times, so that every other task runs."""
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


@pytest.mark.parametrize("recalls", [True, False], ids=["may cancel", "may not cancel"])
@pytest.mark.parametrize("leaves", ["in the mailbox", "while a connection comes up"])
async def test_a_relay_whose_client_has_left_is_never_written(
    recalls: bool, leaves: str, gates: list[anyio.Event]
) -> None:
    """Guards the 0.3 s rule: none of 12 pulls is forwarded, however late its connection is established."""
    cases, settings = 12, replace(CONFIG.settings, can_recall=recalls)
    async with one_peer() as harness:
        await harness.start()
        actor = Router(Front(1, settings), CONFIG.names, 100, harness.resources)
        entries = tuple(replace(entry, address=harness.address) for entry in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, entries)])
        caller, count_before = Caller(), COUNTERS.counts["relay.sent"]
        harness.tasks.start_soon(actor.run)
        await run_other_tasks()
        for stream in range(1, cases + 1):
            assert actor.submit_pull(cast(Client, caller), stream, ordered(id=stream))
            if leaves == "while a connection comes up":
                await run_other_tasks()
            caller.gone.add(stream)
            actor.hang_up(cast(Client, caller), stream)
            await run_other_tasks()
        sent = COUNTERS.counts["relay.sent"] - count_before
        assert sent == (cases if leaves == "while a connection comes up" else 0)  # the race took place
        assert bool(gates) == bool(sent)
        for gate in gates:
            gate.set()
        # A pull that is not withdrawn uses the same connection: earlier relays would be written before it.
        assert actor.submit_pull(cast(Client, caller), 99, ordered(id=99))
        await run_other_tasks()
        for gate in gates:
            gate.set()
        asked = await harness.cache.next()
        assert asked.id == f"{99:016x}"
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert await caller.until(1) == ["99 served"]
        assert [asked.id for asked in harness.cache.commands] == [f"{99:016x}"] and not actor.pending_count


@pytest.mark.parametrize("wanted", [True, False], ids=["wanted", "left, drained or purged meanwhile"])
async def test_partly_written_relay_is_resent_after_a_broken_connection_only_while_it_is_wanted(
    wanted: bool,
) -> None:
    """Guards against a relay to a cache that has begun to drain, or for a client that has left."""
    may_read, served = anyio.Event(), 0

    async def serve(stream: SocketStream) -> None:
        nonlocal served
        served += 1
        got = 0
        while got < (BIG_BYTES if served == 2 else 1):
            got += len(await stream.receive())
        if served == 2:
            await stream.send(resp(f"{1:016x}", "LACK", "-", b""))
            await anyio.sleep_forever()
        harness.notifier.notify()
        await may_read.wait()
        await stream.aclose()

    async with one_peer() as harness:
        await harness.start(serve)
        attempt = harness.start_attempt(1, body=BIG_BYTES)
        await harness.notifier.wait_until(
            lambda: served and attempt.outgoing is not None and attempt.outgoing.begun
        )
        assert not attempt.written_at  # it is partly written
        if not wanted:
            harness.peer.mailbox.push(GiveUp(attempt, if_unsent=True))
            await run_other_tasks()
            assert not harness.ended_attempts  # a relay whose transmission has begun is not withdrawn
        may_read.set()
        assert await harness.end_reasons() == [EndReason.ANSWERED if wanted else EndReason.UNSENT]
        assert served == (2 if wanted else 1)


def accept_without_reading(harness: PeerHarness, may_read: anyio.Event, got: bytearray) -> tuple[str, int]:
    """Accept one connection and read from it only once `may_read` is set; a stream of anyio reads at once."""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)

    async def serve() -> None:
        await anyio.wait_readable(listening)
        with listening, listening.accept()[0] as sock:
            sock.setblocking(False)
            await may_read.wait()
            while True:
                await anyio.wait_readable(sock)
                data = sock.recv(1 << 16)
                if not data:
                    return
                got.extend(data)
                harness.notifier.notify()

    harness.tasks.start_soon(serve)
    host, port = listening.getsockname()
    return host, port


async def test_relay_queued_behind_a_blocked_one_can_be_withdrawn() -> None:
    """The socket is blocked: a relay that has not begun is not sent when the socket is writable again."""
    may_read, got = anyio.Event(), bytearray()
    async with one_peer(connections=1, connect_timeout=5000.0) as harness:
        await harness.start(address=accept_without_reading(harness, may_read, got))
        first = harness.start_attempt(1, body=BIG_BYTES)
        await harness.notifier.wait_until(lambda: True)
        while first.outgoing is None or not first.outgoing.begun:
            await run_other_tasks()
        second = harness.start_attempt(2)
        while second.outgoing is None:
            await run_other_tasks()
        assert not second.outgoing.begun and not first.written_at  # queued behind the blocked one
        harness.peer.mailbox.push(GiveUp(second, if_unsent=True))
        assert await harness.end_reasons() == [EndReason.UNSENT]
        may_read.set()
        await harness.notifier.wait_until(lambda: len(got) > BIG_BYTES)
        harness.peer._stop_attempt(first, EndReason.GIVEN_UP)
        assert f"{2:016x}".encode() not in got


async def test_attempt_queued_on_a_full_socket_is_dropped_if_its_client_has_left_by_its_turn() -> None:
    """The socket is writable again before the peer's task runs, as after a pause of the front."""
    may_read, got = anyio.Event(), bytearray()
    async with one_peer(connections=1, connect_timeout=5000.0) as harness:  # silence closes no connection
        address = accept_without_reading(harness, may_read, got)
        await harness.start(address=address)
        first = harness.start_attempt(1, body=BIG_BYTES)
        while first.outgoing is None or not first.outgoing.begun:
            await run_other_tasks()
        second, third = harness.start_attempt(2), harness.start_attempt(3)
        while third.outgoing is None:
            await run_other_tasks()
        assert second.outgoing and not second.outgoing.begun  # queued behind the blocked one
        second.is_client_waiting = lambda: False
        may_read.set()
        assert (
            await harness.end_reasons() == [EndReason.UNSENT] and harness.ended_attempts[0].attempt is second
        )
        await harness.notifier.wait_until(lambda: f"{3:016x}".encode() in got)
        assert f"{2:016x}".encode() not in got and second.written_at == 0.0
        assert first.channel is not None and set(first.channel.attempts) == {f"{1:016x}", f"{3:016x}"}


@pytest.mark.parametrize(
    "change",
    [{"address": ("127.0.0.1", 1)}, {"ready_at": 5.0}, {"lifecycle": Lifecycle.DRAINING}],
    ids=["another address", "a new start", "a drain"],
)
async def test_relay_waiting_for_a_connection_ends_unsent_when_its_cache_changes(
    change: dict[str, Any], gates: list[anyio.Event]
) -> None:
    """Guards against a relay to an address now used by another, and past a cold cache's slow-start budget."""
    ends: list[i.RelayEnded] = []

    class RecordingFront(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.RelayEnded):
                ends.append(event)
                harness.notifier.notify()
            return super().handle(now, event)

    async with one_peer() as harness:
        await harness.start()
        actor = Router(RecordingFront(1, CONFIG.settings), CONFIG.names, 100, harness.resources)
        entries = tuple(replace(entry, address=harness.address) for entry in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, entries)])
        harness.tasks.start_soon(actor.run)
        assert actor.submit_pull(cast(Client, Caller()), 1, ordered(id=1))
        await run_other_tasks()
        assert len(gates) == 1 and not ends  # it waits for the connection
        in_flight = actor._open[1].in_flight
        assert in_flight is not None
        actor.apply_changes([EndpointList(2, False, tuple(replace(entry, **change) for entry in entries))])
        await harness.notifier.wait_until(lambda: ends)
        assert ends[0].outcome is i.Outcome.NOT_SENT and not harness.cache.commands
        assert harness.resources.clock.now() < in_flight.attempt.deadline  # it did not merely time out


# Connections to caches


@pytest.mark.parametrize("connections", [1, 2])
async def test_endless_answer_closes_its_connection_and_fails_no_other_relay(connections: int) -> None:
    """Guards against a connection left unusable for ever; where it is the only one, it gives way at once."""
    connection_count, has_ended = 0, anyio.Event()

    async def serve_endless_answer(stream: SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        if connection_count > 1:
            await harness.cache.serve(stream)
            return
        await stream.receive()
        try:
            await stream.send(b"*4\r\n$16\r\n%016x\r\n$4\r\nDONE\r\n$1\r\n-\r\n$200000\r\n" % 1)
            while True:  # never silent long enough for a keep-alive check
                await stream.send(b"x")
                await anyio.sleep(0.004)
        except anyio.BrokenResourceError:
            has_ended.set()
            await stream.aclose()

    kept_until = "peer.never_ends" if connections > 1 else "peer.connections_evicted"
    count_before = COUNTERS.counts[kept_until]
    async with one_peer(connections, connect_timeout=60.0) as harness:
        await harness.start(serve_endless_answer)
        harness.start_attempt(1, time_limit=100.0)
        assert await harness.end_reasons() == [EndReason.TIMED_OUT]
        harness.start_attempt(2)
        asked = await harness.cache.next()
        await asked.answer("LACK", "-")
        assert (
            await harness.end_reasons(2) == [EndReason.TIMED_OUT, EndReason.ANSWERED]
            and connection_count == 2
        )
        await has_ended.wait()
    assert COUNTERS.counts[kept_until] == count_before + 1


async def test_suspect_connection_that_sends_without_end_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a keep-alive check that, on unread input, left the connection suspect with no timer."""
    connection_count, has_input = 0, False
    monkeypatch.setattr(Connection, "has_input", lambda connection: has_input)  # input arrives just then

    async def serve_endless_reply(stream: SocketStream) -> None:
        nonlocal connection_count, has_input
        connection_count += 1
        if connection_count > 1:
            await harness.cache.serve(stream)
            return
        got = b""
        while b"HELO" not in got:
            got += await stream.receive()
        has_input = True
        try:
            await stream.send(b"*4\r\n$16\r\n%016x\r\n$4\r\nDONE\r\n$1\r\n-\r\n$200000\r\n" % 7)
            while True:
                await stream.send(b"x")
                await anyio.sleep(0.004)
        except anyio.BrokenResourceError:
            await stream.aclose()

    async with one_peer(connections=1, connect_timeout=60.0) as harness:
        await harness.start(serve_endless_reply)
        harness.start_attempt(1)
        assert await harness.end_reasons() == [EndReason.BROKEN]
        harness.start_attempt(2)
        await (await harness.cache.next()).answer("LACK", "-")
        assert (
            await harness.end_reasons(2) == [EndReason.BROKEN, EndReason.ANSWERED] and connection_count == 2
        )


async def test_complete_answer_during_a_keep_alive_check_keeps_the_connection() -> None:
    """The other order of the race above: a peer that is merely slow keeps its connection."""
    async with one_peer(connections=1, connect_timeout=60.0) as harness:
        await harness.start()
        harness.start_attempt(1)
        asked = await harness.cache.next()
        await harness.notifier.wait_until(lambda: True)
        with anyio.fail_after(5):
            while not harness.cache.keep_alive_checks:
                await anyio.sleep(0.001)
        await asked.answer("LACK", "-")
        assert await harness.end_reasons() == [EndReason.ANSWERED]
        harness.start_attempt(2)
        again = await harness.cache.next()
        assert again.stream is asked.stream
        await again.answer("LACK", "-")
        assert await harness.end_reasons(2) == [EndReason.ANSWERED, EndReason.ANSWERED]


@pytest.mark.parametrize(
    ("fields", "how"),
    [
        (f"tag={TAG}", EndReason.ANSWERED),
        ("tag=0123456789abcdef", EndReason.BROKEN),
        ("minted=1", EndReason.BROKEN),
    ],
    ids=["the client's", "another", "none"],
)
async def test_copy_is_confirmed_only_by_an_answer_with_its_tag(fields: str, how: EndReason) -> None:
    """Guards against confirming a client's copy as current by an answer with another copy's tag."""
    async with one_peer() as harness:
        await harness.start()
        harness.start_attempt(1, tag=TAG)
        await (await harness.cache.next()).answer("KEEP", fields)
        assert await harness.end_reasons() == [how]


async def test_simultaneous_answer_and_time_out_end_a_relay_once_in_both_orders() -> None:
    """The time-out comes before the answer is read, and after it: one end each, and no buffer is leaked."""
    async with one_peer() as harness:
        await harness.start()
        first = harness.start_attempt(1)
        asked = await harness.cache.next()
        harness.peer._stop_attempt(first, EndReason.TIMED_OUT)
        await asked.answer("DONE", f"tag={TAG},minted=1", b"late")
        second = harness.start_attempt(2)
        other = await harness.cache.next()
        while other.verb == "STOP":
            other = await harness.cache.next()
        await other.answer("DONE", f"tag={TAG},minted=1", b"in time")
        await harness.notifier.wait_until(lambda: len(harness.ended_attempts) == 2)
        harness.peer._stop_attempt(second, EndReason.TIMED_OUT)  # after its answer
        assert [end.reason for end in harness.ended_attempts] == [EndReason.TIMED_OUT, EndReason.ANSWERED]
        answer = harness.ended_attempts[1].answer
        assert answer is not None and answer.body is not None
        answer.body.free()
        await run_other_tasks()
        # Only the buffers of its readers are in use.
        assert harness.resources.pool.in_use <= 2 and harness.peer.is_idle


# Shutdown of the front


async def test_shutdown_sheds_pulls_that_never_ran_and_no_relay_is_written_after_that(
    gates: list[anyio.Event],
) -> None:
    """Guards against `errored` for a pull that no cache has seen, and a relay written after its answer."""
    async with one_peer() as harness:
        await harness.start()
        actor = Router(Front(1, CONFIG.settings), CONFIG.names, 100, harness.resources)
        entries = tuple(replace(entry, address=harness.address) for entry in LISTING.entries)
        actor.apply_changes([EndpointList(1, True, entries)])
        harness.tasks.start_soon(actor.run)
        caller = Caller()
        assert actor.submit_pull(cast(Client, caller), 1, ordered(id=1))
        await run_other_tasks()
        assert len(gates) == 1  # its relay waits for a connection
        # Still in the mailbox when the shutdown begins.
        assert actor.submit_pull(cast(Client, caller), 2, ordered(id=2))
        actor.begin_shutdown()
        # Rejected; its client's connection sheds it.
        assert not actor.submit_pull(cast(Client, caller), 3, ordered(id=3))
        assert sorted(await caller.until(2)) == ["1 shed", "2 shed"] and not actor.has_unanswered
        count_before = COUNTERS.counts["peer.connected"]
        harness.start_attempt(7)  # an unrelated attempt, over a connection of its own
        await run_other_tasks()
        for gate in gates:
            gate.set()
        assert (await harness.cache.next()).id == f"{7:016x}"
        while COUNTERS.counts["peer.connected"] < count_before + 2:
            await run_other_tasks()
        await run_other_tasks()
        assert len(harness.cache.commands) == 1


class ManualClock(Clock):
    """A clock that a test advances."""

    now_ms = 1000.0

    def now(self) -> float:
        return self.now_ms

    async def sleep(self, seconds: float) -> None:
        """Replace `anyio.sleep`: advance the clock and run every other task."""
        self.now_ms += 1000.0 * seconds
        await run_other_tasks()


class DrainStub:
    """Stands in for the router and the listener in a drain: pulls are pending until the shutdown begins."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now, self.shutdown_at, self.ended = now, 0.0, False
        self.clients: list[Client] = []
        self.is_empty = True

    @property
    def has_unanswered(self) -> bool:
        return not self.shutdown_at

    def begin_shutdown(self) -> None:
        if not self.shutdown_at:
            self.shutdown_at = self.now()
        else:
            self.ended = True

    def accept(self) -> bool:
        return False


@pytest.mark.parametrize("longest", [900.0, 2500.0, 6000.0])
async def test_drain_gives_the_last_pull_its_full_time(
    longest: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failing, at the longest deadline + 350 ms, a pull that came 600 ms after SIGTERM."""
    from cometseam.program import _drain

    clock = ManualClock()

    async def sleep(seconds: float) -> None:
        clock.now_ms += 1000.0 * seconds

    monkeypatch.setattr(anyio, "sleep", sleep)
    config = replace(CONFIG, links=replace(CONFIG.links, max_deadline=longest))
    drain_stub = DrainStub(clock.now)
    await _drain(config, clock, cast(Router, drain_stub), cast(Listener, drain_stub))
    kill_at = 1000.0 + min(longest, 3000.0) + 700.0  # the earliest SIGKILL, by the protocol
    assert kill_at - 100.0 <= drain_stub.shutdown_at <= kill_at - 50.0 and drain_stub.ended


async def test_connections_waiting_to_be_accepted_at_shutdown_are_accepted_and_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resetting connections that the system has accepted and the front has not."""
    from cometseam.program import _drain

    clock, handler = ManualClock(), SheddingPullHandler()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            listener = Listener(("127.0.0.1", 0), 8, BufferPool(1 << 22), clock, handler)
            listener._tasks = tasks  # only the drain accepts
            sock = socket.create_connection(listener._sock.getsockname())
            sock.sendall(client_request(1))
            sock.setblocking(False)
            assert not listener.clients
            monkeypatch.setattr(anyio, "sleep", clock.sleep)
            tasks.start_soon(_drain, CONFIG, clock, cast(Router, handler), listener)
            got, clean = await read_to_end(sock)
            assert clean and got[4] == 17 and got[9] == 2 and len(handler.accepted) == 1  # an answer: shed
            sock.close()


# The discovery event log


def time_of_fourth_poll(policy: PollPolicy) -> float:
    """Return when the fourth connection polls if the first three stay silent, in ms from the first poll."""
    schedule, now, connections_started = PollSchedule(policy), 0.0, 0
    while connections_started < 4:
        check = schedule.check(now)
        assert not check.abandoned
        if check.start_connection:
            connections_started += 1
            schedule.connection_started(connections_started, now)
            schedule.poll_sent(connections_started, now)  # it is established at once
        else:
            now = check.next_check_at
    return now


async def test_changes_are_received_within_seven_seconds_although_three_polls_in_a_row_fall_silent() -> None:
    """The replacements of a silent connection are silent too, and one sends an answer without end."""
    # The 500 ms are for connecting and for delays of the front itself.
    assert time_of_fourth_poll(PollPolicy()) < 7000.0 - 500.0
    policy = PollPolicy(hold=40.0, answer_allowance=20.0, quick_allowance=20.0, connection_interval=20.0)
    notifier, connection_count = Notifier(), 0
    changes: list[Any] = []
    event = {"seq": 2, "invalidate": {"object": "7" * 16, "time": 1}}

    async def serve(stream: SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        notifier.notify()
        await stream.receive()
        if connection_count == 2:
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n")
            try:
                while True:
                    await stream.send(b" ")
                    await anyio.sleep(0.002)
            except anyio.BrokenResourceError:
                return
        if connection_count < 4:
            await anyio.sleep_forever()
        text = json.dumps({"seq": 2, "results": [event]}).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        await anyio.sleep_forever()

    def on_changes(new_changes: list[Any]) -> None:
        changes.extend(new_changes)
        notifier.notify()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, serve)
            address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
            log = DiscoveryClient(address, 1, CONFIG.names, on_changes, policy)
            tasks.start_soon(log.run)
            await notifier.wait_until(lambda: changes)
            assert connection_count == 4 and log.last_seq == 2
            tasks.cancel_scope.cancel()


async def test_changing_the_log_address_during_a_partly_read_answer_loses_and_repeats_nothing() -> None:
    """SIGHUP changes the address after half an answer; its rest comes after the new log's answer."""
    notifier, changes, requested_paths = Notifier(), list[Any](), list[str]()
    half_sent, may_send_rest = anyio.Event(), anyio.Event()
    events = [{"seq": seq, "invalidate": {"object": f"{seq:016x}", "time": 1}} for seq in (2, 3)]
    text = json.dumps({"seq": 3, "results": events}).encode()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)

    async def serve_old(stream: SocketStream) -> None:
        await stream.receive()
        await stream.send(response[:-40])
        half_sent.set()
        await may_send_rest.wait()
        with suppress(anyio.BrokenResourceError):
            await stream.send(response[-40:])

    async def serve_new(stream: SocketStream) -> None:
        while len(requested_paths) < 2:
            requested_paths.append((await stream.receive()).decode().split(" ")[1])
            notifier.notify()
            if len(requested_paths) == 1:
                await stream.send(response)
        await anyio.sleep_forever()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            addresses = []
            for serve in (serve_old, serve_new):
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                tasks.start_soon(listener.serve, serve)
                addresses.append(("127.0.0.1", listener.extra(SocketAttribute.local_port)))
            log = DiscoveryClient(addresses[0], 1, CONFIG.names, changes.extend)
            tasks.start_soon(log.run)
            await half_sent.wait()
            await run_other_tasks()
            assert not changes
            log.set_address(addresses[1])
            await notifier.wait_until(
                lambda: len(requested_paths) == 2
            )  # it has processed the answer and polls again
            may_send_rest.set()
            await run_other_tasks()
            assert [path.split("since=")[1].split("&")[0] for path in requested_paths] == ["1", "3"]
            assert [change.seq for change in changes] == [2, 3]
            tasks.cancel_scope.cancel()


# Client connections


class RecordingPullHandler:
    """Stands in for the router: records accepted and withdrawn pulls."""

    def __init__(self) -> None:
        self.accepted: list[tuple[Client, int]] = []
        self.withdrawn: list[int] = []
        self.accepts = True  # whether pulls are accepted; others are shed by their connection
        self.notifier = Notifier()

    def is_ready(self) -> bool:
        return True

    def submit_pull(self, client: Client, stream: int, order: Any) -> bool:
        self.accepted.append((client, stream))
        self.notifier.notify()
        return self.accepts

    def hang_up(self, client: Client, stream: int) -> None:
        self.withdrawn.append(stream)
        self.notifier.notify()


class SheddingPullHandler(RecordingPullHandler):
    """The same during shutdown: it has no pending pulls and accepts none."""

    has_unanswered = False

    def __init__(self) -> None:
        super().__init__()
        self.accepts = False

    def begin_shutdown(self) -> None:
        """Do nothing: no pull is pending."""


@asynccontextmanager
async def client_listener(
    max_clients: int = 8, memory: int = 1 << 22, first_pull_timeout: float = 60000.0
) -> AsyncIterator[Any]:
    handler, clock = RecordingPullHandler(), Clock()
    pool = BufferPool(memory)
    listener = Listener(("127.0.0.1", 0), max_clients, pool, clock, handler, first_pull_timeout)
    address = listener._sock.getsockname()

    async def connect_client(buffer: int = 0) -> socket.socket:
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
            yield listener, handler, connect_client, pool
            tasks.cancel_scope.cancel()


async def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """Read until the connection ends; also return whether it was closed cleanly, not reset."""
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


class FakeBody:
    """The body of an answer; counts how often it is freed."""

    def __init__(self, size: int) -> None:
        self.bytes, self.freed = bytes(size), 0

    def views(self, start: int = 0) -> list[memoryview]:
        return [memoryview(self.bytes)[start:]]

    def free(self) -> None:
        self.freed += 1


async def test_pending_answers_to_a_flooding_client_are_fully_written_before_it_is_closed() -> None:
    """Guards against answers dropped past the flood bound, or destroyed by the reset for unread input."""
    async with client_listener() as (listener, handler, connect_client, _):
        sock = await connect_client(buffer=4096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        flood = client_request(1) + b"\xff" * 9 + bytes(2_000_000)  # far more than is read
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
                handler.notifier.notify()

        async with anyio.create_task_group() as sending:
            sending.start_soon(send)
            await handler.notifier.wait_until(lambda: handler.accepted and sent > 300_000)
            (client, stream) = handler.accepted[0]
            await handler.notifier.wait_until(
                lambda: client._discarded_bytes > 262144
            )  # the bound is exceeded
            await run_other_tasks()
            assert client in listener.clients and client.awaits(stream) and not handler.withdrawn
            body = FakeBody(240_000)
            client.answer_served(stream, False, body)
            got, clean = await read_to_end(sock)
            assert got.endswith(body.bytes) and len(got) > len(body.bytes) and body.freed == 1
            assert clean
            sending.cancel_scope.cancel()
        sock.close()
        while client in listener.clients:
            await run_other_tasks()


async def test_new_connection_is_not_evicted_before_its_first_pull_can_arrive() -> None:
    """Guards against the eviction of a new connection whose first pull is on its way."""
    async with client_listener(max_clients=3) as (listener, handler, connect_client, _):
        busy = [await connect_client() for _ in range(2)]
        for sock in busy:
            sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 2)
        fresh = await connect_client()
        while len(listener.clients) < 3:
            await run_other_tasks()
        late = await connect_client()
        for _ in range(3):
            assert listener.accept() is None  # the limit is reached: it waits
        fresh.send(client_request(5))
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 3)
        client, stream = handler.accepted[-1]
        client.answer_shed(stream, 0.0)  # it has sent a pull and is idle: now it may be evicted
        late.send(client_request(9))
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 4)
        got, clean = await read_to_end(fresh)
        assert got and clean  # the earlier answer arrived completely
        for sock in (*busy, fresh, late):
            sock.close()


async def test_input_between_the_idle_check_and_the_close_causes_no_reset() -> None:
    """The client's next pull crosses the close of its idle connection: its last answer arrives completely."""
    async with client_listener() as (listener, handler, connect_client, _):
        sock = await connect_client(buffer=4096)
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        body = FakeBody(100_000)
        client.answer_served(stream, False, body)
        got = b""
        while not client.is_closable:
            await anyio.wait_readable(sock)
            got += sock.recv(4096)
        listener._close_client(client, "overdue")
        sock.send(client_request(2))  # after the check, before the client sees the close
        rest, clean = await read_to_end(sock)
        assert clean and (got + rest).endswith(body.bytes) and len(handler.accepted) == 1
        sock.close()


async def test_incomplete_frame_costs_no_pending_answer_on_its_connection() -> None:
    """Guards against closing a connection for an incomplete frame while pulls on it are open."""
    async with client_listener() as (_, handler, connect_client, _):
        sock = await connect_client()
        sock.send(client_request(1) + client_request(2)[:20])
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        while not client._partial_frame_since:
            await run_other_tasks()
        client._partial_frame_since -= 2500.0  # longer ago than allowed
        client.reject_incomplete_frame()
        assert not client.is_overdue() and client.awaits(stream)
        client.answer_shed(stream, 0.0)
        got, clean = await read_to_end(sock)
        assert clean and got.count(b"\x11") >= 2  # the error on stream 0, and the answer
        sock.close()


async def test_requests_are_read_and_a_disconnect_is_detected_while_no_buffer_is_free() -> None:
    """Guards against requests left unread, or forwarded for a client that has gone, without free buffers."""
    async with client_listener(memory=16 * BUFFER_SIZE_BYTES) as (_, handler, connect_client, pool):
        sock = await connect_client()
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        acquired = [buffer for _ in range(pool.max_buffers) if (buffer := pool.acquire()) is not None]
        assert pool.acquire() is None
        sock.send(client_request(2))
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 2)
        sock.close()
        await handler.notifier.wait_until(lambda: len(handler.withdrawn) == 2)
        assert handler.withdrawn == [1, 2]
        pool.release(acquired)


async def test_a_cache_is_read_at_once_where_clients_that_do_not_read_hold_all_buffers() -> None:
    """Guards against stalled clients that keep all buffers: reading found none and reported no shortage."""
    async with one_peer() as harness:
        await harness.start()
        pool = harness.resources.pool
        held = [buffer for _ in range(pool.max_buffers) if (buffer := pool.acquire()) is not None]
        shortages = 0

        def close_stalled() -> None:
            nonlocal shortages
            shortages += 1
            pool.release([held.pop()])
            pool.release([held.pop()])

        pool.on_shortage = close_stalled
        harness.start_attempt(1)
        await (await harness.cache.next()).answer("DONE", f"tag={TAG},minted=1", b"answer")
        assert await harness.end_reasons() == [EndReason.ANSWERED]
        assert shortages == 1


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_client_disconnect_is_detected_while_its_input_is_not_read(is_reset: bool) -> None:
    """Guards against pulls forwarded for a client that has gone, whose flood of input is left unread."""
    async with client_listener() as (_, handler, connect_client, _):
        sock = await connect_client()
        sock.send(client_request(1) + b"\xff" * 9)
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, _ = handler.accepted[0]
        while client._may_read():
            sock.send(bytes(8192))
            await anyio.sleep(0.001)
        sock.send(bytes(8192))  # stays unread: the close lies behind it
        assert client.awaits(1)
        if not is_reset:
            sock.recv(4096)  # the error: the close of a socket with unread input resets the connection
        sock.close()
        await handler.notifier.wait_until(lambda: handler.withdrawn)
        assert handler.withdrawn == [1]
