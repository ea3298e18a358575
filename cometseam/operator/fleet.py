"""Checks the file's `fleet`: the coordination service, the tasks and their terms.

The result is kept as JSON-compatible values (`CompiledConfig.fleet`). Only a front that is a fleet member
parses them (`parse_fleet_config`), so that other fronts don't import this module.
"""

import re
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from cometseam.interface import Settings
from cometseam.limits import SharingTerms, SharingTermsError
from cometseam.operator.schema import FleetForm
from cometseam.ownership import OwnershipTerms, OwnershipTermsError
from cometseam.verdicts import ProbeTerms

Path = tuple[str | int, ...]
PROBE_TASK = "probe"
LIST_TASK = "list"
LIMITS_TASK = "limits"
TASK_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
MS_PER_SECOND = 1000.0
# By the protocol an event counts as received so long after it was logged, whether or not it arrived.
MAX_EVENT_DELAY_MS = 7000.0
# The longest that a front takes to poll the log once it stops relying on the reader: it checks that every
# 50 ms, a first connection may stay silent, and the second one is established and answered.
OWN_POLL_MS = 700.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """How a front takes part in the fleet; times in ms."""

    service: str  # host:port
    refresh_ms: float  # between two full reads, in addition to the watch
    tasks: dict[str, OwnershipTerms]
    probing: ProbeTerms
    max_log_age_ms: float | None = None  # None: each front polls the discovery event log itself
    # Refresh interval and TTL of capacity grants; None: no limits are shared.
    grant_timing: tuple[float, float] | None = None
    drift: float = 0.01
    # Maximum wait before an election campaign; None: half of the shortest renewal interval.
    spread_ms: float | None = None
    # Relays that the whole fleet may have in flight at one cache and at one parent; 0: unlimited.
    in_flight_limits: tuple[float, float] | None = None


def check_fleet(
    form: FleetForm | None, settings: Settings, report_fault: Callable[[Path, str], None]
) -> dict[str, Any] | None:
    """Return the values for `parse_fleet_config`, or None where the file has no `fleet`; reports faults."""
    if form is None:
        return None
    host, _, port = form.service.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        report_fault(("fleet", "service"), f"{form.service!r} is not host:port")
    if not form.tasks:
        report_fault(("fleet", "tasks"), "it is empty: a fleet without tasks does nothing")
    tasks: dict[str, OwnershipTerms] = {}
    for name, task in form.tasks.items():
        path: Path = ("fleet", "tasks", name)
        if TASK_NAME_PATTERN.fullmatch(name) is None:
            report_fault(path, f"{name!r}: letters in lower case, digits and . _ - were expected, 64 at most")
        if task.ttl < MS_PER_SECOND or task.ttl % MS_PER_SECOND:
            report_fault((*path, "ttl"), f"{task.ttl:g} ms: the service grants whole seconds, 1s at least")
            continue
        terms = OwnershipTerms(task.ttl, task.margin, form.drift, task.renew, form.round_trip)
        try:
            terms.check()
        except OwnershipTermsError as error:
            term, _, reason = str(error).partition(": ")
            key = term.removesuffix("_ms")
            report_fault(("fleet", key) if key in ("drift", "round_trip") else (*path, key), reason)
            continue
        tasks[name] = terms
    probing = _probe_terms(form, tasks, report_fault)
    _check_log(form, report_fault)
    _check_limits(form, settings, report_fault)
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


def _check_log(form: FleetForm, report_fault: Callable[[Path, str], None]) -> None:
    """Check that someone reads the log, and that every event is known in time if that front dies."""
    if form.log is None:
        return
    if LIST_TASK not in form.tasks:
        report_fault(
            ("fleet", "log"), f"fleet.tasks has no {LIST_TASK!r}: nobody would read the log for the others"
        )
    delay = form.round_trip + form.refresh + form.log.bound + OWN_POLL_MS
    if delay > MAX_EVENT_DELAY_MS:
        report_fault(
            ("fleet", "log", "bound"),
            f"an event could become known {delay:g} ms after it was logged, "
            f"{MAX_EVENT_DELAY_MS:g} ms at most: "
            f"round_trip {form.round_trip:g} + refresh {form.refresh:g} + bound {form.log.bound:g} "
            f"+ an own poll {OWN_POLL_MS:g}",
        )


def _check_limits(form: FleetForm, settings: Settings, report_fault: Callable[[Path, str], None]) -> None:
    limits = form.limits
    if limits is None:
        return
    path: Path = ("fleet", "limits")
    if LIMITS_TASK not in form.tasks:
        report_fault(path, f"fleet.tasks has no {LIMITS_TASK!r}: nobody would share anything out")
    if limits.refresh < form.round_trip:
        report_fault(
            (*path, "refresh"), f"{limits.refresh:g} ms is below a round trip, {form.round_trip:g} ms"
        )
    try:
        SharingTerms(1, limits.lasts, limits.refresh, 0.0, form.drift).check()
    except SharingTermsError as error:
        term, _, reason = str(error).partition(": ")
        report_fault((*path, term), reason)
    if limits.relays is not None:
        # A front without a grant uses an equal share; a share below one relay would let it send nothing.
        zone_fronts = max(settings.fronts_by_zone, default=1)
        for key, max_relays, fronts in (
            ("caches", limits.relays.caches, zone_fronts),
            ("parents", limits.relays.parents, settings.fronts),
        ):  # fmt: skip
            if max_relays is not None and max_relays < fronts:
                report_fault(
                    (*path, "relays", key),
                    f"{max_relays} among {fronts} fronts leaves a front without a grant less than one relay",
                )


def _probe_terms(
    form: FleetForm, tasks: dict[str, OwnershipTerms], report_fault: Callable[[Path, str], None]
) -> ProbeTerms:
    probing_form = form.probing
    path: Path = ("fleet", "probing")
    if probing_form is None:
        probing = ProbeTerms()
        if PROBE_TASK in tasks:  # outlives a change of prober, whatever the task's terms
            ttl = max(probing.lasts, 2.0 * (tasks[PROBE_TASK].ttl_ms + tasks[PROBE_TASK].renew_ms))
            probing = ProbeTerms(lasts=ttl)
        return probing
    probing = ProbeTerms(
        probing_form.interval,
        probing_form.within,
        probing_form.fails,
        probing_form.passes,
        probing_form.lasts,
        probing_form.most_bad,
        probing_form.most_out,
    )
    if PROBE_TASK not in form.tasks:
        report_fault(path, f"fleet.tasks has no {PROBE_TASK!r}: nobody would probe")
    if probing.within >= probing.interval:
        report_fault(
            (*path, "within"), f"{probing.within:g} ms is not below the interval, {probing.interval:g} ms"
        )
    if PROBE_TASK in tasks:
        min_ttl = 1.5 * (tasks[PROBE_TASK].ttl_ms + tasks[PROBE_TASK].renew_ms)
        if probing.lasts < min_ttl:
            report_fault(
                (*path, "lasts"),
                f"{probing.lasts:g} ms ends before another front can have taken the task over: "
                f"{min_ttl:g} ms at least "
                "(a verdict may have used a third of that time when its prober dies)",
            )
    return probing


def parse_fleet_config(values: dict[str, Any]) -> FleetConfig:
    """Return the configuration for the values that `check_fleet` returned."""
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
