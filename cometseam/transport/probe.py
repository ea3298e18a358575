"""Active health check of a cache: connects, sends one hello command (`HELO`) and waits for the reply."""

import anyio

from cometseam.protocol import ProtocolError
from cometseam.protocol.bodies import DiscardedBody
from cometseam.protocol.resp import HELLO_REPLY, Answer, Decoder, write_hello


async def probe(address: tuple[str, int], timeout_ms: float) -> bool:
    """Return whether the cache at `address` replied to a hello within `timeout_ms` ms.

    A cache that can't be reached, accepts the connection and stays silent, or sends any other answer fails.
    If the probe is cancelled, its connection is closed.
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
