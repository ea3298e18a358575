"""Validates a plan against its workload's terms and the platform's settings before it is loaded. No I/O.

Each plan is checked for one workload, and for the smallest and the largest pull that its route can match: all
times are linear in the sending time, so what holds for both holds for every size between them. What cannot be
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

# After these outcomes a relay may have run at the cache; after all others it is known not to have run.
MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)
RELAY_KIND_NAMES = {RelayKind.LOOK: "look", RelayKind.FILL: "fill", RelayKind.DIRECT: "direct"}
OUTCOMES_BY_NAME = {
    "time-out": Outcome.TIMEOUT, "reset": Outcome.RESET, "error": Outcome.ERROR,
    "given-up": Outcome.CANCELLED, "full": Outcome.FULL, "connect-failed": Outcome.CONNECT_FAILED,
    "miss": Outcome.MISS,
}  # fmt: skip
OUTCOME_NAMES = {outcome: name for name, outcome in OUTCOMES_BY_NAME.items()}

PlanFault = tuple[str, str]  # (key of the plan, reason why it cannot be loaded)


@dataclass(frozen=True, slots=True)
class PlanContext:
    """The workload and the platform limits that a plan is validated for. Times are in ms."""

    workload: str
    rules: Workload
    min_sending_time: float  # to send the smallest pull
    max_sending_time: float  # to send the largest pull
    connect_timeout: float  # for opening a connection
    until_deadline: bool = False  # its relays must end by the deadline, not by the target latency
    hedges_any_scope: bool = False  # its hedges may go to caches outside `rules.dedup_scope`

    @property
    def sending_times(self) -> tuple[tuple[float, str], ...]:
        """Return the sending times to check, each with the name of its pull size."""
        smallest, largest = (self.min_sending_time, "smallest"), (self.max_sending_time, "largest")
        return (smallest,) if self.min_sending_time == self.max_sending_time else (smallest, largest)


def validate_plan(plan: Plan, context: PlanContext, settings: Settings) -> Iterator[PlanFault]:
    """Yield each setting of the plan that would break a rule or could never take effect."""
    yield from _check_relays_and_retry_after(plan, settings)
    yield from _check_hedge(plan, context, settings)
    yield from _check_idempotency(plan, context)
    yield from _check_timeouts(plan, context)
    yield from _check_total_time(plan, context)


def _check_relays_and_retry_after(plan: Plan, settings: Settings) -> Iterator[PlanFault]:
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
        max_ms = settings.max_retry_after
        yield "later", f"{plan.come_back_in:g} ms, but the settings let clients be told {max_ms:g} ms at most"


def _check_hedge(plan: Plan, context: PlanContext, settings: Settings) -> Iterator[PlanFault]:
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
    for sending_time, _ in context.sending_times:
        delay = scaled_duration(plan.second, sending_time)
        if delay <= 0.0:
            reason = "the first would be given up before it is written, or the second sent beside it"
            yield "second.after", f"{delay:g} ms: {reason}"
            return
        if delay <= sending_time:
            yield (
                "second.after",
                (
                    f"{delay:g} ms, but a pull of {context.workload} that this can match takes "
                    f"{sending_time:g} ms to send: its first would always be given up"
                ),
            )
            return
        for kind in RelayKind:
            duration = plan.time_outs[kind][0]
            if duration is not None and delay >= (timeout := scaled_duration(duration, sending_time)):
                yield (
                    "second.after",
                    (
                        f"{delay:g} ms for a pull of {sending_time:g} ms, "
                        f"but time_outs.{RELAY_KIND_NAMES[kind]} ends the first after {timeout:g} ms: "
                        "it could never act"
                    ),
                )
                return


def _check_idempotency(plan: Plan, context: PlanContext) -> Iterator[PlanFault]:
    rules, name = context.rules, context.workload
    if rules.idempotency is Idempotency.REPEATABLE:
        return
    retried = plan.worth if plan.worth is not None else frozenset(OUTCOMES_BY_NAME.values())
    may_have_run = [OUTCOME_NAMES[outcome] for outcome in MAY_HAVE_RUN if outcome in retried]
    if rules.idempotency is Idempotency.ONCE_ONLY:
        if plan.second is not None:
            yield "second", f"{name} is once-only: a relay that is given up may have run"
        if (plan.relays or 1) > 1 and may_have_run:
            yield (
                "relays" if plan.worth is None else "retry_on",
                (
                    f"{name} is once-only, but a further relay would go after {', '.join(may_have_run)}: "
                    "after these the first may have run"
                ),
            )
        return
    if rules.dedup_scope is not DedupScope.ALL and context.hedges_any_scope and plan.second is not None:
        yield (
            "second.where",
            (
                f"{name} is tagged and its repeats are dropped within a {rules.dedup_scope} only: "
                "a second copy may not go anywhere"
            ),
        )
    if (plan.relays or 1) > 1 and may_have_run:
        for sending_time, _ in context.sending_times:
            steps, total = longest_sequence(plan, sending_time, last=False)
            if steps and total >= rules.dedup_window:
                yield (
                    "relays",
                    (
                        f"{name} is tagged and repeats are dropped for {rules.dedup_window:g} ms, "
                        f"but its last relay may go after {' + '.join(steps)} = {total:g} ms "
                        f"(a pull of {sending_time:g} ms)"
                    ),
                )
                return


def _check_timeouts(plan: Plan, context: PlanContext) -> Iterator[PlanFault]:
    for kind in RelayKind:
        for position, name in enumerate(("first", "further")):
            duration = plan.time_outs[kind][position]
            for sending_time, size in context.sending_times if duration is not None else ():
                assert duration is not None
                timeout = scaled_duration(duration, sending_time)
                if timeout <= sending_time or timeout <= 0.0:
                    yield (
                        f"time_outs.{RELAY_KIND_NAMES[kind]}.{name}",
                        (
                            f"{_describe(duration)} = {timeout:g} ms, but the {size} pull of "
                            f"{context.workload} that this can match takes {sending_time:g} ms to send"
                        ),
                    )
                    break


def _check_total_time(plan: Plan, context: PlanContext) -> Iterator[PlanFault]:
    if plan.relays is None:
        return
    for sending_time, size in context.sending_times:
        steps, total = longest_sequence(plan, sending_time, last=True)
        bound, name = relay_time_bound(context, sending_time)
        if steps and total > bound:
            yield (
                "relays",
                (
                    f"{' + '.join(steps)} = {total:g} ms, but the {name} of the {size} pull of "
                    f"{context.workload} is {bound:g} ms (sending {sending_time:g} ms; connecting, up to "
                    f"{context.connect_timeout:g} ms, counts within each time-out)"
                ),
            )
            return


def relay_time_bound(context: PlanContext, sending_time: float) -> tuple[float, str]:
    """Return the time in which all relays of a pull must end, and the name of that limit."""
    rules = context.rules
    target_latency = min(rules.target_latency + rules.target_latency_factor * sending_time, rules.deadline)
    return (rules.deadline, "cut-off") if context.until_deadline else (target_latency, "quoted time")


def longest_sequence(plan: Plan, sending_time: float, last: bool) -> tuple[list[str], float]:
    """Return the longest sequence of waits and relays of a pull, as described steps, and its length in ms.

    `last`: include the time of the last relay. Each relay counts with the longest timeout that is set for it.
    A cache lookup and the relay that follows it count as one: a lookup that is answered with a miss takes one
    round trip and is no failure. Waits count with the upper bound of their jitter.
    """
    steps: list[str] = []
    total = 0.0
    relays = plan.relays or 1
    for index in range(relays):
        if index and (wait := max_retry_wait(plan, index)):
            steps.append(f"wait {wait:g}")
            total += wait
        if index == relays - 1 and not last:
            break
        timeouts = [
            scaled_duration(duration, sending_time)
            for kind in RelayKind
            if (duration := plan.time_outs[kind][int(index > 0)] or plan.time_outs[kind][0]) is not None
        ]
        if timeouts:
            steps.append(f"relay {index + 1} {max(timeouts):g}")
            total += max(timeouts)
    return steps, total


def _describe(duration: ScaledDuration) -> str:
    return f"{duration.base:g} + {duration.part:g} times its sending time"
