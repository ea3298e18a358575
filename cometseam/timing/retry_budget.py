"""Retry budgets: further relays limited to a share of the first ones over a sliding window, plus a floor.

A budget prevents retry storms: when every relay fails, further relays stay a share of the incoming traffic,
and no backlog of them remains once the caches are back. At low traffic that share alone would allow too few
retries for the failure of a single cache; the floor prevents that.

If its terms also limit the whole fleet, this front stays within its share of that limit: an equal share until
it holds a lease on another (`cometseam.limits`). So the floors of hundreds of fronts do not add up.
"""

from collections import deque

from cometseam.interface import Plan, Plans, RetryBudgetShare, RetryBudgetTerms
from cometseam.timing.capacity_share import CapacityShare
from cometseam.timing.retry_policy import NO_PLAN

WINDOW_SLICES = 20  # slices of a window; counts expire a slice (a twentieth of the window) at a time


class RetryBudget:
    """Counts the first and further relays of the last window.

    `_slices` holds one entry per slice of the window in which a relay was counted, and drops an entry once
    all of it is older than the window. So a relay counts for up to one slice longer than the window.
    """

    def __init__(self, terms: RetryBudgetTerms, fronts: int = 1) -> None:
        """Start without counts; `fronts`: the number of fronts that share the fleet's limit."""
        self.terms, self.share = terms, CapacityShare(1.0 / max(fronts, 1))
        self._slice_ms = terms.window / WINDOW_SLICES
        self._slices: deque[list[float]] = deque()  # [start, first relays, further relays]
        self.first_relays = self.further_relays = 0

    def _expire(self, now: float) -> None:
        # Drops a slice only once all of it is older than the window, so that no relay expires early.
        while self._slices and self._slices[0][0] + self._slice_ms <= now - self.terms.window:
            _, first, further = self._slices.popleft()
            self.first_relays -= int(first)
            self.further_relays -= int(further)

    def _current_slice(self, now: float) -> list[float]:
        self._expire(now)
        start = now - now % self._slice_ms
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append([start, 0, 0])
        return self._slices[-1]

    @property
    def max_further_relays(self) -> float:
        """Return how many further relays the window may hold, given the first relays counted in it."""
        return self.terms.floor + self.terms.share * self.first_relays

    def has_room(self, now: float) -> bool:
        """Return whether one further relay may be sent at this time (ms)."""
        self._expire(now)
        if self.further_relays + 1 > self.max_further_relays:
            return False
        fleet_limit = self.terms.fleet
        return not fleet_limit or self.share.fits(self.further_relays + 1, fleet_limit, now)

    def record_relay(self, now: float, further: bool) -> None:
        """Count a relay that is sent; `further`: it follows a failure, so it is not the first of its pull."""
        current_slice = self._current_slice(now)
        if further:
            current_slice[2] += 1
            self.further_relays += 1
        else:
            current_slice[1] += 1
            self.first_relays += 1


class PullBudgets:
    """The budgets that one pull draws on: those of its route, of its client's network and of the front."""

    __slots__ = ("budgets",)

    def __init__(self, budgets: tuple[RetryBudget, ...]) -> None:
        self.budgets = budgets

    def has_room(self, now: float) -> bool:
        """Return whether each budget has room for one further relay."""
        return all(budget.has_room(now) for budget in self.budgets)

    def record_relay(self, now: float, further: bool, relays_sent: int) -> None:
        """Count a first or further relay in each budget; a fill after a cache lookup counts as neither.

        `further`: the pull has failed before; `relays_sent`: relays of this pull that were sent before.
        """
        if further or not relays_sent:
            for budget in self.budgets:
                budget.record_relay(now, further)


NO_BUDGETS = PullBudgets(())


class ActivePlans:
    """The current plans and their budgets. Budgets that new plans no longer contain are dropped."""

    budgets: dict[RetryBudgetTerms, RetryBudget]

    def __init__(self, plans: Plans, previous: "ActivePlans | None" = None, fronts: int = 1) -> None:
        """Keep the counts of each budget whose terms are unchanged, so that a reload grants no new retries.

        `fronts`: the number of fronts that share the fleet's limits.
        """
        self._plans = plans
        all_terms = [plans.front_budget, *plans.network_budgets, *(plan.allowance for plan in plans.plans)]
        previous_budgets: dict[RetryBudgetTerms, RetryBudget] = (
            previous.budgets if previous is not None else {}
        )
        self.budgets = {
            terms: previous_budgets.get(terms) or RetryBudget(terms, fronts)
            for terms in all_terms
            if terms is not None
        }

    def apply_share(self, update: RetryBudgetShare, now: float) -> None:
        """Apply this front's share of the fleet limit of the budget that the update names."""
        for terms, budget in self.budgets.items():
            if terms.name == update.budget_name:
                budget.share.apply_lease(update.share, update.ttl, now)

    def plan_and_budgets(self, plan_index: int, network_index: int) -> tuple[Plan, PullBudgets]:
        """Return the plan of a pull and the budgets it draws on: `NO_PLAN` and none for an unknown plan."""
        if not 0 <= plan_index < len(self._plans.plans):
            return NO_PLAN, NO_BUDGETS
        plan, networks = self._plans.plans[plan_index], self._plans.network_budgets
        network_terms = networks[network_index] if 0 <= network_index < len(networks) else None
        pull_terms = dict.fromkeys(
            terms for terms in (self._plans.front_budget, network_terms, plan.allowance) if terms is not None
        )
        return plan, PullBudgets(tuple(self.budgets[key] for key in pull_terms)) if pull_terms else NO_BUDGETS
