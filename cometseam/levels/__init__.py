"""Load shedding by service levels: when the front reduces its service, and what it leaves out.

A pull is a client's request; a relay is one attempt of it. Only `snapshot` does I/O. Public:
`LevelStateMachine` (the level in force), `Signals` (the signal values it depends on), `LoadShedder` (asked by
the decision module about each pull), and `LevelPolicy` with its parts (what the operator's file sets).
Callers pass in the time and the random number generator.
"""

from cometseam.levels.conditions import CompoundCondition, ThresholdCondition, TruthValue
from cometseam.levels.machine import LevelChange, LevelStateMachine
from cometseam.levels.policy import Level, LevelActions, LevelPolicy, ShedShare
from cometseam.levels.shedding import LoadShedder
from cometseam.levels.signals import Signals, SignalValues, UtilizationSample

__all__ = [
    "CompoundCondition",
    "Level",
    "LevelActions",
    "LevelChange",
    "LevelPolicy",
    "LevelStateMachine",
    "LoadShedder",
    "ShedShare",
    "SignalValues",
    "Signals",
    "ThresholdCondition",
    "TruthValue",
    "UtilizationSample",
]
