"""Fair shares: who gets what of a limit, by what each wishes for."""

from collections.abc import Mapping


def max_min_fair_shares(wishes: Mapping[str, float], whole: float) -> dict[str, float]:
    """Share `whole` out by max-min fairness: nobody gets more while somebody with less goes short.

    Wishes that all fit are met, and what is left over goes out on top of them by the wishes (equally where
    nobody wishes for anything): a front whose demand grows is there sooner, and an idle one ties nothing up.
    Returns a share for each name; their sum is `whole` (0 for no names or nothing to share).
    """
    if not wishes or whole <= 0.0:
        return dict.fromkeys(wishes, 0.0)
    shares: dict[str, float] = {}
    left, names = whole, sorted(wishes, key=lambda name: (wishes[name], name))
    for place, name in enumerate(names):
        equal = left / (len(names) - place)
        shares[name] = min(max(wishes[name], 0.0), equal)
        left -= shares[name]
    left, asked = max(left, 0.0), sum(max(wish, 0.0) for wish in wishes.values())
    if asked <= 1e-12:
        return {name: whole / len(names) for name in wishes}
    return {name: shares[name] + left * max(wishes[name], 0.0) / asked for name in wishes}
