"""Levels on real fronts and loopback sockets: python -m bench.loopback [--seconds 30] [--loads 0.8,2.0].

The same workload as `bench.levels`, in real time: one front per variant, side by side, each with simulated
caches whose fills share one link. Pulls are scheduled at times drawn in advance, and their latency counts
from the scheduled time.
"""

import argparse
import sys
import tempfile
import time
from collections import OrderedDict
from pathlib import Path
from random import Random

import anyio
from anyio.abc import TaskGroup

from tests.drive import Caller, FrontTestbed, client_request, front_testbed
from tests.standins.caches import Answer, Caches, Link, resp

STREAM_RATE = 3.5  # KB per ms, as in the settings of the sample
LINK_CAPACITY = 6.0  # fills at full rate that the link carries at once
CACHE_SIZE_KB = 400_000.0
TERMS = {
    "grids": (600.0, 1.6, 6000, 2.0),
    "maps": (250.0, 2.0, 3000, 1.0),
}  # target latency: base and factor; deadline; gain
COPY_FIELDS = "tag=4be0c1927d55a6f3,minted="
PLAIN_PROGRAM = (
    "import cometseam.logic as l; l.ADMISSION_SHARE = l.SPILL_SHARE = 1e9; "
    "from cometseam.__main__ import serve; serve()"
)


class SharedLinkCaches(Caches):
    """Simulated caches with least-recently-used eviction that fill over one shared link, in real time."""

    def __init__(self, number: int, sizes: dict[str, float]) -> None:
        super().__init__(number, self.answer)
        self.sizes = sizes  # KB by object
        self.copies: list[OrderedDict[str, float]] = [OrderedDict() for _ in range(number)]
        self.transfers: dict[str, tuple[Link, list[float], str, int]] = {}  # by id: [ms left], part, rank
        self.progressed_at = time.monotonic()

    def answer_fields(self, reason: str) -> str:
        """Return the fields of an answer with a body."""
        return (
            f"{COPY_FIELDS}{int(time.time() * 1000)},why={reason},"
            f"rep=util:0.5;x1:{len(self.transfers) / LINK_CAPACITY:.2f}"
        )

    def answer(self, cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        """Answer a lookup with a copy or a miss; a fill is answered when its transfer ends."""
        part = f"{fields['name']}.{fields['piece']}"
        transfer_s = self.sizes[fields["name"]] / STREAM_RATE / 1000.0
        if part in self.copies[cache]:
            self.copies[cache].move_to_end(part)
            return 0.002 + transfer_s, "DONE", self.answer_fields("cached"), b"x"
        if "via" in fields and "have-only" not in fields.get("opts", ""):
            return None, "", "", b""
        return 0.002, "LACK", f"rep=util:0.5;x1:{len(self.transfers) / LINK_CAPACITY:.2f}", b""

    def _start_relay(self, link: Link, parts: list[str]) -> None:
        super()._start_relay(link, parts)
        fields = dict(item.split("=", 1) for item in parts[2].split(","))
        part = f"{fields['name']}.{fields['piece']}"
        is_fill = "via" in fields and "have-only" not in fields.get("opts", "")
        if is_fill and part not in self.copies[link.cache]:
            self._progress()
            ms_left = [self.sizes[fields["name"]] / STREAM_RATE]
            self.transfers[parts[1]] = (link, ms_left, part, int(fields.get("tier", "0")))

    def _progress(self) -> None:
        now = time.monotonic()
        rate = min(1.0, LINK_CAPACITY / max(len(self.transfers), 1))
        for _, ms_left, _, _ in self.transfers.values():
            ms_left[0] -= 1000.0 * (now - self.progressed_at) * rate
        self.progressed_at = now

    def _handle_commands(self, timeout: float) -> None:
        super()._handle_commands(min(timeout, 0.004) if self.transfers else timeout)
        self._progress()
        for id, (link, ms_left, part, rank) in list(self.transfers.items()):
            if self.in_flight.get(id, (0, None))[1] is not link.sock:
                del self.transfers[id]  # cancelled: it leaves the link
            elif ms_left[0] <= 0.0:
                del self.transfers[id]
                del self.in_flight[id]
                copies = self.copies[link.cache]
                if rank:
                    copies[part] = self.sizes[part.partition(".")[0]]
                    while sum(copies.values()) > CACHE_SIZE_KB:
                        copies.popitem(last=False)
                self._send(link, resp(id, "DONE", self.answer_fields("fetched"), b"x"))


def draw_pulls(load: float, seconds: float, seed: int) -> list[tuple[float, str, str, float]]:
    """Draw the pulls of a run in advance: scheduled time (s), workload, object, KB."""
    random, at = Random(seed), 0.0
    pulls: list[tuple[float, str, str, float]] = []
    while at < seconds:
        at += random.expovariate(30.0 * load)
        if 0.2 * seconds <= at < 0.8 * seconds and random.random() < 0.04 * load:
            number = 900_000 + random.randrange(12) + 12 * int(at / 6.0)
            pulls.append((at, "grids", f"{number:016x}", 9000.0))
        elif random.random() < 0.5:
            pulls.append((at, "grids", f"{int(600 * random.random() ** 2.5):016x}", 1200.0))
        else:
            pulls.append((at, "maps", f"{10_000 + int(1500 * random.random() ** 2.5):016x}", 200.0))
    return pulls


async def send_pulls(
    pulls: list[tuple[float, str, str, float]], program: FrontTestbed
) -> dict[str, tuple[float, float]]:
    """Send the pulls on schedule; return, by workload, the gain within the target latency and all gain."""
    earned, offered = dict.fromkeys(TERMS, 0.0), dict.fromkeys(TERMS, 0.0)
    begin, end = 0.2 * pulls[-1][0], 0.8 * pulls[-1][0]
    began_at = time.monotonic()

    async def send_pull(number: int, caller: "ConnectionPool") -> None:
        due, workload, item, kb = pulls[number]
        base, factor, deadline, gain = TERMS[workload]
        code = await caller.send(number + 1, workload, item, kb, deadline)
        latency = 1000.0 * (time.monotonic() - began_at - due)
        if begin <= due < end:
            offered[workload] += gain
            earned[workload] += gain * (code == 1 and latency <= base + factor * kb / STREAM_RATE)

    async with anyio.create_task_group() as tasks:
        connections = ConnectionPool(program, tasks)
        for number, (due, *_) in enumerate(pulls):
            await anyio.sleep(max(began_at + due - time.monotonic(), 0.0))
            tasks.start_soon(send_pull, number, connections)
        while connections.open:
            await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return {lane: (earned[lane], offered[lane]) for lane in TERMS}


Channel = tuple[
    Caller, dict[int, tuple[anyio.Event, list[int]]], list[int]
]  # open streams; [last stream, usable]


class ConnectionPool:
    """Connections to one front, each with up to 30 open pulls."""

    def __init__(self, program: FrontTestbed, tasks: TaskGroup) -> None:
        self._program, self._tasks = program, tasks
        self._channels: list[Channel] = []
        self.open = 0

    async def send(self, number: int, workload: str, item: str, kb: float, deadline: int) -> int:
        """Send a pull; return the code of its answer."""
        self.open += 1
        channel = next((entry for entry in self._channels if len(entry[1]) < 30 and entry[2][1]), None)
        if channel is None:
            channel = (await self._program.connect_client(), {}, [0, 1])
            self._channels.append(channel)
            self._tasks.start_soon(self._read, channel)
        caller, waiting, state = channel
        state[0] += 1
        event, code = anyio.Event(), [0]
        waiting[state[0]] = (event, code)
        fields: dict[str, str | None] = {
            "verb": workload,
            "txn": f"{number:016x}",
            "item": item,
            "ram": f"{kb:g}",
        }
        fields["limit"] = str(deadline)
        frame = client_request(state[0], b"", nth="0", **fields)
        await caller.send(frame)
        await event.wait()
        self.open -= 1
        return code[0]

    async def _read(self, channel: Channel) -> None:
        caller, waiting, state = channel
        try:
            while True:
                answer = await caller.next()
                if answer.type == 17 and answer.stream in waiting:
                    event, code = waiting.pop(answer.stream)
                    code[0] = answer.code
                    event.set()
        except (
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
        ):  # closed when idle, or lost with its open pulls
            state[1] = 0
            for event, _ in waiting.values():
                event.set()


async def run_variant(
    name: str, load: float, seconds: float, seed: int, file: Path, lines: dict[str, str]
) -> None:
    """Run one front and add its line of the table."""
    pulls = draw_pulls(load, seconds, seed)
    sizes = {item: kb for _, _, item, kb in pulls}
    folder = Path(tempfile.mkdtemp())
    command = [sys.executable, "-O", *(["-c", PLAIN_PROGRAM] if name == "neither" else ["-m", "cometseam"])]
    with SharedLinkCaches(3, sizes) as caches:
        at = {f"cache-{number + 1}": address for number, address in enumerate(caches.addresses)}
        operator = file if name == "and levels" else None
        async with front_testbed(
            folder,
            "cache-2",
            "cache-3",
            operator=operator,
            addresses=at,
            timeout_s=seconds + 60.0,
            command=command,
        ) as program:
            shares = await send_pulls(pulls, program)
            counters = await program.stop()
        assert caches.two_out == []
    grids, maps = (shares[lane][0] / shares[lane][1] for lane in ("grids", "maps"))
    both = sum(got for got, _ in shares.values()) / sum(asked for _, asked in shares.values())
    times = {key: value for key, value in counters.items() if key.startswith("levels.s_in.")}
    below_full_s = sum(times.values()) - times.get("levels.s_in.full", 0.0)
    broken_invariants = {key: value for key, value in counters.items() if "invariant" in key}
    remark = f"{below_full_s:.0f} s below full service{f', {broken_invariants}' if broken_invariants else ''}"
    lines[name] = f"{load:4}  {name:12} {grids:7.3f} {maps:6.3f} {both:6.3f}   {remark}"


async def run(loads: list[float], seconds: float, seed: int, file: Path) -> None:
    """Run all variants of each load side by side."""
    print("load  variant        grids   maps    all")
    for load in loads:
        lines: dict[str, str] = {}
        async with anyio.create_task_group() as tasks:
            for name in ("neither", "the module", "and levels"):
                tasks.start_soon(run_variant, name, load, seconds, seed, file, lines)
        print("\n".join(lines[name] for name in ("neither", "the module", "and levels")), flush=True)


def main() -> None:
    """Print a table for each load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--loads", default="0.8,1.2,1.6,2.0")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--file", type=Path, default=Path("deploy/levels.jsonnet"))
    arguments = parser.parse_args()
    anyio.run(
        run,
        [float(load) for load in arguments.loads.split(",")],
        arguments.seconds,
        arguments.seed,
        arguments.file,
    )


if __name__ == "__main__":
    main()
