"""Sets of integers as sorted, disjoint intervals, and boxes of one such set per axis. No I/O.

A `Box` (see `table`) matches a pull if the set of each axis contains the pull's value. Differences of boxes
show whether earlier routes leave a later one anything to match.
"""

from cometseam.timing.table import AXIS_ENDS, Box, Interval

Intervals = tuple[Interval, ...]


def union(intervals: list[Interval]) -> Intervals:
    """Return the union: sorted, disjoint and without empty intervals."""
    merged: list[Interval] = []
    for low, high in sorted(interval for interval in intervals if interval[0] < interval[1]):
        if merged and low <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], high))
        else:
            merged.append((low, high))
    return tuple(merged)


def intersection(one: Intervals, other: Intervals) -> Intervals:
    """Return what both sets contain."""
    common: list[Interval] = []
    i = j = 0
    while i < len(one) and j < len(other):
        low, high = max(one[i][0], other[j][0]), min(one[i][1], other[j][1])
        if low < high:
            common.append((low, high))
        if one[i][1] < other[j][1]:
            i += 1
        else:
            j += 1
    return tuple(common)


def difference(one: Intervals, other: Intervals) -> Intervals:
    """Return what the first set contains and the second does not."""
    remaining: list[Interval] = []
    j = 0
    for low, high in one:
        while j < len(other) and other[j][1] <= low:
            j += 1
        k = j
        while k < len(other) and other[k][0] < high:
            if low < other[k][0]:
                remaining.append((low, other[k][0]))
            low = max(low, other[k][1])
            k += 1
        if low < high:
            remaining.append((low, high))
    return tuple(remaining)


def universal_box() -> Box:
    """Return the box that matches every pull."""
    return tuple(((0, end),) for end in AXIS_ENDS)


def intersect_boxes(one: Box, other: Box) -> Box | None:
    """Return the box of what both match, or None if there is nothing."""
    axes = []
    for mine, theirs in zip(one, other, strict=True):
        both = mine if mine == theirs else intersection(mine, theirs)
        if not both:
            return None
        axes.append(both)
    return tuple(axes)


def subtract_box(box: Box, hole: Box) -> list[Box]:
    """Return disjoint boxes that together match what `box` matches and `hole` does not."""
    if intersect_boxes(box, hole) is None:
        return [box]
    remaining: list[Box] = []
    for axis in range(len(box)):
        outside = difference(box[axis], hole[axis])
        if outside:
            remaining.append((*box[:axis], outside, *box[axis + 1 :]))
        box = (*box[:axis], intersection(box[axis], hole[axis]), *box[axis + 1 :])
    return remaining


def _minimal_cover(box: Box, cover: list[tuple[int, Box]]) -> list[int]:
    """Return the numbers of the boxes that the cover of `box` needs; later ones are left out first."""
    for index in range(len(cover) - 1, -1, -1):
        others, pieces = cover[:index] + cover[index + 1 :], [box]
        for _, hole in others:
            pieces = [part for piece in pieces for part in subtract_box(piece, hole)]
        if not pieces:
            cover = others
    return [number for number, _ in cover]


def covered_by(box: Box, earlier: list[tuple[int, Box]], max_pieces: int) -> list[int] | None:
    """Return the numbers of the earlier boxes that together cover `box`, or None if they do not.

    `earlier` holds (number, box). Once more than `max_pieces` uncovered pieces remain, the search is too
    expensive and the box counts as not covered: a route is never refused without proof.
    """
    pieces, used = [box], []
    for number, hole in earlier:
        remaining: list[Box] = []
        is_touched = False
        for piece in pieces:
            parts = subtract_box(piece, hole)
            is_touched = is_touched or parts != [piece]
            remaining += parts
        if is_touched:
            used.append(number)
        pieces = remaining
        if not pieces:
            return _minimal_cover(box, [(number, hole) for number, hole in earlier if number in used])
        if len(pieces) > max_pieces:
            return None
    return None
