"""The commands, defined with typer. Exit status: 0 success, 1 a negative result, 2 unusable input."""

import json
import os
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from cometseam.cli.levels import app as levels_app
from cometseam.cli.loading import (
    ConfigOption,
    FileArgument,
    JsonOption,
    exit_with_error,
    load_file,
    load_settings,
    write_compiled_file,
)
from cometseam.cli.show import explain_route, render_plans
from cometseam.cli.soak import soak
from cometseam.config import LOG_FORMAT_VARIABLE, OPERATOR_VARIABLE
from cometseam.timing.table import RouteKey, address_number, size_in_bytes

app = typer.Typer(
    name="cometseam", no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None,
    help="A traffic router for a two-tier cache.",
)  # fmt: skip

app.add_typer(levels_app, name="levels")
app.command()(soak)


class LogFormat(StrEnum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"


@app.command()
def serve(
    operator: Annotated[Path | None, typer.Option(help="The operator's file.")] = None,
    log_format: Annotated[LogFormat | None, typer.Option(help="The format of log lines.")] = None,
) -> None:
    """Run a front until SIGTERM, like `python -m cometseam` without a command."""
    from cometseam.serving import serve as run

    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = str(operator)
    if log_format is not None:
        os.environ[LOG_FORMAT_VARIABLE] = str(log_format)
    raise typer.Exit(run())


@app.command()
def check(
    file: FileArgument,
    against: ConfigOption = None,
    as_json: JsonOption = False,
    seal: Annotated[
        Path | None,
        typer.Option(
            help="Write the compiled file here, for fronts without child processes; the name ends in .json."
        ),
    ] = None,
) -> None:
    """Check an operator's file against the platform's settings and print all of its faults.

    Status 1 where the file can't be used. With `--seal`, writes the compiled file, which a front reads in its
    own process; an existing file is replaced atomically.
    """
    loaded = load_file(file, against, as_json, invalid_exit_status=1)
    compiled = loaded.compiled
    if seal is not None:
        write_compiled_file(seal, loaded, load_settings(against))
    summary = {
        "good": True,
        "digest": compiled.digest,
        "routes": len(loaded.compiler.file.routes),
        "plans": len(compiled.plans.plans),
    }
    if as_json:
        print(json.dumps(summary))
    else:
        print(f"good: {summary['routes']} routes, {summary['plans']} plans, digest {summary['digest']}")


@app.command()
def render(file: FileArgument, against: ConfigOption = None, as_json: JsonOption = False) -> None:
    """Print the plans with defaults filled in, and the source of each value."""
    loaded = load_file(file, against, as_json)
    entries = render_plans(loaded.compiler)
    if as_json:
        print(json.dumps(entries, indent=1))
        return
    for entry in entries:
        print(f"{entry['route']} ({entry['workload']})")
        for leaf in entry["values"]:
            print(f"  {leaf['key']:26} {leaf['value']!s:34} {leaf['from']}")


@app.command()
def explain(
    file: FileArgument,
    workload: Annotated[str, typer.Option(help="The pull's workload.")],
    object: Annotated[str, typer.Option(help="The object, 1 to 16 hex digits.")],
    kb: Annotated[float, typer.Option(help="The size of the part in KB.")],
    from_: Annotated[str, typer.Option("--from", help="The client's address.")] = "127.0.0.1",
    group: Annotated[int, typer.Option(help="The object's group.")] = 0,
    part: Annotated[int, typer.Option(help="The part of the object.")] = 0,
    against: ConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print the route of a pull, why earlier routes don't match, and its relays step by step.

    Status 1 where no route and no workload's plan matches, so that the front uses its built-in defaults.
    """
    loaded = load_file(file, against, as_json)
    names = loaded.compiler.platform.names.workloads
    if workload not in names:
        exit_with_error(f"--workload: the settings have no {workload!r}; they have {', '.join(names)}")
    try:
        number = int(object.ljust(16, "0"), 16) if 0 < len(object) <= 16 else -1
    except ValueError:
        number = -1
    if number < 0:
        exit_with_error(f"--object: 1 to 16 hex digits were expected, not {object!r}")
    address = address_number(from_)
    if not address:
        exit_with_error(f"--from: an address was expected, not {from_!r}")
    if not 0.0 <= kb < 1e9 or group < 0 or part < 0:
        exit_with_error("--kb, --group and --part: at least 0 was expected")
    route_key = RouteKey(names.index(workload), number, group, part, size_in_bytes(kb), address)
    explanation = explain_route(loaded, route_key, kb)
    if as_json:
        print(json.dumps(explanation, indent=1))
    else:
        for passed in explanation["passed_over"]:
            print(f"not {passed['route']}: {passed['why']}")
        print(f"route: {explanation['route'] or 'none: decided as without a file'}")
        for name, terms in explanation["budgets"].items():
            print(f"budget {name}: {terms}")
        for step in explanation["steps"]:
            print(f"{step['from']:8.1f} ms  {step['what']}")
    raise typer.Exit(0 if explanation["route"] else 1)


def run_commands() -> int:
    """Run the command given on the command line and return its exit status; 2 for invalid arguments."""
    try:
        app()
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0
