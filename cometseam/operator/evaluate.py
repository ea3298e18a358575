"""Evaluates a Jsonnet file within bounds of time, memory, depth and size, and remembers what was read.

Imports stay within the folder of the file; what is read is read once and must be the same at the end. The
bounds hold for a process of its own (`set_resource_limits`): a file that loops or makes a gigabyte ends that
process and nothing else.
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

MAX_FILE_BYTES = 1 << 20  # of one file
MAX_FILES = 64
MAX_JSON_BYTES = 16 << 20  # bytes of the JSON that the file comes to
MAX_STACK_DEPTH = 200  # calls within calls
TIME_LIMIT_S = 1.2  # s
MEMORY_LIMIT_BYTES = 96 << 20  # bytes beyond what the process held


@dataclass(frozen=True, slots=True)
class EvaluatedFile:
    """The value of a file, and the texts that it came from, by path from its folder."""

    value: Any
    main_name: str
    sources: dict[str, str]
    digest: str


class Reader:
    """Reads each file once, and tells at the end whether one was replaced meanwhile."""

    def __init__(self, path: Path) -> None:
        self.folder = Path(os.path.realpath(path)).parent
        self.texts: dict[Path, bytes] = {}
        self._identities: dict[Path, tuple[int, int, int]] = {}

    def read(self, path: Path) -> bytes:
        """Read a file of the folder."""
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
        """Raise where a file is no longer the one that was read: half of an old set and half of a new one."""
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
    """Evaluate a file; what is wrong is `OperatorFileError`. Within `set_resource_limits` where the file is
    not to be trusted."""
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
            raise ValueError(f"it comes to more than {MAX_JSON_BYTES >> 20} MB")
        value = json.loads(text, parse_constant=_reject_constant)
        reader.verify()
    except OSError as error:
        raise OperatorFileError([Fault("", f"{path}: {error.strerror}")]) from error
    except UnicodeDecodeError as error:
        raise OperatorFileError([Fault("", f"{path}: not UTF-8")]) from error
    except RecursionError as error:
        raise OperatorFileError([Fault("", f"{path}: nested too deeply")]) from error
    except MemoryError as error:
        raise OperatorFileError([Fault("", f"{path}: it took too much memory")]) from error
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
    """Return the one line that matters of what the evaluation says, with its place."""
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
    """Bound this process: past `time` s an alarm ends it, past `memory` bytes more it gets none."""
    with open("/proc/self/statm") as file:
        data_bytes = int(file.read().split()[5]) * resource.getpagesize()
    resource.setrlimit(resource.RLIMIT_DATA, (data_bytes + memory, resource.RLIM_INFINITY))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, time)


def clear_resource_limits() -> None:
    """End the bounds that `set_resource_limits` set."""
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    _, hard_limit = resource.getrlimit(resource.RLIMIT_DATA)
    resource.setrlimit(resource.RLIMIT_DATA, (hard_limit, hard_limit))
