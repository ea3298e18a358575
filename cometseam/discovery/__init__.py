"""Discovery: polls that tell of changes to the endpoints and of purges, each event once and in order.

`schedule`, `sequence` and `confirmation` decide, without I/O; `connection` holds one socket; `client` puts
them together.
"""

from cometseam.discovery.client import DiscoveryClient
from cometseam.discovery.confirmation import ConfirmationPolicy, ConfirmationTracker, Confirmed
from cometseam.discovery.schedule import PollPolicy, PollSchedule
from cometseam.discovery.sequence import AcceptResult, EventSequence

__all__ = [
    "AcceptResult",
    "ConfirmationPolicy",
    "ConfirmationTracker",
    "Confirmed",
    "DiscoveryClient",
    "EventSequence",
    "PollPolicy",
    "PollSchedule",
]
