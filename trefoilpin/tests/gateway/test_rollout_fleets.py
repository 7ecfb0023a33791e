"""Rollouts over hosts that gossip with losses, against the bounds on bad versions."""

import math

import pytest

from trefoilpin import events
from trefoilpin.fakes.rollout_fleets import (
    BOUNDS,
    NEW,
    OLD,
    POOL,
    RolloutFleet,
    RolloutSettings,
)
from trefoilpin.gateway.rollouts.records import COMPLETE, ROLLED_BACK, RUNNING
from trefoilpin.gateway.store.document_cache import ROLLOUTS, UPSTREAMS

SMALL = RolloutSettings(hosts=9)
LOST_SHARE = 0.15
MAX_STAGE_SECONDS = 2.2


def fails(share, after=0.0, route=None):
    """Return the rule of a version that fails a share of its responses."""

    def is_bad(fleet, requested, upstream):
        is_late = fleet.fleet.now() >= fleet.ordered_at + after
        is_hit = route in (None, requested)
        return is_late and is_hit and fleet.rng.random() < share

    return is_bad


def has_load(fleet, route, upstream):
    """Tell whether a version that fails under load fails now."""
    count = fleet.settings.upstreams
    return fleet.in_flight_by_version[NEW] > count / 8 and fleet.rng.random() < 0.6


def assert_bounds_hold(fleet):
    got, bound = fleet.exposure()
    assert got <= bound
    bad = sorted(send.ended_at for send in fleet.sends if is_bad_response(send))
    if len(bad) >= 50:
        assert fleet.last_send() <= bad[49] + BOUNDS.rollback


def is_bad_response(send):
    return send.version == NEW and send.is_bad


def coordinator(fleet):
    """Return the address of the host that coordinated last."""
    found = []
    for node in fleet.fleet.nodes.values():
        for at, event, _ in node.lines:
            if event is events.ROLLOUT_TAKEN_OVER:
                found.append((at, node.address))
    return max(found)[1]


@pytest.mark.parametrize(
    "seed, counts_senders", [(5, False), (2, False), (6, True), (10, True)]
)
@pytest.mark.parametrize(
    "settings",
    [
        RolloutSettings(is_bad=fails(0.3)),
        RolloutSettings(is_bad=fails(0.5, after=5.0)),
        RolloutSettings(is_bad=fails(0.8, route="r2")),
        RolloutSettings(is_bad=has_load),
        RolloutSettings(slowdown=4.0),
    ],
    ids=["always", "later", "one route", "under load", "slow"],
)
def test_a_bad_version_stays_within_the_bounds_over_many_hosts(
    settings, seed, counts_senders
):
    """Guards against exposure beyond the bound by old counts and lost messages."""
    drawn = settings._replace(seed=seed, counts_senders=counts_senders)
    fleet = RolloutFleet(drawn._replace(lost=LOST_SHARE))
    fleet.order()
    fleet.run_until(ROLLED_BACK, 12.0)
    assert fleet.status() == ROLLED_BACK
    fleet.fleet.run(3.0)
    assert fleet.last_send() < fleet.fleet.now() - 1.5
    assert_bounds_hold(fleet)


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_good_version_completes_in_time_with_failing_upstreams(seed):
    """Guards against gray upstreams of either version that stop a rollout."""
    fleet = RolloutFleet(SMALL._replace(seed=seed, lost=LOST_SHARE))
    fleet.order()
    seconds = fleet.run_until(COMPLETE, 12.0)
    assert fleet.status() == COMPLETE
    assert seconds < SMALL.duration
    assert fleet.in_flight_by_version[OLD] <= 1
    fleet.fleet.run(1.5)
    assert fleet.last_send(OLD) < fleet.ordered_at + seconds


def test_hosts_cut_off_send_nothing_more_and_the_others_finish():
    """Guards against a partition in which old stages go on on one side."""
    fleet = RolloutFleet(SMALL._replace(is_bad=fails(0.0)))
    fleet.order()
    fleet.fleet.run(4.0)
    cut = frozenset(list(fleet.fleet.nodes)[:2])
    fleet.content.refused = cut
    fleet.fleet.cut = cut
    cut_at = fleet.fleet.now()
    sent = count_target_requests(fleet, cut)
    fleet.fleet.run(MAX_STAGE_SECONDS)
    at_limit = count_target_requests(fleet, cut)
    fleet.run_until(COMPLETE, 8.0)
    assert fleet.status() == COMPLETE
    # Their own coordinator keeps the stage that it heard; it can't go on alone.
    assert at_limit - sent < 20
    assert fleet.fleet.now() - cut_at < 10.0
    fleet.fleet.cut = frozenset()
    fleet.content.refused = frozenset()
    fleet.fleet.run(3.0)
    assert fleet.last_send(OLD) < fleet.fleet.now() - 1.0


def count_target_requests(fleet, addresses):
    """Return the requests that some hosts have sent to the target version."""
    count = 0
    for address in addresses:
        orders = fleet.fleet.nodes[address].kernel.find("rollouts").orders
        for key, counts in orders.find(POOL).counts.own().items():
            count += counts.sent if key.is_target and not key.upstream else 0
    return count


def test_the_next_host_continues_when_the_coordinator_dies():
    """Guards against a rollout that stops, or starts anew, with its coordinator."""
    fleet = RolloutFleet(SMALL)
    fleet.order()
    fleet.fleet.run(4.0)
    first = coordinator(fleet)
    fleet.fleet.kill(first)
    seconds = fleet.run_until(COMPLETE, 8.5)
    assert fleet.status() == COMPLETE
    assert seconds < SMALL.duration
    assert coordinator(fleet) != first


def test_a_withdrawn_order_ends_the_requests_to_its_version():
    """Guards against a version that is used although its order was withdrawn."""
    fleet = RolloutFleet(SMALL)
    fleet.order()
    fleet.fleet.run(5.0)
    assert fleet.last_send() > fleet.fleet.now() - 1.5
    fleet.content.remove(ROLLOUTS, POOL)
    withdrawn_at = fleet.fleet.now()
    node = fleet.fleet.start(30, "a")
    fleet.fleet.tasks.spawn(node.owner, fleet.send_requests, node)
    fleet.fleet.run(6.0)
    assert fleet.last_send() < withdrawn_at + 2.0
    assert fleet.last_send(OLD) > fleet.fleet.now() - 0.5


def test_a_second_order_starts_anew_and_leaves_the_first_version_out():
    """Guards against a status or counts of the first order that decide the second."""
    fleet = RolloutFleet(SMALL._replace(is_bad=fails_only(NEW)))
    fleet.order()
    fleet.run_until(ROLLED_BACK, 10.0)
    assert fleet.status() == ROLLED_BACK
    fleet.order("v3")
    fleet.fleet.run(1.0)
    second_at = fleet.fleet.now()
    fleet.run_until(COMPLETE, 12.0)
    assert fleet.status() == COMPLETE
    assert fleet.last_send() < second_at


def fails_only(version):
    """Return the rule of a fleet of which only one version is bad."""
    return lambda fleet, route, upstream: upstream.version == version


def test_losing_half_of_the_old_upstreams_does_not_end_a_good_rollout():
    """Guards against a lack of upstreams that is taken for a bad version."""
    fleet = RolloutFleet(SMALL._replace(rate=60.0))
    fleet.order()
    fleet.fleet.run(3.0)
    for number in range(0, SMALL.upstreams, 2):
        fleet.content.remove(UPSTREAMS, f"{OLD}-{number}")
    seconds = fleet.run_until(COMPLETE, 9.0)
    assert fleet.status() == COMPLETE
    assert seconds < SMALL.duration


@pytest.mark.parametrize("seed", [5, 12, 23, 32, 39])
def test_no_stage_follows_while_the_store_is_away(seed):
    """Guards against a rollout that ends without the store, or not after its return."""
    fleet = RolloutFleet(SMALL._replace(seed=seed))
    fleet.order()
    fleet.fleet.run(3.0)
    fleet.content.is_down = True
    fleet.fleet.run(12.0)
    assert fleet.status() == RUNNING
    got, bound = fleet.exposure()
    assert got <= bound
    fleet.content.is_down = False
    fleet.run_until(COMPLETE, 8.0)
    assert fleet.status() == COMPLETE


@pytest.mark.parametrize("state, rule", [(COMPLETE, 0.0), (ROLLED_BACK, 0.6)])
def test_a_status_that_the_restored_store_lacks_is_written_again(state, rule):
    """Guards against an order that runs again after the store lost its status."""
    fleet = RolloutFleet(SMALL._replace(is_bad=fails(rule)))
    fleet.order()
    fleet.run_until(state, 12.0)
    assert fleet.status() == state
    fleet.fleet.run(1.0)
    spec = fleet.content.objects_by_kind[ROLLOUTS][POOL]["spec"]
    fleet.content.put_order(POOL, spec, {"state": RUNNING, "targetVersion": NEW})
    restored_at = fleet.fleet.now()
    fleet.run_until(state, 4.0)
    assert fleet.status() == state
    if state == ROLLED_BACK:
        assert fleet.last_send() < restored_at


def test_a_new_version_without_an_order_waits_until_orders_were_read():
    """Guards against new upstreams that get requests before their order is known."""
    fleet = RolloutFleet(SMALL)
    fleet.order()
    fleet.put_upstreams(NEW)
    fleet.fleet.run(0.9)
    started = []
    for node in fleet.fleet.nodes.values():
        for time, event, _ in node.lines:
            if event is events.ROLLOUT_STATUS_WRITTEN:
                started.append(time)
    # How soon the order is read varies; nothing is sent before the rollout runs.
    new_sends = [send.sent_at for send in fleet.sends if send.version == NEW]
    assert min(new_sends, default=fleet.fleet.now()) >= min(started, default=math.inf)
    fleet.content.remove(ROLLOUTS, POOL)
    fleet.put_upstreams("v4")
    fleet.fleet.run(3.0)
    assert fleet.last_send("v4") > fleet.ordered_at
    assert fleet.last_send(NEW) < fleet.ordered_at + 2.5
