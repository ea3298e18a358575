"""What this front wishes for of limits that the whole fleet shares, by what its module did of late.

Shared is what a cold cache (or parent) bears from all fronts together. The module says what it sent there and
how often it was barred; from that comes the wish, as a part of the whole. Nothing is sent, nothing is asked.
"""

from cometseam.interface import Settings
from cometseam.limits import Sharing
from cometseam.logic import Front, Server

GROWTH = 2.0  # times its part that a front wishes for where it was barred
MARGIN = 1.25  # times what it used that it wishes for where it was not
LEAST = 0.002  # of the whole: an idle front's wish, so that its first pull need not wait for a grant

PARENTS = "parents"  # the group of all fronts, for parents; each zone's fronts are a group of its name


def wish(part: float, used: float, barred: bool) -> float:
    """Return the part of the whole to wish for: `part` is what it may use, `used` what it did; 0 to 1."""
    if barred:
        return min(max(GROWTH * part, LEAST), 1.0)
    return min(max(MARGIN * used, LEAST), 1.0)


def wishes(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each cache that is cold now; what was counted of sends barred begins anew."""
    found: dict[int, float] = {}
    for cache, server in front.servers.items():
        barred, server.barred = server.barred > 0, 0
        budget = front.cold(server)
        if budget:
            found[cache] = wish(part(front, server, now), _used(front, server, now, budget), barred)
    return found


def part(front: Front, server: Server, now: float) -> float:
    """Tell which part of what the server bears this front may use now."""
    granted, until = server.granted
    equal = 1.0 / front.sharing(server.told)
    return granted if now < until else min(granted, equal)


def _used(front: Front, server: Server, now: float, budget: float) -> float:
    since = now - front.settings.fall_time
    sent = sum(work for at, work in server.spent if at > since)
    return sent / budget * part(front, server, now)


def groups(
    settings: Settings, zones: tuple[str, ...], refresh: float, lasts: float, drift: float
) -> dict[str, Sharing]:
    """Return the groups of fronts that share something, each with its terms and how many it should be."""
    counts = {zones[zone]: count for zone, count in enumerate(settings.fronts_by_zone) if count > 0}
    counts[PARENTS] = max(settings.fronts, 1)
    return {name: Sharing(n, lasts, refresh, settings.fall_time, drift) for name, n in counts.items()}


def group(front: Front, cache: int, zones: tuple[str, ...]) -> str:
    """Tell which fronts share a cache: the parents' all, an edge cache's those of its zone."""
    told, settings = front.servers[cache].told, front.settings
    if told.kind in (settings.parent_kind, settings.origin_kind) or told.zone != settings.zone:
        return PARENTS
    return zones[told.zone]
