"""Resolves the named address sets of the operator's file to intervals on the address axis."""

from collections.abc import Callable

import netaddr

from cometseam.operator.schema import NetworkForm
from cometseam.timing.intervals import Intervals, union
from cometseam.timing.table import IPV4_MAPPED_BASE

ReportFault = Callable[[tuple[str | int, ...], str], None]


class Networks:
    """The named address sets of a file, each resolved once; a set that includes itself is a fault."""

    def __init__(self, forms: dict[str, NetworkForm], report_fault: ReportFault) -> None:
        self._forms, self._report_fault = forms, report_fault
        self._sets: dict[str, netaddr.IPSet] = {}
        self._in_progress: list[str] = []
        for name in forms:
            self._resolve_set(name, ("networks", name))
        self.intervals = {name: to_intervals(self._sets[name]) for name in forms}
        for name, intervals in self.intervals.items():
            if not intervals:
                report_fault(("networks", name), "it holds no address")

    def _resolve_set(self, name: str, path: tuple[str | int, ...]) -> netaddr.IPSet:
        if name in self._sets:
            return self._sets[name]
        if name in self._in_progress:
            self._report_fault(
                path, f"{' includes '.join([*self._in_progress, name])}: a set can't include itself"
            )
            return netaddr.IPSet()
        self._in_progress.append(name)
        form = self._forms[name]
        set_path = ("networks", name)
        addresses = netaddr.IPSet()
        for index, entry in enumerate(form.include):
            addresses |= self._resolve_entry(entry, (*set_path, "include", index))
        for index, entry in enumerate(form.exclude):
            addresses -= self._resolve_entry(entry, (*set_path, "exclude", index))
        self._in_progress.pop()
        self._sets[name] = addresses
        return addresses

    def _resolve_entry(self, entry: str, path: tuple[str | int, ...]) -> netaddr.IPSet:
        if entry in self._forms:
            return self._resolve_set(entry, path)
        try:
            if "-" in entry:
                low, _, high = entry.partition("-")
                return netaddr.IPSet(netaddr.IPRange(low.strip(), high.strip()))
            network = netaddr.IPNetwork(entry)
        except (netaddr.AddrFormatError, ValueError, TypeError):
            self._report_fault(path, f"{entry!r} is not a network, an address, a range or the name of a set")
            return netaddr.IPSet()
        if network.ip != network.network:
            self._report_fault(
                path, f"{entry!r} has bits set beyond its prefix length; did you mean {network.cidr}?"
            )
        return netaddr.IPSet([network])


def to_intervals(addresses: netaddr.IPSet) -> Intervals:
    """Return a set as intervals on the address axis, where IPv4 addresses are mapped to IPv6."""
    intervals = []
    for address_range in addresses.iter_ipranges():
        low, high = int(address_range.first), int(address_range.last)
        shift = IPV4_MAPPED_BASE if address_range.version == 4 else 0
        intervals.append((low + shift, high + shift + 1))
    return union(intervals)


def format_intervals(intervals: Intervals, max_shown: int = 3) -> str:
    """Return intervals as readable address ranges, at most `max_shown` of them."""
    shown = []
    for low, high in intervals[:max_shown]:
        is_ipv4 = low >= IPV4_MAPPED_BASE and high <= IPV4_MAPPED_BASE + (1 << 32)
        first, last = (
            (netaddr.IPAddress(low - IPV4_MAPPED_BASE, 4), netaddr.IPAddress(high - 1 - IPV4_MAPPED_BASE, 4))
            if is_ipv4
            else (netaddr.IPAddress(low, 6), netaddr.IPAddress(high - 1, 6))
        )
        shown.append(str(first) if first == last else f"{first}-{last}")
    return ", ".join(shown) + (
        f" and {len(intervals) - max_shown} more" if len(intervals) > max_shown else ""
    )
