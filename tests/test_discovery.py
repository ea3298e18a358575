"""Discovery: when polls start and end, which events are accepted, and that closed connections lose none."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from hypothesis import given
from hypothesis import strategies as st

from cometseam.discovery import DiscoveryClient, EventSequence, PollPolicy, PollSchedule
from cometseam.interface import Lifecycle
from cometseam.protocol.discovery_events import (
    DiscoveryEvent,
    EndpointEntry,
    EndpointList,
    Purge,
    UnusableEvent,
    parse_answer,
)
from tests.drive import SAMPLE, Notifier
from tests.standins.discovery import Discovery
from tests.test_actors import CONFIG

pytestmark = pytest.mark.anyio
POLICY = PollPolicy()
OVERDUE_AFTER_MS = POLICY.hold + POLICY.answer_allowance
ENDPOINT_ENTRIES = SAMPLE["known"]["results"][0]["fleet"]["endpoints"]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# The schedule


def schedule_with_polls(*started_at: float) -> PollSchedule:
    """Return a schedule with a poll outstanding on connection 1, 2, …, each since the given time."""
    schedule = PollSchedule(POLICY)
    for number, at in enumerate(started_at, 1):
        schedule.connection_started(number, at)
        schedule.poll_sent(number, at)
    return schedule


def test_overdue_poll_stays_open_while_another_connection_starts() -> None:
    schedule = schedule_with_polls(0.0)
    before = schedule.check(OVERDUE_AFTER_MS - 1.0)
    assert (before.start_connection, before.abandoned, before.next_check_at) == (False, (), OVERDUE_AFTER_MS)
    overdue = schedule.check(OVERDUE_AFTER_MS)
    assert (overdue.start_connection, overdue.abandoned) == (True, ())


def test_poll_parallel_to_overdue_one_is_quick_and_the_next_is_held() -> None:
    schedule = schedule_with_polls(0.0)
    schedule.connection_started(2, OVERDUE_AFTER_MS)
    assert schedule.poll_sent(2, OVERDUE_AFTER_MS) == POLICY.quick_hold
    assert schedule.poll_answered(2, OVERDUE_AFTER_MS + 5.0)
    assert schedule.poll_sent(2, OVERDUE_AFTER_MS + 5.0) == POLICY.hold


def test_answered_overdue_connection_closes_only_if_another_poll_is_in_time() -> None:
    schedule = schedule_with_polls(0.0)
    schedule.connection_started(2, OVERDUE_AFTER_MS)
    schedule.poll_sent(2, OVERDUE_AFTER_MS)
    assert not schedule.poll_answered(1, OVERDUE_AFTER_MS + 1.0)  # connection 2 is not overdue yet
    schedule = schedule_with_polls(0.0, 0.0)
    assert schedule.poll_answered(1, OVERDUE_AFTER_MS + 1.0)  # the other is overdue: polling continues here


def test_address_change_keeps_polls_closes_idle_connections_and_starts_another() -> None:
    schedule = schedule_with_polls(0.0, 10.0)
    schedule.connection_started(3, 20.0)  # is being established
    assert schedule.address_changed(30.0) == [3]
    schedule.connection_closed(3)
    assert schedule.check(30.0).start_connection
    assert not schedule.poll_answered(1, 40.0)  # the old address is no longer polled
    schedule = schedule_with_polls(
        10.0, 0.0, *(20.0 + number for number in range(POLICY.max_connections - 2))
    )
    assert schedule.address_changed(40.0) == [2]  # the oldest makes room for the new connection


def test_failed_connections_restart_after_exponential_back_off_with_a_limit() -> None:
    schedule, now, delays = PollSchedule(POLICY), 0.0, []
    for number in range(8):
        assert schedule.check(now).start_connection
        schedule.connection_started(number, now)
        schedule.connection_failed(number, now)
        delays.append(schedule.check(now).next_check_at - now)
        now += delays[-1]
    assert delays == [20.0, 40.0, 80.0, 100.0, 100.0, 100.0, 100.0, 100.0]


@given(st.lists(st.tuples(st.sampled_from(["up", "answer", "fail", "move", "wait"]), st.integers(0, 3),
                          st.floats(1.0, 3000.0)), max_size=60))  # fmt: skip
def test_connections_stay_bounded_and_are_abandoned_and_started_in_time(
    steps: list[tuple[str, int, float]],
) -> None:
    """Random steps run against a simple model of the connections, which checks each decision."""
    schedule, now, started_count = PollSchedule(POLICY), 0.0, 0
    # By connection: start time, hold of its poll (None while connecting), whether to the current address.
    connections: dict[int, tuple[float, float | None, bool]] = {}
    no_start_due_before = 0.0  # because of back-off and the connection interval
    for step, choice, wait in steps:
        decision = schedule.check(now)
        for number in decision.abandoned:
            started_at, hold, _ = connections[number]
            limit = POLICY.connect_abandon_after if hold is None else hold + POLICY.abandon_after
            if now - started_at < limit:  # it is replaced by one that starts, as no poll is in time
                assert decision.start_connection and len(connections) == POLICY.max_connections
                connecting = [at for at, held, _ in connections.values() if held is None]
                if connecting:  # closing one of these loses no answer
                    assert hold is None and started_at == max(connecting)
                else:  # the oldest are protected; among the others it is the longest unanswered
                    assert (
                        started_at == sorted(at for at, _, _ in connections.values())[POLICY.protected_polls]
                    )
            del connections[number]
            schedule.connection_failed(number, now)
            no_start_due_before = max(no_start_due_before, now + POLICY.max_back_off)
        current = [each for each in connections.values() if each[2]]
        if decision.start_connection:
            started_count += 1
            schedule.connection_started(started_count, now)
            connections[started_count] = (now, None, True)
            no_start_due_before = max(no_start_due_before, now + POLICY.connection_interval)
        elif now > no_start_due_before:
            overdue_times = [
                at + (POLICY.connect_allowance if hold is None else hold + POLICY.answer_allowance)
                for at, hold, _ in current
            ]
            assert max(overdue_times, default=-1.0) > now  # at least one poll is not overdue
        assert len(connections) <= POLICY.max_connections and len(schedule) == len(connections)
        assert schedule.check(now).next_check_at > now
        numbers = sorted(connections)
        number = numbers[choice % len(numbers)] if numbers else 0
        if step == "up" and number and connections[number][1] is None:
            connections[number] = (now, schedule.poll_sent(number, now), connections[number][2])
        elif step == "answer" and number and connections[number][1] is not None:
            no_start_due_before = max(no_start_due_before, now + POLICY.initial_back_off)
            if schedule.poll_answered(number, now):
                connections[number] = (now, schedule.poll_sent(number, now), connections[number][2])
            else:
                schedule.connection_closed(number)
                del connections[number]
        elif step == "fail" and number:
            schedule.connection_failed(number, now)
            no_start_due_before = max(no_start_due_before, now + POLICY.max_back_off)
            del connections[number]
        elif step == "move":
            for closed in schedule.address_changed(now):
                schedule.connection_closed(closed)
                del connections[closed]
            connections = {each: (at, hold, False) for each, (at, hold, _) in connections.items()}
        now += wait


@pytest.mark.parametrize("grace", [100.0, 300.0, 500.0, 2000.0])
def test_delays_are_at_most_half_of_the_drain_grace(grace: float) -> None:
    policy = PollPolicy.for_drain_grace(grace)
    delays = (
        policy.poll_interval,
        policy.quick_allowance,
        policy.connect_allowance,
        policy.connection_interval,
        policy.max_back_off,
    )
    assert max(delays) <= 0.5 * grace and policy.initial_back_off <= policy.max_back_off <= 100.0


def test_replaced_unanswered_poll_was_open_for_at_least_1500_ms() -> None:
    schedule, now = PollSchedule(POLICY), 0.0
    sent_at: dict[int, float] = {}
    abandoned: tuple[int, ...] = ()
    while not abandoned:
        decision = schedule.check(now)
        abandoned = decision.abandoned
        if not abandoned and decision.start_connection:
            number = len(sent_at) + 1
            sent_at[number] = now
            schedule.connection_started(number, now)
            schedule.poll_sent(number, now, immediate=True)
        now += 10.0
    assert abandoned == (POLICY.protected_polls + 1,) and now - sent_at[abandoned[0]] >= 1500.0


# The sequence of events


def endpoint_event(seq: int, name: str = "c", lifecycle: Lifecycle = Lifecycle.DRAINING) -> EndpointList:
    return EndpointList(seq, False, (EndpointEntry(name, ("127.0.0.1", 1), 0, 0, 0, lifecycle, 1.0, 0.0),))


def test_events_are_accepted_once_in_order_and_a_gap_is_requested_once_more() -> None:
    sequence = EventSequence(1)
    first = sequence.accept([Purge(2, 7, 0, 1.0), Purge(4, 9, 0, 1.0)])
    assert [event.seq for event in first.events] == [2] and "event 4 instead" in first.error
    retried = sequence.accept([Purge(2, 7, 0, 1.0), Purge(4, 9, 0, 1.0)])
    assert ([event.seq for event in retried.events], retried.duplicates, retried.error) == ([4], 1, "")
    assert sequence.last_seq == 4


def test_partly_unusable_event_applies_drains_at_once_and_other_entries_after_retry() -> None:
    drain_and_ready = EndpointList(
        2, False, (*endpoint_event(2).entries, *endpoint_event(2, "d", Lifecycle.READY).entries)
    )
    unusable: list[DiscoveryEvent] = [
        UnusableEvent(2, "a zone that is not known", drain_and_ready),
        Purge(3, 7, 0, 1.0),
    ]
    sequence = EventSequence(1)
    first = sequence.accept(unusable)
    assert first.events == [endpoint_event(2), Purge(3, 7, 0, 1.0)] and first.error and sequence.last_seq == 1
    retried = sequence.accept(unusable)
    assert retried.events == [drain_and_ready, Purge(3, 7, 0, 1.0)] and not retried.error
    assert retried.skipped == [unusable[0]] and sequence.last_seq == 3


def test_drain_behind_a_gap_waits_for_the_retry() -> None:
    """A missing event may report the endpoint as ready, so the later drain must be applied after it."""
    sequence = EventSequence(1)
    assert sequence.accept([UnusableEvent(3, "?", endpoint_event(3))]).events == []


def test_invalid_entry_keeps_drains_of_others_and_counts_as_gone_if_it_leaves() -> None:
    """Guards against an endpoint that stays in use because the event with its drain was skipped."""
    entries = [
        {**ENDPOINT_ENTRIES[0], "name": "odd", "zone": "a zone that is not known"},
        {**ENDPOINT_ENTRIES[0], "status": "leaving"},
        {"name": "bare", "status": "left"},
        {"status": "left"},
    ]
    message = {"seq": 2, "fleet": {"index": 2, "snapshot": False, "endpoints": entries}}
    (event,) = parse_answer(json.dumps({"seq": 2, "results": [message]}).encode(), CONFIG.names)
    assert isinstance(event, UnusableEvent) and event.usable is not None
    states = {entry.name: entry.lifecycle for entry in event.usable.entries}
    assert states == {ENDPOINT_ENTRIES[0]["name"]: Lifecycle.DRAINING, "bare": Lifecycle.GONE}


# The client, on loopback


@asynccontextmanager
async def running_client(
    *handlers: Callable[[SocketStream], Any],
) -> AsyncIterator[tuple[DiscoveryClient, list[Any], Any]]:
    """Run a client; yield it, the events it has delivered, and the addresses of the servers."""
    received: list[Any] = []
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            addresses = []
            for handler in handlers:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                tasks.start_soon(listener.serve, handler)
                addresses.append(("127.0.0.1", listener.extra(SocketAttribute.local_port)))
            client = DiscoveryClient(addresses[0], 1, CONFIG.names, received.extend)
            scope = anyio.CancelScope()
            tasks.start_soon(run_in_scope, scope, client)
            yield client, received, addresses
            # The client ends first: asyncio's accept fails if it is cancelled while a connection arrives.
            scope.cancel()
            await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()


def record_polls(client: DiscoveryClient) -> list[tuple[int, float]]:
    """Return a list that gets each poll: its connection, and when the client sent it by its own clock (ms).

    The stand-in learns of a poll only when its own task runs.
    """
    sent: list[tuple[int, float]] = []
    poll_sent = client._schedule.poll_sent

    def record(number: int, now: float, immediate: bool = False) -> float:
        sent.append((number, now))
        return poll_sent(number, now, immediate)

    client._schedule.poll_sent = record  # type: ignore[method-assign]
    return sent


async def run_in_scope(scope: anyio.CancelScope, client: DiscoveryClient) -> None:
    with scope:
        await client.run()


async def test_answer_from_old_address_is_used_after_change_to_a_silent_address() -> None:
    """The address changes before the answer is written; the event arrives over the old connection."""
    old, new = Discovery(delay=0.3), Discovery(silent={1, 2, 3})
    async with running_client(old.serve, new.serve) as (client, received, addresses):
        await old.notifier.wait_until(lambda: old.polls)
        event = old.drain(ENDPOINT_ENTRIES[0])
        await anyio.sleep(0.1)
        client.set_address(addresses[1])
        await new.notifier.wait_until(lambda: new.polls)
        assert old.notified_at(event) is None  # the answer has not been written when the address changes
        await old.notifier.wait_until(lambda: old.notified_at(event) is not None)
        while not received:
            await anyio.sleep(0.001)
        assert [received_event.seq for received_event in received] == [event] and client.last_seq == event
        await anyio.sleep(0.05)
        assert len(old.polls) == 1  # the old address is no longer polled


async def test_undelimited_answer_is_used_once_its_json_is_complete() -> None:
    """The connection stays open: a front waiting for its end would abandon a complete answer."""
    notifier, poll_count = Notifier(), 0
    event = {"seq": 2, "invalidate": {"object": "7" * 16, "time": 1}}
    text = json.dumps({"seq": 2, "results": [event]}).encode()

    async def serve(stream: SocketStream) -> None:
        nonlocal poll_count
        await stream.receive()
        poll_count += 1
        notifier.notify()
        if poll_count > 1:
            await anyio.sleep_forever()
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + text[:20])
        await anyio.sleep(0.05)
        await stream.send(text[20:])
        await anyio.sleep_forever()

    async with running_client(serve) as (client, received, _):
        await notifier.wait_until(lambda: poll_count == 2)  # the next poll uses another connection
        assert client.last_seq == 2 and [received_event.seq for received_event in received] == [2]


async def test_immediate_empty_answers_with_closed_connections_are_polled_with_delays() -> None:
    """Guards against a front that is busy connecting; it waits 20 ms each time."""
    connection_count = 0

    async def serve(stream: SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        await stream.receive()
        text = json.dumps({"seq": 1, "results": []}).encode()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        await stream.send(head % len(text) + text)
        await stream.aclose()

    async with running_client(serve):
        await anyio.sleep(0.5)
        assert 5 < connection_count <= 26


async def test_recovered_discovery_is_polled_well_within_the_drain_grace() -> None:
    """The front's back-off must be well below the drain grace, as the front could have polled discovery.

    The back-off grew to 500 ms, the grace itself, and a request was sent to a draining endpoint 0.55 s after
    discovery was available again.
    """
    discovery = Discovery(ends=set(range(1, 10)))
    async with running_client(discovery.serve) as (client, received, _):
        event = discovery.drain(ENDPOINT_ENTRIES[0])
        await discovery.notifier.wait_until(lambda: len(discovery.polls) == 9)
        recovered_at = anyio.current_time()  # the ninth connection fails now; from now on polls are answered
        while not received:
            await anyio.sleep(0.001)
        assert client.last_seq == event and anyio.current_time() - recovered_at < 0.25


async def test_answer_on_a_new_connection_is_used_while_old_ones_stay_silent() -> None:
    discovery = Discovery(silent=set(range(1, 8)))
    async with running_client(discovery.serve) as (client, received, _):
        event = discovery.drain(ENDPOINT_ENTRIES[0])
        await discovery.notifier.wait_until(lambda: len(discovery.polls) == 7)
        silent_since = anyio.current_time()
        while not received:
            await anyio.sleep(0.001)
        assert client.last_seq == event and anyio.current_time() - silent_since < 0.4
        assert discovery.connections <= 9


async def test_read_now_processes_unread_input_without_an_event_loop_iteration() -> None:
    """The router calls `read_now` before it sends: an answer has arrived, but its task has not run yet."""
    discovery = Discovery()
    async with running_client(discovery.serve) as (client, received, _):
        await discovery.notifier.wait_until(lambda: discovery.polls)
        event = discovery.drain(ENDPOINT_ENTRIES[0])
        await discovery.notifier.wait_until(lambda: discovery.notified_at(event) is not None)
        # The server wrote it in this event loop iteration, so the client's task has not been woken yet.
        received_before = list(received)
        client._last_read_at = float("-inf")
        client.read_now()
        assert [received_event.seq for received_event in received] == [event]
        assert not received_before


async def test_slow_answer_is_awaited_while_other_connections_are_silent() -> None:
    """Guards against closing the newest of four connections for the next one, which lost its answer."""
    discovery = Discovery(silent={1, 2, 3}, delay=0.9)
    async with running_client(discovery.serve) as (client, received, _):
        event = discovery.drain(ENDPOINT_ENTRIES[0])
        await discovery.notifier.wait_until(lambda: discovery.notified_at(event) is not None)
        with anyio.move_on_after(0.3):
            while not received:
                await anyio.sleep(0.01)
        assert client.last_seq == event


async def test_silent_connection_stays_open_until_another_is_answered() -> None:
    discovery = Discovery(silent={1})
    async with running_client(discovery.serve) as (client, received, _):
        sent = record_polls(client)
        event = discovery.drain(ENDPOINT_ENTRIES[0])
        while not received:
            await anyio.sleep(0.01)
        first, second = discovery.polls[:2]
        assert (first.connection, second.connection) == (1, 2)
        (first_number, first_at), (second_number, second_at) = sent[:2]
        assert (first_number, second_number) == (1, 2)
        allowance = POLICY.quick_allowance  # a connection's first poll is to be answered immediately
        assert allowance <= second_at - first_at < allowance + 300.0 and second.hold < 0.01
        assert client.last_seq == event and len(client._polls) == 2
