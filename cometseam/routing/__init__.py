"""The actor around the decision module: turns messages into events, and the actions it returns into messages.

A pull is a client's request; a relay is one attempt of it.
"""
