"""Commands to caches and their answers, encoded as RESP arrays of bulk strings."""

import math
from dataclasses import dataclass, replace

from cometseam.interface import Outcome, Remark
from cometseam.protocol import Body, BodyAllocator, ProtocolError
from cometseam.protocol.bodies import DiscardedBody

MAX_BODY_BYTES = 262144
MAX_HEAD_BYTES = 8192  # maximum size of an answer up to its body
MAX_NUMBER_BYTES = 12  # maximum size of a line that gives a count or a length
HELLO_REPLY = "FIT"
OUTCOMES_BY_WORD = {
    "DONE": Outcome.OK, "KEEP": Outcome.OK, "LACK": Outcome.MISS, "WAIT": Outcome.FULL,
    "BROKE": Outcome.ERROR, "PAST": Outcome.NOT_SENT, HELLO_REPLY: Outcome.OK,
}  # fmt: skip
REMARKS_BY_WORD = {
    "cached": Remark.HIT, "fetched": Remark.FILLED, "fetched_root": Remark.FILLED_FROM_ORIGIN,
    "merged": Remark.JOINED, "past_fresh": Remark.STALE, "up_refused": Remark.SOURCE_REFUSED,
    "up_lost": Remark.SOURCE_BROKE, "up_empty": Remark.SOURCE_LACKS, "fills_full": Remark.NO_PLACE,
    "root_failed": Remark.ORIGIN_FAILED,
}  # fmt: skip
# Notes on why a fill failed; some deployments send none of them.
FAILURE_REMARKS = frozenset({
    Remark.SOURCE_REFUSED, Remark.SOURCE_BROKE, Remark.SOURCE_LACKS, Remark.NO_PLACE, Remark.ORIGIN_FAILED,
})  # fmt: skip


@dataclass(slots=True)
class Command:
    """The fields of a relay, without its body."""

    id: str
    workload: str
    object: str
    part: int
    source: str  # where the cache fills from; empty: no fill
    rank: int
    oldest: float  # maximum age of a copy in ms; 0: the default of the workload
    join: bool
    only_held: bool
    parent_keeps_none: bool
    renew: bool
    held_tag: str
    mark: str = ""  # idempotency key of the pull; empty if it has none

    @property
    def is_lookup(self) -> bool:
        """Return whether it asks only for what the cache itself holds."""
        return not self.source


@dataclass(slots=True)
class Answer:
    """One answer of a cache; `waited` is in ms."""

    id: str
    word: str
    outcome: Outcome
    remark: Remark = Remark.NONE
    waited: float = 0.0
    load: dict[str, float] | None = None
    body: Body | None = None
    tag: str = ""  # tag of the delivered copy

    @property
    def is_not_modified(self) -> bool:
        """Return whether the client's copy is current, so that no body follows."""
        return self.word == "KEEP"


class Decoder:
    """Splits a byte stream into answers."""

    def __init__(self, allocate_body: BodyAllocator) -> None:
        self._allocate_body = allocate_body
        self._head = bytearray()
        self._partial_answer: Answer | None = None
        self._missing_body_bytes = 0
        self._missing_line_end_bytes = 0  # bytes still missing of the line end after a body

    def feed(self, data: memoryview, answers: list[Answer]) -> int:
        """Append the answers that are completed by `data` to `answers`.

        Returns:
            The number of bytes consumed; less than all if no buffer is available for a body.
        """
        offset = 0
        while offset < len(data):
            if self._partial_answer is None:
                buffered = len(self._head)
                self._head += data[offset : offset + MAX_HEAD_BYTES - buffered]
                head = _read_head(self._head)
                if head is None:
                    if len(self._head) >= MAX_HEAD_BYTES:
                        raise ProtocolError("an answer's head is longer than allowed")
                    return len(data)
                self._partial_answer, self._missing_body_bytes, end = head
                offset += end - buffered
                self._head.clear()
                self._missing_line_end_bytes = 2 if self._missing_body_bytes >= 0 else 0
            elif self._missing_body_bytes > 0:
                body = self._partial_answer.body
                if body is None:
                    body = self._allocate_body(self._missing_body_bytes)
                    if body is None:
                        break
                    self._partial_answer = replace(self._partial_answer, body=body)
                consumed = body.write(data[offset:])
                offset += consumed
                self._missing_body_bytes -= consumed
            elif self._missing_line_end_bytes:
                if data[offset] != b"\r\n"[2 - self._missing_line_end_bytes]:
                    raise ProtocolError("a body is longer than its announced length")
                self._missing_line_end_bytes -= 1
                offset += 1
            if (
                self._partial_answer is not None
                and self._missing_body_bytes <= 0
                and not self._missing_line_end_bytes
            ):
                answers.append(self._partial_answer)
                self._partial_answer = None
        return offset

    @property
    def has_partial_answer(self) -> bool:
        """Return whether an answer has been read in part."""
        return bool(self._head) or self._partial_answer is not None

    @property
    def partial_answer_id(self) -> str | None:
        """Return the id of the partly read answer.

        It is empty if the id itself is not complete yet, and None if no answer is partly read.
        """
        if self._partial_answer is not None:
            return self._partial_answer.id
        return "" if self._head else None

    def discard(self, id: str) -> None:
        """Discard the answer with this id, including the bytes still to arrive, if it is partly read."""
        if self._partial_answer is not None and self._partial_answer.id == id:
            if self._partial_answer.body is not None:
                self._partial_answer.body.free()
            self._partial_answer = replace(self._partial_answer, body=DiscardedBody(self._missing_body_bytes))

    def close(self) -> None:
        """Release the buffer of a partly read answer."""
        if self._partial_answer is not None and self._partial_answer.body is not None:
            self._partial_answer.body.free()
            self._partial_answer = None


def _read_head(raw: bytearray) -> tuple[Answer, int, int] | None:
    """Parse an answer up to its body.

    Returns:
        The answer, the body's size (-1 if there is no body) and the offset at which the head ends; None if
        the head is not complete.
    """
    count = _parse_length(raw, 0, b"*")
    if count is None:
        return None
    if not 2 <= count[0] <= 4:
        raise ProtocolError(f"an answer must have 2 to 4 elements, got {count[0]}")
    parts: list[bytes] = []
    offset = count[1]
    for index in range(count[0]):
        size = _parse_length(raw, offset, b"$")
        if size is None:
            return None
        offset = size[1]
        if index == 3:
            if size[0] > MAX_BODY_BYTES:
                raise ProtocolError(f"a body is longer than allowed: {size[0]} bytes")
            return _parse_answer(parts, True), size[0], offset
        if size[0] > MAX_HEAD_BYTES:
            raise ProtocolError(f"an element is longer than allowed: {size[0]} bytes")
        if len(raw) < offset + size[0] + 2:
            return None
        parts.append(bytes(raw[offset : offset + size[0]]))
        offset += size[0] + 2
        if raw[offset - 2 : offset] != b"\r\n":
            raise ProtocolError("an element is longer than its announced length")
    return _parse_answer(parts, False), -1, offset


def _parse_answer(parts: list[bytes], has_body: bool) -> Answer:
    try:
        id, word, *rest = (part.decode() for part in parts)
        fields = read_fields(rest[0]) if rest else {}
    except UnicodeDecodeError as error:
        raise ProtocolError(f"an answer is not valid UTF-8: {error}") from error
    if word not in OUTCOMES_BY_WORD:
        raise ProtocolError(f"unknown result {word[:20]!r} in an answer")
    if word == "DONE" and not has_body:
        raise ProtocolError("an answer with the result DONE has no body")
    load = None
    if "rep" in fields:
        items = (item.partition(":") for item in fields["rep"].split(";"))
        load = {name: _parse_finite(value) for name, _, value in items}
    waited = max(_parse_finite(fields["lag"]), 0.0) if "lag" in fields else 0.0
    remark = REMARKS_BY_WORD.get(fields.get("why", ""), Remark.NONE)
    return Answer(id, word, OUTCOMES_BY_WORD[word], remark, waited, load, tag=fields.get("tag", ""))


def _parse_finite(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ProtocolError(f"expected a finite number, got {text[:20]!r}")
    return value


def _parse_length(raw: bytearray, offset: int, prefix: bytes) -> tuple[int, int] | None:
    if len(raw) > offset and raw[offset : offset + 1] != prefix:
        raise ProtocolError(f"expected {prefix!r}, got {bytes(raw[offset : offset + 1])!r}")
    end = raw.find(b"\r\n", offset, offset + MAX_NUMBER_BYTES)
    if end < 0:
        if len(raw) >= offset + MAX_NUMBER_BYTES:
            raise ProtocolError("a line with a number is longer than allowed")
        return None
    digits = bytes(raw[offset + 1 : end])
    if not digits.isdigit():
        raise ProtocolError(f"expected a number, got {digits!r}")
    return int(digits), end + 2


def read_fields(text: str) -> dict[str, str]:
    """Parse fields of the form `name=value,name=value`; `-` stands for no fields."""
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, separator, value = item.partition("=")
        if not separator:
            raise ProtocolError(f"expected a field of the form name=value, got {item[:40]!r}")
        fields[name] = value
    return fields


def write_request(command: Command, time_out: float, body_bytes: int) -> bytes:
    """Encode a relay up to its body of `body_bytes` bytes, which the caller follows with a line end.

    `time_out` is in ms.
    """
    fields = [f"lane={command.workload}", f"name={command.object}", f"piece={command.part}"]
    fields.append(f"ttl={max(round(time_out), 1)}")
    if command.source:
        fields.append(f"via={command.source}")
    if command.rank:
        fields.append(f"tier={command.rank}")
    if command.oldest > 0:
        fields.append(f"fresh={max(int(command.oldest), 1)}")  # rounded down, so never older than requested
    options = {"ride": command.join, "have-only": command.only_held, "through": command.parent_keeps_none,
           "update": command.renew}  # fmt: skip
    if any(options.values()):
        fields.append("opts=" + "+".join(word for word, on in options.items() if on))
    if command.held_tag:
        fields.append(f"known={command.held_tag}")
    if command.mark:
        fields.append(f"dedupe={command.mark}")
    return b"*4\r\n" + _bulk("REQ") + _bulk(command.id) + _bulk(",".join(fields)) + b"$%d\r\n" % body_bytes


def write_stop(id: str) -> bytes:
    """Encode the command that cancels a relay."""
    return b"*2\r\n" + _bulk("STOP") + _bulk(id)


def write_hello(tag: str) -> bytes:
    """Encode the command that checks whether a connection works."""
    return b"*2\r\n" + _bulk("HELO") + _bulk(tag)


def _bulk(text: str) -> bytes:
    raw = text.encode()
    return b"$%d\r\n%b\r\n" % (len(raw), raw)
