"""The vocabulary of the log: what the program says is known there, and nothing else is written."""

import ast
from pathlib import Path
from string import Formatter

import pytest
from loguru import logger

from cometseam import events
from cometseam.counters import COUNTERS
from cometseam.events import EVENTS, log_event

SOURCES = sorted((Path(__file__).parent.parent / "cometseam").rglob("*.py"))


def calls() -> list[tuple[str, ast.Call]]:
    found = []
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log_event":
                found.append((path.name, node))
    return found


def test_each_call_names_a_known_event_with_just_its_fields() -> None:
    said = set()
    for where, call in calls():
        event = call.args[0]
        assert isinstance(event, ast.Constant) and isinstance(event.value, str), where
        said.add(event.value)
        assert {word.arg for word in call.keywords} == EVENTS[event.value].fields.keys(), (where, event.value)
    assert said == EVENTS.keys()  # and none is known that nobody says


def test_nothing_else_writes_to_the_log() -> None:
    users = [path.name for path in SOURCES if "loguru" in path.read_text()]
    assert users == ["events.py"]


@pytest.mark.parametrize("name", sorted(EVENTS))
def test_a_text_shows_all_fields_of_its_event(name: str) -> None:
    known = EVENTS[name]
    assert {field for _, field, _, _ in Formatter().parse(known.text) if field} == known.fields.keys()


def test_a_flood_is_one_line_a_while_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_field_of_another_type_or_name_is_a_fault_of_the_program() -> None:
    with pytest.raises(AssertionError):
        log_event("client.unusable", why=3)
    with pytest.raises(AssertionError):
        log_event("client.unusable", because="x")
