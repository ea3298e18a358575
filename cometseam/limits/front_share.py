"""A front's side of a shared limit: the demand it reports and the share it may use now. No I/O.

Its share of a limit at any time is:

- the granted share, until `front_grant_ttl` ms after the front *sent* the report that the grant answers (not
  after the grant arrived);
- then, for `reduced_period` ms, the smaller of that share and the floor;
- otherwise the floor, `1 / expected_fronts`.

So a front that loses its connection to the coordination service, is paused or has just started knows its
share without communication. Grants are ordered by their coordinator's fencing token, then by their number; a
grant that is not newer than the last applied one is ignored, so a former coordinator that resumes changes
nothing.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from cometseam.limits.coordinator import CapacityGrant, DemandReport
from cometseam.limits.terms import SharingTerms

# Reports whose send time is kept. A grant that answers an older one is ignored as late; it has expired anyway
# unless `grant_ttl` is longer than 32 refresh intervals.
MAX_SENT_TIMES = 32
MAX_LIMITS = 1024  # limits in one report; if there are more, those with the smallest demands are omitted


@dataclass(slots=True)
class ActiveGrant:
    """A share that this front was granted, kept until its reduced period has ended."""

    share: float
    expires_at: float  # ms on the front's clock; the reduced period follows


@dataclass(slots=True)
class FrontShares:
    """One front's shares by limit; `current_share` removes a grant once its reduced period has ended."""

    terms: SharingTerms
    report_number: int = 0  # of the last report
    applied_grant: tuple[int, int] = (0, 0)  # token and number of the newest grant applied
    stale_grants: int = 0  # grants ignored because they were not newer
    late_grants: int = 0  # grants ignored because they had expired or their report's send time is unknown
    clock_regressions: int = 0  # times that the clock was seen to go back
    _last_now: float = 0.0
    _sent_at: "OrderedDict[int, float]" = field(default_factory=OrderedDict)
    _active_grants: dict[str, ActiveGrant] = field(default_factory=dict)

    def make_report(self, demands: dict[str, float], now: float) -> DemandReport:
        """Make the next report, to be sent now; demands are fractions of each limit, 0 to 1."""
        self._check_clock(now)
        self.report_number += 1
        self._sent_at[self.report_number] = now
        while len(self._sent_at) > MAX_SENT_TIMES:
            self._sent_at.popitem(last=False)
        if len(demands) > MAX_LIMITS:
            demands = dict(sorted(demands.items(), key=lambda item: -item[1])[:MAX_LIMITS])
        clamped_demands = {name: min(max(demand, 0.0), 1.0) for name, demand in demands.items()}
        return DemandReport(self.report_number, self.applied_grant, clamped_demands)

    def apply_grant(self, grant: CapacityGrant, now: float) -> bool:
        """Apply a grant unless it is stale or late; return whether it was applied.

        Later reports acknowledge the newest applied grant (`applied_grant`).
        """
        self._check_clock(now)
        if (grant.token, grant.number) <= self.applied_grant:
            self.stale_grants += 1
            return False
        sent_at = self._sent_at.get(grant.report_number)
        if sent_at is None or now >= sent_at + self.terms.front_grant_ttl or now < sent_at:
            # Expired, or from before a restart or a clock regression: the send time is not known.
            self.late_grants += 1
            return False
        self.applied_grant = (grant.token, grant.number)
        for name, share in grant.shares.items():
            self._active_grants[name] = ActiveGrant(share, sent_at + self.terms.front_grant_ttl)
        for name in [name for name in self._active_grants if name not in grant.shares]:
            # No longer granted to this front: it expires now, and the reduced period begins.
            self._active_grants[name].expires_at = min(self._active_grants[name].expires_at, now)
        return True

    def current_share(self, name: str, now: float) -> float:
        """Return this front's share of a limit now."""
        self._check_clock(now)
        floor, active_grant = self.terms.floor, self._active_grants.get(name)
        if active_grant is None:
            return floor
        if now < active_grant.expires_at:
            return active_grant.share
        if now < active_grant.expires_at + self.terms.reduced_period:
            return min(active_grant.share, floor)
        del self._active_grants[name]
        return floor

    def _check_clock(self, now: float) -> None:
        """Record the time, and expire all grants if the clock went back.

        On such a clock every grant would be valid for longer, and reports sent before the regression can't be
        distinguished from those sent after it.
        """
        if now < self._last_now:
            self.clock_regressions += 1
            self._sent_at.clear()
            for active_grant in self._active_grants.values():
                active_grant.expires_at = min(active_grant.expires_at, now)
        self._last_now = now

    def next_change_at(self, name: str, now: float) -> float:
        """Return when this front's share of a limit changes without a further grant: when the grant expires,
        then when its reduced period ends (which may be past); `now` where there is no grant."""
        active_grant = self._active_grants.get(name)
        if active_grant is None:
            return now
        return (
            active_grant.expires_at
            if now < active_grant.expires_at
            else active_grant.expires_at + self.terms.reduced_period
        )

    def limit_names(self) -> list[str]:
        """Return the limits for which this front's share may differ from the floor."""
        return list(self._active_grants)
