"""The soak on fixed seeds keeps every rule; with a guard taken away, its checker finds what it guards."""

import json
import shutil
from pathlib import Path

import pytest

from cometseam.soak import Fault, History, Kind, Outcome, Rule, SoakTerms, check, draw, run_seed
from cometseam.soak.checker import Limits
from cometseam.soak.history import (
    Abandoned,
    Acted,
    Arrived,
    Changed,
    DiscoveryTrouble,
    Ended,
    Finished,
    Polled,
    Record,
    Replied,
    Requested,
    Sampled,
    Started,
)

SHORT = SoakTerms(seconds=8.0)
SEEDS = (3, 10, 13, 16)  # on which the release before the incident broke a rule
CONFIG = json.loads((Path(__file__).parent.parent / "deploy" / "sample.json").read_text())
SHIM = Path(__file__).parent / "standins" / "unguarded.py"
MOST_SEEDS = 10  # within which a missing guard is found
# Where the shim's name is not the rule's; the faults that bring it out, where chance brings them seldom.
FINDS = {"drain at a start": Rule.DRAIN}
BRINGS = {
    "drain at a start": (
        Fault(1.0, Kind.KILL, 0, 0.7, 0.0), Fault(1.05, Kind.DRAIN, 0, 4.0, 0.0),
        Fault(1.1, Kind.DISCOVERY_SLOW, 0, 4.0, 0.7),
    ),
    "no effect twice": tuple(Fault(0.5 * number, Kind.RESET, number, 0.0, 0.0) for number in range(1, 12)),
    "client gone": tuple(
        fault for number in range(1, 6)
        for fault in (
            Fault(number, Kind.HANG, number, 1.0, 0.0), Fault(number + 0.1, Kind.HANG, number + 2, 1.0, 0.0),
            Fault(number + 0.2, Kind.LEAVE, number, 0.0, 0.0),
        )
    ),
    "one attempt at a time": tuple(Fault(number, Kind.HANG, number, 1.5, 0.0) for number in range(1, 6)),
}  # fmt: skip

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_seed_keeps_every_rule_and_its_faults_have_acted(seed: int, tmp_path: Path) -> None:
    outcome = await run_seed(seed, SHORT, CONFIG, tmp_path)
    assert outcome.violations == [], (outcome.violations[:5], outcome.timeline)
    assert sum(outcome.acted.values()) >= 8 and outcome.codes[1] > 300
    assert outcome.timeline.read_text().count("\n") > 1000


@pytest.mark.parametrize("guard", [
    "answered", "answered once", "one attempt at a time", "no effect twice", "drain", "drain at a start",
    "purge", "client gone", "time left", "process", "resources",
])  # fmt: skip
async def test_a_guard_that_is_missing_is_found_within_ten_seeds(
    guard: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shutil.copy(SHIM, tmp_path / "sitecustomize.py")
    path = f"{tmp_path}:{Path(__file__).parent.parent}"
    if guard in BRINGS:
        monkeypatch.setattr("cometseam.soak.engine.draw", lambda seed, terms: BRINGS[guard])
    rule, found = FINDS.get(guard, guard), set[str]()
    for seed in range(1, MOST_SEEDS + 1):
        outcome: Outcome = await run_seed(
            seed, SoakTerms(seconds=6.0, fronts=2), CONFIG, tmp_path / str(seed),
            environment={"PYTHONPATH": path, "TEST_UNGUARDED": guard},
        )  # fmt: skip
        found |= {violation.rule for violation in outcome.violations}
        if rule in found:
            return
    pytest.fail(f"found {sorted(found)}")


def test_a_seed_draws_the_same_faults_each_time_and_kinds_overlap() -> None:
    assert draw(7, SHORT) == draw(7, SHORT) != draw(8, SHORT)
    kinds = {fault.kind for seed in range(40) for fault in draw(seed, SHORT)}
    assert kinds == set(Kind)
    for seed in range(40):
        times = [fault.at for fault in draw(seed, SHORT)]
        assert times == sorted(times)


# The checker, on histories written by hand

STARTED = Started(0.0, 0, 1, 0)
ASKED = Requested(10.0, 0, 1, "a", 2.0, 3, "maps")
AT = 10.01


def arrived(
    at: float, endpoint: str = "e", source: str = "", left: float = 1.5, oldest: float = 0.0
) -> Arrived:  # fmt: skip
    return Arrived(at, at, 0, 1, endpoint, source, "a", left, oldest)


def broken(*records: Record) -> set[Rule]:
    """Which rules a history breaks."""
    limits = Limits(max_copy_ages=(("maps", 20.0),), non_idempotent_classes=("maps",), descriptors=50)
    found = check(History([STARTED, *records]), limits)
    return {violation.rule for violation in found}


def answered(*records: Record) -> set[Rule]:
    """The same, with a request that is asked and answered."""
    return broken(ASKED, Replied(11.0, "a", 1), *records)


def test_an_answer_is_due_half_a_second_past_its_time_unless_its_client_or_its_front_is_gone() -> None:
    assert broken(ASKED, Replied(12.4, "a", 1)) == set()
    assert broken(ASKED, Replied(12.6, "a", 1)) == {Rule.ANSWERED}
    assert broken(ASKED) == {Rule.ANSWERED}
    assert broken(ASKED, Replied(11.0, "a", 1), Replied(11.1, "a", 2)) == {Rule.ANSWERED_ONCE}
    assert broken(ASKED, Abandoned(11.0, "a", True)) == set()
    assert broken(ASKED, Abandoned(11.0, "a", False)) == {Rule.ANSWERED}
    assert broken(ASKED, Abandoned(10.04, "a", False)) == set()  # it crossed the connection's end
    assert broken(ASKED, Abandoned(11.0, "a", False), Ended(11.0, 0, 1, -9, 0.0, True)) == set()
    announced = Ended(12.7, 0, 1, -9, 9.0, True)  # SIGTERM came first: what is unanswered then is lost
    assert broken(ASKED, Abandoned(12.7, "a", False), announced) == {Rule.ANSWERED}
    stopped = Acted(11.0, "pause", "front-0", 12.0)
    assert broken(ASKED, Replied(13.4, "a", 2), stopped) == set()


def test_one_attempt_is_out_at_a_time_and_a_class_that_runs_once_is_not_repeated() -> None:
    first, second = arrived(AT), arrived(10.2, "f")
    assert answered(first, second) == {Rule.ONE_ATTEMPT}
    assert answered(first, Finished(10.3, "e", "a", "DONE"), second) == {Rule.ONE_ATTEMPT}
    assert answered(first, Finished(10.1, "e", "a", "LACK"), second) == set()
    assert answered(first, Finished(10.1, "e", "a", "BROKE"), second) == {Rule.ONE_EFFECT}


def test_no_attempt_begins_a_tenth_of_a_second_after_its_client_left_nor_is_told_too_much_time() -> None:
    left = Abandoned(10.1, "a", True)
    assert broken(ASKED, left, arrived(10.2)) == set()
    assert broken(ASKED, left, arrived(10.3)) == {Rule.CLIENT_GONE}
    assert answered(arrived(AT, left=2.1)) == set()
    assert answered(arrived(AT, left=2.2)) == {Rule.TIME_LEFT}


def test_a_drain_counts_from_an_answer_from_when_it_could_have_been_asked_for_or_from_the_bound() -> None:
    drain = Changed(9.0, 1, "e", "leaving")
    watched = Polled(8.9, 0, 1, 9.5, 9.5, 1)
    assert answered(drain, watched, arrived(10.04)) == set()
    assert answered(drain, watched, arrived(10.06)) == {Rule.DRAIN}
    assert answered(drain, watched, arrived(10.06, "f", source="e")) == {Rule.DRAIN}
    silent = Polled(8.9, 0, 1, 0.0, 15.0, 0)
    assert answered(drain, silent, arrived(AT)) == set()
    old, unanswered = Changed(2.0, 1, "e", "leaving"), Polled(1.9, 0, 1, 0.0, 15.0, 0)
    assert answered(old, unanswered, arrived(AT)) == {Rule.DRAIN}
    assert answered(drain, arrived(AT)) == {Rule.DRAIN}  # it did not ask at all
    assert answered(drain, DiscoveryTrouble(8.0, 9.6, 0, 0.0), arrived(AT)) == set()
    assert answered(drain, DiscoveryTrouble(8.0, 9.4, 0, 0.0), arrived(AT)) == {Rule.DRAIN}


def test_a_purge_bounds_the_age_of_copies_until_none_is_left_and_from_the_start_that_follows_it() -> None:
    purge, told = Changed(9.0, 1, purged_group=3), Polled(8.9, 0, 1, 9.1, 9.1, 1)
    assert answered(purge, told, arrived(AT)) == {Rule.PURGE}  # the class's own age
    assert answered(purge, told, arrived(AT, oldest=1.0)) == set()
    assert answered(purge, told, arrived(AT, oldest=1.2)) == {Rule.PURGE}
    assert answered(Changed(9.0, 1, purged_group=2), told, arrived(AT)) == set()
    assert answered(Changed(3.0, 1, purged_group=3), Polled(2.9, 0, 1, 3.1, 3.1, 1), arrived(AT)) == set()
    limits = Limits(max_copy_ages=(("maps", 20.0),))
    later = History([Started(9.5, 0, 1, 1), ASKED, Replied(11.0, "a", 1), purge, arrived(AT)])
    assert check(later, limits) == []


def test_an_end_that_nobody_asked_for_a_bad_status_and_too_many_descriptors_are_found() -> None:
    assert broken(Ended(9.0, 0, 1, 0, 8.0, False)) == set()
    assert broken(Ended(9.0, 0, 1, 1, 8.0, False)) == {Rule.PROCESS}
    assert broken(Ended(9.0, 0, 1, 0, 0.0, False)) == {Rule.PROCESS}
    assert broken(Sampled(9.0, 0, 51, 20.0)) == {Rule.RESOURCES}


def test_one_attempt_that_a_stop_fell_into_is_left_out_and_a_second_one_makes_both_count() -> None:
    stop = Acted(10.05, "pause", "front-0", 13.0)
    other = Requested(10.0, 0, 1, "b", 2.0, 3, "maps")
    late = Arrived(13.001, 13.001, 0, 1, "e", "", "b", 1.5, 0.0)
    assert answered(stop, arrived(13.001)) == set()
    assert answered(stop, arrived(13.001), other, Replied(11.0, "b", 1), late) == {Rule.TIME_LEFT}
