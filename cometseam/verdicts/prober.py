"""The prober's decisions: which cache to probe when, and what to rule on it. Without I/O.

The one front that holds the task `probe` asks each listed cache whether it works, once an interval, spread
over the interval; `fails` probes in a row that came to nothing make a ruling `bad`, `passes` in a row that
were answered take it back. A ruling `bad` is said again before it ends, for as long as it holds; one that is
not said again ends by itself at every front (`VerdictTable`), so a prober that dies leaves nothing behind.

Where more than `most_bad` of the caches seem bad at once it is rather this front's own link, or its zone,
that is cut: then nothing new is ruled bad, and what was is not renewed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class ProbeTerms:
    """What probing goes by; times in ms.

    `interval`: between two probes of one cache. `within`: how long a probe may take. `fails`, `passes`: in a
    row, for a ruling and for taking it back. `lasts`: how long a ruling holds after it was last said.
    `most_bad`: the share of the listed caches beyond which the prober doubts itself. `most_out`: probes
    out at once.
    """

    interval: float = 1000.0
    within: float = 300.0
    fails: int = 3
    passes: int = 2
    lasts: float = 6000.0
    most_bad: float = 0.5
    most_out: int = 32

    @property
    def republish_interval(self) -> float:
        """How often (ms) a ruling that holds is said again: two may be lost before it ends."""
        return self.lasts / 3.0


@dataclass(frozen=True, slots=True)
class CacheVerdict:
    """What is to be published of a cache: `number` counts this prober's rulings."""

    cache: str
    bad: bool
    number: int
    evidence_since: float  # ms, when the evidence began, by the prober's clock


@dataclass(slots=True)
class CacheHealth:
    """What is known of one cache."""

    next_probe_at: float  # of the next probe
    in_flight: bool = False
    consecutive_failures: int = 0  # probes in a row
    consecutive_successes: int = 0
    evidence_since: float = 0.0  # when the first of the failures in a row was sent
    bad: bool = False
    published_at: float | None = None  # when the ruling was last published


class Prober:
    """Probes and rulings of one front; it holds a case for each listed cache, and one that leaves goes."""

    def __init__(self, terms: ProbeTerms) -> None:
        self.terms = terms
        self.health_by_cache: dict[str, CacheHealth] = {}
        self.probes_started = 0
        self.verdicts_withheld = 0  # times that a ruling was held back, since too many seemed bad at once
        self._number = 0

    def update_caches(self, caches: Iterable[str], now: float) -> None:
        """Take the list of caches in: new ones are probed within an interval, those that left are dropped."""
        listed = set(caches)
        for cache in self.health_by_cache.keys() - listed:
            del self.health_by_cache[cache]
        for cache in listed - self.health_by_cache.keys():
            self.health_by_cache[cache] = CacheHealth(now + self._probe_offset(cache))

    def _probe_offset(self, cache: str) -> float:
        digest = blake2b(cache.encode(), digest_size=8).digest()
        return self.terms.interval * int.from_bytes(digest, "big") / 2.0**64

    def take_over(self, bad: dict[str, float], now: float) -> None:
        """This front has become the prober: it goes on with the rulings that hold (cache: since, ms).

        Else a bad cache would be good for all as soon as its prober changes, for as long as it takes the new
        one to find out; so a ruling that it found holds until its own probes take it back.
        """
        self._number = 0
        # Anew: a probe that is out from an earlier time counts for nothing.
        for cache in self.health_by_cache:
            self.health_by_cache[cache] = CacheHealth(
                now + self._probe_offset(cache), bad=cache in bad, evidence_since=bad.get(cache, now)
            )
            self.health_by_cache[cache].consecutive_failures = self.terms.fails if cache in bad else 0

    def start_due_probes(self, now: float) -> list[str]:
        """Tell which caches to probe now; each is out until `record_probe_result`."""
        room = self.terms.most_out - sum(health.in_flight for health in self.health_by_cache.values())
        due = sorted(
            (h.next_probe_at, name)
            for name, h in self.health_by_cache.items()
            if not h.in_flight and h.next_probe_at <= now
        )
        for _, name in due[: max(room, 0)]:
            health = self.health_by_cache[name]
            # The rhythm stays, whatever a probe takes; what was missed (a pause) is not made up for.
            health.next_probe_at = max(
                health.next_probe_at + self.terms.interval, now + 0.5 * self.terms.interval
            )
            health.in_flight = True
            if not health.consecutive_failures:
                health.evidence_since = now
            self.probes_started += 1
        return [name for _, name in due[: max(room, 0)]]

    def next_probe_at(self) -> float | None:
        """Tell when the next probe is due; None where none is."""
        return min(
            (health.next_probe_at for health in self.health_by_cache.values() if not health.in_flight),
            default=None,
        )

    def record_probe_result(self, cache: str, succeeded: bool) -> None:
        """A probe has ended: answered in time, or not."""
        health = self.health_by_cache.get(cache)
        if health is None or not health.in_flight:
            return  # it left the list meanwhile, or this front became the prober anew
        health.in_flight = False
        health.consecutive_failures, health.consecutive_successes = (
            (0, health.consecutive_successes + 1) if succeeded else (health.consecutive_failures + 1, 0)
        )

    def pop_due_verdicts(self, now: float) -> list[CacheVerdict]:
        """Tell what is to be published now: what changed, and what holds and would end."""
        terms = self.terms
        # One failure counts here: probes are spread over the interval, so when the first cache has failed
        # twice each other one has been asked since. Else a prober that is cut off would rule against the
        # first half of the caches before it begins to doubt itself. (So `fails` is 2 at least.)
        failing = sum(health.consecutive_failures > 0 for health in self.health_by_cache.values())
        too_many_failing = failing > terms.most_bad * len(self.health_by_cache)
        verdicts = []
        for cache, health in self.health_by_cache.items():
            if health.bad and health.consecutive_successes >= terms.passes:
                health.bad, health.published_at = False, None
                verdicts.append(self._make_verdict(cache, health))
            elif health.consecutive_failures >= terms.fails and (
                not health.bad or self._republish_due(health, now)
            ):
                if too_many_failing:
                    self.verdicts_withheld += 1
                    continue
                health.bad, health.published_at = True, now
                verdicts.append(self._make_verdict(cache, health))
            elif health.bad and not health.consecutive_failures and self._republish_due(health, now):
                health.published_at = now  # it passed some, not enough yet: the ruling holds
                verdicts.append(self._make_verdict(cache, health))
        return verdicts

    def _republish_due(self, health: CacheHealth, now: float) -> bool:
        return health.published_at is None or now - health.published_at >= self.terms.republish_interval

    def _make_verdict(self, cache: str, health: CacheHealth) -> CacheVerdict:
        self._number += 1
        return CacheVerdict(cache, health.bad, self._number, health.evidence_since)

    def record_publish_failure(self, verdict: CacheVerdict, now: float) -> None:
        """A ruling could not be published: it is tried again at the next look."""
        health = self.health_by_cache.get(verdict.cache)
        if health is None:
            return
        health.published_at = None
        if not verdict.bad and health.consecutive_failures < self.terms.fails:
            health.bad = True  # still held by all others; `pop_due_verdicts` takes it back once more
