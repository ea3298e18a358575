"""Real fronts share a cap on the relays in flight at one cache, with faults between the processes and the
service.

They guard against the fleet exceeding the cap when shares move between fronts: a stand-in records the relays
in flight from all fronts together.
"""

import time
from itertools import count

import anyio
import pytest

from tests.drive import client_request
from tests.standins.caches import Answer
from tests.standins.fronts import COPY, Fronts, fronts
from tests.test_limits_fronts import (
    FRONTS,
    NAMES,
    Fault,
    all_links_cut,
    coordinator_killed,
    hot_link_cut,
    nothing,
    service_split,
)

pytestmark = pytest.mark.anyio
CAP = 18  # relays in flight at one cache: six for each front in equal shares
HOT_CLIENTS = 60  # of the hot front
COOL_CLIENTS = 1  # of each other front


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def answer_at_expected_pace(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
    """Answer as late as is still the expected pace of so small a pull, so that no slowdown is detected."""
    return 0.1, "DONE", f"{COPY},rep=util:0.5;x1:0.5", b"x"


async def send_pulls_in_turn(
    running_fronts: Fronts, index: int, client: int, turn: float, length: float
) -> None:
    """Run one client that sends one pull at a time; another front becomes the hot one every `turn` s."""
    started_at, numbers = time.monotonic(), count(1)
    while time.monotonic() - started_at < length:
        try:
            connection = await running_fronts.testbeds[index].connect_client()
            while (elapsed := time.monotonic() - started_at) < length:
                hot = int(elapsed / turn) % FRONTS if turn else 0
                if client >= (HOT_CLIENTS if index == hot else COOL_CLIENTS):
                    await anyio.sleep(0.05)
                    continue
                number = next(numbers)
                txn = f"{index + 1:04x}{client:04x}{number:08x}"
                item = f"{((index * 64 + client) * 7919 + number) * 2654435761 % (1 << 64):016x}"
                await connection.send(client_request(number, txn=txn, item=item))
                if (await connection.next()).code != 0:
                    await anyio.sleep(0.1)
        except (OSError, anyio.BrokenResourceError, anyio.IncompleteRead, anyio.EndOfStream):
            await anyio.sleep(0.2)  # the front was killed by the test, and may be restarted


async def play(cap: int, fault: Fault, length: float = 7.0, turn: float = 0.0) -> Fronts:
    """Run clients on three fronts and cause the fault; the caches record the relays."""
    async with fronts(
        FRONTS, NAMES, limits=True, expected=FRONTS, relays=cap, behave=answer_at_expected_pace
    ) as running_fronts:
        await running_fronts.wait_for_owner(task="limits")
        running_fronts.cold_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for index in range(FRONTS):
                for client in range(HOT_CLIENTS):
                    tasks.start_soon(send_pulls_in_turn, running_fronts, index, client, turn, length)
            tasks.start_soon(fault, running_fronts)
        return running_fronts


def most(running_fronts: Fronts, after: float = 0.0) -> int:
    """Return the largest number of relays in flight at one cache from all fronts."""
    return max(out for at, _, out in running_fronts.caches.levels if at - running_fronts.cold_at >= after)


async def test_a_hot_front_exceeds_an_equal_share_and_the_fleet_stays_within_the_cap() -> None:
    running_fronts = await play(CAP, nothing, 8.0)
    # With equal shares: six, and one of each other front.
    assert most(running_fronts) <= CAP and most(running_fronts, after=5.0) >= 11


async def test_without_a_cap_the_fleet_exceeds_it() -> None:
    running_fronts = await play(0, nothing, 4.0, turn=1.0)
    assert most(running_fronts) > CAP


@pytest.mark.parametrize("fault", [coordinator_killed, hot_link_cut, all_links_cut, service_split])
async def test_with_moving_demand_no_cache_exceeds_the_cap_under(fault: Fault) -> None:
    running_fronts = await play(CAP, fault, 8.0, turn=2.0)
    assert most(running_fronts) <= CAP
