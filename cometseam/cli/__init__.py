"""The command line: each command calls the package that does the work and prints the result.

A pull is a client's request; a relay is one attempt of a pull at an endpoint.
"""

from cometseam.cli.main import run_commands

__all__ = ["run_commands"]
