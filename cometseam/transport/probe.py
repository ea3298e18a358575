"""Asks a cache whether it works: a connection, one question by the protocol, its answer, within a time."""

import anyio

from cometseam.protocol import ProtocolError
from cometseam.protocol.resp import HELLO_REPLY, Answer, Decoder, DiscardedBody, write_hello


async def probe(address: tuple[str, int], timeout_ms: float) -> bool:
    """Return whether the cache at `address` said within `within` ms that it works.

    A cache that takes the connection and says nothing does not work; nor does one that answers anything else
    than that it is alive. Cancelled, the connection is closed and nothing is left.
    """
    answers: list[Answer] = []
    decoder = Decoder(lambda size: DiscardedBody(size))
    with anyio.move_on_after(timeout_ms / 1000.0):
        try:
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(write_hello("probe"))
                while not answers:
                    decoder.feed(memoryview(await stream.receive(4096)), answers)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, ProtocolError):
            return False
    return bool(answers) and answers[0].word == HELLO_REPLY
