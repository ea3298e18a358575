"""A budget of further relays: a share of first ones over a sliding window, with a floor for low traffic.

It guards against an outage that is multiplied: where all that is asked fails, further relays stay a share
of what came in, and when the caches are back nothing is left over from before. It harms where single caches
fail at low traffic, which is what the floor is for.

Where its terms say how many the whole fleet may send, this front also keeps to its part of that: an equal one
until it is granted another (`cometseam.limits`). So the floors of hundreds of fronts don't add up.
"""

from collections import deque

from cometseam.interface import Plan, Plans, RetryBudgetShare, RetryBudgetTerms
from cometseam.timing.capacity_share import CapacityShare
from cometseam.timing.retry_policy import NO_PLAN

WINDOW_SLICES = 20  # of a window: what is older than a window leaves in steps of a twentieth


class RetryBudget:
    """Counts first and further relays over the last window.

    Its table holds one entry a slice of the window in which something was counted; each leaves when it is
    older than the window.
    """

    def __init__(self, terms: RetryBudgetTerms, fronts: int = 1) -> None:
        """`fronts`: how many share what the terms allow the fleet."""
        self.terms, self.share = terms, CapacityShare(1.0 / max(fronts, 1))
        self._slice = terms.window / WINDOW_SLICES
        self._counts: deque[list[float]] = deque()  # [its start, first relays, further relays]
        self.first_relays = self.further_relays = 0

    def _roll(self, now: float) -> None:
        # A slice leaves when all of it is older: what was counted late in it must not leave too early.
        while self._counts and self._counts[0][0] + self._slice <= now - self.terms.window:
            _, first, further = self._counts.popleft()
            self.first_relays -= int(first)
            self.further_relays -= int(further)

    def _now(self, now: float) -> list[float]:
        self._roll(now)
        start = now - now % self._slice
        if not self._counts or self._counts[-1][0] < start:
            self._counts.append([start, 0, 0])
        return self._counts[-1]

    @property
    def max_further_relays(self) -> float:
        """Tell how many further relays a window may hold, by what was last counted."""
        return self.terms.floor + self.terms.share * self.first_relays

    def has_room(self, now: float) -> bool:
        """Tell whether one further relay may go at this time (ms)."""
        self._roll(now)
        if self.further_relays + 1 > self.max_further_relays:
            return False
        fleet = self.terms.fleet
        return not fleet or self.share.fits(self.further_relays + 1, fleet, now)

    def record_relay(self, now: float, further: bool) -> None:
        """Count a relay that is sent: the first of a pull, or one after a failure."""
        entry = self._now(now)
        if further:
            entry[2] += 1
            self.further_relays += 1
        else:
            entry[1] += 1
            self.first_relays += 1


class PullBudgets:
    """The budgets that one pull draws on: those of its route, of its client's network and of the front."""

    __slots__ = ("budgets",)

    def __init__(self, budgets: tuple[RetryBudget, ...]) -> None:
        self.budgets = budgets

    def has_room(self, now: float) -> bool:
        """Tell whether each of them has room for one further relay."""
        return all(budget.has_room(now) for budget in self.budgets)

    def record_relay(self, now: float, further: bool, before: int) -> None:
        """Count a relay in each of them: a further one, or the first; a fill after a look is neither.

        `further`: the pull has failed before; `before`: relays of this pull that were sent.
        """
        if further or not before:
            for budget in self.budgets:
                budget.record_relay(now, further)


FREE = PullBudgets(())


class ActivePlans:
    """The plans in force and their budgets. New plans empty it of the budgets that they no longer name."""

    budgets: dict[RetryBudgetTerms, RetryBudget]

    def __init__(self, plans: Plans, before: "ActivePlans | None" = None, fronts: int = 1) -> None:
        """Take over the counts of each budget whose terms are as before: a reload grants nothing anew.

        `fronts`: how many share what a budget allows the fleet.
        """
        self._plans = plans
        terms = [plans.front_budget, *plans.network_budgets, *(plan.allowance for plan in plans.plans)]
        known: dict[RetryBudgetTerms, RetryBudget] = before.budgets if before is not None else {}
        self.budgets = {
            term: known.get(term) or RetryBudget(term, fronts) for term in terms if term is not None
        }

    def apply_share(self, told: RetryBudgetShare, now: float) -> None:
        """Take in this front's part of what the budget of that name allows the fleet."""
        for terms, budget in self.budgets.items():
            if terms.name == told.budget_name:
                budget.share.apply_lease(told.share, told.ttl, now)

    def plan_and_budgets(self, plan: int, network: int) -> tuple[Plan, PullBudgets]:
        """Return the plan of a pull and what it draws on; without a plan nothing is counted."""
        if not 0 <= plan < len(self._plans.plans):
            return NO_PLAN, FREE
        mine, networks = self._plans.plans[plan], self._plans.network_budgets
        theirs = networks[network] if 0 <= network < len(networks) else None
        terms = dict.fromkeys(t for t in (self._plans.front_budget, theirs, mine.allowance) if t is not None)
        return mine, PullBudgets(tuple(self.budgets[term] for term in terms)) if terms else FREE
