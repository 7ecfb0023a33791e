"""Order of a planned stop, and when connections end."""

import random

import pytest

from trefoilpin import shutdowns
from trefoilpin.fakes import fleets, loops
from trefoilpin.frontends import Frontends
from trefoilpin.records import Host

DRAIN = 15.0


class Connection:
    """An idle connection with its place in the drain."""

    def __init__(self, share):
        self.share = share
        self.idle_since = 0.0


class Stopping:
    """A host with everything that its stop calls, and the order of the calls."""

    def __init__(self, names=("h0", "h1", "h2"), spreads=True):
        self.calls = []
        self.ended_at = []
        self.connections = []
        self.loop = loops.LoopState(1)
        kernel = loops.create_host_kernel(self.loop, self.log)
        hosts = [Host(name, name, "a", "r", "", "") for name in names]
        self.view = fleets.FleetView(hosts[0], hosts)
        memberships = fleets.create_memberships(self.view)
        self.board = fleets.NoticeStore("h0")
        self.notices = fleets.create_notices(self.board, lambda: self.loop.now)
        kernel.register("memberships", memberships._replace(leave=self.leave))
        kernel.register("notices", self.notices)
        kernel.register(
            "frontends",
            Frontends(None, self.retire, self.close, lambda: len(self.connections)),
        )
        self.service = shutdowns.create(kernel, DRAIN, spreads)

    def log(self, event, **fields):
        self.calls.append(event.name)

    def leave(self, successor):
        self.calls.append(f"leave to {successor}")

    def close(self):
        self.closed_after = self.loop.now - loops.FIRST_INSTANT
        self.calls.append("close")

    def retire(self, is_due):
        for connection in list(self.connections):
            if is_due(connection):
                self.connections.remove(connection)
                self.ended_at.append(self.loop.now - loops.FIRST_INSTANT)

    def on_hand_over(self, arrives):
        def function(successor):
            self.calls.append(f"hand over to {successor and successor.name}")
            return arrives(successor)

        self.service.on_hand_over("operations", function)


def test_the_listener_outlives_the_drain_and_the_host_leaves_last():
    stopping = Stopping()
    stopping.on_hand_over(lambda successor: True)
    assert not stopping.service.is_stopping()
    stopping.service.stop()
    name = stopping.calls[3].rpartition(" ")[2]
    assert name in ("h1", "h2")
    assert stopping.calls == [
        "stop_began",
        "close",
        "last_request_ended",
        f"hand over to {name}",
        f"leave to {name}",
        "handed_over",
    ]
    assert stopping.closed_after >= DRAIN
    assert [notice.key for notice in stopping.notices.read("leaving")] == ["h0"]


def test_a_second_stop_changes_nothing():
    stopping = Stopping()
    stopping.service.stop()
    calls = list(stopping.calls)
    stopping.service.stop()
    assert stopping.calls == calls


def test_everything_goes_to_one_successor_that_took_it_all():
    stopping = Stopping()
    taken = []
    stopping.service.on_hand_over(
        "limits", lambda host: taken.append(host.name) or True
    )

    def arrives(successor):
        if len(stopping.view.absent) == 0:
            stopping.view.absent.add(successor.incarnation)
            return False
        return True

    stopping.on_hand_over(arrives)
    stopping.service.stop()
    first, second = taken
    assert first != second
    assert f"leave to {second}" in stopping.calls


def test_a_hand_over_that_never_arrives_names_no_successor():
    stopping = Stopping()
    stopping.on_hand_over(lambda successor: False)
    stopping.service.stop()
    assert "hand_over_failed" in stopping.calls
    assert "leave to None" in stopping.calls


def test_hosts_that_are_leaving_are_no_successors():
    stopping = Stopping(names=("h0", "h1"))
    other = fleets.create_notices(stopping.board, lambda: stopping.loop.now)
    other.publish(shutdowns.LEAVING_TOPIC, "h1", "", 60.0)
    stopping.on_hand_over(lambda successor: successor is None)
    stopping.service.stop()
    assert "hand over to None" in stopping.calls


@pytest.mark.parametrize("spreads", [True, False])
def test_connections_end_one_by_one_over_the_drain(spreads):
    stopping = Stopping(spreads=spreads)
    rng = random.Random(1)
    stopping.connections = [Connection(rng.random()) for _ in range(300)]
    stopping.service.stop()
    assert len(stopping.ended_at) == 300
    count_by_second = [0] * (int(DRAIN) + 1)
    for instant in stopping.ended_at:
        count_by_second[int(instant)] += 1
    if spreads:
        assert max(count_by_second) <= 2 * 300 / DRAIN
    else:
        assert max(count_by_second) == 300
