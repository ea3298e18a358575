"""New clients while idle ones hold all connections.

Guards against a listener in which nothing makes room any more: with all connections in use, none being
closed and idle ones among them, it once neither accepted nor closed anything until these were overdue. 51 to
57 of 120 new clients were neither answered nor shut beside 340 idle ones at 512 descriptors.
"""

import socket
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import pytest

from cometseam.config import CLIENT_SOCKETS_DIVISOR
from cometseam.transport.admission import (
    CLOSE_CROSSING_MS,
    Admission,
    ConnectionLoad,
    decide_admission,
    has_excess,
    max_connections,
)
from tests.drive import FrontTestbed, client_request, frame, front_testbed
from tests.test_late_drain import COPY_FIELDS

pytestmark = pytest.mark.anyio
STEP_MS = 10.0  # between two attempts of the listener to accept
MAX_STEPS_TO_ROOM = int(CLOSE_CROSSING_MS / STEP_MS) + 1
ANSWER_WITHIN_S = 1.5  # the time that the clients give a request


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Every state of a small listener


@dataclass(frozen=True)
class ListenerState:
    """Connections of a small listener: idle, busy and closing ones."""

    max_clients: int
    idle: int = 0
    busy: int = 0
    closing: tuple[float, ...] = ()  # for how many ms each has been closing, the oldest first

    def load(self) -> ConnectionLoad:
        """Return what the decision is given."""
        oldest = self.closing[0] if self.closing else 0.0
        return ConnectionLoad(self.idle + self.busy, len(self.closing), self.idle > 0, oldest)


def close_idle(state: ListenerState) -> ListenerState:
    """Begin to close an idle connection, whose client keeps its end open."""
    return replace(state, idle=state.idle - 1, closing=(*state.closing, 0.0))


def try_to_accept(state: ListenerState) -> tuple[ListenerState, bool]:
    """Do what the listener does for a client that waits; return whether it was accepted."""
    while True:
        match decide_admission(state.max_clients, state.load()):
            case Admission.ACCEPT:
                state = replace(state, busy=state.busy + 1)
                while has_excess(state.max_clients, state.idle + state.busy) and state.idle:
                    state = close_idle(state)
                return state, True
            case Admission.END_OLDEST_CLOSING:
                state = replace(state, closing=state.closing[1:])
            case Admission.CLOSE_LONGEST_IDLE:
                state = close_idle(state)
            case Admission.WAIT:
                return state, False


def next_states(state: ListenerState) -> Iterator[ListenerState]:
    """Yield each state that one event leads to."""
    yield try_to_accept(state)[0]
    yield age(state)
    if state.busy:
        yield replace(state, busy=state.busy - 1, idle=state.idle + 1)  # answered
        yield replace(state, busy=state.busy - 1)  # its client leaves
    if state.idle:
        yield replace(state, idle=state.idle - 1, busy=state.busy + 1)  # asks again
        yield close_idle(state)  # overdue
    if state.closing:
        yield replace(state, closing=state.closing[1:])  # its client closes its end
    for limit in (1, 2, 3):
        yield replace(state, max_clients=limit)  # SIGHUP with another limit


def age(state: ListenerState) -> ListenerState:
    """Let a step of time pass."""
    return replace(state, closing=tuple(min(each + STEP_MS, CLOSE_CROSSING_MS) for each in state.closing))


def reachable_states() -> set[ListenerState]:
    """Return every state that the events lead to."""
    seen = {ListenerState(3)}
    frontier = list(seen)
    while frontier:
        frontier = [after for state in frontier for after in next_states(state)]
        frontier = list(dict.fromkeys(after for after in frontier if after not in seen))
        seen.update(frontier)
    return seen


def steps_to_room(state: ListenerState) -> int:
    """Return after how many attempts a waiting client is accepted if no other client does anything."""
    for step in range(MAX_STEPS_TO_ROOM + 1):
        state, accepted = try_to_accept(state)
        if accepted:
            return step
        state = age(state)
    return MAX_STEPS_TO_ROOM + 1


def test_every_state_makes_room_while_an_idle_connection_or_a_closing_one_is_left() -> None:
    """Guards against a state in which neither time nor a further attempt makes room for a client."""
    states = reachable_states()
    assert len(states) > 100
    for state in states:
        # Those in use by clients that still have to be served are never closed, whatever the limit is.
        if state.busy < state.max_clients:
            assert steps_to_room(state) <= MAX_STEPS_TO_ROOM, state


def test_no_state_exceeds_the_connections_of_its_limit_by_accepting() -> None:
    """Guards against descriptors that run out, also after the limit was lowered."""
    for state in reachable_states():
        after, accepted = try_to_accept(state)
        assert after.busy == state.busy + accepted  # one in use for a request is never closed
        total = after.idle + after.busy + len(after.closing)
        assert not accepted or total <= max_connections(state.max_clients), state


# The real program


async def answer_all(testbed: FrontTestbed) -> None:
    """Answer each command to cache-1 at once."""
    while True:
        await (await testbed.caches["cache-1"].next()).answer("DONE", COPY_FIELDS, b"x")


async def connect_idle_clients(testbed: FrontTestbed, count: int) -> list[socket.socket]:
    """Connect clients that ask whether the front is ready; wait for as many answers as it has room for."""
    host, port = testbed.config["listen"].split(":")
    sockets = [socket.create_connection((host, int(port))) for _ in range(count)]
    for sock in sockets:
        sock.sendall(frame(32, 1))
        sock.setblocking(False)
    room = min(count, testbed.config["limits"]["sockets"] // CLIENT_SOCKETS_DIVISOR)
    for sock in sockets[:room]:
        await anyio.wait_readable(sock)
    return sockets


async def count_answered(testbed: FrontTestbed, count: int, first: int) -> int:
    """Connect clients one after another, 20 a second, each with one request; return how many were served."""
    served = 0

    async def ask(number: int) -> None:
        nonlocal served
        with anyio.move_on_after(ANSWER_WITHIN_S):
            caller = await testbed.connect_client()
            try:
                await caller.send(
                    client_request(1, txn=f"{number:016x}", item=f"{number:016x}", limit="1500")
                )
                answer = await caller.next()
                served += answer.code == 1
            finally:
                await caller.stream.aclose()

    async with anyio.create_task_group() as tasks:
        for number in range(first, first + count):
            tasks.start_soon(ask, number)
            await anyio.sleep(0.05)
    return served


@pytest.mark.parametrize("descriptors", [64, 256, 512])
async def test_new_clients_are_served_beside_idle_ones_that_keep_their_end_open(
    descriptors: int, tmp_path: Path
) -> None:
    """Guards against new clients that are neither accepted nor shut while idle ones hold all connections."""
    async with front_testbed(tmp_path, sockets=descriptors) as testbed, anyio.create_task_group() as tasks:
        tasks.start_soon(answer_all, testbed)
        crowd = await connect_idle_clients(testbed, max_connections(descriptors // 2) + descriptors // 8)
        assert await count_answered(testbed, 40, first=1) == 40
        assert (await testbed.read_counters())["client.gave_place"] >= 1
        tasks.cancel_scope.cancel()
        for sock in crowd:
            sock.close()


async def test_new_clients_are_served_after_the_limit_was_lowered_below_what_is_open(tmp_path: Path) -> None:
    """Guards against a listener that waits for connections to end by themselves after SIGHUP."""
    async with front_testbed(tmp_path, sockets=512) as testbed, anyio.create_task_group() as tasks:
        tasks.start_soon(answer_all, testbed)
        crowd = await connect_idle_clients(testbed, 200)
        testbed.config["limits"]["sockets"] = 128
        await testbed.reload()
        assert await count_answered(testbed, 20, first=1) == 20
        tasks.cancel_scope.cancel()
        for sock in crowd:
            sock.close()
