"""Summarises the traces of pulls in fronts' logs: how pulls without a good answer ended.

    python -m bench.trails LOGS...      # files, or folders of *.log, of fronts run with COMETSEAM_TRACE=wrong

Prints, by kind and lateness, the number of pulls, their median duration, their mean number of relays, and
the most common last relay ends (outcome and reason); then fronts and ids of a few pulls, to look up in
other logs.
"""

import re
import statistics
import sys
from collections import Counter, defaultdict
from pathlib import Path

TRACE_LINE = re.compile(r"pull (\S+) \((\S+)\) (\S+) after ([\d.]+) ms, (late|in time) of ([\d.]+): ?(.*)$")


def log_files(paths: list[str]) -> list[Path]:
    """Return the log files that the arguments name; a directory stands for its *.log files."""
    found: list[Path] = []
    for name in paths:
        path = Path(name)
        found += sorted(path.glob("*.log")) if path.is_dir() else [path]
    return found


def main(arguments: list[str]) -> int:
    durations: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    relay_counts: dict[tuple[str, str, str], list[int]] = defaultdict(list)
    last_ends: dict[tuple[str, str, str], Counter[str]] = defaultdict(Counter)
    examples: dict[tuple[str, str, str], list[str]] = defaultdict(list)
    for path in log_files(arguments):
        for text in path.read_text(errors="replace").splitlines():
            found = TRACE_LINE.search(text)
            if found is None:
                continue
            id, workload, kind, duration, lateness, _, steps = found.groups()
            key = (workload, kind, lateness)
            durations[key].append(float(duration))
            spans = [step for step in steps.split("; ") if step]
            relay_counts[key].append(sum(" relay " in f" {step}" for step in spans))
            ends = [step.split(" ", 3)[-1] for step in spans if " end " in f" {step}"]
            last_ends[key][ends[-1] if ends else "(no relay ended)"] += 1
            if len(examples[key]) < 3:
                examples[key].append(f"{path.stem} {id}: {steps}")
    if not durations:
        print("no traces found", file=sys.stderr)
        return 1
    header = f"{'workload':8} {'kind':9} {'late':8} {'pulls':>6} {'p50 ms':>8} {'relays':>6}"
    print(f"{header}  most common last ends")
    for key in sorted(durations, key=lambda key: -len(durations[key])):
        common = ", ".join(f"{end} {count}" for end, count in last_ends[key].most_common(3))
        mean, median = statistics.mean(relay_counts[key]), statistics.median(durations[key])
        print(f"{key[0]:8} {key[1]:9} {key[2]:8} {len(durations[key]):6} {median:8.0f} {mean:6.2f}  {common}")
    print()
    for key, spans in examples.items():
        for line in spans:
            print(f"{'/'.join(key)}  {line}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
