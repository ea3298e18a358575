"""Simulated clients that send the greater part of a request and wait."""

from contextlib import suppress

import anyio

from cometseam.protocol.frames import MAX_FRAME_LENGTH, FrameType, write_frame
from cometseam.soak.clients import Target
from cometseam.soak.endpoints import CONNECTION_ERRORS

HALF_SENT_BYTES = 200_000  # of a request of the largest size
READ_SIZE = 65536


async def half_send(target: Target) -> None:
    """Send the greater part of a request, and read until the connection ends."""
    raw = write_frame(FrameType.PULL, 1, bytes(HALF_SENT_BYTES), MAX_FRAME_LENGTH - 5 - HALF_SENT_BYTES)
    with suppress(*CONNECTION_ERRORS):
        async with await anyio.connect_tcp(*target.address) as stream:
            await stream.send(raw)
            while True:
                await stream.receive(READ_SIZE)
