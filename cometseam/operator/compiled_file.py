"""Compiled operator's files, for fronts that may not start child processes.

Evaluating a Jsonnet file may loop or use up memory, so a front evaluates one only in a child process under
resource limits (`load.load_in_child`). For platforms that allow no child process, `cometseam check FILE
--seal OUT` evaluates and checks the file on the operator's machine, under the same limits, and writes the
runtime configuration as JSON. A front reads that file in its own process;
reading is bounded by the size of the file and evaluates nothing.

The file is one JSON object:

    {"sealed": 1, "against": <16 hex digits>, "check": <16 hex digits>,
     "compiled": <as `compiled.encode_compiled`>}

`against` is a digest of the settings that the file was checked against. A front with other settings rejects
the file, because the plans were validated against the deadlines and target latencies of those settings only.
`check` is a digest of the text of `compiled` as written, so that a truncated or edited file is rejected.
Every fault is raised as an `OperatorFileError` with one reason; nothing else is raised.
"""

import hashlib
import json
import os
from pathlib import Path
from typing import Any

from cometseam.operator.compiled import CompiledConfig, Fault, OperatorFileError, decode_compiled

FORMAT_VERSION = 1
# Large enough for the compiled form of a file that evaluates to `evaluate.MAX_JSON_BYTES` of JSON.
MAX_COMPILED_FILE_BYTES = 16 << 20
COMPILED_FILE_SUFFIX = ".json"  # files with this suffix are read as compiled files, all others as Jsonnet
KEYS = frozenset({"sealed", "against", "check", "compiled"})


def settings_digest(settings: dict[str, Any]) -> str:
    """Return a digest of a settings object as 16 hex digits; the order of its keys does not matter."""
    text = json.dumps(settings, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _checksum(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def encode_compiled_file(compiled_text: bytes, settings: dict[str, Any]) -> bytes:
    """Return the compiled file for the output of `compiled.encode_compiled`, checked against `settings`."""
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
    """Return whether a front reads this file as a compiled file; decided by its name, without reading it."""
    return path.name.endswith(COMPILED_FILE_SUFFIX)


def read_bounded(path: Path, max_bytes: int = MAX_COMPILED_FILE_BYTES) -> bytes:
    """Return the bytes of a file.

    Raises `OperatorFileError` where it can't be read, has more than `max_bytes` bytes or changes meanwhile.
    """
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


def decode_compiled_file(
    text: bytes, settings: dict[str, Any], name: str = "compiled file"
) -> CompiledConfig:
    """Return the runtime configuration of a compiled file that was checked against these settings.

    Raises `OperatorFileError` for text that is not JSON, another format version, missing or unknown keys, a
    checksum that does not match (truncated or edited), other settings, or a compiled part that can't be
    decoded.
    """

    def file_error(reason: str) -> OperatorFileError:
        return OperatorFileError([Fault("", f"{name}: {reason}")])

    try:
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise file_error("not a compiled file: its JSON can't be read") from error
    if not isinstance(document, dict):
        raise file_error("not a compiled file: an object was expected")
    if (keys := set(document)) != KEYS:
        mismatched_keys = sorted(keys ^ KEYS)
        raise file_error(f"not a compiled file: keys {', '.join(mismatched_keys)} missing or unknown")
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
    """Read and decode a compiled file of at most `MAX_COMPILED_FILE_BYTES` bytes, in this process."""
    return decode_compiled_file(read_bounded(path), settings, path.name)


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant}: a finite number was expected")
