"""The file's `fleet`: which coordination service, which tasks, on what terms; checked, and as plain values.

A front holds them as plain values (`CompiledConfig.fleet`) and reads them (`parse_fleet_config`) only where
it takes part, so that a front that does not imports nothing of this.
"""

import re
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from cometseam.interface import Settings
from cometseam.limits import SharingTerms
from cometseam.limits import SharingTermsError as NotShared
from cometseam.operator.schema import FleetForm
from cometseam.ownership import OwnershipTerms, OwnershipTermsError
from cometseam.verdicts import ProbeTerms

Path = tuple[str | int, ...]
PROBE_TASK, LIST_TASK, LIMITS_TASK = "probe", "list", "limits"
TASK = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """What a front's part in the fleet goes by; times in ms."""

    service: str  # host:port
    refresh_ms: float  # between two reads of the whole beside a watch
    tasks: dict[str, OwnershipTerms]
    probing: ProbeTerms
    max_log_age_ms: float | None = None  # None: each front reads the change log itself
    # Refresh and lasts of grants; None: nothing is shared out.
    grant_timing: tuple[float, float] | None = None
    drift: float = 0.01
    spread_ms: float | None = None  # the longest wait before a campaign; None: half of the shortest renewal
    in_flight_limits: tuple[float, float] | None = None  # the fleet's out at one cache, at one parent; 0: any


def check_fleet(
    form: FleetForm | None, settings: Settings, complain: Callable[[Path, str], None]
) -> dict[str, Any] | None:
    """Return plain values for `parse_fleet_config`, or None where the file names no fleet; what is wrong is
    told."""
    if form is None:
        return None
    host, _, port = form.service.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        complain(("fleet", "service"), f"{form.service!r} is not host:port")
    if not form.tasks:
        complain(("fleet", "tasks"), "it is empty: a fleet without tasks does nothing")
    tasks: dict[str, OwnershipTerms] = {}
    for name, task in form.tasks.items():
        path: Path = ("fleet", "tasks", name)
        if TASK.fullmatch(name) is None:
            complain(path, f"{name!r}: letters in lower case, digits and . _ - were expected, 64 at most")
        if task.ttl < SECOND or task.ttl % SECOND:
            complain((*path, "ttl"), f"{task.ttl:g} ms: the service grants whole seconds, 1s at least")
            continue
        terms = OwnershipTerms(task.ttl, task.margin, form.drift, task.renew, form.round_trip)
        try:
            terms.check()
        except OwnershipTermsError as refused:
            term, _, reason = str(refused).partition(": ")
            key = term.removesuffix("_ms")
            complain(("fleet", key) if key in ("drift", "round_trip") else (*path, key), reason)
            continue
        tasks[name] = terms
    probing = _probing(form, tasks, complain)
    if form.log is not None and LIST_TASK not in form.tasks:
        complain(
            ("fleet", "log"), f"fleet.tasks has no {LIST_TASK!r}: nobody would read the log for the others"
        )
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
    if LIMITS_TASK not in form.tasks:
        complain(path, f"fleet.tasks has no {LIMITS_TASK!r}: nobody would share anything out")
    if told.refresh < form.round_trip:
        complain((*path, "refresh"), f"{told.refresh:g} ms is below a round trip, {form.round_trip:g} ms")
    try:
        SharingTerms(1, told.lasts, told.refresh, 0.0, form.drift).check()
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


def _probing(
    form: FleetForm, tasks: dict[str, OwnershipTerms], complain: Callable[[Path, str], None]
) -> ProbeTerms:
    told = form.probing
    path: Path = ("fleet", "probing")
    if told is None:
        probing = ProbeTerms()
        if PROBE_TASK in tasks:  # long enough to outlive a change of prober, whatever its terms
            holds = max(probing.lasts, 2.0 * (tasks[PROBE_TASK].ttl_ms + tasks[PROBE_TASK].renew_ms))
            probing = ProbeTerms(lasts=holds)
        return probing
    probing = ProbeTerms(
        told.interval, told.within, told.fails, told.passes, told.lasts, told.most_bad, told.most_out
    )
    if PROBE_TASK not in form.tasks:
        complain(path, f"fleet.tasks has no {PROBE_TASK!r}: nobody would probe")
    if probing.within >= probing.interval:
        complain(
            (*path, "within"), f"{probing.within:g} ms is not below the interval, {probing.interval:g} ms"
        )
    if PROBE_TASK in tasks:
        least = 1.5 * (tasks[PROBE_TASK].ttl_ms + tasks[PROBE_TASK].renew_ms)
        if probing.lasts < least:
            complain(
                (*path, "lasts"),
                f"{probing.lasts:g} ms ends before another front can have taken the task over: {least:g} ms "
                "at least (a verdict may be a third of it old when its prober dies)",
            )
    return probing


def parse_fleet_config(values: dict[str, Any]) -> FleetConfig:
    """Return the terms that `check_fleet` wrote as plain values."""
    return FleetConfig(
        values["service"],
        values["refresh_ms"],
        {name: OwnershipTerms(**terms) for name, terms in values["tasks"].items()},
        ProbeTerms(**values["probing"]),
        values["log_bound_ms"],
        tuple(values["limits"]) if values["limits"] else None,
        values["drift"],
        values["spread_ms"],
        tuple(values["relays"]) if values.get("relays") else None,
    )
