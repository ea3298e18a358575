"""Simulates one front in virtual time among scripted caches, and checks the rules of the service.

The checks use only the front's actions and the caches' replies, not the front's own state: one final answer
in time, one relay in flight at a time and none past the deadline, no effect twice. A pull is a client's
request and a relay one attempt of it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from cometseam import interface as i
from cometseam.logic import Front

MAY_HAVE_RUN = (i.Outcome.OK, i.Outcome.ERROR, i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED)


@dataclass
class ScriptedReply:
    """A cache's reply to a relay, after `delay` ms; None means that it never answers."""

    delay: float | None
    outcome: i.Outcome = i.Outcome.OK
    remark: i.Remark = i.Remark.HIT


Behaviour = Callable[[float, i.Relay, i.Pull, Random], ScriptedReply]


@dataclass
class PullRecord:
    """What happened to one pull; times are ms of the simulation."""

    pull: i.Pull
    at: float
    deadline: float
    target_at: float
    sent: list[tuple[float, i.Relay]] = field(default_factory=list)
    ran: list[tuple[float, int]] = field(default_factory=list)  # time and cache of relays that may have run
    cache_misses: int = 0  # cache lookups answered with a miss
    finals: list[tuple[float, str]] = field(default_factory=list)
    in_flight: int | None = None  # number of the relay in flight


class FrontSimulation:
    """One front among scripted caches."""

    def __init__(
        self, settings: i.Settings, listed: tuple[i.CacheEntry, ...], behave: Behaviour, seed: int = 1
    ):
        self.settings, self.behave, self.random = settings, behave, Random(seed)
        self.front = Front(seed, settings)
        self.cells = {entry.cache: entry.cell for entry in listed}
        self.now = 0.0
        self._sequence = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.pull_records: dict[int, PullRecord] = {}
        self.breaches: list[str] = []
        self.further = 0  # relays sent after a failed relay of the same pull
        self.first = 0
        self.sent_at: list[
            tuple[float, bool]
        ] = []  # of each first or further relay: time, whether it is a further one
        self._failed_relays: dict[int, int] = {}
        self.send_event(i.CacheListUpdate(i.ListUpdateKind.FULL, listed))

    def schedule(self, due: float, run: Callable[[], None]) -> None:
        """Schedule a call."""
        heappush(self._events, (due, next(self._sequence), run))

    def run(self, until: float = float("inf")) -> None:
        """Run scheduled calls up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, run = heappop(self._events)
            run()

    def pull(self, due: float, pull: i.Pull) -> None:
        """Schedule a client's pull."""

        def start() -> None:
            rules = self.settings.workloads[pull.workload]
            transfer_time = pull.size_kb / self.settings.stream_rate
            target_at = self.now + min(
                rules.target_latency + rules.target_latency_factor * transfer_time, pull.time_left
            )
            self.pull_records[pull.id] = PullRecord(pull, self.now, self.now + pull.time_left, target_at)
            self.send_event(pull)

        self.schedule(due, start)

    def send_event(self, event: i.Event) -> None:
        """Pass an event to the front and carry out its actions."""
        for action in self.front.handle(self.now, event):
            match action:
                case i.Relay():
                    self._start_relay(action)
                case i.Recall():
                    record = self.pull_records[action.id]
                    if record.in_flight == action.relay:
                        self._cancel_relay(action)
                case i.StartTimer():
                    self._start_timer(action)
                case i.Shed():
                    self._record_final(action.id, "shed")
                case i.Error():
                    self._record_final(action.id, "errored")

    def _cancel_relay(self, recall: i.Recall) -> None:
        self.schedule(
            self.now,
            lambda: self._end_relay(recall.id, recall.relay, ScriptedReply(0.0, i.Outcome.CANCELLED)),
        )

    def _start_timer(self, timer: i.StartTimer) -> None:
        self.schedule(self.now + timer.delay, lambda: self.send_event(i.TimerFired(timer.timer_id)))

    def _add_breach(self, pull: int, what: str) -> None:
        self.breaches.append(f"{self.now:g} pull {pull}: {what}")

    def _record_final(self, pull: int, kind: str) -> None:
        record = self.pull_records[pull]
        if record.finals:
            self._add_breach(pull, f"{kind} after {record.finals[0][1]}")
        if self.now > record.deadline + 1e-6:
            self._add_breach(pull, f"{kind} past its deadline")
        rules = self.settings.workloads[record.pull.workload]
        if kind == "shed" and record.ran and rules.idempotency is i.Idempotency.ONCE_ONLY:
            self._add_breach(pull, "shed though it may have run")
        record.finals.append((self.now, kind))

    def _start_relay(self, relay: i.Relay) -> None:
        record = self.pull_records[relay.id]
        if record.in_flight is not None:
            self._add_breach(relay.id, "two relays in flight")
        if record.finals:
            self._add_breach(relay.id, "a relay after its answer")
        if self.now >= record.deadline or self.now + relay.timeout > record.deadline + 1e-6:
            self._add_breach(relay.id, "a relay past its deadline")
        rules = self.settings.workloads[record.pull.workload]
        if record.ran:
            at, first_cache = record.ran[0]
            if rules.idempotency is i.Idempotency.ONCE_ONLY:
                self._add_breach(relay.id, "a non-idempotent pull that may have run is sent again")
            if rules.idempotency is i.Idempotency.TAGGED:
                if self.now >= at + rules.dedup_window:
                    self._add_breach(relay.id, "a pull with idempotency key is sent again past its window")
                if (
                    rules.dedup_scope is i.DedupScope.CELL
                    and self.cells[relay.cache] != self.cells[first_cache]
                ):
                    self._add_breach(relay.id, "a pull with idempotency key is sent outside its cell")
        number = len(record.sent)
        failed = self._failed_relays.get(relay.id, 0) > 0
        if failed or number == 0:
            self.sent_at.append((self.now, failed))
            self.further += failed
            self.first += not failed
        record.sent.append((self.now, relay))
        record.in_flight = number
        reply = self.behave(self.now, relay, record.pull, self.random)
        if reply.delay is None or reply.delay > relay.timeout:
            timed_out = ScriptedReply(0.0, i.Outcome.TIMEOUT)
            self.schedule(self.now + relay.timeout, lambda: self._end_relay(relay.id, number, timed_out))
        else:
            self.schedule(self.now + reply.delay, lambda: self._end_relay(relay.id, number, reply))

    def _end_relay(self, pull: int, number: int, reply: ScriptedReply) -> None:
        record = self.pull_records[pull]
        if record.in_flight != number:
            return  # it was cancelled; the late reply is dropped
        record.in_flight = None
        sent, relay = record.sent[number]
        if reply.outcome in MAY_HAVE_RUN:
            record.ran.append((sent, relay.cache))
        is_miss = reply.outcome is i.Outcome.MISS and relay.source == relay.cache
        record.cache_misses += is_miss
        if reply.outcome is not i.Outcome.OK and not is_miss:
            self._failed_relays[pull] = self._failed_relays.get(pull, 0) + 1
        served = reply.outcome is i.Outcome.OK and not record.finals
        if served:
            self._record_final(pull, "finished")
        self.send_event(
            i.RelayEnded(
                pull, number, relay.cache, reply.outcome, reply.remark, self.now - sent, 0.0, served, ()
            )
        )

    def violations(self) -> list[str]:
        """Return all breaches of a rule, with pulls that have no answer or that the front still holds."""
        unanswered = [
            f"pull {number}: no answer" for number, record in self.pull_records.items() if not record.finals
        ]
        still_pending = [f"pull {number}: still pending in the front" for number in self.front.pending]
        return [*self.breaches, *unanswered, *still_pending]

    def gain(self) -> float:
        """Return the gain of pulls answered within their target latency, as a share of all pulls' gain."""
        offered = earned = 0.0
        for record in self.pull_records.values():
            gain = self.settings.workloads[record.pull.workload].gain
            offered += gain
            if (
                record.finals
                and record.finals[0][1] == "finished"
                and record.finals[0][0] <= record.target_at
            ):
                earned += gain
        return earned / offered
