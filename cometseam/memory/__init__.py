"""Decides how the process's memory is divided, and which requests it has room for. Nothing here does I/O.

The process is killed once it is over its memory limit, with all that it has accepted. So everything that
grows with input has a bound, and the bounds together stay under the limit (docs/memory.md).
"""

from cometseam.memory.plan import MemoryPlan, plan_memory
from cometseam.memory.request_budget import CONNECTION_BYTES, REQUEST_BYTES, ClientAccount, RequestBudget

__all__ = ["CONNECTION_BYTES", "REQUEST_BYTES", "ClientAccount", "MemoryPlan", "RequestBudget", "plan_memory"]
