"""A fault proxy on loopback, and a target that fences the effects of owners, for the multi-process tests.

`Proxy` forwards TCP between a front and its peer, and can hold bytes (delay them without bound, then release
them in order), drop one direction, or cut every connection and refuse new ones. `Target` receives effects
(`EFFECT task token name number`), decides on each by a `Fence`, and records it with the decision: tests check
the whole history at the end.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

from cometseam.ownership import Fence


class Proxy:
    """Forwards `127.0.0.1:port` to `upstream`; a test may change the fault settings below at any time."""

    def __init__(self, upstream: int) -> None:
        self.upstream = upstream
        self.port = 0
        self.hold = False  # bytes to upstream wait until it is False again; answers pass
        self.drop_requests = False  # bytes to upstream are discarded
        self.drop_answers = False  # bytes to the front are discarded
        self.delay_s = 0.0  # of each chunk, in either direction
        self.cut = False  # closes every connection, and new ones at once
        self.held_bytes = 0  # waiting now
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
    """One effect as the target received it: time (monotonic ms), contents, whether the fence admitted it."""

    at: float
    task: str
    token: int
    name: str
    number: int
    passed: bool


@dataclass
class Target:
    """Receives effects on loopback and fences them; `history` has every effect in order of arrival."""

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
        """Wait until `test` is true for the history; raise TimeoutError after `within` s."""
        with anyio.fail_after(within):
            while not test(self.history):
                await self.updated.wait()


def anomalies(history: list[Effect]) -> list[str]:
    """Return the anomalies of a whole history: effects admitted after one of a higher token of the same task.

    One owner at a time means at the target that once a newer owner's effect was admitted, no older owner's
    may be. Interleaved effects of two owners (split brain) show too, as a lower token admitted after a higher
    one; so does one token with two names.
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
    """Return the effects of an older owner that arrived after a newer owner's first, admitted or not.

    Where nothing delays effects on the way, each was sent while another owner already acted: two fronts
    acting at once, which the owners' own clocks must prevent (the fence would still reject them).
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
