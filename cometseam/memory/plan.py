"""Divides the memory limit among what the process keeps. All sizes are in bytes."""

from dataclasses import dataclass

# Share of the limit that is planned for; the rest is left for what the sizes below underestimate.
USABLE_SHARE = 0.95
# The decision module's request history at its largest.
HISTORY_BYTES = 3584 << 10
# What the program takes once it serves: a short endpoint list, discovery, logs, unused parts of pages.
OVERHEAD_BYTES = 2 << 20
# What the rest is divided by for the pool of buffers; the other part is for requests and connections.
POOL_DIVISOR = 2
# The smallest parts, where the limit is hardly more than the program itself takes.
MIN_POOL_BYTES = 1 << 19
MIN_REQUEST_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The parts of the memory limit that grow with input, in bytes."""

    pool_bytes: int  # the buffers of messages
    request_bytes: int  # requests, as far as they are not in buffers, and connections


def plan_memory(limit: int, used_at_start: int) -> MemoryPlan:
    """Divide the memory limit.

    Args:
        limit: the memory that the process may use.
        used_at_start: what it uses before it has accepted a connection.
    """
    left = int(USABLE_SHARE * limit) - used_at_start - HISTORY_BYTES - OVERHEAD_BYTES
    pool_bytes = max(left // POOL_DIVISOR, MIN_POOL_BYTES)
    return MemoryPlan(pool_bytes, max(left - pool_bytes, MIN_REQUEST_BYTES))
