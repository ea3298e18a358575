"""Clients that send more than they should, against the real program: floods and incomplete requests."""

from contextlib import suppress
from random import Random

import anyio

from tests.drive import ENDS, Caller, FrontTestbed, client_request

FLOOD_REQUESTS = 100  # sent at once, though a connection carries 32
FLOOD_BODY_BYTES = (8000, 16000)
RECONNECT_S = 0.05


async def flood(testbed: FrontTestbed, number: int) -> None:
    """Send many whole requests at once, read what comes until the connection ends, and begin again."""
    random = Random(number)
    while True:
        with suppress(*ENDS, OSError):
            await _flood_once(testbed, (number << 32) + random.getrandbits(30), random)
        await anyio.sleep(RECONNECT_S)


async def _flood_once(testbed: FrontTestbed, first_id: int, random: Random) -> None:
    caller = await testbed.connect_client()
    raw = b"".join(
        client_request(stream, bytes(random.randint(*FLOOD_BODY_BYTES)), txn=f"{first_id + stream:016x}")
        for stream in range(1, FLOOD_REQUESTS + 1)
    )
    try:
        async with anyio.create_task_group() as sending:
            sending.start_soon(_send_all, caller, raw)
            while not await caller.ended():
                pass
            sending.cancel_scope.cancel()
    finally:
        await caller.stream.aclose()


async def _send_all(caller: Caller, raw: bytes) -> None:
    """Send as much as the connection takes before it ends."""
    with suppress(*ENDS):
        await caller.send(raw)


async def half_send(testbed: FrontTestbed, raw: bytes, closed_after: list[float]) -> None:
    """Send the greater part of a request, wait for the connection's end, and note how long that took."""
    caller, began_at = await testbed.connect_client(), anyio.current_time()
    try:
        await caller.send(raw)
        while not await caller.ended():
            pass
    except ENDS:
        pass
    closed_after.append(anyio.current_time() - began_at)
    await caller.stream.aclose()
