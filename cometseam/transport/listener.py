"""The listener that accepts client connections, and closes those that are overdue, stalled or in the way."""

import socket

import anyio
from anyio.abc import TaskGroup

from cometseam.counters import COUNTERS
from cometseam.events import log_event
from cometseam.memory import RequestBudget
from cometseam.transport.admission import (
    Admission,
    ConnectionLoad,
    decide_admission,
    has_excess,
)
from cometseam.transport.buffers import BufferPool, RequestBuffers
from cometseam.transport.client import Client, PullHandler
from cometseam.transport.clock import Clock

CHECK_INTERVAL_S = 0.25  # between two checks for overdue and stalled connections
MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the loop
MAX_CLOSES_PER_TURN = 16  # idle connections closed in one turn to make room for a client


class Listener:
    """Accepts up to `max_clients` client connections; beyond that the longest idle one is closed.

    A connection's write side is closed first and it is still read up to a bound, so that input which arrives
    after the close destroys no answer.
    """

    def __init__(
        self, address: tuple[str, int], max_clients: int, pool: BufferPool, clock: Clock,
        pull_handler: PullHandler, first_pull_timeout: float = 0.0, budget: RequestBudget | None = None,
    ) -> None:  # fmt: skip
        """Listen on `address`; `budget`, the memory for requests and connections, is unlimited by default."""
        self.max_clients, self._clock, self._pull_handler = max_clients, clock, pull_handler
        self._budget = budget if budget is not None else RequestBudget()
        self._buffers = RequestBuffers(pool, self._discard_stalled_frame, self._budget)
        self._first_pull_timeout = first_pull_timeout  # ms, from accepting a connection
        self.clients: set[Client] = set()  # removed when the connection is closed
        # Connections being closed, and since when; they are still read up to a bound. They hold descriptors:
        # with `clients` there are at most `max_connections`; beyond that the oldest is closed at once.
        self._closing: dict[Client, float] = {}
        self._tasks: TaskGroup | None = None
        self._draining = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(socket.SOMAXCONN)
        self._sock.setblocking(False)

    async def run(self, tasks: TaskGroup) -> None:
        """Accept connections until `begin_shutdown`."""
        self._tasks = tasks
        while True:
            try:
                await anyio.wait_readable(self._sock)
            except (anyio.ClosedResourceError, ValueError, OSError):
                return  # closed by `begin_shutdown`
            for index in range(MAX_ACCEPTS_PER_TURN):
                accepted = self.accept(is_client_waiting=not index)
                if accepted is None:
                    await anyio.sleep(0.01)  # limit reached, or no descriptor: wait for connections to end
                if not accepted:
                    break

    def accept(self, is_client_waiting: bool = False) -> bool | None:
        """Accept one connection; return False if none waits, None if it cannot be accepted now.

        `is_client_waiting`: a client is known to wait, so that idle connections may be closed to make room.
        """
        if self._tasks is None or self._sock.fileno() < 0:
            return False
        if not self._make_room(is_client_waiting):
            return None
        try:
            sock, (address, *_) = self._sock.accept()
            client = Client(sock, self._buffers, self._clock, self._pull_handler, address)
        except BlockingIOError:
            return False
        except (ConnectionAbortedError, InterruptedError):  # another may be waiting in the queue
            COUNTERS.add("client.aborted")
            return None
        except OSError as error:
            COUNTERS.add("client.not_accepted")
            log_event("client.not_accepted", why=str(error))
            return None
        COUNTERS.add("client.accepted")
        self.clients.add(client)
        self._budget.add_connection()
        self._close_excess()
        COUNTERS.record_max("client.connections", len(self.clients))
        self._tasks.start_soon(self._serve, client)
        return True

    def _make_room(self, is_client_waiting: bool) -> bool:
        """Make room for a connection if that is possible now; return whether there is room."""
        closes_left = MAX_CLOSES_PER_TURN if is_client_waiting else 0
        while True:
            match decide_admission(self.max_clients, self._load()):
                case Admission.ACCEPT:
                    return True
                case Admission.END_OLDEST_CLOSING:
                    oldest = next(iter(self._closing))
                    del self._closing[oldest]
                    oldest.close("connection limit reached while it was closing")
                case Admission.CLOSE_LONGEST_IDLE if closes_left:
                    closes_left -= 1
                    self._close_longest_idle()
                case _:
                    return False

    def _load(self) -> ConnectionLoad:
        """Return the present connections; idle ones are looked for only at the limit."""
        in_use, closing = len(self.clients), len(self._closing)
        is_full = in_use + closing >= self.max_clients
        closing_since = next(iter(self._closing.values()), self._clock.now())
        return ConnectionLoad(
            in_use, closing, is_full and self._longest_idle() is not None, self._clock.now() - closing_since
        )

    def _close_excess(self) -> None:
        """Close the longest idle connections while more are in use than may be."""
        while has_excess(self.max_clients, len(self.clients)) and self._close_longest_idle():
            pass

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection for a new client; return False if none is idle."""
        idle_client = self._longest_idle()
        if idle_client is not None:
            COUNTERS.add("client.gave_place")
            self._close_client(idle_client, "idle, closed for a new client")
        return idle_client is not None

    def _longest_idle(self) -> Client | None:
        """Return the longest idle connection that may be closed for a new client, or None."""
        by_age = sorted(self.clients, key=lambda client: client.used_at)
        return next((client for client in by_age if client.is_evictable(self._first_pull_timeout)), None)

    def _close_client(self, client: Client, reason: str) -> None:
        """Close a connection gracefully; its descriptor is freed once the client has seen the close."""
        self.clients.discard(client)
        self._closing[client] = self._clock.now()
        client.close_gracefully(reason)

    @property
    def is_empty(self) -> bool:
        """Return whether no connection is left, not even one that is being closed."""
        return not self.clients and not self._closing

    def begin_shutdown(self) -> None:
        """Stop listening and close all connections gracefully; what has been sent still reaches clients."""
        anyio.notify_closing(self._sock)
        self._sock.close()
        for client in [*self.clients, *self._closing]:
            client.close_gracefully("the front shuts down")

    async def _serve(self, client: Client) -> None:
        try:
            await client.run(self._draining)
        except Exception as error:
            COUNTERS.add("client.exception")
            log_event("client.failed", error)
        finally:
            self._budget.remove_connection()
            self.clients.discard(client)
            self._closing.pop(client, None)

    async def close_overdue(self, stall_timeout: float) -> None:
        """Close overdue and stalled connections, and reject overdue frames, until cancelled.

        Args:
            stall_timeout: for how many ms a client may leave an answer unread.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.close_stalled(stall_timeout)
            for client in list(self.clients):
                client.reject_incomplete_frame()
                if client.is_overdue():
                    COUNTERS.add("client.overdue")
                    self._close_client(client, "overdue")

    def close_stalled(self, stall_timeout: float) -> None:
        """Close connections that leave an answer unread for `stall_timeout` ms: its buffers are needed."""
        for client in list(self.clients):
            if client.is_stalled(stall_timeout):
                COUNTERS.add("client.stalled")
                client.close("stalled")  # at once: its buffers are needed, and its client reads nothing
                self.clients.discard(client)

    def _discard_stalled_frame(self) -> bool:
        """Release the buffers of the frame stalled for longest; return False if none is."""
        by_age = sorted(self.clients, key=lambda client: client.received_at)
        stalled = next((client for client in by_age if client.has_stalled_frame()), None)
        if stalled is not None:
            stalled.discard_partial_frame()
        return stalled is not None

    def drain(self) -> None:
        """Ask all clients, present and future, to send no new pull."""
        self._draining = True
        for client in list(self.clients):
            client.send_no_more()
