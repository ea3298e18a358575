"""Unit tests of the timing package: interval sets, route trees, retry budgets, retry waits and shares.

Guards against a route tree that finds another route than a linear scan, a retry budget that lets more than
its share and floor into a window, and a fleet limit that a front exceeds.
"""

from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as some

from cometseam import interface as i
from cometseam.timing import (
    ActivePlans,
    CapacityShare,
    RetryBudget,
    RouteKey,
    RouteTable,
    address_number,
    may_retry,
    relay_timeout,
    retry_wait,
)
from cometseam.timing.intervals import (
    covered_by,
    difference,
    intersection,
    subtract_box,
    union,
    universal_box,
)
from cometseam.timing.retry_policy import max_retry_wait
from cometseam.timing.table import AXES, AXIS_ENDS, IPV4_MAPPED_BASE, Box, any_contains
from cometseam.timing.tree_builder import RouteTreeBuilder, covered_routes

SMALL = 12  # largest value that the generated boxes and keys use on an axis
deterministic = settings(derandomize=True, deadline=None, max_examples=150)
intervals = some.lists(some.tuples(some.integers(0, SMALL), some.integers(0, SMALL)), max_size=4).map(union)


def box_of(axes: dict[int, tuple[tuple[int, int], ...]]) -> Box:
    box = list(universal_box())
    for axis, values in axes.items():
        box[axis] = values or ((0, 1),)
    return tuple(box)


boxes = some.dictionaries(some.integers(0, 5), intervals, max_size=3).map(box_of)
route_keys = some.tuples(*[some.integers(0, SMALL)] * len(AXES)).map(lambda values: RouteKey(*values))


def table_of(route_boxes: list[Box]) -> RouteTable:
    builder = RouteTreeBuilder(route_boxes)
    builder.build()
    routes = tuple((number, box) for number, box in enumerate(route_boxes))
    return RouteTable(routes, tuple(builder.roots), tuple(builder.nodes), tuple(builder.leaves))


@given(intervals, intervals)
@deterministic
def test_interval_sets_behave_as_sets_of_integers(
    one: tuple[tuple[int, int], ...], other: tuple[tuple[int, int], ...]
) -> None:
    numbers = [{n for n in range(SMALL + 1) if any_contains(each, n)} for each in (one, other)]
    for result, expected in (
        (intersection(one, other), numbers[0] & numbers[1]),
        (difference(one, other), numbers[0] - numbers[1]),
        (union([*one, *other]), numbers[0] | numbers[1]),
    ):
        assert {n for n in range(SMALL + 1) if any_contains(result, n)} == expected
        assert all(a[1] < b[0] for a, b in pairwise(result))  # sorted and disjoint


@given(some.lists(boxes, max_size=40), some.lists(route_keys, min_size=20, max_size=20))
@deterministic
def test_the_trees_find_the_same_route_as_a_linear_scan(route_boxes: list[Box], keys: list[RouteKey]) -> None:
    table = table_of(route_boxes)
    for key in keys:
        assert table.find(key) == table.find_linear(key)


@given(boxes, some.lists(boxes, max_size=5), some.lists(route_keys, min_size=30, max_size=30))
@deterministic
def test_a_covered_box_leaves_nothing_and_the_pieces_are_disjoint(
    box: Box, earlier: list[Box], keys: list[RouteKey]
) -> None:
    def matches(candidate: Box, key: RouteKey) -> bool:
        return all(any_contains(candidate[axis], key[axis]) for axis in range(len(AXES)))

    pieces = [box]
    for hole in earlier:
        pieces = [part for piece in pieces for part in subtract_box(piece, hole)]
    cover = covered_by(box, list(enumerate(earlier)), 10_000)
    assert (cover is not None) == (not pieces)
    for key in keys:
        remains = matches(box, key) and not any(matches(hole, key) for hole in earlier)
        assert sum(matches(piece, key) for piece in pieces) == int(remains)


def test_a_route_that_others_cover_together_is_found_with_those_others() -> None:
    route_boxes = [
        box_of({1: ((0, 8),)}),
        box_of({2: ((0, 4),)}),
        box_of({1: ((8, AXIS_ENDS[1]),)}),
        box_of({3: ((1, 2),)}),
    ]
    assert covered_routes(route_boxes) == {3: [0, 2]}  # the second is not needed


def test_a_tree_of_ten_thousand_routes_refers_to_few_of_them_twice() -> None:
    step = (1 << 64) // 10_000
    route_boxes = [
        box_of({0: ((n % 3, n % 3 + 1),), 1: ((n * step, (n + 1) * step),), 4: ((0, 1 << 20),)})
        for n in range(10_000)
    ]
    table = table_of(route_boxes)
    assert sum(len(leaf) for leaf in table.leaves) < 20_000
    assert max(len(leaf) for leaf in table.leaves) <= 4
    rng = Random(5)
    for _ in range(200):
        key = RouteKey(rng.randrange(3), rng.getrandbits(64), 0, 0, rng.randrange(1 << 21), 1)
        assert table.find(key) == table.find_linear(key)


@pytest.mark.parametrize(
    "text, number",
    [
        ("10.1.2.3", IPV4_MAPPED_BASE | 0x0A010203),
        ("::ffff:10.1.2.3", IPV4_MAPPED_BASE | 0x0A010203),
        ("::1", 1),
        ("fe80::1%eth0", 0xFE80 << 112 | 1),
        ("", 0),
        ("10.1.2", 0),
        ("10.1.2.256", 0),
        ("10.1.2.\u0663", 0),
        ("x::1", 0),
    ],
)
def test_addresses_become_numbers_and_invalid_ones_become_0(text: str, number: int) -> None:
    assert address_number(text) == number


TERMS = i.RetryBudgetTerms("front", share=0.1, window=1000.0, floor=2.0)


def test_a_budget_is_a_share_of_first_relays_and_a_floor() -> None:
    budget = RetryBudget(TERMS)

    for _ in range(2):
        assert budget.has_room(0.0)
        budget.record_relay(0.0, True)
    assert not budget.has_room(0.0)  # the floor is used up
    for _ in range(10):
        budget.record_relay(10.0, False)
    assert budget.has_room(10.0)  # one more: a tenth of ten
    budget.record_relay(10.0, True)
    assert not budget.has_room(10.0)
    assert budget.has_room(1100.0)  # all of it is older than the window
    assert (budget.first_relays, budget.further_relays) == (0, 0)


@given(some.lists(some.tuples(some.floats(0.0, 400.0), some.booleans()), max_size=200))
@example([(1.0, True), (199.0, True), (400.0, False), (400.0, True)])  # recorded late in a slice
@deterministic
def test_a_budget_never_lets_more_than_its_share_and_floor_into_a_window(
    steps: list[tuple[float, bool]],
) -> None:
    budget, now = RetryBudget(TERMS), 0.0
    first: list[float] = []
    further: list[float] = []
    for elapsed, is_further in steps:
        now += elapsed
        if is_further and not budget.has_room(now):
            continue
        budget.record_relay(now, is_further)
        (further if is_further else first).append(now)
        # Counts expire a slice (a twentieth of the window) at a time: a window may be that much longer, never
        # shorter.
        counted = sum(at > now - TERMS.window for at in further)
        allowed = TERMS.floor + TERMS.share * sum(at > now - 1.05 * TERMS.window for at in first)
        assert not is_further or counted <= allowed + 1e-9
        assert len(budget._slices) <= 22


def test_new_plans_keep_the_counts_of_budgets_with_the_same_terms_and_drop_the_others() -> None:
    plan = i.Plan("a", allowance=TERMS)
    other = i.RetryBudgetTerms("network n", 0.5, 1000.0, 0.0)
    previous = ActivePlans(i.Plans((plan,), (other,)))
    previous.budgets[TERMS].record_relay(0.0, True)
    active = ActivePlans(i.Plans((i.Plan("b", relays=2, allowance=TERMS),)), previous)
    assert active.budgets == {TERMS: previous.budgets[TERMS]}
    assert active.plan_and_budgets(0, 0)[1].budgets == (previous.budgets[TERMS],)
    assert (
        active.plan_and_budgets(-1, -1)[0].relays is None and active.plan_and_budgets(7, 3)[1].budgets == ()
    )
    pull_budgets = ActivePlans(i.Plans((plan,), (other,), TERMS)).plan_and_budgets(0, 0)[1]
    assert len(pull_budgets.budgets) == 2  # the front and the route have the same terms: counted once


def test_a_cache_lookup_that_misses_and_its_fill_count_as_one_first_relay() -> None:
    active_plans = ActivePlans(i.Plans((i.Plan("a", allowance=TERMS),)))
    pull_budgets = active_plans.plan_and_budgets(0, -1)[1]
    pull_budgets.record_relay(0.0, False, 0)
    pull_budgets.record_relay(1.0, False, 1)  # the fill after the lookup
    pull_budgets.record_relay(2.0, True, 2)
    assert (active_plans.budgets[TERMS].first_relays, active_plans.budgets[TERMS].further_relays) == (1, 1)


def test_waits_grow_to_their_maximum_and_jitter_adds_at_most_its_share() -> None:
    plan = i.Plan("a", wait=10.0, growth=2.0, longest_wait=50.0, jitter=0.5)
    rng = Random(3)
    for failures, base in ((1, 10.0), (2, 20.0), (3, 40.0), (4, 50.0), (1000, 50.0)):
        drawn = [retry_wait(plan, failures, rng) for _ in range(50)]
        assert base <= min(drawn) < max(drawn) <= max_retry_wait(plan, failures) == 1.5 * base
    state = rng.getstate()
    assert retry_wait(i.Plan("b"), 1, rng) == 0.0 and rng.getstate() == state  # nothing was drawn


def test_a_further_relay_inherits_the_timeout_of_the_first_and_none_means_the_default() -> None:
    timeouts = (
        (i.ScaledDuration(10.0, 1.0), i.ScaledDuration(20.0, 0.0)),
        (i.ScaledDuration(5.0, 0.0), None),
        (None, i.ScaledDuration(7.0, 0.0)),
    )
    plan = i.Plan("a", time_outs=timeouts)
    results = [
        relay_timeout(plan, kind, further, 100.0, 9.0) for kind in i.RelayKind for further in (False, True)
    ]
    assert results == [110.0, 20.0, 5.0, 5.0, 9.0, 7.0]


def test_a_relay_that_never_left_the_front_is_always_retried() -> None:
    plan = i.Plan("a", relays=2, worth=frozenset({i.Outcome.RESET}))
    assert may_retry(plan, 9, i.Outcome.NOT_SENT)
    assert may_retry(plan, 1, i.Outcome.RESET)
    assert not may_retry(plan, 2, i.Outcome.RESET)
    assert not may_retry(plan, 1, i.Outcome.TIMEOUT)


def test_a_fleet_limit_holds_each_front_to_its_share() -> None:
    terms = replace(TERMS, share=1.0, floor=100.0, fleet=12.0)
    active_plans = ActivePlans(i.Plans((), (), terms), None, fronts=3)
    budget = active_plans.budgets[terms]

    def send_all(now: float) -> int:
        sent = 0
        while budget.has_room(now):
            budget.record_relay(now, True)
            sent += 1
        return sent

    assert send_all(0.0) == 4  # an equal share
    active_plans.apply_share(i.RetryBudgetShare("front", 0.75, 500.0), 100.0)
    # The front has no budget of this name.
    active_plans.apply_share(i.RetryBudgetShare("network n", 0.0, 500.0), 100.0)
    assert send_all(100.0) == 5 and send_all(599.0) == 0  # nine, of which four are still in the window
    # A reload keeps the share and the counts.
    reloaded = ActivePlans(i.Plans((), (), terms), active_plans, fronts=3)
    assert reloaded.budgets[terms] is budget
    assert send_all(1200.0) == 4  # the lease has expired: the lesser of it and an equal share
    active_plans.apply_share(i.RetryBudgetShare("front", 0.1, 500.0), 3000.0)
    assert send_all(3000.0) == 1 and send_all(9000.0) == 1
    unshared = RetryBudget(replace(TERMS, floor=100.0))
    assert unshared.has_room(0.0) and unshared.share.peak_used == 0.0


def test_a_demand_rises_at_once_and_falls_by_a_fifth_per_report() -> None:
    share = CapacityShare(0.25)
    assert (
        share.smooth_demand(0.5) == 0.5
        and share.smooth_demand(0.1) == 0.4
        and share.smooth_demand(0.9) == 0.9
    )
    assert (
        share.fits(3.0, 12.0, 0.0) and not share.fits(4.0, 12.0, 0.0) and share.reset_usage() == (True, 3.0)
    )
    share.apply_lease(0.0, 100.0, 0.0)  # never 0: a budget of 0 would read as no limit
    assert (
        share.share_at(50.0) > 0.0 and not share.fits(1.0, 12.0, 50.0) and share.reset_usage() == (True, 0.0)
    )
