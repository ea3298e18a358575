"""Makes socket calls of the real program fail with errors that Linux documents, drawn from a seed.

Copied as `sitecustomize.py` to a directory on the path of the child process. `TEST_CALLS` holds JSON: the
seed, the share of calls that fail, by name (`accept`, `socket`, `connect`, `recv`, `send`, …), and the file
for the count of each call and error, with which a test checks that each has happened.
"""

import atexit
import errno
import json
import os
import random
import socket
from collections import Counter
from collections.abc import Iterable
from typing import Any

SCHEDULE = json.loads(os.environ["TEST_CALLS"])
RANDOM = random.Random(SCHEDULE["seed"])
COUNTS: Counter[str] = Counter()
FAILED_CALLS: set[str] = set()  # that have failed at least once
ACCEPT_ERRORS = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR"]
SOCKET_ERRORS = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]
CONNECT_ERRORS = ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"]
TRANSIENT_ERRORS = ["EINTR", "ENOMEM", "ENOBUFS"]
CONNECTION_ERRORS = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE"]


ACTIVE: list[bool] = []  # empty until the first accept, so that the program can start


def fail_sometimes(call: str, errors: list[str]) -> None:
    """Raise one of the errors, with the probability that the schedule gives for the call.

    The first call that may fail does. The first failures of a call show each error once; which one follows
    is drawn.
    """
    share = SCHEDULE["share"].get(call, 0.0)
    if ACTIVE and (RANDOM.random() < share or (share and call not in FAILED_CALLS)):
        FAILED_CALLS.add(call)
        drawn = RANDOM.choice(errors)
        name = next((each for each in errors if not COUNTS[f"{call} {each}"]), drawn)
        COUNTS[f"{call} {name}"] += 1
        number = getattr(errno, name)
        raise OSError(number, os.strerror(number))


def is_short(call: str) -> bool:
    """Return whether this call transfers only one byte."""
    if ACTIVE and RANDOM.random() < SCHEDULE["share"].get(call, 0.0):
        COUNTS[call] += 1
        return True
    return False


class FailingSocket(socket.socket):
    """A socket whose calls fail; connections made by `connect` can break, accepted ones do not."""

    __slots__ = ("connected",)

    def __init__(self, *arguments: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(arguments) < 4:
            fail_sometimes("socket", SOCKET_ERRORS)
        super().__init__(*arguments, **named)
        self.connected = False

    def accept(self) -> Any:
        """Accept, or fail before a connection is taken from the queue."""
        ACTIVE[:] = [True]
        fail_sometimes("accept", ACCEPT_ERRORS)
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect, or fail at once."""
        fail_sometimes("connect", CONNECT_ERRORS)
        self.connected = True
        super().connect(address)

    def _fail_on_io(self, call: str) -> None:
        fail_sometimes(call, TRANSIENT_ERRORS)
        if self.connected:
            fail_sometimes("broken", CONNECTION_ERRORS)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read, sometimes only one byte."""
        self._fail_on_io("recv")
        return super().recv(1 if not flags and is_short("recv of a byte") else size, flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read, sometimes only one byte."""
        self._fail_on_io("recv")
        return super().recv_into(buffer, 1 if is_short("recv of a byte") else nbytes, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """Write, sometimes only one byte."""
        self._fail_on_io("send")
        return super().send(memoryview(data)[:1] if is_short("send of a byte") else data, flags)

    def sendmsg(self, buffers: Iterable[Any], *more: Any) -> int:
        """Write, sometimes only one byte."""
        self._fail_on_io("send")
        parts = [memoryview(part) for part in buffers]
        return super().sendmsg(
            [parts[0][:1]] if is_short("send of a byte") and len(parts[0]) else parts, *more
        )

    def shutdown(self, how: int) -> None:
        """Shut down, or shut down and fail with ENOTCONN."""
        if RANDOM.random() < SCHEDULE["share"].get("shutdown", 0.0):
            COUNTS["shutdown ENOTCONN"] += 1
            super().shutdown(how)
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        super().shutdown(how)


def write_counts() -> None:
    """Write the counts to the file that the schedule names."""
    with open(SCHEDULE["done"], "w") as file:
        json.dump(COUNTS, file)


socket.socket = FailingSocket  # type: ignore[misc]
atexit.register(write_counts)
