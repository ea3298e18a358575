"""Ownership of fleet tasks: one owner per task at a time, elected by leases and fencing tokens. No I/O."""

from cometseam.ownership.campaigns import CampaignScheduler
from cometseam.ownership.fence import Fence, FenceDecision
from cometseam.ownership.key_range import KeyChange, KeyEntry, KeyRangeView
from cometseam.ownership.log_sharing import LogPollGate, LogSource, LogTail
from cometseam.ownership.machine import Ownership, OwnershipTerms, OwnershipTermsError, State, StateChange

__all__ = [
    "CampaignScheduler",
    "Fence",
    "FenceDecision",
    "KeyChange",
    "KeyEntry",
    "KeyRangeView",
    "LogPollGate",
    "LogSource",
    "LogTail",
    "Ownership",
    "OwnershipTerms",
    "OwnershipTermsError",
    "State",
    "StateChange",
]
