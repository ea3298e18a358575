"""Requests went to an endpoint for more than the grace after the front had been notified that it drains.

The front waited 2.0 s for the answer to a poll of discovery and then closed the connection, without a look
at what lay unread on it. Where the answer had come in just then (discovery was slow, or the front itself had
stood still, so that its timer ran first), the event went with the connection: the front had been notified and
did not know. It learnt of the drain when a later poll was answered, and until then it sent on what clients
asked for. With a front that stood still for 1.3 s around the end of its poll, 12 of 20 requests were written
to the draining endpoint 1.309 s after the notification, and the log said

    the change log: TimeoutError:  (asked, 2307 ms, events after 1)

Where discovery takes longer than 2.0 s for each answer, every poll ended so and no event was ever taken in.
"""

import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.drive import Asked, Cache, Caller, World, order, world
from tests.standins.discovery import Discovery
from tests.test_leaving import stands_still

pytestmark = pytest.mark.anyio
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"
GRACE = 0.55  # s after a notification: the settings' grace, and what sockets add
KNOWN_BY = 7.0  # s after an event entered discovery, from when on it counts as known whether or not it came
PATIENT = 4000.0  # ms: a target latency that lets requests go on although the front has stood still
DRAINING = "cache-1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class Scene:
    """A front between scripted caches and a scripted discovery, and what reached each endpoint when."""

    here: World
    discovery: Discovery
    written: list[tuple[float, str, str]] = field(default_factory=list)  # time, endpoint, source of a fill
    served: int = 0
    lacking: bool = False  # whether the caches hold nothing, so that requests go on as fills
    fresh: dict[str, list[str]] = field(default_factory=dict)  # by request: the age that each attempt allows

    async def answer(self, cache: Cache) -> None:
        """Answer all that a cache is asked, at once."""
        while True:
            asked: Asked = await cache.next()
            self.written.append((time.monotonic(), cache.name, asked.fields.get("via", "")))
            self.fresh.setdefault(asked.id, []).append(asked.fields.get("fresh", "0"))
            if self.lacking and "via" not in asked.fields:
                await asked.answer("LACK")
            else:
                await asked.answer("DONE", COPY, b"x")

    async def ask(self, every: float) -> None:
        """Ask for another object each time, on one connection."""
        caller, stream = await self.here.call(), 0
        while True:
            stream += 1
            await caller.send(request(stream, stream))
            await caller.next()
            self.served += 1
            await anyio.sleep(every)

    def purge(self) -> int:
        """Tell that the group which all requests belong to is purged now; return the event's number."""
        return self.discovery.tell(invalidate={"bucket": 17, "time": round(time.time() * 1000.0)})

    def late(self, since: float, endpoint: str = DRAINING) -> list[float]:
        """Return how long after `since` requests reached the draining endpoint, or named it as source."""
        return [at - since for at, name, source in self.written if endpoint in (name, source) and at > since]


def request(stream: int, number: int, txn: int = 0) -> bytes:
    """A request for the object of this number."""
    return order(stream, verb="grids", limit="6000", txn=f"{txn or number:016x}", item=f"{number:016x}")


@asynccontextmanager
async def scene(
    folder: Path, draining: bool = False, discovery: Discovery | None = None,
    before_start: Callable[[World], Awaitable[None]] | None = None,
) -> AsyncIterator[Scene]:  # fmt: skip
    """The front among its stand-ins.

    Args:
        folder: for the front's configuration.
        draining: whether it is started with a list in which an endpoint drains.
        discovery: the stand-in for it; one that behaves well where there is none.
        before_start: what happens after the front's configuration is written.
    """
    discovery = discovery or Discovery()

    def prepare(here: World) -> None:
        if draining:
            here.config["known"] = {**here.config["known"], "seq": 2}
            listed = {"index": 2, "snapshot": False, "endpoints": [here.line(DRAINING, status="leaving")]}
            here.config["known"]["results"].append({"seq": 2, "fleet": listed})
            discovery.tell(invalidate={"object": "f" * 16, "time": 1})  # event 2: known from the start
        here.discover, here.news = discovery.serve, discovery.news
        if before_start is not None:
            here.before_start = lambda: before_start(here)
        here.config["settings"]["grades"][0]["aim"] = PATIENT

    start = world(folder, "cache-2", prepare=prepare, patience=30.0)
    async with start as here, anyio.create_task_group() as tasks:
        scene = Scene(here, discovery)
        for cache in here.caches.values():
            tasks.start_soon(scene.answer, cache)
        yield scene
        tasks.cancel_scope.cancel()


async def next_poll(discovery: Discovery) -> None:
    """Wait until the front polls anew, and has discovery hold the poll until something happens."""
    had = len(discovery.polls)
    await discovery.news.until(lambda: any(poll.hold > 1.0 for poll in discovery.polls[had:]))


async def notified(discovery: Discovery, event: int) -> float:
    """Wait until an answer that holds the event has been written whole; return when that was."""
    await discovery.news.until(lambda: discovery.notified_at(event) is not None)
    at = discovery.notified_at(event)
    assert at is not None
    return at


async def stand_still(its: Scene, tell: Callable[[], int]) -> tuple[float, list[int]]:
    """Stop the front past the end of its poll, notify it, and have 20 clients ask before it goes on.

    Returns: when it was notified, and how the requests ended.
    """
    here, discovery = its.here, its.discovery
    callers: list[Caller] = [await here.call() for _ in range(20)]
    for number, caller in enumerate(callers, 1):  # connections to the caches are up
        await caller.send(request(1, number))
        assert (await caller.next()).code == 1
    await next_poll(discovery)
    await anyio.sleep(1.0)
    poll = discovery.polls[-1]
    here.process.send_signal(signal.SIGSTOP)
    while not stands_still(here.process.pid):
        await anyio.sleep(0.001)
    event = tell()
    since = await notified(discovery, event)
    await anyio.sleep(1.3)  # the poll's time runs out, and so does the grace
    for number, caller in enumerate(callers, 1):
        await caller.send(request(2, number, txn=number + 100))
    assert poll.told == event and time.monotonic() - poll.asked_at > 2.0  # what was to cross did
    here.process.send_signal(signal.SIGCONT)
    codes = [(await caller.next()).code for caller in callers]
    assert codes.count(1) > 10, codes
    return since, codes


async def test_a_drain_that_came_in_while_the_front_stood_still_past_its_poll_is_known_before_it_sends(
    tmp_path: Path,
) -> None:
    async with scene(tmp_path) as its:
        since, _ = await stand_still(its, lambda: its.discovery.drain(its.here.line(DRAINING)))
        assert {name for _, name, _ in its.written} >= {DRAINING, "cache-2"}
        assert its.late(since) == []


async def test_a_drain_of_a_parent_that_came_in_the_same_way_is_known_before_a_fill_names_it(
    tmp_path: Path,
) -> None:
    async with scene(tmp_path) as its:
        its.lacking = True
        since, _ = await stand_still(its, lambda: its.discovery.drain(its.here.line("parent-1")))
        assert {source for _, _, source in its.written} >= {"parent-1", "origin-1"}
        assert its.late(since, "parent-1") == []


async def test_a_purge_that_came_in_the_same_way_bounds_the_age_of_what_is_sent_for(tmp_path: Path) -> None:
    """The purge names the group that all requests of the test belong to."""
    async with scene(tmp_path) as its:
        await stand_still(its, its.purge)
        after = {id: ages for id, ages in its.fresh.items() if int(id, 16) > 100}
        assert len(after) > 10
        assert all(0.0 < float(age) < 2000.0 for ages in after.values() for age in ages), after


async def test_an_endpoint_that_drains_in_the_list_of_the_start_is_never_sent_to(tmp_path: Path) -> None:
    async with scene(tmp_path, draining=True) as its, anyio.create_task_group() as tasks:
        tasks.start_soon(its.ask, 0.005)
        while its.served < 100:
            await anyio.sleep(0.01)
        assert its.late(0.0) == [] and {name for _, name, _ in its.written} == {"cache-2"}
        tasks.cancel_scope.cancel()


async def test_a_drain_whose_answer_comes_just_after_a_poll_is_overdue_is_known_within_the_grace(
    tmp_path: Path,
) -> None:
    """Discovery is slow by 1.5 s: what happens 0.6 s into a poll is answered 2.1 s after that began."""
    async with scene(tmp_path) as its, anyio.create_task_group() as tasks:
        discovery = its.discovery
        tasks.start_soon(its.ask, 0.01)
        await next_poll(discovery)
        discovery.delay = 1.5
        await anyio.sleep(0.6)
        event = discovery.drain(its.here.line(DRAINING))
        since = await notified(discovery, event)
        poll = next(poll for poll in discovery.polls if poll.told >= event)
        assert since - poll.asked_at > 2.0  # what was to cross did
        had = its.served
        await anyio.sleep(2.0)
        assert its.served > had + 50
        late = its.late(since + GRACE)
        assert late == [], f"{len(late)} requests, the last {late[-1] + GRACE:.3f} s after the notification"
        tasks.cancel_scope.cancel()


async def test_a_drain_is_known_in_time_though_discovery_takes_longer_than_a_poll_for_each_answer(
    tmp_path: Path,
) -> None:
    async with scene(tmp_path) as its, anyio.create_task_group() as tasks:
        discovery: Any = its.discovery
        tasks.start_soon(its.ask, 0.01)
        await next_poll(discovery)
        discovery.delay = 2.5
        event, since = discovery.drain(its.here.line(DRAINING)), time.monotonic()
        assert event == 2
        with anyio.move_on_after(KNOWN_BY + GRACE):
            await its.here.logged(b"event 2")
        had = its.served
        await anyio.sleep(1.0)
        assert its.served > had + 25
        late = its.late(since + KNOWN_BY + GRACE)
        assert late == [], f"{len(late)} requests over {KNOWN_BY + GRACE} s after the event"
        assert its.late(time.monotonic() - 0.5) == []
        tasks.cancel_scope.cancel()
