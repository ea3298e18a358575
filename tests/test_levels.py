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
    Condition,
    Easing,
    Leaf,
    Level,
    Machine,
    Measures,
    Reading,
    Scheme,
    ShedShare,
    Signals,
    Verdict,
    keep,
)  # fmt: skip
from cometseam.levels.conditions import Watched, join
from cometseam.levels.machine import mapped
from cometseam.levels.replay import Faulty, Row, parse, replay
from cometseam.levels.scheme import LEAST_STAY, does_no_less
from cometseam.levels.signals import known
from cometseam.levels.watch import Watch
from cometseam.operator import compiled
from cometseam.operator.load import load
from cometseam.routing.levels import histogram, word
from tests.drive import SAMPLE, SERVERS, SETTINGS, Drive, line
from tests.standins.link import Shared
from tests.standins.scripted import Said, World

EXAMPLE = Path(__file__).parent.parent / "deploy" / "levels.jsonnet"
steady = settings(derandomize=True, deadline=None, max_examples=120)


def one(signal: str, above: bool, bound: float, lasts: float) -> Condition:
    return Condition(True, (Leaf(signal, above, bound, lasts),))


def shedding(share: float) -> Measures:
    return Measures(shed=(ShedShare(0, "", share),))


SCHEME = Scheme(
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
    machine: Machine, values: Sequence[float | None], step: float = 250.0, start: float = 0.0
) -> list[float]:
    """Step a machine through values of the link and return the times of its changes."""
    times = []
    for place, value in enumerate(values):
        if machine.step(start + step * place, {"link": value}) is not None:
            times.append(start + step * place)
    return times


def test_unknown_is_no_verdict_unless_the_rest_settles_it() -> None:
    true, false, unknown = Verdict.TRUE, Verdict.FALSE, Verdict.UNKNOWN
    assert [join(True, [true, unknown]), join(True, [false, unknown])] == [unknown, false]
    assert [join(False, [true, unknown]), join(False, [false, unknown])] == [true, unknown]


def test_a_leaf_must_hold_for_its_time_and_silence_stops_its_clock() -> None:
    watched = Watched(one("link", True, 1.0, 1000.0))
    steps = [(0.0, 2.0), (600.0, 2.0), (600.0, None), (300.0, 2.0), (200.0, 2.0), (100.0, 0.5), (900.0, 2.0)]
    verdicts = [watched.step(passed, {"link": value}) for passed, value in steps]
    false, unknown, true = Verdict.FALSE, Verdict.UNKNOWN, Verdict.TRUE
    assert verdicts == [false, false, unknown, false, true, false, false]


def test_a_spike_of_one_sample_and_a_slow_creep_below_the_bound_enter_nothing() -> None:
    spikes = [5.0 if place % 20 == 0 else 0.5 for place in range(400)]
    assert through(Machine(SCHEME, Random(1)), spikes) == []
    creep: list[float | None] = [0.5 + 0.5 * place / 4000 for place in range(4000)]
    assert through(Machine(SCHEME, Random(1)), creep) == []
    machine = Machine(SCHEME, Random(1))
    assert len(through(machine, [*creep, *[1.01] * 12])) == 1 and machine.level == 1


def test_several_steps_up_at_once_and_down_one_by_one_with_a_ramp() -> None:
    machine = Machine(SCHEME, Random(1))
    through(machine, [2.0] * 12)
    assert machine.level == 2
    down = through(machine, [0.5] * 200, start=3000.0)
    assert machine.level == 0 and len(down) == 2 and down[1] - down[0] >= LEAST_STAY
    machine = Machine(SCHEME, Random(1))
    through(machine, [2.0] * 12)
    shares = []
    for place in range(200):
        machine.step(3000.0 + 250.0 * place, {"link": 0.5})
        shares.append(machine.measures().shed[0].share if machine.measures().shed else 0.0)
    assert shares[0] == 0.6 and shares[-1] == 0.0
    assert all(0.0 <= before - after <= 0.011 for before, after in itertools.pairwise(shares))


def test_the_load_at_the_boundary_for_five_minutes_makes_few_changes() -> None:
    for seed in range(20):
        machine = Machine(replace(SCHEME, spread=0.25), Random(seed))
        values = [1.6 if place // 4 % 2 else 0.7 for place in range(1200)]  # across it every second
        changes = through(machine, list(values))
        assert len(changes) <= 6
        # By the mean of the link's window it hovers at the bound itself.
        chance = Random(seed)
        machine = Machine(replace(SCHEME, spread=0.25), Random(seed))
        near = [chance.uniform(0.75, 1.25) + (place // 240 % 2) * 0.2 for place in range(1200)]
        changes = through(machine, near)
        assert len(changes) <= 6
        assert all(after - before >= LEAST_STAY for before, after in itertools.pairwise(changes))


def test_the_shedding_that_clears_the_signal_makes_no_swing() -> None:
    shared = Shared(replace(SCHEME, spread=0.25), 1, lambda now: 1.2, 3)
    shared.run(600_000.0)
    assert len(shared.changes) <= 8  # the stay doubles each time that it comes back soon


def test_a_front_that_flaps_stays_longer_each_time_and_calm_wears_that_off() -> None:
    machine = Machine(SCHEME, Random(1))
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
    assert machine.hold_down == [1.0, 1.0, 1.0]


def test_a_silent_link_neither_enters_nor_leaves() -> None:
    machine = Machine(SCHEME, Random(1))
    assert through(machine, [None] * 400) == [] and machine.level == 0
    through(machine, [1.2] * 12, start=100_000.0)
    assert machine.level == 1
    assert through(machine, [None] * 400, start=103_000.0) == [] and machine.level == 1
    assert len(through(machine, [0.5] * 20, start=203_000.0)) == 1


def test_a_clock_that_jumps_is_no_time_that_was_watched() -> None:
    machine = Machine(SCHEME, Random(1))
    assert through(machine, [1.2, 1.2]) == []
    assert machine.step(3_600_000.0, {"link": 1.2}) is None  # an hour ahead counts for a second
    assert machine.step(500.0, {"link": 1.2}) is None  # and back for nothing
    assert machine.level == 0 and through(machine, [1.2] * 8, start=500.0) != []


def test_conditions_of_two_levels_in_turn_change_one_level_at_a_time_ten_seconds_apart() -> None:
    machine = Machine(SCHEME, Random(1))
    times = []
    for place in range(2400):
        values = {"link": 1.2 if place % 40 < 20 else 0.5, "lag": 10.0 if place % 40 < 20 else 300.0}
        if machine.step(250.0 * place, values) is not None:
            times.append(250.0 * place)
    assert len(times) >= 2 and all(b - a >= LEAST_STAY for a, b in itertools.pairwise(times))


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
        machine = Machine(replace(SCHEME, spread=0.5), Random(seed))
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
                           machine.scheme.measures(level).shed}  # fmt: skip
                shares = [shed.share for shed in machine.measures().shed]
                assert all(share <= max(allowed, default=0.0) for share in shares)
        assert machine.level == 0 and machine.measures() == Measures()  # no measure survives its level
        return changes

    first = play()
    assert first == play()
    for (at, _, level), (then, before, after) in itertools.pairwise(first):
        assert then - at >= LEAST_STAY - 1e-6 and before == level
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
    assert mapped(SCHEME, 2, SCHEME) == 2
    assert [mapped(SCHEME, level, renamed) for level in range(4)] == [0, 1, 2, 2]
    assert mapped(SCHEME, 3, replace(SCHEME, levels=SCHEME.levels[:1])) == 1  # none does no less: the last
    assert does_no_less(shedding(0.3), Measures()) and not does_no_less(Measures(), shedding(0.3))


def signals() -> Signals:
    return Signals(("grids", "maps"), histogram)


FRONT = Reading(0.5, 0.1, 0.2, None)


def test_too_few_or_old_samples_are_unknown() -> None:
    seen = signals()
    for place in range(4):
        seen.link(100.0 * place, 1.5)
    assert seen.read(400.0, FRONT)["link"] is None
    seen.link(400.0, 1.0)
    assert seen.read(400.0, FRONT)["link"] == pytest.approx(1.4)
    assert seen.read(5000.0, FRONT)["link"] is None
    for _ in range(19):
        seen.answered(5000.0, 0, "finished", 100.0, 200.0)
    assert seen.read(5000.0, FRONT)["late:grids"] is None
    seen.answered(5000.0, 0, "finished", 300.0, 200.0)
    told = seen.read(5000.0, FRONT)
    assert (told["late:grids"], told["shed:grids"], told["shed:maps"]) == (0.05, 0.0, None)
    assert told["pressure:grids"] == pytest.approx(0.5, abs=0.01)
    assert told["budgets"] is None and told["fills"] == 0.5 and told["lag"] is None
    assert set(told) == set(known(("grids", "maps")))
    assert seen.read(20_000.0, FRONT)["pressure:grids"] is None


def pull(number: int, wanted: int, size: float = 100.0, part: int = 0, client: int = 1) -> i.Pull:
    return i.Pull(number, wanted, part, 0, 2000.0, False, size, 3, client=client)


def eased(share: float, **more: object) -> Easing:
    easing = Easing(Random(1))
    easing.take(replace(i.Eased(1, (share, 0.0), reading=10_000.0), **more))  # type: ignore[arg-type]
    return easing


def test_shedding_goes_by_the_object_and_spares_the_same_from_second_to_second() -> None:
    easing = eased(0.3)
    first = {wanted: easing.sheds(0.0, pull(0, wanted), 20.0) for wanted in range(3000)}
    again = {wanted: easing.sheds(9000.0, pull(0, wanted), 20.0) for wanted in range(3000)}
    assert 0.25 < sum(list(again.values())[500:]) / 2500 < 0.35
    assert sum(first[w] != again[w] for w in range(600, 3000)) < 150  # a retry does not draw again
    assert easing.sheds(0.0, replace(pull(0, 5), workload=1), 20.0) is False  # another workload loses none


def test_large_pulls_are_shed_first() -> None:
    easing, chance = eased(0.3), Random(3)
    shed: list[float] = []
    spared: list[float] = []
    for wanted in range(4000):
        size = chance.choice((10.0, 40.0, 160.0))
        (shed if easing.sheds(0.0, pull(0, wanted), size) else spared).append(size)
    assert sum(shed) / len(shed) > 2.0 * sum(spared) / len(spared)


def test_an_object_that_is_being_read_is_spared_to_its_end() -> None:
    easing = eased(0.0)
    for wanted in range(200):
        easing.sheds(0.0, pull(0, wanted), 20.0)
    easing.take(i.Eased(1, (0.9, 0.0), reading=10_000.0))
    parts = [easing.sheds(3000.0 * part, pull(0, 7, part=part), 20.0) for part in range(1, 6)]
    assert parts == [False] * 5
    later = [easing.sheds(60_000.0, pull(0, wanted, part=3), 20.0) for wanted in range(200)]
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
        lost[network] += easing.sheds(0.0, pull(0, chance.randrange(500), size, client=network), size)
    shares = {network: lost[network] / asked[network] for network in asked}
    overall = sum(lost.values()) / sum(asked.values())
    assert overall > 0.15 and max(shares.values()) < 1.35 * overall, shares


def test_tables_are_bounded_and_a_level_that_ends_empties_them() -> None:
    easing = eased(0.5)
    for wanted in range(20_000):
        easing.sheds(0.0, pull(0, wanted, client=wanted), 20.0)
    assert len(easing._read) <= 4096 and len(easing._networks) <= 512
    easing.take(i.Eased())
    assert not easing._read and not easing._networks and not easing._cuts
    assert not any(easing.sheds(0.0, pull(0, wanted), 20.0) for wanted in range(100)) and not easing._read


def test_times_to_come_back_are_spread_and_never_shorter_than_usual() -> None:
    easing = eased(0.5, later=800.0)
    told = [easing.later(300.0) for _ in range(200)]
    assert 800.0 <= min(told) < 850.0 and 1500.0 < max(told) <= 1600.0
    assert min(easing.later(900.0) for _ in range(50)) >= 900.0
    assert eased(0.5).later(300.0) == 300.0


def test_the_module_sheds_once_at_once_and_leaves_out_what_the_level_says() -> None:
    drive = Drive()
    drive.tell(i.Eased(1, (1.0, 0.0, 0.0, 0.0), later=500.0))
    drive.pull(1)
    assert drive.trace == ["10 pull 1: shed"] and not drive.front.held
    drive.pull(2, workload=1)
    assert drive.last[2].id == 2
    drive.tell(i.Eased(1, (), first_seen=False, ageing=True))
    drive.pull(3, wanted=77)
    drive.lack(3)  # first seen: no fill, but what is ageing is looked for
    assert drive.last[3].source == drive.last[3].cache and drive.last[3].oldest == 25_000.0
    drive.lack(3)
    drive.tell(i.Eased(1, (), further=False))
    drive.pull(4, wanted=78)
    drive.end(4, i.Outcome.RESET, i.Remark.NONE)
    assert drive.relays[4] == 0 and "pull 4: shed" in drive.trace[-1]
    drive.tell(i.Eased(1, (), fills=0.05))
    drive.front.fills.out = 5
    drive.pull(5, wanted=79)
    drive.lack(5)
    assert drive.last[5].source == drive.last[5].cache  # its fill would be one too many
    drive.front.fills.out = 0
    drive.tell(i.Eased())
    drive.pull(6, wanted=80)
    drive.lack(6)
    assert drive.last[6].source != drive.last[6].cache
    counts = drive.front.easing.counts
    assert counts["shed.0"] == 1 and counts["further_relays"] == 1
    assert counts["first_seen_fills"] >= 1 and counts["fills"] >= 1


def test_what_is_kept_is_found_and_what_is_torn_or_old_is_not(tmp_path: Path) -> None:
    path = tmp_path / "level"
    assert keep.read(path, 0.0) is None
    keep.write(path, "more", 900.0, 1000.0)
    assert keep.read(path, 2000.0) == ("more", 900.0)
    with pytest.raises(keep.Unkept, match="old"):
        keep.read(path, 1000.0 + keep.OLD + 1.0)
    with pytest.raises(keep.Unkept, match="ahead"):
        keep.read(path, 1000.0 - keep.OLD - 1.0)
    whole = path.read_bytes()
    for length in range(len(whole)):  # power lost after each byte
        with pytest.raises(keep.Unkept):
            keep.decode(whole[:length], 2000.0)
    for place in range(len(whole)):
        spoilt = whole[:place] + bytes([whole[place] ^ 1]) + whole[place + 1 :]
        with pytest.raises(keep.Unkept):
            keep.decode(spoilt, 2000.0)
    with pytest.raises(keep.Unkept, match="another form"):
        keep.decode(_other_form(), 0.0)
    path.with_name("level.new").write_bytes(b"half")  # a front that died while it wrote
    assert keep.read(path, 2000.0) == ("more", 900.0)
    keep.write(path, "full", 3000.0, 3000.0)
    assert keep.read(path, 3000.0) == ("full", 3000.0)
    with pytest.raises(OSError):
        keep.write(tmp_path / "none" / "level", "full", 0.0, 0.0)


def _other_form() -> bytes:
    line = json.dumps({"form": 2, "level": "x", "since": 0, "at": 0}).encode()
    return b"%s\n%08x\n" % (line, zlib.crc32(line))


def test_a_reload_keeps_the_level_by_its_name_and_its_time_in_it() -> None:
    watch = Watch(SCHEME, (), ("grids", "maps"), Random(1), histogram)
    now = 0.0
    for now in range(0, 4000, 250):
        for _ in range(5):
            watch.signals.link(float(now), 1.2)
        watch.step(float(now), FRONT)
    assert watch.name == "little"
    since = watch.machine.since
    other = replace(SCHEME, levels=(SCHEME.levels[0], replace(SCHEME.levels[1], measures=shedding(0.7))))
    watch.replaced(other, (), Random(2))
    assert watch.name == "little" and watch.machine.since == since
    change, told = watch.step(4000.0, FRONT)
    assert change is None and told is not None and told.shares == (0.3, 0.0)
    watch.replaced(replace(SCHEME, levels=(replace(SCHEME.levels[2], name="only"),)), (), Random(3))
    assert watch.name == "only" and watch.machine.since == 0.0


def test_the_example_survives_the_way_to_the_front_and_routes_are_told_by_plan() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    read = compiled.read(compiled.write(loaded.compiled, loaded.networks))
    assert read.scheme == loaded.compiled.scheme and read.scheme is not None
    watch = Watch(read.scheme, (("r", 4), ("s", 5)), ("grids", "maps"), Random(1), histogram)
    told = watch.eased(Measures(shed=(ShedShare(1, "", 0.4), ShedShare(-1, "s", 0.2))))
    assert told.shares == (0.0, 0.4) and told.routes == {5: 0.2}


def test_a_series_is_replayed_and_what_is_no_series_is_told() -> None:
    names = known(("grids", "maps"))
    rows = parse("t,link,lag\n" + "".join(f"{n * 0.25},1.2,\n" for n in range(20)), names)
    assert rows[1] == Row(250.0, {"link": 1.2, "lag": None})
    done = replay(SCHEME, rows, 1)
    assert [change.after for _, change in done.changes] == [1] and done == replay(SCHEME, rows, 1)
    for text, why in (
        ("", "a head"), ("t,lnk\n0,1", "no signal"), ("t,link\n0,1\n0,1", "after the one before"),
        ("t,link\n0", "2 places"), ("t,link\n0,x", "could not convert"), ("t,link\n0,inf", "finite"),
        ("t,link\n", "no rows"),
    ):  # fmt: skip
        with pytest.raises(Faulty, match=why):
            parse(text, names)


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


EVERYTHING = i.Eased(
    3, (0.0,) * 4, ageing=True, first_seen=False, further=False, fills=0.05, later=900.0, reading=1.0
)


def test_a_rules_traces_hold_under_a_level() -> None:
    """Drains, cold caches, purges and effects, under a level that leaves out all that it can."""
    for level in (EVERYTHING, replace(EVERYTHING, further=True, first_seen=True, fills=1.0)):
        drive = Drive()
        drive.tell(level)
        for number, cache in enumerate((22, 11, 21, 13), 1):
            drive.tell(i.Members(i.ListKind.CHANGES, (line(cache, i.Lifecycle.DRAINING),)))
            drive.pull(number, wanted=number)
            drive.lack(number)
            gone = {22, 11, 21, 13} - set((22, 11, 21, 13)[number:])
            assert not gone & {drive.last[number].cache, drive.last[number].source}
        drive = Drive(caches=(11, 21, 31))
        drive.tell(level)
        cold = (line(11, ready_at=drive.now), line(21, ready_at=drive.now))
        drive.tell(i.Members(i.ListKind.CHANGES, cold))
        for number in range(1, 41):
            drive.pull(number, wanted=number, after=1.0)
        budget = 0.75 * 2.0 * 0.2 * 8.0 * 2000.0  # the cold cache's, of which this front has its part
        assert 0.0 < sum(work for _, work in drive.front.servers[11].spent) <= budget
        drive = Drive()
        drive.tell(level)
        drive.tell(i.Purged(5, 3, 0.0))
        drive.pull(1, after=40.0)
        assert drive.last[1].oldest == 40.0
        drive.lack(1)
        assert drive.last[1].oldest <= 41.0 and drive.last[1].oldest > 0.0
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
                EVERYTHING, shares=shares, further=chance.random() < 0.5, ageing=chance.random() < 0.5,
                first_seen=chance.random() < 0.5, fills=chance.choice((0.05, 1.0)),
            )  # fmt: skip
            told = eased_now if place % 4 else i.Eased()
            world.at(place * 150.0, partial(world.tell, told))
        for number in range(1, 300):
            wanted = chance.randrange(40)
            asked = i.Pull(number, wanted, chance.randrange(3), chance.randrange(4), 2000.0, False, 80.0, 3)
            world.pull(number * 10.0, asked)
        world.run()
        assert world.judge() == []


def test_a_levels_name_with_spaces_is_one_word_in_a_counters() -> None:
    assert word("no large  grids") == "no-large-grids"
