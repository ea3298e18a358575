"""The terms by which a limit is divided among fronts, and the bounds that follow from them."""

from dataclasses import dataclass


class SharingTermsError(ValueError):
    """Terms under which `max_total_share` would not be a bound: one line naming the term and the reason."""


@dataclass(frozen=True, slots=True)
class SharingTerms:
    """Terms for dividing one limit; times in ms, shares as fractions of the whole limit (1.0).

    `expected_fronts`: fronts that share the limit; a front without a grant uses the floor,
    `1 / expected_fronts`.
    `grant_ttl`: how long a grant is valid from when the front sent the report that it answers. `refresh`: how
    often a front reports and the coordinator issues grants. `window`: over how long the limit counts (what
    was sent within it still counts against the limit). `drift`: the largest relative rate difference of two
    clocks, as a fraction of the elapsed time.
    """

    expected_fronts: int
    grant_ttl: float
    refresh: float
    window: float
    drift: float = 0.01

    def check(self) -> None:
        """Raise `SharingTermsError` for terms under which shares could not be moved safely, or at all."""
        if self.expected_fronts < 1:
            raise SharingTermsError(f"expected: {self.expected_fronts} fronts; at least 1 is required")
        if not 0.0 <= self.drift < 0.1:
            raise SharingTermsError(f"drift: {self.drift:g} is outside 0 to 0.1")
        if self.window < 0.0 or self.refresh <= 0.0:
            raise SharingTermsError(
                f"refresh: {self.refresh:g} ms must be above 0 and window: {self.window:g} ms 0 or more"
            )
        if self.grant_ttl < 3.0 * self.refresh:
            raise SharingTermsError(
                f"lasts: {self.grant_ttl:g} ms is less than three times refresh, {self.refresh:g} ms: "
                "a grant would expire whenever one report or answer is lost"
            )

    @property
    def floor(self) -> float:
        """The share of a front that has no valid grant."""
        return 1.0 / self.expected_fronts

    @property
    def front_grant_ttl(self) -> float:
        """How long (ms) a front uses a grant after sending the report: `grant_ttl` less the clock drift."""
        return self.grant_ttl * (1.0 - self.drift)

    @property
    def coordinator_grant_ttl(self) -> float:
        """How long (ms) the coordinator counts a grant after issuing it: `grant_ttl` plus the clock drift."""
        return self.grant_ttl * (1.0 + self.drift)

    @property
    def reduced_period(self) -> float:
        """How long (ms) after its grant expires a front keeps a share that was below the floor.

        The remainder up to the floor may have been granted to other fronts. Their grants were issued before
        this front's reports stopped, or with the floor reserved for it; after this period they have expired,
        and what was sent under them no longer counts.
        """
        return 2.0 * self.grant_ttl + self.window

    def max_total_share(self, fronts: int) -> float:
        """Return the upper bound (as a fraction of the limit) on what `fronts` fronts use together.

        It holds under any failure. With as many fronts as expected, or fewer, it is the limit itself. Each
        further front may use the floor although it was not reserved for it. A restarted front counts twice
        until the shares of its earlier process are over: `front_grant_ttl` + `reduced_period` + `window`
        after that process ended.
        """
        return max(1.0, fronts / self.expected_fronts)

    @property
    def below_floor_period(self) -> float:
        """The minimum time (ms, by any clock within the drift) for which a front stays below the floor after
        it sent a report that was granted less than the floor."""
        return (self.front_grant_ttl + self.reduced_period) * (1.0 - 2.0 * self.drift)
