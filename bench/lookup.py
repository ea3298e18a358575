"""Compares route lookups by the tree with linear scans, in turns: python -m bench.lookup [--rounds 5]."""

import argparse
import statistics
import time
from random import Random

from cometseam.timing import RouteKey, RouteTable
from cometseam.timing.intervals import universal_box
from cometseam.timing.table import AXIS_ENDS, IPV4_MAPPED_BASE, Box
from cometseam.timing.tree_builder import RouteTreeBuilder

SIZES = (10, 1_000, 10_000)


def make_boxes(count: int, random: Random) -> list[Box]:
    """Return boxes of typical routes: by object prefix, by network, by size, and a few that cover much."""
    boxes: list[Box] = []
    for _ in range(count):
        box = list(universal_box())
        workload = random.randrange(2)
        box[0] = ((workload, workload + 1),)
        kind = random.random()
        if kind < 0.6:
            bits = random.choice((16, 20, 24))
            low = random.getrandbits(bits) << 64 - bits
            box[1] = ((low, low + (1 << 64 - bits)),)
        if kind > 0.4:
            length = random.choice((16, 20, 24))
            low = IPV4_MAPPED_BASE | random.getrandbits(length) << 32 - length
            box[5] = ((low, low + (1 << 32 - length)),)
        if kind > 0.9:
            box[4] = ((0, random.choice((1 << 17, 1 << 20, AXIS_ENDS[4]))),)
        boxes.append(tuple(box))
    return boxes


def main() -> None:
    """Print, for each size, the seconds to build the tree and the median time of a lookup by each method."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    rounds, seed = vars(parser.parse_args()).values()
    smallest_table_us = 0.0
    print("routes  grown s  named twice  tree us  scan us  scan/tree  tree/tree at 10")
    for count in SIZES:
        random = Random(seed)
        boxes = make_boxes(count, random)
        began_at = time.perf_counter()
        builder = RouteTreeBuilder(boxes)
        builder.build()
        build_s = time.perf_counter() - began_at
        table = RouteTable(
            tuple(enumerate(boxes)), tuple(builder.roots), tuple(builder.nodes), tuple(builder.leaves)
        )
        keys = [
            RouteKey(random.randrange(2), random.getrandbits(64), 0, 0, random.randrange(1 << 21),
                  IPV4_MAPPED_BASE | random.getrandbits(32))
            for _ in range(2_000)
        ]  # fmt: skip
        assert all(table.find(sight) == table.find_linear(sight) for sight in keys[:200])
        scan_keys = keys[: max(200_000 // count, 20)]
        tree_us: list[float] = []
        scan_us: list[float] = []
        for _ in range(rounds):
            for find, sample, times_us in (
                (table.find, keys, tree_us),
                (table.find_linear, scan_keys, scan_us),
            ):
                began_at = time.perf_counter()
                for sight in sample:
                    find(sight)
                times_us.append((time.perf_counter() - began_at) / len(sample) * 1e6)
        fast, slow = statistics.median(tree_us), statistics.median(scan_us)
        smallest_table_us = smallest_table_us or fast
        references = sum(len(leaf) for leaf in builder.leaves) / count
        ratios = f"{slow / fast:10.1f} {fast / smallest_table_us:16.2f}"
        print(f"{count:6} {build_s:8.2f} {references:12.2f} {fast:8.2f} {slow:8.1f} {ratios}")


if __name__ == "__main__":
    main()
