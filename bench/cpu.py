"""Times the module alone on the same events: python -m bench.cpu [--pulls 30000]; prints us of CPU a pull.

It uses only what earlier versions of the module have too, so that it can be run from an earlier checkout's
folder with `PYTHONPATH` set to that, in turns with this one.
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
    """Play looks that hit, looks that lack with their fills, and a failure now and then."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pulls", type=int, default=30_000)
    pulls = parser.parse_args().pulls
    front, chance, now = Front(7, settings()), Random(3), 1000.0
    caches = [(11, 1, 0), (12, 1, 0), (13, 1, 0), (21, 0, 1), (22, 0, 1), (31, 0, 2)]
    entries = tuple(
        i.CacheEntry(c, i.Lifecycle.READY, 0.0, c % 10, zone, kind, 8.0) for c, zone, kind in caches
    )
    front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CACHED, entries))
    began = time.process_time()
    for number in range(1, pulls + 1):
        now += 4.0
        wanted = int(2000 * chance.random() ** 2)
        actions = front.handle(now, i.Pull(number, wanted, 0, number % 2, 2000.0, False, 100.0, 3))
        for relay in range(6):
            sent = next((action for action in actions if isinstance(action, i.Relay)), None)
            if sent is None:
                break
            luck = chance.random()
            looks = sent.source == sent.cache
            lacks = looks and luck < 0.4
            outcome = i.Outcome.MISS if lacks else i.Outcome.RESET if luck > 0.99 else i.Outcome.OK
            remark = i.Remark.HIT if looks else i.Remark.FILLED
            remark = remark if outcome is i.Outcome.OK else i.Remark.NONE
            ok = outcome is i.Outcome.OK
            actions = front.handle(
                now + 1.0, i.RelayEnded(number, relay, sent.cache, outcome, remark, 22.0, 1.0, ok, (0.4,))
            )
    print(f"{1e6 * (time.process_time() - began) / pulls:.2f}")


if __name__ == "__main__":
    main()
