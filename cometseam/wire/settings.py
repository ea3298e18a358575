"""From the settings' JSON text to `Settings`: the wire's names on the left, ours on the right."""

import json
from typing import Any

from cometseam.interface import Effect, Group, Settings, Workload
from cometseam.wire import Malformed

EFFECTS = {"idempotent": Effect.REPEATABLE, "deduplicated": Effect.TAGGED, "at_most_once": Effect.ONCE_ONLY}


def read_settings(raw: bytes) -> Settings:
    """Decode a start message's settings; unknown keys are skipped."""
    try:
        info = json.loads(raw)
        return _settings(info)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, RecursionError) as error:
        raise Malformed(f"settings: {type(error).__name__}: {error}") from error


def _settings(info: dict[str, Any]) -> Settings:
    family, safety, ceilings = info.get("familyInfo", {}), info["safety"], info["ceilings"]
    return Settings(
        workloads=tuple(_workload(grade, place, family) for place, grade in enumerate(info["grades"])),
        zone=int(info["locality"]),
        hub_of=tuple(int(hub) for hub in family.get("hubOf", ())),
        fronts_by_zone=tuple(int(count) for count in family.get("instancesByZone", ())),
        fronts=int(info["balancers"]),
        parent_kind=int(family.get("midKind", -1)),
        origin_kind=int(family.get("storeKind", -1)),
        asks_for_list=info["discovery"] == "ask",
        sized=info["weights"] in ("nominal", "rough"),
        link_report=[*info["report"]["names"], "x1"].index("x1"),
        recalls=bool(ceilings["cancel"]),
        tells_retry=bool(ceilings["retryAfter"]),
        longest_retry=float(ceilings["maxRetryAfter"]),
        relay_limit=int(ceilings["tryLimit"]),
        joins=bool(family.get("joins", False)),
        pace=float(family.get("streamKbPerS", 0.0)) / 1000.0,
        cold_from=float(safety["coldFrom"]),
        warm_after=float(safety["warmAfter"]),
        fall_multiple=float(safety["fallMultiple"]),
        fall_time=float(safety["overloadFor"]),
        parent_cold_from=float(family.get("upperColdFrom", 1.0)),
        parent_warm_after=float(family.get("parentWarmsIn", 0.0)),
        parent_fall_multiple=float(family.get("parentLimitFactor", 1.0)),
        purge_takes=float(family.get("purgeTakes", 0.0)),
    )


def _workload(grade: dict[str, Any], place: int, family: dict[str, Any]) -> Workload:
    def listed(key: str, absent: Any) -> Any:
        values = family.get(key, ())
        return values[place] if place < len(values) else absent

    return Workload(
        quoted=float(grade["aim"]),
        stretch=float(grade.get("aimStretch", 0.0)),
        cut_off=float(grade["hardLimit"]),
        gain=float(grade["worth"]),
        effect=EFFECTS[grade["repeat"]],
        group=Group(grade["group"]),
        window=float(grade["window"]),
        write=bool(listed("classWrite", False)),
        fresh=float(listed("goodFor", 0.0)),
        grace=float(listed("usableAfter", 0.0)),
        stale_gain=float(listed("oldCopyWorth", 1.0)),
    )
