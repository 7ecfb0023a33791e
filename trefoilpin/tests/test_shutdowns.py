"""Graceful shutdown: order of the steps, hand-over and closing of connections."""

import random

import pytest

from trefoilpin import shutdowns
from trefoilpin.fakes import fleets, loops
from trefoilpin.frontends import Frontends
from trefoilpin.records import Host

DRAIN = 15.0


class Connection:
    """An idle connection; ``share`` is the part of the drain after which it closes."""

    def __init__(self, share):
        self.share = share
        self.idle_since = 0.0


class StoppingHost:
    """A stopping host with fakes of the other services that record calls in order."""

    def __init__(self, names=("h0", "h1", "h2"), spread_reconnects=True):
        self.calls = []
        self.closed_at = []
        self.connections = []
        self.loop = loops.LoopState(1)
        kernel = loops.create_host_kernel(self.loop, self.log)
        hosts = [Host(name, name, "a", "r", "", "") for name in names]
        self.view = fleets.FleetView(hosts[0], hosts)
        memberships = fleets.create_memberships(self.view)
        self.notice_store = fleets.NoticeStore("h0")
        self.notices = fleets.create_notices(self.notice_store, lambda: self.loop.now)
        kernel.register("memberships", memberships._replace(leave=self.leave))
        kernel.register("notices", self.notices)
        kernel.register(
            "frontends",
            Frontends(None, self.close_idle, self.close, lambda: len(self.connections)),
        )
        self.service = shutdowns.create(kernel, DRAIN, spread_reconnects)

    def log(self, event, **fields):
        self.calls.append(event.name)

    def leave(self, successor):
        self.calls.append(f"leave to {successor}")

    def close(self):
        self.closed_after = self.loop.now - loops.FIRST_INSTANT
        self.calls.append("close")

    def close_idle(self, is_due):
        for connection in list(self.connections):
            if is_due(connection):
                self.connections.remove(connection)
                self.closed_at.append(self.loop.now - loops.FIRST_INSTANT)

    def on_hand_over(self, accepts):
        def hand_over(successor):
            self.calls.append(f"hand over to {successor and successor.name}")
            return accepts(successor)

        self.service.on_hand_over("operations", hand_over)


def test_listener_closes_after_the_drain_and_the_host_leaves_last():
    host = StoppingHost()
    host.on_hand_over(lambda successor: True)
    assert not host.service.is_stopping()
    host.service.stop()
    name = host.calls[3].rpartition(" ")[2]
    assert name in ("h1", "h2")
    assert host.calls == [
        "stop_began",
        "close",
        "last_request_ended",
        f"hand over to {name}",
        f"leave to {name}",
        "handed_over",
    ]
    assert host.closed_after >= DRAIN
    assert [notice.key for notice in host.notices.read("leaving")] == ["h0"]


def test_second_stop_has_no_effect():
    host = StoppingHost()
    host.service.stop()
    calls = list(host.calls)
    host.service.stop()
    assert host.calls == calls


def test_changed_successor_gets_everything_again():
    host = StoppingHost()
    received = []
    host.service.on_hand_over(
        "limits", lambda successor: received.append(successor.name) or True
    )

    def accepts(successor):
        if len(host.view.absent) == 0:
            host.view.absent.add(successor.incarnation)
            return False
        return True

    host.on_hand_over(accepts)
    host.service.stop()
    first, second = received
    assert first != second
    assert f"leave to {second}" in host.calls


def test_failed_hand_over_names_no_successor():
    host = StoppingHost()
    host.on_hand_over(lambda successor: False)
    host.service.stop()
    assert "hand_over_failed" in host.calls
    assert "leave to None" in host.calls


def test_leaving_hosts_are_not_successors():
    host = StoppingHost(names=("h0", "h1"))
    other = fleets.create_notices(host.notice_store, lambda: host.loop.now)
    other.publish(shutdowns.LEAVING_TOPIC, "h1", "", 60.0)
    host.on_hand_over(lambda successor: successor is None)
    host.service.stop()
    assert "hand over to None" in host.calls


@pytest.mark.parametrize("spread_reconnects", [True, False])
def test_connections_close_spread_over_the_drain(spread_reconnects):
    host = StoppingHost(spread_reconnects=spread_reconnects)
    rng = random.Random(1)
    host.connections = [Connection(rng.random()) for _ in range(300)]
    host.service.stop()
    assert len(host.closed_at) == 300
    count_by_second = [0] * (int(DRAIN) + 1)
    for instant in host.closed_at:
        count_by_second[int(instant)] += 1
    if spread_reconnects:
        assert max(count_by_second) <= 2 * 300 / DRAIN
    else:
        assert max(count_by_second) == 300
