"""Tests of the operator's file: rejected files and their reasons, limits, compiled result and commands.

Guards against a faulty or hostile file that stops or hangs a front: a file that loops, uses up memory, reads
outside its folder or changes while it is read is rejected with a reason. Each file of tests/bad has its
expected reason in the .reason file beside it; KEEP_TRACES in the environment rewrites these.
"""

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

TESTS = Path(__file__).parent
BAD = sorted((TESTS / "bad").glob("*.jsonnet"))
EXAMPLE = TESTS.parent / "deploy" / "operator.jsonnet"


def settings_for(name: str) -> dict[str, Any]:
    """Return the settings that a bad file names in its first line."""
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


def settings_of_bad_file(path: Path) -> dict[str, Any]:
    first_line = path.read_text().split("\n")[0]
    return settings_for(
        first_line.removeprefix("// against: ") if first_line.startswith("// against: ") else ""
    )


def fault_text(path: Path, settings: dict[str, Any]) -> str:
    with pytest.raises(OperatorFileError) as caught:
        load_in_child(path, settings)
    return "\n".join(map(str, caught.value.faults)) + "\n"


def test_there_are_at_least_50_bad_files() -> None:
    assert len(BAD) >= 50


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.stem)
def test_a_bad_file_is_rejected_with_the_text_of_its_reason_file(path: Path) -> None:
    started_at = time.monotonic()
    text = fault_text(path, settings_of_bad_file(path))
    assert time.monotonic() - started_at < 20.0
    reason_file = path.with_suffix(".reason")
    if "KEEP_TRACES" in environ:
        reason_file.write_text(text)
    assert text == reason_file.read_text()


def test_all_faults_are_reported_together_each_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "three.jsonnet"
    path.write_text(
        "{\n version: 1,\n defualt: {},\n routes: [\n  { name: 'a', plan: { relays: 0 } },\n ],\n"
        " front: 3,\n}"
    )
    text = fault_text(path, SAMPLE["settings"])
    assert sorted(text.splitlines()) == [
        "three.jsonnet:3: defualt: unknown key; did you mean default?",
        "three.jsonnet:5: routes[0].plan.relays: 0 is too small: 1 at least",
        "three.jsonnet:7: front: an object was expected, not 3",
    ]


def test_a_child_whose_file_loops_is_killed_within_two_seconds(tmp_path: Path) -> None:
    path = tmp_path / "loop.jsonnet"
    path.write_text("local f(n) = f(n + 1) tailstrict; f(0)")
    load_in_child(EXAMPLE, SAMPLE["settings"])  # warms the disk cache, which would add to the time measured
    started_at = time.monotonic()
    assert "too long" in fault_text(path, SAMPLE["settings"])
    assert time.monotonic() - started_at < 2.0 + 1.0  # 1 s more, as other tests may run on the machine


def test_a_file_replaced_while_it_is_read_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "a.libsonnet").write_text("{ relays: 1 }")
    path = tmp_path / "main.jsonnet"
    path.write_text("{ version: 1, default: import 'a.libsonnet' }")
    evaluate_snippet = _jsonnet.evaluate_snippet

    def evaluate_then_replace(*args: Any, **kwargs: Any) -> str:
        text: str = evaluate_snippet(*args, **kwargs)
        replacement = tmp_path / "new"
        replacement.write_text("{ relays: 2 }")
        os.replace(replacement, tmp_path / "a.libsonnet")
        return text

    monkeypatch.setattr(_jsonnet, "evaluate_snippet", evaluate_then_replace)
    with pytest.raises(OperatorFileError, match=r"a\.libsonnet: changed while the file was read"):
        evaluate.evaluate(path)


def test_a_file_that_changes_size_while_it_is_read_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "main.jsonnet"
    path.write_text("{ version: 1 }")
    fstat, call_count = os.fstat, [0]

    def fstat_then_rewrite(descriptor: int) -> os.stat_result:
        status = fstat(descriptor)
        call_count[0] += 1
        if call_count[0] == 1:
            path.write_text("{ version: 1, }  ")
        return status

    monkeypatch.setattr(os, "fstat", fstat_then_rewrite)
    with pytest.raises(OperatorFileError, match="changed while it was read"):
        evaluate.evaluate(path)


@pytest.mark.parametrize("target", ["/dev/zero", "/dev/stdin"])
def test_a_link_to_a_device_is_rejected(tmp_path: Path, target: str) -> None:
    path = tmp_path / "link.jsonnet"
    path.symlink_to(target)
    with pytest.raises(OperatorFileError):
        evaluate.evaluate(path)


def test_an_import_through_a_link_out_of_the_folder_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "in").mkdir()
    (tmp_path / "secret").write_text("{}")
    (tmp_path / "in" / "link").symlink_to(tmp_path / "secret")
    path = tmp_path / "in" / "main.jsonnet"
    path.write_text("{ version: 1 } + import 'link'")
    with pytest.raises(OperatorFileError, match="outside the folder"):
        evaluate.evaluate(path)


def test_a_file_over_1_mb_and_more_than_64_files_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "main.jsonnet"
    path.write_text("//" + " " * evaluate.MAX_FILE_BYTES + "\n{ version: 1 }")
    with pytest.raises(OperatorFileError, match="larger than 1 MB"):
        evaluate.evaluate(path)
    for number in range(evaluate.MAX_FILES + 1):
        (tmp_path / f"{number}").write_text("{}")
    path.write_text(
        "{ version: 1 }" + "".join(f" + (import '{index}')" for index in range(evaluate.MAX_FILES + 1))
    )
    with pytest.raises(OperatorFileError, match="more than 64 files"):
        evaluate.evaluate(path)


def test_the_example_compiles_to_its_documented_plans_and_reaches_the_front_unchanged() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    from_child = load_in_child(EXAMPLE, SAMPLE["settings"])
    assert from_child.plans == loaded.compiled.plans and from_child.digest == loaded.compiled.digest
    assert from_child.route_names == ("bulletins", "large grids", "workload grids", "workload maps")
    assert from_child.plans.network_budgets == (RetryBudgetTerms("network visitors", 0.1, 10_000.0, 2.0),)
    maps = 1
    station = RouteKey(maps, 0x7F << 56, 0, 0, 1000, 0xFFFF0A010203)
    found = [
        from_child.table.find(key)
        for key in (station, station._replace(address=0xFFFF0A01FF03), station._replace(size=400_000))
    ]
    names = [from_child.route_names[index] if index >= 0 else None for index in found]
    assert names == ["bulletins", "workload maps", None]
    assert (
        from_child.table.find_network(0xFFFF0A020304) == 0
        and from_child.table.find_network(0xFFFF0A010203) == -1
    )
    plan = from_child.plans.plans[from_child.table.routes[found[0]][0]]
    assert (plan.relays, plan.come_back_in, plan.second) == (3, 250.0, ScaledDuration(40.0, 1.05))
    assert plan.worth is not None and Outcome.ERROR not in plan.worth


def test_plan_values_are_inherited_leaf_by_leaf_and_null_resets_one(tmp_path: Path) -> None:
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
    lookup_time_out = (ScaledDuration(100.0, 2.0), ScaledDuration(200.0, 0.0))
    assert by_name["r"].plan.time_outs == (lookup_time_out, (None, None), (None, None))
    assert by_name["workload maps"].plan.time_outs[1] == (ScaledDuration(900.0, 0.0), None)
    assert by_name["workload maps"].plan.allowance is None
    assert by_name["workload grids"].plan.allowance == RetryBudgetTerms("default", 0.1, 10_000.0, 5.0)
    assert by_name["r"].value_sources["time_outs.look.first"] == "default"
    assert by_name["r"].value_sources["time_outs.look.further"] == "workloads.maps"
    assert by_name["r"].value_sources["time_outs.fill"] == "routes[0]"


def test_a_compiled_configuration_decodes_to_what_was_encoded() -> None:
    loaded = load(EXAMPLE, SAMPLE["settings"])
    decoded = compiled.decode_compiled(compiled.encode_compiled(loaded.compiled, loaded.network_intervals))
    assert decoded.plans == loaded.compiled.plans
    for name in ("routes", "roots", "nodes", "leaves", "_terms", "_bounds", "_owners"):
        assert getattr(decoded.table, name) == getattr(loaded.compiled.table, name), name


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
def test_the_line_of_a_key_in_a_literal_is_found(source: str, path: tuple[str | int, ...], line: int) -> None:
    assert locate(source, path) == line


def run_command(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, list(arguments))
    return result.exit_code, result.output


def test_check_exits_with_0_for_a_good_1_for_a_bad_and_2_for_an_unreadable_file(tmp_path: Path) -> None:
    sample = str(TESTS.parent / "deploy" / "sample.json")
    assert run_command("check", str(EXAMPLE), "--against", sample)[0] == 0
    bad = str(TESTS / "bad" / "key-near.jsonnet")
    reason = "key-near.jsonnet:1: defualt: unknown key; did you mean default?\n"
    assert run_command("check", bad, "--against", sample) == (1, reason)
    status, text = run_command("check", bad, "--against", sample, "--json")
    assert status == 1 and json.loads(text)["faults"][0]["path"] == "defualt"
    assert run_command("check", str(tmp_path / "none"), "--against", sample)[0] == 2
    (tmp_path / "config").write_text("{")
    assert run_command("check", str(EXAMPLE), "--against", str(tmp_path / "config"))[0] == 2
    (tmp_path / "config").write_text('{"settings": {}}')
    assert run_command("check", str(EXAMPLE), "--against", str(tmp_path / "config"))[0] == 2


def test_explain_prints_the_route_why_earlier_ones_do_not_match_and_the_steps() -> None:
    sample = str(TESTS.parent / "deploy" / "sample.json")
    arguments = ("explain", str(EXAMPLE), "--against", sample, "--json", "--object", "7f3a", "--kb", "300")
    status, text = run_command(*arguments, "--workload", "maps", "--from", "10.1.2.3")
    explanation = json.loads(text)
    assert status == 0 and explanation["route"] == "bulletins" and explanation["passed_over"] == []
    status, text = run_command(*arguments, "--workload", "maps", "--from", "10.3.2.3")
    explanation = json.loads(text)
    assert explanation["route"] == "workload maps"
    reasons = [passed["why"].split(" is not")[0] for passed in explanation["passed_over"]]
    assert reasons == ["address", "workload", "workload"]
    times = [step["from"] for step in explanation["steps"]]
    assert times == sorted(times) and "cut-off 3000 ms" in explanation["steps"][-1]["what"]
    assert run_command(*arguments[:-1], "301", "--workload", "maps")[0] == 1
    for wrong in (("movies",), ("maps", "--from", "10.1"), ("maps", "--group", "-1")):
        assert run_command(*arguments, "--workload", *wrong)[0] == 2
    bad = str(TESTS / "bad" / "key-near.jsonnet")
    assert run_command("explain", bad, *arguments[2:], "--workload", "maps")[0] == 2


def test_render_prints_each_value_and_its_source() -> None:
    sample = str(TESTS.parent / "deploy" / "sample.json")
    status, text = run_command("render", str(EXAMPLE), "--against", sample, "--json")
    entries = {entry["route"]: entry for entry in json.loads(text)}
    leaves = {leaf["key"]: leaf for leaf in entries["bulletins"]["values"]}
    assert status == 0 and leaves["relays"] == {"key": "relays", "value": 3, "from": "routes[0]"}
    assert leaves["time_outs.look.first"]["from"] == "workloads.maps"
    assert leaves["retry_on"]["from"] == "default"
    assert leaves["budget"]["from"] == "the default of the program"
    assert "bulletins (maps)" in run_command("render", str(EXAMPLE), "--against", sample)[1]


def test_an_unknown_command_exits_with_status_2_and_shell_completion_works() -> None:
    command = [sys.executable, "-m", "cometseam"]
    assert subprocess.run([*command, "sevre"], capture_output=True).returncode == 2
    # The shell is detected among the parent processes: bash stays one of them, however the tests are started.
    command_line = " ".join(shlex.quote(argument) for argument in [*command, "--show-completion"])
    script = subprocess.run(["bash", "-c", f"{command_line}; exit $?"], capture_output=True, text=True)
    assert script.returncode == 0 and "complete" in script.stdout


def test_serving_imports_nothing_that_only_checking_or_commands_need() -> None:
    code = "import cometseam.__main__, cometseam.serving, sys; print(*sorted(sys.modules))"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = process.stdout.split()
    assert not {"typer", "pydantic", "netaddr", "_jsonnet", "rich", "cometseam.soak"} & set(loaded)
    assert "cometseam.logic" in loaded


def test_serve_prints_a_line_for_each_fault_and_exits_with_status_2(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(SAMPLE))
    path = tmp_path / "bad.jsonnet"
    path.write_text("{ version: 1, a: 1, b: 2 }")
    env = {**environ, "ROUTER_CONFIG": str(config)}
    command = [sys.executable, "-m", "cometseam", "serve", "--operator", str(path)]
    process = subprocess.run(command, env=env, capture_output=True, text=True)
    assert process.returncode == 2
    lines = process.stderr.splitlines()
    assert len(lines) == 2
    assert all(line.startswith("cometseam: COMETSEAM_OPERATOR: bad.jsonnet:1: ") for line in lines)
