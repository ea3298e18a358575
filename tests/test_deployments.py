"""The real program on two configurations of different shape: what each does follows its own settings.

The two stand for two customers: other class names, effects, cut-offs, limits, ways to answer. `deploy/sites/`
holds two deployments of these shapes for the fleet's bench.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.drive import World, frame, order, world

pytestmark = pytest.mark.anyio
TAG = "4be0c1927d55a6f3"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def grade(name: str, aim: float, cut_off: float, repeat: str, **more: Any) -> dict[str, Any]:
    told = {"name": name, "aim": aim, "aimStretch": 1.8, "group": "all", "hardLimit": cut_off}
    return {**told, "repeat": repeat, "window": 2500.0, "worth": 1.0, **more}


def shape(grades: list[dict[str, Any]], writes: list[bool], **ceilings: Any) -> Callable[[World], None]:
    """Return what makes the sample's configuration one of this shape."""

    def prepare(here: World) -> None:
        settings = here.config["settings"]
        settings["grades"] = grades
        settings["ceilings"].update(ceilings)
        zeros = [0.0] * len(grades)
        settings["familyInfo"].update(classWrite=writes, goodFor=zeros, usableAfter=zeros, oldCopyWorth=zeros)

    return prepare


# Short cut-offs, a once-only class, no cancelling, no time to come back; the sample's own come beside them.
QUAY = shape(
    [grade("charts", 450.0, 1600.0, "idempotent"), grade("berth-claims", 500.0, 1200.0, "at_most_once")],
    [False, True], cancel=False, retryAfter=False, tryLimit=4, streamsPerConn=24,
)  # fmt: skip
# Long ones, three classes, a tagged one; cancelling and a time to come back; eight streams a connection.
ATLAS = shape(
    [grade("terrain", 800.0, 7000.0, "idempotent"), grade("labels", 250.0, 2500.0, "idempotent"),
     grade("corrections", 600.0, 3000.0, "deduplicated")],
    [False, False, True], cancel=True, retryAfter=True, tryLimit=5, streamsPerConn=8, maxRetryAfter=1500.0,
)  # fmt: skip


@pytest.mark.parametrize(
    ("prepare", "own", "others"),
    [(QUAY, "charts", "terrain"), (ATLAS, "terrain", "charts")],
    ids=["quay", "atlas"],
)
async def test_a_class_is_known_by_the_settings_alone(
    tmp_path: Path, prepare: Callable[[World], None], own: str, others: str
) -> None:
    async with world(tmp_path, prepare=prepare) as here:
        caller = await here.call()
        await caller.send(order(1, verb=own))
        asked = await here.caches["cache-1"].next()
        assert asked.fields["lane"] == own
        await asked.answer("DONE", f"tag={TAG},minted=1", b"x")
        assert (await caller.next()).body == b"x"
        await caller.send(order(2, verb=others))
        got = await caller.next()
        assert got.code == 3 and "verb" in got.fields["reason"]


@pytest.mark.parametrize(
    ("prepare", "verb", "again"),
    [(QUAY, "berth-claims", False), (ATLAS, "corrections", True)],
    ids=["once-only", "tagged"],
)
async def test_what_may_have_run_is_sent_again_only_where_its_effect_allows(
    tmp_path: Path, prepare: Callable[[World], None], verb: str, again: bool
) -> None:
    """A tagged pull's mark goes on with each relay, or no cache could tell its repeat."""
    async with world(tmp_path, "cache-2", prepare=prepare) as here:
        caller = await here.call()
        await caller.send(order(1, verb=verb, unique="claim-7;b", body=b"as it is"))
        first = await here.first()
        assert first.fields["dedupe"] == "claim-7;b" and first.fields["lane"] == verb
        assert first.fields["via"] and "tier" not in first.fields and first.body == b"as it is"
        await first.answer("BROKE")
        if again:
            second = await here.first()
            assert second.id == first.id and second.fields["dedupe"] == "claim-7;b"
            await second.answer("DONE", f"tag={TAG},minted=1", b"done")
            assert (await caller.next()).body == b"done"
        else:
            assert (await caller.next()).code == 3  # a refusal would say that trying again is harmless
            asked = [asked for cache in here.caches.values() for asked in cache.asked if asked.word == "REQ"]
            assert len(asked) == 1


@pytest.mark.parametrize(
    ("prepare", "verb", "stops"), [(QUAY, "charts", False), (ATLAS, "terrain", True)], ids=["quay", "atlas"]
)
async def test_a_client_that_leaves_stops_its_relay_only_where_that_is_allowed(
    tmp_path: Path, prepare: Callable[[World], None], verb: str, stops: bool
) -> None:
    async with world(tmp_path, prepare=prepare) as here:
        caller, cache = await here.call(), here.caches["cache-1"]
        await caller.send(order(1, verb=verb))
        first = await cache.next()
        await caller.send(frame(18, 1), order(2, verb=verb, item="00000000000000aa"))
        told = [await cache.next() for _ in range(1 + stops)]
        assert sorted(asked.word for asked in told) == ["REQ", "STOP"][: 1 + stops]
        assert all(asked.id == first.id for asked in told if asked.word == "STOP")
        for asked in told:
            if asked.word == "REQ":
                await asked.answer("DONE", f"tag={TAG},minted=1", b"two")
        assert (await caller.next()).body == b"two"


@pytest.mark.parametrize(
    ("prepare", "verb", "later"), [(QUAY, "charts", None), (ATLAS, "labels", "250")], ids=["quay", "atlas"]
)
async def test_what_is_shed_tells_when_to_come_back_only_where_that_is_allowed(
    tmp_path: Path, prepare: Callable[[World], None], verb: str, later: str | None
) -> None:
    async with world(tmp_path, prepare=prepare) as here:
        caller = await here.call()
        await caller.send(order(1, verb=verb))
        for _ in range(6):  # the cache is full, and there is no other
            with anyio.move_on_after(0.5):
                await (await here.caches["cache-1"].next()).answer("WAIT")
                continue
            break
        got = await caller.next()
        assert got.code == 2 and got.fields.get("later") == later


@pytest.mark.parametrize("prepare", [QUAY, ATLAS], ids=["quay", "atlas"])
async def test_no_more_streams_go_over_a_connection_than_its_settings_allow(
    tmp_path: Path, prepare: Callable[[World], None]
) -> None:
    async with world(tmp_path, prepare=prepare) as here:
        settings = here.config["settings"]
        streams, verb = settings["ceilings"]["streamsPerConn"], settings["grades"][0]["name"]
        caller, cache = await here.call(), here.caches["cache-1"]
        await caller.send(*(order(at, verb=verb, item=f"{at:016x}", ram="1") for at in range(1, 31)))
        most: dict[int, int] = {}
        for _ in range(streams + 1):
            asked = await cache.next()
            most[id(asked.stream)] = most.get(id(asked.stream), 0) + 1
        assert max(most.values()) <= streams and len(most) > 1
