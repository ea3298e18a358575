"""Discovery: polls that tell of changes to the endpoints and of purges, each event once and in order.

`schedule` and `sequence` decide, without I/O; `connection` holds one socket; `client` puts them together.
"""

from cometseam.discovery.client import DiscoveryClient
from cometseam.discovery.schedule import PollSchedule, PollTerms
from cometseam.discovery.sequence import Accepted, EventSequence

__all__ = ["Accepted", "DiscoveryClient", "EventSequence", "PollSchedule", "PollTerms"]
