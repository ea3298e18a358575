"""Real fronts in a fleet: one probes and one reads the discovery event log for all, with faults between them.

They guard against fronts that act on missing, stale or expired verdicts and log updates when the prober or
the reader dies, is paused, or is cut off from the coordination service.
"""

import os
import signal
from pathlib import Path

import anyio
import pytest

from cometseam.operator.compiled import decode_compiled as read_compiled
from cometseam.operator.compiled import encode_compiled
from cometseam.operator.fleet import parse_fleet_config as read_fleet
from cometseam.operator.load import load
from tests.drive import SAMPLE, FrontTestbed, client_request
from tests.standins.fronts import Fronts, fronts

pytestmark = pytest.mark.anyio
NAMES = ("cache-2", "cache-3")
BAD_LOGGED, GOOD_LOGGED = b"cache-2 is ruled bad", b"cache-2 is ruled good"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def count_served(running_fronts: Fronts, index: int, count: int, first: int) -> int:
    """Send pulls for different objects through one front, one at a time; return how many were served."""
    client, served = await running_fronts.testbeds[index].connect_client(), 0
    for number in range(first, first + count):
        item = f"{number * 2654435761 % (1 << 64):016x}"
        await client.send(client_request(number, txn=f"{number:016x}", item=item, ram="40"))
        served += (await client.next()).code == 1
    await client.stream.aclose()
    return served


async def count_polls(front: FrontTestbed) -> int:
    """Return how many polls of the discovery event log a front has had answered."""
    return int((await front.read_counters()).get("fleet.log.polls", 0))


async def wait_for_verdict(running_fronts: Fronts, index: int, bad: bool) -> None:
    """Wait until a front applies the verdict on cache-2, as the relays of its pulls show."""
    first = 1 + index * 100_000 + running_fronts.caches.asked.total()
    with anyio.fail_after(10):
        while True:
            before = running_fronts.caches.asked[1]
            first += 30
            served = await count_served(running_fronts, index, 30, first)
            if served == 30 and (running_fronts.caches.asked[1] == before) is bad:
                return


async def test_one_front_probes_for_all_and_each_avoids_the_cache_with_a_bad_verdict() -> None:
    async with fronts(3, NAMES) as running_fronts:
        prober = await running_fronts.wait_for_owner()
        others = [index for index in range(3) if index != prober]
        running_fronts.caches.silent.add(1)
        await running_fronts.testbeds[prober].logged(BAD_LOGGED)
        await wait_for_verdict(running_fronts, others[0], True)
        asked = running_fronts.caches.asked[1]
        served = sum(
            [await count_served(running_fronts, index, 40, 500_000 + 1000 * index) for index in others]
        )
        assert served == 80 and running_fronts.caches.asked[1] == asked  # neither had a failure of its own
        # The prober is killed: its verdict applies until another front owns the task, and after that.
        running_fronts.testbeds[prober].process.kill()
        second = await running_fronts.wait_for_owner(prober)
        await running_fronts.testbeds[second].logged(BAD_LOGGED)
        assert (
            await count_served(running_fronts, second, 40, 600_000) == 40
            and running_fronts.caches.asked[1] == asked
        )
        running_fronts.caches.silent.clear()
        await running_fronts.testbeds[second].logged(GOOD_LOGGED)
        for index in others:
            await wait_for_verdict(running_fronts, index, False)
        last = next(index for index in others if index != second)
        counters = await running_fronts.testbeds[last].stop()
        assert counters["fleet.verdict.heard"] >= 2 and "fleet.probes" not in counters


async def test_a_front_cut_off_from_the_service_keeps_serving_and_its_verdicts_expire() -> None:
    async with fronts(2, NAMES, lasts_ms=1800) as running_fronts:
        prober = await running_fronts.wait_for_owner()
        other = 1 - prober
        running_fronts.caches.silent.add(1)
        await running_fronts.testbeds[prober].logged(BAD_LOGGED)
        await wait_for_verdict(running_fronts, other, True)
        await running_fronts.links[other].set_cut()
        await running_fronts.testbeds[other].logged(b"the ruling on cache-2 ended unsaid")
        running_fronts.caches.silent.clear()
        await wait_for_verdict(running_fronts, other, False)
        assert await count_served(running_fronts, other, 20, 700_000) == 20


async def test_a_prober_paused_beyond_its_lease_publishes_no_verdict_on_resume() -> None:
    async with fronts(2, NAMES) as running_fronts:
        first = await running_fronts.wait_for_owner()
        os.kill(running_fronts.testbeds[first].process.pid, signal.SIGSTOP)
        second = await running_fronts.wait_for_owner(first)
        running_fronts.caches.silent.add(1)
        await running_fronts.testbeds[second].logged(BAD_LOGGED)
        await wait_for_verdict(running_fronts, second, True)
        rulings_logged = running_fronts.testbeds[first].output.count(b"ruled")
        os.kill(running_fronts.testbeds[first].process.pid, signal.SIGCONT)
        await anyio.sleep(1.0)
        assert running_fronts.testbeds[first].output.count(b"ruled") == rulings_logged
        await wait_for_verdict(
            running_fronts, first, True
        )  # after it resumes, it applies the other prober's verdict


async def test_one_front_reads_the_change_log_for_all_and_a_drain_reaches_every_front() -> None:
    async with fronts(3, NAMES) as running_fronts:
        reader = await running_fronts.wait_for_owner(task="list")
        others = [index for index in range(3) if index != reader]
        await anyio.sleep(3.0)  # a long poll is 2 s: those in flight have ended
        counts = [await count_polls(front) for front in running_fronts.testbeds]
        await anyio.sleep(3.0)
        new_polls = [
            await count_polls(front) - count
            for front, count in zip(running_fronts.testbeds, counts, strict=True)
        ]
        assert new_polls[reader] >= 1 and [new_polls[index] for index in others] == [0, 0]
        # A drain is logged: the reader receives it by its poll, the others by its update.
        drained = running_fronts.testbeds[0].endpoint_entry("cache-2", status="leaving")
        running_fronts.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        before = anyio.current_time()
        await wait_for_verdict(running_fronts, others[0], True)
        duration = anyio.current_time() - before
        polls = await count_polls(running_fronts.testbeds[others[0]])
        assert polls == counts[others[0]] and duration < 2.0
        # The reader dies: each front polls itself until another is the reader.
        running_fronts.testbeds[reader].process.kill()
        await running_fronts.wait_for_owner(reader, task="list")
        ready = running_fronts.testbeds[0].endpoint_entry("cache-2", status="active")
        running_fronts.add_event(fleet={"index": 3, "snapshot": False, "endpoints": [ready]})
        for index in others:
            await wait_for_verdict(running_fronts, index, False)


async def test_a_front_cut_off_from_the_service_polls_the_change_log_itself() -> None:
    async with fronts(2, NAMES) as running_fronts:
        reader = await running_fronts.wait_for_owner(task="list")
        other = 1 - reader
        await anyio.sleep(2.5)
        await running_fronts.links[other].set_cut()
        front = running_fronts.testbeds[other]
        drained = front.endpoint_entry("cache-2", status="leaving")
        running_fronts.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        await front.logged(b"discovery: applied event 2")  # within the bound of 2.5 s and a poll
        await wait_for_verdict(running_fronts, other, True)


async def test_without_a_service_the_front_serves_as_without_a_fleet() -> None:
    async with fronts(1, NAMES) as running_fronts:
        running_fronts.etcd.kill()
        await running_fronts.etcd.wait()
        assert await count_served(running_fronts, 0, 40, 1) == 40
        assert await running_fronts.testbeds[0].stop()


INVALID_TERMS = {
    "ttl: '80ms', margin: '0ms', renew: '20ms'": "the service grants whole seconds",
    "ttl: '1s', margin: '900ms', renew: '200ms'": "not more than a round trip",
    "ttl: '1s', margin: '200ms', renew: '900ms'": "so that a renewal arrives in time",
}


@pytest.mark.parametrize("terms", list(INVALID_TERMS))
def test_terms_that_cannot_ensure_one_owner_are_rejected_at_load(terms: str, tmp_path: Path) -> None:
    assert INVALID_TERMS[terms] in load_faults(tmp_path, f"probe: {{ {terms} }}")


def test_a_lease_shorter_than_a_round_trip_is_rejected_at_load(tmp_path: Path) -> None:
    faults = load_faults(
        tmp_path, "probe: { ttl: '1s', margin: '0ms', renew: '200ms' }", "round_trip: '1200ms',"
    )
    assert "fleet.tasks.probe.ttl: 1000 ms is not longer than a round trip of 1200 ms" in faults


def test_verdicts_that_expire_before_another_prober_can_take_over_are_rejected_at_load(
    tmp_path: Path,
) -> None:
    probing = "probing: { lasts: '2s' },"
    faults = load_faults(tmp_path, "probe: { ttl: '2s', margin: '200ms', renew: '400ms' }", probing)
    assert "fleet.probing.lasts: 2000 ms ends before another front can have taken the task over" in faults
    assert "nobody would probe" in load_faults(
        tmp_path, "list: { ttl: '2s', margin: '200ms', renew: '400ms' }", probing
    )
    assert "fleet.service" in load_faults(tmp_path, "", service="nowhere")


def test_the_fleet_example_is_valid_and_its_terms_are_decoded_as_encoded() -> None:
    loaded = load(Path(__file__).parent.parent / "deploy" / "fleet.jsonnet", SAMPLE["settings"])
    decoded = read_compiled(encode_compiled(loaded.compiled, loaded.network_intervals))
    assert decoded.fleet is not None and decoded.fleet == loaded.compiled.fleet
    terms = read_fleet(decoded.fleet)
    assert set(terms.tasks) == {"probe", "list", "limits"} and terms.grant_timing == (500.0, 3000.0)
    assert terms.in_flight_limits == (400.0, 800.0)
    assert terms.max_log_age_ms == 4000.0 and terms.probing.lasts == 6000.0


def load_faults(
    folder: Path, tasks: str, other_fields: str = "", service: str = "127.0.0.1:2379", fronts: int = 1
) -> str:
    """Return the faults that loading a file with such a fleet reports."""
    from cometseam.operator.compiled import OperatorFileError

    path = folder / "operator.jsonnet"
    path.write_text(
        f"{{ version: 1, fleet: {{ service: '{service}', {other_fields} tasks: {{ {tasks} }} }} }}"
    )
    with pytest.raises(OperatorFileError) as caught:
        load(path, {**SAMPLE["settings"], "balancers": fronts})
    return "\n".join(str(fault) for fault in caught.value.faults)


def test_a_cap_below_one_relay_for_a_front_without_a_grant_is_rejected_at_load(tmp_path: Path) -> None:
    task = "limits: { ttl: '1s', margin: '250ms', renew: '200ms' }"
    other_fields = "limits: {{ relays: {{ caches: {0}, parents: {0} }} }},"
    faults = load_faults(tmp_path, task, other_fields.format(2), fronts=3)
    assert "relays.parents: 2 among 3 fronts leaves a front without a grant less than one relay" in faults
    assert "nobody would share anything out" in load_faults(tmp_path, "", other_fields.format(8))
