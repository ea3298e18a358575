"""The commands, on typer. Exit status: 0 good, 1 the answer is no, 2 input that can't be used."""

import json
import os
import sys
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from cometseam.cli.show import explained, rendered
from cometseam.config import FORM_VARIABLE, OPERATOR_VARIABLE, VARIABLE
from cometseam.operator import Refused
from cometseam.operator.load import Loaded, load, load_apart
from cometseam.reading import Faulty, Section
from cometseam.settings import read_links, read_names, read_settings
from cometseam.timing.table import Sight, whole_address, whole_size

app = typer.Typer(
    name="cometseam", no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None,
    help="A traffic router for a two-tier cache.",
)  # fmt: skip

File = Annotated[Path, typer.Argument(help="The operator's file, Jsonnet.")]
Against = Annotated[
    Path | None,
    typer.Option(help="The platform's configuration; else what ROUTER_CONFIG names, else the sample's."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for programs.")]


class Form(StrEnum):
    """How log lines look."""

    TEXT = "text"
    JSON = "json"


def _unusable(text: str) -> NoReturn:
    print(f"cometseam: {text}", file=sys.stderr)
    raise typer.Exit(2)


def _settings(against: Path | None) -> dict[str, Any]:
    """Return the object of settings that a file is checked against."""
    path = against or Path(os.environ.get(VARIABLE, "") or "deploy/sample.json")
    try:
        section = Section(json.loads(path.read_bytes())).section("settings")
        for read in (read_settings, read_names, read_links):
            read(section)
    except OSError as error:
        _unusable(f"{path}: {error.strerror}")
    except (Faulty, ValueError, RecursionError) as error:
        _unusable(f"{path}: {error}")
    return section.values


def _load(file: Path, against: Path | None, as_json: bool, refused_is: int = 2) -> Loaded:
    """Load a file, or end with its faults told; first apart, as a front does: it may loop."""
    settings = _settings(against)
    try:
        if not file.is_file():
            _unusable(f"{file}: no such file")
        load_apart(file, settings)
        return load(file, settings)
    except Faulty as error:
        _unusable(str(error))
    except Refused as refused:
        if as_json:
            faults = [
                {"path": fault.path, "reason": fault.reason, "place": fault.place} for fault in refused.faults
            ]
            print(json.dumps({"good": False, "faults": faults}))
        else:
            for fault in refused.faults:
                print(fault, file=sys.stderr)
        raise typer.Exit(refused_is) from refused


@app.command()
def serve(
    operator: Annotated[Path | None, typer.Option(help="The operator's file.")] = None,
    log_format: Annotated[Form | None, typer.Option(help="How log lines look.")] = None,
) -> None:
    """Run a front until SIGTERM, as `python -m cometseam` alone does."""
    from cometseam.__main__ import serve as run

    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = str(operator)
    if log_format is not None:
        os.environ[FORM_VARIABLE] = str(log_format)
    raise typer.Exit(run())


@app.command()
def check(file: File, against: Against = None, as_json: AsJson = False) -> None:
    """Check an operator's file whole, against the platform's settings; all faults are told at once.

    Status 1 where it may not be loaded.
    """
    loaded = _load(file, against, as_json, refused_is=1)
    compiled = loaded.compiled
    told = {
        "good": True,
        "digest": compiled.digest,
        "routes": len(loaded.compiler.file.routes),
        "plans": len(compiled.plans.plans),
    }
    if as_json:
        print(json.dumps(told))
    else:
        print(f"good: {told['routes']} routes, {told['plans']} plans, digest {told['digest']}")


@app.command()
def render(file: File, against: Against = None, as_json: AsJson = False) -> None:
    """Print the plans with defaults filled in, and where each value came from."""
    loaded = _load(file, against, as_json)
    told = rendered(loaded.compiler)
    if as_json:
        print(json.dumps(told, indent=1))
        return
    for entry in told:
        print(f"{entry['route']} ({entry['workload']})")
        for leaf in entry["values"]:
            print(f"  {leaf['key']:26} {leaf['value']!s:34} {leaf['from']}")


@app.command()
def explain(
    file: File,
    workload: Annotated[str, typer.Option(help="The pull's workload.")],
    object: Annotated[str, typer.Option(help="The object, 1 to 16 hex digits.")],
    kb: Annotated[float, typer.Option(help="The size of the part in KB.")],
    from_: Annotated[str, typer.Option("--from", help="The client's address.")] = "127.0.0.1",
    group: Annotated[int, typer.Option(help="The object's group.")] = 0,
    part: Annotated[int, typer.Option(help="The part of the object.")] = 0,
    against: Against = None,
    as_json: AsJson = False,
) -> None:
    """Tell which route a pull takes, why not an earlier one, and its relays step by step with their times.

    Status 1 where no route and no workload's plan holds it, so that the front decides as without a file.
    """
    loaded = _load(file, against, as_json)
    names = loaded.compiler.platform.names.workloads
    if workload not in names:
        _unusable(f"--workload: the settings have no {workload!r}; they have {', '.join(names)}")
    try:
        number = int(object.ljust(16, "0"), 16) if 0 < len(object) <= 16 else -1
    except ValueError:
        number = -1
    if number < 0:
        _unusable(f"--object: 1 to 16 hex digits were expected, not {object!r}")
    address = whole_address(from_)
    if not address:
        _unusable(f"--from: an address was expected, not {from_!r}")
    if not 0.0 <= kb < 1e9 or group < 0 or part < 0:
        _unusable("--kb, --group and --part: at least 0 was expected")
    sight = Sight(names.index(workload), number, group, part, whole_size(kb), address)
    told = explained(loaded, sight, kb)
    if as_json:
        print(json.dumps(told, indent=1))
    else:
        for miss in told["passed_over"]:
            print(f"not {miss['route']}: {miss['why']}")
        print(f"route: {told['route'] or 'none: decided as without a file'}")
        for name, terms in told["budgets"].items():
            print(f"budget {name}: {terms}")
        for step in told["steps"]:
            print(f"{step['from']:8.1f} ms  {step['what']}")
    raise typer.Exit(0 if told["route"] else 1)


def run_commands() -> int:
    """Run the command that the words name; what typer finds wrong with them is status 2."""
    try:
        app()
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0
