"""What the platform's configuration settles, apart from the compiler, so that its parts can name it."""

from dataclasses import dataclass

from cometseam.interface import Settings
from cometseam.settings import NameTables, NetworkSettings


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform's configuration settles, and the file is checked against."""

    settings: Settings
    names: NameTables
    links: NetworkSettings
