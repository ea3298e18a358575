"""The operator's file: what is refused and why, its bounds, what it comes to, and its commands."""

import json
import os
import shlex
import subprocess
import sys
import time
from copy import deepcopy
from os import environ
from pathlib import Path
from typing import Any

import _jsonnet
import pytest
from typer.testing import CliRunner

from cometseam.cli.main import app
from cometseam.interface import Outcome, RetryBudgetTerms, ScaledDuration
from cometseam.operator import OperatorFileError, compiled, evaluate
from cometseam.operator.load import load, load_in_child
from cometseam.operator.locate import locate
from cometseam.timing import RouteKey
from tests.drive import SAMPLE

HERE = Path(__file__).parent
BAD = sorted((HERE / "bad").glob("*.jsonnet"))
EXAMPLE = HERE.parent / "deploy" / "operator.jsonnet"


def against(name: str) -> dict[str, Any]:
    """The settings that a bad file names in its first line."""
    settings: dict[str, Any] = deepcopy(SAMPLE["settings"])
    maps = settings["grades"][1]
    match name:
        case "no-recalls":
            settings["ceilings"]["cancel"] = False
        case "no-later":
            settings["ceilings"]["retryAfter"] = False
        case "no-link":
            settings["report"]["names"] = ["util"]
        case "once":
            maps["repeat"] = "at_most_once"
        case "tagged":
            maps.update(repeat="deduplicated", group="cell", window=300.0)
    return settings


def settings_of(path: Path) -> dict[str, Any]:
    first = path.read_text().split("\n")[0]
    return against(first.removeprefix("// against: ") if first.startswith("// against: ") else "")


def refusal(path: Path, settings: dict[str, Any]) -> str:
    with pytest.raises(OperatorFileError) as caught:
        load_in_child(path, settings)
    return "\n".join(map(str, caught.value.faults)) + "\n"


def test_there_are_bad_files_enough() -> None:
    assert len(BAD) >= 50


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.stem)
def test_a_bad_file_is_refused_with_the_reason_kept_beside_it(path: Path) -> None:
    began = time.monotonic()
    text = refusal(path, settings_of(path))
    assert time.monotonic() - began < 20.0
    kept = path.with_suffix(".reason")
    if "KEEP_TRACES" in environ:
        kept.write_text(text)
    assert text == kept.read_text()


def test_all_faults_are_told_at_once_each_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "three.jsonnet"
    path.write_text(
        "{\n version: 1,\n defualt: {},\n routes: [\n  { name: 'a', plan: { relays: 0 } },\n ],\n"
        " front: 3,\n}"
    )
    text = refusal(path, SAMPLE["settings"])
    assert sorted(text.splitlines()) == [
        "three.jsonnet:3: defualt: unknown key; did you mean default?",
        "three.jsonnet:5: routes[0].plan.relays: 0 is too small: 1 at least",
        "three.jsonnet:7: front: an object was expected, not 3",
    ]


def test_a_child_that_loops_is_ended_in_two_seconds(tmp_path: Path) -> None:
    path = tmp_path / "loop.jsonnet"
    path.write_text("local f(n) = f(n + 1) tailstrict; f(0)")
    load_in_child(EXAMPLE, SAMPLE["settings"])  # what is read from disk for the first time takes its own time
    began = time.monotonic()
    assert "too long" in refusal(path, SAMPLE["settings"])
    assert time.monotonic() - began < 2.0 + 1.0  # a machine that runs other tests beside this one


def test_a_file_replaced_while_it_is_read_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "a.libsonnet").write_text("{ relays: 1 }")
    path = tmp_path / "main.jsonnet"
    path.write_text("{ version: 1, default: import 'a.libsonnet' }")
    real = _jsonnet.evaluate_snippet

    def meanwhile(*words: Any, **more: Any) -> str:
        text: str = real(*words, **more)
        new = tmp_path / "new"
        new.write_text("{ relays: 2 }")
        os.replace(new, tmp_path / "a.libsonnet")
        return text

    monkeypatch.setattr(_jsonnet, "evaluate_snippet", meanwhile)
    with pytest.raises(OperatorFileError, match=r"a\.libsonnet: changed while the file was read"):
        evaluate.evaluate(path)


def test_a_file_cut_short_while_it_is_read_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "main.jsonnet"
    path.write_text("{ version: 1 }")
    real, calls = os.fstat, [0]

    def shrinks(descriptor: int) -> os.stat_result:
        status = real(descriptor)
        calls[0] += 1
        if calls[0] == 1:
            path.write_text("{ version: 1, }  ")
        return status

    monkeypatch.setattr(os, "fstat", shrinks)
    with pytest.raises(OperatorFileError, match="changed while it was read"):
        evaluate.evaluate(path)


@pytest.mark.parametrize("target", ["/dev/zero", "/dev/stdin"])
def test_what_is_no_file_is_not_read(tmp_path: Path, target: str) -> None:
    path = tmp_path / "link.jsonnet"
    path.symlink_to(target)
    with pytest.raises(OperatorFileError):
        evaluate.evaluate(path)


def test_an_import_through_a_link_out_of_the_folder_is_refused(tmp_path: Path) -> None:
    (tmp_path / "in").mkdir()
    (tmp_path / "secret").write_text("{}")
    (tmp_path / "in" / "link").symlink_to(tmp_path / "secret")
    path = tmp_path / "in" / "main.jsonnet"
    path.write_text("{ version: 1 } + import 'link'")
    with pytest.raises(OperatorFileError, match="outside the folder"):
        evaluate.evaluate(path)


def test_a_large_file_and_many_imports_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "main.jsonnet"
    path.write_text("//" + " " * evaluate.MAX_FILE_BYTES + "\n{ version: 1 }")
    with pytest.raises(OperatorFileError, match="larger than 1 MB"):
        evaluate.evaluate(path)
    for number in range(evaluate.MAX_FILES + 1):
        (tmp_path / f"{number}").write_text("{}")
    path.write_text("{ version: 1 }" + "".join(f" + (import '{n}')" for n in range(evaluate.MAX_FILES + 1)))
    with pytest.raises(OperatorFileError, match="more than 64 files"):
        evaluate.evaluate(path)


def test_the_example_comes_to_what_its_page_says_and_survives_the_way_to_the_front() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    apart = load_in_child(EXAMPLE, SAMPLE["settings"])
    assert apart.plans == loaded.compiled.plans and apart.digest == loaded.compiled.digest
    assert apart.route_names == ("bulletins", "large grids", "workload grids", "workload maps")
    assert apart.plans.network_budgets == (RetryBudgetTerms("network visitors", 0.1, 10_000.0, 2.0),)
    maps = 1
    station = RouteKey(maps, 0x7F << 56, 0, 0, 1000, 0xFFFF0A010203)
    found = [
        apart.table.find(sight)
        for sight in (station, station._replace(address=0xFFFF0A01FF03), station._replace(size=400_000))
    ]
    names = [apart.route_names[place] if place >= 0 else None for place in found]
    assert names == ["bulletins", "workload maps", None]
    assert apart.table.find_network(0xFFFF0A020304) == 0 and apart.table.find_network(0xFFFF0A010203) == -1
    plan = apart.plans.plans[apart.table.routes[found[0]][0]]
    assert (plan.relays, plan.come_back_in, plan.second) == (3, 250.0, ScaledDuration(40.0, 1.05))
    assert plan.worth is not None and Outcome.ERROR not in plan.worth


def test_values_are_inherited_by_the_leaf_and_null_takes_one_back(tmp_path: Path) -> None:
    path = tmp_path / "main.jsonnet"
    path.write_text(
        """{ version: 1, largest: { maps: '100KB', grids: '100KB' },
        default: { time_outs: { look: { base: '100ms', part: 2 }, fill: '900ms' }, budget: { share: 0.1 } },
        workloads: { maps: { time_outs: { look: { further: '200ms' } }, budget: null } },
        routes: [
          { name: 'r', match: { workload: 'maps', parts: 1 }, plan: { time_outs: { fill: null } } },
        ] }"""
    )
    loaded = load(path, SAMPLE["settings"])
    by_name = {entry.name: entry for entry in loaded.compiler.entries}
    look = (ScaledDuration(100.0, 2.0), ScaledDuration(200.0, 0.0))
    assert by_name["r"].plan.time_outs == (look, (None, None), (None, None))
    assert by_name["workload maps"].plan.time_outs[1] == (ScaledDuration(900.0, 0.0), None)
    assert by_name["workload maps"].plan.allowance is None
    assert by_name["workload grids"].plan.allowance == RetryBudgetTerms("default", 0.1, 10_000.0, 5.0)
    assert by_name["r"].value_sources["time_outs.look.first"] == "default"
    assert by_name["r"].value_sources["time_outs.look.further"] == "workloads.maps"
    assert by_name["r"].value_sources["time_outs.fill"] == "routes[0]"


def test_a_compiled_file_reads_as_it_was_written() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    read = compiled.decode_compiled(compiled.encode_compiled(loaded.compiled, loaded.network_intervals))
    assert read.plans == loaded.compiled.plans
    for name in ("routes", "roots", "nodes", "leaves", "_terms", "_bounds", "_owners"):
        assert getattr(read.table, name) == getattr(loaded.compiled.table, name), name


@pytest.mark.parametrize("source, path, line", [
    ("{ a: 1,\n b: { c: 2 } }", ("b", "c"), 2),
    ("local x = { b: 1 };\nlocal f(y) = [y, {z: 1}];\n{\n 'b': [1,\n 2, {c: x}] }", ("b", 1), 5),
    ("{ a: f({b: 1},\n {c: 2}),\n d: 3 }", ("a", "b"), 1),
    ("{ a: f({b: 1},\n {c: 2}),\n d: 3 }", ("d",), 3),
    ("{ a:: 1, // c: 2\n /* c: 3\n */ c: '}',\n [if true then 'x']: 2, d: \"{\" }", ("d",), 4),
    ("import 'x'", ("a",), None),
    ("", ("a",), None),
    ("{ a: |||\n  b: {\n|||,\n b: 1 }", ("b",), 4),
])  # fmt: skip
def test_keys_that_are_written_out_are_found(source: str, path: tuple[str | int, ...], line: int) -> None:
    assert locate(source, path) == line


def command(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, list(words))
    return result.exit_code, result.output


def test_check_says_good_or_why_not(tmp_path: Path) -> None:
    sample = str(HERE.parent / "deploy" / "sample.json")
    assert command("check", str(EXAMPLE), "--against", sample)[0] == 0
    bad = str(HERE / "bad" / "key-near.jsonnet")
    reason = "key-near.jsonnet:1: defualt: unknown key; did you mean default?\n"
    assert command("check", bad, "--against", sample) == (1, reason)
    status, text = command("check", bad, "--against", sample, "--json")
    assert status == 1 and json.loads(text)["faults"][0]["path"] == "defualt"
    assert command("check", str(tmp_path / "none"), "--against", sample)[0] == 2
    (tmp_path / "config").write_text("{")
    assert command("check", str(EXAMPLE), "--against", str(tmp_path / "config"))[0] == 2
    (tmp_path / "config").write_text('{"settings": {}}')
    assert command("check", str(EXAMPLE), "--against", str(tmp_path / "config"))[0] == 2


def test_explain_tells_the_route_why_not_the_earlier_ones_and_the_course() -> None:
    sample = str(HERE.parent / "deploy" / "sample.json")
    words = ("explain", str(EXAMPLE), "--against", sample, "--json", "--object", "7f3a", "--kb", "300")
    status, text = command(*words, "--workload", "maps", "--from", "10.1.2.3")
    told = json.loads(text)
    assert status == 0 and told["route"] == "bulletins" and told["passed_over"] == []
    status, text = command(*words, "--workload", "maps", "--from", "10.3.2.3")
    told = json.loads(text)
    assert told["route"] == "workload maps"
    why = [miss["why"].split(" is not")[0] for miss in told["passed_over"]]
    assert why == ["address", "workload", "workload"]
    times = [step["from"] for step in told["steps"]]
    assert times == sorted(times) and "cut-off 3000 ms" in told["steps"][-1]["what"]
    assert command(*words[:-1], "301", "--workload", "maps")[0] == 1
    for wrong in (("movies",), ("maps", "--from", "10.1"), ("maps", "--group", "-1")):
        assert command(*words, "--workload", *wrong)[0] == 2
    bad = str(HERE / "bad" / "key-near.jsonnet")
    assert command("explain", bad, *words[2:], "--workload", "maps")[0] == 2


def test_render_tells_each_value_and_where_it_came_from() -> None:
    sample = str(HERE.parent / "deploy" / "sample.json")
    status, text = command("render", str(EXAMPLE), "--against", sample, "--json")
    entries = {entry["route"]: entry for entry in json.loads(text)}
    leaves = {leaf["key"]: leaf for leaf in entries["bulletins"]["values"]}
    assert status == 0 and leaves["relays"] == {"key": "relays", "value": 3, "from": "routes[0]"}
    assert leaves["time_outs.look.first"]["from"] == "workloads.maps"
    assert leaves["retry_on"]["from"] == "default"
    assert leaves["budget"]["from"] == "the default of the program"
    assert "bulletins (maps)" in command("render", str(EXAMPLE), "--against", sample)[1]


def test_words_that_are_no_command_end_with_status_2_and_the_shell_can_complete() -> None:
    run = [sys.executable, "-m", "cometseam"]
    assert subprocess.run([*run, "sevre"], capture_output=True).returncode == 2
    # The shell is found among the parents: bash stays one here, however the tests themselves were started.
    words = " ".join(shlex.quote(word) for word in [*run, "--show-completion"])
    script = subprocess.run(["bash", "-c", f"{words}; exit $?"], capture_output=True, text=True)
    assert script.returncode == 0 and "complete" in script.stdout


def test_serving_imports_nothing_that_only_checking_or_commands_need() -> None:
    code = "import cometseam.__main__, cometseam.serving, sys; print(*sorted(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    assert not {"typer", "pydantic", "netaddr", "_jsonnet", "rich", "cometseam.soak"} & set(loaded)
    assert "cometseam.logic" in loaded


def test_serve_ends_with_a_line_for_each_fault_and_status_2(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(SAMPLE))
    path = tmp_path / "bad.jsonnet"
    path.write_text("{ version: 1, a: 1, b: 2 }")
    env = {**environ, "ROUTER_CONFIG": str(config)}
    words = [sys.executable, "-m", "cometseam", "serve", "--operator", str(path)]
    done = subprocess.run(words, env=env, capture_output=True, text=True)
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    assert len(lines) == 2
    assert all(line.startswith("cometseam: COMETSEAM_OPERATOR: bad.jsonnet:1: ") for line in lines)
