"""A planned stop serves on, then refuses, and waits for what is under way."""

from trefoilpin import events
from trefoilpin.fakes.gateways import create_host, named
from trefoilpin.gateway import shutdowns

GRACE = 6.0


class Services:
    """What a stop acts on, with the time of each call."""

    def __init__(self, kernel, clock, ends_at):
        self.clock = clock
        self.ends_at = ends_at
        self.began_at = clock.time
        self.calls = []
        self.close_idle_calls = []
        for name in ("members", "gossip", "proxies", "frontends"):
            kernel.register(name, self)

    def stop(self):
        self.calls.append("stopping")

    def notify_all(self):
        self.calls.append("gossiped")

    def close(self):
        self.calls.append("closed")
        self.closed_after = self.clock.time - self.began_at

    def connection_count(self):
        return 3

    def under_way(self):
        return int(self.clock.time - self.began_at < self.ends_at)

    def close_idle(self, is_due):
        self.close_idle_calls.append((self.clock.time - self.began_at, is_due))


class Connection:
    def __init__(self, share, idle_since):
        self.share = share
        self.idle_since = idle_since


def run(ends_at):
    kernel, clock, lines = create_host()
    services = Services(kernel, clock, ends_at)
    shutdowns.create(kernel, GRACE).stop("SIGTERM")
    return services, clock, lines


def test_the_fleet_is_told_first_and_callers_are_served_for_half_of_the_grace():
    services, _, lines = run(ends_at=1.0)
    assert services.calls == ["stopping", "gossiped", "closed"]
    assert 2.9 <= services.closed_after <= 3.2
    assert named(lines, events.GATEWAY_STOPPED)[0]["under_way"] == 0


def test_requests_under_way_are_waited_for_until_shortly_before_the_kill():
    services, clock, lines = run(ends_at=4.2)
    assert 4.2 <= clock.time - services.began_at <= 4.5
    services, clock, lines = run(ends_at=99.0)
    assert 5.0 <= clock.time - services.began_at <= GRACE - 0.2
    assert named(lines, events.GATEWAY_STOPPED)[0]["under_way"] == 1


def test_idle_connections_end_one_by_one_and_busy_ones_do_not():
    services, _, _ = run(ends_at=0.0)
    early, late = services.close_idle_calls[1][1], services.close_idle_calls[-1][1]
    began = services.began_at
    assert early(Connection(0.1, began - 5))
    assert not early(Connection(0.9, began - 5))
    assert late(Connection(0.9, began - 5))
    assert not late(Connection(0.1, services.clock.time))
