"""What sharing a limit out goes by, with the bounds that follow from it."""

from dataclasses import dataclass


class SharingTermsError(ValueError):
    """Terms under which the stated bound would not hold: one line naming the term and the reason."""


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """Terms of sharing out; times in ms, shares as parts of the whole limit (1.0).

    `expected_fronts`: fronts that share the limit; a front without a grant goes by the floor,
    `1 / expected_fronts`.
    `grant_ttl`: how long a grant holds from when the front sent the ask that it answers. `refresh`: how often
    a front asks and the coordinator shares out. `window`: over how long the limit counts (what was sent in it
    still weighs). `drift`: the most that two clocks may run apart, as a part of the time passed.
    """

    expected_fronts: int
    grant_ttl: float
    refresh: float
    window: float
    drift: float = 0.01

    def check(self) -> None:
        """Refuse terms by which shares could not be moved safely, or never would be."""
        if self.expected_fronts < 1:
            raise SharingTermsError(f"expected: {self.expected_fronts} fronts can't share anything")
        if not 0.0 <= self.drift < 0.1:
            raise SharingTermsError(f"drift: {self.drift:g} is outside 0 to 0.1")
        if self.window < 0.0 or self.refresh <= 0.0:
            raise SharingTermsError(
                f"refresh: {self.refresh:g} ms and window: {self.window:g} ms can't be below 0"
            )
        if self.grant_ttl < 3.0 * self.refresh:
            raise SharingTermsError(
                f"lasts: {self.grant_ttl:g} ms is less than three times refresh, {self.refresh:g} ms: "
                "a grant would end whenever one ask or answer is lost"
            )

    @property
    def floor(self) -> float:
        """The share of a front that holds no grant."""
        return 1.0 / self.expected_fronts

    @property
    def front_grant_ttl(self) -> float:
        """How long (ms) a front goes by a grant from when it sent the ask: shorter by what clocks drift."""
        return self.grant_ttl * (1.0 - self.drift)

    @property
    def coordinator_grant_ttl(self) -> float:
        """How long (ms) the coordinator counts a grant from when it wrote it: longer by what clocks drift."""
        return self.grant_ttl * (1.0 + self.drift)

    @property
    def reduced_period(self) -> float:
        """How long (ms) past its grant's end a front that held less than the floor goes on with that.

        The others may have been lent the rest. Their grants were written before this front fell silent, or
        with the floor kept free for it; by then they have ended, and what was sent by them counts no more.
        """
        return 2.0 * self.grant_ttl + self.window

    def max_total_share(self, fronts: int) -> float:
        """The most (as a part of the limit) that `fronts` fronts hold together, whatever fails: the bound.

        With as many fronts as expected, or fewer, it is the limit itself. Each front more may come to the
        floor without anybody having kept it free. A front that was restarted counts twice until what its
        process before held is over: `front_grant_ttl` + `reduced_period` + `window` after that died.
        """
        return max(1.0, fronts / self.expected_fronts)

    @property
    def below_floor_period(self) -> float:
        """How long (ms, by any clock within the drift) a front surely keeps off the floor after it sent an
        ask that was granted less than that."""
        return (self.front_grant_ttl + self.reduced_period) * (1.0 - 2.0 * self.drift)
