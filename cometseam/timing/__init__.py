"""What the operator sets for routes: which plan a pull gets, its times, its waits and its budgets. No I/O.

The module (`cometseam.logic`) takes every decision on a pull; it asks here what the plan says. Public:
`ActivePlans` and the functions of `retry_policy` for the module, `RouteTable` and `RouteKey` for the door
that takes pulls in, and, not imported from here since serving needs none of it, `routes` (what a route
matches), `tree_builder` (the tree that finds it) and `validate` (whether a plan keeps the rules).
"""

from cometseam.timing.capacity_share import CapacityShare
from cometseam.timing.retry_budget import WINDOW_SLICES, ActivePlans, PullBudgets, RetryBudget
from cometseam.timing.retry_policy import (
    NO_PLAN,
    hedge_delay,
    may_retry,
    relay_timeout,
    retry_wait,
    timeout_and_hedge_delay,
)
from cometseam.timing.table import RouteKey, RouteTable, address_number, size_in_bytes

__all__ = [
    "NO_PLAN",
    "WINDOW_SLICES",
    "ActivePlans",
    "CapacityShare",
    "PullBudgets",
    "RetryBudget",
    "RouteKey",
    "RouteTable",
    "address_number",
    "hedge_delay",
    "may_retry",
    "relay_timeout",
    "retry_wait",
    "size_in_bytes",
    "timeout_and_hedge_delay",
]
