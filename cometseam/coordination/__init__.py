"""The client of the coordination service (etcd's v3 API through `aetcd`): owning tasks, watching keys, and a
front's membership in the fleet. `run` imports it only where the operator's file names a service.

A pull is a client's request, and a relay is one attempt of it.
"""

from cometseam.coordination.election import ServiceAddress, TaskHolder, boot_time, connect, owner_key
from cometseam.coordination.key_watcher import KeyRangeWatcher
from cometseam.coordination.task_owners import TaskOwners

__all__ = [
    "KeyRangeWatcher",
    "ServiceAddress",
    "TaskHolder",
    "TaskOwners",
    "boot_time",
    "connect",
    "owner_key",
]
