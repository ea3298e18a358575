"""Several real processes on loopback: the etcd stand-in, three fronts holding one task, a fenced target, our
proxy.

Each case throws a fault between processes, then reads the target's whole history (`anomalies`): no effect of
an older owner may land after a newer one's. The classic case, an owner paused past its lease and resumed
while its effect is still in flight, is also played with the target's fence off, to show that it is the fence
that holds.
"""

import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import Process

from cometseam.ownership import Fence
from tests.standins.faults import Effect, Proxy, Target, anomalies

pytestmark = pytest.mark.anyio
TTL_MS = 1000.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class Fleet:
    target: Target
    fronts: dict[str, Process]
    links: dict[str, Proxy]  # each front's link to the target


async def first_line(process: Process, prefix: bytes) -> bytes:
    assert process.stdout is not None
    buffer = b""
    async for chunk in process.stdout:
        buffer += chunk
        if b"\n" in buffer:
            line = buffer.split(b"\n", 1)[0]
            assert line.startswith(prefix), line
            return line
    raise AssertionError(f"no line {prefix!r}")


async def drain(process: Process) -> None:
    assert process.stdout is not None
    async for _ in process.stdout:
        pass


@asynccontextmanager
async def fleet(fronts: int, enforce: bool = True) -> AsyncIterator[Fleet]:
    env = {**os.environ, "PYTHONUNBUFFERED": "1"}
    etcd = await anyio.open_process([sys.executable, "-m", "tests.standins.etcd", "--port", "0"], env=env)
    processes: dict[str, Process] = {}
    try:
        with anyio.fail_after(20):
            port = int((await first_line(etcd, b"listening")).split()[1])
        async with anyio.create_task_group() as group:
            group.start_soon(drain, etcd)
            target = Target(Fence(enforce))
            await target.start(group)
            links = {}
            for number in range(fronts):
                name = f"f{number}"
                link = Proxy(target.port)
                await link.start(group)
                links[name] = link
                processes[name] = await anyio.open_process(
                    [
                        sys.executable,
                        "-m",
                        "cometseam.coordination.agent",
                        "--etcd",
                        f"127.0.0.1:{port}",
                        "--target",
                        f"127.0.0.1:{link.port}",
                        "--task",
                        "probe",
                        "--name",
                        name,
                        "--ttl-ms",
                        str(TTL_MS),
                        "--margin-ms",
                        "250",
                        "--renew-ms",
                        "200",
                        "--round-trip-ms",
                        "100",
                    ],
                    env=env,
                )
                with anyio.fail_after(20):
                    await first_line(processes[name], b"ready")
                group.start_soon(drain, processes[name])
            yield Fleet(target, processes, links)
            group.cancel_scope.cancel()
    finally:
        for process in [*processes.values(), etcd]:
            if process.returncode is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
                await process.wait()


def owner_now(history: list[Effect]) -> Effect | None:
    passed = [effect for effect in history if effect.passed]
    return passed[-1] if passed else None


async def late_owner(enforce: bool) -> list[str]:
    """Pause the owner with its effect in flight past its lease; resume it after a newer owner acted."""
    async with fleet(3, enforce) as here:
        await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(here.target.history)
        assert first is not None
        link = here.links[first.name]
        link.set_hold(True)
        with anyio.fail_after(5):
            while link.held == 0:  # an effect of the owner is on its way
                await anyio.sleep(0.005)
        os.kill(here.fronts[first.name].pid, signal.SIGSTOP)
        await here.target.wait_for(
            lambda history: any(e.passed and e.token > first.token for e in history), 10 * TTL_MS / 1000
        )
        os.kill(here.fronts[first.name].pid, signal.SIGCONT)
        count = len(here.target.history)
        link.set_hold(False)
        await here.target.wait_for(
            lambda history: any(e.name == first.name and e.token == first.token for e in history[count:]), 5
        )
        return anomalies(here.target.history)


async def test_an_owner_paused_past_its_lease_and_resumed_lands_nothing() -> None:
    assert await late_owner(enforce=True) == []


async def test_without_the_fence_the_late_owner_lands_its_effect() -> None:
    """The anomaly that the fence guards against happens when it is off: the checker catches it."""
    found = await late_owner(enforce=False)
    assert found and "landed after" in found[0]


async def test_an_owner_killed_is_replaced_within_two_leases() -> None:
    async with fleet(3) as here:
        await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(here.target.history)
        assert first is not None
        here.fronts[first.name].kill()
        killed = anyio.current_time()
        await here.target.wait_for(
            lambda history: any(e.passed and e.token > first.token for e in history), 10
        )
        took = anyio.current_time() - killed
        assert took < 2 * TTL_MS / 1000, took
        assert anomalies(here.target.history) == []
