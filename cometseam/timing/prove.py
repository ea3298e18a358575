"""Proves a plan against the rules and the platform's settings before it is loaded. No I/O.

Each plan is judged for one workload and for the smallest and the largest pull that its route can match: all
times go with the sending time in a straight line, so what holds at both ends holds between them. What is not
shown to hold is a fault, with the arithmetic in its text.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from cometseam.interface import Effect, Group, Kind, Outcome, Plan, Settings, Span, Workload
from cometseam.timing.pace import longest_wait, spread

# After these a relay may have run; after all others it is known not to have.
MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED)
KINDS = {Kind.LOOK: "look", Kind.FILL: "fill", Kind.DIRECT: "direct"}
WORDS = {
    "time-out": Outcome.TIMEOUT, "reset": Outcome.RESET, "error": Outcome.ERROR,
    "given-up": Outcome.CANCELLED, "full": Outcome.FULL, "connect-failed": Outcome.CONNECT_FAILED,
    "miss": Outcome.MISS,
}  # fmt: skip
NAMES = {outcome: word for word, outcome in WORDS.items()}

Fault = tuple[str, str]  # key of the plan, why it can't be loaded


@dataclass(frozen=True, slots=True)
class Terms:
    """What a plan is proved for."""

    workload: str
    rules: Workload
    smallest: float  # ms to send the smallest pull
    largest: float  # ms to send the largest one
    connect: float  # ms that a connection may take to come up
    until_cut_off: bool = False  # its relays are held to the cut-off, not to the quoted time
    any_group: bool = False  # its second copies may go outside the group of caches that drops repeats

    @property
    def ends(self) -> tuple[tuple[float, str], ...]:
        """Return the sending times to judge by, with their names."""
        smallest, largest = (self.smallest, "smallest"), (self.largest, "largest")
        return (smallest,) if self.smallest == self.largest else (smallest, largest)


def prove(plan: Plan, terms: Terms, settings: Settings) -> Iterator[Fault]:
    """Yield what would break a rule or could never act."""
    yield from _counts(plan, settings)
    yield from _second(plan, terms, settings)
    yield from _effects(plan, terms)
    yield from _sending(plan, terms)
    yield from _outlasts(plan, terms)


def _counts(plan: Plan, settings: Settings) -> Iterator[Fault]:
    if plan.relays is not None and plan.relays > settings.relay_limit:
        yield "relays", f"{plan.relays} relays, but the settings allow {settings.relay_limit} of a pull"
    if plan.relays == 1:
        if plan.second is not None:
            yield "second", "a second copy, but relays is 1: another could never go"
        if plan.wait:
            yield "wait", "a wait before further relays, but relays is 1: none could ever go"
    if plan.come_back_in is None:
        return
    if not settings.tells_retry:
        yield "later", "the settings do not let clients be told when to come back"
    elif plan.come_back_in > settings.longest_retry:
        most = settings.longest_retry
        yield "later", f"{plan.come_back_in:g} ms, but the settings let clients be told {most:g} ms at most"


def _second(plan: Plan, terms: Terms, settings: Settings) -> Iterator[Fault]:
    if plan.second is None:
        return
    if not settings.recalls:
        yield (
            "second",
            (
                "the settings do not let a relay be given up, so the first would still be out beside the second: "
                "a pull's relays are never out together"
            ),
        )
    if plan.worth is not None and Outcome.CANCELLED not in plan.worth:
        yield "second", "retry_on leaves out given-up: no relay would go after the one that is given up"
    for sending, _ in terms.ends:
        after = spread(plan.second, sending)
        if after <= 0.0:
            why = "the first would be given up before it is written, or the second sent beside it"
            yield "second.after", f"{after:g} ms: {why}"
            return
        if after <= sending:
            yield (
                "second.after",
                (
                    f"{after:g} ms, but a pull of {terms.workload} that this can match takes {sending:g} ms to "
                    "send: its first would always be given up"
                ),
            )
            return
        for kind in Kind:
            span = plan.time_outs[kind][0]
            if span is not None and after >= (ends := spread(span, sending)):
                yield (
                    "second.after",
                    (
                        f"{after:g} ms for a pull of {sending:g} ms, but time_outs.{KINDS[kind]} ends the first "
                        f"after {ends:g} ms: it could never act"
                    ),
                )
                return


def _effects(plan: Plan, terms: Terms) -> Iterator[Fault]:
    rules, name = terms.rules, terms.workload
    if rules.effect is Effect.REPEATABLE:
        return
    worth = plan.worth if plan.worth is not None else frozenset(WORDS.values())
    risky = [NAMES[outcome] for outcome in MAY_HAVE_RUN if outcome in worth]
    if rules.effect is Effect.ONCE_ONLY:
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
    if rules.group is not Group.ALL and terms.any_group and plan.second is not None:
        yield (
            "second.where",
            (
                f"{name} is tagged and its repeats are dropped within a {rules.group} only: "
                "a second copy may not go anywhere"
            ),
        )
    if (plan.relays or 1) > 1 and risky:
        for sending, _ in terms.ends:
            parts, total = course(plan, sending, last=False)
            if parts and total >= rules.window:
                yield (
                    "relays",
                    (
                        f"{name} is tagged and repeats are dropped for {rules.window:g} ms, but its last relay "
                        f"may go after {' + '.join(parts)} = {total:g} ms (a pull of {sending:g} ms)"
                    ),
                )
                return


def _sending(plan: Plan, terms: Terms) -> Iterator[Fault]:
    for kind in Kind:
        for place, name in enumerate(("first", "further")):
            span = plan.time_outs[kind][place]
            for sending, size in terms.ends if span is not None else ():
                assert span is not None
                time = spread(span, sending)
                if time <= sending or time <= 0.0:
                    yield (
                        f"time_outs.{KINDS[kind]}.{name}",
                        (
                            f"{_told(span)} = {time:g} ms, but the {size} pull of {terms.workload} that this can "
                            f"match takes {sending:g} ms to send"
                        ),
                    )
                    break


def _outlasts(plan: Plan, terms: Terms) -> Iterator[Fault]:
    if plan.relays is None:
        return
    for sending, size in terms.ends:
        parts, total = course(plan, sending, last=True)
        bound, name = bound_of(terms, sending)
        if parts and total > bound:
            yield (
                "relays",
                (
                    f"{' + '.join(parts)} = {total:g} ms, but the {name} of the {size} pull of {terms.workload} "
                    f"is {bound:g} ms (sending {sending:g} ms; connecting, up to {terms.connect:g} ms, counts "
                    "within each time-out)"
                ),
            )
            return


def bound_of(terms: Terms, sending: float) -> tuple[float, str]:
    """Return the time that all relays of a pull are held to, and what it is called."""
    rules = terms.rules
    quoted = min(rules.quoted + rules.stretch * sending, rules.cut_off)
    return (rules.cut_off, "cut-off") if terms.until_cut_off else (quoted, "quoted time")


def course(plan: Plan, sending: float, last: bool) -> tuple[list[str], float]:
    """Return the longest course of a pull, its parts and its length; `last`: with the time of the last relay.

    Each relay counts with the longest time-out that is set for it, a look and what follows it in one: a look
    that is answered with a miss is a round trip and no failure. Waits count with their jitter's upper end.
    """
    parts: list[str] = []
    total = 0.0
    relays = plan.relays or 1
    for number in range(relays):
        if number and (rest := longest_wait(plan, number)):
            parts.append(f"wait {rest:g}")
            total += rest
        if number == relays - 1 and not last:
            break
        times = [
            spread(span, sending)
            for kind in Kind
            if (span := plan.time_outs[kind][int(number > 0)] or plan.time_outs[kind][0]) is not None
        ]
        if times:
            parts.append(f"relay {number + 1} {max(times):g}")
            total += max(times)
    return parts, total


def _told(span: Span) -> str:
    return f"{span.base:g} + {span.part:g} times its sending time"
