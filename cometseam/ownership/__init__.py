"""Ownership of fleet work: one owner a task at a time, without I/O. The public door of the package."""

from cometseam.ownership.fence import Fence, Verdict
from cometseam.ownership.machine import Change, Owner, Refused, State, Terms

__all__ = ["Change", "Fence", "Owner", "Refused", "State", "Terms", "Verdict"]
