"""What this front wishes for of limits that the whole fleet shares, by what its module did of late.

Shared is what a cold cache (or parent) bears from all fronts together. The module says what it sent there and
how often it was barred; from that comes the wish, as a part of the whole. Nothing is sent, nothing is asked.
"""

from cometseam.interface import Settings
from cometseam.limits import Sharing
from cometseam.logic import Front, Server

GROWTH = 2.0  # times its part that a front wishes for where it was barred
MARGIN = 1.25  # times what it used that it wishes for where it was not

PARENTS = "parents"  # the group of all fronts, for parents; each zone's fronts are a group of its name


def wish(part: float, used: float, barred: bool, unit: float) -> float:
    """Return the part of the whole to wish for: `part` is what it may use, `used` what it did; 0 to 1.

    `unit`: what one more pull takes. A part below that lets nothing through, so a front that sends anything
    wishes for room for one more. An idle one wishes for nothing: it gets of what is left over, or asks when
    its first pull was barred (and went on to the next cache).
    """
    if not barred and not used:
        return 0.0
    return min(max(GROWTH * part if barred else MARGIN * used, used + unit), 1.0)


def wishes(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each cache that is cold now; what was counted of sends barred begins anew."""
    found: dict[int, float] = {}
    for cache, server in front.servers.items():
        barred, server.barred = server.barred > 0, 0
        budget = front.cold(server)
        if budget:
            now_may = part(front, server, now)
            whole = budget / now_may
            unit = sum(front.mean_sending) / len(front.mean_sending) / whole
            found[cache] = wish(now_may, _used(front, server, now, whole), barred, unit)
    return found


def part(front: Front, server: Server, now: float) -> float:
    """Tell which part of what the server bears this front may use now."""
    granted, until = server.granted
    equal = 1.0 / front.sharing(server.told)
    return max(granted if now < until else min(granted, equal), 1e-9)


def _used(front: Front, server: Server, now: float, whole: float) -> float:
    since = now - front.settings.fall_time
    sent = sum(work for at, work in server.spent if at > since)
    return sent / whole


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
