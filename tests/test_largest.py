"""The largest pulls of a workload get a fair part of what is answered.

Shedding under load hits large pulls first, because capacity is used per byte. The real decision module runs
in virtual time, from seeds, among scripted caches: at low load, and with all caches sending slowly, so that
some pulls are shed.
"""

from dataclasses import replace
from random import Random

import pytest

from cometseam import interface as i
from tests.drive import SERVERS, SETTINGS, cache_entry
from tests.standins.scripted import Behaviour, FrontSimulation, ScriptedReply

PULL_COUNT = 1500
PULL_INTERVAL_MS = 12.0
WORKLOAD = replace(SETTINGS.workloads[0], target_latency=600.0, target_latency_factor=1.6, deadline=6000.0)
FRONT_SETTINGS = replace(SETTINGS, workloads=(WORKLOAD,), stream_rate=3.0)


def slowed_down_caches(slowdown: float) -> Behaviour:
    """Return the behaviour of caches that hold three in four objects and send slower than usual.

    Each answer takes about `slowdown` times its sending time.
    """

    def behave(now: float, relay: i.Relay, pull: i.Pull, random: Random) -> ScriptedReply:
        if relay.source == relay.cache and hash_object(pull.object) % 4 == 0:
            return ScriptedReply(1.0, i.Outcome.MISS, i.Remark.NONE)
        duration = pull.size_kb / FRONT_SETTINGS.stream_rate * slowdown * random.uniform(0.8, 1.2)
        return ScriptedReply(duration + random.uniform(2.0, 20.0), i.Outcome.OK,
                    i.Remark.HIT if relay.source == relay.cache else i.Remark.FILLED)  # fmt: skip

    return behave


def hash_object(number: int) -> int:
    """Return a hash that decides which objects are held."""
    return (number * 2654435761) >> 7 & 0xFFFF


def answered_shares(slowdown: float, seed: int) -> tuple[float, float, float]:
    """Return the answered share of all pulls, of the largest tenth, and of the next fifth."""
    random = Random(seed)
    simulation = FrontSimulation(
        FRONT_SETTINGS, tuple(cache_entry(cache) for cache in SERVERS), slowed_down_caches(slowdown), seed
    )
    for number in range(1, PULL_COUNT + 1):
        size = min(random.lognormvariate(6.3, 1.0), 9000.0)
        pull = i.Pull(number, random.randrange(1, 400), 0, 0, 6000.0, False, size, 3)
        simulation.pull(PULL_INTERVAL_MS * number, pull)
    simulation.run()
    assert not simulation.violations()
    ordered = sorted(simulation.pull_records.values(), key=lambda record: -record.pull.size_kb)
    finished = [record.finals[0][1] == "finished" for record in ordered]
    largest_tenth, next_fifth = (
        finished[: PULL_COUNT // 10],
        finished[PULL_COUNT // 10 : 3 * PULL_COUNT // 10],
    )
    return (
        sum(finished) / len(finished),
        sum(largest_tenth) / len(largest_tenth),
        sum(next_fifth) / len(next_fifth),
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_low_load_the_largest_pulls_get_two_thirds_of_the_answered_share(seed: int) -> None:
    share, largest_tenth, next_fifth = answered_shares(1.05, seed)
    assert share > 0.9 and min(largest_tenth, next_fifth) >= 2.0 / 3.0 * share


@pytest.mark.parametrize("slowdown", [2.0, 2.6])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_slow_caches_the_largest_pulls_get_half_of_the_answered_share(
    slowdown: float, seed: int
) -> None:
    """Without the guard for large pulls the largest tenth gets 0.13 and 0.04 of the share."""
    share, largest_tenth, next_fifth = answered_shares(slowdown, seed)
    assert 0.3 < share < 0.95  # some pulls are shed, or there would be nothing to share out
    assert min(largest_tenth, next_fifth) >= 0.5 * share
