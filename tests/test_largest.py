"""The largest pulls of a workload get their part of what is answered: the real module among scripted caches.

A quiet hour, and one in which every cache sends slowly, so that some are shed; in virtual time, from seeds.
"""

from dataclasses import replace
from random import Random

import pytest

from cometseam import interface as i
from tests.drive import SERVERS, SETTINGS, line
from tests.standins.scripted import Behave, Said, World

PULLS, EVERY = 1500, 12.0  # and ms between two of them
GRIDS = replace(SETTINGS.workloads[0], target_latency=600.0, target_latency_factor=1.6, deadline=6000.0)
SITE = replace(SETTINGS, workloads=(GRIDS,), stream_rate=3.0)


def among(crowd: float) -> Behave:
    """Caches that hold three in four, all answers taking `crowd` times their own sending."""

    def behave(now: float, relay: i.Relay, pull: i.Pull, chance: Random) -> Said:
        if relay.source == relay.cache and mixed(pull.object) % 4 == 0:
            return Said(1.0, i.Outcome.MISS, i.Remark.NONE)
        taken = pull.size_kb / SITE.stream_rate * crowd * chance.uniform(0.8, 1.2)
        return Said(taken + chance.uniform(2.0, 20.0), i.Outcome.OK,
                    i.Remark.HIT if relay.source == relay.cache else i.Remark.FILLED)  # fmt: skip

    return behave


def mixed(word: int) -> int:
    """Part the objects that are held from those that are not."""
    return (word * 2654435761) >> 7 & 0xFFFF


def shares(crowd: float, seed: int) -> tuple[float, float, float]:
    """Return the answered share of all pulls, of the largest tenth, and of the next fifth."""
    chance = Random(seed)
    world = World(SITE, tuple(line(cache) for cache in SERVERS), among(crowd), seed)
    for number in range(1, PULLS + 1):
        size = min(chance.lognormvariate(6.3, 1.0), 9000.0)
        pull = i.Pull(number, chance.randrange(1, 400), 0, 0, 6000.0, False, size, 3)
        world.pull(EVERY * number, pull)
    world.run()
    assert not world.judge()
    ordered = sorted(world.stories.values(), key=lambda story: -story.pull.size_kb)
    done = [story.finals[0][1] == "finished" for story in ordered]
    tenth, fifth = done[: PULLS // 10], done[PULLS // 10 : 3 * PULLS // 10]
    return sum(done) / len(done), sum(tenth) / len(tenth), sum(fifth) / len(fifth)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_on_a_quiet_day_the_largest_get_two_thirds_of_the_share(seed: int) -> None:
    every, tenth, fifth = shares(1.05, seed)
    assert every > 0.9 and min(tenth, fifth) >= 2.0 / 3.0 * every


@pytest.mark.parametrize("crowd", [2.0, 2.6])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_where_caches_are_crowded_the_largest_get_half_of_the_share(crowd: float, seed: int) -> None:
    """Guards the large: without it the largest tenth gets 0.13 and 0.04 of the share."""
    every, tenth, fifth = shares(crowd, seed)
    assert 0.3 < every < 0.95  # some are shed, or nothing would be shared out
    assert min(tenth, fifth) >= 0.5 * every
