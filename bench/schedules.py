"""Checks the shipped decision logic on many generated fault schedules, on all cores. Not run by CI.

Ownership: seeded walks of three fronts (`ownership.explore.random_walks`), each a schedule of passing time,
campaigns, renewals, lost answers and effects that arrive late or never. Limits: seeded runs of a fleet with
links cut, fronts and coordinators paused and killed (`tests.test_limits.hurt`). Prints how many runs broke an
invariant, and their seeds.

    python -m bench.schedules --walks 100000 --plays 5000
"""

import argparse
import os
from concurrent.futures import ProcessPoolExecutor

from cometseam.ownership import OwnershipTerms
from cometseam.ownership.explore import random_walks
from tests.test_limits import hurt

TERMS = OwnershipTerms(400.0, 0.0, 0.0, 100.0, 50.0)
WALKS_PER_SEED = 250


def walk_block(seed: int) -> tuple[int, int, bool]:
    """Run the walks of a seed; return the seed, the states visited, and whether an invariant was broken."""
    found = random_walks(TERMS, fronts=3, walks=WALKS_PER_SEED, length=60, seed=seed)
    return seed, found.states, found.fencing_violation is not None or found.exclusivity_violation is not None


def play(seed: int) -> tuple[int, float]:
    """Run shared limits for a seed; return the seed and the excess of the sum over its bound."""
    return seed, hurt(seed, 20_000.0)[0]


def main() -> None:
    """Run both and print the broken invariants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--walks", type=int, default=100_000)
    parser.add_argument("--plays", type=int, default=5_000)
    parser.add_argument("--first", type=int, default=100_000, help="the first seed")
    arguments = parser.parse_args()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        blocks = range(arguments.first, arguments.first + arguments.walks // WALKS_PER_SEED)
        results = list(pool.map(walk_block, blocks, chunksize=4))
        broken_seeds = [seed for seed, _, bad in results if bad]
        states = sum(count for _, count, _ in results)
        count = len(results) * WALKS_PER_SEED
        print(f"ownership: {count} schedules, {states} steps, blocks broken: {broken_seeds[:5] or 'none'}")
        excesses = list(
            pool.map(play, range(arguments.first, arguments.first + arguments.plays), chunksize=20)
        )
        bad = [(seed, round(by, 3)) for seed, by in excesses if by > 1e-9]
        print(f"limits: {len(excesses)} plays of 20 s, over the bound: {bad[:5] or 'none'}")


if __name__ == "__main__":
    main()
