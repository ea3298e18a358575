"""Service levels: the state machine, its signals, what a level leaves out, and the kept level.

Guards against levels that flap: a load at a bound, or shedding that itself clears the signal, must cause few
changes, at least ten seconds apart. Also guards against shedding that is unfair to a network, that breaks the
rules of drains, cold caches, purges and idempotency, or that outlasts its level.
"""

import itertools
import json
import zlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from typer.testing import CliRunner

from cometseam import interface as i
from cometseam.cli.main import app
from cometseam.levels import (
    CompoundCondition,
    Level,
    LevelActions,
    LevelPolicy,
    LevelStateMachine,
    LoadShedder,
    ShedShare,
    Signals,
    ThresholdCondition,
    TruthValue,
    UtilizationSample,
    snapshot,
)  # fmt: skip
from cometseam.levels.conditions import ConditionTracker, combine_truth_values
from cometseam.levels.controller import LevelController
from cometseam.levels.machine import map_level
from cometseam.levels.policy import MIN_STAY_MS, is_at_least_as_strict
from cometseam.levels.replay import Row, SeriesError, parse_series, replay
from cometseam.levels.signals import signal_names
from cometseam.operator import compiled
from cometseam.operator.load import load
from cometseam.routing.levels import counter_label, histogram
from tests.drive import SAMPLE, SERVERS, SETTINGS, FrontDriver, cache_entry
from tests.standins.link import Shared
from tests.standins.scripted import FrontSimulation, ScriptedReply

EXAMPLE = Path(__file__).parent.parent / "deploy" / "levels.jsonnet"
deterministic = settings(derandomize=True, deadline=None, max_examples=120)


def threshold(signal: str, above: bool, bound: float, lasts: float) -> CompoundCondition:
    return CompoundCondition(True, (ThresholdCondition(signal, above, bound, lasts),))


def shedding(share: float) -> LevelActions:
    return LevelActions(shed=(ShedShare(0, "", share),))


POLICY = LevelPolicy(
    (
        Level(
            "little",
            threshold("link", True, 1.0, 2000.0),
            threshold("link", False, 0.8, 3000.0),
            shedding(0.3),
        ),
        Level(
            "more", threshold("link", True, 1.5, 2000.0), threshold("link", False, 1.0, 3000.0), shedding(0.6)
        ),
        Level(
            "least",
            threshold("lag", True, 200.0, 1000.0),
            threshold("lag", False, 50.0, 2000.0),
            shedding(0.8),
            20_000.0,
        ),
    ),
    spread=0.0,
)


def changes_over(
    machine: LevelStateMachine, values: Sequence[float | None], step: float = 250.0, start: float = 0.0
) -> list[float]:
    """Step a machine through values of the link signal and return the times (ms) of its changes."""
    times = []
    for index, value in enumerate(values):
        if machine.step(start + step * index, {"link": value}) is not None:
            times.append(start + step * index)
    return times


def test_an_unknown_value_makes_a_condition_unknown_unless_the_others_decide_it() -> None:
    true, false, unknown = TruthValue.TRUE, TruthValue.FALSE, TruthValue.UNKNOWN
    assert [combine_truth_values(True, [true, unknown]), combine_truth_values(True, [false, unknown])] == [
        unknown,
        false,
    ]
    assert [combine_truth_values(False, [true, unknown]), combine_truth_values(False, [false, unknown])] == [
        true,
        unknown,
    ]


def test_a_threshold_must_be_passed_for_its_time_and_an_unknown_value_pauses_it() -> None:
    tracker = ConditionTracker(threshold("link", True, 1.0, 1000.0))
    steps = [(0.0, 2.0), (600.0, 2.0), (600.0, None), (300.0, 2.0), (200.0, 2.0), (100.0, 0.5), (900.0, 2.0)]
    truth_values = [tracker.step(passed, {"link": value}) for passed, value in steps]
    false, unknown, true = TruthValue.FALSE, TruthValue.UNKNOWN, TruthValue.TRUE
    assert truth_values == [false, false, unknown, false, true, false, false]


def test_a_spike_of_one_sample_and_a_slow_rise_below_the_bound_enter_no_level() -> None:
    spikes = [5.0 if index % 20 == 0 else 0.5 for index in range(400)]
    assert changes_over(LevelStateMachine(POLICY, Random(1)), spikes) == []
    rise: list[float | None] = [0.5 + 0.5 * index / 4000 for index in range(4000)]
    assert changes_over(LevelStateMachine(POLICY, Random(1)), rise) == []
    machine = LevelStateMachine(POLICY, Random(1))
    assert len(changes_over(machine, [*rise, *[1.01] * 12])) == 1 and machine.level == 1


def test_a_rise_skips_levels_and_a_descent_takes_one_at_a_time_with_a_ramp() -> None:
    machine = LevelStateMachine(POLICY, Random(1))
    changes_over(machine, [2.0] * 12)
    assert machine.level == 2
    down = changes_over(machine, [0.5] * 200, start=3000.0)
    assert machine.level == 0 and len(down) == 2 and down[1] - down[0] >= MIN_STAY_MS
    machine = LevelStateMachine(POLICY, Random(1))
    changes_over(machine, [2.0] * 12)
    shares = []
    for index in range(200):
        machine.step(3000.0 + 250.0 * index, {"link": 0.5})
        shares.append(machine.current_actions().shed[0].share if machine.current_actions().shed else 0.0)
    assert shares[0] == 0.6 and shares[-1] == 0.0
    assert all(0.0 <= before - after <= 0.011 for before, after in itertools.pairwise(shares))


def test_a_load_at_the_bound_for_five_minutes_causes_few_changes() -> None:
    for seed in range(20):
        machine = LevelStateMachine(replace(POLICY, spread=0.25), Random(seed))
        values = [1.6 if index // 4 % 2 else 0.7 for index in range(1200)]  # crosses the bound every second
        changes = changes_over(machine, list(values))
        assert len(changes) <= 6
        # The mean over the window of the link signal stays close to the bound.
        rng = Random(seed)
        machine = LevelStateMachine(replace(POLICY, spread=0.25), Random(seed))
        near = [rng.uniform(0.75, 1.25) + (index // 240 % 2) * 0.2 for index in range(1200)]
        changes = changes_over(machine, near)
        assert len(changes) <= 6
        assert all(after - before >= MIN_STAY_MS for before, after in itertools.pairwise(changes))


def test_shedding_that_clears_its_own_signal_does_not_oscillate() -> None:
    shared = Shared(replace(POLICY, spread=0.25), 1, lambda now: 1.2, 3)
    shared.run(600_000.0)
    assert len(shared.changes) <= 8  # the minimum stay doubles on each early return


def test_a_flapping_front_stays_longer_each_time_and_calm_resets_that() -> None:
    machine = LevelStateMachine(POLICY, Random(1))
    now, stays = 0.0, []
    for _ in range(5):
        while machine.level == 0:
            machine.step(now, {"link": 1.2})
            now += 250.0
        entered_at = now
        while machine.level:
            machine.step(now, {"link": 0.2})
            now += 250.0
        stays.append(now - entered_at)
    # The factor doubles up to 8; a stay of over a minute counts as calm and halves it.
    assert [round(stay / 10_000.0) for stay in stays] == [1, 2, 4, 6, 6]
    for _ in range(4 * 60 * 6):
        machine.step(now, {"link": 0.2})
        now += 250.0
    assert machine.hold_down_factors == [1.0, 1.0, 1.0]


def test_an_unknown_link_signal_neither_enters_nor_leaves_a_level() -> None:
    machine = LevelStateMachine(POLICY, Random(1))
    assert changes_over(machine, [None] * 400) == [] and machine.level == 0
    changes_over(machine, [1.2] * 12, start=100_000.0)
    assert machine.level == 1
    assert changes_over(machine, [None] * 400, start=103_000.0) == [] and machine.level == 1
    assert len(changes_over(machine, [0.5] * 20, start=203_000.0)) == 1


def test_a_clock_jump_counts_for_one_second_at_most() -> None:
    machine = LevelStateMachine(POLICY, Random(1))
    assert changes_over(machine, [1.2, 1.2]) == []
    assert machine.step(3_600_000.0, {"link": 1.2}) is None  # an hour forward counts for a second
    assert machine.step(500.0, {"link": 1.2}) is None  # and a jump back counts for nothing
    assert machine.level == 0 and changes_over(machine, [1.2] * 8, start=500.0) != []


def test_alternating_conditions_of_two_levels_cause_changes_ten_seconds_apart() -> None:
    machine = LevelStateMachine(POLICY, Random(1))
    times = []
    for index in range(2400):
        values = {"link": 1.2 if index % 40 < 20 else 0.5, "lag": 10.0 if index % 40 < 20 else 300.0}
        if machine.step(250.0 * index, values) is not None:
            times.append(250.0 * index)
    assert len(times) >= 2 and all(b - a >= MIN_STAY_MS for a, b in itertools.pairwise(times))


series = some.lists(
    some.tuples(
        some.sampled_from([50.0, 250.0, 1000.0, 4000.0, -500.0]),
        some.sampled_from([None, 0.2, 0.79, 0.9, 1.01, 1.2, 1.6]),
        some.sampled_from([None, 10.0, 60.0, 300.0]),
        some.integers(1, 40),
    ),
    max_size=40,
)


@given(series, some.integers(0, 1 << 20))
@deterministic
def test_any_series_keeps_the_minimum_stay_ends_in_full_service_and_is_reproducible(
    steps: list[tuple[float, float | None, float | None, int]], seed: int
) -> None:
    def run() -> list[tuple[float, int, int]]:
        machine = LevelStateMachine(replace(POLICY, spread=0.5), Random(seed))
        now = passed = 0.0
        changes: list[tuple[float, int, int]] = []
        calm = [(250.0, 0.2, 10.0, 4 * 60 * 10)]
        for step, link, lag, repetitions in [*steps, *calm]:
            for _ in range(repetitions):
                now += step
                passed += min(max(step, 0.0), 1000.0)
                change = machine.step(now, {"link": link, "lag": lag})
                if change is not None:
                    changes.append((passed, change.before, change.after))
                allowed = {s.share for level in (machine.level, machine._ramp_from) for s in
                           machine.policy.actions_of(level).shed}  # fmt: skip
                shares = [shed.share for shed in machine.current_actions().shed]
                assert all(share <= max(allowed, default=0.0) for share in shares)
        # No action outlasts its level.
        assert machine.level == 0 and machine.current_actions() == LevelActions()
        return changes

    first = run()
    assert first == run()
    for (at, _, level), (next_at, before, after) in itertools.pairwise(first):
        assert next_at - at >= MIN_STAY_MS - 1e-6 and before == level
        assert after > before or after == before - 1
        if after < before:
            assert next_at - at >= POLICY.levels[before - 1].stay - 1e-6


def test_twenty_fronts_on_one_link_do_not_change_level_at_once() -> None:
    swings = {}
    for spread in (0.0, 0.5):
        policy = replace(POLICY, levels=POLICY.levels[:1], spread=spread)
        shared = Shared(policy, 20, lambda now: 1.08, 5)
        shared.run(600_000.0)
        simultaneous = Counter(at for at, _, _ in shared.changes).most_common(1)[0][1]
        swings[spread] = (len(shared.changes), simultaneous, shared.swing(15_000.0)[0])
    assert swings[0.0][1] >= 18 and swings[0.5][1] <= 10
    assert swings[0.5][0] < 0.6 * swings[0.0][0]
    assert swings[0.5][2] < swings[0.0][2]


def test_a_level_maps_to_the_same_name_else_to_the_first_at_least_as_strict() -> None:
    renamed = replace(
        POLICY, levels=(replace(POLICY.levels[0], name="a"), replace(POLICY.levels[2], name="b"))
    )
    assert map_level(POLICY, 2, POLICY) == 2
    assert [map_level(POLICY, level, renamed) for level in range(4)] == [0, 1, 2, 2]
    assert map_level(POLICY, 3, replace(POLICY, levels=POLICY.levels[:1])) == 1  # none is as strict: the last
    assert is_at_least_as_strict(shedding(0.3), LevelActions()) and not is_at_least_as_strict(
        LevelActions(), shedding(0.3)
    )


def new_signals() -> Signals:
    return Signals(("grids", "maps"), histogram)


FRONT_SAMPLE = UtilizationSample(0.5, 0.1, 0.2, None)


def test_too_few_or_old_samples_are_unknown() -> None:
    recorded = new_signals()
    for index in range(4):
        recorded.record_link(100.0 * index, 1.5)
    assert recorded.read(400.0, FRONT_SAMPLE)["link"] is None
    recorded.record_link(400.0, 1.0)
    assert recorded.read(400.0, FRONT_SAMPLE)["link"] == pytest.approx(1.4)
    assert recorded.read(5000.0, FRONT_SAMPLE)["link"] is None
    for _ in range(19):
        recorded.record_answer(5000.0, 0, "finished", 100.0, 200.0)
    assert recorded.read(5000.0, FRONT_SAMPLE)["late:grids"] is None
    recorded.record_answer(5000.0, 0, "finished", 300.0, 200.0)
    values = recorded.read(5000.0, FRONT_SAMPLE)
    assert (values["late:grids"], values["shed:grids"], values["shed:maps"]) == (0.05, 0.0, None)
    assert values["pressure:grids"] == pytest.approx(0.5, abs=0.01)
    assert values["budgets"] is None and values["fills"] == 0.5 and values["lag"] is None
    assert set(values) == set(signal_names(("grids", "maps")))
    assert recorded.read(20_000.0, FRONT_SAMPLE)["pressure:grids"] is None


def pull(number: int, object_number: int, size: float = 100.0, part: int = 0, client: int = 1) -> i.Pull:
    return i.Pull(number, object_number, part, 0, 2000.0, False, size, 3, client_network=client)


def shedder_at(share: float, **more: object) -> LoadShedder:
    shedder = LoadShedder(Random(1))
    shedder.apply_service_level(replace(i.ServiceLevel(1, (share, 0.0), reading_window=10_000.0), **more))  # type: ignore[arg-type]
    return shedder


def test_shedding_depends_on_the_object_and_is_stable_over_time() -> None:
    shedder = shedder_at(0.3)
    first = {number: shedder.should_shed(0.0, pull(0, number), 20.0) for number in range(3000)}
    again = {number: shedder.should_shed(9000.0, pull(0, number), 20.0) for number in range(3000)}
    assert 0.25 < sum(list(again.values())[500:]) / 2500 < 0.35
    assert sum(first[key] != again[key] for key in range(600, 3000)) < 150  # a retry gets the same result
    # Another workload is not shed.
    assert shedder.should_shed(0.0, replace(pull(0, 5), workload=1), 20.0) is False


def test_large_pulls_are_shed_first() -> None:
    shedder, rng = shedder_at(0.3), Random(3)
    shed: list[float] = []
    admitted: list[float] = []
    for number in range(4000):
        size = rng.choice((10.0, 40.0, 160.0))
        (shed if shedder.should_shed(0.0, pull(0, number), size) else admitted).append(size)
    assert sum(shed) / len(shed) > 2.0 * sum(admitted) / len(admitted)


def test_the_later_parts_of_an_object_being_read_are_not_shed() -> None:
    shedder = shedder_at(0.0)
    for number in range(200):
        shedder.should_shed(0.0, pull(0, number), 20.0)
    shedder.apply_service_level(i.ServiceLevel(1, (0.9, 0.0), reading_window=10_000.0))
    parts = [shedder.should_shed(3000.0 * part, pull(0, 7, part=part), 20.0) for part in range(1, 6)]
    assert parts == [False] * 5
    later = [shedder.should_shed(60_000.0, pull(0, number, part=3), 20.0) for number in range(200)]
    assert sum(later) > 100  # the earlier parts were too long ago


def test_no_network_loses_much_more_than_the_others() -> None:
    shedder, rng = shedder_at(0.3), Random(4)
    received: Counter[int] = Counter()
    lost: Counter[int] = Counter()
    for _ in range(20_000):
        network = rng.choice((1, 1, 1, 2, 3))
        # Network 3 requests only large objects, which would be shed first.
        size = 400.0 if network == 3 else rng.choice((10.0, 40.0, 160.0))
        received[network] += 1
        lost[network] += shedder.should_shed(0.0, pull(0, rng.randrange(500), size, client=network), size)
    shares = {network: lost[network] / received[network] for network in received}
    overall = sum(lost.values()) / sum(received.values())
    assert overall > 0.15 and max(shares.values()) < 1.35 * overall, shares


def test_tables_are_bounded_and_cleared_when_a_level_ends() -> None:
    shedder = shedder_at(0.5)
    for number in range(20_000):
        shedder.should_shed(0.0, pull(0, number, client=number), 20.0)
    assert len(shedder._read_at) <= 4096 and len(shedder._networks) <= 512
    shedder.apply_service_level(i.ServiceLevel())
    assert not shedder._read_at and not shedder._networks and not shedder._cutoffs
    assert (
        not any(shedder.should_shed(0.0, pull(0, number), 20.0) for number in range(100))
        and not shedder._read_at
    )


def test_retry_times_are_spread_and_never_shorter_than_the_default() -> None:
    shedder = shedder_at(0.5, min_retry_after=800.0)
    times = [shedder.retry_after(300.0) for _ in range(200)]
    assert 800.0 <= min(times) < 850.0 and 1500.0 < max(times) <= 1600.0
    assert min(shedder.retry_after(900.0) for _ in range(50)) >= 900.0
    assert shedder_at(0.5).retry_after(300.0) == 300.0


def test_the_decision_module_sheds_immediately_and_leaves_out_what_the_level_sets() -> None:
    driver = FrontDriver()
    driver.send_event(i.ServiceLevel(1, (1.0, 0.0, 0.0, 0.0), min_retry_after=500.0))
    driver.pull(1)
    assert driver.trace == ["10 pull 1: shed"] and not driver.front.pending
    driver.pull(2, workload=1)
    assert driver.last[2].id == 2
    driver.send_event(i.ServiceLevel(1, (), fill_first_seen=False, prefer_stale=True))
    driver.pull(3, object_id=77)
    driver.end_with_miss(3)  # first seen: no fill, but a lookup for a stale copy
    assert driver.last[3].source == driver.last[3].cache and driver.last[3].max_age == 25_000.0
    driver.end_with_miss(3)
    driver.send_event(i.ServiceLevel(1, (), allow_further_relays=False))
    driver.pull(4, object_id=78)
    driver.end(4, i.Outcome.RESET, i.Remark.NONE)
    assert driver.relays[4] == 0 and "pull 4: shed" in driver.trace[-1]
    driver.send_event(i.ServiceLevel(1, (), fill_limit_share=0.05))
    driver.front.fill_limit.in_flight = 5
    driver.pull(5, object_id=79)
    driver.end_with_miss(5)
    assert driver.last[5].source == driver.last[5].cache  # a fill would exceed the limit
    driver.front.fill_limit.in_flight = 0
    driver.send_event(i.ServiceLevel())
    driver.pull(6, object_id=80)
    driver.end_with_miss(6)
    assert driver.last[6].source != driver.last[6].cache
    counts = driver.front.load_shedder.skipped_counts
    assert counts["shed.0"] == 1 and counts["further_relays"] == 1
    assert counts["first_seen_fills"] >= 1 and counts["fills"] >= 1


def test_a_kept_level_is_read_back_unless_it_is_torn_or_old(tmp_path: Path) -> None:
    path = tmp_path / "level"
    assert snapshot.read(path, 0.0) is None
    snapshot.write(path, "more", 900.0, 1000.0)
    assert snapshot.read(path, 2000.0) == ("more", 900.0)
    with pytest.raises(snapshot.SnapshotError, match="old"):
        snapshot.read(path, 1000.0 + snapshot.MAX_AGE_MS + 1.0)
    with pytest.raises(snapshot.SnapshotError, match="ahead"):
        snapshot.read(path, 1000.0 - snapshot.MAX_AGE_MS - 1.0)
    content = path.read_bytes()
    for length in range(len(content)):  # a power failure after each byte
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(content[:length], 2000.0)
    for index in range(len(content)):
        corrupted = content[:index] + bytes([content[index] ^ 1]) + content[index + 1 :]
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(corrupted, 2000.0)
    with pytest.raises(snapshot.SnapshotError, match="another format"):
        snapshot.decode(_other_format(), 0.0)
    path.with_name("level.new").write_bytes(b"half")  # left by a front that crashed while writing
    assert snapshot.read(path, 2000.0) == ("more", 900.0)
    snapshot.write(path, "full", 3000.0, 3000.0)
    assert snapshot.read(path, 3000.0) == ("full", 3000.0)
    with pytest.raises(OSError):
        snapshot.write(tmp_path / "none" / "level", "full", 0.0, 0.0)


def _other_format() -> bytes:
    line = json.dumps({"form": 2, "level": "x", "since": 0, "at": 0}).encode()
    return b"%s\n%08x\n" % (line, zlib.crc32(line))


def test_a_reload_keeps_the_level_of_the_same_name_and_the_time_in_it() -> None:
    controller = LevelController(POLICY, (), ("grids", "maps"), Random(1), histogram)
    now = 0.0
    for now in range(0, 4000, 250):
        for _ in range(5):
            controller.signals.record_link(float(now), 1.2)
        controller.step(float(now), FRONT_SAMPLE)
    assert controller.level_name == "little"
    since_change_ms = controller.state_machine.since_change_ms
    changed_policy = replace(
        POLICY, levels=(POLICY.levels[0], replace(POLICY.levels[1], measures=shedding(0.7)))
    )
    controller.replace_policy(changed_policy, (), Random(2))
    assert controller.level_name == "little" and controller.state_machine.since_change_ms == since_change_ms
    change, service_level = controller.step(4000.0, FRONT_SAMPLE)
    assert change is None and service_level is not None and service_level.shed_shares == (0.3, 0.0)
    controller.replace_policy(
        replace(POLICY, levels=(replace(POLICY.levels[2], name="only"),)), (), Random(3)
    )
    assert controller.level_name == "only" and controller.state_machine.since_change_ms == 0.0


def test_the_example_is_unchanged_by_compiling_and_routes_become_plan_indexes() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    read = compiled.decode_compiled(compiled.encode_compiled(loaded.compiled, loaded.network_intervals))
    assert read.level_policy == loaded.compiled.level_policy and read.level_policy is not None
    controller = LevelController(
        read.level_policy, (("r", 4), ("s", 5)), ("grids", "maps"), Random(1), histogram
    )
    level = controller.to_service_level(LevelActions(shed=(ShedShare(1, "", 0.4), ShedShare(-1, "s", 0.2))))
    assert level.shed_shares == (0.0, 0.4) and level.plan_shed_shares == {5: 0.2}


def test_a_series_is_replayed_and_a_malformed_one_is_rejected() -> None:
    names = signal_names(("grids", "maps"))
    rows = parse_series("t,link,lag\n" + "".join(f"{n * 0.25},1.2,\n" for n in range(20)), names)
    assert rows[1] == Row(250.0, {"link": 1.2, "lag": None})
    result = replay(POLICY, rows, 1)
    assert [change.after for _, change in result.changes] == [1] and result == replay(POLICY, rows, 1)
    for text, reason in (
        ("", "a header"), ("t,lnk\n0,1", "no signal"),
        ("t,link\n0,1\n0,1", "not later than that of the row before"),
        ("t,link\n0", "expected 2 fields, found 1"), ("t,link\n0,x", "could not convert"),
        ("t,link\n0,inf", "finite"), ("t,link\n", "found none"),
    ):  # fmt: skip
        with pytest.raises(SeriesError, match=reason):
            parse_series(text, names)


def test_the_levels_commands(tmp_path: Path) -> None:
    def run_command(*arguments: str) -> tuple[int, str]:
        sample = str(EXAMPLE.parent / "sample.json")
        result = CliRunner().invoke(app, ["levels", *arguments, "--against", sample])
        return result.exit_code, result.output

    assert run_command("check", str(EXAMPLE))[0] == 0
    series = tmp_path / "series.csv"
    series.write_text("t,link\n" + "".join(f"{n * 0.25},{2.4 if n < 100 else 0.3}\n" for n in range(400)))
    status, text = run_command("replay", str(EXAMPLE), str(series), "--json")
    output = json.loads(text)
    assert status == 0
    assert [(c["before"], c["after"]) for c in output["changes"]] == [
        ("full", "sparing"),
        ("sparing", "full"),
    ]
    assert "sparing" in run_command("replay", str(EXAMPLE), str(series))[1]
    series.write_text("t,nothing\n")
    assert run_command("replay", str(EXAMPLE), str(series))[0] == 2
    status, text = run_command(
        "explain", str(EXAMPLE), "--level", "sparing", "--signal", "link=0.9", "--json"
    )
    assert status == 0 and "it is 0.9" in json.loads(text)[-1]
    assert run_command("explain", str(EXAMPLE), "--level", "none", "--signal", "link=0.9")[0] == 2
    assert run_command("explain", str(EXAMPLE), "--level", "full", "--signal", "link=x")[0] == 2


STRICTEST = i.ServiceLevel(
    3,
    (0.0,) * 4,
    prefer_stale=True,
    fill_first_seen=False,
    allow_further_relays=False,
    fill_limit_share=0.05,
    min_retry_after=900.0,
    reading_window=1.0,
)


def test_the_rules_hold_under_a_level() -> None:
    """Checks drains, slow start, purges and idempotency under levels that leave out all that they can."""
    for level in (
        STRICTEST,
        replace(STRICTEST, allow_further_relays=True, fill_first_seen=True, fill_limit_share=1.0),
    ):
        driver = FrontDriver()
        driver.send_event(level)
        for number, cache in enumerate((22, 11, 21, 13), 1):
            driver.send_event(
                i.CacheListUpdate(i.ListUpdateKind.CHANGES, (cache_entry(cache, i.Lifecycle.DRAINING),))
            )
            driver.pull(number, object_id=number)
            driver.end_with_miss(number)
            draining = {22, 11, 21, 13} - set((22, 11, 21, 13)[number:])
            assert not draining & {driver.last[number].cache, driver.last[number].source}
        driver = FrontDriver(caches=(11, 21, 31))
        driver.send_event(level)
        cold = (cache_entry(11, ready_at=driver.now), cache_entry(21, ready_at=driver.now))
        driver.send_event(i.CacheListUpdate(i.ListUpdateKind.CHANGES, cold))
        for number in range(1, 41):
            driver.pull(number, object_id=number, after=1.0)
        budget = (
            0.75 * 2.0 * 0.2 * 8.0 * 2000.0
        )  # this front's share of the slow-start budget of the cold cache
        assert 0.0 < sum(work for _, work in driver.front.servers[11].sent_work) <= budget
        driver = FrontDriver()
        driver.send_event(level)
        driver.send_event(i.Purged(5, 3, 0.0))
        driver.pull(1, after=40.0)
        assert driver.last[1].max_age == 40.0
        driver.end_with_miss(1)
        assert driver.last[1].max_age <= 41.0 and driver.last[1].max_age > 0.0
        driver = FrontDriver()
        driver.send_event(level)
        driver.pull(1, workload=2)  # once-only
        driver.end(1, i.Outcome.RESET, i.Remark.NONE)
        assert driver.trace[-1].endswith("pull 1: error") and driver.relays[1] == 0


def test_pulls_of_all_kinds_keep_the_rules_while_levels_change() -> None:
    def random_answer(_: float, relay: i.Relay, asked: i.Pull, rng: Random) -> ScriptedReply:
        outcomes = [i.Outcome.OK, i.Outcome.OK, i.Outcome.MISS, i.Outcome.RESET, i.Outcome.FULL]
        outcome = rng.choice(outcomes)
        remark = i.Remark.HIT if outcome is i.Outcome.OK else i.Remark.NONE
        return ScriptedReply(rng.choice((1.0, 40.0, 300.0)), outcome, remark)

    for seed in range(12):
        rng = Random(seed)
        simulation = FrontSimulation(
            SETTINGS, tuple(cache_entry(cache) for cache in SERVERS), random_answer, seed
        )
        for index in range(20):
            shares = tuple(rng.choice((0.0, 0.3, 0.9)) for _ in range(4))
            reduced = replace(
                STRICTEST,
                shed_shares=shares,
                allow_further_relays=rng.random() < 0.5,
                prefer_stale=rng.random() < 0.5,
                fill_first_seen=rng.random() < 0.5,
                fill_limit_share=rng.choice((0.05, 1.0)),
            )
            service_level = reduced if index % 4 else i.ServiceLevel()
            simulation.schedule(index * 150.0, partial(simulation.send_event, service_level))
        for number in range(1, 300):
            object_number = rng.randrange(40)
            asked = i.Pull(number, object_number, rng.randrange(3), rng.randrange(4), 2000.0, False, 80.0, 3)
            simulation.pull(number * 10.0, asked)
        simulation.run()
        assert simulation.violations() == []


def test_a_level_name_with_spaces_becomes_one_word_in_counter_names() -> None:
    assert counter_label("no large  grids") == "no-large-grids"
