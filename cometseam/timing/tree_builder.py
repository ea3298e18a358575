"""Builds the decision trees that find a route, and reports which routes overlap. No I/O.

Runs in the process that checks the operator's file, not in the front. Routes are grouped by the axes on which
they are narrow, and each group has a tree of its own: a route that does not restrict an axis would span every
cut of it. A node cuts one axis into up to `MAX_NODE_CUTS` pieces, on the axis that leaves the fewest routes
per piece; a route that spans a cut goes to both sides. A node becomes a leaf if it has few routes, if no cut
separates them, or if the leaves together would refer to more than `MAX_LEAF_REFERENCES` times the number of
routes: overlapping routes make lookups slower but never use more memory.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import pairwise

from cometseam.timing.intervals import covered_by, intersect_boxes
from cometseam.timing.table import AXIS_ENDS, Box

MAX_SMALL_LEAF = 2  # routes of a leaf that is not cut further: comparing them costs no more than another node
MAX_NODE_CUTS = 1024  # a lookup bisects the cuts of a node
MAX_LEAF_REFERENCES = 6  # references to routes from all leaves of a tree, per route
MAX_COVER_PIECES = 400  # uncovered pieces of a route past which it counts as not covered
WIDE = 2  # a route is narrow on an axis of which it matches less than 1 / WIDE

Node = tuple[int, tuple[int, ...], tuple[int, ...]]
Range = tuple[int, int]


def _narrow_axes(box: Box) -> tuple[bool, ...]:
    return tuple(
        WIDE * sum(b - a for a, b in box[axis]) < AXIS_ENDS[axis] for axis in range(1, len(AXIS_ENDS))
    )


class RouteTreeBuilder:
    """Builds the trees over the boxes of routes, which it refers to by index."""

    def __init__(self, boxes: list[Box]) -> None:
        self.boxes = boxes
        self.nodes: list[Node] = []
        self.leaves: list[tuple[int, ...]] = []
        self.roots: list[tuple[int, int]] = []  # (first route, index of its root), sorted by first route
        self._references = self._max_references = 0

    def build(self) -> None:
        """Fill `roots`, `nodes` and `leaves`."""
        groups: dict[tuple[bool, ...], list[int]] = defaultdict(list)
        for route, box in enumerate(self.boxes):
            groups[_narrow_axes(box)].append(route)
        for routes in sorted(groups.values()):
            self._references, self._max_references = len(routes), MAX_LEAF_REFERENCES * len(routes) + 64
            self.roots.append((routes[0], self._build_tree(tuple(routes))))

    def _build_tree(self, routes: tuple[int, ...]) -> int:
        """Build one tree and return the index of its root."""
        region = tuple((0, end) for end in AXIS_ENDS)
        # Breadth first, which spreads the references evenly. Each entry: routes, region, parent node.
        queue: list[tuple[tuple[int, ...], tuple[Range, ...], int]] = [(routes, region, -1)]
        children: dict[int, list[int]] = {}
        root, position = 0, 0
        while position < len(queue):
            candidates, region, node = queue[position]
            position += 1
            candidates = self._reachable(candidates, region)
            cut = self._best_cut(candidates, region) if len(candidates) > MAX_SMALL_LEAF else None
            if cut is None:
                self.leaves.append(candidates)
                index = -len(self.leaves)
            else:
                axis, cuts, pieces = cut
                self._references += sum(map(len, pieces)) - len(candidates)
                index = len(self.nodes)
                self.nodes.append((axis, cuts, ()))
                children[index] = []
                ends = (region[axis][0], *cuts, region[axis][1])
                for piece, side in zip(pieces, pairwise(ends), strict=True):
                    queue.append((piece, (*region[:axis], side, *region[axis + 1 :]), index))
            if node < 0:
                root = index
            else:
                children[node].append(index)
        for index, below in children.items():
            self.nodes[index] = (*self.nodes[index][:2], tuple(below))
        return root

    def _reachable(self, routes: tuple[int, ...], region: tuple[Range, ...]) -> tuple[int, ...]:
        """Return the routes up to the first that matches all of the region: later ones can never match."""
        for count, route in enumerate(routes):
            box = self.boxes[route]
            if all(
                any(a <= low and high <= b for a, b in box[axis]) for axis, (low, high) in enumerate(region)
            ):
                return routes[: count + 1]
        return routes

    def _best_cut(
        self, routes: tuple[int, ...], region: tuple[Range, ...]
    ) -> tuple[int, tuple[int, ...], list[tuple[int, ...]]] | None:
        """Return the axis, the cuts and the routes of each piece, or None if no cut is worth its cost."""
        best: tuple[float, int, list[int]] | None = None
        for axis, (low, high) in enumerate(region):
            inner_ends = {
                end
                for route in routes
                for interval in self.boxes[route][axis]
                for end in interval
                if low < end < high
            }
            if not inner_ends:
                continue
            ordered = sorted(inner_ends)
            cuts = ordered[:: -(-len(ordered) // MAX_NODE_CUTS)]
            references = sum(len(self._spanned_pieces(route, axis, cuts, low, high)) for route in routes)
            # Lower is better: few routes per piece, and few routes that span several pieces.
            cost = references / (len(cuts) + 1) * max(references / len(routes), 1.0)
            if self._references + references - len(routes) <= self._max_references and (
                best is None or cost < best[0]
            ):
                best = (cost, axis, cuts)
        if best is None or best[0] >= len(routes):
            return None
        _, axis, cuts = best
        low, high = region[axis]
        pieces: list[list[int]] = [[] for _ in range(len(cuts) + 1)]
        for route in routes:
            for index in self._spanned_pieces(route, axis, cuts, low, high):
                pieces[index].append(route)
        if max(map(len, pieces)) == len(routes):
            return None
        return axis, tuple(cuts), [tuple(piece) for piece in pieces]

    def _spanned_pieces(self, route: int, axis: int, cuts: list[int], low: int, high: int) -> set[int]:
        """Return the indexes of the pieces between `low` and `high` that a route overlaps."""
        spanned: set[int] = set()
        for a, b in self.boxes[route][axis]:
            if a < high and low < b:
                spanned.update(range(bisect_right(cuts, a), bisect_left(cuts, b) + 1))
        return spanned


def covered_routes(boxes: list[Box], max_found: int = 64) -> dict[int, list[int]]:
    """Return the boxes that earlier ones cover, with those that cover them; stops after `max_found`."""
    found: dict[int, list[int]] = {}
    for route, earlier in enumerate(overlapping_earlier(boxes)):
        if earlier:
            cover = covered_by(boxes[route], [(index, boxes[index]) for index in earlier], MAX_COVER_PIECES)
            if cover is not None:
                found[route] = cover
                if len(found) >= max_found:
                    break
    return found


def overlapping_earlier(boxes: list[Box]) -> list[list[int]]:
    """Return for each box the earlier ones that overlap it, in order.

    Only boxes that share a cell of a coarse grid over one axis are compared, which are few unless most routes
    overlap.
    """
    axis = max(range(len(AXIS_ENDS)), key=lambda axis: len({box[axis] for box in boxes}), default=0)
    ends = sorted({end for box in boxes for interval in box[axis] for end in interval})
    edges = ends[:: max(len(ends) // 512, 1)]
    routes_by_cell: dict[int, list[int]] = defaultdict(list)
    overlapping: list[list[int]] = []
    for route, box in enumerate(boxes):
        cells: set[int] = set()
        for low, high in box[axis]:
            cells.update(range(bisect_right(edges, low), bisect_right(edges, high - 1) + 1))
        nearby = sorted({index for cell in cells for index in routes_by_cell[cell]})
        overlapping.append([index for index in nearby if intersect_boxes(box, boxes[index]) is not None])
        for cell in cells:
            routes_by_cell[cell].append(route)
    return overlapping
