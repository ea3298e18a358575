"""Seeded soak test: runs real front processes against simulated peers and injects overlapping faults.

Everything observed goes into one history, and a checker verifies the rules of the service on it. `plan` and
`checker` do no I/O; `engine` runs one seed. The serving code imports none of this package. In histories and
rules a request is what a client sends, and an attempt is one relay of it to an endpoint.
"""

from cometseam.soak.checker import Rule, Violation, check
from cometseam.soak.engine import Outcome, run_seed
from cometseam.soak.history import History
from cometseam.soak.plan import Fault, Kind, SoakTerms, draw

__all__ = [
    "Fault", "History", "Kind", "Outcome", "Rule", "SoakTerms", "Violation", "check", "draw", "run_seed",
]  # fmt: skip
