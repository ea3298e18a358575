"""Runs instances of the decision module for the simulator, over standard input and output."""

import json
import sys
from typing import BinaryIO

from cometseam.interface import Recall, Settings
from cometseam.json_section import FieldError, Section
from cometseam.logic import Front
from cometseam.settings import read_settings
from cometseam.wire import WireFormatError
from cometseam.wire.frames import (
    Crash,
    Create,
    read_frame,
    read_records,
    write_action,
    write_failure,
    write_reply,
)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with one reply until the input ends."""
    fronts: dict[int, Front] = {}
    while (frame := read_frame(source)) is not None:
        now, body = frame
        records: list[tuple[int, bytes]] = []
        for instance, event in read_records(body):
            if isinstance(event, Create):
                fronts[instance] = Front(event.seed, _parse_settings(event.settings))
            elif isinstance(event, Crash):
                fronts.pop(instance, None)
            elif instance in fronts:
                try:
                    actions = fronts[instance].handle(now, event)
                except Exception as error:  # the protocol has a record for failures of the decision code
                    records.append((instance, write_failure(f"{type(error).__name__}: {error}")))
                    continue
                # Relays are sent immediately here, so none can be recalled before it is written.
                sent = (action for action in actions if not (isinstance(action, Recall) and action.if_unsent))
                records += [(instance, write_action(action)) for action in sent]
        sink.write(write_reply(records))
        sink.flush()


def _parse_settings(raw: bytes) -> Settings:
    try:
        return read_settings(Section(json.loads(raw)))
    except (FieldError, ValueError, RecursionError) as error:
        raise WireFormatError(f"settings: {error}") from error


def main() -> int:
    """Run until the input ends; on malformed input print one line to standard error and return status 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireFormatError as error:
        print(f"cometseam: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
