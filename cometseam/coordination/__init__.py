"""The client side of the coordination service (etcd's v3 API through `aetcd`): holding tasks, following keys,
a front's part in the fleet. Imported by `run` only where the operator's file names a service."""

from cometseam.coordination.crew import Crew
from cometseam.coordination.elect import Holder, Place, boot_time, connect, key_of
from cometseam.coordination.follow import Follower

__all__ = ["Crew", "Follower", "Holder", "Place", "boot_time", "connect", "key_of"]
