"""Judges a whole history by the rules of the service. No I/O; times are seconds of one monotonic clock."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from cometseam.soak.history import (
    Abandoned,
    Acted,
    Arrived,
    Changed,
    DiscoveryTrouble,
    Ended,
    Finished,
    History,
    Lagged,
    Polled,
    Replied,
    Requested,
    Sampled,
    Started,
)  # fmt: skip


class Rule(StrEnum):
    """What a front owes."""

    ANSWERED = "answered"  # each request has its final answer in time
    ANSWERED_ONCE = "answered once"
    ONE_ATTEMPT = "one attempt at a time"
    ONE_EFFECT = "no effect twice"
    DRAIN = "drain"  # nothing to a draining or removed endpoint after the grace
    PURGE = "purge"  # no answer older than a purge after the grace
    CLIENT_GONE = "client gone"  # no attempt begins 0.1 s after its client has left
    TIME_LEFT = "time left"  # an endpoint is told no more time than the client has
    PROCESS = "process"  # no crash, no end that nobody asked for
    RESOURCES = "resources"  # descriptors and memory within their limits


RESUMED = 0.02  # s after a process goes on in which what it was writing is written


@dataclass(frozen=True, slots=True)
class Limits:
    """What the rules go by; seconds, but for counts and MB."""

    drain_grace: float = 0.55
    known_by: float = 7.0  # after an event, when it counts as known however little discovery has told
    answer_slack: float = 0.5  # past a request's time, until when an answer only earns nothing
    crossing: float = 0.05  # a request that crosses its connection's end within this is sent again
    slack: float = 0.05
    client_gone: float = 0.1
    purge_takes: float = 6.0  # after a purge endpoints have dropped what it names
    time_left: float = 0.15
    descriptors: int = 1024
    memory: float = 192.0
    # By request class: how old a copy may be; classes of which no request may run twice.
    fresh: tuple[tuple[str, float], ...] = ()
    at_most_once: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken: when, and what was seen."""

    rule: Rule
    at: float
    what: str
    request: str = ""
    front: int = -1

    def follows(self, pause: Acted) -> bool:
        """Tell whether it is an attempt written just after a front's process went on."""
        at_once = 0.0 <= self.at - pause.until <= RESUMED
        return at_once and bool(self.request) and pause.target == f"front-{self.front}"


def check(history: History, limits: Limits) -> list[Violation]:
    """Return all that is wrong with a history, by time."""
    view = _View(history, limits)
    found = [*_answers(view), *_attempts(view), *_drains(view), *_purges(view), *_processes(view)]
    return sorted(_without_stopped_writes(view, found), key=lambda violation: violation.at)


class _View:
    """A history by what the checks look up."""

    def __init__(self, history: History, limits: Limits) -> None:
        self.history, self.limits = history, limits
        self.requests = {each.request: each for each in history.of(Requested)}
        self.replies: defaultdict[str, list[Replied]] = defaultdict(list)
        for reply in history.of(Replied):
            self.replies[reply.request].append(reply)
        self.abandoned = {each.request: each for each in history.of(Abandoned)}
        self.arrived = history.of(Arrived)
        self.ended = {(each.front, each.life): each for each in history.of(Ended)}
        self.starts = {(each.front, each.life): each for each in history.of(Started)}
        self.pauses = [each for each in history.of(Acted) if each.kind == "pause"]
        self.lags = history.of(Lagged)
        self.notified: dict[tuple[int, int, int], float] = {}
        self.polls: defaultdict[tuple[int, int], list[Polled]] = defaultdict(list)
        for poll in history.of(Polled):
            self.polls[poll.front, poll.life].append(poll)

    def lag(self, at: float) -> float:
        """Return by how much what was read at a time may have come sooner, for the soak's own lateness."""
        return max((each.by for each in self.lags if each.at - each.by <= at <= each.at + 0.02), default=0.0)

    def paused(self, front: int, since: float, until: float) -> float:
        """Return for how long a front's process was stopped between two times."""
        name = f"front-{front}"
        spans = (min(each.until, until) - max(each.at, since) for each in self.pauses if each.target == name)
        return sum(max(span, 0.0) for span in spans)

    def notified_at(self, event: Changed, front: int, life: int) -> float:
        """Return when a front counts as notified of an event.

        That is the first answer with it that was written whole; when it would have been told, had it asked;
        or the bound past which every event counts as known.
        """
        key = (event.number, front, life)
        if key not in self.notified:
            self.notified[key] = min(
                event.at + self.limits.known_by,
                self._told_at(event, front, life),
                self._could_have_asked(event, front, life),
            )
        return self.notified[key]

    def concerns(self, event: Changed, attempt: Arrived) -> bool:
        """Tell whether an event came after the list that the attempt's front was started with."""
        return event.number > self.starts[attempt.front, attempt.life].base

    def _told_at(self, event: Changed, front: int, life: int) -> float:
        polls = self.polls[front, life]
        return min((each.answered_at for each in polls if each.answered_at and each.told >= event.number),
                   default=float("inf"))  # fmt: skip

    def _could_have_asked(self, event: Changed, front: int, life: int) -> float:
        started = self.starts[front, life]
        troubles = [each for each in self.history.of(DiscoveryTrouble) if each.front == front]
        # A poll that follows at once, on a connection that may prove silent, has asked as well.
        slack = self.limits.slack
        polls, downs = self.polls[front, life], [each for each in troubles if not each.delay]
        busy = [(each.asked_at - slack, each.answered_at or each.ended_at) for each in polls]
        busy += [(each.at, each.until) for each in downs]
        # An outage that comes while a process starts takes away what it would have been told before.
        first = min((each.answered_at for each in polls if each.answered_at), default=float("inf"))
        busy += [(started.at, each.until) for each in downs if started.at <= each.at < first]
        busy += [(each.at, each.until) for each in self.pauses if each.target == f"front-{front}"]
        at = max(event.at, started.at)
        for began, ended in sorted(busy):
            if began <= at < ended:
                at = ended
        return at + max((each.delay for each in troubles if each.at <= at <= each.until), default=0.0)


def _without_stopped_writes(view: _View, found: list[Violation]) -> Iterator[Violation]:
    """Leave out one attempt a stop of a process: one that stopped it between its last look and the write.

    No process can look and write in one step; where a second attempt is wrong after the same stop, the front
    has gone on without a look, and all of them count.
    """
    stopped: defaultdict[Acted, list[Violation]] = defaultdict(list)
    for violation in found:
        pause = next((each for each in view.pauses if violation.follows(each)), None)
        if pause is None:
            yield violation
        else:
            stopped[pause].append(violation)
    for violations in stopped.values():
        if len({each.request for each in violations}) > 1:
            yield from violations


def _answers(view: _View) -> Iterator[Violation]:
    limits = view.limits
    for request in view.requests.values():
        replies = view.replies[request.request]
        if len(replies) > 1:
            what = f"{request.request} has {len(replies)} answers"
            yield Violation(Rule.ANSWERED_ONCE, replies[1].at, what)
        due = request.at + request.limit + limits.answer_slack
        due += view.paused(request.front, request.at, due + 10.0) + (view.lag(due) if not replies else 0.0)
        if replies:
            late = replies[0].at - view.lag(replies[0].at) - due
            if late > 0.0:
                yield Violation(Rule.ANSWERED, replies[0].at, f"{request.request} answered {late:.3f} s late")
        elif why := _lost(view, request, due):
            yield Violation(Rule.ANSWERED, request.at, f"{request.request} of front-{request.front}: {why}")


def _lost(view: _View, request: Requested, due: float) -> str:
    """Return why a request without an answer is lost; empty where it is not."""
    gone = view.abandoned.get(request.request)
    if gone is not None and gone.by_client:
        return ""
    ended = view.ended.get((request.front, request.life))
    if ended is not None and ended.killed and not ended.asked_at and ended.at < due:
        return ""  # by SIGKILL that nobody announced
    if gone is not None and gone.at - view.lag(gone.at) - request.at <= view.limits.crossing:
        return ""
    if gone is not None:
        return f"its connection ended {gone.at - request.at:.3f} s after it, with no answer"
    return "never answered"


def _attempts(view: _View) -> Iterator[Violation]:
    limits = view.limits
    ends: defaultdict[tuple[str, str], list[Finished]] = defaultdict(list)
    for each in view.history.of(Finished):
        ends[each.request, each.endpoint].append(each)
    by_request: defaultdict[str, list[Arrived]] = defaultdict(list)
    for arrived in view.arrived:
        by_request[arrived.request].append(arrived)
    for name, attempts in by_request.items():
        request = view.requests[name]
        gone, attempts = view.abandoned.get(name), sorted(attempts, key=lambda each: each.first_at)
        for place, attempt in enumerate(attempts):
            began = attempt.first_at - view.lag(attempt.first_at)
            left = request.at + request.limit - began
            if attempt.time_left > left + limits.time_left:
                what = f"{name}: {attempt.time_left:.3f} s told, the client has {left:.3f} s"
                yield Violation(Rule.TIME_LEFT, attempt.first_at, what, name, attempt.front)
            if gone is not None and gone.by_client and began > gone.at + limits.client_gone + limits.slack:
                what = f"{name}: an attempt {began - gone.at:.3f} s after its client left"
                yield Violation(Rule.CLIENT_GONE, attempt.first_at, what, name, attempt.front)
            for earlier in attempts[:place]:
                later = (each for each in ends[name, earlier.endpoint] if each.at >= earlier.at)
                finished = next(later, None)
                if finished is None or finished.at > attempt.at + limits.slack + view.lag(finished.at):
                    what = f"{name}: at {attempt.endpoint} while one at {earlier.endpoint} is out"
                    yield Violation(Rule.ONE_ATTEMPT, began, what)
                elif finished.word not in NEVER_RAN and request.request_class in limits.at_most_once:
                    what = f"{name}: at {attempt.endpoint} after {finished.word} from {earlier.endpoint}"
                    yield Violation(Rule.ONE_EFFECT, began, what)


NEVER_RAN = ("LACK", "WAIT", "PAST")


def _drains(view: _View) -> Iterator[Violation]:
    closed: dict[str, Changed] = {}
    for event in view.history.of(Changed):
        if event.endpoint and event.state != "active":
            closed.setdefault(event.endpoint, event)
    for attempt in view.arrived:
        for endpoint in {attempt.endpoint, attempt.source} & closed.keys():
            event = closed[endpoint]
            after = attempt.first_at - view.lag(attempt.first_at)
            after -= view.notified_at(event, attempt.front, attempt.life)
            if after > view.limits.drain_grace:
                what = f"{attempt.request} of front-{attempt.front} (life {attempt.life}) to {endpoint}, "
                what += f"{after:.3f} s after the front was notified"
                yield Violation(Rule.DRAIN, attempt.first_at, what, attempt.request, attempt.front)


def _purges(view: _View) -> Iterator[Violation]:
    fresh = dict(view.limits.fresh)
    purges = [each for each in view.history.of(Changed) if each.purged_group >= 0]
    for attempt in view.arrived:
        request = view.requests[attempt.request]
        oldest = attempt.oldest or fresh.get(request.request_class, 0.0)
        for purge in purges:
            began = attempt.first_at - view.lag(attempt.first_at)
            if purge.purged_group != request.group or not view.concerns(purge, attempt) or oldest <= 0.0:
                continue
            if began < purge.at or attempt.first_at > purge.at + view.limits.purge_takes:
                continue
            after = began - view.notified_at(purge, attempt.front, attempt.life)
            age = attempt.first_at - purge.at
            if after > view.limits.drain_grace and oldest > age + 2.0 * view.limits.slack:
                what = f"{attempt.request}: copies of {oldest:.3f} s allowed {age:.3f} s after a purge"
                yield Violation(Rule.PURGE, attempt.first_at, what, attempt.request, attempt.front)


def _processes(view: _View) -> Iterator[Violation]:
    for ended in view.ended.values():
        if not ended.killed and (ended.status != 0 or not ended.asked_at):
            what = f"front-{ended.front} (life {ended.life}) ended with status {ended.status}"
            yield Violation(Rule.PROCESS, ended.at, what)
    for sample in view.history.of(Sampled):
        if sample.descriptors > view.limits.descriptors or sample.memory > view.limits.memory:
            what = f"front-{sample.front}: {sample.descriptors} descriptors, {sample.memory:.0f} MB"
            yield Violation(Rule.RESOURCES, sample.at, what)
