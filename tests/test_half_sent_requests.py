"""Clients that send the greater part of a request and then wait: what they may cost the others.

Guards against incomplete requests that hold all buffers, so that nothing is read from any client or cache,
and against buffers that are kept for a frame of which nothing comes.
"""

import socket
import struct
from pathlib import Path

import anyio
import pytest

from cometseam.protocol import frames
from cometseam.transport.buffers import BUFFER_SIZE_BYTES, REQUEST_QUOTA_DIVISOR, BufferPool, BufferQuota
from cometseam.transport.client import STALLED_FRAME_MS
from tests.drive import Caller, FrontTestbed, client_request, frame, front_testbed
from tests.standins.bad_clients import half_send
from tests.test_endings import client_listener, read_to_end

pytestmark = pytest.mark.anyio
HALF_SENT = struct.pack(">IBI", frames.MAX_FRAME_LENGTH, 16, 1) + bytes(200_000)
HALF_SENDERS = 80  # at 40 MB the pool has less than 500 buffers, and each of them fills seven
SECOND_S = 1.0
ANSWERED_BAD_CLIENT_WITHIN_S = 3.05  # 3 s by the protocol, and the slack on sockets
LARGE_BODY = bytes(range(256)) * 800


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def answer_all(testbed: FrontTestbed) -> None:
    """Answer every request with its own body."""
    while True:
        asked = await testbed.next_command()
        if asked.verb == "REQ":
            await asked.answer("DONE", "tag=4be0c1927d55a6f3,minted=1,why=cached", asked.body)


async def answers_to(caller: Caller, first_stream: int, count: int, body: bytes = b"") -> list[int]:
    """Send requests one after another; return the codes of the answers until one takes over a second."""
    codes: list[int] = []
    for stream in range(first_stream, first_stream + count):
        with anyio.move_on_after(SECOND_S) as scope:
            await caller.send(client_request(stream, body, limit="900"))
            codes.append((await caller.next()).code)
        if scope.cancelled_caught:
            break
    return codes


async def test_half_sent_requests_keep_no_other_request_from_its_answer(tmp_path: Path) -> None:
    """Guards against incomplete requests that hold all buffers: no client and no cache was read any more."""
    closed_after: list[float] = []
    async with front_testbed(tmp_path, memory_mb=40, sockets=512) as testbed:
        testbed._tasks.start_soon(answer_all, testbed)
        usual = await testbed.connect_client()
        assert await answers_to(usual, 1, 3) == [1, 1, 1]
        for _ in range(HALF_SENDERS):
            testbed._tasks.start_soon(half_send, testbed, HALF_SENT, closed_after)
        assert await answers_to(usual, 4, 40) == [1] * 40
        newcomer = await testbed.connect_client()
        assert await answers_to(newcomer, 1, 3) == [1, 1, 1]
        # A request with a large body gets the buffers of those that send nothing more.
        await anyio.sleep(2.0 * STALLED_FRAME_MS / 1000.0)
        assert await answers_to(newcomer, 4, 1, LARGE_BODY) == [1]
        with anyio.fail_after(2.0 * ANSWERED_BAD_CLIENT_WITHIN_S):
            while len(closed_after) < HALF_SENDERS:
                await anyio.sleep(0.01)
        assert max(closed_after) <= ANSWERED_BAD_CLIENT_WITHIN_S
        counts = await testbed.stop()
    assert counts["buffers.requests_short"] > 0 and counts["client.frame_discarded"] > 0  # they did run short


def quota_of(buffers: int) -> tuple[BufferPool, BufferQuota, list[int]]:
    """Return a pool, a quota of some of its buffers, and a list that grows with each call to reclaim."""
    pool, calls = BufferPool(4 * buffers * BUFFER_SIZE_BYTES), list[int]()

    def reclaim() -> bool:
        calls.append(1)
        return False

    return pool, BufferQuota(pool, 4, reclaim), calls


def test_a_payload_without_buffers_is_discarded_and_the_next_frames_are_intact() -> None:
    """Guards against a decoder that waits for buffers, as the whole connection then waits with it."""
    pool, quota, reclaim_calls = quota_of(4)
    decoder, decoded = frames.Decoder(quota.allocate), list[frames.Frame]()
    raw = client_request(1, LARGE_BODY) + client_request(2) + client_request(3, LARGE_BODY[:40_000])
    for offset in range(0, len(raw), 5000):
        decoder.feed(memoryview(raw)[offset : offset + 5000], decoded)
    assert [(each.stream, each.is_discarded) for each in decoded] == [(1, True), (2, False), (3, False)]
    assert reclaim_calls == [1] and quota.in_use == pool.in_use == 2  # only the third frame's
    request = frames.read_pull_request(decoded[2])
    assert b"".join(request.body()) == LARGE_BODY[:40_000]
    for each in decoded:
        each.free()
    assert quota.in_use == pool.in_use == 0


def test_a_payload_takes_buffers_only_for_bytes_that_have_arrived() -> None:
    """Guards against memory that is reserved for what a frame's head announces."""
    pool, quota, _ = quota_of(8)
    decoder, decoded = frames.Decoder(quota.allocate), list[frames.Frame]()
    decoder.feed(memoryview(HALF_SENT)[:9], decoded)
    assert quota.in_use == 0
    decoder.feed(memoryview(HALF_SENT)[9 : 9 + BUFFER_SIZE_BYTES + 1], decoded)
    assert quota.in_use == pool.in_use == 2
    decoder.close()
    assert quota.in_use == pool.in_use == 0 and not decoded


def test_small_frames_in_pieces_need_no_buffer() -> None:
    """Guards against usual requests that are shed, where a slow client meets exhausted buffers."""
    pool = BufferPool(1)
    taken = [pool.acquire() for _ in range(pool.max_buffers)]
    decoder, decoded = frames.Decoder(BufferQuota(pool, 2, lambda: False).allocate), list[frames.Frame]()
    raw = client_request(1, b"body", got="4be0c1927d55a6f3")
    for byte in raw:
        decoder.feed(memoryview(bytes([byte])), decoded)
    request = frames.read_pull_request(decoded[0])
    assert b"".join(request.body()) == b"body" and all(taken) and not decoded[0].is_discarded


async def test_only_a_frame_that_stalls_gives_up_its_buffers_and_its_end_is_shed() -> None:
    """Guards against buffers kept for a frame of which nothing comes, and against its request lost."""
    large = client_request(1, bytes(240_000))
    quota_buffers = 16 // REQUEST_QUOTA_DIVISOR  # of the smallest pool
    assert len(large) > (quota_buffers - 1) * BUFFER_SIZE_BYTES  # two of them do not fit
    async with client_listener(memory=1) as (_, handler, connect_client, pool):
        first, second, third = [await connect_client() for _ in range(3)]
        await send_all(first, large[:200_000])
        await wait_for_buffers(pool, 7)
        await send_all(second, large)  # `first` has not stalled yet
        got = await receive(second, 11)
        assert got[4] == 17 and got[9] == 2 and not handler.accepted  # shed, once it was read whole
        await anyio.sleep(2.0 * STALLED_FRAME_MS / 1000.0)
        await send_all(third, large)
        await handler.notifier.wait_until(lambda: handler.accepted)
        client, stream = handler.accepted[0]
        await send_all(first, large[200_000:] + client_request(2))
        got = await receive(first, 11)
        assert got[4] == 17 and got[9] == 2  # shed
        await handler.notifier.wait_until(lambda: len(handler.accepted) == 2)  # its next one is accepted
        client.answer_shed(stream, 0.0)
        for sock in (first, second, third):
            sock.close()


async def test_a_rejected_client_keeps_no_buffers_while_its_answers_are_pending() -> None:
    """Guards against buffers held by input that is processed no more."""
    async with client_listener() as (_, handler, connect_client, pool):
        sock = await connect_client()
        await send_all(sock, client_request(1) + HALF_SENT[:100_000])
        await handler.notifier.wait_until(lambda: handler.accepted)
        await wait_for_buffers(pool, 4)
        client, stream = handler.accepted[0]
        client.reject_input(0, "a reason")
        assert pool.in_use == 0 and client.awaits(stream)
        await send_all(sock, HALF_SENT[100_000:150_000] + frame(18, 1))
        client.answer_shed(stream, 0.0)
        got, _ = await read_to_end(sock)
        assert got.count(b"\x11") >= 2 and pool.in_use == 0  # the error on stream 0, and the answer
        sock.close()


async def send_all(sock: socket.socket, raw: bytes) -> None:
    """Send all bytes."""
    while raw:
        await anyio.wait_writable(sock)
        raw = raw[sock.send(raw) :]


async def receive(sock: socket.socket, size: int) -> bytes:
    """Receive at least `size` bytes."""
    got = b""
    while len(got) < size:
        await anyio.wait_readable(sock)
        got += sock.recv(1 << 16)
    return got


async def wait_for_buffers(pool: BufferPool, count: int) -> None:
    """Wait until a number of buffers are in use."""
    with anyio.fail_after(5.0):
        while pool.in_use != count:
            await anyio.sleep(0.001)
