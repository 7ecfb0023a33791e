"""Rates of client accounts over a whole fleet that is cut, restarts, joins and heals.

The hosts are real ones on a simulated network, with a store that holds the lease.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from trefoilpin.fakes.gateway_fleets import (
    RATE_BOUNDS,
    Fleet,
    FleetSettings,
    StoreContent,
)
from trefoilpin.fakes.gateways import create_host
from trefoilpin.gateway.admission import rate_pools
from trefoilpin.gateway.admission.rate_pools import (
    PART_SECONDS,
    WHOLE,
    RateAsk,
    RateWant,
)
from trefoilpin.gateway.store.records import Account

ACCOUNT = Account("acme", 120.0, 108.0, None)
WINDOW = RATE_BOUNDS.window
LIMIT = ACCOUNT.rate * WINDOW + ACCOUNT.burst
ALLOWED = LIMIT * (1.0 + RATE_BOUNDS.overshoot) + RATE_BOUNDS.slack
ZONES = ("a", "b", "c")
STEP_SECONDS = 0.02
PATIENCE_SECONDS = 2.0
OTHER_REQUESTS_PER_SECOND = 8.0
# Numbers of hosts and seeds. With 44 hosts, 6 and 9 had the most requests of seeds 1 to
# 10 while each host without a part could have a sixth of their tolerance.
DRAWN = [*((6, seed) for seed in range(1, 6)), *((12, seed) for seed in range(1, 6))]
DRAWN += [(44, 6), (44, 9)]
FULL_SECONDS = PART_SECONDS + WINDOW + 8.0


class RateFleet:
    """A fleet, callers of its hosts, and the times of the admitted requests.

    The hosts of a zone to which callers go are those that its first host names.
    """

    def __init__(self, hosts, seed, is_first_start=True, bounds=RATE_BOUNDS):
        self.content = StoreContent()
        fleet_settings = FleetSettings(
            seed=seed,
            rate_bounds=bounds,
            starts_full=False,
            planned_hosts=RATE_BOUNDS.planned_hosts,
            is_first_start=is_first_start,
        )
        self.fleet = Fleet(fleet_settings, self.content)
        self.rng = random.Random(seed)
        self.incarnation = 1
        self.admitted_at, self.refused_at = [], []
        self.zones = ZONES
        for number in range(1, hosts + 1):
            self.start(number)
        self.run(10.0, 60.0)

    def start(self, number):
        self.fleet.start(number, ZONES[number % 3], self.incarnation)

    def restart(self, address):
        self.incarnation += 1
        self.fleet.kill(address)
        self.start(int(address.rpartition(".")[2]))

    def run(self, seconds, requests_per_second, accounts=(ACCOUNT,)):
        """Send requests of the accounts, and others, to the hosts of each zone."""
        due = other_due = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            due += requests_per_second * STEP_SECONDS
            other_due += OTHER_REQUESTS_PER_SECOND * STEP_SECONDS
            nodes_by_zone = {zone: self.caller_nodes(zone) for zone in self.zones}
            while due >= 1:
                due -= 1
                nodes = nodes_by_zone[self.rng.choice(self.zones)]
                if nodes:
                    node = self.rng.choice(nodes)
                    account = self.rng.choice(accounts)
                    self.fleet.tasks.spawn(node.owner, self.send, node, account)
            while other_due >= 1:
                other_due -= 1
                for nodes in nodes_by_zone.values():
                    for node in nodes:
                        node.members.count_request()
            self.fleet.run(STEP_SECONDS)

    def caller_nodes(self, zone):
        """Return the hosts to which the first host of a zone directs callers."""
        for node in self.fleet.nodes.values():
            if node.zone != zone or self.is_frozen(node):
                continue
            nodes = []
            for host in node.members.caller_hosts(zone):
                node = self.fleet.nodes.get(host.address)
                if node is not None and not self.is_frozen(node):
                    nodes.append(node)
            return nodes
        return []

    def is_frozen(self, node):
        return node.owner in self.fleet.loop.frozen

    def send(self, node, account):
        node.members.count_request()
        outcome = node.rate_limits.admit(account, None, PATIENCE_SECONDS)
        times = self.refused_at
        if isinstance(outcome, Success):
            times = self.admitted_at
        times.append(self.fleet.now())

    def cut_zones(self, *zones):
        nodes = self.fleet.nodes.items()
        self.fleet.cut = frozenset(name for name, node in nodes if node.zone in zones)

    def holders(self):
        found = []
        for address, node in self.fleet.nodes.items():
            leases = node.kernel.find("leases")
            if leases.held_since(self.fleet.now()) is not None:
                found.append(address)
        return found

    def most_in_window(self):
        most = first = 0
        for last, at in enumerate(self.admitted_at):
            while self.admitted_at[first] <= at - WINDOW:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_share(self, since):
        refused = sum(at >= since for at in self.refused_at)
        admitted = sum(at >= since for at in self.admitted_at)
        return refused / max(refused + admitted, 1)


def draw_fault(fleet, started):
    """Have something happen to the hosts, the network between them or the store."""
    addresses = sorted(fleet.fleet.nodes)
    fault = fleet.rng.randrange(9)
    fleet.fleet.loop.frozen.clear()
    if fault == 0:
        fleet.cut_zones(*(zone for zone in ZONES if fleet.rng.random() < 0.5))
    elif fault == 1:
        size = fleet.rng.randrange(1, len(addresses))
        fleet.fleet.cut = frozenset(fleet.rng.sample(addresses, size))
    elif fault == 2:
        fleet.fleet.cut = frozenset()
    elif fault == 3:
        for address in fleet.rng.sample(addresses, 3):
            fleet.restart(address)
    elif fault == 4:
        for address in fleet.rng.sample(addresses, 2):
            fleet.fleet.loop.frozen.add(fleet.fleet.nodes[address].owner)
    elif fault == 5:
        fleet.content.is_down = fleet.rng.random() < 0.3
    elif fault == 6:
        started.append(started[-1] + 1)
        fleet.start(started[-1])
    elif fault == 7:
        for address in fleet.holders():
            fleet.fleet.nodes[address].kernel.find("leases").end()
    elif len(addresses) > 6:
        fleet.fleet.kill(fleet.rng.choice(addresses))


@pytest.mark.parametrize("seconds", [4.0, 15.0, 40.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_zone_back_from_a_cut_does_not_grant_the_rate_again(seed, seconds):
    """Guards against review/15, also for cuts that outlast what hosts remember."""
    fleet = RateFleet(12, seed)
    fleet.cut_zones("b")
    fleet.run(seconds - 3.0, 60.0)
    fleet.run(3.0, 900.0)
    fleet.cut_zones()
    fleet.run(7.0, 900.0)
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize("seed", [1, 2])
def test_cut_under_load_does_not_grant_the_rate_twice(seed):
    """Guards against sides that use the whole rate until they miss each other."""
    fleet = RateFleet(12, seed)
    fleet.run(6.0, 900.0)
    fleet.cut_zones("b")
    fleet.run(8.0, 900.0)
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize("hosts, seed", DRAWN)
def test_drawn_faults_do_not_grant_the_rate_twice(seed, hosts):
    fleet = RateFleet(hosts, seed)
    started = [hosts]
    for _ in range(12):
        draw_fault(fleet, started)
        seconds = 0.5 + 4.0 * fleet.rng.random()
        fleet.run(seconds, fleet.rng.choice((60.0, 300.0, 900.0)))
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize("hosts", [6, 12, 44])
def test_account_below_its_limit_is_rarely_refused_on_a_calm_day(hosts):
    """Guards against parts that don't follow where the requests come."""
    fleet = RateFleet(hosts, 1)
    since = fleet.fleet.now()
    fleet.run(20.0, 0.9 * LIMIT / WINDOW)
    assert not fleet.refused_share(since)
    since = fleet.fleet.now()
    fleet.run(20.0, 0.97 * LIMIT / WINDOW)
    assert fleet.refused_share(since) <= 0.01


def test_hot_account_gets_its_rate():
    fleet = RateFleet(12, 1)
    since = fleet.fleet.now()
    fleet.run(20.0, 7.5 * ACCOUNT.rate)
    used = sum(at >= since for at in fleet.admitted_at)
    assert used >= 0.95 * ACCOUNT.rate * 20.0
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize("share", [0.3, 0.6])
def test_loss_of_a_zone_is_not_felt_by_accounts_well_below_their_limit(share):
    """Guards against parts that dead hosts keep."""
    fleet = RateFleet(12, 1)
    fleet.run(6.0, share * LIMIT / WINDOW)
    for address, node in list(fleet.fleet.nodes.items()):
        if node.zone == "b":
            fleet.fleet.kill(address)
    fleet.zones = ("a", "c")
    since = fleet.fleet.now()
    fleet.run(2 * PART_SECONDS, share * LIMIT / WINDOW)
    assert not fleet.refused_share(since)


def test_whole_rate_can_be_used_some_time_after_a_zone_was_lost():
    """Guards against hosts that are never forgotten."""
    fleet = RateFleet(12, 1)
    fleet.run(6.0, 0.9 * LIMIT / WINDOW)
    for address, node in list(fleet.fleet.nodes.items()):
        if node.zone == "b":
            fleet.fleet.kill(address)
    fleet.zones = ("a", "c")
    fleet.run(FULL_SECONDS, 0.9 * LIMIT / WINDOW)
    since = fleet.fleet.now()
    fleet.run(10.0, 0.9 * LIMIT / WINDOW)
    assert not fleet.refused_share(since)


def test_zone_that_was_away_for_long_gets_its_requests_admitted_again():
    """Guards against hosts that starve once their parts have ended."""
    fleet = RateFleet(12, 1)
    fleet.cut_zones("b")
    fleet.run(2 * PART_SECONDS, 60.0)
    fleet.cut_zones()
    fleet.run(6.0, 60.0)
    since = fleet.fleet.now()
    fleet.run(10.0, 60.0)
    assert not fleet.refused_share(since)


@pytest.mark.parametrize("seed", [1, 2])
def test_accounts_keep_their_rate_while_the_store_is_away(seed):
    """Guards against parts that end while nobody can deal out others."""
    fleet = RateFleet(12, seed)
    fleet.run(6.0, 60.0)
    fleet.content.is_down = True
    since = fleet.fleet.now()
    fleet.run(PART_SECONDS + 20.0, 60.0)
    assert fleet.refused_share(since) <= 0.01
    fleet.run(3.0, 900.0)
    fleet.content.is_down = False
    fleet.run(10.0, 900.0)
    assert fleet.most_in_window() <= ALLOWED


def test_many_accounts_are_admitted():
    """Guards against asks that hold the first accounts only."""
    fleet = RateFleet(12, 1)
    accounts = [ACCOUNT._replace(id=f"account-{number}") for number in range(300)]
    fleet.run(4.0, 600.0, accounts)
    since = fleet.fleet.now()
    fleet.run(10.0, 600.0, accounts)
    assert not fleet.refused_share(since)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 8.0),
            st.integers(0, 4),
            st.integers(0, 2 * WHOLE),
            st.sampled_from(["ask", "ask", "lost", "late", "restart", "lease"]),
        ),
        max_size=80,
    )
)
def test_parts_of_all_hosts_add_up_to_one_at_most(steps):
    """Asks and responses are lost, late or repeated, hosts restart, leases change."""
    kernel, clock, _ = create_host()
    pools = rate_pools.create(kernel, WINDOW)
    held_since = clock.time - 3600.0
    parts, sent_at, number, late = {}, {}, {}, {}
    incarnation = dict.fromkeys(range(5), 1)
    for seconds, host, wanted, step in steps:
        clock.time += seconds
        if step == "lease":
            held_since = clock.time
        if step == "restart":
            incarnation[host] += 1
            parts[host] = 0
        if clock.time - sent_at.get(host, clock.time) >= PART_SECONDS:
            parts[host] = 0
        number[host] = number.get(host, 0) + 1
        held = parts.get(host, 0)
        want = RateWant("acme", held, held, wanted)
        ask = RateAsk(number[host], incarnation[host], (want,))
        granted = pools.answer(f"h{host}", ask, clock.time, held_since)
        if step == "late" and host in late:
            # Asks that are repeated or come late change nothing.
            assert not pools.answer(f"h{host}", late[host], clock.time, held_since)
        late[host] = ask
        if step != "lost":
            parts[host], sent_at[host] = granted[0].part, clock.time
        held_parts = [
            part
            for host, part in parts.items()
            if clock.time - sent_at[host] < PART_SECONDS
        ]
        assert sum(held_parts) <= WHOLE
