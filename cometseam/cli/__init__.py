"""The command line. It decides nothing: commands ask the packages that do, and print what they say."""

from cometseam.cli.main import run_commands

__all__ = ["run_commands"]
