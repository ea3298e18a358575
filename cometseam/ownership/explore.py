"""Every interleaving of a small fleet holding one task, on the shipped `Owner` and `Fence`, up to a depth.

The world: a service with one key and leases that end by the service's clock; fronts whose clocks run at rates
within the terms' drift (or outside it, to show what the fence alone still holds); effects in flight that
arrive late, in any order, or never; answers of the service that are lost. Pauses need no event of their own:
a paused front is one that takes no step while time passes, and every such schedule is among those explored.

Two properties are checked at every state reached:
- `fenced`: no effect of an older owner lands at the target after one of a newer owner (the target's history);
- `alone`: at no moment do two fronts both hold that they may act. It holds only while clocks keep to the
  drift.

`explore(...)` walks breadth first with states already seen pruned, and returns what it found with the number
of states; `wander(...)` takes seeded random walks deeper than the exhaustive depth.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from cometseam.ownership.fence import Fence
from cometseam.ownership.machine import Owner, State, Terms

UNIT = 100.0  # ms a step of time


@dataclass(frozen=True)
class Front:
    state: State
    token: int
    sent_at: float
    rate: float  # local ms a ms of the service's clock


@dataclass(frozen=True)
class World:
    time: int  # steps of the service's clock
    holder: int  # the front whose key it is, or -1
    token: int  # the key's create revision, 0 for none
    revision: int
    leases: tuple[int, ...]  # a front's lease's end in steps of the service's clock, -1 for none
    fronts: tuple[Front, ...]
    flying: tuple[tuple[int, int], ...]  # effects on their way: (front, token), sorted
    highest: int  # what the target's fence has let through, highest token
    landed: tuple[
        tuple[int, int], ...
    ]  # (token, front) of every effect let through, in order (bounded by depth)


@dataclass(frozen=True)
class Found:
    """What an exploration saw: states reached, and the first path to a state that breaks each property."""

    states: int
    fenced: list[str] | None
    alone: list[str] | None


def _owner(terms: Terms, front: Front) -> Owner:
    owner = Owner("task", terms)
    owner.state, owner.token, owner.sent_at = front.state, front.token, front.sent_at
    return owner


def _front(owner: Owner, rate: float) -> Front:
    return Front(owner.state, owner.token, owner.sent_at, rate)


def _local(world: World, front: int) -> float:
    return world.time * UNIT * world.fronts[front].rate


def start(fronts: int, rates: tuple[float, ...] | None = None) -> World:
    rates = rates or tuple(1.0 for _ in range(fronts))
    return World(
        0,
        -1,
        0,
        1,
        tuple(-1 for _ in range(fronts)),
        tuple(Front(State.CANDIDATE, 0, 0.0, rate) for rate in rates),
        (),
        0,
        (),
    )


def steps(world: World, terms: Terms, limit: int, enforce: bool = True) -> Iterator[tuple[str, World]]:
    """Every step that the world may take from here, named."""
    ttl = int(terms.ttl_ms // UNIT)
    if world.time < limit:  # time passes; leases whose end has come are dropped with their key
        leases = tuple(-1 if 0 <= end <= world.time + 1 else end for end in world.leases)
        gone = world.holder >= 0 and leases[world.holder] == -1
        yield (
            "tick",
            replace(
                world,
                time=world.time + 1,
                leases=leases,
                holder=-1 if gone else world.holder,
                token=0 if gone else world.token,
            ),
        )
    for number, front in enumerate(world.fronts):
        now = _local(world, number)
        owner = _owner(terms, front)
        if owner.campaign(now):  # lease and transaction at once; the answer may be lost
            revision = world.revision + 1
            granted = list(world.leases)
            granted[number] = world.time + ttl
            if world.holder == -1:
                taken = replace(
                    world, revision=revision, holder=number, token=revision, leases=tuple(granted)
                )
                told = _owner(terms, front)
                told.campaign(now)
                told.won(revision, now, now)
                yield f"f{number} wins {revision}", _with(taken, number, told)
                yield f"f{number} wins {revision}, answer lost", _with(taken, number, owner)
            else:
                yield f"f{number} campaigns, held", _with(world, number, owner)
        if front.state in (State.OWNER, State.LOSING):
            alive = world.leases[number] >= 0
            renewed = list(world.leases)
            if alive:
                renewed[number] = world.time + ttl
            told = _owner(terms, front)
            told.renewed(now, terms.ttl_ms if alive else 0.0, now)
            told.saw(world.token if world.holder == number else world.token or 0, now)
            yield f"f{number} renews", _with(replace(world, leases=tuple(renewed)), number, told)
            if alive:
                yield f"f{number} renews, answer lost", replace(world, leases=tuple(renewed))
            acting = _owner(terms, front)
            if acting.may_act(now):
                flying = tuple(sorted({*world.flying, (number, acting.token)}))
                yield f"f{number} sends {acting.token}", _with(replace(world, flying=flying), number, acting)
    for effect in world.flying:
        rest = tuple(e for e in world.flying if e != effect)
        fence = Fence(enforce)
        fence.highest["task"] = world.highest
        verdict = fence.admit("task", effect[1])
        landed = (*world.landed, (effect[1], effect[0])) if verdict.passed else world.landed
        yield (
            f"f{effect[0]}'s {effect[1]} lands",
            replace(world, flying=rest, highest=verdict.highest, landed=landed),
        )
        yield f"f{effect[0]}'s {effect[1]} is lost", replace(world, flying=rest)


def _with(world: World, number: int, owner: Owner) -> World:
    fronts = list(world.fronts)
    fronts[number] = _front(owner, fronts[number].rate)
    return replace(world, fronts=tuple(fronts))


def broken_fence(world: World) -> bool:
    return any(later[0] < earlier[0] for earlier, later in zip(world.landed, world.landed[1:], strict=False))


def two_acting(world: World, terms: Terms) -> bool:
    acting = [n for n, front in enumerate(world.fronts) if _owner(terms, front).may_act(_local(world, n))]
    return len(acting) > 1


@dataclass
class _Broken:
    """The first path found to break each property; None while none has."""

    terms: Terms
    fenced: list[str] | None = None
    alone: list[str] | None = None

    def look(self, world: World, path: list[str] | tuple[str, ...]) -> None:
        if self.fenced is None and broken_fence(world):
            self.fenced = list(path)
        if self.alone is None and two_acting(world, self.terms):
            self.alone = list(path)


def explore(
    terms: Terms,
    fronts: int,
    depth: int,
    limit: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> Found:
    """Every interleaving of `depth` steps or fewer, time up to `limit` steps; states seen once are not walked
    again."""
    first = start(fronts, rates)
    seen = {first}
    queue: deque[tuple[World, tuple[str, ...]]] = deque([(first, ())])
    broken = _Broken(terms)
    while queue:
        world, path = queue.popleft()
        broken.look(world, path)
        if len(path) >= depth:
            continue
        for name, after in steps(world, terms, limit, enforce):
            if after not in seen:
                seen.add(after)
                queue.append((after, (*path, name)))
    return Found(len(seen), broken.fenced, broken.alone)


def wander(
    terms: Terms,
    fronts: int,
    walks: int,
    length: int,
    seed: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> Found:
    """Seeded random walks of `length` steps each; the same seed walks the same paths."""
    chance = Random(seed)
    count = 0
    broken = _Broken(terms)
    for _ in range(walks):
        if broken.fenced is not None and broken.alone is not None:
            break  # both broken: nothing more to learn
        world, path = start(fronts, rates), []
        for _ in range(length):
            options = list(steps(world, terms, 10**9, enforce))
            if not options:
                break
            # A kind of step first (time, one front's act, one front's effect arriving), then one of that
            # kind: else the many ways to deliver would crowd out time passing, and nothing would be late.
            kinds = sorted({name.split()[0] for name, _ in options})
            kind = chance.choice(kinds)
            name, world = chance.choice([option for option in options if option[0].split()[0] == kind])
            # bounded: what landed is kept only as far as the property needs it
            world = replace(world, landed=world.landed[-2:])
            path.append(name)
            count += 1
            broken.look(world, path)
    return Found(count, broken.fenced, broken.alone)
