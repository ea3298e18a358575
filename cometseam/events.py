"""Defines all events that the program logs: each by name, with level, text and typed fields.

`log_event` is the only way to write to the log. Text lines are for people; with `COMETSEAM_LOG_FORMAT=json`
or `--log-format json` each line is one JSON object with `time` (ISO 8601, UTC), `level`, `event` and the
event's fields.
"""

import json
import sys
import time
from datetime import UTC, datetime
from typing import Any, NamedTuple

from loguru import logger

from cometseam.counters import COUNTERS

RATE_LIMIT_WINDOW_S = 1.0  # a rate-limited event is logged once in this time; the rest are counted


class EventSpec(NamedTuple):
    """Specification of an event; `rate_limited` is set where a peer may cause any number of them."""

    level: str
    text: str
    fields: dict[str, type]
    rate_limited: bool = False


EVENTS: dict[str, EventSpec] = {
    "actor.failed": EventSpec("ERROR", "handling a {kind} failed", {"kind": str}),
    "attempt.after_drain": EventSpec(
        "ERROR",
        "request {request} was written to {endpoint} (source {source}) {after:.0f} ms after its drain",
        {"request": str, "endpoint": str, "source": str, "after": float},
        True,
    ),
    "attempt.unconfirmed": EventSpec(
        "WARNING",
        "request {request} was written to {endpoint}; endpoint list unconfirmed for {lasted:.0f} ms",
        {"request": str, "endpoint": str, "lasted": float},
        True,
    ),
    "changelog.applied": EventSpec(
        "INFO",
        "discovery: applied event {seq}: {endpoints}; polled {waited:.0f} ms before",
        {"seq": int, "endpoints": str, "waited": float},
    ),
    "changelog.applied_further": EventSpec(
        "INFO",
        "discovery: applied events {first} to {last} of the same answer: {endpoints} endpoints",
        {"first": int, "last": int, "endpoints": int},
    ),
    "changelog.failed": EventSpec(
        "WARNING",
        "discovery: {kind}: {why} ({phase}, {waited:.0f} ms, events after {since})",
        {"kind": str, "why": str, "phase": str, "waited": float, "since": int},
        True,
    ),
    "changelog.passed_over": EventSpec(
        "ERROR", "discovery: unusable event {seq} skipped, in part or whole: {why}", {"seq": int, "why": str}
    ),
    "client.ended": EventSpec(
        "INFO",
        "client connection ended ({why}) with {pending} unanswered requests",
        {"why": str, "pending": int},
        True,
    ),
    "client.failed": EventSpec("ERROR", "client connection failed", {}),
    "client.not_accepted": EventSpec("WARNING", "could not accept a connection: {why}", {"why": str}, True),
    "client.unusable": EventSpec("WARNING", "a client sent what can't be used: {why}", {"why": str}, True),
    "config.faulty": EventSpec("ERROR", "configuration: {why}; the one that runs stays", {"why": str}),
    "config.needs_restart": EventSpec(
        "WARNING", "configuration: {key}: has changed, which needs a restart", {"key": str}
    ),
    "config.read": EventSpec("INFO", "configuration: read anew", {}),
    "discovery.confirmed": EventSpec(
        "INFO",
        "discovery confirms the endpoints, unconfirmed for {lasted:.0f} ms ({cause}); {sent} attempts sent",
        {"cause": str, "lasted": float, "sent": int},
    ),
    "fleet.heard": EventSpec(
        "INFO",
        "fleet: {cache} heard {word} (token {token}, ruling {number})",
        {"cache": str, "word": str, "token": int, "number": int},
    ),
    "fleet.lapsed": EventSpec("INFO", "fleet: the ruling on {cache} ended unsaid", {"cache": str}),
    "fleet.ruled": EventSpec(
        "WARNING",
        "fleet: {cache} is ruled {word} (token {token}, ruling {number})",
        {"cache": str, "word": str, "token": int, "number": int},
    ),
    "fleet.task": EventSpec(
        "INFO",
        "fleet: {task}: {state}, token {token}: {why}",
        {"task": str, "state": str, "token": int, "why": str},
    ),
    "front.counters": EventSpec("INFO", "counters ({why}): {counts}", {"why": str, "counts": dict}),
    "front.drains": EventSpec("INFO", "{name} drains", {"name": str}),
    "front.listens": EventSpec(
        "INFO", "{name} listens at {host}:{port}", {"name": str, "host": str, "port": int}
    ),
    "level.changed": EventSpec(
        "WARNING",
        "level of service: {before} to {after}: {why}; {values}; after {stayed:.0f} ms",
        {"before": str, "after": str, "why": str, "values": dict, "stayed": float},
    ),
    "level.found": EventSpec("INFO", "level of service: {level}, as before the restart", {"level": str}),
    "level.mapped": EventSpec(
        "WARNING", "level of service: {before} to {after}, by another file", {"before": str, "after": str}
    ),
    "level.not_kept": EventSpec(
        "WARNING", "level of service: not kept or not found: {why}", {"why": str}, True
    ),
    "module.failed": EventSpec("ERROR", "decision module failed on a {kind}", {"kind": str}),
    "module.says": EventSpec("INFO", "decision module: {text}", {"text": str}),
    "operator.refused": EventSpec(
        "ERROR",
        "operator's file: {place}{path}{reason}; the one that runs stays",
        {"place": str, "path": str, "reason": str},
    ),
    "operator.taken": EventSpec(
        "INFO",
        "operator's file: taken over, {routes} routes, {plans} plans, digest {digest}",
        {"routes": int, "plans": int, "digest": str},
    ),
    "pull.traced": EventSpec(
        "INFO",
        "pull {id} ({workload}) {kind} after {took} ms, {late} of {quoted}: {steps}",
        {"id": str, "workload": str, "kind": str, "took": float, "quoted": float, "late": str, "steps": str},
    ),
    "peer.connection_ended": EventSpec(
        "INFO",
        "{peer}: connection ended ({why}) with {unanswered} unanswered attempts",
        {"peer": str, "why": str, "unanswered": int},
        True,
    ),
    "peer.connection_failed": EventSpec("ERROR", "{peer}: connection failed", {"peer": str}),
    "peer.counters": EventSpec(
        "INFO", "peer ({why}): {peer} {ends}", {"why": str, "peer": str, "ends": dict}
    ),
    "peer.local_failure": EventSpec(
        "WARNING", "{peer}: no local resources to connect: {why}", {"peer": str, "why": str}, True
    ),
    "peer.message_failed": EventSpec("ERROR", "{peer}: processing a message failed", {"peer": str}),
    "peer.not_connected": EventSpec("DEBUG", "{peer}: not connected: {why}", {"peer": str, "why": str}),
    "peer.unusable": EventSpec(
        "WARNING", "{peer} sent what can't be used: {why}", {"peer": str, "why": str}, True
    ),
    "timer.failed": EventSpec("ERROR", "timer callback failed", {}),
}
_logged: dict[str, float] = {}  # when each rate-limited event was last logged, in monotonic seconds


def log_event(event: str, error: BaseException | None = None, /, **fields: Any) -> None:
    """Log an event with its fields; `error` adds its traceback.

    A rate-limited event is logged once in `RATE_LIMIT_WINDOW_S`; the others are counted as `log.left_out`.
    """
    spec = EVENTS[event]
    assert fields.keys() == spec.fields.keys(), f"{event}: {sorted(fields)}"
    assert all(isinstance(fields[name], kind) for name, kind in spec.fields.items()), f"{event}: {fields}"
    if spec.rate_limited:
        now = time.monotonic()
        if now - _logged.get(event, -RATE_LIMIT_WINDOW_S) < RATE_LIMIT_WINDOW_S:
            COUNTERS.add("log.left_out")
            return
        _logged[event] = now
    values = {
        name: _format_counts(value) if isinstance(value, dict) else value for name, value in fields.items()
    }
    text = spec.text.format(**values)
    logger.opt(exception=error).bind(event=event, fields=fields).log(spec.level, "{}", text)


def _format_counts(counts: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value:.1f}" if isinstance(value, float) else f"{name}={value}"
        for name, value in counts.items()
    )


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": datetime.fromtimestamp(record["time"].timestamp(), UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["extra"].get("event", "other"),
        **record["extra"].get("fields", {}),
    }
    if "event" not in record["extra"]:
        line["text"] = record["message"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")
    sys.stderr.flush()


def configure_logging(level: str, log_format: str) -> None:
    """Log events from `level` up to standard error, in the format `text` or `json`."""
    logger.remove()
    if log_format == "json":
        logger.add(_write_json, level=level, format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format="{time:HH:mm:ss.SSS} {level} {message}",
                   backtrace=False, diagnose=False)  # fmt: skip
