"""The target's side of fencing: an effect carries its owner's token, and a target refuses one older than it
has seen.

The owner's own clock keeps it from acting late in all but one case: it checked, was paused or delayed, and
its effect arrived after a newer owner's. Only the target can refuse that one (Chubby's sequencers; fencing
tokens). A fence keeps, for each task, the highest token that it has let through; an effect with a lower token
is stale and is refused. An equal token is the same owner's and passes. The table holds one entry a task;
tasks are named by the operator's file, so it is bounded by it; `forget` empties an entry when a task is
dropped.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Verdict:
    """What a fence said of one effect: let through or not, and the highest token it knew then."""

    passed: bool
    highest: int


class Fence:
    """Highest tokens by task; `enforce=False` lets all through (to show what fencing guards against)."""

    def __init__(self, enforce: bool = True) -> None:
        self.enforce = enforce
        self.highest: dict[str, int] = {}

    def admit(self, task: str, token: int) -> Verdict:
        """Judge an effect of `task` with `token`; a token of 0 or less is no owner's, and is refused."""
        known = self.highest.get(task, 0)
        if token <= 0 or (self.enforce and token < known):
            return Verdict(False, known)
        self.highest[task] = max(known, token)
        return Verdict(True, self.highest[task])

    def forget(self, task: str) -> None:
        """Drop a task that is no longer named."""
        self.highest.pop(task, None)
