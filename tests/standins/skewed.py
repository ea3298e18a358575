"""A front whose clock of leases and grants runs at another rate: `python -m tests.standins.skewed RATE`."""

import sys

from cometseam.__main__ import main
from cometseam.coordination import elect, party


def skew(rate: float) -> None:
    """Have the fleet's part go by a clock that runs `rate` times as fast from now on."""
    true, began = elect.boot_time, elect.boot_time()

    def skewed() -> float:
        return began + rate * (true() - began)

    party.boot_time = elect.boot_time = skewed


if __name__ == "__main__":
    skew(float(sys.argv.pop(1)))
    main()
