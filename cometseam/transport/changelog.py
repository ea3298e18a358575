"""The link to the change log: a long poll over HTTP/1.1 that starts again after whatever breaks it."""

from collections.abc import Callable

import anyio
import h11
from anyio.abc import ByteStream

from cometseam.counters import COUNTERS
from cometseam.events import say
from cometseam.protocol import Malformed
from cometseam.protocol.changelog import MOST, Change, Listing, Unusable, path, read_text
from cometseam.settings import Names

# ms a poll may take where nothing is to be told, and past that; what was told counts 7 s later at the latest:
# three connections in a row may fall silent, the two that replace the first as well, and it is still heard.
POLL, PATIENCE = 1500, 500
CONNECT = 1000  # ms for a connection to come up
NAMED = 8  # endpoints of one event that are logged by name
REST = 50.0  # ms between two looks at whether another front still reads the log for this one
FIRST_WAIT, LONGEST_WAIT = 20.0, 500.0  # ms between two tries that fail


class ChangeLog:
    """The actor: it hands on each event once, in order."""

    def __init__(
        self, address: tuple[str, int], last: int, names: Names, hand_on: Callable[[list[Change]], None]
    ) -> None:
        self._address, self._last, self._names, self._hand_on = address, last, names, hand_on
        self._doubted = (0, 0)  # the event that was due, and the one that came and could not be taken
        self._wait = FIRST_WAIT
        self._link = anyio.CancelScope()  # what is under way with this address
        self._phase, self._since = "connecting", 0.0  # of the poll that is under way, and when that began
        # Where one front reads the log for all (`coordination.party`): whether this one rests, and who is
        # told of each poll that was answered, with its text.
        self.rests: Callable[[], bool] = lambda: False
        self.polled: Callable[[bytes], None] = lambda text: None

    @property
    def last(self) -> int:
        """Tell the number of the last event taken."""
        return self._last

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address, at once; what the old one was about to tell is asked for anew."""
        if address != self._address:
            self._address, self._wait = address, FIRST_WAIT
            self._link.cancel()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            with anyio.CancelScope() as self._link:
                if self.rests():
                    await anyio.sleep(REST / 1000.0)
                    continue
                try:
                    await self._poll()
                except Exception as error:  # whatever it is, the list held stays and the poll starts again
                    COUNTERS.add("changelog.failed")
                    waited = 1000.0 * (anyio.current_time() - self._since)
                    say("changelog.failed", kind=type(error).__name__, why=str(error), phase=self._phase,
                        waited=waited, since=self._last)  # fmt: skip
                await anyio.sleep(self._wait / 1000.0)
                self._wait = min(2.0 * self._wait, LONGEST_WAIT)

    async def _poll(self) -> None:
        """Poll over one connection until it ends."""
        self._phase, self._since = "connecting", anyio.current_time()
        with anyio.fail_after(CONNECT / 1000.0):
            stream = await anyio.connect_tcp(*self._address)
        async with stream:
            http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
            while True:
                self._phase, self._since = "asked", anyio.current_time()
                with anyio.fail_after((POLL + PATIENCE) / 1000.0):
                    text = await self._ask(http, stream)
                changes = read_text(text, self._names)
                self._take(changes)
                self.polled(text)
                self._wait = FIRST_WAIT
                if self.rests():
                    return
                if not changes:  # a log that answers at once with nothing must not keep the front busy
                    await anyio.sleep(FIRST_WAIT / 1000.0)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()

    def hear(self, text: bytes) -> bool:
        """Take in events that another front has read, as the log would tell them; return whether they go on
        from where this one is. What is repeated is passed over, what leaves a gap is not taken."""
        try:
            self._take(read_text(text, self._names))
        except Malformed:
            self._doubted = (0, 0)  # the log itself was not asked yet: it may still tell what is missing
            return False
        return True

    async def _ask(self, http: h11.Connection, stream: ByteStream) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}"
        ask = h11.Request(method="GET", target=path(self._last, POLL), headers=[("Host", host)])
        await stream.send((http.send(ask) or b"") + (http.send(h11.EndOfMessage()) or b""))
        text = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    http.receive_data(b"")
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Malformed(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                text += event.data
                if len(text) > MOST:
                    raise Malformed("an answer that does not end")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(text)
            elif isinstance(event, h11.ConnectionClosed):
                raise Malformed("the connection ended inside an answer")

    def _say_applied(self, change: Change) -> None:
        """Log a change of the list of endpoints: who is in which state from now on."""
        if not isinstance(change, Listing):
            return
        states = [f"{line.name} {line.lifecycle.name.lower()}" for line in change.lines[:NAMED]]
        more = len(change.lines) - len(states)
        endpoints = ", ".join(states) + (f" and {more} more" if more else "")
        waited = 1000.0 * (anyio.current_time() - self._since)
        say("changelog.applied", seq=change.seq, endpoints=endpoints, waited=waited)

    def _take(self, changes: list[Change]) -> None:
        new: list[Change] = []
        try:
            for change in changes:
                due = self._last + 1
                if change.seq < due:
                    COUNTERS.add("changelog.repeated")
                    continue
                why = change.why if isinstance(change, Unusable) else f"event {change.seq} instead of it"
                if (change.seq > due or isinstance(change, Unusable)) and self._doubted != (due, change.seq):
                    self._doubted = (due, change.seq)
                    raise Malformed(f"event {due}: {why}")
                # What is no better when asked for again is passed over: later drains and purges count more.
                self._last = change.seq
                if isinstance(change, Unusable):
                    COUNTERS.add("changelog.passed_over")
                    say("changelog.passed_over", seq=change.seq, why=why)
                else:
                    new.append(change)
                    self._say_applied(change)
        finally:
            if new:
                COUNTERS.add("changelog.events", len(new))
                self._hand_on(new)
