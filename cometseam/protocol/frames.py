"""Frames between clients and the front."""

import re
import struct
from dataclasses import dataclass
from enum import IntEnum

from cometseam.protocol import Body, BodyAllocator, ProtocolError

FRAME_HEAD = struct.Struct(">IBI")
COUNTED_HEAD_BYTES = 5  # bytes of the head that a frame's length counts
MAX_FRAME_LENGTH = 262144


class FrameType(IntEnum):
    """What a frame is."""

    PULL = 16
    ANSWER = 17
    HANG_UP = 18
    READY = 32
    READINESS = 33
    NO_MORE = 48


class AnswerCode(IntEnum):
    """What an answer tells."""

    SERVED = 1
    SHED = 2
    ERRORED = 3


@dataclass(slots=True)
class Frame:
    """One frame; its payload lies in `payload_buffer`, or is small and came in one piece."""

    type: int
    stream: int
    payload: bytes = b""
    payload_buffer: Body | None = None

    def parse_fields(self) -> tuple[dict[str, str], int]:
        """Read the fields, and tell where the body begins."""
        return read_fields(
            self.payload if self.payload_buffer is None else b"".join(self.payload_buffer.views())
        )

    def free(self) -> None:
        """Give back what the payload took."""
        if self.payload_buffer is not None:
            self.payload_buffer.free()


class Decoder:
    """Takes a stream apart into frames."""

    def __init__(self, allocate_body: BodyAllocator) -> None:
        self._allocate_body = allocate_body
        self._head = bytearray()
        self._body: Body | None = None

    def feed(self, data: memoryview, frames: list[Frame]) -> int:
        """Append the frames that end in `data`; tell how much of it was taken in: less where room lacks."""
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
                self._body = self._allocate_body(size)
                if self._body is None:
                    break
            offset += self._body.write(data[offset:])
            if self._body.is_complete():
                frames.append(Frame(kind, stream, b"", self._body))
                self._head.clear()
                self._body = None
        return offset

    @property
    def has_partial_frame(self) -> bool:
        """Tell whether a frame is half read."""
        return bool(self._head)

    def close(self) -> None:
        """Give back what a half-read frame took."""
        if self._body is not None:
            self._body.free()
            self._body = None


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """Read fields, and tell where they end."""
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
    """Write fields."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name, raw = name.encode(), value.encode()
        parts.append(bytes((len(raw_name),)) + raw_name + struct.pack(">H", len(raw)) + raw)
    return b"".join(parts)


def write_frame(kind: FrameType, stream: int, payload: bytes = b"", remaining: int = 0) -> bytes:
    """Write a frame, or the beginning of one whose payload goes on for `more` bytes."""
    return FRAME_HEAD.pack(COUNTED_HEAD_BYTES + len(payload) + remaining, kind, stream) + payload


def write_answer(stream: int, code: AnswerCode, fields: dict[str, str], remaining: int = 0) -> bytes:
    """Write an answer up to its body."""
    return write_frame(FrameType.ANSWER, stream, bytes((code,)) + write_fields(fields), remaining)


@dataclass(slots=True)
class PullRequest:
    """What a client asks for."""

    id: str
    workload: str
    time_left: float
    object: str
    part: int
    group: int
    size_kb: float
    held_tag: str  # of the copy that the client holds; empty: none
    frame: Frame
    body_offset: int
    idempotency_key: str = ""  # by which caches know a repeat of a tagged pull; goes on unchanged

    def body(self) -> list[memoryview]:
        """Return the body, in pieces."""
        if self.frame.payload_buffer is not None:
            return self.frame.payload_buffer.views(self.body_offset)
        return [memoryview(self.frame.payload)[self.body_offset :]]


MAX_TIME_LEFT_MS = 3600000.0
HEX_DIGITS = frozenset("0123456789abcdef")
NUMBER_PATTERN = re.compile(
    r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?"
)  # no other alphabet's digits
IDEMPOTENCY_KEY_PATTERN = re.compile(
    r"[!-+\--<>-~]{0,128}"
)  # printable, but for what parts the fields of a command
INTEGER_PATTERN = re.compile(r"[0-9]{1,12}")


def read_pull_request(frame: Frame) -> PullRequest:
    """Read an order; what is missing or unusable is malformed, and the text names the field."""
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
        if not IDEMPOTENCY_KEY_PATTERN.fullmatch(value):  # it is written among other fields
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
    """Write the answer that a pull was served, up to its body."""
    return write_answer(stream, AnswerCode.SERVED, {"ok304": "1"} if is_not_modified else {}, remaining)


def write_shed(stream: int, retry_after: float) -> bytes:
    """Write the answer that a pull was shed."""
    return write_answer(
        stream, AnswerCode.SHED, {"later": str(round(retry_after))} if retry_after > 0 else {}
    )


def write_errored(stream: int, reason: str = "") -> bytes:
    """Write the answer that a pull has errored; on stream 0 it belongs to no pull."""
    return write_answer(stream, AnswerCode.ERRORED, {"reason": reason[:200]} if reason else {})


def write_readiness(stream: int, is_ready: bool) -> bytes:
    """Write whether the front can serve."""
    return write_frame(FrameType.READINESS, stream, bytes((1 if is_ready else 2,)) + write_fields({}))
