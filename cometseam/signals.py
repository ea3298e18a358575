"""Signal handling of the program, from its start to its end: no signal is lost, and none ends it by default.

Only the handlers of this module record signals. The event loop's own handling reads them from a socket and
loses them if that call fails temporarily (ENOMEM): a front would not end at SIGTERM.
"""

import signal
from collections import deque
from collections.abc import AsyncIterator
from types import FrameType

import anyio

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
CHECK_INTERVAL_S = 0.02  # interval for checking for received signals

_received: deque[int] = deque()


def install_handlers() -> None:
    """Record signals from now on; further calls have no effect."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record_signal)


async def received_signals() -> AsyncIterator[int]:
    """Yield each signal received since `install_handlers`, in order, without end."""
    while True:
        while _received:
            yield _received.popleft()
        await anyio.sleep(CHECK_INTERVAL_S)


def _record_signal(number: int, frame: FrameType | None) -> None:
    _received.append(number)
