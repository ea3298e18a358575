"""Levels of reduced service: when the front does less, and what it leaves out. No I/O but in `snapshot`.

Public: `LevelStateMachine` (which level holds), `Signals` (what it goes by), `LoadShedder` (what the module
asks on each pull), `LevelPolicy` and its parts (what the operator's file sets). Everything is told the time
and given its chance.
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
