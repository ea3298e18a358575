"""This front's part of one shared limit, as its decisions hold it; without I/O.

Apart from `cometseam.limits`, which shares out and which a front without a fleet does not import.
"""

FALL = 0.8  # of the last wish that is left at most one ask later


class CapacityShare:
    """A part that was granted for a time, then the lesser of that and an equal part (0 to 1; times in ms).

    What is granted to nobody else stays the equal part's: without any grant a front goes by that. Empties
    itself: one number and its end, whatever was granted before.
    """

    __slots__ = ("equal_share", "last_demand", "leased_share", "leased_until", "peak_used", "rejected")

    def __init__(self, equal: float) -> None:
        """`equal`: what each front has where nobody shares the limit out."""
        self.equal_share, self.leased_share, self.leased_until = equal, float("inf"), 0.0
        self.rejected, self.peak_used = 0, 0.0  # sends barred, and the most used, since this was last asked
        self.last_demand = 0.0  # by the last ask; see `smooth_demand`

    def apply_lease(self, part: float, lasts: float, now: float) -> None:
        """Take a grant in. Never 0: what divides by a part, or reads 0 as no limit, must not be misled."""
        self.leased_share, self.leased_until = max(part, 1e-9), now + lasts

    def share_at(self, now: float) -> float:
        """Tell the part that this front may use."""
        return self.leased_share if now < self.leased_until else min(self.leased_share, self.equal_share)

    def fits(self, used: float, whole: float, now: float) -> bool:
        """Tell whether this front may use so much of a limit; what was barred counts for its wish."""
        well = used <= whole * self.share_at(now)
        self.rejected += not well
        self.peak_used = max(self.peak_used, used) if well else self.peak_used
        return well

    def smooth_demand(self, wish: float) -> float:
        """Return what to wish for: it rises at once and falls by a fifth an ask.

        What a front gives up weighs for a window before anybody else has it, so a wish that follows each
        moment's use ties up the difference; and one that vanishes sets the front back to its equal part.
        """
        self.last_demand = max(wish, FALL * self.last_demand)
        return self.last_demand

    def reset_usage(self) -> tuple[bool, float]:
        """Return whether sends were barred and the most that was used since the last call; forget both."""
        told = self.rejected > 0, self.peak_used
        self.rejected, self.peak_used = 0, 0.0
        return told
