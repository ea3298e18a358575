"""Guards against losing a drain event that discovery has sent, so that requests still reach the draining
endpoint after the drain grace.

The front once waited 2.0 s for the answer to a poll, then closed the connection without reading its input. If
the answer had just arrived (slow discovery, or a pause of the front), its event was lost until a later poll.
After a pause of 1.3 s, 12 of 20 requests reached the draining endpoint, 1.309 s after discovery had answered
with the event; the log showed `TimeoutError` (2307 ms, events after 1). Answers slower than 2.0 s were never
read at all.
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

from tests.drive import Cache, Caller, FrontTestbed, ReceivedCommand, client_request, front_testbed
from tests.standins.discovery import Discovery
from tests.test_leaving import is_stopped

pytestmark = pytest.mark.anyio
COPY_FIELDS = "tag=4be0c1927d55a6f3,minted=1,why=cached"
GRACE_S = 0.55  # after discovery's answer with a drain: the settings' drain grace, and socket delays
KNOWN_WITHIN_S = 7.0  # after an event was published; by then the front must have received it in any case
LONG_TARGET_LATENCY_MS = 4000.0  # long enough for requests to continue after the front's pause
DRAINING = "cache-1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class DrainScenario:
    """A front among stand-ins for its caches and discovery, and what the caches received."""

    testbed: FrontTestbed
    discovery: Discovery
    # commands that the caches received: time, cache, source of a fill ("" for no fill)
    received: list[tuple[float, str, str]] = field(default_factory=list)
    answered: int = 0  # requests of `send_requests`, whatever the result
    caches_miss: bool = False  # whether the caches miss, so that fills follow
    # by request ID: the maximum age (`fresh`) in each command
    max_ages: dict[str, list[str]] = field(default_factory=dict)

    async def answer(self, cache: Cache) -> None:
        """Answer each command to a cache immediately: with a miss if `caches_miss`, except to a fill."""
        while True:
            asked: ReceivedCommand = await cache.next()
            self.received.append((time.monotonic(), cache.name, asked.fields.get("via", "")))
            self.max_ages.setdefault(asked.id, []).append(asked.fields.get("fresh", "0"))
            if self.caches_miss and "via" not in asked.fields:
                await asked.answer("LACK")
            else:
                await asked.answer("DONE", COPY_FIELDS, b"x")

    async def send_requests(self, every: float) -> None:
        """Send requests on one connection until cancelled, each for a different object, `every` s apart."""
        caller, stream = await self.testbed.connect_client(), 0
        while True:
            stream += 1
            await caller.send(request(stream, stream))
            await caller.next()
            self.answered += 1
            await anyio.sleep(every)

    def purge(self) -> int:
        """Publish a purge of the group (`batch` 17) that all requests name; return the event's number."""
        return self.discovery.add_event(invalidate={"bucket": 17, "time": round(time.time() * 1000.0)})

    def late_commands(self, since: float, endpoint: str = DRAINING) -> list[float]:
        """Return how long after `since` requests reached `endpoint` or named it as the source of a fill."""
        return [at - since for at, name, source in self.received if endpoint in (name, source) and at > since]


def request(stream: int, number: int, txn: int = 0) -> bytes:
    """Return a request for the object with this number; its ID is `txn`, or `number` without one."""
    return client_request(
        stream, verb="grids", limit="6000", txn=f"{txn or number:016x}", item=f"{number:016x}"
    )


@asynccontextmanager
async def drain_scenario(
    folder: Path, draining: bool = False, discovery: Discovery | None = None,
    before_start: Callable[[FrontTestbed], Awaitable[None]] | None = None,
) -> AsyncIterator[DrainScenario]:  # fmt: skip
    """Run a front among stand-ins for its peers.

    Args:
        folder: for the front's configuration.
        draining: whether `DRAINING` is draining in the front's initial list.
        discovery: stand-in for discovery; None for one that answers normally.
        before_start: called after the front's configuration is written.
    """
    discovery = discovery or Discovery()

    def prepare(testbed: FrontTestbed) -> None:
        if draining:
            testbed.config["known"] = {**testbed.config["known"], "seq": 2}
            drain_event = {
                "index": 2,
                "snapshot": False,
                "endpoints": [testbed.endpoint_entry(DRAINING, status="leaving")],
            }
            testbed.config["known"]["results"].append({"seq": 2, "fleet": drain_event})
            discovery.add_event(invalidate={"object": "f" * 16, "time": 1})  # event 2 is in the initial list
        testbed.discovery_handler, testbed.notifier = discovery.serve, discovery.notifier
        if before_start is not None:
            testbed.before_start = lambda: before_start(testbed)
        testbed.config["settings"]["grades"][0]["aim"] = LONG_TARGET_LATENCY_MS

    start = front_testbed(folder, "cache-2", prepare=prepare, timeout_s=30.0)
    async with start as testbed, anyio.create_task_group() as tasks:
        scenario = DrainScenario(testbed, discovery)
        for cache in testbed.caches.values():
            tasks.start_soon(scenario.answer, cache)
        yield scenario
        tasks.cancel_scope.cancel()


async def wait_for_held_poll(discovery: Discovery) -> None:
    """Wait until the front sends a new long poll, one that may wait over 1 s for events."""
    polls_before = len(discovery.polls)
    await discovery.notifier.wait_until(
        lambda: any(poll.hold > 1.0 for poll in discovery.polls[polls_before:])
    )


async def wait_until_notified(discovery: Discovery, event: int) -> float:
    """Wait until an answer with the event has been written completely; return that time."""
    await discovery.notifier.wait_until(lambda: discovery.notified_at(event) is not None)
    at = discovery.notified_at(event)
    assert at is not None
    return at


async def pause_front_past_poll(
    scenario: DrainScenario, send_event: Callable[[], int]
) -> tuple[float, list[int]]:
    """Pause the front past the end of its poll; publish an event and send 20 requests before it continues.

    Returns:
        The time at which the event was written to the front, and the result codes of the requests.
    """
    testbed, discovery = scenario.testbed, scenario.discovery
    callers: list[Caller] = [await testbed.connect_client() for _ in range(20)]
    for number, caller in enumerate(callers, 1):  # establishes the connections to the caches
        await caller.send(request(1, number))
        assert (await caller.next()).code == 1
    await wait_for_held_poll(discovery)
    await anyio.sleep(1.0)
    poll = discovery.polls[-1]
    testbed.process.send_signal(signal.SIGSTOP)
    while not is_stopped(testbed.process.pid):
        await anyio.sleep(0.001)
    event = send_event()
    notified_at = await wait_until_notified(discovery, event)
    await anyio.sleep(1.3)  # longer than the rest of the poll, and than the drain grace
    for number, caller in enumerate(callers, 1):
        await caller.send(request(2, number, txn=number + 100))
    assert poll.told == event and time.monotonic() - poll.asked_at > 2.0  # the intended overlap occurred
    testbed.process.send_signal(signal.SIGCONT)
    codes = [(await caller.next()).code for caller in callers]
    assert codes.count(1) > 10, codes
    return notified_at, codes


async def test_drain_received_during_a_pause_is_applied_before_requests_are_sent(
    tmp_path: Path,
) -> None:
    async with drain_scenario(tmp_path) as scenario:
        since, _ = await pause_front_past_poll(
            scenario, lambda: scenario.discovery.drain(scenario.testbed.endpoint_entry(DRAINING))
        )
        assert {name for _, name, _ in scenario.received} >= {DRAINING, "cache-2"}
        assert scenario.late_commands(since) == []


async def test_parent_drain_received_during_a_pause_is_applied_before_fills_are_sent(
    tmp_path: Path,
) -> None:
    async with drain_scenario(tmp_path) as scenario:
        scenario.caches_miss = True
        since, _ = await pause_front_past_poll(
            scenario, lambda: scenario.discovery.drain(scenario.testbed.endpoint_entry("parent-1"))
        )
        assert {source for _, _, source in scenario.received} >= {"parent-1", "origin-1"}
        assert scenario.late_commands(since, "parent-1") == []


async def test_purge_received_during_a_pause_limits_the_age_of_requested_copies(tmp_path: Path) -> None:
    """Requests sent during the pause have IDs above 100; each of their commands must limit the copy's age."""
    async with drain_scenario(tmp_path) as scenario:
        await pause_front_past_poll(scenario, scenario.purge)
        ages_after_purge = {id: ages for id, ages in scenario.max_ages.items() if int(id, 16) > 100}
        assert len(ages_after_purge) > 10
        assert all(0.0 < float(age) < 2000.0 for ages in ages_after_purge.values() for age in ages), (
            ages_after_purge
        )


async def test_endpoint_draining_in_the_initial_list_gets_no_requests(tmp_path: Path) -> None:
    async with drain_scenario(tmp_path, draining=True) as scenario, anyio.create_task_group() as tasks:
        tasks.start_soon(scenario.send_requests, 0.005)
        while scenario.answered < 100:
            await anyio.sleep(0.01)
        assert scenario.late_commands(0.0) == [] and {name for _, name, _ in scenario.received} == {"cache-2"}
        tasks.cancel_scope.cancel()


async def test_drain_answered_just_after_the_poll_is_overdue_is_applied_within_the_grace(
    tmp_path: Path,
) -> None:
    """Discovery answers 1.5 s late: an event 0.6 s into a poll is answered 2.1 s after the poll began."""
    async with drain_scenario(tmp_path) as scenario, anyio.create_task_group() as tasks:
        discovery = scenario.discovery
        tasks.start_soon(scenario.send_requests, 0.01)
        await wait_for_held_poll(discovery)
        discovery.delay = 1.5
        await anyio.sleep(0.6)
        event = discovery.drain(scenario.testbed.endpoint_entry(DRAINING))
        since = await wait_until_notified(discovery, event)
        poll = next(poll for poll in discovery.polls if poll.told >= event)
        assert since - poll.asked_at > 2.0  # the intended overlap occurred
        answered_before = scenario.answered
        await anyio.sleep(2.0)
        assert scenario.answered > answered_before + 50
        late = scenario.late_commands(since + GRACE_S)
        assert late == [], f"{len(late)} requests, the last {late[-1] + GRACE_S:.3f} s after the notification"
        tasks.cancel_scope.cancel()


async def test_drain_is_applied_in_time_if_each_answer_takes_longer_than_a_poll(
    tmp_path: Path,
) -> None:
    async with drain_scenario(tmp_path) as scenario, anyio.create_task_group() as tasks:
        discovery: Any = scenario.discovery
        tasks.start_soon(scenario.send_requests, 0.01)
        await wait_for_held_poll(discovery)
        discovery.delay = 2.5
        event, since = discovery.drain(scenario.testbed.endpoint_entry(DRAINING)), time.monotonic()
        assert event == 2
        with anyio.move_on_after(KNOWN_WITHIN_S + GRACE_S):
            await scenario.testbed.logged(b"event 2")
        answered_before = scenario.answered
        await anyio.sleep(1.0)
        assert scenario.answered > answered_before + 25
        late = scenario.late_commands(since + KNOWN_WITHIN_S + GRACE_S)
        assert late == [], f"{len(late)} requests over {KNOWN_WITHIN_S + GRACE_S} s after the event"
        assert scenario.late_commands(time.monotonic() - 0.5) == []
        tasks.cancel_scope.cancel()
