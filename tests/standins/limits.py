"""A fleet that shares one limit, in virtual time: fronts, coordinators and the service between them.

Everything that is sent is late by chance, lost by chance, and overtakes; links are cut for a while, fronts
and coordinators are paused and killed, clocks run apart within the drift. The service keeps what etcd keeps:
the newest ask and grant of each front; it writes a grant only under the token of the task's present owner.
At every step the world adds up what all fronts may use, over the window that the limit counts: what a target
of their sends would see at most.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from cometseam.limits import CapacityGrant, Coordinator, DemandReport, FrontShares, SharingTerms

STEP = 20.0  # ms between two looks at the sum
NAME = "limit"


@dataclass
class Front:
    """One process: its share, its clock's rate and what it wishes for."""

    name: str
    share: FrontShares
    rate: float
    wish: Callable[[float], float]
    cut_until: float = 0.0
    paused_until: float = 0.0
    alive: bool = True
    ended_at: float = 0.0
    used: list[tuple[float, float]] = field(default_factory=list)  # [time, may] over the last window

    def clock(self, now: float) -> float:
        return 5_000.0 + now * self.rate

    def may(self, now: float) -> float:
        return self.share.current_share(NAME, self.clock(now))


@dataclass
class World:
    """The fleet; `play` lets time pass and returns the highest sum of shares seen."""

    terms: SharingTerms
    chance: Random
    late: float = 30.0  # ms, mean, of everything that is sent
    lost: float = 0.0  # share of what is sent
    now: float = 0.0
    fronts: list[Front] = field(default_factory=list)
    asks: dict[str, DemandReport] = field(default_factory=dict)
    grants: dict[str, CapacityGrant] = field(default_factory=dict)
    token: int = 0
    coordinator: Coordinator | None = None
    old: list[tuple[Coordinator, float]] = field(default_factory=list)  # paused, and until when
    service_down_until: float = 0.0
    refused: int = 0  # grants written under an older token
    sums: list[float] = field(default_factory=list)
    granted: list[float] = field(default_factory=list)  # used at each look: the lesser of wish and share
    _due: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: "count[int]" = field(default_factory=count)

    def at(self, when: float, run: Callable[[], None]) -> None:
        heappush(self._due, (when, next(self._order), run))

    def send(self, front: Front | None, run: Callable[[], None]) -> None:
        """Something goes over a link: late, or lost; nothing passes while a link is cut."""
        cut = front is not None and self.now < front.cut_until
        if cut or self.now < self.service_down_until or self.chance.random() < self.lost:
            return
        self.at(self.now + self.chance.expovariate(1.0 / self.late), run)

    def add(self, wish: Callable[[float], float], name: str = "") -> Front:
        """A process starts; `name`: the front that it is, where it ran before."""
        rate = 1.0 + self.terms.drift * (self.chance.random() - 0.5)
        number = len(self.fronts)
        front = Front(f"{name or f'f{number}'}.{number:x}", FrontShares(self.terms), rate, wish)
        self.fronts.append(front)
        self.at(self.now + self.terms.refresh * self.chance.random(), lambda: self._ask(front))
        return front

    def kill(self, front: Front) -> None:
        front.alive, front.ended_at = False, self.now
        name = front.name
        self.at(self.now + self.terms.grant_ttl, lambda: self._gone(name))

    def _gone(self, name: str) -> None:
        self.asks.pop(name, None)
        if self.coordinator is not None:
            self.coordinator.record_report_removed(name)

    def _ask(self, front: Front) -> None:
        if not front.alive:
            return
        self.at(self.now + self.terms.refresh, lambda: self._ask(front))
        if self.now < front.paused_until:
            return
        ask = front.share.make_report({NAME: front.wish(self.now)}, front.clock(self.now))
        self.send(front, lambda: self._asked(front.name, ask))

    def _asked(self, name: str, ask: DemandReport) -> None:
        known = self.asks.get(name)
        if known is not None and known.number > ask.number:
            return  # the service takes a later write of the same front over an earlier: by its one connection
        self.asks[name] = ask
        told = self.coordinator

        def hear() -> None:
            if told is not None and told is self.coordinator:
                told.record_report(name, ask, self.now)

        self.send(None, hear)

    def elect(self) -> None:
        """Another coordinator takes over; the one before may still be paused, and wake late."""
        self.token += 1
        self.coordinator = Coordinator(self.terms, self.token)
        for name, grant in self.grants.items():
            self.coordinator.record_existing_grant(name, grant, self.now)
        for name, ask in self.asks.items():
            self.coordinator.record_report(name, ask, self.now)
        self._share_out(self.coordinator)

    def pause_coordinator(self, until: float) -> None:
        """It is paused past its lease: another is elected, and what it wrote late is refused."""
        if self.coordinator is not None:
            self.old.append((self.coordinator, until))
            self.coordinator = None

    def _share_out(self, coordinator: Coordinator) -> None:
        if coordinator is not self.coordinator:
            return
        self.at(self.now + self.terms.refresh, lambda: self._share_out(coordinator))
        self._write(coordinator)

    def _write(self, coordinator: Coordinator) -> None:
        for name, grant in coordinator.allocate(self.now).items():
            self.send(None, lambda name=name, grant=grant: self._written(name, grant))  # type: ignore[misc]

    def _written(self, name: str, grant: CapacityGrant) -> None:
        if grant.token != self.token:
            self.refused += 1
            return
        known = self.grants.get(name)
        if known is not None and (known.token, known.number) > (grant.token, grant.number):
            return
        self.grants[name] = grant
        front = next(front for front in self.fronts if front.name == name)
        self.send(front, lambda: self._taken(front, grant))

    def _taken(self, front: Front, grant: CapacityGrant) -> None:
        if front.alive and self.now < front.paused_until:
            self.at(front.paused_until, lambda: self._taken(front, grant))
        elif front.alive:
            front.share.apply_grant(grant, front.clock(self.now))

    def play(self, until: float, each: Callable[[], None] = lambda: None) -> float:
        """Let time pass; `each` is called at every look."""
        most = 0.0
        while self.now < until:
            step = min(self.now + STEP, until)
            while self._due and self._due[0][0] <= step:
                self.now, _, run = heappop(self._due)
                run()
            self.now = step
            for coordinator, wakes in list(self.old):
                if wakes <= self.now:
                    self.old.remove((coordinator, wakes))
                    self._write(coordinator)  # it goes on as if nothing had been
            each()
            most = max(most, self._sum())
        return most

    def _sum(self) -> float:
        whole, used = 0.0, 0.0
        for front in list(self.fronts):
            if front.alive and self.now >= front.paused_until:
                may = front.may(self.now)
                front.used.append((self.now, may))
                used += min(may, front.wish(self.now))
            while front.used and front.used[0][0] < self.now - self.terms.window:
                front.used.pop(0)
            whole += max((may for _, may in front.used), default=0.0)
        self.sums.append(whole)
        self.granted.append(used)
        return whole

    def processes(self) -> int:
        """How many processes count for the bound now: those alive, and those whose share is not over yet."""
        over = self.terms.front_grant_ttl + self.terms.reduced_period + self.terms.window
        return sum(front.alive or self.now - front.ended_at < over for front in self.fronts)
