"""Looks routes up by the tree and by a scan, in turns: python -m bench.lookup [--rounds 5]."""

import argparse
import statistics
import time
from random import Random

from cometseam.timing import Sight, Table
from cometseam.timing.grow import Grower
from cometseam.timing.sets import whole
from cometseam.timing.table import ENDS, IPV4, Box

SIZES = (10, 1_000, 10_000)


def routes(count: int, chance: Random) -> list[Box]:
    """Make routes as operators write them: by prefix, by network, by size, and a few that reach wide."""
    held: list[Box] = []
    for _ in range(count):
        box = list(whole())
        workload = chance.randrange(2)
        box[0] = ((workload, workload + 1),)
        kind = chance.random()
        if kind < 0.6:
            bits = chance.choice((16, 20, 24))
            low = chance.getrandbits(bits) << 64 - bits
            box[1] = ((low, low + (1 << 64 - bits)),)
        if kind > 0.4:
            length = chance.choice((16, 20, 24))
            low = IPV4 | chance.getrandbits(length) << 32 - length
            box[5] = ((low, low + (1 << 32 - length)),)
        if kind > 0.9:
            box[4] = ((0, chance.choice((1 << 17, 1 << 20, ENDS[4]))),)
        held.append(tuple(box))
    return held


def main() -> None:
    """Print a line a size: seconds to grow, and the mean of a look-up by either way."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    rounds, seed = vars(parser.parse_args()).values()
    first = 0.0
    print("routes  grown s  named twice  tree us  scan us  scan/tree  tree/tree at 10")
    for count in SIZES:
        chance = Random(seed)
        boxes = routes(count, chance)
        began = time.perf_counter()
        grower = Grower(boxes)
        grower.grow()
        grown = time.perf_counter() - began
        table = Table(tuple(enumerate(boxes)), tuple(grower.roots), tuple(grower.nodes), tuple(grower.leaves))
        sights = [
            Sight(chance.randrange(2), chance.getrandbits(64), 0, 0, chance.randrange(1 << 21),
                  IPV4 | chance.getrandbits(32))
            for _ in range(2_000)
        ]  # fmt: skip
        assert all(table.find(sight) == table.scan(sight) for sight in sights[:200])
        scanned = sights[: max(200_000 // count, 20)]
        tree: list[float] = []
        scan: list[float] = []
        for _ in range(rounds):
            for way, asked, out in ((table.find, sights, tree), (table.scan, scanned, scan)):
                began = time.perf_counter()
                for sight in asked:
                    way(sight)
                out.append((time.perf_counter() - began) / len(asked) * 1e6)
        fast, slow = statistics.median(tree), statistics.median(scan)
        first = first or fast
        named = sum(len(leaf) for leaf in grower.leaves) / count
        ratios = f"{slow / fast:10.1f} {fast / first:16.2f}"
        print(f"{count:6} {grown:8.2f} {named:12.2f} {fast:8.2f} {slow:8.1f} {ratios}")


if __name__ == "__main__":
    main()
