"""The real program on loopback among stand-ins written for these tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from tests.drive import ENDS, SAMPLE, Got, fields_of, frame, order, resp, world

pytestmark = pytest.mark.anyio
TAG, OBJECT = "4be0c1927d55a6f3", "7f3a9c21e0b4d655"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_pull_is_served_whole_whatever_way_its_bytes_come(tmp_path: Path) -> None:
    body = os.urandom(200_000)
    async with world(tmp_path) as here:
        caller = await here.call()
        await here.logged(b"discovery confirms")
        await caller.send(frame(32, 7))
        assert await caller.next() == Got(33, 7, 1)
        for byte in order(1, body=b"as it is", got=TAG):
            await caller.send(bytes([byte]))
        look = await here.caches["cache-1"].next()
        assert look.parts[:2] == ["REQ", f"{1:016x}"] and look.body == b"as it is"
        told = look.fields
        assert 0 < int(told.pop("ttl")) <= 2500
        assert told == {"lane": "maps", "name": OBJECT, "piece": "3", "opts": "ride", "known": TAG}
        await look.answer("LACK", "rep=util:0.5;x1:0.1")
        fill = await here.caches["cache-1"].next()
        assert fill.fields["via"] == "parent-1" and fill.fields["tier"] == "1"
        await fill.answer("DONE", f"tag={TAG},minted=1,why=fetched,lag=3.5", body)
        assert await caller.next() == Got(17, 1, 1, {}, body)
        await caller.send(order(2, got=TAG))
        await (await here.caches["cache-1"].next()).answer("KEEP", f"tag={TAG},minted=1,why=cached")
        assert await caller.next() == Got(17, 2, 1, {"ok304": "1"})
        counts = await here.stop()
        assert counts["answer.served"] == 2 and counts["relay.lack"] == 1 and counts["relay.done"] == 1


async def test_answers_come_in_any_order_and_joined_requests_are_told_apart(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1), order(2, item="00000000000000aa"), order(3, item="00000000000000bb"))
        asked = [await here.caches["cache-1"].next() for _ in range(3)]
        for look in reversed(asked):
            await look.answer("DONE", f"tag={TAG},minted=1,why=cached", look.id.encode())
            assert (await caller.next()).body == look.id.encode()


@pytest.mark.parametrize(
    ("raw", "stream", "reason"),
    [
        (order(1, txn=None), 1, "txn"),
        (order(1, item="xyz"), 1, "item"),
        (order(1, limit="soon"), 1, "limit"),
        (order(1, limit="0"), 1, "limit"),
        (order(1, nth="-1"), 1, "nth"),
        (order(1, nth="\u0663"), 1, "nth"),
        (order(1, ram="nan"), 1, "ram"),
        (order(1, ram="4_1"), 1, "ram"),
        (order(1, limit=" 15"), 1, "limit"),
        (frame(16, 1, b"\x02" + 2 * fields_of({"verb": "maps"})[1:]), 1, "twice"),
        (order(1, batch="300"), 1, "batch"),
        (order(1, got="short"), 1, "got"),
        (order(1, verb="unheard"), 1, "verb"),
        (frame(16, 1, fields_of({"verb": "maps"})[:-2]), 1, "fields"),
        (frame(16, 0, b"\0"), 0, "new"),
        (frame(99, 5), 0, "99"),
    ],
)
async def test_what_a_client_gets_wrong_is_told_and_reaches_no_cache(
    tmp_path: Path, raw: bytes, stream: int, reason: str
) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(raw)
        got = await caller.next()
        assert (got.type, got.stream, got.code) == (17, stream, 3) and reason in got.fields["reason"]
        assert await caller.ended()  # or it would send the same again as soon as it is turned away
        other = await here.call()
        await other.send(order(2))
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"fine")
        assert (await other.next()).body == b"fine"
        assert [asked.id for asked in here.caches["cache-1"].asked] == [f"{2:016x}"]


async def test_lost_framing_ends_a_connection_after_what_is_open_on_it(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1), b"\xff\xff\xff\xff\0\0\0\0\0")
        got = await caller.next()
        assert (got.stream, got.code) == (0, 3)
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"still")
        assert (await caller.next()).body == b"still"
        assert await caller.ended()


async def test_no_more_than_32_are_open_and_no_stream_is_used_twice(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(*(order(stream) for stream in range(1, 34)), order(34))
        over = await caller.next()
        assert (over.stream, over.code) == (33, 3) and "many" in over.fields["reason"]
        for _ in range(32):
            await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
        assert sorted([(await caller.next()).stream for _ in range(32)]) == list(range(1, 33))
        assert await caller.ended()
        other = await here.call()
        await other.send(order(5), order(5, txn="a" * 16))
        twice = await other.next()
        assert (twice.stream, twice.code) == (0, 3) and "new" in twice.fields["reason"]


async def test_an_id_that_is_open_already_is_refused_wherever_it_comes_from(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller, other = await here.call(), await here.call()
        await caller.send(order(1))
        asked = await here.caches["cache-1"].next()
        await other.send(order(1, item="00000000000000aa"))
        got = await other.next()
        assert (got.stream, got.code) == (1, 3) and "txn" in got.fields["reason"] and await other.ended()
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).body == b"x"
        await caller.send(order(2, txn=f"{1:016x}"))  # it is open no more
        assert (await here.caches["cache-1"].next()).fields["name"] == OBJECT


async def test_a_cache_that_only_lives_is_told_to_stop_before_another_is_asked(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2") as here:
        here.caches["cache-1"].alive = here.caches["cache-2"].alive = True
        caller = await here.call()
        await caller.send(order(1))
        first = await here.first()
        other = here.caches["cache-2" if first.cache.name == "cache-1" else "cache-1"]
        stop = await first.cache.next()
        assert stop.parts == ["STOP", first.id] and not other.asked
        assert first.cache.doubted >= 1 and not first.cache.ended
        second = await other.next()
        await first.answer("DONE", f"tag={TAG},minted=1", b"late")
        await second.answer("DONE", f"tag={TAG},minted=1", b"in time")
        assert (await caller.next()).body == b"in time"
        await caller.send(frame(32, 1))
        assert (await caller.next()).type == 33  # and nothing of the late answer before it


@pytest.mark.parametrize("half", [b"", b"*4\r\n$16\r\n", resp("1", "DONE", f"tag={TAG}", bytes(99))[:-50]])
async def test_a_silent_connection_is_ended_and_all_that_is_out_on_it_goes_on(
    tmp_path: Path, half: bytes
) -> None:
    async with world(tmp_path, "cache-2") as here:
        caller = await here.call()
        await caller.send(order(1, ram="400"))
        first = await here.first()
        other = here.caches["cache-2" if first.cache.name == "cache-1" else "cache-1"]
        await first.stream.send(half)
        await here.news.until(lambda: first.cache.ended)  # long before its relay would time out
        assert first.cache.doubted == (not half) and len(first.cache.asked) == 1  # nothing was stopped
        second = await here.first()
        assert second.id == first.id and second.cache is other
        await second.answer("DONE", f"tag={TAG},minted=1", b"anew")
        assert (await caller.next()).body == b"anew"


async def test_more_than_was_asked_for_harms_nothing_beside_it(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller, cache = await here.call(), here.caches["cache-1"]
        await caller.send(order(1))
        look = await cache.next()
        await caller.send(order(2, item="00000000000000aa"))
        beside = await cache.next()
        stray = resp("f" * 16, "DONE", f"tag={TAG},minted=1", b"nobody's")
        lack = resp(look.id, "LACK", "-", b"")
        await look.stream.send(stray + lack + lack)
        fill = await cache.next()
        assert fill.id == look.id and fill.stream is not look.stream  # a second copy is not its answer
        await beside.answer("DONE", f"tag={TAG},minted=1", b"beside")
        assert (await caller.next()).body == b"beside"
        await fill.answer("DONE", f"tag={TAG},minted=1", b"one")
        assert (await caller.next()).body == b"one"
        for _ in range(40):
            await look.stream.send(stray)
        await here.news.until(lambda: cache.ended)  # it sends far more than it is asked for
        counts = await here.stop()
        assert counts["answer.served"] == 2 and counts["peer.late_answer"] == 1
        assert counts["peer.stray_answer"] > 32 and counts["peer.bad_input"] == 1


async def test_a_copy_that_the_client_does_not_hold_is_never_said_to_hold(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1))
        await (await here.caches["cache-1"].next()).answer("KEEP", f"tag={TAG},minted=1")
        await here.news.until(lambda: here.caches["cache-1"].ended)
        counts = await here.stop()
        assert counts["peer.bad_input"] == 1 and "answer.served" not in counts


async def test_a_connection_that_breaks_or_lies_ends_its_relays_and_the_pull_goes_on(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2", "cache-3") as here:
        caller = await here.call()
        await caller.send(order(1))
        first = await here.first()
        await first.stream.send(b"$nonsense\r\n")
        second = await here.first()
        assert second.cache is not first.cache
        await second.stream.aclose()
        got = await caller.next()  # the third stays silent, and the module is out of credit
        assert (got.stream, got.code) == (1, 2) and int(got.fields["later"]) == 250
        counts = await here.stop()
        assert counts["relay.broken"] == 2 and counts["peer.bad_input"] == 1


async def test_a_cache_that_refuses_connections_costs_no_pull(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2") as here:
        gone = here.line("cache-1", address="127.0.0.1:1")
        here.tell(fleet={"index": 2, "snapshot": False, "endpoints": [gone]})
        await here.polled_from(2)
        caller = await here.call()
        for stream in range(1, 9):
            await caller.send(order(stream, item=f"{stream:016x}"))
            await (await here.caches["cache-2"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await here.stop()
        assert counts["relay.unconnected"] >= 1 and counts["answer.served"] == 8


async def test_a_client_that_hangs_up_has_its_relay_stopped(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1))
        asked = await here.caches["cache-1"].next()
        await caller.send(frame(18, 1))
        assert (await here.caches["cache-1"].next()).parts == ["STOP", asked.id]
        await caller.send(order(2))
        second = await here.caches["cache-1"].next()
        await caller.stream.aclose()
        assert (await here.caches["cache-1"].next()).parts == ["STOP", second.id]


async def test_a_purge_and_a_drain_reach_the_next_pull(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2") as here:
        drained = here.line("cache-1", status="leaving")
        here.tell(invalidate={"object": OBJECT, "time": round(1000.0 * time.time()) - 3000})
        here.tell(invalidate={"bucket": 18, "time": 1})
        here.tell(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        await here.polled_from(4)
        caller = await here.call()
        for stream, batch in ((1, "17"), (2, "18")):
            item = f"{int(OBJECT, 16) + stream - 1:016x}"
            await caller.send(order(stream, verb="grids", item=item, batch=batch))
            asked = await here.caches["cache-2"].next()
            # News of 1970 is believed to be of at most 10 s ago: the stricter bound on copies.
            oldest = int(asked.fields["fresh"])
            assert 3000 <= oldest < 6000 if stream == 1 else 9900 <= oldest < 14_000
        assert not here.caches["cache-1"].asked


async def test_what_the_change_log_gets_wrong_leaves_the_list_and_comes_right(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2") as here:
        odd = here.line("cache-1", zone="nowhere")
        strange = {"seq": 2, "fleet": {"snapshot": False, "endpoints": [odd]}}
        nameless = {key: value for key, value in here.line("cache-1").items() if key != "name"}
        bad = [
            b"{", b"[]", b'{"seq":9}',
            json.dumps({"seq": 7, "results": [{"seq": 7, "invalidate": {"bucket": 1, "time": 1}}]}).encode(),
            json.dumps({"seq": 2, "results": [strange]}).encode(),
            json.dumps(here.config["known"]).encode(),  # what the front has already
        ]  # fmt: skip
        await here.break_log(*bad)
        here.tell(fleet={"snapshot": False, "endpoints": [nameless]})  # never usable: passed over
        here.tell(fleet={"snapshot": False, "endpoints": [here.line("cache-1", status="left")]})
        await here.polled_from(3)
        caller = await here.call()
        for stream in range(1, 9):
            await caller.send(order(stream, item=f"{stream:016x}"))
            await (await here.caches["cache-2"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await here.stop()
        assert counts["changelog.failed"] >= len(bad) - 1 and counts["changelog.passed_over"] == 1
        assert counts["changelog.repeated"] == 1


async def test_a_new_cache_may_have_the_address_of_one_that_has_gone(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller, cache = await here.call(), here.caches["cache-1"]
        told = [
            [here.line("cache-1", status="left"), here.line("cache-1", name="cache-9")],
            [here.line("cache-1", name="cache-9", status="left"), here.line("cache-1", since_ms=1)],
        ]
        for stream, lines in enumerate(told, 1):
            here.tell(fleet={"snapshot": False, "endpoints": lines})
            await here.polled_from(1 + stream)
            await caller.send(order(stream))
            await (await cache.next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await here.stop()
        assert counts["peer.connected"] == 2 and cache.ended == 2


async def test_sigterm_answers_what_is_open_and_what_still_comes(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1))
        asked = await here.caches["cache-1"].next()
        here.process.send_signal(signal.SIGTERM)
        assert (await caller.next()).type == 48
        late = await here.call()
        assert (await late.next()).type == 48
        await late.send(frame(32, 1), order(2))
        assert await late.next() == Got(33, 1, 2)
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"two")
        assert (await late.next()).body == b"two"
        await asked.answer("DONE", f"tag={TAG},minted=1", b"one")
        assert (await caller.next()).body == b"one"
        counts = await here.end()
        assert counts["answer.served"] == 2


async def test_a_pull_half_read_at_the_end_and_further_signals_cost_nothing(tmp_path: Path) -> None:
    """It would end at 0.7 s: a frame that has begun is waited for; signals meanwhile change nothing."""
    async with world(tmp_path) as here:
        caller, raw = await here.call(), order(1, body=bytes(70_000))
        await caller.send(frame(32, 1), raw[:60_000])
        assert (await caller.next()).type == 33  # what came before it is read, so it has begun
        here.process.send_signal(signal.SIGTERM)
        assert (await caller.next()).type == 48
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            here.process.send_signal(number)
        with anyio.move_on_after(0.9):  # past the time at which it would have ended
            await here.process.wait()
        assert here.process.returncode is None
        await caller.send(raw[60_000:])
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"whole")
        assert (await caller.next()).body == b"whole" and await caller.ended()
        counts = await here.end()
        assert counts["answer.served"] == 1


async def test_an_answer_written_just_before_the_end_comes_whole_to_a_slow_reader(tmp_path: Path) -> None:
    """Guards against the end of the process cutting off, or resetting, what a client has not read yet."""
    body = os.urandom(240_000)
    async with world(tmp_path) as here:
        caller = await here.call()
        sock = caller.stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await caller.send(order(1, ram="1"))
        asked = await here.caches["cache-1"].next()
        here.process.send_signal(signal.SIGTERM)
        await here.logged(b"drains")
        await asked.answer("DONE", f"tag={TAG},minted=1", body)
        await caller.send(frame(32, 1))  # and there is input beside it, to the very end
        got = [await caller.next() for _ in range(3)]
        assert sorted(frame.type for frame in got) == [17, 33, 48]
        assert next(frame.body for frame in got if frame.type == 17) == body and await caller.ended()
        await here.end()


async def test_a_client_that_does_not_read_holds_up_only_itself(tmp_path: Path) -> None:
    body = bytes(240_000)
    async with world(tmp_path) as here:
        slow, quick = await here.call(), await here.call()
        await slow.send(*(order(stream, item=f"{stream:016x}") for stream in range(1, 33)))
        for _ in range(32):
            await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", body)
        await quick.send(order(1))
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", body)
        assert (await quick.next()).body == body
        for _ in range(32):
            assert (await slow.next()).body == body
        counts = await here.stop()
        assert counts["memory_mb"] < 192 and counts["answer.served"] == 33


async def test_beyond_its_limit_a_new_connection_takes_the_place_of_the_longest_idle(tmp_path: Path) -> None:
    async with world(tmp_path, sockets=36) as here:
        first = await here.call()
        await first.send(order(1))
        asked = await here.caches["cache-1"].next()
        callers = [await here.call() for _ in range(17)]  # with the first, half of 36
        for caller in callers:
            await caller.send(frame(32, 1))
            assert (await caller.next()).code == 1
        for idle in callers[:3]:
            late = await here.call()
            await late.send(frame(32, 1))
            assert (await late.next()).code == 1 and await idle.ended()
            await idle.stream.aclose()  # as clients do; one that does not is left after 50 ms
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await first.next()).body == b"x"
        counts = await here.stop()
        assert counts["client.connections"] == 18 and counts["client.gave_place"] == 3
        assert counts["descriptors"] <= 36


async def test_what_sends_nothing_whole_is_ended_in_time(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        silent, half = await here.call(), await here.call()
        began = anyio.current_time()
        await half.send(order(1)[:20])
        assert await silent.ended() and await half.ended() and anyio.current_time() < began + 3.0
        counts = await here.stop()
        assert counts["client.overdue"] == 2


async def test_a_reload_moves_to_another_change_log_and_goes_on_with_the_numbers(tmp_path: Path) -> None:
    async with world(tmp_path, "cache-2") as here:
        caller, cache = await here.call(), here.caches["cache-2"]
        here.tell(invalidate={"object": OBJECT, "time": 1})
        await here.polled_from(2)
        await caller.send(order(1, item="00000000000000aa"))
        open_already = await here.first()
        here.config["changelog"] = await here.listen(here.change_log)
        here.config["limits"]["sockets"] = 64
        here.config["seed"] = "1"
        here.polled.clear()
        await here.reload()
        await here.polled_from(2)
        assert here.polled == [2] and b"configuration: seed: has changed" in here.output
        drained = here.line("cache-1", status="leaving")
        here.tell(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        await here.polled_from(3)
        await open_already.answer("DONE", f"tag={TAG},minted=1", b"open")
        assert (await caller.next()).body == b"open"
        cache.seen = len(cache.asked)
        for stream in range(2, 6):
            await caller.send(order(stream, item=f"{stream:016x}"))
            await (await cache.next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await here.stop()
        assert counts["reload.taken"] == 1


@pytest.mark.parametrize(("text", "named"), [("{", "not JSON"), ('{"name": 5}', "limits: missing")])
async def test_a_faulty_reload_leaves_what_runs(tmp_path: Path, text: str, named: str) -> None:
    async with world(tmp_path) as here:
        await here.reload(text)
        assert named.encode() in here.output
        here.tell(invalidate={"object": OBJECT, "time": 1})
        await here.polled_from(2)
        await here.reload()
        here.process.send_signal(signal.SIGHUP)
        counts = await here.stop()
        assert counts["reload.faulty"] == 1 and counts["reload.taken"] >= 1


async def test_counters_are_printed_on_request(tmp_path: Path) -> None:
    async with world(tmp_path) as here:
        caller = await here.call()
        await caller.send(order(1))
        await (await here.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).code == 1
        here.process.send_signal(signal.SIGUSR1)
        await here.logged(b"counters (asked)")
        assert b"peer (asked): cache-1 done=1\n" in here.output and b"pull.taken=1 " in here.output


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("listen",), "nowhere", "listen"),
        (("seed",), "xyz", "seed"),
        (("limits", "sockets"), "many", "limits.sockets"),
        (("limits", "memory_mb"), 1, "limits.memory_mb"),
        (("settings", "grades"), 5, "settings.grades"),
        (("settings", "safety"), {}, "settings.safety.coldFrom"),
        (("settings", "ceilings", "dialTimeout"), True, "settings.ceilings.dialTimeout"),
        (("known",), {"seq": 1, "results": [{"seq": 1, "fleet": {}}]}, "known.results[0].fleet.endpoints"),
        (("known",), None, "known"),
        ((), "{", "ROUTER_CONFIG"),
        (("COMETSEAM_LOG",), "LOUD", "COMETSEAM_LOG"),
    ],
)
async def test_a_faulty_configuration_ends_it_with_one_line_that_names_the_key(
    tmp_path: Path, path: tuple[str, ...], value: Any, named: str
) -> None:
    config = json.loads(json.dumps(SAMPLE))
    at = config
    for key in path[:-1]:
        at = at[key]
    if path:
        at[path[-1]] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config) if path else value)
    env = {**os.environ, "ROUTER_CONFIG": str(file), **({named: value} if named == "COMETSEAM_LOG" else {})}
    run = subprocess.run([sys.executable, "-m", "cometseam"], env=env, capture_output=True, text=True,
                         timeout=20)  # fmt: skip
    assert run.returncode == 2 and run.stderr.count("\n") == 1 and f" {named}: " in run.stderr


async def test_where_buffers_run_short_clients_that_do_not_read_are_ended(tmp_path: Path) -> None:
    body = bytes(240_000)
    async with world(tmp_path, memory_mb=40) as here:

        async def answer_all() -> None:
            while True:
                asked = await here.caches["cache-1"].next()
                with suppress(*ENDS):  # the front may have ended the connection meanwhile
                    await asked.answer("DONE" if asked.word == "REQ" else "PAST", "-", body)

        here._tasks.start_soon(answer_all)
        slow = [await here.call() for _ in range(6)]
        for number, caller in enumerate(slow, 1):
            ids = [f"{100 * number + stream:016x}" for stream in range(1, 33)]
            await caller.send(*(order(at, item=id, txn=id, ram="1") for at, id in enumerate(ids, 1)))
        quick = await here.call()
        for stream in range(1, 1000):
            await quick.send(order(stream, ram="1"))
            if (got := await quick.next()).code == 1:
                break
        assert got.body == body
        counts = await here.stop()
        assert counts["client.stalled"] >= 1 and counts["buffers.short"] >= 1 and counts["memory_mb"] < 64
