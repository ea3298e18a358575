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
        self._forgotten: list[str] = []  # since `pop_removed_fronts` was last asked

    def pop_removed_fronts(self) -> list[str]:
        """Return the fronts that left since the last call: what was written for them may be removed."""
        fronts, self._forgotten = self._forgotten, []
        return fronts

    def record_existing_grant(self, front: str, grant: CapacityGrant, now: float) -> None:
        """An earlier coordinator's grant stands on the service: in force perhaps, none knows since when."""
        ends = now + self.terms.coordinator_grant_ttl
        order = (grant.token, grant.number)
        until = ends + self.terms.window
        written = IssuedGrant(
            order, dict(grant.shares), None, None, ends, until, until + self.terms.reduced_period
        )
        # What came before it counts as one that a front which has taken this one goes by no more.
        before = IssuedGrant(
            (order[0], order[1] - 1),
            dict(grant.previous_max_shares),
            None,
            None,
            ends,
            until,
            written.reduced_until,
        )
        self.front_records.setdefault(front, FrontRecord(received_at=now)).issued_grants += [before, written]

    def record_report(self, front: str, ask: DemandReport, now: float) -> None:
        """A front's ask came in; one that is older than another heard already says nothing."""
        member = self.front_records.setdefault(front, FrontRecord())
        self._replace(front, now)
        known = member.latest_report
        if member.superseded or (
            known is not None and ask.number <= known.number and ask.applied_grant <= known.applied_grant
        ):
            return
        if self._falls(member, now):
            member.floor_until = now + self.terms.window
        member.latest_report, member.received_at = ask, now
        for one in member.issued_grants:
            if one.order == ask.applied_grant:
                member.report_sent_after = one.report_sent_after
            elif one.order < ask.applied_grant:  # it goes by a newer one: this one ended, at the latest now
                one.expires_at = min(one.expires_at, now)
                one.counts_until = min(one.counts_until, now + self.terms.window)
                one.reduced_until = min(one.reduced_until, now + self.terms.window)

    def _replace(self, front: str, now: float) -> None:
        """A process is known as `name.number`, the number growing with each start. One that is heard shows
        that those of its name before it have ended (two that run can't have one name: they would listen at
        one address), so what they may have used weighs for a window and no longer; else the parts of a fleet
        that was restarted would stay with the dead until their grants and lean times were over.
        """
        name, _, start = front.rpartition(".")
        if not name:
            return
        for other, member in self.front_records.items():
            its_name, _, its_start = other.rpartition(".")
            if its_name == name and not member.superseded and int(its_start, 16) < int(start, 16):
                member.superseded, member.latest_report = True, None
                until = now + self.terms.window
                at_floor = self._falls(member, now) or now < member.floor_until
                member.floor_until = until if at_floor else 0.0
                for one in member.issued_grants:
                    one.counts_until, one.reduced_until = (
                        min(one.counts_until, until),
                        min(one.reduced_until, until),
                    )

    def record_report_removed(self, front: str) -> None:
        """A front's ask is gone from the service: it ended, or is cut off. What was written still counts."""
        if front in self.front_records:
            self.front_records[front].latest_report = None

    def _forget(self, now: float) -> None:
        for front, member in list(self.front_records.items()):
            member.issued_grants = [one for one in member.issued_grants if one.reduced_until > now]
            if (
                member.latest_report is not None
                and now - member.received_at > self.terms.coordinator_grant_ttl
            ):
                member.latest_report = None  # silent: what it asked for counts no more
            if member.latest_report is None and not member.issued_grants and member.floor_until <= now:
                del self.front_records[front]
                self._forgotten.append(front)

    def _falls(self, member: FrontRecord, now: float) -> bool:
        """Tell whether a front may go by the floor before a grant written now has surely ended.

        It falls back `front_grant_ttl` and `reduced_period` after it sent the ask that its newest grant
        answers. When that was is known by its own clock alone; but the ask named a grant that it had taken
        before, so it was sent after that one was written. Where no such chain is known, the front may be at
        the floor now.
        """
        terms = self.terms
        if member.superseded:
            return False
        if member.report_sent_after is None:
            return True
        return (
            now + terms.coordinator_grant_ttl + terms.window
            > member.report_sent_after + terms.below_floor_period
        )

    def max_share(self, member: FrontRecord, name: str, now: float) -> float:
        """The most of a limit that a front may be using, or come to use by itself while a grant written now
        holds."""
        floor, shares = self.terms.floor, []
        for one in member.issued_grants:
            share = one.shares.get(name, floor)
            # A front that took this one last, and none since, goes on with it lean: none knows which it took.
            if now < one.counts_until:
                shares.append(share)
            elif now < one.reduced_until:
                shares.append(min(share, floor))
        none = not shares and not member.superseded
        if none or now < member.floor_until or self._falls(member, now):
            shares.append(floor)
        return max(shares, default=0.0)

    def committed_share(self, name: str, now: float) -> float:
        """The part of a limit that is spoken for: used, or kept free for fronts that are not heard of."""
        unheard = self._unheard()
        return (
            sum(self.max_share(m, name, now) for m in self.front_records.values())
            + unheard * self.terms.floor
        )

    def _unheard(self) -> int:
        """How many fronts are expected and not heard of."""
        heard = sum(not member.superseded for member in self.front_records.values())
        return max(self.terms.expected_fronts - heard, 0)

    def allocate(self, now: float) -> dict[str, CapacityGrant]:
        """Return the grants to write now, one for each front that asks; each counts from now on, written or
        not (an answer that is lost leaves it unknown)."""
        self._forget(now)
        asking = {
            front: m
            for front, m in self.front_records.items()
            if m.latest_report is not None and m.latest_report.demands
        }
        names = sorted(
            {
                name
                for member in asking.values()
                if member.latest_report
                for name in member.latest_report.demands
            }
        )
        shares: dict[str, dict[str, float]] = {front: {} for front in asking}
        for name in names:
            for front, share in self._out(name, asking, now):
                shares[front][name] = share
        grants: dict[str, CapacityGrant] = {}
        for front, member in asking.items():
            assert member.latest_report is not None
            self._number += 1
            earlier = {
                name: max(one.shares.get(name, self.terms.floor) for one in member.issued_grants)
                for name in {name for one in member.issued_grants for name in one.shares}
            }
            grants[front] = CapacityGrant(
                self.token, self._number, member.latest_report.number, shares[front], earlier
            )
            ends = now + self.terms.coordinator_grant_ttl
            order = (self.token, self._number)
            until = ends + self.terms.window
            lean = until + self.terms.reduced_period
            named = (
                one.issued_at
                for one in member.issued_grants
                if one.order == member.latest_report.applied_grant
            )
            member.issued_grants.append(
                IssuedGrant(order, shares[front], now, next(named, None), ends, until, lean)
            )
        return grants

    def _out(self, name: str, asking: dict[str, FrontRecord], now: float) -> Iterable[tuple[str, float]]:
        """Share one limit out among the fronts that ask for it."""
        floor = self.terms.floor
        wishes = {
            f: m.latest_report.demands[name]
            for f, m in asking.items()
            if m.latest_report and name in m.latest_report.demands
        }
        others = [m for f, m in self.front_records.items() if f not in wishes]
        unheard = self._unheard()
        spoken = sum(self.max_share(m, name, now) for m in others) + unheard * floor
        targets = max_min_fair_shares(wishes, max(1.0 - spoken, 0.0))
        uses = {front: self.max_share(asking[front], name, now) for front in wishes}
        total = sum(uses.values()) + spoken
        # What is free is split among those that are to get more, by how much more: served one after the
        # other, many that come and go would leave nothing to a few that need much.
        more = {front: max(targets[front] - uses[front], 0.0) for front in wishes}
        part = min(max(1.0 - total, 0.0) / max(sum(more.values()), 1e-9), 1.0)
        over = max(total - 1.0, 0.0)
        for front in sorted(wishes):
            own = [w.shares.get(name, floor) for w in asking[front].issued_grants if w.counts_until > now]
            current = min(own, default=floor)
            # It may always go on with what it has, up to the floor: it was its own before anybody asked.
            most = max(uses[front] - over + part * more[front], min(current, floor))
            yield front, min(targets[front], most)
