"""A fleet on loopback for the ownership tests and measurements: processes for the etcd stand-in and for
fronts with one task (`cometseam.coordination.agent`), and in the test's process a fenced target and a fault
proxy on each front's links to the target and to the coordination service.
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
    """The parts of a running fleet; the dicts are by front name."""

    target: Target
    fronts: dict[str, Process]
    links: dict[str, Proxy]  # fault proxies to the target
    services: dict[str, Proxy]  # fault proxies to the coordination service
    etcd: Process
    wal: str  # path of the etcd stand-in's write-ahead log
    output_lines: dict[str, list[str]]  # lines printed
    group: TaskGroup = field(init=False)

    async def start_front(self, name: str, extra: tuple[str, ...] = ()) -> None:
        """Start a front that connects through its proxies, or restart an ended one; `extra`: more flags."""
        options = {
            "--etcd": f"127.0.0.1:{self.services[name].port}",
            "--target": f"127.0.0.1:{self.links[name].port}",
            "--name": name, "--ttl-ms": str(TTL_MS), "--margin-ms": "250", "--renew-ms": "200",
            "--round-trip-ms": "100",
        }  # fmt: skip
        command = [sys.executable, "-m", "cometseam.coordination.agent"]
        command += [argument for pair in options.items() for argument in pair]
        self.fronts[name] = await anyio.open_process(
            [*command, *extra], env={**os.environ, "PYTHONUNBUFFERED": "1"}
        )
        with anyio.fail_after(20):
            await first_line(self.fronts[name], b"ready")
        self.output_lines.setdefault(name, [])
        self.group.start_soon(read_output, self.fronts[name], self.output_lines[name])

    async def split_service(self, names: list[str]) -> Process:
        """Start a second etcd stand-in from a copy of the write-ahead log and redirect these fronts to it.

        The fronts' connections are closed. The two stand-ins form a split service, which may issue one token
        twice. The caller ends the process that is returned.
        """
        wal_copy = self.wal + ".split"
        shutil.copyfile(self.wal, wal_copy)
        split_member, port = await start_etcd(wal_copy)
        for name in names:
            self.services[name].upstream = port
            await self.services[name].set_cut()
            self.services[name].cut = False
        return split_member

    async def restart_service(self) -> None:
        """Kill the etcd stand-in (SIGKILL) and restart it from its log, on a new port behind the proxies."""
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
    """Wait for a process's first line, which must start with `prefix`."""
    assert process.stdout is not None
    buffer = b""
    async for chunk in process.stdout:
        buffer += chunk
        if b"\n" in buffer:
            line = buffer.split(b"\n", 1)[0]
            assert line.startswith(prefix), line
            return line
    raise AssertionError(f"the output ended before a line that starts with {prefix!r}")


async def read_output(process: Process, lines: list[str] | None = None) -> None:
    """Read a process's output until it ends; `lines` collects it (a front prints its state changes)."""
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
        running_fleet = Fleet(Target(Fence(enforce)), processes, {}, {}, etcd, wal, {})
        try:
            async with anyio.create_task_group() as group:
                await running_fleet.target.start(group)
                running_fleet.group = group
                for number in range(fronts):
                    name = f"f{number}"
                    running_fleet.links[name], running_fleet.services[name] = (
                        Proxy(running_fleet.target.port),
                        Proxy(port),
                    )
                    await running_fleet.links[name].start(group)
                    await running_fleet.services[name].start(group)
                    await running_fleet.start_front(name, extra)
                yield running_fleet
                group.cancel_scope.cancel()
        finally:
            for process in [*processes.values(), running_fleet.etcd]:
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                    await process.wait()


def owner_now(history: list[Effect]) -> Effect | None:
    """Return the last admitted effect, which names the current owner and its token."""
    passed = [effect for effect in history if effect.passed]
    return passed[-1] if passed else None


async def first_owner(running_fleet: Fleet) -> Effect:
    """Wait until an effect has been admitted; return the last one."""
    await running_fleet.target.wait_for(lambda history: owner_now(history) is not None, 20)
    owner_effect = owner_now(running_fleet.target.history)
    assert owner_effect is not None
    return owner_effect


def newer(token: int) -> Callable[[list[Effect]], bool]:
    """Return a test of a history: whether an effect with a newer token than `token` was admitted."""
    return lambda history: any(effect.passed and effect.token > token for effect in history)


@dataclass(frozen=True)
class LateOwnerResult:
    """The history's anomalies, how many late effects of a former owner arrived, how many were rejected."""

    anomalies: list[str]
    arrived: int
    refused: int


async def late_owner(enforce: bool) -> LateOwnerResult:
    """Hold back an effect of the owner and pause the owner until a newer one has acted; then release both."""
    async with fleet(3, enforce) as running_fleet:
        await running_fleet.target.wait_for(lambda history: owner_now(history) is not None, 20)
        owner_effect = owner_now(running_fleet.target.history)
        assert owner_effect is not None
        target_link = running_fleet.links[owner_effect.name]
        target_link.set_hold(True)
        with anyio.move_on_after(5):
            while target_link.held_bytes == 0:  # until an effect of the owner is in flight
                await anyio.sleep(0.005)
        states = {name: lines[-3:] for name, lines in running_fleet.output_lines.items()}
        assert target_link.held_bytes, (owner_effect.name, owner_now(running_fleet.target.history), states)
        os.kill(running_fleet.fronts[owner_effect.name].pid, signal.SIGSTOP)
        await running_fleet.target.wait_for(
            lambda history: any(effect.passed and effect.token > owner_effect.token for effect in history),
            10 * TTL_MS / 1000,
        )
        os.kill(running_fleet.fronts[owner_effect.name].pid, signal.SIGCONT)
        history_length = len(running_fleet.target.history)
        target_link.set_hold(False)
        await running_fleet.target.wait_for(
            lambda history: any(
                effect.name == owner_effect.name and effect.token == owner_effect.token
                for effect in history[history_length:]
            ),
            5,
        )
        late_effects = [
            effect
            for effect in running_fleet.target.history[history_length:]
            if effect.name == owner_effect.name and effect.token == owner_effect.token
        ]
        return LateOwnerResult(
            anomalies(running_fleet.target.history),
            len(late_effects),
            sum(not effect.passed for effect in late_effects),
        )
