"""Sets the answered share of each class's largest requests against the class's, from the bench's journals.

    python -m bench.largest JOURNAL...      # of an edition of `lbreal score` that tells shares by size

Prints the worst by kind of day. A quiet day has `calm` in its name: two thirds are wanted, half on others.
Ends with 1 where one is under that. Classes of which under a twentieth was served are passed over: nothing is
to be shared out.
"""

import json
import sys
from pathlib import Path
from typing import Any

QUIET, OTHERS, SERVED = 2.0 / 3.0, 0.5, 0.05
SHOWN = 6


def ratios(day: dict[str, Any]) -> list[tuple[float, str, str]]:
    """Return for each class its largest tenth's and next fifth's answered share over the class's own."""
    by_class: dict[str, float] = {name: share for name, share, _ in day.get("by_class") or []}
    found = []
    for place, (name, share, _) in enumerate(day.get("by_size") or []):
        if by_class.get(name, 0.0) >= SERVED:
            part = "largest" if place < len(by_class) else "next fifth"
            found.append((share / by_class[name], name, part))
    return found


def main(arguments: list[str]) -> int:
    rows: dict[bool, list[tuple[float, str]]] = {True: [], False: []}
    for path in arguments:
        journal = json.loads(Path(path).read_text())
        for day in journal.get("days") or []:
            quiet = "calm" in day["name"]
            for ratio, name, part in ratios(day):
                rows[quiet].append((ratio, f"{journal['site']} {day['name']} {day['seed']} {name} {part}"))
    under = 0
    for quiet, wanted in ((True, QUIET), (False, OTHERS)):
        found = sorted(rows[quiet])
        low = [row for row in found if row[0] < wanted]
        under += len(low)
        print(f"{'quiet' if quiet else 'other'} days: {len(found)} shares, {len(low)} under {wanted:.2f}")
        for ratio, text in found[:SHOWN]:
            print(f"  {ratio:.2f}  {text}")
    return 1 if under else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
