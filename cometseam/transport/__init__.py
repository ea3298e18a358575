"""Sockets: the listener, connections of clients and to peers, the link to the change log, and buffers."""
