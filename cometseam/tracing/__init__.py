"""Traces of pulls: what happened to each relay, reported when the pull ends abnormally. No I/O.

A pull is a client's request; a relay is one attempt of it.
"""

from cometseam.tracing.tracer import FinishedTrace, TraceEvent, TraceMode, Tracer

__all__ = ["FinishedTrace", "TraceEvent", "TraceMode", "Tracer"]
