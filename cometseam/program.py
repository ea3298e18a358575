"""Puts the parts together, and sees them through signals to the end."""

import gc
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio

from cometseam import signals
from cometseam.config import Config, read_config
from cometseam.counters import COUNTERS, memory_taken
from cometseam.discovery import ConfirmationTerms, DiscoveryClient, PollTerms
from cometseam.events import say
from cometseam.logic import Front
from cometseam.operator import Compiled, Refused
from cometseam.reading import Faulty
from cometseam.routing.actor import Router
from cometseam.tracing import Mode, Tracer
from cometseam.transport.buffers import Pool
from cometseam.transport.client import MOST_OPEN, Listener
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.connection import LINGER
from cometseam.transport.surroundings import SAMPLED_EVERY, Surroundings

# By the protocol, after SIGTERM: new connections come for 400 ms and pulls on open ones for 200 ms more, by
# clients' clocks; it is killed no sooner than 700 ms after the longest cut-off, of which 3 s count at most.
# So the last pull has its whole time before what is owed is given up, and 100 ms are left to write that.
LAST_PULL, KILLED_PAST, MOST_CUT_OFF = 600.0, 700.0, 3000.0
Actor = Callable[[], Coroutine[Any, Any, None]]
POOL_PART = 2  # of the memory that the interpreter leaves, what goes to buffers
UNSEEN = 20000  # objects made and not freed between two looks for cycles
TURN = 10.0  # ms between two looks at what is still owed
MOST_FAULTS = 50  # of a file that are logged


async def run(config: Config, compiled: Compiled | None = None) -> None:
    """Serve until SIGTERM, then answer what is owed and end; `compiled` is the operator's file."""
    signals.hold()  # from before anything listens: none may end what has taken a connection
    clock = Clock()
    timers = Timers(clock)
    taken = memory_taken()
    pool = Pool((config.memory - taken) // POOL_PART)
    around = Surroundings(config.links, pool, clock, timers, config.peers)
    front = Front(config.seed, config.settings)
    tracer = Tracer(Mode(config.trace), most_open=config.clients * MOST_OPEN)
    router = Router(front, config.names, config.clients * MOST_OPEN, around, config.seed, tracer)
    listener = Listener(config.listen, config.clients, pool, clock, router, config.links.connect_within)
    # Where buffers run short, a client that takes nothing for as long as a peer may take to connect goes.
    pool.on_short = lambda: listener.make_room(config.links.connect_within)
    terms = PollTerms.for_grace(config.links.drain_grace)
    confirmation = ConfirmationTerms.for_grace(config.links.drain_grace)
    discovery = DiscoveryClient(
        config.changelog, config.last, config.names, router.change, terms, confirmation=confirmation
    )
    router.read_discovery, router.attempt_written = discovery.read_now, discovery.attempt_written
    around.confirmation_wait, around.on_resume = discovery.confirmation_wait, discovery.resumed
    discovery.notice_stand_still = around.notice_stand_still
    # What is there now stays, and pulls leave next to nothing in cycles: looking for those often is waste.
    gc.collect()
    gc.freeze()
    gc.set_threshold(UNSEEN)
    fleet = _fleet(config, compiled, router, discovery)
    async with anyio.create_task_group() as tasks:
        if compiled is not None:
            router.replan(compiled)
        router.change(list(config.known), is_news=False)
        for actor in (router.run, timers.run, discovery.run):
            tasks.start_soon(actor)
        tasks.start_soon(listener.run, tasks)
        tasks.start_soon(listener.end_overdue, config.links.longest_cut_off)
        around.sampled(0.0)  # a stand-still before the first measurement shows as well
        tasks.start_soon(_sample, clock, router)
        if fleet is not None:
            tasks.start_soon(fleet)
        say("front.listens", name=config.name, host=config.listen[0], port=config.listen[1])
        reader = OperatorsFile(router, compiled.fleet if compiled is not None else None)
        async for number in signals.follow():
            if number == signal.SIGTERM:
                break
            if number == signal.SIGUSR1:
                _print("asked", router)
                continue
            if (new := _reread(config)) is not None:
                pool.resize((new.memory - taken) // POOL_PART)
                listener.most, around.connections = new.clients, new.peers
                discovery.move(new.changelog)
            # Its evaluation takes a while: what was asked for before is no longer wanted. It is checked
            # against the settings that run: others need a restart.
            turn = reader.next()
            if config.operator is not None:
                tasks.start_soon(reader.reread, turn, config.operator, config.told)
        say("front.drains", name=config.name)
        router.draining = True
        listener.drain()
        await _drain(config, clock, router, listener)
        tasks.cancel_scope.cancel()
    await router.close()
    _print("at exit", router)


def _fleet(
    config: Config, compiled: Compiled | None, router: Router, discovery: DiscoveryClient
) -> Actor | None:
    """Return the front's part in the fleet; None, with nothing imported, where the file names no service."""
    if compiled is None or compiled.fleet is None:
        return None
    from cometseam.coordination.party import Party, boot_time
    from cometseam.operator.fleet import read

    def judged(heard: Any) -> None:
        router.judge(heard.cache, heard.bad, heard.rest, heard.age)

    terms = read(compiled.fleet)
    shares = None
    if terms.limits is not None:
        from cometseam.routing.shares import groups, own, windows

        zones, settings = config.names.zones, config.settings
        found = groups(settings, zones, *terms.limits, terms.drift, terms.relays is not None,
                       windows(compiled.plans))  # fmt: skip
        shares = (found, own(settings, zones, found), router.wishes, router.grant)
        if terms.relays is not None:
            router.cap(*terms.relays)
    return Party(terms, config.name, boot_time, router.addresses, judged, discovery, shares).run


def _print(why: str, router: Router) -> None:
    for peer, ends in router.peers():
        say("peer.counters", why=why, peer=peer, ends=ends)
    say("front.counters", why=why, counts=COUNTERS.all())


class OperatorsFile:
    """Reads the operator's file anew beside what is served, one reading at a time."""

    def __init__(self, router: Router, fleet: dict[str, Any] | None = None) -> None:
        self._router, self._fleet = router, fleet
        self._scope = anyio.CancelScope()
        self._turn = 0

    def next(self) -> int:
        """Give up the reading that is under way: a newer one is wanted. Return the number of that one."""
        self._scope.cancel()
        self._turn += 1
        return self._turn

    async def reread(self, turn: int, path: Path, told: dict[str, Any]) -> None:
        """Read and check the file, and hand it over; a faulty one is logged, and the one that runs stays.

        Cancelled, its child is ended and nothing is changed; nor is it where a newer reading was asked for
        before this one began.
        """
        from cometseam.operator.load import for_front_async

        if turn != self._turn:
            return
        with anyio.CancelScope() as self._scope:
            try:
                compiled = await for_front_async(path, told)
            except Refused as refused:
                COUNTERS.add("operator.refused")
                for fault in refused.faults[:MOST_FAULTS]:
                    place, key = (f"{part}: " if part else "" for part in (fault.place, fault.path))
                    say("operator.refused", place=place, path=key, reason=fault.reason)
            except Exception as error:  # whatever it is, the plans that run stay
                COUNTERS.add("operator.refused")
                why = f"{type(error).__name__}: {error}"
                say("operator.refused", place="", path=f"{path}: ", reason=why)
            else:
                COUNTERS.add("operator.taken")
                if compiled.fleet != self._fleet:
                    say("config.needs_restart", key="fleet (of the operator's file)")
                self._router.replan(compiled)
                routes, plans = len(compiled.names), len(compiled.plans.plans)
                say("operator.taken", routes=routes, plans=plans, digest=compiled.digest)


def _reread(config: Config) -> Config | None:
    """Read the configuration anew; a faulty one is logged, and the one that runs stays."""
    try:
        new = read_config()
    except Faulty as error:
        COUNTERS.add("reload.faulty")
        say("config.faulty", why=str(error))
        return None
    COUNTERS.add("reload.taken")
    for key in config.needs_restart(new):
        say("config.needs_restart", key=key)
    say("config.read")
    return new


async def _drain(config: Config, clock: Clock, router: Router, listener: Listener) -> None:
    """See to it that all that has come is answered, and that the answers reach clients.

    It waits until nothing more can come and nothing is owed; at the last moment what still is has its answer
    from the module, and what comes later is shed; then connections end, write side first. It ends sooner
    where clients have gone; nothing is lost where it is killed inside the last step.
    """
    began, longest = clock.now(), config.links.longest_cut_off
    last = began + min(longest, MOST_CUT_OFF) + LAST_PULL
    closing = False
    while True:
        now = clock.now()
        if now >= last and not closing:
            closing = True
            router.end_all()
        # What waits to be accepted, or to be read, has come: its client counts on an answer.
        came = listener.accept()
        owed = router.owes or not all(client.is_quiet for client in listener.clients)
        # None: there was no place for what waits to be accepted; it has come all the same.
        if came is False and not owed and now >= began + KILLED_PAST:
            break
        if now >= last + longest + KILLED_PAST:
            break  # a client that sends or takes nothing more: nobody waits for it
        await anyio.sleep(TURN / 1000.0)
    listener.end_all()
    with anyio.move_on_after(2.0 * LINGER):
        while not listener.is_empty:
            await anyio.sleep(TURN / 1000.0)


async def _sample(clock: Clock, router: Router) -> None:
    """Measure how late the loop comes to what is due, and have the module told."""
    while True:
        for _ in range(20):
            due = clock.now() + SAMPLED_EVERY
            await anyio.sleep(SAMPLED_EVERY / 1000.0)
            lag = clock.now() - due
            router.lag(lag)
            COUNTERS.see("loop_lag_ms", lag)
            COUNTERS.add("loop_lag.looks")
            COUNTERS.add("loop_lag.over_a_tenth", int(lag > 0.1 * SAMPLED_EVERY))
        COUNTERS.sample()
