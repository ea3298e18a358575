"""Answers that a cache sends twice, and the connections over which a request may go once more.

Guards against a late second copy of an answer that is taken for the answer to the next attempt of the same
request: a copy of `LACK` then proves that an attempt did not run which is still running.
"""

import random
import socket
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import strategies as st

from cometseam.transport.attempt import Attempt, EndReason
from cometseam.transport.connection_limit import ConnectionLimit
from tests.drive import ENDS, Cache, FrontTestbed, ReceivedCommand, client_request, front_testbed, resp
from tests.test_endings import BIG_BYTES, TAG, PeerHarness, one_peer, run_other_tasks

pytestmark = pytest.mark.anyio
REQUESTS = 60
LONGEST_DELAY_S = 1.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def start_next_attempt(harness: PeerHarness, last: Attempt, body: int = 0, source: str = "") -> Attempt:
    """Start another attempt of a request; with `source`, a fill from there."""
    attempt = harness.start_attempt(last.pull_number, body=body)
    attempt.command.source = source
    attempt.history = last.history
    return attempt


async def answer_attempt(harness: PeerHarness, asked: ReceivedCommand, word: str) -> None:
    """Answer a command, and check that this ends the only attempt in flight."""
    ended_before = len(harness.ended_attempts)
    await asked.answer(word, f"tag={TAG},minted=1,why=cached" if word == "DONE" else "-")
    await harness.end_reasons(ended_before + 1)
    end = harness.ended_attempts[-1]
    assert end.reason is EndReason.ANSWERED and end.answer is not None and end.answer.word == word


@pytest.mark.parametrize("connections", [1, 2, 8])
@pytest.mark.parametrize("word", ["LACK", "WAIT", "PAST", "BROKE", "DONE"])
@pytest.mark.parametrize("is_half", [False, True], ids=["whole", "half"])
async def test_a_second_copy_of_an_answer_ends_no_other_attempt(
    connections: int, word: str, is_half: bool
) -> None:
    """Guards against a copy that ends the next attempt while that waits, is half written, or runs."""
    async with one_peer(connections, connect_timeout=5000.0) as harness:
        await harness.start()
        first = harness.start_attempt(1)
        asked = await harness.cache.next()
        await answer_attempt(harness, asked, word)
        copy = resp(asked.id, word, f"tag={TAG},minted=1,why=cached" if word == "DONE" else "-", b"")

        async def send_copy(turns: int = 20) -> None:
            with suppress(*ENDS):  # the connection may be closed by now: then no copy can come over it
                await asked.stream.send(copy[: len(copy) // 2] if is_half else copy)
            await run_other_tasks(turns)

        second = start_next_attempt(harness, first)
        await send_copy()  # while it waits for a connection
        second_asked = await harness.cache.next()
        if not is_half:
            await send_copy()  # while it runs
        assert len(harness.ended_attempts) == 1 and second_asked.stream is not asked.stream
        await answer_attempt(harness, second_asked, "WAIT")
        third = start_next_attempt(harness, second, body=BIG_BYTES)
        while third.outgoing is None or not third.outgoing.begun:
            await anyio.lowlevel.checkpoint()
        if not is_half:
            await send_copy(turns=5)  # while it is half written
        assert not third.written_at and len(harness.ended_attempts) == 2
        third_asked = await harness.cache.next()
        await answer_attempt(harness, third_asked, "DONE")
        if not is_half:
            await send_copy()  # after it was answered
        assert len(harness.ended_attempts) == 3
        assert len({use.connection for use in third.history.uses}) == 3


async def test_a_fill_goes_over_the_connection_of_its_lookup_where_their_misses_differ() -> None:
    """Guards against a handshake for each fill, and against the lookup's miss being taken for the fill's."""
    async with one_peer() as harness:
        await harness.start()
        harness.start_attempt(1)
        noted = await harness.cache.next()
        await noted.answer("LACK", "why=up_empty")  # this deployment's caches say why a fill failed
        await harness.end_reasons()
        lookup = harness.start_attempt(2)
        asked = await harness.cache.next()
        await answer_attempt(harness, asked, "LACK")
        fill = start_next_attempt(harness, lookup, source="parent-1")
        fill_asked = await harness.cache.next()
        assert fill_asked.stream is asked.stream
        await asked.answer("LACK")  # the second copy
        await run_other_tasks()
        assert len(harness.ended_attempts) == 2
        await fill_asked.answer("LACK", "why=up_empty,lag=16.2")
        await harness.end_reasons(3)
        second_fill = start_next_attempt(harness, fill, source="parent-2")
        second_asked = await harness.cache.next()
        assert second_asked.stream is asked.stream
        await asked.answer("LACK", "why=up_empty,lag=16.2")  # the second copy
        await run_other_tasks()
        assert len(harness.ended_attempts) == 3
        await second_asked.answer("LACK", "why=up_empty")  # without the time, copies look like other answers
        await harness.end_reasons(4)
        start_next_attempt(harness, second_fill, source="parent-3")
        assert (await harness.cache.next()).stream is not asked.stream


@dataclass
class RepeatingCaches:
    """Caches that miss, fill, and send some answers twice, up to a second late; what they have run."""

    testbed: FrontTestbed
    random: random.Random
    runs: Counter[str] = field(default_factory=Counter)
    last_body: dict[str, bytes] = field(default_factory=dict)  # by id, of the attempt that ran last
    in_flight: Counter[str] = field(default_factory=Counter)
    copies: int = 0
    two_in_flight: list[str] = field(default_factory=list)
    locks: defaultdict[SocketStream, anyio.Lock] = field(default_factory=lambda: defaultdict(anyio.Lock))

    def serve(self) -> None:
        for cache in self.testbed.caches.values():
            self.testbed._tasks.start_soon(self._take_commands, cache)

    async def _take_commands(self, cache: Cache) -> None:
        while True:
            asked = await cache.next()
            if asked.verb == "REQ":
                self.testbed._tasks.start_soon(self._work, asked)

    async def _work(self, asked: ReceivedCommand) -> None:
        self.in_flight[asked.id] += 1
        if self.in_flight[asked.id] > 1:
            self.two_in_flight.append(asked.id)
        if "via" not in asked.fields:
            word, fields, body = "LACK", "-", b""
        elif self.random.random() < 0.2:
            word, fields, body = "WAIT", "why=fills_full", b""
        else:
            self.runs[asked.id] += 1
            word, fields = "DONE", f"tag={TAG},minted=1,why=fetched"
            body = self.last_body[asked.id] = b"%b %d" % (asked.id.encode(), self.runs[asked.id])
            await anyio.sleep(0.03)
        self.in_flight[asked.id] -= 1
        await self._answer(asked, word, fields, body)
        if self.random.random() < 0.5:
            await anyio.sleep(self.random.choice([0.001, 0.005, 0.02, LONGEST_DELAY_S]))
            await self._answer(asked, word, fields, body)
            self.copies += 1

    async def _answer(self, asked: ReceivedCommand, word: str, fields: str, body: bytes) -> None:
        with suppress(*ENDS):
            async with self.locks[asked.stream]:
                await asked.answer(word, fields, body)


def list_more_caches(count: int, sockets: int) -> Callable[[FrontTestbed], None]:
    """Return a change to a configuration: this many caches of other zones are listed too."""

    def prepare(testbed: FrontTestbed) -> None:
        entries = testbed.config["known"]["results"][0]["fleet"]["endpoints"]
        like = entries[0]
        entries.extend({**like, "name": f"far-{number}", "zone": "middle"} for number in range(count))
        testbed.config["limits"]["sockets"] = sockets

    return prepare


async def send_requests(testbed: FrontTestbed, caches: RepeatingCaches) -> list[Any]:
    """Send the requests, and return the answers by stream; each served body is that of the last attempt."""
    caches.serve()
    caller = await testbed.connect_client()
    codes = {}
    for first in range(1, REQUESTS + 1, 10):
        for stream in range(first, first + 10):
            await caller.send(client_request(stream, item=f"{stream:016x}"))
        for _ in range(10):
            answer = await caller.next()
            codes[answer.stream] = answer.code
            if answer.code == 1:
                assert answer.body == caches.last_body[f"{answer.stream:016x}"]
    return sorted(codes.values())


@pytest.mark.parametrize("effect", ["at_most_once", "deduplicated", "idempotent"])
@pytest.mark.parametrize(("listed", "sockets"), [(48, 256), (300, 256), (3200, 1024)])
async def test_no_request_runs_twice_after_a_second_copy(
    effect: str, listed: int, sockets: int, tmp_path: Path
) -> None:
    """Guards against a request that runs twice on a front with one connection to each cache."""

    def prepare(testbed: FrontTestbed) -> None:
        list_more_caches(listed, sockets)(testbed)
        for workload in testbed.config["settings"]["grades"]:
            workload["repeat"] = effect

    async with front_testbed(tmp_path, "cache-2", prepare=prepare) as testbed:
        caches = RepeatingCaches(testbed, random.Random(listed))
        codes = await send_requests(testbed, caches)
        await testbed.stop()
    assert caches.copies and len(codes) == REQUESTS and codes.count(1) > REQUESTS / 2
    assert not caches.two_in_flight
    assert effect == "idempotent" or max(caches.runs.values()) == 1


async def test_more_caches_than_connections_are_all_served(tmp_path: Path) -> None:
    """Guards against connections to caches that take all descriptors, so that no client is accepted."""
    more = tuple(f"cache-{number}" for number in range(2, 25))
    async with front_testbed(tmp_path, *more, sockets=36) as testbed:
        caches = RepeatingCaches(testbed, random.Random(1))
        codes = await send_requests(testbed, caches)
        counts = await testbed.stop()
    assert codes.count(1) > REQUESTS / 2 and len(codes) == REQUESTS and not caches.two_in_flight
    assert counts["descriptors"] < 36 and counts["peer.connections_evicted"] > 0


async def test_a_repeat_that_finds_no_connection_ends_unsent_and_soon() -> None:
    """Guards against an attempt that waits for its whole time: its request could be served elsewhere."""
    async with one_peer(connections=1, connect_timeout=60.0) as harness:
        harness.cache.alive = True
        await harness.start()
        first = harness.start_attempt(1)
        await answer_attempt(harness, await harness.cache.next(), "LACK")
        harness.start_attempt(2)  # keeps the only connection busy
        busy = await harness.cache.next()
        start_next_attempt(harness, first)
        assert (await harness.end_reasons(2))[-1] is EndReason.UNSENT
        start_next_attempt(harness, first)
        await run_other_tasks()
        await answer_attempt(harness, busy, "WAIT")
        again = await harness.cache.next()  # the place of the idle connection went to it
        assert again.id == f"{1:016x}" and again.stream is not busy.stream


async def test_a_failed_second_connection_says_nothing_about_a_cache_that_answers() -> None:
    """Guards against a cache that is taken for cold because one more connection to it was refused."""
    async with one_peer() as harness:
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        host, port = listening.getsockname()

        async def serve() -> None:
            await anyio.wait_readable(listening)
            sock, _ = listening.accept()
            listening.close()
            await harness.cache.serve(await SocketStream.from_socket(sock))

        harness.tasks.start_soon(serve)
        await harness.start(address=(host, port))
        first = harness.start_attempt(1)
        await answer_attempt(harness, await harness.cache.next(), "LACK")
        start_next_attempt(harness, first)
        assert (await harness.end_reasons(2))[-1] is EndReason.UNSENT
        harness.start_attempt(3)
        await answer_attempt(harness, await harness.cache.next(), "WAIT")  # others go on over the open one


class StubConnection:
    """A connection as the limit sees it."""

    def __init__(self) -> None:
        self.used_at, self.is_idle, self.closed = 0.0, False, False

    def close(self, why: str) -> None:
        self.closed, self.is_idle = True, False


@given(st.integers(1, 6), st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9), st.booleans())))
def test_the_connections_stay_within_the_limit_and_only_idle_ones_give_way(
    maximum: int, steps: list[tuple[int, int, bool]]
) -> None:
    """Guards against a limit that is exceeded, and against busy or recently used connections being closed."""
    limit, connections = ConnectionLimit(maximum), list[StubConnection]()
    for now, (step, index, flag) in enumerate(steps):
        open_ones = [each for each in connections if not each.closed]
        if step == 0:
            idle = sorted((each for each in open_ones if each.is_idle), key=lambda each: each.used_at)
            added, is_full = StubConnection(), len(open_ones) >= maximum
            added.used_at = float(now)
            assert limit.acquire(added, may_evict=flag) == (not is_full or (flag and bool(idle)))
            connections += [added] if not is_full or (flag and idle) else []
            assert [each for each in open_ones if each.closed] == (idle[:1] if is_full and flag else [])
        elif open_ones:
            chosen = open_ones[index % len(open_ones)]
            chosen.used_at, chosen.is_idle = float(now), flag
            if step == 1:
                chosen.closed = True
                limit.release(chosen)
        assert len(limit) == sum(not each.closed for each in connections) <= maximum
