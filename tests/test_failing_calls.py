"""System calls fail in the ways that Linux documents; each accepted request is still answered exactly once.

The real program runs with the shim `standins/failing_calls.py`. Each test checks which faults the shim
caused, so that no test passes without faults.
"""

import json
import shutil
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from tests.drive import Cache, FrontTestbed, client_request, front_testbed

pytestmark = pytest.mark.anyio
COPY_FIELDS = "tag=4be0c1927d55a6f3,minted=1,why=cached"
SHIM = Path(__file__).parent / "standins" / "failing_calls.py"
CLIENTS, REQUESTS = 12, 15


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def front_with_failing_calls(
    folder: Path, seed: int, **shares: float
) -> AsyncIterator[tuple[FrontTestbed, Counter[str]]]:
    """Run the program with failing calls; yield it and the counts of faults, filled in once it has ended."""
    shutil.copy(SHIM, folder / "sitecustomize.py")
    shim_config = {"seed": seed, "done": str(folder / "done"), "share": shares}
    environment = {
        "PYTHONPATH": f"{folder}:{Path(__file__).parent.parent}",
        "TEST_CALLS": json.dumps(shim_config),
    }
    calls: Counter[str] = Counter()
    async with front_testbed(folder, "cache-2", environment=environment) as testbed:
        yield testbed, calls
        await testbed.stop()
        calls.update(json.loads((folder / "done").read_text()))


async def answer_all(cache: Cache) -> None:
    while True:
        command = await cache.next()
        try:
            await command.answer("DONE", COPY_FIELDS, b"x")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            continue  # the connection was broken by the shim


async def send_requests(testbed: FrontTestbed, client: int, codes: Counter[int]) -> None:
    """Send one client's requests in sequence on one connection; each gets one answer in time."""
    caller = await testbed.connect_client()
    for stream in range(1, REQUESTS + 1):
        number = client * 1000 + stream
        await caller.send(client_request(stream, limit="2500", txn=f"{number:016x}", item=f"{number:016x}"))
        with anyio.fail_after(2.6):
            answer = await caller.next()
        assert (answer.type, answer.stream) == (17, stream)
        codes[answer.code] += 1


async def run_requests(testbed: FrontTestbed) -> Counter[int]:
    codes: Counter[int] = Counter()
    async with anyio.create_task_group() as answering:
        for cache in testbed.caches.values():
            answering.start_soon(answer_all, cache)
        async with anyio.create_task_group() as tasks:
            for client in range(1, CLIENTS + 1):
                tasks.start_soon(send_requests, testbed, client, codes)
        answering.cancel_scope.cancel()
    assert codes.total() == CLIENTS * REQUESTS
    return codes


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_short_and_temporarily_failing_calls_lose_no_answer(seed: int, tmp_path: Path) -> None:
    shares = {"recv": 0.03, "send": 0.03, "recv of a byte": 0.1, "send of a byte": 0.1, "shutdown": 0.5}
    async with front_with_failing_calls(tmp_path, seed, **shares) as (testbed, calls):
        codes = await run_requests(testbed)
    assert codes[1] == CLIENTS * REQUESTS, codes
    for call in ("recv", "send"):
        assert all(calls[f"{call} {variant}"] for variant in ("of a byte", "EINTR", "ENOMEM")), calls


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_failing_accept_neither_ends_the_listener_nor_keeps_it_busy(seed: int, tmp_path: Path) -> None:
    async with front_with_failing_calls(tmp_path, seed, accept=0.7) as (testbed, calls):
        codes = await run_requests(testbed)
    assert codes[1] == CLIENTS * REQUESTS, codes
    assert sum(count for call, count in calls.items() if call.startswith("accept")) > CLIENTS, calls


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_local_connect_failures_do_not_count_against_endpoints(seed: int, tmp_path: Path) -> None:
    """Half of all socket and connect calls fail: no cache is ejected or in slow start, all are answered."""
    async with front_with_failing_calls(tmp_path, seed, socket=0.5, connect=0.5) as (testbed, calls):
        codes = await run_requests(testbed)
        assert b"not_connected" not in testbed.output
    assert codes[1] == CLIENTS * REQUESTS, codes
    assert {call.split()[0] for call in calls} == {"socket", "connect"}


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_broken_cache_connections_lose_no_final_answer(seed: int, tmp_path: Path) -> None:
    async with front_with_failing_calls(tmp_path, seed, broken=0.02) as (testbed, calls):
        codes = await run_requests(testbed)
    assert codes[1] > CLIENTS * REQUESTS / 2, codes
    assert len([call for call in calls if call.startswith("broken")]) > 1, calls
