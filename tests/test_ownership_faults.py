"""Several processes that own tasks, under faults: links that fail one way or are late, clocks that jump, a
split service, watches that miss changes.

They guard against two owners of one task acting at once, and against a task without an owner for too long.
Each test checks the target's whole history at the end.
"""

import os
import signal
from collections import Counter

import aetcd
import anyio
import pytest

from tests.standins.faults import anomalies, overlaps
from tests.standins.fleet import TTL_MS, Fleet, first_owner, fleet, newer

pytestmark = pytest.mark.anyio
TASK_OWNER_OPTIONS = ("--tasks", "probe", "--refresh-ms", "400")
TTL_S = TTL_MS / 1000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def wait_for_new_owner(running_fleet: Fleet, token: int, within: float) -> None:
    """Wait until an effect of a newer owner is admitted, and check the whole history."""
    try:
        await running_fleet.target.wait_for(newer(token), within)
    except TimeoutError:
        raise AssertionError(running_fleet.output_lines) from None
    await anyio.sleep(0.5)
    assert anomalies(running_fleet.target.history) == []


async def test_if_requests_to_the_service_are_lost_another_front_takes_the_task() -> None:
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        running_fleet.services[first.name].drop_requests = True
        await wait_for_new_owner(running_fleet, first.token, 3 * TTL_S)
        assert overlaps(running_fleet.target.history) == []


async def test_if_a_link_is_delayed_beyond_the_lease_another_front_takes_the_task() -> None:
    async with fleet(3) as running_fleet:
        first = await first_owner(running_fleet)
        running_fleet.services[first.name].delay_s = 1.5 * TTL_S
        await wait_for_new_owner(running_fleet, first.token, 6 * TTL_S)
        assert overlaps(running_fleet.target.history) == []


async def test_if_keep_alives_are_lost_while_reads_pass_another_front_takes_the_task() -> None:
    """Reads still show this front as the owner; only the answers to keep-alives may extend its lease."""
    async with fleet(2) as running_fleet:
        first = await first_owner(running_fleet)
        os.kill(running_fleet.etcd.pid, signal.SIGUSR1)
        await anyio.sleep(1.5 * TTL_S)
        os.kill(running_fleet.etcd.pid, signal.SIGUSR1)
        await wait_for_new_owner(running_fleet, first.token, 6 * TTL_S)
        assert overlaps(running_fleet.target.history) == []


@pytest.mark.parametrize("back", [False, True])
async def test_an_owner_cut_off_with_a_jumping_clock_stops_before_another_acts(back: bool) -> None:
    """Back by ten leases: without the check for regressions it could act for ten leases longer."""
    async with fleet(3, extra=("--jump-ms", str(10 * TTL_MS))) as running_fleet:
        first = await first_owner(running_fleet)
        await running_fleet.services[first.name].set_cut()
        os.kill(running_fleet.fronts[first.name].pid, signal.SIGUSR2 if back else signal.SIGUSR1)
        await wait_for_new_owner(running_fleet, first.token, 4 * TTL_S)
        assert overlaps(running_fleet.target.history) == []
        reason = "clock went back" if back else "renewal overdue"
        assert any(reason in line for line in running_fleet.output_lines[first.name]), (
            running_fleet.output_lines
        )


async def test_a_clock_jump_on_a_working_link_stops_the_owner_only_until_its_next_renewal() -> None:
    async with fleet(2, extra=("--jump-ms", str(10 * TTL_MS))) as running_fleet:
        first = await first_owner(running_fleet)
        os.kill(running_fleet.fronts[first.name].pid, signal.SIGUSR2)
        await anyio.sleep(0.5)
        event_count = len(running_fleet.target.history)
        await running_fleet.target.wait_for(lambda history: len(history) > event_count + 20, 5)
        assert {(effect.name, effect.token) for effect in running_fleet.target.history} == {
            (first.name, first.token)
        }
        assert any("why=renewed" in line for line in running_fleet.output_lines[first.name])


async def test_with_a_split_service_the_fence_admits_one_owner_per_token() -> None:
    """Both halves elect an owner; their revisions count alike, so two owners may even have the same token."""
    async with fleet(4) as running_fleet:
        first = await first_owner(running_fleet)
        others = [name for name in running_fleet.fronts if name != first.name]
        split_member = await running_fleet.split_service(others[:2])
        try:
            await wait_for_new_owner(running_fleet, first.token, 6 * TTL_S)
            running_fleet.fronts[first.name].kill()  # the first half elects another, at lower revisions
            await anyio.sleep(3 * TTL_S)
            names = Counter(effect.name for effect in running_fleet.target.history if not effect.passed)
            assert names, "no effect of the other half was rejected"
            assert anomalies(running_fleet.target.history) == []
        finally:
            split_member.kill()
            await split_member.wait()


async def test_without_the_fence_the_checker_reports_the_split() -> None:
    async with fleet(2, enforce=False) as running_fleet:
        first = await first_owner(running_fleet)
        split_member = await running_fleet.split_service(
            [name for name in running_fleet.fronts if name != first.name]
        )
        try:
            await running_fleet.target.wait_for(newer(first.token), 6 * TTL_S)
            await anyio.sleep(0.5)
            assert anomalies(running_fleet.target.history)
        finally:
            split_member.kill()
            await split_member.wait()


async def test_a_front_whose_watch_revision_was_compacted_still_takes_over() -> None:
    """It is cut off while the service changes keys and compacts them; its revision no longer exists after."""
    async with fleet(2, extra=TASK_OWNER_OPTIONS) as running_fleet:
        first = await first_owner(running_fleet)
        second = next(name for name in running_fleet.fronts if name != first.name)
        await running_fleet.services[second].set_cut()
        async with aetcd.Client(host="127.0.0.1", port=running_fleet.services[first.name].upstream) as client:
            for number in range(50):
                await client.put(b"/cometseam/owners/other", b"%d" % number)
            revision = (await client.get(b"/cometseam/owners/other")).mod_revision
            await client.compact(revision)
        running_fleet.services[second].cut = False
        running_fleet.fronts[first.name].kill()
        await wait_for_new_owner(running_fleet, first.token, 4 * TTL_S)
        assert running_fleet.target.history[-1].name == second


async def test_with_fronts_restarting_every_task_has_one_owner_at_a_time() -> None:
    """Four processes of five fronts each compete for ten tasks; each second one is killed and restarted."""
    tasks = [f"t{number}" for number in range(10)]
    extra = ("--tasks", ",".join(tasks), "--members", "5", "--every-ms", "50", "--refresh-ms", "500")
    async with fleet(4, extra=extra) as running_fleet:
        await running_fleet.target.wait_for(
            lambda history: {effect.task for effect in history} == set(tasks), 20
        )
        for turn in range(4):
            name = f"f{turn % 4}"
            running_fleet.fronts[name].kill()
            await anyio.sleep(1.0)
            await running_fleet.start_front(name, extra)
        event_count = len(running_fleet.target.history)
        await running_fleet.target.wait_for(
            lambda history: {effect.task for effect in history[event_count:] if effect.passed} == set(tasks),
            6 * TTL_S,
        )
        assert anomalies(running_fleet.target.history) == [] and overlaps(running_fleet.target.history) == []
