"""The one vocabulary of what the program logs: each event by name, with level, text and typed fields.

`say` is the only way to the log. Text lines are for people; with `COMETSEAM_LOG_FORMAT=json` or `--log-
format json` each line is one JSON object with `time` (ISO 8601, UTC), `level`, `event` and the event's
fields.
"""

import json
import sys
import time
from datetime import UTC, datetime
from typing import Any, NamedTuple

from loguru import logger

from cometseam.counters import COUNTERS

QUIET = 1.0  # s in which one event that others cause at will is logged once; all are counted


class Known(NamedTuple):
    """One kind of event: `flood`, the other side may cause it at will."""

    level: str
    text: str
    fields: dict[str, type]
    flood: bool = False


EVENTS: dict[str, Known] = {
    "actor.failed": Known("ERROR", "a {kind} failed", {"kind": str}),
    "attempt.after_drain": Known(
        "ERROR",
        "request {request} is written to {endpoint} (source {source}), {after:.0f} ms after its drain",
        {"request": str, "endpoint": str, "source": str, "after": float}, True,
    ),
    "attempt.unconfirmed": Known(
        "WARNING",
        "request {request} is written to {endpoint}; the list is unconfirmed for {lasted:.0f} ms",
        {"request": str, "endpoint": str, "lasted": float}, True,
    ),
    "changelog.applied": Known(
        "INFO", "the change log: event {seq}: {endpoints}; asked for {waited:.0f} ms before",
        {"seq": int, "endpoints": str, "waited": float},
    ),
    "changelog.failed": Known(
        "WARNING", "the change log: {kind}: {why} ({phase}, {waited:.0f} ms, events after {since})",
        {"kind": str, "why": str, "phase": str, "waited": float, "since": int}, True,
    ),
    "changelog.passed_over": Known(
        "ERROR", "the change log: event {seq} is passed over: {why}", {"seq": int, "why": str}
    ),
    "client.ended": Known(
        "INFO", "a client's connection ended ({why}) with {pending} requests unanswered",
        {"why": str, "pending": int}, True,
    ),
    "client.failed": Known("ERROR", "a client's connection failed", {}),
    "client.not_accepted": Known("WARNING", "a connection was not accepted: {why}", {"why": str}, True),
    "client.unusable": Known("WARNING", "a client sent what can't be used: {why}", {"why": str}, True),
    "config.faulty": Known("ERROR", "configuration: {why}; the one that runs stays", {"why": str}),
    "config.needs_restart": Known(
        "WARNING", "configuration: {key}: has changed, which needs a restart", {"key": str}
    ),
    "config.read": Known("INFO", "configuration: read anew", {}),
    "discovery.confirmed": Known(
        "INFO",
        "discovery confirms the list, unconfirmed for {lasted:.0f} ms ({cause}); {sent} attempts meanwhile",
        {"cause": str, "lasted": float, "sent": int},
    ),
    "fleet.heard": Known(
        "INFO", "fleet: {cache} heard {word} (token {token}, ruling {number})",
        {"cache": str, "word": str, "token": int, "number": int},
    ),
    "fleet.lapsed": Known("INFO", "fleet: the ruling on {cache} ended unsaid", {"cache": str}),
    "fleet.ruled": Known(
        "WARNING", "fleet: {cache} is ruled {word} (token {token}, ruling {number})",
        {"cache": str, "word": str, "token": int, "number": int},
    ),
    "fleet.task": Known(
        "INFO", "fleet: {task}: {state}, token {token}: {why}",
        {"task": str, "state": str, "token": int, "why": str},
    ),
    "front.counters": Known("INFO", "counters ({why}): {counts}", {"why": str, "counts": dict}),
    "front.drains": Known("INFO", "{name} drains", {"name": str}),
    "front.listens": Known(
        "INFO", "{name} listens at {host}:{port}", {"name": str, "host": str, "port": int}
    ),
    "level.changed": Known(
        "WARNING", "level of service: {before} to {after}: {why}; {values}; after {stayed:.0f} ms",
        {"before": str, "after": str, "why": str, "values": dict, "stayed": float},
    ),
    "level.found": Known("INFO", "level of service: {level}, as before the restart", {"level": str}),
    "level.mapped": Known(
        "WARNING", "level of service: {before} to {after}, by another file", {"before": str, "after": str}
    ),
    "level.not_kept": Known("WARNING", "level of service: not kept or not found: {why}", {"why": str}, True),
    "module.failed": Known("ERROR", "the module failed on a {kind}", {"kind": str}),
    "module.says": Known("INFO", "the module says: {text}", {"text": str}),
    "operator.refused": Known(
        "ERROR", "operator's file: {place}{path}{reason}; the one that runs stays",
        {"place": str, "path": str, "reason": str},
    ),
    "operator.taken": Known(
        "INFO", "operator's file: taken over, {routes} routes, {plans} plans, digest {digest}",
        {"routes": int, "plans": int, "digest": str},
    ),
    "pull.traced": Known(
        "INFO", "pull {id} ({workload}) {kind} after {took} ms, {late} of {quoted}: {steps}",
        {"id": str, "workload": str, "kind": str, "took": float, "quoted": float, "late": str, "steps": str},
    ),
    "peer.connection_ended": Known(
        "INFO", "{peer}: a connection ended ({why}) with {unanswered} attempts unanswered",
        {"peer": str, "why": str, "unanswered": int}, True,
    ),
    "peer.connection_failed": Known("ERROR", "{peer}: a connection failed", {"peer": str}),
    "peer.counters": Known("INFO", "peer ({why}): {peer} {ends}", {"why": str, "peer": str, "ends": dict}),
    "peer.local_failure": Known(
        "WARNING", "{peer}: no connection, for want of this machine: {why}", {"peer": str, "why": str}, True
    ),
    "peer.message_failed": Known("ERROR", "{peer}: a message failed", {"peer": str}),
    "peer.not_connected": Known("DEBUG", "{peer}: not connected: {why}", {"peer": str, "why": str}),
    "peer.unusable": Known(
        "WARNING", "{peer} sent what can't be used: {why}", {"peer": str, "why": str}, True
    ),
    "timer.failed": Known("ERROR", "a timer failed", {}),
}  # fmt: skip
_logged: dict[str, float] = {}  # when an event that floods was last logged; as many as there are kinds


def say(event: str, error: BaseException | None = None, /, **fields: Any) -> None:
    """Log an event with its fields; `error` adds where it was raised.

    Of what the other side may cause at will one line of a kind goes out in a while; the rest is counted.
    """
    known = EVENTS[event]
    assert fields.keys() == known.fields.keys(), f"{event}: {sorted(fields)}"
    assert all(isinstance(fields[name], kind) for name, kind in known.fields.items()), f"{event}: {fields}"
    if known.flood:
        now = time.monotonic()
        if now - _logged.get(event, -QUIET) < QUIET:
            COUNTERS.add("log.left_out")
            return
        _logged[event] = now
    told = {name: _told(value) if isinstance(value, dict) else value for name, value in fields.items()}
    text = known.text.format(**told)
    logger.opt(exception=error).bind(event=event, fields=fields).log(known.level, "{}", text)


def _told(counts: dict[str, Any]) -> str:
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


def to_stderr(level: str, form: str) -> None:
    """Log to standard error from a level up, as `text` or `json`."""
    logger.remove()
    if form == "json":
        logger.add(_write_json, level=level, format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format="{time:HH:mm:ss.SSS} {level} {message}",
                   backtrace=False, diagnose=False)  # fmt: skip
