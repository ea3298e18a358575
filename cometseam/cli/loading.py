"""Loading of operator's files for commands, with exit statuses for files that can't be used."""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from cometseam.config import CONFIG_VARIABLE
from cometseam.json_section import FieldError, Section
from cometseam.operator import OperatorFileError
from cometseam.operator.load import LoadedFile, load, load_in_child
from cometseam.settings import read_name_tables, read_network_settings, read_settings

FileArgument = Annotated[Path, typer.Argument(help="The operator's file, Jsonnet.")]
ConfigOption = Annotated[
    Path | None,
    typer.Option(help="The platform's configuration; default: the file in ROUTER_CONFIG, else the sample."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON, for programs.")]


def exit_with_error(text: str) -> NoReturn:
    """Print one line to standard error and exit with status 2."""
    print(f"cometseam: {text}", file=sys.stderr)
    raise typer.Exit(2)


def load_settings(against: Path | None) -> dict[str, Any]:
    """Return the settings object that a file is checked against; exits where it is unusable."""
    path = against or Path(os.environ.get(CONFIG_VARIABLE, "") or "deploy/sample.json")
    try:
        section = Section(json.loads(path.read_bytes())).section("settings")
        for validate in (read_settings, read_name_tables, read_network_settings):
            validate(section)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}")
    except (FieldError, ValueError, RecursionError) as error:
        exit_with_error(f"{path}: {error}")
    return section.values


def load_file(file: Path, against: Path | None, as_json: bool, invalid_exit_status: int = 2) -> LoadedFile:
    """Load a file, or print its faults and exit with `invalid_exit_status`.

    Loads it in a child under resource limits first, as a front does, because evaluating it may loop.
    """
    settings = load_settings(against)
    try:
        if not file.is_file():
            exit_with_error(f"{file}: no such file")
        load_in_child(file, settings)
        return load(file, settings)
    except OperatorFileError as error:
        if as_json:
            faults = [
                {"path": fault.path, "reason": fault.reason, "place": fault.location}
                for fault in error.faults
            ]
            print(json.dumps({"good": False, "faults": faults}))
        else:
            for fault in error.faults:
                print(fault, file=sys.stderr)
        raise typer.Exit(invalid_exit_status) from error


def write_compiled_file(path: Path, loaded: LoadedFile, settings: dict[str, Any]) -> None:
    """Write the compiled file atomically; exits with an error where the name does not end in .json."""
    from cometseam.operator.compiled import encode_compiled
    from cometseam.operator.compiled_file import COMPILED_FILE_SUFFIX, encode_compiled_file

    if not path.name.endswith(COMPILED_FILE_SUFFIX):
        exit_with_error(f"--seal {path}: the name of a compiled file must end in {COMPILED_FILE_SUFFIX}")
    text = encode_compiled_file(encode_compiled(loaded.compiled, loaded.network_intervals), settings)
    temporary_path = path.with_name(f".{path.name}.part")
    try:
        temporary_path.write_bytes(text)
        os.replace(temporary_path, path)
    except OSError as error:
        exit_with_error(f"--seal {path}: {error.strerror}")
