"""What is kept in memory, for how long, and what bounds it.

Guards against a process that goes over its memory limit and is killed: by requests that have ended and wait
for the garbage collector, and by clients that send more than there is memory for.
"""

import gc
import socket
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import cast

import anyio
import pytest

from cometseam.counters import memory_bytes_of
from cometseam.logic import Front
from cometseam.memory import CONNECTION_BYTES, REQUEST_BYTES, ClientAccount, RequestBudget, plan_memory
from cometseam.memory.plan import HISTORY_BYTES, MIN_REQUEST_BYTES, OVERHEAD_BYTES, USABLE_SHARE
from cometseam.protocol.discovery_events import EndpointList
from cometseam.protocol.frames import PullRequest
from cometseam.routing.actor import OpenPull, Router
from cometseam.transport.attempt import Attempt
from cometseam.transport.client import MAX_OPEN_PULLS, MAX_QUEUED_ANSWERS, Client
from cometseam.transport.clock import MAX_KEPT_CANCELLED_TIMERS, Clock, Timers
from cometseam.transport.connection import Connection, OutgoingMessage
from tests.drive import ENDS, FrontTestbed, client_request, frame, front_testbed
from tests.standins.bad_clients import flood
from tests.test_actors import CONFIG, LISTING, Caller, order
from tests.test_endings import BIG_BYTES, TAG, PeerHarness, client_listener, one_peer, run_other_tasks

pytestmark = pytest.mark.anyio
REQUESTS = 20
MB = 1 << 20
BAD_CLIENTS = 100
FLOOD_S = 4.0
REQUEST_TYPES = (OpenPull, PullRequest, Attempt, OutgoingMessage)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextmanager
def no_garbage_collection() -> Iterator[None]:
    """Run without the garbage collector: only what no reference cycle holds is freed."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def count_objects(*types: type) -> dict[str, int]:
    """Return how many objects of each type there are; types without any are left out."""
    return dict(Counter(type(each).__name__ for each in gc.get_objects() if type(each) in types))


async def end_attempts(harness: PeerHarness, caller: Caller, router: Router, how: str) -> None:
    """Have the requests that wait for the cache end in one way."""
    if how == "times out":
        return
    if how == "its client withdraws it":
        for stream in range(1, REQUESTS + 1):
            caller.gone.add(stream)
            router.hang_up(cast(Client, caller), stream)
        return
    for index in range(REQUESTS):
        asked = await harness.cache.next()
        if how == "its connection breaks":
            if not index:
                await asked.stream.aclose()
        else:
            await asked.answer("DONE", f"tag={TAG},minted=1,why=cached", b"x" * 2000)


@pytest.mark.parametrize(
    "how", ["is answered", "times out", "its client withdraws it", "its connection breaks"]
)
async def test_ended_request_and_its_attempts_are_freed_without_the_garbage_collector(how: str) -> None:
    """Guards against reference cycles: a front with slow caches kept ended requests until it was killed."""
    async with one_peer() as harness:
        await harness.start()
        router = Router(Front(1, CONFIG.settings), CONFIG.names, 100, harness.resources)
        entries = tuple(replace(entry, address=harness.address) for entry in LISTING.entries)
        router.apply_changes([EndpointList(1, True, entries)])
        caller = Caller()
        harness.tasks.start_soon(router.run)
        await run_other_tasks()
        with no_garbage_collection():
            for stream in range(1, REQUESTS + 1):
                left = 300.0 if how in ("times out", "its connection breaks") else 5000.0
                assert router.submit_pull(cast(Client, caller), stream, order(left, id=stream))
            await harness.notifier.wait_until(lambda: len(harness.cache.commands) >= REQUESTS)
            assert count_objects(*REQUEST_TYPES)["Attempt"] == REQUESTS  # they are counted while in flight
            await end_attempts(harness, caller, router, how)
            while router.pending_count or any(not peer.is_idle for peer in router._peers.values()):
                await anyio.sleep(0.01)
            await run_other_tasks()
            assert count_objects(*REQUEST_TYPES) == {}


@pytest.mark.parametrize("how", ["the client closes", "the front closes", "the client reads nothing"])
async def test_ended_connections_are_freed_without_the_garbage_collector(how: str) -> None:
    """Guards against connections kept in reference cycles where clients connect again and again."""
    async with client_listener() as (listener, _, connect_client, _):
        with no_garbage_collection():
            for _ in range(REQUESTS):
                sock = await connect_client()
                while not listener.clients:
                    await run_other_tasks()
                assert count_objects(Client)["Client"] == 1
                client = next(iter(listener.clients))
                if how != "the client closes":
                    client._connection.send([bytes(1 if how == "the front closes" else BIG_BYTES)])
                    client.close_gracefully("tested")
                del client
                await run_other_tasks()
                sock.close()
                while listener.clients:
                    await run_other_tasks()
            await run_other_tasks()
            assert count_objects(Client, Connection) == {}


@pytest.mark.parametrize("request_type", ["pulls", "readiness checks"])
async def test_answers_that_a_client_does_not_read_do_not_pile_up(request_type: str) -> None:
    """Guards against clients that send and never read: their answers filled the memory until they stalled."""
    async with client_listener() as (listener, handler, connect_client, _):
        handler.accepts = False
        sock = await connect_client(buffer=4096)
        while not listener.clients:
            await run_other_tasks()
        client: Client = next(iter(listener.clients))
        client._connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        most_queued, stream = 0, 0
        with suppress(OSError):
            while stream < 40_000 and not client._is_closing:
                frames = [
                    frame(32, stream + index, b"\0")
                    if request_type == "readiness checks"
                    else client_request(stream + index)
                    for index in range(1, 101)
                ]
                stream += len(frames)
                raw = b"".join(frames)
                while raw:
                    with suppress(BlockingIOError):
                        raw = raw[sock.send(raw) :]
                    await run_other_tasks(3)
                    most_queued = max(most_queued, client._connection.queued_messages)
        assert client._is_closing  # it got an error, and no more of its input is processed
        assert most_queued <= MAX_QUEUED_ANSWERS + 1
        sock.close()


def test_cancelled_timers_do_not_pile_up() -> None:
    """Guards against timers of answered requests that stay in memory until they would have been due."""
    timers = Timers(Clock())
    active = [timers.call_at(1e15 + number, lambda: None) for number in range(100)]
    for number in range(20_000):
        timers.call_at(1e15 + number, lambda: None).cancel()
        assert len(timers) <= len(active) + MAX_KEPT_CANCELLED_TIMERS + 1
    assert all(timer.is_active for timer in active)
    active[0].cancel()
    active[0].cancel()  # the second time it has no effect
    assert len(timers) <= len(active) + MAX_KEPT_CANCELLED_TIMERS + 1


@pytest.mark.parametrize("limit_mb", [32, 48, 64, 80, 128, 192])
def test_parts_of_the_memory_limit_sum_up_to_less_than_it(limit_mb: int) -> None:
    used_at_start = 21 * MB
    plan = plan_memory(limit_mb * MB, used_at_start)
    total = used_at_start + plan.pool_bytes + plan.request_bytes + HISTORY_BYTES + OVERHEAD_BYTES
    assert total <= USABLE_SHARE * limit_mb * MB


def reserve_all(account: ClientAccount, size: int) -> int:
    """Reserve for requests until one is refused; return how many were accepted."""
    count = 0
    while account.reserve(size):
        count += 1
    return count


@pytest.mark.parametrize("clients", [1, 10, 145, 500])
def test_clients_that_take_all_they_can_leave_memory_for_others(clients: int) -> None:
    """Guards against clients that flood: they leave no memory for the requests of the others."""
    budget = RequestBudget(8 * MB)
    accounts = [ClientAccount(budget) for _ in range(clients)]
    for account in accounts:
        reserve_all(account, REQUEST_BYTES + 12_000)
    assert budget.in_use <= 8 * MB
    assert ClientAccount(budget).reserve(REQUEST_BYTES)
    held = [account.held for account in accounts]
    assert max(held) <= 8 * MB / 5
    for account in accounts:
        account.release(account.held)
    assert reserve_all(accounts[0], REQUEST_BYTES) >= MAX_OPEN_PULLS


def test_connections_leave_less_memory_for_requests_but_never_none() -> None:
    budget = RequestBudget(4 * MB)
    for _ in range(100):
        budget.add_connection()
    assert budget.available == 4 * MB - 100 * CONNECTION_BYTES
    for _ in range(900):
        budget.add_connection()
    assert budget.available == MIN_REQUEST_BYTES
    for _ in range(1000):
        budget.remove_connection()
    budget.capacity = 0  # after SIGHUP
    assert budget.available == MIN_REQUEST_BYTES


async def answer_all(testbed: FrontTestbed) -> None:
    """Answer each request as a cache that has the object."""
    while True:
        asked = await testbed.next_command()
        if asked.verb == "REQ":
            with suppress(*ENDS):
                await asked.answer("DONE", f"tag={TAG},minted=1,why=cached", b"x" * 200)


async def test_floods_of_whole_requests_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against whole requests outside all bounds: the front was killed for its memory.

    Clients send a hundred requests at once, with bodies of 8 to 16 KB; usual clients have to be answered.
    """
    limit_mb = 40
    command = [sys.executable, "-OO", "-m", "cometseam"]
    async with front_testbed(tmp_path, command=command, memory_mb=limit_mb, sockets=512) as testbed:
        testbed._tasks.start_soon(answer_all, testbed)
        usual = await testbed.connect_client()
        for number in range(BAD_CLIENTS):
            testbed._tasks.start_soon(flood, testbed, number + 1)
        peak, stream, began_at = 0, 0, anyio.current_time()
        while anyio.current_time() < began_at + FLOOD_S:
            stream += 1
            with anyio.fail_after(2.0):
                await usual.send(client_request(stream, limit="1500"))
                assert (await usual.next()).code in (1, 2)
            peak = max(peak, memory_bytes_of(testbed.process.pid))
        counts = await testbed.read_counters()
        assert peak <= USABLE_SHARE * limit_mb * MB
        assert counts["pull.no_memory"] > 0  # they took all that they may
        testbed.process.kill()
