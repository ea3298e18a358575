"""Starts the front, or, with command line arguments, a command of `cometseam.cli`."""

import sys

from cometseam import signals


def main() -> int:
    """Serve, or run a command; the command line modules are imported only if they are needed."""
    if len(sys.argv) == 1:
        signals.install_handlers()
        from cometseam.serving import serve  # a slow import, during which signals may arrive

        return serve()
    from cometseam.cli import run_commands

    return run_commands()


if __name__ == "__main__":
    sys.exit(main())
