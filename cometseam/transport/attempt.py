"""One attempt at an endpoint: what its connection is told, and how it ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cometseam.protocol.resp import Answer, Command
from cometseam.transport.clock import Timer
from cometseam.transport.connection import OutgoingMessage

if TYPE_CHECKING:
    from cometseam.transport.peer import Channel


class EndReason(StrEnum):
    """How a relay ended."""

    ANSWERED = "answered"
    UNSENT = "unsent"  # given up before any of it was written: it never ran
    UNCONNECTED = "unconnected"  # no connection came up, or it broke before the relay was written whole
    BROKEN = "broken"  # the connection broke after it was written whole
    TIMED_OUT = "timed_out"
    GIVEN_UP = "given_up"


@dataclass(slots=True, eq=False)
class Attempt:
    """A relay to be sent: one is out for a pull at a time."""

    pull_number: int
    relay_index: int
    command: Command
    body: list[memoryview]
    queued_at: float
    deadline: float
    timer: Timer | None = None
    channel: "Channel | None" = None
    outgoing: OutgoingMessage | None = None
    written_at: float = 0.0  # 0: not written whole
    requeued: bool = False  # the connection it was to go over broke before it was written whole
    # Cleared where its pull has its final answer or its client has left, or it was decided before a drain, a
    # purge or a new start: from then on no byte of it is written anew.
    wanted: bool = True
    # Looked at just before its first byte is written: whether its client still waits; until when it may be.
    is_client_waiting: Callable[[], bool] = field(default=lambda: True)
    begin_by: float = float("inf")
    on_begin: Callable[[], None] = field(default=lambda: None)  # told just before its first byte is written

    def may_begin(self, now: float) -> bool:
        """Tell whether it may be written: for a client that still waits, while a repeat of it is dropped."""
        return self.is_client_waiting() and self.wanted and now <= self.begin_by


@dataclass(slots=True)
class GiveUp:
    """Stop waiting for a relay, or take it back only if nothing of it is written yet."""

    attempt: Attempt
    if_unsent: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """A relay has ended."""

    attempt: Attempt
    reason: EndReason
    answer: Answer | None = None
