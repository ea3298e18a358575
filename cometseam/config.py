"""Reads and checks the configuration and applies its defaults."""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cometseam.interface import Settings
from cometseam.json_section import FieldError, Section
from cometseam.protocol.discovery_events import DiscoveryEvent, UnusableEvent, read_address, read_events
from cometseam.settings import (
    NameTables,
    NetworkSettings,
    read_name_tables,
    read_network_settings,
    read_settings,
)

CONFIG_VARIABLE = "ROUTER_CONFIG"
LOG_VARIABLE = "COMETSEAM_LOG"
LOG_FORMAT_VARIABLE = "COMETSEAM_LOG_FORMAT"
TRACE_VARIABLE = "COMETSEAM_TRACE"  # which pulls' traces are logged: off, wrong or all
OPERATOR_VARIABLE = "COMETSEAM_OPERATOR"
LOG_FORMATS = {"text": "text", "json": "json"}
LOG_LEVELS = {level: level for level in ("DEBUG", "INFO", "WARNING", "ERROR")}
TRACE_MODES = {mode: mode for mode in ("off", "wrong", "all")}
# Clients hold at most a third of the sockets; half leaves room for those that only keep connections open.
CLIENT_SOCKETS_DIVISOR = 2
PEER_SOCKETS_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of a front."""

    name: str
    listen: tuple[str, int]
    seed: int
    memory_limit: int  # bytes that the process may use
    max_clients: int  # client connections
    max_peers: int  # connections to peers
    discovery_address: tuple[str, int]
    last_seq: int
    initial_events: tuple[DiscoveryEvent, ...]
    settings: Settings
    names: NameTables
    links: NetworkSettings
    log_level: str
    log_format: str
    trace_mode: str  # which pulls' traces are logged: off, wrong or all
    operator_file: Path | None
    # The settings as given, against which the operator's file is checked.
    raw_settings: dict[str, Any]

    def needs_restart(self, new: "Config") -> list[str]:
        """Return the keys that differ in a new configuration and take effect only at a restart."""
        keys = ("name", "listen", "seed", "settings", "names", "links")
        changed = [key for key in keys if getattr(self, key) != getattr(new, key)]
        return list(dict.fromkeys("settings" if key in ("names", "links") else key for key in changed))


def read_config() -> Config:
    """Read the file named by the environment; raise FieldError naming the key if something is invalid."""
    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        raise FieldError(f"{CONFIG_VARIABLE}: not set; it must name the configuration file")
    try:
        with open(path, "rb") as file:
            raw = json.loads(file.read())
    except OSError as error:
        raise FieldError(f"{CONFIG_VARIABLE}: {path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise FieldError(f"{CONFIG_VARIABLE}: {path}: not JSON: {error}") from error
    return decode(Section(raw), Section(dict(os.environ)))


def decode(top: Section, environment: Section) -> Config:
    """Check and decode the configuration and the environment variables."""
    limits, initial_list, settings = top.section("limits"), top.section("known"), top.section("settings")
    seed = top.text("seed")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise FieldError(f"seed: hex digits were expected, not {seed[:40]!r}") from None
    sockets = limits.integer("sockets", 1024, minimum=32)
    memory = limits.number("memory_mb", 192.0, minimum=24) * (1 << 20)
    names = read_name_tables(settings)
    events = read_events(initial_list, names)
    for event in events:
        if isinstance(event, UnusableEvent):
            raise FieldError(event.reason)
    return Config(
        name=top.text("name"),
        listen=read_address(top, "listen"),
        seed=seed_number,
        memory_limit=int(memory),
        max_clients=sockets // CLIENT_SOCKETS_DIVISOR,
        max_peers=sockets // PEER_SOCKETS_DIVISOR,
        discovery_address=read_address(top, "changelog"),
        last_seq=initial_list.integer("seq", minimum=0),
        initial_events=tuple(events),
        settings=read_settings(settings),
        names=names,
        links=read_network_settings(settings),
        log_level=environment.one_of(LOG_VARIABLE, LOG_LEVELS, "INFO"),
        log_format=environment.one_of(LOG_FORMAT_VARIABLE, LOG_FORMATS, "text"),
        trace_mode=environment.one_of(TRACE_VARIABLE, TRACE_MODES, "off"),
        operator_file=Path(path) if (path := environment.text(OPERATOR_VARIABLE, "")) else None,
        raw_settings=settings.values,
    )
