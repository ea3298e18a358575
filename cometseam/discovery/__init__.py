"""Discovery: polls that tell of changes to the endpoints and of purges, each event once and in order.

`schedule`, `sequence` and `confirmation` decide, without I/O; `connection` holds one socket; `client` puts
them together.
"""

from cometseam.discovery.client import DiscoveryClient
from cometseam.discovery.confirmation import Confirmation, ConfirmationTerms, Confirmed
from cometseam.discovery.schedule import PollSchedule, PollTerms
from cometseam.discovery.sequence import Accepted, EventSequence

__all__ = [
    "Accepted", "Confirmation", "ConfirmationTerms", "Confirmed", "DiscoveryClient", "EventSequence",
    "PollSchedule", "PollTerms",
]  # fmt: skip
