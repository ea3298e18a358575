"""Looks routes up by the tree and by a scan, in turns: python -m bench.lookup [--rounds 5]."""

import argparse
import statistics
import time
from random import Random

from cometseam.timing import RouteKey, RouteTable
from cometseam.timing.intervals import universal_box
from cometseam.timing.table import AXIS_ENDS, IPV4_MAPPED_BASE, Box
from cometseam.timing.tree_builder import RouteTreeBuilder

SIZES = (10, 1_000, 10_000)


def routes(count: int, chance: Random) -> list[Box]:
    """Make routes as operators write them: by prefix, by network, by size, and a few that reach wide."""
    held: list[Box] = []
    for _ in range(count):
        box = list(universal_box())
        workload = chance.randrange(2)
        box[0] = ((workload, workload + 1),)
        kind = chance.random()
        if kind < 0.6:
            bits = chance.choice((16, 20, 24))
            low = chance.getrandbits(bits) << 64 - bits
            box[1] = ((low, low + (1 << 64 - bits)),)
        if kind > 0.4:
            length = chance.choice((16, 20, 24))
            low = IPV4_MAPPED_BASE | chance.getrandbits(length) << 32 - length
            box[5] = ((low, low + (1 << 32 - length)),)
        if kind > 0.9:
            box[4] = ((0, chance.choice((1 << 17, 1 << 20, AXIS_ENDS[4]))),)
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
        grower = RouteTreeBuilder(boxes)
        grower.build()
        grown = time.perf_counter() - began
        table = RouteTable(
            tuple(enumerate(boxes)), tuple(grower.roots), tuple(grower.nodes), tuple(grower.leaves)
        )
        sights = [
            RouteKey(chance.randrange(2), chance.getrandbits(64), 0, 0, chance.randrange(1 << 21),
                  IPV4_MAPPED_BASE | chance.getrandbits(32))
            for _ in range(2_000)
        ]  # fmt: skip
        assert all(table.find(sight) == table.find_linear(sight) for sight in sights[:200])
        scanned = sights[: max(200_000 // count, 20)]
        tree: list[float] = []
        scan: list[float] = []
        for _ in range(rounds):
            for way, asked, out in ((table.find, sights, tree), (table.find_linear, scanned, scan)):
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
