"""The real program on two configurations of different shape: what each does follows its own settings.

The two stand for two customers, with other class names, effects, deadlines, limits and ways to answer.
`deploy/sites/` holds two deployments of these shapes for the fleet's bench.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.drive import FrontTestbed, client_request, frame, front_testbed

pytestmark = pytest.mark.anyio
TAG = "4be0c1927d55a6f3"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_class(name: str, target_latency: float, deadline: float, effect: str, **more: Any) -> dict[str, Any]:
    values = {"name": name, "aim": target_latency, "aimStretch": 1.8, "group": "all", "hardLimit": deadline}
    return {**values, "repeat": effect, "window": 2500.0, "worth": 1.0, **more}


def prepare_shape(
    classes: list[dict[str, Any]], writes: list[bool], **ceilings: Any
) -> Callable[[FrontTestbed], None]:
    """Return a function that gives the sample's configuration this shape."""

    def prepare(testbed: FrontTestbed) -> None:
        settings = testbed.config["settings"]
        settings["grades"] = classes
        settings["ceilings"].update(ceilings)
        zeros = [0.0] * len(classes)
        settings["familyInfo"].update(classWrite=writes, goodFor=zeros, usableAfter=zeros, oldCopyWorth=zeros)

    return prepare


# Short deadlines, a non-idempotent class, no cancelling, no retry-after; all else as in the sample.
QUAY = prepare_shape(
    [make_class("charts", 450.0, 1600.0, "idempotent"),
     make_class("berth-claims", 500.0, 1200.0, "at_most_once")],
    [False, True], cancel=False, retryAfter=False, tryLimit=4, streamsPerConn=24,
)  # fmt: skip
# Long deadlines, three classes, one with idempotency keys; cancelling and a retry-after; eight streams a
# connection.
ATLAS = prepare_shape(
    [make_class("terrain", 800.0, 7000.0, "idempotent"), make_class("labels", 250.0, 2500.0, "idempotent"),
     make_class("corrections", 600.0, 3000.0, "deduplicated")],
    [False, False, True], cancel=True, retryAfter=True, tryLimit=5, streamsPerConn=8, maxRetryAfter=1500.0,
)  # fmt: skip


@pytest.mark.parametrize(
    ("prepare", "own_class", "other_class"),
    [(QUAY, "charts", "terrain"), (ATLAS, "terrain", "charts")],
    ids=["quay", "atlas"],
)
async def test_a_class_is_known_only_by_the_settings(
    tmp_path: Path, prepare: Callable[[FrontTestbed], None], own_class: str, other_class: str
) -> None:
    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1, verb=own_class))
        asked = await testbed.caches["cache-1"].next()
        assert asked.fields["lane"] == own_class
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).body == b"x"
        await caller.send(client_request(2, verb=other_class))
        got = await caller.next()
        assert got.code == 3 and "verb" in got.fields["reason"]


@pytest.mark.parametrize(
    ("prepare", "verb", "is_retried"),
    [(QUAY, "berth-claims", False), (ATLAS, "corrections", True)],
    ids=["once-only", "tagged"],
)
async def test_a_pull_that_may_have_run_is_retried_only_if_its_class_allows(
    tmp_path: Path, prepare: Callable[[FrontTestbed], None], verb: str, is_retried: bool
) -> None:
    """The idempotency key is sent with each relay: without it no cache could recognise a repeat."""
    async with front_testbed(tmp_path, "cache-2", prepare=prepare) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1, verb=verb, unique="claim-7;b", body=b"as it is"))
        first = await testbed.next_command()
        assert first.fields["dedupe"] == "claim-7;b" and first.fields["lane"] == verb
        assert first.fields["via"] and "tier" not in first.fields and first.body == b"as it is"
        await first.answer("BROKE")
        if is_retried:
            second = await testbed.next_command()
            assert second.id == first.id and second.fields["dedupe"] == "claim-7;b"
            await second.answer("DONE", f"tag={TAG},minted=1", b"done")
            assert (await caller.next()).body == b"done"
        else:
            assert (await caller.next()).code == 3  # a shed answer would say that a retry is harmless
            asked = [
                asked for cache in testbed.caches.values() for asked in cache.commands if asked.verb == "REQ"
            ]
            assert len(asked) == 1


@pytest.mark.parametrize(
    ("prepare", "verb", "stops"), [(QUAY, "charts", False), (ATLAS, "terrain", True)], ids=["quay", "atlas"]
)
async def test_a_client_that_disconnects_stops_its_relay_only_if_cancelling_is_allowed(
    tmp_path: Path, prepare: Callable[[FrontTestbed], None], verb: str, stops: bool
) -> None:
    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        await caller.send(client_request(1, verb=verb))
        first = await cache.next()
        await caller.send(frame(18, 1), client_request(2, verb=verb, item="00000000000000aa"))
        received = [await cache.next() for _ in range(1 + stops)]
        assert sorted(asked.verb for asked in received) == ["REQ", "STOP"][: 1 + stops]
        assert all(asked.id == first.id for asked in received if asked.verb == "STOP")
        for asked in received:
            if asked.verb == "REQ":
                await asked.answer("DONE", f"tag={TAG},minted=1", b"two")
        assert (await caller.next()).body == b"two"


@pytest.mark.parametrize(
    ("prepare", "verb", "retry_after"),
    [(QUAY, "charts", None), (ATLAS, "labels", "250")],
    ids=["quay", "atlas"],
)
async def test_a_shed_answer_has_a_retry_after_only_if_the_settings_allow_it(
    tmp_path: Path, prepare: Callable[[FrontTestbed], None], verb: str, retry_after: str | None
) -> None:
    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        caller = await testbed.connect_client()
        await caller.send(client_request(1, verb=verb))
        for _ in range(6):  # the only cache is full
            with anyio.move_on_after(0.5):
                await (await testbed.caches["cache-1"].next()).answer("WAIT")
                continue
            break
        got = await caller.next()
        assert got.code == 2 and got.fields.get("later") == retry_after


@pytest.mark.parametrize("prepare", [QUAY, ATLAS], ids=["quay", "atlas"])
async def test_a_connection_carries_no_more_streams_than_the_settings_allow(
    tmp_path: Path, prepare: Callable[[FrontTestbed], None]
) -> None:
    async with front_testbed(tmp_path, prepare=prepare) as testbed:
        settings = testbed.config["settings"]
        streams, verb = settings["ceilings"]["streamsPerConn"], settings["grades"][0]["name"]
        caller, cache = await testbed.connect_client(), testbed.caches["cache-1"]
        await caller.send(
            *(client_request(number, verb=verb, item=f"{number:016x}", ram="1") for number in range(1, 31))
        )
        streams_by_connection: dict[int, int] = {}
        for _ in range(streams + 1):
            asked = await cache.next()
            streams_by_connection[id(asked.stream)] = streams_by_connection.get(id(asked.stream), 0) + 1
        assert max(streams_by_connection.values()) <= streams and len(streams_by_connection) > 1
