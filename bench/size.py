"""CPU of the module a pull as the list of caches grows: python -m bench.size [--sizes 10,100,1000,5000].

All caches stand in one zone. It uses only what earlier versions of the module have too, as `bench.cpu` does.
"""

import argparse
import time
from random import Random

from bench.cpu import settings
from cometseam import interface as i
from cometseam.logic import Front


def main() -> None:
    """Print us of CPU a pull, and a change of one entry, at each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,1000,5000")
    for size in map(int, parser.parse_args().sizes.split(",")):
        front, chance, now = Front(7, settings()), Random(3), 1000.0
        entries = [i.CacheEntry(1000 + c, i.Lifecycle.READY, 0.0, c % 10, 1, 0, 8.0) for c in range(size)]
        entries += [i.CacheEntry(21 + c, i.Lifecycle.READY, 0.0, 0, 0, 1, 16.0) for c in range(2)]
        front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(entries)))
        pulls = max(min(20_000 // size, 1000), 8)
        began = time.process_time()
        for number in range(1, pulls + 1):
            now += 20.0
            actions = front.handle(now, i.Pull(number, chance.randrange(5000), 0, 0, 2000.0, False, 100.0, 3))
            sent = next(action for action in actions if isinstance(action, i.Relay))
            ended = i.RelayEnded(number, 0, sent.cache, i.Outcome.OK, i.Remark.HIT, 22.0, 1.0, True, (0.4,))
            front.handle(now + 1.0, ended)
        taken = 1e6 * (time.process_time() - began) / pulls
        began = time.process_time()
        for place in range(20):
            front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CHANGES, (entries[place % size],)))
        print(f"{size:6} {taken:12.1f} {1e6 * (time.process_time() - began) / 20:10.1f}")


if __name__ == "__main__":
    main()
