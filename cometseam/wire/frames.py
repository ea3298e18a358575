"""The wire's binary frames: batches of events in, one reply of actions out for each.

The record layouts follow the wire page; names of events and actions are mapped to ours here.
"""

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO

from cometseam import interface as i
from cometseam.wire import WireFormatError


@dataclass(frozen=True, slots=True)
class Create:
    """An instance starts."""

    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """An instance was killed."""


OUTCOMES = {
    0: i.Outcome.OK,
    1: i.Outcome.MISS,
    249: i.Outcome.NOT_SENT,
    250: i.Outcome.CANCELLED,
    251: i.Outcome.RESET,
    252: i.Outcome.CONNECT_FAILED,
    253: i.Outcome.TIMEOUT,
    254: i.Outcome.FULL,
    255: i.Outcome.ERROR,
}
REMARKS = {int(remark): remark for remark in i.Remark}

BATCH = struct.Struct("<Id")
REPLY = struct.Struct("<II")
RECORD = struct.Struct("<BI")
ENTRY = struct.Struct("<dHHIBfH")
INSTANCE = struct.Struct("<H")
CREATE = struct.Struct("<QI")
MEMBERS = struct.Struct("<BQI")
PULL = struct.Struct("<QIfQBdBff")
BEGAN = struct.Struct("<QHId")
ENDED = struct.Struct("<QddIIHHBB")
ID = struct.Struct("<Q")
PROBED = struct.Struct("<dHIB")
PEER = struct.Struct("<IH")
PURGED = struct.Struct("<QHd")


def read_frame(source: BinaryIO) -> tuple[float, bytes] | None:
    """Read one batch: its clock and its records. None where input ended between two batches."""
    head = source.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise WireFormatError("batch header: input ended inside it")
    length, now = BATCH.unpack(head)
    if not math.isfinite(now):
        raise WireFormatError("batch header: the clock is not a number")
    body = source.read(length)
    if len(body) < length:
        raise WireFormatError(f"batch: {length} bytes announced, input ended after {len(body)}")
    return now, body


def read_records(body: bytes) -> Iterator[tuple[int, Create | Crash | i.Event]]:
    """Yield each event of a batch with its instance. Records of unknown codes are skipped."""
    at, instance = 0, -1
    while at < len(body):
        if at + RECORD.size > len(body):
            raise WireFormatError("record: input ended inside its head")
        code, length = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + length > len(body):
            raise WireFormatError(
                f"record {code}: {length} bytes announced, {len(body) - at} left in the batch"
            )
        fields = body[at : at + length]
        at += length
        try:
            if code == 27:
                (instance,) = INSTANCE.unpack(fields)
                continue
            reader = READERS.get(code)
            if reader is None:
                continue
            event = reader(fields)
        except (struct.error, ValueError) as error:
            raise WireFormatError(f"record {code}: {error}") from error
        if instance < 0:
            raise WireFormatError(f"record {code}: no instance named before it")
        if event is not None:
            yield instance, event


def _counted(fields: bytes, at: int, count: int, size: int) -> None:
    if len(fields) != at + count * size:
        raise WireFormatError(f"a length of {at + count * size} was expected, not {len(fields)}")


def _loads(fields: bytes, at: int, count: int) -> tuple[float, ...]:
    _counted(fields, at, count, 4)
    return struct.unpack_from(f"<{count}f", fields, at)


def _outcome(code: int) -> i.Outcome:
    if code not in OUTCOMES:
        raise WireFormatError(f"unknown outcome {code}")
    return OUTCOMES[code]


def _create(fields: bytes) -> Create:
    seed, size = CREATE.unpack_from(fields)
    _counted(fields, CREATE.size, size, 1)
    return Create(seed, fields[CREATE.size :])


def _members(fields: bytes) -> i.CacheListUpdate:
    kind, _, count = MEMBERS.unpack_from(fields)
    _counted(fields, MEMBERS.size, count, ENTRY.size)
    return i.CacheListUpdate(
        i.ListUpdateKind(kind),
        tuple(
            i.CacheEntry(cache, i.Lifecycle(state), ready_at, cell, zone, kind, weight)
            for ready_at, cell, zone, cache, state, weight, kind in ENTRY.iter_unpack(fields[MEMBERS.size :])
        ),
    )


def _pull(fields: bytes) -> i.Pull:
    pull, _, part, wanted, workload, left, flags, size_kb, group = PULL.unpack(fields)
    if not (math.isfinite(left) and math.isfinite(size_kb) and math.isfinite(part) and math.isfinite(group)):
        raise WireFormatError("a field is not a number")
    return i.Pull(pull, wanted, int(part), workload, left, bool(flags & 4), size_kb, int(group))


def _began(fields: bytes) -> i.RelayBegan:
    return i.RelayBegan(BEGAN.unpack(fields)[0])


def _ended(fields: bytes) -> i.RelayEnded:
    pull, took, waited, remark, cache, relay, outcome, closed, count = ENDED.unpack_from(fields)
    load = _loads(fields, ENDED.size, count)
    told = REMARKS.get(remark, i.Remark.NONE)
    return i.RelayEnded(pull, relay, cache, _outcome(outcome), told, took, waited, bool(closed), load)


def _probed(fields: bytes) -> i.ProbeEnded:
    _, outcome, cache, count = PROBED.unpack_from(fields)
    return i.ProbeEnded(cache, _outcome(outcome), _loads(fields, PROBED.size, count))


def _peer(fields: bytes) -> None:
    _, size = PEER.unpack_from(fields)
    _counted(fields, PEER.size, size, 1)


def _crash(fields: bytes) -> Crash:
    _counted(fields, 0, 0, 1)
    return Crash()


READERS: dict[int, Callable[[bytes], Create | Crash | i.Event | None]] = {
    16: _create,
    17: _members,
    18: _pull,
    19: _began,
    20: _ended,
    21: lambda fields: i.ClientDisconnected(*ID.unpack(fields)),
    22: lambda fields: i.TimerFired(*ID.unpack(fields)),
    23: _probed,
    24: _peer,
    25: _crash,
    26: lambda fields: i.Purged(*PURGED.unpack(fields)),
}


def _record(layout: str) -> Callable[..., bytes]:
    """A writer of records of one layout, code first, with the length filled in."""
    packer = struct.Struct(layout.replace("<B", "<BI", 1))
    length = packer.size - RECORD.size
    return lambda code, *fields: packer.pack(code, length, *fields)


_by = _record("<BH")
_relay = _record("<BQIIBBdd")
_shed = _record("<BQd")
_error = _record("<BQ")
_recall = _record("<BQH")
_wake = _record("<BQd")
_probe = _record("<BI")
_watch = _record("<BB")


def _text(code: int, text: str) -> bytes:
    raw = text.encode()[:400]
    return RECORD.pack(code, 2 + len(raw)) + INSTANCE.pack(len(raw)) + raw


def write_failure(text: str) -> bytes:
    """The record that tells that the decision code has failed."""
    return _text(17, text)


def write_action(action: i.Action) -> bytes:
    """Encode one action."""
    match action:
        case i.Relay():
            how = action.join_fill | action.only_cached << 1 | action.parent_no_store << 2 | action.renew << 3
            return _relay(29, action.id, action.source, action.cache, action.rank, how, action.timeout,
                          action.max_age)  # fmt: skip
        case i.StartTimer():
            return _wake(20, action.timer_id, action.delay)
        case i.Shed():
            return _shed(26, action.id, action.retry_after)
        case i.Error():
            return _error(24, action.id)
        case i.Recall():
            return _recall(19, action.id, action.relay)
        case i.Probe():
            return _probe(23, action.cache)
        case i.Watch():
            return _watch(18, 1)
        case i.LogMessage():
            return _text(21, action.text)


def write_reply(records: list[tuple[int, bytes]]) -> bytes:
    """Encode a reply from records, each with its instance."""
    parts: list[bytes] = []
    last = -1
    for instance, record in records:
        if instance != last:
            parts.append(_by(25, instance))
            last = instance
        parts.append(record)
    body = b"".join(parts)
    return REPLY.pack(len(body), len(parts)) + body
