"""From the settings' JSON object to what the decisions and the network code read of it.

Both sides, the simulator's wire and the real front, decode it here; unknown keys are skipped.
"""

from dataclasses import dataclass

from cometseam.interface import Effect, Group, Settings, Workload
from cometseam.reading import Section

EFFECTS = {"idempotent": Effect.REPEATABLE, "deduplicated": Effect.TAGGED, "at_most_once": Effect.ONCE_ONLY}
GROUPS = {str(group): group for group in Group}


@dataclass(frozen=True, slots=True)
class Names:
    """What messages on sockets call by name and the decisions by place."""

    workloads: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    reports: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Links:
    """What the network code is held to; times in ms."""

    streams: int
    connect_within: float
    idle: float
    longest_cut_off: float  # of any workload: what is stuck for longer helps nobody
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
        zone=info.whole("locality"),
        hub_of=tuple(int(hub) for hub in family.numbers("hubOf")),
        fronts_by_zone=tuple(int(count) for count in family.numbers("instancesByZone")),
        fronts=info.whole("balancers"),
        parent_kind=family.whole("midKind", -1),
        origin_kind=family.whole("storeKind", -1),
        asks_for_list=info.text("discovery") == "ask",
        sized=info.text("weights") in ("nominal", "rough"),
        link_report=reports.index("x1"),
        recalls=ceilings.flag("cancel"),
        tells_retry=ceilings.flag("retryAfter"),
        longest_retry=ceilings.number("maxRetryAfter"),
        relay_limit=ceilings.whole("tryLimit"),
        joins=family.flag("joins", False),
        pace=family.number("streamKbPerS", 0.0) / 1000.0,
        cold_from=safety.number("coldFrom"),
        warm_after=safety.number("warmAfter"),
        fall_multiple=safety.number("fallMultiple"),
        fall_time=safety.number("overloadFor"),
        parent_cold_from=family.number("upperColdFrom", 1.0),
        parent_warm_after=family.number("parentWarmsIn", 0.0),
        parent_fall_multiple=family.number("parentLimitFactor", 1.0),
        purge_takes=family.number("purgeTakes", 0.0),
    )


def _workload(grade: Section, place: int, family: Section) -> Workload:
    def listed(key: str, absent: float) -> float:
        values = family.numbers(key)
        return values[place] if place < len(values) else absent

    writes = family.flags("classWrite")
    return Workload(
        quoted=grade.number("aim"),
        stretch=grade.number("aimStretch", 0.0),
        cut_off=grade.number("hardLimit"),
        gain=grade.number("worth"),
        effect=grade.one_of("repeat", EFFECTS),
        group=grade.one_of("group", GROUPS),
        window=grade.number("window"),
        write=place < len(writes) and writes[place],
        fresh=listed("goodFor", 0.0),
        grace=listed("usableAfter", 0.0),
        stale_gain=listed("oldCopyWorth", 1.0),
    )


def read_names(info: Section) -> Names:
    """Decode the names in use on sockets."""
    return Names(
        workloads=tuple(grade.text("name") for grade in info.sections("grades")),
        zones=info.texts("zones"),
        kinds=info.texts("skus"),
        reports=info.section("report").texts("names"),
    )


def read_links(info: Section) -> Links:
    """Decode what the network code is held to."""
    ceilings = info.section("ceilings")
    return Links(
        streams=ceilings.whole("streamsPerConn", low=1),
        connect_within=ceilings.number("dialTimeout", low=1),
        idle=ceilings.number("keepalive", low=1),
        longest_cut_off=max((grade.number("hardLimit") for grade in info.sections("grades")), default=0.0),
        answer_grace=info.section("safety").number("graceToAnswer", low=0),
        drain_grace=info.section("safety").number("drainGrace", 500.0, low=1),
    )
