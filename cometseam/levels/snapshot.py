"""Keeps the present level over restarts in a file, where the operator's file names one.

The file holds one line of JSON and a line with its checksum. It is written beside the old one, flushed to the
disk and renamed into place, so a reader finds either the new file or the old one, complete. A file that is
torn, of another format or old is rejected with a `SnapshotError`.
"""

import json
import os
import zlib
from pathlib import Path

FORMAT_VERSION = 1
MAX_AGE_MS = 120_000.0  # an older level says nothing about the present load
MAX_FILE_BYTES = 4096


class SnapshotError(ValueError):
    """A kept level cannot be used; the text says why."""


def encode(level: str, since: float, now: float) -> bytes:
    """Return the file content for a level, the time since when it holds and the present time (Unix ms)."""
    line = json.dumps({"form": FORMAT_VERSION, "level": level, "since": since, "at": now}).encode()
    return b"%s\n%08x\n" % (line, zlib.crc32(line))


def decode(text: bytes, now: float) -> tuple[str, float]:
    """Return the level and since when it holds; raises `SnapshotError` if the content cannot be used."""
    line, _, checksum_line = text.partition(b"\n")
    if checksum_line != b"%08x\n" % zlib.crc32(line):
        raise SnapshotError("torn: its checksum does not match")
    try:
        values = json.loads(line)
        version, level, since, at = (
            values["form"],
            values["level"],
            float(values["since"]),
            float(values["at"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise SnapshotError(f"not readable: {error}") from error
    if version != FORMAT_VERSION or not isinstance(level, str):
        raise SnapshotError(f"of another format: {version!r}")
    if not -MAX_AGE_MS <= now - at <= MAX_AGE_MS:
        raise SnapshotError(f"old: written {abs(now - at) / 1000.0:.0f} s {'ago' if now > at else 'ahead'}")
    return level, since


def read(path: Path, now: float) -> tuple[str, float] | None:
    """Return the kept level and since when it holds, or None if there is no file.

    Raises `SnapshotError` if the file cannot be read or used.
    """
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from error
    return decode(text, now)


def write(path: Path, level: str, since: float, now: float) -> None:
    """Replace the kept level; if it raises `OSError`, the old file is unchanged."""
    temporary_path = path.with_name(path.name + ".new")
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.write(descriptor, encode(level, since, now))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary_path, path)
