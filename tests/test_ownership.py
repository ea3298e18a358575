"""The ownership state machine and the fence: unit tests, and every interleaving of three fronts explored.

They guard against two fronts acting for one task at once: by a lease counted from the wrong moment, by clock
drift, or by an effect that is still in flight when its owner loses the task.
"""

import pytest

from cometseam.ownership import Fence, Ownership, OwnershipTerms, OwnershipTermsError, State
from cometseam.ownership.explore import explore, random_walks

TERMS = OwnershipTerms(ttl_ms=1000.0, margin_ms=250.0, drift=0.01, renew_ms=200.0, round_trip_ms=100.0)


def state(owner: Ownership) -> State:
    """Return the owner's state (a call, so that a type checker does not narrow it by an earlier assert)."""
    return owner.state


SHORT_TERMS = OwnershipTerms(ttl_ms=400.0, margin_ms=100.0, drift=0.05, renew_ms=100.0, round_trip_ms=50.0)


@pytest.mark.parametrize(
    ("terms", "reason"),
    [
        (
            OwnershipTerms(80.0, 10.0, 0.01, 50.0, 100.0),
            "ttl_ms: 80 ms is not longer than a round trip of 100 ms",
        ),
        (OwnershipTerms(1000.0, 900.0, 0.01, 50.0, 100.0), "margin_ms: 900 ms leaves 90 ms to act"),
        (OwnershipTerms(1000.0, 250.0, 0.2, 200.0, 100.0), "drift: 0.2 is outside 0 to 0.1"),
        (OwnershipTerms(1000.0, 250.0, 0.01, 700.0, 100.0), "renew_ms: 700 ms must lie between"),
        (OwnershipTerms(1000.0, -1.0, 0.01, 200.0, 100.0), "margin_ms: -1.0 is below 0"),
    ],
)
def test_terms_that_cannot_ensure_one_owner_are_rejected_with_a_reason(
    terms: OwnershipTerms, reason: str
) -> None:
    with pytest.raises(OwnershipTermsError, match=reason):
        terms.check()


def test_an_owner_may_act_from_the_time_of_its_request_until_before_its_lease_can_expire() -> None:
    owner = Ownership("probe", TERMS)
    assert owner.begin_campaign(0.0)
    owner.record_won(7, sent_at=0.0, now=40.0)
    assert owner.state is State.OWNER and owner.token == 7
    assert owner.may_act(739.0)
    assert not owner.may_act(740.0)  # 1000 * 0.99 - 250
    assert state(owner) is State.LOSING
    owner.record_renewal(sent_at=700.0, ttl_ms=1000.0, now=760.0)
    assert state(owner) is State.OWNER and owner.may_act(1400.0)
    owner.record_renewal(
        sent_at=100.0, ttl_ms=1000.0, now=1401.0
    )  # the late answer to an older keep-alive does not move the time back
    assert owner.may_act_until() == 700.0 + TERMS.acting_window_ms


def test_an_owner_whose_lease_or_key_is_gone_has_lost_and_campaigns_again() -> None:
    owner = Ownership("probe", TERMS)
    owner.begin_campaign(0.0)
    owner.record_won(7, 0.0, 10.0)
    owner.record_key_holder(9, 20.0)
    assert owner.state is State.LOST and not owner.may_act(21.0)
    assert owner.begin_campaign(30.0) and state(owner) is State.CANDIDATE
    owner.record_won(11, 30.0, 31.0)
    owner.record_renewal(100.0, 0.0, 110.0)
    assert state(owner) is State.LOST
    changes = owner.pop_changes()
    assert [c.reason for c in changes] == ["won", "held by another", "campaign again", "won", "lease gone"]
    assert owner.pop_changes() == []


def test_a_win_reported_after_the_lease_may_have_expired_does_not_allow_acting() -> None:
    owner = Ownership("probe", TERMS)
    owner.begin_campaign(0.0)
    owner.record_won(3, sent_at=0.0, now=900.0)  # the answer came after the time to act
    assert owner.state is State.LOSING and not owner.may_act(900.0)


def test_the_fence_admits_the_newest_owner_and_rejects_older_tokens() -> None:
    fence = Fence()
    assert fence.admit("probe", 5).passed
    assert fence.admit("probe", 5).passed
    assert fence.admit("probe", 9).passed
    rejected = fence.admit("probe", 5)
    assert not rejected.passed and rejected.highest_token == 9
    assert not fence.admit("probe", 0).passed
    assert fence.admit("purge", 2).passed  # each task has its own token
    fence.forget("probe")
    assert fence.admit("probe", 1).passed
    assert Fence(enforce=False).admit("probe", 3).passed


def test_every_interleaving_of_three_fronts_has_at_most_one_acting_owner() -> None:
    result = explore(SHORT_TERMS, fronts=3, depth=12, max_time_steps=8)
    assert result.states > 10_000
    assert result.fencing_violation is None and result.exclusivity_violation is None


def test_without_the_fence_the_shortest_counterexample_is_a_late_effect() -> None:
    result = explore(SHORT_TERMS, fronts=3, depth=12, max_time_steps=8, enforce=False)
    assert result.fencing_violation is not None
    assert result.fencing_violation[-1].endswith("lands") and "wins" in " ".join(result.fencing_violation)
    # No two fronts acted at once: only the effect in flight was late.
    assert result.exclusivity_violation is None


def test_a_clock_slower_than_the_drift_allows_two_acting_owners_but_the_fence_holds() -> None:
    result = explore(SHORT_TERMS, fronts=3, depth=12, max_time_steps=8, rates=(1.0, 1.0, 0.5))
    assert result.exclusivity_violation is not None and result.exclusivity_violation[0] == "f2 wins 2"
    assert result.fencing_violation is None


def test_seeded_walks_beyond_the_exhaustive_depth_find_no_violation_and_are_repeatable() -> None:
    first = random_walks(SHORT_TERMS, fronts=3, walks=100, length=300, seed=0)
    assert first.fencing_violation is None and first.exclusivity_violation is None and first.states == 30_000
    # With the fence off, walks find the late effect, and the same seed finds the same one.
    unfenced = random_walks(SHORT_TERMS, fronts=3, walks=200, length=300, seed=0, enforce=False)
    assert unfenced.fencing_violation is not None and unfenced.fencing_violation[-1].endswith("lands")
    assert (
        random_walks(SHORT_TERMS, fronts=3, walks=200, length=300, seed=0, enforce=False).fencing_violation
        == unfenced.fencing_violation
    )


def test_the_deployed_entry_point_does_not_import_coordination() -> None:
    """What the deploy file starts loads neither the coordination client nor gRPC."""
    import subprocess
    import sys

    modules = {"aetcd", "grpc", "cometseam.coordination", "cometseam.limits", "cometseam.ownership"}
    code = f"import sys, cometseam.__main__, cometseam.serving\nprint(sorted(set(sys.modules) & {modules}))"
    completed = subprocess.run([sys.executable, "-O", "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"


def test_an_owner_without_an_answer_for_another_lease_time_gives_the_task_up() -> None:
    """Its keep-alives may still reach the service and keep the key of a front that may not act."""
    owner = Ownership("probe", TERMS)
    owner.begin_campaign(0.0)
    owner.record_won(4, 0.0, 10.0)
    owner.tick(1000.0)
    assert state(owner) is State.LOSING
    owner.tick(1739.0)
    assert state(owner) is State.LOSING
    owner.tick(1740.0)  # 990 - 250 + 1000
    assert state(owner) is State.LOST
