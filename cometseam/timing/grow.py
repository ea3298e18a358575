"""Grows the tree that finds a route, and tells which routes meet. No I/O; run beside the front, not in it.

A node cuts one axis in two. The cut is the one that leaves the larger side with the fewest routes; a route
that reaches over a cut goes to both sides. A leaf is not cut further once its routes are few, no cut parts
them, or the routes named by all leaves together come to `SPREAD` times the routes: overlapping routes cost
a longer comparison, never more memory.
"""

from bisect import bisect_right
from collections import defaultdict

from cometseam.timing.sets import Intervals, covered_by, meet
from cometseam.timing.table import ENDS, Box

FEW = 4  # routes that a leaf compares: a further node costs as much
SPREAD = 6  # times the routes that all leaves may name
TRIED = 24  # cuts tried on each axis of a node
PIECES = 400  # pieces of a route left over by earlier ones, past which it is not proven covered
DEEP = 40

Node = tuple[int, int, int, int]
Range = tuple[int, int]


def _touches(intervals: Intervals, low: int, high: int) -> bool:
    return any(a < high and low < b for a, b in intervals)


class Grower:
    """Grows one tree over boxes by place."""

    def __init__(self, boxes: list[Box]) -> None:
        self.boxes = boxes
        self.nodes: list[Node] = []
        self.leaves: list[tuple[int, ...]] = []
        self.regions: list[tuple[Range, ...]] = []  # of each leaf
        self._named = 0
        self._most = SPREAD * max(len(boxes), 1) + 64

    def grow(self) -> None:
        """Fill `nodes` and `leaves`; the root is node 0, or the only leaf."""
        region = tuple((0, end) for end in ENDS)
        routes = tuple(range(len(self.boxes)))
        self._named = len(routes)
        # Widest first, so that what memory is left is spread evenly: [routes, region, depth, node
        # to hang it on].
        turns: list[tuple[tuple[int, ...], tuple[Range, ...], int, tuple[int, int] | None]] = [
            (routes, region, 0, None)
        ]
        at = 0
        while at < len(turns):
            mine, region, depth, hang = turns[at]
            at += 1
            mine = self._needed(mine, region)
            cut = self._cut(mine, region) if len(mine) > FEW and depth < DEEP else None
            if cut is None:
                self.leaves.append(mine)
                self.regions.append(region)
                place = -len(self.leaves)
            else:
                axis, value, below, above = cut
                self._named += len(below) + len(above) - len(mine)
                place = len(self.nodes)
                self.nodes.append((axis, value, 0, 0))
                low, high = region[axis]
                left = (*region[:axis], (low, value), *region[axis + 1 :])
                right = (*region[:axis], (value, high), *region[axis + 1 :])
                turns.append((below, left, depth + 1, (place, 2)))
                turns.append((above, right, depth + 1, (place, 3)))
            if hang is not None:
                node, side = hang
                old = self.nodes[node]
                self.nodes[node] = (*old[:2], place, old[3]) if side == 2 else (*old[:3], place)

    def _needed(self, routes: tuple[int, ...], region: tuple[Range, ...]) -> tuple[int, ...]:
        """Drop what stands behind a route that matches all of the region."""
        for count, route in enumerate(routes):
            box = self.boxes[route]
            if all(
                any(a <= low and high <= b for a, b in box[axis]) for axis, (low, high) in enumerate(region)
            ):
                return routes[: count + 1]
        return routes

    def _cut(
        self, routes: tuple[int, ...], region: tuple[Range, ...]
    ) -> tuple[int, int, tuple[int, ...], tuple[int, ...]] | None:
        best: tuple[int, int, int, int] | None = None
        for axis, (low, high) in enumerate(region):
            ends: set[int] = set()
            for route in routes:
                for a, b in self.boxes[route][axis]:
                    if low < a < high:
                        ends.add(a)
                    if low < b < high:
                        ends.add(b)
            ordered = sorted(ends)
            step = max(len(ordered) // TRIED, 1)
            for value in ordered[step // 2 :: step]:
                below = above = 0
                for route in routes:
                    intervals = self.boxes[route][axis]
                    below += intervals[0][0] < value and _touches(intervals, low, value)
                    above += intervals[-1][1] > value and _touches(intervals, value, high)
                grade = (max(below, above), below + above, axis, value)
                if best is None or grade < best:
                    best = grade
        if best is None or best[0] >= len(routes):
            return None
        if self._named + best[1] - len(routes) > self._most:
            return None
        _, _, axis, value = best
        low, high = region[axis]
        sides = tuple(
            tuple(route for route in routes if _touches(self.boxes[route][axis], *side))
            for side in ((low, value), (value, high))
        )
        return axis, value, sides[0], sides[1]


def covered(boxes: list[Box], most: int = 64) -> dict[int, list[int]]:
    """Tell which boxes earlier ones cover, and by which; past `most` of them no more are looked for.

    Only boxes that share a cell of a coarse grid over one axis are compared: for routes that lie apart that
    is few.
    """
    found: dict[int, list[int]] = {}
    for route, earlier in enumerate(neighbours(boxes)):
        if earlier:
            by = covered_by(boxes[route], [(place, boxes[place]) for place in earlier], PIECES)
            if by is not None:
                found[route] = by
                if len(found) >= most:
                    break
    return found


def neighbours(boxes: list[Box]) -> list[list[int]]:
    """Tell for each box the earlier ones that meet it, in order."""
    # The axis on which most boxes differ orders them; a box meets only what its bins hold.
    axis = max(range(len(ENDS)), key=lambda axis: len({box[axis] for box in boxes}), default=0)
    ends = sorted({end for box in boxes for interval in box[axis] for end in interval})
    step = max(len(ends) // 512, 1)
    edges = ends[::step]
    bins: dict[int, list[int]] = defaultdict(list)
    out: list[list[int]] = []
    for route, box in enumerate(boxes):
        mine: set[int] = set()
        for low, high in box[axis]:
            mine.update(range(bisect_right(edges, low), bisect_right(edges, high - 1) + 1))
        near = sorted({place for number in mine for place in bins[number]})
        out.append([place for place in near if meet(box, boxes[place]) is not None])
        for number in mine:
            bins[number].append(route)
    return out
