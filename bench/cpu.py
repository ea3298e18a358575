"""Measures the decision logic alone: python -m bench.cpu [--pulls 30000] prints microseconds of CPU per pull.

It uses only what earlier versions of the logic have as well, so that it can be run in an earlier checkout,
with `PYTHONPATH` set to that, in turns with this one.
"""

import argparse
import time
from random import Random

from cometseam import interface as i
from cometseam.logic import Front


def settings() -> i.Settings:
    """Return settings of a zone with three caches."""
    maps = i.Workload(
        300.0,
        2.0,
        3000.0,
        1.0,
        i.Idempotency.REPEATABLE,
        i.DedupScope.ALL,
        5000.0,
        False,
        5000.0,
        20000.0,
        0.7,
    )
    return i.Settings((maps, maps), 1, (0, 0, 0), (0, 1, 1), 2, 1, 2, False, True, 0, True, True, 1000.0, 4,
                      True, 5.0, 0.2, 10000.0, 2.0, 2000.0, 0.1, 15000.0, 2.0, 6000.0)  # fmt: skip


def main() -> None:
    """Play cache lookups that hit, lookups that miss with their fills, and some failures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pulls", type=int, default=30_000)
    pulls = parser.parse_args().pulls
    front, random, now = Front(7, settings()), Random(3), 1000.0
    caches = [(11, 1, 0), (12, 1, 0), (13, 1, 0), (21, 0, 1), (22, 0, 1), (31, 0, 2)]
    entries = tuple(
        i.CacheEntry(cache, i.Lifecycle.READY, 0.0, cache % 10, zone, kind, 8.0)
        for cache, zone, kind in caches
    )
    front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CACHED, entries))
    began_at = time.process_time()
    for number in range(1, pulls + 1):
        now += 4.0
        object_id = int(2000 * random.random() ** 2)
        actions = front.handle(now, i.Pull(number, object_id, 0, number % 2, 2000.0, False, 100.0, 3))
        for relay_number in range(6):
            relay = next((action for action in actions if isinstance(action, i.Relay)), None)
            if relay is None:
                break
            draw = random.random()
            is_lookup = relay.source == relay.cache
            is_miss = is_lookup and draw < 0.4
            outcome = i.Outcome.MISS if is_miss else i.Outcome.RESET if draw > 0.99 else i.Outcome.OK
            remark = i.Remark.HIT if is_lookup else i.Remark.FILLED
            remark = remark if outcome is i.Outcome.OK else i.Remark.NONE
            is_served = outcome is i.Outcome.OK
            actions = front.handle(
                now + 1.0,
                i.RelayEnded(
                    number, relay_number, relay.cache, outcome, remark, 22.0, 1.0, is_served, (0.4,)
                ),
            )
    print(f"{1e6 * (time.process_time() - began_at) / pulls:.2f}")


if __name__ == "__main__":
    main()
