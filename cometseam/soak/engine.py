"""Runs one seed: fronts, endpoints, discovery and clients on loopback, with the faults of the plan."""

import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Mapping
from copy import deepcopy
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cometseam.soak.bad_clients import half_send
from cometseam.soak.checker import Limits, Violation, check
from cometseam.soak.clients import Client, RequestClass, Target
from cometseam.soak.discovery import Discovery, EventLog
from cometseam.soak.endpoints import Endpoint
from cometseam.soak.history import Acted, History, Lagged, Requested
from cometseam.soak.plan import Fault, Kind, SoakTerms, draw
from cometseam.soak.process import FrontProcess

READY_TIMEOUT_S = 20.0
SETTLE_S = 1.5  # after the last fault
LAG_THRESHOLD_S = 0.01  # the event loop's delay above which a record of it is kept
MIN_READY_ENDPOINTS = 2  # caches that drain faults leave ready
REMOVED_LISTEN_S = 1.5  # a removed endpoint listens on, so that attempts sent to it are seen
RELOADS_PER_FAULT = 3
MAX_IDLE_CONNECTIONS = 200
MAX_DISCOVERY_DELAY_S = 1.0
# Clients that send the greater part of a request, for a fault of the least and the greatest strength.
BAD_CLIENTS_RANGE = (10, 60)
# Endpoint types as the configuration writes them.
STANDARD = "standard"
PARENT = "parent"
ORIGIN = "origin"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one seed."""

    seed: int
    violations: list[Violation]
    acted: Counter[str]  # injected faults by kind
    codes: Counter[int]  # answers by code
    lag: float  # s, maximum delay of the soak process itself
    timeline: Path


async def run_seed(
    seed: int, terms: SoakTerms, config: dict[str, Any], folder: Path,
    command: list[str] | None = None, environment: Mapping[str, str] | None = None,
) -> Outcome:  # fmt: skip
    """Run a seed to its end and check its history.

    Args:
        seed: source of the faults, the clients' requests and the endpoints' answers.
        terms: size of the run.
        config: a front's configuration, with simulated endpoints in place of its own (see `config_for_seed`).
        folder: directory for configurations, logs and the timeline.
        command: command that starts a front; this program by default.
        environment: variables that are added to a front's environment.
    """
    folder.mkdir(parents=True, exist_ok=True)
    command = command or [sys.executable, "-m", "cometseam"]
    soak = Soak(seed, terms, config_for_seed(config, seed, terms), folder, command, environment or {})
    began_at = time.monotonic()
    try:
        await soak.run()
    finally:
        soak.close()
        timeline = folder / f"seed-{seed}.jsonl"
        soak.history.write(timeline, began_at)
    return soak.outcome(timeline)


class Soak:
    """The run of one seed."""

    def __init__(
        self, seed: int, terms: SoakTerms, config: dict[str, Any], folder: Path, command: list[str],
        environment: Mapping[str, str],
    ) -> None:  # fmt: skip
        self.history = History()
        self._seed, self._terms, self._folder = seed, terms, folder
        self._command, self._environment = command, {**os.environ, **environment}
        self._config = deepcopy(config)
        self._random = Random(seed)
        self._log = EventLog(self.history)
        self._requests: dict[str, Requested] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._fronts: list[FrontProcess] = []
        self._clients: list[list[Client]] = []
        self._endpoint_numbers = count(1)
        self._reserved_sockets: list[socket.socket] = []
        self._tasks: TaskGroup

    def close(self) -> None:
        """Release the reserved addresses."""
        for reserved in self._reserved_sockets:
            reserved.close()

    def outcome(self, timeline: Path) -> Outcome:
        """Check the history and summarise it."""
        from cometseam.soak.history import Replied

        limits = limits_from_config(self._config)
        acted = Counter(each.kind for each in self.history.of(Acted))
        codes = Counter(each.code for each in self.history.of(Replied))
        lag = max((each.by for each in self.history.of(Lagged)), default=0.0)
        return Outcome(self._seed, check(self.history, limits), acted, codes, lag, timeline)

    async def run(self) -> None:
        """Start the fronts, inject the faults, and stop the fronts."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._measure_lag)
            await self._add_endpoints()
            for number in range(self._terms.fronts):
                await self._add_front(number)
            with anyio.fail_after(READY_TIMEOUT_S):
                for front in self._fronts:
                    await _wait_until_listening(front)
            self._add_clients()
            async with anyio.create_task_group() as faults:
                began_at = time.monotonic()
                for fault in draw(self._seed, self._terms):
                    await anyio.sleep(max(began_at + fault.at - time.monotonic(), 0.0))
                    faults.start_soon(self._inject, fault)
            await anyio.sleep(SETTLE_S)
            async with anyio.create_task_group() as terminations:
                for front in self._fronts:
                    terminations.start_soon(front.terminate)
            self._tasks.cancel_scope.cancel()

    async def _measure_lag(self) -> None:
        while True:
            due_at = time.monotonic() + LAG_THRESHOLD_S
            await anyio.sleep(LAG_THRESHOLD_S)
            lag = time.monotonic() - due_at
            if lag > LAG_THRESHOLD_S:
                self.history.add(Lagged(time.monotonic(), lag))

    # Setup

    async def _add_endpoints(self) -> None:
        entries = self._config["known"]["results"][0]["fleet"]["endpoints"]
        for endpoint_type, endpoint_count in ((STANDARD, self._terms.endpoints), (PARENT, 2), (ORIGIN, 1)):
            template = next(entry for entry in entries if entry["type"] == endpoint_type)
            for _ in range(endpoint_count):
                await self._add_endpoint(template, since_ms=0)
        self._log.events.clear()  # the fronts have these endpoints in the list that they start with
        self.history.records.clear()

    async def _add_endpoint(self, template: dict[str, Any], since_ms: int) -> None:
        name = f"{template['type']}-{next(self._endpoint_numbers)}"
        random = Random(self._random.random())
        endpoint = Endpoint(name, template["type"], self.history, self._requests, random)
        await endpoint.listen(self._tasks)
        self._endpoints[name] = endpoint
        self._log.set_state(
            {**template, "name": name, "address": endpoint.address, "since_ms": since_ms}, "active"
        )

    async def _add_front(self, number: int) -> None:
        address = self._reserve_address()
        discovery = Discovery(number, self._log, self._reserve_address()[1])
        await discovery.listen(self._tasks)
        front = FrontProcess(Target(number, address), discovery, self._log, self._config, self._folder,
                      self._command, self._environment)  # fmt: skip
        self._fronts.append(front)
        await front.start(front.write_config())
        self._tasks.start_soon(front.monitor)

    def _reserve_address(self) -> tuple[str, int]:
        """Return a free address, bound to a socket so that no other process gets it while this soak runs."""
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._reserved_sockets.append(reserved)
        host, port = reserved.getsockname()
        return host, port

    def _add_clients(self) -> None:
        grades = self._config["settings"]["grades"]
        classes = [RequestClass(grade["name"], float(grade["hardLimit"]) / 1000.0) for grade in grades]
        request_numbers = count(1)
        for front in self._fronts:
            clients = [
                Client(number, front.target, classes, self._terms.rate, self.history, self._requests,
                       Random(self._random.random()), request_numbers)
                for number in range(self._terms.clients)
            ]  # fmt: skip
            self._clients.append(clients)
            for client in clients:
                self._tasks.start_soon(client.run)

    # Faults

    async def _inject(self, fault: Fault) -> None:
        front_number = fault.target % len(self._fronts)
        front = self._fronts[front_number]
        match fault.kind:
            case Kind.DRAIN:
                await self._drain_endpoint(fault)
            case Kind.PURGE:
                self._log.purge(fault.target % 4)
                self._record_fault(fault, "all", time.monotonic())
            case Kind.RESTART | Kind.KILL | Kind.PAUSE:
                await self._disrupt_process(fault, front)
            case Kind.RELOAD:
                for _ in range(RELOADS_PER_FAULT):
                    if front.is_running and not front.has_active_fault:
                        front.signal(signal.SIGHUP)
                        self._record_fault(fault, front.name, time.monotonic())
                    await anyio.sleep(0.05)
            case Kind.DISCOVERY_SILENT:
                if await front.discovery.stop_answering(fault.lasts):
                    self._record_fault(fault, front.name, time.monotonic())
            case Kind.DISCOVERY_SLOW:
                self._record_fault(fault, front.name, time.monotonic() + fault.lasts)
                await front.discovery.delay_answers(fault.strength * MAX_DISCOVERY_DELAY_S, fault.lasts)
            case Kind.DISCOVERY_DOWN:
                self._record_fault(fault, front.name, time.monotonic() + fault.lasts)
                await front.discovery.take_down(fault.lasts)
            case Kind.CROWD:
                await self._hold_idle_connections(fault, front)
            case Kind.HALF_SENT:
                await self._half_send_requests(fault, front)
            case Kind.HANG | Kind.LONG_HANG:
                endpoint = self._pick_endpoint(fault.target)
                endpoint.hangs_until = max(endpoint.hangs_until, time.monotonic() + fault.lasts)
                self._record_fault(fault, endpoint.name, endpoint.hangs_until)
            case Kind.RESET:
                endpoint = self._pick_endpoint(fault.target)
                if await endpoint.reset():
                    self._record_fault(fault, endpoint.name, time.monotonic())
            case Kind.LEAVE:
                if sum(client.leave() for client in self._clients[front_number]):
                    self._record_fault(fault, front.name, time.monotonic())

    def _record_fault(self, fault: Fault, target: str, until: float) -> None:
        self.history.add(Acted(time.monotonic(), fault.kind, target, until))

    def _pick_endpoint(self, number: int) -> Endpoint:
        names = sorted(self._endpoints)
        return self._endpoints[names[number % len(names)]]

    async def _drain_endpoint(self, fault: Fault) -> None:
        ready_names = [name for name, entry in self._log.entries.items() if entry["status"] == "active"]
        cache_names = [name for name in ready_names if self._log.entries[name]["type"] == STANDARD]
        if len(cache_names) <= MIN_READY_ENDPOINTS:
            return
        name = cache_names[fault.target % len(cache_names)]
        entry = dict(self._log.entries[name])
        self._log.set_state(entry, "leaving")
        self._record_fault(fault, name, time.monotonic())
        await anyio.sleep(fault.lasts / 2)
        await self._add_endpoint(entry, since_ms=round(time.time() * 1000.0))
        await anyio.sleep(fault.lasts / 2)
        self._log.set_state(entry, "left")
        await anyio.sleep(REMOVED_LISTEN_S)
        del self._endpoints[name]

    async def _disrupt_process(self, fault: Fault, front: FrontProcess) -> None:
        """Pause, restart or kill a front's process, unless another fault is acting on it."""
        if front.has_active_fault or not front.is_running:
            return
        front.has_active_fault = True
        if fault.kind is Kind.PAUSE:
            began_at = time.monotonic()
            front.signal(signal.SIGSTOP)
            await anyio.sleep(fault.lasts)
            front.signal(signal.SIGCONT)
            self.history.add(Acted(began_at, fault.kind, front.name, time.monotonic()))
        else:
            last_event = front.write_config()
            self._record_fault(fault, front.name, time.monotonic())
            await (front.kill() if fault.kind is Kind.KILL else front.terminate())
            await anyio.sleep(fault.lasts)
            await front.start(last_event)
            with anyio.move_on_after(READY_TIMEOUT_S):
                await _wait_until_listening(front)
        front.has_active_fault = False

    async def _half_send_requests(self, fault: Fault, front: FrontProcess) -> None:
        """Have clients send the greater part of a request; they leave at the end of the fault."""
        if not front.is_running:
            return
        self._record_fault(fault, front.name, time.monotonic() + fault.lasts)
        fewest, most = BAD_CLIENTS_RANGE
        with anyio.move_on_after(fault.lasts):
            async with anyio.create_task_group() as clients:
                for _ in range(fewest + int(fault.strength * (most - fewest))):
                    clients.start_soon(half_send, front.target)

    async def _hold_idle_connections(self, fault: Fault, front: FrontProcess) -> None:
        """Hold idle connections to a front for the duration of the fault."""
        streams = []
        for _ in range(int(fault.strength * MAX_IDLE_CONNECTIONS)):
            try:
                streams.append(await anyio.connect_tcp(*front.target.address))
            except OSError:
                break
        if streams:
            self._record_fault(fault, front.name, time.monotonic() + fault.lasts)
        await anyio.sleep(fault.lasts)
        for stream in streams:
            await anyio.aclose_forcefully(stream)


async def _wait_until_listening(front: FrontProcess) -> None:
    """Wait until a front accepts connections."""
    while True:
        try:
            await (await anyio.connect_tcp(*front.target.address)).aclose()
            return
        except OSError:
            await anyio.sleep(0.02)


def config_for_seed(config: dict[str, Any], seed: int, terms: SoakTerms) -> dict[str, Any]:
    """Return the configuration of a seed: shortened deadlines, and a non-idempotent class on odd seeds."""
    varied = deepcopy(config)
    grades = varied["settings"]["grades"]
    longest_deadline = max(float(grade["hardLimit"]) for grade in grades)
    for grade in grades:
        for key in ("hardLimit", "aim"):
            grade[key] = float(grade[key]) * min(1000.0 * terms.longest_deadline / longest_deadline, 1.0)
    if seed % 2:
        grades[0]["repeat"] = "at_most_once"
    return varied


def limits_from_config(config: dict[str, Any]) -> Limits:
    """Return the checker's limits for a configuration."""
    settings, limits = config["settings"], config["limits"]
    grades = settings["grades"]
    family = settings["familyInfo"]
    max_copy_ages = family.get("goodFor", [])
    return Limits(
        drain_grace=float(settings["safety"].get("drainGrace", 500.0)) / 1000.0 + 0.05,
        purge_propagation=float(family.get("purgeTakes", 0.0)) / 1000.0,
        descriptors=int(limits.get("sockets", 1024)),
        memory_mb=float(limits.get("memory_mb", 192.0)),
        max_copy_ages=tuple(
            (grade["name"], age / 1000.0) for grade, age in zip(grades, max_copy_ages, strict=False)
        ),
        non_idempotent_classes=tuple(grade["name"] for grade in grades if grade["repeat"] == "at_most_once"),
    )
