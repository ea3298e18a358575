"""Further faults between processes holding tasks: links that fail one way or late, clocks that jump, a
service that is two, watches that miss what happened. Each reads the target's whole history at the end.
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
CREW = ("--tasks", "probe", "--refresh-ms", "400")
TTL = TTL_MS / 1000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def handed_on(here: Fleet, token: int, within: float) -> None:
    """Wait until an effect of a newer owner is let through, and read the whole history."""
    try:
        await here.target.wait_for(newer(token), within)
    except TimeoutError:
        raise AssertionError(here.said) from None
    await anyio.sleep(0.5)
    assert anomalies(here.target.history) == []


async def test_requests_lost_on_the_way_to_the_service_hand_the_task_on() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        here.services[first.name].drop_up = True
        await handed_on(here, first.token, 3 * TTL)
        assert overlaps(here.target.history) == []


async def test_a_link_later_than_the_lease_hands_the_task_on() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        here.services[first.name].delay = 1.5 * TTL
        await handed_on(here, first.token, 6 * TTL)
        assert overlaps(here.target.history) == []


async def test_keep_alives_lost_while_reads_pass_end_the_ownership_once() -> None:
    """The key still reads as this front's own; only the answers to keep-alives may prolong its time."""
    async with fleet(2) as here:
        first = await first_owner(here)
        os.kill(here.etcd.pid, signal.SIGUSR1)
        await anyio.sleep(1.5 * TTL)
        os.kill(here.etcd.pid, signal.SIGUSR1)
        await handed_on(here, first.token, 6 * TTL)
        assert overlaps(here.target.history) == []


@pytest.mark.parametrize("back", [False, True])
async def test_an_owner_whose_clock_jumps_while_it_is_cut_off_stops_before_another_acts(back: bool) -> None:
    """Back by ten leases: without the guard its time to act would last ten leases longer."""
    async with fleet(3, extra=("--jump-ms", str(10 * TTL_MS))) as here:
        first = await first_owner(here)
        await here.services[first.name].set_cut()
        os.kill(here.fronts[first.name].pid, signal.SIGUSR2 if back else signal.SIGUSR1)
        await handed_on(here, first.token, 4 * TTL)
        assert overlaps(here.target.history) == []
        word = "clock went back" if back else "renewal overdue"
        assert any(word in line for line in here.said[first.name]), here.said


async def test_a_clock_that_jumps_on_a_sound_link_costs_one_renewal() -> None:
    async with fleet(2, extra=("--jump-ms", str(10 * TTL_MS))) as here:
        first = await first_owner(here)
        os.kill(here.fronts[first.name].pid, signal.SIGUSR2)
        await anyio.sleep(0.5)
        count = len(here.target.history)
        await here.target.wait_for(lambda history: len(history) > count + 20, 5)
        assert {(e.name, e.token) for e in here.target.history} == {(first.name, first.token)}
        assert any("why=renewed" in line for line in here.said[first.name])


async def test_a_service_split_in_two_has_one_owner_let_through_a_token() -> None:
    """Both halves elect; they count revisions alike, so two owners may even come with one token."""
    async with fleet(4) as here:
        first = await first_owner(here)
        others = [name for name in here.fronts if name != first.name]
        other = await here.split_service(others[:2])
        try:
            await handed_on(here, first.token, 6 * TTL)
            here.fronts[first.name].kill()  # the first half elects anew: its revisions lie behind
            await anyio.sleep(3 * TTL)
            names = Counter(e.name for e in here.target.history if not e.passed)
            assert names, "nobody of the other half was refused"
            assert anomalies(here.target.history) == []
        finally:
            other.kill()
            await other.wait()


async def test_without_the_fence_the_split_is_seen_by_the_checker() -> None:
    async with fleet(2, enforce=False) as here:
        first = await first_owner(here)
        other = await here.split_service([name for name in here.fronts if name != first.name])
        try:
            await here.target.wait_for(newer(first.token), 6 * TTL)
            await anyio.sleep(0.5)
            assert anomalies(here.target.history)
        finally:
            other.kill()
            await other.wait()


async def test_a_front_whose_watch_was_compacted_under_still_takes_over() -> None:
    """Cut off while the service changes and forgets, back with a revision that is no longer there."""
    async with fleet(2, extra=CREW) as here:
        first = await first_owner(here)
        second = next(name for name in here.fronts if name != first.name)
        await here.services[second].set_cut()
        async with aetcd.Client(host="127.0.0.1", port=here.services[first.name].upstream) as client:
            for number in range(50):
                await client.put(b"/cometseam/owners/other", b"%d" % number)
            revision = (await client.get(b"/cometseam/owners/other")).mod_revision
            await client.compact(revision)
        here.services[second].cut = False
        here.fronts[first.name].kill()
        await handed_on(here, first.token, 4 * TTL)
        assert here.target.history[-1].name == second


async def test_churn_of_fronts_keeps_every_task_with_one_owner() -> None:
    """Four processes of five fronts each contend for ten tasks; a process dies and comes back each second."""
    tasks = [f"t{number}" for number in range(10)]
    extra = ("--tasks", ",".join(tasks), "--members", "5", "--every-ms", "50", "--refresh-ms", "500")
    async with fleet(4, extra=extra) as here:
        await here.target.wait_for(lambda h: {e.task for e in h} == set(tasks), 20)
        for turn in range(4):
            name = f"f{turn % 4}"
            here.fronts[name].kill()
            await anyio.sleep(1.0)
            await here.start_front(name, extra)
        count = len(here.target.history)
        await here.target.wait_for(lambda h: {e.task for e in h[count:] if e.passed} == set(tasks), 6 * TTL)
        assert anomalies(here.target.history) == [] and overlaps(here.target.history) == []
