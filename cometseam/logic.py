"""Every decision of the router: which cache a pull goes to, what fills it, what is kept, when to stop.

A caller makes one `Front` a front, with its seed and the settings, passes events with the time to `handle`,
and carries out, in order, what actions come back (`cometseam.interface`). Nothing is shared between fronts.
"""

from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Generator, Iterator
from math import exp, log
from random import Random
from typing import NamedTuple

from cometseam.interface import (
    Action, Allotted, Capped, Closing, Eased, Effect, Ended, Error, Event, Granted, Group, HungUp, Judged,
    Lagged, Lifecycle, Listed, ListKind, Members, Outcome, Plans, Pull, Purged, Rang, Recall, Relay, Remark,
    Settings, Shed, Wake, Watch, Workload,
)  # fmt: skip
from cometseam.levels import Easing
from cometseam.timing import Ledger, Part, goes_on, times, wait

PARTED = 256  # caches that left the list and are remembered
TRACKED, GAPS = 6000, 6  # objects' parts whose requests are remembered, and gaps for each of them
GAP_FLOOR = 250.0  # ms; closer requests count as this far apart: a client's retries are no popularity
VALUES, RECUT = 600, 50  # recent values that are cut in thirds, and values between two cuts
FIRST_CREDIT, CREDIT, MOST_CREDIT = 1.0, 0.2, 10.0  # at the start, for each good answer, at most
LEAST_LIMIT, UNSIZED_LIMIT = 2.0, 8.0  # relays out at a cache: at least, and at first with sizes untold
CUT, CUT_PAUSE, WEARS = 0.8, 500.0, 0.9  # left of a limit that is cut, ms between two; left of lateness
ERRS, ERRING = 0.1, 0.3  # weight of one answer in a cache's share of errors, and from where that is illness
COLD_PART = 0.75  # share of a cold cache's budget that is used: sizes and weights are not exact
SPILL, CERTAIN = 0.55, 0.65  # shares of the quoted time: past it a pull spills on; within it is begun
CROWD_LASTS = 3000.0  # ms, by the root of a zone's fronts, in which what was seen wears off to a third
UNSURE = 0.6  # margin on a crowd, of what it adds, that very many fronts make needed
IDLE = 0.5  # share of a limit up to which a pull may go on past its quoted time
SPARE = 0.1  # share of the kept copies found gone up to which a cache has room to spare
STRAIN = 3.0  # times the usual wait for the origin that show that it is asked for too much
SLACK = 100.0  # ms past the time expected of a transfer before its link is held to be fuller than thought
BACK_OFF, LONGEST_BACK_OFF = 400.0, 6400.0  # ms that a struck cache is left alone, at first and at most
FILL_PART = 0.5  # fills out at first, as a part of the relays that the zone's caches may have out
LATE, LOOKS, PATIENCE = 600.0, 200.0, 4.0  # ms past PATIENCE times its own time when a fill, a look times out
FAIR, WEIGH = 0.8, 0.05  # part of a workload's answered share below which its large may be late; one's weight
LOSING, HASTE = 0.12, 1.5  # share of lost answers from where that is HASTE times the pace that answers have
NEVER_RAN = (Outcome.MISS, Outcome.MOOT, Outcome.CONNECT_FAILED, Outcome.FULL)
SOURCE_AT_FAULT = (Remark.SOURCE_REFUSED, Remark.SOURCE_BROKE)
WORD = (1 << 64) - 1
MARK, RESTS = 16, 0xFFFF  # a timer's mark: the pull's id, and its relays when it was set or that it rests


def mix(wanted: int, cache: int) -> int:
    """Hash an object with a cache; all fronts agree on it."""
    word = (wanted * 0x9E3779B97F4A7C15 + cache * 0xC2B2AE3D27D4EB4F + 0x165667B19E3779F9) & WORD
    word = (word ^ word >> 30) * 0xBF58476D1CE4E5B9 & WORD
    word = (word ^ word >> 27) * 0x94D049BB133111EB & WORD
    return word ^ word >> 31


class Limit:
    """How many may be out at once; it grows by one where a round went well and is cut by a share."""

    def __init__(self, size: float, lasts: float) -> None:
        self.size, self.lasts = max(size, LEAST_LIMIT), lasts
        self.most, self.out, self.cut_at = 4.0 * self.size, 0, 0.0
        self.crowd, self.crowd_at = 1.0, 0.0  # times its own time that a transfer took of late, and when

    def judge(self, well: bool, now: float, proven: bool = False) -> None:
        """Cut it by what is out where that is proven too much; cuts close together have one cause."""
        if well and self.out + 2 > self.size:
            self.size = min(self.size + 1.0 / self.size, self.most)
        if not well and now - self.cut_at >= CUT_PAUSE:
            self.cut_at = now
            self.size = max(CUT * (min(self.size, self.out + 1.0) if proven else self.size), LEAST_LIMIT)

    def crowded(self, now: float) -> float:
        """Tell how many times its own time a transfer is expected to take; what was seen wears off."""
        return 1.0 + (self.crowd - 1.0) * exp((self.crowd_at - now) / self.lasts)

    def stretch(self, now: float) -> float:
        """Tell how many times its own time one more would take."""
        return max((self.out + 1) / self.size, self.crowded(now))

    def see(self, seen: float, now: float, sure: float = 1.0) -> None:
        """Take in how many times its own time a transfer took, and how sure that is."""
        crowd = self.crowded(now)
        self.crowd, self.crowd_at = crowd + 0.5 * sure * (max(seen, 1.0) - crowd), now


class Server:
    """One start of a cache, a parent or the origin, as this front knows it."""

    def __init__(self, told: Listed, weight: float, limit: Limit, equal: float) -> None:
        self.told, self.weight, self.started = told, weight, told.ready_at
        self.load, self.credit, self.strikes = limit, FIRST_CREDIT, 0
        self.answered = self.sick_until = 0.0
        self.loss = self.errs = 0.0  # share of what it kept that looks find gone, and of errors, lately
        self.lost, self.pace = 0.0, 1.0  # share of looks not answered while it was well, and its pace, lately
        self.paced_at = float("-inf")  # when a fill through it last told that
        self.part, self.relays = Part(equal), Part(equal)  # of what it bears cold; of relays out there
        self.spent: deque[list[float]] = deque()  # [time, work] sent; what is older than a window leaves


class Track:
    """When one part of an object was asked for lately."""

    __slots__ = ("gaps", "kept_at", "last", "workload")

    def __init__(self, now: float, workload: int) -> None:
        self.last, self.workload = now, workload
        self.kept_at: tuple[Server, float] | None = None  # by which cache, and fresh until when
        self.gaps: tuple[float, ...] = ()


class Held:
    """A pull that is owed its final answer, or whose relay is still out."""

    def __init__(self, pull: Pull, workload: Workload, now: float, pace: float, plans: Ledger) -> None:
        self.pull, self.workload = pull, workload
        self.plan, self.account = plans.of(pull.plan, pull.network)  # the operator's; kept when new ones come
        self.resting: Ended | None = None  # what it goes on with after a wait
        self.is_write = workload.write or pull.write  # it can't be cached
        self.wanted, self.cut_off = pull.object << 16 | pull.part, now + pull.left  # a copy is one of a part
        self.sending = pull.size_kb / pace if pace else 0.0
        self.quoted_by = now + min(workload.quoted + workload.stretch * self.sending, pull.left)
        self.relays = self.failures = self.errors = self.rank = 0  # the rank at which the relay out is kept
        self.out, self.open = False, True
        self.drawn: list[Server] = []  # its caches, in hash order
        self.full: list[Server] = []  # turned it away, or its fill
        self.lacks: Server | None = None  # the cache that answered a look with a miss
        self.known: list[tuple[Server, bool]] = []  # who holds no copy; True: not even an ageing one
        # Whether the relay out may fill, whether a fill was under way, and whether the origin failed it.
        self.fills = self.joins = self.spurned = self.turned = False
        self.track: Track | None = None
        self.way: Way
        self.sent_at = self.slowed = 0.0
        self.booked: list[float] = [0.0, 0.0]
        self.maybe: tuple[float, Listed, int] | None = None  # when, where, by which relay it may have run
        self.course: Course


class Way(NamedTuple):
    """Where a pull may go next: the cache to ask, the source of a fill (itself: a look) and on what terms."""

    target: Server
    source: Server
    only_held: bool = False  # the source fetches nothing for it
    stale: bool = False  # an ageing copy will do


Course = Generator[tuple[Way, int], Ended | None, None]


class Front:
    """One front: what it was told, what it saw, and the pulls it holds."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.settings = settings
        by_zone, zone = settings.fronts_by_zone, settings.zone
        self.here = max(by_zone[zone] if 0 <= zone < len(by_zone) else settings.fronts, 1)  # fronts here
        self.lasts: float = CROWD_LASTS * self.here**0.5
        self.random = Random(seed)
        self.now = self.late = 0.0  # late: how much this front was of late, what is old counting less
        self.fills = self.fetches = Limit(0.0, 0.0)  # through the zone's link; from the origin; set by a list
        self.actions: list[Action] = []
        self.held: dict[int, Held] = {}  # a pull leaves when it is answered and none of its relays is out
        self.servers: dict[int, Server] = {}  # as the list has them; what is gone or draining leaves
        # Left the list while the fleet shares out what they bear; past PARTED the longest gone leaves, and so
        # does one that comes back. Guards the fleet's bound: the rest of their part was lent, by their name.
        self.parted: dict[int, Server] = {}
        self.edges: list[Server] = []  # the caches of this zone, the parents by nearness, the origin
        self.near: set[Server] = set()  # the same caches: a look-up costs the same however many there are
        self.parents: list[list[Server]] = [[], []]
        self.origin: Server | None = None
        self.tracks: OrderedDict[int, Track] = OrderedDict()  # past TRACKED the longest unasked leaves
        self.tracked = [0] * len(settings.workloads)
        self.values: deque[float] = deque(maxlen=VALUES)
        self.cuts, self.uncut = [0.0, 0.0], 0
        self.link_full = float("inf")  # transfers on the zone's link over those that fit, as last told
        self.usual_wait = self.past = 100.0  # ms to a fetched copy; of fills past their sending
        # The share answered lately of all pulls of a workload, of those above its mean, and above twice that.
        self.answered = [[1.0, 1.0, 1.0] for _ in settings.workloads]
        self.mean_sending = [workload.quoted for workload in settings.workloads]
        self.purged: dict[tuple[int, int], tuple[float, float]] = {}  # made, void; a new one clears these
        self.plans, self.easing = Ledger(Plans(())), Easing(self.random)
        self.caps = (0.0, 0.0)  # relays that the fleet may have out at a cache, at a parent; 0: any

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event and tell what to do."""
        self.now, self.actions = now, []
        match event:
            case Pull():
                self._take(event)
            case Ended():
                self._ended(event)
            case Rang():
                self._rang(event.mark)
            case Plans():
                self.plans = Ledger(event, self.plans, self.settings.fronts)
            case Allotted():
                self.plans.take(event, now)
            case Eased():
                self.easing.take(event)
            case Lagged():
                self.late = max(event.by, WEARS * self.late)
            case Members():
                self._members(event)
            case Judged() if event.cache in self.servers:
                server = self.servers[event.cache]
                # The fleet's word; an answer that this front got since the evidence began outweighs it.
                if not event.bad or server.answered < now - event.age:
                    server.sick_until, server.strikes = now + event.rest, server.strikes or int(event.bad)
            case Granted() if event.cache in self.servers or event.cache in self.parted:
                server = self.servers.get(event.cache) or self.parted[event.cache]
                (server.relays if event.relays else server.part).take(event.part, event.lasts, now)
            case Capped():
                self.caps = (event.caches, event.parents)
            case HungUp() if event.id in self.held:
                self.held[event.id].open = False
                self._let_go(self.held[event.id])
            case Closing():
                for held in [held for held in self.held.values() if held.open]:
                    self._answer(held)
                    self._let_go(held)
            case Purged():
                self.purged = {what: times for what, times in self.purged.items() if times[1] > now}
                what = (event.object, -1) if event.object else (0, event.group)
                self.purged[what] = (now - event.age, now + self.settings.purge_takes)
        return self.actions

    # The list of caches
    def _members(self, event: Members) -> None:
        if event.kind is ListKind.CACHED and self.settings.asks_for_list:
            self.actions.append(Watch())
        if event.kind is ListKind.FAILED:
            # A list service that is overrun must not be asked by all fronts at once again.
            self.actions.append(Wake(0, 500.0 + 1000.0 * self.random.random()))
            return
        if event.kind is not ListKind.CHANGES:
            for cache in self.servers.keys() - {entry.cache for entry in event.entries}:
                self._part(self.servers.pop(cache))
        for entry in event.entries:
            self._listed(entry)
        s = self.settings
        by_id = [self.servers[cache] for cache in sorted(self.servers)]
        parents = [server for server in by_id if server.told.kind == s.parent_kind]
        hub = s.hub_of[s.zone] if s.zone < len(s.hub_of) else -1
        self.parents = [[p for p in parents if (p.told.zone == hub) is near] for near in (True, False)]
        self.origin = next((server for server in by_id if server.told.kind == s.origin_kind), None)
        upper = (s.parent_kind, s.origin_kind)
        self.edges = [e for e in by_id if e.told.zone == s.zone and e.told.kind not in upper]
        self.near = set(self.edges)
        if self.fills is self.fetches:
            pooled = sum(edge.load.size for edge in self.edges)
            self.fills, self.fetches = Limit(FILL_PART * pooled, self.lasts), Limit(4.0 * pooled, self.lasts)

    def _listed(self, entry: Listed) -> None:
        known = self.servers.pop(entry.cache, None) or self.parted.pop(entry.cache, None)
        if entry.lifecycle is not Lifecycle.READY:
            self._part(known)
            return
        weight = entry.weight if self.settings.sized and entry.weight > 0 else 1.0
        if known and known.told.ready_at == entry.ready_at:
            known.told, known.weight = entry, weight
            self.servers[entry.cache] = known
            return
        limit = weight if self.settings.sized else UNSIZED_LIMIT
        sharing = self.sharing(entry)
        fresh = Server(entry, weight, Limit(limit / sharing, self.lasts), 1.0 / sharing)
        if known:  # what it got before its start was told counts, and what the fleet granted there holds on
            fresh.spent, fresh.part, fresh.relays = known.spent, known.part, known.relays
        self.servers[entry.cache] = fresh

    def _part(self, server: Server | None) -> None:
        if server and (server.part.until or server.relays.until or any(self.caps)):
            self.parted[server.told.cache] = server
            if len(self.parted) > PARTED:
                del self.parted[next(iter(self.parted))]

    def sharing(self, entry: Listed) -> int:
        """Tell how many fronts send to it."""
        s = self.settings
        here = entry.zone == s.zone and entry.kind not in (s.parent_kind, s.origin_kind)
        return self.here if here else max(s.fronts, 1)

    # The value of an object, and the rank that it earns
    def _rank(self, held: Held) -> int:
        """Tell the rank at which the pull's copy is kept; 0 is not kept."""
        pull = held.pull
        if held.is_write:
            return 0
        track = self.tracks.get(held.wanted)
        if track is None:
            held.track = self.tracks[held.wanted] = Track(self.now, pull.workload)
            self.tracked[pull.workload] += 1
            if len(self.tracks) > TRACKED:
                self.tracked[self.tracks.popitem(last=False)[1].workload] -= 1
            return 0
        held.track = track
        self.tracks.move_to_end(held.wanted)
        track.gaps = (*track.gaps[1 - GAPS :], max(self.now - track.last, GAP_FLOOR))
        track.last = self.now
        size = max(pull.size_kb * 1024.0, 3.0)
        value = (2.0 + size / 536.0) / log(size) * self.tracked[track.workload] / len(self.tracks)
        value *= sum(1000.0 / gap for gap in track.gaps)
        self.values.append(value)
        self.uncut -= 1
        if self.uncut < 0:
            self.uncut = RECUT
            ordered = sorted(self.values)
            self.cuts = [ordered[len(ordered) // 3], ordered[2 * len(ordered) // 3]]
        return 1 + bisect_right(self.cuts, value)

    # A pull's course
    def _take(self, pull: Pull) -> None:
        if pull.workload >= len(self.settings.workloads) or pull.id in self.held:
            self.actions.append(Error(pull.id))
            return
        held = Held(pull, self.settings.workloads[pull.workload], self.now, self.settings.pace, self.plans)
        held.quoted_by -= self.late  # a late front answers late: what cannot be in time is shed early
        self.mean_sending[pull.workload] += 0.02 * (held.sending - self.mean_sending[pull.workload])
        self.held[pull.id] = held
        held.course = self._course(held)
        self._advance(held, None)

    def _course(self, held: Held) -> Course:
        rank = self._rank(held)
        if self.easing.sheds(self.now, held.pull, held.sending):
            return
        while True:
            ended = None
            for way in self._ways(held):
                # First-seen fills pass unkept to spare the room. A cache that loses little of what it keeps
                # has room to spare, so has one just started; a front just started knows of no loss: rank 1.
                spare = way.source is not way.target and way.target.loss < SPARE
                ended = yield way, rank or int(spare and not held.is_write)
                if ended is not None:
                    break
            if ended is None or not held.open or self.now + held.sending > held.cut_off:
                return  # where no relay could finish any more, the client is told at once

    def _advance(self, held: Held, ended: Ended | None) -> None:
        """Resume a pull's course until one of its ways is sent or it has none left."""
        try:
            way, rank = held.course.send(ended)
            while not self._send(held, way, rank):
                way, rank = held.course.send(None)
        except StopIteration:
            if held.open:
                self._answer(held)
            if not held.out:
                self.held.pop(held.pull.id, None)

    def _ways(self, held: Held) -> Iterator[Way]:
        """Tell where the pull may go, best first."""
        draws = held.drawn = held.drawn or sorted(self.edges, key=lambda e: -self._draw(held.wanted, e))
        edges = [edge for edge in draws if edge in self.near]
        well = [edge for edge in edges if self._well(edge) and edge not in held.full]
        # A pull that two caches answer with an error is at fault itself: it is not sent round all of them.
        well = [edge for edge in well if not held.failures or (edge.credit >= 1.0 and held.errors < 2)]
        if held.lacks in well:
            yield from self._fills(held, held.lacks)
            # Before it is shed, a neighbour that it spilled to earlier may hold it: a look costs little.
            unknown = (e for e in well if (e, False) not in held.known and self._in_time(held, e.load))
            yield from (Way(e, e) for e in unknown)
            return
        # A hot object, or a cache that is slow, must not jam one link while others have room: a cache that
        # would take most of the quoted time passes the pull on in hash order, and takes it back later.
        ample = SPILL * (held.quoted_by - self.now)
        room = {edge: None for edge in well if held.sending * edge.load.stretch(self.now) <= ample}
        # Overload: what cannot be answered by its quoted time would only slow down the others. Where all are
        # crowded the order stays the hash's: the least crowded of late would keep copies everywhere.
        fit = [*room, *(edge for edge in well if edge not in room and self._in_time(held, edge.load))]
        for edge in fit if well or held.failures else edges:  # nothing is well: better a try than none
            yield from self._at(held, edge)

    def _at(self, held: Held, edge: Server) -> Iterator[Way]:
        # A look tells what the cache holds, so which pulls are fills. A cold cache is not asked twice.
        if not held.is_write and not self.cold(edge):
            yield Way(edge, edge)
        yield from self._fills(held, edge)

    def _fills(self, held: Held, edge: Server) -> Iterator[Way]:
        """Tell how the edge may come by a copy, best first."""
        sources = self._sources(held)
        first = sources[0] if sources and sources[0] is not self.origin else None
        # What comes in shares one link. More fills than it carries all end late, are given up and keep
        # nothing, so that the next pulls miss as well; so a fill that cannot be in time is not begun.
        gaps = held.track.gaps if held.track else None
        eased = self.easing.may_fill(gaps, self.fills.out, self.fills.size)
        link_has_room = eased and (held.joins or self._in_time(held, self.fills))
        ageing: list[Way] = []
        if held.workload.grace and (edge, True) not in held.known:
            ageing.append(Way(edge, edge, stale=True))
        if held.workload.grace and first and link_has_room and (first, True) not in held.known:
            ageing.append(Way(edge, first, only_held=True, stale=True))
        yield from ageing if self.easing.now.ageing else ()
        if link_has_room and not held.spurned:
            # In the same way a slow origin, asked for more than it can do, is in time for nobody: past a
            # limit of its own a parent gives only what it holds.
            taking = (self.usual_wait + held.sending) * self.fetches.crowded(self.now)
            soon = taking <= self._due(held) - self.now and self.fetches.out + 1 <= self.fetches.size
            soon = soon or held.is_write
            for e in sources:
                # With many fronts a source's link is full long before a front's own limit tells.
                if soon and self._in_time(held, e.load):
                    yield Way(edge, e)
                elif not (soon or e is self.origin or (e, False) in held.known) and self._well(e):
                    yield Way(edge, e, only_held=True)
        yield from () if self.easing.now.ageing else ageing

    def _in_time(self, held: Held, limit: Limit) -> bool:
        """Tell whether it can be in the quoted time, or late at a place that is not busy."""
        # Gain goes by the pull and room by the byte: a pull larger than the mean bears less crowd. The more
        # fronts, the fewer answers each sees: what it knows of a crowd gets a margin.
        large = max(held.sending / max(self.mean_sending[held.pull.workload], 1.0), 1.0) ** 0.5
        unsure = 1.0 + UNSURE * (1.0 - 1.0 / self.here)
        taking: float = held.sending * (1.0 + (limit.stretch(self.now) - 1.0) * large * unsure)
        idle = limit.out + 1 <= IDLE * limit.size and limit.crowded(self.now) + self.late / SLACK <= 1 + IDLE
        return taking <= CERTAIN * ((held.cut_off if idle else self._due(held)) - self.now)

    def _tier(self, held: Held) -> int:
        """Tell whether it is above the mean of its workload (1), and above twice that (2)."""
        large = held.sending / max(self.mean_sending[held.pull.workload], 1.0)
        return (large > 1.0) + (large > 2.0)

    def _due(self, held: Held) -> float:
        """Tell by when it should be answered: the quoted time, or its cut-off.

        Guards the large, which a crowd's room by the byte sheds first: where fewer of them are answered of
        late than is their part, they may be late. It costs room that smaller ones earn more with.
        """
        shares, tier = self.answered[held.pull.workload], self._tier(held)
        return held.cut_off if tier and shares[tier] < FAIR * shares[0] else held.quoted_by

    def _count(self, held: Held, done: bool) -> None:
        shares = self.answered[held.pull.workload]
        for tier in {0, self._tier(held)}:
            shares[tier] += WEIGH * (done - shares[tier])

    def _sources(self, held: Held) -> list[Server]:
        """Tell where a miss may be filled from, best first."""
        groups = [] if held.is_write else self.parents
        ordered = [p for group in groups for p in sorted(group, key=lambda p: -self._draw(held.wanted, p))]
        ordered += [self.origin] if self.origin else []
        return sorted(ordered, key=lambda e: 2 * (not self._well(e)) + (not self._in_time(held, e.load)))

    def _draw(self, wanted: int, server: Server) -> float:
        """Rendezvous hashing: each cache draws for the object; twice the weight wins twice as often."""
        return server.weight / -log((mix(wanted, server.told.cache) + 1) / (WORD + 2))

    def _well(self, server: Server) -> bool:
        """A struck cache rests, and then gets one relay at a time until it answers."""
        return self.now >= server.sick_until and (not server.strikes or not server.load.out)

    # The gate: each rule is kept here, for every send and every final answer
    def _send(self, held: Held, way: Way, rank: int) -> bool:
        """Send one relay, or bar it."""
        s, pull, target, source = self.settings, held.pull, *way[:2]
        left = min(held.cut_off - self.now, held.workload.cut_off)  # no relay outlasts its workload's cut-off
        # Pulls get one answer in time, and nothing after it.
        if not held.open or held.out or left <= 0 or held.relays >= s.relay_limit:
            return False
        # No effect happens twice.
        if held.maybe and not self._may_repeat(held, target):
            return False
        # An outage is not multiplied: where a plan sets budgets, a further relay goes only within each.
        further = held.failures > 0
        if further and not held.account.has_room(self.now):
            return False
        # Drains are kept: only what the list has as ready is in the table.
        if any(self.servers.get(server.told.cache) is not server for server in (target, source)):
            return False
        # The fleet has no more out at one cache than its cap: this front keeps to its part.
        if any(self._capped(server) for server in {target: 0, source: 0}):
            return False
        # Cold caches are not pushed over.
        mean = self.mean_sending[pull.workload]
        work = held.sending or mean  # a cache counts each ask at its workload's mean, a parent at its size
        if not self._fits(target, mean) or (source is not target and not self._fits(source, work)):
            return False
        target.spent.append([self.now, mean])
        held.booked = [self.now, work]
        if source is not target:
            source.spent.append(held.booked)
        # Purges are kept.
        oldest = held.workload.fresh + held.workload.grace if way.stale else 0.0
        for what in ((pull.object, -1), (0, pull.group)):
            made, void = self.purged.get(what, (0.0, 0.0))
            if void > self.now:
                age = max(self.now - made, 0.001)
                oldest = min(oldest or held.workload.fresh or age, age)
        held.way, held.rank, held.out, held.sent_at = way, rank, True, self.now
        held.fills = source is not target and not held.joins
        for limit in self._limits(held):
            limit.out += 1
        target.credit -= float(further)
        held.account.count(self.now, further, held.relays)
        # A repeat is dropped only for so long: it may not wait to be written past that.
        within = held.maybe[0] + held.workload.window - self.now if held.maybe else 0.0
        within *= held.workload.effect is Effect.TAGGED
        held.maybe = held.maybe or (self.now, target.told, held.relays)
        held.relays += 1
        slowing = self.fills if held.fills else target.load
        held.slowed = max(slowing.out / slowing.size, 1.0)
        lasts = PATIENCE * held.sending * held.slowed
        if target.lost > LOSING:
            # What loses answers is well otherwise: who waits as long as for a slow cache is late for nothing.
            lasts = min(HASTE * held.sending * max(slowing.crowded(self.now), held.slowed), lasts)
        lasts += LOOKS if source is target else LATE
        lasts = left if held.workload.effect is Effect.ONCE_ONLY else lasts
        lasts, second = times(held.plan, source is target, held.is_write, further, held.sending, lasts, left)
        self.actions.append(Relay(pull.id, target.told.cache, source.told.cache, rank, s.joins, way.only_held,
                                  False, False, lasts, oldest, within))  # fmt: skip
        if s.recalls and second < lasts:
            self.actions.append(Wake(pull.id << MARK | held.relays, second))
        return True

    def _rang(self, mark: int) -> None:
        """Go on after a wait; or give the relay out up for a second copy, where one may go elsewhere.

        Guards against a cache that is slow and not ill; harms where all are slow alike: so budgets bound it.
        """
        held = self.held.get(mark >> MARK)
        if held is None:
            self.actions += [Watch()] if mark == 0 else []  # 0 is the list's: it is asked for again
        elif held.resting is not None and mark == held.pull.id << MARK | RESTS:
            resting, held.resting = held.resting, None
            self._advance(held, resting)
        elif held.open and held.out and mark == held.pull.id << MARK | held.relays:
            target, worth = held.way.target, goes_on(held.plan, held.failures + 1, Outcome.CANCELLED)
            others = [e for e in self.edges if e not in (target, *held.full) and self._may_repeat(held, e)]
            others = [e for e in others if self._well(e) and e.credit >= 1.0]
            if worth and others and held.account.has_room(self.now):
                held.full.append(target)
                self.actions.append(Recall(held.pull.id, held.relays - 1))

    def _limits(self, held: Held) -> list[Limit]:
        """Tell which limits the relay that is out counts against."""
        limits = [server.load for server in dict.fromkeys((held.way.target, held.way.source))]
        more = [self.fills] if held.way.only_held else [self.fills, self.fetches]
        return limits + more * held.fills

    def _may_repeat(self, held: Held, target: Server) -> bool:
        """Tell whether a pull that may have run may go to this cache as well."""
        assert held.maybe is not None
        (at, first, _), workload = held.maybe, held.workload
        if workload.effect is not Effect.TAGGED:
            return workload.effect is Effect.REPEATABLE
        same_zone = workload.group is Group.ALL or target.told.zone == first.zone
        same_cell = workload.group is not Group.CELL or target.told.cell == first.cell
        return same_zone and same_cell and self.now < at + workload.window

    def cold(self, server: Server) -> float:
        """Tell the work that a cold server may get in a window that began before now; 0 where it is warm."""
        s, told, age = self.settings, server.told, self.now - server.started
        cold_from, warm_after, multiple = s.cold_from, s.warm_after, s.fall_multiple
        if told.kind == s.parent_kind:
            cold_from, warm_after, multiple = s.parent_cold_from, s.parent_warm_after, s.parent_fall_multiple
        if server.started <= 0 or age >= warm_after or told.kind == s.origin_kind:
            return 0.0
        share = cold_from + (1.0 - cold_from) * max(age - s.fall_time, 0.0) / warm_after
        whole = COLD_PART * multiple * share * server.weight * s.fall_time
        return whole * server.part.at(self.now)  # the rest may be lent

    def _fits(self, server: Server, work: float) -> bool:
        """Tell whether a cold server's budget holds this much more."""
        while server.spent and server.spent[0][0] <= self.now - self.settings.fall_time:
            server.spent.popleft()
        budget = self.cold(server)
        fits = not budget or sum(entry[1] for entry in server.spent) + work <= budget
        server.part.barred += not fits
        return fits

    def _capped(self, server: Server) -> bool:
        """Tell whether one more relay out at a cache or parent would pass this front's part of the cap."""
        whole = self.caps[server.told.kind == self.settings.parent_kind] if server is not self.origin else 0.0
        return whole > 0.0 and not server.relays.fits(server.load.out + 1, whole, self.now)

    def _answer(self, held: Held) -> None:
        """Give the final answer: shed where trying again is harmless, else errored."""
        held.open, workload, s = False, held.workload, self.settings
        self._count(held, False)
        dropped = workload.effect is Effect.TAGGED and workload.group is Group.ALL  # a repeat is known
        if held.maybe is None or workload.effect is Effect.REPEATABLE or dropped:
            back = min(self.easing.later(held.plan.come_back_in or workload.quoted), s.longest_retry)
            self.actions.append(Shed(held.pull.id, back if s.tells_retry else 0.0))
        else:
            self.actions.append(Error(held.pull.id))

    def _let_go(self, held: Held) -> None:
        """Nothing is owed any more. Taking back what was never sent needs no leave."""
        held.course.close()
        if held.out:
            self.actions.append(Recall(held.pull.id, held.relays - 1, not self.settings.recalls))
        else:
            self.held.pop(held.pull.id, None)

    # What relays tell
    def _ended(self, event: Ended) -> None:
        held = self.held.get(event.id)
        if held is None or not held.out or event.relay != held.relays - 1:
            return
        held.out = False
        for limit in self._limits(held):
            limit.out -= 1
        failures = held.failures
        self._learn(held, event)
        if event.outcome in NEVER_RAN and held.maybe and held.maybe[2] == event.relay:
            held.maybe = None
        if held.open and event.outcome is Outcome.OK:
            self._count(held, True)
        held.open = held.open and not event.closed and event.outcome is not Outcome.OK
        if held.open and held.failures > failures:
            rest = wait(held.plan, held.failures, self.random)
            on = self.easing.may_go_on() and goes_on(held.plan, held.failures, event.outcome)
            if not on or rest + self.now > held.cut_off:
                held.course.close()  # given up, and told at once
            elif rest > 0.0:
                held.resting = event
                self.actions.append(Wake(event.id << MARK | RESTS, rest))
                return
        if held.open:
            self._advance(held, event)
        else:
            held.course.close()
            self.held.pop(event.id, None)

    def _learn(self, held: Held, event: Ended) -> None:
        target, source, outcome, remark = held.way.target, held.way.source, event.outcome, event.remark
        waited, sure = event.waited, 1.0
        if outcome is Outcome.TIMEOUT and self.link_full == float("inf"):
            # It may have waited all of its LATE: the silence of a cache or a source is not laid to the link.
            # Where the link's fullness is told, it goes to the source.
            waited = LATE
        if outcome is Outcome.FULL and held.fills and remark is Remark.NONE:
            # Untold who turned it away: its source, as a dead one does; the next one too: the origin behind.
            remark = Remark.ORIGIN_FAILED if held.turned else Remark.SOURCE_BROKE
            held.turned = True
        if outcome is Outcome.OK and remark is Remark.NONE:
            # Nothing is told of how it came about: a look finds only what is kept, all else was filled, and
            # what it took past its sending was a wait as far as that is usual; short sendings tell little.
            remark = Remark.HIT if source is target else Remark.FILLED
            past = max(event.took - held.sending, 0.0)
            if held.fills:
                self.past += (0.1 if past < self.past else 0.02) * (past - self.past)
                waited = min(past, self.past)
                sure = held.sending / (held.sending + waited + 1.0)
        if self.settings.link_report < len(event.load) and target in self.near:
            self.link_full = event.load[self.settings.link_report]
            self.fills.see((1.0 - 1.0 / self.sharing(target.told)) * self.link_full, self.now)  # others'
        looked = source is target or held.way.only_held
        looked = looked and outcome is Outcome.MISS and remark not in SOURCE_AT_FAULT
        if looked:
            held.known.append((source, held.way.stale))
        held.lacks = target if looked or held.lacks is target else None
        held.joins = looked and remark is Remark.JOINED
        held.spurned = held.spurned or remark is Remark.ORIGIN_FAILED
        held.failures += outcome is not Outcome.OK and not looked
        if source is target and outcome in (Outcome.OK, Outcome.MISS, Outcome.TIMEOUT):
            # What is slow times out as well, but its answers are slow too, by the longer of them.
            if outcome is Outcome.OK:
                seen = max((event.took - SLACK) / max(held.sending, 1.0), 1.0)
                target.pace += 0.3 * held.sending / (held.sending + SLACK) * (seen - target.pace)
            lost = outcome is Outcome.TIMEOUT and target.answered >= held.sent_at and target.pace < HASTE
            target.lost += ERRS * (lost - target.lost)
        faulty = outcome is Outcome.ERROR and remark is Remark.NONE
        held.errors += faulty
        target.errs += ERRS * (faulty - target.errs) * (outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR))
        if remark is Remark.HIT:
            held.booked[1] = 0.0  # the source was not asked; one that answers that it lacks the copy was
        kept = held.track.kept_at if held.track and not held.way.stale else None
        if kept and kept[0] is target is source and kept[1] > self.now and (looked or remark is Remark.HIT):
            target.loss += 0.02 * (looked - target.loss)
        if held.track and outcome is Outcome.OK and held.rank:
            held.track.kept_at = (target, self.now + (held.workload.fresh or float("inf")))
        fetched = remark is Remark.FILLED_FROM_ORIGIN
        sent_in = event.took - waited if held.fills else event.took
        at_pace = outcome is Outcome.OK and sent_in <= held.sending * held.slowed + SLACK
        if held.fills and remark is not Remark.HIT and not looked:
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                # A slow transfer over a link that is not full is its source's fault: a parent that has gone
                # grey answers at once and sends slowly. Where fullness is not told, both are blamed.
                source.load.judge(at_pace, self.now)
                pace = max(sent_in - SLACK, 0.0) / held.sending if held.sending else 0.0
                # A fetched copy far slower than the parent's crowd explains is slow by the origin's link.
                by_origin = fetched and pace > 2.0 * source.load.crowded(self.now)
                full = self.link_full
                if full == float("inf"):
                    # Untold: the link is no fuller than what came lately through the quickest other source.
                    others = [e for e in self._sources(held) if e is not source]
                    others = [e for e in others if self.now - e.paced_at < self.lasts]
                    full = HASTE * min((e.pace for e in others), default=full)
                    source.paced_at = self.now
                    source.pace += 0.5 * sure * (max(pace, 1.0) - source.pace)
                slow = self.fills if pace <= full else self.fetches if by_origin else source.load
                for limit in (self.fills, source.load):
                    if limit is slow or pace < limit.crowded(self.now):
                        limit.see(pace, self.now, sure)
                if fetched:
                    strain = max(event.waited / self.usual_wait, pace if slow is self.fetches else 0.0)
                    self.fetches.see(strain, self.now)
                if at_pace or self.link_full > 1.0:
                    self.fills.judge(at_pace, self.now)
            if remark is Remark.ORIGIN_FAILED:
                # Each failure doubles the wait expected: with many fronts, none has two out to learn from.
                self.fetches.see(3.0 * self.fetches.crowded(self.now), self.now)
            if remark is Remark.ORIGIN_FAILED or event.waited > STRAIN * self.usual_wait + SLACK:
                self.fetches.judge(False, self.now, proven=True)
            elif fetched:
                self.fetches.judge(True, self.now)
                self.usual_wait += 0.05 * (event.waited - self.usual_wait)
        if outcome is Outcome.OK:
            self._good(target)
            if remark in (Remark.FILLED, Remark.FILLED_FROM_ORIGIN) and source is not target:
                self._good(source)
            if not held.fills or remark is Remark.HIT:
                target.load.judge(at_pace, self.now)
                if held.sending:
                    target.load.see((event.took - SLACK) / held.sending, self.now)
        elif remark in SOURCE_AT_FAULT:
            target.answered = self.now
            self._strike(source)
        elif outcome is Outcome.FULL and remark is not Remark.ORIGIN_FAILED:
            target.answered = self.now
            held.full.append(target)
            if remark is not Remark.NO_PLACE:
                target.load.judge(False, self.now, proven=True)
        elif outcome is Outcome.CONNECT_FAILED:
            # What takes no connections is down, and cold when it is back, seconds before the list tells
            # so. It harms where a cache that was merely full is then sent too little.
            self._strike(target)
            target.started = self.now
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT):
            # What has vanished answers nothing; a break beside answers is no illness. A slow origin or link
            # delays all sources: one behind while another delivers is at fault (unless on one long answer).
            if outcome is Outcome.TIMEOUT:
                target.load.judge(False, self.now)
            if target.answered < held.sent_at:
                self._strike(target)
            elif outcome is Outcome.TIMEOUT and source.answered < held.sent_at <= max(
                e.answered for e in self._sources(held)
            ):
                self._strike(source)
        elif outcome in (Outcome.MISS, Outcome.ERROR, Outcome.FULL):
            target.answered = self.now
            target.credit = min(target.credit + CREDIT, MOST_CREDIT)
            if looked and source is not target:
                self._good(source)
            if faulty:
                held.full.append(target)
                # What errs while others do not is ill, and quick: all that is hashed to it would fail.
                if target.errs > ERRING > min((edge.errs for edge in self.edges), default=1.0):
                    self._strike(target)

    def _good(self, server: Server) -> None:
        server.answered, server.strikes, server.sick_until = self.now, 0, 0.0
        server.credit = min(server.credit + CREDIT, MOST_CREDIT)

    def _strike(self, server: Server) -> None:
        """Leave a server alone that failed; relays that fail together count once."""
        if self.now < server.sick_until:
            return
        rest = min(BACK_OFF * 2.0**server.strikes, LONGEST_BACK_OFF)
        server.sick_until = self.now + rest * (1.0 + 0.25 * self.random.random())
        server.strikes += 1
        server.credit = min(server.credit, FIRST_CREDIT)
