"""A bounded model checker for task ownership: explores the interleavings of a few fronts that compete for one
task, on the production classes `Ownership` and `Fence`.

The model: a coordination service with one key and leases that expire by the service's clock; fronts whose
clocks run at rates within `OwnershipTerms.drift` (or outside it, to show what the fence alone still ensures);
effects in flight, i.e. operations that an owner sends to the fenced target with its token, which arrive late,
in any order, or never; lost answers of the service. Pauses need no event of their own: a paused front is one
that takes no step while time passes, and every such schedule is among those explored.

Two properties are checked at every state reached:
- fencing: the target admits no effect of an older owner after one of a newer owner (by the target's history);
- exclusivity: at no time do two fronts both find that they may act. It is ensured only while the clocks stay
  within the drift.

`explore(...)` searches breadth first, skipping states already seen, up to a given depth; `random_walks(...)`
takes seeded random walks longer than that depth. Both return the first path to a violation of each property.
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
    """The state of a front's `Ownership` that a step can change, and the rate of its clock."""

    state: State
    token: int
    sent_at: float  # local ms when the last answered lease request or keep-alive was sent
    clock_rate: float  # local ms per ms of the service's clock


@dataclass(frozen=True)
class World:
    """One state of the model: the service, the fronts, the effects in flight and the target."""

    time: int  # ticks of the service's clock (`TIME_STEP_MS` each)
    key_owner: int  # the front that owns the key, or -1
    token: int  # the key's create revision, 0 for none
    revision: int
    leases: tuple[int, ...]  # when each front's lease expires, in ticks; -1 for none
    fronts: tuple[FrontState, ...]
    in_flight: tuple[tuple[int, int], ...]  # effects sent and not arrived: (front, token), sorted
    highest_token: int  # the highest that the target's fence has admitted
    # (token, front) of each admitted effect, in order; the depth bounds it, `random_walks` keeps the last 2
    admitted_effects: tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class ExplorationResult:
    """The size of the search, and the first path found to a violation of each property; None for none."""

    states: int  # distinct states that `explore` reached, or steps that `random_walks` took
    fencing_violation: list[str] | None
    exclusivity_violation: list[str] | None


def _restore_ownership(terms: OwnershipTerms, front: FrontState) -> Ownership:
    ownership = Ownership("task", terms)
    ownership.state, ownership.token, ownership.sent_at = front.state, front.token, front.sent_at
    return ownership


def _capture_front(ownership: Ownership, clock_rate: float) -> FrontState:
    return FrontState(ownership.state, ownership.token, ownership.sent_at, clock_rate)


def _local_time(world: World, front_index: int) -> float:
    return world.time * TIME_STEP_MS * world.fronts[front_index].clock_rate


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
    world: World, terms: OwnershipTerms, max_time_steps: int, enforce: bool = True
) -> Iterator[tuple[str, World]]:
    """Yield every possible next step: its name and the state after it; no tick after `max_time_steps`."""
    ttl = int(terms.ttl_ms // TIME_STEP_MS)
    if world.time < max_time_steps:  # time passes; expired leases are dropped with their key
        leases = tuple(-1 if 0 <= expires_at <= world.time + 1 else expires_at for expires_at in world.leases)
        expired = world.key_owner >= 0 and leases[world.key_owner] == -1
        yield (
            "tick",
            replace(
                world,
                time=world.time + 1,
                leases=leases,
                key_owner=-1 if expired else world.key_owner,
                token=0 if expired else world.token,
            ),
        )
    for front_index, front in enumerate(world.fronts):
        now = _local_time(world, front_index)
        ownership = _restore_ownership(terms, front)
        if ownership.begin_campaign(now):  # the lease grant and the election transaction are one step
            revision = world.revision + 1
            leases_after = list(world.leases)
            leases_after[front_index] = world.time + ttl
            if world.key_owner == -1:
                won_world = replace(
                    world,
                    revision=revision,
                    key_owner=front_index,
                    token=revision,
                    leases=tuple(leases_after),
                )
                after_win = _restore_ownership(terms, front)
                after_win.begin_campaign(now)
                after_win.record_won(revision, now, now)
                yield f"f{front_index} wins {revision}", _replace_front(won_world, front_index, after_win)
                yield (
                    f"f{front_index} wins {revision}, answer lost",
                    _replace_front(won_world, front_index, ownership),
                )
            else:
                yield f"f{front_index} campaigns, held", _replace_front(world, front_index, ownership)
        if front.state in (State.OWNER, State.LOSING):
            alive = world.leases[front_index] >= 0
            renewed_leases = list(world.leases)
            if alive:
                renewed_leases[front_index] = world.time + ttl
            after_renewal = _restore_ownership(terms, front)
            after_renewal.record_renewal(now, terms.ttl_ms if alive else 0.0, now)
            after_renewal.record_key_holder(
                world.token if world.key_owner == front_index else world.token or 0, now
            )
            yield (
                f"f{front_index} renews",
                _replace_front(replace(world, leases=tuple(renewed_leases)), front_index, after_renewal),
            )
            if alive:
                yield f"f{front_index} renews, answer lost", replace(world, leases=tuple(renewed_leases))
            sender = _restore_ownership(terms, front)
            if sender.may_act(now):
                in_flight = tuple(sorted({*world.in_flight, (front_index, sender.token)}))
                yield (
                    f"f{front_index} sends {sender.token}",
                    _replace_front(replace(world, in_flight=in_flight), front_index, sender),
                )
    for effect in world.in_flight:
        remaining = tuple(e for e in world.in_flight if e != effect)
        fence = Fence(enforce)
        fence.highest_tokens["task"] = world.highest_token
        decision = fence.admit("task", effect[1])
        admitted_effects = (
            (*world.admitted_effects, (effect[1], effect[0])) if decision.passed else world.admitted_effects
        )
        yield (
            f"f{effect[0]}'s {effect[1]} lands",
            replace(
                world,
                in_flight=remaining,
                highest_token=decision.highest_token,
                admitted_effects=admitted_effects,
            ),
        )
        yield f"f{effect[0]}'s {effect[1]} is lost", replace(world, in_flight=remaining)


def _replace_front(world: World, front_index: int, ownership: Ownership) -> World:
    fronts = list(world.fronts)
    fronts[front_index] = _capture_front(ownership, fronts[front_index].clock_rate)
    return replace(world, fronts=tuple(fronts))


def violates_fencing(world: World) -> bool:
    return any(
        later[0] < earlier[0]
        for earlier, later in zip(world.admitted_effects, world.admitted_effects[1:], strict=False)
    )


def violates_exclusivity(world: World, terms: OwnershipTerms) -> bool:
    acting_fronts = [
        front_index
        for front_index, front in enumerate(world.fronts)
        if _restore_ownership(terms, front).may_act(_local_time(world, front_index))
    ]
    return len(acting_fronts) > 1


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
    """Explore every interleaving of at most `depth` steps, of which at most `max_time_steps` are ticks.

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
        for name, next_world in transitions(world, terms, max_time_steps, enforce):
            if next_world not in seen:
                seen.add(next_world)
                queue.append((next_world, (*path, name)))
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
    """Take `walks` random walks of at most `length` steps; the same seed gives the same paths.

    Time has no limit (in effect: 10**9 ticks). Stops early once both properties have been violated.
    """
    rng = Random(seed)
    step_count = 0
    violations = _FirstViolations(terms)
    for _ in range(walks):
        if violations.fencing is not None and violations.exclusivity is not None:
            break  # only the first violation of each is reported
        world, path = initial_world(fronts, rates), []
        for _ in range(length):
            options = list(transitions(world, terms, 10**9, enforce))
            if not options:
                break
            # Choose a kind of step first (a tick, an action of one front, the arrival or loss of one front's
            # effect), then a step of that kind: otherwise the many possible deliveries would outweigh the
            # ticks, and no effect would arrive late.
            kinds = sorted({name.split()[0] for name, _ in options})
            kind = rng.choice(kinds)
            name, world = rng.choice([option for option in options if option[0].split()[0] == kind])
            # Bounded: the property needs only the last two admitted effects.
            world = replace(world, admitted_effects=world.admitted_effects[-2:])
            path.append(name)
            step_count += 1
            violations.check(world, path)
    return ExplorationResult(step_count, violations.fencing, violations.exclusivity)
