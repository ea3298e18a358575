"""Discovery: when polls begin and end, which events are taken, and what a connection's end may not cost."""

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
from tests.drive import SAMPLE, News
from tests.standins.discovery import Discovery
from tests.test_actors import CONFIG

pytestmark = pytest.mark.anyio
TERMS = PollPolicy()
OVERDUE = TERMS.hold + TERMS.answer_allowance
LINES = SAMPLE["known"]["results"][0]["fleet"]["endpoints"]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# The schedule


def polling(*begun_at: float) -> PollSchedule:
    """A schedule with a poll outstanding on connection 1, 2, …, each since then."""
    schedule = PollSchedule(TERMS)
    for number, at in enumerate(begun_at, 1):
        schedule.connection_started(number, at)
        schedule.poll_sent(number, at)
    return schedule


def test_an_overdue_poll_stays_outstanding_while_another_begins_beside_it() -> None:
    schedule = polling(0.0)
    before = schedule.check(OVERDUE - 1.0)
    assert (before.start_connection, before.abandoned, before.next_check_at) == (False, (), OVERDUE)
    at_once = schedule.check(OVERDUE)
    assert (at_once.start_connection, at_once.abandoned) == (True, ())


def test_a_poll_beside_an_overdue_one_is_to_be_answered_at_once_and_its_next_is_held_again() -> None:
    schedule = polling(0.0)
    schedule.connection_started(2, OVERDUE)
    assert schedule.poll_sent(2, OVERDUE) == TERMS.quick_hold
    assert schedule.poll_answered(2, OVERDUE + 5.0)
    assert schedule.poll_sent(2, OVERDUE + 5.0) == TERMS.hold


def test_an_answer_on_an_overdue_connection_ends_it_only_where_another_polls_well() -> None:
    schedule = polling(0.0)
    schedule.connection_started(2, OVERDUE)
    schedule.poll_sent(2, OVERDUE)
    assert not schedule.poll_answered(1, OVERDUE + 1.0)  # connection 2 is not overdue yet
    schedule = polling(0.0, 0.0)
    assert schedule.poll_answered(1, OVERDUE + 1.0)  # the other is: the poll goes on here


def test_a_move_keeps_outstanding_polls_ends_what_has_none_and_begins_at_once() -> None:
    schedule = polling(0.0, 10.0)
    schedule.connection_started(3, 20.0)  # comes up
    assert schedule.address_changed(30.0) == [3]
    schedule.connection_closed(3)
    assert schedule.check(30.0).start_connection
    assert not schedule.poll_answered(1, 40.0)  # the old address is polled no more
    schedule = polling(10.0, 0.0, *(20.0 + number for number in range(TERMS.max_connections - 2)))
    assert schedule.address_changed(40.0) == [2]  # there is no place for the new one: the oldest goes


def test_connections_that_fail_at_once_begin_anew_after_waits_that_double_to_a_bound() -> None:
    schedule, now, waits = PollSchedule(TERMS), 0.0, []
    for number in range(8):
        assert schedule.check(now).start_connection
        schedule.connection_started(number, now)
        schedule.connection_failed(number, now)
        waits.append(schedule.check(now).next_check_at - now)
        now += waits[-1]
    assert waits == [20.0, 40.0, 80.0, 100.0, 100.0, 100.0, 100.0, 100.0]


@given(st.lists(st.tuples(st.sampled_from(["up", "answer", "fail", "move", "wait"]), st.integers(0, 3),
                          st.floats(1.0, 3000.0)), max_size=60))  # fmt: skip
def test_whatever_happens_polls_are_bounded_none_is_given_up_early_and_one_begins_in_time(
    steps: list[tuple[str, int, float]],
) -> None:
    """The state is kept beside the schedule, and each check is judged by it."""
    schedule, now, begun = PollSchedule(TERMS), 0.0, 0
    # By connection: since when, how long its poll is held (None: it comes up), at which address.
    since: dict[int, tuple[float, float | None, bool]] = {}
    free_from = 0.0  # no connection has to begin before: back-off, gaps
    for kind, which, wait in steps:
        check = schedule.check(now)
        for number in check.abandoned:
            began, hold, _ = since[number]
            bound = TERMS.connect_abandon_after if hold is None else hold + TERMS.abandon_after
            if now - began < bound:  # it gives its place to one that begins: none is in time
                assert check.start_connection and len(since) == TERMS.max_connections
                coming_up = [at for at, held, _ in since.values() if held is None]
                if coming_up:  # an answer can be lost with none of these
                    assert hold is None and began == max(coming_up)
                else:  # the oldest are waited for to the end; of the others it has been longest unanswered
                    assert began == sorted(at for at, _, _ in since.values())[TERMS.protected_polls]
            del since[number]
            schedule.connection_failed(number, now)
            free_from = max(free_from, now + TERMS.max_back_off)
        current = [each for each in since.values() if each[2]]
        if check.start_connection:
            begun += 1
            schedule.connection_started(begun, now)
            since[begun] = (now, None, True)
            free_from = max(free_from, now + TERMS.connection_interval)
        elif now > free_from:
            patience = [at + (TERMS.connect_allowance if hold is None else hold + TERMS.answer_allowance)
                        for at, hold, _ in current]  # fmt: skip
            assert max(patience, default=-1.0) > now  # one is still in time
        assert len(since) <= TERMS.max_connections and len(schedule) == len(since)
        assert schedule.check(now).next_check_at > now
        numbers = sorted(since)
        number = numbers[which % len(numbers)] if numbers else 0
        if kind == "up" and number and since[number][1] is None:
            since[number] = (now, schedule.poll_sent(number, now), since[number][2])
        elif kind == "answer" and number and since[number][1] is not None:
            free_from = max(free_from, now + TERMS.initial_back_off)
            if schedule.poll_answered(number, now):
                since[number] = (now, schedule.poll_sent(number, now), since[number][2])
            else:
                schedule.connection_closed(number)
                del since[number]
        elif kind == "fail" and number:
            schedule.connection_failed(number, now)
            free_from = max(free_from, now + TERMS.max_back_off)
            del since[number]
        elif kind == "move":
            for ended in schedule.address_changed(now):
                schedule.connection_closed(ended)
                del since[ended]
            since = {each: (at, hold, False) for each, (at, hold, _) in since.items()}
        now += wait


@pytest.mark.parametrize("grace", [100.0, 300.0, 500.0, 2000.0])
def test_no_wait_of_the_fronts_own_is_over_half_of_the_grace(grace: float) -> None:
    terms = PollPolicy.for_drain_grace(grace)
    own = (terms.quick_allowance, terms.connect_allowance, terms.connection_interval, terms.max_back_off)
    assert max(own) <= 0.5 * grace and terms.initial_back_off <= terms.max_back_off <= 100.0


def test_of_polls_that_are_all_unanswered_the_one_given_up_has_had_a_second_and_a_half() -> None:
    schedule, now = PollSchedule(TERMS), 0.0
    asked_at: dict[int, float] = {}
    lost: tuple[int, ...] = ()
    while not lost:
        check = schedule.check(now)
        lost = check.abandoned
        if not lost and check.start_connection:
            number = len(asked_at) + 1
            asked_at[number] = now
            schedule.connection_started(number, now)
            schedule.poll_sent(number, now, immediate=True)
        now += 10.0
    assert lost == (TERMS.protected_polls + 1,) and now - asked_at[lost[0]] >= 1500.0


# The sequence of events


def drain_of(seq: int, name: str = "c", state: Lifecycle = Lifecycle.DRAINING) -> EndpointList:
    return EndpointList(seq, False, (EndpointEntry(name, ("127.0.0.1", 1), 0, 0, 0, state, 1.0, 0.0),))


def test_events_come_once_in_order_and_a_gap_is_asked_for_once_more_before_it_is_passed() -> None:
    sequence = EventSequence(1)
    first = sequence.accept([Purge(2, 7, 0, 1.0), Purge(4, 9, 0, 1.0)])
    assert [change.seq for change in first.events] == [2] and "event 4 instead" in first.error
    again = sequence.accept([Purge(2, 7, 0, 1.0), Purge(4, 9, 0, 1.0)])
    assert ([change.seq for change in again.events], again.duplicates, again.error) == ([4], 1, "")
    assert sequence.last_seq == 4


def test_the_drains_of_an_event_that_cannot_be_read_whole_act_at_once_and_its_other_lines_at_the_second_look(
    ) -> None:  # fmt: skip
    both = EndpointList(2, False, (*drain_of(2).entries, *drain_of(2, "d", Lifecycle.READY).entries))
    unusable: list[DiscoveryEvent] = [UnusableEvent(2, "a zone that is not known", both), Purge(3, 7, 0, 1.0)]
    sequence = EventSequence(1)
    first = sequence.accept(unusable)
    assert first.events == [drain_of(2), Purge(3, 7, 0, 1.0)] and first.error and sequence.last_seq == 1
    again = sequence.accept(unusable)
    assert again.events == [both, Purge(3, 7, 0, 1.0)] and not again.error
    assert again.skipped == [unusable[0]] and sequence.last_seq == 3


def test_a_drain_behind_a_gap_waits_until_the_gap_is_asked_for_once_more() -> None:
    """What is missing may tell that the endpoint is ready: the newer word has to come last."""
    sequence = EventSequence(1)
    assert sequence.accept([UnusableEvent(3, "?", drain_of(3))]).events == []


def test_a_line_that_cannot_be_read_costs_no_drain_beside_it_and_counts_as_gone_where_it_leaves() -> None:
    """Guards against an endpoint that stays in use since the event with its drain was passed over."""
    lines = [
        {**LINES[0], "name": "odd", "zone": "a zone that is not known"},
        {**LINES[0], "status": "leaving"},
        {"name": "bare", "status": "left"},
        {"status": "left"},
    ]
    event = {"seq": 2, "fleet": {"index": 2, "snapshot": False, "endpoints": lines}}
    (change,) = parse_answer(json.dumps({"seq": 2, "results": [event]}).encode(), CONFIG.names)
    assert isinstance(change, UnusableEvent) and change.usable is not None
    states = {line.name: line.lifecycle for line in change.usable.entries}
    assert states == {LINES[0]["name"]: Lifecycle.DRAINING, "bare": Lifecycle.GONE}


# The client, on loopback


@asynccontextmanager
async def following(
    *serve: Callable[[SocketStream], Any],
) -> AsyncIterator[tuple[DiscoveryClient, list[Any], Any]]:
    """A client, what it told, and the addresses of stand-ins."""
    told: list[Any] = []
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            addresses = []
            for each in serve:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                tasks.start_soon(listener.serve, each)
                addresses.append(("127.0.0.1", listener.extra(SocketAttribute.local_port)))
            client = DiscoveryClient(addresses[0], 1, CONFIG.names, told.extend)
            scope = anyio.CancelScope()
            tasks.start_soon(run_in, scope, client)
            yield client, told, addresses
            # The client ends first: asyncio's accept fails where it is cancelled as a connection comes.
            scope.cancel()
            await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()


async def run_in(scope: anyio.CancelScope, client: DiscoveryClient) -> None:
    with scope:
        await client.run()


async def test_an_answer_on_its_way_when_discovery_moves_is_taken_though_the_new_address_is_silent() -> None:
    """New configurations come in quick succession; the event reaches the front over the old connection."""
    old, new = Discovery(delay=0.3), Discovery(silent={1, 2, 3})
    async with following(old.serve, new.serve) as (client, told, addresses):
        await old.news.until(lambda: old.polls)
        event = old.drain(LINES[0])
        await anyio.sleep(0.1)
        client.set_address(addresses[1])
        await new.news.until(lambda: new.polls)
        assert old.notified_at(event) is None  # the crossing: the answer is still to come
        await old.news.until(lambda: old.notified_at(event) is not None)
        while not told:
            await anyio.sleep(0.001)
        assert [change.seq for change in told] == [event] and client.last_seq == event
        await anyio.sleep(0.05)
        assert len(old.polls) == 1  # the old address is polled no more


async def test_an_answer_that_only_its_connections_end_would_end_is_taken_when_its_text_is_whole() -> None:
    """The connection stays open: waiting for its end, the front would give a whole answer up."""
    news, came = News(), 0
    event = {"seq": 2, "invalidate": {"object": "7" * 16, "time": 1}}
    text = json.dumps({"seq": 2, "results": [event]}).encode()

    async def serve(stream: SocketStream) -> None:
        nonlocal came
        await stream.receive()
        came += 1
        news.tell()
        if came > 1:
            await anyio.sleep_forever()
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + text[:20])
        await anyio.sleep(0.05)
        await stream.send(text[20:])
        await anyio.sleep_forever()

    async with following(serve) as (client, told, _):
        await news.until(lambda: came == 2)  # the next poll goes over another connection
        assert client.last_seq == 2 and [change.seq for change in told] == [2]


async def test_a_discovery_that_answers_at_once_with_nothing_and_ends_each_connection_is_polled_with_waits(
    ) -> None:  # fmt: skip
    """Guards against a front that is busy connecting; the earlier link waited 20 ms each time."""
    came = 0

    async def serve(stream: SocketStream) -> None:
        nonlocal came
        came += 1
        await stream.receive()
        text = json.dumps({"seq": 1, "results": []}).encode()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        await stream.send(head % len(text) + text)
        await stream.aclose()

    async with following(serve):
        await anyio.sleep(0.5)
        assert 5 < came <= 26


async def test_a_discovery_that_comes_back_is_asked_well_within_the_grace_of_a_drain() -> None:
    """What the front would have been told, had it asked, counts as told: no wait of its own may use that up.

    The wait between two tries grew to 500 ms, the grace itself, and a request went to a draining endpoint
    0.55 s after discovery could be asked again.
    """
    back = Discovery(ends=set(range(1, 10)))
    async with following(back.serve) as (client, told, _):
        event = back.drain(LINES[0])
        await back.news.until(lambda: len(back.polls) == 9)
        began = anyio.current_time()  # the ninth try ends now, and from now on each would be answered
        while not told:
            await anyio.sleep(0.001)
        assert client.last_seq == event and anyio.current_time() - began < 0.25


async def test_a_discovery_that_answers_new_connections_is_heard_though_all_old_ones_stay_silent() -> None:
    silent = Discovery(silent=set(range(1, 8)))
    async with following(silent.serve) as (client, told, _):
        event = silent.drain(LINES[0])
        await silent.news.until(lambda: len(silent.polls) == 7)
        began = anyio.current_time()
        while not told:
            await anyio.sleep(0.001)
        assert client.last_seq == event and anyio.current_time() - began < 0.4
        assert silent.connections <= 9


async def test_what_lies_unread_is_taken_without_a_turn_of_the_loop() -> None:
    """What a router does before it sends: the answer has come, and no task has been told so yet."""
    old = Discovery()
    async with following(old.serve) as (client, told, _):
        await old.news.until(lambda: old.polls)
        event = old.drain(LINES[0])
        await old.news.until(lambda: old.notified_at(event) is not None)
        # The stand-in has written it in this very turn: the client's task is still to be woken.
        had = list(told)
        client._last_read_at = float("-inf")
        client.read_now()
        assert [change.seq for change in told] == [event]
        assert not had


async def test_an_answer_is_waited_for_though_other_connections_are_silent_and_discovery_is_slow() -> None:
    """The newest of four connections gave its place to the next, and its answer went with it."""
    slow = Discovery(silent={1, 2, 3}, delay=0.9)
    async with following(slow.serve) as (client, told, _):
        event = slow.drain(LINES[0])
        await slow.news.until(lambda: slow.notified_at(event) is not None)
        with anyio.move_on_after(0.3):
            while not told:
                await anyio.sleep(0.01)
        assert client.last_seq == event


async def test_a_silent_connection_is_left_open_until_another_is_answered() -> None:
    silent = Discovery(silent={1})
    async with following(silent.serve) as (client, told, _):
        event = silent.drain(LINES[0])
        while not told:
            await anyio.sleep(0.01)
        first, second = silent.polls[:2]
        assert (first.connection, second.connection) == (1, 2)
        patience = TERMS.quick_allowance / 1000.0  # the first poll of a connection is to be answered at once
        assert patience <= second.asked_at - first.asked_at < patience + 0.3 and second.hold < 0.01
        assert client.last_seq == event and len(client._polls) == 2
