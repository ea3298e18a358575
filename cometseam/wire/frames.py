"""Binary frames of the simulator's protocol: each batch of events is answered by one reply of actions.

The record layouts follow the protocol's specification; its codes for events and actions are mapped to the
classes of `interface` here.
"""

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO

from cometseam import interface
from cometseam.wire import WireFormatError


@dataclass(frozen=True, slots=True)
class Create:
    """An instance starts with a seed and its settings as JSON text."""

    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """An instance was killed."""


OUTCOMES = {
    0: interface.Outcome.OK,
    1: interface.Outcome.MISS,
    249: interface.Outcome.NOT_SENT,
    250: interface.Outcome.CANCELLED,
    251: interface.Outcome.RESET,
    252: interface.Outcome.CONNECT_FAILED,
    253: interface.Outcome.TIMEOUT,
    254: interface.Outcome.FULL,
    255: interface.Outcome.ERROR,
}
REMARKS = {int(remark): remark for remark in interface.Remark}

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
    """Read one batch; return its clock in ms and its records, or None if the input ended between batches."""
    head = source.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise WireFormatError("batch header: input ended inside it")
    length, now = BATCH.unpack(head)
    if not math.isfinite(now):
        raise WireFormatError("batch header: the clock is not a finite number")
    body = source.read(length)
    if len(body) < length:
        raise WireFormatError(f"batch: {length} bytes announced, input ended after {len(body)}")
    return now, body


def read_records(body: bytes) -> Iterator[tuple[int, Create | Crash | interface.Event]]:
    """Yield each event of a batch with its instance; records with unknown codes are skipped."""
    offset, instance = 0, -1
    while offset < len(body):
        if offset + RECORD.size > len(body):
            raise WireFormatError("record: input ended inside its head")
        code, length = RECORD.unpack_from(body, offset)
        offset += RECORD.size
        if offset + length > len(body):
            raise WireFormatError(
                f"record {code}: {length} bytes announced, {len(body) - offset} left in the batch"
            )
        fields = body[offset : offset + length]
        offset += length
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


def _check_length(fields: bytes, offset: int, count: int, size: int) -> None:
    if len(fields) != offset + count * size:
        raise WireFormatError(f"expected {offset + count * size} bytes, got {len(fields)}")


def _unpack_loads(fields: bytes, offset: int, count: int) -> tuple[float, ...]:
    _check_length(fields, offset, count, 4)
    return struct.unpack_from(f"<{count}f", fields, offset)


def _decode_outcome(code: int) -> interface.Outcome:
    if code not in OUTCOMES:
        raise WireFormatError(f"unknown outcome {code}")
    return OUTCOMES[code]


def _read_create(fields: bytes) -> Create:
    seed, size = CREATE.unpack_from(fields)
    _check_length(fields, CREATE.size, size, 1)
    return Create(seed, fields[CREATE.size :])


def _read_members(fields: bytes) -> interface.CacheListUpdate:
    kind, _, count = MEMBERS.unpack_from(fields)
    _check_length(fields, MEMBERS.size, count, ENTRY.size)
    return interface.CacheListUpdate(
        interface.ListUpdateKind(kind),
        tuple(
            interface.CacheEntry(cache, interface.Lifecycle(state), ready_at, cell, zone, kind, weight)
            for ready_at, cell, zone, cache, state, weight, kind in ENTRY.iter_unpack(fields[MEMBERS.size :])
        ),
    )


def _read_pull(fields: bytes) -> interface.Pull:
    pull, _, part, object_id, workload, time_left, flags, size_kb, group = PULL.unpack(fields)
    if not (
        math.isfinite(time_left) and math.isfinite(size_kb) and math.isfinite(part) and math.isfinite(group)
    ):
        raise WireFormatError("a field is not a finite number")
    return interface.Pull(
        pull, object_id, int(part), workload, time_left, bool(flags & 4), size_kb, int(group)
    )


def _read_relay_began(fields: bytes) -> interface.RelayBegan:
    return interface.RelayBegan(BEGAN.unpack(fields)[0])


def _read_relay_ended(fields: bytes) -> interface.RelayEnded:
    pull, duration, waited, remark, cache, relay, outcome, closed, count = ENDED.unpack_from(fields)
    load = _unpack_loads(fields, ENDED.size, count)
    known_remark = REMARKS.get(remark, interface.Remark.NONE)
    return interface.RelayEnded(
        pull, relay, cache, _decode_outcome(outcome), known_remark, duration, waited, bool(closed), load
    )


def _read_probe_ended(fields: bytes) -> interface.ProbeEnded:
    _, outcome, cache, count = PROBED.unpack_from(fields)
    return interface.ProbeEnded(cache, _decode_outcome(outcome), _unpack_loads(fields, PROBED.size, count))


def _check_peer(fields: bytes) -> None:
    _, size = PEER.unpack_from(fields)
    _check_length(fields, PEER.size, size, 1)


def _read_crash(fields: bytes) -> Crash:
    _check_length(fields, 0, 0, 1)
    return Crash()


READERS: dict[int, Callable[[bytes], Create | Crash | interface.Event | None]] = {
    16: _read_create,
    17: _read_members,
    18: _read_pull,
    19: _read_relay_began,
    20: _read_relay_ended,
    21: lambda fields: interface.ClientDisconnected(*ID.unpack(fields)),
    22: lambda fields: interface.TimerFired(*ID.unpack(fields)),
    23: _read_probe_ended,
    24: _check_peer,
    25: _read_crash,
    26: lambda fields: interface.Purged(*PURGED.unpack(fields)),
}


def _record_packer(layout: str) -> Callable[..., bytes]:
    """Return a function that packs records of one layout: code, then fields, with the length filled in."""
    packer = struct.Struct(layout.replace("<B", "<BI", 1))
    length = packer.size - RECORD.size
    return lambda code, *fields: packer.pack(code, length, *fields)


_pack_instance = _record_packer("<BH")
_pack_relay = _record_packer("<BQIIBBdd")
_pack_shed = _record_packer("<BQd")
_pack_error = _record_packer("<BQ")
_pack_recall = _record_packer("<BQH")
_pack_timer = _record_packer("<BQd")
_pack_probe = _record_packer("<BI")
_pack_watch = _record_packer("<BB")


def _pack_text(code: int, text: str) -> bytes:
    raw = text.encode()[:400]
    return RECORD.pack(code, 2 + len(raw)) + INSTANCE.pack(len(raw)) + raw


def write_failure(text: str) -> bytes:
    """Encode the record that reports a failure of the decision code."""
    return _pack_text(17, text)


def write_action(action: interface.Action) -> bytes:
    """Encode one action."""
    match action:
        case interface.Relay():
            flags = (
                action.join_fill | action.only_cached << 1 | action.parent_no_store << 2 | action.renew << 3
            )
            return _pack_relay(29, action.id, action.source, action.cache, action.rank, flags, action.timeout,
                          action.max_age)  # fmt: skip
        case interface.StartTimer():
            return _pack_timer(20, action.timer_id, action.delay)
        case interface.Shed():
            return _pack_shed(26, action.id, action.retry_after)
        case interface.Error():
            return _pack_error(24, action.id)
        case interface.Recall():
            return _pack_recall(19, action.id, action.relay)
        case interface.Probe():
            return _pack_probe(23, action.cache)
        case interface.Watch():
            return _pack_watch(18, 1)
        case interface.LogMessage():
            return _pack_text(21, action.text)


def write_reply(records: list[tuple[int, bytes]]) -> bytes:
    """Encode a reply from records, each paired with its instance."""
    parts: list[bytes] = []
    last_instance = -1
    for instance, record in records:
        if instance != last_instance:
            parts.append(_pack_instance(25, instance))
            last_instance = instance
        parts.append(record)
    body = b"".join(parts)
    return REPLY.pack(len(body), len(parts)) + body
