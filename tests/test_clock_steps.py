"""The wall clock is stepped under the running program, by seconds and by an hour, either way.

A `sitecustomize` on the path of the child takes the place of `time.time`, and writes down that it was
called. Before, a step back stopped every timer, and a step forward ended every deadline at once.
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
from cometseam.routing.translate import MAX_LIVE_EVENT_AGE_MS, EndpointTable, purge_event
from cometseam.transport.clock import Clock
from tests.drive import World, order, world
from tests.test_actors import LISTING

pytestmark = pytest.mark.anyio
STEPS = [-3600.0, -5.0, 5.0, 3600.0]
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"
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
async def stepped(folder: Path) -> AsyncIterator[tuple[World, Path]]:
    """The program under the shim, and the file that holds the step in seconds."""
    step = folder / "step"
    step.write_text("0")
    (folder / "sitecustomize.py").write_text(SHIM)
    paths = f"{folder}:{os.getcwd()}"
    environment = {"PYTHONPATH": paths, "TEST_CLOCK": str(step)}
    async with world(folder, environment=environment) as here:
        yield here, step
    assert (folder / "step.called").exists()  # the shim acted


@pytest.mark.parametrize("by", STEPS)
async def test_a_request_in_flight_keeps_its_deadline_and_its_attempts_their_time(
    by: float, tmp_path: Path
) -> None:
    async with stepped(tmp_path) as (here, step):
        caller, cache = await here.call(), here.caches["cache-1"]
        began = time.monotonic()
        await caller.send(order(1, limit="2000"))
        first = await cache.next()  # it is not answered: the attempt's own time is 200 ms and four sendings
        step.write_text(str(by))
        with anyio.move_on_after(0.1):
            await caller.next()
            pytest.fail("answered at once")
        assert cache.asked == [first] or cache.asked[1].word == "REQ"
        with anyio.fail_after(2.5):
            got = await caller.next()
        assert got.type == 17 and time.monotonic() - began < 2.06
        # At rest after the step, and on the same connection, which was not ended.
        await caller.send(order(2, item="0" * 16))
        asked = await here.first()
        while asked.word != "REQ" or asked.id != f"{2:016x}":
            asked = await here.first()
        await asked.answer("DONE", COPY, b"y")
        assert (await caller.next()).body == b"y"


@pytest.mark.parametrize("by", STEPS)
async def test_a_purge_stays_outstanding_and_an_end_takes_its_time(by: float, tmp_path: Path) -> None:
    async with stepped(tmp_path) as (here, step):
        caller, cache = await here.call(), here.caches["cache-1"]
        here.tell(invalidate={"bucket": 17, "time": round(time.time() * 1000.0)})
        await here.polled_from(2)
        step.write_text(str(by))
        await anyio.sleep(0.2)
        await caller.send(order(1))
        asked = await cache.next()
        assert 100.0 < float(asked.fields["fresh"]) < 2000.0
        here.process.terminate()
        await here.logged(b"drains")
        began = time.monotonic()
        await anyio.sleep(0.1)
        await asked.answer("DONE", COPY, b"y")
        got = await caller.next()
        while got.type != 17:
            got = await caller.next()
        assert got.body == b"y"  # it had its time
        with anyio.fail_after(5):
            await here.end()
        assert 0.1 < time.monotonic() - began < 4.0


def test_the_clock_reads_unix_time_once_and_goes_on_by_the_monotonic_one() -> None:
    monotonic, unix = [100.0], [5000.0]
    clock = Clock(lambda: monotonic[0], lambda: unix[0])
    assert clock.now() == 5_000_000.0
    monotonic[0], unix[0] = 101.0, 1400.0
    assert clock.now() == 5_001_000.0


def line(stamp: float, name: str = "c") -> EndpointEntry:
    return replace(LISTING.entries[0], name=name, ready_at=stamp)


@pytest.mark.parametrize("wrong_by", [-3_600_000.0, 3_600_000.0], ids=["an hour slow", "an hour fast"])
def test_with_a_clock_that_is_wrong_a_start_in_the_news_is_believed_colder_and_a_purge_younger(
    wrong_by: float,
) -> None:
    """The stamps are true; `now` is this machine's, as it was when the process started."""
    true_now = 1e12
    now, started = true_now + wrong_by, true_now - 3000.0
    roster = EndpointTable()
    told = roster.apply_listing(EndpointList(2, False, (line(started),)), now).entries[0].ready_at
    assert now - MAX_LIVE_EVENT_AGE_MS <= told <= now and told >= min(
        started + wrong_by - MAX_LIVE_EVENT_AGE_MS, now - MAX_LIVE_EVENT_AGE_MS
    )
    again = roster.apply_listing(EndpointList(3, False, (line(started),)), now + 5000.0).entries[0].ready_at
    assert again == told  # one start is one instant
    anew = (
        roster.apply_listing(EndpointList(4, False, (line(started + 4000.0),)), now + 5000.0)
        .entries[0]
        .ready_at
    )
    assert anew > told
    assert 0.0 <= purge_event(Purge(5, 7, 0, started), now).age <= MAX_LIVE_EVENT_AGE_MS


def test_a_start_in_the_list_that_a_front_starts_with_keeps_its_age_and_none_lies_in_the_future() -> None:
    roster, now = EndpointTable(), 1e12
    listed = roster.apply_listing(
        EndpointList(1, True, (line(now - 60_000.0), line(now + 60_000.0, "d"))), now, False
    )
    assert [entry.ready_at for entry in listed.entries] == [now - 60_000.0, now]
    assert purge_event(Purge(2, 7, 0, now - 60_000.0), now, False).age == 60_000.0
