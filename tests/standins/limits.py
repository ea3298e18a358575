"""Simulates in virtual time a fleet that shares one limit: fronts, coordinators and the service between them.

Every message is delayed at random, may be lost, and may overtake others; links are cut for a while, fronts
and coordinators are paused and killed, clocks drift apart within the terms. The service keeps what etcd
keeps: the newest report and grant of each front; it writes a grant only under the token of the task's current
owner. At every step the simulation adds up the shares that all fronts may use, over the window that the limit
counts: the most that a target of their requests would see.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from cometseam.limits import CapacityGrant, Coordinator, DemandReport, FrontShares, SharingTerms

STEP_MS = 20.0  # between two measurements of the sum
LIMIT_NAME = "limit"


@dataclass
class SimulatedFront:
    """One front process: its shares, its clock's rate and its demand."""

    name: str
    share: FrontShares
    clock_rate: float
    demand: Callable[[float], float]
    cut_until: float = 0.0
    paused_until: float = 0.0
    alive: bool = True
    ended_at: float = 0.0
    recent_shares: list[tuple[float, float]] = field(
        default_factory=list
    )  # (time, share) over the last window

    def clock(self, now: float) -> float:
        return 5_000.0 + now * self.clock_rate

    def current_share(self, now: float) -> float:
        return self.share.current_share(LIMIT_NAME, self.clock(now))


@dataclass
class SimulatedFleet:
    """The fleet; `play` advances the time and returns the largest sum of shares."""

    terms: SharingTerms
    rng: Random
    mean_delay_ms: float = 30.0  # of every message
    loss_rate: float = 0.0  # fraction of messages
    now: float = 0.0
    fronts: list[SimulatedFront] = field(default_factory=list)
    stored_reports: dict[str, DemandReport] = field(default_factory=dict)
    stored_grants: dict[str, CapacityGrant] = field(default_factory=dict)
    token: int = 0
    coordinator: Coordinator | None = None
    paused_coordinators: list[tuple[Coordinator, float]] = field(default_factory=list)  # and until when
    service_down_until: float = 0.0
    rejected_grants: int = 0  # those sent under an older token than the current one
    sums: list[float] = field(default_factory=list)
    used_sums: list[float] = field(
        default_factory=list
    )  # at each step: the sum of the smaller of demand and share
    _scheduled: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: "count[int]" = field(default_factory=count)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heappush(self._scheduled, (when, next(self._sequence), action))

    def send(self, front: SimulatedFront | None, action: Callable[[], None]) -> None:
        """Deliver a message after a random delay, or lose it; nothing passes while the link is cut."""
        cut = front is not None and self.now < front.cut_until
        if cut or self.now < self.service_down_until or self.rng.random() < self.loss_rate:
            return
        self.schedule(self.now + self.rng.expovariate(1.0 / self.mean_delay_ms), action)

    def add(self, demand: Callable[[float], float], name: str = "") -> SimulatedFront:
        """Start a process; `name`: the front's name, where an earlier process of it ran."""
        clock_rate = 1.0 + self.terms.drift * (self.rng.random() - 0.5)
        number = len(self.fronts)
        front = SimulatedFront(
            f"{name or f'f{number}'}.{number:x}", FrontShares(self.terms), clock_rate, demand
        )
        self.fronts.append(front)
        self.schedule(self.now + self.terms.refresh * self.rng.random(), lambda: self._send_report(front))
        return front

    def kill(self, front: SimulatedFront) -> None:
        front.alive, front.ended_at = False, self.now
        name = front.name
        self.schedule(self.now + self.terms.grant_ttl, lambda: self._expire_report(name))

    def _expire_report(self, name: str) -> None:
        self.stored_reports.pop(name, None)
        if self.coordinator is not None:
            self.coordinator.record_report_removed(name)

    def _send_report(self, front: SimulatedFront) -> None:
        if not front.alive:
            return
        self.schedule(self.now + self.terms.refresh, lambda: self._send_report(front))
        if self.now < front.paused_until:
            return
        report = front.share.make_report({LIMIT_NAME: front.demand(self.now)}, front.clock(self.now))
        self.send(front, lambda: self._store_report(front.name, report))

    def _store_report(self, name: str, report: DemandReport) -> None:
        known = self.stored_reports.get(name)
        if known is not None and known.number > report.number:
            return  # a front's writes arrive in order, by its one connection
        self.stored_reports[name] = report
        coordinator = self.coordinator

        def deliver() -> None:
            if coordinator is not None and coordinator is self.coordinator:
                coordinator.record_report(name, report, self.now)

        self.send(None, deliver)

    def elect(self) -> None:
        """Elect another coordinator; the one before may be paused, and resume late."""
        self.token += 1
        self.coordinator = Coordinator(self.terms, self.token)
        for name, grant in self.stored_grants.items():
            self.coordinator.record_existing_grant(name, grant, self.now)
        for name, report in self.stored_reports.items():
            self.coordinator.record_report(name, report, self.now)
        self._issue_grants(self.coordinator)

    def pause_coordinator(self, until: float) -> None:
        """Pause the coordinator beyond its lease; its late grants are rejected once another is elected."""
        if self.coordinator is not None:
            self.paused_coordinators.append((self.coordinator, until))
            self.coordinator = None

    def _issue_grants(self, coordinator: Coordinator) -> None:
        if coordinator is not self.coordinator:
            return
        self.schedule(self.now + self.terms.refresh, lambda: self._issue_grants(coordinator))
        self._write_grants(coordinator)

    def _write_grants(self, coordinator: Coordinator) -> None:
        for name, grant in coordinator.allocate(self.now).items():
            self.send(None, lambda name=name, grant=grant: self._store_grant(name, grant))  # type: ignore[misc]

    def _store_grant(self, name: str, grant: CapacityGrant) -> None:
        if grant.token != self.token:
            self.rejected_grants += 1
            return
        known = self.stored_grants.get(name)
        if known is not None and (known.token, known.number) > (grant.token, grant.number):
            return
        self.stored_grants[name] = grant
        front = next(front for front in self.fronts if front.name == name)
        self.send(front, lambda: self._deliver_grant(front, grant))

    def _deliver_grant(self, front: SimulatedFront, grant: CapacityGrant) -> None:
        if front.alive and self.now < front.paused_until:
            self.schedule(front.paused_until, lambda: self._deliver_grant(front, grant))
        elif front.alive:
            front.share.apply_grant(grant, front.clock(self.now))

    def play(self, until: float, on_step: Callable[[], None] = lambda: None) -> float:
        """Advance the time; `on_step` is called at every step. Returns the largest sum of shares."""
        max_sum = 0.0
        while self.now < until:
            step_end = min(self.now + STEP_MS, until)
            while self._scheduled and self._scheduled[0][0] <= step_end:
                self.now, _, action = heappop(self._scheduled)
                action()
            self.now = step_end
            for coordinator, resumes_at in list(self.paused_coordinators):
                if resumes_at <= self.now:
                    self.paused_coordinators.remove((coordinator, resumes_at))
                    self._write_grants(coordinator)  # it continues as if it still were the coordinator
            on_step()
            max_sum = max(max_sum, self._record_sum())
        return max_sum

    def _record_sum(self) -> float:
        total, used_total = 0.0, 0.0
        for front in list(self.fronts):
            if front.alive and self.now >= front.paused_until:
                share = front.current_share(self.now)
                front.recent_shares.append((self.now, share))
                used_total += min(share, front.demand(self.now))
            while front.recent_shares and front.recent_shares[0][0] < self.now - self.terms.window:
                front.recent_shares.pop(0)
            total += max((share for _, share in front.recent_shares), default=0.0)
        self.sums.append(total)
        self.used_sums.append(used_total)
        return total

    def processes(self) -> int:
        """Return how many processes count for the bound: those alive, and those whose shares still count."""
        counted_for_ms = self.terms.front_grant_ttl + self.terms.reduced_period + self.terms.window
        return sum(front.alive or self.now - front.ended_at < counted_for_ms for front in self.fronts)
