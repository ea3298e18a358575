"""What an operator's plan sets for a pull: timeouts, retry waits, hedge delays and retry budgets. No I/O.

A pull is a client's request; a relay is one attempt of it. The decision module (`cometseam.logic`) makes
every decision on a pull and asks here what the pull's plan says. Public: `ActivePlans` and the functions of
`retry_policy` for that module, and `RouteTable` and `RouteKey` for the code that receives pulls. Not imported
here, since serving does not need them: `intervals` (what a route matches), `tree_builder` (the search trees
over the routes) and `validate` (whether a plan keeps the rules).
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
