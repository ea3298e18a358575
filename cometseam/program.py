"""Puts the parts together, and sees them through signals to the end."""

import gc
import signal

import anyio
from loguru import logger

from cometseam.config import Config, read_config
from cometseam.counters import COUNTERS, memory_taken
from cometseam.logic import Front
from cometseam.reading import Faulty
from cometseam.routing.actor import Router
from cometseam.transport.buffers import Pool
from cometseam.transport.changelog import ChangeLog
from cometseam.transport.client import MOST_OPEN, Listener
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.peer import Surroundings

# By the protocol, after SIGTERM: new connections come for 400 ms and pulls on open ones for 200 ms more, by
# clients' clocks; it is killed no sooner than 700 ms after the longest cut-off, of which 3 s count at most.
KILLED_PAST, MOST_CUT_OFF = 700.0, 3000.0
POOL_PART = 2  # of the memory that the interpreter leaves, what goes to buffers
UNSEEN = 20000  # objects made and not freed between two looks for cycles
TURN = 10.0  # ms between two looks at what is still owed
SAMPLE = 50.0  # ms between two looks at the loop's lag


async def run(config: Config) -> None:
    """Serve until SIGTERM, then answer what is owed and end."""
    clock = Clock()
    timers = Timers(clock)
    taken = memory_taken()
    pool = Pool((config.memory - taken) // POOL_PART)
    around = Surroundings(config.links, pool, clock, timers, config.peers)
    front = Front(config.seed, config.settings)
    router = Router(front, config.names, config.clients * MOST_OPEN, around)
    listener = Listener(config.listen, config.clients, pool, clock, router)
    # Where buffers run short, a client that takes nothing for as long as a peer may take to connect goes.
    pool.on_short = lambda: listener.make_room(config.links.connect_within)
    log = ChangeLog(config.changelog, config.last, config.names, router.change)
    # What is there now stays, and pulls leave next to nothing in cycles: looking for those often is waste.
    gc.collect()
    gc.freeze()
    gc.set_threshold(UNSEEN)
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP) as signals:
            router.change(list(config.known))
            for actor in (router.run, timers.run, log.run):
                tasks.start_soon(actor)
            tasks.start_soon(listener.run, tasks)
            tasks.start_soon(listener.end_overdue, config.links.longest_cut_off)
            tasks.start_soon(_sample, clock, router)
            logger.info("{} listens at {}:{}", config.name, *config.listen)
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                if number == signal.SIGUSR1:
                    COUNTERS.print("asked", router.peers())
                elif (new := _reread(config)) is not None:
                    pool.resize((new.memory - taken) // POOL_PART)
                    listener.most, around.connections = new.clients, new.peers
                    log.move(new.changelog)
            logger.info("{} drains", config.name)
            router.draining = True
            listener.drain()
            await _drain(config, clock, router, listener)
            tasks.cancel_scope.cancel()
    COUNTERS.print("at exit", router.peers())


def _reread(config: Config) -> Config | None:
    """Read the configuration anew; a faulty one is logged, and the one that runs stays."""
    try:
        new = read_config()
    except Faulty as error:
        COUNTERS.add("reload.faulty")
        logger.error("configuration: {}; the one that runs stays", error)
        return None
    COUNTERS.add("reload.taken")
    for key in config.needs_restart(new):
        logger.warning("configuration: {}: has changed, which needs a restart", key)
    logger.info("configuration: read anew")
    return new


async def _drain(config: Config, clock: Clock, router: Router, listener: Listener) -> None:
    """Wait until nothing more can come and nothing is owed; at the last moment answer what still is."""
    began = clock.now()
    end_by = began + min(config.links.longest_cut_off, MOST_CUT_OFF) + 0.5 * KILLED_PAST
    while clock.now() < end_by:
        idle = not router.owed and all(client.is_idle for client in listener.clients)
        if idle and clock.now() >= began + KILLED_PAST:
            return
        await anyio.sleep(TURN / 1000.0)
    router.give_up_all()
    await anyio.sleep(TURN / 1000.0)


async def _sample(clock: Clock, router: Router) -> None:
    """Measure how late the loop comes to what is due, and have the module told."""
    while True:
        for _ in range(20):
            due = clock.now() + SAMPLE
            await anyio.sleep(SAMPLE / 1000.0)
            lag = clock.now() - due
            router.lag(lag)
            COUNTERS.see("loop_lag_ms", lag)
            COUNTERS.add("loop_lag.looks")
            COUNTERS.add("loop_lag.over_a_tenth", int(lag > 0.1 * SAMPLE))
        COUNTERS.sample()
