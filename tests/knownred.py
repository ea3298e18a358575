"""Reads KNOWN-RED.txt: tests that fail because of a real fault not fixed yet; each is run, and must fail."""

from pathlib import Path
from typing import NamedTuple

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """One line of the file: a test's id, the cause of its failure, and the issue for it."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parse lines `TEST | CAUSE | ISSUE`.

    Raises:
        ValueError: a line has another form, or there are more than `MAX_ENTRIES`.
    """
    known_failures = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE_NAME}:{number}: a line is TEST | CAUSE | ISSUE")
        known_failures.append(KnownFailure(*parts))
    if len(known_failures) > MAX_ENTRIES:
        raise ValueError(f"{FILE_NAME}: {len(known_failures)} lines, {MAX_ENTRIES} at the most")
    return known_failures


def missing_tests(
    known_failures: list[KnownFailure], collected: set[str], is_full_run: bool, root: Path
) -> list[str]:
    """Return the listed tests that do not exist.

    Args:
        known_failures: the lines of the file.
        collected: ids of the tests that this run collected, before any was deselected.
        is_full_run: whether the run collected all tests; if not, tests of a file that it did not collect are
            not checked, unless the file is gone.
        root: the project's root.
    """
    files = {test.split("::")[0] for test in collected}

    def is_checkable(known_failure: KnownFailure) -> bool:
        file = known_failure.test.split("::")[0]
        return is_full_run or file in files or not (root / file).exists()

    return [each.test for each in known_failures if each.test not in collected and is_checkable(each)]
