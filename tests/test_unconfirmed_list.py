"""Requests went out by a list of endpoints that discovery had not confirmed.

An endpoint began to drain while the front was not running. Started again with the list of before, the front
listened, and wrote what clients had sent meanwhile, before discovery had answered it once.
"""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from tests.drive import Caller, World
from tests.standins.discovery import Discovery
from tests.test_late_drain import DRAINING, GRACE, Scene, notified, request, scene

pytestmark = pytest.mark.anyio
CLIENTS = 20
ROUND_TRIP = 0.3  # s that discovery takes for an answer


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def drains_before_start(discovery: Discovery) -> Callable[[World], Awaitable[None]]:
    """Have an endpoint drain after the configuration is written, the grace before the front starts."""

    async def before(here: World) -> None:
        discovery.drain(here.line(DRAINING))
        await anyio.sleep(GRACE)

    return before


async def ask_at_once(its: Scene, stream: int = 1) -> list[Caller]:
    """Have clients ask, each on a connection of its own."""
    callers = [await its.here.call() for _ in range(CLIENTS)]
    for number, caller in enumerate(callers, 1):
        await caller.send(request(stream, number + 100 * stream))
    return callers


async def served(callers: list[Caller]) -> int:
    """Return how many of the requests are served."""
    return [(await caller.next()).code for caller in callers].count(1)


@pytest.mark.parametrize("unanswered", [set(), {1}, {1, 2}], ids=["slow", "silent once", "silent twice"])
async def test_a_front_that_starts_sends_nothing_before_discovery_has_answered(
    tmp_path: Path, unanswered: set[int]
) -> None:
    discovery = Discovery(silent=unanswered, delay=0.0 if unanswered else ROUND_TRIP)
    async with scene(tmp_path, False, discovery, drains_before_start(discovery)) as its:
        callers = await ask_at_once(its)
        asked_at = time.monotonic()
        assert await served(callers) == CLIENTS
        assert asked_at < await notified(discovery, 2)  # what was to cross did
        assert its.late(0.0) == [] and {name for _, name, _ in its.written} == {"cache-2"}
