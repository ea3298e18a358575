"""Ownership of fleet work: one owner a task at a time, without I/O. The public door of the package."""

from cometseam.ownership.campaigns import CampaignScheduler
from cometseam.ownership.fence import Fence, FenceDecision
from cometseam.ownership.key_range import KeyChange, KeyEntry, KeyRangeView
from cometseam.ownership.log_sharing import LogPollGate, LogTail
from cometseam.ownership.machine import Ownership, OwnershipTerms, OwnershipTermsError, State, StateChange

__all__ = [
    "CampaignScheduler",
    "Fence",
    "FenceDecision",
    "KeyChange",
    "KeyEntry",
    "KeyRangeView",
    "LogPollGate",
    "LogTail",
    "Ownership",
    "OwnershipTerms",
    "OwnershipTermsError",
    "State",
    "StateChange",
]
