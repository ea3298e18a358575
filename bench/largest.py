"""Compares the answered share of each class's largest requests with that of the class, from bench journals.

    python -m bench.largest JOURNAL...      # of a version of `lbreal score` that reports shares by size

Prints the lowest ratios by kind of day. The minimum is two thirds on a quiet day, which has `calm` in its
name, and half on others; the exit status is 1 if a ratio is lower. Classes of which under a twentieth was
served are left out: there is nothing to share.
"""

import json
import sys
from pathlib import Path
from typing import Any

QUIET_DAY_MIN_RATIO = 2.0 / 3.0
OTHER_DAY_MIN_RATIO = 0.5
MIN_SERVED_SHARE = 0.05  # of a class; below that there is nothing to compare
SHOWN_PER_KIND = 6


def ratios(day: dict[str, Any]) -> list[tuple[float, str, str]]:
    """Return the answered share of each class's largest tenth and next fifth over that of the class."""
    by_class: dict[str, float] = {name: share for name, share, _ in day.get("by_class") or []}
    found = []
    for row_index, (name, share, _) in enumerate(day.get("by_size") or []):
        if by_class.get(name, 0.0) >= MIN_SERVED_SHARE:
            size_class = "largest" if row_index < len(by_class) else "next fifth"
            found.append((share / by_class[name], name, size_class))
    return found


def main(arguments: list[str]) -> int:
    rows: dict[bool, list[tuple[float, str]]] = {True: [], False: []}
    for path in arguments:
        journal = json.loads(Path(path).read_text())
        for day in journal.get("days") or []:
            is_quiet = "calm" in day["name"]
            for ratio, name, size_class in ratios(day):
                rows[is_quiet].append(
                    (ratio, f"{journal['site']} {day['name']} {day['seed']} {name} {size_class}")
                )
    failures = 0
    for is_quiet, min_ratio in ((True, QUIET_DAY_MIN_RATIO), (False, OTHER_DAY_MIN_RATIO)):
        found = sorted(rows[is_quiet])
        low = [row for row in found if row[0] < min_ratio]
        failures += len(low)
        print(
            f"{'quiet' if is_quiet else 'other'} days: {len(found)} shares, {len(low)} under {min_ratio:.2f}"
        )
        for ratio, text in found[:SHOWN_PER_KIND]:
            print(f"  {ratio:.2f}  {text}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
