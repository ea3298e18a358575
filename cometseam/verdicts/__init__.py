"""Verdicts on caches that hold for the whole fleet, without I/O. The public door of the package."""

from cometseam.verdicts.board import Board, Heard
from cometseam.verdicts.prober import Prober, Probing, Ruling

__all__ = ["Board", "Heard", "Prober", "Probing", "Ruling"]
