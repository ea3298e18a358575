"""The tables of endpoints and servers under arbitrary sequences of changes.

Guards against tables that are kept up by each change and drift from what the whole list would give.
"""

from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cometseam import interface as i
from cometseam.logic import Front
from cometseam.protocol.discovery_events import EndpointEntry, EndpointList, Purge
from cometseam.routing.endpoints import EndpointTable
from cometseam.routing.outdated import OutdatedDecisions
from tests.drive import SETTINGS

NAMES = [f"s-{number}" for number in range(6)]
STATES = list(i.Lifecycle)
ENTRIES = st.builds(
    EndpointEntry,
    name=st.sampled_from(NAMES),
    address=st.sampled_from([("127.0.0.1", 1), ("127.0.0.1", 2)]),
    zone=st.integers(0, 2),
    kind=st.integers(0, 2),
    cell=st.just(1),
    lifecycle=st.sampled_from(STATES),
    weight=st.sampled_from([0.0, 1.0, 8.0]),
    ready_at=st.sampled_from([0.0, 5.0]),
)
LISTINGS = st.builds(
    EndpointList, seq=st.just(1), is_snapshot=st.booleans(), entries=st.lists(ENTRIES, max_size=5).map(tuple)
)


def ready_entries(table: EndpointTable) -> dict[str, EndpointEntry]:
    """Return the ready endpoints of a table, by name."""
    numbers = {name: table.number(name) for name in NAMES}
    entries = {name: table.get(number) for name, number in numbers.items() if number is not None}
    return {name: entry for name, entry in entries.items() if entry is not None and entry.is_ready}


def servers_by_role(front: Front) -> list[Any]:
    """Return what the decisions choose from: the caches of each role, in order."""
    groups = [front.edges, *front.parents]
    numbers: list[Any] = [[server.entry.cache for server in group] for group in groups]
    origin = front.origin.entry.cache if front.origin is not None else None
    return [*numbers, {server.entry.cache for server in front.edge_set}, origin]


@given(st.lists(LISTINGS, max_size=8))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_changes_one_by_one_give_the_same_servers_as_the_list_they_add_up_to(
    listings: list[EndpointList],
) -> None:
    """Guards against a server that stays in a role it has left, or an order that depends on history."""
    table, changed_front, listed_front = EndpointTable(), Front(1, SETTINGS), Front(1, SETTINGS)
    for listing in listings:
        changed_front.handle(1.0, table.apply(listing, 1.0).update)
    final = EndpointList(1, True, tuple(reversed(ready_entries(table).values())))
    update = EndpointTable().apply(final, 1.0).update
    listed_front.handle(1.0, i.CacheListUpdate(i.ListUpdateKind.FULL, update.entries))
    assert servers_by_role(changed_front) == servers_by_role(listed_front)


@given(st.lists(LISTINGS, max_size=8))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_reported_changes_are_those_between_the_lists_before_and_after(listings: list[EndpointList]) -> None:
    """Guards against requests that go on to an endpoint whose change was not noticed."""
    table = EndpointTable()
    for listing in listings:
        before = {table.number(name): entry for name, entry in ready_entries(table).items()}
        changes = table.apply(listing, 1.0)
        after = {table.number(name): entry for name, entry in ready_entries(table).items()}
        starts = {cache: (entry.address, entry.ready_at) for cache, entry in after.items()}
        replaced = {
            cache for cache, entry in before.items() if starts.get(cache) != (entry.address, entry.ready_at)
        }
        assert changes.replaced == replaced
        assert changes.not_ready == before.keys() - after.keys()
        assert changes.ready >= after.keys() - before.keys()
        assert changes.ready <= after.keys()


def test_decisions_are_outdated_by_each_of_several_events() -> None:
    """Guards against an event that hides an earlier one of the same answer."""
    outdated = OutdatedDecisions()
    assert outdated.is_empty
    outdated.caches.update({11, 12})
    outdated.add_purge(Purge(2, 7, 0, 1.0))
    outdated.add_purge(Purge(3, 0, 17, 1.0))
    pull = i.Pull(1, 5, 0, 0, 1000.0, False, 40.0, 3)
    relay = i.Relay(1, 13, 13, 0, True, False, False, False, 100.0, 0.0, 0.0)
    assert not outdated.affects(pull, relay)
    assert outdated.affects(pull, replace(relay, cache=12))
    assert outdated.affects(pull, replace(relay, source=11))
    assert outdated.affects(replace(pull, object=7), relay)
    assert outdated.affects(replace(pull, group=17), relay)
