"""What the operator sets for routes: which plan a pull gets, its times, its waits and its budgets. No I/O.

The module (`cometseam.logic`) takes every decision on a pull; it asks here what the plan says. Public:
`Ledger` and the functions of `pace` for the module, `Table` and `Sight` for the door that takes pulls in,
and, not imported from here since serving needs none of it, `routes` (what a route matches), `grow` (the
tree that finds it) and `prove` (whether a plan keeps the rules).
"""

from cometseam.timing.budget import SLICES, Account, Budget, Ledger
from cometseam.timing.pace import NO_PLAN, goes_on, second_after, time_out, times, wait
from cometseam.timing.part import Part
from cometseam.timing.table import Sight, Table, whole_address, whole_size

__all__ = [
    "NO_PLAN", "SLICES", "Account", "Budget", "Ledger", "Part", "Sight", "Table", "goes_on", "second_after",
    "time_out", "times", "wait", "whole_address", "whole_size",
]  # fmt: skip
