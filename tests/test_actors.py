"""The actors in this process: what is owed is answered whatever fails, what is unsent is decided again."""

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
from cometseam.routing.messages import RequestReceived
from cometseam.routing.translate import EndpointTable
from cometseam.transport.attempt import Attempt, AttemptEnded, EndReason, GiveUp
from cometseam.transport.buffers import BUFFER_SIZE_BYTES, BufferPool
from cometseam.transport.client import Client
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.peer import Channel, Peer
from cometseam.transport.resources import ProcessResources
from tests.drive import SAMPLE, News, resp

pytestmark = pytest.mark.anyio
CONFIG: Config = decode(Section(SAMPLE), Section({}))
HANGS = 2
LISTING = cast(EndpointList, CONFIG.initial_events[0])


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Caller:
    """Stands in for a client's connection, and writes down its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.gone: set[int] = set()  # streams that it no longer waits for
        self.news = News()

    def answer_served(self, stream: int, copy_holds: bool, body: object) -> None:
        self._answer(f"{stream} served")

    def answer_shed(self, stream: int, come_back_in: float) -> None:
        self._answer(f"{stream} shed")

    def answer_errored(self, stream: int, why: str = "") -> None:
        self._answer(f"{stream} errored")

    def awaits(self, stream: int) -> bool:
        return stream not in self.gone

    def withdraw_if_disconnected(self) -> None:
        """It is there until it says otherwise."""

    def reject_input(self, stream: int, why: str) -> None:
        self._answer(f"{stream} unusable")

    def _answer(self, text: str) -> None:
        self.answers.append(text)
        self.news.tell()

    async def until(self, count: int) -> list[str]:
        """Wait for so many answers."""
        await self.news.until(lambda: len(self.answers) >= count)
        return self.answers


class Failing:
    """A module that fails on what it is told to fail on."""

    def __init__(self, front: Any, fails_on: type[i.Event]) -> None:
        self.front, self.fails_on = front, fails_on

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if isinstance(event, self.fails_on):
            raise RuntimeError("on purpose")
        return cast(list[i.Action], self.front.handle(now, event))


def around() -> ProcessResources:
    clock = Clock()
    return ProcessResources(CONFIG.links, BufferPool(1 << 22), clock, Timers(clock), max_connections=8)


def order(left: float = 2000.0, workload: str = "maps", id: int = 0) -> PullRequest:
    return PullRequest(f"{id:016x}", workload, left, "7" * 16, 0, 17, 40.0, "", Frame(16, 1), 0)


def router(front: Any, most: int = 100) -> Router:
    return Router(front, CONFIG.names, most, around())


def listing(
    *, address: tuple[str, int] = ("127.0.0.1", 1), state: i.Lifecycle = i.Lifecycle.READY
) -> DiscoveryEvent:
    lines = tuple(
        type(line)(line.name, address, line.zone, line.kind, line.cell, state, line.weight, line.ready_at)
        for line in LISTING.entries
    )
    return EndpointList(1, True, lines)


async def run(actor: Router, test: Callable[[], Any]) -> None:
    """Run an actor and its timers while a test does."""
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(actor.run)
            tasks.start_soon(actor._resources.timers.run)
            await test()
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("fails_on", [i.Pull, i.RelayEnded])
async def test_a_module_that_fails_on_an_event_has_its_pull_answered(fails_on: type[i.Event]) -> None:
    actor, caller = router(Failing(Front(1, CONFIG.settings), fails_on)), Caller()

    async def test() -> None:
        actor.apply_changes([listing()])
        for stream in (1, 2):
            assert actor.submit_pull(cast(Client, caller), stream, order(id=stream))
        assert await caller.until(2) == ["1 errored", "2 errored"]
        assert not actor.pending_count

    await run(actor, test)


async def test_a_module_that_forgets_a_pull_has_it_answered_at_its_cut_off() -> None:
    class Forgetful:
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            return []

    actor, caller = router(Forgetful()), Caller()

    async def test() -> None:
        actor.submit_pull(cast(Client, caller), 1, order(left=30.0))
        assert await caller.until(1) == ["1 errored"]

    await run(actor, test)


async def test_beyond_its_bounds_it_takes_no_pull_and_unknown_workloads_are_errors() -> None:
    actor, caller = router(Front(1, CONFIG.settings), most=2), Caller()
    assert actor.submit_pull(cast(Client, caller), 1, order(workload="unheard"))
    assert actor.submit_pull(cast(Client, caller), 2, order(workload="unheard"))
    assert not actor.submit_pull(cast(Client, caller), 3, order())

    async def test() -> None:
        assert await caller.until(2) == ["1 unusable", "2 unusable"]
        assert actor.submit_pull(cast(Client, caller), 3, order())

    await run(actor, test)


@pytest.mark.parametrize(
    "later",
    [
        Purge(2, int("7" * 16, 16), 0, 1.0),
        Purge(2, 0, 17, 1.0),
        listing(state=i.Lifecycle.DRAINING),
    ],
    ids=["object", "group", "drain"],
)
async def test_what_waits_unsent_is_decided_again_at_a_purge_or_a_drain(later: DiscoveryEvent) -> None:
    ends: list[i.RelayEnded] = []
    news = News()

    class Noting(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.RelayEnded):
                ends.append(event)
                news.tell()
            return super().handle(now, event)

    actor, caller = router(Noting(1, CONFIG.settings)), Caller()

    async def test() -> None:
        await anyio.lowlevel.checkpoint()
        actor.apply_changes([listing()])
        # The peer has no turn between the two: its relay waits for a connection when the change comes in.
        actor._handle(RequestReceived(cast(Client, caller), 1, order(), actor._resources.clock.now()))
        actor.apply_changes([later])
        await news.until(lambda: ends)
        assert ends[0].outcome is i.Outcome.NOT_SENT

    await run(actor, test)


async def test_a_connection_that_does_not_come_up_delays_only_its_own_relays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Channel._connect

    async def connect_or_hang(channel: Channel) -> socket.socket:
        if channel._peer.address[1] == HANGS:
            await anyio.sleep_forever()
        return await connect(channel)

    monkeypatch.setattr(Channel, "_connect", connect_or_hang)
    ends: list[AttemptEnded] = []
    news = News()
    here = around()
    peers = []
    for address in (("127.0.0.1", HANGS), ("127.0.0.1", 1)):

        def report(end: AttemptEnded) -> None:
            ends.append(end)
            news.tell()

        peers.append(Peer("p", address, here, report, Mailbox(2)))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    now = here.clock.now()
    asks = [Attempt(number, 0, command, [], now, now + 2000.0) for number in range(2)]
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            for ask, peer in zip(asks, peers, strict=True):
                assert peer.mailbox.offer(ask)
                tasks.start_soon(peer.run)
            tasks.start_soon(here.timers.run)
            await news.until(lambda: len(ends) == 1)
            # Refused: told at once.
            assert ends[0].attempt is asks[1] and ends[0].reason is EndReason.UNCONNECTED
            assert here.clock.now() - now < CONFIG.links.connect_timeout
            peers[0].mailbox.push(GiveUp(asks[0]))
            await news.until(lambda: len(ends) == 2)
            assert ends[1].attempt is asks[0] and ends[1].reason is EndReason.UNSENT
            tasks.cancel_scope.cancel()


async def test_a_peer_that_takes_no_bytes_is_left_and_its_relay_never_ran() -> None:
    ends: list[AttemptEnded] = []
    news = News()

    def report(end: AttemptEnded) -> None:
        ends.append(end)
        news.tell()

    listener, here = socket.create_server(("127.0.0.1", 0)), around()
    peer = Peer("p", listener.getsockname(), here, report, Mailbox(2))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    now = here.clock.now()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer.run)
            tasks.start_soon(here.timers.run)
            assert peer.mailbox.offer(Attempt(1, 0, command, [memoryview(bytes(1 << 24))], now, now + 200.0))
            await news.until(lambda: ends)
            assert ends[0].reason is EndReason.UNCONNECTED and peer.is_idle
            tasks.cancel_scope.cancel()
    listener.close()


async def test_what_was_not_written_whole_when_a_connection_broke_takes_another() -> None:
    ends: list[AttemptEnded] = []
    news, here, size, served = News(), around(), 1 << 24, 0

    def report(end: AttemptEnded) -> None:
        ends.append(end)
        news.tell()

    async def serve(stream: SocketStream) -> None:
        nonlocal served
        served += 1
        got = 0
        while got < (size if served == 2 else 1):
            got += len(await stream.receive())
        if served == 2:
            await stream.send(resp("0" * 16, "LACK", "-", b""))
            await anyio.sleep_forever()
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
    peer = Peer("p", address, here, report, Mailbox(2))
    command = Command("0" * 16, "maps", "7" * 16, 0, "", 0, 0.0, False, False, False, False, "")
    now = here.clock.now()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            for actor in (peer.run, here.timers.run):
                tasks.start_soon(actor)
            tasks.start_soon(listener.serve, serve)
            assert peer.mailbox.offer(Attempt(1, 0, command, [memoryview(bytes(size))], now, now + 9000.0))
            await news.until(lambda: ends)
            assert ends[0].reason is EndReason.ANSWERED and served == 2
            tasks.cancel_scope.cancel()


async def test_a_pull_withdrawn_before_its_turn_does_not_reach_the_module() -> None:
    actor, caller = router(Front(1, CONFIG.settings)), Caller()
    for stream in (1, 2):
        assert actor.submit_pull(cast(Client, caller), stream, order(id=stream))
    caller.gone.add(1)
    actor.hang_up(cast(Client, caller), 1)

    async def test() -> None:
        assert await caller.until(1) == ["2 shed"]  # nothing is listed

    had = COUNTERS.counts["pull.taken"]
    await run(actor, test)
    assert COUNTERS.counts["pull.taken"] == had + 1 and not actor.pending_count


async def test_the_module_is_told_how_late_the_loop_is() -> None:
    told: list[i.LoopLagged] = []
    news = News()

    class Noting(Front):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            if isinstance(event, i.LoopLagged):
                told.append(event)
                news.tell()
            return super().handle(now, event)

    actor = router(Noting(1, CONFIG.settings))

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_sample, actor._resources.clock, actor)
            await anyio.lowlevel.checkpoint()
            time.sleep(0.2)  # the loop stands still
            await news.until(lambda: any(event.lag >= 100.0 for event in told))
            tasks.cancel_scope.cancel()

    await run(actor, test)


def test_a_pool_takes_over_another_bound_while_buffers_are_lent() -> None:
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


async def test_a_mailbox_is_bounded_and_lets_what_is_urgent_pass() -> None:
    box: Mailbox[int] = Mailbox(2)
    assert box.offer(1) and box.offer(2) and not box.offer(3)
    box.put_urgent(9)
    assert [await box.take() for _ in range(3)] == [9, 1, 2] and box.offer(3)


async def test_timers_run_in_order_a_sooner_one_first_and_none_that_is_cancelled() -> None:
    clock = Clock()
    timers, done, news = Timers(clock), list[str](), News()

    def note(text: str) -> Callable[[], None]:
        def run() -> None:
            done.append(text)
            news.tell()

        return run

    now = clock.now()
    timers.call_at(now + 40.0, note("later"))
    timers.call_at(now + 20.0, note("cancelled")).cancel()
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            await anyio.lowlevel.checkpoint()
            timers.call_at(now + 10.0, note("sooner"))
            timers.call_at(now + 15.0, lambda: done.remove("it is not there"))
            await news.until(lambda: len(done) == 2)
            tasks.cancel_scope.cancel()
    assert done == ["sooner", "later"]


def test_a_cache_has_one_number_on_all_fronts_whatever_order_it_comes_in() -> None:
    def numbers(lines: tuple[Any, ...]) -> dict[str, int]:
        entries = EndpointTable().apply_listing(EndpointList(1, True, lines), 0.0).entries
        return {line.name: entry.cache for line, entry in zip(lines, entries, strict=True)}

    assert numbers(LISTING.entries) == numbers(LISTING.entries[::-1])
    assert len(set(numbers(LISTING.entries).values())) == len(LISTING.entries)
    roster = EndpointTable()
    (first, *_) = roster.apply_listing(EndpointList(1, True, LISTING.entries[:1]), 0.0).entries
    roster.apply_listing(listing(state=i.Lifecycle.GONE), 0.0)  # type: ignore[arg-type]
    assert not len(roster) and roster.apply_listing(LISTING, 0.0).entries[0].cache == first.cache
