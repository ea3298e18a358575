"""How commands load an operator's file, and end where it can't be used."""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from cometseam.config import VARIABLE
from cometseam.operator import Refused
from cometseam.operator.load import Loaded, load, load_apart
from cometseam.reading import Faulty, Section
from cometseam.settings import read_links, read_names, read_settings

File = Annotated[Path, typer.Argument(help="The operator's file, Jsonnet.")]
Against = Annotated[
    Path | None,
    typer.Option(help="The platform's configuration; else what ROUTER_CONFIG names, else the sample's."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for programs.")]


def unusable(text: str) -> NoReturn:
    """End with one line and status 2."""
    print(f"cometseam: {text}", file=sys.stderr)
    raise typer.Exit(2)


def settings_of(against: Path | None) -> dict[str, Any]:
    """Return the object of settings that a file is checked against."""
    path = against or Path(os.environ.get(VARIABLE, "") or "deploy/sample.json")
    try:
        section = Section(json.loads(path.read_bytes())).section("settings")
        for read in (read_settings, read_names, read_links):
            read(section)
    except OSError as error:
        unusable(f"{path}: {error.strerror}")
    except (Faulty, ValueError, RecursionError) as error:
        unusable(f"{path}: {error}")
    return section.values


def load_file(file: Path, against: Path | None, as_json: bool, refused_is: int = 2) -> Loaded:
    """Load a file, or end with its faults told; first apart, as a front does: it may loop."""
    settings = settings_of(against)
    try:
        if not file.is_file():
            unusable(f"{file}: no such file")
        load_apart(file, settings)
        return load(file, settings)
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


def write_sealed(path: Path, loaded: Loaded, settings: dict[str, Any]) -> None:
    """Write the sealed form of a checked file, whole or not at all; a name not in .json is refused."""
    from cometseam.operator.compiled import write
    from cometseam.operator.sealed import SUFFIX, seal

    if not path.name.endswith(SUFFIX):
        unusable(f"--seal {path}: a front takes a sealed form by a name in {SUFFIX}")
    text = seal(write(loaded.compiled, loaded.networks), settings)
    part = path.with_name(f".{path.name}.part")
    try:
        part.write_bytes(text)
        os.replace(part, path)
    except OSError as error:
        unusable(f"--seal {path}: {error.strerror}")
