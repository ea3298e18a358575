"""The signals that the program follows, from its first line to its end: none is lost, none ends it by itself.

They are noted by handlers of this module alone. The event loop reads its own signals from a socket, and where
that call fails for a moment (ENOMEM) it loses them: a front would not end at SIGTERM.
"""

import signal
from collections import deque
from collections.abc import AsyncIterator
from types import FrameType

import anyio

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
LOOK = 0.02  # s between two looks for a signal

_came: deque[int] = deque()


def install_handlers() -> None:
    """Take note of signals from now on; called again it changes nothing."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _note)


async def received_signals() -> AsyncIterator[int]:
    """Tell each signal that has come since `install_handlers`, in order, for ever."""
    while True:
        while _came:
            yield _came.popleft()
        await anyio.sleep(LOOK)


def _note(number: int, frame: FrameType | None) -> None:
    _came.append(number)
