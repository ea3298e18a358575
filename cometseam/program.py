"""Puts the parts together, and sees them through signals to the end."""

import signal

import anyio
from loguru import logger

from cometseam.config import Config
from cometseam.counters import COUNTERS
from cometseam.logic import Front
from cometseam.mailbox import Mailbox
from cometseam.routing.actor import Router
from cometseam.transport.buffers import Pool
from cometseam.transport.changelog import ChangeLog
from cometseam.transport.client import MOST_OPEN, Listener
from cometseam.transport.clock import Clock, Timers
from cometseam.transport.peer import Peer

OPEN_FOR = 800.0  # ms after SIGTERM in which clients may still come: 400 for connections, 200 more, and slack
END_BY = 3500.0  # ms after SIGTERM at which all is answered: it is killed no sooner than 3700
SAMPLE = 50.0  # ms between two looks at the loop's lag


async def run(config: Config) -> None:
    """Serve until SIGTERM, then answer what is owed and end."""
    clock = Clock()
    timers = Timers(clock)
    pool = Pool(config.memory)
    caches = max(sum(len(getattr(change, "lines", ())) for change in config.known), 1)
    most_open = config.clients * MOST_OPEN

    def make_peer(name: str, address: tuple[str, int], report) -> Peer:  # type: ignore[no-untyped-def]
        return Peer(name, address, config.links, max(config.peers // caches, 1), pool, clock, timers, report,
                    Mailbox(most_open))  # fmt: skip

    router = Router(Front(config.seed, config.settings), config.names, most_open, clock, timers, make_peer)
    listener = Listener(config.listen, config.clients, pool, router)
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGUSR1) as signals:
            await router.change(list(config.known))
            tasks.start_soon(router.run)
            tasks.start_soon(timers.run)
            tasks.start_soon(ChangeLog(config.changelog, config.last, router.change).run)
            tasks.start_soon(listener.run, tasks)
            tasks.start_soon(_sample, clock)
            logger.info("{} listens at {}:{}", config.name, *config.listen)
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                COUNTERS.print("asked")
            logger.info("{} drains", config.name)
            router.draining = True
            listener.drain()
            end_by, now = clock.now() + END_BY, clock.now()
            open_until = now + OPEN_FOR
            while (now := clock.now()) < end_by:
                idle = not router.owed and all(client.is_idle for client in listener.clients)
                if now >= open_until and idle:
                    break
                await anyio.sleep(0.01)
            router.give_up_all()
            await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
    COUNTERS.print("at exit")


async def _sample(clock: Clock) -> None:
    """Measure how late the loop comes to what is due."""
    turns = 0
    while True:
        due = clock.now() + SAMPLE
        await anyio.sleep(SAMPLE / 1000.0)
        lag = clock.now() - due
        COUNTERS.see("loop_lag_ms", lag)
        for bound in (5, 20, 50, 100):
            if lag > bound:
                COUNTERS.add(f"loop_lag_over_{bound}_ms")
        turns += 1
        if turns % 20 == 0:
            COUNTERS.sample()
