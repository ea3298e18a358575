"""Bids, views, probing and verdicts by hand: the decisions of a front's part in the fleet, without I/O."""

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
    LogTail,
    Ownership,
    OwnershipTerms,
    State,
)
from cometseam.verdicts import Prober, ProbeTerms, VerdictTable
from tests.drive import EDGES, Drive, line

TERMS = OwnershipTerms(1000.0, 250.0, 0.01, 200.0, 100.0)
PROBING = ProbeTerms(interval=100.0, within=50.0, fails=2, passes=2, lasts=900.0)


# The clock of an owner


def test_a_clock_that_goes_back_ends_the_time_to_act_until_a_later_renewal() -> None:
    owner = Ownership("probe", TERMS)
    owner.begin_campaign(10_000.0)
    owner.record_won(4, 10_000.0, 10_010.0)
    assert owner.may_act(10_100.0)
    asked = owner.clock_regressions  # a keep-alive goes out at 10,100 and its answer is still to come
    assert not owner.may_act(5_000.0) and owner.state is State.LOSING
    owner.record_renewal(10_100.0, 1000.0, 5_010.0, asked)  # by the clock before: it proves nothing
    assert not owner.may_act(5_020.0)
    owner.record_renewal(5_030.0, 1000.0, 5_040.0, owner.clock_regressions)
    assert owner.may_act(5_700.0) and not owner.may_act(5_030.0 + 740.0)
    assert [change.reason for change in owner.pop_changes()][1] == "clock went back"


def test_a_fence_lets_one_name_through_a_token() -> None:
    fence = Fence()
    assert (
        fence.admit("t", 5, "a").passed and not fence.admit("t", 5, "b").passed and fence.token_conflicts == 1
    )
    assert fence.admit("t", 6, "b").passed and fence.admit("t", 6, "b").passed
    assert not fence.admit("t", 5, "a").passed
    fence.forget("t")
    assert fence.admit("t", 1, "a").passed


# Bids


def crowd(count: int) -> list[CampaignScheduler]:
    return [
        CampaignScheduler(f"front-{n}", ["a", "b"], spread_ms=100.0, retry_ms=400.0) for n in range(count)
    ]


def test_of_two_hundred_fronts_few_campaign_where_the_key_is_seen_soon() -> None:
    """A task comes free; what the first winner wrote is seen 5 ms later by all. Without the wait: 200."""
    fronts = crowd(200)
    for front in fronts:
        front.record_key("a", 0, 1000.0)
    now, winner, told = 1000.0, "", 0.0
    campaigns = 0
    while not told or now < told + 5.0:
        for front in fronts:
            if front.pop_due_task(now):
                campaigns += 1
                winner, told = winner or front.name, told or now
        now += 0.5
    for front in fronts:
        front.record_key("a", 7, now)
    assert campaigns < 40 and all(front.next_campaign_at() is None for front in fronts)
    assert told <= 1100.0  # the wait is part of the stated time without an owner


def test_a_front_that_holds_tasks_comes_after_one_that_holds_none() -> None:
    one, two = crowd(2)
    idle = [front.campaign_delay("b") for front in (one, two)]
    one.record_won("a", 3)
    assert one.campaign_delay("b") > idle[0] and two.campaign_delay("b") == idle[1]
    assert one.owned_count == 1 and one.campaign_delay("b") <= 100.0


def test_a_campaign_that_came_to_nothing_is_tried_again() -> None:
    front = crowd(1)[0]
    front.record_key("a", 0, 0.0)
    assert front.pop_due_task(100.0) == "a" and front.pop_due_task(101.0) is None
    assert front.pop_due_task(500.0) == "a"
    front.record_won("a", 9)
    front.record_key("a", 0, 600.0)  # late word of the time before
    assert front.pop_due_task(2000.0) is None
    front.record_lost("a", 2000.0)
    assert front.pop_due_task(2399.0) is None and front.pop_due_task(2400.0) == "a"
    with pytest.raises(ValueError, match="retry_ms"):
        CampaignScheduler("x", [], 1.0, 0.0)


# Views


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 2**32), st.integers(5, 60))
def test_a_view_never_goes_back_and_ends_at_the_last_read(seed: int, length: int) -> None:
    """A service's history; reads and the watch's events reach the view late, each in its own order."""
    chance, view = Random(seed), KeyRangeView()
    state: dict[bytes, KeyEntry] = {}
    revision, reads = 1, [(1, dict(state), 0)]
    events: list[tuple[int, bytes, KeyEntry | None]] = []
    for _ in range(length):
        key = chance.choice([b"a", b"b", b"c"])
        revision += 1
        if key in state and chance.random() < 0.4:
            del state[key]
            events.append((revision, key, None))
        else:
            created = state[key].create_revision if key in state else revision
            state[key] = KeyEntry(b"%d" % revision, created, revision)
            events.append((revision, key, state[key]))
        if chance.random() < 0.3:
            reads.append((revision, dict(state), 0))
    shown: dict[bytes, KeyEntry] = {}
    written: dict[bytes, int] = {}
    before = 0
    while events or reads:
        late = events and (not reads or chance.random() < 0.7)
        if late and chance.random() < 0.2:
            events.pop(0)  # lost with a watch; a read mends it
            continue
        if late:
            told = view.apply_event(*events.pop(0))
        else:
            at, entries, floor = reads.pop(0)
            told = view.apply_read(at, entries, float(at), floor)
        assert view.revision >= before
        before = view.revision
        for change in told:
            if change.entry is None:
                del shown[change.key]
            else:
                assert change.entry.mod_revision > written.get(change.key, 0)
                shown[change.key] = change.entry
                written[change.key] = change.entry.mod_revision
        assert shown == view.entries_by_key
    view.apply_read(revision, dict(state), 1.0, view.revision)
    assert view.entries_by_key == state


def test_a_service_that_lost_state_is_taken_anew_and_counted() -> None:
    view = KeyRangeView()
    assert view.age(0.0) == float("inf")
    view.apply_read(10, {b"a": KeyEntry(b"x", 5, 9)}, 1.0, 0)
    # Answered before what came meanwhile.
    assert view.apply_read(8, {}, 2.0, 0) == [] and view.revision_rollbacks == 0
    assert [t.key for t in view.apply_read(8, {}, 3.0, 10)] == [b"a"] and view.revision_rollbacks == 1
    assert view.age(13.0) == 10.0


# Probing


def play(prober: Prober, ill: set[str], now: float) -> list[tuple[str, bool]]:
    for cache in prober.start_due_probes(now):
        prober.record_probe_result(cache, cache not in ill)
    return [(ruling.cache, ruling.bad) for ruling in prober.pop_due_verdicts(now)]


def over(prober: Prober, ill: set[str], begin: float, end: float) -> list[tuple[float, str, bool]]:
    seen, now = [], begin
    while now < end:
        seen += [(now, *ruling) for ruling in play(prober, ill, now)]
        now += 10.0
    return seen


def test_a_cache_that_fails_in_a_row_is_ruled_bad_said_again_and_taken_back() -> None:
    prober = Prober(PROBING)
    prober.update_caches(["a", "b", "c", "d"], 0.0)
    prober.take_over({}, 0.0)
    assert over(prober, set(), 0.0, 500.0) == [] and prober.probes_started == 20
    ruled = over(prober, {"b"}, 500.0, 1700.0)
    assert {(cache, bad) for _, cache, bad in ruled} == {("b", True)}
    assert ruled[0][0] <= 500.0 + 2 * 100.0 + 10.0
    gaps = [later[0] - earlier[0] for earlier, later in pairwise(ruled)]
    assert all(300.0 <= gap <= 320.0 for gap in gaps) and len(gaps) == 3
    back = over(prober, set(), 1700.0, 2300.0)
    assert [(c, bad) for _, c, bad in back if not bad] == [("b", False)] and back[-1][0] <= 1920.0


def test_a_prober_that_finds_most_caches_bad_doubts_itself() -> None:
    prober = Prober(PROBING)
    prober.update_caches(["a", "b", "c", "d"], 0.0)
    prober.take_over({}, 0.0)
    assert over(prober, {"a", "b", "c"}, 0.0, 1000.0) == [] and prober.verdicts_withheld > 0
    assert {c for _, c, _ in over(prober, {"a", "b"}, 1000.0, 1300.0)} == {"a", "b"}


def test_a_new_prober_goes_on_with_what_holds_and_its_own_probes_take_it_back() -> None:
    prober = Prober(PROBING)
    prober.update_caches(["a", "b", "c"], 0.0)
    prober.take_over({"b": -50.0}, 0.0)
    first = prober.pop_due_verdicts(0.0)
    assert [(r.cache, r.bad, r.evidence_since) for r in first] == [("b", True, -50.0)]
    assert [(c, bad) for _, c, bad in over(prober, set(), 10.0, 400.0)] == [("b", False)]


def test_a_cache_that_leaves_is_forgotten_and_a_late_probe_counts_for_nothing() -> None:
    prober = Prober(PROBING)
    prober.update_caches(["a", "b"], 0.0)
    assert prober.start_due_probes(200.0) == ["b", "a"] or prober.start_due_probes(200.0) == []
    prober.update_caches(["b"], 210.0)
    prober.record_probe_result("a", False)
    assert set(prober.health_by_cache) == {"b"}
    prober.take_over({}, 220.0)
    prober.record_probe_result("b", False)  # sent before this front became the prober anew
    assert prober.health_by_cache["b"].consecutive_failures == 0


def test_a_ruling_that_was_not_published_is_tried_again() -> None:
    prober = Prober(PROBING)
    prober.update_caches(["a", "b", "c"], 0.0)
    prober.take_over({"b": 0.0}, 0.0)
    for turn in range(3):
        (ruling,) = prober.pop_due_verdicts(float(turn))
        prober.record_publish_failure(ruling, float(turn))
    for now in (100.0, 250.0):
        prober.start_due_probes(now)
        prober.record_probe_result("b", True)
    (good,) = prober.pop_due_verdicts(250.0)
    assert not good.bad
    prober.record_publish_failure(good, 250.0)
    assert [r.bad for r in prober.pop_due_verdicts(260.0)] == [False] and prober.pop_due_verdicts(270.0) == []


# Verdicts


def test_a_verdict_of_an_older_prober_or_an_earlier_one_is_passed_over() -> None:
    board = VerdictTable(900.0)
    heard = board.record_verdict("a", 5, 1, True, 40.0, 0.0)
    assert heard is not None and heard.bad and heard.ttl == 900.0 and heard.age == 40.0
    # The same, read again.
    assert board.record_verdict("a", 5, 1, True, 40.0, 10.0) is None and board.stale_count == 0
    assert board.record_verdict("a", 7, 1, False, 0.0, 20.0) is not None
    assert board.record_verdict("a", 5, 2, True, 0.0, 30.0) is None  # a prober that woke late
    assert board.record_verdict("b", 6, 9, True, 0.0, 30.0) is None and board.stale_count == 2
    assert board.bad_caches(30.0) == {}


def test_a_verdict_ends_by_the_fronts_own_clock_whatever_the_service_says() -> None:
    board = VerdictTable(900.0)
    board.record_verdict("a", 5, 1, True, 0.0, 0.0)
    board.record_verdict("b", 5, 2, True, 1e9, 500.0)
    assert board.bad_caches(899.0) == {"a": 0.0, "b": -400.0}  # an age is bounded: it is another's clock's
    assert board.expire(899.0) == [] and board.expire(900.0) == ["a"] and board.expire(1400.0) == ["b"]
    assert board.expired_count == 2 and board.verdicts == {}


def test_the_table_of_verdicts_is_bounded() -> None:
    board = VerdictTable(900.0)
    for number in range(5000):
        board.record_verdict(f"c{number}", 1, number, True, 0.0, float(number))
    assert len(board.verdicts) == 4096 and "c0" not in board.verdicts


# What the module makes of a verdict


def first_asked(drive: Drive, number: int) -> int:
    drive.pull(number, wanted=number)
    return drive.last[number].cache


def test_the_module_spares_a_cache_that_is_ruled_bad_without_a_failure_of_its_own() -> None:
    drive = Drive()
    fair = {first_asked(drive, number) for number in range(1, 30)}
    assert fair == set(EDGES)
    drive = Drive()
    drive.tell(i.HealthVerdict(EDGES[0], True, 5000.0, 300.0))
    spared = {first_asked(drive, number) for number in range(1, 30)}
    assert spared == set(EDGES[1:])


def test_what_a_front_heard_itself_outweighs_the_fleets_word() -> None:
    drive = Drive()
    number = next(n for n in range(1, 100) if first_asked(drive, n) == EDGES[0])
    drive.end(number)
    # Its evidence began after that answer.
    drive.tell(i.HealthVerdict(EDGES[0], True, 5000.0, 50.0), after=100.0)
    assert EDGES[0] not in {first_asked(drive, n) for n in range(200, 230)}
    drive = Drive()
    number = next(n for n in range(1, 100) if first_asked(drive, n) == EDGES[0])
    drive.end(number)
    drive.tell(i.HealthVerdict(EDGES[0], True, 5000.0, 500.0), after=100.0)  # it answered since
    assert EDGES[0] in {first_asked(drive, n) for n in range(200, 230)}


def test_verdicts_on_all_caches_shed_nothing_and_a_draining_one_stays_barred() -> None:
    """A wrong verdict never breaks a rule: a try is better than none, and rule 3 is kept at the gate."""
    drive = Drive()
    for cache in EDGES:
        drive.tell(i.HealthVerdict(cache, True, 5000.0, 300.0))
    assert first_asked(drive, 1) in EDGES
    drive.tell(
        i.CacheListUpdate(
            i.ListUpdateKind.CHANGES, (i.CacheEntry(EDGES[0], i.Lifecycle.DRAINING, 0, 1, 1, 0, 8),)
        )
    )
    drive.tell(i.HealthVerdict(EDGES[0], False, 0.0, 0.0))
    drive.tell(i.HealthVerdict(999, True, 5000.0, 0.0))  # not on the list
    assert EDGES[0] not in {first_asked(drive, n) for n in range(2, 30)}


def test_a_verdict_taken_back_lets_one_relay_go_until_it_answers() -> None:
    drive = Drive()
    drive.tell(i.HealthVerdict(EDGES[0], True, 5000.0, 300.0))
    drive.tell(i.HealthVerdict(EDGES[0], False, 0.0, 0.0), after=100.0)
    asked = [first_asked(drive, n) for n in range(1, 30)]
    assert asked.count(EDGES[0]) == 1


# The change log, read by one


def test_the_others_rest_while_the_readers_word_moves_and_poll_when_it_stands_still() -> None:
    turn = LogPollGate(2500.0)
    assert turn.should_poll(False, 0.0)  # nothing heard yet
    assert (
        turn.record_update(5, 1, 100.0)
        and not turn.should_poll(False, 2599.0)
        and turn.should_poll(True, 200.0)
    )
    assert not turn.record_update(5, 1, 2000.0)  # the same word, read again: the reader may be dead
    assert turn.should_poll(False, 2600.0)
    assert (
        turn.record_update(9, 1, 3000.0) and not turn.record_update(5, 8, 3100.0) and turn.stale_updates == 1
    )
    turn.record_catch_up(False)
    assert turn.should_poll(False, 3100.0)  # a gap: it asks for what it missed itself
    turn.record_catch_up(True)
    assert not turn.should_poll(False, 3100.0)


def test_the_readers_tail_is_bounded_and_keeps_no_gap() -> None:
    tail = LogTail()
    tail.add([(n, 10, n) for n in range(1, 400)])
    assert tail.event_payloads() == list(range(144, 400)) and tail.size == 2560
    tail.add([(500, 10, 500)])
    assert tail.event_payloads() == [500] and tail.polls == 2
    tail.add([(501, 300 << 10, 501)])
    assert tail.event_payloads() == [] and tail.size == 0


# Relays out at a cache, capped for the fleet


def out_at(drive: Drive, cache: int) -> int:
    return drive.front.servers[cache].limit.in_flight


def test_a_front_keeps_to_its_part_of_the_relays_that_the_fleet_may_have_out() -> None:
    drive = Drive(caches=(12, 21, 31))  # one front in the zone of 12, two that share parent 21
    drive.tell(i.ConcurrencyCap(3.0, 0.0))
    for number in range(1, 6):
        drive.pull(number)
    assert out_at(drive, 12) == 3 and drive.front.servers[12].relay_share.reset_usage() == (True, 3.0)
    drive.tell(i.CapacityLease(12, 0.34, 500.0, for_relays=True))  # 1.02 of three
    drive.end(1)
    drive.end(2)
    drive.pull(6)
    assert out_at(drive, 12) == 1 and 6 not in drive.last
    drive.end(3)
    drive.pull(7)
    assert out_at(drive, 12) == 1 and 7 in drive.last
    drive.pull(8, after=600.0)  # the grant is over: the lesser of it and an equal part
    assert out_at(drive, 12) == 1 and 8 not in drive.last
    drive.tell(i.CapacityLease(12, 1.0, 500.0, for_relays=True))
    drive.pull(9)
    assert out_at(drive, 12) == 2


def test_a_cap_holds_for_parents_as_sources_and_never_for_the_origin() -> None:
    drive = Drive(caches=(11, 21, 31))
    drive.tell(i.ConcurrencyCap(0.0, 2.0))  # two fronts: one relay each
    for number in range(1, 4):
        drive.pull(number, wanted=number)
        drive.lack(number)
    sources = [drive.last[number].source for number in range(1, 4)]
    assert sources == [21, 31, 31] and out_at(drive, 21) == 1
    assert drive.front.servers[31].relay_share.peak_used == 0.0


def test_without_a_cap_nothing_is_held_back() -> None:
    drive = Drive(caches=(12, 21, 31))
    drive.tell(i.CapacityLease(12, 0.0, 500.0, for_relays=True))
    for number in range(1, 6):
        drive.pull(number)
    assert out_at(drive, 12) == 5


def test_a_cache_that_starts_anew_leaves_the_front_at_its_part() -> None:
    """The rest was lent to others by the cache's name; with the link cut nobody says it again."""
    drive = Drive(caches=(12, 21, 31))
    drive.tell(i.CapacityLease(12, 0.2, 500.0))
    drive.tell(i.CapacityLease(12, 0.3, 500.0, for_relays=True))
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(12, ready_at=drive.now),)), after=600.0)
    server = drive.front.servers[12]
    assert server.started_at > 0 and (
        server.slow_start_share.share_at(drive.now),
        server.relay_share.share_at(drive.now),
    ) == (0.2, 0.3)


def gone(cache: int) -> i.CacheEntry:
    return replace(line(cache), lifecycle=i.Lifecycle.GONE)


@pytest.mark.parametrize("how", ["drains", "is gone", "is left out of a whole list"])
@pytest.mark.parametrize("anew", [True, False], ids=["started anew", "as it was"])
def test_a_cache_that_leaves_and_comes_back_leaves_the_front_at_its_part(how: str, anew: bool) -> None:
    """Its part may be told, or end, while the cache is away: what was lent by its name stays lent."""
    drive = Drive(caches=(12, 21, 31))
    drive.tell(i.CapacityLease(12, 0.2, 500.0))
    drive.tell(i.CapacityLease(12, 0.3, 500.0, for_relays=True))
    away = {"drains": line(12, i.Lifecycle.DRAINING), "is gone": gone(12)}.get(how)
    if away is not None:
        drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (away,)))
    else:
        drive.tell(i.CacheListUpdate(i.ListUpdateKind.FULL, (line(21), line(31))))
    assert 12 not in drive.front.servers
    drive.tell(i.CapacityLease(12, 0.1, 100.0))  # told meanwhile
    drive.tell(
        i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(12, ready_at=drive.now if anew else 0.0),)),
        after=600.0,
    )
    server = drive.front.servers[12]
    assert (server.slow_start_share.share_at(drive.now), server.relay_share.share_at(drive.now)) == (
        0.1,
        0.3,
    ) and not drive.front.removed


def test_relays_still_out_at_a_cache_that_drained_and_came_back_count_for_the_fleets_cap() -> None:
    drive = Drive(caches=(12, 21, 31))
    drive.tell(i.ConcurrencyCap(4.0, 0.0))
    drive.tell(i.CapacityLease(12, 0.5, 60_000.0, for_relays=True))
    for number in (1, 2):
        drive.pull(number, wanted=number)
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(12, i.Lifecycle.DRAINING),)))
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(12),)))
    drive.pull(3, wanted=3)
    assert 3 not in drive.last  # two are out, of a part of two
    drive.end(1)
    drive.pull(4, wanted=4)
    assert drive.last[4].cache == 12


def test_the_table_of_caches_that_left_is_bounded_and_empty_where_nothing_is_shared() -> None:
    drive = Drive()
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.FULL, (line(31),)))
    assert not drive.front.removed
    drive.tell(i.ConcurrencyCap(4.0, 4.0))
    many = tuple(replace(line(11), cache=1000 + n) for n in range(MAX_REMOVED + 20))
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.FULL, many))
    drive.tell(i.CacheListUpdate(i.ListUpdateKind.FULL, (line(31),)))
    assert len(drive.front.removed) == MAX_REMOVED
