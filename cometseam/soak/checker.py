"""Checks a whole history against the rules of the service. No I/O; times are seconds of one clock."""

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
    """A rule that every front must keep."""

    ANSWERED = "answered"  # each request gets its final answer in time
    ANSWERED_ONCE = "answered once"
    ONE_ATTEMPT = "one attempt at a time"
    ONE_EFFECT = "no effect twice"
    DRAIN = "drain"  # nothing is sent to a draining or removed endpoint after the grace period
    PURGE = "purge"  # no copy from before a purge is accepted after the grace period
    CLIENT_GONE = "client gone"  # no attempt begins more than 0.1 s after its client disconnected
    TIME_LEFT = "time left"  # an endpoint is given no more time than the client has left
    PROCESS = "process"  # no crash, and no exit with an error or without a SIGTERM
    RESOURCES = "resources"  # descriptors within their limit
    MEMORY = "memory"  # private memory within its limit


RESUME_WRITE_WINDOW_S = 0.02  # after a stopped process resumes, to finish a write that it had decided on


@dataclass(frozen=True, slots=True)
class Limits:
    """Tolerances and limits of the rules; seconds unless the name or the rule says otherwise."""

    drain_grace: float = 0.55
    max_notification_delay: float = 7.0  # after an event: it then counts as known even without an answer
    answer_allowance: float = 0.5  # past the deadline: an answer by then has no value but breaks no rule
    connection_end_allowance: float = (
        0.05  # no answer is due for a request sent this shortly before its connection ends
    )
    tolerance: float = 0.05
    client_gone_grace: float = 0.1
    purge_propagation: float = 6.0  # after a purge, until all endpoints have dropped what it names
    time_left_tolerance: float = 0.15
    descriptors: int = 1024
    memory_mb: float = 192.0
    # Request classes with the maximum age of a copy, and those of which no request may run twice.
    max_copy_ages: tuple[tuple[str, float], ...] = ()
    non_idempotent_classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule: when it was broken and what was observed."""

    rule: Rule
    at: float
    what: str
    request: str = ""
    front: int = -1

    def is_just_after(self, pause: Acted) -> bool:
        """Return whether this is an attempt written just after the stopped process of its front resumed."""
        is_within_window = 0.0 <= self.at - pause.until <= RESUME_WRITE_WINDOW_S
        return is_within_window and bool(self.request) and pause.target == f"front-{self.front}"


def check(history: History, limits: Limits) -> list[Violation]:
    """Return all violations in a history, ordered by time."""
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
    """A history, indexed by what the checks look up."""

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
        """Return by how much a read at `at` may have come too late, because the soak itself ran late."""
        return max((each.by for each in self.lags if each.at - each.by <= at <= each.at + 0.02), default=0.0)

    def paused_duration(self, front: int, since: float, until: float) -> float:
        """Return how long a front's process was stopped between two times."""
        name = f"front-{front}"
        spans = (min(each.until, until) - max(each.at, since) for each in self.pauses if each.target == name)
        return sum(max(span, 0.0) for span in spans)

    def notified_at(self, event: Changed, front: int, life: int) -> float:
        """Return when a front counts as notified of an event.

        That is the earliest of three times: when the first answer with the event was written completely, when
        a front that polls without delay would have received it, and the bound after which it counts as known.
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
        """Return whether an event is newer than the list that the attempt's front was started with."""
        return event.number > self.process_starts[attempt.front, attempt.life].base

    def _first_answer_at(self, event: Changed, front: int, life: int) -> float:
        polls = self.polls[front, life]
        return min((each.answered_at for each in polls if each.answered_at and each.told >= event.number),
                   default=float("inf"))  # fmt: skip

    def _earliest_poll_answer_at(self, event: Changed, front: int, life: int) -> float:
        started = self.process_starts[front, life]
        troubles = [each for each in self.history.of(DiscoveryTrouble) if each.front == front]
        # A poll that begins within `tolerance` after a time counts as in progress at it, even if it is never
        # answered.
        tolerance = self.limits.tolerance
        polls, outages = self.polls[front, life], [each for each in troubles if not each.delay]
        unavailable = [(each.asked_at - tolerance, each.answered_at or each.ended_at) for each in polls]
        unavailable += [(each.at, each.until) for each in outages]
        # An outage during the start of a process, before its first answer, counts from the start on: it takes
        # away what the front would have received earlier.
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
    """Leave out one request per pause of a process: the pause fell between its last check and its write.

    No process can check and write in one step. Where attempts of a second request are wrong after the same
    pause, the front has resumed without a new check, and all of them count.
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
            message = f"{request.request} has {len(replies)} answers"
            yield Violation(Rule.ANSWERED_ONCE, replies[1].at, message)
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
        return ""  # ended by SIGKILL without a preceding SIGTERM
    if (
        abandoned is not None
        and abandoned.at - index.lag_at(abandoned.at) - request.at <= index.limits.connection_end_allowance
    ):
        return ""
    if abandoned is not None:
        return f"its connection ended {abandoned.at - request.at:.3f} s after the request, with no answer"
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
                message = (
                    f"{request_id}: {attempt.time_left:.3f} s given, the client has {client_time_left:.3f} s"
                )
                yield Violation(Rule.TIME_LEFT, attempt.first_at, message, request_id, attempt.front)
            if (
                abandoned is not None
                and abandoned.by_client
                and began_at > abandoned.at + limits.client_gone_grace + limits.tolerance
            ):
                message = f"{request_id}: an attempt {began_at - abandoned.at:.3f} s after its client left"
                yield Violation(Rule.CLIENT_GONE, attempt.first_at, message, request_id, attempt.front)
            for earlier in attempts[:attempt_index]:
                ends_after = (
                    each for each in attempt_ends[request_id, earlier.endpoint] if each.at >= earlier.at
                )
                finished = next(ends_after, None)
                if finished is None or finished.at > attempt.at + limits.tolerance + index.lag_at(
                    finished.at
                ):
                    message = (
                        f"{request_id}: at {attempt.endpoint} while one at {earlier.endpoint} is in flight"
                    )
                    yield Violation(Rule.ONE_ATTEMPT, began_at, message)
                elif (
                    finished.word not in NEVER_RAN and request.request_class in limits.non_idempotent_classes
                ):
                    message = (
                        f"{request_id}: at {attempt.endpoint} after {finished.word} from {earlier.endpoint}"
                    )
                    yield Violation(Rule.ONE_EFFECT, began_at, message)


NEVER_RAN = ("LACK", "WAIT", "PAST")  # answers of an endpoint that did not run the request


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
                message = f"{attempt.request} of front-{attempt.front} (life {attempt.life}) to {endpoint}, "
                message += f"{delay:.3f} s after the front was notified"
                yield Violation(Rule.DRAIN, attempt.first_at, message, attempt.request, attempt.front)


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
            if delay > index.limits.drain_grace and max_age > purge_age + 2.0 * index.limits.tolerance:
                message = (
                    f"{attempt.request}: copies of {max_age:.3f} s allowed {purge_age:.3f} s after a purge"
                )
                yield Violation(Rule.PURGE, attempt.first_at, message, attempt.request, attempt.front)


def _process_violations(index: _HistoryIndex) -> Iterator[Violation]:
    for process_end in index.process_ends.values():
        if not process_end.killed and (process_end.status != 0 or not process_end.asked_at):
            message = (
                f"front-{process_end.front} (life {process_end.life}) ended with status {process_end.status}"
            )
            yield Violation(Rule.PROCESS, process_end.at, message)
    for sample in index.history.of(Sampled):
        if sample.descriptors > index.limits.descriptors:
            message = f"front-{sample.front}: {sample.descriptors} descriptors"
            yield Violation(Rule.RESOURCES, sample.at, message)
        if sample.memory > index.limits.memory_mb:
            message = f"front-{sample.front}: {sample.memory:.1f} MB of {index.limits.memory_mb:g}"
            yield Violation(Rule.MEMORY, sample.at, message)
