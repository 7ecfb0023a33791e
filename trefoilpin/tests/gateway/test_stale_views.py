"""Hosts whose document of upstreams is old, and upstreams that turned cold after it."""

import pytest
from returns.result import Failure, Success

from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.gateway.balancing import cold_checks, upstreams
from trefoilpin.gateway.balancing.cold_checks import KnownHosts
from trefoilpin.gateway.balancing.pool_refusals import SATURATED
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Verdict

SINGLE_ATTEMPT = RetryPolicy(False, False)
TYPICAL_SECONDS = 0.1
GOOD = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", TYPICAL_SECONDS)
COLD_RATE = 9.9
# The platform's bound on requests that a cold upstream gets in a second.
MAX_COLD_REQUESTS = COLD_RATE * 1.5 + 5
# Longest time for which an upstream that turned cold may be sent to as a warm one.
MAX_VIEW_AGE_SECONDS = 2.5
STEP_SECONDS = 0.02


def create_hosts(count):
    """Return the services and clocks of hosts that know one warm upstream.

    They can't ask it for its health.
    """
    hosts = []
    for number in range(count):
        kernel, clock, _ = create_host(number)
        _, put = create_document_cache(kernel)
        checks = cold_checks.create(kernel, "a", lambda: False)
        service = upstreams.create(kernel, "a", lambda: count, cold_checks=checks)
        put(CONFIGURATION, 1, configuration(cold_rate=COLD_RATE))
        put(UPSTREAMS, 1, table(upstream(1, slots=1000)))
        hosts.append((service, clock))
    return hosts


def pass_time(hosts, seconds):
    """Advance the clocks of hosts that hear nothing meanwhile."""
    for _, clock in hosts:
        clock.time += seconds


def worst_second(hosts, seconds, request_interval):
    """Return the most requests in any second, sent by all hosts together."""
    sent_at = []
    steps_between = max(round(request_interval / STEP_SECONDS), 1)
    for step in range(round(seconds / STEP_SECONDS)):
        for number, (service, clock) in enumerate(hosts):
            clock.time += STEP_SECONDS
            if (step + number) % steps_between:
                continue
            outcome = service.choose("p", frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS)
            if isinstance(outcome, Success):
                service.release(outcome.unwrap(), GOOD, TYPICAL_SECONDS)
                sent_at.append(step * STEP_SECONDS)
    most, first = 0, 0
    for last, time in enumerate(sent_at):
        while time - sent_at[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_hosts_cut_off_do_not_flood_an_upstream_that_turned_cold():
    worst_by_case = {}
    for count in (16, 44, 128):
        for request_interval in (0.06, 0.5):
            hosts = create_hosts(count)
            # Nothing is heard for this time; then the upstream turns cold.
            pass_time(hosts, MAX_VIEW_AGE_SECONDS + 0.1)
            worst = worst_second(hosts, 3.0, request_interval)
            worst_by_case[count, request_interval] = worst
    assert max(worst_by_case.values()) <= MAX_COLD_REQUESTS, worst_by_case


def test_hosts_that_were_paused_do_not_flood_an_upstream_that_turned_cold():
    worst_by_count = {}
    for count in (16, 44, 128):
        hosts = create_hosts(count)
        worst_second(hosts, 1.0, 0.1)
        pass_time(hosts, 10.0)
        # Their callers' requests were waiting.
        worst_by_count[count] = worst_second(hosts, 1.0, STEP_SECONDS)
    assert max(worst_by_count.values()) <= MAX_COLD_REQUESTS, worst_by_count


class Zone:
    """Hosts of one zone with old documents, their upstreams, and what they sent.

    Every host has requests. A question is answered within a step. Hosts hear each other
    if ``hears_zone``, and know whether the store is away for all hosts.

    Attributes
    ----------
    cold_from, cold_until : float
        Seconds from the start between which the upstreams are cold.
    """

    def __init__(self, host_count, senders, is_store_away=False, hears_zone=True):
        self.time = 0.0
        self.hears_zone = hears_zone
        self.cold_from = self.cold_until = float("inf")
        self.hosts = []
        self.asked_at, self.sent_to_cold_at = [], []
        self.served = self.refused = 0
        entries = table(*(upstream(number, slots=1000) for number in range(1, 12)))
        pool = configuration(cold_rate=COLD_RATE).pool_by_id["p"]
        value = configuration()._replace(
            pool_by_id={"p": pool._replace(health_path="/healthz")}
        )
        for number in range(host_count):
            kernel, clock, _ = create_host(number)
            _, put = create_document_cache(kernel)
            is_sender = number < senders
            known = KnownHosts(host_count, host_count, number, number)
            checks = cold_checks.create(
                kernel,
                "a",
                lambda: is_store_away,
                lambda is_sender=is_sender: is_sender,
                lambda known=known: known,
            )
            # Outside the mesh no host sends to upstreams that it knows to be cold.
            service = upstreams.create(
                kernel, "a", lambda: 1, lambda: False, cold_checks=checks
            )
            put(CONFIGURATION, 1, value)
            put(UPSTREAMS, 1, entries)
            self.hosts.append((service, checks, clock))

    def run(self, seconds, request_interval):
        """Let time pass; each host has a request in each interval."""
        steps_between = max(round(request_interval / STEP_SECONDS), 1)
        for step in range(round(seconds / STEP_SECONDS)):
            self.time += STEP_SECONDS
            for number, (service, checks, clock) in enumerate(self.hosts):
                clock.time += STEP_SECONDS
                if (step + number) % steps_between == 0:
                    self.request(service)
                self.ask(checks, clock)
                if self.hears_zone and (step + number) % 5 == 0:
                    self.tell(number, checks.reports())

    def is_cold(self):
        return self.cold_from <= self.time < self.cold_until

    def request(self, service):
        outcome = service.choose("p", frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS)
        if isinstance(outcome, Failure):
            self.refused += 1
            return
        self.served += 1
        choice = outcome.unwrap()
        if self.is_cold():
            self.sent_to_cold_at.append(self.time)
        service.release(choice, GOOD, TYPICAL_SECONDS)

    def ask(self, checks, clock):
        for check in checks.take_due():
            self.asked_at.append((check.upstream.id, self.time))
            # Within a step the hosts' clocks differ by one.
            remaining = self.cold_until - self.time + STEP_SECONDS
            remaining = remaining if self.is_cold() else 0.0
            checks.record(check, clock.time, Success(remaining))

    def tell(self, sender, reports):
        for number, (_, checks, _) in enumerate(self.hosts):
            if number != sender:
                checks.merge(reports)

    def checks_per_upstream_and_second(self, since):
        seconds = self.time - since
        return sum(time > since for _, time in self.asked_at) / 11 / seconds


# What the platform allows for each upstream and second.
MAX_CHECKS_PER_SECOND = 3.0


@pytest.mark.parametrize("host_count", (2, 16, 44))
def test_zone_that_is_cut_off_goes_on_serving(host_count):
    zone = Zone(host_count, senders=2)
    zone.run(12.0, 0.1)
    # Each host has some requests at the moment at which its document is too old.
    assert zone.refused <= 0.01 * zone.served
    assert zone.checks_per_upstream_and_second(4.0) <= MAX_CHECKS_PER_SECOND


def test_host_that_is_cut_off_alone_goes_on_serving():
    zone = Zone(1, senders=1)
    zone.run(12.0, 0.3)
    assert zone.refused <= 1
    assert zone.checks_per_upstream_and_second(4.0) <= MAX_CHECKS_PER_SECOND


def test_host_with_a_request_now_and_then_has_two_upstreams_asked_for_it():
    """Its queue holds the request until one has answered."""
    zone = Zone(1, senders=0)
    zone.run(31.0, 3.0)
    assert len(zone.asked_at) <= 2 * (zone.served + zone.refused)


@pytest.mark.parametrize("hears_zone", (True, False))
def test_zone_that_is_cut_off_finds_upstreams_that_turned_cold(hears_zone):
    zone = Zone(16, senders=2, hears_zone=hears_zone)
    zone.cold_from, zone.cold_until = 6.0, 12.0
    zone.run(14.0, 0.06)
    assert zone.sent_to_cold_at
    assert max(zone.sent_to_cold_at) <= zone.cold_from + MAX_VIEW_AGE_SECONDS


def test_nothing_is_lost_while_no_host_reaches_the_store():
    zone = Zone(16, senders=2, is_store_away=True)
    zone.run(20.0, 0.1)
    assert zone.refused == 0
    # One question for each upstream in two to three seconds, by one of the two hosts.
    assert 0.25 <= zone.checks_per_upstream_and_second(4.0) <= 0.6


def test_upstreams_that_turn_cold_in_an_outage_are_found_by_their_answers():
    zone = Zone(16, senders=2, is_store_away=True)
    zone.cold_from, zone.cold_until = 6.0, 12.0
    zone.run(14.0, 0.06)
    # Asked after at most 3 s; the hosts of the zone are told within 0.4 s.
    assert zone.sent_to_cold_at
    assert max(zone.sent_to_cold_at) <= zone.cold_from + 3.4


def test_host_that_was_paused_waits_for_its_document():
    kernel, clock, _ = create_host()
    _, put = create_document_cache(kernel)
    checks = cold_checks.create(kernel, "a", lambda: False)
    service = upstreams.create(kernel, "a", lambda: 1, cold_checks=checks)
    put(CONFIGURATION, 1, configuration(cold_rate=COLD_RATE))
    entries = table(upstream(1, slots=1000))
    put(UPSTREAMS, 1, entries)
    clock.time += 10.0
    for _ in range(20):
        outcome = service.choose("p", frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS)
        # Requests with this outcome wait in the queue of their pool.
        assert outcome is SATURATED
    put(UPSTREAMS, 2, table(upstream(1, slots=1000, cold=3.0)))
    outcomes = []
    for _ in range(20):
        outcomes.append(
            service.choose("p", frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS)
        )
    assert sum(isinstance(outcome, Success) for outcome in outcomes) <= 1
