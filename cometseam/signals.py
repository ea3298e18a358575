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
CHECK_INTERVAL_S = 0.02  # s between two looks for a signal

_received: deque[int] = deque()


def install_handlers() -> None:
    """Take note of signals from now on; called again it changes nothing."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record_signal)


async def received_signals() -> AsyncIterator[int]:
    """Tell each signal that has come since `install_handlers`, in order, for ever."""
    while True:
        while _received:
            yield _received.popleft()
        await anyio.sleep(CHECK_INTERVAL_S)


def _record_signal(number: int, frame: FrameType | None) -> None:
    _received.append(number)
