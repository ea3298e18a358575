"""Two hundred fronts contend for fifty tasks on loopback, with a process killed and restarted every second.

Real processes: the simulated etcd, a fenced target, proxies, and agents that each hold several fronts with
a connection of their own (`coordination.agent --members`). Campaigning as soon as a task is free is
compared, in turns in one run, with delays of up to 100 ms and 1 s by `CampaignScheduler`. Not run by CI:

    python -m bench.flood --processes 8 --members 25 --tasks 50 --seconds 20
"""

import argparse

import anyio

from bench.ownership import stop_and_count_calls
from tests.standins.faults import Effect, anomalies, overlaps
from tests.standins.fleet import TTL_MS, fleet


def longest_gaps(history: list[Effect], since: float) -> list[float]:
    """Return, sorted, the longest time (ms) between two accepted effects of each task."""
    last_effect_at: dict[str, float] = {}
    max_gaps: dict[str, float] = {}
    for effect in history:
        if not effect.passed or effect.at < since:
            continue
        max_gaps[effect.task] = max(
            max_gaps.get(effect.task, 0.0), effect.at - last_effect_at.get(effect.task, since)
        )
        last_effect_at[effect.task] = effect.at
    return sorted(max_gaps.values())


async def measure(arguments: argparse.Namespace, spread: float) -> dict[str, float]:
    """Run once with a maximum campaign delay of `spread` ms; return the figures."""
    tasks = [f"t{number:02}" for number in range(arguments.tasks)]
    extra = ["--tasks", ",".join(tasks), "--members", str(arguments.members), "--every-ms", "200"]
    extra += ["--refresh-ms", "2000", "--spread-ms", str(spread)]
    async with fleet(arguments.processes, extra=tuple(extra)) as test_fleet:
        began_at = anyio.current_time()
        await test_fleet.target.wait_for(lambda h: {e.task for e in h if e.passed} == set(tasks), 60)
        all_owned_after = anyio.current_time() - began_at
        since = test_fleet.target.history[-1].at
        for kill_number in range(arguments.seconds):
            name = f"f{kill_number % arguments.processes}"
            test_fleet.fronts[name].kill()
            await test_fleet.fronts[name].wait()
            await anyio.sleep(1.0)
            await test_fleet.start_front(name, tuple(extra))
        owner_changes = len({(e.task, e.token) for e in test_fleet.target.history if e.passed}) - len(tasks)
        calls = await stop_and_count_calls(test_fleet)
        duration = anyio.current_time() - began_at
        history = test_fleet.target.history
        max_gaps = longest_gaps(history, since)
        return {
            "s until all owned": all_owned_after, "changes of owner": owner_changes,
            "calls a front a second":
                sum(calls.values()) / duration / arguments.processes / arguments.members,
            "transactions a change": calls.get("Txn", 0) / max(owner_changes + len(tasks), 1),
            "grants a change": calls.get("LeaseGrant", 0) / max(owner_changes + len(tasks), 1),
            "longest without owner / TTL": max_gaps[-1] / TTL_MS,
            "median of tasks / TTL": max_gaps[len(max_gaps) // 2] / TTL_MS,
            "anomalies": len(anomalies(history)), "overlaps": len(overlaps(history)), "effects": len(history),
        }  # fmt: skip


async def main(arguments: argparse.Namespace) -> None:
    """Run the variants in turns and print their figures side by side."""
    variants = {"eager": 0.0, "100 ms": 100.0, "1 s": 1000.0}
    runs: dict[str, list[dict[str, float]]] = {variant: [] for variant in variants}
    for _ in range(arguments.rounds):
        for variant, spread in variants.items():
            runs[variant].append(await measure(arguments, spread))
    fronts = arguments.processes * arguments.members
    print(f"{fronts} fronts in {arguments.processes} processes, {arguments.tasks} tasks, TTL {TTL_MS:g} ms")
    for key in runs["eager"][0]:
        figures = "  |  ".join(
            f"{variant}: " + ", ".join(f"{run[key]:.2f}" for run in runs[variant]) for variant in runs
        )
        print(f"{key}: {figures}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--members", type=int, default=25)
    parser.add_argument("--tasks", type=int, default=50)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=2)
    anyio.run(main, parser.parse_args(), backend="asyncio")
