"""Known failures of KNOWN-RED.txt.

Guards against the list hiding anything else: a failure that is not listed, a listed test that passes again or
does not exist any more, and a list that grows.
"""

import shutil
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
HERE = Path(__file__).parent
TEST_MODULE = "def test_red():\n    assert 1 == 2\n\ndef test_other():\n    pass\n"
KNOWN_FAILURE = "tests/test_a.py::test_red | sums are wrong | issue 1"


def run_pytest(pytester: pytest.Pytester, lines: list[str], module: str = TEST_MODULE) -> pytest.RunResult:
    folder = pytester.path / "tests"
    folder.mkdir()
    for name in ("__init__.py", "conftest.py", "knownred.py"):
        shutil.copy(HERE / name, folder / name)
    (folder / "test_a.py").write_text(module)
    (pytester.path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    (pytester.path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


def test_a_listed_test_is_run_and_its_expected_failure_is_printed(pytester: pytest.Pytester) -> None:
    result = run_pytest(pytester, [KNOWN_FAILURE])
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*KNOWN RED tests/test_a.py::test_red*", "sums are wrong (issue 1)"])
    result.stdout.fnmatch_lines(["*assert 1 == 2*"])


def test_a_failure_that_is_not_listed_fails_the_run(pytester: pytest.Pytester) -> None:
    with_another = TEST_MODULE + "\ndef test_new():\n    assert False\n"
    result = run_pytest(pytester, [KNOWN_FAILURE], with_another)
    assert result.ret == 1
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


@pytest.mark.parametrize(
    ("lines", "module", "message"),
    [
        ([KNOWN_FAILURE], TEST_MODULE.replace("1 == 2", "True"), "XPASS(strict)"),
        (["tests/test_a.py::test_gone | why | issue 1"], TEST_MODULE, "no such test"),
        (["tests/test_b.py::test_red | why | issue 1"], TEST_MODULE, "no such test"),
        ([KNOWN_FAILURE] * 4, TEST_MODULE, "3 at the most"),
        (["tests/test_a.py::test_red"], TEST_MODULE, "TEST | CAUSE | ISSUE"),
    ],
)
def test_a_line_too_many_malformed_unknown_or_outdated_fails_the_run(
    pytester: pytest.Pytester, lines: list[str], module: str, message: str
) -> None:
    result = run_pytest(pytester, lines, module)
    assert result.ret != 0
    assert message in result.stdout.str() + result.stderr.str()


def test_without_listed_tests_a_failure_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run_pytest(pytester, ["# none"])
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1)
