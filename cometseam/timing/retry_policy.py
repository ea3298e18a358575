"""What a plan says about one pull: its timeouts, the wait before a further relay, and whether to send one.

Where a plan sets nothing, the answer is the caller's default, or none. All times are in ms.
"""

from math import inf
from random import Random

from cometseam.interface import Outcome, Plan, RelayKind, ScaledDuration

NO_PLAN = Plan()
ALWAYS_RETRIED = (Outcome.NOT_SENT,)  # the relay never left the front, so the pull has not failed


def scaled_duration(duration: ScaledDuration, sending_time: float) -> float:
    """Return a duration for a pull that takes `sending_time` to send."""
    return duration.base + duration.part * sending_time


def relay_timeout(plan: Plan, kind: RelayKind, further: bool, sending_time: float, default: float) -> float:
    """Return the timeout of a relay, or `default` if the plan sets none.

    `further`: the pull has failed before. A further relay without a timeout of its own uses the first one's.
    """
    first, later = plan.time_outs[kind]
    duration = later if further and later is not None else first
    return default if duration is None else scaled_duration(duration, sending_time)


def timeout_and_hedge_delay(
    plan: Plan,
    is_lookup: bool,
    is_direct: bool,
    further: bool,
    sending_time: float,
    default_timeout: float,
    time_left: float,
) -> tuple[float, float]:
    """Return a relay's timeout, `time_left` at most, and the delay after which it may be hedged.

    `default_timeout` applies where the plan sets no timeout.
    """
    if plan is NO_PLAN:
        return min(time_left, default_timeout), inf
    kind = RelayKind.LOOK if is_lookup else RelayKind.DIRECT if is_direct else RelayKind.FILL
    return (
        min(time_left, relay_timeout(plan, kind, further, sending_time, default_timeout)),
        hedge_delay(plan, sending_time),
    )


def hedge_delay(plan: Plan, sending_time: float) -> float:
    """Return the delay after which a relay in flight may be recalled for a hedge; infinite: never."""
    return inf if plan.second is None else scaled_duration(plan.second, sending_time)


def retry_wait(plan: Plan, failures: int, rng: Random) -> float:
    """Return the wait after the given number of failures (at least 1); draws from `rng` only for jitter."""
    if not plan.wait:
        return 0.0
    # Bounds the exponent: a large power of the growth factor would overflow a float.
    without_jitter = min(plan.wait * plan.growth ** min(failures - 1, 64), plan.longest_wait)
    return without_jitter * (1.0 + plan.jitter * rng.random()) if plan.jitter else without_jitter


def max_retry_wait(plan: Plan, failures: int) -> float:
    """Return the upper bound of `retry_wait`, jitter included."""
    return min(plan.wait * plan.growth ** min(failures - 1, 64), plan.longest_wait) * (1.0 + plan.jitter)


def may_retry(plan: Plan, failures: int, outcome: Outcome) -> bool:
    """Return whether a pull with this many failures, the last with `outcome`, may send a further relay."""
    if outcome in ALWAYS_RETRIED:
        return True
    if plan.relays is not None and failures >= plan.relays:
        return False
    return plan.worth is None or outcome in plan.worth
