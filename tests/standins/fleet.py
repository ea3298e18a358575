"""Several processes on loopback for the ownership tests and measurements: the etcd stand-in, fronts with one
task (`cometseam.coordination.agent`), a fenced target, and a fault proxy on each front's two links.
"""

import os
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import Process, TaskGroup

from cometseam.ownership import Fence
from tests.standins.faults import Effect, Proxy, Target, anomalies

TTL_MS = 1000.0


@dataclass
class Fleet:
    target: Target
    fronts: dict[str, Process]
    links: dict[str, Proxy]  # each front's link to the target
    services: dict[str, Proxy]  # each front's link to the coordination service
    etcd: Process
    wal: str
    output_lines: dict[str, list[str]]  # each front's output
    group: TaskGroup = field(init=False)

    async def start_front(self, name: str, extra: tuple[str, ...] = ()) -> None:
        """Start a front on its links, or restart one that has ended."""
        options = {
            "--etcd": f"127.0.0.1:{self.services[name].port}",
            "--target": f"127.0.0.1:{self.links[name].port}",
            "--name": name, "--ttl-ms": str(TTL_MS), "--margin-ms": "250", "--renew-ms": "200",
            "--round-trip-ms": "100",
        }  # fmt: skip
        command = [sys.executable, "-m", "cometseam.coordination.agent"]
        command += [word for pair in options.items() for word in pair]
        self.fronts[name] = await anyio.open_process(
            [*command, *extra], env={**os.environ, "PYTHONUNBUFFERED": "1"}
        )
        with anyio.fail_after(20):
            await first_line(self.fronts[name], b"ready")
        self.output_lines.setdefault(name, [])
        self.group.start_soon(read_output, self.fronts[name], self.output_lines[name])

    async def split_service(self, names: list[str]) -> Process:
        """Start a second member from a copy of the log and redirect these fronts to it (a split service).

        The caller ends the member that is returned.
        """
        copy = self.wal + ".split"
        shutil.copyfile(self.wal, copy)
        split_member, port = await start_etcd(copy)
        for name in names:
            self.services[name].upstream = port
            await self.services[name].set_cut()
            self.services[name].cut = False
        return split_member

    async def restart_service(self) -> None:
        """Kill the stand-in (SIGKILL) and restart it from its log on a new port behind the same proxies."""
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


async def read_output(process: Process, lines: list[str] | None = None) -> None:
    """Read a process's output; `lines` collects it (a front's changes of state, for failure messages)."""
    assert process.stdout is not None
    async for chunk in process.stdout:
        if lines is not None:
            lines.extend(chunk.decode().splitlines())


@asynccontextmanager
async def fleet(fronts: int, enforce: bool = True, extra: tuple[str, ...] = ()) -> AsyncIterator[Fleet]:
    processes: dict[str, Process] = {}
    with tempfile.TemporaryDirectory() as folder:
        wal = os.path.join(folder, "etcd.wal")
        etcd, port = await start_etcd(wal)
        here = Fleet(Target(Fence(enforce)), processes, {}, {}, etcd, wal, {})
        try:
            async with anyio.create_task_group() as group:
                await here.target.start(group)
                here.group = group
                for number in range(fronts):
                    name = f"f{number}"
                    here.links[name], here.services[name] = Proxy(here.target.port), Proxy(port)
                    await here.links[name].start(group)
                    await here.services[name].start(group)
                    await here.start_front(name, extra)
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
    return lambda history: any(effect.passed and effect.token > token for effect in history)


@dataclass(frozen=True)
class LateOwnerResult:
    """The history's anomalies, how many effects of a late owner arrived, and how many were rejected."""

    anomalies: list[str]
    arrived: int
    refused: int


async def late_owner(enforce: bool) -> LateOwnerResult:
    """Pause the owner beyond its lease with its effect in flight; resume it after a newer owner acted."""
    async with fleet(3, enforce) as here:
        await here.target.wait_for(lambda history: owner_now(history) is not None, 20)
        first = owner_now(here.target.history)
        assert first is not None
        target_link = here.links[first.name]
        target_link.set_hold(True)
        with anyio.move_on_after(5):
            while target_link.held_bytes == 0:  # until an effect of the owner is in flight
                await anyio.sleep(0.005)
        states = {name: lines[-3:] for name, lines in here.output_lines.items()}
        assert target_link.held_bytes, (first.name, owner_now(here.target.history), states)
        os.kill(here.fronts[first.name].pid, signal.SIGSTOP)
        await here.target.wait_for(
            lambda history: any(effect.passed and effect.token > first.token for effect in history),
            10 * TTL_MS / 1000,
        )
        os.kill(here.fronts[first.name].pid, signal.SIGCONT)
        count = len(here.target.history)
        target_link.set_hold(False)
        await here.target.wait_for(
            lambda history: any(
                effect.name == first.name and effect.token == first.token for effect in history[count:]
            ),
            5,
        )
        late_effects = [
            effect
            for effect in here.target.history[count:]
            if effect.name == first.name and effect.token == first.token
        ]
        return LateOwnerResult(
            anomalies(here.target.history),
            len(late_effects),
            sum(not effect.passed for effect in late_effects),
        )
