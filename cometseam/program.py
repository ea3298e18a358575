"""Assembles and runs the front, from start through signals to shutdown."""

import gc
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio

from cometseam import signals
from cometseam.config import Config, read_config
from cometseam.counters import COUNTERS, memory_bytes_of
from cometseam.discovery import ConfirmationPolicy, DiscoveryClient, PollPolicy
from cometseam.events import log_event
from cometseam.json_section import FieldError
from cometseam.logic import Front
from cometseam.memory import RequestBudget, plan_memory
from cometseam.operator import CompiledConfig, OperatorFileError
from cometseam.routing.actor import Router
from cometseam.tracing import TraceMode, Tracer
from cometseam.transport.buffers import BufferPool
from cometseam.transport.client import MAX_OPEN_PULLS
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection import LINGER_S
from cometseam.transport.connection_limit import ConnectionLimit
from cometseam.transport.listener import Listener
from cometseam.transport.resources import LAG_SAMPLE_INTERVAL_MS, ProcessResources

# By the protocol, after SIGTERM new connections arrive for 400 ms, and pulls on open connections for 200 ms
# more, by the clients' clocks. The front is killed no sooner than 700 ms after the longest deadline, of which
# at most 3 s count. So the last pull has its full time before unanswered pulls are given up, and 100 ms
# remain to write those answers.
LAST_PULL_AFTER_MS = 600.0
KILL_GRACE_MS = 700.0
MAX_COUNTED_DEADLINE_MS = 3000.0
Actor = Callable[[], Coroutine[Any, Any, None]]
GC_THRESHOLD_OBJECTS = 20000  # net new objects between two runs of the garbage collector
DRAIN_CHECK_INTERVAL_MS = 10.0  # interval for checking for unanswered pulls while draining
MAX_LOGGED_FAULTS = 50  # logged faults per operator's file


async def run(config: Config, compiled: CompiledConfig | None = None) -> None:
    """Serve until SIGTERM, then answer pending pulls and return; `compiled` is the operator's file."""
    signals.install_handlers()  # before listening: no signal may end a front that has accepted a connection
    clock = Clock()
    timers = Timers(clock)
    gc.collect()
    used_at_start = memory_bytes_of()
    memory = plan_memory(config.memory_limit, used_at_start)
    pool, budget = BufferPool(memory.pool_bytes), RequestBudget(memory.request_bytes)
    resources = ProcessResources(config.links, pool, clock, timers, ConnectionLimit(config.max_peers), budget)
    front = Front(config.seed, config.settings)
    tracer = Tracer(TraceMode(config.trace_mode), max_open=config.max_clients * MAX_OPEN_PULLS)
    router = Router(front, config.names, config.max_clients * MAX_OPEN_PULLS, resources, config.seed, tracer)
    listener = Listener(
        config.listen, config.max_clients, pool, clock, router, config.links.connect_timeout, budget
    )
    # If buffers run short, clients are closed that have read nothing for as long as the connect timeout.
    pool.on_shortage = lambda: listener.close_stalled(config.links.connect_timeout)
    poll_policy = PollPolicy.for_drain_grace(config.links.drain_grace)
    confirmation_policy = ConfirmationPolicy.for_drain_grace(config.links.drain_grace)
    discovery = DiscoveryClient(
        config.discovery_address,
        config.last_seq,
        config.names,
        router.apply_changes,
        poll_policy,
        confirmation_policy=confirmation_policy,
    )
    router.read_discovery = discovery.read_now
    router.audit.on_attempt_written = discovery.record_attempt
    resources.confirmation_wait, resources.on_resume = discovery.confirmation_wait, discovery.record_pause
    discovery.detect_process_pause = resources.detect_process_pause
    # Existing objects stay, and pulls leave almost no reference cycles: frequent collections find nothing.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    fleet = _fleet_member_task(config, compiled, router, discovery)
    async with anyio.create_task_group() as tasks:
        if compiled is not None:
            router.update_plans(compiled)
        router.apply_changes(list(config.initial_events), is_live=False)
        for actor in (router.run, timers.run, discovery.run):
            tasks.start_soon(actor)
        tasks.start_soon(listener.run, tasks)
        tasks.start_soon(listener.close_overdue, config.links.max_deadline)
        resources.record_loop_lag(0.0)  # so that a pause before the first measurement is detected too
        tasks.start_soon(_sample, clock, router)
        if fleet is not None:
            tasks.start_soon(fleet)
        log_event("front.listens", name=config.name, host=config.listen[0], port=config.listen[1])
        reloader = OperatorFileReloader(router, compiled.fleet if compiled is not None else None)
        async for number in signals.received_signals():
            if number == signal.SIGTERM:
                break
            if number == signal.SIGUSR1:
                _log_counters("asked", router)
                continue
            if (new_config := _reload_config(config)) is not None:
                memory = plan_memory(new_config.memory_limit, used_at_start)
                pool.resize(memory.pool_bytes)
                budget.capacity = memory.request_bytes
                listener.max_clients = new_config.max_clients
                resources.connection_limit.maximum = new_config.max_peers
                discovery.set_address(new_config.discovery_address)
            # Evaluating the file takes a while, so a newer reload replaces a running one. The file is checked
            # against the running settings, as new settings need a restart.
            reload_number = reloader.start_reload()
            if config.operator_file is not None:
                tasks.start_soon(reloader.reload, reload_number, config.operator_file, config.raw_settings)
        log_event("front.drains", name=config.name)
        router.draining = True
        listener.drain()
        await _drain(config, clock, router, listener)
        tasks.cancel_scope.cancel()
    await router.close()
    _log_counters("at exit", router)


def _fleet_member_task(
    config: Config, compiled: CompiledConfig | None, router: Router, discovery: DiscoveryClient
) -> Actor | None:
    """Return the task that makes this front a fleet member.

    Returns None, without importing anything, if the operator's file configures no fleet.
    """
    if compiled is None or compiled.fleet is None:
        return None
    from cometseam.coordination.fleet_member import FleetMember, boot_time
    from cometseam.operator.fleet import parse_fleet_config

    def apply_verdict(update: Any) -> None:
        router.apply_verdict(update.cache, update.bad, update.ttl, update.age)

    fleet_config = parse_fleet_config(compiled.fleet)
    limit_sharing = None
    if fleet_config.grant_timing is not None:
        from cometseam.routing.capacity_demand import fleet_budget_windows, own_groups, sharing_groups

        zones, settings = config.names.zones, config.settings
        groups = sharing_groups(
            settings,
            zones,
            *fleet_config.grant_timing,
            fleet_config.drift,
            fleet_config.in_flight_limits is not None,
            fleet_budget_windows(compiled.plans),
        )
        limit_sharing = (
            groups,
            own_groups(settings, zones, groups),
            router.capacity_demands,
            router.apply_capacity_lease,
        )
        if fleet_config.in_flight_limits is not None:
            router.set_concurrency_cap(*fleet_config.in_flight_limits)
    return FleetMember(
        fleet_config, config.name, boot_time, router.addresses, apply_verdict, discovery, limit_sharing
    ).run


def _log_counters(reason: str, router: Router) -> None:
    for peer, ends in router.peer_end_counts():
        log_event("peer.counters", why=reason, peer=peer, ends=ends)
    log_event("front.counters", why=reason, counts=COUNTERS.all())


class OperatorFileReloader:
    """Reloads the operator's file while the front serves, one reload at a time."""

    def __init__(self, router: Router, fleet: dict[str, Any] | None = None) -> None:
        self._router, self._fleet = router, fleet
        self._scope = anyio.CancelScope()
        self._reload_number = 0

    def start_reload(self) -> int:
        """Cancel the reload in progress, if any, and return the number of a new one."""
        self._scope.cancel()
        self._reload_number += 1
        return self._reload_number

    async def reload(self, number: int, path: Path, raw_settings: dict[str, Any]) -> None:
        """Read, check and apply the file; if it is invalid, log its faults and keep the running one.

        If this call is cancelled, the child process that evaluates the file is ended and nothing changes.
        Nothing changes either if a newer reload was requested before this one began.
        """
        from cometseam.operator.load import load_for_front_async

        if number != self._reload_number:
            return
        with anyio.CancelScope() as self._scope:
            try:
                compiled = await load_for_front_async(path, raw_settings)
            except OperatorFileError as refused:
                COUNTERS.add("operator.refused")
                for fault in refused.faults[:MAX_LOGGED_FAULTS]:
                    place, key = (f"{text}: " if text else "" for text in (fault.location, fault.path))
                    log_event("operator.refused", place=place, path=key, reason=fault.reason)
            except Exception as error:  # on any error the running plans stay
                COUNTERS.add("operator.refused")
                why = f"{type(error).__name__}: {error}"
                log_event("operator.refused", place="", path=f"{path}: ", reason=why)
            else:
                COUNTERS.add("operator.taken")
                if compiled.fleet != self._fleet:
                    log_event("config.needs_restart", key="fleet (of the operator's file)")
                self._router.update_plans(compiled)
                routes, plans = len(compiled.route_names), len(compiled.plans.plans)
                log_event("operator.taken", routes=routes, plans=plans, digest=compiled.digest)


def _reload_config(config: Config) -> Config | None:
    """Reload the configuration; if it is invalid, log the error and return None: the running one stays."""
    try:
        new_config = read_config()
    except FieldError as error:
        COUNTERS.add("reload.faulty")
        log_event("config.faulty", why=str(error))
        return None
    COUNTERS.add("reload.taken")
    for key in config.needs_restart(new_config):
        log_event("config.needs_restart", key=key)
    log_event("config.read")
    return new_config


async def _drain(config: Config, clock: Clock, router: Router, listener: Listener) -> None:
    """Answer all pulls that have arrived and let the answers reach the clients.

    Waits until no more pulls can arrive and none is unanswered. At `answer_deadline` the decision module
    answers the remaining pulls, and later ones are shed. Then connections are closed, write side first. It
    returns earlier if the clients have left; if the process is killed during the last step, nothing is lost.
    """
    started_at, max_deadline = clock.now(), config.links.max_deadline
    answer_deadline = started_at + min(max_deadline, MAX_COUNTED_DEADLINE_MS) + LAST_PULL_AFTER_MS
    closing = False
    while True:
        now = clock.now()
        if now >= answer_deadline and not closing:
            closing = True
            router.begin_shutdown()
        # Connections waiting to be accepted and unread pulls have arrived: their clients expect an answer.
        accepted = listener.accept()
        has_pending = router.has_unanswered or not all(client.is_drained for client in listener.clients)
        # None means that there was no room to accept a waiting connection, which has arrived nevertheless.
        if accepted is False and not has_pending and now >= started_at + KILL_GRACE_MS:
            break
        if now >= answer_deadline + max_deadline + KILL_GRACE_MS:
            break  # the remaining clients neither send nor read any more
        await anyio.sleep(DRAIN_CHECK_INTERVAL_MS / 1000.0)
    listener.begin_shutdown()
    with anyio.move_on_after(2.0 * LINGER_S):
        while not listener.is_empty:
            await anyio.sleep(DRAIN_CHECK_INTERVAL_MS / 1000.0)


async def _sample(clock: Clock, router: Router) -> None:
    """Measure how late the event loop runs due timers for the router; also sample the process's counters."""
    while True:
        for _ in range(20):
            expected_at = clock.now() + LAG_SAMPLE_INTERVAL_MS
            await anyio.sleep(LAG_SAMPLE_INTERVAL_MS / 1000.0)
            lag = clock.now() - expected_at
            router.record_loop_lag(lag)
            COUNTERS.record_max("loop_lag_ms", lag)
            COUNTERS.add("loop_lag.looks")
            COUNTERS.add("loop_lag.over_a_tenth", int(lag > 0.1 * LAG_SAMPLE_INTERVAL_MS))
        COUNTERS.sample_process()
