"""The client side of the coordination service (etcd's v3 API through `aetcd`): holding tasks, following keys,
a front's part in the fleet. Imported by `run` only where the operator's file names a service."""

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
