"""The codecs: a stream decodes the same however it is split, and malformed input is rejected."""

import pytest

from cometseam.interface import Outcome, Remark
from cometseam.json_section import FieldError, Section
from cometseam.protocol import ProtocolError, discovery_events, frames, resp
from cometseam.settings import NameTables
from cometseam.transport.buffers import BUFFER_SIZE_BYTES, BufferPool, MessageBuffer
from tests.drive import SAMPLE, client_request, frame
from tests.drive import resp as array

TAG = "4be0c1927d55a6f3"
BIG = bytes(range(256)) * 300
Decoder = frames.Decoder | resp.Decoder


def feed(decoder: Decoder, raw: bytes, size: int) -> list[frames.Frame | resp.Answer]:
    """Feed a stream in pieces of `size` bytes; return what was decoded."""
    decoded: list[frames.Frame | resp.Answer] = []
    for offset in range(0, len(raw), size):
        piece = memoryview(raw)[offset : offset + size]
        assert decoder.feed(piece, decoded) == len(piece)  # type: ignore[arg-type]
    return decoded


@pytest.mark.parametrize("size", [1, 2, 3, 7, 64, 1000, BUFFER_SIZE_BYTES, 1 << 20])
def test_frames_decode_the_same_for_any_split(size: int) -> None:
    pool = BufferPool(1 << 22)
    raw = (
        client_request(1)
        + frame(18, 1)
        + client_request(2, BIG, got=TAG)
        + frame(32, 3)
        + client_request(4, b"small")
    )
    decoded = feed(frames.Decoder(pool.allocate), raw, size)
    assert [(item.type, item.stream) for item in decoded if isinstance(item, frames.Frame)] == [
        (16, 1), (18, 1), (16, 2), (32, 3), (16, 4),
    ]  # fmt: skip
    for item, body in zip((decoded[0], decoded[2], decoded[4]), (b"", BIG, b"small"), strict=True):
        assert isinstance(item, frames.Frame)
        request = frames.read_pull_request(item)
        assert b"".join(request.body()) == body and request.held_tag == (TAG if body is BIG else "")
        assert (request.workload, request.object, request.part, request.group) == (
            "maps",
            "7f3a9c21e0b4d655",
            3,
            17,
        )
        item.free()
    assert pool.in_use == 0


@pytest.mark.parametrize("size", [1, 2, 3, 7, 64, 1000, BUFFER_SIZE_BYTES, 1 << 20])
def test_answers_decode_the_same_for_any_split(size: int) -> None:
    pool = BufferPool(1 << 22)
    raw = array("a1", "LACK", "why=merged,rep=util:0.5;x1:-0.1", b"") + array("alive", "FIT")
    raw += array("a2", "DONE", f"tag={TAG},minted=1,why=fetched,lag=2.5", BIG) + array("a3", "WAIT", "-")
    decoded = feed(resp.Decoder(pool.allocate), raw, size)
    lack, fit, done, wait = (item for item in decoded if isinstance(item, resp.Answer))
    assert (lack.id, lack.outcome, lack.remark) == ("a1", Outcome.MISS, Remark.JOINED)
    assert lack.load == {"util": 0.5, "x1": -0.1} and fit.word == resp.HELLO_REPLY
    assert (done.outcome, done.remark, done.waited) == (Outcome.OK, Remark.FILLED, 2.5)
    assert done.body is not None and b"".join(done.body.views()) == BIG
    assert wait.outcome is Outcome.FULL and wait.body is None
    done.body.free()
    assert pool.in_use == 0


@pytest.mark.parametrize(
    "raw",
    [
        b"$3\r\nabc\r\n", b"*x\r\n", b"*1\r\n$1\r\na\r\n", b"*5\r\n", b"*4\r\n$99999999999999",
        b"*4\r\n$-1\r\n", array(b"\xff", "LACK", "-"),
        array("a", "HUH", "-", b""), array("a", "DONE", "-"), array("a", "LACK", "why", b""),
        array("a", "LACK", "lag=soon", b""), array("a", "LACK", "rep=util:nan", b""),
        array("a", "DONE", "-", b"body")[:-2] + b"xx", b"*4\r\n$1\r\naxx", b"*4\r\n$9000\r\n",
        b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$900000\r\n", b"*4\r\n$8100\r\n" + b"a" * 8200,
    ],
)  # fmt: skip
def test_malformed_answers_are_rejected_and_release_their_buffers(raw: bytes) -> None:
    pool = BufferPool(1 << 22)
    decoder = resp.Decoder(pool.allocate)
    with pytest.raises(ProtocolError):
        feed(decoder, raw, 5)
    decoder.close()
    assert pool.in_use == 0


@pytest.mark.parametrize("length", [0, 4, 262_145, 0xFFFFFFFF])
def test_frames_with_invalid_length_are_rejected(length: int) -> None:
    with pytest.raises(ProtocolError):
        feed(frames.Decoder(BufferPool(1 << 22).allocate), length.to_bytes(4, "big") + bytes(5), 3)


def test_decoder_stops_without_buffers_and_continues_once_one_is_freed() -> None:
    pool = BufferPool(1)  # the pool's minimum holds two messages of the maximum size
    first, second = pool.allocate(8 * BUFFER_SIZE_BYTES), pool.allocate(8 * BUFFER_SIZE_BYTES)
    assert isinstance(first, MessageBuffer) and isinstance(second, MessageBuffer) and pool.allocate(1) is None
    raw = array("a", "DONE", "-", BIG)
    decoder, answers = resp.Decoder(pool.allocate), list[resp.Answer]()
    consumed = decoder.feed(memoryview(raw), answers)
    assert consumed < 100 and decoder.feed(memoryview(raw)[consumed:], answers) == 0 and not answers
    first.free()
    assert decoder.feed(memoryview(raw)[consumed:], answers) == len(raw) - consumed
    assert answers[0].body is not None and b"".join(answers[0].body.views()) == BIG
    with pytest.raises(AssertionError):
        first.free()


def test_discarded_answer_releases_its_buffer_and_its_rest_is_skipped() -> None:
    pool = BufferPool(1 << 22)
    raw, answers = array("a", "DONE", "-", BIG) + array("b", "PAST", "-", b""), list[resp.Answer]()
    decoder = resp.Decoder(pool.allocate)
    decoder.feed(memoryview(raw)[:1000], answers)
    assert pool.in_use == 3
    decoder.discard("a")
    assert pool.in_use == 0
    decoder.feed(memoryview(raw)[1000:], answers)
    assert [(answer.id, answer.outcome) for answer in answers] == [("a", Outcome.OK), ("b", Outcome.NOT_SENT)]


def test_relays_are_encoded_as_the_protocol_specifies() -> None:
    command = resp.Command("9b", "maps", "7f", 3, "parent-1", 2, 1999.9, True, True, True, True, TAG)
    fields = "lane=maps,name=7f,piece=3,ttl=1500,via=parent-1,tier=2,fresh=1999,"
    fields += f"opts=ride+have-only+through+update,known={TAG}"
    assert resp.write_request(command, 1500.4, 4) + b"body\r\n" == array("REQ", "9b", fields, b"body")
    minimal = resp.Command("9b", "maps", "7f", 0, "", 0, 0.0, False, False, False, False, "")
    minimal_encoded = array("REQ", "9b", "lane=maps,name=7f,piece=0,ttl=1", b"")
    assert resp.write_request(minimal, 0.2, 0) + b"\r\n" == minimal_encoded
    assert resp.write_stop("9b") == array("STOP", "9b") and resp.write_hello("t") == array("HELO", "t")


def test_invalid_discovery_events_do_not_affect_the_others() -> None:
    names = NameTables(("maps",), ("north", "middle", "edge-1"), ("standard", "parent", "origin"), ())
    entry = SAMPLE["known"]["results"][0]["fleet"]["endpoints"][0]

    def list_event(seq: int, **changed: object) -> dict[str, object]:
        return {"seq": seq, "fleet": {"snapshot": False, "endpoints": [{**entry, **changed}]}}

    invalid = [
        list_event(2, zone="x"),
        list_event(3, type="x"),
        list_event(4, status="x"),
        list_event(5, address="x"),
        list_event(6, weight="x"),
        {"seq": 7, "invalidate": {"object": "x", "time": 1}},
        {"seq": 8, "invalidate": {"time": 1}},
    ]
    valid = [{"seq": 9, "invalidate": {"bucket": 17, "time": 5}}, list_event(1)]
    events = discovery_events.read_events(Section({"seq": 9, "results": [*invalid, *valid]}), names)
    assert [event.seq for event in events] == list(range(1, 10))
    assert isinstance(events[0], discovery_events.EndpointList) and (
        events[0].entries[0].zone,
        events[0].entries[0].kind,
    ) == (2, 0)
    assert all(isinstance(event, discovery_events.UnusableEvent) for event in events[1:8])
    assert events[8] == discovery_events.Purge(9, 0, 17, 5.0)
    with pytest.raises(FieldError, match="results"):
        discovery_events.read_events(Section({"seq": 1}), names)
