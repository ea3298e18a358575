"""Limits divided among fronts: fair shares, the front's side, the coordinator, a simulated fleet with faults.

They guard against the fronts using more than the limit together, which happens where a share is granted again
while another front may still use it: after a pause, a lost message, a restart or a clock jump.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cometseam import interface as i
from cometseam.coordination.limit_sharing import decode_grant, decode_report, encode_grant, encode_report
from cometseam.limits import (
    CapacityGrant,
    Coordinator,
    DemandReport,
    FrontShares,
    SharingTerms,
    SharingTermsError,
    max_min_fair_shares,
)
from cometseam.routing import capacity_demand
from tests.drive import EDGES, PARENTS, SETTINGS, FrontDriver
from tests.standins.limits import LIMIT_NAME, SimulatedFleet

TERMS = SharingTerms(expected_fronts=4, grant_ttl=1000.0, refresh=200.0, window=500.0)
DemandFunction = Callable[[float], float]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.0, 1.0), min_size=1), st.floats(0.0, 1.0))
def test_fair_shares_sum_to_the_capacity_and_no_smaller_share_is_below_its_demand_for_a_larger(
    demands: dict[str, float], capacity: float
) -> None:
    shares = max_min_fair_shares(demands, capacity)
    assert abs(sum(shares.values()) - capacity) < 1e-9 and all(share >= 0.0 for share in shares.values())
    below_demand = [name for name in demands if shares[name] < demands[name] - 1e-9]
    for name in below_demand:
        assert all(shares[name] >= shares[other] - 1e-9 or other not in below_demand for other in demands)
        assert all(shares[other] <= max(shares[name], demands[other]) + 1e-9 for other in demands)


def test_terms_under_which_shares_cannot_be_moved_are_rejected() -> None:
    for invalid, term in (
        (SharingTerms(0, 1000.0, 200.0, 0.0), "expected"), (SharingTerms(4, 500.0, 200.0, 0.0), "lasts"),
        (SharingTerms(4, 1000.0, 200.0, 0.0, 0.2), "drift"), (SharingTerms(4, 1000.0, 200.0, -1.0), "window"),
    ):  # fmt: skip
        with pytest.raises(SharingTermsError, match=term):
            invalid.check()
    assert TERMS.max_total_share(4) == 1.0 and TERMS.max_total_share(6) == 1.5


# The front's side


def test_a_share_is_the_granted_one_then_the_smaller_of_it_and_the_floor_then_the_floor() -> None:
    share = FrontShares(TERMS)
    assert share.current_share("x", 0.0) == 0.25
    report = share.make_report({"x": 0.9, "y": 0.1}, 100.0)
    assert share.apply_grant(CapacityGrant(7, 1, report.number, {"x": 0.8, "y": 0.05}), 300.0)
    assert (share.current_share("x", 1089.0), share.current_share("y", 1089.0)) == (0.8, 0.05)
    # 100 + 990: counted from when the report was sent.
    assert (share.current_share("x", 1091.0), share.current_share("y", 1091.0)) == (0.25, 0.05)
    assert share.next_change_at("x", 1089.0) == 1090.0 and share.next_change_at("z", 5.0) == 5.0
    assert share.next_change_at("x", 1091.0) == 1090.0 + TERMS.reduced_period and share.limit_names() == [
        "x",
        "y",
    ]
    assert share.current_share("y", 1091.0 + TERMS.reduced_period) == 0.25 and share.limit_names() == ["x"]


def test_a_grant_that_is_older_late_or_for_an_unknown_report_is_ignored() -> None:
    share = FrontShares(TERMS)
    first, second = share.make_report({}, 0.0), share.make_report({}, 200.0)
    assert share.apply_grant(CapacityGrant(7, 5, second.number, {"x": 0.6}), 300.0)
    assert not share.apply_grant(CapacityGrant(7, 4, first.number, {"x": 0.1}), 310.0)
    # From a coordinator that resumed late.
    assert not share.apply_grant(CapacityGrant(6, 90, second.number, {"x": 0.1}), 310.0)
    assert not share.apply_grant(CapacityGrant(8, 1, first.number, {"x": 0.1}), 995.0)  # it has expired
    assert not share.apply_grant(
        CapacityGrant(8, 1, 77, {"x": 0.1}), 995.0
    )  # answers a report from before a restart
    assert share.current_share("x", 995.0) == 0.6 and (share.stale_grants, share.late_grants) == (2, 2)
    assert share.make_report({}, 995.0).applied_grant == (7, 5)


def test_a_clock_that_goes_back_expires_all_grants() -> None:
    share = FrontShares(TERMS)
    report = share.make_report({}, 10_000.0)
    share.apply_grant(CapacityGrant(7, 1, report.number, {"x": 0.8}), 10_100.0)
    assert (
        share.current_share("x", 10_200.0) == 0.8
        and share.current_share("x", 2_000.0) == 0.25
        and share.clock_regressions == 1
    )
    assert not share.apply_grant(CapacityGrant(7, 2, report.number, {"x": 0.8}), 2_100.0)


def test_the_limits_in_a_report_and_the_stored_send_times_are_bounded() -> None:
    share = FrontShares(TERMS)
    report = share.make_report({f"c{n}": n / 3000.0 for n in range(3000)}, 0.0)
    assert len(report.demands) == 1024 and min(report.demands.values()) > 0.65
    for _ in range(100):
        share.make_report({}, 0.0)
    assert not share.apply_grant(CapacityGrant(7, 1, report.number, {}), 1.0) and share.late_grants == 1


# The coordinator's side


def test_a_share_moves_only_after_it_was_given_up_and_its_window_is_over() -> None:
    terms = SharingTerms(expected_fronts=2, grant_ttl=1000.0, refresh=200.0, window=500.0)
    first_share, second_share = FrontShares(terms), FrontShares(terms)
    coordinator, now = Coordinator(terms, 3), 0.0
    seen: list[tuple[float, float]] = []
    for step in range(40):
        now = 200.0 * step
        demands = (1.0, 0.0) if step < 20 else (0.0, 1.0)
        for name, share, demand in (("a", first_share, demands[0]), ("b", second_share, demands[1])):
            coordinator.record_report(name, share.make_report({"x": demand}, now), now)
        grants = coordinator.allocate(now)
        first_share.apply_grant(grants["a"], now)
        second_share.apply_grant(grants["b"], now)
        seen.append((first_share.current_share("x", now), second_share.current_share("x", now)))
        assert sum(seen[-1]) <= 1.0 + 1e-9
    assert seen[19] == (1.0, 0.0) and seen[39] == (0.0, 1.0)
    moved = next(step for step in range(20, 40) if seen[step][1] > 0.9)
    given = next(step for step in range(20, 40) if seen[step][0] < 0.1)
    assert 3 <= moved - given <= 4  # the window of 500 ms after the report that it was given up


def test_the_floor_is_reserved_for_a_front_that_has_not_reported_and_not_for_an_idle_one() -> None:
    terms = SharingTerms(expected_fronts=4, grant_ttl=1000.0, refresh=200.0, window=0.0)
    shares = {name: FrontShares(terms) for name in "ab"}
    coordinator = Coordinator(terms, 3)
    for step in range(30):
        now = 200.0 * step
        for name, share in shares.items():
            coordinator.record_report(name, share.make_report({"x": float(name == "a")}, now), now)
        for name, grant in coordinator.allocate(now).items():
            shares[name].apply_grant(grant, now)
    # Two of four fronts have not reported: half of the limit is reserved.
    assert abs(shares["a"].current_share("x", now) - 0.5) < 1e-9
    assert shares["b"].current_share("x", now) < 1e-9


def test_a_new_coordinator_counts_the_grants_stored_on_the_service() -> None:
    terms = SharingTerms(expected_fronts=2, grant_ttl=1000.0, refresh=200.0, window=0.0)
    coordinator = Coordinator(terms, 9)
    coordinator.record_existing_grant("a", CapacityGrant(3, 50, 8, {"x": 0.9}), 0.0)
    coordinator.record_report("b", DemandReport(1, (0, 0), {"x": 1.0}), 10.0)
    assert coordinator.allocate(20.0)["b"].shares["x"] <= 0.5  # its floor, which needs no grant
    assert coordinator.allocate(1000.0)["b"].shares["x"] <= 0.5
    for step in range(8):  # after the stored grant has expired, `a` keeps its floor and no more
        now = 1020.0 + 200.0 * step
        coordinator.record_report("b", DemandReport(2 + step, (9, 2 + step), {"x": 1.0}), now)
        share = coordinator.allocate(now)["b"].shares["x"]
    assert share == 0.5


def test_a_restarted_front_supersedes_its_earlier_process() -> None:
    terms = SharingTerms(expected_fronts=2, grant_ttl=1000.0, refresh=200.0, window=500.0)
    coordinator = Coordinator(terms, 3)
    shares_of = {"a.1": FrontShares(terms), "b.1": FrontShares(terms)}
    for step in range(30):
        now = 200.0 * step
        for name, share in shares_of.items():
            coordinator.record_report(
                name, share.make_report({"x": 0.9 if name[0] == "a" else 0.1}, now), now
            )
        for name, grant in coordinator.allocate(now).items():
            shares_of[name].apply_grant(grant, now)
    assert shares_of["a.1"].current_share("x", now) > 0.85
    restarted = FrontShares(terms)
    coordinator.record_report("a.2", restarted.make_report({"x": 0.1}, now), now)
    assert (
        abs(coordinator.committed_share("x", now) - 1.5) < 0.1
    )  # the earlier process's, the new one's floor, b's
    # A late report of the ended process.
    coordinator.record_report("a.1", DemandReport(99, (3, 99), {"x": 1.0}), now)
    coordinator.allocate(now + 501.0)
    assert (
        set(coordinator.front_records) == {"a.2", "b.1"}
        and coordinator.committed_share("x", now + 501.0) <= 1.0 + 1e-9
    )


# The whole fleet


def constant_demand(value: float) -> DemandFunction:
    return lambda now: value


def simulated_fleet(
    seed: int,
    count: int,
    demands: list[DemandFunction],
    terms: SharingTerms = TERMS,
    mean_delay_ms: float = 30.0,
    loss_rate: float = 0.0,
) -> SimulatedFleet:
    fleet = SimulatedFleet(terms, Random(seed), mean_delay_ms, loss_rate)
    for number in range(count):
        fleet.add(demands[number % len(demands)])
    fleet.elect()
    return fleet


def test_uneven_demand_uses_nearly_all_of_the_limit_and_never_more() -> None:
    fleet = simulated_fleet(
        1, 4, [constant_demand(1.0), constant_demand(0.02), constant_demand(0.02), constant_demand(0.02)]
    )
    assert fleet.play(20_000.0) <= 1.0 + 1e-9
    late_sums = fleet.used_sums[len(fleet.used_sums) // 2 :]
    assert sum(late_sums) / len(late_sums) >= 0.95  # without sharing: 0.25 + 3 * 0.02


def test_with_equal_demand_every_front_returns_to_its_fair_share() -> None:
    fleet = simulated_fleet(
        2, 4, [lambda now: 1.0 if now < 5_000.0 else 0.5, lambda now: 0.0 if now < 5_000.0 else 0.5]
    )
    fleet.play(5_000.0)
    fleet.play(5_000.0 + 3 * TERMS.grant_ttl)
    assert all(abs(front.current_share(fleet.now) - 0.25) < 0.01 for front in fleet.fronts)


FAULTS = ("cut", "pause", "kill", "coordinator killed", "coordinator paused", "service down")


def inject_fault(fleet: SimulatedFleet, kind: str, rng: Random) -> None:
    """Cause one fault."""
    front = rng.choice(fleet.fronts)
    length = rng.choice((0.3, 1.0, 3.0, 8.0)) * fleet.terms.grant_ttl
    if kind == "cut":
        front.cut_until = fleet.now + length
    elif kind == "pause":
        front.paused_until = fleet.now + length
    elif kind == "kill" and front.alive:
        fleet.kill(front)
        fleet.add(front.demand, front.name.rpartition(".")[0] if rng.random() < 0.5 else "")
    elif kind == "coordinator killed":
        fleet.coordinator = None
        fleet.schedule(
            fleet.now + fleet.terms.grant_ttl, lambda: fleet.elect() if fleet.coordinator is None else None
        )
    elif kind == "coordinator paused":
        fleet.pause_coordinator(fleet.now + length)
        fleet.schedule(
            fleet.now + fleet.terms.grant_ttl, lambda: fleet.elect() if fleet.coordinator is None else None
        )
    elif kind == "service down":
        fleet.service_down_until = fleet.now + length


def hurt(
    seed: int, length: float = 20_000.0, kinds: tuple[str, ...] = FAULTS
) -> tuple[float, SimulatedFleet]:
    """Simulate a fleet with changing demand and random faults; return by how much it exceeded the bound."""
    rng = Random(seed)
    count = rng.choice((2, 4, 4, 4, 6))

    def demand(number: int) -> DemandFunction:
        period, level = rng.choice((1_000.0, 4_000.0)), rng.random()
        return lambda now: level if int(now / period + number) % 3 else 1.0

    fleet = simulated_fleet(
        seed, count, [demand(number) for number in range(count)], loss_rate=rng.choice((0.0, 0.1, 0.4)),
        mean_delay_ms=rng.choice((5.0, 40.0, 150.0)),
    )  # fmt: skip
    excess = [0.0]

    def on_step() -> None:
        if rng.random() < 0.01:
            inject_fault(fleet, rng.choice(kinds), rng)
        if fleet.sums:
            excess[0] = max(excess[0], fleet.sums[-1] - fleet.terms.max_total_share(fleet.processes()))

    fleet.play(length, on_step)
    return excess[0], fleet


@pytest.mark.parametrize("seed", range(40))
def test_the_sum_of_shares_stays_within_the_stated_bound_under_faults(seed: int) -> None:
    excess, _ = hurt(seed)
    assert excess <= 1e-9


def test_the_check_fails_for_a_coordinator_that_grants_shares_still_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where earlier grants are not counted, the sum exceeds the limit, and the test above would fail."""
    monkeypatch.setattr(Coordinator, "max_share", lambda self, member, name, now: 0.0)
    assert max(hurt(seed)[0] for seed in range(6)) > 0.1


def test_the_service_rejects_grants_of_a_coordinator_that_resumes_late() -> None:
    fleet = simulated_fleet(3, 4, [constant_demand(1.0), constant_demand(0.1)])
    fleet.play(3_000.0)
    fleet.pause_coordinator(3_700.0)
    fleet.play(3_600.0)
    fleet.elect()
    assert fleet.play(12_000.0) <= 1.0 + 1e-9 and fleet.rejected_grants > 0


def test_with_all_links_cut_for_three_leases_shares_fall_to_the_floor_and_recover() -> None:
    fleet = simulated_fleet(4, 4, [constant_demand(1.0), constant_demand(0.02)])
    fleet.play(5_000.0)
    fleet.service_down_until = 5_000.0 + 3 * TERMS.grant_ttl + TERMS.reduced_period
    assert fleet.play(fleet.service_down_until - 100.0) <= 1.0 + 1e-9
    assert all(front.current_share(fleet.now) <= 0.25 for front in fleet.fronts)
    fleet.play(fleet.now + 6_000.0)
    assert sum(front.current_share(fleet.now) for front in fleet.fronts[::2]) > 0.9
    assert fleet.fronts[0].share.limit_names() == [LIMIT_NAME]


# How the routing module applies its share, and the demand it reports


def cold_front(fronts: int = 4) -> tuple[FrontDriver, int]:
    """Return a front that is one of four, and one of its caches, which is cold."""
    driver = FrontDriver(replace(SETTINGS, fronts=fronts, fronts_by_zone=(0, fronts, 0)))
    cold = i.CacheEntry(EDGES[0], i.Lifecycle.READY, driver.now, 1, 1, 0, 8.0)
    driver.send_event(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cold,)))
    return driver, EDGES[0]


def count_relays_to(driver: FrontDriver, cache: int, pulls: int = 200) -> int:
    """Send pulls of 300 ms each, the workload's mean, within half a second; return how many the cache got."""
    first, count = max(driver.relays, default=0) + 1, 0
    for number in range(first, first + pulls):
        driver.send_event(i.Pull(number, number, 0, 0, 2000.0, False, 1500.0, 3), 2.0)
        relay = driver.last.get(number)
        if relay is not None:
            count += relay.cache == cache
            driver.end(number, after=0.1)
    return count


def test_the_slow_start_budget_of_a_cold_cache_follows_the_granted_share() -> None:
    counts = []
    for share in (None, 0.0, 0.5, 1.0):
        driver, cold = cold_front()
        if share is not None:
            driver.send_event(i.CapacityLease(cold, share, 10_000.0))
        counts.append(count_relays_to(driver, cold))
    equal_share, none, half, full = counts
    assert (
        none == 0 < equal_share < half < full
        and abs(full - 4 * equal_share) <= 4
        and abs(half - 2 * equal_share) <= 2
    )


def test_after_expiry_a_share_below_the_floor_still_applies_and_one_above_does_not() -> None:
    budgets = []
    for share in (0.1, 0.9):
        driver, cold = cold_front()
        driver.send_event(i.CapacityLease(cold, share, 100.0))
        driver.send_event(i.LoopLagged(0.0), after=200.0)
        budgets.append(driver.front.slow_start_budget(driver.front.servers[cold]))
    equal_share = budgets[1]
    assert abs(budgets[0] - 0.4 * equal_share) < 1e-6


def test_demand_doubles_where_sends_were_blocked_and_falls_to_the_share_in_use() -> None:
    driver, cold = cold_front()
    count_relays_to(driver, cold)
    # Blocked at an equal share of a quarter.
    assert capacity_demand.slow_start_demands(driver.front, driver.now) == {cold: 0.5}
    driver.send_event(i.LoopLagged(0.0), after=1500.0)
    used = capacity_demand.slow_start_demands(driver.front, driver.now)[cold]
    assert 0.25 < used < 0.35  # 1.25 times the use in the window, with room for at least one more
    driver.send_event(i.LoopLagged(0.0), after=1500.0)
    assert capacity_demand.slow_start_demands(driver.front, driver.now) == {cold: 0.0}
    # A share below one pull would let nothing through.
    assert capacity_demand.demanded_share(0.001, 0.0, True, 0.02) == 0.02
    driver.send_event(i.LoopLagged(0.0), after=20_000.0)
    assert capacity_demand.slow_start_demands(driver.front, driver.now) == {}  # the cache is warm
    assert capacity_demand.group_of(driver.front, cold, ("a", "b", "c")) == "b"
    assert (
        capacity_demand.group_of(driver.front, PARENTS[0], ("a", "b", "c")) == capacity_demand.PARENTS_GROUP
    )


def test_the_sharing_groups_are_the_zones_with_fronts_and_the_parents() -> None:
    group_settings = replace(SETTINGS, fronts=9, fronts_by_zone=(0, 4, 5))
    groups = capacity_demand.sharing_groups(group_settings, ("a", "b", "c"), 500.0, 3000.0, 0.01)
    assert {name: terms.expected_fronts for name, terms in groups.items()} == {"b": 4, "c": 5, "parents": 9}
    assert all(terms.window == group_settings.overload_window for terms in groups.values())


# The values stored on the service


def test_reports_and_grants_are_decoded_as_encoded_and_anything_else_is_rejected() -> None:
    report = DemandReport(7, (3, 2), {"x": 0.25, "y": 1.0})
    grant = CapacityGrant(3, 9, 7, {"x": 0.5}, {"x": 0.75})
    assert decode_report(encode_report(report)) == report and decode_grant(encode_grant(grant)) == grant
    for invalid in (
        b"", b"[]", b"7", b'[1,2,3,{"x":2}]', b'[1,2,3,{"x":"a"}]', b"[1,2,-3,{}]", b"[1,2,true,{}]",
        b"[1,2,3,[]]", b'[1,2,3,{"x":NaN}]', b"[" * 100_000, b" " * (2 << 20),
    ):  # fmt: skip
        with pytest.raises((ValueError, RecursionError)):
            decode_report(invalid)
        with pytest.raises((ValueError, RecursionError)):
            decode_grant(invalid)
