"""The record of a soak: what each side saw, on one monotonic clock, in one file a seed.

Each record is one line of JSON with its kind, so that a failure is read as a timeline.
"""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TypeVar

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Started:
    """A front's process was started; its numbers of events begin after `base` (of the log's own)."""

    at: float
    front: int
    life: int
    base: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A front's process has ended; `asked_at`: when it got SIGTERM (0: it did not); `killed`: by SIGKILL."""

    at: float
    front: int
    life: int
    status: int
    asked_at: float
    killed: bool


@dataclass(frozen=True, slots=True)
class Requested:
    """A client has written a request whole."""

    at: float
    front: int
    life: int
    request: str
    limit: float  # s
    group: int
    request_class: str


@dataclass(frozen=True, slots=True)
class Replied:
    """A client has read an answer: 1 served, 2 refused, 3 failed."""

    at: float
    request: str
    code: int


@dataclass(frozen=True, slots=True)
class Abandoned:
    """A client stopped waiting: it closed its connection, or the front's end did."""

    at: float
    request: str
    by_client: bool


@dataclass(frozen=True, slots=True)
class Arrived:
    """An attempt has come whole to an endpoint; `first_at` is when its first bytes were read."""

    at: float
    first_at: float
    front: int
    life: int
    endpoint: str
    source: str  # of a fill; empty: none
    request: str
    time_left: float  # s that the front says it will wait
    oldest: float  # s: the oldest copy that will do; 0: the class's


@dataclass(frozen=True, slots=True)
class Finished:
    """An attempt's end: its answer is written, it is given up, or its connection has ended."""

    at: float
    endpoint: str
    request: str
    word: str


@dataclass(frozen=True, slots=True)
class Changed:
    """An event entered discovery: an endpoint is in another state, or a group of objects is purged."""

    at: float
    number: int
    endpoint: str = ""
    state: str = ""
    purged_group: int = -1


@dataclass(frozen=True, slots=True)
class Polled:
    """A front's poll: when it was read, and when its answer was written whole (0: never).

    `ended_at` is when its connection ended, where that came first; `told` the last event in the answer.
    """

    asked_at: float
    front: int
    life: int
    answered_at: float
    ended_at: float
    told: int


@dataclass(frozen=True, slots=True)
class DiscoveryTrouble:
    """A front's discovery answered late by `delay` (s) from `at` to `until`; 0: it refused all."""

    at: float
    until: float
    front: int
    delay: float


@dataclass(frozen=True, slots=True)
class Sampled:
    """What a front's process held: descriptors, and memory in MB."""

    at: float
    front: int
    descriptors: int
    memory: float


@dataclass(frozen=True, slots=True)
class Lagged:
    """The soak itself came late by so much (s): what it read then may have come that much sooner."""

    at: float
    by: float


@dataclass(frozen=True, slots=True)
class Acted:
    """A fault has acted: what was done, to whom."""

    at: float
    kind: str
    target: str
    until: float


Record = (
    Started
    | Ended
    | Requested
    | Replied
    | Abandoned
    | Arrived
    | Finished
    | Changed
    | Polled
    | DiscoveryTrouble
    | Sampled
    | Lagged
    | Acted
)


@dataclass
class History:
    """All records of a seed, in the order in which they were made."""

    records: list[Record] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Take a record in."""
        self.records.append(record)

    def of(self, kind: type[Kind]) -> list[Kind]:
        """Return the records of a kind."""
        return [record for record in self.records if isinstance(record, kind)]

    def write(self, path: Path, began_at: float) -> None:
        """Write a line for each record, by time; times count from `began_at`."""
        lines = []
        for record in self.records:
            fields = {
                name: round(value - began_at, 4) if _is_time(name) and value else value
                for name, value in asdict(record).items()
            }
            when = fields.get("at", fields.get("asked_at", 0.0))
            lines.append((when, json.dumps({"record": type(record).__name__, **fields})))
        path.write_text("".join(f"{line}\n" for _, line in sorted(lines)))


def _is_time(name: str) -> bool:
    return name in ("at", "until") or name.endswith("_at")
