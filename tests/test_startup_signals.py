"""A SIGHUP that came while a front started ended it: nothing held the signal until its sockets were made."""

import json
import os
import signal
from pathlib import Path

import anyio
import pytest

from tests.drive import World, frame, world

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_signal_while_the_configuration_is_read_ends_nothing_and_has_it_read_anew(
    tmp_path: Path,
) -> None:
    """The configuration is a FIFO: the front waits in its start until the test has sent the signals."""

    def prepare(here: World) -> None:
        async def fifo() -> None:
            text = json.dumps(here.config)
            here.path.unlink()
            os.mkfifo(here.path)
            here._tasks.start_soon(feed, text)

        async def feed(text: str) -> None:
            for is_start in (True, False):  # each opening waits until the front reads
                if not is_start:
                    await here.logged(b"listens")  # it has read the first to its end
                with await anyio.to_thread.run_sync(open, here.path, "w", abandon_on_cancel=True) as file:
                    if is_start:
                        here.process.send_signal(signal.SIGUSR1)
                        here.process.send_signal(signal.SIGHUP)
                        await anyio.sleep(0.05)
                    file.write(text)

        here.before_start = fifo

    async with world(tmp_path, prepare=prepare) as here:
        await here.logged(b"counters (asked)")
        await here.logged(b"configuration: read anew")
        await here.logged(b"discovery confirms")
        caller = await here.call()
        await caller.send(frame(32, 1))
        assert (await caller.next()).code == 1
        await here.stop()
