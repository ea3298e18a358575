"""Makes the socket calls of the real program fail, as Linux documents, on a schedule drawn from a seed.

Copied as `sitecustomize.py` to a folder on the path of the child. `TEST_CALLS` holds JSON: the seed, the
share of calls that fail by name (`accept`, `socket`, `connect`, `recv`, `send`, …), and where to write what
was done: a count for each call and error, so that a test can see that each has happened.
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

TERMS = json.loads(os.environ["TEST_CALLS"])
CHANCE = random.Random(TERMS["seed"])
DONE: Counter[str] = Counter()
ACCEPT = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR"]
SOCKET = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]
CONNECT = ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"]
TRANSIENT = ["EINTR", "ENOMEM", "ENOBUFS"]
BROKEN = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE"]


ARMED: list[bool] = []  # from the first accept on: the program starts unhindered


def fails(call: str, errors: list[str]) -> None:
    """Raise one of the errors, as often as the schedule says."""
    if ARMED and CHANCE.random() < TERMS["share"].get(call, 0.0):
        name = CHANCE.choice(errors)
        DONE[f"{call} {name}"] += 1
        number = getattr(errno, name)
        raise OSError(number, os.strerror(number))


def short(call: str) -> bool:
    """Tell whether this call moves one byte."""
    if ARMED and CHANCE.random() < TERMS["share"].get(call, 0.0):
        DONE[call] += 1
        return True
    return False


class FailingSocket(socket.socket):
    """A socket whose calls fail; those made by `connect` can break, those that were accepted cannot."""

    __slots__ = ("connected",)

    def __init__(self, *arguments: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(arguments) < 4:
            fails("socket", SOCKET)
        super().__init__(*arguments, **named)
        self.connected = False

    def accept(self) -> Any:
        """Accept, or fail before anything is taken from the queue."""
        ARMED[:] = [True]
        fails("accept", ACCEPT)
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect, or fail at once."""
        fails("connect", CONNECT)
        self.connected = True
        super().connect(address)

    def _live(self, call: str) -> None:
        fails(call, TRANSIENT)
        if self.connected:
            fails("broken", BROKEN)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read, perhaps one byte."""
        self._live("recv")
        return super().recv(1 if not flags and short("recv of a byte") else size, flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read, perhaps one byte."""
        self._live("recv")
        return super().recv_into(buffer, 1 if short("recv of a byte") else nbytes, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """Write, perhaps one byte."""
        self._live("send")
        return super().send(memoryview(data)[:1] if short("send of a byte") else data, flags)

    def sendmsg(self, buffers: Iterable[Any], *more: Any) -> int:
        """Write, perhaps one byte."""
        self._live("send")
        parts = [memoryview(part) for part in buffers]
        return super().sendmsg([parts[0][:1]] if short("send of a byte") and len(parts[0]) else parts, *more)

    def shutdown(self, how: int) -> None:
        """End the write side, or say that there is no connection."""
        if CHANCE.random() < TERMS["share"].get("shutdown", 0.0):
            DONE["shutdown ENOTCONN"] += 1
            super().shutdown(how)
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
        super().shutdown(how)


def write_done() -> None:
    """Write the counts."""
    with open(TERMS["done"], "w") as file:
        json.dump(DONE, file)


socket.socket = FailingSocket  # type: ignore[misc]
atexit.register(write_done)
