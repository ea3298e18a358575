"""The sealed form of an operator's file: what a front reads where it may start no child process.

A Jsonnet file may loop or swell, so a front evaluates one only in a child that its bounds can end
(`load.load_in_child`). Some platforms start no child: there `cometseam check FILE --seal OUT` evaluates and
checks the file on the operator's side, within the same bounds, and writes what a front needs as JSON. A
front reads that form in its own process; reading it is bounded by its size and does no evaluation.

The form, one JSON object:

    {"sealed": 1, "against": <16 hex digits>, "check": <16 hex digits>,
     "compiled": <as `compiled.encode_compiled`>}

`against` is a digest of the settings that the file was checked against; a front whose settings differ
refuses the form, since the proof of the plans (cut-offs, quoted times) held for those settings alone.
`check` is a digest of the text of `compiled` as written, so that a torn or edited form is refused rather
than half read. Every fault is a `OperatorFileError` with one plain reason; nothing else is raised.
"""

import hashlib
import json
import os
from pathlib import Path
from typing import Any

from cometseam.operator.compiled import CompiledConfig, Fault, OperatorFileError, decode_compiled

FORMAT_VERSION = 1
MAX_COMPILED_FILE_BYTES = (
    16 << 20
)  # bytes of a sealed form; what `evaluate.MAX_JSON_BYTES` lets a file come to, compiled, fits
COMPILED_FILE_SUFFIX = ".json"  # an operator's file named so is taken as sealed; any other is Jsonnet
KEYS = frozenset({"sealed", "against", "check", "compiled"})


def settings_digest(settings: dict[str, Any]) -> str:
    """Return 16 hex digits that tell one object of settings from another, whatever the order of its keys."""
    text = json.dumps(settings, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _checksum(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def encode_compiled_file(compiled_text: bytes, settings: dict[str, Any]) -> bytes:
    """Return the sealed form of what `compiled.encode_compiled` wrote, checked against `settings`."""
    compiled = json.loads(compiled_text)
    canonical = json.dumps(compiled, sort_keys=True, separators=(",", ":")).encode()
    document = {
        "sealed": FORMAT_VERSION,
        "against": settings_digest(settings),
        "check": _checksum(canonical),
        "compiled": compiled,
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode() + b"\n"


def is_compiled_file(path: Path) -> bool:
    """Tell whether a front takes this file as sealed (by its name: the file may be unreadable yet)."""
    return path.name.endswith(COMPILED_FILE_SUFFIX)


def read_bounded(path: Path, max_bytes: int = MAX_COMPILED_FILE_BYTES) -> bytes:
    """Read a whole file of at most `max_bytes` bytes; what can't be read is `OperatorFileError`."""
    try:
        with open(path, "rb") as file:
            text = file.read(max_bytes + 1)
            size = os.fstat(file.fileno()).st_size
    except OSError as error:
        raise OperatorFileError([Fault("", f"{path.name}: {error.strerror}")]) from error
    if len(text) > max_bytes:
        raise OperatorFileError([Fault("", f"{path.name}: larger than {max_bytes >> 20} MB")])
    if len(text) != size:
        raise OperatorFileError([Fault("", f"{path.name}: changed while it was read")])
    return text


def decode_compiled_file(text: bytes, settings: dict[str, Any], name: str = "sealed form") -> CompiledConfig:
    """Return what a sealed form holds, where it is whole and was checked against these settings.

    Raises `OperatorFileError` for text that is not JSON, a form of another version, keys missing or unknown,
    a check that does not match (torn or edited), settings that differ, or a compiled part that can't be read.
    """

    def file_error(reason: str) -> OperatorFileError:
        return OperatorFileError([Fault("", f"{name}: {reason}")])

    try:
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise file_error("not a sealed form: its JSON can't be read") from error
    if not isinstance(document, dict):
        raise file_error("not a sealed form: an object was expected")
    if (keys := set(document)) != KEYS:
        mismatched_keys = sorted(keys ^ KEYS)
        raise file_error(f"not a sealed form: keys {', '.join(mismatched_keys)} missing or unknown")
    if type(document["sealed"]) is not int or document["sealed"] != FORMAT_VERSION:
        raise file_error(f"sealed by another version ({document['sealed']!r}); seal it again")
    canonical = json.dumps(document["compiled"], sort_keys=True, separators=(",", ":")).encode()
    if document["check"] != _checksum(canonical):
        raise file_error("its check does not match: torn or edited after it was sealed")
    if document["against"] != settings_digest(settings):
        raise file_error("sealed against other settings than those that run; seal it again against them")
    try:
        return decode_compiled(canonical)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise file_error(f"its compiled part can't be read ({type(error).__name__})") from error


def load_compiled_file(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Read and open a sealed form in this process; bounded by `MOST` bytes, no evaluation."""
    return decode_compiled_file(read_bounded(path), settings, path.name)


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant}: a finite number was expected")
