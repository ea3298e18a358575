"""Real fronts share the fleet's retry budget, with faults between the processes and the service.

They guard against a retry storm above the fleet's budget in an outage: the stand-ins answer every relay with
an error and record the further relays from all fronts together.
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
    coordinator_killed,
    hot_link_cut,
    nothing,
    one_hot,
    send_pulls,
)

pytestmark = pytest.mark.anyio
ALLOWED = 12  # further relays in a second: four for each front in equal shares
WINDOW_S = 1.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def answer_error(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
    return 0.002, "BROKE", "-", b""


async def play(allowed: int, fault: Fault, length: float = 8.0) -> Fronts:
    """Send nearly all pulls through one front; every relay fails, and the caches record the relays."""
    async with fronts(
        FRONTS, NAMES, limits=True, expected=FRONTS, budget=allowed, behave=answer_error
    ) as running_fronts:
        await running_fronts.wait_for_owner(task="limits")
        running_fronts.cold_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for index in range(FRONTS):
                tasks.start_soon(
                    send_pulls, running_fronts, index, lambda at, index=index: one_hot(index, at), length
                )
            tasks.start_soon(fault, running_fronts)
        return running_fronts


def further(running_fronts: Fronts) -> list[tuple[float, int]]:
    """Return for each further relay: s since the start, and how many arrived in the last window."""
    times = sorted(
        at - running_fronts.cold_at
        for relays in running_fronts.caches.relays.values()
        for at, _ in relays[1:]
    )
    return [(at, sum(at - WINDOW_S < earlier for earlier in times[: n + 1])) for n, at in enumerate(times)]


async def test_in_an_outage_one_front_uses_the_retry_budget_that_others_leave_and_no_more() -> None:
    running_fronts = await play(ALLOWED, nothing)
    counts = further(running_fronts)
    assert max(count for _, count in counts) <= ALLOWED
    # With equal shares: four, and a few of the others.
    assert max(count for at, count in counts if at > 5.0) >= 7


async def test_without_a_fleet_budget_the_fleet_sends_more() -> None:
    running_fronts = await play(10_000, nothing, 3.0)
    assert max(count for _, count in further(running_fronts)) > 2 * ALLOWED


@pytest.mark.parametrize("fault", [coordinator_killed, hot_link_cut, all_links_cut])
async def test_the_fleet_stays_within_its_retry_budget_under(fault: Fault) -> None:
    running_fronts = await play(ALLOWED, fault)
    assert max(count for _, count in further(running_fronts)) <= ALLOWED
