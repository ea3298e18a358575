"""Verdicts on caches that hold for the whole fleet, without I/O. The public door of the package."""

from cometseam.verdicts.prober import CacheVerdict, Prober, ProbeTerms
from cometseam.verdicts.verdict_table import VerdictTable, VerdictUpdate

__all__ = ["CacheVerdict", "ProbeTerms", "Prober", "VerdictTable", "VerdictUpdate"]
