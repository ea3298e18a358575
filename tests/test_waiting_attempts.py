"""Attempts that wait for a free stream of a connection, while the endpoint answers nothing.

Guards against work for each event that grows with the number of waiting attempts: beside a cache that hangs
it took the whole core, and answers came up to 100 ms past their deadline.
"""

import time
from dataclasses import replace
from typing import cast

import pytest

from cometseam.logic import Front
from cometseam.protocol.discovery_events import EndpointList
from cometseam.routing.actor import Router
from cometseam.transport.attempt import EndReason
from cometseam.transport.client import Client
from cometseam.transport.peer import Peer
from tests.test_actors import CONFIG, LISTING, Caller, order
from tests.test_endings import PeerHarness, one_peer, run_other_tasks

pytestmark = pytest.mark.anyio
WAITING = 200
MAX_LOOKS_EACH = 4  # once when it comes, once when it is placed, and two more while connections come up


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def start_counted_attempts(harness: PeerHarness, count: int) -> dict[int, int]:
    """Start attempts; return a table that counts how often the client of each is asked for."""
    looks: dict[int, int] = {}

    def count_look(number: int) -> bool:
        looks[number] = looks.get(number, 0) + 1
        return True

    for number in range(1, count + 1):
        attempt = harness.start_attempt(number)
        attempt.is_client_waiting = lambda number=number: count_look(number)  # type: ignore[misc]
    return looks


async def start_peer(harness: PeerHarness) -> tuple[Peer, int]:
    """Start the peer with a mailbox for all attempts; return it and how many of them have a stream."""
    await harness.start()
    harness.cache.alive = True  # a connection that is silent for a while is not closed
    harness.peer.mailbox.max_messages = 10_000
    return harness.peer, harness.resources.links.max_streams * harness.resources.connections_per_peer


async def test_attempts_waiting_for_a_stream_cost_nothing_until_one_is_free() -> None:
    async with one_peer(connections=2) as harness:
        _, streams = await start_peer(harness)
        looks = start_counted_attempts(harness, streams + WAITING)
        await harness.notifier.wait_until(lambda: len(harness.cache.commands) == streams)
        await run_other_tasks()
        assert len(looks) == streams + WAITING and max(looks.values()) <= MAX_LOOKS_EACH
        for answered in range(1, WAITING + 1):  # each answer frees a stream for one more
            asked = await harness.cache.next()
            await asked.answer("LACK")
            expected = streams + answered
            await harness.notifier.wait_until(lambda: len(harness.cache.commands) == expected)  # noqa: B023
        assert max(looks.values()) <= MAX_LOOKS_EACH
        assert await harness.end_reasons(WAITING) == [EndReason.ANSWERED] * WAITING


async def test_attempts_waiting_for_a_stream_are_placed_when_a_connection_breaks() -> None:
    """Guards against attempts that are left waiting: a broken connection makes room for another one."""
    async with one_peer(connections=2) as harness:
        _, streams = await start_peer(harness)
        start_counted_attempts(harness, 2 * streams)
        await harness.notifier.wait_until(lambda: len(harness.cache.commands) == streams)
        await harness.cache.commands[0].stream.aclose()
        broken = harness.resources.links.max_streams
        assert await harness.end_reasons(broken) == [EndReason.BROKEN] * broken
        await harness.notifier.wait_until(lambda: len(harness.cache.commands) == streams + broken)


async def test_request_whose_timers_run_late_is_answered_by_the_decision_module() -> None:
    """Guards against the router's last resort, which fails a request whose attempt ended in the same turn."""
    time_left_ms = 300.0
    async with one_peer() as harness:
        await harness.start()
        router = Router(Front(1, CONFIG.settings), CONFIG.names, 100, harness.resources)
        entries = tuple(replace(entry, address=harness.address) for entry in LISTING.entries)
        router.apply_changes([EndpointList(1, True, entries)])
        caller = Caller()
        harness.tasks.start_soon(router.run)
        await run_other_tasks()
        began_at = time.monotonic()
        assert router.submit_pull(cast(Client, caller), 1, order(time_left_ms, id=1))
        await harness.cache.next()  # it is never answered
        # The process stands still until the deadline and the grace period are over: both timers are due.
        past_grace_s = (time_left_ms + 2.0 * CONFIG.links.answer_grace) / 1000.0
        time.sleep(max(began_at + past_grace_s - time.monotonic(), 0.0))
        assert await caller.until(1) == ["1 shed"]
