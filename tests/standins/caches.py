"""Caches on loopback, in one thread, with a record of their own of what was out when.

All sockets are read before anything is judged: a relay that is given up is written before the next one of
its pull, so whenever that can be read the giving up can be read as well. No verdict hangs on which socket
was looked at first.
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
Behave = Callable[[int, str, dict[str, str], int], Answer]  # cache, id, fields, times it was asked


@dataclass
class Link:
    """One connection of the front."""

    cache: int
    sock: socket.socket
    data: bytearray = field(default_factory=bytearray)


def resp(*parts: str | bytes) -> bytes:
    """A RESP array of bulk strings."""
    raws = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raws) + b"".join(b"$%d\r\n%b\r\n" % (len(raw), raw) for raw in raws)


def parse(data: bytearray) -> list[str] | None:
    """Take one whole array off the front of what came, if there is one."""
    if not data.startswith(b"*") or b"\r\n" not in data:
        return None
    end = data.index(b"\r\n")
    parts, at = [], end + 2
    for _ in range(int(data[1:end])):
        stop = data.find(b"\r\n", at)
        if stop < 0:
            return None
        size = int(data[at + 1 : stop])
        if len(data) < stop + 2 + size + 2:
            return None
        parts.append(data[stop + 2 : stop + 2 + size].decode())
        at = stop + 2 + size + 2
    del data[:at]
    return parts


class Caches:
    """Stand-ins for a few caches; `two_out` holds each time that a pull had two relays out."""

    def __init__(self, number: int, behave: Behave) -> None:
        self.behave = behave
        self.addresses: list[str] = []
        self.two_out: list[str] = []
        self.out: dict[str, tuple[int, socket.socket]] = {}  # by id: where a relay is out
        self.asked: Counter[int] = Counter()
        self.given_up: Counter[int] = Counter()
        self.relays: dict[str, list[tuple[float, int]]] = {}  # by id: when and where
        self.most_out = 0
        self.levels: list[tuple[float, int, int]] = []  # at each relay: when, where, how many are out there
        self._selector = selectors.DefaultSelector()
        self._order = count()
        self._due: list[tuple[float, int, Link, str, bytes]] = []
        self.silent: set[int] = set()  # caches that take connections and say nothing, whatever they are asked
        self.helped: Counter[int] = Counter()  # times a cache was asked whether it works
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
            waits = max(min(self._due[0][0] - time.monotonic(), 0.05), 0.0) if self._due else 0.05
            self._round(waits)
            while self._due and self._due[0][0] <= time.monotonic():
                _, _, link, id, raw = heappop(self._due)
                if self.out.get(id, (0, None))[1] is link.sock:
                    del self.out[id]
                    self._send(link, raw)

    def _round(self, waits: float) -> None:
        commands = self._read(waits)
        if any(parts[0] == "REQ" for _, parts in commands):
            commands += self._read(0.0)  # what was written before it is there by now
        for link, parts in commands:
            if parts[0] == "STOP":
                self._ended(link, parts[1], given_up=True)
        for link, parts in commands:
            if parts[0] == "REQ":
                self._request(link, parts)
            elif parts[0] == "HELO":
                self.helped[link.cache] += 1
                if link.cache not in self.silent:
                    self._send(link, resp(parts[1], "FIT", "-", b""))

    def _read(self, waits: float) -> list[tuple[Link, list[str]]]:
        commands: list[tuple[Link, list[str]]] = []
        for key, _ in self._selector.select(waits):
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
                for id, (_, sock) in list(self.out.items()):
                    if sock is link.sock:
                        del self.out[id]
                continue
            link.data += data
            while (parts := parse(link.data)) is not None:
                commands.append((link, parts))
        return commands

    def _ended(self, link: Link, id: str, given_up: bool) -> None:
        if self.out.get(id, (0, None))[1] is link.sock:
            del self.out[id]
            self.given_up[link.cache] += given_up

    def _request(self, link: Link, parts: list[str]) -> None:
        id = parts[1]
        fields = dict(item.split("=", 1) for item in parts[2].split(","))
        if id in self.out:
            self.two_out.append(f"{id}: at cache {self.out[id][0]} and at cache {link.cache}")
        self.out[id] = (link.cache, link.sock)
        self.most_out = max(self.most_out, len(self.out))
        there = sum(cache == link.cache for cache, _ in self.out.values())
        self.levels.append((time.monotonic(), link.cache, there))
        self.relays.setdefault(id, []).append((time.monotonic(), link.cache))
        self.asked[link.cache] += 1
        if link.cache in self.silent:
            return
        delay, word, told, body = self.behave(link.cache, id, fields, self.asked[link.cache])
        if delay is not None:
            heappush(
                self._due, (time.monotonic() + delay, next(self._order), link, id, resp(id, word, told, body))
            )

    def _send(self, link: Link, raw: bytes) -> None:
        try:
            link.sock.sendall(raw)
        except OSError:
            return  # the front has gone, or takes nothing: what it does then is the test's to judge
