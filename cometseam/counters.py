"""Counts what the front takes in, sends and answers, and what must hold but did not."""

import math
import os
import resource
from collections import Counter
from contextlib import suppress


def memory_taken() -> int:
    """Tell how many bytes the process takes now, without what it shares with files."""
    with open("/proc/self/statm") as file:
        _, resident, shared, *_ = map(int, file.read().split())
    return (resident - shared) * resource.getpagesize()


def memory_most() -> int:
    """Tell how many bytes the process took at most; `ru_maxrss` counts those of its starter too."""
    with open("/proc/self/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class Counters:
    """Counts by name, and the most that some figures came to."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.most: dict[str, float] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count one more."""
        self.counts[name] += by

    def see(self, name: str, value: float) -> None:
        """Keep the largest value seen."""
        if value > self.most.get(name, -math.inf):
            self.most[name] = value

    def sample(self) -> None:
        """Look at what the process takes."""
        with suppress(OSError):  # there may be no descriptor left to look with
            self.see("memory_mb", memory_most() / (1 << 20))
            self.see("descriptors", len(os.listdir("/proc/self/fd")))

    def all(self) -> dict[str, int | float]:
        """Return all of them, counts first."""
        self.sample()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.most["cpu_s"] = usage.ru_utime + usage.ru_stime
        return {**dict(sorted(self.counts.items())), **dict(sorted(self.most.items()))}


COUNTERS = Counters()


def invariant(holds: bool, name: str) -> None:
    """Assert what must hold in a debug build; count it where it does not in a release build (`python -O`)."""
    if holds:
        return
    if __debug__:
        raise AssertionError(name)
    COUNTERS.add(f"invariant_broken.{name}")
