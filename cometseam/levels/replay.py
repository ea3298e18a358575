"""Replays a series of signal values through the levels and reports what would have changed when. No I/O.

A series is CSV text: a header of `t` (seconds) and signal names, then one row for each time. An empty field
means that the signal is unknown at that time.
"""

import csv
import io
import math
from dataclasses import dataclass
from random import Random

from cometseam.levels.machine import LevelChange, LevelStateMachine
from cometseam.levels.policy import LevelPolicy

MAX_ROWS = 1_000_000


class SeriesError(ValueError):
    """A series cannot be used; the text names the line."""


@dataclass(frozen=True, slots=True)
class Row:
    """The signal values at a time (ms)."""

    at: float
    values: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """The changes with their times (ms), and the level and the largest shed share at each row."""

    changes: list[tuple[float, LevelChange]]
    levels: list[int]
    shares: list[float]
    seconds_by_level: dict[str, float]


def parse_series(text: str, known_signals: list[str]) -> list[Row]:
    """Parse a series; raises `SeriesError` for an unknown signal, a malformed row or a time out of order."""
    rows = csv.reader(io.StringIO(text))
    header = next(rows, [])
    if header[:1] != ["t"]:
        raise SeriesError("line 1: expected a header that begins with t")
    for name in header[1:]:
        if name not in known_signals:
            raise SeriesError(f"line 1: {name!r} is no signal; known are {', '.join(known_signals)}")
    parsed: list[Row] = []
    for number, row in enumerate(rows, 2):
        if not row:
            continue
        if len(row) != len(header):
            raise SeriesError(f"line {number}: expected {len(header)} fields, found {len(row)}")
        try:
            at = 1000.0 * float(row[0])
            pairs = zip(header[1:], row[1:], strict=True)
            values = {name: float(value) if value else None for name, value in pairs}
        except ValueError as error:
            raise SeriesError(f"line {number}: {error}") from error
        if not all(math.isfinite(value) for value in (at, *(v for v in values.values() if v is not None))):
            raise SeriesError(f"line {number}: expected finite numbers")
        if parsed and at <= parsed[-1].at:
            raise SeriesError(f"line {number}: its time is not later than that of the row before")
        parsed.append(Row(at, values))
        if len(parsed) > MAX_ROWS:
            raise SeriesError(f"expected at most {MAX_ROWS} rows")
    if not parsed:
        raise SeriesError("expected rows after the header, found none")
    return parsed


def replay(policy: LevelPolicy, rows: list[Row], seed: int) -> ReplayResult:
    """Step the state machine through a series; the same series and seed give the same result."""
    machine = LevelStateMachine(policy, Random(seed))
    changes: list[tuple[float, LevelChange]] = []
    levels: list[int] = []
    shares: list[float] = []
    for row in rows:
        change = machine.step(row.at, row.values)
        if change is not None:
            changes.append((row.at, change))
        levels.append(machine.level)
        shares.append(max((shed.share for shed in machine.current_actions().shed), default=0.0))
    names = [policy.level_name(number) for number in range(len(policy.levels) + 1)]
    seconds = {name: time_ms / 1000.0 for name, time_ms in zip(names, machine.level_times_ms, strict=True)}
    return ReplayResult(changes, levels, shares, seconds)
