"""Compares a plan and a retry budget with none, seed by seed: python -m bench.plans [--seeds 8].

The real decision logic in virtual time among scripted caches (`tests/standins/scripted.py`); no real
machine is involved.
"""

import argparse
import statistics
from collections.abc import Callable
from random import Random

from cometseam import interface as i
from tests.drive import SERVERS, SETTINGS, cache_entry
from tests.standins.scripted import Behaviour, FrontSimulation, ScriptedReply

LISTED = tuple(cache_entry(cache) for cache in SERVERS)
SHORT_TIMEOUTS = i.Plan(
    "hasty",
    time_outs=((i.ScaledDuration(60.0, 1.5), None), (i.ScaledDuration(200.0, 2.0), None), (None, None)),
    relays=3,
    second=i.ScaledDuration(30.0, 1.2),
)
SLOW_CACHE = 12  # sends at a tenth of its rate for 30 s
STREAM_RATE = SETTINGS.stream_rate


def one_slow_cache(now: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
    """Answer nine of ten lookups with a hit; one cache sends at a tenth of its rate for 30 s."""
    transfer_time = pull.size_kb / STREAM_RATE
    slow = 10.0 if relay.cache == SLOW_CACHE and 5_000.0 <= now < 35_000.0 else 1.0
    is_miss = random.random() < 0.1
    if relay.source == relay.cache and is_miss:
        return ScriptedReply(1.0 + 2.0 * random.random(), i.Outcome.MISS, i.Remark.NONE)
    wait = 0.0 if relay.source == relay.cache else 20.0 + 20.0 * random.random()
    remark = i.Remark.HIT if relay.source == relay.cache else i.Remark.FILLED
    return ScriptedReply(
        wait + 2.0 + slow * transfer_time * (1.0 + 0.2 * random.random()), i.Outcome.OK, remark
    )


def outage(kind: str) -> Behaviour:
    """Return a behaviour by which all caches fail for 10 s: no answer, resets, full, or errors."""
    replies = {
        "silent": ScriptedReply(None),
        "reset": ScriptedReply(2.0, i.Outcome.RESET, i.Remark.NONE),
        "full": ScriptedReply(2.0, i.Outcome.FULL, i.Remark.NONE),
        "error": ScriptedReply(2.0, i.Outcome.ERROR, i.Remark.NONE),
    }

    def behave(now: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
        return replies[kind] if 5_000.0 <= now < 15_000.0 else one_slow_cache(0.0, relay, pull, random)

    return behave


def run_day(
    plans: i.Plans | None, behave: Behaviour, seed: int, duration: float, rate: float
) -> FrontSimulation:
    """Play pulls of three sizes, `rate` per ms, for `duration` ms; no rule of the service may be broken."""
    simulation = FrontSimulation(SETTINGS, LISTED, behave, seed)
    if plans is not None:
        simulation.send_event(plans)
    random, at, number = Random(seed), 0.0, 0
    while at < duration:
        at += random.expovariate(rate)
        number += 1
        object_id = int(400 * random.random() ** 3)
        size_kb = random.choice((40.0, 120.0, 400.0))
        plan = -1 if plans is None else 0
        simulation.pull(at, i.Pull(number, object_id, 0, 0, 2000.0, False, size_kb, 3, plan))
    simulation.run()
    assert simulation.violations() == [], simulation.violations()[:3]
    return simulation


def further_per_first(simulation: FrontSimulation, start: float, end: float) -> float:
    """Return the further relays per first relay between two times."""
    within = [further for at, further in simulation.sent_at if start <= at < end]
    return sum(within) / max(len(within) - sum(within), 1)


def print_comparison(
    name: str,
    figure: Callable[[FrontSimulation], float],
    first: list[FrontSimulation],
    second: list[FrontSimulation],
) -> None:
    """Print a figure for both variants, paired by seed."""
    first_values, second_values = (
        [figure(simulation) for simulation in first],
        [figure(simulation) for simulation in second],
    )
    differences = [b - a for a, b in zip(first_values, second_values, strict=True)]
    spread = f"{min(differences):+.3f} to {max(differences):+.3f}"
    print(f"{name:34} {statistics.mean(first_values):7.3f} {statistics.mean(second_values):7.3f}  {spread}")


def relays_per_pull(simulation: FrontSimulation) -> float:
    """Return the relays per pull, including cache lookups."""
    return sum(len(record.sent) for record in simulation.pull_records.values()) / len(simulation.pull_records)


def main() -> None:
    """Print the tables of docs/results/timing.md."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    seeds = range(1, parser.parse_args().seeds + 1)
    terms = i.RetryBudgetTerms("front", 0.05, 5_000.0, 5.0)
    none, budget = i.Plans((i.Plan("own"),)), i.Plans((i.Plan("own"),), (), terms)
    print(f"{'one cache slowed tenfold':34}    none    plan  difference by seed ({len(seeds)} seeds)")
    baseline = [run_day(none, one_slow_cache, seed, 40_000.0, 0.05) for seed in seeds]
    variant = [run_day(i.Plans((SHORT_TIMEOUTS,)), one_slow_cache, seed, 40_000.0, 0.05) for seed in seeds]
    print_comparison("share of gain", FrontSimulation.gain, baseline, variant)
    print_comparison("relays for each pull", relays_per_pull, baseline, variant)
    for kind in ("silent", "reset", "full", "error"):
        print(f"{'all caches ' + kind + ' for 10 s':34}    none  budget  difference by seed")
        baseline = [run_day(none, outage(kind), seed, 25_000.0, 0.1) for seed in seeds]
        variant = [run_day(budget, outage(kind), seed, 25_000.0, 0.1) for seed in seeds]
        print_comparison(
            "further for each first, outage",
            lambda w: further_per_first(w, 5_000.0, 15_000.0),
            baseline,
            variant,
        )
        print_comparison(
            "further for each first, 2 s after",
            lambda w: further_per_first(w, 15_000.0, 17_000.0),
            baseline,
            variant,
        )
        print_comparison(
            "further for each first, then",
            lambda w: further_per_first(w, 17_000.0, 25_000.0),
            baseline,
            variant,
        )
        print_comparison("share of gain, day", FrontSimulation.gain, baseline, variant)


if __name__ == "__main__":
    main()
