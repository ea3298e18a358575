"""The one place where the configuration is read, checked and given defaults."""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cometseam.interface import Settings
from cometseam.protocol.changelog import Change, Unusable, read_address, read_changes
from cometseam.reading import Faulty, Section
from cometseam.settings import Links, Names, read_links, read_names, read_settings

VARIABLE, LOG_VARIABLE, FORM_VARIABLE = "ROUTER_CONFIG", "COMETSEAM_LOG", "COMETSEAM_LOG_FORMAT"
TRACE_VARIABLE = "COMETSEAM_TRACE"  # off, wrong or all: which pulls' trails are logged
OPERATOR_VARIABLE = "COMETSEAM_OPERATOR"
LOG_FORMS = {"text": "text", "json": "json"}
LOG_LEVELS = {level: level for level in ("DEBUG", "INFO", "WARNING", "ERROR")}
TRACES = {mode: mode for mode in ("off", "wrong", "all")}
# Clients hold a third of the descriptors at most: half leaves place for those that only hold connections.
CLIENTS_PART, PEERS_PART = 2, 3


@dataclass(frozen=True, slots=True)
class Config:
    """What the program is told."""

    name: str
    listen: tuple[str, int]
    seed: int
    memory: int  # bytes that the process may take
    clients: int  # connections of clients at most
    peers: int  # connections to peers at most
    changelog: tuple[str, int]
    last: int
    known: tuple[Change, ...]
    settings: Settings
    names: Names
    links: Links
    log_level: str
    log_form: str
    trace: str  # which pulls' trails are logged: off, wrong, all
    operator: Path | None  # the operator's file
    told: dict[str, Any]  # the settings as they were given: what the operator's file is checked against

    def needs_restart(self, new: "Config") -> list[str]:
        """Tell the keys in which a new configuration differs and that are read at the start only."""
        keys = ("name", "listen", "seed", "settings", "names", "links")
        changed = [key for key in keys if getattr(self, key) != getattr(new, key)]
        return list(dict.fromkeys("settings" if key in ("names", "links") else key for key in changed))


def read_config() -> Config:
    """Read the file that the environment names; what is wrong is `Faulty`, and its text names the key."""
    path = os.environ.get(VARIABLE, "")
    if not path:
        raise Faulty(f"{VARIABLE}: not set; it names the configuration's file")
    try:
        with open(path, "rb") as file:
            raw = json.loads(file.read())
    except OSError as error:
        raise Faulty(f"{VARIABLE}: {path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise Faulty(f"{VARIABLE}: {path}: not JSON: {error}") from error
    return decode(Section(raw), Section(dict(os.environ)))


def decode(top: Section, environment: Section) -> Config:
    """Check and decode the configuration."""
    limits, known, settings = top.section("limits"), top.section("known"), top.section("settings")
    seed = top.text("seed")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise Faulty(f"seed: hex digits were expected, not {seed[:40]!r}") from None
    sockets = limits.whole("sockets", 1024, low=32)
    memory = limits.number("memory_mb", 192.0, low=24) * (1 << 20)
    names = read_names(settings)
    changes = read_changes(known, names)
    for change in changes:
        if isinstance(change, Unusable):
            raise Faulty(change.why)
    return Config(
        name=top.text("name"),
        listen=read_address(top, "listen"),
        seed=seed_number,
        memory=int(memory),
        clients=sockets // CLIENTS_PART,
        peers=sockets // PEERS_PART,
        changelog=read_address(top, "changelog"),
        last=known.whole("seq", low=0),
        known=tuple(changes),
        settings=read_settings(settings),
        names=names,
        links=read_links(settings),
        log_level=environment.one_of(LOG_VARIABLE, LOG_LEVELS, "INFO"),
        log_form=environment.one_of(FORM_VARIABLE, LOG_FORMS, "text"),
        trace=environment.one_of(TRACE_VARIABLE, TRACES, "off"),
        operator=Path(path) if (path := environment.text(OPERATOR_VARIABLE, "")) else None,
        told=settings.values,
    )
