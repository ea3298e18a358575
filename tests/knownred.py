"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet; each is run, and must fail."""

from pathlib import Path
from typing import NamedTuple

FILE, MOST = "KNOWN-RED.txt", 3


class Red(NamedTuple):
    """One line of the file: a test by its id, the cause, and the issue that holds it."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[Red]:
    """Read the lines `TEST | CAUSE | ISSUE`; what is wrong is a ValueError that names the line."""
    reds = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}:{number}: a line is TEST | CAUSE | ISSUE")
        reds.append(Red(*parts))
    if len(reds) > MOST:
        raise ValueError(f"{FILE}: {len(reds)} lines, {MOST} at the most")
    return reds


def unknown(reds: list[Red], collected: set[str], whole: bool, root: Path) -> list[str]:
    """Return the tests named that there are not.

    Args:
        collected: the ids of the tests that this run found, before any was left out.
        whole: whether the run looked at all tests; else a file that it did not look at proves nothing.
    """
    files = {test.split("::")[0] for test in collected}

    def judged(red: Red) -> bool:
        file = red.test.split("::")[0]
        return whole or file in files or not (root / file).exists()

    return [red.test for red in reds if red.test not in collected and judged(red)]
