"""Signals that come while the program starts: none of them ends it, and a new configuration is not missed."""

import signal
from types import FrameType

_came: set[int] = set()


def hold() -> None:
    """Take note of signals until the program follows them itself."""
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, _note)


def came() -> set[int]:
    """Return the signals that have come meanwhile."""
    return set(_came)


def _note(number: int, frame: FrameType | None) -> None:
    _came.add(number)
