"""This front's share of a limit that the fronts of a fleet divide among them. No I/O.

Separate from `cometseam.limits`, which divides the limits and which a front without a fleet does not import.
"""

DEMAND_DECAY = 0.8  # a reported demand is at least this share of the last one


class CapacityShare:
    """A share that was leased for a time, and after that the lesser of it and an equal share.

    Shares are 0 to 1, times are in ms. Capacity that is leased to no front covers the equal shares, so a
    front that has never had a lease uses its equal share. Only the latest lease and its end are stored.
    """

    __slots__ = ("equal_share", "last_demand", "leased_share", "leased_until", "peak_used", "rejected")

    def __init__(self, equal_share: float) -> None:
        """Start without a lease; `equal_share`: the share of each front when nobody divides the limit."""
        self.equal_share, self.leased_share, self.leased_until = equal_share, float("inf"), 0.0
        self.rejected, self.peak_used = 0, 0.0  # rejected sends and the largest use since `reset_usage`
        self.last_demand = 0.0  # the last result of `smooth_demand`

    def apply_lease(self, share: float, ttl: float, now: float) -> None:
        """Apply a lease of `share` for `ttl` ms.

        The share is never 0, which callers would divide by or read as "no limit".
        """
        self.leased_share, self.leased_until = max(share, 1e-9), now + ttl

    def share_at(self, now: float) -> float:
        """Return the share that this front may use."""
        return self.leased_share if now < self.leased_until else min(self.leased_share, self.equal_share)

    def fits(self, used: float, limit: float, now: float) -> bool:
        """Return whether this front may use `used` of `limit`; a rejection counts towards its demand."""
        is_within = used <= limit * self.share_at(now)
        self.rejected += not is_within
        self.peak_used = max(self.peak_used, used) if is_within else self.peak_used
        return is_within

    def smooth_demand(self, demand: float) -> float:
        """Return the demand to report: it rises at once and falls by at most a fifth per report.

        Capacity that a front gives up stays reserved for a window before another front can use it, so a
        demand that followed every short-term change would leave the difference unused. A demand that dropped
        to nothing would put the front back on its equal share.
        """
        self.last_demand = max(demand, DEMAND_DECAY * self.last_demand)
        return self.last_demand

    def reset_usage(self) -> tuple[bool, float]:
        """Return whether sends were rejected and the largest use since the last call, and reset both."""
        usage = self.rejected > 0, self.peak_used
        self.rejected, self.peak_used = 0, 0.0
        return usage
