"""Logs each attempt that is written although it should not be: by an unconfirmed list, or after a drain."""

from collections.abc import Callable

from cometseam import interface as i
from cometseam.counters import COUNTERS
from cometseam.events import log_event
from cometseam.routing.endpoints import EndpointChanges, EndpointTable

MAX_REMEMBERED_ENDPOINTS = 256  # draining or removed endpoints whose time of change is kept


class AttemptAudit:
    """Checks attempts as they are written, against the endpoints as they are known then; times are in ms."""

    def __init__(self, endpoints: EndpointTable, now: Callable[[], float]) -> None:
        self._endpoints, self._now = endpoints, now
        self._not_ready_since: dict[int, float] = {}  # by draining or removed cache: when this was received
        # Called for each attempt; returns for how many ms the list has been unconfirmed, None if it is
        # confirmed.
        self.on_attempt_written: Callable[[], float | None] = lambda: None

    def record_changes(self, changes: EndpointChanges) -> None:
        """Keep since when draining and removed caches are known to be so, up to a maximum of them."""
        for cache in changes.ready:
            self._not_ready_since.pop(cache, None)
        self._not_ready_since.update(dict.fromkeys(changes.not_ready, self._now()))
        while len(self._not_ready_since) > MAX_REMEMBERED_ENDPOINTS:
            del self._not_ready_since[next(iter(self._not_ready_since))]

    def check(self, relay: i.Relay, request_id: str) -> None:
        """Log a request that is written while the list is unconfirmed, or although an endpoint is not ready.

        The latter is sent to an endpoint that drains or is gone, or names one as its source.
        """
        unconfirmed_for = self.on_attempt_written()
        if unconfirmed_for is not None:
            COUNTERS.add("attempt.unconfirmed")
            endpoint = self._name_of(relay.cache)
            log_event("attempt.unconfirmed", request=request_id, endpoint=endpoint, lasted=unconfirmed_for)
        not_ready = [cache for cache in (relay.cache, relay.source) if not self._endpoints.is_ready(cache)]
        if not_ready:
            COUNTERS.add("attempt.after_drain")
            now = self._now()
            known_for = max(now - self._not_ready_since.get(cache, now) for cache in not_ready)
            log_event("attempt.after_drain", request=request_id, endpoint=self._name_of(relay.cache),
                source=self._name_of(relay.source), after=known_for)  # fmt: skip

    def _name_of(self, cache: int) -> str:
        entry = self._endpoints.get(cache)
        return entry.name if entry is not None else f"{cache:016x}"
