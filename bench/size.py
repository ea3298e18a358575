"""Measures CPU per pull by the number of caches: python -m bench.size [--sizes 10,100,1000,5000].

All caches are in one zone. It uses only what earlier versions of the logic have as well, as `bench.cpu` does.
"""

import argparse
import time
from random import Random

from bench.cpu import settings
from cometseam import interface as i
from cometseam.logic import Front


def main() -> None:
    """Print microseconds of CPU per pull and per change of one entry, for each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,1000,5000")
    for size in map(int, parser.parse_args().sizes.split(",")):
        front, random, now = Front(7, settings()), Random(3), 1000.0
        entries = [i.CacheEntry(1000 + c, i.Lifecycle.READY, 0.0, c % 10, 1, 0, 8.0) for c in range(size)]
        entries += [i.CacheEntry(21 + c, i.Lifecycle.READY, 0.0, 0, 0, 1, 16.0) for c in range(2)]
        front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CACHED, tuple(entries)))
        pulls = max(min(20_000 // size, 1000), 8)
        began_at = time.process_time()
        for number in range(1, pulls + 1):
            now += 20.0
            actions = front.handle(now, i.Pull(number, random.randrange(5000), 0, 0, 2000.0, False, 100.0, 3))
            relay = next(action for action in actions if isinstance(action, i.Relay))
            ended = i.RelayEnded(number, 0, relay.cache, i.Outcome.OK, i.Remark.HIT, 22.0, 1.0, True, (0.4,))
            front.handle(now + 1.0, ended)
        us_per_pull = 1e6 * (time.process_time() - began_at) / pulls
        began_at = time.process_time()
        for change_index in range(20):
            front.handle(now, i.CacheListUpdate(i.ListUpdateKind.CHANGES, (entries[change_index % size],)))
        print(f"{size:6} {us_per_pull:12.1f} {1e6 * (time.process_time() - began_at) / 20:10.1f}")


if __name__ == "__main__":
    main()
