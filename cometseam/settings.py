"""Decoding of the settings JSON object into what the decisions and the network code use.

The simulator's wire host and the real front both decode it here; unknown keys are ignored.
"""

from dataclasses import dataclass

from cometseam.interface import DedupScope, Idempotency, Settings, Workload
from cometseam.json_section import Section

EFFECTS = {
    "idempotent": Idempotency.REPEATABLE,
    "deduplicated": Idempotency.TAGGED,
    "at_most_once": Idempotency.ONCE_ONLY,
}
DEDUP_SCOPES = {str(scope): scope for scope in DedupScope}


@dataclass(frozen=True, slots=True)
class NameTables:
    """The names, by index, that messages on sockets use where the decisions use an index."""

    workloads: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    load_report_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Limits and time-outs of the network code; durations in ms."""

    max_streams: int
    connect_timeout: float
    idle_timeout: float
    max_deadline: float  # the longest of all workloads: no pull waits longer for an operation
    answer_grace: float  # time after a pull's deadline in which its answer still counts
    # Time after notice of an endpoint's drain in which requests may still be sent to it.
    drain_grace: float = 500.0


def read_settings(root: Section) -> Settings:
    """Decode the settings that the decisions use."""
    family = root.section("familyInfo", {})
    safety, ceilings = root.section("safety"), root.section("ceilings")
    report_names = [*root.section("report").texts("names"), "x1"]
    return Settings(
        workloads=tuple(
            _read_workload(entry, index, family) for index, entry in enumerate(root.sections("grades"))
        ),
        zone=root.integer("locality"),
        hub_of=tuple(int(hub) for hub in family.numbers("hubOf")),
        fronts_by_zone=tuple(int(count) for count in family.numbers("instancesByZone")),
        fronts=root.integer("balancers"),
        parent_kind=family.integer("midKind", -1),
        origin_kind=family.integer("storeKind", -1),
        asks_for_list=root.text("discovery") == "ask",
        weights_known=root.text("weights") in ("nominal", "rough"),
        link_load_index=report_names.index("x1"),
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


def _read_workload(entry: Section, index: int, family: Section) -> Workload:
    def number_at_index(key: str, default: float) -> float:
        values = family.numbers(key)
        return values[index] if index < len(values) else default

    writes = family.flags("classWrite")
    return Workload(
        target_latency=entry.number("aim"),
        target_latency_factor=entry.number("aimStretch", 0.0),
        deadline=entry.number("hardLimit"),
        gain=entry.number("worth"),
        idempotency=entry.one_of("repeat", EFFECTS),
        dedup_scope=entry.one_of("group", DEDUP_SCOPES),
        dedup_window=entry.number("window"),
        is_write=index < len(writes) and writes[index],
        fresh_ttl=number_at_index("goodFor", 0.0),
        stale_ttl=number_at_index("usableAfter", 0.0),
        stale_gain=number_at_index("oldCopyWorth", 1.0),
    )


def read_name_tables(root: Section) -> NameTables:
    """Decode the names that are used on sockets."""
    return NameTables(
        workloads=tuple(entry.text("name") for entry in root.sections("grades")),
        zones=root.texts("zones"),
        kinds=root.texts("skus"),
        load_report_names=root.section("report").texts("names"),
    )


def read_network_settings(root: Section) -> NetworkSettings:
    """Decode the settings that the network code uses."""
    ceilings = root.section("ceilings")
    return NetworkSettings(
        max_streams=ceilings.integer("streamsPerConn", minimum=1),
        connect_timeout=ceilings.number("dialTimeout", minimum=1),
        idle_timeout=ceilings.number("keepalive", minimum=1),
        max_deadline=max((entry.number("hardLimit") for entry in root.sections("grades")), default=0.0),
        answer_grace=root.section("safety").number("graceToAnswer", minimum=0),
        drain_grace=root.section("safety").number("drainGrace", 500.0, minimum=1),
    )
