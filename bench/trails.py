"""Sums up the trails of pulls in fronts' logs: how the pulls that ended wrongly ended, and at what.

    python -m bench.trails LOGS...      # files, or folders of *.log, of fronts run with COMETSEAM_TRACE=wrong

Prints, by kind and lateness, how many pulls, the median time they took, their relays, and the most common
last end (word and why); then the fronts and ids of a few, to be followed through the other fronts' logs.
"""

import re
import statistics
import sys
from collections import Counter, defaultdict
from pathlib import Path

LINE = re.compile(r"pull (\S+) \((\S+)\) (\S+) after ([\d.]+) ms, (late|in time) of ([\d.]+): ?(.*)$")


def files(paths: list[str]) -> list[Path]:
    """The log files that the arguments name."""
    found: list[Path] = []
    for name in paths:
        path = Path(name)
        found += sorted(path.glob("*.log")) if path.is_dir() else [path]
    return found


def main(arguments: list[str]) -> int:
    took: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    relays: dict[tuple[str, str, str], list[int]] = defaultdict(list)
    last: dict[tuple[str, str, str], Counter[str]] = defaultdict(Counter)
    examples: dict[tuple[str, str, str], list[str]] = defaultdict(list)
    for path in files(arguments):
        for text in path.read_text(errors="replace").splitlines():
            found = LINE.search(text)
            if found is None:
                continue
            id, workload, kind, after, late, _, steps = found.groups()
            key = (workload, kind, late)
            took[key].append(float(after))
            told = [step for step in steps.split("; ") if step]
            relays[key].append(sum(" relay " in f" {step}" for step in told))
            ends = [step.split(" ", 3)[-1] for step in told if " end " in f" {step}"]
            last[key][ends[-1] if ends else "(no relay ended)"] += 1
            if len(examples[key]) < 3:
                examples[key].append(f"{path.stem} {id}: {steps}")
    if not took:
        print("no trails found", file=sys.stderr)
        return 1
    heads = f"{'workload':8} {'kind':9} {'late':8} {'pulls':>6} {'p50 ms':>8} {'relays':>6}"
    print(f"{heads}  most common last ends")
    for key in sorted(took, key=lambda key: -len(took[key])):
        common = ", ".join(f"{end} {count}" for end, count in last[key].most_common(3))
        mean, median = statistics.mean(relays[key]), statistics.median(took[key])
        print(f"{key[0]:8} {key[1]:9} {key[2]:8} {len(took[key]):6} {median:8.0f} {mean:6.2f}  {common}")
    print()
    for key, told in examples.items():
        for line in told:
            print(f"{'/'.join(key)}  {line}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
