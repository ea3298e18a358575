"""Measures recovery of the simulated etcd, killed during writes and restarted from its write-ahead file.

Not run by CI. Eight writers put keys repeatedly; the process is killed with SIGKILL while writes are under
way, restarted and read. Prints the keys answered before the kill, those of them that are lost or older
afterwards (a broken guarantee), the file's size, and the time from the start of the process to its first
answer, relative to that with an empty file.

    python -m bench.recovery --sizes 1000 10000 --seed 1
"""

import argparse
import os
import tempfile
import time
from pathlib import Path
from random import Random

import aetcd
import anyio

from tests.standins.fleet import start_etcd

WRITER_COUNT = 8


async def _write(
    client: aetcd.Client, writer: int, count: int, answered: dict[bytes, int], writes_done: list[int]
) -> None:
    try:
        for number in range(count):
            key = b"/w/%d/%d" % (writer, number % 500)  # each key is written repeatedly
            await client.put(key, b"%d" % number)
            answered[key] = number
            writes_done[0] += 1
    except Exception:
        return  # the service was killed; an unanswered write carries no guarantee


async def _start(wal: str) -> tuple[float, anyio.abc.Process, int]:
    began_at = time.monotonic()
    process, port = await start_etcd(wal)
    async with aetcd.Client(port=port) as client:
        await client.get(b"/none")
    return time.monotonic() - began_at, process, port


async def _kill(process: anyio.abc.Process) -> None:
    process.kill()
    await process.wait()


async def measure(size: int, random: Random) -> None:
    """Write most of `size` changes, kill the process, restart it, and compare."""
    with tempfile.TemporaryDirectory() as folder:
        empty_start_s, process, _ = await _start(str(Path(folder) / "empty.wal"))
        await _kill(process)
        wal = str(Path(folder) / "etcd.wal")
        _, process, port = await _start(wal)
        answered: dict[bytes, int] = {}
        writes_done = [0]
        stop_at = int(size * random.uniform(0.8, 0.95))
        async with aetcd.Client(port=port) as client, anyio.create_task_group() as tasks:
            for writer in range(WRITER_COUNT):
                tasks.start_soon(_write, client, writer, size // WRITER_COUNT, answered, writes_done)
            while writes_done[0] < stop_at:
                await anyio.sleep(0.002)
            await _kill(process)  # with writes under way
        start_s, process, port = await _start(wal)
        lost = 0
        async with aetcd.Client(port=port) as client:
            for key, number in answered.items():
                stored = await client.get(key)
                lost += stored is None or int(stored.value) < number
        await _kill(process)
        lines = Path(wal).read_bytes().count(b"\n")
        file_size = f"{lines} changes, {os.path.getsize(wal) / 1e6:.1f} MB"
        key_counts = f"answered keys {len(answered)}, lost {lost}"
        print(
            f"{file_size} | {key_counts} | "
            f"first answer after {start_s / empty_start_s:.1f} times an empty file's",
            flush=True,
        )


async def main(arguments: argparse.Namespace) -> None:
    """Measure each size."""
    random = Random(arguments.seed)
    for size in arguments.sizes:
        await measure(size, random)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[1000, 10_000])
    parser.add_argument("--seed", type=int, default=1)
    anyio.run(main, parser.parse_args(), backend="asyncio")
