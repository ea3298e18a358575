"""Several real processes on loopback: the etcd stand-in, three fronts with one task, a fenced target and a
fault proxy.

Each test causes a fault between processes, then checks the target's whole history (`anomalies`): no effect of
an older owner may be admitted after one of a newer owner. The typical case, an owner paused beyond its lease
and resumed while its effect is in flight, also runs without the target's fence, to show that the fence is
what prevents it.
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


async def test_the_effects_of_an_owner_paused_beyond_its_lease_are_rejected() -> None:
    late = await late_owner(enforce=True)
    assert late.anomalies == [] and late.arrived == late.refused > 0


async def test_without_the_fence_the_checker_reports_the_late_effect() -> None:
    """With the fence off the anomaly that it prevents occurs, and the checker reports it."""
    anomalies_found = (await late_owner(enforce=False)).anomalies
    assert anomalies_found and "landed after" in anomalies_found[0]


async def test_a_killed_owner_is_replaced_within_two_leases() -> None:
    async with fleet(3) as running_fleet:
        await running_fleet.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(running_fleet.target.history)
        assert first is not None
        running_fleet.fronts[first.name].kill()
        killed_at = anyio.current_time()
        await running_fleet.target.wait_for(
            lambda history: any(effect.passed and effect.token > first.token for effect in history), 10
        )
        elapsed = anyio.current_time() - killed_at
        assert elapsed < 2 * TTL_MS / 1000, elapsed
        assert anomalies(running_fleet.target.history) == []


async def test_an_owner_cut_off_from_the_service_stops_before_another_acts() -> None:
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        await running_fleet.services[first.name].set_cut()
        await running_fleet.target.wait_for(newer(first.token), 10 * TTL_MS / 1000)
        await anyio.sleep(0.5)
        assert overlaps(running_fleet.target.history) == [] and anomalies(running_fleet.target.history) == []


async def test_if_answers_to_keep_alives_are_lost_the_task_is_given_up_in_bounded_time() -> None:
    """Requests pass, answers are lost: the service keeps the lease valid while its owner may not act."""
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        running_fleet.services[first.name].drop_answers = True
        lost_at = anyio.current_time()
        bound_s = (TTL_MS * 0.99 - 250 + 2 * TTL_MS + 2 * 200) / 1000  # acting + two leases + two renewals
        await running_fleet.target.wait_for(newer(first.token), bound_s + 2.0)
        assert anyio.current_time() - lost_at < bound_s + 1.0
        assert overlaps(running_fleet.target.history) == [] and anomalies(running_fleet.target.history) == []


async def test_after_a_short_freeze_of_the_service_the_owner_stays() -> None:
    """Frozen longer than the owner may act without renewal, but shorter than it waits before giving up."""
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        os.kill(running_fleet.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(1.2 * TTL_MS / 1000)
        event_count = len(running_fleet.target.history)
        os.kill(running_fleet.etcd.pid, signal.SIGCONT)
        try:
            await running_fleet.target.wait_for(lambda history: len(history) > event_count + 20, 10)
        except TimeoutError:
            raise AssertionError(running_fleet.output_lines) from None
        assert {effect.token for effect in running_fleet.target.history[event_count:]} == {
            first.token
        }  # the same owner, renewed
        assert any(
            "losing" in line for line in running_fleet.output_lines[first.name]
        )  # it did stop while frozen
        assert overlaps(running_fleet.target.history) == []


async def test_after_a_freeze_beyond_the_owners_limit_another_front_takes_the_task() -> None:
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        os.kill(running_fleet.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(2.5 * TTL_MS / 1000)
        os.kill(running_fleet.etcd.pid, signal.SIGCONT)
        await running_fleet.target.wait_for(newer(first.token), 10)
        assert overlaps(running_fleet.target.history) == [] and anomalies(running_fleet.target.history) == []


async def test_tokens_keep_rising_after_the_service_restarts_from_its_log() -> None:
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        running_fleet.fronts[first.name].kill()
        await running_fleet.target.wait_for(newer(first.token), 10)
        second = owner_now(running_fleet.target.history)
        assert second is not None
        await running_fleet.restart_service()
        running_fleet.fronts[second.name].kill()
        await running_fleet.target.wait_for(newer(second.token), 20)
        assert anomalies(running_fleet.target.history) == [] and overlaps(running_fleet.target.history) == []
