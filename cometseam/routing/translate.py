"""Converts received messages to events of the decision module, and its relays to commands."""

from cometseam import interface as i
from cometseam.protocol.discovery_events import Purge
from cometseam.protocol.frames import PullRequest
from cometseam.protocol.resp import Command
from cometseam.routing.endpoints import local_event_time
from cometseam.timing import RouteKey, RouteTable, size_in_bytes
from cometseam.timing.table import IPV4_MAPPED_BASE
from cometseam.transport.attempt import AttemptEnded, EndReason

OUTCOMES_BY_END_REASON = {
    EndReason.UNSENT: i.Outcome.NOT_SENT,
    EndReason.UNCONNECTED: i.Outcome.CONNECT_FAILED,
    EndReason.BROKEN: i.Outcome.RESET,
    EndReason.TIMED_OUT: i.Outcome.TIMEOUT,
    EndReason.GIVEN_UP: i.Outcome.CANCELLED,
}


def purge_event(purge: Purge, now: float, is_live: bool = True) -> i.Purged:
    """Return the event for a purge."""
    return i.Purged(purge.object, purge.group, now - local_event_time(purge.time, now, is_live))


def pull_event(number: int, request: PullRequest, workload: int, time_left: float) -> i.Pull:
    """Return the event for a client's request, with `time_left` ms until its deadline."""
    return i.Pull(number, int(request.object, 16), request.part, workload, time_left, False, request.size_kb,
                  request.group)  # fmt: skip


def assign_plan(event: i.Pull, table: RouteTable, address: int) -> None:
    """Set a pull's plan, from the first route that matches it, and the network of its client."""
    route = table.find(
        RouteKey(event.workload, event.object, event.group, event.part, size_in_bytes(event.size_kb), address)
    )
    event.plan_index = table.routes[route][0] if route >= 0 else -1
    event.network_index = table.find_network(address)


def network_of(address: int) -> int:
    """Return the network of a client address, used for fairness: its /24, or with IPv6 its /48."""
    return address >> 8 if address >> 32 == IPV4_MAPPED_BASE >> 32 else address >> 80


def ended_event(
    end: AttemptEnded, cache: int, now: float, is_pull_closed: bool, load_names: tuple[str, ...]
) -> i.RelayEnded:
    """Return the event for the end of a relay.

    Args:
        end: how the attempt ended.
        cache: the cache that it was sent to.
        now: the clock's time.
        is_pull_closed: whether the pull needs no answer any more.
        load_names: the load values to pass on; none are unless the answer has all of them.
    """
    attempt, answer = end.attempt, end.answer
    duration = now - attempt.queued_at
    if answer is None:
        outcome = OUTCOMES_BY_END_REASON[end.reason]
        return i.RelayEnded(
            attempt.pull_number,
            attempt.relay_index,
            cache,
            outcome,
            i.Remark.NONE,
            duration,
            0.0,
            is_pull_closed,
            (),
        )
    reported_load = answer.load or {}
    load = (
        tuple(reported_load[name] for name in load_names)
        if all(name in reported_load for name in load_names)
        else ()
    )
    return i.RelayEnded(
        attempt.pull_number,
        attempt.relay_index,
        cache,
        answer.outcome,
        answer.remark,
        duration,
        answer.waited,
        is_pull_closed,
        load,
    )


def relay_command(relay: i.Relay, request: PullRequest, source: str) -> Command:
    """Return the command to send for a relay."""
    return Command(
        request.id,
        request.workload,
        request.object,
        request.part,
        source,
        relay.rank,
        relay.max_age,
        relay.join_fill,
        relay.only_cached,
        relay.parent_no_store,
        relay.renew,
        request.held_tag,
        request.idempotency_key,
    )
