"""Rates of client accounts while hosts are cut off, come back, restart and join.

The hosts are real ones on a simulated network. Each reads the store all the while, so
the hosts of every side of a partition go on admitting requests.
"""

import random

import pytest
from returns.result import Success

from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings
from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.gateway.store.records import Account

ACCOUNT = Account("acme", 120.0, 108.0, None)
WINDOW_SECONDS = 5.0
ALLOWED = (ACCOUNT.rate * WINDOW_SECONDS + ACCOUNT.burst) * 1.1 + 20
ZONES = ("a", "b", "c")
HOSTS_PER_ZONE = 4
# Seeds of the fleet are the hosts 1 to 3, one in each zone.
STEP_SECONDS = 0.02
OTHER_REQUESTS_PER_SECOND = 8.0


class Traffic:
    """A fleet, callers of its hosts, and the times of the admitted requests."""

    def __init__(self, seed):
        settings = FleetSettings(
            seed=seed, starts_full=False, planned_hosts=6, zones=ZONES
        )
        self.fleet = Fleet(settings)
        self.rng = random.Random(seed)
        self.incarnation = 1
        self.admitted_at = []
        self.offered = 0
        for number in range(1, HOSTS_PER_ZONE * len(ZONES) + 1):
            self.start(number)
        self.run(10.0, 60.0)

    def start(self, number):
        node = self.fleet.start(number, ZONES[number % 3], self.incarnation)
        node.put(CONFIGURATION, 7, "value")

    def restart(self, number):
        self.incarnation += 1
        self.fleet.kill(address_of(number))
        self.start(number)

    def run(self, seconds, requests_per_second):
        """Send the account's requests, and others, to the hosts of each zone."""
        due = other_due = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            due += requests_per_second * STEP_SECONDS
            other_due += OTHER_REQUESTS_PER_SECOND * STEP_SECONDS
            while due >= 1:
                due -= 1
                self.send(self.rng.choice(ZONES))
            while other_due >= 1:
                other_due -= 1
                for zone in ZONES:
                    for node in self.caller_nodes(zone):
                        node.members.count_request()
            self.fleet.run(STEP_SECONDS)

    def caller_nodes(self, zone):
        """Return the hosts to which the first host of a zone directs callers."""
        for node in self.fleet.nodes.values():
            if node.zone != zone or node.owner in self.fleet.loop.frozen:
                continue
            nodes = []
            for host in node.members.caller_hosts(zone):
                if host.address in self.fleet.nodes:
                    nodes.append(self.fleet.nodes[host.address])
            return [node for node in nodes if node.owner not in self.fleet.loop.frozen]
        return []

    def send(self, zone):
        nodes = self.caller_nodes(zone)
        if not nodes:
            return
        node = self.rng.choice(nodes)
        node.members.count_request()
        self.offered += 1
        if isinstance(node.rate_limits.admit(ACCOUNT), Success):
            self.admitted_at.append(self.fleet.now())

    def most_in_window(self):
        most = first = 0
        for last, at in enumerate(self.admitted_at):
            while self.admitted_at[first] <= at - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most


def address_of(number):
    return f"10.0.0.{number}"


def cut_zones(traffic, sides):
    traffic.fleet.side_by_address = {
        address: sides[ZONES.index(node.zone)]
        for address, node in traffic.fleet.nodes.items()
    }


@pytest.mark.parametrize("seconds", [4.0, 15.0, 40.0])
@pytest.mark.parametrize("seed", range(1, 4))
def test_zone_back_from_a_cut_does_not_grant_the_rate_again(seed, seconds):
    """Guards against review/15, also for cuts that outlast what hosts remember."""
    traffic = Traffic(seed)
    cut_zones(traffic, (0, 1, 0))
    traffic.run(seconds - 3.0, 60.0)
    traffic.run(3.0, 900.0)
    cut_zones(traffic, (0, 0, 0))
    traffic.run(7.0, 900.0)
    assert traffic.most_in_window() <= ALLOWED


@pytest.mark.parametrize("seed", range(1, 4))
def test_cut_under_load_does_not_grant_the_rate_twice(seed):
    """Guards against sides that use the whole rate until they miss each other."""
    traffic = Traffic(seed)
    traffic.run(6.0, 900.0)
    cut_zones(traffic, (0, 1, 0))
    traffic.run(8.0, 900.0)
    assert traffic.most_in_window() <= ALLOWED


@pytest.mark.parametrize("seed", range(1, 4))
def test_hosts_that_restart_in_a_cut_do_not_grant_the_rate_again(seed):
    """Guards against hosts that know of nobody outside their side of a cut."""
    traffic = Traffic(seed)
    cut_zones(traffic, (0, 1, 0))
    traffic.run(2.0, 60.0)
    for number in range(1, HOSTS_PER_ZONE * len(ZONES) + 1):
        if ZONES[number % 3] == "b":
            traffic.restart(number)
    traffic.run(2.0, 60.0)
    traffic.run(8.0, 900.0)
    cut_zones(traffic, (0, 0, 0))
    traffic.run(7.0, 900.0)
    assert traffic.most_in_window() <= ALLOWED


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_faults_do_not_grant_the_rate_twice(seed):
    """Cuts with several sides, heals, restarts and pauses under drawn load."""
    traffic = Traffic(seed)
    rng = random.Random(seed)
    numbers = range(1, HOSTS_PER_ZONE * len(ZONES) + 1)
    for _ in range(12):
        fault = rng.choice(("zones", "hosts", "heal", "restart", "freeze"))
        traffic.fleet.loop.frozen.clear()
        if fault == "zones":
            cut_zones(traffic, [rng.randrange(2) for _ in ZONES])
        elif fault == "hosts":
            traffic.fleet.side_by_address = {
                address_of(number): 1 for number in rng.sample(numbers, 4)
            }
        elif fault == "heal":
            cut_zones(traffic, (0, 0, 0))
        elif fault == "restart":
            for number in rng.sample(numbers, 3):
                traffic.restart(number)
        else:
            for number in rng.sample(numbers, 2):
                owner = traffic.fleet.nodes[address_of(number)].owner
                traffic.fleet.loop.frozen.add(owner)
        traffic.run(0.5 + 4.0 * rng.random(), rng.choice((60.0, 300.0, 900.0)))
    assert traffic.most_in_window() <= ALLOWED


@pytest.mark.parametrize("seed", range(1, 4))
def test_hot_account_without_faults_stays_within_its_rate_and_uses_it(seed):
    traffic = Traffic(seed)
    started_at = traffic.fleet.now()
    traffic.run(12.0, 900.0)
    assert traffic.most_in_window() <= ALLOWED
    used = sum(at >= started_at for at in traffic.admitted_at)
    assert used >= 0.95 * ACCOUNT.rate * 12.0


@pytest.mark.parametrize("seed", range(1, 4))
def test_account_just_below_its_limit_is_not_refused_on_a_calm_day(seed):
    traffic = Traffic(seed)
    requests_per_second = ACCOUNT.rate + ACCOUNT.burst / WINDOW_SECONDS - 4
    offered, admitted = traffic.offered, len(traffic.admitted_at)
    traffic.run(20.0, requests_per_second)
    refused = traffic.offered - offered - (len(traffic.admitted_at) - admitted)
    assert refused <= 0.005 * (traffic.offered - offered)
