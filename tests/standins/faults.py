"""A fault proxy on loopback, and a target that fences what owners send it: the tools of the multi-process
tests.

`Proxy` forwards TCP between a front and what it talks to, and can be told to hold bytes (delay without bound,
then let them go in order), to drop one direction, or to cut every connection and refuse new ones. `Target`
takes effects (`EFFECT task token name number`), judges each by a `Fence`, and records every one with its
verdict: the history a test checks whole at the end.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

from cometseam.ownership import Fence


class Proxy:
    """Forward `127.0.0.1:port` to `upstream`; faults by the flags below, changed at any time by the test."""

    def __init__(self, upstream: int) -> None:
        self.upstream = upstream
        self.port = 0
        self.hold = False  # bytes towards upstream wait here until it is False again; answers pass
        self.drop_requests = False  # bytes towards upstream are thrown away
        self.drop_answers = False  # bytes towards the front are thrown away
        self.delay_s = 0.0  # s that each chunk is late, in either direction
        self.cut = False  # every connection is closed, and new ones are closed at once
        self.held_bytes = 0  # bytes waiting now
        self.released = anyio.Event()
        self._streams: set[SocketStream] = set()

    async def start(self, group: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, self._serve)

    def set_hold(self, hold: bool) -> None:
        self.hold = hold
        if not hold:
            self.released.set()
            self.released = anyio.Event()

    async def set_cut(self) -> None:
        self.cut = True
        for stream in list(self._streams):
            await stream.aclose()

    async def _forward(
        self, source: SocketStream, sink: SocketStream, is_dropped: Callable[[], bool], is_request: bool
    ) -> None:
        try:
            async for chunk in source:
                while self.hold and is_request:
                    self.held_bytes += len(chunk)
                    await self.released.wait()
                    self.held_bytes -= len(chunk)
                if self.delay_s:
                    await anyio.sleep(self.delay_s)
                if self.cut:
                    break
                if not is_dropped():
                    await sink.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        finally:
            await sink.aclose()

    async def _serve(self, front: SocketStream) -> None:
        if self.cut:
            await front.aclose()
            return
        try:
            upstream_stream = await anyio.connect_tcp("127.0.0.1", self.upstream)
        except OSError:
            await front.aclose()
            return
        self._streams.update((front, upstream_stream))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._forward, front, upstream_stream, lambda: self.drop_requests, True)
                group.start_soon(self._forward, upstream_stream, front, lambda: self.drop_answers, False)
        finally:
            self._streams.difference_update((front, upstream_stream))


@dataclass(frozen=True)
class Effect:
    """One effect as the target saw it: when (monotonic ms), what, and whether the fence let it through."""

    at: float
    task: str
    token: int
    name: str
    number: int
    passed: bool


@dataclass
class Target:
    """Takes effects on loopback and fences them; `history` is every effect, in the order they came."""

    fence: Fence
    port: int = 0
    history: list[Effect] = field(default_factory=list)
    updated: anyio.Event = field(default_factory=anyio.Event)

    async def start(self, group: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        buffer = b""
        try:
            async for chunk in stream:
                buffer += chunk
                while b"\n" in buffer:
                    line, buffer = buffer.split(b"\n", 1)
                    fields = line.decode().split()
                    if len(fields) != 5 or fields[0] != "EFFECT":
                        await stream.send(b"BAD\n")
                        continue
                    task, token, name, number = fields[1], int(fields[2]), fields[3], int(fields[4])
                    decision = self.fence.admit(task, token, name)
                    self.history.append(
                        Effect(time.monotonic() * 1000.0, task, token, name, number, decision.passed)
                    )
                    self.updated.set()
                    self.updated = anyio.Event()
                    status = b"OK" if decision.passed else b"STALE"
                    await stream.send(status + b" %d\n" % decision.highest_token)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass

    async def wait_for(self, test: Callable[[list[Effect]], bool], within: float) -> None:
        """Wait until the history passes `test`, at most `within` s (then fail)."""
        with anyio.fail_after(within):
            while not test(self.history):
                await self.updated.wait()


def anomalies(history: list[Effect]) -> list[str]:
    """Read a whole history: every effect let through after one of a higher token of the same task is an
    anomaly.

    It is what one owner at a time means at the target: once a newer owner's effect has landed, no older
    owner's may. Two owners' effects interleaving (split brain) show here too, as a lower token passing after
    a higher one; so does one token with two names.
    """
    problems = []
    highest: dict[str, Effect] = {}
    for effect in history:
        if not effect.passed:
            continue
        highest_effect = highest.get(effect.task)
        if highest_effect is not None and effect.token < highest_effect.token:
            problems.append(
                f"{effect.task}: {effect.name} token {effect.token} #{effect.number} landed after "
                f"{highest_effect.name} token {highest_effect.token}"
            )
        if (
            highest_effect is not None
            and effect.token == highest_effect.token
            and effect.name != highest_effect.name
        ):
            problems.append(
                f"{effect.task}: token {effect.token} landed from {highest_effect.name} and {effect.name}"
            )
        if highest_effect is None or effect.token >= highest_effect.token:
            highest[effect.task] = effect
    return problems


def overlaps(history: list[Effect]) -> list[str]:
    """Effects sent by an older owner that arrived after a newer owner's first, let through or not.

    Where nothing holds effects on the way, each is one that its owner sent while another already acted: two
    fronts acting at once, which the owners' own clocks must prevent (the fence would still refuse them).
    """
    problems = []
    first: dict[str, Effect] = {}
    for effect in history:
        highest_effect = first.get(effect.task)
        if highest_effect is not None and effect.token < highest_effect.token:
            problems.append(
                f"{effect.task}: {effect.name} token {effect.token} #{effect.number} sent while "
                f"{highest_effect.name} token {highest_effect.token} acted"
            )
        if effect.passed and (highest_effect is None or effect.token > highest_effect.token):
            first[effect.task] = effect
    return problems
