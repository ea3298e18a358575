"""The log events: each call uses a defined event with its fields, and nothing else writes to the log."""

import ast
from pathlib import Path
from string import Formatter

import pytest
from loguru import logger

from cometseam import events
from cometseam.counters import COUNTERS
from cometseam.events import EVENTS, log_event

SOURCES = sorted((Path(__file__).parent.parent / "cometseam").rglob("*.py"))


def log_event_calls() -> list[tuple[str, ast.Call]]:
    calls = []
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log_event":
                calls.append((path.name, node))
    return calls


def test_each_log_event_call_uses_a_defined_event_and_its_fields() -> None:
    used = set()
    for file_name, call in log_event_calls():
        event = call.args[0]
        assert isinstance(event, ast.Constant) and isinstance(event.value, str), file_name
        used.add(event.value)
        assert {keyword.arg for keyword in call.keywords} == EVENTS[event.value].fields.keys(), (
            file_name,
            event.value,
        )
    assert used == EVENTS.keys()  # and each defined event is used


def test_only_the_events_module_uses_loguru() -> None:
    importers = [path.name for path in SOURCES if "loguru" in path.read_text()]
    assert importers == ["events.py"]


@pytest.mark.parametrize("name", sorted(EVENTS))
def test_event_text_contains_all_fields(name: str) -> None:
    spec = EVENTS[name]
    assert {field for _, field, _, _ in Formatter().parse(spec.text) if field} == spec.fields.keys()


def test_rate_limited_event_is_logged_once_per_window_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [100.0]
    monkeypatch.setattr("cometseam.events.time.monotonic", lambda: now[0])
    monkeypatch.setattr(events, "_logged", {})
    lines: list[str] = []
    number = logger.add(lambda message: lines.append(str(message)), format="{message}")
    before = COUNTERS.counts["log.left_out"]
    try:
        for _ in range(5):
            log_event("client.unusable", why="{noise}")
        now[0] += 1.0
        log_event("client.unusable", why="more")
        log_event("front.drains", name="f")
        log_event("front.drains", name="f")
    finally:
        logger.remove(number)
    assert lines == [
        "a client sent what can't be used: {noise}\n", "a client sent what can't be used: more\n",
        "f drains\n", "f drains\n",
    ]  # fmt: skip
    assert COUNTERS.counts["log.left_out"] - before == 4


def test_wrong_field_type_or_name_raises() -> None:
    with pytest.raises(AssertionError):
        log_event("client.unusable", why=3)
    with pytest.raises(AssertionError):
        log_event("client.unusable", because="x")
