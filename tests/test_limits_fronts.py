"""Real fronts share the slow-start budget of a cold cache, with faults between the processes and the service.

They guard against a cold cache getting more load from all fronts together than its budget: a stand-in counts
the relays by its own clock. The limit follows from the sample's settings: a cold cache's work in any window
of 3 s. With pulls of one size it is a number of relays, the same for every front.
"""

import os
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from tests.drive import client_request
from tests.standins.fronts import Fronts, cold_limit, fronts, over_limit

pytestmark = pytest.mark.anyio
NAMES = ("cache-2", "cache-3")
FRONTS = 3
Fault = Callable[[Fronts], Coroutine[Any, Any, None]]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def send_pulls(
    running_fronts: Fronts, index: int, rate: Callable[[float], float], length: float, first_number: int = 0
) -> None:
    """Send pulls by one client through a front, at a rate that changes with time, until the front ends."""
    started_at, number = time.monotonic(), first_number
    try:
        client = await running_fronts.testbeds[index].connect_client()
        while (elapsed := time.monotonic() - started_at) < length:
            pulls_per_s = rate(elapsed)
            if not pulls_per_s:
                await anyio.sleep(0.05)
                continue
            number += 1
            txn = f"{index + 1:08x}{number:08x}"
            item = f"{(index * 7919 + number) * 2654435761 % (1 << 64):016x}"
            await client.send(
                client_request(number, txn=txn, item=item, ram="875")
            )  # 250 ms of sending, the mean
            await client.next()
            await anyio.sleep(max(1.0 / pulls_per_s - 0.004, 0.0))
    except (OSError, anyio.BrokenResourceError, anyio.IncompleteRead, anyio.EndOfStream):
        return  # the front was killed by the test


async def play(
    limits: bool, rate: Callable[[int, float], float], length: float, fault: Fault,
    rates: tuple[float, ...] = (),
) -> Fronts:  # fmt: skip
    """Start fronts, restart cache-2 (cold), send pulls, cause the fault; the caches record the relays."""
    async with fronts(FRONTS, NAMES, limits=limits, expected=FRONTS, rates=rates) as running_fronts:
        if limits:
            await running_fronts.wait_for_owner(task="limits")
        running_fronts.cold_at = time.monotonic()
        restarted_line = running_fronts.testbeds[0].endpoint_entry("cache-2", since_ms=time.time() * 1000.0)
        running_fronts.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [restarted_line]})
        async with anyio.create_task_group() as tasks:
            for index in range(FRONTS):
                tasks.start_soon(
                    send_pulls, running_fronts, index, lambda at, index=index: rate(index, at), length
                )
            tasks.start_soon(fault, running_fronts)
        return running_fronts


def one_hot(index: int, at: float) -> float:
    return 300.0 if index == 0 else 2.0


def moving(index: int, at: float) -> float:
    """Demand moves to another front every second."""
    return 150.0 if int(at) % FRONTS == index else 0.0


async def nothing(running_fronts: Fronts) -> None:
    return


async def coordinator_killed(running_fronts: Fronts) -> None:
    await anyio.sleep(2.5)
    running_fronts.testbeds[await running_fronts.wait_for_owner(task="limits")].process.kill()


async def coordinator_paused(running_fronts: Fronts) -> None:
    """Beyond its lease and its grants; it resumes with its old state while another front is coordinator."""
    await anyio.sleep(2.5)
    index = await running_fronts.wait_for_owner(task="limits")
    os.kill(running_fronts.testbeds[index].process.pid, signal.SIGSTOP)
    await anyio.sleep(2.5)
    os.kill(running_fronts.testbeds[index].process.pid, signal.SIGCONT)


async def hot_link_cut(running_fronts: Fronts) -> None:
    await anyio.sleep(2.5)
    await running_fronts.links[0].set_cut()
    await anyio.sleep(3.0)
    running_fronts.links[0].cut = False


async def all_links_cut(running_fronts: Fronts) -> None:
    """For three times the lifetime of a grant."""
    await anyio.sleep(2.5)
    for link in running_fronts.links:
        await link.set_cut()
    await anyio.sleep(3.0)
    for link in running_fronts.links:
        link.cut = False


async def service_frozen(running_fronts: Fronts) -> None:
    await anyio.sleep(2.5)
    os.kill(running_fronts.etcd.pid, signal.SIGSTOP)
    await anyio.sleep(2.0)
    os.kill(running_fronts.etcd.pid, signal.SIGCONT)


async def service_split(running_fronts: Fronts) -> None:
    """Two halves, each with a coordinator of its own."""
    await anyio.sleep(2.5)
    await running_fronts.split_service([0])


async def restarted(running_fronts: Fronts) -> None:
    """Two of three fronts are killed at once and restarted."""
    await anyio.sleep(2.5)
    await running_fronts.restart([0, 1])


async def most_restarted(running_fronts: Fronts) -> None:
    """Both send pulls again as soon as they have started."""
    await restarted(running_fronts)
    async with anyio.create_task_group() as tasks:
        for index in (0, 1):
            tasks.start_soon(send_pulls, running_fronts, index, lambda at: 100.0, 4.0, 500_000)


async def test_a_hot_front_uses_the_share_that_others_leave_and_the_cold_cache_stays_in_its_limit() -> None:
    running_fronts = await play(True, one_hot, 8.0, nothing)
    assert over_limit(running_fronts) <= 1.0
    used = [share for at, share in running_fronts.used() if at > 4.0]
    assert max(used) > 0.6  # with equal shares: a third, and what the others send


async def test_without_sharing_a_hot_front_has_only_an_equal_share() -> None:
    running_fronts = await play(False, one_hot, 8.0, nothing)
    assert (
        over_limit(running_fronts) <= 1.0
        and max(share for at, share in running_fronts.used() if at > 4.0) < 0.5
    )


@pytest.mark.parametrize(
    "fault",
    [coordinator_killed, coordinator_paused, hot_link_cut, all_links_cut, service_frozen, service_split],
)
async def test_the_cold_cache_stays_in_its_limit_under(fault: Fault) -> None:
    running_fronts = await play(True, moving, 9.0, fault)
    assert over_limit(running_fronts) <= 1.0, running_fronts.used()


async def test_with_a_fast_clock_a_front_exceeds_the_limit_by_at_most_its_floor() -> None:
    """Far above the file's drift: its grants expire early, while its floor may be granted to others."""
    running_fronts = await play(True, moving, 9.0, all_links_cut, rates=(1.5, 1.0, 1.0))
    assert over_limit(running_fronts) <= 1.0 + 1.0 / FRONTS, running_fronts.used()


async def test_with_two_of_three_fronts_restarted_at_once_the_load_stays_within_the_bound() -> None:
    """What an ended process sent counts for a window, and the new one starts at its floor: five count."""
    running_fronts = await play(True, moving, 9.0, most_restarted)
    assert over_limit(running_fronts) <= 5.0 / 3.0, running_fronts.used()


def test_the_limit_in_relays_follows_from_the_settings() -> None:
    """0.75 of 2.5 times a fifth of 8 streams for 3 s, in pulls of 250 ms; a warm cache has none."""
    assert cold_limit(0.0) == cold_limit(2.9) == 36.0 and cold_limit(6.0) > 60.0 and cold_limit(14.1) == 0.0
