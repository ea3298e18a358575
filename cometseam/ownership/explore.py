"""Every interleaving of a small fleet holding one task, on the shipped `Ownership` and `Fence`, up to a
depth.

The world: a service with one key and leases that end by the service's clock; fronts whose clocks run at rates
within the terms' drift (or outside it, to show what the fence alone still holds); effects in flight that
arrive late, in any order, or never; answers of the service that are lost. Pauses need no event of their own:
a paused front is one that takes no step while time passes, and every such schedule is among those explored.

Two properties are checked at every state reached:
- `fencing_violation`: no effect of an older owner lands at the target after one of a newer owner (the
  target's history);
- `exclusivity_violation`: at no moment do two fronts both hold that they may act. It holds only while clocks
  keep to the drift.

`explore(...)` walks breadth first with states already seen pruned, and returns what it found with the number
of states; `random_walks(...)` takes seeded random walks deeper than the exhaustive depth.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from cometseam.ownership.fence import Fence
from cometseam.ownership.machine import Ownership, OwnershipTerms, State

UNIT = 100.0  # ms a step of time


@dataclass(frozen=True)
class FrontState:
    state: State
    token: int
    sent_at: float
    clock_rate: float  # local ms a ms of the service's clock


@dataclass(frozen=True)
class World:
    time: int  # steps of the service's clock
    holder: int  # the front whose key it is, or -1
    token: int  # the key's create revision, 0 for none
    revision: int
    leases: tuple[int, ...]  # a front's lease's end in steps of the service's clock, -1 for none
    fronts: tuple[FrontState, ...]
    in_flight: tuple[tuple[int, int], ...]  # effects on their way: (front, token), sorted
    highest_token: int  # what the target's fence has let through, highest token
    delivered: tuple[
        tuple[int, int], ...
    ]  # (token, front) of every effect let through, in order (bounded by depth)


@dataclass(frozen=True)
class ExplorationResult:
    """What an exploration saw: states reached, and the first path to a state that breaks each property."""

    states: int
    fencing_violation: list[str] | None
    exclusivity_violation: list[str] | None


def _owner(terms: OwnershipTerms, front: FrontState) -> Ownership:
    owner = Ownership("task", terms)
    owner.state, owner.token, owner.sent_at = front.state, front.token, front.sent_at
    return owner


def _front(owner: Ownership, rate: float) -> FrontState:
    return FrontState(owner.state, owner.token, owner.sent_at, rate)


def _local(world: World, front: int) -> float:
    return world.time * UNIT * world.fronts[front].clock_rate


def initial_world(fronts: int, rates: tuple[float, ...] | None = None) -> World:
    rates = rates or tuple(1.0 for _ in range(fronts))
    return World(
        0,
        -1,
        0,
        1,
        tuple(-1 for _ in range(fronts)),
        tuple(FrontState(State.CANDIDATE, 0, 0.0, rate) for rate in rates),
        (),
        0,
        (),
    )


def transitions(
    world: World, terms: OwnershipTerms, limit: int, enforce: bool = True
) -> Iterator[tuple[str, World]]:
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
        if owner.begin_campaign(now):  # lease and transaction at once; the answer may be lost
            revision = world.revision + 1
            granted = list(world.leases)
            granted[number] = world.time + ttl
            if world.holder == -1:
                taken = replace(
                    world, revision=revision, holder=number, token=revision, leases=tuple(granted)
                )
                told = _owner(terms, front)
                told.begin_campaign(now)
                told.record_won(revision, now, now)
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
            told.record_renewal(now, terms.ttl_ms if alive else 0.0, now)
            told.record_key_holder(world.token if world.holder == number else world.token or 0, now)
            yield f"f{number} renews", _with(replace(world, leases=tuple(renewed)), number, told)
            if alive:
                yield f"f{number} renews, answer lost", replace(world, leases=tuple(renewed))
            acting = _owner(terms, front)
            if acting.may_act(now):
                flying = tuple(sorted({*world.in_flight, (number, acting.token)}))
                yield (
                    f"f{number} sends {acting.token}",
                    _with(replace(world, in_flight=flying), number, acting),
                )
    for effect in world.in_flight:
        rest = tuple(e for e in world.in_flight if e != effect)
        fence = Fence(enforce)
        fence.highest_tokens["task"] = world.highest_token
        verdict = fence.admit("task", effect[1])
        landed = (*world.delivered, (effect[1], effect[0])) if verdict.passed else world.delivered
        yield (
            f"f{effect[0]}'s {effect[1]} lands",
            replace(world, in_flight=rest, highest_token=verdict.highest_token, delivered=landed),
        )
        yield f"f{effect[0]}'s {effect[1]} is lost", replace(world, in_flight=rest)


def _with(world: World, number: int, owner: Ownership) -> World:
    fronts = list(world.fronts)
    fronts[number] = _front(owner, fronts[number].clock_rate)
    return replace(world, fronts=tuple(fronts))


def violates_fencing(world: World) -> bool:
    return any(
        later[0] < earlier[0] for earlier, later in zip(world.delivered, world.delivered[1:], strict=False)
    )


def violates_exclusivity(world: World, terms: OwnershipTerms) -> bool:
    acting = [n for n, front in enumerate(world.fronts) if _owner(terms, front).may_act(_local(world, n))]
    return len(acting) > 1


@dataclass
class _Broken:
    """The first path found to break each property; None while none has."""

    terms: OwnershipTerms
    fenced: list[str] | None = None
    alone: list[str] | None = None

    def look(self, world: World, path: list[str] | tuple[str, ...]) -> None:
        if self.fenced is None and violates_fencing(world):
            self.fenced = list(path)
        if self.alone is None and violates_exclusivity(world, self.terms):
            self.alone = list(path)


def explore(
    terms: OwnershipTerms,
    fronts: int,
    depth: int,
    max_time_steps: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> ExplorationResult:
    """Every interleaving of `depth` steps or fewer, time up to `max_time_steps` steps; states seen once are
    not walked again."""
    first = initial_world(fronts, rates)
    seen = {first}
    queue: deque[tuple[World, tuple[str, ...]]] = deque([(first, ())])
    broken = _Broken(terms)
    while queue:
        world, path = queue.popleft()
        broken.look(world, path)
        if len(path) >= depth:
            continue
        for name, after in transitions(world, terms, max_time_steps, enforce):
            if after not in seen:
                seen.add(after)
                queue.append((after, (*path, name)))
    return ExplorationResult(len(seen), broken.fenced, broken.alone)


def random_walks(
    terms: OwnershipTerms,
    fronts: int,
    walks: int,
    length: int,
    seed: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> ExplorationResult:
    """Seeded random walks of `length` steps each; the same seed walks the same paths."""
    chance = Random(seed)
    count = 0
    broken = _Broken(terms)
    for _ in range(walks):
        if broken.fenced is not None and broken.alone is not None:
            break  # both broken: nothing more to learn
        world, path = initial_world(fronts, rates), []
        for _ in range(length):
            options = list(transitions(world, terms, 10**9, enforce))
            if not options:
                break
            # A kind of step first (time, one front's act, one front's effect arriving), then one of that
            # kind: else the many ways to deliver would crowd out time passing, and nothing would be late.
            kinds = sorted({name.split()[0] for name, _ in options})
            kind = chance.choice(kinds)
            name, world = chance.choice([option for option in options if option[0].split()[0] == kind])
            # bounded: what landed is kept only as far as the property needs it
            world = replace(world, delivered=world.delivered[-2:])
            path.append(name)
            count += 1
            broken.look(world, path)
    return ExplorationResult(count, broken.fenced, broken.alone)
