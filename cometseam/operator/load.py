"""Loads the operator's file: here, for commands that only look at it; in a child, for a front that serves.

The child evaluates within bounds of time and memory and checks all; whatever the file does to it, the front
only hears that it was refused. Where the platform starts no child, a front is named the file's sealed form
(`compiled_file`), which it reads in its own process without evaluating anything; `load_for_front` and
`load_for_front_async` choose by the name.
"""

import json
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread
from anyio.lowlevel import current_token

from cometseam.operator.compiled import CompiledConfig, Fault, OperatorFileError, decode_compiled
from cometseam.operator.compiled_file import is_compiled_file, load_compiled_file

EVALUATION = 1.8  # s for the child to come up and evaluate
CHILD_TIMEOUT_S = 20.0  # s for all, the tree over ten thousand routes included
MOST = 64 << 20  # bytes that a child may write


@dataclass(frozen=True, slots=True)
class LoadedFile:
    """A file that can be used, with all that `render` and `explain` tell of it."""

    compiled: CompiledConfig
    compiler: Any  # `compile.Compiler`; a front never holds one
    network_intervals: list[Any]


def load(path: Path, settings: dict[str, Any]) -> LoadedFile:
    """Evaluate and check a file here; `settings` is the object of that name in the configuration."""
    from cometseam.json_section import Section
    from cometseam.operator.compile import Compiler
    from cometseam.operator.evaluate import evaluate
    from cometseam.operator.locate import locate
    from cometseam.operator.platform import Platform
    from cometseam.operator.schema import make_fault, validate_file
    from cometseam.settings import read_name_tables, read_network_settings, read_settings

    section = Section(settings, "settings")
    platform = Platform(read_settings(section), read_name_tables(section), read_network_settings(section))
    evaluated = evaluate(path)

    def file_error(found_faults: list[tuple[tuple[str | int, ...], str]]) -> OperatorFileError:
        faults = []
        for key, reason in found_faults:
            line = locate(evaluated.sources[evaluated.main_name], key)
            faults.append(
                make_fault(key, reason, f"{evaluated.main_name}:{line}" if line else evaluated.main_name)
            )
        return OperatorFileError(faults)

    file, found_faults = validate_file(evaluated.value)
    if file is None:
        raise file_error(found_faults)
    compiler = Compiler(file, platform)
    if compiler.faults:
        raise file_error(compiler.faults)
    compiled, networks = compiler.build(evaluated.digest)
    return LoadedFile(compiled, compiler, networks)


def child_main() -> int:
    """Be the child: a question on standard input, the answer on standard output."""
    from cometseam.operator import compiled as compiled
    from cometseam.operator import evaluate as evaluation

    request = json.loads(sys.stdin.buffer.read())
    import cometseam.operator.compile  # before the bounds: what the libraries take is not the file's doing

    assert cometseam.operator.compile is not None
    evaluate_unlimited = evaluation.evaluate

    def evaluate_limited(path: Path) -> evaluation.EvaluatedFile:
        evaluation.set_resource_limits()
        try:
            return evaluate_unlimited(path)
        finally:
            evaluation.clear_resource_limits()

    evaluation.evaluate = evaluate_limited
    try:
        loaded = load(Path(request["path"]), request["settings"])
        response = b"+" + compiled.encode_compiled(loaded.compiled, loaded.network_intervals)
    except OperatorFileError as error:
        faults = [[fault.path, fault.reason, fault.location] for fault in error.faults]
        response = b"-" + json.dumps(faults).encode()
    sys.stdout.buffer.write(response)
    return 0


COMMAND = [sys.executable, "-m", "cometseam.operator"]


def _child_request(path: Path, settings: dict[str, Any]) -> bytes:
    return json.dumps({"path": str(path), "settings": settings}).encode()


def _decode_response(path: Path, status: int, response: bytes, stderr: bytes) -> CompiledConfig:
    if status == 0 and response[:1] == b"+":
        return decode_compiled(response[1:])
    if status == 0 and response[:1] == b"-":
        raise OperatorFileError([Fault(*fault) for fault in json.loads(response[1:])])
    if status == -signal.SIGALRM:
        reason = "its evaluation takes too long"
    elif status in (-signal.SIGABRT, -signal.SIGSEGV, -signal.SIGKILL) or b"MemoryError" in stderr:
        reason = "its evaluation takes too much memory, or is nested too deeply"
    else:
        reason = f"it could not be checked: {stderr.decode(errors='replace').strip().splitlines()[-1:]}"
    raise OperatorFileError([Fault("", f"{path.name}: {reason}")])


def _cannot_start_child(path: Path, error: OSError) -> OperatorFileError:
    """Guards against a platform that refuses to start processes (ENOSYS, EPERM, EAGAIN from fork or exec)."""
    reason = (
        f"no child can be started here ({error.strerror}): name its sealed form, `cometseam check --seal`"
    )
    return OperatorFileError([Fault("", f"{path.name}: {reason}")])


def load_in_child(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load a file in a child, and wait for it: at the start, when nothing is served yet."""
    try:
        done = subprocess.run(
            COMMAND,
            input=_child_request(path, settings),
            capture_output=True,
            timeout=CHILD_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise OperatorFileError([Fault("", f"{path.name}: its checks take too long")]) from error
    except OSError as error:
        raise _cannot_start_child(path, error) from error
    return _decode_response(path, done.returncode, done.stdout, done.stderr)


async def load_in_child_async(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load a file in a child beside what is served; cancelled, or past its time, the child is ended."""
    with anyio.move_on_after(CHILD_TIMEOUT_S):
        try:
            done = await anyio.run_process(COMMAND, input=_child_request(path, settings), check=False)
        except OSError as error:
            raise _cannot_start_child(path, error) from error
        return _decode_response(path, done.returncode, done.stdout, done.stderr)
    raise OperatorFileError([Fault("", f"{path.name}: its checks take too long")])


def load_for_front(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load the file that a front is named at its start: a sealed form here, Jsonnet in a child."""
    return load_compiled_file(path, settings) if is_compiled_file(path) else load_in_child(path, settings)


async def load_for_front_async(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load it anew beside what is served: a sealed form on a worker thread, so that the loop goes on."""
    if is_compiled_file(path):
        return await _run_in_thread(lambda: load_compiled_file(path, settings))
    return await load_in_child_async(path, settings)


async def _run_in_thread(work: Callable[[], CompiledConfig]) -> CompiledConfig:
    """Do some work on a thread; cancelled, it is left behind, and the process ends without it.

    Guards the end of a front against a file whose reading hangs: a pool's worker threads are joined then.
    """
    token, finished = current_token(), anyio.Event()
    outcome: list[CompiledConfig | BaseException] = []

    def run() -> None:
        try:
            outcome.append(work())
        except BaseException as error:
            outcome.append(error)
        with suppress(anyio.RunFinishedError):  # nobody waits any more: the front has ended
            anyio.from_thread.run_sync(finished.set, token=token)

    threading.Thread(target=run, name="operator's file", daemon=True).start()
    await finished.wait()
    if isinstance(outcome[0], BaseException):
        raise outcome[0]
    return outcome[0]
