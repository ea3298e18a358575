"""The module under plans: by hand, and property tests against scripted caches in virtual time."""

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from cometseam import interface as i
from cometseam.operator.compile import Compiler
from cometseam.operator.platform import Platform
from cometseam.operator.schema import validate_file
from cometseam.settings import NameTables, NetworkSettings
from cometseam.timing import RouteKey, size_in_bytes
from tests.drive import SERVERS, SETTINGS, Drive, line
from tests.standins.scripted import Said, World

SLOW = i.Plan("slow", time_outs=((i.ScaledDuration(80.0, 1.0), None),) * 3)


def planned(drive: Drive, number: int, plan: int = 0, wanted: int = 5, workload: int = 0) -> None:
    """A client asks, by a plan."""
    pull = i.Pull(number, wanted, 0, workload, 2000.0, False, 500.0, 3, plan)
    drive.tell(pull, 10.0)


def driven(*plans: i.Plan, **more: Any) -> Drive:
    drive = Drive(**more)
    drive.tell(i.Plans(plans))
    return drive


def test_a_plan_sets_the_times_of_looks_fills_and_further_relays() -> None:
    spans = (
        (i.ScaledDuration(50.0, 1.0), i.ScaledDuration(60.0, 1.0)),
        (i.ScaledDuration(200.0, 2.0), None),
        (i.ScaledDuration(300.0, 0.0), None),
    )
    drive = driven(i.Plan("a", time_outs=spans))
    planned(drive, 1)
    assert drive.last[1].timeout == 150.0  # 500 KB take 100 ms
    drive.lack(1)
    assert drive.last[1].timeout == 400.0
    planned(drive, 2, wanted=6)
    drive.end(2, i.Outcome.RESET, i.Remark.NONE)
    assert drive.last[2].timeout == 160.0  # a look again, after a failure
    planned(drive, 4, workload=3)  # it can't be cached
    assert drive.last[4].timeout == 300.0
    drive.pull(3, wanted=7)
    assert drive.last[3].timeout == 600.0  # without a plan: four times its own time, and 200 ms


def test_relays_that_may_fail_are_counted_and_looks_that_lack_are_not() -> None:
    drive = driven(i.Plan("a", relays=2))
    planned(drive, 1)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    drive.lack(1)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert drive.relays[1] == 2 and "pull 1: shed" in drive.trace[-1]


def test_outcomes_that_are_not_worth_it_end_the_pull_at_once() -> None:
    drive = driven(i.Plan("a", worth=frozenset({i.Outcome.FULL})))
    planned(drive, 1)
    drive.end(1, i.Outcome.FULL, i.Remark.NONE)
    assert drive.relays[1] == 1
    drive.end(1, i.Outcome.TIMEOUT, i.Remark.NONE)
    assert drive.relays[1] == 1 and "pull 1: shed" in drive.trace[-1]


WAITS = i.Plan("waits", wait=100.0, growth=2.0, longest_wait=150.0)


def marks(drive: Drive) -> list[tuple[int, float]]:
    """Catch the timers that the module asks for from now on."""
    asked: list[tuple[int, float]] = []
    handle = drive.front.handle

    def caught(now: float, event: i.Event) -> list[i.Action]:
        actions = handle(now, event)
        asked.extend(
            (action.timer_id, now + action.delay) for action in actions if isinstance(action, i.StartTimer)
        )
        return actions

    drive.front.handle = caught  # type: ignore[method-assign]
    return asked


def test_a_further_relay_waits_and_a_drain_in_that_wait_is_kept() -> None:
    drive = driven(WAITS)
    asked = marks(drive)
    planned(drive, 1)
    first = drive.last[1].cache
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert drive.relays[1] == 0 and asked == [(1 << 16 | 0xFFFF, drive.now + 100.0)]
    other = next(edge.entry.cache for edge in drive.front.pending[1].hash_order if edge.entry.cache != first)
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(other, i.Lifecycle.DRAINING),)), 50.0)
    drive.tell(i.TimerFired(asked[0][0]), 50.0)
    assert drive.relays[1] == 1 and drive.last[1].cache not in (first, other)


def test_a_purge_in_the_wait_holds_for_the_relay_after_it() -> None:
    drive = driven(WAITS)
    asked = marks(drive)
    planned(drive, 1)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    drive.tell(i.Purged(5, 3, 0.0), 40.0)
    drive.tell(i.TimerFired(asked[0][0]), 60.0)
    assert drive.last[1].max_age == 60.0


def test_a_pull_that_leaves_in_its_wait_is_forgotten_and_its_timer_does_nothing() -> None:
    drive = driven(WAITS)
    asked = marks(drive)
    planned(drive, 1)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    drive.tell(i.ClientDisconnected(1))
    assert not drive.front.pending
    before = list(drive.trace)
    drive.tell(i.TimerFired(asked[0][0]), 100.0)
    assert drive.trace == before


def test_a_wait_that_would_pass_the_cut_off_is_answered_at_once() -> None:
    drive = driven(replace(WAITS, wait=1950.0, longest_wait=1950.0))
    planned(drive, 1)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE, after=100.0)
    assert "pull 1: shed" in drive.trace[-1]


def test_open_pulls_keep_their_plan_when_new_ones_come() -> None:
    drive = driven(WAITS)
    asked = marks(drive)
    planned(drive, 1)
    drive.tell(i.Plans((replace(WAITS, name="other", wait=0.0),)))
    planned(drive, 2, wanted=6)
    drive.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert len(asked) == 1 and drive.relays[1] == 0
    drive.end(2, i.Outcome.RESET, i.Remark.NONE)
    assert len(asked) == 1 and drive.relays[2] == 1


SECOND = i.Plan("second", second=i.ScaledDuration(120.0, 0.0))


def test_a_second_copy_goes_elsewhere_only_when_the_first_counts_as_out_no_more() -> None:
    drive = driven(SECOND)
    asked = marks(drive)
    planned(drive, 1)
    first = drive.last[1]
    drive.tell(i.TimerFired(asked[0][0]), 120.0)
    assert "pull 1: recall" in drive.trace[-1] and drive.relays[1] == 0
    drive.end(1, i.Outcome.CANCELLED, i.Remark.NONE, after=1.0)
    assert drive.relays[1] == 1 and drive.last[1].cache != first.cache
    drive.tell(i.TimerFired(asked[0][0]), 1.0)  # the first relay's timer says nothing of the second
    assert "recall" not in drive.trace[-1]


def test_an_answer_on_its_way_wins_over_the_give_up_and_the_budget_is_charged_once() -> None:
    terms = i.RetryBudgetTerms("route", 0.0, 10_000.0, 5.0)
    drive = driven(replace(SECOND, allowance=terms))
    asked = marks(drive)
    planned(drive, 1)
    drive.tell(i.TimerFired(asked[0][0]), 120.0)
    drive.end(1)  # it was answered before the give-up took effect
    assert not drive.front.pending and drive.front.active_plans.budgets[terms].further_relays == 0
    planned(drive, 2)
    drive.tell(i.TimerFired(asked[1][0]), 120.0)
    drive.end(2, i.Outcome.CANCELLED, i.Remark.NONE, after=1.0)
    late = i.RelayEnded(2, 0, 11, i.Outcome.OK, i.Remark.HIT, 130.0, 0.0, False, ())
    drive.tell(late)  # the first one's answer, late
    assert 2 in drive.front.pending and drive.front.active_plans.budgets[terms].further_relays == 1
    drive.end(2)
    assert not drive.front.pending


@pytest.mark.parametrize("why", ["alone", "struck", "no room", "not worth it", "no recalls"])
def test_a_relay_is_not_given_up_where_no_other_may_go(why: str) -> None:
    plan = SECOND
    caches: tuple[int, ...] = SERVERS
    rules = SETTINGS
    if why == "alone":
        caches = (12, 21, 31)
    elif why == "no room":
        plan = replace(plan, allowance=i.RetryBudgetTerms("route", 0.0, 1000.0, 0.0))
    elif why == "not worth it":
        plan = replace(plan, worth=frozenset({i.Outcome.RESET}))
    elif why == "no recalls":
        rules = replace(SETTINGS, can_recall=False)
    drive = driven(plan, settings=rules, caches=caches)
    asked = marks(drive)
    planned(drive, 1)
    if why == "struck":
        for edge in drive.front.edges:
            edge.consecutive_failures, edge.ejected_until = 1, float("inf")
    if why == "no recalls":
        assert asked == []
        return
    drive.tell(i.TimerFired(asked[0][0]), 120.0)
    assert "recall" not in " ".join(drive.trace)


def test_a_spent_budget_sheds_at_once_with_the_plans_time_to_come_back() -> None:
    terms = i.RetryBudgetTerms("route", 0.0, 10_000.0, 1.0)
    drive = driven(i.Plan("a", allowance=terms, come_back_in=321.0))
    told: list[i.Action] = []
    handle = drive.front.handle
    drive.front.handle = lambda now, event: told.extend(handle(now, event)) or told[-9:]  # type: ignore
    for number in (1, 2):
        pull = i.Pull(number, 5 + number, 0, 0, 2000.0, False, 500.0, 3, 0)
        told.clear()
        drive.front.handle(drive.now, pull)
        sent = next(action for action in told if isinstance(action, i.Relay))
        told.clear()
        ended = i.RelayEnded(number, 0, sent.cache, i.Outcome.RESET, i.Remark.NONE, 1.0, 0.0, False, ())
        drive.front.handle(drive.now + 1.0, ended)
        assert [type(action) for action in told] == [i.Relay if number == 1 else i.Shed]
    assert told == [i.Shed(2, 321.0)]


NAMES = NameTables(
    ("maps", "tagged", "once", "direct"), ("hub", "here", "there"), ("edge", "parent", "origin"), ("x1",)
)  # fmt: skip
PLATFORM = Platform(SETTINGS, NAMES, NetworkSettings(32, 400.0, 15000.0, 3000.0, 8.0))
ms = some.integers(1, 900).map(lambda value: f"{value}ms")
span = some.fixed_dictionaries({"base": ms, "part": some.sampled_from([0, 0.5, 1, 1.5, 3])})
plan_forms = some.fixed_dictionaries(
    {},
    optional={
        "time_outs": some.fixed_dictionaries(
            {}, optional={"look": span, "fill": span, "direct": some.fixed_dictionaries({"first": span})}
        ),
        "relays": some.integers(1, 5),
        "wait": some.fixed_dictionaries(
            {"base": ms},
            optional={"growth": some.sampled_from([1, 2, 4]), "jitter": some.sampled_from([0, 1])},
        ),
        "second": some.fixed_dictionaries({"after": span}),
        "retry_on": some.lists(
            some.sampled_from(["time-out", "reset", "error", "given-up", "full", "connect-failed", "miss"]),
            unique=True,
        ),
        "budget": some.fixed_dictionaries(
            {"share": some.sampled_from([0, 0.1, 1]), "floor": some.integers(0, 9)}
        ),
        "until": some.sampled_from(["quoted", "cut-off"]),
    },
)
ENDS = (
    [Said(None)] * 2
    + [Said(0.0, outcome, i.Remark.NONE) for outcome in i.Outcome if outcome is not i.Outcome.CANCELLED]
    + [Said(0.0)] * 3
)


def at_random(_: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
    said = chance.choice(ENDS)
    if said.delay is None:
        return said
    return replace(said, delay=chance.choice((0.1, 30.0, 110.0, 250.0, 700.0)))


seen: dict[str, int] = {"good": 0, "refused": 0}


@given(plan_forms, plan_forms, some.integers(0, 3), some.integers(0, 1 << 30))
@settings(derandomize=True, deadline=None, max_examples=400)
def test_what_the_checker_lets_through_keeps_the_rules(
    default: dict[str, Any], mine: dict[str, Any], workload: int, seed: int
) -> None:
    value = {
        "version": 1,
        "largest": {"maps": "500KB", "tagged": "500KB", "once": "500KB", "direct": "500KB"},
        "default": default if workload == 0 else {},
        "workloads": {NAMES.workloads[workload]: mine},
    }
    file, faults = validate_file(json.loads(json.dumps(value)))
    assert file is not None, faults
    compiler = Compiler(file, PLATFORM)
    if compiler.faults:
        seen["refused"] += 1
        return
    seen["good"] += 1
    compiled, _ = compiler.build("")
    world = World(SETTINGS, tuple(line(cache) for cache in SERVERS), at_random, seed)
    world.tell(compiled.plans)
    chance = Random(seed)
    for number in range(1, 31):
        wanted, size_kb = chance.randrange(5), chance.choice((5.0, 100.0, 500.0))
        found = compiled.table.find(RouteKey(workload, wanted, 3, 0, size_in_bytes(size_kb), 1))
        plan = compiled.table.routes[found][0]
        due = number * chance.choice((1.0, 60.0))
        world.pull(due, i.Pull(number, wanted, 0, workload, 2000.0, False, size_kb, 3, plan))
    world.at(
        300.0,
        lambda: world.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(11, i.Lifecycle.DRAINING),))),
    )
    world.at(500.0, lambda: world.tell(compiled.plans))
    world.run()
    assert world.judge() == []
    terms = compiler.entries[workload].plan.allowance
    if terms is not None:
        assert world.further <= terms.floor + terms.share * world.first


def test_the_property_test_saw_files_of_both_kinds() -> None:
    assert seen["good"] > 60 and seen["refused"] > 60, seen


def down(start: float, end: float) -> Callable[[float, i.Relay, i.Pull, Random], Said]:
    """Caches that answer every relay with an error between two times; errors earn credit as answers do."""

    def behave(now: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
        if start <= now < end:
            return Said(chance.uniform(1.0, 5.0), i.Outcome.ERROR, i.Remark.NONE)
        return Said(pull.size_kb / SETTINGS.stream_rate + chance.uniform(1.0, 5.0))

    return behave


def outage(plans: i.Plans, seed: int = 3) -> World:
    """All caches down for 10 s under 100 pulls a second."""
    world = World(SETTINGS, tuple(line(cache) for cache in SERVERS), down(5000.0, 15000.0), seed)
    world.tell(plans)
    chance = Random(seed)
    at = 0.0
    for number in range(1, 2001):
        at += chance.expovariate(0.1)
        world.pull(at, i.Pull(number, chance.randrange(200), 0, 0, 2000.0, False, 50.0, 3, 0))
    world.run()
    return world


def test_in_an_outage_further_relays_stay_in_the_budget_and_service_is_back_in_2_s() -> None:
    terms = i.RetryBudgetTerms("front", 0.1, 5000.0, 5.0)
    world = outage(i.Plans((i.Plan("a"),), (), terms))
    assert world.judge() == []
    assert world.further < 0.5 * outage(i.Plans((i.Plan("a"),))).further  # without a budget many more go
    for end in [at for at, further in world.sent_at if further]:  # what was let through holds when it goes
        within = sum(further for at, further in world.sent_at if end - 5000.0 < at <= end)
        # First ones count for up to a slice longer than the window.
        first = sum(not further for at, further in world.sent_at if end - 5250.0 < at <= end)
        assert within <= 5.0 + 0.1 * first, end
    after = [story for story in world.stories.values() if story.at > 17000.0]
    assert len(after) > 200
    assert all(story.finals[0][1] == "finished" for story in after)
