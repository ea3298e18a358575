"""Real fronts share out the further relays that a budget allows the fleet: the stand-ins answer everything
with an error and count, by their own record, what comes again from all fronts together; with faults between.
"""

import time

import anyio
import pytest

from tests.standins.caches import Answer
from tests.standins.fronts import Fronts, fronts
from tests.test_limits_fronts import (
    FRONTS,
    NAMES,
    Fault,
    all_links_cut,
    ask,
    coordinator_killed,
    hot_link_cut,
    nothing,
    one_hot,
)

pytestmark = pytest.mark.anyio
ALLOWED = 12  # further relays in a second: four for each front in equal parts
WINDOW = 1.0  # s


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def errs(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
    return 0.002, "BROKE", "-", b""


async def play(allowed: int, fault: Fault, length: float = 8.0) -> Fronts:
    """One front has nearly all that is asked, everything fails; the caches keep the record."""
    async with fronts(FRONTS, NAMES, limits=True, expected=FRONTS, budget=allowed, behave=errs) as here:
        await here.probing(task="limits")
        here.cold_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for place in range(FRONTS):
                tasks.start_soon(ask, here, place, lambda at, place=place: one_hot(place, at), length)
            tasks.start_soon(fault, here)
        return here


def further(here: Fronts) -> list[tuple[float, int]]:
    """At each further relay: s since the start, and how many came in the last window."""
    times = sorted(at - here.cold_at for relays in here.caches.relays.values() for at, _ in relays[1:])
    return [(at, sum(at - WINDOW < each for each in times[: n + 1])) for n, at in enumerate(times)]


async def test_one_front_under_an_outage_may_use_what_the_others_leave_and_no_more() -> None:
    here = await play(ALLOWED, nothing)
    counts = further(here)
    assert max(count for _, count in counts) <= ALLOWED
    assert max(count for at, count in counts if at > 5.0) >= 7  # equal parts: four, and a few of the others


async def test_without_the_fleets_word_the_fleet_sends_more() -> None:
    here = await play(10_000, nothing, 3.0)
    assert max(count for _, count in further(here)) > 2 * ALLOWED


@pytest.mark.parametrize("fault", [coordinator_killed, hot_link_cut, all_links_cut])
async def test_the_fleet_sends_no_more_further_relays_than_allowed_under(fault: Fault) -> None:
    here = await play(ALLOWED, fault)
    assert max(count for _, count in further(here)) <= ALLOWED
