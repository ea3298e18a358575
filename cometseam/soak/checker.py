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


RESUME_WRITE_WINDOW_S = 0.02  # s after a process goes on in which what it was writing is written


@dataclass(frozen=True, slots=True)
class Limits:
    """What the rules go by; seconds, but for counts and MB."""

    drain_grace: float = 0.55
    max_notification_delay: float = (
        7.0  # after an event, when it counts as known however little discovery has told
    )
    answer_allowance: float = 0.5  # past a request's time, until when an answer only earns nothing
    connection_end_allowance: float = (
        0.05  # a request that crosses its connection's end within this is sent again
    )
    timing_tolerance: float = 0.05
    client_gone_grace: float = 0.1
    purge_propagation: float = 6.0  # after a purge endpoints have dropped what it names
    time_left_tolerance: float = 0.15
    descriptors: int = 1024
    memory_mb: float = 192.0
    # By request class: how old a copy may be; classes of which no request may run twice.
    max_copy_ages: tuple[tuple[str, float], ...] = ()
    non_idempotent_classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken: when, and what was seen."""

    rule: Rule
    at: float
    what: str
    request: str = ""
    front: int = -1

    def is_just_after(self, pause: Acted) -> bool:
        """Tell whether it is an attempt written just after a front's process went on."""
        is_within_window = 0.0 <= self.at - pause.until <= RESUME_WRITE_WINDOW_S
        return is_within_window and bool(self.request) and pause.target == f"front-{self.front}"


def check(history: History, limits: Limits) -> list[Violation]:
    """Return all that is wrong with a history, by time."""
    index = _HistoryIndex(history, limits)
    violations = [
        *_answer_violations(index),
        *_attempt_violations(index),
        *_drain_violations(index),
        *_purge_violations(index),
        *_process_violations(index),
    ]
    return sorted(_without_paused_writes(index, violations), key=lambda violation: violation.at)


class _HistoryIndex:
    """A history by what the checks look up."""

    def __init__(self, history: History, limits: Limits) -> None:
        self.history, self.limits = history, limits
        self.requests = {each.request: each for each in history.of(Requested)}
        self.replies: defaultdict[str, list[Replied]] = defaultdict(list)
        for reply in history.of(Replied):
            self.replies[reply.request].append(reply)
        self.abandoned = {each.request: each for each in history.of(Abandoned)}
        self.arrivals = history.of(Arrived)
        self.process_ends = {(each.front, each.life): each for each in history.of(Ended)}
        self.process_starts = {(each.front, each.life): each for each in history.of(Started)}
        self.pauses = [each for each in history.of(Acted) if each.kind == "pause"]
        self.lags = history.of(Lagged)
        self.notification_times: dict[tuple[int, int, int], float] = {}
        self.polls: defaultdict[tuple[int, int], list[Polled]] = defaultdict(list)
        for poll in history.of(Polled):
            self.polls[poll.front, poll.life].append(poll)

    def lag_at(self, at: float) -> float:
        """Return by how much what was read at a time may have come sooner, for the soak's own lateness."""
        return max((each.by for each in self.lags if each.at - each.by <= at <= each.at + 0.02), default=0.0)

    def paused_duration(self, front: int, since: float, until: float) -> float:
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
        if key not in self.notification_times:
            self.notification_times[key] = min(
                event.at + self.limits.max_notification_delay,
                self._first_answer_at(event, front, life),
                self._earliest_poll_answer_at(event, front, life),
            )
        return self.notification_times[key]

    def is_after_start_list(self, event: Changed, attempt: Arrived) -> bool:
        """Tell whether an event came after the list that the attempt's front was started with."""
        return event.number > self.process_starts[attempt.front, attempt.life].base

    def _first_answer_at(self, event: Changed, front: int, life: int) -> float:
        polls = self.polls[front, life]
        return min((each.answered_at for each in polls if each.answered_at and each.told >= event.number),
                   default=float("inf"))  # fmt: skip

    def _earliest_poll_answer_at(self, event: Changed, front: int, life: int) -> float:
        started = self.process_starts[front, life]
        troubles = [each for each in self.history.of(DiscoveryTrouble) if each.front == front]
        # A poll that follows at once, on a connection that may prove silent, has asked as well.
        tolerance = self.limits.timing_tolerance
        polls, outages = self.polls[front, life], [each for each in troubles if not each.delay]
        unavailable = [(each.asked_at - tolerance, each.answered_at or each.ended_at) for each in polls]
        unavailable += [(each.at, each.until) for each in outages]
        # An outage that comes while a process starts takes away what it would have been told before.
        first_answer_at = min((each.answered_at for each in polls if each.answered_at), default=float("inf"))
        unavailable += [
            (started.at, each.until) for each in outages if started.at <= each.at < first_answer_at
        ]
        unavailable += [(each.at, each.until) for each in self.pauses if each.target == f"front-{front}"]
        at = max(event.at, started.at)
        for began_at, ended_at in sorted(unavailable):
            if began_at <= at < ended_at:
                at = ended_at
        return at + max((each.delay for each in troubles if each.at <= at <= each.until), default=0.0)


def _without_paused_writes(index: _HistoryIndex, violations: list[Violation]) -> Iterator[Violation]:
    """Leave out one attempt a stop of a process: one that stopped it between its last look and the write.

    No process can look and write in one step; where a second attempt is wrong after the same stop, the front
    has gone on without a look, and all of them count.
    """
    by_pause: defaultdict[Acted, list[Violation]] = defaultdict(list)
    for violation in violations:
        pause = next((each for each in index.pauses if violation.is_just_after(each)), None)
        if pause is None:
            yield violation
        else:
            by_pause[pause].append(violation)
    for after_pause in by_pause.values():
        if len({each.request for each in after_pause}) > 1:
            yield from after_pause


def _answer_violations(index: _HistoryIndex) -> Iterator[Violation]:
    limits = index.limits
    for request in index.requests.values():
        replies = index.replies[request.request]
        if len(replies) > 1:
            description = f"{request.request} has {len(replies)} answers"
            yield Violation(Rule.ANSWERED_ONCE, replies[1].at, description)
        due = request.at + request.limit + limits.answer_allowance
        due += index.paused_duration(request.front, request.at, due + 10.0) + (
            index.lag_at(due) if not replies else 0.0
        )
        if replies:
            lateness = replies[0].at - index.lag_at(replies[0].at) - due
            if lateness > 0.0:
                yield Violation(
                    Rule.ANSWERED, replies[0].at, f"{request.request} answered {lateness:.3f} s late"
                )
        elif reason := _loss_reason(index, request, due):
            yield Violation(
                Rule.ANSWERED, request.at, f"{request.request} of front-{request.front}: {reason}"
            )


def _loss_reason(index: _HistoryIndex, request: Requested, due: float) -> str:
    """Return why a request without an answer is lost; empty where it is not."""
    abandoned = index.abandoned.get(request.request)
    if abandoned is not None and abandoned.by_client:
        return ""
    ended = index.process_ends.get((request.front, request.life))
    if ended is not None and ended.killed and not ended.asked_at and ended.at < due:
        return ""  # by SIGKILL that nobody announced
    if (
        abandoned is not None
        and abandoned.at - index.lag_at(abandoned.at) - request.at <= index.limits.connection_end_allowance
    ):
        return ""
    if abandoned is not None:
        return f"its connection ended {abandoned.at - request.at:.3f} s after it, with no answer"
    return "never answered"


def _attempt_violations(index: _HistoryIndex) -> Iterator[Violation]:
    limits = index.limits
    attempt_ends: defaultdict[tuple[str, str], list[Finished]] = defaultdict(list)
    for each in index.history.of(Finished):
        attempt_ends[each.request, each.endpoint].append(each)
    by_request: defaultdict[str, list[Arrived]] = defaultdict(list)
    for arrival in index.arrivals:
        by_request[arrival.request].append(arrival)
    for request_id, attempts in by_request.items():
        request = index.requests[request_id]
        abandoned, attempts = (
            index.abandoned.get(request_id),
            sorted(attempts, key=lambda each: each.first_at),
        )
        for attempt_index, attempt in enumerate(attempts):
            began_at = attempt.first_at - index.lag_at(attempt.first_at)
            client_time_left = request.at + request.limit - began_at
            if attempt.time_left > client_time_left + limits.time_left_tolerance:
                description = (
                    f"{request_id}: {attempt.time_left:.3f} s told, the client has {client_time_left:.3f} s"
                )
                yield Violation(Rule.TIME_LEFT, attempt.first_at, description, request_id, attempt.front)
            if (
                abandoned is not None
                and abandoned.by_client
                and began_at > abandoned.at + limits.client_gone_grace + limits.timing_tolerance
            ):
                description = (
                    f"{request_id}: an attempt {began_at - abandoned.at:.3f} s after its client left"
                )
                yield Violation(Rule.CLIENT_GONE, attempt.first_at, description, request_id, attempt.front)
            for earlier in attempts[:attempt_index]:
                ends_after = (
                    each for each in attempt_ends[request_id, earlier.endpoint] if each.at >= earlier.at
                )
                finished = next(ends_after, None)
                if finished is None or finished.at > attempt.at + limits.timing_tolerance + index.lag_at(
                    finished.at
                ):
                    description = (
                        f"{request_id}: at {attempt.endpoint} while one at {earlier.endpoint} is out"
                    )
                    yield Violation(Rule.ONE_ATTEMPT, began_at, description)
                elif (
                    finished.word not in NEVER_RAN and request.request_class in limits.non_idempotent_classes
                ):
                    description = (
                        f"{request_id}: at {attempt.endpoint} after {finished.word} from {earlier.endpoint}"
                    )
                    yield Violation(Rule.ONE_EFFECT, began_at, description)


NEVER_RAN = ("LACK", "WAIT", "PAST")


def _drain_violations(index: _HistoryIndex) -> Iterator[Violation]:
    drain_events: dict[str, Changed] = {}
    for event in index.history.of(Changed):
        if event.endpoint and event.state != "active":
            drain_events.setdefault(event.endpoint, event)
    for attempt in index.arrivals:
        for endpoint in {attempt.endpoint, attempt.source} & drain_events.keys():
            event = drain_events[endpoint]
            delay = attempt.first_at - index.lag_at(attempt.first_at)
            delay -= index.notified_at(event, attempt.front, attempt.life)
            if delay > index.limits.drain_grace:
                description = (
                    f"{attempt.request} of front-{attempt.front} (life {attempt.life}) to {endpoint}, "
                )
                description += f"{delay:.3f} s after the front was notified"
                yield Violation(Rule.DRAIN, attempt.first_at, description, attempt.request, attempt.front)


def _purge_violations(index: _HistoryIndex) -> Iterator[Violation]:
    max_copy_ages = dict(index.limits.max_copy_ages)
    purges = [each for each in index.history.of(Changed) if each.purged_group >= 0]
    for attempt in index.arrivals:
        request = index.requests[attempt.request]
        max_age = attempt.oldest or max_copy_ages.get(request.request_class, 0.0)
        for purge in purges:
            began_at = attempt.first_at - index.lag_at(attempt.first_at)
            if (
                purge.purged_group != request.group
                or not index.is_after_start_list(purge, attempt)
                or max_age <= 0.0
            ):
                continue
            if began_at < purge.at or attempt.first_at > purge.at + index.limits.purge_propagation:
                continue
            delay = began_at - index.notified_at(purge, attempt.front, attempt.life)
            purge_age = attempt.first_at - purge.at
            if delay > index.limits.drain_grace and max_age > purge_age + 2.0 * index.limits.timing_tolerance:
                description = (
                    f"{attempt.request}: copies of {max_age:.3f} s allowed {purge_age:.3f} s after a purge"
                )
                yield Violation(Rule.PURGE, attempt.first_at, description, attempt.request, attempt.front)


def _process_violations(index: _HistoryIndex) -> Iterator[Violation]:
    for process_end in index.process_ends.values():
        if not process_end.killed and (process_end.status != 0 or not process_end.asked_at):
            description = (
                f"front-{process_end.front} (life {process_end.life}) ended with status {process_end.status}"
            )
            yield Violation(Rule.PROCESS, process_end.at, description)
    for sample in index.history.of(Sampled):
        if sample.descriptors > index.limits.descriptors or sample.memory > index.limits.memory_mb:
            description = f"front-{sample.front}: {sample.descriptors} descriptors, {sample.memory:.0f} MB"
            yield Violation(Rule.RESOURCES, sample.at, description)
