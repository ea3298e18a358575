"""Takes one guard of a front away, so that a checker can be shown to find what it guards against.

Copied as `sitecustomize.py` to a folder on the path of the child; `TEST_UNGUARDED` names the guard.
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
from cometseam.transport import client, peer

DELAY = 2000.0  # ms that an endpoint is told over what is left
SLOW_START = 0.5  # s


def replaced(module: Any, name: str, by: Callable[..., Any]) -> None:
    """Have a module call something else by a name that it imports."""
    setattr(module, name, by)


def no_confirmation() -> None:
    """A front that starts, and takes a while for it, sends by the list of its configuration."""
    time.sleep(SLOW_START)
    ConfirmationTracker.remaining_wait = lambda self, now: 0.0  # type: ignore[method-assign]


def without(kind: type) -> Callable[[], None]:
    """Events of one kind are not acted on."""

    def patch() -> None:
        change = Router.apply_changes

        def some(self: Router, changes: list[Any], is_live: bool = True) -> None:
            change(self, [each for each in changes if not is_live or not isinstance(each, kind)], is_live)

        Router.apply_changes = some  # type: ignore[method-assign]

    return patch


def no_look_at_clients() -> None:
    """Clients that have left are served on."""
    Router.hang_up = lambda self, client, stream: None  # type: ignore[method-assign]
    Router._awaits = lambda self, client, stream, since: True  # type: ignore[method-assign]
    client.Client.awaits = lambda self, stream: True  # type: ignore[method-assign]


def too_much_time() -> None:
    """Endpoints are told more time than the client has."""
    replaced(peer, "write_request", lambda command, left, size: write_request(command, left + DELAY, size))


def no_stop() -> None:
    """An attempt that is given up is not stopped at its endpoint."""
    replaced(peer, "write_stop", lambda id: b"")
    peer.Channel.close = lambda self, why: None  # type: ignore[method-assign]


def repeats_all() -> None:
    """A class whose requests may run once only is repeated as others are."""
    EFFECTS["at_most_once"] = Idempotency.REPEATABLE


def no_refusals() -> None:
    """What is given up has no answer."""
    client.Client.answer_shed = lambda self, stream, come_back_in: None  # type: ignore[method-assign]


def answers_twice() -> None:
    """What is served is answered once more."""
    served = client.Client.answer_served

    def twice(self: client.Client, stream: int, copy_holds: bool, body: Any) -> None:
        served(self, stream, copy_holds, body)
        self._connection.send([write_shed(stream, 0.0)])

    client.Client.answer_served = twice  # type: ignore[method-assign]


def ends_badly() -> None:
    """The process ends with another status than 0."""
    import atexit

    atexit.register(lambda: os._exit(3))


def wastes_descriptors() -> None:
    """The process holds more descriptors than it may."""
    held.extend(os.open("/dev/null", os.O_RDONLY) for _ in range(1100))


held: list[int] = []
GUARDS: dict[str, Callable[[], None]] = {
    "answered": no_refusals, "answered once": answers_twice, "one attempt at a time": no_stop,
    "no effect twice": repeats_all, "drain": without(EndpointList), "drain at a start": no_confirmation,
    "purge": without(Purge), "client gone": no_look_at_clients, "time left": too_much_time,
    "process": ends_badly, "resources": wastes_descriptors,
}  # fmt: skip
if "TEST_UNGUARDED" in os.environ and "cometseam" in " ".join(sys.orig_argv):
    GUARDS[os.environ["TEST_UNGUARDED"]]()
