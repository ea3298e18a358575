"""Decides which pulls, fills and further relays the present service level does not allow. No I/O.

The decision module asks it before it starts any of these.

Whether a pull is shed depends on its object, so that the same objects are admitted from second to second and
a client's retry gets the same result; an object whose parts are being read is admitted to its end. Large
pulls of a workload are shed first, since they free the most capacity for the least loss of value, and no
network of clients loses much more than the others.
"""

from bisect import bisect_left
from collections import Counter, OrderedDict, deque
from collections.abc import Sequence
from random import Random

from cometseam.interface import Pull, ServiceLevel

RECENT_PULLS = 512  # pulls of a workload that the cutoff is taken from
RECUT_INTERVAL = 32  # pulls between two updates of the cutoff, and the fewest that it is taken from
SIZE_WEIGHT = 0.6  # share of a shed key that depends on the size; the rest depends on the object's hash
MAX_READ_OBJECTS = 4096  # objects that are remembered as being read
MAX_NETWORKS = 512  # networks that are remembered
MIN_NETWORK_PULLS = 20.0  # pulls of a network before it is compared with the others
COUNT_DECAY = 0.5  # factor applied to all counts when the total reaches `RECENT_PULLS`
MAX_LOSS_RATIO = 1.2  # a network's shed share is held to this many times the overall one
RETRY_AFTER_SPREAD = 1.0  # largest random addition to a retry time, as a share of it
MASK_64_BITS = (1 << 64) - 1


def object_hash(number: int) -> float:
    """Hash an object to a number from 0 to 1, independent of the decision module's hash of it."""
    word = (number * 0xD6E8FEB86659FD93 + 0x9E3779B97F4A7C15) & MASK_64_BITS
    word = (word ^ word >> 32) * 0xD6E8FEB86659FD93 & MASK_64_BITS
    return (word ^ word >> 29) / (MASK_64_BITS + 1)


class ShedCutoff:
    """Finds the shed key below which a given share of a workload's recent pulls lies."""

    def __init__(self) -> None:
        self._keys: deque[float] = deque(maxlen=RECENT_PULLS)
        self._sizes: deque[float] = deque(maxlen=RECENT_PULLS)
        self._sorted_keys: list[float] = []
        self._sorted_sizes: list[float] = []
        self._until_recut = 0

    def shed_key(self, object_number: int, size: float) -> float:
        """Record a pull and return its key: pulls with low keys, such as large ones, are shed first."""
        self._sizes.append(size)
        count = len(self._sorted_sizes)
        larger_share = 1.0 - bisect_left(self._sorted_sizes, size) / count if count >= RECUT_INTERVAL else 0.5
        key = SIZE_WEIGHT * larger_share + (1.0 - SIZE_WEIGHT) * object_hash(object_number)
        self._keys.append(key)
        self._until_recut -= 1
        if self._until_recut < 0:
            self._until_recut = RECUT_INTERVAL
            self._sorted_keys, self._sorted_sizes = sorted(self._keys), sorted(self._sizes)
        return key

    def key_for_share(self, share: float) -> float:
        """Return the key below which that share of the recent pulls lies."""
        if share >= 1.0:
            return float("inf")
        if len(self._sorted_keys) < RECUT_INTERVAL:  # too few pulls for a cutoff: goes by the hash alone
            return 0.5 * SIZE_WEIGHT + (1.0 - SIZE_WEIGHT) * share
        return self._sorted_keys[min(int(share * len(self._sorted_keys)), len(self._sorted_keys) - 1)]


class LoadShedder:
    """Applies the present service level to pulls, fills and retries; at full service it sheds nothing.

    Remembers at most `MAX_READ_OBJECTS` objects being read and `MAX_NETWORKS` networks, and drops the least
    recently used first. A level that sheds nothing clears both.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.service_level = ServiceLevel()
        self._cutoffs: dict[int, ShedCutoff] = {}  # by workload, of which there are few
        self._read_at: OrderedDict[int, float] = OrderedDict()  # by object: when its last pull was admitted
        self._networks: OrderedDict[int, list[float]] = OrderedDict()  # by network: [pulls, shed pulls]
        self._totals = [0.0, 0.0]  # [pulls, shed pulls]
        self.shed_count = 0
        # What was left out: pulls shed by workload, and fills and further relays that were not started.
        self.skipped_counts: Counter[str] = Counter()

    def apply_service_level(self, level: ServiceLevel) -> None:
        """Apply what a level does not allow from now on."""
        if not any(level.shed_shares) and not level.plan_shed_shares:  # nothing is shed: clears the tables
            self._cutoffs.clear()
            self._networks.clear()
            self._read_at.clear()
            self._totals = [0.0, 0.0]
        self.service_level = level

    def should_shed(self, now: float, pull: Pull, sending_time: float) -> bool:
        """Return whether a new pull is shed, and record it for later pulls."""
        level = self.service_level
        if not level.shed_shares and not level.plan_shed_shares:
            return False
        share = level.shed_shares[pull.workload] if pull.workload < len(level.shed_shares) else 0.0
        share = max(share, level.plan_shed_shares.get(pull.plan_index, 0.0))
        cutoff = self._cutoffs.setdefault(pull.workload, ShedCutoff())
        key = cutoff.shed_key(pull.object, sending_time)
        shed = share > 0.0 and key < cutoff.key_for_share(share)
        if self._is_being_read(now, pull, level.reading_window, shed):
            shed = False
        if share > 0.0:
            shed = self._limit_network_loss(pull.client_network, shed)
        if not shed:
            self._read_at[pull.object] = now
            self._read_at.move_to_end(pull.object)
            if len(self._read_at) > MAX_READ_OBJECTS:
                self._read_at.popitem(last=False)
        if shed:
            self.shed_count += 1
            self.skipped_counts[f"shed.{pull.workload}"] += 1
        return shed

    def _is_being_read(self, now: float, pull: Pull, reading_window: float, shed: bool) -> bool:
        """Return whether a pull that would be shed continues an object admitted within the window (ms)."""
        if not shed or not pull.part:
            return False
        return now - self._read_at.get(pull.object, float("-inf")) <= reading_window

    def _limit_network_loss(self, network: int, shed: bool) -> bool:
        """Return whether to shed a pull given what its network has lost, and count the result."""
        counts = self._networks.setdefault(network, [0.0, 0.0])
        self._networks.move_to_end(network)
        if len(self._networks) > MAX_NETWORKS:
            self._networks.popitem(last=False)
        if shed and counts[0] >= MIN_NETWORK_PULLS and self._totals[0] > 0.0:
            overall_share = self._totals[1] / self._totals[0]
            shed = counts[1] + 1.0 <= MAX_LOSS_RATIO * overall_share * (counts[0] + 1.0) + 1.0
        for each in (counts, self._totals):
            each[0] += 1.0
            each[1] += shed
        if self._totals[0] >= RECENT_PULLS:
            for each in (self._totals, *self._networks.values()):
                each[0] *= COUNT_DECAY
                each[1] *= COUNT_DECAY
        return shed

    def may_fill(self, request_gaps: Sequence[float] | None, in_flight: int, limit: float) -> bool:
        """Return whether a fill may start while `in_flight` of `limit` fills run.

        `request_gaps`: times between the requests for the object; empty if it is seen for the first time.
        """
        level = self.service_level
        if not level.fill_first_seen and request_gaps is not None and not request_gaps:
            self.skipped_counts["first_seen_fills"] += 1
            return False
        if level.fill_limit_share < 1.0 and in_flight >= max(level.fill_limit_share * limit, 1.0):
            self.skipped_counts["fills"] += 1
            return False
        return True

    def may_retry(self) -> bool:
        """Return whether a further relay may be sent after a failure; counts the ones it prevents."""
        self.skipped_counts["further_relays"] += not self.service_level.allow_further_relays
        return self.service_level.allow_further_relays

    def retry_after(self, default: float) -> float:
        """Return the time (ms) after which a shed pull may be retried.

        A level that sets a minimum raises it to that and adds a random share, to spread the retries.
        """
        if self.service_level.min_retry_after is None:
            return default
        return max(self.service_level.min_retry_after, default) * (
            1.0 + RETRY_AFTER_SPREAD * self._rng.random()
        )
