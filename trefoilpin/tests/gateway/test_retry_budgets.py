"""Retries of a whole fleet stay within its budget."""

import gc
import random
from types import SimpleNamespace

import eventlet.event
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.fakes.gateway_fleets import (
    RETRY_BOUNDS,
    Fleet,
    FleetSettings,
    StoreContent,
)
from trefoilpin.fakes.gateways import create_host
from trefoilpin.gateway.admission import retry_budgets, retry_pools
from trefoilpin.gateway.admission.retry_budgets import TOKEN_SECONDS, PoolBudget
from trefoilpin.gateway.admission.retry_pools import (
    GrantedRetries,
    RetryAsk,
    RetryBounds,
    RetryGrant,
    RetryWant,
)
from trefoilpin.gateway.admission.send_pacing import RESERVED_RETRIES_BY_PRIORITY
from trefoilpin.gateway.requests import retry_decisions
from trefoilpin.gateway.store.leases import LEASE_SECONDS

POOL = "p"
WAIT_SECONDS = 0.4
WINDOW = RETRY_BOUNDS.window
SPAN = WINDOW + TOKEN_SECONDS
SETTLE_SECONDS = 6.0


class RetryFleet:
    """A fleet whose hosts get requests, of which some need retries.

    Attributes
    ----------
    requests, retries : list of float
        Times of the requests for the pool, and at which retries were sent.
    """

    def __init__(self, hosts, request_seconds, seed=1, lost=0.0, is_first_start=False):
        self.content = StoreContent()
        fleet_settings = FleetSettings(
            lost=lost, seed=seed, is_first_start=is_first_start
        )
        self.fleet = Fleet(fleet_settings, self.content)
        self.rng = random.Random(seed)
        self.request_seconds = request_seconds
        self.failing, self.fails_after = 0.0, 0.0
        self.requests, self.retries = [], []
        self.lacking = 0
        for number in range(1, hosts + 1):
            self.start(number)

    def start(self, number, incarnation=1):
        node = self.fleet.start(number, "abc"[number % 3], incarnation)
        self.fleet.tasks.spawn(node.owner, self.send_requests, node)

    def restart(self, address):
        node = self.fleet.nodes[address]
        self.fleet.kill(address)
        self.start(int(address.rpartition(".")[2]), node.owner[1] + 1)

    def send_requests(self, node):
        while True:
            self.fleet.tasks.sleep(self.rng.expovariate(1.0 / self.request_seconds))
            node.members.count_request()
            self.fleet.tasks.spawn(node.owner, self.send_request, node)

    def send_request(self, node):
        """Send a request, which may fail and is then sent again, once."""
        budgets = node.kernel.find("retry_budgets")
        budgets.deposit(POOL)
        self.requests.append(self.fleet.now())
        if self.rng.random() >= self.failing:
            return
        self.fleet.tasks.sleep(self.fails_after)
        send_by = budgets.withdraw(POOL, 0.0, WAIT_SECONDS)
        if send_by is None:
            self.lacking += 1
            return
        self.fleet.tasks.sleep(self.rng.choice((0.001, 0.3)))
        if self.fleet.now() < send_by:
            self.retries.append(self.fleet.now())

    def holders(self):
        found = []
        for address, node in self.fleet.nodes.items():
            leases = node.kernel.find("leases")
            if leases.held_since(self.fleet.now()) is not None:
                found.append(address)
        return found

    def excess(self):
        """Return the most retries in a window beyond what the bound allows.

        The requests are those of the window, of the one before it, or of the one half
        a window before it, whichever has most.
        """
        worst = float("-inf")
        for since in self.retries:
            requests = 0
            for earlier in (0.0, WINDOW / 2, WINDOW):
                first = since - earlier
                requests = max(requests, count(self.requests, first, first + WINDOW))
            allowed = RETRY_BOUNDS.share * requests + RETRY_BOUNDS.slack
            retries = count(self.retries, since, since + WINDOW)
            worst = max(worst, retries - allowed)
        return worst


def count(times, since, until):
    return sum(since <= time <= until for time in times)


@pytest.mark.parametrize("hosts", [6, 44, 100])
def test_retries_after_a_calm_time_stay_within_the_budget(hosts):
    """Guards against a balance of each host beside the refill of a window."""
    fleet = RetryFleet(hosts, hosts / 20.0)
    fleet.fleet.run(SETTLE_SECONDS + SPAN)
    fleet.failing = 1.0
    fleet.fleet.run(WINDOW)
    assert fleet.retries and fleet.excess() <= 0.0


def draw_fault(fleet):
    """Have something happen to the hosts, the network between them or the store."""
    addresses = sorted(fleet.fleet.nodes)
    fault = fleet.rng.randrange(7)
    if fault == 0:
        size = fleet.rng.randrange(len(addresses))
        fleet.fleet.cut = frozenset(fleet.rng.sample(addresses, size))
    elif fault == 1:
        fleet.fleet.cut = frozenset()
    elif fault == 2:
        fleet.restart(fleet.rng.choice(addresses))
    elif fault == 3:
        owner = fleet.fleet.nodes[fleet.rng.choice(addresses)].owner
        fleet.fleet.loop.frozen ^= {owner}
    elif fault == 4:
        fleet.content.is_down = fleet.rng.random() < 0.3
    elif fault == 5:
        for address in fleet.holders():
            fleet.fleet.nodes[address].kernel.find("leases").end()
    elif fault == 6:
        for address in fleet.holders():
            fleet.restart(address)


@pytest.mark.parametrize("seed", range(8))
def test_retries_stay_within_the_budget_whatever_hosts_know_of_each_other(seed):
    """Guards against a budget that each host keeps by its own view (issue 47)."""
    rng = random.Random(seed)
    fleet = RetryFleet(
        rng.choice((6, 12)), rng.choice((0.1, 0.6)), seed, rng.choice((0.0, 0.1))
    )
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS)
    for _ in range(14):
        fleet.failing = fleet.rng.choice((0.0, 0.3, 1.0))
        fleet.fleet.run(fleet.rng.choice((0.5, 2.0, 5.0)))
        draw_fault(fleet)
    assert fleet.retries and fleet.excess() <= 0.0


def test_single_request_that_fails_is_sent_again():
    fleet = RetryFleet(12, 5.0)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    fleet.failing = 1.0
    fleet.fleet.run(10.0)
    assert len(fleet.retries) > 10 and not fleet.lacking


def test_single_request_that_fails_in_a_new_system_is_sent_again():
    """Guards against a system that has no retries in its first seconds."""
    fleet = RetryFleet(3, 0.8, is_first_start=True)
    fleet.failing = 1.0
    fleet.fleet.run(4.0)
    assert len(fleet.retries) > 5 and fleet.lacking <= 2


def test_hosts_use_their_own_part_while_nobody_grants():
    fleet = RetryFleet(6, 0.02)
    fleet.fleet.run(SETTLE_SECONDS)
    fleet.content.is_down = True
    fleet.fleet.run(LEASE_SECONDS + 2.0)
    fleet.failing = 1.0
    since = fleet.fleet.now()
    fleet.fleet.run(5.0)
    requests = count(fleet.requests, since, since + 5.0)
    share = len(fleet.retries) / requests
    # A burst after a calm time may use half of a window's retries at once.
    assert 0.75 * RETRY_BOUNDS.share < share < 2.0 * RETRY_BOUNDS.share
    assert fleet.excess() <= 0.0


def spread(fleet, number):
    """Return the host that gets a request."""
    nodes = list(fleet.fleet.nodes.values())
    return nodes[number % len(nodes)]


def call(fleet, node, reserved=0.0, seconds=WAIT_SECONDS):
    """Withdraw a retry at a host in a task; return a list that gets the result."""
    results = []

    def run():
        budgets = node.kernel.find("retry_budgets")
        started_at = fleet.fleet.now()
        send_by = budgets.withdraw(POOL, reserved, seconds)
        results.append((send_by, fleet.fleet.now() - started_at))

    fleet.fleet.tasks.spawn(node.owner, run)
    return results


def stop_holders(fleet):
    """Have the holder of the lease stop, as in a planned shutdown."""
    for address in fleet.holders():
        node = fleet.fleet.nodes[address]
        node.members.stop()
        node.kernel.find("leases").end()


def create_calm_fleet(hosts=12):
    fleet = RetryFleet(hosts, 1e9, is_first_start=True)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS)
    return fleet


def test_planned_change_of_the_holder_leaves_the_fleet_its_retries():
    """Guards against seconds without retries after each stop in a rolling restart."""
    fleet = create_calm_fleet()
    for _ in range(3):
        asked = call(fleet, spread(fleet, 5))
        fleet.fleet.run(0.5)
        assert asked[0][0] is not None
        stop_holders(fleet)
        fleet.fleet.run(1.0)


def test_counts_are_handed_over_with_the_lease():
    """Guards against holders that each grant the whole slack."""
    fleet = create_calm_fleet()
    granted = []
    for round_number in range(4):
        for number in range(60):
            granted.append(call(fleet, spread(fleet, number + round_number)))
        fleet.fleet.run(1.5)
        stop_holders(fleet)
    fleet.fleet.run(1.0)
    taken = [result for result in granted if result[0][0] is not None]
    assert 50 <= len(taken) <= RETRY_BOUNDS.slack


def test_an_ask_that_arrives_twice_pays_once():
    kernel, clock, _ = create_host()
    pools = retry_pools.create(
        kernel, RetryBounds(1.0, 0.0, WINDOW), TOKEN_SECONDS, lambda: None
    )
    ask = RetryAsk(7, (RetryWant(POOL, 1, 0.0, (2, 2)),))
    held_since = clock.time
    clock.time += 3.0
    (granted,) = pools.answer(ask, clock.time, held_since)
    assert granted.tokens == 1 and pools.answer(ask, clock.time, held_since) == ()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 6.0),
            st.integers(1, 8),
            st.lists(st.integers(0, 30), max_size=9),
            st.integers(0, 20),
        ),
        max_size=60,
    )
)
def test_grants_of_any_window_are_paid_by_given_requests_and_the_slack(steps):
    """They are sent as late as they may be, or at once."""
    kernel, clock, _ = create_host()
    bounds = RetryBounds(0.2, 9.0, WINDOW)
    pools = retry_pools.create(kernel, bounds, TOKEN_SECONDS, lambda: None)
    held_since = clock.time
    requests, granted = [], []
    for seconds, tokens, counts, lease in steps:
        clock.time += seconds
        if lease == 0:
            held_since = clock.time
        ask = RetryAsk(len(granted), (RetryWant(POOL, tokens, 0.0, tuple(counts)),))
        (answered,) = pools.answer(ask, clock.time, held_since)
        requests.extend((clock.time - age, n) for age, n in enumerate(counts))
        granted.append((clock.time, answered.tokens))
    for since, _ in granted:
        taken = sum(n for time, n in granted if since <= time <= since + SPAN)
        first = since + TOKEN_SECONDS - WINDOW
        paying = sum(n for time, n in requests if first <= time <= since + SPAN)
        assert taken <= bounds.share * paying / 2 + bounds.slack + 1e-6


def send_burst(fleet, requests):
    """Have requests begin in 0.4 s that fail 0.5 s after they began."""
    nodes = list(fleet.fleet.nodes.values())

    def send(node, seconds):
        budgets = node.kernel.find("retry_budgets")
        fleet.fleet.tasks.sleep(seconds)
        budgets.deposit(POOL)
        fleet.requests.append(fleet.fleet.now())
        fleet.fleet.tasks.sleep(0.5)
        if budgets.withdraw(POOL, 0.0, WAIT_SECONDS) is not None:
            fleet.retries.append(fleet.fleet.now())

    for number in range(requests):
        node = nodes[number % len(nodes)]
        fleet.fleet.tasks.spawn(node.owner, send, node, 0.4 * number / requests)


@pytest.mark.parametrize("hosts, requests", [(1, 1000), (6, 300)])
def test_retries_of_two_bursts_stay_within_the_share_of_one(hosts, requests):
    """Guards against a window that has the retries of requests before it."""
    fleet = RetryFleet(hosts, 1e9)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    send_burst(fleet, requests)
    fleet.fleet.run(WINDOW - 0.5)
    send_burst(fleet, requests)
    fleet.fleet.run(3.0)
    assert fleet.retries and fleet.excess() <= 0.0


def test_urgent_requests_get_the_retries_that_others_leave_to_them():
    """Guards against reserves that only the host that asks knows."""
    fleet = RetryFleet(12, 0.6)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    nodes = list(fleet.fleet.nodes.values())
    urgent = []

    def withdraw(node, reserved, found):
        budgets = node.kernel.find("retry_budgets")
        found.append(budgets.withdraw(POOL, reserved, WAIT_SECONDS))

    low = []
    reserved = RESERVED_RETRIES_BY_PRIORITY[-1]
    for number in range(150):
        node = nodes[number % len(nodes)]
        fleet.fleet.tasks.spawn(node.owner, withdraw, node, reserved, low)
        fleet.fleet.run(0.02)
    fleet.fleet.run(1.0)
    for node in nodes[: int(reserved)]:
        fleet.fleet.tasks.spawn(node.owner, withdraw, node, 0.0, urgent)
    fleet.fleet.run(1.0)
    assert None in low and None not in urgent


def test_retry_that_waited_in_the_queue_is_sent_when_the_fleet_has_retries():
    """Guards against requests that are given up when their turn has come."""
    fleet = RetryFleet(6, 1e9)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    node = fleet.fleet.nodes["10.0.0.1"]
    decisions = retry_decisions.create(node.kernel)
    found = []

    def wait_in_queue():
        budgets = node.kernel.find("retry_budgets")
        retry_by = budgets.withdraw(POOL, 0.0, WAIT_SECONDS)
        deadline = fleet.fleet.now() + 5.0
        context = SimpleNamespace(
            pool=POOL,
            deadline=deadline,
            typical_seconds=0.1,
            priority=0,
            retry_by=retry_by,
        )
        fleet.fleet.tasks.sleep(TOKEN_SECONDS + 0.1)
        found.extend((retry_by is not None, decisions.may_send(context)))

    fleet.fleet.tasks.spawn(node.owner, wait_in_queue)
    fleet.fleet.run(5.0)
    assert found == [True, True]


def test_requests_do_not_wait_while_it_is_known_that_nobody_grants():
    """Guards against asks that are too rare to tell that no host responds."""
    fleet = RetryFleet(6, 1e9)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    fleet.content.is_down = True
    fleet.fleet.run(10.0)
    node = fleet.fleet.nodes["10.0.0.1"]
    waits = []

    def wait():
        since = fleet.fleet.now()
        node.kernel.find("retry_budgets").withdraw(POOL, 0.0, WAIT_SECONDS)
        waits.append(fleet.fleet.now() - since)

    for _ in range(10):
        fleet.fleet.tasks.spawn(node.owner, wait)
        fleet.fleet.run(1.2)
    assert sum(waits) <= 3 * WAIT_SECONDS


def test_retries_go_on_after_the_holder_stopped():
    """Guards against a rolling restart without retries for pools with few requests."""
    fleet = RetryFleet(12, 2.4)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    fleet.failing = 0.2
    fleet.fleet.run(2.0)
    retries, lacking = len(fleet.retries), fleet.lacking
    for address in fleet.holders():
        fleet.fleet.nodes[address].kernel.find("leases").end()
    fleet.fleet.run(SPAN)
    assert len(fleet.retries) - retries > fleet.lacking - lacking


def test_each_of_many_pools_gets_its_retries():
    """Guards against pools that an ask has no room for."""
    fleet = RetryFleet(3, 1e9)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    node = fleet.fleet.nodes["10.0.0.1"]
    found = dict.fromkeys((f"pool-{number}" for number in range(140)), 0)

    def withdraw(pool):
        budgets = node.kernel.find("retry_budgets")
        found[pool] += budgets.withdraw(pool, 0.0, WAIT_SECONDS) is not None

    for _ in range(50):
        for pool in found:
            fleet.fleet.tasks.spawn(node.owner, withdraw, pool)
        fleet.fleet.run(0.1)
    fleet.fleet.run(1.0)
    assert min(found.values()) >= 10


def test_grant_that_names_a_pool_often_gives_what_was_wanted():
    """Guards against retries that count once for each mention of their pool."""
    kernel, clock, _ = create_host()
    kernel = kernel._replace(spawn=lambda function: function())
    budgets = retry_budgets.create(kernel, RETRY_BOUNDS, eventlet.event.Event)
    asks = []
    budgets.on_ask(asks.append)
    assert budgets.withdraw(POOL) is None
    granted = (GrantedRetries(POOL, 8, 0.0),) * 64
    budgets.receive(RetryGrant(asks[0].number, True, "10.0.0.1", granted))
    assert budgets.withdraw(POOL) is not None and budgets.withdraw(POOL) is None


@pytest.mark.parametrize("hosts", [1, 6])
def test_requests_that_fail_at_once_are_sent_again(hosts):
    """Guards against an upstream whose crash loses most of a host's requests."""
    fleet = RetryFleet(hosts, 0.5)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    node = fleet.fleet.nodes["10.0.0.1"]
    found = []

    def withdraw():
        budgets = node.kernel.find("retry_budgets")
        found.append(budgets.withdraw(POOL, 0.0, WAIT_SECONDS) is not None)

    for _ in range(40):
        fleet.fleet.tasks.spawn(node.owner, withdraw)
    fleet.fleet.run(2.0)
    assert found.count(True) >= 36


def test_nothing_counts_as_left_while_nobody_grants():
    """Guards against risks that are taken for the sake of a retry."""
    fleet = RetryFleet(6, 1e9)
    fleet.fleet.run(SETTLE_SECONDS + LEASE_SECONDS + SPAN)
    fleet.content.is_down = True
    node = fleet.fleet.nodes["10.0.0.1"]
    budgets = node.kernel.find("retry_budgets")
    left = []
    for _ in range(10):
        fleet.fleet.tasks.spawn(node.owner, budgets.withdraw, POOL, 0.0, WAIT_SECONDS)
        fleet.fleet.run(2.0)
        left.append(budgets.balance(POOL))
    assert max(left[-5:]) < 1.0


def test_pools_that_get_no_requests_any_more_are_forgotten():
    """Guards against memory for each pool that a configuration ever had."""
    fleet = RetryFleet(1, 1e9)
    fleet.fleet.run(SETTLE_SECONDS)
    budgets = fleet.fleet.nodes["10.0.0.1"].kernel.find("retry_budgets")
    gc.collect()
    before = count_budgets()
    for number in range(5000):
        budgets.deposit(f"pool-{number}")
    fleet.fleet.run(60.0)
    budgets.deposit(POOL)
    gc.collect()
    assert count_budgets() - before < 2500


def count_budgets():
    return sum(isinstance(found, PoolBudget) for found in gc.get_objects())


def test_holder_that_nobody_asked_hands_no_counts_over():
    """Guards against a third holder that grants what the first one did."""
    kernel, clock, _ = create_host()
    pools = retry_pools.create(kernel, RETRY_BOUNDS, TOKEN_SECONDS, lambda: None)
    held_since = clock.time
    clock.time += 1.0
    assert pools.handover(held_since) is None
    clock.time += SPAN
    assert pools.handover(held_since) == {}
