"""What this front wishes for of limits that the whole fleet shares, by what its module did of late.

Shared is what a cold cache (or parent) bears from all fronts together, and, where the operator's file caps
it, how many relays they have out at one. The module says what it sent there and how often it was barred; from
that comes the wish, as a part of the whole. Nothing is sent, nothing is asked.
"""

from collections.abc import Iterable

from cometseam.interface import Plans, Settings
from cometseam.limits import SharingTerms
from cometseam.logic import Front, Server
from cometseam.timing import WINDOW_SLICES, ActivePlans, CapacityShare

REJECTED_GROWTH_FACTOR = 2.0  # times its part that a front wishes for where it was barred
USED_MARGIN_FACTOR = 1.25  # times what it used that it wishes for where it was not

PARENTS_GROUP = "parents"  # the group of all fronts, for parents; each zone's fronts are a group of its name
RELAYS_SUFFIX = ":relays"  # behind the name of a group: of relays out, whose terms have another window
RETRIES_PREFIX = (
    "retries:"  # before the window (ms) of budgets of further relays: all fronts, a group a window
)
IDLE_DEMAND_FACTOR = 0.5  # of an equal part that a front wishes for which uses nothing: it may have to soon


def retry_demands(active_plans: ActivePlans, now: float) -> dict[str, dict[str, float]]:
    """Return the wishes for what budgets allow the fleet, by group and name.

    A front that sends no further relay says so: what it keeps free else could not be lent.
    """
    demands: dict[str, dict[str, float]] = {}
    for terms, budget in active_plans.budgets.items():
        if terms.fleet:
            rejected, peak_used = budget.share.reset_usage()
            demand = _smoothed_demand(
                budget.share, max(peak_used, budget.further_relays), rejected, terms.fleet, now
            )
            demands.setdefault(retry_group(terms.window), {})[terms.name] = demand
    return demands


def retry_group(window: float) -> str:
    """Return the group of the fleet's budgets with such a window (ms)."""
    return f"{RETRIES_PREFIX}{window:g}"


def fleet_budget_windows(plans: Plans) -> set[float]:
    """Return the windows (ms) of the budgets that allow the fleet something."""
    terms = [plans.front_budget, *plans.network_budgets, *(plan.allowance for plan in plans.plans)]
    return {term.window for term in terms if term is not None and term.fleet}


def demanded_share(share: float, used: float, rejected: bool, share_per_pull: float) -> float:
    """Return the part of the whole to wish for: `part` is what it may use, `used` what it did; 0 to 1.

    `unit`: what one more pull takes. A part below that lets nothing through, so a front that sends anything
    wishes for room for one more. An idle one wishes for nothing: it gets of what is left over, or asks when
    its first pull was barred (and went on to the next cache).
    """
    if not rejected and not used:
        return 0.0
    return min(
        max(REJECTED_GROWTH_FACTOR * share if rejected else USED_MARGIN_FACTOR * used, used + share_per_pull),
        1.0,
    )


def slow_start_demands(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each cache that is cold now; what was counted of sends barred begins anew."""
    demands: dict[int, float] = {}
    for cache, server in front.servers.items():
        rejected, _ = server.slow_start_share.reset_usage()
        budget = front.slow_start_budget(server)
        if budget:
            current_share = server.slow_start_share.share_at(now)
            capacity = budget / current_share
            share_per_pull = sum(front.mean_sending_times) / len(front.mean_sending_times) / capacity
            demands[cache] = demanded_share(
                current_share, _used_share(front, server, now, capacity), rejected, share_per_pull
            )
    return demands


def relay_demands(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each capped cache that is listed: an idle front's as well.

    One that is not named in an ask is at its equal part, which so could not be lent.
    """
    demands: dict[int, float] = {}
    for cache, server in front.servers.items():
        rejected, peak_used = server.relay_share.reset_usage()
        capacity = front.relay_caps[server.entry.kind == front.settings.parent_kind]
        if capacity and server is not front.origin:
            demands[cache] = _smoothed_demand(
                server.relay_share, max(peak_used, server.limit.in_flight), rejected, capacity, now
            )
    return demands


def _smoothed_demand(share: CapacityShare, used: float, rejected: bool, capacity: float, now: float) -> float:
    """Return the wish for a limit that is always shared: what an idle front keeps may be needed soon."""
    demand = demanded_share(share.share_at(now), used / capacity, rejected, 1.0 / capacity)
    return share.smooth_demand(min(max(demand, IDLE_DEMAND_FACTOR * share.equal_share), 1.0))


def _used_share(front: Front, server: Server, now: float, capacity: float) -> float:
    window_start = now - front.settings.overload_window
    window_work = sum(work for sent_at, work in server.sent_work if sent_at > window_start)
    return window_work / capacity


def sharing_groups(
    settings: Settings, zones: tuple[str, ...], refresh: float, grant_ttl: float, drift: float,
    capped: bool = False, budgets: Iterable[float] = (),
) -> dict[str, SharingTerms]:  # fmt: skip
    """Return the groups of fronts that share something, each with its terms and how many it should be.

    `capped`: relays out are shared too. What was sent by an old part weighs until it has ended: at the latest
    after the longest cut-off of any workload. `budgets`: the windows of budgets that are shared.
    """
    counts = {zones[zone]: count for zone, count in enumerate(settings.fronts_by_zone) if count > 0}
    counts[PARENTS_GROUP] = max(settings.fronts, 1)
    groups = {
        name: SharingTerms(front_count, grant_ttl, refresh, settings.overload_window, drift)
        for name, front_count in counts.items()
    }
    if capped:
        max_deadline = max((each.deadline for each in settings.workloads), default=0.0)
        relay_groups = {
            f"{name}{RELAYS_SUFFIX}": SharingTerms(front_count, grant_ttl, refresh, max_deadline, drift)
            for name, front_count in counts.items()
        }
        groups.update(relay_groups)
    for window in budgets:
        # A budget's window slides in steps: what it counted leaves up to one step late.
        terms = SharingTerms(
            max(settings.fronts, 1), grant_ttl, refresh, window * (1.0 + 1.0 / WINDOW_SLICES), drift
        )
        groups[retry_group(window)] = terms
    return groups


def own_groups(settings: Settings, zones: tuple[str, ...], groups: dict[str, SharingTerms]) -> set[str]:
    """Return the groups that this front is one of."""
    names = (PARENTS_GROUP, zones[settings.zone])
    own_names = {name + suffix for name in names for suffix in ("", RELAYS_SUFFIX)}
    return {name for name in groups if name in own_names or name.startswith(RETRIES_PREFIX)}


def group_of(front: Front, cache: int, zones: tuple[str, ...]) -> str:
    """Tell which fronts share a cache: the parents' all, an edge cache's those of its zone."""
    entry, settings = front.servers[cache].entry, front.settings
    if entry.kind in (settings.parent_kind, settings.origin_kind) or entry.zone != settings.zone:
        return PARENTS_GROUP
    return zones[entry.zone]
