"""Starts the front, or with words on the command line one of the commands of `cometseam.cli`."""

import sys

from cometseam import signals


def main() -> int:
    """Serve; the command line is imported only where there is one, since serving needs none of it."""
    if len(sys.argv) == 1:
        signals.install_handlers()
        from cometseam.serving import serve  # takes a while, in which signals may come

        return serve()
    from cometseam.cli import run_commands

    return run_commands()


if __name__ == "__main__":
    sys.exit(main())
