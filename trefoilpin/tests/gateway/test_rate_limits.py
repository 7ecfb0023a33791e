"""Rate limits over hosts that exchange counts late, in part or not at all."""

import random

import pytest
from returns.result import Success

from trefoilpin.fakes.gateways import create_host
from trefoilpin.gateway.admission import rate_limits
from trefoilpin.gateway.store.records import Account

ACCOUNT = Account("acme", 50.0, 25.0, None)
WINDOW_SECONDS = 5.0
MAX_OVERSHOOT = 1.1
SLACK_REQUESTS = 20
RESTART_SECONDS = 1.0


class Fleet:
    """Hosts with one clock that exchange counts when ``exchange_counts`` is called."""

    def __init__(self, count, starts_full=True, planned=None, incarnation=1, at=100.0):
        self.incarnation = incarnation
        self.coverage = [(count, count) for _ in range(count)]
        self.hosts = []
        self.clock = None
        for number in range(count):
            kernel, clock, _ = create_host(number)
            self.clock = self.clock or clock
            self.clock.time = at
            shared = kernel.clock._replace(now=self.clock.now)
            kernel = kernel._replace(clock=shared)
            settings = rate_limits.RateLimitSettings(
                starts_full, planned or count, WINDOW_SECONDS, incarnation
            )
            self.hosts.append(
                rate_limits.create(
                    kernel, settings, lambda number=number: self.coverage[number]
                )
            )

    def exchange_counts(self, groups):
        for group in groups:
            for one in group:
                for other in group:
                    if one != other:
                        counts = dict(self.hosts[other].admitted_counts())
                        self.hosts[one].merge_counts(
                            f"h{other}", self.incarnation, counts
                        )


def send_requests(
    fleet,
    seconds,
    requests_per_second,
    groups,
    step_seconds=0.1,
    rng=None,
    account=ACCOUNT,
    hosts=None,
):
    """Send requests to random hosts and return the times of the admitted ones."""
    rng = rng or random.Random(3)
    used_hosts = [fleet.hosts[index] for index in hosts] if hosts else fleet.hosts
    times = []
    due = 0.0
    for _ in range(int(seconds / step_seconds)):
        due += requests_per_second * step_seconds
        while due >= 1:
            due -= 1
            host = rng.choice(used_hosts)
            if isinstance(host.admit(account), Success):
                times.append(fleet.clock.time)
        fleet.clock.time += step_seconds
        fleet.exchange_counts(groups)
    return times


def max_requests_in_window(times):
    return max(
        sum(1 for other in times if start <= other < start + WINDOW_SECONDS)
        for start in times
    )


def allowed_requests():
    limit = ACCOUNT.rate * WINDOW_SECONDS + ACCOUNT.burst
    return limit * MAX_OVERSHOOT + SLACK_REQUESTS


def test_hot_account_gets_its_rate_and_no_more():
    fleet = Fleet(6)
    times = send_requests(fleet, 12, 350, [range(6)])
    assert max_requests_in_window(times) <= allowed_requests()
    assert len(times) >= 0.95 * (ACCOUNT.rate * 12)


def test_account_within_its_rate_is_never_refused():
    fleet = Fleet(6)
    times = send_requests(fleet, 10, 45, [range(6)])
    assert len(times) >= 449


def test_account_within_rate_and_burst_in_every_window_is_never_refused():
    """The account stays above its rate, and below rate and burst in every window."""
    fleet = Fleet(6)
    requests_per_second = (
        ACCOUNT.rate * WINDOW_SECONDS + ACCOUNT.burst
    ) / WINDOW_SECONDS - 2
    times = send_requests(fleet, 20, requests_per_second, [range(6)])
    assert len(times) >= requests_per_second * 20 - 1


def test_lowered_rate_is_enforced_and_available():
    fleet = Fleet(6)
    send_requests(fleet, 6, 50, [range(6)])
    lowered = ACCOUNT._replace(rate=10.0, burst=10.0)
    times = send_requests(fleet, 6, 20, [range(6)], account=lowered)
    assert len(times) >= 0.8 * 10 * 6
    assert (
        max_requests_in_window(times)
        <= (10 * WINDOW_SECONDS + 10) * MAX_OVERSHOOT + SLACK_REQUESTS
    )


def test_account_that_moves_to_other_hosts_stays_within_its_rate():
    fleet = Fleet(6)
    times = send_requests(fleet, 6, 350, [range(6)], hosts=(0, 1))
    times += send_requests(fleet, 3, 350, [range(6)], hosts=(4, 5))
    assert max_requests_in_window(times) <= allowed_requests()


def test_both_sides_of_a_partition_stay_within_the_rate_together():
    fleet = Fleet(6)
    send_requests(fleet, 3, 100, [range(6)])
    fleet.coverage = [(4, 6)] * 4 + [(2, 6)] * 2
    times = send_requests(fleet, 12, 350, [range(4), range(4, 6)])
    assert max_requests_in_window(times) <= allowed_requests()


@pytest.mark.parametrize("seed", range(5))
def test_restarts_do_not_refill_the_burst(seed):
    """All hosts are killed repeatedly.

    A daemon takes a second to restart and discovers the others half a second later.
    """
    rng = random.Random(seed)
    times = []
    fleet = Fleet(6)
    for _ in range(4):
        times += send_requests(fleet, 0.5 + rng.random(), 350, [range(6)], rng=rng)
        stopped_at = fleet.clock.time + RESTART_SECONDS
        fleet = Fleet(6, starts_full=False, at=stopped_at)
        fleet.coverage = [(1, 1)] * 6
        times += send_requests(fleet, 0.5, 350, [()], rng=rng)
        fleet.coverage = [(6, 6)] * 6
    assert max_requests_in_window(times) <= allowed_requests()


@pytest.mark.parametrize("seed", range(4))
def test_restart_with_more_hosts_than_planned_and_late_counts(seed):
    """All hosts restart under load, and callers then use 16 hosts where 6 are planned.

    The hosts discover each other one by one, and their counts arrive 0.4 s later.
    """
    rng = random.Random(seed)
    fleet = Fleet(6)
    times = send_requests(fleet, 6 + rng.random(), 220, [range(6)], rng=rng)
    restarted_at = fleet.clock.time + 1.2
    milliseconds = int(restarted_at * 1000)
    fleet = Fleet(16, False, 6, milliseconds, restarted_at)
    for discovered in range(1, 11):
        fleet.coverage = [(discovered, discovered)] * 16
        groups = [range(discovered)] if discovered > 4 else [()]
        times += send_requests(fleet, 0.1, 220, groups, rng=rng)
    fleet.coverage = [(16, 16)] * 16
    times += send_requests(fleet, 4.0, 220, [range(16)], rng=rng)
    assert max_requests_in_window(times) <= allowed_requests()
    after = [at for at in times if at > restarted_at + 1.5]
    assert len(after) >= 0.8 * ACCOUNT.rate * 3.5


def test_hosts_allow_the_whole_rate_soon_after_discovery():
    fleet = Fleet(6, starts_full=False, planned=6, incarnation=100_000)
    send_requests(fleet, 0.6, 60, [range(6)])
    times = send_requests(fleet, 2.0, 60, [range(6)])
    assert len(times) >= 0.9 * ACCOUNT.rate * 2.0


def test_refund_makes_a_token_available():
    fleet = Fleet(1)
    host = fleet.hosts[0]
    while isinstance(host.admit(ACCOUNT), Success):
        pass
    host.refund(ACCOUNT)
    assert isinstance(host.admit(ACCOUNT), Success)
