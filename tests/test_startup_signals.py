"""Guards against a SIGHUP during startup that ends the front, as no handler was installed yet."""

import json
import os
import signal
from pathlib import Path

import anyio
import pytest

from tests.drive import FrontTestbed, frame, front_testbed

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_signals_during_startup_are_handled_once_the_front_runs(
    tmp_path: Path,
) -> None:
    """The configuration is a FIFO, so the front's startup blocks until the test has sent the signals."""

    def prepare(testbed: FrontTestbed) -> None:
        async def replace_config_by_fifo() -> None:
            text = json.dumps(testbed.config)
            testbed.path.unlink()
            os.mkfifo(testbed.path)
            testbed._tasks.start_soon(write_config, text)

        async def write_config(text: str) -> None:
            for is_start in (True, False):  # each open blocks until the front reads
                if not is_start:
                    await testbed.logged(b"listens")  # the first read is complete
                with await anyio.to_thread.run_sync(open, testbed.path, "w", abandon_on_cancel=True) as file:
                    if is_start:
                        testbed.process.send_signal(signal.SIGUSR1)
                        testbed.process.send_signal(signal.SIGHUP)
                        await anyio.sleep(0.05)
                    file.write(text)

        testbed.before_start = replace_config_by_fifo

    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        await testbed.logged(b"counters (asked)")
        await testbed.logged(b"configuration: read anew")
        await testbed.logged(b"discovery confirms")
        caller = await testbed.connect_client()
        await caller.send(frame(32, 1))
        assert (await caller.next()).code == 1
        await testbed.stop()
