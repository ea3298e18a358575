"""The serve command: reads the configuration and the operator's file, then runs the front until SIGTERM."""

import sys

import anyio

from cometseam.config import OPERATOR_VARIABLE, read_config
from cometseam.events import configure_logging
from cometseam.json_section import FieldError
from cometseam.operator import CompiledConfig, OperatorFileError
from cometseam.program import run


def serve() -> int:
    """Run until SIGTERM and return the exit status.

    Status 2 means that the configuration or the operator's file is invalid, with one line on standard error
    per fault; status 1 that a system call failed, as when the listening address is in use.
    """
    compiled: CompiledConfig | None = None
    try:
        config = read_config()
    except FieldError as error:
        print(f"cometseam: configuration: {error}", file=sys.stderr)
        return 2
    if config.operator_file is not None:
        from cometseam.operator.load import load_for_front

        try:
            compiled = load_for_front(config.operator_file, config.raw_settings)
        except OperatorFileError as refused:
            for fault in refused.faults:
                print(f"cometseam: {OPERATOR_VARIABLE}: {fault}", file=sys.stderr)
            return 2
    configure_logging(config.log_level, config.log_format)
    try:
        anyio.run(run, config, compiled, backend_options={"use_uvloop": True})
    except OSError as error:
        print(f"cometseam: {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    return 0
