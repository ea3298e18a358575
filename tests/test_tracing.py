"""Traces of pulls.

Guards against traces that miss a failed or late pull, report pulls they should not, or use unbounded memory
or log output. The last test checks the trace that a running front logs for a pull whose cache never answers.
"""

import json
import signal
from pathlib import Path

import anyio
import pytest

from cometseam.events import EVENTS
from cometseam.tracing import TraceMode, Tracer
from cometseam.tracing.tracer import MAX_EVENTS_PER_TRACE
from tests.drive import client_request, front_testbed


def test_wrong_mode_reports_only_failed_or_late_pulls_with_event_times_from_arrival() -> None:
    tracer = Tracer(TraceMode.WRONG)
    tracer.start_trace(1, "a", "maps", 1000.0, 300.0, 2500.0)
    tracer.record_relay(1, 1000.5, "cache-1", "", 250.0)
    tracer.record_relay_end(1, 1250.5, "cache-1", "timed_out")
    tracer.record_relay(1, 1251.0, "cache-2", "parent-1", 0.0)
    tracer.record_relay_end(1, 1400.0, "cache-2", "done", "filled", "120")
    trace = tracer.finish_trace(1, 1400.0, "finished")
    assert trace is not None and trace.late and trace.duration == 400.0 and trace.kind == "finished"
    assert trace.text() == (
        "0.5 relay cache-1 within 250; 250.5 end cache-1 timed_out; 251.0 relay cache-2 from parent-1; "
        "400.0 end cache-2 done why=filled lag=120"
    )
    tracer.start_trace(2, "b", "maps", 2000.0, 300.0, 2500.0)
    assert tracer.finish_trace(2, 2100.0, "finished") is None  # in time: not reported
    tracer.start_trace(3, "c", "grids", 2000.0, 300.0, 2500.0)
    shed = tracer.finish_trace(3, 2001.0, "shed")
    assert shed is not None and not shed.late and shed.events == ()
    assert len(tracer) == 0


def test_all_mode_also_reports_pulls_in_time_and_off_mode_records_nothing() -> None:
    all_mode, off_mode = Tracer(TraceMode.ALL), Tracer(TraceMode.OFF)
    for tracer in (all_mode, off_mode):
        tracer.start_trace(1, "a", "maps", 0.0, 300.0, 2500.0)
        tracer.record_relay(1, 1.0, "cache-1", "", 0.0)
    assert len(off_mode) == 0 and off_mode.finish_trace(1, 5.0, "finished") is None
    trace = all_mode.finish_trace(1, 5.0, "finished")
    assert trace is not None and not trace.late and trace.text() == "1.0 relay cache-1"


def test_the_rate_limit_holds_if_every_pull_fails_and_refills_with_the_clock() -> None:
    tracer = Tracer(TraceMode.WRONG, per_second=20.0, burst=40)
    for number in range(100):
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    traces = [tracer.finish_trace(number, 10.0, "errored") for number in range(100)]
    assert sum(each is not None for each in traces) == 40 and tracer.suppressed == 60
    for number in range(100, 200):
        tracer.start_trace(number, str(number), "maps", 10.0, 300.0, 2500.0)
    refilled = [tracer.finish_trace(number, 1010.0, "errored") for number in range(100, 200)]
    assert sum(each is not None for each in refilled) == 20  # one second at 20 a second
    for number in range(200, 210):  # the clock went backwards: no refill
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    assert all(tracer.finish_trace(number, 500.0, "errored") is None for number in range(200, 210))
    assert len(tracer) == 0


def test_the_number_of_traces_and_their_events_are_bounded_and_traces_are_removed() -> None:
    tracer = Tracer(TraceMode.ALL, max_open=3)
    for number in range(5):
        tracer.start_trace(number, str(number), "maps", 0.0, 300.0, 2500.0)
    assert len(tracer) == 3 and tracer.untraced == 2
    for index in range(MAX_EVENTS_PER_TRACE + 5):
        tracer.record_relay(0, float(index), "cache-1", "", 0.0)
    trace = tracer.finish_trace(0, 100.0, "finished")
    assert trace is not None and len(trace.events) == MAX_EVENTS_PER_TRACE and trace.omitted_events == 5
    assert trace.text().endswith("5 more")
    tracer.discard_trace(1)
    assert tracer.finish_trace(1, 100.0, "shed") is None  # discarded: not reported
    assert tracer.finish_trace(4, 100.0, "shed") is None  # never traced
    tracer.finish_trace(2, 100.0, "shed")
    assert len(tracer) == 0
    with pytest.raises(ValueError):
        Tracer(TraceMode.ALL, per_second=0.0)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_front_logs_the_trace_of_a_pull_whose_cache_never_answers(tmp_path: Path) -> None:
    environment = {"COMETSEAM_TRACE": "wrong"}
    with anyio.fail_after(60):
        async with front_testbed(
            tmp_path, log="json", listens=b'"front.listens"', environment=environment
        ) as testbed:
            client = await testbed.connect_client()
            await client.send(client_request(7))
            attempt = await testbed.next_command()  # never answered
            await client.next()
            await testbed.logged(b'"pull.traced"')
            testbed.process.send_signal(signal.SIGTERM)
            assert await testbed.process.wait() == 0
            await testbed.logged(b'"at exit"')
    lines = [json.loads(line) for line in testbed.output.decode().splitlines()]
    traces = [line for line in lines if line["event"] == "pull.traced"]
    assert len(traces) == 1, traces
    line = traces[0]
    spec = EVENTS["pull.traced"]
    assert line.keys() - {"time", "level", "event"} == spec.fields.keys()
    assert line["id"] == f"{7:016x}" and line["workload"] == "maps" and line["kind"] != "finished"
    assert line["steps"].split("; ")[0].split(" ")[1:3] == ["relay", attempt.cache.name], line["steps"]
    assert lines[-1]["counts"]["trace.told"] == 1
