"""Pulls and relays that are obsolete when they are processed, and connections closed for others.

The front is paused (SIGSTOP, or a blocked event loop) while two events happen, for example a pull arrives and
its client disconnects, so that both are unread when it resumes. The tests guard against relays for clients
that have gone and against answers lost to a reset. `docs/endings.md` has a row for each race.
"""

import os
import signal
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import anyio
import pytest

from cometseam import interface as i
from cometseam.counters import COUNTERS
from cometseam.logic import Front
from cometseam.program import _drain
from cometseam.routing.actor import CLIENT_CHECK_AFTER_MS, Router
from cometseam.transport.admission import CLOSE_CROSSING_MS, max_connections
from cometseam.transport.attempt import EndReason
from cometseam.transport.buffers import BufferPool
from cometseam.transport.client import Client
from cometseam.transport.listener import Listener
from tests.drive import SETTINGS, Cache, FrontDriver, FrontTestbed, client_request, frame, front_testbed, resp
from tests.test_actors import CONFIG, LISTING, Caller
from tests.test_actors import order as ordered
from tests.test_endings import (
    BIG_BYTES,
    FakeBody,
    ManualClock,
    RecordingPullHandler,
    SheddingPullHandler,
    client_listener,
    one_peer,
    read_to_end,
    run_other_tasks,
)
from tests.test_platform import COMMAND, TWO, children, sealed, served

pytestmark = pytest.mark.anyio
TAG = "4be0c1927d55a6f3"
COPY_FIELDS = f"tag={TAG},minted=1,why=cached"
CASES = 12
# Size in KB of a pull whose own time-out is over a second, longer than the waits of these tests.
LARGE_KB = 300.0 * CONFIG.settings.stream_rate


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Clients that leave while the front is paused


def is_stopped(pid: int) -> bool:
    return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] == "T"


def connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.create_connection(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else its last bytes are delayed
    return sock


def abandon_pull(sock: socket.socket, how: str) -> None:
    if how == "withdraws":
        sock.sendall(frame(18, 1))
        return
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("how", ["ends", "resets", "withdraws"])
@pytest.mark.parametrize("resting", [True, False], ids=["on a resting connection", "on a new one"])
async def test_no_pull_is_forwarded_whose_client_left_while_the_front_was_paused(
    how: str, resting: bool, tmp_path: Path
) -> None:
    """Guards the 0.3 s rule: a pull and its client's disconnect are unread together, in that order."""
    async with front_testbed(tmp_path) as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        host, port = testbed.config["listen"].split(":")
        front = (host, int(port))
        await caller.send(
            client_request(1)
        )  # from now on a connection to the cache exists: no relay waits for one
        await (await cache.next()).answer("DONE", COPY_FIELDS, b"x")
        assert (await caller.next()).body == b"x"
        socks = [connect(front) for _ in range(CASES * resting)]
        for sock in socks:
            sock.sendall(frame(32, 0) if resting else b"")
            assert sock.recv(64)  # it is accepted and answered
        testbed.process.send_signal(signal.SIGSTOP)
        while not is_stopped(testbed.process.pid):
            await anyio.sleep(0.001)
        socks = socks or [connect(front) for _ in range(CASES)]
        for index, sock in enumerate(socks):
            sock.sendall(client_request(1, txn=f"{index + 100:016x}", item=f"{index + 100:016x}"))
            abandon_pull(sock, how)
        testbed.process.send_signal(signal.SIGCONT)
        await caller.send(client_request(2, item="9" * 16))
        asked = await cache.next()
        await asked.answer("DONE", COPY_FIELDS, b"y")
        got = await caller.next()
        assert got.body == b"y", (got, asked.parts)
        counts = await testbed.stop()
        for sock in socks:
            sock.close()
    assert [asked.parts[1] for asked in cache.commands] == [f"{1:016x}", f"{2:016x}"]
    if how != "resets":  # after a reset the system may drop what was sent before
        withdrawn = counts.get("pull.withdrawn", 0) + counts.get("pull.hung_up", 0)
        assert withdrawn == CASES  # the race took place each time


@pytest.mark.parametrize("how", ["ends", "resets", "withdraws", ""], ids=lambda how: how or "waits")
async def test_relay_that_waited_long_is_sent_only_if_its_client_is_still_connected(
    how: str, gates: list[anyio.Event], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is established in the turn in which the client's close or withdrawal is unread."""
    pause_s = (CLIENT_CHECK_AFTER_MS + 20.0) / 1000.0
    async with one_peer(connect_timeout=5000.0) as harness:
        await harness.start()
        ready = socket.create_connection(harness.address)
        ready.setblocking(False)

        async def connect_late(channel: Any) -> socket.socket:
            gates.append(anyio.Event())
            await gates[-1].wait()
            return ready

        monkeypatch.setattr("cometseam.transport.peer.Channel._connect", connect_late)
        actor = Router(Front(1, CONFIG.settings), CONFIG.names, 100, harness.resources)
        actor.apply_changes(
            [
                replace(
                    LISTING,
                    entries=tuple(replace(entry, address=harness.address) for entry in LISTING.entries),
                )
            ]
        )
        listener = Listener(("127.0.0.1", 0), 8, harness.resources.pool, harness.resources.clock, actor)
        harness.tasks.start_soon(actor.run)
        harness.tasks.start_soon(listener.run, harness.tasks)
        sock = socket.create_connection(listener._sock.getsockname())
        sock.sendall(client_request(1, ram=f"{LARGE_KB:g}", limit="6000"))
        while not gates:
            await run_other_tasks(1)
        sent = COUNTERS.counts["relay.sent"]
        if how:
            abandon_pull(sock, how)
        time.sleep(pause_s)  # the loop is blocked, and the close is unread
        # As the program's lag sampling does, whose timer runs before sockets are read.
        actor.record_loop_lag(1000.0 * pause_s)
        gates[0].set()
        if how:
            while actor.pending_count:
                await run_other_tasks(1)
            assert not harness.cache.commands and not listener._sock.fileno() < 0
            assert COUNTERS.counts["relay.sent"] == sent  # and no other relay was sent for it
        else:
            await (await harness.cache.next()).answer("DONE", COPY_FIELDS, b"z")
            got = b""
            while b"z" not in got:
                await anyio.wait_readable(sock)
                got += sock.recv(4096)
            sock.close()


async def test_no_pull_is_forwarded_whose_time_ran_out_while_the_front_was_paused(tmp_path: Path) -> None:
    """The client's deadline counts from when it sent the pull; an answer half a second past that is lost."""
    async with front_testbed(tmp_path) as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        await caller.send(client_request(1))
        await (await cache.next()).answer("DONE", COPY_FIELDS, b"x")
        assert (await caller.next()).body == b"x"
        testbed.process.send_signal(signal.SIGSTOP)
        while not is_stopped(testbed.process.pid):
            await anyio.sleep(0.001)
        await caller.send(client_request(2, limit="300"))
        await anyio.sleep(0.4)  # the deadline passes meanwhile
        testbed.process.send_signal(signal.SIGCONT)
        assert (await caller.next()).code == 2  # shed at once: a retry is harmless
        assert len(cache.commands) == 1


# The deduplication window


def test_further_relay_of_a_tagged_pull_may_not_wait_past_its_deduplication_window() -> None:
    tagged = replace(SETTINGS.workloads[1], dedup_scope=i.DedupScope.ALL)  # its window is 1 s
    driver = FrontDriver(
        replace(SETTINGS, workloads=(SETTINGS.workloads[0], tagged, *SETTINGS.workloads[2:]))
    )
    driver.pull(1, workload=1)
    assert driver.last[1].write_within == 0.0  # no endpoint has run it
    first = driver.last[1].cache
    driver.end(1, i.Outcome.ERROR, i.Remark.NONE, after=300.0)
    assert driver.last[1].cache != first or driver.relays[1] == 1
    assert driver.last[1].write_within == 700.0
    driver.pull(2, workload=0)  # idempotent: at any time
    driver.end(2, i.Outcome.ERROR, i.Remark.NONE, after=300.0)
    assert driver.relays[2] == 1 and driver.last[2].write_within == 0.0


@pytest.mark.parametrize("late", [True, False], ids=["past its window", "within it"])
async def test_tagged_relay_waiting_for_a_connection_past_its_deduplication_window_is_not_written(
    late: bool, gates: list[anyio.Event]
) -> None:
    """Guards the second rule: a repeat written after the window is not recognized and runs a second time."""
    window = 900.0
    workload = replace(CONFIG.settings.workloads[0], idempotency=i.Idempotency.TAGGED, dedup_window=window)
    settings = replace(CONFIG.settings, workloads=(workload, *CONFIG.settings.workloads[1:]))
    async with one_peer(connect_timeout=5000.0) as harness:
        await harness.start()
        other = Cache("d", harness.notifier)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        harness.tasks.start_soon(listener.serve, other.serve)
        address = ("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        cache = next(entry for entry in LISTING.entries if entry.name == "cache-1")
        entries = (replace(cache, address=harness.address), replace(cache, name="cache-2", address=address))
        actor = Router(Front(1, settings), CONFIG.names, 100, harness.resources)
        actor.apply_changes([replace(LISTING, entries=entries)])
        harness.tasks.start_soon(actor.run)
        caller = Caller()
        request = replace(ordered(workload=CONFIG.names.workloads[0], left=6000.0), size_kb=LARGE_KB)
        assert actor.submit_pull(cast(Client, caller), 1, request)
        while not gates:
            await run_other_tasks(1)
        started_at = harness.resources.clock.now()
        gates[0].set()
        await harness.notifier.wait_until(lambda: harness.cache.commands or other.commands)
        first, second = (harness.cache, other) if harness.cache.commands else (other, harness.cache)
        await (await first.next()).answer("BROKE")
        while len(gates) < 2:
            await run_other_tasks(1)
        in_flight = actor._open[1].in_flight  # the second relay waits for its connection
        assert (
            in_flight is not None
            and harness.resources.clock.now() < started_at + window < in_flight.attempt.deadline - 100.0
        )
        if late:
            time.sleep((window + 10.0) / 1000.0)
        gates[1].set()
        if late:
            assert await caller.until(1) in (["1 shed"], ["1 errored"])
            await run_other_tasks()
            assert not second.commands
        else:
            await (await second.next()).answer("DONE", COPY_FIELDS, b"x")
            assert await caller.until(1) == ["1 served"]


async def test_relay_queued_behind_a_blocked_one_is_withdrawn_when_its_deduplication_window_ends() -> None:
    async with one_peer(connections=1) as harness:
        server = socket.create_server(("127.0.0.1", 0))  # the system accepts; nothing is read
        await harness.start(address=server.getsockname())
        first = harness.start_attempt(1, body=BIG_BYTES)
        while first.outgoing is None or not first.outgoing.begun:
            await run_other_tasks(1)
        second = harness.start_attempt(2, begin_within=30.0)
        assert (
            await harness.end_reasons() == [EndReason.UNSENT] and harness.ended_attempts[0].attempt is second
        )
        harness.peer._stop_attempt(first, EndReason.GIVEN_UP)
        server.close()


# Connections closed for new clients


async def test_evicted_connection_is_not_reset_by_input_that_crosses_its_close() -> None:
    """Guards against an answer destroyed by a reset, caused by a pull that the client sends just then."""
    async with client_listener(max_clients=1) as (listener, handler, connect_client, _):
        sock = await connect_client(buffer=4096)
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        body = FakeBody(100_000)
        client.answer_served(stream, False, body)
        got = b""
        while not client.is_closable:
            await anyio.wait_readable(sock)
            got += sock.recv(4096)
        count_before = COUNTERS.counts["client.gave_place"]
        other = await connect_client()
        other.send(client_request(1))
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 2)  # though the limit was reached
        assert COUNTERS.counts["client.gave_place"] == count_before + 1 and client not in listener.clients
        sock.send(client_request(2))  # before the client sees the close
        rest, clean = await read_to_end(sock)
        assert clean and (got + rest).endswith(body.bytes) and len(handler.accepted) == 2
        for each in (sock, other):
            each.close()


async def accept_waiting(listener: Listener) -> bool | None:
    """Accept the next connection, which is established but may not be in the accept queue yet."""
    while (result := listener.accept()) is False:
        await run_other_tasks(1)
    return result


async def test_closing_connections_are_bounded_and_none_is_reset_while_its_input_may_cross_the_close() -> (
    None
):
    """A client that keeps its closed connection open holds a descriptor only while its input may cross."""

    async with anyio.create_task_group() as tasks:
        clock, handler = ManualClock(), RecordingPullHandler()
        listener = Listener(("127.0.0.1", 0), 1, BufferPool(1 << 22), clock, handler)
        listener._tasks = tasks
        socks = []
        for _ in range(3):
            socks.append(socket.create_connection(listener._sock.getsockname()))
            socks[-1].sendall(frame(32, 0))
        assert await accept_waiting(listener) and len(listener.clients) == 1
        await run_other_tasks()
        clock.now_ms += 1.0
        assert await accept_waiting(listener)  # the first is evicted and is being closed
        await run_other_tasks()
        assert len(listener.clients) == 1 and len(listener._closing) == 1
        clock.now_ms += 1.0
        assert listener.accept() is None  # input of the first may still cross its close
        clock.now_ms += CLOSE_CROSSING_MS
        assert await accept_waiting(listener)  # now its descriptor is reclaimed
        assert len(listener.clients) + len(listener._closing) <= max_connections(listener.max_clients) == 2
        for sock in socks:
            sock.close()
        listener.begin_shutdown()


async def test_drain_waits_for_connections_that_cannot_be_accepted_at_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that takes "limit reached" for "none waits", and resets waiting connections."""

    clock, handler = ManualClock(), SheddingPullHandler()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            listener = Listener(
                ("127.0.0.1", 0), 1, BufferPool(1 << 22), clock, handler, first_pull_timeout=900.0
            )
            listener._tasks = tasks  # only the drain accepts
            first, second = (socket.create_connection(listener._sock.getsockname()) for _ in range(2))
            second.sendall(client_request(1))
            second.setblocking(False)
            monkeypatch.setattr(anyio, "sleep", clock.sleep)
            assert await accept_waiting(listener)  # new and silent: it is kept for 900 ms
            tasks.start_soon(_drain, CONFIG, clock, cast(Router, handler), listener)
            got, clean = await read_to_end(second)
            assert clean and got[4] == 17 and got[9] == 2 and len(handler.accepted) == 1  # an answer: shed
            assert clock.now_ms > 1000.0 + 900.0
            for sock in (first, second):
                sock.close()


async def test_idle_connection_is_not_closed_while_a_frame_on_it_has_just_begun() -> None:
    """Part of a pull is read, and nothing is unread, at the check that would close the idle connection."""
    async with client_listener() as (_, handler, connect_client, _):
        sock = await connect_client()
        sock.send(client_request(1))
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        client.answer_shed(stream, 0.0)
        sock.send(client_request(2)[:20])
        while not client._decoder.has_partial_frame:
            await run_other_tasks(1)
        client.used_at -= 60_000.0  # idle for longer than allowed
        assert not client.is_overdue() and not client.is_evictable(0.0) and not client.is_drained
        sock.send(client_request(2)[20:])
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 2)
        client.answer_shed(2, 0.0)
        client.used_at -= 60_000.0
        assert client.is_overdue() and client.is_evictable(0.0) and client.is_drained
        sock.close()


# Connections to caches whose close is unread


@pytest.mark.parametrize("how", ["ends", "resets"])
async def test_no_relay_is_written_to_a_connection_whose_close_is_still_unread(how: str) -> None:
    """The cache closes its idle connection in the turn in which the relay is written: another one is used."""
    async with one_peer() as harness:
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        await harness.start(address=server.getsockname())

        async def accept_next() -> tuple[socket.socket, bytes]:
            await anyio.wait_readable(server)
            sock = server.accept()[0]
            sock.setblocking(False)
            await anyio.wait_readable(sock)
            return sock, sock.recv(4096)

        harness.start_attempt(1)
        sock, got = await accept_next()
        assert f"{1:016x}".encode() in got
        sock.send(resp(f"{1:016x}", "LACK", "-", b""))
        assert await harness.end_reasons() == [EndReason.ANSWERED]
        count_before = COUNTERS.counts["peer.had_left"]
        abandon_pull(sock, how)
        time.sleep(0.01)  # the loop is blocked, and the close is unread
        second = harness.start_attempt(2)
        other, got = await accept_next()
        assert f"{2:016x}".encode() in got and second.requeued is False
        assert COUNTERS.counts["peer.had_left"] == count_before + 1  # the race took place
        other.send(resp(f"{2:016x}", "LACK", "-", b""))
        assert await harness.end_reasons(2) == [EndReason.ANSWERED, EndReason.ANSWERED]
        for each in (other, server):
            each.close()


# Shutdown while an operator's file is being read


def write_jsonnet(path: Path) -> Path:
    path.write_text(TWO)
    return path


async def start_read_in_child(testbed: FrontTestbed, path: Path) -> None:
    """Start a reload and stop the child that reads the file, so that the reading does not end."""
    testbed.process.send_signal(signal.SIGHUP)

    def runs(child: str) -> bool:  # before its exec the parent waits for it
        return "cometseam.operator" in Path(f"/proc/{child}/cmdline").read_text()

    while not (found := children(testbed.process.pid)) or not runs(found[0]):
        await anyio.sleep(0.001)
    os.kill(int(found[0]), signal.SIGSTOP)


async def start_read_on_thread(testbed: FrontTestbed, path: Path) -> None:
    """Replace the file by a FIFO without a writer, start a reload, and wait until the FIFO is opened."""
    path.unlink()
    os.mkfifo(path)
    testbed.process.send_signal(signal.SIGHUP)
    while True:
        try:
            os.open(path, os.O_WRONLY | os.O_NONBLOCK)  # kept open, so that the reading goes on
            return
        except OSError:
            await anyio.sleep(0.001)


@pytest.mark.parametrize(
    ("make", "name", "command", "under_way"),
    [
        (sealed, "operator.json", COMMAND, start_read_on_thread),
        (write_jsonnet, "operator.jsonnet", None, start_read_in_child),
    ],
    ids=["sealed, on a thread", "in a child"],
)
async def test_a_front_ends_while_its_operators_file_is_being_read(
    make: Callable[[Path], Path], name: str, command: list[str] | None,
    under_way: Callable[[FrontTestbed, Path], Awaitable[None]], tmp_path: Path,
) -> None:  # fmt: skip
    """The front answers its pending pulls, and its shutdown does not wait for the file."""
    path = make(tmp_path / name)
    async with front_testbed(tmp_path, operator=path, command=command) as testbed:
        await served(testbed, 1)
        await under_way(testbed, path)
        children_before = children(testbed.process.pid)
        caller = await testbed.connect_client()
        await caller.send(client_request(2))
        asked = await testbed.next_command()
        testbed.process.send_signal(signal.SIGTERM)
        await testbed.logged(b"drains")
        await asked.answer("DONE", COPY_FIELDS, b"owed")
        while (got := await caller.next()).type != 17:
            pass
        assert got.body == b"owed"
        counts = await testbed.end()
        assert not any(Path(f"/proc/{child}").exists() for child in children_before)
    assert "operator.taken" not in counts and "operator.refused" not in counts
