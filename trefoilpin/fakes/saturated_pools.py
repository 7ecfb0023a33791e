"""Simulated hosts whose requests compete for one pool, with stale counts between them.

The real queues and usage counts of each host run on simulated time. Hosts report their
requests in flight and the service of accounts to each other every 0.1 s within a zone
and every 0.4 s between zones; a share of the reports is lost.
"""

import random
from collections import deque
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway.admission import account_usage, pool_pressure, queues
from trefoilpin.gateway.balancing.pool_refusals import SATURATED
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import Events

__all__ = ["Load", "Outcome", "PoolFleet", "PoolSettings"]

POOL = "p"
ZONE_PERIOD_SECONDS = 0.1
CROSS_ZONE_PERIOD_SECONDS = 0.4
STEP_SECONDS = 0.2
LATENCY_SECONDS = 0.01


class PoolSettings(NamedTuple):
    """Size of the pool and of the fleet.

    Attributes
    ----------
    slots : int
    zone_by_host : tuple of str
    lost : float
        Share of the reports that do not arrive.
    is_naive : bool
        Whether requests are served in order of arrival at their host.
    seed : int
    """

    slots: int
    zone_by_host: tuple[str, ...] = ("a",)
    lost: float = 0.0
    is_naive: bool = False
    seed: int = 1


class Load(NamedTuple):
    """Requests of one account to one host.

    Attributes
    ----------
    account : str
    rate : float
        Requests a second.
    seconds : float
        Time for which a request holds a slot.
    host, priority : int
    timeout : float
        Seconds.
    start, end : float
        Seconds from the start of the simulation.
    is_paced : bool
        Whether requests are sent at even intervals; they are random by default.
    """

    account: str
    rate: float
    seconds: float
    host: int = 0
    priority: int = 1
    timeout: float = 3.0
    start: float = 0.0
    end: float = 30.0
    is_paced: bool = False


class Outcome(NamedTuple):
    """What became of a request.

    Attributes
    ----------
    load : Load
    arrived_at : float
        Seconds from the start of the simulation.
    waited : float
        Seconds until it was sent or rejected.
    is_served : bool
    """

    load: Load
    arrived_at: float
    waited: float
    is_served: bool


class PoolHost:
    """One host: its services, its requests in flight, and what others report."""

    def __init__(self, kernel, zone, queue_service):
        self.kernel = kernel
        self.zone = zone
        self.queues = queue_service
        self.account_usage = kernel.find("account_usage")
        self.in_flight = 0
        self.in_flight_by_host: dict[int, int] = {}


class PoolFleet:
    """Hosts and the pool that they share."""

    def __init__(self, settings):
        self.settings = settings
        self.loop = LoopState(settings.seed)
        self.rng = random.Random(settings.seed)
        self.tasks = create_tasks(self.loop)
        self.started_at = self.loop.now
        self.busy_slots = 0
        self.busy_seconds = 0.0
        self.upstream_queue: deque = deque()
        self.outcomes: list[Outcome] = []
        self.hosts = [self.create_host(zone) for zone in settings.zone_by_host]
        for number, host in enumerate(self.hosts):
            self.tasks.spawn(None, self.step, host)
            for other_number, other in enumerate(self.hosts):
                if other is not host:
                    self.tasks.spawn(None, self.report, number, other_number)

    def create_host(self, zone):
        clock = Clock(lambda: self.loop.now, lambda: self.loop.now, self.tasks.sleep)
        spawn = partial(self.tasks.spawn, None)
        kernel = create_kernel(clock, spawn, random.Random(self.rng.random()))
        kernel.register("events", Events(lambda event, **fields: None, lambda: None))
        metrics.create(kernel)
        account_usage.create(kernel)
        pool_pressure.create(kernel)
        return PoolHost(kernel, zone, queues.create(kernel, self.tasks.create_event))

    def step(self, host):
        while True:
            self.tasks.sleep(STEP_SECONDS)
            host.queues.wake()

    def report(self, number, other_number):
        """Send reports from one host to another forever."""
        host, other = self.hosts[number], self.hosts[other_number]
        is_same_zone = host.zone == other.zone
        period = ZONE_PERIOD_SECONDS if is_same_zone else CROSS_ZONE_PERIOD_SECONDS
        while True:
            self.tasks.sleep(period * (0.8 + 0.4 * self.rng.random()))
            if self.rng.random() < self.settings.lost:
                continue
            reports, in_flight = host.account_usage.reports(), host.in_flight
            self.tasks.spawn(None, self.deliver, number, other, in_flight, reports)

    def deliver(self, number, other, in_flight, reports):
        self.tasks.sleep(LATENCY_SECONDS)
        other.in_flight_by_host[number] = in_flight
        other.account_usage.merge(str(number), reports)
        other.queues.wake()

    def choose(self, host):
        known = host.in_flight + sum(host.in_flight_by_host.values())
        if known >= self.settings.slots:
            return SATURATED
        host.in_flight += 1
        return Success(None)

    def serve(self, seconds):
        """Hold a slot; requests beyond the slots wait at the upstreams."""
        if self.busy_slots >= self.settings.slots:
            event = self.tasks.create_event()
            self.upstream_queue.append(event)
            event.wait()
        else:
            self.busy_slots += 1
        self.tasks.sleep(seconds)
        self.busy_seconds += seconds
        if self.upstream_queue:
            self.upstream_queue.popleft().send()
        else:
            self.busy_slots -= 1

    def request(self, load):
        host = self.hosts[load.host]
        arrived_at = self.loop.now
        deadline = arrived_at + load.timeout
        request = queues.QueueRequest(
            load.priority, deadline, deadline, load.seconds, load.account
        )
        if self.settings.is_naive:
            request = request._replace(priority=0, account="")
        outcome = host.queues.enter(
            POOL, request, lambda: self.choose(host), lambda: False
        )
        waited = self.loop.now - arrived_at
        is_served = not isinstance(outcome, Failure)
        self.outcomes.append(
            Outcome(load, arrived_at - self.started_at, waited, is_served)
        )
        if not is_served:
            return
        sent_at = self.loop.now
        self.serve(load.seconds)
        host.in_flight -= 1
        host.queues.notify_release(
            POOL,
            queues.Release(request.account, self.loop.now - sent_at, load.seconds),
        )

    def send_all(self, load):
        rng = random.Random(f"{self.settings.seed} {load}")
        self.tasks.sleep(load.start + rng.random() / load.rate)
        while self.loop.now - self.started_at < load.end:
            interval = 1.0 / load.rate if load.is_paced else rng.expovariate(load.rate)
            self.tasks.sleep(interval)
            self.tasks.spawn(None, self.request, load)

    def run(self, loads, seconds=30.0):
        """Run loads; return the outcomes."""
        for load in loads:
            self.tasks.spawn(None, self.send_all, load)
        self.tasks.run(self.started_at + seconds)
        return self.outcomes
