"""At most one host at a time holds a lease, in drawn histories."""

import random

import pytest

from trefoilpin import events, metrics
from trefoilpin.fakes.fleet_stores import StoreContent, create_object_calls
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway.store import leases
from trefoilpin.gateway.store.leases import LEASE_SECONDS
from trefoilpin.gateway.store.stores import Store
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import Events

STEP_SECONDS = 0.05
# A call that gets no answer takes a second, and the lease of another has to run out.
TAKING_SECONDS = 2 * LEASE_SECONDS + 2.0


class LeaseFleet:
    """Hosts with a lease service each, and their store.

    ``services`` has every start of every host, also those that are dead.
    """

    def __init__(self, seed):
        self.loop = LoopState(seed)
        self.rng = random.Random(seed)
        self.tasks = create_tasks(self.loop)
        self.content = StoreContent()
        self.services = {}
        self.live = {}
        self.first = ""
        self.lines = []
        self.changes = 0
        self.is_first_start = False

    def start(self, address):
        """Start or restart a host."""
        if address in self.live:
            self.kill(address)
        owner = (address, sum(known[0] == address for known in self.services) + 1)
        clock = Clock(lambda: self.loop.now, lambda: self.loop.now, self.tasks.sleep)

        def spawn(function, *arguments):
            return self.tasks.spawn(owner, function, *arguments)

        def emit(event, **fields):
            self.lines.append((event, owner, fields))

        kernel = create_kernel(clock, spawn, random.Random(self.rng.random()))
        kernel.register("events", Events(emit, lambda: None))
        metrics.create(kernel)
        calls = create_object_calls(self.tasks, self.rng, self.content, address)
        kernel.register("store", Store(lambda kind: None, None, *calls))
        holder = leases.LeaseHolder(*owner)
        self.services[owner] = leases.create(
            kernel, holder, lambda: self.first == address, self.is_first_start
        )
        self.live[address] = owner
        kernel.start()

    def kill(self, address):
        self.loop.dead.add(self.live.pop(address))

    def stop(self, owner):
        """Stop a host, and start it again at once or after some time."""
        self.services[owner].end()
        if self.rng.random() < 0.5:
            self.run(self.rng.choice((0.02, 0.1, 0.5)))
        self.start(owner[0])

    def holders(self):
        now = self.loop.now
        return [
            owner
            for owner, service in self.services.items()
            if service.held_since(now) is not None
        ]

    def run(self, seconds, wanting=()):
        """Run with some hosts wanting the lease; check that one holds it at most."""
        ends_at = self.loop.now + seconds
        while self.loop.now < ends_at:
            for address in wanting:
                owner = self.live.get(address)
                if owner is not None and owner not in self.loop.frozen:
                    self.services[owner].want()
            self.tasks.run(self.loop.now + STEP_SECONDS)
            assert len(self.holders()) <= 1

    def draw_fault(self, snapshots):
        """Have something happen that changes who can hold the lease."""
        self.changes += 1
        address = self.rng.choice("abcde")
        # Hosts seldom hold anything in a history without a store.
        self.content.is_down &= self.rng.random() < 0.5
        fault = self.rng.randrange(11)
        if fault == 0:
            self.start(address)
        elif fault == 1 and address in self.live:
            self.loop.frozen.symmetric_difference_update({self.live[address]})
        elif fault == 2:
            self.content.is_down = self.rng.random() < 0.4
        elif fault == 3:
            self.content.lost_answers = self.rng.choice((0.0, 0.3, 0.8))
        elif fault == 4:
            self.content.refused ^= {address}
        elif fault == 5:
            snapshots.append(self.content.take_snapshot())
        elif fault == 6 and snapshots:
            self.content.restore(self.rng.choice(snapshots))
        elif fault == 7:
            self.first = address
        elif fault == 8:
            holders = [owner for owner in self.holders() if owner in self.live.values()]
            for owner in holders:
                self.kill(owner[0])
        elif fault in (9, 10):
            for owner in self.holders():
                if owner not in self.loop.frozen:
                    self.stop(owner)


@pytest.fixture
def fleet():
    lease_fleet = LeaseFleet(1)
    for address in "abcde":
        lease_fleet.start(address)
    return lease_fleet


@pytest.mark.parametrize("seed", range(60))
def test_no_two_hosts_hold_a_lease_at_once(seed):
    """Guards against two hosts that each grant a cold upstream its whole rate."""
    fleet = LeaseFleet(seed)
    for address in "abcde":
        fleet.start(address)
    snapshots = []
    held = 0
    while fleet.changes < 40:
        wanting = fleet.rng.sample("abcde", fleet.rng.randrange(1, 6))
        fleet.run(fleet.rng.choice((0.2, 1.0, 3.1, 4.0)), wanting)
        held += bool(fleet.holders())
        fleet.draw_fault(snapshots)
    assert held
    fleet.loop.frozen.clear()
    fleet.content.is_down, fleet.content.lost_answers = False, 0.0
    fleet.content.refused = frozenset()
    fleet.start("a")
    fleet.run(TAKING_SECONDS, "a")
    assert fleet.holders()


def test_lease_that_nobody_wants_costs_no_calls(fleet):
    fleet.run(20.0)
    assert fleet.content.calls == 0
    fleet.first = "b"
    fleet.run(LEASE_SECONDS + 2.0)
    calls = fleet.content.calls
    assert calls == 2
    fleet.run(20.0)
    assert fleet.content.calls == calls and not fleet.holders()


def test_first_host_holds_the_lease_at_once_when_it_is_wanted(fleet):
    fleet.first = "b"
    fleet.run(LEASE_SECONDS + 20.0)
    fleet.run(0.1, "b")
    assert fleet.holders() == [("b", 1)]
    calls = fleet.content.calls
    fleet.run(10.0, "b")
    assert fleet.holders() == [("b", 1)] and fleet.content.calls - calls <= 11


def test_another_host_takes_over_after_the_holder_was_killed(fleet):
    fleet.run(LEASE_SECONDS + 1.0, "a")
    assert fleet.holders() == [("a", 1)]
    fleet.kill("a")
    fleet.run(TAKING_SECONDS, "bc")
    assert fleet.holders()[0][0] in "bc"
    taken = [owner for event, owner, _ in fleet.lines if event is events.LEASE_TAKEN]
    assert len(taken) == 2


def test_restarted_holder_waits_for_the_right_of_its_earlier_start(fleet):
    fleet.run(LEASE_SECONDS + 1.0, "a")
    fleet.start("a")
    fleet.run(LEASE_SECONDS - 1.2, "a")
    assert fleet.holders() in ([], [("a", 1)])
    fleet.run(2.5, "a")
    assert fleet.holders() == [("a", 2)]


def test_right_ends_while_the_store_is_down(fleet):
    fleet.run(LEASE_SECONDS + 1.0, "a")
    fleet.content.is_down = True
    fleet.run(LEASE_SECONDS, "a")
    assert not fleet.holders()
    fleet.content.is_down = False
    fleet.run(2.0, "a")
    assert fleet.holders() == [("a", 1)]


def test_restore_to_a_revision_that_was_observed_gives_no_second_right(fleet):
    """Guards against a write on a revision that stands for another one by now."""
    fleet.run(LEASE_SECONDS + 1.0, "a")
    snapshot = fleet.content.take_snapshot()
    fleet.kill("a")
    fleet.run(LEASE_SECONDS - 0.5, "bc")
    for _ in range(30):
        fleet.run(0.1, "bc")
        if fleet.holders():
            break
    fleet.content.restore(snapshot)
    fleet.run(TAKING_SECONDS, "bc")
    assert fleet.holders()


def test_holder_that_stops_is_followed_at_once(fleet):
    """Guards against a wait for the right of a host that is known to have stopped."""
    fleet.run(LEASE_SECONDS + 1.0, "a")
    fleet.run(0.5, "ab")
    assert fleet.holders() == [("a", 1)]
    fleet.services["a", 1].end()
    fleet.run(0.5, "ab")
    assert fleet.holders() == [("b", 1)]
    fleet.services["b", 1].end()
    fleet.run(0.5, "abc")
    assert fleet.holders() == [("c", 1)]


def test_release_from_before_a_restore_counts_for_nothing(fleet):
    """Guards against the right of a host that took the lease after the copy."""
    fleet.run(LEASE_SECONDS + 1.0, "a")
    fleet.services["a", 1].end()
    fleet.run(0.3)
    snapshot = fleet.content.take_snapshot()
    fleet.run(1.0, "b")
    assert fleet.holders() == [("b", 1)]
    fleet.content.restore(snapshot)
    fleet.content.refused = frozenset("b")
    fleet.run(2 * LEASE_SECONDS, "bc")
    assert fleet.holders() == [("c", 1)]


def test_first_host_of_a_new_system_holds_the_lease_at_once():
    """Guards against seconds in which a new system grants nothing."""
    fleet = LeaseFleet(1)
    fleet.is_first_start = True
    for address in "abc":
        fleet.start(address)
    fleet.run(0.5, "abc")
    assert fleet.holders()


def test_host_that_starts_later_waits_where_there_is_no_lease():
    """Guards against a right from before a restore to a copy without the lease."""
    fleet = LeaseFleet(1)
    fleet.is_first_start = True
    for address in "abc":
        fleet.start(address)
    fleet.run(LEASE_SECONDS + 1.0)
    fleet.run(LEASE_SECONDS - 0.5, "abc")
    assert not fleet.holders()


def test_restore_during_the_first_start_gives_no_second_right():
    """Guards against a host that takes a copy without the lease for a new system."""
    fleet = LeaseFleet(1)
    fleet.is_first_start = True
    for address in "ab":
        fleet.start(address)
    snapshot = fleet.content.take_snapshot()
    fleet.run(0.5, "a")
    assert fleet.holders() == [("a", 1)]
    fleet.content.restore(snapshot)
    fleet.run(2.0, "b")
