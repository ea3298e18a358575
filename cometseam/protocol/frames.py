"""Frames exchanged between clients and the front."""

import re
import struct
from dataclasses import dataclass
from enum import IntEnum

from cometseam.protocol import Body, BodyAllocator, ProtocolError, StoredBody
from cometseam.protocol.bodies import DiscardedBody, SmallBody

FRAME_HEAD = struct.Struct(">IBI")
COUNTED_HEAD_BYTES = 5  # bytes of the head that a frame's length field includes
MAX_FRAME_LENGTH = 262144
# A payload up to this size is gathered without a buffer of the pool: the fields of a usual pull fit in it.
MAX_SMALL_PAYLOAD_BYTES = 1024


class FrameType(IntEnum):
    """The type code of a frame."""

    PULL = 16
    ANSWER = 17
    HANG_UP = 18
    READY = 32
    READINESS = 33
    NO_MORE = 48


class AnswerCode(IntEnum):
    """The result code of an answer."""

    SERVED = 1
    SHED = 2
    ERRORED = 3


@dataclass(slots=True)
class Frame:
    """One frame; the payload is in `payload_buffer`, or in `payload` if it arrived in one piece."""

    type: int
    stream: int
    payload: bytes = b""
    payload_buffer: StoredBody | None = None
    is_discarded: bool = False  # the payload was not kept: there was no buffer for it

    def parse_fields(self) -> tuple[dict[str, str], int]:
        """Parse the fields; return them and the offset at which the body begins."""
        return read_fields(
            self.payload if self.payload_buffer is None else b"".join(self.payload_buffer.views())
        )

    def free(self) -> None:
        """Release the payload's buffer."""
        if self.payload_buffer is not None:
            self.payload_buffer.free()


class Decoder:
    """Splits a byte stream into frames.

    All input is consumed at once. A payload for which no buffer is left is discarded as it arrives, so a
    connection is read, and its frames end, however few buffers there are.
    """

    def __init__(self, allocate_body: BodyAllocator) -> None:
        self._allocate_body = allocate_body
        self._head = bytearray()
        self._body: Body | None = None
        self._missing_bytes = 0  # of the partly read payload
        self._is_discarding = False

    def feed(self, data: memoryview, frames: list[Frame]) -> int:
        """Append the frames that are completed by `data` to `frames`; raise ProtocolError if one is invalid.

        Returns:
            The number of bytes consumed: all of them.
        """
        offset = 0
        while offset < len(data):
            missing = FRAME_HEAD.size - len(self._head)
            if missing:
                self._head += data[offset : offset + missing]
                offset += min(missing, len(data) - offset)
                if len(self._head) < FRAME_HEAD.size:
                    break
            length, kind, stream = FRAME_HEAD.unpack(self._head)
            if not COUNTED_HEAD_BYTES <= length <= MAX_FRAME_LENGTH:
                raise ProtocolError(f"a frame of {length} bytes")
            size = length - COUNTED_HEAD_BYTES
            if self._body is None:
                if size <= len(data) - offset:
                    frames.append(Frame(kind, stream, bytes(data[offset : offset + size])))
                    offset += size
                    self._head.clear()
                    continue
                self._begin_body(size)
            offset += self._write_body(data[offset:])
            if not self._missing_bytes:
                frames.append(Frame(kind, stream, b"", self._body, self._is_discarding))
                self._head.clear()
                self._body, self._is_discarding = None, False
        return len(data)

    def _begin_body(self, size: int) -> None:
        self._missing_bytes = size
        self._body = SmallBody(size) if size <= MAX_SMALL_PAYLOAD_BYTES else self._allocate_body(size)
        if self._body is None:
            self.discard_partial_frame()

    def _write_body(self, data: memoryview) -> int:
        """Store the part of `data` that belongs to the payload; return how many bytes that was."""
        assert self._body is not None
        wanted = min(self._missing_bytes, len(data))
        written = self._body.write(data)
        self._missing_bytes -= written
        if written < wanted:  # no buffer is left
            self.discard_partial_frame()
            self._missing_bytes -= self._body.write(data[written:])
        return wanted

    def discard_partial_frame(self) -> None:
        """Release what is stored of a partly read frame; the rest of it is discarded as it arrives."""
        if self._body is not None:
            self._body.free()
        self._body, self._is_discarding = DiscardedBody(self._missing_bytes), True

    @property
    def has_partial_frame(self) -> bool:
        """Return whether a frame has been read in part."""
        return bool(self._head)

    @property
    def holds_buffers(self) -> bool:
        """Return whether a partly read frame holds buffers of the pool."""
        return self._body is not None and not isinstance(self._body, (DiscardedBody, SmallBody))

    def close(self) -> None:
        """Release the buffer of a partly read frame."""
        if self._body is not None:
            self._body.free()
            self._body = None


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """Parse length-prefixed fields; return them and the offset at which they end."""
    fields: dict[str, str] = {}
    try:
        offset = 1
        for _ in range(payload[0]):
            end = offset + 1 + payload[offset]
            name = payload[offset + 1 : end].decode()
            size = payload[end] << 8 | payload[end + 1]
            offset = end + 2 + size
            if offset > len(payload):
                raise ProtocolError("fields: the payload ends inside them")
            if name in fields:
                raise ProtocolError("fields: one comes twice")
            fields[name] = payload[end + 2 : offset].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise ProtocolError(f"fields: {error}") from error
    return fields, offset


def write_fields(fields: dict[str, str]) -> bytes:
    """Encode fields, each with its length."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name, raw = name.encode(), value.encode()
        parts.append(bytes((len(raw_name),)) + raw_name + struct.pack(">H", len(raw)) + raw)
    return b"".join(parts)


def write_frame(kind: FrameType, stream: int, payload: bytes = b"", remaining: int = 0) -> bytes:
    """Encode a frame, or the beginning of one whose payload continues for `remaining` bytes."""
    return FRAME_HEAD.pack(COUNTED_HEAD_BYTES + len(payload) + remaining, kind, stream) + payload


def write_answer(stream: int, code: AnswerCode, fields: dict[str, str], remaining: int = 0) -> bytes:
    """Encode an answer up to its body, which has `remaining` bytes."""
    return write_frame(FrameType.ANSWER, stream, bytes((code,)) + write_fields(fields), remaining)


@dataclass(slots=True)
class PullRequest:
    """A client's request, as decoded from a pull frame; `time_left` is in ms."""

    id: str
    workload: str
    time_left: float
    object: str
    part: int
    group: int
    size_kb: float
    held_tag: str  # tag of the copy that the client holds; empty if it has none
    frame: Frame
    body_offset: int
    idempotency_key: str = ""  # lets caches recognise a repeated request; forwarded unchanged, may be empty

    def body(self) -> list[memoryview]:
        """Return the request body, in pieces."""
        if self.frame.payload_buffer is not None:
            return self.frame.payload_buffer.views(self.body_offset)
        return [memoryview(self.frame.payload)[self.body_offset :]]


MAX_TIME_LEFT_MS = 3600000.0
HEX_DIGITS = frozenset("0123456789abcdef")
# ASCII digits only; `float` would also accept the digits of other scripts.
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
# Printable ASCII without `,` and `=`, which separate the fields of a command to a cache.
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[!-+\--<>-~]{0,128}")
INTEGER_PATTERN = re.compile(r"[0-9]{1,12}")


def read_pull_request(frame: Frame) -> PullRequest:
    """Decode a pull frame; raise ProtocolError naming the field if one is missing or invalid."""
    fields, body_offset = frame.parse_fields()

    def number(name: str, minimum: float, maximum: float, pattern: re.Pattern[str] = NUMBER_PATTERN) -> float:
        text = fields.get(name, "")
        if not pattern.fullmatch(text):
            raise ProtocolError(f"{name}: missing or not a number of its kind")
        value = float(text)
        if not minimum <= value <= maximum:
            raise ProtocolError(f"{name}: out of range")
        return value

    def integer(name: str, maximum: int) -> int:
        return int(number(name, 0, maximum, INTEGER_PATTERN))

    def hex_id(name: str) -> str:
        value = fields.get(name, "")
        if len(value) != 16 or not HEX_DIGITS.issuperset(value):
            raise ProtocolError(f"{name}: missing or not 16 hex digits")
        return value

    def read_idempotency_key() -> str:
        value = fields.get("unique", "")
        if not IDEMPOTENCY_KEY_PATTERN.fullmatch(value):  # it is forwarded as one field of a command
            raise ProtocolError("unique: not a mark that can be passed on")
        return value

    return PullRequest(
        id=hex_id("txn"),
        workload=fields.get("verb", ""),
        time_left=number("limit", 1, MAX_TIME_LEFT_MS),
        object=hex_id("item"),
        part=integer("nth", 65535),
        group=integer("batch", 255),
        size_kb=number("ram", 0, 1e9),
        held_tag=hex_id("got") if "got" in fields else "",
        frame=frame,
        body_offset=body_offset,
        idempotency_key=read_idempotency_key(),
    )


def write_served(stream: int, is_not_modified: bool, remaining: int) -> bytes:
    """Encode the answer to a served pull up to its body, which has `remaining` bytes."""
    return write_answer(stream, AnswerCode.SERVED, {"ok304": "1"} if is_not_modified else {}, remaining)


def write_shed(stream: int, retry_after: float) -> bytes:
    """Encode the answer to a shed pull; `retry_after` in ms is omitted if it is 0."""
    return write_answer(
        stream, AnswerCode.SHED, {"later": str(round(retry_after))} if retry_after > 0 else {}
    )


def write_errored(stream: int, reason: str = "") -> bytes:
    """Encode the answer to a failed pull; on stream 0 it belongs to no pull."""
    return write_answer(stream, AnswerCode.ERRORED, {"reason": reason[:200]} if reason else {})


def write_readiness(stream: int, is_ready: bool) -> bytes:
    """Encode the reply to a readiness check: whether the front can serve."""
    return write_frame(FrameType.READINESS, stream, bytes((1 if is_ready else 2,)) + write_fields({}))
