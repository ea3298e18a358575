"""Limits that hold for the whole fleet, shared out among its fronts; without I/O. The public door."""

from cometseam.limits.coordinator import CapacityGrant, Coordinator, DemandReport
from cometseam.limits.fair import max_min_fair_shares
from cometseam.limits.front_share import FrontShares
from cometseam.limits.terms import SharingTerms, SharingTermsError

__all__ = [
    "CapacityGrant",
    "Coordinator",
    "DemandReport",
    "FrontShares",
    "SharingTerms",
    "SharingTermsError",
    "max_min_fair_shares",
]
