"""Honours KNOWN-RED.txt at the root: a test named there is run, has to fail, and its failure is printed.

Beside it the fixture that several files force crossings with.
"""

import socket

import anyio
import pytest

from tests.knownred import FILE, Red, read, unknown

REDS = pytest.StashKey[dict[str, Red]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the file; absent means none."""
    path = config.rootpath / FILE
    try:
        reds = read(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[REDS] = {red.test: red for red in reds}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Have each test that is named fail or the run fail; a line that names no test fails the run."""
    reds = config.stash[REDS]
    ids = {item.nodeid for item in items}
    whole = config.args == config.getini("testpaths") or config.args == [str(config.rootpath)]
    if missing := unknown(list(reds.values()), ids, whole, config.rootpath):
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(missing)}")
    for item in items:
        if (red := reds.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each failure that was passed over."""
    for report in terminalreporter.stats.get("xfailed", []):
        red = config.stash[REDS].get(report.nodeid)
        if red is not None:
            terminalreporter.section(f"KNOWN RED {red.test}")
            terminalreporter.write_line(f"{red.cause} ({red.issue})")
            terminalreporter.write_line(report.longreprtext)


@pytest.fixture
def gates(monkeypatch: pytest.MonkeyPatch) -> list[anyio.Event]:
    """Have each connection to a peer come up only when its gate is opened: as late as the test wants."""
    from cometseam.transport.peer import Channel  # here: the rest of this file is tried out apart from it

    held: list[anyio.Event] = []
    connect = Channel._connect

    async def late(channel: Channel) -> socket.socket:
        held.append(anyio.Event())
        await held[-1].wait()
        return await connect(channel)

    monkeypatch.setattr(Channel, "_connect", late)
    return held
