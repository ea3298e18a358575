"""Evaluates a Jsonnet file under limits of time, memory, depth and size, and returns the sources it read.

Imports must lie within the folder of the file. Each file is read once and must be unchanged at the end. The
time and memory limits apply to the whole process (`set_resource_limits`), which should be one of its own: a
file that loops or uses a gigabyte ends that process and nothing else.
"""

import hashlib
import json
import os
import resource
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import _jsonnet

from cometseam.operator.compiled import Fault, OperatorFileError

MAX_FILE_BYTES = 1 << 20  # size of one source file
MAX_FILES = 64
MAX_JSON_BYTES = 16 << 20  # size of the evaluation result
MAX_STACK_DEPTH = 200  # nested Jsonnet calls
TIME_LIMIT_S = 1.2
MEMORY_LIMIT_BYTES = 96 << 20  # beyond what the process uses already


@dataclass(frozen=True, slots=True)
class EvaluatedFile:
    """The value of a file, and its source texts by path relative to its folder."""

    value: Any
    main_name: str
    sources: dict[str, str]
    digest: str


class Reader:
    """Reads each file once, and detects files that were replaced meanwhile."""

    def __init__(self, path: Path) -> None:
        self.folder = Path(os.path.realpath(path)).parent
        self.texts: dict[Path, bytes] = {}
        self._identities: dict[Path, tuple[int, int, int]] = {}

    def read(self, path: Path) -> bytes:
        """Return the bytes of a file of the folder; a file that was read before is not read again.

        Raises `ValueError` where the file is outside the folder, missing, too large or changes meanwhile, or
        where more than `MAX_FILES` files are read.
        """
        real = Path(os.path.realpath(path))
        if real in self.texts:
            return self.texts[real]
        if not real.is_relative_to(self.folder):
            raise ValueError(f"import {path.name!r}: outside the folder of the file")
        if len(self.texts) >= MAX_FILES:
            raise ValueError(f"more than {MAX_FILES} files are imported")
        if not os.path.isfile(real):
            raise ValueError(f"{path.name}: no such file")
        with open(real, "rb") as file:
            before = os.fstat(file.fileno())
            text = file.read(MAX_FILE_BYTES + 1)
            after = os.fstat(file.fileno())
        if len(text) > MAX_FILE_BYTES:
            raise ValueError(f"{path.name}: larger than {MAX_FILE_BYTES >> 20} MB")
        if _identity(before) != _identity(after) or len(text) != after.st_size:
            raise ValueError(f"{path.name}: changed while it was read")
        self.texts[real], self._identities[real] = text, _identity(after)
        return text

    def verify(self) -> None:
        """Raise `ValueError` where a file was replaced, so that old and new files may have been mixed."""
        for path, expected in self._identities.items():
            try:
                current = _identity(os.stat(path))
            except OSError:
                current = (0, 0, 0)
            if current != expected:
                raise ValueError(f"{path.name}: changed while the file was read")


def _identity(status: os.stat_result) -> tuple[int, int, int]:
    return status.st_ino, status.st_size, status.st_mtime_ns


def evaluate(path: Path) -> EvaluatedFile:
    """Evaluate a file; raises `OperatorFileError` for every fault.

    Call `set_resource_limits` first where the file is not trusted.
    """
    reader = Reader(path)

    def load(folder: str, name: str) -> tuple[str, bytes]:
        if os.path.isabs(name):
            raise ValueError(f"import {name!r}: outside the folder of the file")
        import_path = Path(folder or reader.folder) / name
        return str(import_path), reader.read(import_path)

    try:
        main = Path(os.path.realpath(path))
        source = reader.read(main).decode()
        text = _jsonnet.evaluate_snippet(
            str(main), source, import_callback=load, max_stack=MAX_STACK_DEPTH, max_trace=4
        )
        if len(text) > MAX_JSON_BYTES:
            raise ValueError(f"its value is larger than {MAX_JSON_BYTES >> 20} MB as JSON")
        value = json.loads(text, parse_constant=_reject_constant)
        reader.verify()
    except OSError as error:
        raise OperatorFileError([Fault("", f"{path}: {error.strerror}")]) from error
    except UnicodeDecodeError as error:
        raise OperatorFileError([Fault("", f"{path}: not UTF-8")]) from error
    except RecursionError as error:
        raise OperatorFileError([Fault("", f"{path}: nested too deeply")]) from error
    except MemoryError as error:
        raise OperatorFileError([Fault("", f"{path}: its evaluation takes too much memory")]) from error
    except ValueError as error:
        raise OperatorFileError([Fault("", str(error))]) from error
    except RuntimeError as error:
        raise OperatorFileError([_evaluation_fault(str(error), reader)]) from error
    digest = hashlib.blake2b(digest_size=8)
    for name, source_bytes in sorted(reader.texts.items()):
        digest.update(str(name.relative_to(reader.folder)).encode() + b"\0" + source_bytes + b"\0")
    sources = {
        str(name.relative_to(reader.folder)): source_bytes.decode(errors="replace")
        for name, source_bytes in reader.texts.items()
    }
    return EvaluatedFile(value, main.name, sources, digest.hexdigest())


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant}: a finite number was expected")


def _evaluation_fault(text: str, reader: Reader) -> Fault:
    """Return the first line of a Jsonnet error message as a fault, with the location in the file."""
    folder = str(reader.folder)
    names = {str(path.relative_to(folder)) for path in reader.texts}
    lines = [line.strip() for line in text.strip().splitlines()]
    reason = lines[0]
    for prefix in ("STATIC ERROR: ", "RUNTIME ERROR: "):
        reason = reason.removeprefix(prefix)
    location = ""
    for line in [reason, *lines[1:]]:
        position = line.find(folder + "/")
        candidate = (
            line[position + len(folder) + 1 :].split("\t")[0].split(" ")[0].rstrip(":")
            if position >= 0
            else ""
        )
        if candidate.partition(":")[0] in names:
            location = candidate
            break
    name, _, line_range = location.partition(":")
    line_number = line_range.lstrip("(").split(":")[0].split("-")[0]
    if reason.startswith(f"{folder}/{name}:"):
        reason = reason.split(": ", 1)[-1]
    reason = reason.replace(folder + "/", "")
    if reason.startswith("couldn't open import"):
        reason = reason.partition(": ")[2].removeprefix("[Errno 2] ")
    return Fault("", reason, f"{name}:{line_number}" if line_number.isdigit() else name)


def set_resource_limits(memory: int = MEMORY_LIMIT_BYTES, time: float = TIME_LIMIT_S) -> None:
    """Limit this process: SIGALRM ends it after `time` seconds; it can allocate `memory` more bytes."""
    with open("/proc/self/statm") as file:
        data_bytes = int(file.read().split()[5]) * resource.getpagesize()
    resource.setrlimit(resource.RLIMIT_DATA, (data_bytes + memory, resource.RLIM_INFINITY))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, time)


def clear_resource_limits() -> None:
    """Clear the limits that `set_resource_limits` set."""
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    _, hard_limit = resource.getrlimit(resource.RLIMIT_DATA)
    resource.setrlimit(resource.RLIMIT_DATA, (hard_limit, hard_limit))
