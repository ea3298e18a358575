"""A front's membership in the fleet: it owns tasks, probes caches as owner of `probe`, and applies verdicts.

Started only by a front whose operator's file names a coordination service (`fleet.service`). Ownership, what
to probe and which verdict to publish are decided in `cometseam.ownership` and `cometseam.verdicts`; what a
verdict changes for a pull is decided by the routing module. This module only carries data between the service
and those, and passes verdicts to the router by `on_verdict`.

While the service is unreachable the front serves as without it: owners stop acting at their own deadline,
verdicts expire, and pulls are routed by what the front observes itself.
"""

import json
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cometseam.coordination.election import Clock, ServiceAddress, TaskHolder, boot_time, connect
from cometseam.coordination.key_watcher import KeyRangeWatcher
from cometseam.coordination.limit_sharing import DemandReader, LimitSharer, ShareCallback
from cometseam.coordination.task_owners import TaskOwners
from cometseam.counters import COUNTERS
from cometseam.discovery import DiscoveryClient
from cometseam.events import log_event
from cometseam.limits import SharingTerms
from cometseam.operator.fleet import FleetConfig
from cometseam.ownership import KeyChange, LogPollGate, LogSource, LogTail, State
from cometseam.transport.probe import probe
from cometseam.verdicts import CacheVerdict, Prober, VerdictTable, VerdictUpdate

__all__ = ["FleetMember", "boot_time", "decode_verdict", "encode_verdict"]

PROBE_TASK = "probe"  # probes the caches
LIST_TASK = "list"  # reads the discovery event log for all fronts
VERDICT_PREFIX = b"/cometseam/verdicts/"
LOG_KEY = b"/cometseam/log"
MAX_VERDICT_BYTES = 1024
POLL_INTERVAL_S = 0.02  # between two checks for due work

VerdictCallback = Callable[[VerdictUpdate], None]
# The terms of all groups, the front's own groups, what reads its demands, what receives its shares.
LimitSharingSetup = tuple[dict[str, SharingTerms], set[str], DemandReader, ShareCallback]


def encode_verdict(token: int, verdict: CacheVerdict, age: float) -> bytes:
    """Return a verdict as it is stored on the service: JSON, at most `MAX_VERDICT_BYTES`."""
    return json.dumps(
        {"token": token, "number": verdict.number, "bad": verdict.bad, "age": round(age, 1)}
    ).encode()


def decode_verdict(value: bytes) -> tuple[int, int, bool, float] | None:
    """Return token, number, bad and age of a verdict; None if it is invalid (another version, truncated)."""
    if len(value) > MAX_VERDICT_BYTES:
        return None
    try:
        fields = json.loads(value)
        token, number, bad, age = fields["token"], fields["number"], fields["bad"], fields["age"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    types_valid = type(token) is int and type(number) is int and type(bad) is bool
    if not types_valid or not isinstance(age, int | float) or not 0.0 <= age < 1e9 or token <= 0:
        return None
    return token, number, bad, float(age)


class FleetMember:
    """One front's part in the fleet.

    `addresses` returns the router's caches and their addresses; `on_verdict` is called with each verdict that
    changes something; `log_client` is the front's client of the discovery event log; `sharing` sets up shared
    limits.
    """

    def __init__(
        self,
        terms: FleetConfig,
        name: str,
        clock: Clock,
        addresses: Callable[[], dict[str, tuple[str, int]]],
        on_verdict: VerdictCallback,
        log_client: DiscoveryClient | None = None,
        sharing: LimitSharingSetup | None = None,
    ) -> None:
        self.terms, self.clock, self.addresses, self.on_verdict = terms, clock, addresses, on_verdict
        slowest_terms = max(terms.tasks.values(), key=lambda task_terms: task_terms.round_trip_ms)
        self.client = connect(ServiceAddress.parse(terms.service), slowest_terms)
        owner_options = (terms.refresh_ms, clock, self._report_state_changes, terms.spread_ms)
        self.task_owners = TaskOwners(self.client, name, terms.tasks, *owner_options)
        self.prober = Prober(terms.probing)
        self.verdict_table = VerdictTable(terms.probing.lasts)
        self.verdict_watcher = KeyRangeWatcher(
            self.client, VERDICT_PREFIX, terms.refresh_ms, clock, self._apply_verdicts
        )
        self.limit_sharer: LimitSharer | None = None
        if sharing is not None and terms.grant_timing is not None:
            self.limit_sharer = LimitSharer(self.client, self.task_owners, name, clock, *sharing)
        self.log_client = log_client if terms.max_log_age_ms is not None else None
        self.log_tail, self.log_poll_gate = LogTail(), LogPollGate(terms.max_log_age_ms or 0.0)
        self.log_watcher = KeyRangeWatcher(
            self.client, LOG_KEY, terms.refresh_ms, clock, self._apply_log_updates
        )
        # The token and the log that the tail belongs to, and the number of its polls that was last published.
        self._tail_token = self._published_polls = 0
        self._tail_address = ""
        if self.log_client is not None:
            self.log_client.is_passive, self.log_client.on_answer = self._polls_paused, self._record_own_poll
        self._was_prober = False  # at the last check

    async def run(self) -> None:
        """Take part in the fleet until cancelled."""
        try:
            async with self.client, anyio.create_task_group() as tasks:
                tasks.start_soon(self.task_owners.run)
                tasks.start_soon(self.verdict_watcher.run)
                if self.log_client is not None:
                    tasks.start_soon(self.log_watcher.run)
                    tasks.start_soon(self._publish_log, self.log_client)
                if self.limit_sharer is not None:
                    tasks.start_soon(self.limit_sharer.run)
                await self._run_verdicts(tasks)
        finally:
            COUNTERS.add("fleet.ended")

    async def _run_verdicts(self, tasks: TaskGroup) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            now = self.clock()
            for cache in self.verdict_table.expire(now):
                # `on_verdict` is not called: the update that it received expires at the same time. That a
                # verdict is not republished does not show that the cache works.
                COUNTERS.add("fleet.verdict.lapsed")
                log_event("fleet.lapsed", cache=cache)
            COUNTERS.record_max("fleet.view_age_ms", min(self.verdict_watcher.view.age(now), 1e9))
            holder = self.task_owners.holders.get(PROBE_TASK)
            if holder is None or not (holder.lease is not None and holder.ownership.may_act(now)):
                self._was_prober = False
                continue
            addresses = self.addresses()
            self.prober.update_caches(addresses, now)
            if not self._was_prober:
                self._was_prober = True
                self.prober.take_over(self.verdict_table.bad_caches(now), now)
            for cache in self.prober.start_due_probes(now):
                COUNTERS.add("fleet.probes")
                tasks.start_soon(self._probe, cache, addresses[cache])
            for verdict in self.prober.pop_due_verdicts(now):
                await self._publish(holder, verdict)

    async def _probe(self, cache: str, address: tuple[str, int]) -> None:
        succeeded = await probe(address, self.terms.probing.within)
        COUNTERS.add("fleet.probe.well" if succeeded else "fleet.probe.failed")
        self.prober.record_probe_result(cache, succeeded)

    async def _publish(self, holder: TaskHolder, verdict: CacheVerdict) -> None:
        age = max(self.clock() - verdict.evidence_since, 0.0) if verdict.bad else 0.0
        value = encode_verdict(holder.ownership.token, verdict, age)
        if await holder.put_fenced(VERDICT_PREFIX + verdict.cache.encode(), value):
            COUNTERS.add("fleet.verdict.published")
            log_event("fleet.ruled", cache=verdict.cache, word="bad" if verdict.bad else "good",
                token=holder.ownership.token, number=verdict.number)  # fmt: skip
        else:
            COUNTERS.add("fleet.verdict.refused")
            self.prober.record_publish_failure(verdict, self.clock())

    # One front reads the discovery event log for all

    def _active_reader(self) -> TaskHolder | None:
        """Return this front's `TaskHolder` of the task `list`, or None where it may not act for it."""
        holder = self.task_owners.holders.get(LIST_TASK)
        active = holder is not None and holder.lease is not None and holder.ownership.may_act(self.clock())
        return holder if active else None

    def _log_source(self) -> LogSource:
        """Return the log that this front's configuration names now."""
        assert self.log_client is not None
        host, port = self.log_client.address
        return LogSource(f"{host}:{port}", self.log_client.address_changes)

    def _polls_paused(self) -> bool:
        is_reader = self._active_reader() is not None
        return not self.log_poll_gate.should_poll(is_reader, self._log_source(), self.clock())

    def _record_own_poll(self, answer: bytes, address: tuple[str, int]) -> None:
        """Record the answer to this front's own poll of the log; the reader adds it to the tail.

        An answer from an earlier address shows nothing about the present log.
        """
        COUNTERS.add("fleet.log.polls")
        source = self._log_source()
        if f"{address[0]}:{address[1]}" != source.address:
            return
        self.log_poll_gate.record_catch_up(True)
        holder = self._active_reader()
        if holder is None:
            return
        # Under a new token this front has become the reader: polls are counted from 0 under each.
        if holder.ownership.token != self._tail_token:
            self.log_tail, self._tail_token, self._published_polls = LogTail(), holder.ownership.token, 0
        elif source.address != self._tail_address:
            self.log_tail = LogTail(polls=self.log_tail.polls)  # the events of another log are of no use
        self._tail_address = source.address
        results = json.loads(answer)["results"]
        self.log_tail.add([(event["seq"], len(json.dumps(event)), event) for event in results])

    async def _publish_log(self, log_client: DiscoveryClient) -> None:
        """Publish the reader's position and tail after each of its polls."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            holder = self._active_reader()
            if (
                holder is None
                or holder.ownership.token != self._tail_token
                or self.log_tail.polls == self._published_polls
            ):
                continue
            polls = self.log_tail.polls
            update = {
                "token": self._tail_token,
                "polls": polls,
                "log": self._tail_address,
                "seq": log_client.last_seq,
                "results": self.log_tail.event_payloads(),
            }
            if await holder.put_fenced(LOG_KEY, json.dumps(update).encode()):
                self._published_polls = polls

    def _apply_log_updates(self, changes: list[KeyChange]) -> None:
        for change in changes:
            if change.entry is None or change.key != LOG_KEY or self.log_client is None:
                continue
            try:
                update = json.loads(change.entry.value)
                token, polls, last_seq = int(update["token"]), int(update["polls"]), int(update["seq"])
                address = str(update.get("log", ""))  # an earlier version's update names none: not usable
            except (AttributeError, ValueError, KeyError, TypeError, RecursionError):
                COUNTERS.add("fleet.log.unusable")
                continue
            source = self._log_source()
            is_usable = self.log_poll_gate.record_update(token, polls, address, source, self.clock())
            if is_usable and self._active_reader() is None:
                COUNTERS.add("fleet.log.heard")
                if self.log_client.last_seq < last_seq:
                    self.log_client.apply_shared_answer(change.entry.value)
                self.log_poll_gate.record_catch_up(self.log_client.last_seq >= last_seq)

    def _apply_verdicts(self, changes: list[KeyChange]) -> None:
        now = self.clock()
        # In a read of the whole range, the newest owner's verdicts are applied last: an older owner's that is
        # not republished yet is then applied before the fence rejects its token.
        for change in sorted(changes, key=lambda item: item.entry.mod_revision if item.entry else 0):
            if change.entry is None:
                continue  # removed with its owner's lease; it expires here by this front's own clock
            verdict = decode_verdict(change.entry.value)
            if verdict is None:
                COUNTERS.add("fleet.verdict.unusable")
                continue
            cache = change.key.removeprefix(VERDICT_PREFIX).decode(errors="replace")
            update = self.verdict_table.record_verdict(cache, *verdict, now)
            if update is not None:
                COUNTERS.add("fleet.verdict.heard")
                log_event("fleet.heard", cache=cache, word="bad" if update.bad else "good",
                    token=verdict[0], number=verdict[1])  # fmt: skip
                self.on_verdict(update)

    def _report_state_changes(self, holder: TaskHolder) -> None:
        for change in holder.ownership.pop_changes():
            COUNTERS.add(f"fleet.task.{change.after.value}")
            if change.after is not State.CANDIDATE:
                log_event(
                    "fleet.task",
                    task=holder.ownership.task,
                    state=change.after.value,
                    token=change.token,
                    why=change.reason,
                )
