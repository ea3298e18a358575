"""The client side of the coordination service (etcd's v3 API through `aetcd`): holding tasks. Not imported by
`run`."""

from cometseam.coordination.elect import Holder, Place, connect, key_of

__all__ = ["Holder", "Place", "connect", "key_of"]
