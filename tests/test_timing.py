"""Routes, sets, budgets and paces alone."""

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

SMALL = 12  # values of an axis that the generated boxes speak of
steady = settings(derandomize=True, deadline=None, max_examples=150)
intervals = some.lists(some.tuples(some.integers(0, SMALL), some.integers(0, SMALL)), max_size=4).map(union)


def box_of(axes: dict[int, tuple[tuple[int, int], ...]]) -> Box:
    box = list(universal_box())
    for axis, held in axes.items():
        box[axis] = held or ((0, 1),)
    return tuple(box)


boxes = some.dictionaries(some.integers(0, 5), intervals, max_size=3).map(box_of)
sights = some.tuples(*[some.integers(0, SMALL)] * len(AXES)).map(lambda values: RouteKey(*values))


def table_of(held: list[Box]) -> RouteTable:
    grower = RouteTreeBuilder(held)
    grower.build()
    routes = tuple((number, box) for number, box in enumerate(held))
    return RouteTable(routes, tuple(grower.roots), tuple(grower.nodes), tuple(grower.leaves))


@given(intervals, intervals)
@steady
def test_sets_do_what_sets_of_numbers_do(
    one: tuple[tuple[int, int], ...], other: tuple[tuple[int, int], ...]
) -> None:
    numbers = [{n for n in range(SMALL + 1) if any_contains(which, n)} for which in (one, other)]
    for result, wanted in (
        (intersection(one, other), numbers[0] & numbers[1]),
        (difference(one, other), numbers[0] - numbers[1]),
        (union([*one, *other]), numbers[0] | numbers[1]),
    ):
        assert {n for n in range(SMALL + 1) if any_contains(result, n)} == wanted
        assert all(a[1] < b[0] for a, b in pairwise(result))  # in order and apart


@given(some.lists(boxes, max_size=40), some.lists(sights, min_size=20, max_size=20))
@steady
def test_the_tree_finds_what_a_scan_finds(held: list[Box], seen: list[RouteKey]) -> None:
    table = table_of(held)
    for sight in seen:
        assert table.find(sight) == table.find_linear(sight)


@given(boxes, some.lists(boxes, max_size=5), some.lists(sights, min_size=30, max_size=30))
@steady
def test_a_covered_box_leaves_nothing_and_its_pieces_are_apart(
    box: Box, earlier: list[Box], seen: list[RouteKey]
) -> None:
    def within(one: Box, sight: RouteKey) -> bool:
        return all(any_contains(one[axis], sight[axis]) for axis in range(len(AXES)))

    pieces = [box]
    for hole in earlier:
        pieces = [part for piece in pieces for part in subtract_box(piece, hole)]
    by = covered_by(box, list(enumerate(earlier)), 10_000)
    assert (by is not None) == (not pieces)
    for sight in seen:
        left = within(box, sight) and not any(within(hole, sight) for hole in earlier)
        assert sum(within(piece, sight) for piece in pieces) == int(left)


def test_a_route_that_others_cover_together_is_found_with_their_names() -> None:
    held = [
        box_of({1: ((0, 8),)}),
        box_of({2: ((0, 4),)}),
        box_of({1: ((8, AXIS_ENDS[1]),)}),
        box_of({3: ((1, 2),)}),
    ]
    assert covered_routes(held) == {3: [0, 2]}  # the second is not needed for it


def test_ten_thousand_routes_grow_a_tree_that_names_few_of_them_twice() -> None:
    step = (1 << 64) // 10_000
    held = [
        box_of({0: ((n % 3, n % 3 + 1),), 1: ((n * step, (n + 1) * step),), 4: ((0, 1 << 20),)})
        for n in range(10_000)
    ]
    table = table_of(held)
    assert sum(len(leaf) for leaf in table.leaves) < 20_000
    assert max(len(leaf) for leaf in table.leaves) <= 4
    chance = Random(5)
    for _ in range(200):
        sight = RouteKey(chance.randrange(3), chance.getrandbits(64), 0, 0, chance.randrange(1 << 21), 1)
        assert table.find(sight) == table.find_linear(sight)


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
def test_addresses_are_numbers_and_what_is_none_is_0(text: str, number: int) -> None:
    assert address_number(text) == number


TERMS = i.RetryBudgetTerms("front", share=0.1, window=1000.0, floor=2.0)


def test_a_budget_is_a_share_of_first_relays_and_a_floor() -> None:
    budget = RetryBudget(TERMS)

    for _ in range(2):
        assert budget.has_room(0.0)
        budget.record_relay(0.0, True)
    assert not budget.has_room(0.0)  # the floor is spent
    for _ in range(10):
        budget.record_relay(10.0, False)
    assert budget.has_room(10.0)  # a tenth of ten more
    budget.record_relay(10.0, True)
    assert not budget.has_room(10.0)
    assert budget.has_room(1100.0)  # all of it is older than the window
    assert (budget.first_relays, budget.further_relays) == (0, 0)


@given(some.lists(some.tuples(some.floats(0.0, 400.0), some.booleans()), max_size=200))
@example([(1.0, True), (199.0, True), (400.0, False), (400.0, True)])  # counted late in its slice
@steady
def test_a_budget_never_lets_more_than_its_share_and_floor_into_a_window(
    steps: list[tuple[float, bool]],
) -> None:
    budget, now = RetryBudget(TERMS), 0.0
    first: list[float] = []
    further: list[float] = []
    for wait_for, is_further in steps:
        now += wait_for
        if is_further and not budget.has_room(now):
            continue
        budget.record_relay(now, is_further)
        (further if is_further else first).append(now)
        # What is counted leaves in steps of a twentieth: a window may count as that much longer,
        # never shorter.
        kept = sum(at > now - TERMS.window for at in further)
        allowed = TERMS.floor + TERMS.share * sum(at > now - 1.05 * TERMS.window for at in first)
        assert not is_further or kept <= allowed + 1e-9
        assert len(budget._slices) <= 22


def test_new_plans_keep_the_counts_of_budgets_with_the_same_terms_and_drop_the_others() -> None:
    plan = i.Plan("a", allowance=TERMS)
    other = i.RetryBudgetTerms("network n", 0.5, 1000.0, 0.0)
    before = ActivePlans(i.Plans((plan,), (other,)))
    before.budgets[TERMS].record_relay(0.0, True)
    after = ActivePlans(i.Plans((i.Plan("b", relays=2, allowance=TERMS),)), before)
    assert after.budgets == {TERMS: before.budgets[TERMS]}
    assert after.plan_and_budgets(0, 0)[1].budgets == (before.budgets[TERMS],)
    assert after.plan_and_budgets(-1, -1)[0].relays is None and after.plan_and_budgets(7, 3)[1].budgets == ()
    one = ActivePlans(i.Plans((plan,), (other,), TERMS)).plan_and_budgets(0, 0)[1]
    assert len(one.budgets) == 2  # the front's and the route's are the same terms: counted once


def test_a_look_that_lacks_and_its_fill_are_one_first_relay() -> None:
    ledger = ActivePlans(i.Plans((i.Plan("a", allowance=TERMS),)))
    account = ledger.plan_and_budgets(0, -1)[1]
    account.record_relay(0.0, False, 0)
    account.record_relay(1.0, False, 1)  # the fill after the look
    account.record_relay(2.0, True, 2)
    assert (ledger.budgets[TERMS].first_relays, ledger.budgets[TERMS].further_relays) == (1, 1)


def test_waits_grow_to_their_cap_and_jitter_adds_at_most_its_part() -> None:
    plan = i.Plan("a", wait=10.0, growth=2.0, longest_wait=50.0, jitter=0.5)
    chance = Random(3)
    for failures, plain in ((1, 10.0), (2, 20.0), (3, 40.0), (4, 50.0), (1000, 50.0)):
        drawn = [retry_wait(plan, failures, chance) for _ in range(50)]
        assert plain <= min(drawn) < max(drawn) <= max_retry_wait(plan, failures) == 1.5 * plain
    state = chance.getstate()
    assert retry_wait(i.Plan("b"), 1, chance) == 0.0 and chance.getstate() == state  # chance is left alone


def test_a_further_relay_inherits_the_time_of_the_first_and_none_means_the_modules_own() -> None:
    spans = (
        (i.ScaledDuration(10.0, 1.0), i.ScaledDuration(20.0, 0.0)),
        (i.ScaledDuration(5.0, 0.0), None),
        (None, i.ScaledDuration(7.0, 0.0)),
    )
    plan = i.Plan("a", time_outs=spans)
    asked = [
        relay_timeout(plan, kind, further, 100.0, 9.0) for kind in i.RelayKind for further in (False, True)
    ]
    assert asked == [110.0, 20.0, 5.0, 5.0, 9.0, 7.0]


def test_what_never_left_the_front_always_goes_on() -> None:
    plan = i.Plan("a", relays=2, worth=frozenset({i.Outcome.RESET}))
    assert may_retry(plan, 9, i.Outcome.NOT_SENT)
    assert may_retry(plan, 1, i.Outcome.RESET)
    assert not may_retry(plan, 2, i.Outcome.RESET)
    assert not may_retry(plan, 1, i.Outcome.TIMEOUT)


def test_what_the_fleet_is_allowed_holds_each_front_to_its_part() -> None:
    terms = replace(TERMS, share=1.0, floor=100.0, fleet=12.0)
    ledger = ActivePlans(i.Plans((), (), terms), None, fronts=3)
    budget = ledger.budgets[terms]

    def sends(now: float) -> int:
        sent = 0
        while budget.has_room(now):
            budget.record_relay(now, True)
            sent += 1
        return sent

    assert sends(0.0) == 4  # an equal part
    ledger.apply_share(i.RetryBudgetShare("front", 0.75, 500.0), 100.0)
    ledger.apply_share(i.RetryBudgetShare("network n", 0.0, 500.0), 100.0)  # of no budget here
    assert sends(100.0) == 5 and sends(599.0) == 0  # nine, four of which are not over yet
    after = ActivePlans(i.Plans((), (), terms), ledger, fronts=3)  # a reload keeps part and counts
    assert after.budgets[terms] is budget
    assert sends(1200.0) == 4  # the grant is over: the lesser of it and an equal part
    ledger.apply_share(i.RetryBudgetShare("front", 0.1, 500.0), 3000.0)
    assert sends(3000.0) == 1 and sends(9000.0) == 1
    unshared = RetryBudget(replace(TERMS, floor=100.0))
    assert unshared.has_room(0.0) and unshared.share.peak_used == 0.0


def test_a_wish_rises_at_once_and_falls_by_a_fifth_an_ask() -> None:
    part = CapacityShare(0.25)
    assert (
        part.smooth_demand(0.5) == 0.5 and part.smooth_demand(0.1) == 0.4 and part.smooth_demand(0.9) == 0.9
    )
    assert part.fits(3.0, 12.0, 0.0) and not part.fits(4.0, 12.0, 0.0) and part.reset_usage() == (True, 3.0)
    part.apply_lease(0.0, 100.0, 0.0)  # never 0: a budget of 0 would read as no limit
    assert part.share_at(50.0) > 0.0 and not part.fits(1.0, 12.0, 50.0) and part.reset_usage() == (True, 0.0)
