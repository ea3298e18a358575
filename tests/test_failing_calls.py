"""System calls fail in the ways that Linux documents; what has been accepted is still answered, once.

The real program runs under `standins/failing_calls.py`. Each test looks at what the shim did, so that none
passes for want of faults.
"""

import json
import shutil
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from tests.drive import Cache, World, order, world

pytestmark = pytest.mark.anyio
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"
SHIM = Path(__file__).parent / "standins" / "failing_calls.py"
CLIENTS, REQUESTS = 12, 15


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def failing(folder: Path, seed: int, **share: float) -> AsyncIterator[tuple[World, Counter[str]]]:
    """The program whose calls fail, and, once it has ended, what was done."""
    shutil.copy(SHIM, folder / "sitecustomize.py")
    terms = {"seed": seed, "done": str(folder / "done"), "share": share}
    environment = {"PYTHONPATH": f"{folder}:{Path(__file__).parent.parent}", "TEST_CALLS": json.dumps(terms)}
    done: Counter[str] = Counter()
    async with world(folder, "cache-2", environment=environment) as here:
        yield here, done
        await here.stop()
        done.update(json.loads((folder / "done").read_text()))


async def answer(cache: Cache) -> None:
    while True:
        asked = await cache.next()
        try:
            await asked.answer("DONE", COPY, b"x")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            continue  # its connection has broken


async def ask(here: World, client: int, codes: Counter[int]) -> None:
    """One client's requests, one after the other on one connection; each gets one answer in its time."""
    caller = await here.call()
    for stream in range(1, REQUESTS + 1):
        number = client * 1000 + stream
        await caller.send(order(stream, limit="2500", txn=f"{number:016x}", item=f"{number:016x}"))
        with anyio.fail_after(2.6):
            got = await caller.next()
        assert (got.type, got.stream) == (17, stream)
        codes[got.code] += 1


async def run(here: World) -> Counter[int]:
    codes: Counter[int] = Counter()
    async with anyio.create_task_group() as answering:
        for cache in here.caches.values():
            answering.start_soon(answer, cache)
        async with anyio.create_task_group() as tasks:
            for client in range(1, CLIENTS + 1):
                tasks.start_soon(ask, here, client, codes)
        answering.cancel_scope.cancel()
    assert codes.total() == CLIENTS * REQUESTS
    return codes


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_calls_that_move_a_byte_or_fail_for_a_moment_cost_no_answer(seed: int, tmp_path: Path) -> None:
    share = {"recv": 0.03, "send": 0.03, "recv of a byte": 0.1, "send of a byte": 0.1, "shutdown": 0.5}
    async with failing(tmp_path, seed, **share) as (here, done):
        codes = await run(here)
    assert codes[1] == CLIENTS * REQUESTS, codes
    for call in ("recv", "send"):
        assert all(done[f"{call} {how}"] for how in ("of a byte", "EINTR", "ENOMEM")), done


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_an_accept_that_fails_neither_ends_nor_spins_the_listener(seed: int, tmp_path: Path) -> None:
    async with failing(tmp_path, seed, accept=0.7) as (here, done):
        codes = await run(here)
    assert codes[1] == CLIENTS * REQUESTS, codes
    assert sum(count for call, count in done.items() if call.startswith("accept")) > CLIENTS, done


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_local_failure_to_connect_says_nothing_against_endpoints(seed: int, tmp_path: Path) -> None:
    """Half of all sockets and connects fail: no cache is ejected, none is believed cold, all are answered."""
    async with failing(tmp_path, seed, socket=0.5, connect=0.5) as (here, done):
        codes = await run(here)
        assert b"not_connected" not in here.output
    assert codes[1] == CLIENTS * REQUESTS, codes
    assert {call.split()[0] for call in done} == {"socket", "connect"}


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_connections_to_caches_that_break_cost_no_final_answer(seed: int, tmp_path: Path) -> None:
    async with failing(tmp_path, seed, broken=0.02) as (here, done):
        codes = await run(here)
    assert codes[1] > CLIENTS * REQUESTS / 2, codes
    assert len([call for call in done if call.startswith("broken")]) > 1, done
