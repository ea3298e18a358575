"""Levels on real fronts and loopback sockets: python -m bench.loopback [--seconds 30] [--loads 0.8,2.0].

The same work as `bench.levels`, in real time: one front a variant, side by side, each with stand-in caches
whose fills share one link by the bytes left. Pulls are due at times drawn ahead, and their time counts from
when they were due.
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

from tests.drive import Caller, World, order, world
from tests.standins.caches import Answer, Caches, Link, resp

PACE = 3.5  # KB a ms, as the sample's settings say
ROOM, HELD = 6.0, 400_000.0  # fills at full pace that the link carries at once; KB that a cache keeps
QUOTED = {"grids": (600.0, 1.6, 6000, 2.0), "maps": (250.0, 2.0, 3000, 1.0)}  # base, stretch, cut-off, gain
COPY = "tag=4be0c1927d55a6f3,minted="
PLAIN = (
    "import cometseam.logic as l; l.ADMISSION_SHARE = l.SPILL_SHARE = 1e9; "
    "from cometseam.__main__ import serve; serve()"
)


class OneLink(Caches):
    """Caches that keep what they are told, and fill over one link, in real time."""

    def __init__(self, number: int, sizes: dict[str, float]) -> None:
        super().__init__(number, self.look)
        self.sizes = sizes  # KB by object
        self.kept: list[OrderedDict[str, float]] = [OrderedDict() for _ in range(number)]
        self.active: dict[str, tuple[Link, list[float], str, int]] = {}  # by id: [ms left], object, rank
        self.moved = time.monotonic()

    def told(self, word: str) -> str:
        """Return the fields of an answer."""
        return f"{COPY}{int(time.time() * 1000)},why={word},rep=util:0.5;x1:{len(self.active) / ROOM:.2f}"

    def look(self, cache: int, id: str, fields: dict[str, str], asked: int) -> Answer:
        """Answer from what is kept, or that it lacks; a fill is answered by the link."""
        wanted = f"{fields['name']}.{fields['piece']}"
        sending = self.sizes[fields["name"]] / PACE / 1000.0
        if wanted in self.kept[cache]:
            self.kept[cache].move_to_end(wanted)
            return 0.002 + sending, "DONE", self.told("cached"), b"x"
        if "via" in fields and "have-only" not in fields.get("opts", ""):
            return None, "", "", b""
        return 0.002, "LACK", f"rep=util:0.5;x1:{len(self.active) / ROOM:.2f}", b""

    def _start_relay(self, link: Link, parts: list[str]) -> None:
        super()._start_relay(link, parts)
        fields = dict(item.split("=", 1) for item in parts[2].split(","))
        wanted = f"{fields['name']}.{fields['piece']}"
        fills = "via" in fields and "have-only" not in fields.get("opts", "")
        if fills and wanted not in self.kept[link.cache]:
            self._move()
            left = [self.sizes[fields["name"]] / PACE]
            self.active[parts[1]] = (link, left, wanted, int(fields.get("tier", "0")))

    def _move(self) -> None:
        now = time.monotonic()
        rate = min(1.0, ROOM / max(len(self.active), 1))
        for _, left, _, _ in self.active.values():
            left[0] -= 1000.0 * (now - self.moved) * rate
        self.moved = now

    def _handle_commands(self, timeout: float) -> None:
        super()._handle_commands(min(timeout, 0.004) if self.active else timeout)
        self._move()
        for id, (link, left, wanted, rank) in list(self.active.items()):
            if self.in_flight.get(id, (0, None))[1] is not link.sock:
                del self.active[id]  # given up: its bytes no longer come
            elif left[0] <= 0.0:
                del self.active[id]
                del self.in_flight[id]
                kept = self.kept[link.cache]
                if rank:
                    kept[wanted] = self.sizes[wanted.partition(".")[0]]
                    while sum(kept.values()) > HELD:
                        kept.popitem(last=False)
                self._send(link, resp(id, "DONE", self.told("fetched"), b"x"))


def work(load: float, seconds: float, seed: int) -> list[tuple[float, str, str, float]]:
    """Draw the pulls of a day ahead: when due (s), workload, object, KB."""
    chance, at = Random(seed), 0.0
    out: list[tuple[float, str, str, float]] = []
    while at < seconds:
        at += chance.expovariate(30.0 * load)
        if 0.2 * seconds <= at < 0.8 * seconds and chance.random() < 0.04 * load:
            number = 900_000 + chance.randrange(12) + 12 * int(at / 6.0)
            out.append((at, "grids", f"{number:016x}", 9000.0))
        elif chance.random() < 0.5:
            out.append((at, "grids", f"{int(600 * chance.random() ** 2.5):016x}", 1200.0))
        else:
            out.append((at, "maps", f"{10_000 + int(1500 * chance.random() ** 2.5):016x}", 200.0))
    return out


async def play(pulls: list[tuple[float, str, str, float]], here: World) -> dict[str, tuple[float, float]]:
    """Send the pulls when they are due; return (gain got in the quoted time, gain asked for) by workload."""
    got, asked = dict.fromkeys(QUOTED, 0.0), dict.fromkeys(QUOTED, 0.0)
    begin, end = 0.2 * pulls[-1][0], 0.8 * pulls[-1][0]
    began = time.monotonic()

    async def one(number: int, caller: "Shared") -> None:
        due, lane, item, kb = pulls[number]
        base, stretch, cut_off, worth = QUOTED[lane]
        code = await caller.ask(number + 1, lane, item, kb, cut_off)
        took = 1000.0 * (time.monotonic() - began - due)
        if begin <= due < end:
            asked[lane] += worth
            got[lane] += worth * (code == 1 and took <= base + stretch * kb / PACE)

    async with anyio.create_task_group() as tasks:
        shared = Shared(here, tasks)
        for number, (due, *_) in enumerate(pulls):
            await anyio.sleep(max(began + due - time.monotonic(), 0.0))
            tasks.start_soon(one, number, shared)
        while shared.open:
            await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return {lane: (got[lane], asked[lane]) for lane in QUOTED}


Channel = tuple[Caller, dict[int, tuple[anyio.Event, list[int]]], list[int]]  # waits; last, usable


class Shared:
    """Connections to one front, each with up to 30 pulls open."""

    def __init__(self, here: World, tasks: TaskGroup) -> None:
        self._here, self._tasks = here, tasks
        self._callers: list[Channel] = []
        self.open = 0

    async def ask(self, number: int, lane: str, item: str, kb: float, cut_off: int) -> int:
        """Ask for a part; return the answer's code."""
        self.open += 1
        mine = next((entry for entry in self._callers if len(entry[1]) < 30 and entry[2][1]), None)
        if mine is None:
            mine = (await self._here.call(), {}, [0, 1])
            self._callers.append(mine)
            self._tasks.start_soon(self._read, mine)
        caller, waiting, state = mine
        state[0] += 1
        event, code = anyio.Event(), [0]
        waiting[state[0]] = (event, code)
        told: dict[str, str | None] = {"verb": lane, "txn": f"{number:016x}", "item": item, "ram": f"{kb:g}"}
        told["limit"] = str(cut_off)
        raw = order(state[0], b"", nth="0", **told)
        await caller.send(raw)
        await event.wait()
        self.open -= 1
        return code[0]

    async def _read(self, mine: Channel) -> None:
        caller, waiting, state = mine
        try:
            while True:
                got = await caller.next()
                if got.type == 17 and got.stream in waiting:
                    event, code = waiting.pop(got.stream)
                    code[0] = got.code
                    event.set()
        except (anyio.IncompleteRead, anyio.BrokenResourceError):  # idle, or lost with what was open on it
            state[1] = 0
            for event, _ in waiting.values():
                event.set()


async def variant(name: str, load: float, seconds: float, seed: int, file: Path, out: dict[str, str]) -> None:
    """Run one front and print its line."""
    pulls = work(load, seconds, seed)
    sizes = {item: kb for _, _, item, kb in pulls}
    folder = Path(tempfile.mkdtemp())
    command = [sys.executable, "-O", *(["-c", PLAIN] if name == "neither" else ["-m", "cometseam"])]
    with OneLink(3, sizes) as caches:
        at = {f"cache-{number + 1}": address for number, address in enumerate(caches.addresses)}
        operator = file if name == "and levels" else None
        async with world(
            folder, "cache-2", "cache-3", operator=operator, at=at, patience=seconds + 60.0, command=command
        ) as here:
            shares = await play(pulls, here)
            counters = await here.stop()
        assert caches.two_out == []
    grids, maps = (shares[lane][0] / shares[lane][1] for lane in ("grids", "maps"))
    both = sum(got for got, _ in shares.values()) / sum(asked for _, asked in shares.values())
    times = {key: value for key, value in counters.items() if key.startswith("levels.s_in.")}
    below = sum(times.values()) - times.get("levels.s_in.full", 0.0)
    broken = {key: value for key, value in counters.items() if "invariant" in key}
    told = f"{below:.0f} s below full service{f', {broken}' if broken else ''}"
    out[name] = f"{load:4}  {name:12} {grids:7.3f} {maps:6.3f} {both:6.3f}   {told}"


async def run(loads: list[float], seconds: float, seed: int, file: Path) -> None:
    """Play all variants of a load side by side."""
    print("load  variant        grids   maps    all")
    for load in loads:
        out: dict[str, str] = {}
        async with anyio.create_task_group() as tasks:
            for name in ("neither", "the module", "and levels"):
                tasks.start_soon(variant, name, load, seconds, seed, file, out)
        print("\n".join(out[name] for name in ("neither", "the module", "and levels")), flush=True)


def main() -> None:
    """Print a table a load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--loads", default="0.8,1.2,1.6,2.0")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--file", type=Path, default=Path("deploy/levels.jsonnet"))
    words = parser.parse_args()
    anyio.run(run, [float(load) for load in words.loads.split(",")], words.seconds, words.seed, words.file)


if __name__ == "__main__":
    main()
