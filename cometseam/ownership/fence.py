"""The target's side of fencing: an effect carries its owner's token, and a target refuses one older than it
has seen.

The owner's own clock keeps it from acting late in all but one case: it checked, was paused or delayed, and
its effect arrived after a newer owner's. Only the target can refuse that one (Chubby's sequencers; fencing
tokens). A fence keeps, for each task, the highest token that it has let through; an effect with a lower token
is stale and is refused. An equal token is the same owner's and passes, but only under the same name: two
owners with one token can't come of one service, only of two that both think they are it (a member cut off and
served on its own, a cluster restored from a backup beside the one that runs), and then the one heard first
stands. The table holds one entry a task; tasks are named by the operator's file, so it is bounded by it;
`forget` empties an entry when a task is dropped.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FenceDecision:
    """What a fence said of one effect: let through or not, and the highest token it knew then."""

    passed: bool
    highest_token: int


class Fence:
    """Highest tokens by task; `enforce=False` lets all through (to show what fencing guards against)."""

    def __init__(self, enforce: bool = True) -> None:
        self.enforce = enforce
        self.highest_tokens: dict[str, int] = {}
        self.owner_names: dict[str, str] = {}  # whose the highest token is, where owners tell
        self.token_conflicts = 0  # effects refused since another owner came with the same token

    def admit(self, task: str, token: int, name: str = "") -> FenceDecision:
        """Judge an effect of `task` with `token` from `name`; a token of 0 or less is no owner's: refused."""
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
        """Drop a task that is no longer named."""
        self.highest_tokens.pop(task, None)
        self.owner_names.pop(task, None)
