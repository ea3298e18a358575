"""The real program with levels, on loopback: a stand-in link crosses the bound, a restart, a reload, SIGTERM.

`COMETSEAM_LONG=1` plays the five minutes at the boundary in real time and prints what it saw; without it
the same is played in half a minute's time, which the least stay allows two changes.
"""

import json
import os
import signal
import time
from collections import Counter
from pathlib import Path

import anyio
import pytest

from tests.drive import Caller, World, order, world
from tests.standins.caches import Answer, Caches

pytestmark = pytest.mark.anyio
LENGTH = 300.0 if "COMETSEAM_LONG" in os.environ else 26.0  # s
LEVELS = """{ version: 1, levels: { keep: '%s', spread: 0, steps: [
  { name: 'less',
    enter: { signal: 'link', above: 1.1, 'for': '%s' }, leave: { signal: 'link', below: 0.8, 'for': '1s' },
    measures: { shed: [{ workload: 'maps', share: 0.5 }], later: '400ms' } },
] } }"""
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Link:
    """A stand-in link: what the caches tell of it goes by the clock, across the bound every second."""

    def __init__(self, low: float, high: float) -> None:
        self.low, self.high, self.began = low, high, time.monotonic()

    def full(self) -> float:
        return self.high if int(time.monotonic() - self.began) % 2 else self.low

    def behave(self, cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        return 0.002, "DONE", f"{COPY},rep=util:0.5;x1:{self.full():.2f}", b"x"


async def pulls(here: World, length: float, rate: float, first: int = 0) -> Counter[str]:
    """Ask for maps and grids at a rate, and count each stream's answers; each must have one."""
    seen: Counter[str] = Counter()
    caller: Caller = await here.call()
    open_: dict[int, float] = {}
    began, done = time.monotonic(), anyio.Event()

    async def read() -> None:
        while not done.is_set() or open_:
            got = await caller.next()
            if got.type != 17:
                continue
            if got.stream not in open_:
                seen["answers without a pull"] += 1
                continue
            at = open_.pop(got.stream)
            seen["late"] += time.monotonic() - at > 0.25
            seen[{1: "finished", 2: "shed", 3: "errored"}[got.code]] += 1
            if got.code == 2:
                seen["told when to return"] += 400 <= int(got.fields.get("later", 0)) <= 1000

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        number = 0
        while (passed := time.monotonic() - began) < length:
            number += 1
            open_[number] = time.monotonic()
            lane = "maps" if number % 2 else "grids"
            item = f"{(first + number) * 2654435761 % (1 << 64):016x}"
            await caller.send(order(number, verb=lane, txn=f"{first + number:016x}", item=item, ram="40"))
            await anyio.sleep(max(number / rate - passed, 0.0))
        seen["asked"] = number
        done.set()
        number += 1
        open_[number] = time.monotonic()
        await caller.send(order(number, txn=f"{first + number:016x}"))  # wakes the reader for the last time
        seen["asked"] += 1
    await caller.stream.aclose()
    return seen


def changes(here: World) -> list[str]:
    return [line for line in here.output.decode().splitlines() if "level of service: " in line]


async def start(folder: Path, caches: Caches, text: str) -> dict[str, object]:
    path = folder / "operator.jsonnet"
    path.write_text(text)
    at = {f"cache-{number + 1}": address for number, address in enumerate(caches.addresses)}
    return {"operator": path, "at": at, "patience": LENGTH + 60.0}


async def test_a_link_across_the_bound_every_second_makes_few_changes(tmp_path: Path) -> None:
    link = Link(0.7, 1.6)  # its mean of two seconds lies just past the bound
    with Caches(2, link.behave) as caches:
        words = await start(tmp_path, caches, LEVELS % ("", "2s"))
        async with world(tmp_path, "cache-2", **words) as here:  # type: ignore[arg-type]
            seen = await pulls(here, LENGTH, 60.0)
            counters = await here.stop()
            told = changes(here)
    if "COMETSEAM_LONG" in os.environ:
        print(f"\n{LENGTH:g} s: {dict(seen)}; changes: {told}")
    assert seen["finished"] + seen["shed"] + seen["errored"] == seen["asked"] > 50 * LENGTH
    assert seen["answers without a pull"] == 0 and seen["errored"] == 0
    assert 1 <= len(told) <= 6 and counters["levels.changes"] == len(told)
    assert seen["shed"] == seen["told when to return"] == counters["levels.shed.less"] > 0
    assert counters["levels.left_out.shed.maps"] == seen["shed"]
    assert seen["late"] < 0.02 * seen["asked"]
    assert counters["levels.s_in.less"] >= 10.0 or len(told) == 1


async def test_a_restart_finds_its_level_and_a_reload_maps_it(tmp_path: Path) -> None:
    link = Link(1.6, 1.6)
    kept = tmp_path / "kept"
    with Caches(2, link.behave) as caches:
        words = await start(tmp_path, caches, LEVELS % (kept, "1s"))
        async with world(tmp_path, "cache-2", **words) as here:  # type: ignore[arg-type]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pulls, here, 3.0, 40.0)
                await here.logged(b"full to less")
            assert await here.stop()  # SIGTERM in the lowest level
        line = kept.read_bytes().split(b"\n")[0]
        assert json.loads(line)["level"] == "less"
        async with world(tmp_path, "cache-2", **words) as here:  # type: ignore[arg-type]
            await here.logged(b"level of service: less, as before the restart")
            assert (await pulls(here, 1.0, 40.0))["shed"] > 5  # from its first second on
            path = words["operator"]
            assert isinstance(path, Path)
            path.write_text((LEVELS % (kept, "1s")).replace("'less'", "'other'"))
            here.process.send_signal(signal.SIGHUP)
            await here.logged(b"level of service: less to other, by another file")
            path.write_text("{ version: 1 }")
            here.process.send_signal(signal.SIGHUP)
            await here.logged(b"level of service: other to full, by another file")
            assert (await pulls(here, 1.0, 40.0, first=5000))["shed"] == 0
            await here.stop()
        kept.write_bytes(b"{}")
        path.write_text(LEVELS % (kept, "1s"))
        async with world(tmp_path, "cache-2", **words) as here:  # type: ignore[arg-type]
            await here.logged(b"not kept or not found: torn")
            await here.stop()
