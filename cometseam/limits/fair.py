"""Fair shares: who gets what of a limit, by what each wishes for."""

from collections.abc import Mapping


def max_min_fair_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Share `whole` out by max-min fairness: nobody gets more while somebody with less goes short.

    Wishes that all fit are met, and what is left over goes out on top of them by the wishes (equally where
    nobody wishes for anything): a front whose demand grows is there sooner, and an idle one ties nothing up.
    Returns a share for each name; their sum is `whole` (0 for no names or nothing to share).
    """
    if not demands or capacity <= 0.0:
        return dict.fromkeys(demands, 0.0)
    shares: dict[str, float] = {}
    remaining, names = capacity, sorted(demands, key=lambda name: (demands[name], name))
    for index, name in enumerate(names):
        equal = remaining / (len(names) - index)
        shares[name] = min(max(demands[name], 0.0), equal)
        remaining -= shares[name]
    remaining, total_demand = max(remaining, 0.0), sum(max(demand, 0.0) for demand in demands.values())
    if total_demand <= 1e-12:
        return {name: capacity / len(names) for name in demands}
    return {name: shares[name] + remaining * max(demands[name], 0.0) / total_demand for name in demands}
