"""Trails of pulls: what became of each relay of a pull, told when the pull ends wrongly. Without I/O."""

from cometseam.tracing.tracer import FinishedTrace, TraceEvent, TraceMode, Tracer

__all__ = ["FinishedTrace", "TraceEvent", "TraceMode", "Tracer"]
