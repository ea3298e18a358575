"""Two hundred fronts contend for fifty tasks, with processes dying and joining every second, on loopback.

Real processes, several fronts each with a connection of its own (`coordination.agent --members`): the etcd
stand-in, a fenced target, our proxies. The eager way (campaign the moment a task is seen free) and ways
with a wait of up to 100 ms and 1 s by `CampaignScheduler` are taken in turns in one run. Not run by CI:

    python -m bench.flood --processes 8 --members 25 --tasks 50 --seconds 20
"""

import argparse

import anyio

from bench.ownership import counted
from tests.standins.faults import Effect, anomalies, overlaps
from tests.standins.fleet import TTL_MS, fleet


def gaps(history: list[Effect], since: float) -> list[float]:
    """For each task the longest time (ms) between two effects let through."""
    last: dict[str, float] = {}
    most: dict[str, float] = {}
    for effect in history:
        if not effect.passed or effect.at < since:
            continue
        most[effect.task] = max(most.get(effect.task, 0.0), effect.at - last.get(effect.task, since))
        last[effect.task] = effect.at
    return sorted(most.values())


async def play(words: argparse.Namespace, spread: float) -> dict[str, float]:
    """One run; return its figures."""
    tasks = [f"t{number:02}" for number in range(words.tasks)]
    extra = ["--tasks", ",".join(tasks), "--members", str(words.members), "--every-ms", "200"]
    extra += ["--refresh-ms", "2000", "--spread-ms", str(spread)]
    async with fleet(words.processes, extra=tuple(extra)) as here:
        began = anyio.current_time()
        await here.target.wait_for(lambda h: {e.task for e in h if e.passed} == set(tasks), 60)
        owned = anyio.current_time() - began
        since = here.target.history[-1].at
        for turn in range(words.seconds):
            name = f"f{turn % words.processes}"
            here.fronts[name].kill()
            await here.fronts[name].wait()
            await anyio.sleep(1.0)
            await here.start_front(name, tuple(extra))
        handed = len({(e.task, e.token) for e in here.target.history if e.passed}) - len(tasks)
        calls = await counted(here)
        whole = anyio.current_time() - began
        history = here.target.history
        most = gaps(history, since)
        return {
            "s until all owned": owned, "changes of owner": handed,
            "calls a front a second": sum(calls.values()) / whole / words.processes / words.members,
            "transactions a change": calls.get("Txn", 0) / max(handed + len(tasks), 1),
            "grants a change": calls.get("LeaseGrant", 0) / max(handed + len(tasks), 1),
            "longest without owner / TTL": most[-1] / TTL_MS,
            "median of tasks / TTL": most[len(most) // 2] / TTL_MS,
            "anomalies": len(anomalies(history)), "overlaps": len(overlaps(history)), "effects": len(history),
        }  # fmt: skip


async def main(words: argparse.Namespace) -> None:
    """Take the ways in turns and print their figures side by side."""
    ways = {"eager": 0.0, "100 ms": 100.0, "1 s": 1000.0}
    runs: dict[str, list[dict[str, float]]] = {way: [] for way in ways}
    for _ in range(words.rounds):
        for way, spread in ways.items():
            runs[way].append(await play(words, spread))
    fronts = words.processes * words.members
    print(f"{fronts} fronts in {words.processes} processes, {words.tasks} tasks, TTL {TTL_MS:g} ms")
    for key in runs["eager"][0]:
        told = "  |  ".join(f"{way}: " + ", ".join(f"{run[key]:.2f}" for run in runs[way]) for way in runs)
        print(f"{key}: {told}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--members", type=int, default=25)
    parser.add_argument("--tasks", type=int, default=50)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=2)
    anyio.run(main, parser.parse_args(), backend="asyncio")
