"""The whole program on loopback, among stand-ins for clients, caches and the discovery service.

Guards against pulls that are lost, answered twice or delayed when a client, a cache, discovery or the
operator misbehaves: invalid input, silent or broken connections, slow readers, full limits; and at shutdown
and reloads.
"""

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

from tests.drive import (
    ENDS,
    SAMPLE,
    Caller,
    ReceivedFrame,
    client_request,
    fields_of,
    frame,
    front_testbed,
    resp,
)

pytestmark = pytest.mark.anyio
TAG, OBJECT = "4be0c1927d55a6f3", "7f3a9c21e0b4d655"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_request_sent_byte_by_byte_is_served_and_its_body_is_intact(tmp_path: Path) -> None:
    body = os.urandom(200_000)
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await testbed.logged(b"discovery confirms")
        await caller.send(frame(32, 7))
        assert await caller.next() == ReceivedFrame(33, 7, 1)
        for byte in client_request(1, body=b"as it is", got=TAG):
            await caller.send(bytes([byte]))
        lookup = await testbed.caches["cache-1"].next()
        assert lookup.parts[:2] == ["REQ", f"{1:016x}"] and lookup.body == b"as it is"
        fields = lookup.fields
        assert 0 < int(fields.pop("ttl")) <= 2500
        assert fields == {"lane": "maps", "name": OBJECT, "piece": "3", "opts": "ride", "known": TAG}
        await lookup.answer("LACK", "rep=util:0.5;x1:0.1")
        fill = await testbed.caches["cache-1"].next()
        assert fill.fields["via"] == "parent-1" and fill.fields["tier"] == "1"
        await fill.answer("DONE", f"tag={TAG},minted=1,why=fetched,lag=3.5", body)
        assert await caller.next() == ReceivedFrame(17, 1, 1, {}, body)
        await caller.send(client_request(2, got=TAG))
        await (await testbed.caches["cache-1"].next()).answer("KEEP", f"tag={TAG},minted=1,why=cached")
        assert await caller.next() == ReceivedFrame(17, 2, 1, {"ok304": "1"})
        counts = await testbed.stop()
        assert counts["answer.served"] == 2 and counts["relay.lack"] == 1 and counts["relay.done"] == 1


async def test_answers_in_any_order_reach_the_right_streams_of_one_connection(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(
            client_request(1),
            client_request(2, item="00000000000000aa"),
            client_request(3, item="00000000000000bb"),
        )
        attempts = [await testbed.caches["cache-1"].next() for _ in range(3)]
        for attempt in reversed(attempts):
            await attempt.answer("DONE", f"tag={TAG},minted=1,why=cached", attempt.id.encode())
            assert (await caller.next()).body == attempt.id.encode()


@pytest.mark.parametrize(
    ("raw", "stream", "reason"),
    [
        (client_request(1, txn=None), 1, "txn"),
        (client_request(1, item="xyz"), 1, "item"),
        (client_request(1, limit="soon"), 1, "limit"),
        (client_request(1, limit="0"), 1, "limit"),
        (client_request(1, nth="-1"), 1, "nth"),
        (client_request(1, nth="\u0663"), 1, "nth"),
        (client_request(1, ram="nan"), 1, "ram"),
        (client_request(1, ram="4_1"), 1, "ram"),
        (client_request(1, limit=" 15"), 1, "limit"),
        (frame(16, 1, b"\x02" + 2 * fields_of({"verb": "maps"})[1:]), 1, "twice"),
        (client_request(1, batch="300"), 1, "batch"),
        (client_request(1, got="short"), 1, "got"),
        (client_request(1, verb="unheard"), 1, "verb"),
        (frame(16, 1, fields_of({"verb": "maps"})[:-2]), 1, "fields"),
        (frame(16, 0, b"\0"), 0, "new"),
        (frame(99, 5), 0, "99"),
    ],
)
async def test_invalid_client_input_is_answered_with_a_reason_and_reaches_no_cache(
    tmp_path: Path, raw: bytes, stream: int, reason: str
) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(raw)
        got = await caller.next()
        assert (got.type, got.stream, got.code) == (17, stream, 3) and reason in got.fields["reason"]
        assert await caller.ended()  # a client left connected would send the same again at once
        other = await testbed.connect_client()
        await other.send(client_request(2))
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"fine")
        assert (await other.next()).body == b"fine"
        assert [attempt.id for attempt in testbed.caches["cache-1"].commands] == [f"{2:016x}"]


async def test_a_framing_error_closes_the_connection_after_its_open_pulls_are_answered(
    tmp_path: Path,
) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1), b"\xff\xff\xff\xff\0\0\0\0\0")
        got = await caller.next()
        assert (got.stream, got.code) == (0, 3)
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"still")
        assert (await caller.next()).body == b"still"
        assert await caller.ended()


async def test_a_33rd_open_pull_and_a_reused_stream_are_rejected(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(*(client_request(stream) for stream in range(1, 34)), client_request(34))
        rejected = await caller.next()
        assert (rejected.stream, rejected.code) == (33, 3) and "many" in rejected.fields["reason"]
        for _ in range(32):
            await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
        assert sorted([(await caller.next()).stream for _ in range(32)]) == list(range(1, 33))
        assert await caller.ended()
        other = await testbed.connect_client()
        await other.send(client_request(5), client_request(5, txn="a" * 16))
        reused = await other.next()
        assert (reused.stream, reused.code) == (0, 3) and "new" in reused.fields["reason"]


async def test_a_request_id_that_is_open_is_rejected_on_any_connection(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller, other = await testbed.connect_client(), await testbed.connect_client()
        await caller.send(client_request(1))
        attempt = await testbed.caches["cache-1"].next()
        await other.send(client_request(1, item="00000000000000aa"))
        got = await other.next()
        assert (got.stream, got.code) == (1, 3) and "txn" in got.fields["reason"] and await other.ended()
        await attempt.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).body == b"x"
        await caller.send(client_request(2, txn=f"{1:016x}"))  # no longer open
        assert (await testbed.caches["cache-1"].next()).fields["name"] == OBJECT


async def test_a_cache_that_answers_only_keep_alives_gets_a_stop_before_the_next_relay(
    tmp_path: Path,
) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        testbed.caches["cache-1"].alive = testbed.caches["cache-2"].alive = True
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        first = await testbed.next_command()
        other = testbed.caches["cache-2" if first.cache.name == "cache-1" else "cache-1"]
        stop = await first.cache.next()
        assert stop.parts == ["STOP", first.id] and not other.commands
        assert first.cache.keep_alive_checks >= 1 and not first.cache.ended
        second = await other.next()
        await first.answer("DONE", f"tag={TAG},minted=1", b"late")
        await second.answer("DONE", f"tag={TAG},minted=1", b"in time")
        assert (await caller.next()).body == b"in time"
        await caller.send(frame(32, 1))
        assert (await caller.next()).type == 33  # and the late answer was not passed on before it


@pytest.mark.parametrize("half", [b"", b"*4\r\n$16\r\n", resp("1", "DONE", f"tag={TAG}", bytes(99))[:-50]])
async def test_a_silent_connection_is_closed_and_its_relays_are_retried_elsewhere(
    tmp_path: Path, half: bytes
) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1, ram="400"))
        first = await testbed.next_command()
        other = testbed.caches["cache-2" if first.cache.name == "cache-1" else "cache-1"]
        await first.stream.send(half)
        await testbed.notifier.wait_until(lambda: first.cache.ended)  # long before its relay times out
        assert (
            first.cache.keep_alive_checks == (not half) and len(first.cache.commands) == 1
        )  # no stop was sent
        second = await testbed.next_command()
        assert second.id == first.id and second.cache is other
        await second.answer("DONE", f"tag={TAG},minted=1", b"anew")
        assert (await caller.next()).body == b"anew"


async def test_unrequested_answers_do_not_affect_other_relays_on_the_connection(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        await caller.send(client_request(1))
        lookup = await cache.next()
        await caller.send(client_request(2, item="00000000000000aa"))
        other = await cache.next()
        stray = resp("f" * 16, "DONE", f"tag={TAG},minted=1", b"nobody's")
        lack = resp(lookup.id, "LACK", "-", b"")
        await lookup.stream.send(stray + lack + lack)
        fill = await cache.next()
        assert fill.id == lookup.id and fill.stream is not lookup.stream  # the duplicate is not its answer
        await other.answer("DONE", f"tag={TAG},minted=1", b"beside")
        assert (await caller.next()).body == b"beside"
        await fill.answer("DONE", f"tag={TAG},minted=1", b"one")
        assert (await caller.next()).body == b"one"
        await lookup.stream.send(stray * 40)  # in one piece: the front closes the connection on the way
        await testbed.notifier.wait_until(lambda: cache.ended)  # it sent too many stray answers
        counts = await testbed.stop()
        assert counts["answer.served"] == 2 and counts["peer.late_answer"] == 1
        assert counts["peer.stray_answer"] > 32 and counts["peer.bad_input"] == 1


async def test_a_not_modified_answer_to_a_client_without_a_copy_is_not_passed_on(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        await (await testbed.caches["cache-1"].next()).answer("KEEP", f"tag={TAG},minted=1")
        await testbed.notifier.wait_until(lambda: testbed.caches["cache-1"].ended)
        counts = await testbed.stop()
        assert counts["peer.bad_input"] == 1 and "answer.served" not in counts


async def test_a_pull_is_retried_elsewhere_after_a_broken_or_malformed_connection(tmp_path: Path) -> None:
    async with front_testbed(tmp_path, "cache-2", "cache-3") as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        first = await testbed.next_command()
        await first.stream.send(b"$nonsense\r\n")
        second = await testbed.next_command()
        assert second.cache is not first.cache
        await second.stream.aclose()
        got = await caller.next()  # the third is silent, and no retry tokens are left
        assert (got.stream, got.code) == (1, 2) and int(got.fields["later"]) == 250
        counts = await testbed.stop()
        assert counts["relay.broken"] == 2 and counts["peer.bad_input"] == 1


async def test_a_cache_that_refuses_connections_fails_no_pull(tmp_path: Path) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        unreachable = testbed.endpoint_entry("cache-1", address="127.0.0.1:1")
        testbed.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [unreachable]})
        await testbed.wait_for_poll_since(2)
        caller = await testbed.connect_client()
        for stream in range(1, 9):
            await caller.send(client_request(stream, item=f"{stream:016x}"))
            await (await testbed.caches["cache-2"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await testbed.stop()
        assert counts["relay.unconnected"] >= 1 and counts["answer.served"] == 8


async def test_the_relay_of_a_client_that_hangs_up_is_stopped(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        attempt = await testbed.caches["cache-1"].next()
        await caller.send(frame(18, 1))
        assert (await testbed.caches["cache-1"].next()).parts == ["STOP", attempt.id]
        await caller.send(client_request(2))
        second = await testbed.caches["cache-1"].next()
        await caller.stream.aclose()
        assert (await testbed.caches["cache-1"].next()).parts == ["STOP", second.id]


async def test_a_purge_and_a_drain_apply_to_the_next_pull(tmp_path: Path) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        drained = testbed.endpoint_entry("cache-1", status="leaving")
        testbed.add_event(invalidate={"object": OBJECT, "time": round(1000.0 * time.time()) - 3000})
        testbed.add_event(invalidate={"bucket": 18, "time": 1})
        testbed.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        await testbed.wait_for_poll_since(4)
        caller = await testbed.connect_client()
        for stream, batch in ((1, "17"), (2, "18")):
            item = f"{int(OBJECT, 16) + stream - 1:016x}"
            await caller.send(client_request(stream, verb="grids", item=item, batch=batch))
            attempt = await testbed.caches["cache-2"].next()
            # An event dated 1970 counts as at most 10 s old, which is the stricter bound on copies.
            oldest = int(attempt.fields["fresh"])
            assert 3000 <= oldest < 6000 if stream == 1 else 9900 <= oldest < 14_000
        assert not testbed.caches["cache-1"].commands


async def test_invalid_discovery_answers_leave_the_list_unchanged_and_polling_recovers(
    tmp_path: Path,
) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        unknown_zone = testbed.endpoint_entry("cache-1", zone="nowhere")
        unusable = {"seq": 2, "fleet": {"snapshot": False, "endpoints": [unknown_zone]}}
        nameless = {key: value for key, value in testbed.endpoint_entry("cache-1").items() if key != "name"}
        answers = [
            b"{", b"[]", b'{"seq":9}',
            json.dumps({"seq": 7, "results": [{"seq": 7, "invalidate": {"bucket": 1, "time": 1}}]}).encode(),
            json.dumps({"seq": 2, "results": [unusable]}).encode(),
            json.dumps(testbed.config["known"]).encode(),  # already known to the front
        ]  # fmt: skip
        await testbed.send_poll_answers(*answers)
        testbed.add_event(fleet={"snapshot": False, "endpoints": [nameless]})  # never usable: skipped
        testbed.add_event(
            fleet={"snapshot": False, "endpoints": [testbed.endpoint_entry("cache-1", status="left")]}
        )
        await testbed.wait_for_poll_since(3)
        caller = await testbed.connect_client()
        for stream in range(1, 9):
            await caller.send(client_request(stream, item=f"{stream:016x}"))
            await (await testbed.caches["cache-2"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await testbed.stop()
        assert counts["changelog.failed"] >= len(answers) - 1 and counts["changelog.passed_over"] == 1
        assert counts["changelog.repeated"] == 1


async def test_a_new_cache_may_reuse_the_address_of_a_removed_one(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        updates = [
            [
                testbed.endpoint_entry("cache-1", status="left"),
                testbed.endpoint_entry("cache-1", name="cache-9"),
            ],
            [
                testbed.endpoint_entry("cache-1", name="cache-9", status="left"),
                testbed.endpoint_entry("cache-1", since_ms=1),
            ],
        ]
        for stream, lines in enumerate(updates, 1):
            testbed.add_event(fleet={"snapshot": False, "endpoints": lines})
            await testbed.wait_for_poll_since(1 + stream)
            await caller.send(client_request(stream))
            await (await cache.next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await testbed.stop()
        assert counts["peer.connected"] == 2 and cache.ended == 2


async def test_after_sigterm_open_and_new_pulls_are_answered(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        attempt = await testbed.caches["cache-1"].next()
        testbed.process.send_signal(signal.SIGTERM)
        assert (await caller.next()).type == 48
        late = await testbed.connect_client()
        assert (await late.next()).type == 48
        await late.send(frame(32, 1), client_request(2))
        assert await late.next() == ReceivedFrame(33, 1, 2)
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"two")
        assert (await late.next()).body == b"two"
        await attempt.answer("DONE", f"tag={TAG},minted=1", b"one")
        assert (await caller.next()).body == b"one"
        counts = await testbed.end()
        assert counts["answer.served"] == 2


async def test_shutdown_waits_for_a_partly_read_request_despite_further_signals(tmp_path: Path) -> None:
    """Shutdown would end at 0.7 s, but waits for a frame that has begun; further signals change nothing."""
    async with front_testbed(tmp_path) as testbed:
        caller, raw = await testbed.connect_client(), client_request(1, body=bytes(70_000))
        await caller.send(frame(32, 1), raw[:60_000])
        # The frame before it is answered, so the request has begun to arrive.
        assert (await caller.next()).type == 33
        testbed.process.send_signal(signal.SIGTERM)
        assert (await caller.next()).type == 48
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            testbed.process.send_signal(number)
        with anyio.move_on_after(0.9):  # longer than shutdown would have taken
            await testbed.process.wait()
        assert testbed.process.returncode is None
        await caller.send(raw[60_000:])
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"whole")
        assert (await caller.next()).body == b"whole" and await caller.ended()
        counts = await testbed.end()
        assert counts["answer.served"] == 1


async def test_a_slow_reader_gets_the_whole_of_an_answer_written_just_before_shutdown(tmp_path: Path) -> None:
    """Guards against the process exit truncating or resetting what a client has not read yet."""
    body = os.urandom(240_000)
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        sock = caller.stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await caller.send(client_request(1, ram="1"))
        attempt = await testbed.caches["cache-1"].next()
        testbed.process.send_signal(signal.SIGTERM)
        await testbed.logged(b"drains")
        await attempt.answer("DONE", f"tag={TAG},minted=1", body)
        await caller.send(frame(32, 1))  # so that there is unread input at the exit
        got = [await caller.next() for _ in range(3)]
        assert sorted(answer.type for answer in got) == [17, 33, 48]
        assert next(answer.body for answer in got if answer.type == 17) == body and await caller.ended()
        await testbed.end()


async def test_a_client_that_does_not_read_delays_no_other_client(tmp_path: Path) -> None:
    body = bytes(240_000)
    async with front_testbed(tmp_path) as testbed:
        slow, quick = await testbed.connect_client(), await testbed.connect_client()
        await slow.send(*(client_request(stream, item=f"{stream:016x}") for stream in range(1, 33)))
        for _ in range(32):
            await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", body)
        await quick.send(client_request(1))
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", body)
        assert (await quick.next()).body == body
        for _ in range(32):
            assert (await slow.next()).body == body
        counts = await testbed.stop()
        assert counts["memory_mb"] < 192 and counts["answer.served"] == 33


async def test_at_the_connection_limit_a_new_client_replaces_the_longest_idle_one(tmp_path: Path) -> None:
    async with front_testbed(tmp_path, sockets=36) as testbed:
        first = await testbed.connect_client()
        await first.send(client_request(1))
        attempt = await testbed.caches["cache-1"].next()
        callers = [await testbed.connect_client() for _ in range(17)]  # with the first, half of 36
        for caller in callers:
            await caller.send(frame(32, 1))
            assert (await caller.next()).code == 1
        for idle in callers[:3]:
            late = await testbed.connect_client()
            await late.send(frame(32, 1))
            assert (await late.next()).code == 1 and await idle.ended()
            await idle.stream.aclose()  # as clients do; otherwise the front closes it after 50 ms
        await attempt.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await first.next()).body == b"x"
        counts = await testbed.stop()
        assert counts["client.connections"] == 18 and counts["client.gave_place"] == 3
        assert counts["descriptors"] <= 36


async def test_connections_without_a_complete_request_are_closed_in_time(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        silent, half = await testbed.connect_client(), await testbed.connect_client()
        began = anyio.current_time()
        await half.send(client_request(1)[:20])
        assert await silent.ended() and await half.ended() and anyio.current_time() < began + 3.0
        counts = await testbed.stop()
        assert counts["client.overdue"] == 2


async def test_a_reload_switches_to_another_discovery_service_and_keeps_the_sequence_number(
    tmp_path: Path,
) -> None:
    async with front_testbed(tmp_path, "cache-2") as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-2"]
        testbed.add_event(invalidate={"object": OBJECT, "time": 1})
        await testbed.wait_for_poll_since(2)
        await caller.send(client_request(1, item="00000000000000aa"))
        open_attempt = await testbed.next_command()
        testbed.config["changelog"] = await testbed.listen(testbed.serve_discovery)
        testbed.config["limits"]["sockets"] = 64
        testbed.config["seed"] = "1"
        testbed.polled.clear()
        await testbed.reload()
        await testbed.wait_for_poll_since(2)
        assert testbed.polled == [2] and b"configuration: seed: has changed" in testbed.output
        drained = testbed.endpoint_entry("cache-1", status="leaving")
        testbed.add_event(fleet={"index": 2, "snapshot": False, "endpoints": [drained]})
        await testbed.wait_for_poll_since(3)
        await open_attempt.answer("DONE", f"tag={TAG},minted=1", b"open")
        assert (await caller.next()).body == b"open"
        cache.taken = len(cache.commands)
        for stream in range(2, 6):
            await caller.send(client_request(stream, item=f"{stream:016x}"))
            await (await cache.next()).answer("DONE", f"tag={TAG},minted=1", b"x")
            assert (await caller.next()).code == 1
        counts = await testbed.stop()
        assert counts["reload.taken"] == 1


@pytest.mark.parametrize(("text", "named"), [("{", "not JSON"), ('{"name": 5}', "limits: missing")])
async def test_an_invalid_reload_keeps_the_running_configuration(
    tmp_path: Path, text: str, named: str
) -> None:
    async with front_testbed(tmp_path) as testbed:
        await testbed.reload(text)
        assert named.encode() in testbed.output
        testbed.add_event(invalidate={"object": OBJECT, "time": 1})
        await testbed.wait_for_poll_since(2)
        await testbed.reload()
        testbed.process.send_signal(signal.SIGHUP)
        counts = await testbed.stop()
        assert counts["reload.faulty"] == 1 and counts["reload.taken"] >= 1


async def test_counters_are_logged_on_sigusr1(tmp_path: Path) -> None:
    async with front_testbed(tmp_path) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        await (await testbed.caches["cache-1"].next()).answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).code == 1
        testbed.process.send_signal(signal.SIGUSR1)
        await testbed.logged(b"counters (asked)")
        assert b"peer (asked): cache-1 done=1\n" in testbed.output and b"pull.taken=1 " in testbed.output


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
async def test_an_invalid_configuration_exits_with_one_line_that_names_the_key(
    tmp_path: Path, path: tuple[str, ...], value: Any, named: str
) -> None:
    config = json.loads(json.dumps(SAMPLE))
    section = config
    for key in path[:-1]:
        section = section[key]
    if path:
        section[path[-1]] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config) if path else value)
    env = {**os.environ, "ROUTER_CONFIG": str(file), **({named: value} if named == "COMETSEAM_LOG" else {})}
    run = subprocess.run([sys.executable, "-m", "cometseam"], env=env, capture_output=True, text=True,
                         timeout=20)  # fmt: skip
    assert run.returncode == 2 and run.stderr.count("\n") == 1 and f" {named}: " in run.stderr


async def test_clients_that_do_not_read_are_closed_when_buffers_run_short(tmp_path: Path) -> None:
    """Guards against answers that nobody reads holding all buffers: the others are served all the same."""
    body = bytes(240_000)
    async with front_testbed(tmp_path, memory_mb=40) as testbed:

        async def answer_all() -> None:
            while True:
                attempt = await testbed.caches["cache-1"].next()
                with suppress(*ENDS):  # the front may have closed the connection meanwhile
                    await attempt.answer("DONE" if attempt.verb == "REQ" else "PAST", "-", body)

        async def ask(caller: Caller, first_id: int, streams: range) -> None:
            """Have a client that reads nothing ask for answers, one after another."""
            for stream in streams:
                answered, id = len(testbed.caches["cache-1"].commands), f"{first_id + stream:016x}"
                with suppress(*ENDS):  # the front may close it
                    await caller.send(client_request(stream, item=id, txn=id, ram="1"))
                with anyio.move_on_after(0.2):
                    await testbed.notifier.wait_until(
                        lambda: len(testbed.caches["cache-1"].commands) > answered  # noqa: B023
                    )

        async def count(name: str) -> float:
            return (await testbed.read_counters()).get(name, 0.0)

        testbed._tasks.start_soon(answer_all)
        slow: list[Caller] = []
        while not await count("buffers.short"):
            slow.append(await testbed.connect_client())
            await ask(slow[-1], 100 * len(slow), range(1, 25))
        # Their further answers find no buffers until a client has read nothing for the connect timeout: the
        # rounds together last twice that, however few clients fill the pool and however quick they are.
        streams = iter(range(25, 33))
        connect_timeout_s = testbed.config["settings"]["ceilings"]["dialTimeout"] / 1000.0
        round_s = 2.0 * connect_timeout_s / len(range(25, 33))
        while not await count("client.stalled"):
            stream = next(streams)
            for number, caller in enumerate(slow, 1):
                await ask(caller, 100 * number, range(stream, stream + 1))
            await anyio.sleep(round_s)
        quick = await testbed.connect_client()
        for stream in range(1, 1000):
            await quick.send(client_request(stream, ram="1"))
            if (got := await quick.next()).code == 1:
                break
        assert got.body == body
        for caller in slow:
            await caller.stream.aclose()  # the front's exit would wait for them
        counts = await testbed.stop()
        assert counts["client.stalled"] >= 1 and counts["buffers.short"] >= 1 and counts["memory_mb"] < 64
