"""History of a soak run: what clients, endpoints, discovery and processes observed, on one monotonic clock.

Each seed has one file. Each record is one line of JSON with its type, so that a failure can be read as a
timeline. Class and field names are the keys of that file.
"""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TypeVar

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Started:
    """A front's process was started.

    Its numbers of discovery events begin after `base`, the last event of the log in its configuration.
    """

    at: float
    front: int
    life: int
    base: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A front's process ended.

    `asked_at` is the time of SIGTERM, or 0 if none was sent; `killed` is whether SIGKILL ended the process.
    """

    at: float
    front: int
    life: int
    status: int
    asked_at: float
    killed: bool


@dataclass(frozen=True, slots=True)
class Requested:
    """A client is about to write a request."""

    at: float
    front: int
    life: int
    request: str
    limit: float  # s that the client waits for an answer
    group: int
    request_class: str


@dataclass(frozen=True, slots=True)
class Replied:
    """A client read an answer; code 1 is served, 2 shed, 3 errored."""

    at: float
    request: str
    code: int


@dataclass(frozen=True, slots=True)
class Abandoned:
    """A request lost its connection before an answer, closed by the client (`by_client`) or by the front."""

    at: float
    request: str
    by_client: bool


@dataclass(frozen=True, slots=True)
class Arrived:
    """An endpoint has read an attempt completely; `first_at` is when its first bytes were read."""

    at: float
    first_at: float
    front: int
    life: int
    endpoint: str
    source: str  # endpoint that a fill reads from; empty if the attempt is no fill
    request: str
    time_left: float  # s that the front says it will wait
    oldest: float  # s, maximum age of an acceptable copy; 0 means the limit of the request class


@dataclass(frozen=True, slots=True)
class Finished:
    """An attempt ended: its answer was written, it was cancelled, or its connection ended (see `word`)."""

    at: float
    endpoint: str
    request: str
    word: str


@dataclass(frozen=True, slots=True)
class Changed:
    """An event was added to discovery: an endpoint changed its state, or a group of objects was purged."""

    at: float
    number: int
    endpoint: str = ""
    state: str = ""
    purged_group: int = -1


@dataclass(frozen=True, slots=True)
class Polled:
    """A front's poll of discovery.

    `asked_at` is when the poll was read and `answered_at` when its answer was written completely (0: never).
    `ended_at` is when its handling ended, answered or not; `told` is the last event in the answer.
    """

    asked_at: float
    front: int
    life: int
    answered_at: float
    ended_at: float
    told: int


@dataclass(frozen=True, slots=True)
class DiscoveryTrouble:
    """From `at` to `until` a front's discovery answered late by `delay` (s); 0: it refused connections."""

    at: float
    until: float
    front: int
    delay: float


@dataclass(frozen=True, slots=True)
class Sampled:
    """Resources in use by a front's process: open descriptors, and private memory in MB."""

    at: float
    front: int
    descriptors: int
    memory: float


@dataclass(frozen=True, slots=True)
class Lagged:
    """The soak process itself ran late by `by` seconds.

    What it read at that time may have arrived that much earlier.
    """

    at: float
    by: float


@dataclass(frozen=True, slots=True)
class Acted:
    """A fault was injected: its kind, the front or endpoint it hit, and when its effect ends."""

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
    """All records of a seed, in order of creation."""

    records: list[Record] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Append a record."""
        self.records.append(record)

    def of(self, record_type: type[Kind]) -> list[Kind]:
        """Return the records of one type."""
        return [record for record in self.records if isinstance(record, record_type)]

    def write(self, path: Path, began_at: float) -> None:
        """Write one line per record, ordered by time; times are seconds since `began_at`."""
        lines = []
        for record in self.records:
            fields = {
                name: round(value - began_at, 4) if _is_time(name) and value else value
                for name, value in asdict(record).items()
            }
            recorded_at = fields.get("at", fields.get("asked_at", 0.0))
            lines.append((recorded_at, json.dumps({"record": type(record).__name__, **fields})))
        path.write_text("".join(f"{line}\n" for _, line in sorted(lines)))


def _is_time(name: str) -> bool:
    return name in ("at", "until") or name.endswith("_at")
