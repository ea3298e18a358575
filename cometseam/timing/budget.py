"""A budget of further relays: a share of first ones over a sliding window, with a floor for low traffic.

It guards against an outage that is multiplied: where all that is asked fails, further relays stay a share
of what came in, and when the caches are back nothing is left over from before. It harms where single caches
fail at low traffic, which is what the floor is for.

Where its terms say how many the whole fleet may send, this front also keeps to its part of that: an equal one
until it is granted another (`cometseam.limits`). So the floors of hundreds of fronts don't add up.
"""

from collections import deque

from cometseam.interface import Allotted, Allowance, Plan, Plans
from cometseam.timing.pace import NO_PLAN
from cometseam.timing.part import Part

SLICES = 20  # of a window: what is older than a window leaves in steps of a twentieth


class Budget:
    """Counts first and further relays over the last window.

    Its table holds one entry a slice of the window in which something was counted; each leaves when it is
    older than the window.
    """

    def __init__(self, terms: Allowance, fronts: int = 1) -> None:
        """`fronts`: how many share what the terms allow the fleet."""
        self.terms, self.part = terms, Part(1.0 / max(fronts, 1))
        self._slice = terms.window / SLICES
        self._counts: deque[list[float]] = deque()  # [its start, first relays, further relays]
        self.first = self.further = 0

    def _roll(self, now: float) -> None:
        # A slice leaves when all of it is older: what was counted late in it must not leave too early.
        while self._counts and self._counts[0][0] + self._slice <= now - self.terms.window:
            _, first, further = self._counts.popleft()
            self.first -= int(first)
            self.further -= int(further)

    def _now(self, now: float) -> list[float]:
        self._roll(now)
        start = now - now % self._slice
        if not self._counts or self._counts[-1][0] < start:
            self._counts.append([start, 0, 0])
        return self._counts[-1]

    @property
    def allowed(self) -> float:
        """Tell how many further relays a window may hold, by what was last counted."""
        return self.terms.floor + self.terms.share * self.first

    def has_room(self, now: float) -> bool:
        """Tell whether one further relay may go at this time (ms)."""
        self._roll(now)
        if self.further + 1 > self.allowed:
            return False
        fleet = self.terms.fleet
        return not fleet or self.part.fits(self.further + 1, fleet, now)

    def count(self, now: float, further: bool) -> None:
        """Count a relay that is sent: the first of a pull, or one after a failure."""
        entry = self._now(now)
        if further:
            entry[2] += 1
            self.further += 1
        else:
            entry[1] += 1
            self.first += 1


class Account:
    """The budgets that one pull draws on: those of its route, of its client's network and of the front."""

    __slots__ = ("budgets",)

    def __init__(self, budgets: tuple[Budget, ...]) -> None:
        self.budgets = budgets

    def has_room(self, now: float) -> bool:
        """Tell whether each of them has room for one further relay."""
        return all(budget.has_room(now) for budget in self.budgets)

    def count(self, now: float, further: bool, before: int) -> None:
        """Count a relay in each of them: a further one, or the first; a fill after a look is neither.

        `further`: the pull has failed before; `before`: relays of this pull that were sent.
        """
        if further or not before:
            for budget in self.budgets:
                budget.count(now, further)


FREE = Account(())


class Ledger:
    """The plans in force and their budgets. New plans empty it of the budgets that they no longer name."""

    budgets: dict[Allowance, Budget]

    def __init__(self, plans: Plans, before: "Ledger | None" = None, fronts: int = 1) -> None:
        """Take over the counts of each budget whose terms are as before: a reload grants nothing anew.

        `fronts`: how many share what a budget allows the fleet.
        """
        self._plans = plans
        terms = [plans.front, *plans.networks, *(plan.allowance for plan in plans.plans)]
        known: dict[Allowance, Budget] = before.budgets if before is not None else {}
        self.budgets = {term: known.get(term) or Budget(term, fronts) for term in terms if term is not None}

    def take(self, told: Allotted, now: float) -> None:
        """Take in this front's part of what the budget of that name allows the fleet."""
        for terms, budget in self.budgets.items():
            if terms.name == told.budget:
                budget.part.take(told.part, told.lasts, now)

    def of(self, plan: int, network: int) -> tuple[Plan, Account]:
        """Return the plan of a pull and what it draws on; without a plan nothing is counted."""
        if not 0 <= plan < len(self._plans.plans):
            return NO_PLAN, FREE
        mine, networks = self._plans.plans[plan], self._plans.networks
        theirs = networks[network] if 0 <= network < len(networks) else None
        terms = dict.fromkeys(t for t in (self._plans.front, theirs, mine.allowance) if t is not None)
        return mine, Account(tuple(self.budgets[term] for term in terms)) if terms else FREE
