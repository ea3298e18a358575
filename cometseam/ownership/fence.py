"""The target's side of fencing: an effect carries its owner's token, and the target rejects a token older
than the newest it has seen.

An effect is an operation that an owner sends to the target on the task's behalf. The owner's own clock keeps
it from acting late in all but one case: it checked its lease, was paused or delayed, and its effect arrived
after a newer owner's. Only the target can reject that one (fencing tokens; Chubby calls them sequencers). A
fence keeps, for each task, the highest token that it has admitted; an effect with a lower token is stale and
is rejected.

An equal token is admitted only from the same owner name. One service never issues one token to two owners;
two owners with one token mean that the service has split (a partitioned member that still serves, a cluster
restored from a backup beside the running one). The owner whose effect arrived first then keeps the token.

The table holds one entry per task, so the operator's file, which names the tasks, bounds it; `forget` removes
the entry of a dropped task.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FenceDecision:
    """Whether an effect was admitted, and the task's highest admitted token after the decision."""

    passed: bool
    highest_token: int


class Fence:
    """Highest tokens by task; `enforce=False` admits every positive token (to show what fencing prevents)."""

    def __init__(self, enforce: bool = True) -> None:
        self.enforce = enforce
        self.highest_tokens: dict[str, int] = {}
        self.owner_names: dict[str, str] = {}  # by task: the highest token's owner; "" if it gave no name
        self.token_conflicts = 0  # effects rejected because another owner had sent the same token before

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
        """Remove the entry of a task, e.g. one that the operator's file no longer names."""
        self.highest_tokens.pop(task, None)
        self.owner_names.pop(task, None)
