"""Finds the first route that matches a pull: decision trees over the axes that a route may name.

The trees are grown beside the front (`tree_builder`), by the process that checks the file, and comes as flat
lists. A look-up walks down one path and compares the few routes of one leaf in the order of the file: the
first match wins.
"""

from bisect import bisect_right
from typing import NamedTuple

AXES = ("workload", "object", "group", "part", "size", "address")
# Of each axis one past its largest value. Objects are 64-bit numbers, sizes bytes, addresses IPv6 with
# IPv4 mapped.
AXIS_ENDS = (1 << 16, 1 << 64, 1 << 16, 1 << 32, 1 << 48, 1 << 128)
IPV4_MAPPED_BASE = 0xFFFF << 32  # where ::ffff:0:0/96 begins
BYTES_PER_KB = 1024.0

Interval = tuple[int, int]  # from, and one past the last
Node = tuple[int, tuple[int, ...], tuple[int, ...]]
Box = tuple[tuple[Interval, ...], ...]  # by axis, in order and apart; empty: it matches nothing


class RouteKey(NamedTuple):
    """What a pull shows to routes: a whole number on each axis."""

    workload: int
    object: int
    group: int
    part: int
    size: int
    address: int


def address_number(text: str) -> int:
    """Return an address as a number on its axis; what is no address is 0, which no set should hold."""
    if ":" not in text:
        number = 0
        parts = text.split(".")
        if len(parts) != 4:
            return 0
        for part in parts:
            if not (part.isascii() and part.isdigit() and int(part) < 256):
                return 0
            number = number << 8 | int(part)
        return IPV4_MAPPED_BASE | number
    import ipaddress  # most installations speak IPv4 to their clients

    try:
        return int(ipaddress.IPv6Address(text.partition("%")[0]))
    except ValueError:
        return 0


def size_in_bytes(size_kb: float) -> int:
    """Return a size in KB as a number on its axis, bytes."""
    return min(max(int(size_kb * BYTES_PER_KB), 0), AXIS_ENDS[4] - 1)


def any_contains(intervals: tuple[Interval, ...], value: int) -> bool:
    """Tell whether one of the intervals holds the value."""
    return any(low <= value < high for low, high in intervals)


class RouteTable:
    """Routes by their place in the file, and the trees over them.

    `routes` hold (plan, box); `roots` (first route, place of the tree's root), by the first route; `nodes`
    (axis, cuts, place of each piece between them), a place under 0 being the leaf -place - 1; `leaves` hold
    routes by place, in order.
    """

    def __init__(
        self, routes: tuple[tuple[int, Box], ...], roots: tuple[tuple[int, int], ...],
        nodes: tuple[Node, ...], leaves: tuple[tuple[int, ...], ...],
        networks: tuple[tuple[Interval, ...], ...] = (),
    ) -> None:  # fmt: skip
        self.routes, self.roots, self.nodes, self.leaves = routes, roots, nodes, leaves
        # Of each route only the axes on which it says something: most say one or two.
        self._terms = [
            tuple((axis, box[axis]) for axis in range(len(AXES)) if box[axis] != ((0, AXIS_ENDS[axis]),))
            for _, box in routes
        ]
        self._bounds: list[int] = []  # of the networks that have a budget: they lie apart
        self._owners: list[int] = []
        for low, high, owner in sorted(
            (low, high, owner) for owner, intervals in enumerate(networks) for low, high in intervals
        ):
            self._bounds += (low, high)
            self._owners += (owner, -1)

    def find(self, sight: RouteKey) -> int:
        """Return the place of the first route that matches, or -1."""
        best = len(self.routes)
        for first, place in self.roots:
            if first >= best:
                break  # what is left begins behind what was found
            while place >= 0:
                axis, cuts, below = self.nodes[place]
                place = below[bisect_right(cuts, sight[axis])]
            for route in self.leaves[-place - 1]:
                if route >= best:
                    break
                for axis, intervals in self._terms[route]:
                    value = sight[axis]
                    for low, high in intervals:
                        if low <= value < high:
                            break
                    else:
                        break
                else:
                    best = route
                    break
        return best if best < len(self.routes) else -1

    def find_linear(self, sight: RouteKey) -> int:
        """Return the same by comparing all routes in order: what the tree is measured and tested against."""
        for route, terms in enumerate(self._terms):
            if all(any_contains(intervals, sight[axis]) for axis, intervals in terms):
                return route
        return -1

    def find_network(self, address: int) -> int:
        """Return the place of the network with a budget that holds the address, or -1."""
        place = bisect_right(self._bounds, address) - 1
        return self._owners[place] if place >= 0 else -1
