"""A series of signals through the levels: what would have changed when. No I/O.

A series is text in lines: a head of `t` (seconds) and signals' names, separated by commas, then a row for
each time. An empty place is a signal that is not known then.
"""

import csv
import io
import math
from dataclasses import dataclass
from random import Random

from cometseam.levels.machine import LevelChange, LevelStateMachine
from cometseam.levels.policy import LevelPolicy

MOST_ROWS = 1_000_000


class SeriesError(ValueError):
    """A series can't be used; the text names the line."""


@dataclass(frozen=True, slots=True)
class Row:
    """The signals at a time (ms)."""

    at: float
    values: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """What a series came to: the changes with their times, and the level and shed share at each row."""

    changes: list[tuple[float, LevelChange]]
    levels: list[int]
    shares: list[float]
    seconds_by_level: dict[str, float]  # s


def parse_series(text: str, known: list[str]) -> list[Row]:
    """Read a series; a name that is no signal, or a row that goes back in time, is `SeriesError`."""
    rows = csv.reader(io.StringIO(text))
    head = next(rows, [])
    if head[:1] != ["t"]:
        raise SeriesError("line 1: a head that begins with t was expected")
    for name in head[1:]:
        if name not in known:
            raise SeriesError(f"line 1: {name!r} is no signal; known are {', '.join(known)}")
    out: list[Row] = []
    for number, row in enumerate(rows, 2):
        if not row:
            continue
        if len(row) != len(head):
            raise SeriesError(f"line {number}: {len(head)} places were expected, not {len(row)}")
        try:
            at = 1000.0 * float(row[0])
            told = zip(head[1:], row[1:], strict=True)
            values = {name: float(value) if value else None for name, value in told}
        except ValueError as error:
            raise SeriesError(f"line {number}: {error}") from error
        if not all(math.isfinite(value) for value in (at, *(v for v in values.values() if v is not None))):
            raise SeriesError(f"line {number}: a finite number was expected")
        if out and at <= out[-1].at:
            raise SeriesError(f"line {number}: its time does not lie after the one before")
        out.append(Row(at, values))
        if len(out) > MOST_ROWS:
            raise SeriesError(f"more than {MOST_ROWS} rows")
    if not out:
        raise SeriesError("it holds no rows")
    return out


def replay(scheme: LevelPolicy, rows: list[Row], seed: int) -> ReplayResult:
    """Step the levels through a series; the same series and seed give the same changes."""
    machine = LevelStateMachine(scheme, Random(seed))
    changes: list[tuple[float, LevelChange]] = []
    levels: list[int] = []
    shares: list[float] = []
    for row in rows:
        change = machine.step(row.at, row.values)
        if change is not None:
            changes.append((row.at, change))
        levels.append(machine.level)
        shares.append(max((shed.share for shed in machine.current_actions().shed), default=0.0))
    names = [scheme.level_name(number) for number in range(len(scheme.levels) + 1)]
    times = {name: time / 1000.0 for name, time in zip(names, machine.level_times_ms, strict=True)}
    return ReplayResult(changes, levels, shares, times)
