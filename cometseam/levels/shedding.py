"""What a level leaves out of one pull: the module asks, before it sends anything. No I/O.

Shedding is gentle. Whether a pull is shed goes by its object, so that the same objects are spared from
second to second and a client's retry draws nothing new; an object whose parts are being read is spared to
its end. Of a workload the large pulls go first, which give up the least gain for the most room, and no
network of clients loses much more than the others.
"""

from bisect import bisect_left
from collections import Counter, OrderedDict, deque
from random import Random

from cometseam.interface import Pull, ServiceLevel

KEYS, RECUT = 512, 32  # recent keys that the cut is taken from, and pulls between two cuts
BY_SIZE = 0.6  # part of a key that goes by size; the rest by the hash
MOST_READ = 4096  # objects that are remembered as being read
# Networks that are remembered; pulls before one is compared; what is left of counts when they wear off.
NETWORKS, LEAST_ASKED, WEARS = 512, 20.0, 0.5
UNFAIR = 1.2  # times the share shed of all that a network may lose
LATER_SPREAD = 1.0  # part of the time to come back that is added at most
WORD = (1 << 64) - 1


def object_hash(number: int) -> float:
    """Hash an object to a number from 0 to 1, apart from the module's hash of it."""
    word = (number * 0xD6E8FEB86659FD93 + 0x9E3779B97F4A7C15) & WORD
    word = (word ^ word >> 32) * 0xD6E8FEB86659FD93 & WORD
    return (word ^ word >> 29) / (WORD + 1)


class ShedCutoff:
    """Finds the key under which a share of recent pulls of a kind lies."""

    def __init__(self) -> None:
        self._keys: deque[float] = deque(maxlen=KEYS)
        self._sizes: deque[float] = deque(maxlen=KEYS)
        self._ordered: list[float] = []
        self._by_size: list[float] = []
        self._uncut = 0

    def shed_key(self, wanted: int, size: float) -> float:
        """Return a pull's key: the lower, the sooner it is shed. Large pulls have low ones."""
        self._sizes.append(size)
        known = len(self._by_size)
        rank = 1.0 - bisect_left(self._by_size, size) / known if known >= RECUT else 0.5
        key = BY_SIZE * rank + (1.0 - BY_SIZE) * object_hash(wanted)
        self._keys.append(key)
        self._uncut -= 1
        if self._uncut < 0:
            self._uncut = RECUT
            self._ordered, self._by_size = sorted(self._keys), sorted(self._sizes)
        return key

    def key_for_share(self, share: float) -> float:
        """Return the key under which that share of recent ones lies."""
        if share >= 1.0:
            return float("inf")
        if len(self._ordered) < RECUT:  # too few to cut: by the hash alone
            return 0.5 * BY_SIZE + (1.0 - BY_SIZE) * share
        return self._ordered[min(int(share * len(self._ordered)), len(self._ordered) - 1)]


class LoadShedder:
    """What the present level leaves out; without one it is asked and says no.

    Of the objects being read the longest ago leaves past `MOST_READ`, of the networks past `NETWORKS`; a
    level that sheds nothing empties both.
    """

    def __init__(self, chance: Random) -> None:
        self._chance = chance
        self.service_level = ServiceLevel()
        self._cuts: dict[int, ShedCutoff] = {}  # by workload: as many as there are
        self._read: OrderedDict[int, float] = OrderedDict()  # by object: when one was let through
        self._networks: OrderedDict[int, list[float]] = OrderedDict()  # [asked, shed]
        self._all = [0.0, 0.0]
        self.shed_count = 0
        # Of what was left out: pulls shed by workload, fills and further relays that were not begun.
        self.skipped_counts: Counter[str] = Counter()

    def apply_service_level(self, told: ServiceLevel) -> None:
        """Take over what the level leaves out from now on."""
        if not any(told.shed_shares) and not told.plan_shed_shares:  # what no longer sheds remembers nothing
            self._cuts.clear()
            self._networks.clear()
            self._read.clear()
            self._all = [0.0, 0.0]
        self.service_level = told

    def should_shed(self, now: float, pull: Pull, sending: float) -> bool:
        """Tell whether a pull that has just come is shed, and remember what that takes."""
        told = self.service_level
        if not told.shed_shares and not told.plan_shed_shares:
            return False
        share = told.shed_shares[pull.workload] if pull.workload < len(told.shed_shares) else 0.0
        share = max(share, told.plan_shed_shares.get(pull.plan_index, 0.0))
        cut = self._cuts.setdefault(pull.workload, ShedCutoff())
        key = cut.shed_key(pull.object, sending)
        shed = share > 0.0 and key < cut.key_for_share(share)
        if self._is_read(now, pull, told.reading_window, shed):
            shed = False
        if share > 0.0:
            shed = self._fair(pull.client_network, shed)
        if not shed:
            self._read[pull.object] = now
            self._read.move_to_end(pull.object)
            if len(self._read) > MOST_READ:
                self._read.popitem(last=False)
        if shed:
            self.shed_count += 1
            self.skipped_counts[f"shed.{pull.workload}"] += 1
        return shed

    def _is_read(self, now: float, pull: Pull, reading: float, shed: bool) -> bool:
        """Tell whether earlier parts of the object were let through lately: it is read to its end."""
        if not shed or not pull.part:
            return False
        return now - self._read.get(pull.object, float("-inf")) <= reading

    def _fair(self, network: int, shed: bool) -> bool:
        """Spare a pull of a network that has lost more than its part; count what becomes of it."""
        mine = self._networks.setdefault(network, [0.0, 0.0])
        self._networks.move_to_end(network)
        if len(self._networks) > NETWORKS:
            self._networks.popitem(last=False)
        if shed and mine[0] >= LEAST_ASKED and self._all[0] > 0.0:
            usual = self._all[1] / self._all[0]
            shed = mine[1] + 1.0 <= UNFAIR * usual * (mine[0] + 1.0) + 1.0
        for counts in (mine, self._all):
            counts[0] += 1.0
            counts[1] += shed
        if self._all[0] >= KEYS:
            for counts in (self._all, *self._networks.values()):
                counts[0] *= WEARS
                counts[1] *= WEARS
        return shed

    def may_fill(self, gaps: tuple[float, ...] | None, out: int, limit: float) -> bool:
        """Tell whether a fill may be begun with so many out of so many; no gaps: the object is first seen."""
        now = self.service_level
        if not now.fill_first_seen and gaps == ():
            self.skipped_counts["first_seen_fills"] += 1
            return False
        if now.fill_limit_share < 1.0 and out >= max(now.fill_limit_share * limit, 1.0):
            self.skipped_counts["fills"] += 1
            return False
        return True

    def may_retry(self) -> bool:
        """Tell whether a further relay may go after a failure."""
        self.skipped_counts["further_relays"] += not self.service_level.allow_further_relays
        return self.service_level.allow_further_relays

    def retry_after(self, usual: float) -> float:
        """Return the time after which a shed pull is told to come back: under a level longer, and spread."""
        if self.service_level.min_retry_after is None:
            return usual
        return max(self.service_level.min_retry_after, usual) * (1.0 + LATER_SPREAD * self._chance.random())
