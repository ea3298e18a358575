"""The platform's configuration, in a module of its own to avoid import cycles with the compiler."""

from dataclasses import dataclass

from cometseam.interface import Settings
from cometseam.settings import NameTables, NetworkSettings


@dataclass(frozen=True, slots=True)
class Platform:
    """The parts of the platform's configuration that the operator's file is checked against."""

    settings: Settings
    names: NameTables
    links: NetworkSettings
