"""After a pause of the process, timers run before sockets are read: input that came in time must still count.

Each test puts the input into the socket, lets the time run out while the event loop is blocked, and resumes.
It is the fault of test_late_drain, here for attempts and connections (which never had it) and for clients.
"""

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest

from cometseam.transport.attempt import EndReason
from tests.drive import client_request, resp
from tests.test_endings import TAG, FakeBody, client_listener, one_peer, run_other_tasks

pytestmark = pytest.mark.anyio
STALL_TIMEOUT_MS = 60_000.0


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}  # as in the program: timers run before sockets


@asynccontextmanager
async def listening_socket() -> AsyncIterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        yield server


async def accept_connection(server: socket.socket) -> socket.socket:
    await anyio.wait_readable(server)
    sock, _ = server.accept()
    return sock


async def test_answer_still_unread_when_its_attempt_times_out_ends_the_attempt_as_answered() -> None:
    async with listening_socket() as server, one_peer() as harness:
        await harness.start(address=server.getsockname())
        attempt = harness.start_attempt(1, time_limit=200.0)
        with await accept_connection(server) as cache:
            while not attempt.written_at:
                await run_other_tasks()
            cache.sendall(resp(f"{1:016x}", "DONE", f"tag={TAG},minted=1", b"in time"))
            time.sleep(0.3)
            assert await harness.end_reasons() == [EndReason.ANSWERED]
        answer = harness.ended_attempts[0].answer
        assert answer is not None and answer.body is not None
        answer.body.free()


async def test_connection_established_in_time_is_used_although_its_timer_runs_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wait_writable, waits = anyio.wait_writable, 0

    async def stand_still_first(sock: Any) -> None:
        nonlocal waits
        waits += 1
        time.sleep(0.2)  # the handshake has begun, and the system completes it meanwhile
        await wait_writable(sock)

    monkeypatch.setattr(anyio, "wait_writable", stand_still_first)
    async with listening_socket() as server, one_peer(connect_timeout=100.0) as harness:
        await harness.start(address=server.getsockname())
        attempt = harness.start_attempt(1)
        with await accept_connection(server) as cache:
            while not attempt.written_at and not harness.ended_attempts:
                await run_other_tasks()
            assert waits == 1 and not harness.ended_attempts and cache.recv(64)
            harness.peer._stop_attempt(attempt, EndReason.GIVEN_UP)


async def test_frame_whose_rest_is_still_unread_does_not_close_its_connection() -> None:
    async with client_listener() as (listener, handler, connect_client, _):
        sock, raw = await connect_client(), client_request(1)
        sock.send(raw[:20])
        while not listener.clients:
            await run_other_tasks()
        (client,) = listener.clients
        while not client._partial_frame_since:
            await run_other_tasks()
        sock.send(raw[20:])
        client._partial_frame_since -= 2500.0  # as after a pause of the front
        assert not client.is_overdue()
        client.reject_incomplete_frame()
        await handler.notifier.wait_until(lambda: handler.accepted)
        sock.close()


async def test_reading_client_is_not_closed_as_stalled_after_a_pause_of_the_front() -> None:
    async with client_listener() as (listener, handler, connect_client, _):
        sock = await connect_client(buffer=4096)
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        body = FakeBody(4_000_000)
        client.answer_served(stream, False, body)
        assert client._connection.is_write_blocked
        got = 0
        while True:  # drain the system's buffers while the front does not run
            try:
                got += len(sock.recv(1 << 20))
            except BlockingIOError:
                break
        client._connection.write_blocked_since -= STALL_TIMEOUT_MS
        listener.close_stalled(STALL_TIMEOUT_MS)
        assert client in listener.clients
        while got < len(body.bytes):  # the answer arrives completely
            await anyio.wait_readable(sock)
            got += len(sock.recv(1 << 20))
        while not body.freed:
            await run_other_tasks()
        sock.close()


async def test_client_that_reads_nothing_is_closed_as_stalled() -> None:
    async with client_listener() as (listener, handler, connect_client, _):
        sock = await connect_client(buffer=4096)
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        client.answer_served(stream, False, FakeBody(4_000_000))
        assert client._connection.is_write_blocked
        client._connection.write_blocked_since -= STALL_TIMEOUT_MS
        listener.close_stalled(STALL_TIMEOUT_MS)
        assert client not in listener.clients
        sock.close()
