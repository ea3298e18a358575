"""The messages in the router's mailbox."""

from dataclasses import dataclass

from cometseam import interface as i
from cometseam.operator import CompiledConfig
from cometseam.protocol.frames import PullRequest
from cometseam.transport.attempt import AttemptEnded
from cometseam.transport.client import Client


@dataclass(slots=True)
class RequestReceived:
    """A client has sent a pull on `stream`; `received_at` is the earliest time it may have arrived."""

    client: Client
    stream: int
    request: PullRequest
    received_at: float


@dataclass(slots=True)
class ClientGone:
    """A client no longer waits for the answer on `stream`."""

    client: Client
    stream: int


@dataclass(slots=True)
class PullOverdue:
    """The grace period past a pull's deadline is over; the pull may have been answered meanwhile."""

    number: int


@dataclass(slots=True)
class PlansUpdated:
    """The operator's file has been reloaded."""

    compiled: CompiledConfig


@dataclass(slots=True)
class CacheHealthVerdict:
    """The fleet's health verdict on the cache named `cache`; see `interface.HealthVerdict`."""

    cache: str
    bad: bool
    ttl: float
    age: float


@dataclass(slots=True)
class CacheCapacityLease:
    """This front's share of a cache's slow-start budget, or with `for_relays` of its in-flight relays.

    See `interface.CapacityLease`.
    """

    cache: str
    share: float
    ttl: float
    for_relays: bool


FleetMessage = CacheHealthVerdict | CacheCapacityLease | i.ConcurrencyCap | i.RetryBudgetShare
Message = (
    RequestReceived
    | ClientGone
    | AttemptEnded
    | PullOverdue
    | i.TimerFired
    | i.LoopLagged
    | i.ShuttingDown
    | PlansUpdated
    | FleetMessage
)
