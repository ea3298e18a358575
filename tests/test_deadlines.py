"""The deadline that the front passes on with a relay.

After a pause of the front, or behind a blocked socket, less time is left than when the request was read or
queued. A deadline counted from then would let endpoints work past the client's own deadline.
"""

import signal
import time
from pathlib import Path

import anyio
import pytest

from tests.drive import FrontTestbed, client_request, front_testbed
from tests.test_endings import BIG_BYTES, accept_without_reading, one_peer, run_other_tasks
from tests.test_leaving import is_stopped

pytestmark = pytest.mark.anyio
DEADLINE_TOLERANCE_MS = 150  # by which a deadline passed on may exceed the client's own


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_deadline_passed_on_counts_from_before_a_pause_for_requests_that_may_have_arrived_in_it(
    tmp_path: Path,
) -> None:
    """The client's deadline counts from when it sent its request; the front reads it 0.6 s later."""

    def prepare(testbed: FrontTestbed) -> None:
        testbed.config["settings"]["grades"][0]["aim"] = 4000.0

    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        callers = [await testbed.connect_client() for _ in range(12)]
        testbed.process.send_signal(signal.SIGSTOP)
        while not is_stopped(testbed.process.pid):
            await anyio.sleep(0.001)
        sent_at = time.monotonic()
        for number, caller in enumerate(callers, 1):
            object_id = f"{number:016x}"
            await caller.send(
                client_request(1, verb="grids", limit="3000", ram="2500", txn=object_id, item=object_id)
            )
        await anyio.sleep(0.6)
        testbed.process.send_signal(signal.SIGCONT)
        cache = testbed.caches["cache-1"]
        first = await cache.next()
        elapsed_ms = 1000.0 * (time.monotonic() - sent_at)
        assert elapsed_ms > 600.0
        for asked in [first, *cache.commands]:
            assert int(asked.fields["ttl"]) <= 3000 - 600 + DEADLINE_TOLERANCE_MS, asked.parts


async def test_attempt_queued_on_a_full_socket_passes_on_the_time_left_when_it_is_written() -> None:
    may_read, got = anyio.Event(), bytearray()
    async with one_peer(connections=1, connect_timeout=5000.0) as harness:
        await harness.start(address=accept_without_reading(harness, may_read, got))
        first = harness.start_attempt(1, body=BIG_BYTES)
        while first.outgoing is None or not first.outgoing.begun:
            await run_other_tasks()
        second = harness.start_attempt(2, time_limit=3000.0)
        while second.outgoing is None:
            await run_other_tasks()
        assert not second.outgoing.begun
        await anyio.sleep(0.4)
        may_read.set()
        await harness.notifier.wait_until(
            lambda: f"{2:016x}".encode() in got and b"ttl=" in got.rpartition(b"REQ")[2]
        )
        await harness.notifier.wait_until(lambda: second.written_at)
        passed_on = int(bytes(got).rpartition(b"ttl=")[2].split(b",")[0].split(b"\r")[0])
        assert passed_on <= 2600 + DEADLINE_TOLERANCE_MS
        harness.peer._stop_attempt(first, "given_up")  # type: ignore[arg-type]
