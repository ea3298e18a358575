"""Keeps the present level over restarts, where the installation has a place for it.

One small file: a line of JSON and a checksum. It is written beside and put in place by a rename, after it
has reached the disk; so a file is whole or the one before. What is torn, of another form or old is not
used, and that is said.
"""

import json
import os
import zlib
from pathlib import Path

FORM = 1
OLD = 120_000.0  # ms: what held longer ago says nothing of now
MOST = 4096  # bytes


class SnapshotError(ValueError):
    """The kept level can't be used; the text says why."""


def encode(level: str, since: float, now: float) -> bytes:
    """Return the text of a level in which the front has been since a time; both Unix ms."""
    line = json.dumps({"form": FORM, "level": level, "since": since, "at": now}).encode()
    return b"%s\n%08x\n" % (line, zlib.crc32(line))


def decode(text: bytes, now: float) -> tuple[str, float]:
    """Return the level and since when; what can't be used is `SnapshotError`."""
    line, _, rest = text.partition(b"\n")
    if rest != b"%08x\n" % zlib.crc32(line):
        raise SnapshotError("torn: its checksum does not hold")
    try:
        values = json.loads(line)
        form, level, since, at = values["form"], values["level"], float(values["since"]), float(values["at"])
    except (ValueError, KeyError, TypeError) as error:
        raise SnapshotError(f"not readable: {error}") from error
    if form != FORM or not isinstance(level, str):
        raise SnapshotError(f"of another form: {form!r}")
    if not -OLD <= now - at <= OLD:
        raise SnapshotError(f"old: kept {abs(now - at) / 1000.0:.0f} s {'ago' if now > at else 'ahead'}")
    return level, since


def read(path: Path, now: float) -> tuple[str, float] | None:
    """Read what is kept; None where nothing is."""
    try:
        with open(path, "rb") as file:
            text = file.read(MOST)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from error
    return decode(text, now)


def write(path: Path, level: str, since: float, now: float) -> None:
    """Put a level in place of the one kept, whole; `OSError` leaves the old one."""
    beside = path.with_name(path.name + ".new")
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.write(descriptor, encode(level, since, now))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(beside, path)
