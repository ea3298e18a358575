"""A front's decisions as a member of the fleet, without I/O.

Campaigns for tasks, views of the service's keys, probing, verdicts, and leases of capacity.
"""

from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cometseam import interface as i
from cometseam.logic import MAX_REMOVED
from cometseam.ownership import (
    CampaignScheduler,
    Fence,
    KeyEntry,
    KeyRangeView,
    LogPollGate,
    LogSource,
    LogTail,
    Ownership,
    OwnershipTerms,
    State,
)
from cometseam.verdicts import Prober, ProbeTerms, VerdictTable
from tests.drive import EDGES, FrontDriver, cache_entry

TERMS = OwnershipTerms(1000.0, 250.0, 0.01, 200.0, 100.0)
PROBE_TERMS = ProbeTerms(interval=100.0, within=50.0, fails=2, passes=2, lasts=900.0)


# The clock of an owner


def test_a_clock_that_goes_back_bars_acting_until_a_later_renewal() -> None:
    owner = Ownership("probe", TERMS)
    owner.begin_campaign(10_000.0)
    owner.record_won(4, 10_000.0, 10_010.0)
    assert owner.may_act(10_100.0)
    # A keep-alive is sent at 10,100 and its answer is still to come.
    regressions_before = owner.clock_regressions
    assert not owner.may_act(5_000.0) and owner.state is State.LOSING
    # By the clock before the regression: it proves nothing.
    owner.record_renewal(10_100.0, 1000.0, 5_010.0, regressions_before)
    assert not owner.may_act(5_020.0)
    owner.record_renewal(5_030.0, 1000.0, 5_040.0, owner.clock_regressions)
    assert owner.may_act(5_700.0) and not owner.may_act(5_030.0 + 740.0)
    assert [change.reason for change in owner.pop_changes()][1] == "clock went back"


def test_a_fence_admits_one_name_per_token() -> None:
    fence = Fence()
    assert (
        fence.admit("t", 5, "a").passed and not fence.admit("t", 5, "b").passed and fence.token_conflicts == 1
    )
    assert fence.admit("t", 6, "b").passed and fence.admit("t", 6, "b").passed
    assert not fence.admit("t", 5, "a").passed
    fence.forget("t")
    assert fence.admit("t", 1, "a").passed


# Campaigns


def make_schedulers(count: int) -> list[CampaignScheduler]:
    return [
        CampaignScheduler(f"front-{n}", ["a", "b"], spread_ms=100.0, retry_ms=400.0) for n in range(count)
    ]


def test_of_two_hundred_fronts_few_campaign_if_the_key_is_seen_soon() -> None:
    """Guards against a thundering herd when a task becomes free.

    The key that the first winner wrote reaches all fronts 5 ms later. Without the campaign delay all 200
    would campaign.
    """
    fronts = make_schedulers(200)
    for front in fronts:
        front.record_key("a", 0, 1000.0)
    now, winner, won_at = 1000.0, "", 0.0
    campaigns = 0
    while not won_at or now < won_at + 5.0:
        for front in fronts:
            if front.pop_due_task(now):
                campaigns += 1
                winner, won_at = winner or front.name, won_at or now
        now += 0.5
    for front in fronts:
        front.record_key("a", 7, now)
    assert campaigns < 40 and all(front.next_campaign_at() is None for front in fronts)
    # The campaign delay is part of the bound on the time without an owner.
    assert won_at <= 1100.0


def test_a_front_that_owns_tasks_campaigns_later_than_one_that_owns_none() -> None:
    one, two = make_schedulers(2)
    idle = [front.campaign_delay("b") for front in (one, two)]
    one.record_won("a", 3)
    assert one.campaign_delay("b") > idle[0] and two.campaign_delay("b") == idle[1]
    assert one.owned_count == 1 and one.campaign_delay("b") <= 100.0


def test_a_campaign_without_a_result_is_retried() -> None:
    front = make_schedulers(1)[0]
    front.record_key("a", 0, 0.0)
    assert front.pop_due_task(100.0) == "a" and front.pop_due_task(101.0) is None
    assert front.pop_due_task(500.0) == "a"
    front.record_won("a", 9)
    # A late update from before the win.
    front.record_key("a", 0, 600.0)
    assert front.pop_due_task(2000.0) is None
    front.record_lost("a", 2000.0)
    assert front.pop_due_task(2399.0) is None and front.pop_due_task(2400.0) == "a"
    with pytest.raises(ValueError, match="retry_ms"):
        CampaignScheduler("x", [], 1.0, 0.0)


# Views


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 2**32), st.integers(5, 60))
def test_a_view_never_goes_back_and_equals_the_last_read_in_the_end(seed: int, length: int) -> None:
    """Reads and watch events of one history reach the view late, each kind in its own order."""
    random, view = Random(seed), KeyRangeView()
    state: dict[bytes, KeyEntry] = {}
    revision, reads = 1, [(1, dict(state), 0)]
    events: list[tuple[int, bytes, KeyEntry | None]] = []
    for _ in range(length):
        key = random.choice([b"a", b"b", b"c"])
        revision += 1
        if key in state and random.random() < 0.4:
            del state[key]
            events.append((revision, key, None))
        else:
            created = state[key].create_revision if key in state else revision
            state[key] = KeyEntry(b"%d" % revision, created, revision)
            events.append((revision, key, state[key]))
        if random.random() < 0.3:
            reads.append((revision, dict(state), 0))
    applied: dict[bytes, KeyEntry] = {}
    applied_revisions: dict[bytes, int] = {}
    previous_revision = 0
    while events or reads:
        is_event = events and (not reads or random.random() < 0.7)
        if is_event and random.random() < 0.2:
            # Lost with a broken watch; a read makes up for it.
            events.pop(0)
            continue
        if is_event:
            changes = view.apply_event(*events.pop(0))
        else:
            at, entries, floor = reads.pop(0)
            changes = view.apply_read(at, entries, float(at), floor)
        assert view.revision >= previous_revision
        previous_revision = view.revision
        for change in changes:
            if change.entry is None:
                del applied[change.key]
            else:
                assert change.entry.mod_revision > applied_revisions.get(change.key, 0)
                applied[change.key] = change.entry
                applied_revisions[change.key] = change.entry.mod_revision
        assert applied == view.entries_by_key
    view.apply_read(revision, dict(state), 1.0, view.revision)
    assert view.entries_by_key == state


def test_a_rollback_of_the_service_is_applied_and_counted() -> None:
    view = KeyRangeView()
    assert view.age(0.0) == float("inf")
    view.apply_read(10, {b"a": KeyEntry(b"x", 5, 9)}, 1.0, 0)
    # This read was answered before updates that arrived meanwhile.
    assert view.apply_read(8, {}, 2.0, 0) == [] and view.revision_rollbacks == 0
    assert [t.key for t in view.apply_read(8, {}, 3.0, 10)] == [b"a"] and view.revision_rollbacks == 1
    assert view.age(13.0) == 10.0


# Probing


def probe_once(prober: Prober, failing: set[str], now: float) -> list[tuple[str, bool]]:
    for cache in prober.start_due_probes(now):
        prober.record_probe_result(cache, cache not in failing)
    return [(verdict.cache, verdict.bad) for verdict in prober.pop_due_verdicts(now)]


def probe_over(prober: Prober, failing: set[str], start: float, end: float) -> list[tuple[float, str, bool]]:
    verdicts, now = [], start
    while now < end:
        verdicts += [(now, *verdict) for verdict in probe_once(prober, failing, now)]
        now += 10.0
    return verdicts


def test_a_bad_verdict_after_consecutive_failures_is_republished_and_withdrawn() -> None:
    prober = Prober(PROBE_TERMS)
    prober.update_caches(["a", "b", "c", "d"], 0.0)
    prober.take_over({}, 0.0)
    assert probe_over(prober, set(), 0.0, 500.0) == [] and prober.probes_started == 20
    verdicts = probe_over(prober, {"b"}, 500.0, 1700.0)
    assert {(cache, bad) for _, cache, bad in verdicts} == {("b", True)}
    assert verdicts[0][0] <= 500.0 + 2 * 100.0 + 10.0
    gaps = [later[0] - earlier[0] for earlier, later in pairwise(verdicts)]
    assert all(300.0 <= gap <= 320.0 for gap in gaps) and len(gaps) == 3
    results = probe_over(prober, set(), 1700.0, 2300.0)
    assert [(c, bad) for _, c, bad in results if not bad] == [("b", False)] and results[-1][0] <= 1920.0


def test_a_prober_that_finds_most_caches_bad_withholds_its_verdicts() -> None:
    prober = Prober(PROBE_TERMS)
    prober.update_caches(["a", "b", "c", "d"], 0.0)
    prober.take_over({}, 0.0)
    assert probe_over(prober, {"a", "b", "c"}, 0.0, 1000.0) == [] and prober.verdicts_withheld > 0
    assert {c for _, c, _ in probe_over(prober, {"a", "b"}, 1000.0, 1300.0)} == {"a", "b"}


def test_a_new_prober_republishes_a_verdict_until_its_own_probes_withdraw_it() -> None:
    prober = Prober(PROBE_TERMS)
    prober.update_caches(["a", "b", "c"], 0.0)
    prober.take_over({"b": -50.0}, 0.0)
    first = prober.pop_due_verdicts(0.0)
    assert [(r.cache, r.bad, r.evidence_since) for r in first] == [("b", True, -50.0)]
    assert [(c, bad) for _, c, bad in probe_over(prober, set(), 10.0, 400.0)] == [("b", False)]


def test_a_cache_that_leaves_is_removed_and_a_late_probe_result_is_ignored() -> None:
    prober = Prober(PROBE_TERMS)
    prober.update_caches(["a", "b"], 0.0)
    assert prober.start_due_probes(200.0) == ["b", "a"] or prober.start_due_probes(200.0) == []
    prober.update_caches(["b"], 210.0)
    prober.record_probe_result("a", False)
    assert set(prober.health_by_cache) == {"b"}
    prober.take_over({}, 220.0)
    # Sent before this front became the prober again.
    prober.record_probe_result("b", False)
    assert prober.health_by_cache["b"].consecutive_failures == 0


def test_a_verdict_that_was_not_published_is_retried() -> None:
    prober = Prober(PROBE_TERMS)
    prober.update_caches(["a", "b", "c"], 0.0)
    prober.take_over({"b": 0.0}, 0.0)
    for attempt in range(3):
        (verdict,) = prober.pop_due_verdicts(float(attempt))
        prober.record_publish_failure(verdict, float(attempt))
    for now in (100.0, 250.0):
        prober.start_due_probes(now)
        prober.record_probe_result("b", True)
    (withdrawal,) = prober.pop_due_verdicts(250.0)
    assert not withdrawal.bad
    prober.record_publish_failure(withdrawal, 250.0)
    assert [r.bad for r in prober.pop_due_verdicts(260.0)] == [False] and prober.pop_due_verdicts(270.0) == []


# Verdicts


def test_a_verdict_of_an_older_prober_or_with_a_lower_number_is_ignored() -> None:
    table = VerdictTable(900.0)
    update = table.record_verdict("a", 5, 1, True, 40.0, 0.0)
    assert update is not None and update.bad and update.ttl == 900.0 and update.age == 40.0
    # The same, read again.
    assert table.record_verdict("a", 5, 1, True, 40.0, 10.0) is None and table.stale_count == 0
    assert table.record_verdict("a", 7, 1, False, 0.0, 20.0) is not None
    # A prober that was delayed.
    assert table.record_verdict("a", 5, 2, True, 0.0, 30.0) is None
    assert table.record_verdict("b", 6, 9, True, 0.0, 30.0) is None and table.stale_count == 2
    assert table.bad_caches(30.0) == {}


def test_a_verdict_expires_by_the_fronts_own_clock() -> None:
    table = VerdictTable(900.0)
    table.record_verdict("a", 5, 1, True, 0.0, 0.0)
    table.record_verdict("b", 5, 2, True, 1e9, 500.0)
    # An age comes from another clock, so it is bounded.
    assert table.bad_caches(899.0) == {"a": 0.0, "b": -400.0}
    assert table.expire(899.0) == [] and table.expire(900.0) == ["a"] and table.expire(1400.0) == ["b"]
    assert table.expired_count == 2 and table.verdicts == {}


def test_the_verdict_table_is_bounded() -> None:
    table = VerdictTable(900.0)
    for number in range(5000):
        table.record_verdict(f"c{number}", 1, number, True, 0.0, float(number))
    assert len(table.verdicts) == 4096 and "c0" not in table.verdicts


# What the decision module does with a verdict


def first_asked_cache(driver: FrontDriver, number: int) -> int:
    driver.pull(number, object_id=number)
    return driver.last[number].cache


def test_a_cache_with_a_bad_verdict_gets_no_relays_without_a_failure_seen_here() -> None:
    driver = FrontDriver()
    without_verdict = {first_asked_cache(driver, number) for number in range(1, 30)}
    assert without_verdict == set(EDGES)
    driver = FrontDriver()
    driver.send_event(i.HealthVerdict(EDGES[0], True, 5000.0, 300.0))
    with_verdict = {first_asked_cache(driver, number) for number in range(1, 30)}
    assert with_verdict == set(EDGES[1:])


def test_an_answer_that_a_front_got_itself_outweighs_the_fleets_verdict() -> None:
    driver = FrontDriver()
    number = next(n for n in range(1, 100) if first_asked_cache(driver, n) == EDGES[0])
    driver.end(number)
    # The verdict's evidence began after that answer.
    driver.send_event(i.HealthVerdict(EDGES[0], True, 5000.0, 50.0), after=100.0)
    assert EDGES[0] not in {first_asked_cache(driver, n) for n in range(200, 230)}
    driver = FrontDriver()
    number = next(n for n in range(1, 100) if first_asked_cache(driver, n) == EDGES[0])
    driver.end(number)
    # It has answered since.
    driver.send_event(i.HealthVerdict(EDGES[0], True, 5000.0, 500.0), after=100.0)
    assert EDGES[0] in {first_asked_cache(driver, n) for n in range(200, 230)}


def test_bad_verdicts_on_all_caches_shed_nothing_and_a_draining_one_stays_barred() -> None:
    """A wrong verdict never breaks a rule.

    If all caches have a bad verdict, relays are tried anyway; a draining cache still gets none (rule 3).
    """
    driver = FrontDriver()
    for cache in EDGES:
        driver.send_event(i.HealthVerdict(cache, True, 5000.0, 300.0))
    assert first_asked_cache(driver, 1) in EDGES
    driver.send_event(
        i.CacheListUpdate(
            i.ListUpdateKind.CHANGES, (i.CacheEntry(EDGES[0], i.Lifecycle.DRAINING, 0, 1, 1, 0, 8),)
        )
    )
    driver.send_event(i.HealthVerdict(EDGES[0], False, 0.0, 0.0))
    # A cache that is not on the list.
    driver.send_event(i.HealthVerdict(999, True, 5000.0, 0.0))
    assert EDGES[0] not in {first_asked_cache(driver, n) for n in range(2, 30)}


def test_a_withdrawn_verdict_admits_one_relay_until_the_cache_answers() -> None:
    driver = FrontDriver()
    driver.send_event(i.HealthVerdict(EDGES[0], True, 5000.0, 300.0))
    driver.send_event(i.HealthVerdict(EDGES[0], False, 0.0, 0.0), after=100.0)
    asked = [first_asked_cache(driver, n) for n in range(1, 30)]
    assert asked.count(EDGES[0]) == 1


# The discovery event log, polled by one front


LOG = LogSource("127.0.0.1:1")


def test_other_fronts_poll_only_when_the_log_readers_updates_stop() -> None:
    gate = LogPollGate(2500.0)
    # Nothing received yet.
    assert gate.should_poll(False, LOG, 0.0)
    assert (
        gate.record_update(5, 1, LOG.address, LOG, 100.0)
        and not gate.should_poll(False, LOG, 2599.0)
        and gate.should_poll(True, LOG, 200.0)
    )
    # The same update again: the reader may be dead.
    assert not gate.record_update(5, 1, LOG.address, LOG, 2000.0)
    assert gate.should_poll(False, LOG, 2600.0)
    assert (
        gate.record_update(9, 1, LOG.address, LOG, 3000.0)
        and not gate.record_update(5, 8, LOG.address, LOG, 3100.0)
        and gate.stale_updates == 1
    )
    gate.record_catch_up(False)
    # After a gap it polls for what it missed.
    assert gate.should_poll(False, LOG, 3100.0)
    gate.record_catch_up(True)
    assert not gate.should_poll(False, LOG, 3100.0)


def test_the_log_tail_is_bounded_and_has_no_gap() -> None:
    tail = LogTail()
    tail.add([(n, 10, n) for n in range(1, 400)])
    assert tail.event_payloads() == list(range(144, 400)) and tail.size == 2560
    tail.add([(500, 10, 500)])
    assert tail.event_payloads() == [500] and tail.polls == 2
    tail.add([(501, 300 << 10, 501)])
    assert tail.event_payloads() == [] and tail.size == 0


# Fleet-wide cap on the relays in flight at a cache


def in_flight_at(driver: FrontDriver, cache: int) -> int:
    return driver.front.servers[cache].limit.in_flight


def test_a_front_keeps_to_its_share_of_the_fleets_relays_in_flight() -> None:
    # One front in the zone of cache 12; two share parent 21.
    driver = FrontDriver(caches=(12, 21, 31))
    driver.send_event(i.ConcurrencyCap(3.0, 0.0))
    for number in range(1, 6):
        driver.pull(number)
    assert in_flight_at(driver, 12) == 3 and driver.front.servers[12].relay_share.reset_usage() == (True, 3.0)
    # A share of 1.02 of three relays.
    driver.send_event(i.CapacityLease(12, 0.34, 500.0, for_relays=True))
    driver.end(1)
    driver.end(2)
    driver.pull(6)
    assert in_flight_at(driver, 12) == 1 and 6 not in driver.last
    driver.end(3)
    driver.pull(7)
    assert in_flight_at(driver, 12) == 1 and 7 in driver.last
    # The lease has ended: the lesser of it and an equal share applies.
    driver.pull(8, after=600.0)
    assert in_flight_at(driver, 12) == 1 and 8 not in driver.last
    driver.send_event(i.CapacityLease(12, 1.0, 500.0, for_relays=True))
    driver.pull(9)
    assert in_flight_at(driver, 12) == 2


def test_a_cap_applies_to_parents_as_sources_and_never_to_the_origin() -> None:
    driver = FrontDriver(caches=(11, 21, 31))
    driver.send_event(i.ConcurrencyCap(0.0, 2.0))  # two fronts: one relay each
    for number in range(1, 4):
        driver.pull(number, object_id=number)
        driver.end_with_miss(number)
    sources = [driver.last[number].source for number in range(1, 4)]
    assert sources == [21, 31, 31] and in_flight_at(driver, 21) == 1
    assert driver.front.servers[31].relay_share.peak_used == 0.0


def test_without_a_cap_no_relay_is_barred() -> None:
    driver = FrontDriver(caches=(12, 21, 31))
    driver.send_event(i.CapacityLease(12, 0.0, 500.0, for_relays=True))
    for number in range(1, 6):
        driver.pull(number)
    assert in_flight_at(driver, 12) == 5


def test_a_front_keeps_its_share_when_a_cache_restarts() -> None:
    """Guards the fleet's bound: the rest of the capacity is leased to other fronts under the cache's name.

    With the coordinator unreachable, no lease is sent again after the restart.
    """
    driver = FrontDriver(caches=(12, 21, 31))
    driver.send_event(i.CapacityLease(12, 0.2, 500.0))
    driver.send_event(i.CapacityLease(12, 0.3, 500.0, for_relays=True))
    driver.send_event(
        i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(12, ready_at=driver.now),)), after=600.0
    )
    server = driver.front.servers[12]
    assert server.started_at > 0 and (
        server.slow_start_share.share_at(driver.now),
        server.relay_share.share_at(driver.now),
    ) == (0.2, 0.3)


def gone_entry(cache: int) -> i.CacheEntry:
    return replace(cache_entry(cache), lifecycle=i.Lifecycle.GONE)


@pytest.mark.parametrize("leaves_by", ["drains", "is gone", "is left out of a whole list"])
@pytest.mark.parametrize("restarted", [True, False], ids=["restarted", "not restarted"])
def test_a_front_keeps_its_share_when_a_cache_leaves_and_comes_back(leaves_by: str, restarted: bool) -> None:
    """Guards the fleet's bound: what was leased to others under the cache's name stays leased.

    The front's own lease may arrive, or end, while the cache is away.
    """
    driver = FrontDriver(caches=(12, 21, 31))
    driver.send_event(i.CapacityLease(12, 0.2, 500.0))
    driver.send_event(i.CapacityLease(12, 0.3, 500.0, for_relays=True))
    entry = {"drains": cache_entry(12, i.Lifecycle.DRAINING), "is gone": gone_entry(12)}.get(leaves_by)
    if entry is not None:
        driver.send_event(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (entry,)))
    else:
        driver.send_event(i.CacheListUpdate(i.ListUpdateKind.FULL, (cache_entry(21), cache_entry(31))))
    assert 12 not in driver.front.servers
    # Received while the cache is away.
    driver.send_event(i.CapacityLease(12, 0.1, 100.0))
    driver.send_event(
        i.CacheListUpdate(
            i.ListUpdateKind.CHANGES, (cache_entry(12, ready_at=driver.now if restarted else 0.0),)
        ),
        after=600.0,
    )
    server = driver.front.servers[12]
    assert (server.slow_start_share.share_at(driver.now), server.relay_share.share_at(driver.now)) == (
        0.1,
        0.3,
    ) and not driver.front.removed


def test_relays_in_flight_at_a_cache_that_drained_and_came_back_count_for_the_fleets_cap() -> None:
    driver = FrontDriver(caches=(12, 21, 31))
    driver.send_event(i.ConcurrencyCap(4.0, 0.0))
    driver.send_event(i.CapacityLease(12, 0.5, 60_000.0, for_relays=True))
    for number in (1, 2):
        driver.pull(number, object_id=number)
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(12, i.Lifecycle.DRAINING),)))
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(12),)))
    driver.pull(3, object_id=3)
    # Two are in flight, of a share of two.
    assert 3 not in driver.last
    driver.end(1)
    driver.pull(4, object_id=4)
    assert driver.last[4].cache == 12


def test_the_table_of_removed_caches_is_bounded_and_empty_if_nothing_is_shared() -> None:
    driver = FrontDriver()
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.FULL, (cache_entry(31),)))
    assert not driver.front.removed
    driver.send_event(i.ConcurrencyCap(4.0, 4.0))
    many = tuple(replace(cache_entry(11), cache=1000 + n) for n in range(MAX_REMOVED + 20))
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.FULL, many))
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.FULL, (cache_entry(31),)))
    assert len(driver.front.removed) == MAX_REMOVED
