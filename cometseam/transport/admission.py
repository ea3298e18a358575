"""Decides what happens to a new client while connections are at their limit. No I/O.

Connections that are being closed still hold descriptors, as their clients may keep their end open. So there
are two limits: one for connections in use, and a slightly higher one for all, those being closed included.
"""

from dataclasses import dataclass
from enum import Enum, auto

CLOSING_DIVISOR = 16  # with those being closed, `max_clients` may be exceeded by a 16th
# By the protocol, input sent before a client saw the close of its connection may arrive for this long.
CLOSE_CROSSING_MS = 50.0


class Admission(Enum):
    """What to do next for a client that waits to be accepted."""

    ACCEPT = auto()
    END_OLDEST_CLOSING = auto()  # then decide again
    CLOSE_LONGEST_IDLE = auto()  # then decide again
    WAIT = auto()


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """The connections to clients at one moment."""

    in_use: int
    closing: int
    has_idle: bool  # whether one in use may be closed: nothing received on it needs an answer
    oldest_closing_ms: float = 0.0  # for how long the oldest of `closing` is being closed


def max_connections(max_clients: int) -> int:
    """Return how many connections may be held, those being closed included."""
    return max_clients + max(max_clients // CLOSING_DIVISOR, 1)


def has_excess(max_clients: int, in_use: int) -> bool:
    """Return whether more connections are in use than may be, so that idle ones are to be closed."""
    return in_use > max_clients


def decide_admission(max_clients: int, load: ConnectionLoad) -> Admission:
    """Return what to do next for a client that waits to be accepted.

    Whatever the state, a connection is accepted, or one is being closed that ends within
    `CLOSE_CROSSING_MS`, or every connection is in use by a client that still has to be served.
    """
    total = load.in_use + load.closing
    if total < max_clients:
        return Admission.ACCEPT
    if total < max_connections(max_clients) and (load.closing or load.has_idle):
        return Admission.ACCEPT
    if load.closing and load.oldest_closing_ms >= CLOSE_CROSSING_MS:
        # Its descriptor is needed now, and a reset can destroy nothing any more.
        return Admission.END_OLDEST_CLOSING
    if load.in_use >= max_clients and load.has_idle:
        return Admission.CLOSE_LONGEST_IDLE
    return Admission.WAIT
