"""Limits that hold for the whole fleet, shared out among its fronts; without I/O. The public door."""

from cometseam.limits.coordinator import Ask, Coordinator, Grant
from cometseam.limits.fair import fair
from cometseam.limits.share import Share
from cometseam.limits.terms import Refused, Sharing

__all__ = ["Ask", "Coordinator", "Grant", "Refused", "Share", "Sharing", "fair"]
