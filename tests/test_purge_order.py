"""Purges that are notified in another order than they were made.

Guards against copies from between two purges: an earlier purge that is notified last must not replace the
later one.
"""

import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometseam.interface import Purged
from cometseam.purges import PurgeTable
from tests.drive import FrontTestbed, client_request, front_testbed

pytestmark = pytest.mark.anyio
OBJECT, GROUP = "7f3a9c21e0b4d655", 17  # of `client_request`
EARLIER_MS, LATER_MS = 1000.0, 400.0  # how long ago the two purges were made
PROPAGATION_MS = 6000.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def purges_in_reverse(named: dict[str, Any]) -> list[dict[str, Any]]:
    """Return two purges of the same copies, the later one first."""
    now = time.time() * 1000.0
    return [{"invalidate": {**named, "time": round(now - age)}} for age in (LATER_MS, EARLIER_MS)]


@pytest.mark.parametrize("named", [{"object": OBJECT}, {"bucket": GROUP}], ids=["object", "group"])
@pytest.mark.parametrize("at_start", [False, True], ids=["while it serves", "at its start"])
async def test_an_earlier_purge_notified_last_does_not_replace_the_later_one(
    named: dict[str, Any], at_start: bool, tmp_path: Path
) -> None:
    """Guards against requests that accept a copy from between the two purges."""
    began_at = time.monotonic()
    purges = purges_in_reverse(named)

    def add_to_known(testbed: FrontTestbed) -> None:
        known = testbed.config["known"]
        for purge in purges if at_start else ():
            known["seq"] += 1
            known["results"].append({"seq": known["seq"], **purge})

    async with front_testbed(tmp_path, prepare=add_to_known) as testbed:
        if not at_start:
            for purge in purges:
                testbed.add_event(**purge)
            await testbed.wait_for_poll_since(3)
        caller = await testbed.connect_client()
        await caller.send(client_request(1))
        attempt = await testbed.next_command()
        elapsed_ms = (time.monotonic() - began_at) * 1000.0
        assert 0.0 < float(attempt.fields["fresh"]) <= LATER_MS + elapsed_ms


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 20_000.0),
            st.floats(0.0, 10_000.0),
            st.sampled_from([(5, 1), (6, 1), (0, 1), (0, 2)]),
        ),
        max_size=8,
    ),
    st.floats(0.0, 30_000.0),
)
def test_no_copy_older_than_a_purge_that_applies_is_accepted_in_any_order(
    notified: list[tuple[float, float, tuple[int, int]]], now: float
) -> None:
    """Guards against any order of purges, their ages and their ends in which an older copy is accepted."""
    table = PurgeTable(PROPAGATION_MS)
    latest = float("-inf")
    for at, age, (object_id, group) in sorted(each for each in notified if each[0] <= now):
        table.record(Purged(object_id, group, age), at)
        if (object_id == 5 or (object_id == 0 and group == 1)) and at + PROPAGATION_MS > now:
            latest = max(latest, at - age)
    purged_at = table.latest(5, 1, now)
    if latest > float("-inf"):
        assert purged_at is not None and purged_at >= latest
    else:
        assert purged_at is None


def test_purges_of_other_objects_and_groups_do_not_apply() -> None:
    """Guards against copies refused for a purge that does not name them."""
    table = PurgeTable(PROPAGATION_MS)
    table.record(Purged(5, 1, 100.0), 1000.0)
    table.record(Purged(0, 2, 50.0), 1000.0)
    assert table.latest(6, 1, 1001.0) is None and table.latest(5, 1, 1001.0) == 900.0
    assert table.latest(5, 2, 1001.0) == 950.0
    assert table.latest(5, 1, 1000.0 + PROPAGATION_MS) is None
