"""Trails of pulls: what became of each relay of a pull, told when the pull ends wrongly. Without I/O."""

from cometseam.tracing.trail import Mode, Step, Told, Tracer

__all__ = ["Mode", "Step", "Told", "Tracer"]
