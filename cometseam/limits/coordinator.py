"""The coordinator's decisions: how a limit is divided among the fronts that report demand. Without I/O.

One front at a time is the coordinator (the owner of the task `limits`, under its fencing token). At every
allocation it knows for each front the largest share that the front may still be using: that of the grants
issued to it that may be valid, and the floor where the front may have fallen back to it. A new grant never
lifts the sum of those above the limit:

    for each front:  new share <= limit - sum over all others of their largest possible share

A grant counts until it has certainly expired (`coordinator_grant_ttl` ms after it was issued, by this
clock), or until the front reported that it applied a newer one, and for `window` ms more, in which the
requests sent under it still count. For fronts that have not reported, the floor is reserved, up to
`expected_fronts` fronts.

A new coordinator reads the grants stored on the service. Each grant is written in one transaction with the
check of the task's owner, so these are all that can exist; when they were issued is not known, so each is
counted from now.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cometseam.limits.fair import max_min_fair_shares
from cometseam.limits.terms import SharingTerms


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A front's report: its number, the newest grant it applied (token, number), its demands by limit."""

    number: int
    applied_grant: tuple[int, int]
    demands: dict[str, float]


@dataclass(frozen=True, slots=True)
class CapacityGrant:
    """The shares that a front may use: token and number of its coordinator, the report that it answers.

    `previous_max_shares`: the largest shares of the grants before it, where the front may not have applied
    this one yet. A grant overwrites the one before it on the service, so a new coordinator could not learn of
    those otherwise.
    """

    token: int
    number: int
    report_number: int
    shares: dict[str, float]
    previous_max_shares: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class IssuedGrant:
    """A grant that may be valid."""

    order: tuple[int, int]  # token and number: those of a newer grant are higher
    shares: dict[str, float]
    issued_at: float | None  # None where an earlier coordinator issued it
    # When the grant was issued that the answered report named as applied: the report was sent after that.
    report_sent_after: float | None
    expires_at: float  # when it has certainly expired
    counts_until: float  # when the requests sent under it count no more
    # `counts_until` plus the reduced period, in which a front that applied this grant last may still use it.
    reduced_until: float


@dataclass(slots=True)
class FrontRecord:
    """A front that has reported; removed when its reports stop and nothing issued to it counts."""

    latest_report: DemandReport | None = None
    received_at: float = 0.0
    issued_grants: list[IssuedGrant] = field(default_factory=list)
    report_sent_after: float | None = None  # of the newest grant that it certainly applied; None: unknown
    floor_until: float = 0.0  # until when requests that it sent at the floor may still count
    superseded: bool = False  # a later process of the same name has reported: this one has ended


class Coordinator:
    """Divides limits among fronts; `token` is the fencing token under which its grants are written."""

    def __init__(self, terms: SharingTerms, token: int) -> None:
        terms.check()
        self.terms, self.token = terms, token
        self.front_records: dict[str, FrontRecord] = {}
        self._number = 0
        self._removed_fronts: list[str] = []  # since the last call of `pop_removed_fronts`

    def pop_removed_fronts(self) -> list[str]:
        """Return the fronts removed since the last call: their stored grants may be deleted."""
        fronts, self._removed_fronts = self._removed_fronts, []
        return fronts

    def record_existing_grant(self, front: str, grant: CapacityGrant, now: float) -> None:
        """Record a grant of an earlier coordinator: it may be valid, and its issue time is not known."""
        expires_at = now + self.terms.coordinator_grant_ttl
        order = (grant.token, grant.number)
        counts_until = expires_at + self.terms.window
        issued = IssuedGrant(
            order,
            dict(grant.shares),
            None,
            None,
            expires_at,
            counts_until,
            counts_until + self.terms.reduced_period,
        )
        # The grants before it are recorded as one that a front no longer uses once it has applied this one.
        previous = IssuedGrant(
            (order[0], order[1] - 1),
            dict(grant.previous_max_shares),
            None,
            None,
            expires_at,
            counts_until,
            issued.reduced_until,
        )
        self.front_records.setdefault(front, FrontRecord(received_at=now)).issued_grants += [previous, issued]

    def record_report(self, front: str, report: DemandReport, now: float) -> None:
        """Record a front's report; one that is older than a report already received is ignored."""
        record = self.front_records.setdefault(front, FrontRecord())
        self._supersede_earlier(front, now)
        known = record.latest_report
        if record.superseded or (
            known is not None
            and report.number <= known.number
            and report.applied_grant <= known.applied_grant
        ):
            return
        if self._may_reach_floor(record, now):
            record.floor_until = now + self.terms.window
        record.latest_report, record.received_at = report, now
        for issued in record.issued_grants:
            if issued.order == report.applied_grant:
                record.report_sent_after = issued.report_sent_after
            elif issued.order < report.applied_grant:  # replaced by a newer one, at the latest now
                issued.expires_at = min(issued.expires_at, now)
                issued.counts_until = min(issued.counts_until, now + self.terms.window)
                issued.reduced_until = min(issued.reduced_until, now + self.terms.window)

    def _supersede_earlier(self, front: str, now: float) -> None:
        """Mark the earlier processes of a front's name as ended.

        A process is known as `name.number`, and the number (hexadecimal) grows with each start. A report of
        one shows that those of its name before it have ended (two running processes can't share a name: they
        would listen at one address), so what they may have used counts for one window and no longer.
        Otherwise the shares of a restarted fleet would stay reserved for ended processes until their grants
        and reduced periods were over.
        """
        name, _, start = front.rpartition(".")
        if not name:
            return
        for other, record in self.front_records.items():
            other_name, _, other_start = other.rpartition(".")
            if other_name == name and not record.superseded and int(other_start, 16) < int(start, 16):
                record.superseded, record.latest_report = True, None
                until = now + self.terms.window
                at_floor = self._may_reach_floor(record, now) or now < record.floor_until
                record.floor_until = until if at_floor else 0.0
                for issued in record.issued_grants:
                    issued.counts_until, issued.reduced_until = (
                        min(issued.counts_until, until),
                        min(issued.reduced_until, until),
                    )

    def record_report_removed(self, front: str) -> None:
        """Record that a report left the service: its front ended or is cut off. Its grants still count."""
        if front in self.front_records:
            self.front_records[front].latest_report = None

    def _remove_inactive(self, now: float) -> None:
        for front, record in list(self.front_records.items()):
            record.issued_grants = [issued for issued in record.issued_grants if issued.reduced_until > now]
            if (
                record.latest_report is not None
                and now - record.received_at > self.terms.coordinator_grant_ttl
            ):
                record.latest_report = None  # no newer report: its demand counts no more
            if record.latest_report is None and not record.issued_grants and record.floor_until <= now:
                del self.front_records[front]
                self._removed_fronts.append(front)

    def _may_reach_floor(self, record: FrontRecord, now: float) -> bool:
        """Return whether a front may use the floor before a grant issued now has certainly expired.

        It falls back `front_grant_ttl` and `reduced_period` after it sent the report that its newest grant
        answers. Only its own clock knows when that was; but the report named a grant that the front had
        applied before, so it was sent after that grant was issued. Where no such grant is known, the front
        may be at the floor now.
        """
        terms = self.terms
        if record.superseded:
            return False
        if record.report_sent_after is None:
            return True
        return (
            now + terms.coordinator_grant_ttl + terms.window
            > record.report_sent_after + terms.below_floor_period
        )

    def max_share(self, record: FrontRecord, name: str, now: float) -> float:
        """Return the largest share of a limit that a front may be using, or may come to use without a new
        grant while one issued now is valid."""
        floor, shares = self.terms.floor, []
        for issued in record.issued_grants:
            share = issued.shares.get(name, floor)
            # A front that applied this grant last keeps it in the reduced period; which one it applied last
            # is not known.
            if now < issued.counts_until:
                shares.append(share)
            elif now < issued.reduced_until:
                shares.append(min(share, floor))
        at_floor = not shares and not record.superseded
        if at_floor or now < record.floor_until or self._may_reach_floor(record, now):
            shares.append(floor)
        return max(shares, default=0.0)

    def committed_share(self, name: str, now: float) -> float:
        """Return the share of a limit that is in use, or reserved for fronts that have not reported."""
        unreported = self._unreported_count()
        return (
            sum(self.max_share(r, name, now) for r in self.front_records.values())
            + unreported * self.terms.floor
        )

    def _unreported_count(self) -> int:
        """How many fronts are expected and have not reported."""
        reported = sum(not record.superseded for record in self.front_records.values())
        return max(self.terms.expected_fronts - reported, 0)

    def allocate(self, now: float) -> dict[str, CapacityGrant]:
        """Return the grants to write now, one for each front that reports demand.

        Each counts from now on, whether or not it gets written: a lost answer leaves that unknown.
        """
        self._remove_inactive(now)
        requesting = {
            front: r
            for front, r in self.front_records.items()
            if r.latest_report is not None and r.latest_report.demands
        }
        names = sorted(
            {
                name
                for record in requesting.values()
                if record.latest_report
                for name in record.latest_report.demands
            }
        )
        shares: dict[str, dict[str, float]] = {front: {} for front in requesting}
        for name in names:
            for front, share in self._allocate_limit(name, requesting, now):
                shares[front][name] = share
        grants: dict[str, CapacityGrant] = {}
        for front, record in requesting.items():
            assert record.latest_report is not None
            self._number += 1
            previous_max_shares = {
                name: max(issued.shares.get(name, self.terms.floor) for issued in record.issued_grants)
                for name in {name for issued in record.issued_grants for name in issued.shares}
            }
            grants[front] = CapacityGrant(
                self.token, self._number, record.latest_report.number, shares[front], previous_max_shares
            )
            expires_at = now + self.terms.coordinator_grant_ttl
            order = (self.token, self._number)
            counts_until = expires_at + self.terms.window
            reduced_until = counts_until + self.terms.reduced_period
            applied_issued_at = (
                issued.issued_at
                for issued in record.issued_grants
                if issued.order == record.latest_report.applied_grant
            )
            record.issued_grants.append(
                IssuedGrant(
                    order,
                    shares[front],
                    now,
                    next(applied_issued_at, None),
                    expires_at,
                    counts_until,
                    reduced_until,
                )
            )
        return grants

    def _allocate_limit(
        self, name: str, requesting: dict[str, FrontRecord], now: float
    ) -> Iterable[tuple[str, float]]:
        """Divide one limit among the fronts that report demand for it."""
        floor = self.terms.floor
        demands = {
            f: r.latest_report.demands[name]
            for f, r in requesting.items()
            if r.latest_report and name in r.latest_report.demands
        }
        others = [r for f, r in self.front_records.items() if f not in demands]
        unreported = self._unreported_count()
        reserved = sum(self.max_share(r, name, now) for r in others) + unreported * floor
        targets = max_min_fair_shares(demands, max(1.0 - reserved, 0.0))
        max_shares = {front: self.max_share(requesting[front], name, now) for front in demands}
        total = sum(max_shares.values()) + reserved
        # Free capacity is split in proportion to each front's missing share: served one after the other, many
        # fronts that come and go would leave nothing to a few that need much.
        missing = {front: max(targets[front] - max_shares[front], 0.0) for front in demands}
        ratio = min(max(1.0 - total, 0.0) / max(sum(missing.values()), 1e-9), 1.0)
        excess = max(total - 1.0, 0.0)
        for front in sorted(demands):
            own = [i.shares.get(name, floor) for i in requesting[front].issued_grants if i.counts_until > now]
            current = min(own, default=floor)
            # It may always keep what it has, up to the floor, which needs no grant.
            max_allowed = max(max_shares[front] - excess + ratio * missing[front], min(current, floor))
            yield front, min(targets[front], max_allowed)
