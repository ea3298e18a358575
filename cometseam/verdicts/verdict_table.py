"""A front's copy of the fleet's verdicts: fenced, and expired by the front's own clock. Without I/O.

A verdict carries its prober's fencing token and a number that counts that prober's verdicts. One of an
older token, or of a lower number under the same token, is stale and is ignored: it can arrive late by a slow
watch, or from a prober that was paused. One that is not republished within `ttl` expires here whatever the
service does, so a front cut off from the service applies a verdict for at most `ttl` after it last received
it. What a verdict changes is up to the routing module, which weighs it against what the front observed
itself; the rules of sending do not depend on verdicts.
"""

from dataclasses import dataclass

from cometseam.ownership import Fence

MAX_VERDICTS = 4096  # caches with a verdict; beyond that the one received longest ago is dropped


@dataclass(frozen=True, slots=True)
class VerdictUpdate:
    """A change to apply: `ttl` (ms) from now for which the verdict applies; 0: the cache is good again."""

    cache: str
    bad: bool
    ttl: float
    age: float  # ms since the evidence began, as the prober reported


@dataclass(slots=True)
class KnownVerdict:
    token: int
    number: int
    bad: bool
    received_at: float
    expires_at: float
    age: float


class VerdictTable:
    """The verdicts that this front knows, by cache; one is dropped on expiry, or beyond `MAX_VERDICTS`."""

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.fence = Fence()
        self.verdicts: dict[str, KnownVerdict] = {}
        self.stale_count = 0  # verdicts ignored as stale
        self.expired_count = 0  # verdicts that expired because they were not republished

    def record_verdict(
        self, cache: str, token: int, number: int, bad: bool, age: float, now: float
    ) -> VerdictUpdate | None:
        """Record a verdict; return the change it makes, or None where it is stale or changes nothing.

        `age` (ms) is how long before its publication the evidence began; it is bounded here, since another
        front's clock measured it.
        """
        known = self.verdicts.get(cache)
        older = known is not None and (token, number) < (known.token, known.number)
        if not self.fence.admit("verdicts", token).passed or older:
            self.stale_count += 1
            return None
        if known is not None and (token, number) == (known.token, known.number):
            return None  # received already (by a read of the whole range): that does not extend it
        self.verdicts.pop(cache, None)  # keeps the table in the order of receipt
        if len(self.verdicts) >= MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))
        age = min(max(age, 0.0), self.ttl)
        self.verdicts[cache] = KnownVerdict(token, number, bad, now, now + self.ttl, age)
        if not bad and (known is None or not known.bad):
            return None
        return VerdictUpdate(cache, bad, self.ttl if bad else 0.0, age)

    def expire(self, now: float) -> list[str]:
        """Drop expired verdicts; return the caches whose `bad` verdict expired."""
        expired = [cache for cache, verdict in self.verdicts.items() if verdict.expires_at <= now]
        bad = [cache for cache in expired if self.verdicts[cache].bad]
        for cache in expired:
            del self.verdicts[cache]
        self.expired_count += len(bad)
        return bad

    def bad_caches(self, now: float) -> dict[str, float]:
        """Return the caches with a `bad` verdict, each with when (ms, by this clock) its evidence began."""
        return {
            cache: verdict.received_at - verdict.age
            for cache, verdict in self.verdicts.items()
            if verdict.bad and verdict.expires_at > now
        }
