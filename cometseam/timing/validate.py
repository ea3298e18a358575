"""Proves a plan against the rules and the platform's settings before it is loaded. No I/O.

Each plan is judged for one workload and for the smallest and the largest pull that its route can match: all
times go with the sending time in a straight line, so what holds at both ends holds between them. What is not
shown to hold is a fault, with the arithmetic in its text.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from cometseam.interface import (
    DedupScope,
    Idempotency,
    Outcome,
    Plan,
    RelayKind,
    ScaledDuration,
    Settings,
    Workload,
)
from cometseam.timing.retry_policy import max_retry_wait, scaled_duration

# After these a relay may have run; after all others it is known not to have.
MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)
RELAY_KIND_NAMES = {RelayKind.LOOK: "look", RelayKind.FILL: "fill", RelayKind.DIRECT: "direct"}
OUTCOMES_BY_NAME = {
    "time-out": Outcome.TIMEOUT, "reset": Outcome.RESET, "error": Outcome.ERROR,
    "given-up": Outcome.CANCELLED, "full": Outcome.FULL, "connect-failed": Outcome.CONNECT_FAILED,
    "miss": Outcome.MISS,
}  # fmt: skip
OUTCOME_NAMES = {outcome: word for word, outcome in OUTCOMES_BY_NAME.items()}

PlanFault = tuple[str, str]  # key of the plan, why it can't be loaded


@dataclass(frozen=True, slots=True)
class PlanContext:
    """What a plan is proved for."""

    workload: str
    rules: Workload
    min_sending_time: float  # ms to send the smallest pull
    max_sending_time: float  # ms to send the largest one
    connect_timeout: float  # ms that a connection may take to come up
    until_deadline: bool = False  # its relays are held to the cut-off, not to the quoted time
    hedges_any_scope: bool = False  # its second copies may go outside the group of caches that drops repeats

    @property
    def sending_times(self) -> tuple[tuple[float, str], ...]:
        """Return the sending times to judge by, with their names."""
        smallest, largest = (self.min_sending_time, "smallest"), (self.max_sending_time, "largest")
        return (smallest,) if self.min_sending_time == self.max_sending_time else (smallest, largest)


def validate_plan(plan: Plan, terms: PlanContext, settings: Settings) -> Iterator[PlanFault]:
    """Yield what would break a rule or could never act."""
    yield from _counts(plan, settings)
    yield from _second(plan, terms, settings)
    yield from _effects(plan, terms)
    yield from _sending(plan, terms)
    yield from _outlasts(plan, terms)


def _counts(plan: Plan, settings: Settings) -> Iterator[PlanFault]:
    if plan.relays is not None and plan.relays > settings.relay_limit:
        yield "relays", f"{plan.relays} relays, but the settings allow {settings.relay_limit} of a pull"
    if plan.relays == 1:
        if plan.second is not None:
            yield "second", "a second copy, but relays is 1: another could never go"
        if plan.wait:
            yield "wait", "a wait before further relays, but relays is 1: none could ever go"
    if plan.come_back_in is None:
        return
    if not settings.sends_retry_after:
        yield "later", "the settings do not let clients be told when to come back"
    elif plan.come_back_in > settings.max_retry_after:
        most = settings.max_retry_after
        yield "later", f"{plan.come_back_in:g} ms, but the settings let clients be told {most:g} ms at most"


def _second(plan: Plan, terms: PlanContext, settings: Settings) -> Iterator[PlanFault]:
    if plan.second is None:
        return
    if not settings.can_recall:
        yield (
            "second",
            (
                "the settings do not let a relay be given up, so the first would still be out "
                "beside the second: a pull's relays are never out together"
            ),
        )
    if plan.worth is not None and Outcome.CANCELLED not in plan.worth:
        yield "second", "retry_on leaves out given-up: no relay would go after the one that is given up"
    for sending, _ in terms.sending_times:
        after = scaled_duration(plan.second, sending)
        if after <= 0.0:
            why = "the first would be given up before it is written, or the second sent beside it"
            yield "second.after", f"{after:g} ms: {why}"
            return
        if after <= sending:
            yield (
                "second.after",
                (
                    f"{after:g} ms, but a pull of {terms.workload} that this can match takes {sending:g} ms "
                    "to send: its first would always be given up"
                ),
            )
            return
        for kind in RelayKind:
            span = plan.time_outs[kind][0]
            if span is not None and after >= (ends := scaled_duration(span, sending)):
                yield (
                    "second.after",
                    (
                        f"{after:g} ms for a pull of {sending:g} ms, "
                        f"but time_outs.{RELAY_KIND_NAMES[kind]} ends the first after {ends:g} ms: "
                        "it could never act"
                    ),
                )
                return


def _effects(plan: Plan, terms: PlanContext) -> Iterator[PlanFault]:
    rules, name = terms.rules, terms.workload
    if rules.idempotency is Idempotency.REPEATABLE:
        return
    worth = plan.worth if plan.worth is not None else frozenset(OUTCOMES_BY_NAME.values())
    risky = [OUTCOME_NAMES[outcome] for outcome in MAY_HAVE_RUN if outcome in worth]
    if rules.idempotency is Idempotency.ONCE_ONLY:
        if plan.second is not None:
            yield "second", f"{name} is once-only: a relay that is given up may have run"
        if (plan.relays or 1) > 1 and risky:
            yield (
                "relays" if plan.worth is None else "retry_on",
                (
                    f"{name} is once-only, but a further relay would go after {', '.join(risky)}: "
                    "after these the first may have run"
                ),
            )
        return
    if rules.dedup_scope is not DedupScope.ALL and terms.hedges_any_scope and plan.second is not None:
        yield (
            "second.where",
            (
                f"{name} is tagged and its repeats are dropped within a {rules.dedup_scope} only: "
                "a second copy may not go anywhere"
            ),
        )
    if (plan.relays or 1) > 1 and risky:
        for sending, _ in terms.sending_times:
            parts, total = longest_sequence(plan, sending, last=False)
            if parts and total >= rules.dedup_window:
                yield (
                    "relays",
                    (
                        f"{name} is tagged and repeats are dropped for {rules.dedup_window:g} ms, "
                        f"but its last relay may go after {' + '.join(parts)} = {total:g} ms "
                        f"(a pull of {sending:g} ms)"
                    ),
                )
                return


def _sending(plan: Plan, terms: PlanContext) -> Iterator[PlanFault]:
    for kind in RelayKind:
        for place, name in enumerate(("first", "further")):
            span = plan.time_outs[kind][place]
            for sending, size in terms.sending_times if span is not None else ():
                assert span is not None
                time = scaled_duration(span, sending)
                if time <= sending or time <= 0.0:
                    yield (
                        f"time_outs.{RELAY_KIND_NAMES[kind]}.{name}",
                        (
                            f"{_told(span)} = {time:g} ms, but the {size} pull of {terms.workload} that this "
                            f"can match takes {sending:g} ms to send"
                        ),
                    )
                    break


def _outlasts(plan: Plan, terms: PlanContext) -> Iterator[PlanFault]:
    if plan.relays is None:
        return
    for sending, size in terms.sending_times:
        parts, total = longest_sequence(plan, sending, last=True)
        bound, name = relay_time_bound(terms, sending)
        if parts and total > bound:
            yield (
                "relays",
                (
                    f"{' + '.join(parts)} = {total:g} ms, but the {name} of the {size} pull of "
                    f"{terms.workload} is {bound:g} ms (sending {sending:g} ms; connecting, up to "
                    f"{terms.connect_timeout:g} ms, counts within each time-out)"
                ),
            )
            return


def relay_time_bound(terms: PlanContext, sending: float) -> tuple[float, str]:
    """Return the time that all relays of a pull are held to, and what it is called."""
    rules = terms.rules
    quoted = min(rules.target_latency + rules.target_latency_factor * sending, rules.deadline)
    return (rules.deadline, "cut-off") if terms.until_deadline else (quoted, "quoted time")


def longest_sequence(plan: Plan, sending: float, last: bool) -> tuple[list[str], float]:
    """Return the longest course of a pull, its parts and its length; `last`: with the time of the last relay.

    Each relay counts with the longest time-out that is set for it, a look and what follows it in one: a look
    that is answered with a miss is a round trip and no failure. Waits count with their jitter's upper end.
    """
    parts: list[str] = []
    total = 0.0
    relays = plan.relays or 1
    for number in range(relays):
        if number and (rest := max_retry_wait(plan, number)):
            parts.append(f"wait {rest:g}")
            total += rest
        if number == relays - 1 and not last:
            break
        times = [
            scaled_duration(span, sending)
            for kind in RelayKind
            if (span := plan.time_outs[kind][int(number > 0)] or plan.time_outs[kind][0]) is not None
        ]
        if times:
            parts.append(f"relay {number + 1} {max(times):g}")
            total += max(times)
    return parts, total


def _told(span: ScaledDuration) -> str:
    return f"{span.base:g} + {span.part:g} times its sending time"
