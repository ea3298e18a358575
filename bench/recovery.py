"""The etcd stand-in killed in the middle of writes and started again from its write-ahead file, measured.

Not run by CI. Eight writers put keys again and again; the stand-in is killed with SIGKILL with writes under
way, started again and read. Told are: keys answered before the kill, those of them that are missing or older
after it (a broken promise), the file's size, and the time from the start of the process to its first answer,
beside the same for an empty file.

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

WRITERS = 8


async def _write(
    client: aetcd.Client, writer: int, count: int, answered: dict[bytes, int], done: list[int]
) -> None:
    try:
        for number in range(count):
            key = b"/w/%d/%d" % (writer, number % 500)  # each key is written again and again
            await client.put(key, b"%d" % number)
            answered[key] = number
            done[0] += 1
    except Exception:
        return  # the service was killed: what was not answered is not promised


async def _start(wal: str) -> tuple[float, anyio.abc.Process, int]:
    began = time.monotonic()
    process, port = await start_etcd(wal)
    async with aetcd.Client(port=port) as client:
        await client.get(b"/none")
    return time.monotonic() - began, process, port


async def _end(process: anyio.abc.Process) -> None:
    process.kill()
    await process.wait()


async def play(size: int, random: Random) -> None:
    """Write about so many changes, kill, start again, compare."""
    with tempfile.TemporaryDirectory() as folder:
        empty, process, _ = await _start(str(Path(folder) / "empty.wal"))
        await _end(process)
        wal = str(Path(folder) / "etcd.wal")
        _, process, port = await _start(wal)
        answered: dict[bytes, int] = {}
        done = [0]
        stop_at = int(size * random.uniform(0.8, 0.95))
        async with aetcd.Client(port=port) as client, anyio.create_task_group() as tasks:
            for writer in range(WRITERS):
                tasks.start_soon(_write, client, writer, size // WRITERS, answered, done)
            while done[0] < stop_at:
                await anyio.sleep(0.002)
            await _end(process)  # with writes under way
        took, process, port = await _start(wal)
        lost = 0
        async with aetcd.Client(port=port) as client:
            for key, number in answered.items():
                kv = await client.get(key)
                lost += kv is None or int(kv.value) < number
        await _end(process)
        lines = Path(wal).read_bytes().count(b"\n")
        size_of = f"{lines} changes, {os.path.getsize(wal) / 1e6:.1f} MB"
        kept = f"answered keys {len(answered)}, lost {lost}"
        print(f"{size_of} | {kept} | first answer after {took / empty:.1f} times an empty file's", flush=True)


async def main(words: argparse.Namespace) -> None:
    """Play each size."""
    random = Random(words.seed)
    for size in words.sizes:
        await play(size, random)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[1000, 10_000])
    parser.add_argument("--seed", type=int, default=1)
    anyio.run(main, parser.parse_args(), backend="asyncio")
