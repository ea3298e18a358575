"""Trails of pulls: which are told, in what bounds, and what a real front logs of one that ends wrongly."""

import json
import signal
from pathlib import Path

import anyio
import pytest

from cometseam.events import EVENTS
from cometseam.tracing import TraceMode, Tracer
from cometseam.tracing.tracer import MAX_EVENTS_PER_TRACE
from tests.drive import order, world


def test_only_pulls_that_end_wrongly_are_told_with_their_steps_from_arrival() -> None:
    tracer = Tracer(TraceMode.WRONG)
    tracer.start_trace(1, "a", "maps", 1000.0, 300.0, 2500.0)
    tracer.record_relay(1, 1000.5, "cache-1", "", 250.0)
    tracer.record_relay_end(1, 1250.5, "cache-1", "timed_out")
    tracer.record_relay(1, 1251.0, "cache-2", "parent-1", 0.0)
    tracer.record_relay_end(1, 1400.0, "cache-2", "done", "filled", "120")
    told = tracer.finish_trace(1, 1400.0, "finished")
    assert told is not None and told.late and told.duration == 400.0 and told.kind == "finished"
    assert told.text() == (
        "0.5 relay cache-1 within 250; 250.5 end cache-1 timed_out; 251.0 relay cache-2 from parent-1; "
        "400.0 end cache-2 done why=filled lag=120"
    )
    tracer.start_trace(2, "b", "maps", 2000.0, 300.0, 2500.0)
    assert tracer.finish_trace(2, 2100.0, "finished") is None  # in time: nothing to tell
    tracer.start_trace(3, "c", "grids", 2000.0, 300.0, 2500.0)
    shed = tracer.finish_trace(3, 2001.0, "shed")
    assert shed is not None and not shed.late and shed.events == ()
    assert len(tracer) == 0


def test_all_tells_pulls_in_time_too_and_off_keeps_nothing() -> None:
    every, off = Tracer(TraceMode.ALL), Tracer(TraceMode.OFF)
    for tracer in (every, off):
        tracer.start_trace(1, "a", "maps", 0.0, 300.0, 2500.0)
        tracer.record_relay(1, 1.0, "cache-1", "", 0.0)
    assert len(off) == 0 and off.finish_trace(1, 5.0, "finished") is None
    told = every.finish_trace(1, 5.0, "finished")
    assert told is not None and not told.late and told.text() == "1.0 relay cache-1"


def test_a_budget_of_lines_holds_when_every_pull_ends_wrongly_and_is_refilled_by_the_clock() -> None:
    tracer = Tracer(TraceMode.WRONG, per_second=20.0, burst=40)
    for number in range(100):
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    told = [tracer.finish_trace(number, 10.0, "errored") for number in range(100)]
    assert sum(each is not None for each in told) == 40 and tracer.suppressed == 60
    for number in range(100, 200):
        tracer.start_trace(number, str(number), "maps", 10.0, 300.0, 2500.0)
    later = [tracer.finish_trace(number, 1010.0, "errored") for number in range(100, 200)]
    assert sum(each is not None for each in later) == 20  # a second at 20 a second
    for number in range(200, 210):  # the clock went back: nothing is refilled
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    assert all(tracer.finish_trace(number, 500.0, "errored") is None for number in range(200, 210))
    assert len(tracer) == 0


def test_the_table_and_each_trail_are_bounded_and_emptied() -> None:
    tracer = Tracer(TraceMode.ALL, max_open=3)
    for number in range(5):
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    assert len(tracer) == 3 and tracer.untraced == 2
    for step in range(MAX_EVENTS_PER_TRACE + 5):
        tracer.record_relay(0, float(step), "cache-1", "", 0.0)
    told = tracer.finish_trace(0, 100.0, "finished")
    assert told is not None and len(told.events) == MAX_EVENTS_PER_TRACE and told.omitted_events == 5
    assert told.text().endswith("5 more")
    tracer.discard_trace(1)
    assert tracer.finish_trace(1, 100.0, "shed") is None  # dropped: never told
    assert tracer.finish_trace(4, 100.0, "shed") is None  # never traced
    tracer.finish_trace(2, 100.0, "shed")
    assert len(tracer) == 0
    with pytest.raises(ValueError):
        Tracer(TraceMode.ALL, per_second=0.0)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_real_front_logs_the_trail_of_a_pull_whose_cache_never_answers(tmp_path: Path) -> None:
    trace = {"COMETSEAM_TRACE": "wrong"}
    with anyio.fail_after(60):
        async with world(tmp_path, log="json", listens=b'"front.listens"', environment=trace) as here:
            client = await here.call()
            await client.send(order(7))
            asked = await here.first()  # and never answered
            await client.next()
            await here.logged(b'"pull.traced"')
            here.process.send_signal(signal.SIGTERM)
            assert await here.process.wait() == 0
            await here.logged(b'"at exit"')
    lines = [json.loads(line) for line in here.output.decode().splitlines()]
    traced = [line for line in lines if line["event"] == "pull.traced"]
    assert len(traced) == 1, traced
    line = traced[0]
    known = EVENTS["pull.traced"]
    assert line.keys() - {"time", "level", "event"} == known.fields.keys()
    assert line["id"] == f"{7:016x}" and line["workload"] == "maps" and line["kind"] != "finished"
    assert line["steps"].split("; ")[0].split(" ")[1:3] == ["relay", asked.cache.name], line["steps"]
    assert lines[-1]["counts"]["trace.told"] == 1
