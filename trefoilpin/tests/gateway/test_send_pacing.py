"""Replay of a pool that sheds 55% of its requests, over the services of one host."""

import random

import pytest
from returns.result import Success

from trefoilpin import metrics
from trefoilpin.fakes import local_retries
from trefoilpin.fakes.gateways import (
    ROUTE,
    configuration,
    create_document_cache,
    table,
    upstream,
)
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway.admission import (
    account_usage,
    poison_requests,
    pool_pressure,
    queues,
    rate_limits,
    send_pacing,
)
from trefoilpin.gateway.admission.pool_pressure import SendCounts
from trefoilpin.gateway.admission.send_pacing import (
    Pace,
    is_pool_shedding,
    next_pace,
    reserved_retries,
)
from trefoilpin.gateway.balancing import upstreams
from trefoilpin.gateway.fleet import members
from trefoilpin.gateway.requests import dispatchers, first_documents, proxies, routing
from trefoilpin.gateway.requests.proxies import IncomingRequest
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.messages import Answer, Attempt, CallerRequest
from trefoilpin.services import Events, Forwarders
from trefoilpin.verdicts import Verdict

REQUESTS_PER_SECOND = 60.0
WORK_SECONDS, TARGET_SECONDS, TIMEOUT_SECONDS = 0.465, 2.05, 3.0
FAULT_FROM, FAULT_SECONDS, SECONDS = 4.0, 8.5, 15.0
SHED_SHARE = 0.55
SHED_SECONDS = 0.01
ROUTES = tuple(
    ROUTE._replace(
        id=f"r{priority}",
        prefix=f"/{priority}/",
        priority=priority,
        is_open=True,
        timeout=TIMEOUT_SECONDS,
        target=TARGET_SECONDS,
        max_attempts=3,
    )
    for priority in range(3)
)


class Replay:
    """A host whose pool sheds by chance, or what exceeds its capacity."""

    def __init__(self, is_random, is_paced, seed):
        self.loop = LoopState(seed)
        self.rng = random.Random(seed)
        self.is_random = is_random
        self.tasks = create_tasks(self.loop)
        self.started_at = self.loop.now
        self.running = self.sends = self.sheds = self.late = 0
        self.served = {priority: [] for priority in range(3)}
        self.create_host(is_paced)

    def create_host(self, is_paced):
        def now():
            return self.loop.now

        kernel = create_kernel(
            Clock(now, now, self.tasks.sleep),
            lambda *task: self.tasks.spawn("h", *task),
            self.rng,
        )
        kernel.register("events", Events(lambda *event, **fields: None, lambda: None))
        metrics.create(kernel)
        _, put = create_document_cache(kernel)
        members.create(kernel, members.OwnHost("10.1.0.1", "a", "r", 1, 9.0), now)
        routing.create(kernel)
        settings = rate_limits.RateLimitSettings(True, 1, 5.0, 1)
        rate_limits.create(kernel, settings, lambda: (1, 1))
        poison_requests.create(kernel)
        local_retries.create(kernel, 0.15, 0.25, 3.0)
        pool_pressure.create(kernel)
        send_pacing.create(kernel, is_paced)
        account_usage.create(kernel)
        queues.create(kernel, self.tasks.create_event)
        upstreams.create(kernel, "a", lambda: 1)
        kernel.register("forwarders", Forwarders(self.exchange))
        dispatch_settings = dispatchers.DispatchSettings(9.0, "x-account", "x-expected")
        dispatchers.create(kernel, dispatch_settings, self.tasks.create_event)
        first_documents.create(kernel, self.tasks.create_event)
        self.proxies = proxies.create(kernel)
        put(CONFIGURATION, 1, configuration(ROUTES))
        entries = (upstream(number, slots=6) for number in range(1, 46))
        put(UPSTREAMS, 1, table(*entries))

    def is_faulty(self):
        elapsed = self.loop.now - self.started_at
        return FAULT_FROM <= elapsed < FAULT_FROM + FAULT_SECONDS

    def exchange(
        self, chosen, request, deadline, idempotent, headers, is_new, send_by, decoys
    ):
        is_counted = self.is_faulty()
        self.sends += is_counted
        capacity = REQUESTS_PER_SECOND * WORK_SECONDS * (1 - SHED_SHARE)
        is_shed = is_counted and (
            self.rng.random() < SHED_SHARE
            if self.is_random
            else self.running >= capacity
        )
        if is_shed:
            self.sheds += 1
            self.tasks.sleep(SHED_SECONDS)
            shed = Answer(503, (), b"")
            return Attempt(Verdict.NOT_RUN, shed, None, "", SHED_SECONDS, shed=True)
        self.running += 1
        seconds = WORK_SECONDS * (0.7 + 0.6 * self.rng.random())
        self.tasks.sleep(seconds)
        self.running -= 1
        return Attempt(Verdict.RAN, Answer(200, (), b""), None, "", seconds)

    def call(self, number, priority):
        """Send a request and follow the times to return while they can be followed."""
        arrived_at = self.loop.now
        deadline = arrived_at + TIMEOUT_SECONDS
        is_served = False
        while self.loop.now < deadline:
            path = f"/{priority}/{number}"
            seconds_left = deadline - self.loop.now
            request = CallerRequest(
                "id", "POST", "h", path, "", (), b"", "c", self.loop.now, lambda: False
            )
            outcome = self.proxies.handle(IncomingRequest(request, None, seconds_left))
            if isinstance(outcome, Success):
                is_served = True
                self.late += self.loop.now - arrived_at > TARGET_SECONDS
                break
            retry_after = outcome.failure().retry_after
            if retry_after is None or retry_after > (deadline - self.loop.now) / 3:
                break
            self.tasks.sleep(retry_after)
        elapsed = arrived_at - self.started_at
        if FAULT_FROM <= elapsed < FAULT_FROM + FAULT_SECONDS:
            self.served[priority].append(is_served)

    def run(self):
        for number in range(int(REQUESTS_PER_SECOND * SECONDS)):
            self.tasks.run(self.started_at + number / REQUESTS_PER_SECOND)
            priority = self.rng.choices(range(3), (15, 70, 15))[0]
            self.tasks.spawn("h", self.call, number, priority)
        self.tasks.run(self.started_at + SECONDS + TIMEOUT_SECONDS)
        return self

    def figures(self):
        shares = [sum(rows) / len(rows) for rows in self.served.values()]
        served = sum(sum(rows) for rows in self.served.values())
        return self.sends, self.sheds, served, shares, self.late


def replay(is_random, is_paced):
    """Return sends, sheds, served requests and shares by priority of three replays."""
    rows = [Replay(is_random, is_paced, seed).run().figures() for seed in range(1, 4)]
    sends, sheds, served = [sum(row[index] for row in rows) for index in range(3)]
    shares = [sum(row[3][priority] for row in rows) / 3 for priority in range(3)]
    return sends, sheds, served, shares


def test_pool_that_sheds_what_exceeds_its_capacity_sheds_less_when_paced():
    """Guards against sends that a full pool sheds, and against lost capacity."""
    _, sheds_before, served_before, _ = replay(False, False)
    _, sheds, served, shares = replay(False, True)
    assert sheds <= 0.95 * sheds_before
    assert served >= 0.97 * served_before
    assert shares[0] >= shares[1] >= shares[2] and shares[0] >= 0.95


def test_pool_that_sheds_by_chance_is_soon_sent_to_as_before():
    """Guards against sends held back from a pool that would serve them.

    The short time in which the lower rate is tried costs some requests.
    """
    _, _, served_before, _ = replay(True, False)
    _, _, served, shares = replay(True, True)
    assert served >= 0.95 * served_before
    assert shares[0] >= shares[1] >= shares[2] and shares[0] >= 0.95


def test_sheds_of_single_upstreams_are_no_shedding_of_the_pool():
    """Guards against a pool that is paced because of one bad upstream."""
    assert is_pool_shedding(SendCounts(40, 20, 20, 15, 0.9))
    assert not is_pool_shedding(SendCounts(40, 20, 20, 2, 0.9))
    assert not is_pool_shedding(SendCounts(40, 20, 20, 6, 0.9))
    assert not is_pool_shedding(SendCounts(40, 4, 20, 15, 0.9))
    assert not is_pool_shedding(SendCounts(8, 8, 8, 8, 0.9))
    assert not is_pool_shedding(SendCounts(40, 20, 20, 15, 0.1))


def test_pace_is_lowered_while_that_helps_and_raised_in_steps():
    lowered = next_pace(Pace(100.0), 40, 22)
    assert lowered == Pace(pytest.approx(65.0), 100.0, 0.55)
    assert next_pace(lowered, 40, 22) is None
    again = next_pace(lowered, 40, 12)
    assert again.rate < lowered.rate and again.base_rate == 100.0
    raised = next_pace(again, 40, 2)
    assert raised.rate > again.rate and raised.base_rate is None
    pace = raised
    for _ in range(3):
        pace = next_pace(pace, 40, 0)
    assert pace is None


def test_retries_are_left_to_urgent_requests_with_little_time():
    """Guards against a budget spent on requests that can still come back."""
    assert reserved_retries(0, 1.0, 0.5) < reserved_retries(0, 2.0, 0.5)
    assert reserved_retries(0, 2.0, 0.5) < reserved_retries(1, 1.0, 0.5)
    assert reserved_retries(1, 2.0, 0.5) < reserved_retries(2, 1.0, 0.5)
    assert reserved_retries(0, 0.2, 0.5) == float("inf")
