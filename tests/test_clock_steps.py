"""Steps of the wall clock, by seconds and by an hour, forward and back, while the program runs.

Guards against a step back that stops all timers, and a step forward that ends all deadlines at once. A
`sitecustomize` module in the child process replaces `time.time` and records that it was called.
"""

import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from cometseam.protocol.discovery_events import EndpointEntry, EndpointList, Purge
from cometseam.routing.endpoints import MAX_LIVE_EVENT_AGE_MS, EndpointTable
from cometseam.routing.translate import purge_event
from cometseam.transport.clock import Clock
from tests.drive import FrontTestbed, client_request, front_testbed
from tests.test_actors import LISTING

pytestmark = pytest.mark.anyio
STEPS_S = [-3600.0, -5.0, 5.0, 3600.0]
COPY_FIELDS = "tag=4be0c1927d55a6f3,minted=1,why=cached"
SHIM = """
import os, time
_real, _path = time.time, os.environ["TEST_CLOCK"]
def _stepped():
    with open(_path) as file:
        step = float(file.read())
    with open(_path + ".called", "w") as file:
        file.write("yes")
    return _real() + step
time.time = _stepped
"""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def front_with_clock_step(folder: Path) -> AsyncIterator[tuple[FrontTestbed, Path]]:
    """Run the program with the shim; yield it and the file that holds the step in seconds."""
    step = folder / "step"
    step.write_text("0")
    (folder / "sitecustomize.py").write_text(SHIM)
    paths = f"{folder}:{os.getcwd()}"
    environment = {"PYTHONPATH": paths, "TEST_CLOCK": str(step)}
    async with front_testbed(folder, environment=environment) as testbed:
        yield testbed, step
    assert (folder / "step.called").exists()  # the shim was used


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_request_in_flight_keeps_its_deadline_and_attempt_timeouts(
    step_s: float, tmp_path: Path
) -> None:
    async with front_with_clock_step(tmp_path) as (testbed, step):
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        started_at = time.monotonic()
        await caller.send(client_request(1, limit="2000"))
        first = await cache.next()  # unanswered: the attempt's own timeout is 200 ms and four sends
        step.write_text(str(step_s))
        with anyio.move_on_after(0.1):
            await caller.next()
            pytest.fail("answered at once")
        assert cache.commands == [first] or cache.commands[1].verb == "REQ"
        with anyio.fail_after(2.5):
            answer = await caller.next()
        assert answer.type == 17 and time.monotonic() - started_at < 2.06
        # The front still serves after the step, on the same connection.
        await caller.send(client_request(2, item="0" * 16))
        asked = await testbed.next_command()
        while asked.verb != "REQ" or asked.id != f"{2:016x}":
            asked = await testbed.next_command()
        await asked.answer("DONE", COPY_FIELDS, b"y")
        assert (await caller.next()).body == b"y"


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_purge_and_shutdown_are_unaffected(step_s: float, tmp_path: Path) -> None:
    async with front_with_clock_step(tmp_path) as (testbed, step):
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        testbed.add_event(invalidate={"bucket": 17, "time": round(time.time() * 1000.0)})
        await testbed.wait_for_poll_since(2)
        step.write_text(str(step_s))
        await anyio.sleep(0.2)
        await caller.send(client_request(1))
        asked = await cache.next()
        assert 100.0 < float(asked.fields["fresh"]) < 2000.0
        testbed.process.terminate()
        await testbed.logged(b"drains")
        drain_started_at = time.monotonic()
        await anyio.sleep(0.1)
        await asked.answer("DONE", COPY_FIELDS, b"y")
        answer = await caller.next()
        while answer.type != 17:
            answer = await caller.next()
        assert answer.body == b"y"  # it was not cut short
        with anyio.fail_after(5):
            await testbed.end()
        assert 0.1 < time.monotonic() - drain_started_at < 4.0


def test_clock_reads_unix_time_once_and_then_follows_the_monotonic_clock() -> None:
    monotonic, unix = [100.0], [5000.0]
    clock = Clock(lambda: monotonic[0], lambda: unix[0])
    assert clock.now() == 5_000_000.0
    monotonic[0], unix[0] = 101.0, 1400.0
    assert clock.now() == 5_001_000.0


def entry_started_at(ready_at: float, name: str = "c") -> EndpointEntry:
    return replace(LISTING.entries[0], name=name, ready_at=ready_at)


@pytest.mark.parametrize("clock_error_ms", [-3_600_000.0, 3_600_000.0], ids=["an hour slow", "an hour fast"])
def test_wrong_clock_makes_a_start_later_and_a_purge_younger_within_the_limit(
    clock_error_ms: float,
) -> None:
    """The events' time stamps are correct; `now` is this machine's clock, wrong since the process started."""
    true_now = 1e12
    now, started = true_now + clock_error_ms, true_now - 3000.0
    table = EndpointTable()
    ready_at = (
        table.apply_listing(EndpointList(2, False, (entry_started_at(started),)), now).entries[0].ready_at
    )
    assert now - MAX_LIVE_EVENT_AGE_MS <= ready_at <= now and ready_at >= min(
        started + clock_error_ms - MAX_LIVE_EVENT_AGE_MS, now - MAX_LIVE_EVENT_AGE_MS
    )
    ready_at_repeated = (
        table.apply_listing(EndpointList(3, False, (entry_started_at(started),)), now + 5000.0)
        .entries[0]
        .ready_at
    )
    assert ready_at_repeated == ready_at  # the same start keeps its time
    ready_at_restarted = (
        table.apply_listing(EndpointList(4, False, (entry_started_at(started + 4000.0),)), now + 5000.0)
        .entries[0]
        .ready_at
    )
    assert ready_at_restarted > ready_at
    assert 0.0 <= purge_event(Purge(5, 7, 0, started), now).age <= MAX_LIVE_EVENT_AGE_MS


def test_starts_in_the_initial_list_keep_their_age_and_never_lie_in_the_future() -> None:
    table, now = EndpointTable(), 1e12
    listed = table.apply_listing(
        EndpointList(1, True, (entry_started_at(now - 60_000.0), entry_started_at(now + 60_000.0, "d"))),
        now,
        False,
    )
    assert [entry.ready_at for entry in listed.entries] == [now - 60_000.0, now]
    assert purge_event(Purge(2, 7, 0, now - 60_000.0), now, False).age == 60_000.0
