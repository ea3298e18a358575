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

from cometseam.coordination.crew import Crew
from cometseam.coordination.elect import Clock, Holder, Place, boot_time, connect
from cometseam.coordination.follow import Follower
from cometseam.coordination.sharing import Granted, Sharer, Wishes
from cometseam.counters import COUNTERS
from cometseam.discovery import DiscoveryClient
from cometseam.events import say
from cometseam.limits import Sharing
from cometseam.operator.fleet import FleetTerms
from cometseam.ownership import State, Tail, Told, Turn
from cometseam.transport.probe import probe
from cometseam.verdicts import Board, Heard, Prober, Ruling

__all__ = ["Party", "boot_time", "read_verdict", "write_verdict"]

PROBE = "probe"  # the task of probing caches
LIST = "list"  # the task of reading the change log for all
VERDICTS = b"/cometseam/verdicts/"
LOG = b"/cometseam/log"
MOST_VALUE = 1024  # bytes of a verdict
LOOK = 0.02  # s between two looks at what is due

Judged = Callable[[Heard], None]
Shares = tuple[dict[str, Sharing], set[str], Wishes, Granted]  # all groups, its own, wishes, parts


def write_verdict(token: int, ruling: Ruling, age: float) -> bytes:
    """Return a verdict as it stands on the service: JSON, at most `MOST_VALUE` bytes."""
    return json.dumps(
        {"token": token, "number": ruling.number, "bad": ruling.bad, "age": round(age, 1)}
    ).encode()


def read_verdict(value: bytes) -> tuple[int, int, bool, float] | None:
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


class Party:
    """One front's part. `addresses` is the list of caches as the router has it; `judged` tells the module."""

    def __init__(
        self, terms: FleetTerms, name: str, clock: Clock, addresses: Callable[[], dict[str, tuple[str, int]]],
        judged: Judged, log: DiscoveryClient | None = None, shares: Shares | None = None,
    ) -> None:  # fmt: skip
        self.terms, self.clock, self.addresses, self.judged = terms, clock, addresses, judged
        longest = max(terms.tasks.values(), key=lambda each: each.round_trip_ms)
        self.client = connect(Place.parse(terms.service), longest)
        told = (terms.refresh_ms, clock, self._changed, terms.spread_ms)
        self.crew = Crew(self.client, name, terms.tasks, *told)
        self.prober = Prober(terms.probing)
        self.board = Board(terms.probing.lasts)
        self.follower = Follower(self.client, VERDICTS, terms.refresh_ms, clock, self._told)
        self.sharer: Sharer | None = None
        if shares is not None and terms.limits is not None:
            self.sharer = Sharer(self.client, self.crew, name, clock, *shares)
        self.log = log if terms.log_bound_ms is not None else None
        self.tail, self.turn = Tail(), Turn(terms.log_bound_ms or 0.0)
        self.log_follower = Follower(self.client, LOG, terms.refresh_ms, clock, self._told_of_log)
        self._tail_of = self._said = 0  # the token that the tail belongs to; polls of it that were said
        if self.log is not None:
            self.log.rests, self.log.polled = self._rests, self._polled
        self._probing = False  # whether this front was the prober when it last looked

    async def run(self) -> None:
        """Take part until cancelled."""
        try:
            async with self.client, anyio.create_task_group() as tasks:
                tasks.start_soon(self.crew.run)
                tasks.start_soon(self.follower.run)
                if self.log is not None:
                    tasks.start_soon(self.log_follower.run)
                    tasks.start_soon(self._say_log, self.log)
                if self.sharer is not None:
                    tasks.start_soon(self.sharer.run)
                await self._work(tasks)
        finally:
            COUNTERS.add("fleet.ended")

    async def _work(self, tasks: TaskGroup) -> None:
        while True:
            await anyio.sleep(LOOK)
            now = self.clock()
            for cache in self.board.end(now):
                # The module is not told: what it was told ends with it. That nobody says a verdict again is
                # no word that the cache works.
                COUNTERS.add("fleet.verdict.lapsed")
                say("fleet.lapsed", cache=cache)
            COUNTERS.see("fleet.view_age_ms", min(self.follower.view.age(now), 1e9))
            holder = self.crew.holders.get(PROBE)
            if holder is None or not (holder.lease is not None and holder.owner.may_act(now)):
                self._probing = False
                continue
            addresses = self.addresses()
            self.prober.listed(addresses, now)
            if not self._probing:
                self._probing = True
                self.prober.began(self.board.bad(now), now)
            for cache in self.prober.due(now):
                COUNTERS.add("fleet.probes")
                tasks.start_soon(self._probe, cache, addresses[cache])
            for ruling in self.prober.rulings(now):
                await self._publish(holder, ruling)

    async def _probe(self, cache: str, address: tuple[str, int]) -> None:
        well = await probe(address, self.terms.probing.within)
        COUNTERS.add("fleet.probe.well" if well else "fleet.probe.failed")
        self.prober.ended(cache, well)

    async def _publish(self, holder: Holder, ruling: Ruling) -> None:
        age = max(self.clock() - ruling.since, 0.0) if ruling.bad else 0.0
        value = write_verdict(holder.owner.token, ruling, age)
        if await holder.put(VERDICTS + ruling.cache.encode(), value):
            COUNTERS.add("fleet.verdict.published")
            say("fleet.ruled", cache=ruling.cache, word="bad" if ruling.bad else "good",
                token=holder.owner.token, number=ruling.number)  # fmt: skip
        else:
            COUNTERS.add("fleet.verdict.refused")
            self.prober.unsaid(ruling, self.clock())

    # One front reads the change log for all

    def _reader(self) -> Holder | None:
        """This front's hold on the task `list`, where it may act for it."""
        holder = self.crew.holders.get(LIST)
        holds = holder is not None and holder.lease is not None and holder.owner.may_act(self.clock())
        return holder if holds else None

    def _rests(self) -> bool:
        return not self.turn.polls(self._reader() is not None, self.clock())

    def _polled(self, text: bytes) -> None:
        """This front has polled the log itself."""
        COUNTERS.add("fleet.log.polls")
        self.turn.caught_up(True)
        holder = self._reader()
        if holder is None:
            return
        if holder.owner.token != self._tail_of:  # the reader anew: its polls are counted from its token on
            self.tail, self._tail_of, self._said = Tail(), holder.owner.token, 0
        results = json.loads(text)["results"]
        self.tail.add([(event["seq"], len(json.dumps(event)), event) for event in results])

    async def _say_log(self, log: DiscoveryClient) -> None:
        """Say after each poll of the reader's how far it has come."""
        while True:
            await anyio.sleep(LOOK)
            holder = self._reader()
            if holder is None or holder.owner.token != self._tail_of or self.tail.polls == self._said:
                continue
            polls = self.tail.polls
            word = {"token": self._tail_of, "polls": polls, "seq": log.last, "results": self.tail.told()}
            if await holder.put(LOG, json.dumps(word).encode()):
                self._said = polls

    def _told_of_log(self, told: list[Told]) -> None:
        for change in told:
            if change.entry is None or change.key != LOG or self.log is None:
                continue
            try:
                word = json.loads(change.entry.value)
                token, polls, last = int(word["token"]), int(word["polls"]), int(word["seq"])
            except (ValueError, KeyError, TypeError, RecursionError):
                COUNTERS.add("fleet.log.unusable")
                continue
            if self.turn.hears(token, polls, self.clock()) and self._reader() is None:
                COUNTERS.add("fleet.log.heard")
                if self.log.last < last:
                    self.log.hear(change.entry.value)
                self.turn.caught_up(self.log.last >= last)

    def _told(self, told: list[Told]) -> None:
        now = self.clock()
        # In a read of the whole, the newest owner's come last: an older one's that is not said again yet
        # is then heard before the fence has moved on.
        for change in sorted(told, key=lambda each: each.entry.written if each.entry else 0):
            if change.entry is None:
                continue  # it went with its owner's lease; it ends here by this front's own clock
            verdict = read_verdict(change.entry.value)
            if verdict is None:
                COUNTERS.add("fleet.verdict.unusable")
                continue
            cache = change.key.removeprefix(VERDICTS).decode(errors="replace")
            heard = self.board.take(cache, *verdict, now)
            if heard is not None:
                COUNTERS.add("fleet.verdict.heard")
                say("fleet.heard", cache=cache, word="bad" if heard.bad else "good",
                    token=verdict[0], number=verdict[1])  # fmt: skip
                self.judged(heard)

    def _changed(self, holder: Holder) -> None:
        for change in holder.owner.drain():
            COUNTERS.add(f"fleet.task.{change.after.value}")
            if change.after is not State.CANDIDATE:
                say("fleet.task", task=holder.owner.task, state=change.after.value, token=change.token,
                    why=change.why)  # fmt: skip
