"""Ownership of fleet work: one owner a task at a time, without I/O. The public door of the package."""

from cometseam.ownership.bidding import Bidder
from cometseam.ownership.fence import Fence, Verdict
from cometseam.ownership.machine import Change, Owner, Refused, State, Terms
from cometseam.ownership.shared import Tail, Turn
from cometseam.ownership.view import Entry, Told, View

__all__ = [
    "Bidder", "Change", "Entry", "Fence", "Owner", "Refused", "State", "Tail", "Terms", "Told", "Turn",
    "Verdict", "View",
]  # fmt: skip
