"""What is kept in memory, for how long, and what bounds it.

Guards against a process that goes over its memory limit and is killed: by requests that have ended and wait
for the garbage collector, and by clients that send more than there is memory for.
"""

import gc
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import cast

import anyio
import pytest

from cometseam.logic import Front
from cometseam.protocol.discovery_events import EndpointList
from cometseam.protocol.frames import PullRequest
from cometseam.routing.actor import OpenPull, Router
from cometseam.transport.attempt import Attempt
from cometseam.transport.client import Client
from cometseam.transport.clock import MAX_KEPT_CANCELLED_TIMERS, Clock, Timers
from cometseam.transport.connection import Connection, OutgoingMessage
from tests.test_actors import CONFIG, LISTING, Caller, order
from tests.test_endings import BIG_BYTES, TAG, PeerHarness, client_listener, one_peer, run_other_tasks

pytestmark = pytest.mark.anyio
REQUESTS = 20
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
