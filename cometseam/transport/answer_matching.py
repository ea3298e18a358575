"""Decides over which connections a request may go again, and which answers are copies of earlier ones.

An answer names the request and comes over one connection. Caches may send an answer a second time, long
after the first: over a connection that has carried an earlier attempt of the request, such a copy could be
taken for the answer to the next one, and prove that an attempt did not run which is still running.
"""

from typing import NamedTuple

from cometseam.interface import Remark
from cometseam.protocol.resp import Answer, Command


class ConnectionUse(NamedTuple):
    """An earlier attempt of a pull that went over a connection, and the answer that ended it."""

    connection: int
    is_lookup: bool
    word: str = ""  # of the answer; empty: the attempt ended otherwise
    remark: Remark = Remark.NONE
    waited: float = 0.0  # for the source, in ms; 0: not told

    def is_answered_by(self, answer: Answer) -> bool:
        """Return whether an answer can be one more copy of the one that ended it."""
        return (answer.word, answer.remark, answer.waited) == (self.word, self.remark, self.waited)

    def differs_from_answers_to(self, command: Command, are_failures_noted: bool) -> bool:
        """Return whether copies of its answer can be told from the answer to a later command.

        The time that it waited for its source is its own. The miss of a lookup has no note on why a fill
        failed, and the miss of a fill has one, where the caches send such notes.
        """
        is_missed_lookup = self.is_lookup and self.word == "LACK"
        return self.waited > 0.0 or (is_missed_lookup and bool(command.source) and are_failures_noted)


class RequestHistory(NamedTuple):
    """The earlier attempts of a request, over all connections."""

    uses: tuple[ConnectionUse, ...] = ()

    def with_use(self, use: ConnectionUse) -> "RequestHistory":
        """Return the history with one more attempt."""
        return RequestHistory((*self.uses, use))

    def has_used(self, connection: int) -> bool:
        """Return whether an earlier attempt went over a connection."""
        if not self.uses:
            return False
        return any(use.connection == connection for use in self.uses)

    def may_use_again(self, connection: int, command: Command, are_failures_noted: bool) -> bool:
        """Return whether copies of all earlier answers there can be told from the answer to a command."""
        return all(
            use.connection != connection or use.differs_from_answers_to(command, are_failures_noted)
            for use in self.uses
        )

    def is_repeated(self, answer: Answer, connection: int) -> bool:
        """Return whether an answer over a connection can be one more copy of an earlier one."""
        if not self.uses:
            return False
        return any(use.connection == connection and use.is_answered_by(answer) for use in self.uses)


NO_HISTORY = RequestHistory()


def connection_use(connection: int, command: Command, answer: Answer | None) -> ConnectionUse:
    """Return how an attempt that has ended used its connection; `answer`: what ended it, if one did."""
    if answer is None:
        return ConnectionUse(connection, command.is_lookup)
    return ConnectionUse(connection, command.is_lookup, answer.word, answer.remark, answer.waited)
