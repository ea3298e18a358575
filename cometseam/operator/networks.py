"""Sets of addresses, by union and difference, to intervals on the axis of addresses."""

from collections.abc import Callable

import netaddr

from cometseam.operator.schema import NetworkForm
from cometseam.timing.intervals import Intervals, union
from cometseam.timing.table import IPV4_MAPPED_BASE

Complain = Callable[[tuple[str | int, ...], str], None]


class Networks:
    """The named sets of a file; each is worked out once, and those that name each other are a fault."""

    def __init__(self, forms: dict[str, NetworkForm], complain: Complain) -> None:
        self._forms, self._complain = forms, complain
        self._sets: dict[str, netaddr.IPSet] = {}
        self._under_way: list[str] = []
        for name in forms:
            self._set(name, ("networks", name))
        self.intervals = {name: to_intervals(self._sets[name]) for name in forms}
        for name, found in self.intervals.items():
            if not found:
                complain(("networks", name), "it holds no address")

    def _set(self, name: str, path: tuple[str | int, ...]) -> netaddr.IPSet:
        if name in self._sets:
            return self._sets[name]
        if name in self._under_way:
            self._complain(path, f"{' includes '.join([*self._under_way, name])}: it holds itself")
            return netaddr.IPSet()
        self._under_way.append(name)
        form = self._forms[name]
        own = ("networks", name)
        out = netaddr.IPSet()
        for place, entry in enumerate(form.include):
            out |= self._entry(entry, (*own, "include", place))
        for place, entry in enumerate(form.exclude):
            out -= self._entry(entry, (*own, "exclude", place))
        self._under_way.pop()
        self._sets[name] = out
        return out

    def _entry(self, entry: str, path: tuple[str | int, ...]) -> netaddr.IPSet:
        if entry in self._forms:
            return self._set(entry, path)
        try:
            if "-" in entry:
                low, _, high = entry.partition("-")
                return netaddr.IPSet(netaddr.IPRange(low.strip(), high.strip()))
            network = netaddr.IPNetwork(entry)
        except (netaddr.AddrFormatError, ValueError, TypeError):
            self._complain(path, f"{entry!r} is no network, no address, no range and no name of a set")
            return netaddr.IPSet()
        if network.ip != network.network:
            self._complain(path, f"{entry!r} has bits beyond its length; {network.cidr} was perhaps meant")
        return netaddr.IPSet([network])


def to_intervals(found: netaddr.IPSet) -> Intervals:
    """Return a set as intervals on the axis of addresses, on which IPv4 lies mapped."""
    out = []
    for part in found.iter_ipranges():
        low, high = int(part.first), int(part.last)
        shift = IPV4_MAPPED_BASE if part.version == 4 else 0
        out.append((low + shift, high + shift + 1))
    return union(out)


def format_intervals(intervals: Intervals, most: int = 3) -> str:
    """Return intervals as addresses, for people to read."""
    shown = []
    for low, high in intervals[:most]:
        mapped = low >= IPV4_MAPPED_BASE and high <= IPV4_MAPPED_BASE + (1 << 32)
        first, last = (
            (netaddr.IPAddress(low - IPV4_MAPPED_BASE, 4), netaddr.IPAddress(high - 1 - IPV4_MAPPED_BASE, 4))
            if mapped
            else (netaddr.IPAddress(low, 6), netaddr.IPAddress(high - 1, 6))
        )
        shown.append(str(first) if first == last else f"{first}-{last}")
    return ", ".join(shown) + (f" and {len(intervals) - most} more" if len(intervals) > most else "")
