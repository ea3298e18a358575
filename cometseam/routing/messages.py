"""What the router's mailbox holds."""

from dataclasses import dataclass

from cometseam import interface as i
from cometseam.operator import Compiled
from cometseam.protocol.frames import Order
from cometseam.transport.attempt import End
from cometseam.transport.client import Client


@dataclass(slots=True)
class RequestReceived:
    """A pull has come in."""

    client: Client
    stream: int
    order: Order
    at: float


@dataclass(slots=True)
class ClientGone:
    """A client no longer waits for a stream."""

    client: Client
    stream: int


@dataclass(slots=True)
class Replan:
    """The operator's file has changed."""

    compiled: Compiled


@dataclass(slots=True)
class Judge:
    """The fleet's verdict on a cache, by name; see `interface.Judged`."""

    cache: str
    bad: bool
    rest: float
    age: float


@dataclass(slots=True)
class Grant:
    """This front's part of what a cold cache bears, or of relays out there; see `interface.Granted`."""

    cache: str
    part: float
    lasts: float
    relays: bool


Fleet = Judge | Grant | i.Capped | i.Allotted
Message = RequestReceived | ClientGone | End | i.Rang | i.Lagged | i.Closing | Replan | Fleet
