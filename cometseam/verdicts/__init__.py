"""Fleet-wide verdicts on the health of caches: when to probe, what to publish, when it expires. No I/O."""

from cometseam.verdicts.prober import CacheVerdict, Prober, ProbeTerms
from cometseam.verdicts.verdict_table import VerdictTable, VerdictUpdate

__all__ = ["CacheVerdict", "ProbeTerms", "Prober", "VerdictTable", "VerdictUpdate"]
