"""Draws the faults of a soak run, their targets and their times, from its seed. No I/O.

The order of draws is part of the contract: a seed reproduces a run only while it stays the same.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random


class Kind(StrEnum):
    """A kind of fault."""

    DRAIN = "drain"  # an endpoint begins to drain, and is removed later
    PURGE = "purge"  # purge of a group of objects
    RESTART = "restart"  # SIGTERM, SIGKILL as early as operations allow, then a start with the previous list
    KILL = "kill"  # SIGKILL, then a start with the list from before it
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    RELOAD = "reload"  # several SIGHUPs in a row
    DISCOVERY_SILENT = "discovery-silent"  # outstanding polls, and those on their connections, go unanswered
    DISCOVERY_SLOW = "discovery-slow"  # each answer is delayed
    DISCOVERY_DOWN = "discovery-down"  # connections are reset, new ones refused
    CROWD = "crowd"  # many idle client connections
    HANG = "hang"  # an endpoint answers nothing
    RESET = "reset"  # an endpoint's connections are reset
    LEAVE = "leave"  # clients close their connections with requests open
    HALF_SENT = "half-sent"  # clients send the greater part of a request and wait
    LONG_HANG = "long-hang"  # an endpoint answers nothing for longer than any deadline


# Relative frequency of each kind.
KIND_WEIGHTS = {
    Kind.DRAIN: 5.0, Kind.PURGE: 3.0, Kind.RESTART: 2.0, Kind.KILL: 3.0, Kind.PAUSE: 3.0, Kind.RELOAD: 1.0,
    Kind.DISCOVERY_SILENT: 2.0, Kind.DISCOVERY_SLOW: 2.0, Kind.DISCOVERY_DOWN: 1.5, Kind.CROWD: 1.0,
    Kind.HANG: 1.5, Kind.RESET: 2.0, Kind.LEAVE: 2.0,
}  # fmt: skip
# Minimum and maximum duration, for the kinds that have one.
DURATION_RANGES_S = {
    Kind.DRAIN: (1.0, 4.0), Kind.KILL: (0.1, 1.2), Kind.RESTART: (0.0, 0.5), Kind.PAUSE: (0.1, 2.5),
    Kind.DISCOVERY_SILENT: (0.5, 3.0), Kind.DISCOVERY_SLOW: (1.0, 4.0), Kind.DISCOVERY_DOWN: (0.2, 3.0),
    Kind.CROWD: (1.0, 3.0), Kind.HANG: (0.3, 2.0),
}  # fmt: skip
# Kinds drawn beside the others, from a generator of their own: the other faults of a seed stay the same.
FURTHER_KINDS = (Kind.HALF_SENT, Kind.LONG_HANG)
FURTHER_DURATION_RANGES_S = {
    Kind.HALF_SENT: (1.0, 4.0), Kind.LONG_HANG: (8.0, 60.0),
}  # fmt: skip
FURTHER_FAULTS_PER_SECOND = 0.2
OVERLAP_PROBABILITY = 0.35  # that a fault begins within `OVERLAP_WINDOW_S` of the previous one
OVERLAP_WINDOW_S = 0.6
# Faults that may accompany a fault at the same front: a drain while its process is stopped, for example, or
# slow discovery while it starts.
COMPANIONS = {
    Kind.KILL: (Kind.DRAIN, Kind.DISCOVERY_SLOW, Kind.DISCOVERY_SILENT, Kind.DISCOVERY_DOWN, Kind.PURGE),
    Kind.RESTART: (Kind.DRAIN, Kind.DISCOVERY_SLOW, Kind.HANG, Kind.RELOAD),
    Kind.PAUSE: (Kind.DRAIN, Kind.PURGE, Kind.LEAVE, Kind.DISCOVERY_SLOW),
    Kind.DISCOVERY_DOWN: (Kind.DRAIN, Kind.RELOAD),
    Kind.DISCOVERY_SLOW: (Kind.DRAIN, Kind.PURGE),
    Kind.DRAIN: (Kind.RESET, Kind.RELOAD),
}  # fmt: skip
COMPANION_PROBABILITY = 0.6  # of each
COMPANION_WINDOW_S = 0.5


@dataclass(frozen=True, slots=True)
class SoakTerms:
    """Size of a soak run: times in seconds, counts, and `rate` in requests per second and client."""

    seconds: float = 12.0
    fronts: int = 3
    endpoints: int = 5
    clients: int = 4  # per front
    rate: float = 8.0
    faults_per_second: float = 0.6
    longest_deadline: float = 2.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its start (s since the beginning), kind, target (front or endpoint) and duration (s)."""

    at: float
    kind: Kind
    target: int
    lasts: float
    strength: float  # in 0..1, scales what is specific to a kind, such as the delay of slow discovery


def draw(seed: int, terms: SoakTerms) -> tuple[Fault, ...]:
    """Return the faults of a seed, ordered by time."""
    faults = [*_draw_faults(Random(seed), terms), *_draw_further_faults(Random(f"further {seed}"), terms)]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_further_faults(random: Random, terms: SoakTerms) -> list[Fault]:
    faults: list[Fault] = []
    at = random.expovariate(FURTHER_FAULTS_PER_SECOND)
    while at < terms.seconds:
        kind = random.choice(FURTHER_KINDS)
        target = random.randrange(terms.fronts * terms.endpoints)
        duration = random.uniform(*FURTHER_DURATION_RANGES_S[kind])
        faults.append(Fault(at, kind, target, duration, random.random()))
        at += random.expovariate(FURTHER_FAULTS_PER_SECOND)
    return faults


def _draw_faults(random: Random, terms: SoakTerms) -> list[Fault]:
    faults: list[Fault] = []
    at = 0.5
    while at < terms.seconds:
        kind = random.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        shortest, longest = DURATION_RANGES_S.get(kind, (0.0, 0.0))
        target = random.randrange(terms.fronts * terms.endpoints)
        faults.append(Fault(at, kind, target, random.uniform(shortest, longest), random.random()))
        for companion in COMPANIONS.get(kind, ()):
            if random.random() < COMPANION_PROBABILITY:
                companion_at = at + random.uniform(0.0, COMPANION_WINDOW_S)
                shortest, longest = DURATION_RANGES_S.get(companion, (0.0, 0.0))
                duration = random.uniform(shortest, longest)
                faults.append(Fault(companion_at, companion, target, duration, random.random()))
        if random.random() < OVERLAP_PROBABILITY:
            at += random.uniform(0.0, OVERLAP_WINDOW_S)
        else:
            at += random.expovariate(terms.faults_per_second)
    return faults
