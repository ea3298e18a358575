"""Guards against requests sent by an endpoint list that discovery has not confirmed.

An endpoint began to drain while the front was not running. Restarted with the old list, the front listened
and forwarded the requests of clients before discovery had answered its first poll.
"""

import json
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from cometseam.discovery import ConfirmationPolicy, ConfirmationTracker, EventSequence
from cometseam.discovery.confirmation import UnconfirmedCause
from cometseam.interface import Lifecycle
from cometseam.protocol.discovery_events import (
    DiscoveryEvent,
    EndpointEntry,
    EndpointList,
    Purge,
    UnusableEvent,
)
from tests.drive import Caller, FrontTestbed, client_request, frame, front_testbed
from tests.standins.discovery import Discovery
from tests.test_late_drain import (
    DRAINING,
    GRACE_S,
    DrainScenario,
    drain_scenario,
    request,
    wait_for_held_poll,
    wait_until_notified,
)
from tests.test_leaving import is_stopped

pytestmark = pytest.mark.anyio
CLIENTS = 20
DISCOVERY_ROUND_TRIP_S = 0.3
READY, READINESS = 32, 33


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def drain_before_start(discovery: Discovery) -> Callable[[FrontTestbed], Awaitable[None]]:
    """Return a hook that drains an endpoint after the configuration is written, then waits for the grace."""

    async def drain_and_wait(testbed: FrontTestbed) -> None:
        discovery.drain(testbed.endpoint_entry(DRAINING))
        await anyio.sleep(GRACE_S)

    return drain_and_wait


async def send_from_all_clients(scenario: DrainScenario, stream: int = 1) -> list[Caller]:
    """Send one request from each client, each on its own connection."""
    callers = [await scenario.testbed.connect_client() for _ in range(CLIENTS)]
    for number, caller in enumerate(callers, 1):
        await caller.send(request(stream, number + 100 * stream))
    return callers


async def count_served(callers: list[Caller]) -> int:
    """Return how many of the requests were served."""
    return [(await caller.next()).code for caller in callers].count(1)


@pytest.mark.parametrize("unanswered", [set(), {1}, {1, 2}], ids=["slow", "silent once", "silent twice"])
async def test_starting_front_sends_nothing_before_discovery_answers(
    tmp_path: Path, unanswered: set[int]
) -> None:
    discovery = Discovery(silent=unanswered, delay=0.0 if unanswered else DISCOVERY_ROUND_TRIP_S)
    async with drain_scenario(tmp_path, False, discovery, drain_before_start(discovery)) as scenario:
        callers = await send_from_all_clients(scenario)
        asked_at = time.monotonic()
        assert await count_served(callers) == CLIENTS
        assert asked_at < await wait_until_notified(discovery, 2)  # the intended overlap occurred
        assert scenario.late_commands(0.0) == [] and {name for _, name, _ in scenario.received} == {"cache-2"}


async def test_front_is_ready_only_after_discovery_answers(tmp_path: Path) -> None:
    gate = anyio.Event()
    discovery = Discovery(gate=gate)
    async with drain_scenario(tmp_path, discovery=discovery) as scenario:
        caller = await scenario.testbed.connect_client()
        await caller.send(frame(READY, 1))
        before = await caller.next()
        assert (before.type, before.code != 1) == (READINESS, True)
        gate.set()
        await scenario.testbed.logged(b"discovery confirms")
        await caller.send(frame(READY, 2))
        assert (await caller.next()).code == 1


async def test_front_serves_from_its_initial_list_after_start_wait_if_discovery_is_down(
    tmp_path: Path,
) -> None:
    def prepare(testbed: FrontTestbed) -> None:
        async def use_closed_port() -> None:
            testbed.config["changelog"] = "127.0.0.1:9"  # nothing listens there
            testbed.path.write_text(json.dumps(testbed.config))

        testbed.before_start = use_closed_port

    async with front_testbed(tmp_path, "cache-2", prepare=prepare) as testbed:
        caller, started_at = await testbed.connect_client(), time.monotonic()
        code = 0
        while code != 1:
            await caller.send(frame(READY, 1))
            code = (await caller.next()).code
            await anyio.sleep(0.01)
        waited = time.monotonic() - started_at
        assert waited < POLICY.start_wait / 1000.0 + 0.2


@pytest.mark.parametrize("paused_before_answer_s", [0.3, 1.45])
async def test_front_paused_past_its_poll_sends_nothing_before_discovery_answers(
    paused_before_answer_s: float, tmp_path: Path
) -> None:
    """The poll got an empty answer while the front was paused; the endpoint drained after that.

    Requests wait for discovery for 2.4 s. A pause of a whole poll comes close to that, so they may be shed.
    """
    async with drain_scenario(tmp_path) as scenario:
        discovery = scenario.discovery
        assert await count_served(await send_from_all_clients(scenario)) == CLIENTS
        await wait_for_held_poll(discovery)
        poll = discovery.polls[-1]
        await anyio.sleep(poll.asked_at + poll.hold - paused_before_answer_s - time.monotonic())
        scenario.testbed.process.send_signal(signal.SIGSTOP)
        while not is_stopped(scenario.testbed.process.pid):
            await anyio.sleep(0.001)
        assert not poll.answered_at
        await discovery.notifier.wait_until(lambda: poll.answered_at)
        discovery.delay = DISCOVERY_ROUND_TRIP_S / 2
        discovery.drain(scenario.testbed.endpoint_entry(DRAINING))
        drained_at = time.monotonic()
        callers = await send_from_all_clients(scenario, 2)
        await anyio.sleep(GRACE_S + 0.05)
        scenario.testbed.process.send_signal(signal.SIGCONT)
        assert poll.told == 1  # the intended overlap occurred
        codes = [(await caller.next()).code for caller in callers]
        assert set(codes) <= ({1} if paused_before_answer_s < 1.0 else {1, 2})
        assert scenario.late_commands(drained_at + GRACE_S) == []


def endpoint_entry(name: str, state: Lifecycle) -> EndpointEntry:
    return EndpointEntry(name, ("127.0.0.1", 1), 0, 0, 0, state, 1.0, 0.0)


def test_drains_and_purges_after_an_unusable_event_are_applied_at_once() -> None:
    drain = EndpointList(
        4, False, (endpoint_entry("a", Lifecycle.DRAINING), endpoint_entry("b", Lifecycle.READY))
    )
    purge = Purge(5, 7, 0, 1000.0)
    sequence = EventSequence(1)
    answer: list[DiscoveryEvent] = [UnusableEvent(2, "odd"), UnusableEvent(3, "odd", drain), drain, purge]
    first = sequence.accept(answer)
    assert first.error and sequence.last_seq == 1
    lists = [each for each in first.events if isinstance(each, EndpointList)]
    assert [{each.name for each in update.entries} for update in lists] == [{"a"}, {"a"}]
    assert first.events[-1] == purge
    second = sequence.accept(answer)  # each event is still accepted in sequence
    assert second.error and sequence.last_seq == 2
    sequence.accept(answer[1:])
    assert sequence.last_seq == 5


async def test_drain_after_an_invalid_event_is_applied_in_time_if_discovery_is_slow(
    tmp_path: Path,
) -> None:
    async with drain_scenario(tmp_path) as scenario, anyio.create_task_group() as tasks:
        discovery = scenario.discovery
        tasks.start_soon(scenario.send_requests, 0.01)
        await wait_for_held_poll(discovery)
        discovery.events.append({"seq": 2, "fleet": {"endpoints": [{"name": "x", "status": "odd"}]}})
        event = discovery.drain(scenario.testbed.endpoint_entry(DRAINING))
        await discovery.notifier.wait_until(lambda: discovery.notified_at(event))
        notified_since = discovery.notified_at(event)
        discovery.delay = 1.0
        assert notified_since is not None
        await anyio.sleep(1.5)
        assert scenario.late_commands(notified_since + GRACE_S) == []
        tasks.cancel_scope.cancel()


POLICY = ConfirmationPolicy()


def confirmed_tracker(since: float = 0.0) -> ConfirmationTracker:
    """Return a confirmed tracker with a long poll outstanding since `since`."""
    confirmation = ConfirmationTracker(POLICY, since)
    confirmation.poll_sent(1, since, 1.0, is_long_poll=False)
    assert confirmation.poll_answered(1, since) is not None
    confirmation.poll_sent(1, since, 1500.0, is_long_poll=True)
    return confirmation


def test_start_waits_for_an_answered_poll_up_to_start_wait() -> None:
    confirmation = ConfirmationTracker(POLICY, 100.0)
    assert (
        confirmation.remaining_wait(100.0) == POLICY.start_wait and confirmation.remaining_wait(2100.0) == 0.0
    )
    assert confirmation.unconfirmed_for(2100.0) == 2000.0
    confirmation.poll_sent(1, 2100.0, 1.0, is_long_poll=False)
    confirmed = confirmation.poll_answered(1, 2105.0)
    assert confirmed is not None and (confirmed.cause, confirmed.duration) == (UnconfirmedCause.START, 2005.0)
    assert confirmation.unconfirmed_for(2105.0) is None


def test_refused_connections_end_the_wait_of_a_serving_but_not_of_a_starting_front() -> None:
    serving, starting = confirmed_tracker(), ConfirmationTracker(POLICY, 0.0)
    serving.poll_ended(1, 0.0)
    late = POLICY.max_gap + 1.0
    for _ in range(POLICY.max_refusals - 1):
        serving.connection_refused(late)
        starting.connection_refused(late)
    assert serving.remaining_wait(late) > 0.0
    serving.connection_refused(late)
    starting.connection_refused(late)
    assert serving.remaining_wait(late) == 0.0 and starting.remaining_wait(late) == POLICY.start_wait - late


def test_state_is_unconfirmed_after_max_gap_without_an_outstanding_poll() -> None:
    confirmation = confirmed_tracker()
    assert confirmation.unconfirmed_for(5000.0) is None  # the poll is outstanding, however late
    confirmation.poll_ended(1, 5000.0)
    assert confirmation.unconfirmed_for(5000.0 + POLICY.max_gap) is None
    assert confirmation.remaining_wait(5001.0 + POLICY.max_gap) == POLICY.gap_wait - 1.0
    confirmation.poll_sent(2, 5300.0, 1.0, is_long_poll=False)
    confirmed = confirmation.poll_answered(2, 5310.0)
    assert confirmed is not None and confirmed.cause is UnconfirmedCause.NOT_POLLED


def test_pause_within_a_poll_keeps_the_state_confirmed_and_a_longer_one_does_not() -> None:
    within, longer, short = confirmed_tracker(), confirmed_tracker(), confirmed_tracker()
    within.process_paused(1400.0, 1300.0)
    longer.process_paused(2400.0, 2300.0)
    short.process_paused(2400.0, POLICY.max_gap)
    assert (within.remaining_wait(1400.0), longer.remaining_wait(2400.0), short.remaining_wait(2400.0)) == (
        0.0,
        POLICY.gap_wait,
        0.0,
    )
    assert longer.poll_answered(1, 2401.0) is None  # sent before the pause: says nothing about later events
    longer.poll_sent(1, 2401.0, 1.0, is_long_poll=True)
    assert longer.poll_answered(1, 2402.0) is not None


def test_polls_at_the_old_address_confirm_nothing_after_an_address_change() -> None:
    confirmation = confirmed_tracker()
    confirmation.address_changed(1000.0)
    late = 1001.0 + POLICY.max_gap
    assert confirmation.unconfirmed_for(late) is not None
    assert confirmation.poll_answered(1, late) is None and confirmation.unconfirmed_for(late) is not None


async def test_request_waiting_for_discovery_is_shed_while_another_front_can_serve_it(
    tmp_path: Path,
) -> None:
    async with drain_scenario(tmp_path, discovery=Discovery(gate=anyio.Event())) as scenario:
        caller = await scenario.testbed.connect_client()
        sent_at = time.monotonic()
        await caller.send(client_request(1, verb="grids", limit="600", txn=f"{1:016x}", item=f"{1:016x}"))
        assert (await caller.next()).code == 2
        assert time.monotonic() - sent_at < 0.35 and scenario.received == []
