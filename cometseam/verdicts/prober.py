"""The prober's decisions: which cache to probe when, and what to rule on it. Without I/O.

The one front that holds the task `probe` asks each listed cache whether it works, once an interval, spread
over the interval; `fails` probes in a row that came to nothing make a ruling `bad`, `passes` in a row that
were answered take it back. A ruling `bad` is said again before it ends, for as long as it holds; one that is
not said again ends by itself at every front (`Board`), so a prober that dies leaves nothing behind.

Where more than `most_bad` of the caches seem bad at once it is rather this front's own link, or its zone,
that is cut: then nothing new is ruled bad, and what was is not renewed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Probing:
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
    def again(self) -> float:
        """How often (ms) a ruling that holds is said again: two may be lost before it ends."""
        return self.lasts / 3.0


@dataclass(frozen=True, slots=True)
class Ruling:
    """What is to be published of a cache: `number` counts this prober's rulings."""

    cache: str
    bad: bool
    number: int
    since: float  # ms, when the evidence began, by the prober's clock


@dataclass(slots=True)
class Case:
    """What is known of one cache."""

    due: float  # of the next probe
    out: bool = False
    failed: int = 0  # probes in a row
    passed: int = 0
    since: float = 0.0  # when the first of the failures in a row was sent
    bad: bool = False
    said_at: float | None = None  # when the ruling was last published


class Prober:
    """Probes and rulings of one front; it holds a case for each listed cache, and one that leaves goes."""

    def __init__(self, terms: Probing) -> None:
        self.terms = terms
        self.cases: dict[str, Case] = {}
        self.probes = 0
        self.doubted = 0  # times that a ruling was held back, since too many seemed bad at once
        self._number = 0

    def listed(self, caches: Iterable[str], now: float) -> None:
        """Take the list of caches in: new ones are probed within an interval, those that left are dropped."""
        wanted = set(caches)
        for cache in self.cases.keys() - wanted:
            del self.cases[cache]
        for cache in wanted - self.cases.keys():
            self.cases[cache] = Case(now + self._phase(cache))

    def _phase(self, cache: str) -> float:
        digest = blake2b(cache.encode(), digest_size=8).digest()
        return self.terms.interval * int.from_bytes(digest, "big") / 2.0**64

    def began(self, bad: dict[str, float], now: float) -> None:
        """This front has become the prober: it goes on with the rulings that hold (cache: since, ms).

        Else a bad cache would be good for all as soon as its prober changes, for as long as it takes the new
        one to find out; so a ruling that it found holds until its own probes take it back.
        """
        self._number = 0
        for cache in self.cases:  # anew: a probe that is out from an earlier time counts for nothing
            self.cases[cache] = Case(now + self._phase(cache), bad=cache in bad, since=bad.get(cache, now))
            self.cases[cache].failed = self.terms.fails if cache in bad else 0

    def due(self, now: float) -> list[str]:
        """Tell which caches to probe now; each is out until `ended`."""
        room = self.terms.most_out - sum(case.out for case in self.cases.values())
        ready = sorted((c.due, name) for name, c in self.cases.items() if not c.out and c.due <= now)
        for _, name in ready[: max(room, 0)]:
            case = self.cases[name]
            # The rhythm stays, whatever a probe takes; what was missed (a pause) is not made up for.
            case.due = max(case.due + self.terms.interval, now + 0.5 * self.terms.interval)
            case.out = True
            if not case.failed:
                case.since = now
            self.probes += 1
        return [name for _, name in ready[: max(room, 0)]]

    def next(self) -> float | None:
        """Tell when the next probe is due; None where none is."""
        return min((case.due for case in self.cases.values() if not case.out), default=None)

    def ended(self, cache: str, well: bool) -> None:
        """A probe has ended: answered in time, or not."""
        case = self.cases.get(cache)
        if case is None or not case.out:
            return  # it left the list meanwhile, or this front became the prober anew
        case.out = False
        case.failed, case.passed = (0, case.passed + 1) if well else (case.failed + 1, 0)

    def rulings(self, now: float) -> list[Ruling]:
        """Tell what is to be published now: what changed, and what holds and would end."""
        terms = self.terms
        # One failure counts here: probes are spread over the interval, so when the first cache has failed
        # twice each other one has been asked since. Else a prober that is cut off would rule against the
        # first half of the caches before it begins to doubt itself. (So `fails` is 2 at least.)
        failing = sum(case.failed > 0 for case in self.cases.values())
        doubt = failing > terms.most_bad * len(self.cases)
        out = []
        for cache, case in self.cases.items():
            if case.bad and case.passed >= terms.passes:
                case.bad, case.said_at = False, None
                out.append(self._rule(cache, case))
            elif case.failed >= terms.fails and (not case.bad or self._fades(case, now)):
                if doubt:
                    self.doubted += 1
                    continue
                case.bad, case.said_at = True, now
                out.append(self._rule(cache, case))
            elif case.bad and not case.failed and self._fades(case, now):
                case.said_at = now  # it passed some, not enough yet: the ruling holds
                out.append(self._rule(cache, case))
        return out

    def _fades(self, case: Case, now: float) -> bool:
        return case.said_at is None or now - case.said_at >= self.terms.again

    def _rule(self, cache: str, case: Case) -> Ruling:
        self._number += 1
        return Ruling(cache, case.bad, self._number, case.since)

    def unsaid(self, ruling: Ruling, now: float) -> None:
        """A ruling could not be published: it is tried again at the next look."""
        case = self.cases.get(ruling.cache)
        if case is None:
            return
        case.said_at = None
        if not ruling.bad and case.failed < self.terms.fails:
            case.bad = True  # still held by all others; `rulings` takes it back once more
