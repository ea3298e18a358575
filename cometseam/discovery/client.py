"""The discovery client: polls over the connections that `schedule` asks for and delivers received events."""

import errno
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS
from cometseam.discovery.confirmation import ConfirmationPolicy, ConfirmationTracker, Confirmed
from cometseam.discovery.connection import DiscoveryConnection
from cometseam.discovery.schedule import PollPolicy, PollSchedule
from cometseam.discovery.sequence import EventSequence
from cometseam.events import log_event
from cometseam.protocol import ProtocolError
from cometseam.protocol.discovery_events import DiscoveryEvent, EndpointList, parse_answer, poll_path
from cometseam.settings import NameTables

MAX_LOGGED_EVENTS = 8  # events of one answer that are logged one by one
MAX_LOGGED_ENDPOINTS = 8  # endpoints of one event that are logged by name
# Interval for checking whether another front still polls discovery on behalf of this one.
PASSIVE_CHECK_INTERVAL_MS = 50.0
READ_NOW_INTERVAL_MS = 10.0  # minimum interval between two reads made by `read_now`
CONNECTION_ERRORS = (OSError, ProtocolError, h11.RemoteProtocolError, h11.LocalProtocolError)


@dataclass(slots=True, eq=False)
class Poll:
    """One connection and the state of its poll; times are milliseconds of the monotonic clock."""

    number: int
    connection: DiscoveryConnection
    scope: anyio.CancelScope
    phase_started_at: float
    phase: str = "connecting"
    was_answered: bool = False  # this connection has delivered at least one answer


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


class DiscoveryClient:
    """Follows discovery for one front.

    Each event is delivered once, in order, in the same event loop iteration that reads it.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_seq: int,
        names: NameTables,
        on_events: Callable[[list[DiscoveryEvent]], None],
        poll_policy: PollPolicy | None = None,
        clock: Callable[[], float] = monotonic_ms,
        confirmation_policy: ConfirmationPolicy | None = None,
    ) -> None:
        """Begin after event `last_seq`.

        Args:
            address: host and port of discovery.
            last_seq: sequence number of the last event that the front knows.
            names: zone and kind names used to decode endpoint entries.
            on_events: called with new events; must not block.
            poll_policy: timeouts and limits of polling; None for the defaults.
            clock: returns monotonic milliseconds.
            confirmation_policy: when the known state counts as confirmed; None for the defaults.
        """
        self.address, self._names, self._on_events, self._clock = address, names, on_events, clock
        self.address_changes = 0  # how often `address` has changed
        self._sequence = EventSequence(last_seq)
        self._schedule = PollSchedule(poll_policy or PollPolicy())
        self._confirmation = ConfirmationTracker(confirmation_policy or ConfirmationPolicy(), clock())
        self._unconfirmed_attempts = 0  # attempts recorded while the known state was unconfirmed
        self._polls: dict[int, Poll] = {}
        self._connections_started = 0
        self._state_changed = anyio.Event()  # set when the schedule must be evaluated again
        self._tasks: TaskGroup | None = None
        self._last_read_at = float("-inf")
        # Calls `record_pause` if the process was paused.
        self.detect_process_pause: Callable[[], None] = lambda: None
        # For a fleet in which one front polls discovery for all (`coordination.fleet_member`): whether this
        # front leaves polling to another, and a callback that gets the text of each answer and the address
        # that it came from.
        self.is_passive: Callable[[], bool] = lambda: False
        self.on_answer: Callable[[bytes, tuple[str, int]], None] = lambda text, address: None
        self._was_passive = False  # at the last check

    @property
    def last_seq(self) -> int:
        """Return the sequence number of the last accepted event."""
        return self._sequence.last_seq

    def set_address(self, address: tuple[str, int]) -> None:
        """Poll another address from now on; answers to polls outstanding at the old one are still read."""
        if address == self.address:
            return
        self.address = address
        self.address_changes += 1
        self._confirmation.address_changed(self._clock())
        for number in self._schedule.address_changed(self._clock()):
            self._abandon(number, "the discovery address changed")
        self._state_changed.set()

    def read_now(self) -> None:
        """Process all input that has already arrived, without waiting.

        Repeated calls within `READ_NOW_INTERVAL_MS` do nothing. Called before a request is forwarded: after a
        pause of the process the event loop may handle requests before the answer to a poll that arrived
        earlier than they did.
        """
        now = self._clock()
        if now - self._last_read_at < READ_NOW_INTERVAL_MS:
            return
        self._last_read_at = now
        for poll in list(self._polls.values()):
            self._read(poll)

    def confirmation_wait(self) -> float:
        """Return for how many ms at most requests wait until discovery confirms the known state."""
        return 0.0 if self._check_passive() else self._confirmation.remaining_wait(self._clock())

    def _check_passive(self) -> bool:
        """Return whether this front leaves polling to another; note when it begins to poll itself again."""
        is_passive = self.is_passive()
        if self._was_passive and not is_passive:
            self._confirmation.polling_resumed(self._clock())
        self._was_passive = is_passive
        return is_passive

    def record_attempt(self) -> float | None:
        """Record that an attempt was passed to a connection.

        Returns:
            For how many ms the known state has been unconfirmed; None if it is confirmed.
        """
        is_passive = self._check_passive()
        unconfirmed_for = None if is_passive else self._confirmation.unconfirmed_for(self._clock())
        if unconfirmed_for is not None:
            self._unconfirmed_attempts += 1
        return unconfirmed_for

    def record_pause(self, duration: float) -> None:
        """Record that the process continues after a pause of `duration` ms."""
        self._confirmation.process_paused(self._clock(), duration)

    def apply_shared_answer(self, text: bytes) -> bool:
        """Apply events that another front has read; return whether they continue this front's sequence."""
        try:
            error = self._accept_events(self._decode(text), None)
        except ProtocolError:
            error = "unreadable"
        if error:
            # Discovery itself has not been polled yet and may still deliver what is missing.
            self._sequence.reset_retry()
        return not error

    async def run(self) -> None:
        """Poll until cancelled, then close all connections."""
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    self._state_changed = anyio.Event()
                    with anyio.move_on_after(self._run_schedule() / 1000.0):
                        await self._state_changed.wait()
        finally:
            for poll in self._polls.values():
                poll.connection.close()

    def _run_schedule(self) -> float:
        """Carry out the schedule's decision; return after how many ms the schedule must be checked again."""
        now = self._clock()
        decision = self._schedule.check(now)
        for number in decision.abandoned:
            self._abandon(number, "no answer")
        if decision.start_connection and self._check_passive():
            return PASSIVE_CHECK_INTERVAL_MS
        if decision.start_connection:
            self._start_connection(now)
            decision = self._schedule.check(now)
        return max(decision.next_check_at - now, 1.0)

    def _start_connection(self, now: float) -> None:
        assert self._tasks is not None
        if len(self._schedule):
            COUNTERS.add("changelog.overdue")
        self._connections_started += 1
        self._schedule.connection_started(self._connections_started, now)
        try:
            connection = DiscoveryConnection(self.address)
        except OSError as error:  # no file descriptor is free; the schedule tries again later
            self._schedule.connection_failed(self._connections_started, now)
            self._log_failure(error, "connecting", 0.0)
            return
        poll = Poll(self._connections_started, connection, anyio.CancelScope(), now)
        self._polls[poll.number] = poll
        COUNTERS.record_max("changelog.connections", len(self._polls))
        self._tasks.start_soon(self._run_connection, poll)

    async def _run_connection(self, poll: Poll) -> None:
        """Poll over one connection until it is closed."""
        try:
            with poll.scope:
                await poll.connection.connect()
                while await self._send_poll(poll):
                    while poll.connection.pending:
                        await poll.connection.wait_for_input()
                        self._read(poll)
                    # Avoids a busy loop: discovery answers at once while events are frequent, and it may
                    # answer at once without events.
                    await anyio.sleep(self._schedule.policy.poll_interval / 1000.0)
        except Exception as error:  # on any error the known endpoints stay and another poll begins
            self._handle_failure(poll, error)
        finally:
            self._remove(poll)

    async def _send_poll(self, poll: Poll) -> bool:
        """Write the next poll; return False if the connection must not be used again."""
        if poll.number not in self._polls:
            return False
        self.detect_process_pause()
        now = self._clock()
        immediate = not poll.was_answered or self._confirmation.unconfirmed_for(now) is not None
        hold = self._schedule.poll_sent(poll.number, now, immediate=immediate)
        self._confirmation.poll_sent(poll.number, now, hold, is_long_poll=poll.was_answered)
        poll.phase, poll.phase_started_at = "asked", now
        await poll.connection.send_poll(poll_path(self.last_seq, round(hold)))
        return True

    def _read(self, poll: Poll) -> None:
        """Read the available input of a connection; a complete answer is processed immediately."""
        self.detect_process_pause()
        try:
            text = poll.connection.read()
            if text is not None:
                self._handle_answer(poll, text)
        except CONNECTION_ERRORS as error:
            self._handle_failure(poll, error)

    def _decode(self, text: bytes) -> list[DiscoveryEvent]:
        """Decode the text of an answer; raise ProtocolError if it is not valid."""
        started_at = self._clock()
        events = parse_answer(text, self._names)
        COUNTERS.record_max("changelog.decode_ms", self._clock() - started_at)
        COUNTERS.record_max("changelog.events_each", len(events))
        return events

    def _handle_answer(self, poll: Poll, text: bytes) -> None:
        events = self._decode(text)
        error = self._accept_events(events, poll)
        if error:
            raise ProtocolError(error)
        now = self._clock()
        poll.was_answered = True
        if confirmed := self._confirmation.poll_answered(poll.number, now):
            self._log_confirmed(confirmed)
        keeps_connection = self._schedule.poll_answered(poll.number, now)
        self.on_answer(text, poll.connection.address)
        self._state_changed.set()
        if not keeps_connection or self._check_passive() or not poll.connection.prepare_next_poll():
            self._remove(poll)
            poll.scope.cancel()

    def _accept_events(self, events: list[DiscoveryEvent], poll: Poll | None) -> str:
        """Deliver the new events of an answer; return a description of the error, empty if there is none."""
        result = self._sequence.accept(events)
        if result.duplicates:
            COUNTERS.add("changelog.repeated", result.duplicates)
        for unusable in result.skipped:
            COUNTERS.add("changelog.passed_over")
            log_event("changelog.passed_over", seq=unusable.seq, why=unusable.reason)
        started_at = self._clock()
        waited = started_at - poll.phase_started_at if poll is not None else 0.0
        _log_applied(result.events, waited)
        COUNTERS.record_max("changelog.log_ms", self._clock() - started_at)
        if result.events:
            COUNTERS.add("changelog.events", len(result.events))
            started_at = self._clock()
            self._on_events(result.events)
            COUNTERS.record_max("changelog.apply_ms", self._clock() - started_at)
        return result.error

    def _abandon(self, number: int, reason: str) -> None:
        """Close a connection after processing its unread input."""
        poll = self._polls.get(number)
        if poll is None:
            self._schedule.connection_closed(number)
            return
        self._read(poll)
        if poll.number in self._polls:
            self._handle_failure(poll, TimeoutError(reason))

    def _handle_failure(self, poll: Poll, error: Exception) -> None:
        if poll.number not in self._polls:
            return
        COUNTERS.add("changelog.failed")
        now = self._clock()
        self._log_failure(error, poll.phase, now - poll.phase_started_at)
        self._schedule.connection_failed(poll.number, now)
        if isinstance(error, ConnectionRefusedError) or getattr(error, "errno", 0) == errno.ECONNREFUSED:
            self._confirmation.connection_refused(now)
        self._remove(poll)
        poll.scope.cancel()

    def _log_failure(self, error: Exception, phase: str, waited: float) -> None:
        kind, reason = type(error).__name__, str(error)
        log_event("changelog.failed", kind=kind, why=reason, phase=phase, waited=waited, since=self.last_seq)

    def _log_confirmed(self, confirmed: Confirmed) -> None:
        sent, self._unconfirmed_attempts = self._unconfirmed_attempts, 0
        COUNTERS.record_max("discovery.unconfirmed_ms", confirmed.duration)
        log_event("discovery.confirmed", cause=str(confirmed.cause), lasted=confirmed.duration, sent=sent)

    def _remove(self, poll: Poll) -> None:
        if self._polls.pop(poll.number, None) is not None:
            self._confirmation.poll_ended(poll.number, self._clock())
            self._schedule.connection_closed(poll.number)
            self._state_changed.set()
        poll.connection.close()


def _log_applied(events: list[DiscoveryEvent], waited: float) -> None:
    """Log the endpoint lists among an answer's events, the first ones with endpoints and states."""
    listings = [event for event in events if isinstance(event, EndpointList)]
    for listing in listings[:MAX_LOGGED_EVENTS]:
        states = [
            f"{entry.name} {entry.lifecycle.name.lower()}" for entry in listing.entries[:MAX_LOGGED_ENDPOINTS]
        ]
        omitted = len(listing.entries) - len(states)
        endpoints = ", ".join(states) + (f" and {omitted} more" if omitted else "")
        log_event("changelog.applied", seq=listing.seq, endpoints=endpoints, waited=waited)
    if further := listings[MAX_LOGGED_EVENTS:]:
        count = sum(len(listing.entries) for listing in further)
        log_event("changelog.applied_further", first=further[0].seq, last=further[-1].seq, endpoints=count)
