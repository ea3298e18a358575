"""Discovery moves to another address in a fleet of which one front reads the event log for all.

Guards against a front that takes the reader's update, read from one log, as valid for another: it once left
polling to a reader that still polled the old address, and first polled the new one 5.4 s after SIGHUP. A
purge reported there meanwhile was ignored past its grace.
"""

import copy
import os
import signal
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import pytest

from cometseam.discovery import ConfirmationPolicy, ConfirmationTracker, PollPolicy
from cometseam.discovery.client import PASSIVE_CHECK_INTERVAL_MS
from cometseam.operator import OperatorFileError
from cometseam.operator.fleet import OWN_POLL_MS
from cometseam.operator.load import load
from cometseam.ownership import LogPollGate, LogSource
from tests.drive import SAMPLE, FrontTestbed
from tests.standins.discovery import Discovery
from tests.standins.fronts import Fronts, fronts

pytestmark = pytest.mark.anyio
NAMES = ("cache-2",)
TOLD_WITHIN_S = 4.0  # after SIGHUP, what the log at the new address reports counts as received
POLL_LASTS_S = 2.0  # a poll is held for 1.5 s, and another follows it
BOUND_TICKS = 2
MAX_STEPS = 7


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Every interleaving of a move, over the decision that the fronts use


@dataclass(slots=True)
class MoveState:
    """A reader and a follower of two logs, `old` and `new`, at one step; time in ticks."""

    gate: LogPollGate = field(default_factory=lambda: LogPollGate(float(BOUND_TICKS)))
    now: int = 0
    reader_address: str = "old"
    source: LogSource = field(default_factory=lambda: LogSource("old"))
    polls: int = 0
    in_transit: tuple[tuple[int, str, int], ...] = ()  # updates not yet received: number, log, poll's time
    # The latest poll of each log that the follower has received: its own, or the reader's.
    known_until: dict[str, int] = field(default_factory=dict)
    source_since: int = 0

    def should_poll(self) -> bool:
        """Return whether the follower polls for itself."""
        return self.gate.should_poll(False, self.source, float(self.now))


def next_states(state: MoveState) -> Iterator[MoveState]:
    """Yield each state that one event leads to."""

    def step() -> MoveState:
        return copy.deepcopy(state)

    after = step()  # a tick passes; a follower that polls for itself is answered in it
    after.now += 1
    if after.should_poll():
        after.known_until[after.source.address] = after.now
    yield after
    for address in ("old", "new"):  # SIGHUP, also one that undoes the move
        if state.reader_address != address:
            after = step()
            after.reader_address = address
            yield after
        if state.source.address != address:
            after = step()
            after.source = LogSource(address, state.source.generation + 1)
            after.source_since = state.now
            yield after
    after = step()  # the reader's poll is answered, and its update is on its way
    after.polls += 1
    after.in_transit += ((after.polls, after.reader_address, after.now),)
    yield after
    for index, (number, address, polled_at) in enumerate(state.in_transit):  # in any order, or never
        after = step()
        after.in_transit = (*state.in_transit[:index], *state.in_transit[index + 1 :])
        if after.gate.record_update(1, number, address, after.source, float(after.now)):
            after.known_until[address] = max(after.known_until.get(address, -1), polled_at)
        yield after


def violation(state: MoveState) -> str:
    """Return what is wrong in a state, empty if nothing is."""
    if state.should_poll():
        return ""
    gate = state.gate
    if gate.received_for != state.source:
        return "it relies on an update received under another configuration"
    if state.source.address not in state.known_until:
        return "it relies on a log that nobody has polled for it"
    if gate.received_at is None or gate.received_at < state.source_since:
        return "it relies on an update from before its configuration"
    return ""


def key_of(state: MoveState) -> str:
    return repr((state, vars(state.gate)))


def explore(initial: MoveState, max_steps: int) -> tuple[int, list[str]]:
    """Visit every state within `max_steps` events; return how many, and the violations found."""
    seen, frontier, found = {key_of(initial)}, [initial], set()
    for _ in range(max_steps):
        following = []
        for state in frontier:
            for after in next_states(state):
                if after.now > BOUND_TICKS + 1 or after.polls > 2 or after.source.generation > 2:
                    continue
                if (key := key_of(after)) in seen:
                    continue
                seen.add(key)
                following.append(after)
                if problem := violation(after):
                    found.add(problem)
        frontier = following
    return len(seen), sorted(found)


def test_no_interleaving_of_a_move_leaves_a_front_with_the_word_of_another_log() -> None:
    """Guards against any order of signals, polls and updates after which a front polls nothing it should."""
    states, found = explore(MoveState(), MAX_STEPS)
    assert found == [] and states > 1000


def test_the_exploration_finds_an_update_that_is_taken_for_another_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the check above fails where updates don't name their log, as before."""
    record_update = LogPollGate.record_update

    def record_any(self: LogPollGate, token: int, polls: int, _: str, source: LogSource, now: float) -> bool:
        return record_update(self, token, polls, source.address, source, now)

    monkeypatch.setattr(LogPollGate, "record_update", record_any)
    assert "it relies on a log that nobody has polled for it" in explore(MoveState(), MAX_STEPS)[1]


def test_an_update_counts_for_its_own_log_and_configuration_only() -> None:
    """Guards against a word that outlives its source, also where a move is undone."""
    gate, old = LogPollGate(4000.0), LogSource("10.0.0.1:1")
    assert gate.record_update(5, 1, old.address, old, 0.0) and not gate.should_poll(False, old, 1.0)
    new, back = LogSource("10.0.0.2:1", 1), LogSource("10.0.0.1:1", 2)
    assert gate.should_poll(False, new, 1.0)
    assert not gate.record_update(5, 2, old.address, new, 2.0) and gate.should_poll(False, new, 2.0)
    assert gate.foreign_updates == 1
    assert gate.should_poll(False, back, 3.0)  # the update of before the move is not taken up again
    assert gate.record_update(5, 3, old.address, back, 4.0) and not gate.should_poll(False, back, 4.0)
    assert gate.should_poll(False, replace(back, generation=3), 4.0)


def test_requests_wait_for_an_own_answer_once_a_front_polls_itself_again() -> None:
    """Guards against requests sent by a list that nobody has confirmed since the log moved."""
    tracker = ConfirmationTracker(ConfirmationPolicy(), 0.0)
    tracker.poll_sent(1, 0.0, 1.0, False)
    tracker.poll_answered(1, 5.0)
    tracker.polling_resumed(9000.0)
    assert tracker.remaining_wait(9000.0) == ConfirmationPolicy().gap_wait
    tracker.poll_sent(2, 9010.0, 1.0, False)
    assert tracker.remaining_wait(9010.0) > 0.0
    assert tracker.poll_answered(2, 9020.0) is not None and tracker.remaining_wait(9020.0) == 0.0


def load_faults(folder: Path, bound: str) -> str:
    """Return the faults of an operator's file with this `fleet.log.bound`, empty if it has none."""
    path = folder / "operator.jsonnet"
    task = "list: { ttl: '3s', margin: '500ms', renew: '500ms' }"
    fleet = f"service: '127.0.0.1:2379', tasks: {{ {task} }}, log: {{ bound: '{bound}' }}"
    path.write_text(f"{{ version: 1, fleet: {{ {fleet} }} }}")
    try:
        load(path, SAMPLE["settings"])
    except OperatorFileError as error:
        return "\n".join(str(fault) for fault in error.faults)
    return ""


def test_bound_by_which_an_event_could_be_known_too_late_is_rejected_at_load(tmp_path: Path) -> None:
    """Guards against a term that makes a drain known later than the protocol counts it as received."""
    assert load_faults(tmp_path, "5200ms") == ""
    faults = load_faults(tmp_path, "5300ms")
    assert "known 7100 ms after it was logged, 7000 ms at most" in faults
    assert "round_trip 100 + refresh 1000 + bound 5300 + an own poll 700" in faults
    policy = PollPolicy()
    own_poll = policy.connect_allowance + policy.connection_interval + policy.quick_allowance
    assert own_poll + PASSIVE_CHECK_INTERVAL_MS == OWN_POLL_MS


# Real fronts


@dataclass
class LogMove:
    """Two fronts that share one reading of the log at `old`; `new` is where it moves to."""

    running_fronts: Fronts
    reader: FrontTestbed
    follower: FrontTestbed
    old: Discovery
    new: Discovery
    new_address: str

    async def move(self, front: FrontTestbed) -> None:
        """Give a front the configuration that names the new address."""
        front.config["changelog"] = self.new_address
        await front.reload()

    async def move_back(self, front: FrontTestbed) -> None:
        """Give a front the configuration that names the old address again."""
        front.config["changelog"] = front.discovery_address
        await front.reload()

    def drain(self, discovery: Discovery) -> bytes:
        """Report that cache-2 drains; return what a front logs when it has applied that."""
        event = discovery.drain(self.reader.endpoint_entry("cache-2"))
        return b"discovery: applied event %d" % event


@asynccontextmanager
async def log_move() -> AsyncIterator[LogMove]:
    """Run two fronts, one of which has polled the log for both for a while."""
    old, new = Discovery(), Discovery()

    def prepare(front: FrontTestbed) -> None:
        front.discovery_handler = old.serve

    async with fronts(2, NAMES, prepare_front=prepare) as running_fronts:
        index = await running_fronts.wait_for_owner(task="list")
        reader, follower = running_fronts.testbeds[index], running_fronts.testbeds[1 - index]
        new_address = await reader.listen(new.serve)
        await anyio.sleep(2.0)  # the follower's own last poll has ended
        polls = await follower.read_counters()
        await anyio.sleep(2.0)
        assert (await follower.read_counters())["fleet.log.polls"] == polls["fleet.log.polls"]
        yield LogMove(running_fronts, reader, follower, old, new, new_address)


@pytest.mark.parametrize("old_address", ["answers", "is silent", "ends connections"])
async def test_front_signalled_before_the_reader_polls_the_new_address_itself(old_address: str) -> None:
    """Guards against a drain that is missed at the new address while the reader follows the old one."""
    async with log_move() as moving:
        if old_address == "is silent":
            moving.old.gate = anyio.Event()
        elif old_address == "ends connections":
            moving.old.ends = set(range(1, 1000))
        await moving.move(moving.follower)
        with anyio.fail_after(TOLD_WITHIN_S):
            await moving.follower.logged(moving.drain(moving.new))
        assert b"applied event 2" not in moving.reader.output
        if old_address == "answers":
            await anyio.sleep(4.0)  # longer than the reader's updates count
            assert time.monotonic() - moving.new.polls[-1].asked_at < POLL_LASTS_S


async def test_front_signalled_after_the_reader_polls_the_old_address_itself_until_then() -> None:
    """Guards against a front that follows a log which its own configuration doesn't name yet."""
    async with log_move() as moving:
        await moving.move(moving.reader)
        with anyio.fail_after(TOLD_WITHIN_S):
            await moving.follower.logged(moving.drain(moving.old))
        moving.new.events = list(moving.old.events)  # the numbers continue
        await moving.move(moving.follower)
        with anyio.fail_after(TOLD_WITHIN_S):
            await moving.follower.logged(moving.drain(moving.new))
        await anyio.sleep(2.0)
        before = await moving.follower.read_counters()
        await anyio.sleep(2.0)  # it relies on the reader again, who reads the same log
        assert (await moving.follower.read_counters())["fleet.log.polls"] == before["fleet.log.polls"]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
async def test_reader_that_is_killed_or_stopped_within_the_move_hides_nothing(number: int) -> None:
    """Guards against a front that waits for a reader who cannot report any more."""
    async with log_move() as moving:
        await moving.move(moving.reader)
        os.kill(moving.reader.process.pid, number)
        await moving.move(moving.follower)
        with anyio.fail_after(TOLD_WITHIN_S):
            await moving.follower.logged(moving.drain(moving.new))


async def test_move_that_is_undone_leaves_every_front_with_the_old_address() -> None:
    """Guards against a front that misses events at the old address after it came back to it."""
    async with log_move() as moving:
        await moving.move(moving.follower)
        await moving.move_back(moving.follower)
        with anyio.fail_after(TOLD_WITHIN_S):
            await moving.follower.logged(moving.drain(moving.old))
        await anyio.sleep(2.0)
        before = await moving.follower.read_counters()
        await anyio.sleep(2.0)
        assert (await moving.follower.read_counters())["fleet.log.polls"] == before["fleet.log.polls"]
