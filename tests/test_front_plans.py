"""The real program with an operator's file, on loopback: reloads, second copies, waits, the JSON log."""

import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from cometseam.events import EVENTS
from cometseam.operator import CompiledConfig
from cometseam.operator.load import load
from cometseam.program import OperatorFileReloader
from tests.drive import SAMPLE, Caller, Got, World, order, world
from tests.standins.caches import Answer, Caches
from tests.test_operator import BAD, EXAMPLE

pytestmark = pytest.mark.anyio
GOOD = """{ version: 1, largest: { maps: '300KB', grids: '300KB' },
  workloads: { maps: { relays: %d, until: 'cut-off', wait: { base: '%dms' } } } }"""
COPY = "tag=4be0c1927d55a6f3,minted=1,why=cached"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def refused_again(here: World, had: int) -> None:
    """Wait until the log tells of more refusals than it had."""
    await here.news.until(lambda: here.output.count(b"; the one that runs stays") > had)


async def test_the_front_goes_on_after_each_bad_file_at_reload(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text("{ version: 1 }")
    plain = [file for file in BAD if not file.read_text().startswith("// against")]
    bad = [file for file in plain if not file.stem.startswith("text-") or "endless" in file.stem]
    with anyio.fail_after(200):
        async with world(tmp_path, operator=path, patience=200) as here:
            for number, file in enumerate(bad, 1):
                refused = here.output.count(b"; the one that runs stays")
                path.write_text(file.read_text())
                here.process.send_signal(signal.SIGHUP)
                # Each fault is a line: a reading that is given up for a newer file would log none.
                lines = len(file.with_suffix(".reason").read_text().splitlines())
                await refused_again(here, refused + lines - 1)
                if number % 16 == 0:  # it serves as before
                    client = await here.call()
                    await client.send(order(number))
                    asked = await here.first()
                    await asked.answer("DONE", COPY, b"fine")
                    assert (await client.next()).body == b"fine"
            path.write_text("{ version: 1, default: { relays: 2, until: 'cut-off' } }")
            here.process.send_signal(signal.SIGHUP)
            await here.logged(b"operator's file: taken over, 2 routes")
            counters = await here.stop()
            assert counters["operator.refused"] == len(bad) > 50 and counters["operator.taken"] == 1


async def test_a_pull_that_waits_between_relays_keeps_its_plan_across_a_reload(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(GOOD % (2, 2400))
    async with world(tmp_path, "cache-2", operator=path) as here:
        client = await here.call()
        await client.send(order(1, limit="9000"))
        await (await here.first()).answer("BROKE")
        began = time.monotonic()
        path.write_text("{ version: 1, default: { relays: 1 } }")
        here.process.send_signal(signal.SIGHUP)
        await here.logged(b"taken over")
        assert time.monotonic() - began < 2.4, "the reload took longer than the wait"
        asked = await here.first()  # by its old plan a further relay goes, after its wait
        assert time.monotonic() - began >= 2.38
        await asked.answer("DONE", COPY, b"late")
        assert (await client.next()).body == b"late"
        await client.send(order(2))
        await (await here.first()).answer("BROKE")
        assert (await client.next()).code == 2  # by the new plan none goes
        await here.stop()


async def test_the_log_as_json_holds_only_events_of_the_vocabulary(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text("{ version: 1 }")
    async with world(tmp_path, operator=path, log="json", listens=b'"front.listens"') as here:
        client = await here.call()
        await client.send(b"\xff" * 64)
        assert await client.next() and await client.ended()
        path.write_text("{ version: 3 }")
        here.process.send_signal(signal.SIGHUP)
        await here.logged(b'"operator.refused"')
        here.process.send_signal(signal.SIGTERM)
        assert await here.process.wait() == 0
        await here.logged(b'"at exit"')
        lines = [json.loads(line) for line in here.output.decode().splitlines()]
        for line in lines:
            known = EVENTS[line["event"]]
            fields = {key: value for key, value in line.items() if key not in ("time", "level", "event")}
            assert line["level"] == known.level and fields.keys() == known.fields.keys()
            assert all(isinstance(fields[name], kind) for name, kind in known.fields.items())
        refused = next(line for line in lines if line["event"] == "operator.refused")
        assert refused["reason"] == "3 is none of 1" and refused["place"] == "operator.jsonnet:1: "
        assert lines[-1]["counts"]["operator.refused"] == 1


PLANS = """{ version: 1, largest: { maps: '300KB', grids: '300KB' },
  workloads: { maps: { relays: 3, until: 'cut-off', second: { after: '120ms' } },
    grids: { time_outs: { look: '900ms' } } } }"""
STALL, PULLS, AT_ONCE = 0.45, 2000, 24


@asynccontextmanager
async def among(folder: Path, caches: Caches, plans: str) -> AsyncIterator[World]:
    """The program with a list of stand-ins that run in a thread of their own."""
    path = folder / "operator.jsonnet"
    path.write_text(plans)
    lines = []
    for number, address in enumerate(caches.addresses):
        lines.append((f"cache-{number + 1}", address))
    more = (name for name, _ in lines[1:])
    async with world(folder, *more, operator=path, patience=120, at=dict(lines)) as here:
        yield here


async def test_beside_a_cache_that_stalls_second_copies_never_leave_two_relays_out(tmp_path: Path) -> None:
    """The judge is the stand-ins' own record. Maps go on elsewhere in their short time, grids wait."""

    def behave(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        # Every fourth answer of the first cache stalls: now past the give-up, now just about at it.
        delay = 0.001
        if cache == 0 and asked % 4 == 0:
            delay = STALL if asked % 8 else 0.12
        return delay, "DONE", COPY, f"{fields['lane']}-{cache}".encode()

    took: dict[str, list[tuple[float, str]]] = {"maps": [], "grids": []}
    answers: dict[int, int] = {}
    with Caches(3, behave) as caches:
        async with among(tmp_path, caches, PLANS) as here:

            async def client(first: int, share: int) -> None:
                caller: Caller = await here.call()
                open_: dict[int, tuple[float, str]] = {}
                room = anyio.Semaphore(AT_ONCE)

                async def read() -> None:
                    for _ in range(share):
                        got: Got = await caller.next()
                        at, lane = open_.pop(got.stream)
                        answers[got.code] = answers.get(got.code, 0) + 1
                        if got.code == 1:
                            took[lane].append((time.monotonic() - at, got.body.decode()))
                        room.release()

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(read)
                    for number in range(1, share + 1):
                        await room.acquire()
                        lane = "maps" if number % 2 else "grids"
                        open_[number] = (time.monotonic(), lane)
                        item = f"{(first + number) * 2654435761 % (1 << 64):016x}"
                        txn = f"{first + number:016x}"
                        await caller.send(
                            order(number, verb=lane, txn=txn, limit="2500", item=item, ram="40")
                        )

            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(client, number * 10_000, PULLS // 4)
            counters = await here.stop()
        assert caches.two_out == []
    assert sum(answers.values()) == PULLS and answers[1] > 0.98 * PULLS
    assert counters["relay.given_up"] > 25  # second copies went
    elsewhere = [told for at, told in took["maps"] if at >= 0.12 and told != "maps-0"]
    waited = [told for at, told in took["grids"] if at >= STALL]
    stalled = [at for at, told in took["maps"] if told == "maps-0" and at >= STALL]
    assert len(elsewhere) > 25 and len(waited) > 15
    assert all(told == "grids-0" for told in waited)
    assert len(stalled) < 0.2 * len(waited)


async def test_a_reading_that_a_newer_one_overtook_before_it_began_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    taken: list[str] = []
    compiled = load(EXAMPLE, SAMPLE["settings"]).compiled

    class Told:
        def update_plans(self, new: CompiledConfig) -> None:
            taken.append(new.digest)

    async def read(path: Path, _: dict[str, object]) -> CompiledConfig:
        await anyio.sleep(0)
        return replace(compiled, digest=path.name)

    monkeypatch.setattr("cometseam.operator.load.load_in_child_async", read)
    reader = OperatorFileReloader(Told())  # type: ignore[arg-type]
    async with anyio.create_task_group() as tasks:
        for name in ("older", "newer"):  # two signals at once: neither reading has begun
            tasks.start_soon(reader.reload, reader.start_reload(), Path(name), {})
    assert taken == ["newer"]
