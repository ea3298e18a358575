"""What the router's mailbox holds."""

from dataclasses import dataclass

from cometseam import interface as i
from cometseam.operator import CompiledConfig
from cometseam.protocol.frames import PullRequest
from cometseam.transport.attempt import AttemptEnded
from cometseam.transport.client import Client


@dataclass(slots=True)
class RequestReceived:
    """A pull has come in."""

    client: Client
    stream: int
    request: PullRequest
    received_at: float


@dataclass(slots=True)
class ClientGone:
    """A client no longer waits for a stream."""

    client: Client
    stream: int


@dataclass(slots=True)
class PlansUpdated:
    """The operator's file has changed."""

    compiled: CompiledConfig


@dataclass(slots=True)
class CacheHealthVerdict:
    """The fleet's verdict on a cache, by name; see `interface.HealthVerdict`."""

    cache: str
    bad: bool
    ttl: float
    age: float


@dataclass(slots=True)
class CacheCapacityLease:
    """This front's part of what a cold cache bears, or of relays out there; see `interface.CapacityLease`."""

    cache: str
    share: float
    ttl: float
    for_relays: bool


FleetMessage = CacheHealthVerdict | CacheCapacityLease | i.ConcurrencyCap | i.RetryBudgetShare
Message = (
    RequestReceived
    | ClientGone
    | AttemptEnded
    | i.TimerFired
    | i.LoopLagged
    | i.ShuttingDown
    | PlansUpdated
    | FleetMessage
)
