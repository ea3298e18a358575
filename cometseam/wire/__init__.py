"""The simulator's wire: `frames` reads and writes its records, `settings` its start message."""


class WireFormatError(ValueError):
    """The other side sent what the wire does not allow."""
