"""Generated fault schedules in bulk, on the shipped decisions, over all cores: not run by CI.

Ownership: seeded walks of three fronts (`ownership.explore.random_walks`), each a schedule of time passing,
campaigns, renewals, lost answers and effects that land late or never. Limits: seeded plays of a fleet with
links cut, fronts and coordinators paused and killed (`tests.test_limits.hurt`). Prints how many broke what
must hold, and their seeds.

    python -m bench.schedules --walks 100000 --plays 5000
"""

import argparse
import os
from concurrent.futures import ProcessPoolExecutor

from cometseam.ownership import OwnershipTerms
from cometseam.ownership.explore import random_walks
from tests.test_limits import hurt

TERMS = OwnershipTerms(400.0, 0.0, 0.0, 100.0, 50.0)
BLOCK = 250  # walks a seed


def walks(seed: int) -> tuple[int, int, bool]:
    """One block of walks; return its seed, the states that it came through, and whether something broke."""
    found = random_walks(TERMS, fronts=3, walks=BLOCK, length=60, seed=seed)
    return seed, found.states, found.fencing_violation is not None or found.exclusivity_violation is not None


def play(seed: int) -> tuple[int, float]:
    """One play of shared limits; return its seed and by how much the sum was over the bound."""
    return seed, hurt(seed, 20_000.0)[0]


def main() -> None:
    """Play both and print what broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--walks", type=int, default=100_000)
    parser.add_argument("--plays", type=int, default=5_000)
    parser.add_argument("--first", type=int, default=100_000, help="the first seed")
    words = parser.parse_args()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        blocks = range(words.first, words.first + words.walks // BLOCK)
        done = list(pool.map(walks, blocks, chunksize=4))
        broken = [seed for seed, _, bad in done if bad]
        states = sum(count for _, count, _ in done)
        count = len(done) * BLOCK
        print(f"ownership: {count} schedules, {states} steps, blocks broken: {broken[:5] or 'none'}")
        over = list(pool.map(play, range(words.first, words.first + words.plays), chunksize=20))
        bad = [(seed, round(by, 3)) for seed, by in over if by > 1e-9]
        print(f"limits: {len(over)} plays of 20 s, over the bound: {bad[:5] or 'none'}")


if __name__ == "__main__":
    main()
