"""Runs a front whose clock of leases and grants has another rate: `python -m tests.standins.skewed RATE`."""

import sys

from cometseam.__main__ import main
from cometseam.coordination import election, fleet_member


def skew(rate: float) -> None:
    """Replace the clock of the fleet's modules by one that runs `rate` times as fast from now on."""
    boot_time, started_at = election.boot_time, election.boot_time()

    def skewed() -> float:
        return started_at + rate * (boot_time() - started_at)

    fleet_member.boot_time = election.boot_time = skewed


if __name__ == "__main__":
    skew(float(sys.argv.pop(1)))
    main()
