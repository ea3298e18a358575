"""The file's `fleet`: which coordination service, which tasks, on what terms; checked, and as plain values.

A front holds them as plain values (`Compiled.fleet`) and reads them (`read`) only where it takes part, so
that a front that does not imports nothing of this.
"""

import re
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from cometseam.interface import Settings
from cometseam.limits import Refused as NotShared
from cometseam.limits import Sharing
from cometseam.operator.schema import FleetForm
from cometseam.ownership import Refused, Terms
from cometseam.verdicts import Probing

Path = tuple[str | int, ...]
PROBE, LIST, LIMITS = "probe", "list", "limits"
TASK = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class FleetTerms:
    """What a front's part in the fleet goes by; times in ms."""

    service: str  # host:port
    refresh_ms: float  # between two reads of the whole beside a watch
    tasks: dict[str, Terms]
    probing: Probing
    log_bound_ms: float | None = None  # None: each front reads the change log itself
    limits: tuple[float, float] | None = None  # refresh and lasts of grants; None: nothing is shared out
    drift: float = 0.01
    spread_ms: float | None = None  # the longest wait before a campaign; None: half of the shortest renewal
    relays: tuple[float, float] | None = None  # the fleet's out at one cache, at one parent; 0: any


def check(
    form: FleetForm | None, settings: Settings, complain: Callable[[Path, str], None]
) -> dict[str, Any] | None:
    """Return plain values for `read`, or None where the file names no fleet; what is wrong is told."""
    if form is None:
        return None
    host, _, port = form.service.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        complain(("fleet", "service"), f"{form.service!r} is not host:port")
    if not form.tasks:
        complain(("fleet", "tasks"), "it is empty: a fleet without tasks does nothing")
    tasks: dict[str, Terms] = {}
    for name, task in form.tasks.items():
        path: Path = ("fleet", "tasks", name)
        if TASK.fullmatch(name) is None:
            complain(path, f"{name!r}: letters in lower case, digits and . _ - were expected, 64 at most")
        if task.ttl < SECOND or task.ttl % SECOND:
            complain((*path, "ttl"), f"{task.ttl:g} ms: the service grants whole seconds, 1s at least")
            continue
        terms = Terms(task.ttl, task.margin, form.drift, task.renew, form.round_trip)
        try:
            terms.check()
        except Refused as refused:
            term, _, reason = str(refused).partition(": ")
            key = term.removesuffix("_ms")
            complain(("fleet", key) if key in ("drift", "round_trip") else (*path, key), reason)
            continue
        tasks[name] = terms
    probing = _probing(form, tasks, complain)
    if form.log is not None and LIST not in form.tasks:
        complain(("fleet", "log"), f"fleet.tasks has no {LIST!r}: nobody would read the log for the others")
    _limits(form, settings, complain)
    relays = form.limits.relays if form.limits is not None else None
    return {
        "service": form.service,
        "refresh_ms": form.refresh,
        "tasks": {name: asdict(terms) for name, terms in tasks.items()},
        "probing": asdict(probing),
        "log_bound_ms": None if form.log is None else form.log.bound,
        "limits": None if form.limits is None else [form.limits.refresh, form.limits.lasts],
        "drift": form.drift,
        "spread_ms": form.spread,
        "relays": None if relays is None else [float(relays.caches or 0), float(relays.parents or 0)],
    }


def _limits(form: FleetForm, settings: Settings, complain: Callable[[Path, str], None]) -> None:
    told = form.limits
    if told is None:
        return
    path: Path = ("fleet", "limits")
    if LIMITS not in form.tasks:
        complain(path, f"fleet.tasks has no {LIMITS!r}: nobody would share anything out")
    if told.refresh < form.round_trip:
        complain((*path, "refresh"), f"{told.refresh:g} ms is below a round trip, {form.round_trip:g} ms")
    try:
        Sharing(1, told.lasts, told.refresh, 0.0, form.drift).check()
    except NotShared as refused:
        term, _, reason = str(refused).partition(": ")
        complain((*path, term), reason)
    if told.relays is not None:
        # A front without a grant has an equal part; where that is below one relay it could send nothing.
        most_here = max(settings.fronts_by_zone, default=1)
        for key, cap, fronts in (
            ("caches", told.relays.caches, most_here), ("parents", told.relays.parents, settings.fronts)
        ):  # fmt: skip
            if cap is not None and cap < fronts:
                complain(
                    (*path, "relays", key),
                    f"{cap} among {fronts} fronts leaves a front without a grant less than one relay",
                )


def _probing(form: FleetForm, tasks: dict[str, Terms], complain: Callable[[Path, str], None]) -> Probing:
    told = form.probing
    path: Path = ("fleet", "probing")
    if told is None:
        probing = Probing()
        if PROBE in tasks:  # long enough to outlive a change of prober, whatever its terms
            holds = max(probing.lasts, 2.0 * (tasks[PROBE].ttl_ms + tasks[PROBE].renew_ms))
            probing = Probing(lasts=holds)
        return probing
    probing = Probing(
        told.interval, told.within, told.fails, told.passes, told.lasts, told.most_bad, told.most_out
    )
    if PROBE not in form.tasks:
        complain(path, f"fleet.tasks has no {PROBE!r}: nobody would probe")
    if probing.within >= probing.interval:
        complain(
            (*path, "within"), f"{probing.within:g} ms is not below the interval, {probing.interval:g} ms"
        )
    if PROBE in tasks:
        least = 1.5 * (tasks[PROBE].ttl_ms + tasks[PROBE].renew_ms)
        if probing.lasts < least:
            complain(
                (*path, "lasts"),
                f"{probing.lasts:g} ms ends before another front can have taken the task over: {least:g} ms "
                "at least (a verdict may be a third of it old when its prober dies)",
            )
    return probing


def read(values: dict[str, Any]) -> FleetTerms:
    """Return the terms that `check` wrote as plain values."""
    return FleetTerms(
        values["service"],
        values["refresh_ms"],
        {name: Terms(**terms) for name, terms in values["tasks"].items()},
        Probing(**values["probing"]),
        values["log_bound_ms"],
        tuple(values["limits"]) if values["limits"] else None,
        values["drift"],
        values["spread_ms"],
        tuple(values["relays"]) if values.get("relays") else None,
    )
