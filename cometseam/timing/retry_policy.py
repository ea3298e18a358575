"""What a plan says of one pull: its time-outs, the wait before a further relay, and whether one is worth it.

Where a plan says nothing the answer is None, and the module does what it does without a plan. All times in
ms.
"""

from math import inf
from random import Random

from cometseam.interface import Outcome, Plan, RelayKind, ScaledDuration

NO_PLAN = Plan()
ALWAYS = (Outcome.NOT_SENT,)  # it never left the front: that is no failure of the pull's


def scaled_duration(span: ScaledDuration, sending: float) -> float:
    """Return the time for a pull that takes `sending` ms to send."""
    return span.base + span.part * sending


def relay_timeout(plan: Plan, kind: RelayKind, further: bool, sending: float, without: float) -> float:
    """Return the time-out of a relay, `without` where the plan sets none.

    `further`: the pull has failed before. A further relay inherits the first one's time.
    """
    first, later = plan.time_outs[kind]
    span = later if further and later is not None else first
    return without if span is None else scaled_duration(span, sending)


def timeout_and_hedge_delay(
    plan: Plan, looks: bool, direct: bool, further: bool, sending: float, without: float, left: float
) -> tuple[float, float]:
    """Return a relay's time-out and after what time a second copy may go; `without`: where none is set."""
    if plan is NO_PLAN:
        return min(left, without), inf
    kind = RelayKind.LOOK if looks else RelayKind.DIRECT if direct else RelayKind.FILL
    return min(left, relay_timeout(plan, kind, further, sending, without)), hedge_delay(plan, sending)


def hedge_delay(plan: Plan, sending: float) -> float:
    """Return after what time a relay that is out is given up for another, where one may go; or never."""
    return inf if plan.second is None else scaled_duration(plan.second, sending)


def retry_wait(plan: Plan, failures: int, chance: Random) -> float:
    """Return the wait after so many failures (1 up); `chance` is drawn from only where it is used."""
    if not plan.wait:
        return 0.0
    # The exponent is bounded: growth to a high power passes what a float holds.
    plain = min(plan.wait * plan.growth ** min(failures - 1, 64), plan.longest_wait)
    return plain * (1.0 + plan.jitter * chance.random()) if plan.jitter else plain


def max_retry_wait(plan: Plan, failures: int) -> float:
    """Return the upper end of `wait`, jitter included."""
    return min(plan.wait * plan.growth ** min(failures - 1, 64), plan.longest_wait) * (1.0 + plan.jitter)


def may_retry(plan: Plan, failures: int, outcome: Outcome) -> bool:
    """Tell whether a pull that has failed so often, and now like this, is worth a further relay."""
    if outcome in ALWAYS:
        return True
    if plan.relays is not None and failures >= plan.relays:
        return False
    return plan.worth is None or outcome in plan.worth
