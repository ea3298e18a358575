"""Max-min fair division of a capacity by demand."""

from collections.abc import Mapping


def max_min_fair_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Divide `capacity` by max-min fairness: no share grows while a smaller one is below its demand.

    Where all demands fit, they are met and the remainder is added in proportion to them (equally where all
    demands are 0): a front whose demand grows reaches its share sooner, and an idle front reserves nothing.
    Returns a share for each name; their sum is `capacity` (0 for no names or no capacity).
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
