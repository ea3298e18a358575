"""One connection to discovery: a non-blocking socket, and HTTP/1.1 over it (h11).

`wait_for_input` waits for input and `read` reads it without waiting, from any task. So the front can process
events that have already arrived before it decides on the basis of an older endpoint list.
"""

import errno
import json
import socket

import anyio
import h11

from cometseam.protocol import ProtocolError
from cometseam.protocol.discovery_events import MAX_ANSWER_BYTES

READ_BYTES = 65536  # bytes read per call
MAX_HEAD_BYTES = 65536  # maximum size of the status line and headers of an answer


class DiscoveryConnection:
    """Sends a poll and reads its answer; one poll at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the socket; raise OSError if that fails, e.g. without a free file descriptor."""
        self.address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._body = bytearray()
        self._is_delimited = True  # by the headers; False: only the connection's end delimits the body
        self._wait_scope: anyio.CancelScope | None = None
        self.pending = False  # a poll is being sent, or its answer is not complete
        self.closed = False

    async def connect(self) -> None:
        """Wait until the connection is established; raise OSError if that fails.

        If this call is cancelled, the caller must close the connection.
        """
        try:
            self._socket.connect(self.address)
        except BlockingIOError as error:
            if error.errno != errno.EINPROGRESS:  # EAGAIN means that no local port is free
                raise
            await anyio.wait_writable(self._socket)
        if error_code := self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error_code, "not connected")
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send_poll(self, target: str) -> None:
        """Send a poll: a GET of the request target `target`."""
        host = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        data = (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._body.clear()
        self.pending = True
        while data:
            try:
                data = data[self._socket.send(data) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self._socket)

    async def wait_for_input(self) -> None:
        """Wait until input has arrived, or `read` has completed the answer meanwhile."""
        if not self.pending:
            return
        with anyio.CancelScope() as self._wait_scope:
            await anyio.wait_readable(self._socket)
        self._wait_scope = None

    def read(self) -> bytes | None:
        """Read the available input; return the answer's body once it is complete, else None.

        Raises:
            ProtocolError: the status is not 200, the body is too long, or the connection ended inside it.
            OSError: the connection failed.
            h11.RemoteProtocolError: the input is not valid HTTP.
        """
        while self.pending and not self.closed:
            try:
                data = self._socket.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return None
            self._http.receive_data(data)
            body = self._next_body()
            if body is not None:
                self.pending = False
                if self._wait_scope is not None:
                    self._wait_scope.cancel()
                return body
        return None

    def _next_body(self) -> bytes | None:
        """Process the input received so far; return the body once it is complete, else None."""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                return None if self._is_delimited else self._complete_undelimited_body()
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ProtocolError(f"expected HTTP status 200, got {event.status_code}")
                header_names = {name for name, _ in event.headers}
                self._is_delimited = bool(header_names & {b"content-length", b"transfer-encoding"})
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_ANSWER_BYTES:
                    raise ProtocolError("the answer is longer than allowed")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(self._body)
            elif isinstance(event, h11.ConnectionClosed):
                raise ProtocolError("the connection ended inside an answer")

    def _complete_undelimited_body(self) -> bytes | None:
        """Return a body that only the end of the connection would delimit, once it is complete JSON."""
        if not self._body.rstrip().endswith(b"}"):
            return None
        try:
            json.loads(self._body)
        except ValueError:
            return None
        return bytes(self._body)

    def prepare_next_poll(self) -> bool:
        """Prepare for the next poll; return False if the connection can't be reused and must be closed."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the socket. Unread input is lost, so call `read` first."""
        if self.closed:
            return
        self.closed, self.pending = True, False
        anyio.notify_closing(self._socket)
        self._socket.close()
