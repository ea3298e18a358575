"""Levels of reduced service: the machine, its signals, what it leaves out, and what is kept."""

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
from tests.drive import SAMPLE, SERVERS, SETTINGS, Drive, line
from tests.standins.link import Shared
from tests.standins.scripted import Said, World

EXAMPLE = Path(__file__).parent.parent / "deploy" / "levels.jsonnet"
steady = settings(derandomize=True, deadline=None, max_examples=120)


def one(signal: str, above: bool, bound: float, lasts: float) -> CompoundCondition:
    return CompoundCondition(True, (ThresholdCondition(signal, above, bound, lasts),))


def shedding(share: float) -> LevelActions:
    return LevelActions(shed=(ShedShare(0, "", share),))


SCHEME = LevelPolicy(
    (
        Level("little", one("link", True, 1.0, 2000.0), one("link", False, 0.8, 3000.0), shedding(0.3)),
        Level("more", one("link", True, 1.5, 2000.0), one("link", False, 1.0, 3000.0), shedding(0.6)),
        Level(
            "least", one("lag", True, 200.0, 1000.0), one("lag", False, 50.0, 2000.0), shedding(0.8), 20_000.0
        ),
    ),
    spread=0.0,
)


def through(
    machine: LevelStateMachine, values: Sequence[float | None], step: float = 250.0, start: float = 0.0
) -> list[float]:
    """Step a machine through values of the link and return the times of its changes."""
    times = []
    for place, value in enumerate(values):
        if machine.step(start + step * place, {"link": value}) is not None:
            times.append(start + step * place)
    return times


def test_unknown_is_no_verdict_unless_the_rest_settles_it() -> None:
    true, false, unknown = TruthValue.TRUE, TruthValue.FALSE, TruthValue.UNKNOWN
    assert [combine_truth_values(True, [true, unknown]), combine_truth_values(True, [false, unknown])] == [
        unknown,
        false,
    ]
    assert [combine_truth_values(False, [true, unknown]), combine_truth_values(False, [false, unknown])] == [
        true,
        unknown,
    ]


def test_a_leaf_must_hold_for_its_time_and_silence_stops_its_clock() -> None:
    watched = ConditionTracker(one("link", True, 1.0, 1000.0))
    steps = [(0.0, 2.0), (600.0, 2.0), (600.0, None), (300.0, 2.0), (200.0, 2.0), (100.0, 0.5), (900.0, 2.0)]
    verdicts = [watched.step(passed, {"link": value}) for passed, value in steps]
    false, unknown, true = TruthValue.FALSE, TruthValue.UNKNOWN, TruthValue.TRUE
    assert verdicts == [false, false, unknown, false, true, false, false]


def test_a_spike_of_one_sample_and_a_slow_creep_below_the_bound_enter_nothing() -> None:
    spikes = [5.0 if place % 20 == 0 else 0.5 for place in range(400)]
    assert through(LevelStateMachine(SCHEME, Random(1)), spikes) == []
    creep: list[float | None] = [0.5 + 0.5 * place / 4000 for place in range(4000)]
    assert through(LevelStateMachine(SCHEME, Random(1)), creep) == []
    machine = LevelStateMachine(SCHEME, Random(1))
    assert len(through(machine, [*creep, *[1.01] * 12])) == 1 and machine.level == 1


def test_several_steps_up_at_once_and_down_one_by_one_with_a_ramp() -> None:
    machine = LevelStateMachine(SCHEME, Random(1))
    through(machine, [2.0] * 12)
    assert machine.level == 2
    down = through(machine, [0.5] * 200, start=3000.0)
    assert machine.level == 0 and len(down) == 2 and down[1] - down[0] >= MIN_STAY_MS
    machine = LevelStateMachine(SCHEME, Random(1))
    through(machine, [2.0] * 12)
    shares = []
    for place in range(200):
        machine.step(3000.0 + 250.0 * place, {"link": 0.5})
        shares.append(machine.current_actions().shed[0].share if machine.current_actions().shed else 0.0)
    assert shares[0] == 0.6 and shares[-1] == 0.0
    assert all(0.0 <= before - after <= 0.011 for before, after in itertools.pairwise(shares))


def test_the_load_at_the_boundary_for_five_minutes_makes_few_changes() -> None:
    for seed in range(20):
        machine = LevelStateMachine(replace(SCHEME, spread=0.25), Random(seed))
        values = [1.6 if place // 4 % 2 else 0.7 for place in range(1200)]  # across it every second
        changes = through(machine, list(values))
        assert len(changes) <= 6
        # By the mean of the link's window it hovers at the bound itself.
        chance = Random(seed)
        machine = LevelStateMachine(replace(SCHEME, spread=0.25), Random(seed))
        near = [chance.uniform(0.75, 1.25) + (place // 240 % 2) * 0.2 for place in range(1200)]
        changes = through(machine, near)
        assert len(changes) <= 6
        assert all(after - before >= MIN_STAY_MS for before, after in itertools.pairwise(changes))


def test_the_shedding_that_clears_the_signal_makes_no_swing() -> None:
    shared = Shared(replace(SCHEME, spread=0.25), 1, lambda now: 1.2, 3)
    shared.run(600_000.0)
    assert len(shared.changes) <= 8  # the stay doubles each time that it comes back soon


def test_a_front_that_flaps_stays_longer_each_time_and_calm_wears_that_off() -> None:
    machine = LevelStateMachine(SCHEME, Random(1))
    now, stays = 0.0, []
    for _ in range(5):
        while machine.level == 0:
            machine.step(now, {"link": 1.2})
            now += 250.0
        began = now
        while machine.level:
            machine.step(now, {"link": 0.2})
            now += 250.0
        stays.append(now - began)
    # It doubles up to eight times; a stay of over a minute is calm itself, and halves it.
    assert [round(stay / 10_000.0) for stay in stays] == [1, 2, 4, 6, 6]
    for _ in range(4 * 60 * 6):
        machine.step(now, {"link": 0.2})
        now += 250.0
    assert machine.hold_down_factors == [1.0, 1.0, 1.0]


def test_a_silent_link_neither_enters_nor_leaves() -> None:
    machine = LevelStateMachine(SCHEME, Random(1))
    assert through(machine, [None] * 400) == [] and machine.level == 0
    through(machine, [1.2] * 12, start=100_000.0)
    assert machine.level == 1
    assert through(machine, [None] * 400, start=103_000.0) == [] and machine.level == 1
    assert len(through(machine, [0.5] * 20, start=203_000.0)) == 1


def test_a_clock_that_jumps_is_no_time_that_was_watched() -> None:
    machine = LevelStateMachine(SCHEME, Random(1))
    assert through(machine, [1.2, 1.2]) == []
    assert machine.step(3_600_000.0, {"link": 1.2}) is None  # an hour ahead counts for a second
    assert machine.step(500.0, {"link": 1.2}) is None  # and back for nothing
    assert machine.level == 0 and through(machine, [1.2] * 8, start=500.0) != []


def test_conditions_of_two_levels_in_turn_change_one_level_at_a_time_ten_seconds_apart() -> None:
    machine = LevelStateMachine(SCHEME, Random(1))
    times = []
    for place in range(2400):
        values = {"link": 1.2 if place % 40 < 20 else 0.5, "lag": 10.0 if place % 40 < 20 else 300.0}
        if machine.step(250.0 * place, values) is not None:
            times.append(250.0 * place)
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
@steady
def test_any_series_keeps_the_stay_ends_in_full_service_when_calm_and_repeats_itself(
    steps: list[tuple[float, float | None, float | None, int]], seed: int
) -> None:
    def play() -> list[tuple[float, int, int]]:
        machine = LevelStateMachine(replace(SCHEME, spread=0.5), Random(seed))
        now = passed = 0.0
        changes: list[tuple[float, int, int]] = []
        calm = [(250.0, 0.2, 10.0, 4 * 60 * 10)]
        for step, link, lag, often in [*steps, *calm]:
            for _ in range(often):
                now += step
                passed += min(max(step, 0.0), 1000.0)
                change = machine.step(now, {"link": link, "lag": lag})
                if change is not None:
                    changes.append((passed, change.before, change.after))
                allowed = {s.share for level in (machine.level, machine._from) for s in
                           machine.policy.actions_of(level).shed}  # fmt: skip
                shares = [shed.share for shed in machine.current_actions().shed]
                assert all(share <= max(allowed, default=0.0) for share in shares)
        # No measure survives its level.
        assert machine.level == 0 and machine.current_actions() == LevelActions()
        return changes

    first = play()
    assert first == play()
    for (at, _, level), (then, before, after) in itertools.pairwise(first):
        assert then - at >= MIN_STAY_MS - 1e-6 and before == level
        assert after > before or after == before - 1
        if after < before:
            assert then - at >= SCHEME.levels[before - 1].stay - 1e-6


def test_twenty_fronts_on_one_link_do_not_act_in_step() -> None:
    swings = {}
    for spread in (0.0, 0.5):
        scheme = replace(SCHEME, levels=SCHEME.levels[:1], spread=spread)
        shared = Shared(scheme, 20, lambda now: 1.08, 5)
        shared.run(600_000.0)
        together = Counter(at for at, _, _ in shared.changes).most_common(1)[0][1]
        swings[spread] = (len(shared.changes), together, shared.swing(15_000.0)[0])
    assert swings[0.0][1] >= 18 and swings[0.5][1] <= 10
    assert swings[0.5][0] < 0.6 * swings[0.0][0]
    assert swings[0.5][2] < swings[0.0][2]


def test_a_level_maps_to_its_name_else_to_the_least_that_does_no_less() -> None:
    renamed = replace(
        SCHEME, levels=(replace(SCHEME.levels[0], name="a"), replace(SCHEME.levels[2], name="b"))
    )
    assert map_level(SCHEME, 2, SCHEME) == 2
    assert [map_level(SCHEME, level, renamed) for level in range(4)] == [0, 1, 2, 2]
    assert map_level(SCHEME, 3, replace(SCHEME, levels=SCHEME.levels[:1])) == 1  # none does no less: the last
    assert is_at_least_as_strict(shedding(0.3), LevelActions()) and not is_at_least_as_strict(
        LevelActions(), shedding(0.3)
    )


def signals() -> Signals:
    return Signals(("grids", "maps"), histogram)


FRONT = UtilizationSample(0.5, 0.1, 0.2, None)


def test_too_few_or_old_samples_are_unknown() -> None:
    seen = signals()
    for place in range(4):
        seen.record_link(100.0 * place, 1.5)
    assert seen.read(400.0, FRONT)["link"] is None
    seen.record_link(400.0, 1.0)
    assert seen.read(400.0, FRONT)["link"] == pytest.approx(1.4)
    assert seen.read(5000.0, FRONT)["link"] is None
    for _ in range(19):
        seen.record_answer(5000.0, 0, "finished", 100.0, 200.0)
    assert seen.read(5000.0, FRONT)["late:grids"] is None
    seen.record_answer(5000.0, 0, "finished", 300.0, 200.0)
    told = seen.read(5000.0, FRONT)
    assert (told["late:grids"], told["shed:grids"], told["shed:maps"]) == (0.05, 0.0, None)
    assert told["pressure:grids"] == pytest.approx(0.5, abs=0.01)
    assert told["budgets"] is None and told["fills"] == 0.5 and told["lag"] is None
    assert set(told) == set(signal_names(("grids", "maps")))
    assert seen.read(20_000.0, FRONT)["pressure:grids"] is None


def pull(number: int, wanted: int, size: float = 100.0, part: int = 0, client: int = 1) -> i.Pull:
    return i.Pull(number, wanted, part, 0, 2000.0, False, size, 3, client_network=client)


def eased(share: float, **more: object) -> LoadShedder:
    easing = LoadShedder(Random(1))
    easing.apply_service_level(replace(i.ServiceLevel(1, (share, 0.0), reading_window=10_000.0), **more))  # type: ignore[arg-type]
    return easing


def test_shedding_goes_by_the_object_and_spares_the_same_from_second_to_second() -> None:
    easing = eased(0.3)
    first = {wanted: easing.should_shed(0.0, pull(0, wanted), 20.0) for wanted in range(3000)}
    again = {wanted: easing.should_shed(9000.0, pull(0, wanted), 20.0) for wanted in range(3000)}
    assert 0.25 < sum(list(again.values())[500:]) / 2500 < 0.35
    assert sum(first[w] != again[w] for w in range(600, 3000)) < 150  # a retry does not draw again
    # Another workload loses none.
    assert easing.should_shed(0.0, replace(pull(0, 5), workload=1), 20.0) is False


def test_large_pulls_are_shed_first() -> None:
    easing, chance = eased(0.3), Random(3)
    shed: list[float] = []
    spared: list[float] = []
    for wanted in range(4000):
        size = chance.choice((10.0, 40.0, 160.0))
        (shed if easing.should_shed(0.0, pull(0, wanted), size) else spared).append(size)
    assert sum(shed) / len(shed) > 2.0 * sum(spared) / len(spared)


def test_an_object_that_is_being_read_is_spared_to_its_end() -> None:
    easing = eased(0.0)
    for wanted in range(200):
        easing.should_shed(0.0, pull(0, wanted), 20.0)
    easing.apply_service_level(i.ServiceLevel(1, (0.9, 0.0), reading_window=10_000.0))
    parts = [easing.should_shed(3000.0 * part, pull(0, 7, part=part), 20.0) for part in range(1, 6)]
    assert parts == [False] * 5
    later = [easing.should_shed(60_000.0, pull(0, wanted, part=3), 20.0) for wanted in range(200)]
    assert sum(later) > 100  # too long ago


def test_no_network_of_clients_loses_much_more_than_the_others() -> None:
    easing, chance = eased(0.3), Random(4)
    asked: Counter[int] = Counter()
    lost: Counter[int] = Counter()
    for _ in range(20_000):
        network = chance.choice((1, 1, 1, 2, 3))
        # The clients of network 3 ask for large objects only, which would be shed first.
        size = 400.0 if network == 3 else chance.choice((10.0, 40.0, 160.0))
        asked[network] += 1
        lost[network] += easing.should_shed(0.0, pull(0, chance.randrange(500), size, client=network), size)
    shares = {network: lost[network] / asked[network] for network in asked}
    overall = sum(lost.values()) / sum(asked.values())
    assert overall > 0.15 and max(shares.values()) < 1.35 * overall, shares


def test_tables_are_bounded_and_a_level_that_ends_empties_them() -> None:
    easing = eased(0.5)
    for wanted in range(20_000):
        easing.should_shed(0.0, pull(0, wanted, client=wanted), 20.0)
    assert len(easing._read) <= 4096 and len(easing._networks) <= 512
    easing.apply_service_level(i.ServiceLevel())
    assert not easing._read and not easing._networks and not easing._cuts
    assert (
        not any(easing.should_shed(0.0, pull(0, wanted), 20.0) for wanted in range(100)) and not easing._read
    )


def test_times_to_come_back_are_spread_and_never_shorter_than_usual() -> None:
    easing = eased(0.5, min_retry_after=800.0)
    told = [easing.retry_after(300.0) for _ in range(200)]
    assert 800.0 <= min(told) < 850.0 and 1500.0 < max(told) <= 1600.0
    assert min(easing.retry_after(900.0) for _ in range(50)) >= 900.0
    assert eased(0.5).retry_after(300.0) == 300.0


def test_the_module_sheds_once_at_once_and_leaves_out_what_the_level_says() -> None:
    drive = Drive()
    drive.tell(i.ServiceLevel(1, (1.0, 0.0, 0.0, 0.0), min_retry_after=500.0))
    drive.pull(1)
    assert drive.trace == ["10 pull 1: shed"] and not drive.front.pending
    drive.pull(2, workload=1)
    assert drive.last[2].id == 2
    drive.tell(i.ServiceLevel(1, (), fill_first_seen=False, prefer_stale=True))
    drive.pull(3, wanted=77)
    drive.lack(3)  # first seen: no fill, but what is ageing is looked for
    assert drive.last[3].source == drive.last[3].cache and drive.last[3].max_age == 25_000.0
    drive.lack(3)
    drive.tell(i.ServiceLevel(1, (), allow_further_relays=False))
    drive.pull(4, wanted=78)
    drive.end(4, i.Outcome.RESET, i.Remark.NONE)
    assert drive.relays[4] == 0 and "pull 4: shed" in drive.trace[-1]
    drive.tell(i.ServiceLevel(1, (), fill_limit_share=0.05))
    drive.front.fill_limit.in_flight = 5
    drive.pull(5, wanted=79)
    drive.lack(5)
    assert drive.last[5].source == drive.last[5].cache  # its fill would be one too many
    drive.front.fill_limit.in_flight = 0
    drive.tell(i.ServiceLevel())
    drive.pull(6, wanted=80)
    drive.lack(6)
    assert drive.last[6].source != drive.last[6].cache
    counts = drive.front.load_shedder.skipped_counts
    assert counts["shed.0"] == 1 and counts["further_relays"] == 1
    assert counts["first_seen_fills"] >= 1 and counts["fills"] >= 1


def test_what_is_kept_is_found_and_what_is_torn_or_old_is_not(tmp_path: Path) -> None:
    path = tmp_path / "level"
    assert snapshot.read(path, 0.0) is None
    snapshot.write(path, "more", 900.0, 1000.0)
    assert snapshot.read(path, 2000.0) == ("more", 900.0)
    with pytest.raises(snapshot.SnapshotError, match="old"):
        snapshot.read(path, 1000.0 + snapshot.OLD + 1.0)
    with pytest.raises(snapshot.SnapshotError, match="ahead"):
        snapshot.read(path, 1000.0 - snapshot.OLD - 1.0)
    whole = path.read_bytes()
    for length in range(len(whole)):  # power lost after each byte
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(whole[:length], 2000.0)
    for place in range(len(whole)):
        spoilt = whole[:place] + bytes([whole[place] ^ 1]) + whole[place + 1 :]
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(spoilt, 2000.0)
    with pytest.raises(snapshot.SnapshotError, match="another form"):
        snapshot.decode(_other_form(), 0.0)
    path.with_name("level.new").write_bytes(b"half")  # a front that died while it wrote
    assert snapshot.read(path, 2000.0) == ("more", 900.0)
    snapshot.write(path, "full", 3000.0, 3000.0)
    assert snapshot.read(path, 3000.0) == ("full", 3000.0)
    with pytest.raises(OSError):
        snapshot.write(tmp_path / "none" / "level", "full", 0.0, 0.0)


def _other_form() -> bytes:
    line = json.dumps({"form": 2, "level": "x", "since": 0, "at": 0}).encode()
    return b"%s\n%08x\n" % (line, zlib.crc32(line))


def test_a_reload_keeps_the_level_by_its_name_and_its_time_in_it() -> None:
    watch = LevelController(SCHEME, (), ("grids", "maps"), Random(1), histogram)
    now = 0.0
    for now in range(0, 4000, 250):
        for _ in range(5):
            watch.signals.record_link(float(now), 1.2)
        watch.step(float(now), FRONT)
    assert watch.level_name == "little"
    since = watch.state_machine.since_change_ms
    other = replace(SCHEME, levels=(SCHEME.levels[0], replace(SCHEME.levels[1], measures=shedding(0.7))))
    watch.replace_policy(other, (), Random(2))
    assert watch.level_name == "little" and watch.state_machine.since_change_ms == since
    change, told = watch.step(4000.0, FRONT)
    assert change is None and told is not None and told.shed_shares == (0.3, 0.0)
    watch.replace_policy(replace(SCHEME, levels=(replace(SCHEME.levels[2], name="only"),)), (), Random(3))
    assert watch.level_name == "only" and watch.state_machine.since_change_ms == 0.0


def test_the_example_survives_the_way_to_the_front_and_routes_are_told_by_plan() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    read = compiled.decode_compiled(compiled.encode_compiled(loaded.compiled, loaded.network_intervals))
    assert read.level_policy == loaded.compiled.level_policy and read.level_policy is not None
    watch = LevelController(read.level_policy, (("r", 4), ("s", 5)), ("grids", "maps"), Random(1), histogram)
    told = watch.to_service_level(LevelActions(shed=(ShedShare(1, "", 0.4), ShedShare(-1, "s", 0.2))))
    assert told.shed_shares == (0.0, 0.4) and told.plan_shed_shares == {5: 0.2}


def test_a_series_is_replayed_and_what_is_no_series_is_told() -> None:
    names = signal_names(("grids", "maps"))
    rows = parse_series("t,link,lag\n" + "".join(f"{n * 0.25},1.2,\n" for n in range(20)), names)
    assert rows[1] == Row(250.0, {"link": 1.2, "lag": None})
    done = replay(SCHEME, rows, 1)
    assert [change.after for _, change in done.changes] == [1] and done == replay(SCHEME, rows, 1)
    for text, why in (
        ("", "a head"), ("t,lnk\n0,1", "no signal"), ("t,link\n0,1\n0,1", "after the one before"),
        ("t,link\n0", "2 places"), ("t,link\n0,x", "could not convert"), ("t,link\n0,inf", "finite"),
        ("t,link\n", "no rows"),
    ):  # fmt: skip
        with pytest.raises(SeriesError, match=why):
            parse_series(text, names)


def test_the_levels_commands(tmp_path: Path) -> None:
    def command(*words: str) -> tuple[int, str]:
        sample = str(EXAMPLE.parent / "sample.json")
        result = CliRunner().invoke(app, ["levels", *words, "--against", sample])
        return result.exit_code, result.output

    assert command("check", str(EXAMPLE))[0] == 0
    series = tmp_path / "series.csv"
    series.write_text("t,link\n" + "".join(f"{n * 0.25},{2.4 if n < 100 else 0.3}\n" for n in range(400)))
    status, text = command("replay", str(EXAMPLE), str(series), "--json")
    told = json.loads(text)
    assert status == 0
    assert [(c["before"], c["after"]) for c in told["changes"]] == [("full", "sparing"), ("sparing", "full")]
    assert "sparing" in command("replay", str(EXAMPLE), str(series))[1]
    series.write_text("t,nothing\n")
    assert command("replay", str(EXAMPLE), str(series))[0] == 2
    status, text = command("explain", str(EXAMPLE), "--level", "sparing", "--signal", "link=0.9", "--json")
    assert status == 0 and "it is 0.9" in json.loads(text)[-1]
    assert command("explain", str(EXAMPLE), "--level", "none", "--signal", "link=0.9")[0] == 2
    assert command("explain", str(EXAMPLE), "--level", "full", "--signal", "link=x")[0] == 2


EVERYTHING = i.ServiceLevel(
    3,
    (0.0,) * 4,
    prefer_stale=True,
    fill_first_seen=False,
    allow_further_relays=False,
    fill_limit_share=0.05,
    min_retry_after=900.0,
    reading_window=1.0,
)


def test_a_rules_traces_hold_under_a_level() -> None:
    """Drains, cold caches, purges and effects, under a level that leaves out all that it can."""
    for level in (
        EVERYTHING,
        replace(EVERYTHING, allow_further_relays=True, fill_first_seen=True, fill_limit_share=1.0),
    ):
        drive = Drive()
        drive.tell(level)
        for number, cache in enumerate((22, 11, 21, 13), 1):
            drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, (line(cache, i.Lifecycle.DRAINING),)))
            drive.pull(number, wanted=number)
            drive.lack(number)
            gone = {22, 11, 21, 13} - set((22, 11, 21, 13)[number:])
            assert not gone & {drive.last[number].cache, drive.last[number].source}
        drive = Drive(caches=(11, 21, 31))
        drive.tell(level)
        cold = (line(11, ready_at=drive.now), line(21, ready_at=drive.now))
        drive.tell(i.CacheListUpdate(i.ListUpdateKind.CHANGES, cold))
        for number in range(1, 41):
            drive.pull(number, wanted=number, after=1.0)
        budget = 0.75 * 2.0 * 0.2 * 8.0 * 2000.0  # the cold cache's, of which this front has its part
        assert 0.0 < sum(work for _, work in drive.front.servers[11].sent_work) <= budget
        drive = Drive()
        drive.tell(level)
        drive.tell(i.Purged(5, 3, 0.0))
        drive.pull(1, after=40.0)
        assert drive.last[1].max_age == 40.0
        drive.lack(1)
        assert drive.last[1].max_age <= 41.0 and drive.last[1].max_age > 0.0
        drive = Drive()
        drive.tell(level)
        drive.pull(1, workload=2)  # once-only
        drive.end(1, i.Outcome.RESET, i.Remark.NONE)
        assert drive.trace[-1].endswith("pull 1: error") and drive.relays[1] == 0


def test_pulls_of_all_kinds_keep_the_rules_while_levels_come_and_go() -> None:
    def at_random(_: float, relay: i.Relay, asked: i.Pull, chance: Random) -> Said:
        ends = [i.Outcome.OK, i.Outcome.OK, i.Outcome.MISS, i.Outcome.RESET, i.Outcome.FULL]
        outcome = chance.choice(ends)
        remark = i.Remark.HIT if outcome is i.Outcome.OK else i.Remark.NONE
        return Said(chance.choice((1.0, 40.0, 300.0)), outcome, remark)

    for seed in range(12):
        chance = Random(seed)
        world = World(SETTINGS, tuple(line(cache) for cache in SERVERS), at_random, seed)
        for place in range(20):
            shares = tuple(chance.choice((0.0, 0.3, 0.9)) for _ in range(4))
            eased_now = replace(
                EVERYTHING,
                shed_shares=shares,
                allow_further_relays=chance.random() < 0.5,
                prefer_stale=chance.random() < 0.5,
                fill_first_seen=chance.random() < 0.5,
                fill_limit_share=chance.choice((0.05, 1.0)),
            )
            told = eased_now if place % 4 else i.ServiceLevel()
            world.at(place * 150.0, partial(world.tell, told))
        for number in range(1, 300):
            wanted = chance.randrange(40)
            asked = i.Pull(number, wanted, chance.randrange(3), chance.randrange(4), 2000.0, False, 80.0, 3)
            world.pull(number * 10.0, asked)
        world.run()
        assert world.judge() == []


def test_a_levels_name_with_spaces_is_one_word_in_a_counters() -> None:
    assert counter_label("no large  grids") == "no-large-grids"
