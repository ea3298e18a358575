"""Applies KNOWN-RED.txt of the root: a test listed there is run, must fail, and its failure is printed.

Also holds the fixture with which several files delay connections, to force races.
"""

import socket

import anyio
import pytest

from tests.knownred import FILE_NAME, KnownFailure, missing_tests, parse

KNOWN_FAILURES = pytest.StashKey[dict[str, KnownFailure]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the file; without it there are no known failures."""
    path = config.rootpath / FILE_NAME
    try:
        known_failures = parse(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[KNOWN_FAILURES] = {each.test: each for each in known_failures}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark each listed test as a strict expected failure; a listed test that does not exist fails the run."""
    known_failures = config.stash[KNOWN_FAILURES]
    ids = {item.nodeid for item in items}
    is_full_run = config.args == config.getini("testpaths") or config.args == [str(config.rootpath)]
    if missing := missing_tests(list(known_failures.values()), ids, is_full_run, config.rootpath):
        raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(missing)}")
    for item in items:
        if (known_failure := known_failures.get(item.nodeid)) is not None:
            item.add_marker(
                pytest.mark.xfail(reason=f"{known_failure.cause} ({known_failure.issue})", strict=True)
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each expected failure."""
    for report in terminalreporter.stats.get("xfailed", []):
        known_failure = config.stash[KNOWN_FAILURES].get(report.nodeid)
        if known_failure is not None:
            terminalreporter.section(f"KNOWN RED {known_failure.test}")
            terminalreporter.write_line(f"{known_failure.cause} ({known_failure.issue})")
            terminalreporter.write_line(report.longreprtext)


@pytest.fixture
def gates(monkeypatch: pytest.MonkeyPatch) -> list[anyio.Event]:
    """Hold each connection to a peer until the test sets its gate; gates are listed as connections begin."""
    # Imported here because test_known_red.py runs this file without the package.
    from cometseam.transport.channel import Channel

    all_gates: list[anyio.Event] = []
    connect = Channel._connect

    async def connect_after_gate(channel: Channel) -> socket.socket:
        all_gates.append(anyio.Event())
        await all_gates[-1].wait()
        return await connect(channel)

    monkeypatch.setattr(Channel, "_connect", connect_after_gate)
    return all_gates
