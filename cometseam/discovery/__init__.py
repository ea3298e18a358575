"""Client of the discovery service: long polls that report endpoint changes and purges.

Each event is delivered once and in order. `schedule`, `sequence` and `confirmation` make the decisions and do
no I/O; `connection` owns one socket; `client` combines them.
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
