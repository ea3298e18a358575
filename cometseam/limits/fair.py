"""Max-min fair division of a capacity by demand."""

from collections.abc import Mapping


def max_min_fair_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Divide `capacity` by max-min fairness: no share grows while a smaller one is below its demand.

    Where the demands sum to less than `capacity`, each is met and the remainder is added in proportion to
    them, so that a front whose demand grows has room at once and an idle front holds no capacity. Where all
    demands are 0, the shares are equal. A negative demand counts as 0. Returns a share for each name; their
    sum is `capacity` (0 for no names or no capacity).
    """
    if not demands or capacity <= 0.0:
        return dict.fromkeys(demands, 0.0)
    shares: dict[str, float] = {}
    remaining, names = capacity, sorted(demands, key=lambda name: (demands[name], name))
    for index, name in enumerate(names):
        equal_share = remaining / (len(names) - index)
        shares[name] = min(max(demands[name], 0.0), equal_share)
        remaining -= shares[name]
    remaining, total_demand = max(remaining, 0.0), sum(max(demand, 0.0) for demand in demands.values())
    if total_demand <= 1e-12:
        return {name: capacity / len(names) for name in demands}
    return {name: shares[name] + remaining * max(demands[name], 0.0) / total_demand for name in demands}
