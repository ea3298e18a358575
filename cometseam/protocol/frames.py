"""Frames between clients and the front."""

import re
import struct
from dataclasses import dataclass
from enum import IntEnum

from cometseam.protocol import Body, BodyAllocator, ProtocolError

HEAD = struct.Struct(">IBI")
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

    def __init__(self, room: BodyAllocator) -> None:
        self._room = room
        self._head = bytearray()
        self._body: Body | None = None

    def feed(self, data: memoryview, out: list[Frame]) -> int:
        """Append the frames that end in `data`; tell how much of it was taken in: less where room lacks."""
        at = 0
        while at < len(data):
            missing = HEAD.size - len(self._head)
            if missing:
                self._head += data[at : at + missing]
                at += min(missing, len(data) - at)
                if len(self._head) < HEAD.size:
                    break
            length, kind, stream = HEAD.unpack(self._head)
            if not COUNTED_HEAD_BYTES <= length <= MAX_FRAME_LENGTH:
                raise ProtocolError(f"a frame of {length} bytes")
            size = length - COUNTED_HEAD_BYTES
            if self._body is None:
                if size <= len(data) - at:
                    out.append(Frame(kind, stream, bytes(data[at : at + size])))
                    at += size
                    self._head.clear()
                    continue
                self._body = self._room(size)
                if self._body is None:
                    break
            at += self._body.write(data[at:])
            if self._body.is_complete():
                out.append(Frame(kind, stream, b"", self._body))
                self._head.clear()
                self._body = None
        return at

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
        at = 1
        for _ in range(payload[0]):
            end = at + 1 + payload[at]
            name = payload[at + 1 : end].decode()
            size = payload[end] << 8 | payload[end + 1]
            at = end + 2 + size
            if at > len(payload):
                raise ProtocolError("fields: the payload ends inside them")
            if name in fields:
                raise ProtocolError("fields: one comes twice")
            fields[name] = payload[end + 2 : at].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise ProtocolError(f"fields: {error}") from error
    return fields, at


def write_fields(fields: dict[str, str]) -> bytes:
    """Write fields."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name, raw = name.encode(), value.encode()
        parts.append(bytes((len(raw_name),)) + raw_name + struct.pack(">H", len(raw)) + raw)
    return b"".join(parts)


def write_frame(kind: FrameType, stream: int, payload: bytes = b"", more: int = 0) -> bytes:
    """Write a frame, or the beginning of one whose payload goes on for `more` bytes."""
    return HEAD.pack(COUNTED_HEAD_BYTES + len(payload) + more, kind, stream) + payload


def write_answer(stream: int, code: AnswerCode, fields: dict[str, str], more: int = 0) -> bytes:
    """Write an answer up to its body."""
    return write_frame(FrameType.ANSWER, stream, bytes((code,)) + write_fields(fields), more)


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
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")  # no other alphabet's digits
MARK = re.compile(r"[!-+\--<>-~]{0,128}")  # printable, but for what parts the fields of a command
WHOLE = re.compile(r"[0-9]{1,12}")


def read_pull_request(frame: Frame) -> PullRequest:
    """Read an order; what is missing or unusable is malformed, and the text names the field."""
    fields, body_at = frame.parse_fields()

    def number(name: str, low: float, high: float, form: re.Pattern[str] = NUMBER) -> float:
        text = fields.get(name, "")
        if not form.fullmatch(text):
            raise ProtocolError(f"{name}: missing or not a number of its kind")
        value = float(text)
        if not low <= value <= high:
            raise ProtocolError(f"{name}: out of range")
        return value

    def whole(name: str, high: int) -> int:
        return int(number(name, 0, high, WHOLE))

    def tag(name: str) -> str:
        value = fields.get(name, "")
        if len(value) != 16 or not HEX_DIGITS.issuperset(value):
            raise ProtocolError(f"{name}: missing or not 16 hex digits")
        return value

    def mark() -> str:
        value = fields.get("unique", "")
        if not MARK.fullmatch(value):  # it is written among other fields
            raise ProtocolError("unique: not a mark that can be passed on")
        return value

    return PullRequest(
        id=tag("txn"),
        workload=fields.get("verb", ""),
        time_left=number("limit", 1, MAX_TIME_LEFT_MS),
        object=tag("item"),
        part=whole("nth", 65535),
        group=whole("batch", 255),
        size_kb=number("ram", 0, 1e9),
        held_tag=tag("got") if "got" in fields else "",
        frame=frame,
        body_offset=body_at,
        idempotency_key=mark(),
    )


def write_served(stream: int, copy_holds: bool, more: int) -> bytes:
    """Write the answer that a pull was served, up to its body."""
    return write_answer(stream, AnswerCode.SERVED, {"ok304": "1"} if copy_holds else {}, more)


def write_shed(stream: int, come_back_in: float) -> bytes:
    """Write the answer that a pull was shed."""
    return write_answer(
        stream, AnswerCode.SHED, {"later": str(round(come_back_in))} if come_back_in > 0 else {}
    )


def write_errored(stream: int, why: str = "") -> bytes:
    """Write the answer that a pull has errored; on stream 0 it belongs to no pull."""
    return write_answer(stream, AnswerCode.ERRORED, {"reason": why[:200]} if why else {})


def write_readiness(stream: int, ready: bool) -> bytes:
    """Write whether the front can serve."""
    return write_frame(FrameType.READINESS, stream, bytes((1 if ready else 2,)) + write_fields({}))
