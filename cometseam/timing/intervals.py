"""Sets of whole numbers as intervals in order and apart, and products of them by axis. No I/O.

A `Box` (see `table`) matches where each of its axes holds the pull's value. Differences of boxes tell
whether earlier routes leave anything to a later one.
"""

from cometseam.timing.table import AXIS_ENDS, Box, Interval

Intervals = tuple[Interval, ...]


def union(intervals: list[Interval]) -> Intervals:
    """Return the union: in order, apart, none empty."""
    out: list[Interval] = []
    for low, high in sorted(interval for interval in intervals if interval[0] < interval[1]):
        if out and low <= out[-1][1]:
            out[-1] = (out[-1][0], max(out[-1][1], high))
        else:
            out.append((low, high))
    return tuple(out)


def intersection(one: Intervals, other: Intervals) -> Intervals:
    """Return what both hold."""
    out: list[Interval] = []
    i = j = 0
    while i < len(one) and j < len(other):
        low, high = max(one[i][0], other[j][0]), min(one[i][1], other[j][1])
        if low < high:
            out.append((low, high))
        if one[i][1] < other[j][1]:
            i += 1
        else:
            j += 1
    return tuple(out)


def difference(one: Intervals, other: Intervals) -> Intervals:
    """Return what the first holds and the second does not."""
    out: list[Interval] = []
    j = 0
    for low, high in one:
        while j < len(other) and other[j][1] <= low:
            j += 1
        k = j
        while k < len(other) and other[k][0] < high:
            if low < other[k][0]:
                out.append((low, other[k][0]))
            low = max(low, other[k][1])
            k += 1
        if low < high:
            out.append((low, high))
    return tuple(out)


def universal_box() -> Box:
    """Return the box that matches every pull."""
    return tuple(((0, end),) for end in AXIS_ENDS)


def intersect_boxes(one: Box, other: Box) -> Box | None:
    """Return the box that both match, if there is one."""
    axes = []
    for mine, theirs in zip(one, other, strict=True):
        both = mine if mine == theirs else intersection(mine, theirs)
        if not both:
            return None
        axes.append(both)
    return tuple(axes)


def subtract_box(box: Box, hole: Box) -> list[Box]:
    """Return boxes, apart from each other, that together match what `box` does and `hole` does not."""
    if intersect_boxes(box, hole) is None:
        return [box]
    left: list[Box] = []
    for axis in range(len(box)):
        rest = difference(box[axis], hole[axis])
        if rest:
            left.append((*box[:axis], rest, *box[axis + 1 :]))
        box = (*box[:axis], intersection(box[axis], hole[axis]), *box[axis + 1 :])
    return left


def _needed(box: Box, cover: list[tuple[int, Box]]) -> list[int]:
    """Return the numbers of those without which a cover is none; the last in order is dropped first."""
    for place in range(len(cover) - 1, -1, -1):
        rest, pieces = cover[:place] + cover[place + 1 :], [box]
        for _, hole in rest:
            pieces = [part for piece in pieces for part in subtract_box(piece, hole)]
        if not pieces:
            cover = rest
    return [number for number, _ in cover]


def covered_by(box: Box, earlier: list[tuple[int, Box]], most: int) -> list[int] | None:
    """Tell which of the earlier boxes cover `box` together; None: something of it is left, or `most` pieces.

    `earlier` hold (number, box). Past `most` pieces at once the answer is not worth its cost and the box
    counts as not covered: a route is never refused for what was not shown.
    """
    pieces, used = [box], []
    for number, hole in earlier:
        left: list[Box] = []
        touched = False
        for piece in pieces:
            parts = subtract_box(piece, hole)
            touched = touched or parts != [piece]
            left += parts
        if touched:
            used.append(number)
        pieces = left
        if not pieces:
            return _needed(box, [(number, hole) for number, hole in earlier if number in used])
        if len(pieces) > most:
            return None
    return None
