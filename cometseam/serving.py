"""Serves as a front: reads the configuration and the operator's file, then runs until SIGTERM."""

import sys

import anyio

from cometseam.config import OPERATOR_VARIABLE, read_config
from cometseam.events import to_stderr
from cometseam.operator import Compiled, Refused
from cometseam.program import run
from cometseam.reading import Faulty


def serve() -> int:
    """Run until SIGTERM; what can't be used of the configuration ends it with a line each and status 2."""
    compiled: Compiled | None = None
    try:
        config = read_config()
    except Faulty as error:
        print(f"cometseam: configuration: {error}", file=sys.stderr)
        return 2
    if config.operator is not None:
        from cometseam.operator.load import for_front

        try:
            compiled = for_front(config.operator, config.told)
        except Refused as refused:
            for fault in refused.faults:
                print(f"cometseam: {OPERATOR_VARIABLE}: {fault}", file=sys.stderr)
            return 2
    to_stderr(config.log_level, config.log_form)
    try:
        anyio.run(run, config, compiled, backend_options={"use_uvloop": True})
    except OSError as error:
        print(f"cometseam: {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    return 0
