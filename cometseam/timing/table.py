"""Finds the first route that matches a pull, by decision trees over the axes that a route may name.

`tree_builder` builds the trees in the process that checks the operator's file, and a front receives them as
flat tuples. A lookup follows one path of a tree and compares the few routes of one leaf in file order: the
first match wins.
"""

from bisect import bisect_right
from typing import NamedTuple

AXES = ("workload", "object", "group", "part", "size", "address")
# For each axis one past its largest value. Objects are 64-bit numbers, sizes are in bytes, and addresses are
# IPv6 with IPv4-mapped addresses.
AXIS_ENDS = (1 << 16, 1 << 64, 1 << 16, 1 << 32, 1 << 48, 1 << 128)
IPV4_MAPPED_BASE = 0xFFFF << 32  # the first address of ::ffff:0:0/96
BYTES_PER_KB = 1024.0

Interval = tuple[int, int]  # the first value, and one past the last
Node = tuple[int, tuple[int, ...], tuple[int, ...]]
Box = tuple[tuple[Interval, ...], ...]  # per axis sorted and disjoint; an axis without any matches nothing


class RouteKey(NamedTuple):
    """The values of a pull that routes match: an integer on each axis."""

    workload: int
    object: int
    group: int
    part: int
    size: int
    address: int


def address_number(text: str) -> int:
    """Return an address as a number on its axis, or 0, which no network should contain, for invalid text."""
    if ":" not in text:
        number = 0
        octets = text.split(".")
        if len(octets) != 4:
            return 0
        for octet in octets:
            if not (octet.isascii() and octet.isdigit() and int(octet) < 256):
                return 0
            number = number << 8 | int(octet)
        return IPV4_MAPPED_BASE | number
    import ipaddress  # imported here because most installations have IPv4 clients only

    try:
        return int(ipaddress.IPv6Address(text.partition("%")[0]))
    except ValueError:
        return 0


def size_in_bytes(size_kb: float) -> int:
    """Return a size in KB as a number on its axis, which is in bytes."""
    return min(max(int(size_kb * BYTES_PER_KB), 0), AXIS_ENDS[4] - 1)


def any_contains(intervals: tuple[Interval, ...], value: int) -> bool:
    """Return whether one of the intervals contains the value."""
    return any(low <= value < high for low, high in intervals)


class RouteTable:
    """The routes by their index in the file, and the decision trees over them.

    `routes` holds (plan, box). `roots` holds (first route, index of the tree's root), sorted by first route.
    `nodes` holds (axis, cuts, index of the child for each range between cuts); a negative index is the leaf
    -index - 1. `leaves` holds sorted route indexes.
    """

    def __init__(
        self, routes: tuple[tuple[int, Box], ...], roots: tuple[tuple[int, int], ...],
        nodes: tuple[Node, ...], leaves: tuple[tuple[int, ...], ...],
        networks: tuple[tuple[Interval, ...], ...] = (),
    ) -> None:  # fmt: skip
        """Build the lookup tables; `networks` holds the address intervals of each network with a budget."""
        self.routes, self.roots, self.nodes, self.leaves = routes, roots, nodes, leaves
        # For each route only the axes that it restricts: most routes restrict one or two.
        self._terms = [
            tuple((axis, box[axis]) for axis in range(len(AXES)) if box[axis] != ((0, AXIS_ENDS[axis]),))
            for _, box in routes
        ]
        self._bounds: list[int] = []  # networks that have a budget do not overlap
        self._owners: list[int] = []  # by bound: the network that begins there; -1: none
        for low, high, network in sorted(
            (low, high, network) for network, intervals in enumerate(networks) for low, high in intervals
        ):
            self._bounds += (low, high)
            self._owners += (network, -1)

    def find(self, key: RouteKey) -> int:
        """Return the index of the first route that matches, or -1."""
        best = len(self.routes)
        for first, index in self.roots:
            if first >= best:
                break  # the remaining trees hold only later routes
            while index >= 0:
                axis, cuts, children = self.nodes[index]
                index = children[bisect_right(cuts, key[axis])]
            for route in self.leaves[-index - 1]:
                if route >= best:
                    break
                for axis, intervals in self._terms[route]:
                    value = key[axis]
                    for low, high in intervals:
                        if low <= value < high:
                            break
                    else:
                        break
                else:
                    best = route
                    break
        return best if best < len(self.routes) else -1

    def find_linear(self, key: RouteKey) -> int:
        """Return what `find` does by comparing all routes in order: a reference to test against."""
        for route, terms in enumerate(self._terms):
            if all(any_contains(intervals, key[axis]) for axis, intervals in terms):
                return route
        return -1

    def find_network(self, address: int) -> int:
        """Return the index of the network with a budget that contains the address, or -1."""
        index = bisect_right(self._bounds, address) - 1
        return self._owners[index] if index >= 0 else -1
