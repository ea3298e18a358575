"""The simulator's protocol: the specification's example batch decodes, and malformed input gets no reply."""

import io
import struct

import pytest

from cometseam.interface import ClientDisconnected, Pull, Shed, StartTimer, TimerFired
from cometseam.wire import WireFormatError
from cometseam.wire.frames import read_frame, read_records, write_action, write_reply
from cometseam.wirehost import serve

BATCH = bytes.fromhex(
    "57000000 00000000206ec040 1b020000000300"
    "122a000000 c4913a5d001e0b00 00000000 00004040 640ad2557c3bf091 00 0000000000006e40 01 00002044 00003041"
    "16080000004d00000000000000 1b020000000500 1508000000192b6f0eeb290b00"
)


def test_batch_is_decoded_and_reply_encoded() -> None:
    frame = read_frame(io.BytesIO(BATCH))
    assert frame is not None and frame[0] == 8412.25
    assert list(read_records(frame[1])) == [
        (3, Pull(0xB1E005D3A91C4, 0x91F03B7C55D20A64, 3, 0, 240.0, False, 640.0, 11)),
        (3, TimerFired(0x4D)),
        (5, ClientDisconnected(0xB29EB0E6F2B19)),
    ]
    records = [(3, write_action(StartTimer(0x4D, 500.0))), (5, write_action(Shed(0xB29EB0E6F2B19, 250.0)))]
    assert write_reply(records).hex() == (
        "3800000004000000" + "19020000000300" + "14100000004d000000000000000000000000407f40"
        "19020000000500" + "1a10000000192b6f0eeb290b000000000000406f40"
    )


@pytest.mark.parametrize(
    "raw",
    [
        BATCH[:5],
        BATCH[:40],
        struct.pack("<Id", 3, 1.0) + b"\x1b\x02\x00",
        struct.pack("<Id", 7, float("nan")) + b"\x1b\x02\x00\x00\x00\x00\x00",
        struct.pack("<Id", 6, 1.0) + b"\x1b\x01\x00\x00\x00\x00",
        struct.pack("<Id", 8, 1.0) + b"\x1b\x03\x00\x00\x00\x00\x00\x00",
        struct.pack("<Id", 13, 1.0) + b"\x16\x08\x00\x00\x00" + bytes(8),
        struct.pack("<Id", 26, 1.0) + b"\x1b\x02\x00\x00\x00\x00\x00" + b"\x10\x0e\x00\x00\x00" + bytes(8)
        + struct.pack("<I", 2) + b"{]",
    ],
    ids=["header", "short", "record", "clock", "short-field", "over-long", "nobody", "settings"],
)  # fmt: skip
def test_malformed_input_raises_and_gets_no_reply(raw: bytes) -> None:
    sink = io.BytesIO()
    with pytest.raises(WireFormatError):
        serve(io.BytesIO(raw), sink)
    assert sink.getvalue() == b""
