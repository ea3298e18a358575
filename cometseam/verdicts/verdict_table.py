"""What a front makes of the fleet's verdicts: fenced, ended by its own clock, told on. Without I/O.

A verdict carries its prober's token (the fence) and a number that counts that prober's rulings. One of an
older token, or of a lower number under the same token, is stale and is passed over: it can come late by a
slow watch, or from a prober that was paused. One that is not said again within `ttl` ends here whatever
the service does, so a front whose link to the service is cut goes by a verdict for `ttl` at most after it
last heard it. What a verdict may do is the module's to decide, with what the front saw itself before it;
the rules of sending are kept there and know nothing of verdicts.
"""

from dataclasses import dataclass

from cometseam.ownership import Fence

MAX_VERDICTS = 4096  # caches with a verdict; past that the one heard longest ago leaves


@dataclass(frozen=True, slots=True)
class VerdictUpdate:
    """One verdict as it is to be told: `ttl` (ms) it holds from now; 0: the cache is held good again."""

    cache: str
    bad: bool
    ttl: float
    age: float  # ms since the evidence began, as the prober said


@dataclass(slots=True)
class KnownVerdict:
    token: int
    number: int
    bad: bool
    received_at: float
    expires_at: float
    age: float


class VerdictTable:
    """The verdicts that this front knows, by cache; an entry leaves when it ends, or past `MOST`."""

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.fence = Fence()
        self.verdicts: dict[str, KnownVerdict] = {}
        self.stale_count = 0  # verdicts passed over
        self.expired_count = 0  # ended since nobody said them again

    def record_verdict(
        self, cache: str, token: int, number: int, bad: bool, age: float, now: float
    ) -> VerdictUpdate | None:
        """Take a verdict in; return what is to be told of it, or None where it is stale or says nothing new.

        `age` (ms) is how long before it was published its evidence began; it is bounded here, since it was
        measured by another's clock.
        """
        known = self.verdicts.get(cache)
        older = known is not None and (token, number) < (known.token, known.number)
        if not self.fence.admit("verdicts", token).passed or older:
            self.stale_count += 1
            return None
        if known is not None and (token, number) == (known.token, known.number):
            return None  # heard already (a read of the whole): it holds no longer for it
        self.verdicts.pop(cache, None)  # the one heard last stands last
        if len(self.verdicts) >= MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))
        age = min(max(age, 0.0), self.ttl)
        self.verdicts[cache] = KnownVerdict(token, number, bad, now, now + self.ttl, age)
        if not bad and (known is None or not known.bad):
            return None
        return VerdictUpdate(cache, bad, self.ttl if bad else 0.0, age)

    def expire(self, now: float) -> list[str]:
        """Drop what has ended; return the caches that were held bad until now."""
        expired = [cache for cache, verdict in self.verdicts.items() if verdict.expires_at <= now]
        bad = [cache for cache in expired if self.verdicts[cache].bad]
        for cache in expired:
            del self.verdicts[cache]
        self.expired_count += len(bad)
        return bad

    def bad_caches(self, now: float) -> dict[str, float]:
        """The caches held bad now, each with when (ms, by this clock) its evidence began."""
        return {
            cache: verdict.received_at - verdict.age
            for cache, verdict in self.verdicts.items()
            if verdict.bad and verdict.expires_at > now
        }
