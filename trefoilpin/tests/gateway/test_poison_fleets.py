"""Requests that crash upstreams are refused by every host of a fleet in time."""

import random

import pytest

from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings

# Time without disruption after which the users count a host's requests.
CONTACT_SECONDS = 3.0
# Requests that the users allow after that time.
MAX_RETRIES = 3
SETTLE_SECONDS = 5.0
POISON = 7
LOST_SHARE = 0.1


class PoisonFleet:
    """A fleet that gets a request which crashes each upstream that runs it.

    Attributes
    ----------
    crashes : list of float
        Times at which upstreams crashed.
    zone_bytes : int
        Bytes sent between zones.
    """

    def __init__(self, hosts, seed, lost=LOST_SHARE):
        self.fleet = Fleet(FleetSettings(lost=lost, seed=seed))
        self.rng = random.Random(seed)
        self.crashes = []
        self.zone_bytes = 0
        self.fleet.on_datagram = self.count_bytes
        for number in range(1, hosts + 1):
            self.start(number)
        self.fleet.run(SETTLE_SECONDS)

    def start(self, number):
        return self.fleet.start(number, "abc"[number % 3])

    def count_bytes(self, source, target, size):
        nodes = self.fleet.nodes
        if target in nodes and nodes[source].zone != nodes[target].zone:
            self.zone_bytes += size

    def idle_hosts(self):
        """Return the hosts that no caller should use, from every zone."""
        found = []
        for node in self.fleet.nodes.values():
            if not node.gossip.is_sender():
                found.append(node)
        return found

    def send(self, node):
        """Have a host handle the request; tell whether an upstream crashed."""
        poison_requests = node.kernel.find("poison_requests")
        if poison_requests.check(POISON) is not None:
            return False
        self.crashes.append(self.fleet.now())
        poison_requests.record_break(POISON, f"u{len(self.crashes)}/1")
        return True

    def crash_three(self, nodes, pause):
        for node in nodes:
            assert self.send(node)
            self.fleet.run(pause)

    def unaware(self):
        """Return the addresses of the hosts that would send the request."""
        found = []
        for address, node in self.fleet.nodes.items():
            if node.kernel.find("poison_requests").check(POISON) is None:
                found.append(address)
        return found


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("hosts", [6, 30, 100])
def test_every_host_knows_of_three_crashes_in_time(hosts, seed):
    """Guards against hosts without callers, which are told nothing by others."""
    fleet = PoisonFleet(hosts, seed)
    nodes = fleet.rng.sample(list(fleet.fleet.nodes.values()), 3)
    fleet.crash_three(nodes, 0.3)
    fleet.fleet.run(CONTACT_SECONDS - 0.3)
    assert fleet.unaware() == []


def test_crashes_at_hosts_without_callers_are_known_in_every_zone():
    """Guards against breaks that only the zone of a host hears of."""
    fleet = PoisonFleet(30, 4)
    by_zone = {node.zone: node for node in fleet.idle_hosts()}
    fleet.crash_three([by_zone[zone] for zone in "abc"], 1.0)
    fleet.fleet.run(CONTACT_SECONDS - 1.0)
    assert fleet.unaware() == []


@pytest.mark.parametrize("hosts", [6, 30, 100])
def test_requests_to_drawn_hosts_crash_few_upstreams_in_all(hosts):
    """Guards against a request that moves on to hosts which know nothing of it."""
    fleet = PoisonFleet(hosts, 5)
    for _ in range(100):
        fleet.send(fleet.rng.choice(list(fleet.fleet.nodes.values())))
        fleet.fleet.run(0.25)
    third = sorted(fleet.crashes)[2]
    late = [at for at in fleet.crashes if at > third + CONTACT_SECONDS]
    assert len(late) <= MAX_RETRIES


def test_host_that_starts_later_refuses_the_request():
    """Guards against each host that starts, as in an update, crashing upstreams."""
    fleet = PoisonFleet(12, 6)
    fleet.crash_three(list(fleet.fleet.nodes.values())[:3], 0.1)
    fleet.fleet.run(20.0)
    fleet.start(13)
    fleet.fleet.run(CONTACT_SECONDS)
    assert fleet.unaware() == []


def test_hosts_that_were_cut_off_refuse_the_request():
    """Guards against breaks that are only told while hosts are cut off."""
    fleet = PoisonFleet(30, 7)
    zone = {address for address, node in fleet.fleet.nodes.items() if node.zone == "a"}
    fleet.fleet.cut = frozenset(zone)
    others = [node for node in fleet.fleet.nodes.values() if node.zone != "a"]
    fleet.crash_three(others[:3], 0.1)
    fleet.fleet.run(6.0)
    assert set(fleet.unaware()) == zone
    fleet.fleet.cut = frozenset()
    fleet.fleet.run(CONTACT_SECONDS)
    assert fleet.unaware() == []
