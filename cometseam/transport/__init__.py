"""TCP transport: the client listener, connections to clients and endpoints, timers, and the buffer pool.

A pull is a client's request; a relay is one attempt of it, sent to a cache, a parent or an origin.
"""
