"""The target's side of fencing: an effect carries its owner's token, and the target rejects a token older
than the newest it has seen.

The owner's own clock keeps it from acting late in all but one case: it checked, was paused or delayed, and
its effect arrived after a newer owner's. Only the target can reject that one (Chubby's sequencers; fencing
tokens). A fence keeps, for each task, the highest token that it has admitted; an effect with a lower token is
stale and is rejected. An equal token is the same owner's and passes, but only under the same name: one
service never issues one token to two owners, so they come of two services that both count as the one (a
member cut off and served on its own, a cluster restored from a backup beside the one that runs), and then the
owner that arrived first keeps the token. The table holds one entry per task; the operator's file names the
tasks, which bounds it; `forget` removes the entry of a dropped task.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FenceDecision:
    """Whether an effect was admitted, and the highest token known then."""

    passed: bool
    highest_token: int


class Fence:
    """Highest tokens by task; `enforce=False` admits everything (to show what fencing guards against)."""

    def __init__(self, enforce: bool = True) -> None:
        self.enforce = enforce
        self.highest_tokens: dict[str, int] = {}
        self.owner_names: dict[str, str] = {}  # the owner of the highest token, where owners give a name
        self.token_conflicts = 0  # effects rejected because another owner came with the same token

    def admit(self, task: str, token: int, name: str = "") -> FenceDecision:
        """Decide on an effect of `task` with `token` from `name`; a token of 0 or less is always rejected."""
        known = self.highest_tokens.get(task, 0)
        if token <= 0 or (self.enforce and token < known):
            return FenceDecision(False, known)
        if self.enforce and token == known and name != self.owner_names.get(task, name):
            self.token_conflicts += 1
            return FenceDecision(False, known)
        if token >= known:
            self.highest_tokens[task], self.owner_names[task] = token, name
        return FenceDecision(True, self.highest_tokens[task])

    def forget(self, task: str) -> None:
        """Drop a task that the operator's file no longer names."""
        self.highest_tokens.pop(task, None)
        self.owner_names.pop(task, None)
