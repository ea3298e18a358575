"""Simulated caches on loopback, in one thread, that record which relays were in flight at which time.

All sockets are read before any command is handled. The front writes the cancellation of a relay before the
next relay of its pull, so whenever that relay can be read, the cancellation can be read as well. Hence the
order in which sockets are read does not change the record.
"""

import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

Answer = tuple[float | None, str, str, bytes]  # delay in s (None: never), word, fields, body
Behaviour = Callable[[int, str, dict[str, str], int], Answer]  # cache, id, fields, relays so far


@dataclass
class Link:
    """One connection of the front."""

    cache: int
    sock: socket.socket
    data: bytearray = field(default_factory=bytearray)


def resp(*parts: str | bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    raws = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raws) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in raws)


def pop_command(data: bytearray) -> list[str] | None:
    """Remove one complete array from the start of the received data; return its parts, None if incomplete."""
    if not data.startswith(b"*") or b"\r\n" not in data:
        return None
    end = data.index(b"\r\n")
    parts, offset = [], end + 2
    for _ in range(int(data[1:end])):
        line_end = data.find(b"\r\n", offset)
        if line_end < 0:
            return None
        size = int(data[offset + 1 : line_end])
        if len(data) < line_end + 2 + size + 2:
            return None
        parts.append(data[line_end + 2 : line_end + 2 + size].decode())
        offset = line_end + 2 + size + 2
    del data[:offset]
    return parts


class Caches:
    """A few simulated caches; `two_out` holds each case of a pull with two relays in flight."""

    def __init__(self, number: int, behave: Behaviour) -> None:
        self.behave = behave
        self.addresses: list[str] = []
        self.two_out: list[str] = []
        self.in_flight: dict[str, tuple[int, socket.socket]] = {}  # by id: where a relay is in flight
        self.asked: Counter[int] = Counter()
        self.given_up: Counter[int] = Counter()
        self.relays: dict[str, list[tuple[float, int]]] = {}  # by id: when and where
        self.max_in_flight = 0
        self.levels: list[tuple[float, int, int]] = []  # at each relay: time, cache, relays in flight there
        self._selector = selectors.DefaultSelector()
        self._sequence = count()
        self._due: list[tuple[float, int, Link, str, bytes]] = []
        self.silent: set[int] = set()  # caches that accept connections and never answer anything
        self.keepalive_checks: Counter[int] = Counter()  # by cache
        self._stop = threading.Event()
        for cache in range(number):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            self.addresses.append(f"127.0.0.1:{listener.getsockname()[1]}")
            self._selector.register(listener, selectors.EVENT_READ, cache)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Caches":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]
        self._selector.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            timeout = max(min(self._due[0][0] - time.monotonic(), 0.05), 0.0) if self._due else 0.05
            self._handle_commands(timeout)
            while self._due and self._due[0][0] <= time.monotonic():
                _, _, link, id, raw = heappop(self._due)
                if self.in_flight.get(id, (0, None))[1] is link.sock:
                    del self.in_flight[id]
                    self._send(link, raw)

    def _handle_commands(self, timeout: float) -> None:
        commands = self._read_commands(timeout)
        if any(parts[0] == "REQ" for _, parts in commands):
            commands += self._read_commands(0.0)  # anything written before it has arrived by now
        for link, parts in commands:
            if parts[0] == "STOP":
                self._end_relay(link, parts[1], given_up=True)
        for link, parts in commands:
            if parts[0] == "REQ":
                self._start_relay(link, parts)
            elif parts[0] == "HELO":
                self.keepalive_checks[link.cache] += 1
                if link.cache not in self.silent:
                    self._send(link, resp(parts[1], "FIT", "-", b""))

    def _read_commands(self, timeout: float) -> list[tuple[Link, list[str]]]:
        commands: list[tuple[Link, list[str]]] = []
        for key, _ in self._selector.select(timeout):
            if isinstance(key.data, int):
                sock, _ = key.fileobj.accept()  # type: ignore[union-attr]
                sock.setblocking(False)
                self._selector.register(sock, selectors.EVENT_READ, Link(key.data, sock))
                continue
            link: Link = key.data
            try:
                data = link.sock.recv(1 << 16)
            except OSError:
                data = b""
            if not data:
                self._selector.unregister(link.sock)
                link.sock.close()
                for id, (_, sock) in list(self.in_flight.items()):
                    if sock is link.sock:
                        del self.in_flight[id]
                continue
            link.data += data
            while (parts := pop_command(link.data)) is not None:
                commands.append((link, parts))
        return commands

    def _end_relay(self, link: Link, id: str, given_up: bool) -> None:
        if self.in_flight.get(id, (0, None))[1] is link.sock:
            del self.in_flight[id]
            self.given_up[link.cache] += given_up

    def _start_relay(self, link: Link, parts: list[str]) -> None:
        id = parts[1]
        fields = dict(item.split("=", 1) for item in parts[2].split(","))
        if id in self.in_flight:
            self.two_out.append(f"{id}: at cache {self.in_flight[id][0]} and at cache {link.cache}")
        self.in_flight[id] = (link.cache, link.sock)
        self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
        in_flight_at_cache = sum(cache == link.cache for cache, _ in self.in_flight.values())
        self.levels.append((time.monotonic(), link.cache, in_flight_at_cache))
        self.relays.setdefault(id, []).append((time.monotonic(), link.cache))
        self.asked[link.cache] += 1
        if link.cache in self.silent:
            return
        delay, word, answer_fields, body = self.behave(link.cache, id, fields, self.asked[link.cache])
        if delay is not None:
            heappush(
                self._due,
                (
                    time.monotonic() + delay,
                    next(self._sequence),
                    link,
                    id,
                    resp(id, word, answer_fields, body),
                ),
            )

    def _send(self, link: Link, raw: bytes) -> None:
        try:
            link.sock.sendall(raw)
        except OSError:
            return  # the front is gone or does not read; the test checks what it does then
