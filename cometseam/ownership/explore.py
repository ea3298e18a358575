"""Explores all interleavings of a small fleet with one task, on the shipped `Ownership` and `Fence`, up to a
given depth.

The model: a service with one key and leases that expire by the service's clock; fronts whose clocks run at
rates within the terms' drift (or outside it, to show what the fence alone still ensures); effects in flight
that arrive late, in any order, or never; lost answers of the service. Pauses need no event of their own: a
paused front is one that takes no step while time passes, and every such schedule is among those explored.

Two properties are checked at every state reached:
- `fencing_violation`: no effect of an older owner is admitted at the target after one of a newer owner (by
  the target's history);
- `exclusivity_violation`: at no time do two fronts both find that they may act. It is ensured only while
  clocks keep to the drift.

`explore(...)` searches breadth first, skipping states already seen, and returns the violations found with the
number of states; `random_walks(...)` takes seeded random walks deeper than the exhaustive depth.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from cometseam.ownership.fence import Fence
from cometseam.ownership.machine import Ownership, OwnershipTerms, State

TIME_STEP_MS = 100.0


@dataclass(frozen=True)
class FrontState:
    state: State
    token: int
    sent_at: float
    clock_rate: float  # local ms per ms of the service's clock


@dataclass(frozen=True)
class World:
    time: int  # steps of the service's clock
    holder: int  # the front that owns the key, or -1
    token: int  # the key's create revision, 0 for none
    revision: int
    leases: tuple[int, ...]  # when each front's lease expires, in steps of the service's clock; -1 for none
    fronts: tuple[FrontState, ...]
    in_flight: tuple[tuple[int, int], ...]  # effects sent and not arrived: (front, token), sorted
    highest_token: int  # that the target's fence has admitted
    delivered: tuple[
        tuple[int, int], ...
    ]  # (token, front) of every effect admitted, in order (bounded by depth)


@dataclass(frozen=True)
class ExplorationResult:
    """The number of states reached, and the first path to a violation of each property."""

    states: int
    fencing_violation: list[str] | None
    exclusivity_violation: list[str] | None


def _restore_ownership(terms: OwnershipTerms, front: FrontState) -> Ownership:
    owner = Ownership("task", terms)
    owner.state, owner.token, owner.sent_at = front.state, front.token, front.sent_at
    return owner


def _capture_front(owner: Ownership, rate: float) -> FrontState:
    return FrontState(owner.state, owner.token, owner.sent_at, rate)


def _local_time(world: World, front: int) -> float:
    return world.time * TIME_STEP_MS * world.fronts[front].clock_rate


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
    """Yield every possible next step: its name and the world after it."""
    ttl = int(terms.ttl_ms // TIME_STEP_MS)
    if world.time < limit:  # time passes; expired leases are dropped with their key
        leases = tuple(-1 if 0 <= end <= world.time + 1 else end for end in world.leases)
        expired = world.holder >= 0 and leases[world.holder] == -1
        yield (
            "tick",
            replace(
                world,
                time=world.time + 1,
                leases=leases,
                holder=-1 if expired else world.holder,
                token=0 if expired else world.token,
            ),
        )
    for number, front in enumerate(world.fronts):
        now = _local_time(world, number)
        owner = _restore_ownership(terms, front)
        if owner.begin_campaign(now):  # lease and transaction in one step; the answer may be lost
            revision = world.revision + 1
            leases_after = list(world.leases)
            leases_after[number] = world.time + ttl
            if world.holder == -1:
                won = replace(
                    world, revision=revision, holder=number, token=revision, leases=tuple(leases_after)
                )
                winner = _restore_ownership(terms, front)
                winner.begin_campaign(now)
                winner.record_won(revision, now, now)
                yield f"f{number} wins {revision}", _replace_front(won, number, winner)
                yield f"f{number} wins {revision}, answer lost", _replace_front(won, number, owner)
            else:
                yield f"f{number} campaigns, held", _replace_front(world, number, owner)
        if front.state in (State.OWNER, State.LOSING):
            alive = world.leases[number] >= 0
            renewed_leases = list(world.leases)
            if alive:
                renewed_leases[number] = world.time + ttl
            renewing = _restore_ownership(terms, front)
            renewing.record_renewal(now, terms.ttl_ms if alive else 0.0, now)
            renewing.record_key_holder(world.token if world.holder == number else world.token or 0, now)
            yield (
                f"f{number} renews",
                _replace_front(replace(world, leases=tuple(renewed_leases)), number, renewing),
            )
            if alive:
                yield f"f{number} renews, answer lost", replace(world, leases=tuple(renewed_leases))
            acting = _restore_ownership(terms, front)
            if acting.may_act(now):
                in_flight = tuple(sorted({*world.in_flight, (number, acting.token)}))
                yield (
                    f"f{number} sends {acting.token}",
                    _replace_front(replace(world, in_flight=in_flight), number, acting),
                )
    for effect in world.in_flight:
        remaining = tuple(e for e in world.in_flight if e != effect)
        fence = Fence(enforce)
        fence.highest_tokens["task"] = world.highest_token
        decision = fence.admit("task", effect[1])
        delivered = (*world.delivered, (effect[1], effect[0])) if decision.passed else world.delivered
        yield (
            f"f{effect[0]}'s {effect[1]} lands",
            replace(world, in_flight=remaining, highest_token=decision.highest_token, delivered=delivered),
        )
        yield f"f{effect[0]}'s {effect[1]} is lost", replace(world, in_flight=remaining)


def _replace_front(world: World, number: int, owner: Ownership) -> World:
    fronts = list(world.fronts)
    fronts[number] = _capture_front(owner, fronts[number].clock_rate)
    return replace(world, fronts=tuple(fronts))


def violates_fencing(world: World) -> bool:
    return any(
        later[0] < earlier[0] for earlier, later in zip(world.delivered, world.delivered[1:], strict=False)
    )


def violates_exclusivity(world: World, terms: OwnershipTerms) -> bool:
    acting = [
        number
        for number, front in enumerate(world.fronts)
        if _restore_ownership(terms, front).may_act(_local_time(world, number))
    ]
    return len(acting) > 1


@dataclass
class _FirstViolations:
    """The first path found to a violation of each property; None where none was found."""

    terms: OwnershipTerms
    fencing: list[str] | None = None
    exclusivity: list[str] | None = None

    def check(self, world: World, path: list[str] | tuple[str, ...]) -> None:
        if self.fencing is None and violates_fencing(world):
            self.fencing = list(path)
        if self.exclusivity is None and violates_exclusivity(world, self.terms):
            self.exclusivity = list(path)


def explore(
    terms: OwnershipTerms,
    fronts: int,
    depth: int,
    max_time_steps: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> ExplorationResult:
    """Explore every interleaving of at most `depth` steps and `max_time_steps` time steps.

    A state seen before is not expanded again.
    """
    initial = initial_world(fronts, rates)
    seen = {initial}
    queue: deque[tuple[World, tuple[str, ...]]] = deque([(initial, ())])
    violations = _FirstViolations(terms)
    while queue:
        world, path = queue.popleft()
        violations.check(world, path)
        if len(path) >= depth:
            continue
        for name, after in transitions(world, terms, max_time_steps, enforce):
            if after not in seen:
                seen.add(after)
                queue.append((after, (*path, name)))
    return ExplorationResult(len(seen), violations.fencing, violations.exclusivity)


def random_walks(
    terms: OwnershipTerms,
    fronts: int,
    walks: int,
    length: int,
    seed: int,
    rates: tuple[float, ...] | None = None,
    enforce: bool = True,
) -> ExplorationResult:
    """Take `walks` random walks of `length` steps each; the same seed gives the same paths."""
    rng = Random(seed)
    step_count = 0
    violations = _FirstViolations(terms)
    for _ in range(walks):
        if violations.fencing is not None and violations.exclusivity is not None:
            break  # both properties are violated: nothing more to find
        world, path = initial_world(fronts, rates), []
        for _ in range(length):
            options = list(transitions(world, terms, 10**9, enforce))
            if not options:
                break
            # Choose a kind of step first (time, one front's action, one front's effect arriving), then a step
            # of that kind: otherwise the many possible deliveries would outweigh time, and nothing would be
            # late.
            kinds = sorted({name.split()[0] for name, _ in options})
            kind = rng.choice(kinds)
            name, world = rng.choice([option for option in options if option[0].split()[0] == kind])
            # Bounded: the property needs only the last two admitted effects.
            world = replace(world, delivered=world.delivered[-2:])
            path.append(name)
            step_count += 1
            violations.check(world, path)
    return ExplorationResult(step_count, violations.fencing, violations.exclusivity)
