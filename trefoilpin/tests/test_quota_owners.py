"""Fleet-wide rate limits while quota owners change: no time window is over the rate."""

import random

import pytest

from trefoilpin.fakes.limit_fleets import (
    apply_ticket,
    crash,
    create_limit_fleet,
    hand_over,
    set_absent,
    start_request,
)
from trefoilpin.fakes.naive_buckets import Segment, envelope, excess
from trefoilpin.limit_messages import LimitDurations
from trefoilpin.records import ClientAccount

DURATIONS = LimitDurations(holding_seconds=4.0)
ACCOUNT = ClientAccount("a", 20.0, 20.0)
HOSTS = 6


@pytest.fixture
def fleet():
    fleet = create_limit_fleet(1, HOSTS, (ACCOUNT,), DURATIONS, 12, 4, 0.25)
    fleet.tasks.run(fleet.loop.now + 15.0)
    return fleet


def ranked_hosts(fleet):
    kernel = fleet.host_by_incarnation["h00"].kernel
    hosts = kernel.find("memberships").ranked("limits/a")
    return [host.incarnation for host in hosts]


def send_requests(fleet, seconds, rate, names=None):
    """Send requests to random hosts for some seconds; return how many were granted."""
    rng, until = random.Random(1), fleet.loop.now + seconds
    since = fleet.loop.now
    while fleet.loop.now < until:
        fleet.tasks.run(fleet.loop.now + rng.expovariate(rate))
        alive = set(names or fleet.host_by_incarnation) - fleet.loop.dead
        start_request(fleet, rng.choice(sorted(alive)), "a")
    return sum(row[0] >= since for row in fleet.granted)


def assert_within(fleet, segments):
    assert excess(sorted(row[0] for row in fleet.granted), segments) < 1e-6


def test_grants_reach_the_rate_and_do_not_exceed_it(fleet):
    start = fleet.loop.now
    send_requests(fleet, 10.0, 100.0)
    assert_within(fleet, [Segment(start, 20.0, 20.0)])
    assert len(fleet.granted) > 0.9 * (20 + 200)


def test_next_owner_serves_within_three_seconds_of_a_crash(fleet):
    start = fleet.loop.now
    send_requests(fleet, 5.0, 15.0)
    crash(fleet, ranked_hosts(fleet)[0], 8.0)
    send_requests(fleet, 3.0, 15.0)
    recovered_at = fleet.loop.now
    assert send_requests(fleet, 4.0, 9.0) > 25
    assert [row for row in fleet.refused if row[3] >= recovered_at] == []
    assert_within(fleet, [Segment(start, 20.0, 20.0)])


def test_two_concurrent_owners_share_the_rate(fleet):
    start, names = fleet.loop.now, sorted(fleet.host_by_incarnation)
    for _ in range(10):
        set_absent(fleet, ranked_hosts(fleet)[0], True, names[3:])
        send_requests(fleet, 0.7, 100.0)
        set_absent(fleet, ranked_hosts(fleet)[0], False)
        send_requests(fleet, 0.7, 100.0)
    assert_within(fleet, [Segment(start, 20.0, 20.0)])


def test_partitioned_owner_stops_when_its_loans_expire(fleet):
    send_requests(fleet, 2.0, 15.0)
    name = ranked_hosts(fleet)[0]
    quota_owners = fleet.host_by_incarnation[name].kernel.find("quota_owners")
    fleet.is_partitioned = lambda sender, receiver: name in (sender, receiver)
    fleet.tasks.run(fleet.loop.now + DURATIONS.loan_seconds - 0.4)
    assert send_requests(fleet, 0.2, 100.0, [name]) > 2
    fleet.tasks.run(fleet.loop.now + 0.5)
    unit_holdings = fleet.host_by_incarnation[name].kernel.find("unit_holdings")
    assert quota_owners.take("a").available == (unit_holdings.units() > 0)
    granted_before = len(fleet.granted)
    send_requests(fleet, 5.0, 100.0, [name])
    unit_share = unit_holdings.units() / 12
    assert len(fleet.granted) - granted_before <= unit_share * 20 * (5 + 1) + 1


def test_planned_shutdown_of_the_owner_transfers_the_units(fleet):
    start = fleet.loop.now
    send_requests(fleet, 3.0, 15.0)
    order = ranked_hosts(fleet)
    hand_over(fleet, order[0], order[1])
    send_requests(fleet, 3.0, 15.0)
    assert send_requests(fleet, 5.0, 15.0) > 60
    assert_within(fleet, [Segment(start, 20.0, 20.0)])


@pytest.mark.parametrize("rate, burst", [(5.0, 100.0), (100.0, 5.0), (60.0, 60.0)])
def test_rate_change_does_not_add_the_old_and_the_new_burst(fleet, rate, burst):
    states = [(fleet.loop.now, ACCOUNT)]
    send_requests(fleet, 2.0, 300.0)
    for account in (ACCOUNT._replace(rate=rate, burst=burst), ACCOUNT):
        states.append((fleet.loop.now, account))
        apply_ticket(fleet, account, 1.0)
        send_requests(fleet, 3.0, 300.0)
    assert_within(fleet, envelope(states, 1.0))


def test_idle_quota_returns_its_level_to_the_lenders(fleet):
    send_requests(fleet, 1.0, 5.0)
    fleet.tasks.run(fleet.loop.now + 40.0)
    calls = fleet.loop.calls
    fleet.tasks.run(fleet.loop.now + 10.0)
    assert fleet.loop.calls == calls
    granted_before = len(fleet.granted)
    for _ in range(20):
        start_request(fleet, ranked_hosts(fleet)[0], "a")
    fleet.tasks.run(fleet.loop.now + 0.3)
    assert len(fleet.granted) - granted_before >= 18


def test_unknown_account_is_unavailable(fleet):
    send_requests(fleet, 1.0, 20.0)
    host = fleet.host_by_incarnation[ranked_hosts(fleet)[0]]
    quota_owners = host.kernel.find("quota_owners")
    assert quota_owners.take("a").available
    assert not quota_owners.take("none").available
