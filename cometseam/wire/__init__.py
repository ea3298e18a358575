"""The simulator's binary protocol on standard input and output: `frames` reads and writes its records.

A pull is a client's request; a relay is one attempt of it.
"""


class WireFormatError(ValueError):
    """The simulator sent something that the protocol does not allow."""
