"""Counts what the front takes in, sends and answers, and what must hold but did not."""

import math
import os
import resource
from collections import Counter
from contextlib import suppress


def private_memory_bytes() -> int:
    """Tell how many bytes the process takes now, without what it shares with files."""
    with open("/proc/self/statm") as file:
        _, resident, shared, *_ = map(int, file.read().split())
    return (resident - shared) * resource.getpagesize()


def peak_memory_bytes() -> int:
    """Tell how many bytes the process took at most; `ru_maxrss` counts those of its starter too."""
    with open("/proc/self/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class Counters:
    """Counts by name, and the most that some figures came to."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.maxima: dict[str, float] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count one more."""
        self.counts[name] += by

    def record_max(self, name: str, value: float) -> None:
        """Keep the largest value seen."""
        if value > self.maxima.get(name, -math.inf):
            self.maxima[name] = value

    def sample_process(self) -> None:
        """Look at what the process takes."""
        with suppress(OSError):  # there may be no descriptor left to look with
            self.record_max("memory_mb", peak_memory_bytes() / (1 << 20))
            self.record_max("descriptors", len(os.listdir("/proc/self/fd")))

    def all(self) -> dict[str, int | float]:
        """Return all of them, counts first."""
        self.sample_process()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.maxima["cpu_s"] = usage.ru_utime + usage.ru_stime
        return {**dict(sorted(self.counts.items())), **dict(sorted(self.maxima.items()))}


COUNTERS = Counters()


def check_invariant(holds: bool, name: str) -> None:
    """Assert what must hold in a debug build; count it where it does not in a release build (`python -O`)."""
    if holds:
        return
    if __debug__:
        raise AssertionError(name)
    COUNTERS.add(f"invariant_broken.{name}")
