"""Tests of the real program with an operator's file, on loopback: reloads, second relays, waits, JSON log.

Guards against a bad file that stops a running front at reload, a reload that changes the plan of a waiting
pull, and a second relay that is sent while the first one to a stalling cache is still in flight.
"""

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
from tests.drive import SAMPLE, Caller, FrontTestbed, ReceivedFrame, client_request, front_testbed
from tests.standins.caches import Answer, Caches
from tests.test_operator import BAD, EXAMPLE

pytestmark = pytest.mark.anyio
WAIT_FILE = """{ version: 1, largest: { maps: '300KB', grids: '300KB' },
  workloads: { maps: { relays: %d, until: 'cut-off', wait: { base: '%dms' } } } }"""
ANSWER_FIELDS = "tag=4be0c1927d55a6f3,minted=1,why=cached"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def wait_for_refusals(testbed: FrontTestbed, previous_count: int) -> None:
    """Wait until the log has more than `previous_count` rejections."""
    await testbed.notifier.wait_until(
        lambda: testbed.output.count(b"; the one that runs stays") > previous_count
    )


async def test_the_front_keeps_serving_after_each_bad_file_at_reload(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text("{ version: 1 }")
    default_settings_files = [file for file in BAD if not file.read_text().startswith("// against")]
    bad = [
        file for file in default_settings_files if not file.stem.startswith("text-") or "endless" in file.stem
    ]
    with anyio.fail_after(200):
        async with front_testbed(tmp_path, operator=path, timeout_s=200) as testbed:
            for number, file in enumerate(bad, 1):
                refused_count = testbed.output.count(b"; the one that runs stays")
                path.write_text(file.read_text())
                testbed.process.send_signal(signal.SIGHUP)
                # Each fault is logged on one line; a reload superseded by a newer file logs none.
                lines = len(file.with_suffix(".reason").read_text().splitlines())
                await wait_for_refusals(testbed, refused_count + lines - 1)
                if number % 16 == 0:  # the front still serves
                    client = await testbed.connect_client()
                    await client.send(client_request(number))
                    relay = await testbed.next_command()
                    await relay.answer("DONE", ANSWER_FIELDS, b"fine")
                    assert (await client.next()).body == b"fine"
            path.write_text("{ version: 1, default: { relays: 2, until: 'cut-off' } }")
            testbed.process.send_signal(signal.SIGHUP)
            await testbed.logged(b"operator's file: taken over, 2 routes")
            counters = await testbed.stop()
            assert counters["operator.refused"] == len(bad) > 50 and counters["operator.taken"] == 1


async def test_a_pull_that_waits_between_relays_keeps_its_plan_across_a_reload(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(WAIT_FILE % (2, 2400))
    async with front_testbed(tmp_path, "cache-2", operator=path) as testbed:
        client = await testbed.connect_client()
        await client.send(client_request(1, limit="9000"))
        await (await testbed.next_command()).answer("BROKE")
        started_at = time.monotonic()
        path.write_text("{ version: 1, default: { relays: 1 } }")
        testbed.process.send_signal(signal.SIGHUP)
        await testbed.logged(b"taken over")
        assert time.monotonic() - started_at < 2.4, "the reload took longer than the wait"
        relay = await testbed.next_command()  # its old plan sends a further relay after the wait
        assert time.monotonic() - started_at >= 2.38
        await relay.answer("DONE", ANSWER_FIELDS, b"late")
        assert (await client.next()).body == b"late"
        await client.send(client_request(2))
        await (await testbed.next_command()).answer("BROKE")
        assert (await client.next()).code == 2  # the new plan sends no further relay
        await testbed.stop()


async def test_the_json_log_has_only_declared_events_and_fields(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text("{ version: 1 }")
    async with front_testbed(tmp_path, operator=path, log="json", listens=b'"front.listens"') as testbed:
        client = await testbed.connect_client()
        await client.send(b"\xff" * 64)
        assert await client.next() and await client.ended()
        path.write_text("{ version: 3 }")
        testbed.process.send_signal(signal.SIGHUP)
        await testbed.logged(b'"operator.refused"')
        testbed.process.send_signal(signal.SIGTERM)
        assert await testbed.process.wait() == 0
        await testbed.logged(b'"at exit"')
        lines = [json.loads(line) for line in testbed.output.decode().splitlines()]
        for line in lines:
            spec = EVENTS[line["event"]]
            fields = {key: value for key, value in line.items() if key not in ("time", "level", "event")}
            assert line["level"] == spec.level and fields.keys() == spec.fields.keys()
            assert all(isinstance(fields[name], field_type) for name, field_type in spec.fields.items())
        refused = next(line for line in lines if line["event"] == "operator.refused")
        assert refused["reason"] == "3 is none of 1" and refused["place"] == "operator.jsonnet:1: "
        assert lines[-1]["counts"]["operator.refused"] == 1


SECOND_RELAY_FILE = """{ version: 1, largest: { maps: '300KB', grids: '300KB' },
  workloads: { maps: { relays: 3, until: 'cut-off', second: { after: '120ms' } },
    grids: { time_outs: { look: '900ms' } } } }"""
STALL_S = 0.45
PULL_COUNT = 2000
MAX_OPEN_PULLS = 24


@asynccontextmanager
async def front_with_caches(folder: Path, caches: Caches, plans: str) -> AsyncIterator[FrontTestbed]:
    """Run the program with simulated caches that run on a thread of their own."""
    path = folder / "operator.jsonnet"
    path.write_text(plans)
    named_addresses = []
    for number, address in enumerate(caches.addresses):
        named_addresses.append((f"cache-{number + 1}", address))
    other_names = (name for name, _ in named_addresses[1:])
    async with front_testbed(
        folder, *other_names, operator=path, timeout_s=120, addresses=dict(named_addresses)
    ) as testbed:
        yield testbed


async def test_with_a_stalling_cache_second_relays_never_leave_two_in_flight(tmp_path: Path) -> None:
    """The simulated caches record relays of one pull that are in flight together.

    Maps continue at another cache after their short time-out, grids wait for the stalling one.
    """

    def behave(cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        # Every fourth answer of the first cache stalls, by turns beyond and at the time of the second relay.
        delay = 0.001
        if cache == 0 and asked % 4 == 0:
            delay = STALL_S if asked % 8 else 0.12
        return delay, "DONE", ANSWER_FIELDS, f"{fields['lane']}-{cache}".encode()

    served: dict[str, list[tuple[float, str]]] = {"maps": [], "grids": []}
    answers: dict[int, int] = {}
    with Caches(3, behave) as caches:
        async with front_with_caches(tmp_path, caches, SECOND_RELAY_FILE) as testbed:

            async def client(first: int, pull_count: int) -> None:
                caller: Caller = await testbed.connect_client()
                open_pulls: dict[int, tuple[float, str]] = {}
                slots = anyio.Semaphore(MAX_OPEN_PULLS)

                async def read() -> None:
                    for _ in range(pull_count):
                        answer: ReceivedFrame = await caller.next()
                        sent_at, lane = open_pulls.pop(answer.stream)
                        answers[answer.code] = answers.get(answer.code, 0) + 1
                        if answer.code == 1:
                            served[lane].append((time.monotonic() - sent_at, answer.body.decode()))
                        slots.release()

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(read)
                    for number in range(1, pull_count + 1):
                        await slots.acquire()
                        lane = "maps" if number % 2 else "grids"
                        open_pulls[number] = (time.monotonic(), lane)
                        item = f"{(first + number) * 2654435761 % (1 << 64):016x}"
                        transaction = f"{first + number:016x}"
                        await caller.send(
                            client_request(
                                number, verb=lane, txn=transaction, limit="2500", item=item, ram="40"
                            )
                        )

            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(client, number * 10_000, PULL_COUNT // 4)
            counters = await testbed.stop()
        assert caches.two_out == []
    assert sum(answers.values()) == PULL_COUNT and answers[1] > 0.98 * PULL_COUNT
    assert counters["relay.given_up"] > 25  # second relays were sent
    at_other_caches = [body for seconds, body in served["maps"] if seconds >= 0.12 and body != "maps-0"]
    stalled_grids = [body for seconds, body in served["grids"] if seconds >= STALL_S]
    stalled_maps = [seconds for seconds, body in served["maps"] if body == "maps-0" and seconds >= STALL_S]
    assert len(at_other_caches) > 25 and len(stalled_grids) > 15
    assert all(body == "grids-0" for body in stalled_grids)
    assert len(stalled_maps) < 0.2 * len(stalled_grids)


async def test_a_reload_superseded_before_it_began_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    applied: list[str] = []
    compiled = load(EXAMPLE, SAMPLE["settings"]).compiled

    class PlanRecorder:
        def update_plans(self, config: CompiledConfig) -> None:
            applied.append(config.digest)

    async def read(path: Path, _: dict[str, object]) -> CompiledConfig:
        await anyio.sleep(0)
        return replace(compiled, digest=path.name)

    monkeypatch.setattr("cometseam.operator.load.load_in_child_async", read)
    reloader = OperatorFileReloader(PlanRecorder())  # type: ignore[arg-type]
    async with anyio.create_task_group() as tasks:
        for name in ("older", "newer"):  # two signals at once: neither reload has begun
            tasks.start_soon(reloader.reload, reloader.start_reload(), Path(name), {})
    assert applied == ["newer"]
