"""The router and peer actors, run inside the test process.

Guards against pulls left without an answer when the decision module or a connection fails, and against relays
that are still sent after a purge or a drain. Also tests mailboxes, timers and buffer pools.
"""

import socket
import time
from collections.abc import Callable
from typing import Any, cast

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from cometseam import interface as i
from cometseam.config import Config, decode
from cometseam.counters import COUNTERS
from cometseam.json_section import Section
from cometseam.logic import Front
from cometseam.mailbox import Mailbox
from cometseam.program import _sample
from cometseam.protocol.discovery_events import DiscoveryEvent, EndpointList, Purge
from cometseam.protocol.frames import Frame, PullRequest
from cometseam.protocol.resp import Command
from cometseam.routing.actor import Router
from cometseam.routing.endpoints import EndpointTable
from cometseam.routing.messages import RequestReceived
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.buffers import BUFFER_SIZE_BYTES, BufferPool
from cometseam.transport.channel import Channel
from cometseam.transport.client import Client
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection_limit import ConnectionLimit
from cometseam.transport.peer import Peer
from cometseam.transport.resources import ProcessResources
from tests.drive import SAMPLE, Notifier, resp

pytestmark = pytest.mark.anyio
CONFIG: Config = decode(Section(SAMPLE), Section({}))
HANGING_PORT = 2
LISTING = cast(EndpointList, CONFIG.initial_events[0])


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Caller:
    """A test double of a client's connection that records its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.gone: set[int] = set()  # streams whose answers it no longer waits for
        self.notifier = Notifier()

    def answer_served(self, stream: int, is_not_modified: bool, body: object) -> None:
        self._answer(f"{stream} served")

    def answer_shed(self, stream: int, retry_after: float) -> None:
        self._answer(f"{stream} shed")

    def answer_errored(self, stream: int, why: str = "") -> None:
        self._answer(f"{stream} errored")

    def awaits(self, stream: int) -> bool:
        return stream not in self.gone

    def withdraw_if_disconnected(self) -> None:
        """Stay connected: only `gone` withdraws a stream."""

    def reject_input(self, stream: int, why: str) -> None:
        self._answer(f"{stream} unusable")

    def _answer(self, text: str) -> None:
        self.answers.append(text)
        self.notifier.notify()

    async def until(self, count: int) -> list[str]:
        """Wait for `count` answers and return all."""
        await self.notifier.wait_until(lambda: len(self.answers) >= count)
        return self.answers


class FailingModule:
    """A decision module that raises on events of one type."""

    def __init__(self, front: Any, fails_on: type[i.Event]) -> None:
        self.front, self.fails_on = front, fails_on
        self.edges = front.edges

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if isinstance(event, self.fails_on):
            raise RuntimeError("on purpose")
        return cast(list[i.Action], self.front.handle(now, event))


def make_resources() -> ProcessResources:
    clock = Clock()
    return ProcessResources(CONFIG.links, BufferPool(1 << 22), clock, Timers(clock), ConnectionLimit(8))


def order(left: float = 2000.0, workload: str = "maps", id: int = 0) -> PullRequest:
    return PullRequest(f"{id:016x}", workload, left, "7" * 16, 0, 17, 40.0, "", Frame(16, 1), 0)


def make_router(front: Any, max_open: int = 100) -> Router:
    return Router(front, CONFIG.names, max_open, make_resources())


def make_listing(
    *, address: tuple[str, int] = ("127.0.0.1", 1), lifecycle: i.Lifecycle = i.Lifecycle.READY
) -> DiscoveryEvent:
    entries = tuple(
        type(entry)(
            entry.name, address, entry.zone, entry.kind, entry.cell, lifecycle, entry.weight, entry.ready_at
        )
        for entry in LISTING.entries
    )
    return EndpointList(1, True, entries)


async def run_actor(actor: Router, test: Callable[[], Any]) -> None:
    """Run a router and its timers until `test` has ended."""
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(actor.run)
            tasks.start_soon(actor._resources.timers.run)
            await test()
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("fails_on", [i.Pull, i.RelayEnded])
async def test_a_pull_is_answered_if_the_module_raises_on_its_event(fails_on: type[i.Event]) -> None:
    actor, caller = make_router(FailingModule(Front(1, CONFIG.settings), fails_on)), Caller()

    async def test() -> None:
        actor.apply_changes([make_listing()])
        for stream in (1, 2):
            assert actor.submit_pull(cast(Client, caller), stream, order(id=stream))
        assert await caller.until(2) == ["1 errored", "2 errored"]
        assert not actor.pending_count

    await run_actor(actor, test)


async def test_a_pull_that_the_module_ignores_is_answered_at_its_deadline() -> None:
    class IgnoringModule:
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            return []

    actor, caller = make_router(IgnoringModule()), Caller()

    async def test() -> None:
        actor.submit_pull(cast(Client, caller), 1, order(left=30.0))
        assert await caller.until(1) == ["1 errored"]

    await run_actor(actor, test)


async def test_a_full_router_rejects_pulls_and_unknown_workloads_are_errors() -> None:
    actor, caller = make_router(Front(1, CONFIG.settings), max_open=2), Caller()
    assert actor.submit_pull(cast(Client, caller), 1, order(workload="unheard"))
    assert actor.submit_pull(cast(Client, caller), 2, order(workload="unheard"))
    assert not actor.submit_pull(cast(Client, caller), 3, order())

    async def test() -> None:
        assert await caller.until(2) == ["1 unusable", "2 unusable"]
        assert actor.submit_pull(cast(Client, caller), 3, order())

    await run_actor(actor, test)


@pytest.mark.parametrize(
    "change",
    [
        Purge(2, int("7" * 16, 16), 0, 1.0),
        Purge(2, 0, 17, 1.0),
        make_listing(lifecycle=i.Lifecycle.DRAINING),
    ],
    ids=["object", "group", "drain"],
)
async def test_an_unsent_relay_is_withdrawn_at_a_purge_or_a_drain(change: DiscoveryEvent) -> None:
    ends: list[i.RelayEnded] = []
    notifier = Notifier()

    class RecordingFront(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.RelayEnded):
                ends.append(event)
                notifier.notify()
            return super().handle(now, event)

    actor, caller = make_router(RecordingFront(1, CONFIG.settings)), Caller()

    async def test() -> None:
        await anyio.lowlevel.checkpoint()
        actor.apply_changes([make_listing()])
        # The peer does not run between the two, so its relay still waits for a connection at the change.
        actor._handle(RequestReceived(cast(Client, caller), 1, order(), actor._resources.clock.now()))
        actor.apply_changes([change])
        await notifier.wait_until(lambda: ends)
        assert ends[0].outcome is i.Outcome.NOT_SENT

    await run_actor(actor, test)


async def test_a_connection_that_does_not_come_up_delays_only_its_own_relays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Channel._connect

    async def connect_or_hang(channel: Channel) -> socket.socket:
        if channel._peer.address[1] == HANGING_PORT:
            await anyio.sleep_forever()
        return await connect(channel)

    monkeypatch.setattr(Channel, "_connect", connect_or_hang)
    ends: list[AttemptEnded] = []
    notifier = Notifier()
    resources = make_resources()
    peers = []
    for address in (("127.0.0.1", HANGING_PORT), ("127.0.0.1", 1)):

        def report(end: AttemptEnded) -> None:
            ends.append(end)
            notifier.notify()

        peers.append(Peer("p", address, resources, report, Mailbox(2)))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    started_at = resources.clock.now()
    attempts = [Attempt(number, 0, command, [], started_at, started_at + 2000.0) for number in range(2)]
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            for attempt, peer in zip(attempts, peers, strict=True):
                assert peer.mailbox.offer(attempt)
                tasks.start_soon(peer.run)
            tasks.start_soon(resources.timers.run)
            await notifier.wait_until(lambda: len(ends) == 1)
            # The refused connection is reported at once.
            assert ends[0].attempt is attempts[1] and ends[0].reason is EndReason.UNCONNECTED
            assert resources.clock.now() - started_at < CONFIG.links.connect_timeout
            peers[0].mailbox.push(GiveUp(attempts[0]))
            await notifier.wait_until(lambda: len(ends) == 2)
            assert ends[1].attempt is attempts[0] and ends[1].reason is EndReason.UNSENT
            tasks.cancel_scope.cancel()


async def test_a_relay_to_a_peer_that_reads_nothing_ends_as_never_run() -> None:
    ends: list[AttemptEnded] = []
    notifier = Notifier()

    def report(end: AttemptEnded) -> None:
        ends.append(end)
        notifier.notify()

    listener, resources = socket.create_server(("127.0.0.1", 0)), make_resources()
    peer = Peer("p", listener.getsockname(), resources, report, Mailbox(2))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    now = resources.clock.now()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.run)
            tasks.start_soon(resources.timers.run)
            assert peer.mailbox.offer(Attempt(1, 0, command, [memoryview(bytes(1 << 24))], now, now + 200.0))
            await notifier.wait_until(lambda: ends)
            assert ends[0].reason is EndReason.UNCONNECTED and peer.is_idle
            tasks.cancel_scope.cancel()
    listener.close()


async def test_an_attempt_not_fully_written_when_its_connection_breaks_uses_another() -> None:
    ends: list[AttemptEnded] = []
    notifier, resources, size, connections = Notifier(), make_resources(), 1 << 24, 0

    def report(end: AttemptEnded) -> None:
        ends.append(end)
        notifier.notify()

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        received = 0
        while received < (size if connections == 2 else 1):
            received += len(await stream.receive())
        if connections == 2:
            await stream.send(resp("0" * 16, "LACK", "-", b""))
            await anyio.sleep_forever()
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
    peer = Peer("p", address, resources, report, Mailbox(2))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    now = resources.clock.now()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            for run_task in (peer.run, resources.timers.run):
                tasks.start_soon(run_task)
            tasks.start_soon(listener.serve, serve)
            assert peer.mailbox.offer(Attempt(1, 0, command, [memoryview(bytes(size))], now, now + 9000.0))
            await notifier.wait_until(lambda: ends)
            assert ends[0].reason is EndReason.ANSWERED and connections == 2
            tasks.cancel_scope.cancel()


async def test_a_pull_withdrawn_before_its_turn_does_not_reach_the_module() -> None:
    actor, caller = make_router(Front(1, CONFIG.settings)), Caller()
    for stream in (1, 2):
        assert actor.submit_pull(cast(Client, caller), stream, order(id=stream))
    caller.gone.add(1)
    actor.hang_up(cast(Client, caller), 1)

    async def test() -> None:
        assert await caller.until(1) == ["2 shed"]  # no cache is listed

    taken_before = COUNTERS.counts["pull.taken"]
    await run_actor(actor, test)
    assert COUNTERS.counts["pull.taken"] == taken_before + 1 and not actor.pending_count


async def test_the_module_receives_the_event_loop_lag() -> None:
    lag_events: list[i.LoopLagged] = []
    notifier = Notifier()

    class RecordingFront(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.LoopLagged):
                lag_events.append(event)
                notifier.notify()
            return super().handle(now, event)

    actor = make_router(RecordingFront(1, CONFIG.settings))

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_sample, actor._resources.clock, actor)
            await anyio.lowlevel.checkpoint()
            time.sleep(0.2)  # blocks the event loop
            await notifier.wait_until(lambda: any(event.lag >= 100.0 for event in lag_events))
            tasks.cancel_scope.cancel()

    await run_actor(actor, test)


def test_a_buffer_pool_can_be_resized_while_buffers_are_in_use() -> None:
    pool = BufferPool(32 * BUFFER_SIZE_BYTES)
    first, second = pool.allocate(20 * BUFFER_SIZE_BYTES), pool.allocate(12 * BUFFER_SIZE_BYTES)
    assert first and second and pool.allocate(1) is None
    pool.resize(16 * BUFFER_SIZE_BYTES)
    second.free()
    assert pool.allocate(1) is None and pool.in_use == 20
    first.free()
    assert (
        pool.in_use == 0
        and pool.allocate(17 * BUFFER_SIZE_BYTES) is None
        and pool.allocate(16 * BUFFER_SIZE_BYTES)
    )
    pool.resize(17 * BUFFER_SIZE_BYTES)
    assert pool.allocate(1)


async def test_a_mailbox_is_bounded_and_returns_urgent_messages_first() -> None:
    mailbox: Mailbox[int] = Mailbox(2)
    assert mailbox.offer(1) and mailbox.offer(2) and not mailbox.offer(3)
    mailbox.put_urgent(9)
    assert [await mailbox.take() for _ in range(3)] == [9, 1, 2] and mailbox.offer(3)


async def test_timers_run_in_order_of_time_and_cancelled_ones_do_not_run() -> None:
    clock = Clock()
    timers, calls, notifier = Timers(clock), list[str](), Notifier()

    def record_as(text: str) -> Callable[[], None]:
        def run() -> None:
            calls.append(text)
            notifier.notify()

        return run

    now = clock.now()
    timers.call_at(now + 40.0, record_as("later"))
    timers.call_at(now + 20.0, record_as("cancelled")).cancel()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            await anyio.lowlevel.checkpoint()
            timers.call_at(now + 10.0, record_as("sooner"))
            timers.call_at(now + 15.0, lambda: calls.remove("it is not there"))
            await notifier.wait_until(lambda: len(calls) == 2)
            tasks.cancel_scope.cancel()
    assert calls == ["sooner", "later"]


def test_the_number_of_a_cache_does_not_depend_on_the_order_of_the_list() -> None:
    def numbers_by_name(listed: tuple[Any, ...]) -> dict[str, int]:
        entries = EndpointTable().apply_listing(EndpointList(1, True, listed), 0.0).entries
        return {known.name: entry.cache for known, entry in zip(listed, entries, strict=True)}

    assert numbers_by_name(LISTING.entries) == numbers_by_name(LISTING.entries[::-1])
    assert len(set(numbers_by_name(LISTING.entries).values())) == len(LISTING.entries)
    table = EndpointTable()
    (first, *_) = table.apply_listing(EndpointList(1, True, LISTING.entries[:1]), 0.0).entries
    table.apply_listing(make_listing(lifecycle=i.Lifecycle.GONE), 0.0)  # type: ignore[arg-type]
    assert not len(table) and table.apply_listing(LISTING, 0.0).entries[0].cache == first.cache
