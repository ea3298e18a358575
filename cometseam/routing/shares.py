"""What this front wishes for of limits that the whole fleet shares, by what its module did of late.

Shared is what a cold cache (or parent) bears from all fronts together, and, where the operator's file caps
it, how many relays they have out at one. The module says what it sent there and how often it was barred; from
that comes the wish, as a part of the whole. Nothing is sent, nothing is asked.
"""

from cometseam.interface import Settings
from cometseam.limits import Sharing
from cometseam.logic import Front, Server

GROWTH = 2.0  # times its part that a front wishes for where it was barred
MARGIN = 1.25  # times what it used that it wishes for where it was not

PARENTS = "parents"  # the group of all fronts, for parents; each zone's fronts are a group of its name
RELAYS = ":relays"  # behind the name of a group: of relays out, whose terms have another window


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
        barred, _ = server.part.anew()
        budget = front.cold(server)
        if budget:
            now_may = server.part.at(now)
            whole = budget / now_may
            unit = sum(front.mean_sending) / len(front.mean_sending) / whole
            found[cache] = wish(now_may, _used(front, server, now, whole), barred, unit)
    return found


def relays(front: Front, now: float) -> dict[int, float]:
    """Return the wish for each capped cache at which this front had relays out, or wished to, of late."""
    found: dict[int, float] = {}
    for cache, server in front.servers.items():
        barred, peak = server.relays.anew()
        whole = front.caps[server.told.kind == front.settings.parent_kind]
        if whole and server is not front.origin:
            used = max(peak, server.load.out) / whole
            found[cache] = wish(server.relays.at(now), used, barred, 1.0 / whole)
    return {cache: wish for cache, wish in found.items() if wish}


def _used(front: Front, server: Server, now: float, whole: float) -> float:
    since = now - front.settings.fall_time
    sent = sum(work for at, work in server.spent if at > since)
    return sent / whole


def groups(
    settings: Settings, zones: tuple[str, ...], refresh: float, lasts: float, drift: float,
    capped: bool = False,
) -> dict[str, Sharing]:  # fmt: skip
    """Return the groups of fronts that share something, each with its terms and how many it should be.

    `capped`: relays out are shared too. What was sent by an old part weighs until it has ended: at the latest
    after the longest cut-off of any workload.
    """
    counts = {zones[zone]: count for zone, count in enumerate(settings.fronts_by_zone) if count > 0}
    counts[PARENTS] = max(settings.fronts, 1)
    found = {name: Sharing(n, lasts, refresh, settings.fall_time, drift) for name, n in counts.items()}
    if capped:
        longest = max((each.cut_off for each in settings.workloads), default=0.0)
        more = {f"{name}{RELAYS}": Sharing(n, lasts, refresh, longest, drift) for name, n in counts.items()}
        found.update(more)
    return found


def own(settings: Settings, zones: tuple[str, ...], found: dict[str, Sharing]) -> set[str]:
    """Return the groups that this front is one of."""
    names = (PARENTS, zones[settings.zone])
    return {name + what for name in names for what in ("", RELAYS)} & found.keys()


def group(front: Front, cache: int, zones: tuple[str, ...]) -> str:
    """Tell which fronts share a cache: the parents' all, an edge cache's those of its zone."""
    told, settings = front.servers[cache].told, front.settings
    if told.kind in (settings.parent_kind, settings.origin_kind) or told.zone != settings.zone:
        return PARENTS
    return zones[told.zone]
