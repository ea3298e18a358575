"""A front's part in the fleet: it holds tasks, probes caches while it holds `probe`, and hears verdicts.

Started by a front whose operator's file names a coordination service (`fleet.service`), and by nothing else.
Who owns what, what to probe and what to rule are decided in `cometseam.ownership` and `cometseam.verdicts`;
what a verdict changes for a pull is the module's. Between them this only carries: to the service, from the
service, and to the router, by `judged`.

When the service is not to be reached the front serves as without it: owners stop acting at their own bound,
verdicts end at theirs, and pulls go by what the front sees itself.
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
from cometseam.ownership import KeyChange, LogPollGate, LogTail, State
from cometseam.transport.probe import probe
from cometseam.verdicts import CacheVerdict, Prober, VerdictTable, VerdictUpdate

__all__ = ["FleetMember", "boot_time", "decode_verdict", "encode_verdict"]

PROBE = "probe"  # the task of probing caches
LIST = "list"  # the task of reading the change log for all
VERDICTS = b"/cometseam/verdicts/"
LOG = b"/cometseam/log"
MOST_VALUE = 1024  # bytes of a verdict
LOOK = 0.02  # s between two looks at what is due

VerdictCallback = Callable[[VerdictUpdate], None]
# All groups, its own, wishes, parts.
LimitSharingSetup = tuple[dict[str, SharingTerms], set[str], DemandReader, ShareCallback]


def encode_verdict(token: int, ruling: CacheVerdict, age: float) -> bytes:
    """Return a verdict as it stands on the service: JSON, at most `MOST_VALUE` bytes."""
    return json.dumps(
        {"token": token, "number": ruling.number, "bad": ruling.bad, "age": round(age, 1)}
    ).encode()


def decode_verdict(value: bytes) -> tuple[int, int, bool, float] | None:
    """Return token, number, bad and age of a verdict; None for what is none (another version, or torn)."""
    if len(value) > MOST_VALUE:
        return None
    try:
        told = json.loads(value)
        token, number, bad, age = told["token"], told["number"], told["bad"], told["age"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    whole = type(token) is int and type(number) is int and type(bad) is bool
    if not whole or not isinstance(age, int | float) or not 0.0 <= age < 1e9 or token <= 0:
        return None
    return token, number, bad, float(age)


class FleetMember:
    """One front's part. `addresses` is the list of caches as the router has it; `judged` tells the module."""

    def __init__(
        self,
        terms: FleetConfig,
        name: str,
        clock: Clock,
        addresses: Callable[[], dict[str, tuple[str, int]]],
        judged: VerdictCallback,
        log: DiscoveryClient | None = None,
        shares: LimitSharingSetup | None = None,
    ) -> None:
        self.terms, self.clock, self.addresses, self.on_verdict = terms, clock, addresses, judged
        longest = max(terms.tasks.values(), key=lambda each: each.round_trip_ms)
        self.client = connect(ServiceAddress.parse(terms.service), longest)
        told = (terms.refresh_ms, clock, self._changed, terms.spread_ms)
        self.task_owners = TaskOwners(self.client, name, terms.tasks, *told)
        self.prober = Prober(terms.probing)
        self.verdict_table = VerdictTable(terms.probing.lasts)
        self.verdict_watcher = KeyRangeWatcher(self.client, VERDICTS, terms.refresh_ms, clock, self._told)
        self.limit_sharer: LimitSharer | None = None
        if shares is not None and terms.grant_timing is not None:
            self.limit_sharer = LimitSharer(self.client, self.task_owners, name, clock, *shares)
        self.log_client = log if terms.max_log_age_ms is not None else None
        self.log_tail, self.log_poll_gate = LogTail(), LogPollGate(terms.max_log_age_ms or 0.0)
        self.log_watcher = KeyRangeWatcher(self.client, LOG, terms.refresh_ms, clock, self._told_of_log)
        self._tail_of = self._said = 0  # the token that the tail belongs to; polls of it that were said
        if self.log_client is not None:
            self.log_client.is_passive, self.log_client.on_answer = self._rests, self._polled
        self._probing = False  # whether this front was the prober when it last looked

    async def run(self) -> None:
        """Take part until cancelled."""
        try:
            async with self.client, anyio.create_task_group() as tasks:
                tasks.start_soon(self.task_owners.run)
                tasks.start_soon(self.verdict_watcher.run)
                if self.log_client is not None:
                    tasks.start_soon(self.log_watcher.run)
                    tasks.start_soon(self._say_log, self.log_client)
                if self.limit_sharer is not None:
                    tasks.start_soon(self.limit_sharer.run)
                await self._work(tasks)
        finally:
            COUNTERS.add("fleet.ended")

    async def _work(self, tasks: TaskGroup) -> None:
        while True:
            await anyio.sleep(LOOK)
            now = self.clock()
            for cache in self.verdict_table.expire(now):
                # The module is not told: what it was told ends with it. That nobody says a verdict again is
                # no word that the cache works.
                COUNTERS.add("fleet.verdict.lapsed")
                log_event("fleet.lapsed", cache=cache)
            COUNTERS.record_max("fleet.view_age_ms", min(self.verdict_watcher.view.age(now), 1e9))
            holder = self.task_owners.holders.get(PROBE)
            if holder is None or not (holder.lease is not None and holder.ownership.may_act(now)):
                self._probing = False
                continue
            addresses = self.addresses()
            self.prober.update_caches(addresses, now)
            if not self._probing:
                self._probing = True
                self.prober.take_over(self.verdict_table.bad_caches(now), now)
            for cache in self.prober.start_due_probes(now):
                COUNTERS.add("fleet.probes")
                tasks.start_soon(self._probe, cache, addresses[cache])
            for ruling in self.prober.pop_due_verdicts(now):
                await self._publish(holder, ruling)

    async def _probe(self, cache: str, address: tuple[str, int]) -> None:
        well = await probe(address, self.terms.probing.within)
        COUNTERS.add("fleet.probe.well" if well else "fleet.probe.failed")
        self.prober.record_probe_result(cache, well)

    async def _publish(self, holder: TaskHolder, ruling: CacheVerdict) -> None:
        age = max(self.clock() - ruling.evidence_since, 0.0) if ruling.bad else 0.0
        value = encode_verdict(holder.ownership.token, ruling, age)
        if await holder.put_fenced(VERDICTS + ruling.cache.encode(), value):
            COUNTERS.add("fleet.verdict.published")
            log_event("fleet.ruled", cache=ruling.cache, word="bad" if ruling.bad else "good",
                token=holder.ownership.token, number=ruling.number)  # fmt: skip
        else:
            COUNTERS.add("fleet.verdict.refused")
            self.prober.record_publish_failure(ruling, self.clock())

    # One front reads the change log for all

    def _reader(self) -> TaskHolder | None:
        """This front's hold on the task `list`, where it may act for it."""
        holder = self.task_owners.holders.get(LIST)
        holds = holder is not None and holder.lease is not None and holder.ownership.may_act(self.clock())
        return holder if holds else None

    def _rests(self) -> bool:
        return not self.log_poll_gate.should_poll(self._reader() is not None, self.clock())

    def _polled(self, text: bytes) -> None:
        """This front has polled the log itself."""
        COUNTERS.add("fleet.log.polls")
        self.log_poll_gate.record_catch_up(True)
        holder = self._reader()
        if holder is None:
            return
        # The reader anew: its polls are counted from its token on.
        if holder.ownership.token != self._tail_of:
            self.log_tail, self._tail_of, self._said = LogTail(), holder.ownership.token, 0
        results = json.loads(text)["results"]
        self.log_tail.add([(event["seq"], len(json.dumps(event)), event) for event in results])

    async def _say_log(self, log: DiscoveryClient) -> None:
        """Say after each poll of the reader's how far it has come."""
        while True:
            await anyio.sleep(LOOK)
            holder = self._reader()
            if holder is None or holder.ownership.token != self._tail_of or self.log_tail.polls == self._said:
                continue
            polls = self.log_tail.polls
            word = {
                "token": self._tail_of,
                "polls": polls,
                "seq": log.last_seq,
                "results": self.log_tail.event_payloads(),
            }
            if await holder.put_fenced(LOG, json.dumps(word).encode()):
                self._said = polls

    def _told_of_log(self, told: list[KeyChange]) -> None:
        for change in told:
            if change.entry is None or change.key != LOG or self.log_client is None:
                continue
            try:
                word = json.loads(change.entry.value)
                token, polls, last = int(word["token"]), int(word["polls"]), int(word["seq"])
            except (ValueError, KeyError, TypeError, RecursionError):
                COUNTERS.add("fleet.log.unusable")
                continue
            if self.log_poll_gate.record_update(token, polls, self.clock()) and self._reader() is None:
                COUNTERS.add("fleet.log.heard")
                if self.log_client.last_seq < last:
                    self.log_client.apply_shared_answer(change.entry.value)
                self.log_poll_gate.record_catch_up(self.log_client.last_seq >= last)

    def _told(self, told: list[KeyChange]) -> None:
        now = self.clock()
        # In a read of the whole, the newest owner's come last: an older one's that is not said again yet
        # is then heard before the fence has moved on.
        for change in sorted(told, key=lambda each: each.entry.mod_revision if each.entry else 0):
            if change.entry is None:
                continue  # it went with its owner's lease; it ends here by this front's own clock
            verdict = decode_verdict(change.entry.value)
            if verdict is None:
                COUNTERS.add("fleet.verdict.unusable")
                continue
            cache = change.key.removeprefix(VERDICTS).decode(errors="replace")
            heard = self.verdict_table.record_verdict(cache, *verdict, now)
            if heard is not None:
                COUNTERS.add("fleet.verdict.heard")
                log_event("fleet.heard", cache=cache, word="bad" if heard.bad else "good",
                    token=verdict[0], number=verdict[1])  # fmt: skip
                self.on_verdict(heard)

    def _changed(self, holder: TaskHolder) -> None:
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
