"""Tests of the decision logic with plans: single cases, and a property test with scripted caches.

Guards against plans that pass validation but break a rule of the service, such as relays beyond the retry
budget, a second relay beside the first or an answer after the deadline. The property test runs random plans
against caches that fail at random, in virtual time.
"""

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
from tests.drive import SERVERS, SETTINGS, FrontDriver, cache_entry
from tests.standins.scripted import FrontSimulation, ScriptedReply

SLOW_PLAN = i.Plan("slow", time_outs=((i.ScaledDuration(80.0, 1.0), None),) * 3)


def start_pull(
    driver: FrontDriver, number: int, plan: int = 0, object_number: int = 5, workload: int = 0
) -> None:
    """Send a pull with the plan of that number."""
    pull = i.Pull(number, object_number, 0, workload, 2000.0, False, 500.0, 3, plan)
    driver.send_event(pull, 10.0)


def drive_with_plans(*plans: i.Plan, **options: Any) -> FrontDriver:
    driver = FrontDriver(**options)
    driver.send_event(i.Plans(plans))
    return driver


def test_a_plan_sets_the_time_outs_of_lookups_fills_and_further_relays() -> None:
    time_outs = (
        (i.ScaledDuration(50.0, 1.0), i.ScaledDuration(60.0, 1.0)),
        (i.ScaledDuration(200.0, 2.0), None),
        (i.ScaledDuration(300.0, 0.0), None),
    )
    driver = drive_with_plans(i.Plan("a", time_outs=time_outs))
    start_pull(driver, 1)
    assert driver.last[1].timeout == 150.0  # 500 KB take 100 ms
    driver.end_with_miss(1)
    assert driver.last[1].timeout == 400.0
    start_pull(driver, 2, object_number=6)
    driver.end(2, i.Outcome.RESET, i.Remark.NONE)
    assert driver.last[2].timeout == 160.0  # a cache lookup again, after a failure
    start_pull(driver, 4, workload=3)  # this workload is not cacheable
    assert driver.last[4].timeout == 300.0
    driver.pull(3, object_id=7)
    assert driver.last[3].timeout == 600.0  # without a plan: four times its sending time and 200 ms


def test_failed_relays_count_towards_the_limit_and_lookup_misses_do_not() -> None:
    driver = drive_with_plans(i.Plan("a", relays=2))
    start_pull(driver, 1)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    driver.end_with_miss(1)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert driver.relays[1] == 2 and "pull 1: shed" in driver.trace[-1]


def test_an_outcome_that_is_not_in_retry_on_ends_the_pull_at_once() -> None:
    driver = drive_with_plans(i.Plan("a", worth=frozenset({i.Outcome.FULL})))
    start_pull(driver, 1)
    driver.end(1, i.Outcome.FULL, i.Remark.NONE)
    assert driver.relays[1] == 1
    driver.end(1, i.Outcome.TIMEOUT, i.Remark.NONE)
    assert driver.relays[1] == 1 and "pull 1: shed" in driver.trace[-1]


WAIT_PLAN = i.Plan("waits", wait=100.0, growth=2.0, longest_wait=150.0)


def record_timers(driver: FrontDriver) -> list[tuple[int, float]]:
    """Return a list that receives the id and due time (ms) of every timer started from now on."""
    timers: list[tuple[int, float]] = []
    handle = driver.front.handle

    def handle_and_record(now: float, event: i.Event) -> list[i.Action]:
        actions = handle(now, event)
        timers.extend(
            (action.timer_id, now + action.delay) for action in actions if isinstance(action, i.StartTimer)
        )
        return actions

    driver.front.handle = handle_and_record  # type: ignore[method-assign]
    return timers


def test_a_further_relay_waits_and_avoids_a_cache_drained_during_the_wait() -> None:
    driver = drive_with_plans(WAIT_PLAN)
    timers = record_timers(driver)
    start_pull(driver, 1)
    first = driver.last[1].cache
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert driver.relays[1] == 0 and timers == [(1 << 16 | 0xFFFF, driver.now + 100.0)]
    other = next(edge.entry.cache for edge in driver.front.pending[1].hash_order if edge.entry.cache != first)
    driver.send_event(
        i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(other, i.Lifecycle.DRAINING),)), 50.0
    )
    driver.send_event(i.TimerFired(timers[0][0]), 50.0)
    assert driver.relays[1] == 1 and driver.last[1].cache not in (first, other)


def test_a_purge_during_the_wait_limits_the_age_for_the_next_relay() -> None:
    driver = drive_with_plans(WAIT_PLAN)
    timers = record_timers(driver)
    start_pull(driver, 1)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    driver.send_event(i.Purged(5, 3, 0.0), 40.0)
    driver.send_event(i.TimerFired(timers[0][0]), 60.0)
    assert driver.last[1].max_age == 60.0


def test_a_pull_abandoned_during_its_wait_is_removed_and_its_timer_does_nothing() -> None:
    driver = drive_with_plans(WAIT_PLAN)
    timers = record_timers(driver)
    start_pull(driver, 1)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    driver.send_event(i.ClientDisconnected(1))
    assert not driver.front.pending
    before = list(driver.trace)
    driver.send_event(i.TimerFired(timers[0][0]), 100.0)
    assert driver.trace == before


def test_a_pull_whose_wait_would_pass_the_deadline_is_shed_at_once() -> None:
    driver = drive_with_plans(replace(WAIT_PLAN, wait=1950.0, longest_wait=1950.0))
    start_pull(driver, 1)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE, after=100.0)
    assert "pull 1: shed" in driver.trace[-1]


def test_open_pulls_keep_their_plan_when_the_plans_are_replaced() -> None:
    driver = drive_with_plans(WAIT_PLAN)
    timers = record_timers(driver)
    start_pull(driver, 1)
    driver.send_event(i.Plans((replace(WAIT_PLAN, name="other", wait=0.0),)))
    start_pull(driver, 2, object_number=6)
    driver.end(1, i.Outcome.RESET, i.Remark.NONE)
    assert len(timers) == 1 and driver.relays[1] == 0
    driver.end(2, i.Outcome.RESET, i.Remark.NONE)
    assert len(timers) == 1 and driver.relays[2] == 1


SECOND_RELAY_PLAN = i.Plan("second", second=i.ScaledDuration(120.0, 0.0))


def test_a_second_relay_goes_to_another_cache_only_after_the_first_is_no_longer_in_flight() -> None:
    driver = drive_with_plans(SECOND_RELAY_PLAN)
    timers = record_timers(driver)
    start_pull(driver, 1)
    first = driver.last[1]
    driver.send_event(i.TimerFired(timers[0][0]), 120.0)
    assert "pull 1: recall" in driver.trace[-1] and driver.relays[1] == 0
    driver.end(1, i.Outcome.CANCELLED, i.Remark.NONE, after=1.0)
    assert driver.relays[1] == 1 and driver.last[1].cache != first.cache
    driver.send_event(i.TimerFired(timers[0][0]), 1.0)  # the first relay's timer does not apply to the second
    assert "recall" not in driver.trace[-1]


def test_an_answer_that_overtakes_the_recall_ends_the_pull_and_the_budget_is_charged_once() -> None:
    terms = i.RetryBudgetTerms("route", 0.0, 10_000.0, 5.0)
    driver = drive_with_plans(replace(SECOND_RELAY_PLAN, allowance=terms))
    timers = record_timers(driver)
    start_pull(driver, 1)
    driver.send_event(i.TimerFired(timers[0][0]), 120.0)
    driver.end(1)  # answered before the recall took effect
    assert not driver.front.pending and driver.front.active_plans.budgets[terms].further_relays == 0
    start_pull(driver, 2)
    driver.send_event(i.TimerFired(timers[1][0]), 120.0)
    driver.end(2, i.Outcome.CANCELLED, i.Remark.NONE, after=1.0)
    late_answer = i.RelayEnded(2, 0, 11, i.Outcome.OK, i.Remark.HIT, 130.0, 0.0, False, ())
    driver.send_event(late_answer)  # the late answer of the first relay
    assert 2 in driver.front.pending and driver.front.active_plans.budgets[terms].further_relays == 1
    driver.end(2)
    assert not driver.front.pending


@pytest.mark.parametrize("why", ["alone", "struck", "no room", "not worth it", "no recalls"])
def test_a_relay_is_not_recalled_where_no_other_may_follow(why: str) -> None:
    plan = SECOND_RELAY_PLAN
    caches: tuple[int, ...] = SERVERS
    drive_settings = SETTINGS
    if why == "alone":
        caches = (12, 21, 31)
    elif why == "no room":
        plan = replace(plan, allowance=i.RetryBudgetTerms("route", 0.0, 1000.0, 0.0))
    elif why == "not worth it":
        plan = replace(plan, worth=frozenset({i.Outcome.RESET}))
    elif why == "no recalls":
        drive_settings = replace(SETTINGS, can_recall=False)
    driver = drive_with_plans(plan, settings=drive_settings, caches=caches)
    timers = record_timers(driver)
    start_pull(driver, 1)
    if why == "struck":
        for edge in driver.front.edges:
            edge.consecutive_failures, edge.ejected_until = 1, float("inf")
    if why == "no recalls":
        assert timers == []
        return
    driver.send_event(i.TimerFired(timers[0][0]), 120.0)
    assert "recall" not in " ".join(driver.trace)


def test_with_a_spent_budget_a_failed_pull_is_shed_at_once_with_the_plans_retry_time() -> None:
    terms = i.RetryBudgetTerms("route", 0.0, 10_000.0, 1.0)
    driver = drive_with_plans(i.Plan("a", allowance=terms, come_back_in=321.0))
    actions: list[i.Action] = []
    handle = driver.front.handle
    driver.front.handle = lambda now, event: actions.extend(handle(now, event)) or actions[-9:]  # type: ignore
    for number in (1, 2):
        pull = i.Pull(number, 5 + number, 0, 0, 2000.0, False, 500.0, 3, 0)
        actions.clear()
        driver.front.handle(driver.now, pull)
        relay = next(action for action in actions if isinstance(action, i.Relay))
        actions.clear()
        relay_ended = i.RelayEnded(
            number, 0, relay.cache, i.Outcome.RESET, i.Remark.NONE, 1.0, 0.0, False, ()
        )
        driver.front.handle(driver.now + 1.0, relay_ended)
        assert [type(action) for action in actions] == [i.Relay if number == 1 else i.Shed]
    assert actions == [i.Shed(2, 321.0)]


NAMES = NameTables(
    ("maps", "tagged", "once", "direct"), ("hub", "here", "there"), ("edge", "parent", "origin"), ("x1",)
)  # fmt: skip
PLATFORM = Platform(SETTINGS, NAMES, NetworkSettings(32, 400.0, 15000.0, 3000.0, 8.0))
durations = some.integers(1, 900).map(lambda value: f"{value}ms")
spans = some.fixed_dictionaries({"base": durations, "part": some.sampled_from([0, 0.5, 1, 1.5, 3])})
plan_forms = some.fixed_dictionaries(
    {},
    optional={
        "time_outs": some.fixed_dictionaries(
            {}, optional={"look": spans, "fill": spans, "direct": some.fixed_dictionaries({"first": spans})}
        ),
        "relays": some.integers(1, 5),
        "wait": some.fixed_dictionaries(
            {"base": durations},
            optional={"growth": some.sampled_from([1, 2, 4]), "jitter": some.sampled_from([0, 1])},
        ),
        "second": some.fixed_dictionaries({"after": spans}),
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
SCRIPTED_RESULTS = (
    [ScriptedReply(None)] * 2
    + [
        ScriptedReply(0.0, outcome, i.Remark.NONE)
        for outcome in i.Outcome
        if outcome is not i.Outcome.CANCELLED
    ]
    + [ScriptedReply(0.0)] * 3
)


def random_behaviour(_: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
    result = random.choice(SCRIPTED_RESULTS)
    if result.delay is None:
        return result
    return replace(result, delay=random.choice((0.1, 30.0, 110.0, 250.0, 700.0)))


file_counts: dict[str, int] = {"good": 0, "refused": 0}


@given(plan_forms, plan_forms, some.integers(0, 3), some.integers(0, 1 << 30))
@settings(derandomize=True, deadline=None, max_examples=400)
def test_plans_that_pass_validation_keep_the_rules(
    default_plan: dict[str, Any], workload_plan: dict[str, Any], workload: int, seed: int
) -> None:
    value = {
        "version": 1,
        "largest": {"maps": "500KB", "tagged": "500KB", "once": "500KB", "direct": "500KB"},
        "default": default_plan if workload == 0 else {},
        "workloads": {NAMES.workloads[workload]: workload_plan},
    }
    file, faults = validate_file(json.loads(json.dumps(value)))
    assert file is not None, faults
    compiler = Compiler(file, PLATFORM)
    if compiler.faults:
        file_counts["refused"] += 1
        return
    file_counts["good"] += 1
    compiled, _ = compiler.build("")
    simulation = FrontSimulation(
        SETTINGS, tuple(cache_entry(cache) for cache in SERVERS), random_behaviour, seed
    )
    simulation.send_event(compiled.plans)
    random = Random(seed)
    for number in range(1, 31):
        object_number, size_kb = random.randrange(5), random.choice((5.0, 100.0, 500.0))
        route_index = compiled.table.find(RouteKey(workload, object_number, 3, 0, size_in_bytes(size_kb), 1))
        plan = compiled.table.routes[route_index][0]
        due_at = number * random.choice((1.0, 60.0))
        simulation.pull(due_at, i.Pull(number, object_number, 0, workload, 2000.0, False, size_kb, 3, plan))
    simulation.schedule(
        300.0,
        lambda: simulation.send_event(
            i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(11, i.Lifecycle.DRAINING),))
        ),
    )
    simulation.schedule(500.0, lambda: simulation.send_event(compiled.plans))
    simulation.run()
    assert simulation.violations() == []
    terms = compiler.entries[workload].plan.allowance
    if terms is not None:
        assert simulation.further <= terms.floor + terms.share * simulation.first


def test_the_property_test_generated_valid_and_invalid_files() -> None:
    assert file_counts["good"] > 60 and file_counts["refused"] > 60, file_counts


def errors_between(start: float, end: float) -> Callable[[float, i.Relay, i.Pull, Random], ScriptedReply]:
    """Return the behaviour of caches that answer every relay with an error between two times (ms).

    Errors earn retry tokens as answers do.
    """

    def behave(now: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
        if start <= now < end:
            return ScriptedReply(random.uniform(1.0, 5.0), i.Outcome.ERROR, i.Remark.NONE)
        return ScriptedReply(pull.size_kb / SETTINGS.stream_rate + random.uniform(1.0, 5.0))

    return behave


def run_outage(plans: i.Plans, seed: int = 3) -> FrontSimulation:
    """Run 100 pulls a second while all caches fail for 10 s."""
    simulation = FrontSimulation(
        SETTINGS, tuple(cache_entry(cache) for cache in SERVERS), errors_between(5000.0, 15000.0), seed
    )
    simulation.send_event(plans)
    random = Random(seed)
    due_at = 0.0
    for number in range(1, 2001):
        due_at += random.expovariate(0.1)
        simulation.pull(due_at, i.Pull(number, random.randrange(200), 0, 0, 2000.0, False, 50.0, 3, 0))
    simulation.run()
    return simulation


def test_in_an_outage_further_relays_stay_in_the_budget_and_service_recovers_in_2_s() -> None:
    terms = i.RetryBudgetTerms("front", 0.1, 5000.0, 5.0)
    simulation = run_outage(i.Plans((i.Plan("a"),), (), terms))
    assert simulation.violations() == []
    assert (
        simulation.further < 0.5 * run_outage(i.Plans((i.Plan("a"),))).further
    )  # many more without a budget
    # The budget must hold at the time of each further relay.
    for window_end in [sent_at for sent_at, further in simulation.sent_at if further]:
        further_in_window = sum(
            further for sent_at, further in simulation.sent_at if window_end - 5000.0 < sent_at <= window_end
        )
        # First relays count for up to one slice longer than the window.
        first_in_window = sum(
            not further
            for sent_at, further in simulation.sent_at
            if window_end - 5250.0 < sent_at <= window_end
        )
        assert further_in_window <= 5.0 + 0.1 * first_in_window, window_end
    stories_after = [record for record in simulation.pull_records.values() if record.at > 17000.0]
    assert len(stories_after) > 200
    assert all(record.finals[0][1] == "finished" for record in stories_after)
