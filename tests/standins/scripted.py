"""A world in virtual time for one front: scripted caches that answer as told, and a record that judges.

It checks the rules by itself from what it saw, not from what the module says: one final answer in time, one
relay out at a time and none past the cut-off, no effect twice.
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
class Said:
    """What a cache does with a relay: after `delay` ms it ends so; None: it never answers."""

    delay: float | None
    outcome: i.Outcome = i.Outcome.OK
    remark: i.Remark = i.Remark.HIT


Behave = Callable[[float, i.Relay, i.Pull, Random], Said]


@dataclass
class Story:
    """What happened to one pull."""

    pull: i.Pull
    at: float
    cut_off: float
    quoted: float
    sent: list[tuple[float, i.Relay]] = field(default_factory=list)
    ran: list[tuple[float, int]] = field(default_factory=list)  # when sent and where, if it may have run
    looks_lacking: int = 0  # looks that were answered with a miss
    finals: list[tuple[float, str]] = field(default_factory=list)
    out: int | None = None  # number of the relay that is out


class World:
    """One front among scripted caches."""

    def __init__(self, settings: i.Settings, listed: tuple[i.CacheEntry, ...], behave: Behave, seed: int = 1):
        self.settings, self.behave, self.chance = settings, behave, Random(seed)
        self.front = Front(seed, settings)
        self.cells = {entry.cache: entry.cell for entry in listed}
        self.now = 0.0
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.stories: dict[int, Story] = {}
        self.broken: list[str] = []
        self.further = 0  # relays sent after a failure of their pull
        self.first = 0
        self.sent_at: list[tuple[float, bool]] = []  # of each first or further relay; further?
        self._failed: dict[int, int] = {}
        self.tell(i.CacheListUpdate(i.ListUpdateKind.FULL, listed))

    def at(self, due: float, run: Callable[[], None]) -> None:
        """Have something done at a time."""
        heappush(self._due, (due, next(self._order), run))

    def run(self, until: float = float("inf")) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until:
            self.now, _, run = heappop(self._due)
            run()

    def pull(self, due: float, pull: i.Pull) -> None:
        """Have a client ask at a time."""

        def ask() -> None:
            rules = self.settings.workloads[pull.workload]
            sending = pull.size_kb / self.settings.stream_rate
            quoted = self.now + min(
                rules.target_latency + rules.target_latency_factor * sending, pull.time_left
            )
            self.stories[pull.id] = Story(pull, self.now, self.now + pull.time_left, quoted)
            self.tell(pull)

        self.at(due, ask)

    def tell(self, event: i.Event) -> None:
        """Hand an event to the module and carry out what it asks for."""
        for action in self.front.handle(self.now, event):
            match action:
                case i.Relay():
                    self._relay(action)
                case i.Recall():
                    story = self.stories[action.id]
                    if story.out == action.relay:
                        self._recalled(action)
                case i.StartTimer():
                    self._wake(action)
                case i.Shed():
                    self._final(action.id, "shed")
                case i.Error():
                    self._final(action.id, "errored")

    def _recalled(self, recall: i.Recall) -> None:
        self.at(self.now, lambda: self._end(recall.id, recall.relay, Said(0.0, i.Outcome.CANCELLED)))

    def _wake(self, wake: i.StartTimer) -> None:
        self.at(self.now + wake.delay, lambda: self.tell(i.TimerFired(wake.timer_id)))

    def _breach(self, pull: int, what: str) -> None:
        self.broken.append(f"{self.now:g} pull {pull}: {what}")

    def _final(self, pull: int, kind: str) -> None:
        story = self.stories[pull]
        if story.finals:
            self._breach(pull, f"{kind} after {story.finals[0][1]}")
        if self.now > story.cut_off + 1e-6:
            self._breach(pull, f"{kind} past its cut-off")
        rules = self.settings.workloads[story.pull.workload]
        if kind == "shed" and story.ran and rules.idempotency is i.Idempotency.ONCE_ONLY:
            self._breach(pull, "shed though it may have run")
        story.finals.append((self.now, kind))

    def _relay(self, relay: i.Relay) -> None:
        story = self.stories[relay.id]
        if story.out is not None:
            self._breach(relay.id, "two relays out")
        if story.finals:
            self._breach(relay.id, "a relay after its answer")
        if self.now >= story.cut_off or self.now + relay.timeout > story.cut_off + 1e-6:
            self._breach(relay.id, "a relay past its cut-off")
        rules = self.settings.workloads[story.pull.workload]
        if story.ran:
            at, where = story.ran[0]
            if rules.idempotency is i.Idempotency.ONCE_ONLY:
                self._breach(relay.id, "a once-only pull that may have run is sent again")
            if rules.idempotency is i.Idempotency.TAGGED:
                if self.now >= at + rules.dedup_window:
                    self._breach(relay.id, "a tagged pull is sent again past its window")
                if rules.dedup_scope is i.DedupScope.CELL and self.cells[relay.cache] != self.cells[where]:
                    self._breach(relay.id, "a tagged pull is sent outside its group")
        number = len(story.sent)
        failed = self._failed.get(relay.id, 0) > 0
        if failed or number == 0:
            self.sent_at.append((self.now, failed))
            self.further += failed
            self.first += not failed
        story.sent.append((self.now, relay))
        story.out = number
        said = self.behave(self.now, relay, story.pull, self.chance)
        if said.delay is None or said.delay > relay.timeout:
            late = Said(0.0, i.Outcome.TIMEOUT)
            self.at(self.now + relay.timeout, lambda: self._end(relay.id, number, late))
        else:
            self.at(self.now + said.delay, lambda: self._end(relay.id, number, said))

    def _end(self, pull: int, number: int, said: Said) -> None:
        story = self.stories[pull]
        if story.out != number:
            return  # it was given up; what comes late is dropped
        story.out = None
        sent, relay = story.sent[number]
        if said.outcome in MAY_HAVE_RUN:
            story.ran.append((sent, relay.cache))
        lacks = said.outcome is i.Outcome.MISS and relay.source == relay.cache
        story.looks_lacking += lacks
        if said.outcome is not i.Outcome.OK and not lacks:
            self._failed[pull] = self._failed.get(pull, 0) + 1
        served = said.outcome is i.Outcome.OK and not story.finals
        if served:
            self._final(pull, "finished")
        self.tell(
            i.RelayEnded(
                pull, number, relay.cache, said.outcome, said.remark, self.now - sent, 0.0, served, ()
            )
        )

    def judge(self) -> list[str]:
        """Return each breach of a rule, pulls without an answer among them."""
        lost = [f"pull {number}: no answer" for number, story in self.stories.items() if not story.finals]
        held = [f"pull {number}: still held by the module" for number in self.front.pending]
        return [*self.broken, *lost, *held]

    def gain(self) -> float:
        """Return the gain answered within the quoted time over the gain asked for."""
        asked = got = 0.0
        for story in self.stories.values():
            worth = self.settings.workloads[story.pull.workload].gain
            asked += worth
            if story.finals and story.finals[0][1] == "finished" and story.finals[0][0] <= story.quoted:
                got += worth
        return got / asked
