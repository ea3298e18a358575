"""Plan against none, budget against none, in turns over seeds: python -m bench.plans [--seeds 8].

The real module in virtual time among scripted caches (`tests/standins/scripted.py`); nothing here is a real
machine.
"""

import argparse
import statistics
from collections.abc import Callable
from random import Random

from cometseam import interface as i
from tests.drive import SERVERS, SETTINGS, line
from tests.standins.scripted import Behave, Said, World

LISTED = tuple(line(cache) for cache in SERVERS)
HASTY = i.Plan(
    "hasty",
    time_outs=((i.ScaledDuration(60.0, 1.5), None), (i.ScaledDuration(200.0, 2.0), None), (None, None)),
    relays=3,
    second=i.ScaledDuration(30.0, 1.2),
)
SLOWED = 12  # the cache whose sending is slowed tenfold
PACE = SETTINGS.stream_rate


def slowed(now: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
    """Answer at once what is held, nine times of ten; one cache sends at a tenth of its pace for 30 s."""
    sending = pull.size_kb / PACE
    slow = 10.0 if relay.cache == SLOWED and 5_000.0 <= now < 35_000.0 else 1.0
    lacks = chance.random() < 0.1
    if relay.source == relay.cache and lacks:
        return Said(1.0 + 2.0 * chance.random(), i.Outcome.MISS, i.Remark.NONE)
    wait = 0.0 if relay.source == relay.cache else 20.0 + 20.0 * chance.random()
    remark = i.Remark.HIT if relay.source == relay.cache else i.Remark.FILLED
    return Said(wait + 2.0 + slow * sending * (1.0 + 0.2 * chance.random()), i.Outcome.OK, remark)


def outage(word: str) -> Behave:
    """All caches fail for 10 s: they are silent, break off, are full or answer with an error."""
    says = {
        "silent": Said(None),
        "reset": Said(2.0, i.Outcome.RESET, i.Remark.NONE),
        "full": Said(2.0, i.Outcome.FULL, i.Remark.NONE),
        "error": Said(2.0, i.Outcome.ERROR, i.Remark.NONE),
    }

    def behave(now: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
        return says[word] if 5_000.0 <= now < 15_000.0 else slowed(0.0, relay, pull, chance)

    return behave


def day(plans: i.Plans | None, behave: Behave, seed: int, length: float, rate: float) -> World:
    """Play a day of pulls of three sizes, `rate` a ms; the world's own judge must find no broken rule."""
    world = World(SETTINGS, LISTED, behave, seed)
    if plans is not None:
        world.tell(plans)
    chance, at, number = Random(seed), 0.0, 0
    while at < length:
        at += chance.expovariate(rate)
        number += 1
        wanted = int(400 * chance.random() ** 3)
        size_kb = chance.choice((40.0, 120.0, 400.0))
        plan = -1 if plans is None else 0
        world.pull(at, i.Pull(number, wanted, 0, 0, 2000.0, False, size_kb, 3, plan))
    world.run()
    assert world.judge() == [], world.judge()[:3]
    return world


def per_pull(world: World, start: float, end: float) -> float:
    """Return the further relays for each first one in a time."""
    within = [further for at, further in world.sent_at if start <= at < end]
    return sum(within) / max(len(within) - sum(within), 1)


def told(name: str, of: Callable[[World], float], one: list[World], other: list[World]) -> None:
    """Print a figure of both variants, paired by seed."""
    mine, theirs = [of(world) for world in one], [of(world) for world in other]
    difference = [b - a for a, b in zip(mine, theirs, strict=True)]
    spread = f"{min(difference):+.3f} to {max(difference):+.3f}"
    print(f"{name:34} {statistics.mean(mine):7.3f} {statistics.mean(theirs):7.3f}  {spread}")


def sent(world: World) -> float:
    """Return the relays for each pull, looks among them."""
    return sum(len(story.sent) for story in world.stories.values()) / len(world.stories)


def main() -> None:
    """Print the tables of docs/results/timing.md."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    seeds = range(1, parser.parse_args().seeds + 1)
    terms = i.RetryBudgetTerms("front", 0.05, 5_000.0, 5.0)
    none, budget = i.Plans((i.Plan("own"),)), i.Plans((i.Plan("own"),), (), terms)
    print(f"{'one cache slowed tenfold':34}    none    plan  difference by seed ({len(seeds)} seeds)")
    one = [day(none, slowed, seed, 40_000.0, 0.05) for seed in seeds]
    two = [day(i.Plans((HASTY,)), slowed, seed, 40_000.0, 0.05) for seed in seeds]
    told("share of gain", World.gain, one, two)
    told("relays for each pull", sent, one, two)
    for word in ("silent", "reset", "full", "error"):
        print(f"{'all caches ' + word + ' for 10 s':34}    none  budget  difference by seed")
        one = [day(none, outage(word), seed, 25_000.0, 0.1) for seed in seeds]
        two = [day(budget, outage(word), seed, 25_000.0, 0.1) for seed in seeds]
        told("further for each first, outage", lambda w: per_pull(w, 5_000.0, 15_000.0), one, two)
        told("further for each first, 2 s after", lambda w: per_pull(w, 15_000.0, 17_000.0), one, two)
        told("further for each first, then", lambda w: per_pull(w, 17_000.0, 25_000.0), one, two)
        told("share of gain, day", World.gain, one, two)


if __name__ == "__main__":
    main()
