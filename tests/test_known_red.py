"""KNOWN-RED.txt passes over just the tests that it names, and only while they fail."""

import shutil
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
HERE = Path(__file__).parent
TESTS = "def test_red():\n    assert 1 == 2\n\ndef test_other():\n    pass\n"
RED = "tests/test_a.py::test_red | sums are wrong | issue 1"


def run(pytester: pytest.Pytester, lines: list[str], text: str = TESTS) -> pytest.RunResult:
    folder = pytester.path / "tests"
    folder.mkdir()
    for name in ("__init__.py", "conftest.py", "knownred.py"):
        shutil.copy(HERE / name, folder / name)
    (folder / "test_a.py").write_text(text)
    (pytester.path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    (pytester.path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


def test_a_listed_test_is_run_its_failure_printed_and_passed_over(pytester: pytest.Pytester) -> None:
    result = run(pytester, [RED])
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*KNOWN RED tests/test_a.py::test_red*", "sums are wrong (issue 1)"])
    result.stdout.fnmatch_lines(["*assert 1 == 2*"])


def test_a_failure_that_is_not_listed_fails(pytester: pytest.Pytester) -> None:
    both = TESTS + "\ndef test_new():\n    assert False\n"
    result = run(pytester, [RED], both)
    assert result.ret == 1
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


@pytest.mark.parametrize(
    ("lines", "text", "named"),
    [
        ([RED], TESTS.replace("1 == 2", "True"), "XPASS(strict)"),
        (["tests/test_a.py::test_gone | why | issue 1"], TESTS, "no such test"),
        (["tests/test_b.py::test_red | why | issue 1"], TESTS, "no such test"),
        ([RED] * 4, TESTS, "3 at the most"),
        (["tests/test_a.py::test_red"], TESTS, "TEST | CAUSE | ISSUE"),
    ],
)
def test_a_line_too_many_unknown_or_no_longer_true_fails(
    pytester: pytest.Pytester, lines: list[str], text: str, named: str
) -> None:
    result = run(pytester, lines, text)
    assert result.ret != 0
    assert named in result.stdout.str() + result.stderr.str()


def test_without_the_file_nothing_is_passed_over(pytester: pytest.Pytester) -> None:
    result = run(pytester, ["# none"])
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1)
