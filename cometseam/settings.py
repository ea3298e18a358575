"""From the settings' JSON object to what the decisions and the network code read of it.

Both sides, the simulator's wire and the real front, decode it here; unknown keys are skipped.
"""

from dataclasses import dataclass

from cometseam.interface import DedupScope, Idempotency, Settings, Workload
from cometseam.json_section import Section

EFFECTS = {
    "idempotent": Idempotency.REPEATABLE,
    "deduplicated": Idempotency.TAGGED,
    "at_most_once": Idempotency.ONCE_ONLY,
}
GROUPS = {str(group): group for group in DedupScope}


@dataclass(frozen=True, slots=True)
class NameTables:
    """What messages on sockets call by name and the decisions by place."""

    workloads: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    load_report_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """What the network code is held to; times in ms."""

    max_streams: int
    connect_timeout: float
    idle_timeout: float
    max_deadline: float  # of any workload: what is stuck for longer helps nobody
    answer_grace: float  # after a pull's cut-off in which its answer still counts
    drain_grace: float = 500.0  # after word that an endpoint drains in which requests may still go to it


def read_settings(info: Section) -> Settings:
    """Decode what the decisions read."""
    family = info.section("familyInfo", {})
    safety, ceilings = info.section("safety"), info.section("ceilings")
    reports = [*info.section("report").texts("names"), "x1"]
    return Settings(
        workloads=tuple(
            _workload(grade, place, family) for place, grade in enumerate(info.sections("grades"))
        ),
        zone=info.integer("locality"),
        hub_of=tuple(int(hub) for hub in family.numbers("hubOf")),
        fronts_by_zone=tuple(int(count) for count in family.numbers("instancesByZone")),
        fronts=info.integer("balancers"),
        parent_kind=family.integer("midKind", -1),
        origin_kind=family.integer("storeKind", -1),
        asks_for_list=info.text("discovery") == "ask",
        weights_known=info.text("weights") in ("nominal", "rough"),
        link_load_index=reports.index("x1"),
        can_recall=ceilings.flag("cancel"),
        sends_retry_after=ceilings.flag("retryAfter"),
        max_retry_after=ceilings.number("maxRetryAfter"),
        relay_limit=ceilings.integer("tryLimit"),
        joins_fills=family.flag("joins", False),
        stream_rate=family.number("streamKbPerS", 0.0) / 1000.0,
        slow_start_initial_share=safety.number("coldFrom"),
        slow_start_duration=safety.number("warmAfter"),
        overload_factor=safety.number("fallMultiple"),
        overload_window=safety.number("overloadFor"),
        parent_slow_start_initial_share=family.number("upperColdFrom", 1.0),
        parent_slow_start_duration=family.number("parentWarmsIn", 0.0),
        parent_overload_factor=family.number("parentLimitFactor", 1.0),
        purge_propagation=family.number("purgeTakes", 0.0),
    )


def _workload(grade: Section, place: int, family: Section) -> Workload:
    def listed(key: str, absent: float) -> float:
        values = family.numbers(key)
        return values[place] if place < len(values) else absent

    writes = family.flags("classWrite")
    return Workload(
        target_latency=grade.number("aim"),
        target_latency_factor=grade.number("aimStretch", 0.0),
        deadline=grade.number("hardLimit"),
        gain=grade.number("worth"),
        idempotency=grade.one_of("repeat", EFFECTS),
        dedup_scope=grade.one_of("group", GROUPS),
        dedup_window=grade.number("window"),
        is_write=place < len(writes) and writes[place],
        fresh_ttl=listed("goodFor", 0.0),
        stale_ttl=listed("usableAfter", 0.0),
        stale_gain=listed("oldCopyWorth", 1.0),
    )


def read_name_tables(info: Section) -> NameTables:
    """Decode the names in use on sockets."""
    return NameTables(
        workloads=tuple(grade.text("name") for grade in info.sections("grades")),
        zones=info.texts("zones"),
        kinds=info.texts("skus"),
        load_report_names=info.section("report").texts("names"),
    )


def read_network_settings(info: Section) -> NetworkSettings:
    """Decode what the network code is held to."""
    ceilings = info.section("ceilings")
    return NetworkSettings(
        max_streams=ceilings.integer("streamsPerConn", minimum=1),
        connect_timeout=ceilings.number("dialTimeout", minimum=1),
        idle_timeout=ceilings.number("keepalive", minimum=1),
        max_deadline=max((grade.number("hardLimit") for grade in info.sections("grades")), default=0.0),
        answer_grace=info.section("safety").number("graceToAnswer", minimum=0),
        drain_grace=info.section("safety").number("drainGrace", 500.0, minimum=1),
    )
