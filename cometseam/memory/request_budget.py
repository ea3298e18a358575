"""The memory that requests and connections may use, and each client's part of it.

A request is accepted only while there is memory for it, and is shed at once otherwise. Scarce memory is
shared by a dynamic threshold (Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet
Switches", 1998): a client may hold a fixed share of what is still free. One client alone gets a fifth of all;
of many that ask for all they can get, each has about an equal part, and four times that is left for the next.
"""

import math

from cometseam.counters import COUNTERS, check_invariant
from cometseam.memory.plan import MIN_REQUEST_BYTES

# What an open request takes beside its payload: its objects here and in the decision module, its attempt,
# its timers and its answer.
REQUEST_BYTES = 7168
# What a connection takes: its socket, task and state.
CONNECTION_BYTES = 9216
# A client may hold at most this share of the memory that is still free.
CLIENT_SHARE = 0.25


class RequestBudget:
    """The memory of all requests and connections; without a capacity it is unlimited."""

    def __init__(self, capacity: float = math.inf) -> None:
        self.capacity = capacity  # in bytes; may be changed at any time
        self.in_use = 0  # by requests
        self._connections = 0

    @property
    def available(self) -> float:
        """Return how many bytes requests may still take; negative after the capacity was reduced."""
        for_requests = self.capacity - self._connections * CONNECTION_BYTES
        return max(for_requests, MIN_REQUEST_BYTES) - self.in_use

    def add_connection(self) -> None:
        """Count a new connection, whose memory is not available to requests."""
        self._connections += 1

    def remove_connection(self) -> None:
        """Count a connection as closed."""
        self._connections -= 1
        check_invariant(self._connections >= 0, "a connection is closed once")


class ClientAccount:
    """One client's part of the budget."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: RequestBudget) -> None:
        self._budget = budget
        self.held = 0  # bytes

    def reserve(self, size: int) -> bool:
        """Reserve memory for a request of `size` bytes; return False if the client may hold no more now."""
        budget = self._budget
        if self.held + size > CLIENT_SHARE * budget.available:
            return False
        self.held += size
        budget.in_use += size
        COUNTERS.record_max("requests.bytes", budget.in_use)
        return True

    def release(self, size: int) -> None:
        """Return what `reserve` has reserved for a request."""
        self.held -= size
        self._budget.in_use -= size
        check_invariant(self.held >= 0 and self._budget.in_use >= 0, "a request's memory is released once")
