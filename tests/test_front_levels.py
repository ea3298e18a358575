"""Runs the real program with service levels on loopback: a link at a bound, a restart, a reload, SIGTERM.

Guards against a front that changes level with every swing of its link, or that loses its level in a restart
or a reload. `COMETSEAM_LONG=1` runs the link at its bound for five minutes and prints the results; otherwise
it runs for 26 s, in which the minimum stay allows two changes.
"""

import json
import os
import signal
import time
from collections import Counter
from pathlib import Path

import anyio
import pytest

from tests.drive import Caller, FrontTestbed, client_request, front_testbed
from tests.standins.caches import Answer, Caches

pytestmark = pytest.mark.anyio
LENGTH_S = 300.0 if "COMETSEAM_LONG" in os.environ else 26.0
LEVELS = """{ version: 1, levels: { keep: '%s', spread: 0, steps: [
  { name: 'less',
    enter: { signal: 'link', above: 1.1, 'for': '%s' }, leave: { signal: 'link', below: 0.8, 'for': '1s' },
    measures: { shed: [{ workload: 'maps', share: 0.5 }], later: '400ms' } },
] } }"""
CACHED_COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SimulatedLink:
    """A link whose utilization, as the caches report it, alternates between two values every second."""

    def __init__(self, low: float, high: float) -> None:
        self.low, self.high, self.started_at = low, high, time.monotonic()

    def utilization(self) -> float:
        return self.high if int(time.monotonic() - self.started_at) % 2 else self.low

    def answer(self, cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        return 0.002, "DONE", f"{CACHED_COPY},rep=util:0.5;x1:{self.utilization():.2f}", b"x"


async def send_pulls(front: FrontTestbed, duration_s: float, rate: float, first: int = 0) -> Counter[str]:
    """Request maps and grids at a rate per second, wait for every answer, and count the answers by kind."""
    counts: Counter[str] = Counter()
    caller: Caller = await front.connect_client()
    open_pulls: dict[int, float] = {}
    started_at, done = time.monotonic(), anyio.Event()

    async def read() -> None:
        while not done.is_set() or open_pulls:
            frame = await caller.next()
            if frame.type != 17:
                continue
            if frame.stream not in open_pulls:
                counts["answers without a pull"] += 1
                continue
            sent_at = open_pulls.pop(frame.stream)
            counts["late"] += time.monotonic() - sent_at > 0.25
            counts[{1: "finished", 2: "shed", 3: "errored"}[frame.code]] += 1
            if frame.code == 2:
                counts["with a retry time"] += 400 <= int(frame.fields.get("later", 0)) <= 1000

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        number = 0
        while (elapsed := time.monotonic() - started_at) < duration_s:
            number += 1
            open_pulls[number] = time.monotonic()
            workload = "maps" if number % 2 else "grids"
            object_id = f"{(first + number) * 2654435761 % (1 << 64):016x}"
            await caller.send(
                client_request(number, verb=workload, txn=f"{first + number:016x}", item=object_id, ram="40")
            )
            await anyio.sleep(max(number / rate - elapsed, 0.0))
        counts["sent"] = number
        done.set()
        number += 1
        open_pulls[number] = time.monotonic()
        await caller.send(
            client_request(number, txn=f"{first + number:016x}")
        )  # its answer lets the reader end
        counts["sent"] += 1
    await caller.stream.aclose()
    return counts


def logged_changes(front: FrontTestbed) -> list[str]:
    return [line for line in front.output.decode().splitlines() if "level of service: " in line]


async def launch_options(folder: Path, caches: Caches, text: str) -> dict[str, object]:
    path = folder / "operator.jsonnet"
    path.write_text(text)
    addresses = {f"cache-{number + 1}": address for number, address in enumerate(caches.addresses)}
    return {"operator": path, "addresses": addresses, "timeout_s": LENGTH_S + 60.0}


async def test_a_link_that_crosses_the_bound_every_second_causes_few_changes(tmp_path: Path) -> None:
    link = SimulatedLink(0.7, 1.6)  # the mean over two seconds is just past the bound
    with Caches(2, link.answer) as caches:
        options = await launch_options(tmp_path, caches, LEVELS % ("", "2s"))
        async with front_testbed(tmp_path, "cache-2", **options) as front:  # type: ignore[arg-type]
            counts = await send_pulls(front, LENGTH_S, 60.0)
            counters = await front.stop()
            changes = logged_changes(front)
    if "COMETSEAM_LONG" in os.environ:
        print(f"\n{LENGTH_S:g} s: {dict(counts)}; changes: {changes}")
    assert counts["finished"] + counts["shed"] + counts["errored"] == counts["sent"] > 50 * LENGTH_S
    assert counts["answers without a pull"] == 0 and counts["errored"] == 0
    assert 1 <= len(changes) <= 6 and counters["levels.changes"] == len(changes)
    assert counts["shed"] == counts["with a retry time"] == counters["levels.shed.less"] > 0
    assert counters["levels.left_out.shed.maps"] == counts["shed"]
    assert counts["late"] < 0.02 * counts["sent"]
    assert counters["levels.s_in.less"] >= 10.0 or len(changes) == 1


async def test_a_restart_restores_the_level_and_a_reload_maps_it(tmp_path: Path) -> None:
    link = SimulatedLink(1.6, 1.6)
    snapshot_path = tmp_path / "kept"
    with Caches(2, link.answer) as caches:
        options = await launch_options(tmp_path, caches, LEVELS % (snapshot_path, "1s"))
        async with front_testbed(tmp_path, "cache-2", **options) as front:  # type: ignore[arg-type]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_pulls, front, 3.0, 40.0)
                await front.logged(b"full to less")
            assert await front.stop()  # SIGTERM in the most reduced level
        line = snapshot_path.read_bytes().split(b"\n")[0]
        assert json.loads(line)["level"] == "less"
        async with front_testbed(tmp_path, "cache-2", **options) as front:  # type: ignore[arg-type]
            await front.logged(b"level of service: less, as before the restart")
            assert (await send_pulls(front, 1.0, 40.0))["shed"] > 5  # from its first second on
            path = options["operator"]
            assert isinstance(path, Path)
            path.write_text((LEVELS % (snapshot_path, "1s")).replace("'less'", "'other'"))
            front.process.send_signal(signal.SIGHUP)
            await front.logged(b"level of service: less to other, by another file")
            path.write_text("{ version: 1 }")
            front.process.send_signal(signal.SIGHUP)
            await front.logged(b"level of service: other to full, by another file")
            assert (await send_pulls(front, 1.0, 40.0, first=5000))["shed"] == 0
            await front.stop()
        snapshot_path.write_bytes(b"{}")
        path.write_text(LEVELS % (snapshot_path, "1s"))
        async with front_testbed(tmp_path, "cache-2", **options) as front:  # type: ignore[arg-type]
            await front.logged(b"not kept or not found: torn")
            await front.stop()
