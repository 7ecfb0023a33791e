"""Verdicts on rollouts from counted evidence, and the shares that hosts send."""

import random

import pytest

from trefoilpin.binomials import Tally
from trefoilpin.fakes.gateways import upstream
from trefoilpin.gateway.rollouts import evidence_counts, traffic_shares
from trefoilpin.gateway.rollouts.decisions import (
    Action,
    Evidence,
    RolloutBounds,
    RolloutView,
    RouteEvidence,
    decide,
)
from trefoilpin.gateway.rollouts.records import (
    COMPLETE,
    ROLLED_BACK,
    RUNNING,
    WITHDRAWN,
    CountKey,
    Counts,
    StageRecord,
)
from trefoilpin.gateway.rollouts.traffic_shares import NO_TRAFFIC, traffic_of
from trefoilpin.gateway.store.records import RolloutOrder

BOUNDS = RolloutBounds(0.1, 50, 5.0)
ORDER = RolloutOrder("p", "p", "v2", 12.0, "running", {})
RECORD = StageRecord("p", "v2", 1, 1, 1, RUNNING, 1, 0.1, 3, 0.0, 0.0, 0.0)
NOTHING = Evidence({})


def evidence(old, new, bad_by_upstream=None, route="r1"):
    by_upstream = {
        name: Tally(bad + 1, bad) for name, bad in (bad_by_upstream or {}).items()
    }
    return Evidence({route: RouteEvidence(Tally(*old), Tally(*new), by_upstream)})


def view(**fields):
    """Return a view in the middle of a canary stage that goes well."""
    good = evidence((800, 30), (60, 2))
    standard = RolloutView(
        elapsed=6.0,
        duration=12.0,
        stage=1,
        stage_elapsed=5.2,
        sent_old=900,
        sent_new=70,
        in_flight_old=80,
        whole=good,
        stage_evidence=good,
        recent=NOTHING,
        stage_responses=60,
        old_upstreams=45,
        new_upstreams=45,
        used_upstreams=4,
        drain_seconds=1.9,
        may_advance=True,
    )
    return standard._replace(**fields)


def test_a_good_version_goes_through_all_stages_with_time_to_spare():
    """Guards against a rollout that isn't complete within its duration."""
    state = view(stage=0, stage_elapsed=1.5, elapsed=1.5)
    started, elapsed, stages = 1.5, 1.5, []
    while elapsed < 12.0:
        verdict = decide(
            state._replace(elapsed=elapsed, stage_elapsed=elapsed - started), BOUNDS
        )
        if verdict.action is Action.ADVANCE:
            stages.append(verdict.stage)
            started = elapsed
            state = state._replace(stage=verdict.stage)
        if verdict.action is Action.COMPLETE:
            break
        if state.stage == 4 and elapsed - started > 2.0:
            state = state._replace(in_flight_old=0)
        elapsed += 0.2
    assert stages == [1, 2, 3, 4]
    assert elapsed < 0.92 * 12.0


@pytest.mark.parametrize("period", ["whole", "stage_evidence", "recent"])
def test_failures_from_several_upstreams_roll_back_whenever_they_come(period):
    """Guards against a version that turns bad after a good beginning."""
    bad = evidence((100, 4), (20, 10), {"n1": 4, "n2": 3, "n3": 3})
    assert decide(view(**{period: bad}), BOUNDS).action is Action.ROLL_BACK


def test_one_failing_upstream_does_not_make_a_bad_version():
    """Guards against a rollback because of a gray failure at a canary."""
    bad = evidence((100, 4), (40, 12), {"n1": 11, "n2": 1})
    verdict = decide(view(whole=bad, stage_evidence=bad, recent=bad), BOUNDS)
    assert verdict.action is not Action.ROLL_BACK


def test_a_version_that_fails_on_one_rare_route_is_rolled_back():
    """Guards against a rare route's failures hidden in all requests."""
    common = evidence((800, 8), (300, 3)).by_route["r1"]
    rare = evidence((60, 2), (9, 7), {"n1": 4, "n2": 3}).by_route["r1"]
    both = Evidence({"common": common, "rare": rare})
    assert decide(view(whole=both), BOUNDS).action is Action.ROLL_BACK


def test_both_versions_failing_alike_is_no_evidence_against_the_new_one():
    """Guards against a rollback in an outage, when half of the upstreams are lost."""
    both = evidence((400, 160), (60, 24), {"n1": 8, "n2": 8, "n3": 8})
    state = view(whole=both, stage_evidence=both, recent=both, old_upstreams=22)
    assert decide(state, BOUNDS).action is not Action.ROLL_BACK


def test_no_stage_follows_while_the_order_may_have_changed():
    """Guards against an advance after the order was withdrawn unnoticed."""
    state = view(may_advance=False, stage_elapsed=9.0, elapsed=10.0)
    assert decide(state, BOUNDS).action is Action.WAIT


def test_a_rollout_that_is_behind_still_holds_each_stage():
    """Guards against stages that follow each other before any response came."""
    behind = view(stage=2, stage_elapsed=0.4, elapsed=14.0)
    assert decide(behind, BOUNDS).action is Action.WAIT


def test_the_canary_share_stops_at_its_part_of_the_bound():
    """Guards against exposure beyond the bound before any evidence came in."""
    early = view(elapsed=3.0, stage_elapsed=2.0, sent_old=400)
    assert 0.04 <= decide(early, BOUNDS).share <= 0.15
    assert decide(early._replace(sent_new=130), BOUNDS).share == 0.0


def test_completion_waits_for_requests_at_the_old_version():
    """Guards against requests cut when the old upstreams stop at once."""
    full = view(stage=4, stage_elapsed=1.6, elapsed=9.0)
    assert decide(full, BOUNDS).action is Action.WAIT
    assert decide(full._replace(in_flight_old=0), BOUNDS).action is Action.COMPLETE
    late = full._replace(stage_elapsed=3.0, elapsed=10.9)
    assert decide(late, BOUNDS).action is Action.COMPLETE


def test_the_50th_bad_response_is_not_reached_by_a_version_that_does_worse():
    """Guards against a rollback that comes after the bound on bad responses."""
    bad = evidence((2000, 150), (200, 29), {"n1": 15, "n2": 14})
    assert decide(view(whole=bad), BOUNDS).action is Action.ROLL_BACK
    alike = evidence((2000, 150), (500, 40), {"n1": 20, "n2": 20})
    assert decide(view(whole=alike), BOUNDS).action is not Action.ROLL_BACK


def test_a_host_without_a_current_stage_sends_nothing_to_the_version():
    """Guards against a cut-off host that goes on with an old stage."""
    assert traffic_of(ORDER, RECORD, 1.9).share == 0.1
    assert traffic_of(ORDER, RECORD, 2.1) == NO_TRAFFIC
    assert traffic_of(ORDER, None, 0.0) == NO_TRAFFIC
    for state in (ROLLED_BACK, WITHDRAWN):
        assert traffic_of(ORDER, RECORD._replace(state=state), 0.0) == NO_TRAFFIC
    complete = ORDER._replace(state=COMPLETE)
    assert traffic_of(complete, RECORD, 99.0).only_target
    rolled_back = ORDER._replace(state=ROLLED_BACK)
    assert traffic_of(rolled_back, RECORD, 0.0) == NO_TRAFFIC


def test_many_hosts_with_few_requests_keep_to_the_share_together():
    """Guards against hosts that all send, or none, with a few requests each."""
    rng = random.Random(4)
    sent = requests = 0
    for host in range(150):
        for route in ("a", "b"):
            fraction = traffic_shares.first_fraction(f"10.0.0.{host}", route)
            for _ in range(rng.randrange(6)):
                is_target = traffic_shares.is_due(fraction, 0.08)
                fraction = traffic_shares.advance(fraction, 0.08, is_target)
                sent += is_target
                requests += 1
    assert abs(sent - 0.08 * requests) < 10


def test_canaries_are_few_and_spread_over_zones():
    """Guards against a canary whose upstreams idle, or that one zone's loss ends."""
    upstreams = [upstream(number, "abc"[number % 3]) for number in range(45)]
    ids = traffic_shares.list_canaries(upstreams, 4)
    assert len(ids) == 4
    assert {item.zone for item in upstreams if item.id in ids} == {"a", "b", "c"}
    assert ids == traffic_shares.list_canaries(upstreams[::-1], 4)


def test_requests_in_flight_count_beside_failures_that_end_at_once():
    """Guards against a good version rolled back in the first moments of a stage."""
    new, old = CountKey(True, "r1", ""), CountKey(False, "r1", "")
    counts = {new: Counts(300, 250, 42), old: Counts(1809, 1800, 168)}
    for name in ("n1", "n2"):
        counts[new._replace(upstream=name)] = Counts(0, 30, 21)
    found = evidence_counts.build_evidence(counts).by_route["r1"]
    assert found.new == Tally(300, 42) and found.old == Tally(1809, 168)
    assert found.new_by_upstream["n1"] == Tally(30, 21)
    late = {new: Counts(0, 9, 2)}
    assert evidence_counts.build_evidence(late).by_route["r1"].new == Tally(9, 2)


def test_a_stage_without_enough_responses_goes_on():
    """Guards against a stage that ends while its requests are still in flight."""
    few = view(stage_responses=7, stage_elapsed=6.2, elapsed=7.0)
    assert decide(few, BOUNDS).action is Action.WAIT
    assert decide(few._replace(stage_responses=8), BOUNDS).action is Action.ADVANCE


def test_counts_survive_lost_repeated_and_late_reports():
    """Guards against evidence that falls when a message is late or a relay changes."""
    table = evidence_counts.create("a")
    key = CountKey(True, "r1", "")
    table.add(key, 3, 2, 1)
    for counts in (Counts(5, 4, 0), Counts(9, 8, 2), Counts(5, 4, 0)):
        table.merge_host(("10.0.0.2", 1), key, counts)
    table.merge_host(("10.0.0.2", 2), key, Counts(1, 1, 0))
    table.merge_zone("b", key, Counts(20, 18, 3))
    table.merge_zone("b", key, Counts(4, 4, 1))
    assert table.total()[key] == Counts(3 + 9 + 1 + 20, 2 + 8 + 1 + 18, 1 + 2 + 3)
