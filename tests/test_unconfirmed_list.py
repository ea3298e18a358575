"""Requests went out by a list of endpoints that discovery had not confirmed.

An endpoint began to drain while the front was not running. Started again with the list of before, the front
listened, and wrote what clients had sent meanwhile, before discovery had answered it once.
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
from tests.drive import Caller, World, frame, order, world
from tests.standins.discovery import Discovery
from tests.test_late_drain import DRAINING, GRACE, Scene, next_poll, notified, request, scene
from tests.test_leaving import stands_still

pytestmark = pytest.mark.anyio
CLIENTS = 20
ROUND_TRIP = 0.3  # s that discovery takes for an answer
READY, READINESS = 32, 33


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


async def test_a_front_is_ready_when_discovery_has_answered_and_not_before(tmp_path: Path) -> None:
    gate = anyio.Event()
    discovery = Discovery(gate=gate)
    async with scene(tmp_path, discovery=discovery) as its:
        caller = await its.here.call()
        await caller.send(frame(READY, 1))
        before = await caller.next()
        assert (before.type, before.code != 1) == (READINESS, True)
        gate.set()
        await its.here.logged(b"discovery confirms")
        await caller.send(frame(READY, 2))
        assert (await caller.next()).code == 1


async def test_a_front_serves_by_the_list_of_its_start_after_a_while_where_discovery_is_down(
    tmp_path: Path,
) -> None:
    def prepare(here: World) -> None:
        async def closed() -> None:
            here.config["changelog"] = "127.0.0.1:9"  # nobody listens there
            here.path.write_text(json.dumps(here.config))

        here.before_start = closed

    async with world(tmp_path, "cache-2", prepare=prepare) as here:
        caller, began = await here.call(), time.monotonic()
        code = 0
        while code != 1:
            await caller.send(frame(READY, 1))
            code = (await caller.next()).code
            await anyio.sleep(0.01)
        waited = time.monotonic() - began
        assert waited < TERMS.start_wait / 1000.0 + 0.2


async def test_a_front_that_stood_still_past_its_poll_sends_nothing_before_discovery_has_answered(
    tmp_path: Path,
) -> None:
    """The poll was answered with nothing while the front stood still; the endpoint drained after that."""
    async with scene(tmp_path) as its:
        discovery = its.discovery
        assert await served(await ask_at_once(its)) == CLIENTS
        await next_poll(discovery)
        poll = discovery.polls[-1]
        its.here.process.send_signal(signal.SIGSTOP)
        while not stands_still(its.here.process.pid):
            await anyio.sleep(0.001)
        await discovery.news.until(lambda: poll.answered_at)
        discovery.delay = ROUND_TRIP / 2
        discovery.drain(its.here.line(DRAINING))
        drained_at = time.monotonic()
        callers = await ask_at_once(its, 2)
        await anyio.sleep(GRACE + 0.05)
        its.here.process.send_signal(signal.SIGCONT)
        assert poll.told == 1  # what was to cross did
        assert await served(callers) == CLIENTS
        assert its.late(drained_at + GRACE) == []


def line(name: str, state: Lifecycle) -> EndpointEntry:
    return EndpointEntry(name, ("127.0.0.1", 1), 0, 0, 0, state, 1.0, 0.0)


def test_drains_and_purges_behind_an_event_that_cannot_be_used_act_at_once() -> None:
    drain = EndpointList(4, False, (line("a", Lifecycle.DRAINING), line("b", Lifecycle.READY)))
    purge = Purge(5, 7, 0, 1000.0)
    sequence = EventSequence(1)
    answer: list[DiscoveryEvent] = [UnusableEvent(2, "odd"), UnusableEvent(3, "odd", drain), drain, purge]
    first = sequence.accept(answer)
    assert first.error and sequence.last_seq == 1
    told = [each for each in first.events if isinstance(each, EndpointList)]
    assert [{each.name for each in change.entries} for change in told] == [{"a"}, {"a"}]
    assert first.events[-1] == purge
    second = sequence.accept(answer)  # each is still taken in its turn
    assert second.error and sequence.last_seq == 2
    sequence.accept(answer[1:])
    assert sequence.last_seq == 5


async def test_a_drain_behind_an_event_that_cannot_be_read_is_known_in_time_though_discovery_is_slow(
    tmp_path: Path,
) -> None:
    async with scene(tmp_path) as its, anyio.create_task_group() as tasks:
        discovery = its.discovery
        tasks.start_soon(its.ask, 0.01)
        await next_poll(discovery)
        discovery.events.append({"seq": 2, "fleet": {"endpoints": [{"name": "x", "status": "odd"}]}})
        event = discovery.drain(its.here.line(DRAINING))
        await discovery.news.until(lambda: discovery.notified_at(event))
        since = discovery.notified_at(event)
        discovery.delay = 1.0
        assert since is not None
        await anyio.sleep(1.5)
        assert its.late(since + GRACE) == []
        tasks.cancel_scope.cancel()


TERMS = ConfirmationPolicy()


def watched(since: float = 0.0) -> ConfirmationTracker:
    """A front that discovery has answered, with a poll outstanding since then."""
    confirmation = ConfirmationTracker(TERMS, since)
    confirmation.poll_sent(1, since, 1.0, is_long_poll=False)
    assert confirmation.poll_answered(1, since) is not None
    confirmation.poll_sent(1, since, 1500.0, is_long_poll=True)
    return confirmation


def test_a_start_waits_for_an_answer_to_a_poll_of_its_own_to_a_bound() -> None:
    confirmation = ConfirmationTracker(TERMS, 100.0)
    assert (
        confirmation.remaining_wait(100.0) == TERMS.start_wait and confirmation.remaining_wait(2100.0) == 0.0
    )
    assert confirmation.unconfirmed_for(2100.0) == 2000.0
    confirmation.poll_sent(1, 2100.0, 1.0, is_long_poll=False)
    confirmed = confirmation.poll_answered(1, 2105.0)
    assert confirmed is not None and (confirmed.cause, confirmed.duration) == (UnconfirmedCause.START, 2005.0)
    assert confirmation.unconfirmed_for(2105.0) is None


def test_refused_connections_end_the_wait_of_a_front_that_serves_but_not_of_one_that_starts() -> None:
    serving, starting = watched(), ConfirmationTracker(TERMS, 0.0)
    serving.poll_ended(1, 0.0)
    late = TERMS.max_gap + 1.0
    for _ in range(TERMS.max_refusals - 1):
        serving.connection_refused(late)
        starting.connection_refused(late)
    assert serving.remaining_wait(late) > 0.0
    serving.connection_refused(late)
    starting.connection_refused(late)
    assert serving.remaining_wait(late) == 0.0 and starting.remaining_wait(late) == TERMS.start_wait - late


def test_what_is_known_is_unconfirmed_where_no_poll_is_outstanding_for_a_while() -> None:
    confirmation = watched()
    assert confirmation.unconfirmed_for(5000.0) is None  # it is outstanding, however late
    confirmation.poll_ended(1, 5000.0)
    assert confirmation.unconfirmed_for(5000.0 + TERMS.max_gap) is None
    assert confirmation.remaining_wait(5001.0 + TERMS.max_gap) == TERMS.gap_wait - 1.0
    confirmation.poll_sent(2, 5300.0, 1.0, is_long_poll=False)
    confirmed = confirmation.poll_answered(2, 5310.0)
    assert confirmed is not None and confirmed.cause is UnconfirmedCause.NOT_POLLED


def test_a_stand_still_within_a_poll_leaves_what_is_known_confirmed_and_one_past_it_does_not() -> None:
    within, past, short = watched(), watched(), watched()
    within.process_paused(1400.0, 1300.0)
    past.process_paused(2400.0, 2300.0)
    short.process_paused(2400.0, TERMS.max_gap)
    assert (within.remaining_wait(1400.0), past.remaining_wait(2400.0), short.remaining_wait(2400.0)) == (
        0.0,
        TERMS.gap_wait,
        0.0,
    )
    assert past.poll_answered(1, 2401.0) is None  # asked before: it tells nothing of what came after its time
    past.poll_sent(1, 2401.0, 1.0, is_long_poll=True)
    assert past.poll_answered(1, 2402.0) is not None


def test_after_a_move_polls_at_the_old_address_confirm_nothing() -> None:
    confirmation = watched()
    confirmation.address_changed(1000.0)
    late = 1001.0 + TERMS.max_gap
    assert confirmation.unconfirmed_for(late) is not None
    assert confirmation.poll_answered(1, late) is None and confirmation.unconfirmed_for(late) is not None


async def test_a_request_that_waits_for_discovery_is_shed_while_another_front_can_still_serve_it(
    tmp_path: Path,
) -> None:
    async with scene(tmp_path, discovery=Discovery(gate=anyio.Event())) as its:
        caller = await its.here.call()
        sent_at = time.monotonic()
        await caller.send(order(1, verb="grids", limit="600", txn=f"{1:016x}", item=f"{1:016x}"))
        assert (await caller.next()).code == 2
        assert time.monotonic() - sent_at < 0.35 and its.written == []
