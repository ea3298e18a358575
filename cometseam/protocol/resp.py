"""Commands to caches and their answers, as RESP arrays of bulk strings."""

from dataclasses import dataclass

from cometseam.protocol import Body, Malformed, Room

MOST_BODY = 262144
MOST_HEAD = 8192  # bytes of an answer up to its body
MOST_NUMBER = 12  # bytes of a line that counts something
WORDS = frozenset({b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST", b"FIT", b"UNFIT"})


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of a cache."""

    id: str
    word: str
    fields: dict[str, str]
    body: Body | None = None


class Decoder:
    """Takes a stream apart into answers."""

    def __init__(self, room: Room) -> None:
        self._room = room
        self._head = bytearray()
        self._begun: Answer | None = None
        self._size = 0
        self._ending = 0  # bytes of the line end after a body that are still to come

    def feed(self, data: memoryview, out: list[Answer]) -> int:
        """Append the answers that end in `data`; tell how much of it was taken in: less where room lacks."""
        at = 0
        while at < len(data):
            if self._begun is None:
                had = len(self._head)
                self._head += data[at : at + MOST_HEAD - had]
                read = _read_head(self._head)
                if read is None:
                    if len(self._head) >= MOST_HEAD:
                        raise Malformed("an answer's fields do not end")
                    return len(data)
                self._begun, self._size, end = read
                at += end - had
                self._head.clear()
                self._ending = 2 if self._size >= 0 else 0
            elif self._size > 0:
                body = self._begun.body
                if body is None:
                    body = self._room(self._size)
                    if body is None:
                        break
                    self._begun = Answer(self._begun.id, self._begun.word, self._begun.fields, body)
                at += body.write(data[at:])
                if body.is_whole():
                    self._size = 0
            elif self._ending:
                if data[at] != b"\r\n"[2 - self._ending]:
                    raise Malformed("a body is longer than told")
                self._ending -= 1
                at += 1
            if self._begun is not None and self._size <= 0 and not self._ending:
                out.append(self._begun)
                self._begun = None
        return at

    def close(self) -> None:
        """Give back what a half-read answer took."""
        if self._begun is not None and self._begun.body is not None:
            self._begun.body.free()
            self._begun = None


def _read_head(raw: bytearray) -> tuple[Answer, int, int] | None:
    """Read an answer up to its body: the answer, the body's size (-1: it has none), and where that begins."""
    count = _read_number(raw, 0, b"*")
    if count is None:
        return None
    if not 2 <= count[0] <= 4:
        raise Malformed(f"an answer of {count[0]} parts")
    parts: list[bytes] = []
    at = count[1]
    for place in range(count[0]):
        size = _read_number(raw, at, b"$")
        if size is None:
            return None
        at = size[1]
        if place == 3:
            if size[0] > MOST_BODY:
                raise Malformed(f"a body of {size[0]} bytes")
            return _answer(parts), size[0], at
        if size[0] > MOST_HEAD:
            raise Malformed(f"a part of {size[0]} bytes")
        if len(raw) < at + size[0] + 2:
            return None
        parts.append(bytes(raw[at : at + size[0]]))
        at += size[0] + 2
        if raw[at - 2 : at] != b"\r\n":
            raise Malformed("a part is longer than told")
    return _answer(parts), -1, at


def _answer(parts: list[bytes]) -> Answer:
    if parts[1] not in WORDS:
        raise Malformed(f"an unknown word {parts[1][:20]!r}")
    try:
        fields = read_fields(parts[2].decode()) if parts[2:] else {}
        return Answer(parts[0].decode(), parts[1].decode(), fields)
    except UnicodeDecodeError as error:
        raise Malformed(f"an answer that is no text: {error}") from error


def _read_number(raw: bytearray, at: int, mark: bytes) -> tuple[int, int] | None:
    if len(raw) > at and raw[at : at + 1] != mark:
        raise Malformed(f"{mark!r} was expected, not {bytes(raw[at : at + 1])!r}")
    end = raw.find(b"\r\n", at, at + MOST_NUMBER)
    if end < 0:
        if len(raw) >= at + MOST_NUMBER:
            raise Malformed("a number that does not end")
        return None
    digits = bytes(raw[at + 1 : end])
    if not digits.isdigit():
        raise Malformed(f"a number was expected, not {digits!r}")
    return int(digits), end + 2


def read_fields(text: str) -> dict[str, str]:
    """Read `name=value,name=value`, or `-` for none."""
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for item in text.split(","):
        name, mark, value = item.partition("=")
        if not mark:
            raise Malformed(f"a field without a value: {item[:40]!r}")
        fields[name] = value
    return fields


def write_request(id: str, fields: dict[str, str], body: int) -> bytes:
    """Write a request up to its body of so many bytes; after the body a line end is due."""
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return b"*4\r\n" + _bulk("REQ") + _bulk(id) + _bulk(text) + b"$%d\r\n" % body


def write_stop(id: str) -> bytes:
    """Write that a request is given up."""
    return b"*2\r\n" + _bulk("STOP") + _bulk(id)


def _bulk(text: str) -> bytes:
    raw = text.encode()
    return b"$%d\r\n%b\r\n" % (len(raw), raw)
