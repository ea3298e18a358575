"""The coordinator's decisions: how a limit is shared out among the fronts that ask for it. Without I/O.

Held by one front at a time (the task `limits`, under its fencing token). At every share-out it knows of each
front the most that it may still be using: the grants written for it that may be in force, and the floor
where it may have fallen back to that. What it gives out anew never lifts the sum of those above the limit:

    for each front:  new share <= limit - sum over all others of the most that they may be using

A grant counts until it surely ended (`coordinator_grant_ttl` ms after it was written, by this clock), or
until the front said that it goes by a newer one, and for `window` ms more, in which what it let through still
weighs. Fronts that are not heard of keep the floor free for themselves, up to `expected_fronts` fronts.

A new coordinator reads the grants that stand on the service. Its fence (each grant is written in one
transaction with the check of the task's owner) makes those all that there can be; when they were written it
does not know, so it counts each from now.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cometseam.limits.fair import max_min_fair_shares
from cometseam.limits.terms import SharingTerms


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A front's ask: its number, the newest grant that it goes by (token, number), its wishes by limit."""

    number: int
    applied_grant: tuple[int, int]
    demands: dict[str, float]


@dataclass(frozen=True, slots=True)
class CapacityGrant:
    """What a front may use: by token and number of its coordinator, in answer to one of its asks.

    `previous_max_shares`: the most that grants before it gave, where the front may not have taken this one
    yet. A grant takes the place of the one before on the service, so a new coordinator would else not know of
    that.
    """

    token: int
    number: int
    report_number: int
    shares: dict[str, float]
    previous_max_shares: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class IssuedGrant:
    """A grant that may be in force."""

    order: tuple[int, int]
    shares: dict[str, float]
    issued_at: float | None  # when it was written; None where an earlier coordinator did so
    # When the grant was written that the ask which this one answers named as taken: it was sent after that.
    report_sent_after: float | None
    expires_at: float  # when it surely ended
    counts_until: float  # and when what it let through counts no more
    # And the same of the lean time after it, of a front that took it last and none since.
    reduced_until: float


@dataclass(slots=True)
class FrontRecord:
    """A front that was heard of; it leaves when it is silent and nothing written for it counts."""

    latest_report: DemandReport | None = None
    received_at: float = 0.0
    issued_grants: list[IssuedGrant] = field(default_factory=list)
    report_sent_after: float | None = None  # of the newest grant that it surely took; None: not known
    floor_until: float = 0.0  # until when what it sent by the floor may still weigh
    superseded: bool = False  # a later process of the same name was heard: this one is no more


class Coordinator:
    """Shares limits out; `token` is the fencing token under which its grants are written."""

    def __init__(self, terms: SharingTerms, token: int) -> None:
        terms.check()
        self.terms, self.token = terms, token
        self.front_records: dict[str, FrontRecord] = {}
        self._number = 0
        self._removed_fronts: list[str] = []  # since `pop_removed_fronts` was last asked

    def pop_removed_fronts(self) -> list[str]:
        """Return the fronts that left since the last call: what was written for them may be removed."""
        fronts, self._removed_fronts = self._removed_fronts, []
        return fronts

    def record_existing_grant(self, front: str, grant: CapacityGrant, now: float) -> None:
        """An earlier coordinator's grant stands on the service: in force perhaps, none knows since when."""
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
        # What came before it counts as one that a front which has taken this one goes by no more.
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
        """A front's ask came in; one that is older than another heard already says nothing."""
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
            elif (
                issued.order < report.applied_grant
            ):  # it goes by a newer one: this one ended, at the latest now
                issued.expires_at = min(issued.expires_at, now)
                issued.counts_until = min(issued.counts_until, now + self.terms.window)
                issued.reduced_until = min(issued.reduced_until, now + self.terms.window)

    def _supersede_earlier(self, front: str, now: float) -> None:
        """A process is known as `name.number`, the number growing with each start. One that is heard shows
        that those of its name before it have ended (two that run can't have one name: they would listen at
        one address), so what they may have used weighs for a window and no longer; else the parts of a fleet
        that was restarted would stay with the dead until their grants and lean times were over.
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
        """A front's ask is gone from the service: it ended, or is cut off. What was written still counts."""
        if front in self.front_records:
            self.front_records[front].latest_report = None

    def _remove_inactive(self, now: float) -> None:
        for front, record in list(self.front_records.items()):
            record.issued_grants = [issued for issued in record.issued_grants if issued.reduced_until > now]
            if (
                record.latest_report is not None
                and now - record.received_at > self.terms.coordinator_grant_ttl
            ):
                record.latest_report = None  # silent: what it asked for counts no more
            if record.latest_report is None and not record.issued_grants and record.floor_until <= now:
                del self.front_records[front]
                self._removed_fronts.append(front)

    def _may_reach_floor(self, record: FrontRecord, now: float) -> bool:
        """Tell whether a front may go by the floor before a grant written now has surely ended.

        It falls back `front_grant_ttl` and `reduced_period` after it sent the ask that its newest grant
        answers. When that was is known by its own clock alone; but the ask named a grant that it had taken
        before, so it was sent after that one was written. Where no such chain is known, the front may be at
        the floor now.
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
        """The most of a limit that a front may be using, or come to use by itself while a grant written now
        holds."""
        floor, shares = self.terms.floor, []
        for issued in record.issued_grants:
            share = issued.shares.get(name, floor)
            # A front that took this one last, and none since, goes on with it lean: none knows which it took.
            if now < issued.counts_until:
                shares.append(share)
            elif now < issued.reduced_until:
                shares.append(min(share, floor))
        at_floor = not shares and not record.superseded
        if at_floor or now < record.floor_until or self._may_reach_floor(record, now):
            shares.append(floor)
        return max(shares, default=0.0)

    def committed_share(self, name: str, now: float) -> float:
        """The part of a limit that is spoken for: used, or kept free for fronts that are not heard of."""
        unreported = self._unreported_count()
        return (
            sum(self.max_share(r, name, now) for r in self.front_records.values())
            + unreported * self.terms.floor
        )

    def _unreported_count(self) -> int:
        """How many fronts are expected and not heard of."""
        reported = sum(not record.superseded for record in self.front_records.values())
        return max(self.terms.expected_fronts - reported, 0)

    def allocate(self, now: float) -> dict[str, CapacityGrant]:
        """Return the grants to write now, one for each front that asks; each counts from now on, written or
        not (an answer that is lost leaves it unknown)."""
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
        """Share one limit out among the fronts that ask for it."""
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
        # What is free is split among those that are to get more, by how much more: served one after the
        # other, many that come and go would leave nothing to a few that need much.
        missing = {front: max(targets[front] - max_shares[front], 0.0) for front in demands}
        ratio = min(max(1.0 - total, 0.0) / max(sum(missing.values()), 1e-9), 1.0)
        excess = max(total - 1.0, 0.0)
        for front in sorted(demands):
            own = [i.shares.get(name, floor) for i in requesting[front].issued_grants if i.counts_until > now]
            current = min(own, default=floor)
            # It may always go on with what it has, up to the floor: it was its own before anybody asked.
            max_allowed = max(max_shares[front] - excess + ratio * missing[front], min(current, floor))
            yield front, min(targets[front], max_allowed)
