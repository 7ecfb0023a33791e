"""A planned shutdown keeps serving, then refuses, and waits for running requests."""

import pytest

from trefoilpin import events
from trefoilpin.fakes.gateways import create_host, named
from trefoilpin.gateway import shutdowns

GRACE = 6.0


class Services:
    """Services that a shutdown calls; records the calls."""

    def __init__(self, kernel, clock, last_request_seconds):
        self.clock = clock
        self.last_request_seconds = last_request_seconds
        self.started_at = clock.time
        self.calls = []
        self.close_idle_calls = []
        for name in (
            "members",
            "gossip",
            "proxies",
            "dispatchers",
            "frontends",
        ):
            kernel.register(name, self)
        kernel.register("leases", self)

    def stop(self):
        self.calls.append("stopping")

    def notify_all(self):
        self.calls.append("gossiped")

    def close(self):
        self.calls.append("closed")
        self.closed_after = self.clock.time - self.started_at

    def end(self):
        self.calls.append("lease released")

    def end_by(self, time):
        self.ends_after = time - self.started_at

    def connection_count(self):
        return 3

    def under_way(self):
        return 0

    def unanswered_count(self):
        return int(self.clock.time - self.started_at < self.last_request_seconds)

    def close_idle(self, is_due):
        self.close_idle_calls.append((self.clock.time - self.started_at, is_due))


class Connection:
    def __init__(self, share, idle_since):
        self.share = share
        self.idle_since = idle_since


def run(last_request_seconds, delay=0.0):
    """Stop a host whose task begins some time after the signal."""
    kernel, clock, lines = create_host()
    services = Services(kernel, clock, last_request_seconds)
    signalled_at = clock.time
    clock.time += delay
    shutdowns.create(kernel, GRACE).stop("SIGTERM", signalled_at)
    return services, clock, lines


def test_other_hosts_are_notified_first_and_callers_served_for_half_of_the_grace():
    services, _, lines = run(last_request_seconds=1.0)
    assert services.calls == ["stopping", "lease released", "gossiped", "closed"]
    assert 2.9 <= services.closed_after <= 3.2
    assert named(lines, events.GATEWAY_STOPPED)[0]["under_way"] == 0


@pytest.mark.parametrize("delay", [0.0, 0.013, 0.027, 0.049])
def test_no_request_is_taken_later_than_three_seconds_after_the_signal(delay):
    """Guards against requests that are cut at the end, as they came too late."""
    services, _, _ = run(last_request_seconds=1.0, delay=delay)
    assert 2.9 <= services.closed_after <= 3.0 - 0.02


def test_answers_are_awaited_until_shortly_before_the_kill():
    """Guards against a stop that cuts answers that are being passed on."""
    services, clock, lines = run(last_request_seconds=4.2)
    assert 4.2 <= clock.time - services.started_at <= 4.5
    services, clock, lines = run(last_request_seconds=99.0)
    assert 5.0 <= clock.time - services.started_at <= GRACE - 0.2
    assert named(lines, events.GATEWAY_STOPPED)[0]["under_way"] == 1


@pytest.mark.parametrize("delay", [0.0, 0.7])
def test_times_count_from_the_signal_on_a_host_that_notices_it_late(delay):
    """Guards against requests that are taken late in the grace and then cut."""
    services, clock, _ = run(99.0, delay)
    assert 2.9 <= services.closed_after <= 3.1
    assert services.ends_after == pytest.approx(GRACE * shutdowns.GRACE_SHARE)
    assert clock.time - services.started_at <= GRACE - 0.2


def test_idle_connections_are_closed_one_by_one_and_busy_ones_kept():
    services, _, _ = run(last_request_seconds=0.0)
    early, late = services.close_idle_calls[1][1], services.close_idle_calls[-1][1]
    start = services.started_at
    assert early(Connection(0.1, start - 5))
    assert not early(Connection(0.9, start - 5))
    assert late(Connection(0.9, start - 5))
    assert not late(Connection(0.1, services.clock.time))
