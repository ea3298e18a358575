"""Starts the front."""

import sys

import anyio
from loguru import logger

from cometseam.config import read_config
from cometseam.program import run
from cometseam.reading import Faulty


def main() -> int:
    """Run until SIGTERM; a configuration that can't be used ends it with one line and status 2."""
    try:
        config = read_config()
    except Faulty as error:
        print(f"cometseam: configuration: {error}", file=sys.stderr)
        return 2
    logger.remove()
    logger.add(sys.stderr, level=config.log_level, backtrace=False, diagnose=False,
               format="{time:HH:mm:ss.SSS} {level} {message}")  # fmt: skip
    try:
        anyio.run(run, config, backend_options={"use_uvloop": True})
    except OSError as error:
        print(f"cometseam: {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
