"""A process that stands still finds its timers due before it reads its sockets; what came in time counts.

Each test puts the event into the socket, lets the time run out without a turn of the loop, and goes on: the
cause of test_late_drain again, at attempts and connections (kept before as well) and at clients.
"""

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest

from cometseam.transport.attempt import EndReason
from tests.drive import order, resp
from tests.test_endings import TAG, Whole, clients, one_peer, turns

pytestmark = pytest.mark.anyio
LONG = 60_000.0  # ms


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}  # as the program runs: timers come before sockets


@asynccontextmanager
async def accepting() -> AsyncIterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        yield listening


async def accepted(listening: socket.socket) -> socket.socket:
    await anyio.wait_readable(listening)
    sock, _ = listening.accept()
    return sock


async def test_an_answer_that_lies_unread_when_its_attempts_time_runs_out_is_the_attempts_end() -> None:
    async with accepting() as listening, one_peer() as here:
        await here.start(address=listening.getsockname())
        ask = here.ask(1, lasts=200.0)
        with await accepted(listening) as cache:
            while not ask.written_at:
                await turns()
            cache.sendall(resp(f"{1:016x}", "DONE", f"tag={TAG},minted=1", b"in time"))
            time.sleep(0.3)
            assert await here.ended() == [EndReason.ANSWERED]
        answer = here.ends[0].answer
        assert answer is not None and answer.body is not None
        answer.body.free()


async def test_a_connection_that_came_up_in_time_is_used_though_its_timer_runs_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wait_writable, waits = anyio.wait_writable, 0

    async def stand_still_first(sock: Any) -> None:
        nonlocal waits
        waits += 1
        time.sleep(0.2)  # the handshake has begun: the system ends it meanwhile
        await wait_writable(sock)

    monkeypatch.setattr(anyio, "wait_writable", stand_still_first)
    async with accepting() as listening, one_peer(connect_within=100.0) as here:
        await here.start(address=listening.getsockname())
        ask = here.ask(1)
        with await accepted(listening) as cache:
            while not ask.written_at and not here.ends:
                await turns()
            assert waits == 1 and not here.ends and cache.recv(64)
            here.peer._stop_attempt(ask, EndReason.GIVEN_UP)


async def test_a_frame_whose_rest_lies_unread_does_not_end_its_connection() -> None:
    async with clients() as (listener, pulls, call, _):
        sock, raw = await call(), order(1)
        sock.send(raw[:20])
        while not listener.clients:
            await turns()
        (client,) = listener.clients
        while not client._partial_frame_since:
            await turns()
        sock.send(raw[20:])
        client._partial_frame_since -= 2500.0  # the front has stood still meanwhile
        assert not client.is_overdue()
        client.reject_incomplete_frame()
        await pulls.news.until(lambda: pulls.taken)
        sock.close()


async def test_a_client_that_reads_well_is_not_ended_as_stalled_after_the_front_stood_still() -> None:
    async with clients() as (listener, pulls, call, _):
        sock = await call(buffer=4096)
        sock.send(order(1))
        await pulls.news.until(lambda: pulls.taken)
        client, stream = pulls.taken[0]
        body = Whole(4_000_000)
        client.answer_served(stream, False, body)
        assert client._connection.is_write_blocked
        got = 0
        while True:  # what the system holds; the front has no turn
            try:
                got += len(sock.recv(1 << 20))
            except BlockingIOError:
                break
        client._connection.write_blocked_since -= LONG
        listener.close_stalled(LONG)
        assert client in listener.clients
        while got < len(body.bytes):  # it comes whole
            await anyio.wait_readable(sock)
            got += len(sock.recv(1 << 20))
        while not body.freed:
            await turns()
        sock.close()


async def test_a_client_that_takes_nothing_is_ended_as_stalled() -> None:
    async with clients() as (listener, pulls, call, _):
        sock = await call(buffer=4096)
        sock.send(order(1))
        await pulls.news.until(lambda: pulls.taken)
        client, stream = pulls.taken[0]
        client.answer_served(stream, False, Whole(4_000_000))
        assert client._connection.is_write_blocked
        client._connection.write_blocked_since -= LONG
        listener.close_stalled(LONG)
        assert client not in listener.clients
        sock.close()
