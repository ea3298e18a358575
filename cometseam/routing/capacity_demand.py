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

GROWTH = 2.0  # times its part that a front wishes for where it was barred
MARGIN = 1.25  # times what it used that it wishes for where it was not

PARENTS_GROUP = "parents"  # the group of all fronts, for parents; each zone's fronts are a group of its name
RELAYS_SUFFIX = ":relays"  # behind the name of a group: of relays out, whose terms have another window
# Before the window (ms) of budgets of further relays: all fronts, a group a window.
RETRIES_PREFIX = "retries:"
IDLE = 0.5  # of an equal part that a front wishes for which uses nothing: it may have to soon


def retry_demands(ledger: ActivePlans, now: float) -> dict[str, dict[str, float]]:
    """Return the wishes for what budgets allow the fleet, by group and name.

    A front that sends no further relay says so: what it keeps free else could not be lent.
    """
    found: dict[str, dict[str, float]] = {}
    for terms, budget in ledger.budgets.items():
        if terms.fleet:
            barred, peak = budget.share.reset_usage()
            wished = _steady(budget.share, max(peak, budget.further_relays), barred, terms.fleet, now)
            found.setdefault(retry_group(terms.window), {})[terms.name] = wished
    return found


def retry_group(window: float) -> str:
    """Return the group of the fleet's budgets with such a window (ms)."""
    return f"{RETRIES_PREFIX}{window:g}"


def fleet_budget_windows(plans: Plans) -> set[float]:
    """Return the windows (ms) of the budgets that allow the fleet something."""
    terms = [plans.front_budget, *plans.network_budgets, *(plan.allowance for plan in plans.plans)]
    return {term.window for term in terms if term is not None and term.fleet}


def demanded_share(part: float, used: float, barred: bool, unit: float) -> float:
    """Return the part of the whole to wish for: `part` is what it may use, `used` what it did; 0 to 1.

    `unit`: what one more pull takes. A part below that lets nothing through, so a front that sends anything
    wishes for room for one more. An idle one wishes for nothing: it gets of what is left over, or asks when
    its first pull was barred (and went on to the next cache).
    """
    if not barred and not used:
        return 0.0
    return min(max(GROWTH * part if barred else MARGIN * used, used + unit), 1.0)


def slow_start_demands(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each cache that is cold now; what was counted of sends barred begins anew."""
    found: dict[int, float] = {}
    for cache, server in front.servers.items():
        barred, _ = server.slow_start_share.reset_usage()
        budget = front.slow_start_budget(server)
        if budget:
            now_may = server.slow_start_share.share_at(now)
            whole = budget / now_may
            unit = sum(front.mean_sending_times) / len(front.mean_sending_times) / whole
            found[cache] = demanded_share(now_may, _used(front, server, now, whole), barred, unit)
    return found


def relay_demands(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each capped cache that is listed: an idle front's as well.

    One that is not named in an ask is at its equal part, which so could not be lent.
    """
    found: dict[int, float] = {}
    for cache, server in front.servers.items():
        barred, peak = server.relay_share.reset_usage()
        whole = front.relay_caps[server.entry.kind == front.settings.parent_kind]
        if whole and server is not front.origin:
            found[cache] = _steady(server.relay_share, max(peak, server.limit.in_flight), barred, whole, now)
    return found


def _steady(part: CapacityShare, used: float, barred: bool, whole: float, now: float) -> float:
    """Return the wish for a limit that is always shared: what an idle front keeps may be needed soon."""
    wished = demanded_share(part.share_at(now), used / whole, barred, 1.0 / whole)
    return part.smooth_demand(min(max(wished, IDLE * part.equal_share), 1.0))


def _used(front: Front, server: Server, now: float, whole: float) -> float:
    since = now - front.settings.overload_window
    sent = sum(work for at, work in server.sent_work if at > since)
    return sent / whole


def sharing_groups(
    settings: Settings, zones: tuple[str, ...], refresh: float, lasts: float, drift: float,
    capped: bool = False, budgets: Iterable[float] = (),
) -> dict[str, SharingTerms]:  # fmt: skip
    """Return the groups of fronts that share something, each with its terms and how many it should be.

    `capped`: relays out are shared too. What was sent by an old part weighs until it has ended: at the latest
    after the longest cut-off of any workload. `budgets`: the windows of budgets that are shared.
    """
    counts = {zones[zone]: count for zone, count in enumerate(settings.fronts_by_zone) if count > 0}
    counts[PARENTS_GROUP] = max(settings.fronts, 1)
    found = {
        name: SharingTerms(n, lasts, refresh, settings.overload_window, drift) for name, n in counts.items()
    }
    if capped:
        longest = max((each.deadline for each in settings.workloads), default=0.0)
        more = {
            f"{name}{RELAYS_SUFFIX}": SharingTerms(n, lasts, refresh, longest, drift)
            for name, n in counts.items()
        }
        found.update(more)
    for window in budgets:
        # A budget's window slides in steps: what it counted leaves up to one step late.
        terms = SharingTerms(
            max(settings.fronts, 1), lasts, refresh, window * (1.0 + 1.0 / WINDOW_SLICES), drift
        )
        found[retry_group(window)] = terms
    return found


def own_groups(settings: Settings, zones: tuple[str, ...], found: dict[str, SharingTerms]) -> set[str]:
    """Return the groups that this front is one of."""
    names = (PARENTS_GROUP, zones[settings.zone])
    mine = {name + what for name in names for what in ("", RELAYS_SUFFIX)}
    return {name for name in found if name in mine or name.startswith(RETRIES_PREFIX)}


def group_of(front: Front, cache: int, zones: tuple[str, ...]) -> str:
    """Tell which fronts share a cache: the parents' all, an edge cache's those of its zone."""
    told, settings = front.servers[cache].entry, front.settings
    if told.kind in (settings.parent_kind, settings.origin_kind) or told.zone != settings.zone:
        return PARENTS_GROUP
    return zones[told.zone]
