"""An account's rate over hosts that share counts late, in part or not at all."""

import random

import pytest
from returns.result import Success

from trefoilpin.fakes.gateways import create_host
from trefoilpin.gateway import rate_limits
from trefoilpin.gateway.records import Account

ACCOUNT = Account("acme", 50.0, 25.0, None)
WINDOW_SECONDS = 5.0
OVERSHOOT = 1.1
SLACK = 20
DOWN_SECONDS = 1.0


class Fleet:
    """Hosts with one clock, whose counts travel when a test says so."""

    def __init__(self, count, starts_full=True, planned=None, incarnation=1, at=100.0):
        self.incarnation = incarnation
        self.reached = [(count, count) for _ in range(count)]
        self.hosts = []
        self.clock = None
        for number in range(count):
            kernel, clock, _ = create_host(number)
            self.clock = self.clock or clock
            self.clock.time = at
            shared = kernel.clock._replace(now=self.clock.now)
            kernel = kernel._replace(clock=shared)
            terms = rate_limits.RateLimitSettings(
                starts_full, planned or count, WINDOW_SECONDS, incarnation
            )
            self.hosts.append(
                rate_limits.create(
                    kernel, terms, lambda number=number: self.reached[number]
                )
            )

    def share(self, groups):
        for group in groups:
            for one in group:
                for other in group:
                    if one != other:
                        counts = dict(self.hosts[other].admitted_counts())
                        self.hosts[one].merge_counts(
                            f"h{other}", self.incarnation, counts
                        )


def play(
    fleet,
    seconds,
    per_second,
    groups,
    step=0.1,
    rng=None,
    account=ACCOUNT,
    hosts=None,
):
    """Return the times of admitted requests, spread over the hosts."""
    rng = rng or random.Random(3)
    chosen = [fleet.hosts[place] for place in hosts] if hosts else fleet.hosts
    times = []
    owed = 0.0
    for _ in range(int(seconds / step)):
        owed += per_second * step
        while owed >= 1:
            owed -= 1
            host = rng.choice(chosen)
            if isinstance(host.admit(account), Success):
                times.append(fleet.clock.time)
        fleet.clock.time += step
        fleet.share(groups)
    return times


def busiest_window(times):
    return max(
        sum(1 for other in times if start <= other < start + WINDOW_SECONDS)
        for start in times
    )


def allowed():
    within = ACCOUNT.rate * WINDOW_SECONDS + ACCOUNT.burst
    return within * OVERSHOOT + SLACK


def test_hot_account_gets_its_rate_and_no_more():
    fleet = Fleet(6)
    times = play(fleet, 12, 350, [range(6)])
    assert busiest_window(times) <= allowed()
    assert len(times) >= 0.95 * (ACCOUNT.rate * 12)


def test_an_account_within_its_rate_is_never_refused():
    fleet = Fleet(6)
    times = play(fleet, 10, 45, [range(6)])
    assert len(times) >= 449


def test_what_stays_within_rate_and_burst_in_every_window_is_never_refused():
    """An account that sends more than its rate for long, and less than the burst."""
    fleet = Fleet(6)
    per_second = (ACCOUNT.rate * WINDOW_SECONDS + ACCOUNT.burst) / WINDOW_SECONDS - 2
    times = play(fleet, 20, per_second, [range(6)])
    assert len(times) >= per_second * 20 - 1


def test_a_lowered_rate_is_kept_and_still_given_out():
    fleet = Fleet(6)
    play(fleet, 6, 50, [range(6)])
    lowered = ACCOUNT._replace(rate=10.0, burst=10.0)
    times = play(fleet, 6, 20, [range(6)], account=lowered)
    assert len(times) >= 0.8 * 10 * 6
    assert busiest_window(times) <= (10 * WINDOW_SECONDS + 10) * OVERSHOOT + SLACK


def test_an_account_that_moves_to_other_hosts_brings_its_past():
    fleet = Fleet(6)
    times = play(fleet, 6, 350, [range(6)], hosts=(0, 1))
    times += play(fleet, 3, 350, [range(6)], hosts=(4, 5))
    assert busiest_window(times) <= allowed()


def test_hosts_cut_in_two_stay_within_the_rate_together():
    fleet = Fleet(6)
    play(fleet, 3, 100, [range(6)])
    fleet.reached = [(4, 6)] * 4 + [(2, 6)] * 2
    times = play(fleet, 12, 350, [range(4), range(4, 6)])
    assert busiest_window(times) <= allowed()


@pytest.mark.parametrize("seed", range(5))
def test_restarts_do_not_refill_the_burst(seed):
    """All hosts are killed again and again.

    A daemon needs a second to run again, and half a second more to hear the others.
    """
    rng = random.Random(seed)
    times = []
    fleet = Fleet(6)
    for _ in range(4):
        times += play(fleet, 0.5 + rng.random(), 350, [range(6)], rng=rng)
        stopped_at = fleet.clock.time + DOWN_SECONDS
        fleet = Fleet(6, starts_full=False, at=stopped_at)
        fleet.reached = [(1, 1)] * 6
        times += play(fleet, 0.5, 350, [()], rng=rng)
        fleet.reached = [(6, 6)] * 6
    assert busiest_window(times) <= allowed()


@pytest.mark.parametrize("seed", range(4))
def test_after_a_kill_of_all_more_hosts_serve_than_planned_and_hear_late(seed):
    """A hot account before and after; callers are spread over 16 hosts of 6 planned.

    The hosts learn one by one of each other, and their counts come 0.4 s later still.
    """
    rng = random.Random(seed)
    fleet = Fleet(6)
    times = play(fleet, 6 + rng.random(), 220, [range(6)], rng=rng)
    restarted_at = fleet.clock.time + 1.2
    milliseconds = int(restarted_at * 1000)
    fleet = Fleet(16, False, 6, milliseconds, restarted_at)
    for known in range(1, 11):
        fleet.reached = [(known, known)] * 16
        groups = [range(known)] if known > 4 else [()]
        times += play(fleet, 0.1, 220, groups, rng=rng)
    fleet.reached = [(16, 16)] * 16
    times += play(fleet, 4.0, 220, [range(16)], rng=rng)
    assert busiest_window(times) <= allowed()
    after = [at for at in times if at > restarted_at + 1.5]
    assert len(after) >= 0.8 * ACCOUNT.rate * 3.5


def test_hosts_that_found_each_other_give_out_the_whole_rate_soon_after_a_start():
    fleet = Fleet(6, starts_full=False, planned=6, incarnation=100_000)
    play(fleet, 0.6, 60, [range(6)])
    times = play(fleet, 2.0, 60, [range(6)])
    assert len(times) >= 0.9 * ACCOUNT.rate * 2.0


def test_a_token_of_an_unsent_request_comes_back():
    fleet = Fleet(1)
    host = fleet.hosts[0]
    while isinstance(host.admit(ACCOUNT), Success):
        pass
    host.refund(ACCOUNT)
    assert isinstance(host.admit(ACCOUNT), Success)
