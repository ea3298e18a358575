"""Several real fronts (`python -m cometseam serve`) on loopback, with an operator's file that names the etcd
stand-in, caches that answer health probes, and a fault proxy on each front's link to the service.
"""

import os
import re
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from tests.drive import FrontTestbed, front_testbed
from tests.standins.caches import Answer, Behaviour, Caches
from tests.standins.faults import Proxy
from tests.standins.fleet import start_etcd

OPERATOR_FILE = """{ version: 1, fleet: { service: '127.0.0.1:%d', round_trip: '100ms', refresh: '400ms',
  tasks: { probe: { ttl: '1s', margin: '250ms', renew: '200ms' },
           list: { ttl: '1s', margin: '250ms', renew: '200ms' } }, log: { bound: '2500ms' },
  probing: { interval: '100ms', within: '60ms', fails: 2, passes: 2, lasts: '%dms' } } }"""
LIMITS_SECTION = """limits: { refresh: '200ms', lasts: '1s'%s },
  tasks+: { limits: { ttl: '1s', margin: '250ms', renew: '200ms' } }"""
BUDGET_SECTION = """ + { default: { relays: 3, until: 'cut-off' }, largest: { maps: '2MB', grids: '2MB' },
  front: { budget: { share: 1, floor: 1000, window: '1s', fleet: %d } } }"""
STATE_PATTERN = rb"fleet: %s: (\w+), token (\d+): "
WINDOW_S = 3.0  # over which the load of a cold cache counts: the sample's overloadFor
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"


def answer_at_once(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
    return 0.002, "DONE", f"{COPY},rep=util:0.5;x1:0.5", b"x"


def cold_limit(age_s: float) -> float:
    """Return the limit of the sample's cold cache at an age: relays of 250 ms in a window; 0: it is warm."""
    if age_s >= 14.0:
        return 0.0
    share = 0.2 + 0.8 * max(age_s - WINDOW_S, 0.0) / 14.0
    return 0.75 * 2.5 * share * 8.0 * WINDOW_S * 1000.0 / 250.0


def over_limit(running_fronts: "Fronts") -> float:
    """Return the largest load of cache-2 in a window as a fraction of its limit.

    One relay is subtracted, since the times of both ends are measured separately.
    """
    return max((share - 1.0 / cold_limit(at) for at, share in running_fronts.used()), default=0.0)


@dataclass
class Fronts:
    """The fronts, the caches that they share, and the service."""

    caches: Caches
    etcd: Process
    port: int
    wal: str
    testbeds: list[FrontTestbed] = field(default_factory=list)
    links: list[Proxy] = field(default_factory=list)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    folders: list[Path] = field(default_factory=list)
    extra_members: list[Process] = field(default_factory=list)  # of the service, started by a test
    cold_at: float = 0.0  # s, monotonic: when cache-2 restarted

    def add_event(self, **event: Any) -> None:
        """Add an event to the discovery event log, which all fronts share."""
        self.testbeds[0].add_event(**event)

    def used(self) -> list[tuple[float, float]]:
        """Return for each relay to cache-2 since its restart: s since then, and the load.

        The load is the number of relays in the last window as a fraction of the limit.
        """
        times = sorted(at for relays in self.caches.relays.values() for at, cache in relays if cache == 1)
        times = [at - self.cold_at for at in times if at >= self.cold_at]
        used_shares = []
        for index, at in enumerate(times):
            limit = cold_limit(at)
            if limit:
                in_window = sum(at - WINDOW_S < earlier for earlier in times[: index + 1])
                used_shares.append((at, in_window / limit))
        return used_shares

    async def split_service(self, indices: list[int]) -> None:
        """Start a second member from a copy of the log and redirect these fronts to it (a split service)."""
        copy = self.wal + ".split"
        shutil.copyfile(self.wal, copy)
        member, port = await start_etcd(copy)
        self.extra_members.append(member)
        for index in indices:
            self.links[index].upstream = port
            await self.links[index].set_cut()
            self.links[index].cut = False

    async def restart(self, indices: list[int]) -> None:
        """Kill fronts at the same time and restart them, each with its own configuration."""
        for index in indices:
            self.testbeds[index].process.kill()
        for index in indices:
            await self.testbeds[index].process.wait()
            self.testbeds[index].output = b""
            await self.testbeds[index].start(self.folders[index])

    def owner(self, task: str) -> int | None:
        """Return the index of the front that owns a task by its own log; None where none does."""
        owners = []
        for index, running_fronts in enumerate(self.testbeds):
            states = re.findall(STATE_PATTERN % task.encode(), running_fronts.output)
            if states and states[-1][0] == b"owner" and running_fronts.process.returncode is None:
                owners.append((int(states[-1][1]), index))
        return max(owners)[1] if owners else None

    async def wait_for_owner(self, excluded: int | None = None, task: str = "probe") -> int:
        """Wait until a front other than `excluded` owns a task; return its index."""
        with anyio.fail_after(15):
            while (index := self.owner(task)) is None or index == excluded:
                await anyio.sleep(0.02)
        return index


def _skewed_command(rate: float) -> list[str]:
    return [sys.executable, "-m", "tests.standins.skewed", str(rate)]


@asynccontextmanager
async def fronts(
    count: int, names: tuple[str, ...], lasts_ms: int = 2000, limits: bool = False, expected: int = 1,
    relays: int = 0, budget: int = 0, behave: Behaviour = answer_at_once, rates: tuple[float, ...] = (),
    prepare_front: Callable[[FrontTestbed], None] = lambda front: None,
) -> AsyncIterator[Fronts]:  # fmt: skip
    """Run `count` fronts on the same caches, `cache-1` and `names`; each is configured for `expected` fronts.

    `relays`: the fleet's cap on relays in flight at one cache; `budget`: how many relays after the first of
    their pull the fleet may send in a second; 0: no limit. `rates`: the rates of the lease clocks, by front.
    `prepare_front` is called with each front before it starts.
    """
    budget_section = BUDGET_SECTION % budget if budget else ""
    cap = f", relays: {{ caches: {relays} }}" if relays else ""

    def prepare(front: FrontTestbed) -> None:
        settings = front.config["settings"]
        settings["balancers"], settings["familyInfo"]["instancesByZone"] = expected, [0, 0, expected]
        for grade in settings["grades"] if relays else ():
            grade["hardLimit"] = 2500.0  # the window over which a share that was given up still counts
        prepare_front(front)
        if running_fronts.testbeds:  # one discovery event log for the fleet
            front.discovery_address = running_fronts.testbeds[0].discovery_address

    with tempfile.TemporaryDirectory() as folder, Caches(1 + len(names), behave) as caches:
        wal = str(Path(folder) / "etcd.wal")
        etcd, port = await start_etcd(wal)
        running_fronts = Fronts(caches, etcd, port, wal)
        addresses = dict(zip(("cache-1", *names), caches.addresses, strict=True))
        try:
            async with anyio.create_task_group() as group, running_fronts.stack:
                for number in range(count):
                    link = Proxy(port)
                    await link.start(group)
                    running_fronts.links.append(link)
                    front_folder = Path(folder) / f"front-{number}"
                    front_folder.mkdir()
                    operator_file = front_folder / "operator.jsonnet"
                    operator_file.write_text(OPERATOR_FILE % (link.port, lasts_ms))
                    if limits:
                        limits_file = operator_file.with_name("limits.jsonnet")
                        limits_section = "{ fleet+: { " + LIMITS_SECTION % cap + " } }"
                        limits_file.write_text(
                            f"(import 'operator.jsonnet') + {limits_section}{budget_section}"
                        )
                        operator_file = limits_file
                    front = await running_fronts.stack.enter_async_context(
                        front_testbed(
                            front_folder,
                            *names,
                            operator=operator_file,
                            addresses=addresses,
                            timeout_s=90.0,
                            name=f"front-{number}",
                            prepare=prepare,
                            command=_skewed_command(rates[number]) if rates else None,
                        )
                    )
                    for cache in front.caches.values():  # the front's own parent and origin
                        cache.alive = True
                    running_fronts.testbeds.append(front)
                    running_fronts.folders.append(front_folder)
                yield running_fronts
                await running_fronts.stack.aclose()
                group.cancel_scope.cancel()
        finally:
            for process in [
                *(front.process for front in running_fronts.testbeds),
                running_fronts.etcd,
                *running_fronts.extra_members,
            ]:
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                    await process.wait()
