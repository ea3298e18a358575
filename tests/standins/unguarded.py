"""Disables one guard of a front, so that a test can show that the soak's checker notices its absence.

Copied as `sitecustomize.py` to a directory on the path of the child process, where `TEST_UNGUARDED` names the
guard.
"""

import os
import sys
import time
from collections.abc import Callable
from typing import Any

from cometseam.discovery.confirmation import ConfirmationTracker
from cometseam.interface import Idempotency
from cometseam.protocol.discovery_events import EndpointList, Purge
from cometseam.protocol.frames import write_shed
from cometseam.protocol.resp import write_request
from cometseam.routing.actor import Router
from cometseam.settings import EFFECTS
from cometseam.transport import channel, client

EXTRA_TIME_MS = 2000.0  # given to endpoints beyond the time that is left
LEAKED_BYTES = 64 << 20
STARTUP_DELAY_S = 0.5  # in which an event can come between the configuration and the first attempt


def replace_import(module: Any, name: str, replacement: Callable[..., Any]) -> None:
    """Replace a function that a module has imported under `name`."""
    setattr(module, name, replacement)


def no_confirmation() -> None:
    """Start slowly, and use the endpoint list of the configuration without confirmation by discovery."""
    time.sleep(STARTUP_DELAY_S)
    ConfirmationTracker.remaining_wait = lambda self, now: 0.0  # type: ignore[method-assign]


def ignore_events(event_type: type) -> Callable[[], None]:
    """Return a patch that ignores events of one type once the front is live."""

    def patch() -> None:
        apply_changes = Router.apply_changes

        def apply_other_changes(self: Router, changes: list[Any], is_live: bool = True) -> None:
            apply_changes(
                self, [each for each in changes if not is_live or not isinstance(each, event_type)], is_live
            )

        Router.apply_changes = apply_other_changes  # type: ignore[method-assign]

    return patch


def no_client_checks() -> None:
    """Keep serving requests of clients that have left."""
    Router.hang_up = lambda self, client, stream: None  # type: ignore[method-assign]
    Router._awaits = lambda self, client, stream, since: True  # type: ignore[method-assign]
    client.Client.awaits = lambda self, stream: True  # type: ignore[method-assign]


def too_much_time() -> None:
    """Give endpoints more time than the client has left."""
    replace_import(
        channel,
        "write_request",
        lambda command, left, size: write_request(command, left + EXTRA_TIME_MS, size),
    )


def no_stop() -> None:
    """Do not stop a cancelled attempt at its endpoint."""
    replace_import(channel, "write_stop", lambda id: b"")
    channel.Channel.close = lambda self, why: None  # type: ignore[method-assign]


def repeat_all() -> None:
    """Retry requests of a non-idempotent class as if they were idempotent."""
    EFFECTS["at_most_once"] = Idempotency.REPEATABLE


def no_refusals() -> None:
    """Send no answer for shed requests."""
    client.Client.answer_shed = lambda self, stream, come_back_in: None  # type: ignore[method-assign]


def answer_twice() -> None:
    """Send a second answer after each served one."""
    answer_served = client.Client.answer_served

    def answer_served_twice(self: client.Client, stream: int, copy_holds: bool, body: Any) -> None:
        answer_served(self, stream, copy_holds, body)
        self._connection.send([write_shed(stream, 0.0)])

    client.Client.answer_served = answer_served_twice  # type: ignore[method-assign]


def exit_with_error() -> None:
    """Exit with a status other than 0."""
    import atexit

    atexit.register(lambda: os._exit(3))


def leak_descriptors() -> None:
    """Open more descriptors than the limit allows."""
    leaked_descriptors.extend(os.open("/dev/null", os.O_RDONLY) for _ in range(1100))


def leak_memory() -> None:
    """Take more memory than the limit allows."""
    leaked_memory.extend(os.urandom(LEAKED_BYTES))


leaked_descriptors: list[int] = []
leaked_memory = bytearray()
GUARDS: dict[str, Callable[[], None]] = {
    "answered": no_refusals, "answered once": answer_twice, "one attempt at a time": no_stop,
    "no effect twice": repeat_all, "drain": ignore_events(EndpointList), "drain at a start": no_confirmation,
    "purge": ignore_events(Purge), "client gone": no_client_checks, "time left": too_much_time,
    "process": exit_with_error, "resources": leak_descriptors, "memory": leak_memory,
}  # fmt: skip
if "TEST_UNGUARDED" in os.environ and "cometseam" in " ".join(sys.orig_argv):
    GUARDS[os.environ["TEST_UNGUARDED"]]()
