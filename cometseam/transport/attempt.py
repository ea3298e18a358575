"""A relay attempt at an endpoint: the messages to the endpoint's actor, and how the attempt ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cometseam.protocol.resp import Answer, Command
from cometseam.transport.answer_matching import NO_HISTORY, RequestHistory
from cometseam.transport.clock import Timer
from cometseam.transport.connection import OutgoingMessage

if TYPE_CHECKING:
    from cometseam.transport.channel import Channel


class EndReason(StrEnum):
    """Why a relay ended."""

    ANSWERED = "answered"
    UNSENT = "unsent"  # given up before any byte of it was written: the endpoint never ran it
    UNCONNECTED = "unconnected"  # no connection was established, or it broke before all was written
    BROKEN = "broken"  # the connection broke after the relay was fully written
    TIMED_OUT = "timed_out"
    GIVEN_UP = "given_up"


@dataclass(slots=True, eq=False)
class Attempt:
    """A relay to be sent; a pull has at most one in flight. All times are in ms of `Clock`."""

    pull_number: int
    relay_index: int
    command: Command
    body: list[memoryview]
    queued_at: float
    deadline: float
    timers: list[Timer] = field(default_factory=list)  # they end it or withdraw it
    channel: "Channel | None" = None
    outgoing: OutgoingMessage | None = None
    written_at: float = 0.0  # 0: not fully written
    requeued: bool = False  # its first connection broke before it was fully written
    is_wait_limited: bool = False  # it ends unsent soon unless it gets a connection
    # Any connection of the peer will do once one has a stream free: until then it need not be looked at.
    awaits_stream: bool = False
    has_failed_to_connect: bool = False  # a connection that it needed was not established
    # Cleared when its pull has its final answer, its client has left, or the endpoint was chosen before a
    # drain, a purge or a restart of it: after that its transmission is neither started nor restarted.
    wanted: bool = True
    # Both are checked just before its first byte is written: whether its client still waits, and the latest
    # time at which it may begin.
    is_client_waiting: Callable[[], bool] = field(default=lambda: True)
    begin_by: float = float("inf")
    on_begin: Callable[[], None] = field(default=lambda: None)  # called just before its first byte is written
    history: RequestHistory = NO_HISTORY  # of its pull; includes the attempt itself once it has ended

    def may_begin(self, now: float) -> bool:
        """Return whether writing may begin: its client waits, and a repeat would still be deduplicated."""
        return self.is_client_waiting() and self.wanted and now <= self.begin_by

    def cancel_timers(self) -> None:
        """Cancel its timers, which would keep it and its request in memory until they are due."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()


@dataclass(slots=True)
class GiveUp:
    """Give a relay up; with `if_unsent`, only if no byte of it has been written."""

    attempt: Attempt
    if_unsent: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """A relay has ended."""

    attempt: Attempt
    reason: EndReason
    answer: Answer | None = None
