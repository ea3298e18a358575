"""Several real processes on loopback: the etcd stand-in, three fronts holding one task, a fenced target, our
proxy.

Each case throws a fault between processes, then reads the target's whole history (`anomalies`): no effect of
an older owner may land after a newer one's. The classic case, an owner paused past its lease and resumed
while its effect is still in flight, is also played with the target's fence off, to show that it is the fence
that holds.
"""

import os
import signal

import anyio
import pytest

from tests.standins.faults import anomalies, overlaps
from tests.standins.fleet import TTL_MS, first_owner, fleet, late_owner, newer, owner_now

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_an_owner_paused_past_its_lease_and_resumed_lands_nothing() -> None:
    late = await late_owner(enforce=True)
    assert late.anomalies == [] and late.arrived == late.refused > 0


async def test_without_the_fence_the_late_owner_lands_its_effect() -> None:
    """The anomaly that the fence guards against happens when it is off: the checker catches it."""
    found = (await late_owner(enforce=False)).anomalies
    assert found and "landed after" in found[0]


async def test_an_owner_killed_is_replaced_within_two_leases() -> None:
    async with fleet(3) as here:
        await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(here.target.history)
        assert first is not None
        here.fronts[first.name].kill()
        killed = anyio.current_time()
        await here.target.wait_for(
            lambda history: any(e.passed and e.token > first.token for e in history), 10
        )
        took = anyio.current_time() - killed
        assert took < 2 * TTL_MS / 1000, took
        assert anomalies(here.target.history) == []


async def test_an_owner_cut_off_from_the_service_stops_before_another_acts() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        await here.services[first.name].set_cut()
        await here.target.wait_for(newer(first.token), 10 * TTL_MS / 1000)
        await anyio.sleep(0.5)
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_keep_alives_that_arrive_unanswered_give_the_task_up_in_bounded_time() -> None:
    """Requests pass, answers are lost: the lease lives on at the service while its owner may not act."""
    async with fleet(3) as here:
        first = await first_owner(here)
        here.services[first.name].drop_down = True
        lost = anyio.current_time()
        bound = (TTL_MS * 0.99 - 250 + 2 * TTL_MS + 2 * 200) / 1000  # acting + two leases + two renewals
        await here.target.wait_for(newer(first.token), bound + 2.0)
        assert anyio.current_time() - lost < bound + 1.0
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_a_frozen_service_extends_the_lease_and_keeps_the_one_owner() -> None:
    """Frozen longer than the owner may act unrenewed, shorter than it waits before giving up: it goes on."""
    async with fleet(3) as here:
        first = await first_owner(here)
        os.kill(here.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(1.2 * TTL_MS / 1000)
        count = len(here.target.history)
        os.kill(here.etcd.pid, signal.SIGCONT)
        try:
            await here.target.wait_for(lambda history: len(history) > count + 20, 10)
        except TimeoutError:
            raise AssertionError(here.said) from None
        assert {e.token for e in here.target.history[count:]} == {first.token}  # the same owner, renewed
        assert any("losing" in line for line in here.said[first.name])  # it did stop while frozen
        assert overlaps(here.target.history) == []


async def test_a_service_frozen_past_the_owners_patience_hands_the_task_on_once() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        os.kill(here.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(2.5 * TTL_MS / 1000)
        os.kill(here.etcd.pid, signal.SIGCONT)
        await here.target.wait_for(newer(first.token), 10)
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_the_service_restarted_from_its_log_keeps_tokens_rising() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        here.fronts[first.name].kill()
        await here.target.wait_for(newer(first.token), 10)
        second = owner_now(here.target.history)
        assert second is not None
        await here.restart_service()
        here.fronts[second.name].kill()
        await here.target.wait_for(newer(second.token), 20)
        assert anomalies(here.target.history) == [] and overlaps(here.target.history) == []
