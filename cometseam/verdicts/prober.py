"""The prober's decisions: which cache to probe when, and which verdict to publish on it. Without I/O.

The one front that owns the task `probe` sends each listed cache a health probe once per interval, with the
caches spread over the interval. `fails` consecutive failures make the verdict `bad`, `passes` consecutive
successes revoke it. A `bad` verdict that still applies is republished before it expires; one that is not
republished expires at every front (`VerdictTable`), so a prober that ends leaves nothing to clean up.

Where more than `most_bad` of the caches fail at once, the likely cause is this front's own link, or its zone,
being cut off: then no `bad` verdict on a failing cache is published or republished.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class ProbeTerms:
    """The terms of probing; times in ms.

    `interval`: between two probes of one cache. `within`: timeout of a probe. `fails`, `passes`: consecutive
    failures that make a verdict `bad`, consecutive successes that revoke it. `lasts`: how long a verdict
    applies after it was last published. `most_bad`: the fraction of the listed caches above which failures
    are attributed to the prober's own link. `most_out`: the largest number of probes in flight.
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
        """How often (ms) a verdict that applies is republished: two may be lost before it expires."""
        return self.lasts / 3.0


@dataclass(frozen=True, slots=True)
class CacheVerdict:
    """A verdict to publish; `number` counts this prober's verdicts."""

    cache: str
    bad: bool
    number: int
    evidence_since: float  # ms, when the evidence began, by the prober's clock


@dataclass(slots=True)
class CacheHealth:
    """What the probes of one cache have shown."""

    next_probe_at: float
    in_flight: bool = False
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    evidence_since: float = 0.0  # when the first of the consecutive failed probes was sent
    bad: bool = False
    published_at: float | None = None  # when the verdict was last published


class Prober:
    """The probes and verdicts of one front: a `CacheHealth` for each listed cache, removed with the cache."""

    def __init__(self, terms: ProbeTerms) -> None:
        self.terms = terms
        self.health_by_cache: dict[str, CacheHealth] = {}
        self.probes_started = 0
        self.verdicts_withheld = 0  # times that a verdict was not published as too many caches failed at once
        self._number = 0

    def update_caches(self, caches: Iterable[str], now: float) -> None:
        """Set the list of caches: new ones are probed within an interval, removed ones are dropped."""
        listed = set(caches)
        for cache in self.health_by_cache.keys() - listed:
            del self.health_by_cache[cache]
        for cache in listed - self.health_by_cache.keys():
            self.health_by_cache[cache] = CacheHealth(now + self._probe_offset(cache))

    def _probe_offset(self, cache: str) -> float:
        digest = blake2b(cache.encode(), digest_size=8).digest()
        return self.terms.interval * int.from_bytes(digest, "big") / 2.0**64

    def take_over(self, bad: dict[str, float], now: float) -> None:
        """Become the prober, keeping the `bad` verdicts that apply (cache: since when, ms).

        Otherwise a bad cache would count as good for all fronts at each change of prober, until the new one
        has detected it; so an existing verdict applies until the new prober's own probes revoke it.
        """
        self._number = 0
        # All state starts over: the result of a probe in flight since an earlier ownership is ignored.
        for cache in self.health_by_cache:
            self.health_by_cache[cache] = CacheHealth(
                now + self._probe_offset(cache), bad=cache in bad, evidence_since=bad.get(cache, now)
            )
            self.health_by_cache[cache].consecutive_failures = self.terms.fails if cache in bad else 0

    def start_due_probes(self, now: float) -> list[str]:
        """Return the caches to probe now; each probe is in flight until `record_probe_result`."""
        room = self.terms.most_out - sum(health.in_flight for health in self.health_by_cache.values())
        due = sorted(
            (h.next_probe_at, name)
            for name, h in self.health_by_cache.items()
            if not h.in_flight and h.next_probe_at <= now
        )
        for _, name in due[: max(room, 0)]:
            health = self.health_by_cache[name]
            # The schedule is kept however long a probe takes; probes missed in a pause are not made up for.
            health.next_probe_at = max(
                health.next_probe_at + self.terms.interval, now + 0.5 * self.terms.interval
            )
            health.in_flight = True
            if not health.consecutive_failures:
                health.evidence_since = now
            self.probes_started += 1
        return [name for _, name in due[: max(room, 0)]]

    def next_probe_at(self) -> float | None:
        """Return when the next probe is due; None where none is."""
        return min(
            (health.next_probe_at for health in self.health_by_cache.values() if not health.in_flight),
            default=None,
        )

    def record_probe_result(self, cache: str, succeeded: bool) -> None:
        """Record the end of a probe; `succeeded`: it was answered in time."""
        health = self.health_by_cache.get(cache)
        if health is None or not health.in_flight:
            return  # the cache was removed meanwhile, or this front became the prober again
        health.in_flight = False
        health.consecutive_failures, health.consecutive_successes = (
            (0, health.consecutive_successes + 1) if succeeded else (health.consecutive_failures + 1, 0)
        )

    def pop_due_verdicts(self, now: float) -> list[CacheVerdict]:
        """Return the verdicts to publish now: those that changed, and those due to be republished."""
        terms = self.terms
        # A single failure counts here: probes are spread over the interval, so when the first cache has
        # failed twice each other one has been probed since. Otherwise a prober that is cut off would publish
        # verdicts against the first half of the caches before it withholds any. (So `fails` is at least 2.)
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
                health.published_at = now  # fewer successes than `passes` so far: the verdict still applies
                verdicts.append(self._make_verdict(cache, health))
        return verdicts

    def _republish_due(self, health: CacheHealth, now: float) -> bool:
        return health.published_at is None or now - health.published_at >= self.terms.republish_interval

    def _make_verdict(self, cache: str, health: CacheHealth) -> CacheVerdict:
        self._number += 1
        return CacheVerdict(cache, health.bad, self._number, health.evidence_since)

    def record_publish_failure(self, verdict: CacheVerdict, now: float) -> None:
        """Record that a verdict was not published, so that the next `pop_due_verdicts` returns it again."""
        health = self.health_by_cache.get(verdict.cache)
        if health is None:
            return
        health.published_at = None
        if not verdict.bad and health.consecutive_failures < self.terms.fails:
            health.bad = True  # still bad at all other fronts; `pop_due_verdicts` revokes it again
