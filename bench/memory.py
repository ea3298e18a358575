"""The front's private memory beside clients that send too much, and beside a cache that hangs.

The real program runs with several memory limits among stand-ins; with `--earlier TREE` another checkout of it
runs in turns with this one. A usual client sends requests all the while. Not run by CI:

    python -m bench.memory --limits 32,64,80,192 --seconds 15 --earlier ../earlier
"""

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import anyio

from cometseam.counters import memory_bytes_of
from cometseam.protocol.frames import MAX_FRAME_LENGTH, FrameType, write_frame
from tests.drive import ENDS, FrontTestbed, ReceivedCommand, client_request, front_testbed
from tests.standins.bad_clients import flood, half_send

SOCKETS = 512
BAD_CLIENTS = 145  # with the usual ones under a third of the descriptors
HALF_SENT_BYTES = 200_000
HALF_SEND_INTERVAL_S = 6.0
USUAL_CLIENTS = 20
USUAL_INTERVAL_S = 0.1  # between two requests of one client: 200 a second together
USUAL_LIMIT_MS = 2500
SAMPLE_INTERVAL_S = 0.02
WARM_UP_S = 2.0
BODY_BYTES = 2000
MB = 1 << 20
RUN = "import sys; sys.path.insert(0, {tree!r}); from cometseam.__main__ import main; sys.exit(main())"


class Load:
    """What a run plays beside the usual clients."""

    def __init__(self, testbed: FrontTestbed) -> None:
        self.testbed = testbed
        self.hangs = False  # whether the caches answer nothing

    async def floods(self) -> None:
        """Have clients send a hundred requests at once, with bodies."""
        for number in range(1, BAD_CLIENTS + 1):
            self.testbed._tasks.start_soon(flood, self.testbed, number)

    async def half_sent(self) -> None:
        """Have clients send the greater part of a request, again and again."""
        raw = write_frame(FrameType.PULL, 1, b"x" * HALF_SENT_BYTES, MAX_FRAME_LENGTH - 5 - HALF_SENT_BYTES)
        for _ in range(BAD_CLIENTS):
            self.testbed._tasks.start_soon(self._half_send_again, raw)

    async def _half_send_again(self, raw: bytes) -> None:
        while True:
            with suppress(*ENDS, OSError):
                await half_send(self.testbed, raw, [])
            await anyio.sleep(HALF_SEND_INTERVAL_S)

    async def hanging_cache(self) -> None:
        """Have the caches read requests and answer nothing."""
        self.hangs = True

    async def serve(self) -> None:
        """Answer each request as a cache that has the object, until they hang."""
        while True:
            asked: ReceivedCommand = await self.testbed.next_command()
            if asked.verb == "REQ" and not self.hangs:
                with suppress(*ENDS):
                    await asked.answer("DONE", "tag=4be0c1927d55a6f3,minted=1,why=cached", b"x" * BODY_BYTES)


LOADS: dict[str, Callable[[Load], Awaitable[None]]] = {
    "floods": Load.floods,
    "half-sent": Load.half_sent,
    "hanging cache": Load.hanging_cache,
}


async def send_usual(testbed: FrontTestbed, number: int, results: Counter[str]) -> None:
    """Send requests at a steady rate until cancelled; count those sent, and the answers by their code."""
    caller = await testbed.connect_client()

    async def read() -> None:
        with suppress(*ENDS):
            while True:
                results[f"code {(await caller.next()).code}"] += 1

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        stream = 0
        with suppress(*ENDS):
            while True:
                stream += 1
                request_id = f"{(number + 1 << 48) + stream:016x}"
                raw = client_request(stream, txn=request_id, item=request_id, limit=str(USUAL_LIMIT_MS))
                await caller.send(raw)
                results["sent"] += 1
                await anyio.sleep(USUAL_INTERVAL_S)


async def measure(load: str, limit_mb: int, seconds: float, tree: str) -> str:
    """Run once; return a line with the highest private memory and the usual clients' results."""
    command = [sys.executable, "-OO", "-c", RUN.format(tree=tree)]
    results, peak = Counter[str](), 0
    with tempfile.TemporaryDirectory() as folder:
        async with front_testbed(
            Path(folder), command=command, memory_mb=limit_mb, sockets=SOCKETS, timeout_s=seconds + 60.0
        ) as testbed:
            playing = Load(testbed)
            testbed._tasks.start_soon(playing.serve)
            for number in range(USUAL_CLIENTS):
                testbed._tasks.start_soon(send_usual, testbed, number, results)
            began_at = anyio.current_time()
            has_begun = False
            while (passed := anyio.current_time() - began_at) < WARM_UP_S + seconds:
                if passed >= WARM_UP_S and not has_begun:
                    has_begun = True
                    await LOADS[load](playing)
                peak = max(peak, memory_bytes_of(testbed.process.pid))
                await anyio.sleep(SAMPLE_INTERVAL_S)
    answered = sum(results[f"code {code}"] for code in (1, 2, 3))
    return (
        f"{peak / MB:6.1f} MB of {limit_mb:3} ({peak / MB / limit_mb:4.0%})   usual requests: "
        f"{results['sent']} sent, {results['code 1']} served, {results['code 2']} shed, "
        f"{results['code 3']} failed, {results['sent'] - answered} open at the end"
    )


async def main(arguments: argparse.Namespace) -> None:
    """Run each load at each limit, this checkout and the earlier one in turns; print a line each."""
    trees = {"this": str(Path.cwd())}
    if arguments.earlier:
        trees["earlier"] = str(Path(arguments.earlier).resolve())
    for load in arguments.loads.split(","):
        for limit in map(int, arguments.limits.split(",")):
            for name, tree in trees.items():
                print(f"{load:14} {name:8}", await measure(load, limit, arguments.seconds, tree), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limits", default="32,64,80,192")
    parser.add_argument("--loads", default=",".join(LOADS))
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--earlier", default="")
    anyio.run(main, parser.parse_args(), backend="asyncio")
