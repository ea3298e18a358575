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
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import Process

from cometseam.ownership import Fence
from tests.standins.faults import Effect, Proxy, Target, anomalies, overlaps

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
    services: dict[str, Proxy]  # each front's link to the coordination service
    etcd: Process
    wal: str
    said: dict[str, list[str]]  # what each front printed

    async def restart_service(self) -> None:
        """Kill the stand-in (SIGKILL), start it again from its log on a new port behind the same proxies."""
        self.etcd.kill()
        await self.etcd.wait()
        self.etcd, port = await start_etcd(self.wal)
        for proxy in self.services.values():
            proxy.upstream = port


async def start_etcd(wal: str) -> tuple[Process, int]:
    command = [sys.executable, "-m", "tests.standins.etcd", "--port", "0", "--wal", wal]
    etcd = await anyio.open_process(command, env={**os.environ, "PYTHONUNBUFFERED": "1"})
    with anyio.fail_after(20):
        port = int((await first_line(etcd, b"listening")).split()[1])
    return etcd, port


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


async def drain(process: Process, into: list[str] | None = None) -> None:
    """Read what a process prints, keeping it where asked (the states a front went through, for a failure's
    message)."""
    assert process.stdout is not None
    async for chunk in process.stdout:
        if into is not None:
            into.extend(chunk.decode().splitlines())


@asynccontextmanager
async def fleet(fronts: int, enforce: bool = True) -> AsyncIterator[Fleet]:
    env = {**os.environ, "PYTHONUNBUFFERED": "1"}
    processes: dict[str, Process] = {}
    with tempfile.TemporaryDirectory() as folder:
        wal = os.path.join(folder, "etcd.wal")
        etcd, port = await start_etcd(wal)
        here = Fleet(Target(Fence(enforce)), processes, {}, {}, etcd, wal, {})
        try:
            async with anyio.create_task_group() as group:
                await here.target.start(group)
                for number in range(fronts):
                    name = f"f{number}"
                    link, service = Proxy(here.target.port), Proxy(port)
                    await link.start(group)
                    await service.start(group)
                    here.links[name], here.services[name] = link, service
                    processes[name] = await anyio.open_process(
                        [
                            sys.executable,
                            "-m",
                            "cometseam.coordination.agent",
                            "--etcd",
                            f"127.0.0.1:{service.port}",
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
                    here.said[name] = []
                    group.start_soon(drain, processes[name], here.said[name])
                yield here
                group.cancel_scope.cancel()
        finally:
            for process in [*processes.values(), here.etcd]:
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                    await process.wait()


def owner_now(history: list[Effect]) -> Effect | None:
    passed = [effect for effect in history if effect.passed]
    return passed[-1] if passed else None


async def first_owner(here: Fleet) -> Effect:
    await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
    first = owner_now(here.target.history)
    assert first is not None
    return first


def newer(token: int) -> Callable[[list[Effect]], bool]:
    return lambda history: any(e.passed and e.token > token for e in history)


async def late_owner(enforce: bool) -> list[str]:
    """Pause the owner with its effect in flight past its lease; resume it after a newer owner acted."""
    async with fleet(3, enforce) as here:
        await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(here.target.history)
        assert first is not None
        link = here.links[first.name]
        link.set_hold(True)
        with anyio.fail_after(5):
            while link.held_up == 0:  # an effect of the owner is on its way (not an answer to one)
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


async def test_an_owner_cut_off_from_the_service_stops_before_another_acts() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        await here.services[first.name].set_cut()
        await here.target.wait_for(newer(first.token), 10 * TTL_MS / 1000)
        await anyio.sleep(0.5)
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_keep_alives_that_arrive_unanswered_give_the_task_up_in_bounded_time() -> None:
    """Requests pass, answers are lost: the lease lives on at the service while its owner may not act."""
    async with fleet(3) as here:
        first = await first_owner(here)
        here.services[first.name].drop_down = True
        lost = anyio.current_time()
        bound = (TTL_MS * 0.99 - 250 + 2 * TTL_MS + 2 * 200) / 1000  # acting + two leases + two renewals
        await here.target.wait_for(newer(first.token), bound + 2.0)
        assert anyio.current_time() - lost < bound + 1.0
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_a_frozen_service_extends_the_lease_and_keeps_the_one_owner() -> None:
    """Frozen longer than the owner may act unrenewed, shorter than it waits before giving up: it goes on."""
    async with fleet(3) as here:
        first = await first_owner(here)
        os.kill(here.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(1.2 * TTL_MS / 1000)
        count = len(here.target.history)
        os.kill(here.etcd.pid, signal.SIGCONT)
        try:
            await here.target.wait_for(lambda history: len(history) > count + 20, 10)
        except TimeoutError:
            raise AssertionError(here.said) from None
        assert {e.token for e in here.target.history[count:]} == {first.token}  # the same owner, renewed
        assert any("losing" in line for line in here.said[first.name])  # it did stop while frozen
        assert overlaps(here.target.history) == []


async def test_a_service_frozen_past_the_owners_patience_hands_the_task_on_once() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        os.kill(here.etcd.pid, signal.SIGSTOP)
        await anyio.sleep(2.5 * TTL_MS / 1000)
        os.kill(here.etcd.pid, signal.SIGCONT)
        await here.target.wait_for(newer(first.token), 10)
        assert overlaps(here.target.history) == [] and anomalies(here.target.history) == []


async def test_the_service_restarted_from_its_log_keeps_tokens_rising() -> None:
    async with fleet(3) as here:
        first = await first_owner(here)
        here.fronts[first.name].kill()
        await here.target.wait_for(newer(first.token), 10)
        second = owner_now(here.target.history)
        assert second is not None
        await here.restart_service()
        here.fronts[second.name].kill()
        await here.target.wait_for(newer(second.token), 20)
        assert anomalies(here.target.history) == [] and overlaps(here.target.history) == []
