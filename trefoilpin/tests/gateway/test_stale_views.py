"""Hosts whose document of upstreams is old, and upstreams that turned cold after it."""

from returns.result import Success

from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.gateway.balancing import cold_checks, upstreams
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
    """Return the services and clocks of hosts that know one warm upstream."""
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
