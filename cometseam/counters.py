"""Counters of the front's input, output and answers, and of broken invariants."""

import math
import os
import resource
from collections import Counter
from contextlib import suppress


def memory_bytes_of(process: int | str = "self") -> int:
    """Return the memory of a process in bytes that no other process shares.

    Where the system does not tell that, pages of files count as shared.
    """
    with suppress(OSError), open(f"/proc/{process}/smaps_rollup") as file:
        private_kb = sum(int(line.split()[1]) for line in file if line.startswith("Private_"))
        if private_kb:
            return 1024 * private_kb
    with open(f"/proc/{process}/statm") as file:
        _, resident, shared, *_ = map(int, file.read().split())
    return (resident - shared) * resource.getpagesize()


def peak_memory_bytes() -> int:
    """Return the peak resident memory in bytes; `ru_maxrss` would include that of the parent process."""
    with open("/proc/self/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class Counters:
    """Counts by name, and the maxima of some values."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.maxima: dict[str, float] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Increase a count by `by`."""
        self.counts[name] += by

    def record_max(self, name: str, value: float) -> None:
        """Keep the largest value recorded under a name."""
        if value > self.maxima.get(name, -math.inf):
            self.maxima[name] = value

    def sample_process(self) -> None:
        """Record the peak memory and the number of open descriptors of the process."""
        with suppress(OSError):  # there may be no file descriptor left for reading /proc
            self.record_max("memory_mb", peak_memory_bytes() / (1 << 20))
            self.record_max("descriptors", len(os.listdir("/proc/self/fd")))

    def all(self) -> dict[str, int | float]:
        """Return all values by name, counts first."""
        self.sample_process()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.maxima["cpu_s"] = usage.ru_utime + usage.ru_stime
        return {**dict(sorted(self.counts.items())), **dict(sorted(self.maxima.items()))}


COUNTERS = Counters()


def check_invariant(holds: bool, name: str) -> None:
    """Raise AssertionError if an invariant is broken; with `python -O`, count it instead."""
    if holds:
        return
    if __debug__:
        raise AssertionError(name)
    COUNTERS.add(f"invariant_broken.{name}")
