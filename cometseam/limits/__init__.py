"""Divides fleet-wide limits among the fronts: demand reports, capacity grants and the shares that follow.

The package does no I/O; `cometseam.coordination` carries its reports and grants.
"""

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
