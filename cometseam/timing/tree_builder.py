"""Grows the trees that find a route, and tells which routes meet. No I/O; run beside the front, not in it.

Routes are parted by the axes on which they are narrow, and each part has a tree of its own: a route that
says nothing of an axis would reach over every cut of it. A node cuts one axis in up to `CUTS` pieces, on
the axis that leaves the fewest routes in a piece; a route that reaches over a cut goes to both sides. A
leaf is not cut further once its routes are few, no cut parts them, or the routes named by all leaves come
to `SPREAD` times the routes: overlapping routes cost a longer comparison, never more memory.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import pairwise

from cometseam.timing.intervals import covered_by, intersect_boxes
from cometseam.timing.table import AXIS_ENDS, Box

FEW = 2  # routes that a leaf compares: a further node costs as much
CUTS = 1024  # of a node: a look-up bisects them
SPREAD = 6  # times the routes that all leaves of a tree may name
PIECES = 400  # pieces of a route left over by earlier ones, past which it is not proven covered
WIDE = 2  # a route is narrow on an axis where it holds less than one part in so many of it

Node = tuple[int, tuple[int, ...], tuple[int, ...]]
Range = tuple[int, int]


def _narrow(box: Box) -> tuple[bool, ...]:
    return tuple(
        WIDE * sum(b - a for a, b in box[axis]) < AXIS_ENDS[axis] for axis in range(1, len(AXIS_ENDS))
    )


class RouteTreeBuilder:
    """Grows the trees over boxes by place."""

    def __init__(self, boxes: list[Box]) -> None:
        self.boxes = boxes
        self.nodes: list[Node] = []
        self.leaves: list[tuple[int, ...]] = []
        self.roots: list[tuple[int, int]] = []  # (first route, place of its root), by the first route
        self._named = self._most = 0

    def build(self) -> None:
        """Fill `roots`, `nodes` and `leaves`."""
        parts: dict[tuple[bool, ...], list[int]] = defaultdict(list)
        for route, box in enumerate(self.boxes):
            parts[_narrow(box)].append(route)
        for routes in sorted(parts.values()):
            self._named, self._most = len(routes), SPREAD * len(routes) + 64
            self.roots.append((routes[0], self._tree(tuple(routes))))

    def _tree(self, routes: tuple[int, ...]) -> int:
        """Grow one tree and return the place of its root."""
        region = tuple((0, end) for end in AXIS_ENDS)
        # Breadth first, so that what may be named is spent evenly: routes, region, node to hang it on.
        turns: list[tuple[tuple[int, ...], tuple[Range, ...], int]] = [(routes, region, -1)]
        children: dict[int, list[int]] = {}
        root, at = 0, 0
        while at < len(turns):
            mine, region, node = turns[at]
            at += 1
            mine = self._needed(mine, region)
            cut = self._cut(mine, region) if len(mine) > FEW else None
            if cut is None:
                self.leaves.append(mine)
                place = -len(self.leaves)
            else:
                axis, cuts, pieces = cut
                self._named += sum(map(len, pieces)) - len(mine)
                place = len(self.nodes)
                self.nodes.append((axis, cuts, ()))
                children[place] = []
                ends = (region[axis][0], *cuts, region[axis][1])
                for piece, side in zip(pieces, pairwise(ends), strict=True):
                    turns.append((piece, (*region[:axis], side, *region[axis + 1 :]), place))
            if node < 0:
                root = place
            else:
                children[node].append(place)
        for place, below in children.items():
            self.nodes[place] = (*self.nodes[place][:2], tuple(below))
        return root

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
    ) -> tuple[int, tuple[int, ...], list[tuple[int, ...]]] | None:
        """Return the axis, the cuts and the routes of each piece; None where no cut is worth it."""
        best: tuple[float, int, list[int]] | None = None
        for axis, (low, high) in enumerate(region):
            marks = {
                mark
                for route in routes
                for interval in self.boxes[route][axis]
                for mark in interval
                if low < mark < high
            }
            if not marks:
                continue
            ordered = sorted(marks)
            cuts = ordered[:: -(-len(ordered) // CUTS)]
            named = sum(len(self._pieces(route, axis, cuts, low, high)) for route in routes)
            # Few routes in a piece, and no more named than the cuts are worth.
            grade = named / (len(cuts) + 1) * max(named / len(routes), 1.0)
            if self._named + named - len(routes) <= self._most and (best is None or grade < best[0]):
                best = (grade, axis, cuts)
        if best is None or best[0] >= len(routes):
            return None
        _, axis, cuts = best
        low, high = region[axis]
        pieces: list[list[int]] = [[] for _ in range(len(cuts) + 1)]
        for route in routes:
            for place in self._pieces(route, axis, cuts, low, high):
                pieces[place].append(route)
        if max(map(len, pieces)) == len(routes):
            return None
        return axis, tuple(cuts), [tuple(piece) for piece in pieces]

    def _pieces(self, route: int, axis: int, cuts: list[int], low: int, high: int) -> set[int]:
        """Return the pieces that a route reaches into."""
        out: set[int] = set()
        for a, b in self.boxes[route][axis]:
            if a < high and low < b:
                out.update(range(bisect_right(cuts, a), bisect_left(cuts, b) + 1))
        return out


def covered_routes(boxes: list[Box], most: int = 64) -> dict[int, list[int]]:
    """Tell which boxes earlier ones cover, and by which; past `most` of them no more are looked for."""
    found: dict[int, list[int]] = {}
    for route, earlier in enumerate(overlapping_earlier(boxes)):
        if earlier:
            by = covered_by(boxes[route], [(place, boxes[place]) for place in earlier], PIECES)
            if by is not None:
                found[route] = by
                if len(found) >= most:
                    break
    return found


def overlapping_earlier(boxes: list[Box]) -> list[list[int]]:
    """Tell for each box the earlier ones that meet it, in order.

    Only boxes that share a cell of a coarse grid over one axis are compared: for routes that lie apart that
    is few.
    """
    axis = max(range(len(AXIS_ENDS)), key=lambda axis: len({box[axis] for box in boxes}), default=0)
    ends = sorted({end for box in boxes for interval in box[axis] for end in interval})
    edges = ends[:: max(len(ends) // 512, 1)]
    bins: dict[int, list[int]] = defaultdict(list)
    out: list[list[int]] = []
    for route, box in enumerate(boxes):
        mine: set[int] = set()
        for low, high in box[axis]:
            mine.update(range(bisect_right(edges, low), bisect_right(edges, high - 1) + 1))
        near = sorted({place for number in mine for place in bins[number]})
        out.append([place for place in near if intersect_boxes(box, boxes[place]) is not None])
        for number in mine:
            bins[number].append(route)
    return out
