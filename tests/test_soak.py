"""Soak test on fixed seeds, and its checker.

Guards against two failures: a front that breaks a rule of the service under overlapping faults, and a checker
that would miss it. For the second, each guard of a front is disabled in turn (`standins/unguarded.py`), and
the checker has to report the rule that the guard protects.
"""

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
SEEDS = (3, 10, 13, 16)  # the release before the incident broke a rule on each of them
CONFIG = json.loads((Path(__file__).parent.parent / "deploy" / "sample.json").read_text())
CONFIG["limits"]["memory_mb"] = 48  # clients that send half of a request come to it
SHIM = Path(__file__).parent / "standins" / "unguarded.py"
MAX_SEEDS = 10  # within which the checker has to notice a disabled guard
# The rule that a guard protects, where it has another name than the guard.
RULE_BY_GUARD = {"drain at a start": Rule.DRAIN}
# Faults that expose a missing guard, where drawn faults do so too rarely.
FAULTS_BY_GUARD = {
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
async def test_no_rule_is_broken_on_fixed_seeds_and_faults_are_injected(seed: int, tmp_path: Path) -> None:
    outcome = await run_seed(seed, SHORT, CONFIG, tmp_path)
    assert outcome.violations == [], (outcome.violations[:5], outcome.timeline)
    assert sum(outcome.acted.values()) >= 8 and outcome.codes[1] > 300
    assert outcome.timeline.read_text().count("\n") > 1000


@pytest.mark.parametrize("guard", [
    "answered", "answered once", "one attempt at a time", "no effect twice", "drain", "drain at a start",
    "purge", "client gone", "time left", "process", "resources", "memory",
])  # fmt: skip
async def test_checker_reports_a_disabled_guard_within_ten_seeds(
    guard: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shutil.copy(SHIM, tmp_path / "sitecustomize.py")
    path = f"{tmp_path}:{Path(__file__).parent.parent}"
    if guard in FAULTS_BY_GUARD:
        monkeypatch.setattr("cometseam.soak.engine.draw", lambda seed, terms: FAULTS_BY_GUARD[guard])
    rule, found = RULE_BY_GUARD.get(guard, guard), set[str]()
    for seed in range(1, MAX_SEEDS + 1):
        outcome: Outcome = await run_seed(
            seed, SoakTerms(seconds=6.0, fronts=2), CONFIG, tmp_path / str(seed),
            environment={"PYTHONPATH": path, "TEST_UNGUARDED": guard},
        )  # fmt: skip
        found |= {violation.rule for violation in outcome.violations}
        if rule in found:
            return
    pytest.fail(f"found {sorted(found)}")


def test_draw_is_reproducible_ordered_by_time_and_covers_all_kinds() -> None:
    assert draw(7, SHORT) == draw(7, SHORT) != draw(8, SHORT)
    kinds = {fault.kind for seed in range(40) for fault in draw(seed, SHORT)}
    assert kinds == set(Kind)
    for seed in range(40):
        times = [fault.at for fault in draw(seed, SHORT)]
        assert times == sorted(times)


# The checker on hand-written histories

FRONT_STARTED = Started(0.0, 0, 1, 0)
REQUESTED = Requested(10.0, 0, 1, "a", 2.0, 3, "maps")
ARRIVED_AT = 10.01


def arrived(
    at: float, endpoint: str = "e", source: str = "", left: float = 1.5, oldest: float = 0.0
) -> Arrived:  # fmt: skip
    return Arrived(at, at, 0, 1, endpoint, source, "a", left, oldest)


def broken_rules(*records: Record) -> set[Rule]:
    """Return the rules that a history breaks."""
    limits = Limits(max_copy_ages=(("maps", 20.0),), non_idempotent_classes=("maps",), descriptors=50)
    found = check(History([FRONT_STARTED, *records]), limits)
    return {violation.rule for violation in found}


def broken_if_answered(*records: Record) -> set[Rule]:
    """Return the rules that a history breaks in which the request is answered in time."""
    return broken_rules(REQUESTED, Replied(11.0, "a", 1), *records)


def test_an_answer_is_due_half_a_second_past_its_deadline_unless_its_client_or_its_front_is_gone() -> None:
    assert broken_rules(REQUESTED, Replied(12.4, "a", 1)) == set()
    assert broken_rules(REQUESTED, Replied(12.6, "a", 1)) == {Rule.ANSWERED}
    assert broken_rules(REQUESTED) == {Rule.ANSWERED}
    assert broken_rules(REQUESTED, Replied(11.0, "a", 1), Replied(11.1, "a", 2)) == {Rule.ANSWERED_ONCE}
    assert broken_rules(REQUESTED, Abandoned(11.0, "a", True)) == set()
    assert broken_rules(REQUESTED, Abandoned(11.0, "a", False)) == {Rule.ANSWERED}
    assert broken_rules(REQUESTED, Abandoned(10.04, "a", False)) == set()  # sent as it ended
    assert broken_rules(REQUESTED, Abandoned(11.0, "a", False), Ended(11.0, 0, 1, -9, 0.0, True)) == set()
    announced = Ended(12.7, 0, 1, -9, 9.0, True)  # after SIGTERM, unanswered requests count as lost
    assert broken_rules(REQUESTED, Abandoned(12.7, "a", False), announced) == {Rule.ANSWERED}
    stopped = Acted(11.0, "pause", "front-0", 12.0)
    assert broken_rules(REQUESTED, Replied(13.4, "a", 2), stopped) == set()


def test_one_attempt_is_in_flight_at_a_time_and_a_non_idempotent_class_is_not_repeated() -> None:
    first, second = arrived(ARRIVED_AT), arrived(10.2, "f")
    assert broken_if_answered(first, second) == {Rule.ONE_ATTEMPT}
    assert broken_if_answered(first, Finished(10.3, "e", "a", "DONE"), second) == {Rule.ONE_ATTEMPT}
    assert broken_if_answered(first, Finished(10.1, "e", "a", "LACK"), second) == set()
    assert broken_if_answered(first, Finished(10.1, "e", "a", "BROKE"), second) == {Rule.ONE_EFFECT}


def test_no_attempt_begins_after_its_client_left_or_with_more_time_than_the_client_has() -> None:
    client_left = Abandoned(10.1, "a", True)
    assert broken_rules(REQUESTED, client_left, arrived(10.2)) == set()
    assert broken_rules(REQUESTED, client_left, arrived(10.3)) == {Rule.CLIENT_GONE}
    assert broken_if_answered(arrived(ARRIVED_AT, left=2.1)) == set()
    assert broken_if_answered(arrived(ARRIVED_AT, left=2.2)) == {Rule.TIME_LEFT}


def test_a_drain_counts_from_its_answer_from_the_earliest_possible_poll_or_from_the_bound() -> None:
    drain = Changed(9.0, 1, "e", "leaving")
    poll = Polled(8.9, 0, 1, 9.5, 9.5, 1)
    assert broken_if_answered(drain, poll, arrived(10.04)) == set()
    assert broken_if_answered(drain, poll, arrived(10.06)) == {Rule.DRAIN}
    assert broken_if_answered(drain, poll, arrived(10.06, "f", source="e")) == {Rule.DRAIN}
    unanswered = Polled(8.9, 0, 1, 0.0, 15.0, 0)
    assert broken_if_answered(drain, unanswered, arrived(ARRIVED_AT)) == set()
    old_drain, never_answered = Changed(2.0, 1, "e", "leaving"), Polled(1.9, 0, 1, 0.0, 15.0, 0)
    assert broken_if_answered(old_drain, never_answered, arrived(ARRIVED_AT)) == {Rule.DRAIN}
    assert broken_if_answered(drain, arrived(ARRIVED_AT)) == {Rule.DRAIN}  # the front did not poll at all
    assert broken_if_answered(drain, DiscoveryTrouble(8.0, 9.6, 0, 0.0), arrived(ARRIVED_AT)) == set()
    assert broken_if_answered(drain, DiscoveryTrouble(8.0, 9.4, 0, 0.0), arrived(ARRIVED_AT)) == {Rule.DRAIN}


def test_a_purge_bounds_the_age_of_copies_until_it_has_propagated_or_the_front_restarts() -> None:
    purge, poll = Changed(9.0, 1, purged_group=3), Polled(8.9, 0, 1, 9.1, 9.1, 1)
    assert broken_if_answered(purge, poll, arrived(ARRIVED_AT)) == {Rule.PURGE}  # the age limit of the class
    assert broken_if_answered(purge, poll, arrived(ARRIVED_AT, oldest=1.0)) == set()
    assert broken_if_answered(purge, poll, arrived(ARRIVED_AT, oldest=1.2)) == {Rule.PURGE}
    assert broken_if_answered(Changed(9.0, 1, purged_group=2), poll, arrived(ARRIVED_AT)) == set()
    assert (
        broken_if_answered(
            Changed(3.0, 1, purged_group=3), Polled(2.9, 0, 1, 3.1, 3.1, 1), arrived(ARRIVED_AT)
        )
        == set()
    )
    limits = Limits(max_copy_ages=(("maps", 20.0),))
    later = History([Started(9.5, 0, 1, 1), REQUESTED, Replied(11.0, "a", 1), purge, arrived(ARRIVED_AT)])
    assert check(later, limits) == []


def test_an_unexpected_end_a_bad_status_and_too_many_descriptors_are_reported() -> None:
    assert broken_rules(Ended(9.0, 0, 1, 0, 8.0, False)) == set()
    assert broken_rules(Ended(9.0, 0, 1, 1, 8.0, False)) == {Rule.PROCESS}
    assert broken_rules(Ended(9.0, 0, 1, 0, 0.0, False)) == {Rule.PROCESS}
    assert broken_rules(Sampled(9.0, 0, 51, 20.0)) == {Rule.RESOURCES}
    assert broken_rules(Sampled(9.0, 0, 50, 192.0)) == set()
    assert broken_rules(Sampled(9.0, 0, 50, 192.1)) == {Rule.MEMORY}


def test_one_attempt_interrupted_by_a_pause_is_left_out_and_a_second_one_makes_both_count() -> None:
    stop = Acted(10.05, "pause", "front-0", 13.0)
    other = Requested(10.0, 0, 1, "b", 2.0, 3, "maps")
    late = Arrived(13.001, 13.001, 0, 1, "e", "", "b", 1.5, 0.0)
    assert broken_if_answered(stop, arrived(13.001)) == set()
    assert broken_if_answered(stop, arrived(13.001), other, Replied(11.0, "b", 1), late) == {Rule.TIME_LEFT}
