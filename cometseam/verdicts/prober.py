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
        wanted = set(caches)
        for cache in self.health_by_cache.keys() - wanted:
            del self.health_by_cache[cache]
        for cache in wanted - self.health_by_cache.keys():
            self.health_by_cache[cache] = CacheHealth(now + self._phase(cache))

    def _phase(self, cache: str) -> float:
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
                now + self._phase(cache), bad=cache in bad, evidence_since=bad.get(cache, now)
            )
            self.health_by_cache[cache].consecutive_failures = self.terms.fails if cache in bad else 0

    def start_due_probes(self, now: float) -> list[str]:
        """Tell which caches to probe now; each is out until `record_probe_result`."""
        room = self.terms.most_out - sum(case.in_flight for case in self.health_by_cache.values())
        ready = sorted(
            (c.next_probe_at, name)
            for name, c in self.health_by_cache.items()
            if not c.in_flight and c.next_probe_at <= now
        )
        for _, name in ready[: max(room, 0)]:
            case = self.health_by_cache[name]
            # The rhythm stays, whatever a probe takes; what was missed (a pause) is not made up for.
            case.next_probe_at = max(
                case.next_probe_at + self.terms.interval, now + 0.5 * self.terms.interval
            )
            case.in_flight = True
            if not case.consecutive_failures:
                case.evidence_since = now
            self.probes_started += 1
        return [name for _, name in ready[: max(room, 0)]]

    def next_probe_at(self) -> float | None:
        """Tell when the next probe is due; None where none is."""
        return min(
            (case.next_probe_at for case in self.health_by_cache.values() if not case.in_flight), default=None
        )

    def record_probe_result(self, cache: str, well: bool) -> None:
        """A probe has ended: answered in time, or not."""
        case = self.health_by_cache.get(cache)
        if case is None or not case.in_flight:
            return  # it left the list meanwhile, or this front became the prober anew
        case.in_flight = False
        case.consecutive_failures, case.consecutive_successes = (
            (0, case.consecutive_successes + 1) if well else (case.consecutive_failures + 1, 0)
        )

    def pop_due_verdicts(self, now: float) -> list[CacheVerdict]:
        """Tell what is to be published now: what changed, and what holds and would end."""
        terms = self.terms
        # One failure counts here: probes are spread over the interval, so when the first cache has failed
        # twice each other one has been asked since. Else a prober that is cut off would rule against the
        # first half of the caches before it begins to doubt itself. (So `fails` is 2 at least.)
        failing = sum(case.consecutive_failures > 0 for case in self.health_by_cache.values())
        doubt = failing > terms.most_bad * len(self.health_by_cache)
        out = []
        for cache, case in self.health_by_cache.items():
            if case.bad and case.consecutive_successes >= terms.passes:
                case.bad, case.published_at = False, None
                out.append(self._rule(cache, case))
            elif case.consecutive_failures >= terms.fails and (not case.bad or self._fades(case, now)):
                if doubt:
                    self.verdicts_withheld += 1
                    continue
                case.bad, case.published_at = True, now
                out.append(self._rule(cache, case))
            elif case.bad and not case.consecutive_failures and self._fades(case, now):
                case.published_at = now  # it passed some, not enough yet: the ruling holds
                out.append(self._rule(cache, case))
        return out

    def _fades(self, case: CacheHealth, now: float) -> bool:
        return case.published_at is None or now - case.published_at >= self.terms.republish_interval

    def _rule(self, cache: str, case: CacheHealth) -> CacheVerdict:
        self._number += 1
        return CacheVerdict(cache, case.bad, self._number, case.evidence_since)

    def record_publish_failure(self, ruling: CacheVerdict, now: float) -> None:
        """A ruling could not be published: it is tried again at the next look."""
        case = self.health_by_cache.get(ruling.cache)
        if case is None:
            return
        case.published_at = None
        if not ruling.bad and case.consecutive_failures < self.terms.fails:
            case.bad = True  # still held by all others; `pop_due_verdicts` takes it back once more
