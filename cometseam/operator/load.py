"""Loads the operator's file: in this process for commands, in a child process for a front.

The child evaluates the file under limits of time and memory and checks it; whatever the file does to the
child, the front only receives an `OperatorFileError`. On a platform without child processes a front is given
a compiled file (`compiled_file`), which it reads in its own process without evaluating anything;
`load_for_front` and `load_for_front_async` choose by the name of the file.
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

EVALUATION_TIMEOUT_S = 1.8  # for the child to start and evaluate
CHILD_TIMEOUT_S = 20.0  # for everything, including the tree over ten thousand routes
MAX_CHILD_OUTPUT_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class LoadedFile:
    """A valid file, with what `render` and `explain` print of it."""

    compiled: CompiledConfig
    compiler: Any  # `compile.Compiler`; untyped, so that a front does not import it
    network_intervals: list[Any]


def load(path: Path, settings: dict[str, Any]) -> LoadedFile:
    """Evaluate and check a file in this process; `settings`: the object of that name in the configuration.

    Raises `OperatorFileError` with every fault found.
    """
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
    """Run the child process: read a request from standard input, write the response to standard output.

    The response is `+` and the output of `encode_compiled`, or `-` and the faults as JSON.
    """
    from cometseam.operator import compiled
    from cometseam.operator import evaluate as evaluation

    request = json.loads(sys.stdin.buffer.read())
    # Imported before the limits are set, so that importing libraries does not count against them.
    import cometseam.operator.compile

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
    """Return the error where the platform starts no process (ENOSYS, EPERM, EAGAIN from fork or exec)."""
    reason = (
        f"no child can be started here ({error.strerror}): use a compiled file, from `cometseam check --seal`"
    )
    return OperatorFileError([Fault("", f"{path.name}: {reason}")])


def load_in_child(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load a file in a child and block until it ends; used at startup, before anything is served."""
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
    """Load a file in a child while the front serves; the child is killed on cancellation or timeout."""
    with anyio.move_on_after(CHILD_TIMEOUT_S):
        try:
            done = await anyio.run_process(COMMAND, input=_child_request(path, settings), check=False)
        except OSError as error:
            raise _cannot_start_child(path, error) from error
        return _decode_response(path, done.returncode, done.stdout, done.stderr)
    raise OperatorFileError([Fault("", f"{path.name}: its checks take too long")])


def load_for_front(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Load the file that a front is given at startup: a compiled file in this process, Jsonnet in a child."""
    return load_compiled_file(path, settings) if is_compiled_file(path) else load_in_child(path, settings)


async def load_for_front_async(path: Path, settings: dict[str, Any]) -> CompiledConfig:
    """Reload the file while the front serves: a compiled file on a thread, to keep the event loop free."""
    if is_compiled_file(path):
        return await _run_in_thread(lambda: load_compiled_file(path, settings))
    return await load_in_child_async(path, settings)


async def _run_in_thread(work: Callable[[], CompiledConfig]) -> CompiledConfig:
    """Run `work` on a daemon thread; on cancellation the thread is abandoned and does not delay process exit.

    A file whose reading hangs must not block the end of a front; worker threads of a pool would be joined
    then.
    """
    token, finished = current_token(), anyio.Event()
    outcome: list[CompiledConfig | BaseException] = []

    def run() -> None:
        try:
            outcome.append(work())
        except BaseException as error:
            outcome.append(error)
        with suppress(anyio.RunFinishedError):  # the front has ended: no task awaits the result
            anyio.from_thread.run_sync(finished.set, token=token)

    threading.Thread(target=run, name="operator's file", daemon=True).start()
    await finished.wait()
    if isinstance(outcome[0], BaseException):
        raise outcome[0]
    return outcome[0]
