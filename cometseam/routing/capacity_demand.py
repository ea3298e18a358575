"""Computes this front's demand for limits that the whole fleet shares, from its recent use. No I/O.

The fleet shares the slow-start budget of each cache or parent, the number of relays in flight at one where
the operator's file caps it, and retry budgets. A demand is a share (0 to 1) of the whole limit, computed from
what the decision module used and from whether the limit rejected a relay.
"""

from collections.abc import Iterable

from cometseam.interface import Plans, Settings
from cometseam.limits import SharingTerms
from cometseam.logic import Front, Server
from cometseam.timing import WINDOW_SLICES, ActivePlans, CapacityShare

REJECTED_GROWTH_FACTOR = 2.0  # demand over current share, if relays were rejected
USED_MARGIN_FACTOR = 1.25  # demand over used share, if none were

PARENTS_GROUP = (
    "parents"  # the group of all fronts, for parents; the fronts of a zone form a group named after it
)
RELAYS_SUFFIX = (
    ":relays"  # appended to a group's name for its limit on relays in flight, which has its own window
)
# Followed by a window in ms: the group of all fronts for the retry budgets with that window.
RETRIES_PREFIX = "retries:"
IDLE_DEMAND_FACTOR = 0.5  # minimum demand over the equal share: an idle front may need the limit soon


def retry_demands(active_plans: ActivePlans, now: float) -> dict[str, dict[str, float]]:
    """Return the demands for the fleet's retry budgets, by group and name.

    Idle fronts report a demand too; otherwise their unused share could not be given to others.
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
    """Return the group of the fleet's retry budgets with a window (ms)."""
    return f"{RETRIES_PREFIX}{window:g}"


def fleet_budget_windows(plans: Plans) -> set[float]:
    """Return the windows (ms) of the retry budgets that the fleet shares."""
    terms = [plans.front_budget, *plans.network_budgets, *(plan.allowance for plan in plans.plans)]
    return {term.window for term in terms if term is not None and term.fleet}


def demanded_share(share: float, used: float, rejected: bool, share_per_pull: float) -> float:
    """Return the share of the limit to demand, 0 to 1.

    A share smaller than one pull's would let nothing through, so a front that sends anything demands room for
    one more pull. An idle one demands nothing: it gets a share of what is left over, or demands one after its
    first pull was rejected (and went on to the next cache).

    Args:
        share: the share that the front may use now.
        used: the share that it used.
        rejected: whether the limit rejected any of its relays.
        share_per_pull: the share that one more pull takes.
    """
    if not rejected and not used:
        return 0.0
    return min(
        max(REJECTED_GROWTH_FACTOR * share if rejected else USED_MARGIN_FACTOR * used, used + share_per_pull),
        1.0,
    )


def slow_start_demands(front: Front, now: float) -> dict[int, float]:
    """Return the demand for each cache in slow start, and reset the usage counts of all caches."""
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
    """Return the demand for each listed cache with a cap, also of an idle front.

    A cache missing from the report leaves the front its equal share, which could not be given to others.
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
    """Return the demand for a limit that is always shared; an idle front's is not 0, see above."""
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
    """Return the terms of each group of fronts that share a limit, with the number of fronts expected.

    `capped`: relays in flight are shared too. Relays sent under an old share count until they end, at the
    latest after the longest deadline of any workload. `budgets`: the windows (ms) of shared retry budgets.
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
        # A budget's window slides in steps, so counts leave it up to one step late.
        terms = SharingTerms(
            max(settings.fronts, 1), grant_ttl, refresh, window * (1.0 + 1.0 / WINDOW_SLICES), drift
        )
        groups[retry_group(window)] = terms
    return groups


def own_groups(settings: Settings, zones: tuple[str, ...], groups: dict[str, SharingTerms]) -> set[str]:
    """Return the names of the groups that this front belongs to."""
    names = (PARENTS_GROUP, zones[settings.zone])
    own_names = {name + suffix for name in names for suffix in ("", RELAYS_SUFFIX)}
    return {name for name in groups if name in own_names or name.startswith(RETRIES_PREFIX)}


def group_of(front: Front, cache: int, zones: tuple[str, ...]) -> str:
    """Return the group that shares a cache: all fronts for a parent, those of its zone for an edge cache."""
    entry, settings = front.servers[cache].entry, front.settings
    if entry.kind in (settings.parent_kind, settings.origin_kind) or entry.zone != settings.zone:
        return PARENTS_GROUP
    return zones[entry.zone]
