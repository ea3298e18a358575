"""A seeded soak: real fronts among stand-ins, faults that overlap, one history, and a checker of the rules.

`plan` and `checker` decide without I/O; `engine` runs one seed. Serving imports none of it.
"""

from cometseam.soak.checker import Rule, Violation, check
from cometseam.soak.engine import Outcome, run_seed
from cometseam.soak.history import History
from cometseam.soak.plan import Fault, Kind, SoakTerms, draw

__all__ = [
    "Fault", "History", "Kind", "Outcome", "Rule", "SoakTerms", "Violation", "check", "draw", "run_seed",
]  # fmt: skip
