"""What the log of a host tells of cold upstreams."""

from returns.result import Success

from trefoilpin import events
from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    named,
    table,
    upstream,
)
from trefoilpin.gateway.balancing import upstreams
from trefoilpin.gateway.balancing.cold_grants import ColdGrant, GrantedTokens
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS

STEP_SECONDS = 0.2


def create(put_upstreams):
    kernel, clock, lines = create_host()
    kernel = kernel._replace(spawn=lambda function, *arguments: function(*arguments))
    _, put = create_document_cache(kernel)
    service = upstreams.create(kernel, "a", lambda: 2)
    put(CONFIGURATION, 1, configuration())
    put(UPSTREAMS, 7, put_upstreams, age=0.4)
    grants = kernel.find("cold_grants")
    grants.on_ask(
        lambda ask: grants.receive(
            ColdGrant(ask.number, True, "", (GrantedTokens("u1", 1, 1),))
        )
    )

    def run(seconds):
        """Send a request at each step; return how many were sent."""
        sent = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            outcome = service.choose("p", frozenset(), RetryPolicy(False, False), 0.1)
            if isinstance(outcome, Success):
                service.release(outcome.unwrap(), None, 0.1)
                sent += 1
            clock.time += STEP_SECONDS
            service.check_overdue()
        return sent

    return kernel, put, lines, run


def test_log_tells_how_long_an_upstream_is_held_for_cold_and_what_it_got():
    """Guards against a flood of a cold upstream whose cause no log tells."""
    kernel, put, lines, run = create(table(upstream(1, cold=3.0)))
    (held,) = named(lines, events.COLD_HELD)
    assert held["upstream"] == "u1" and held["seconds"] == 3.0
    assert (held["revision"], held["age"], held["senders"]) == (7, 0.4, 2)
    sent = run(3.2)
    (ended,) = named(lines, events.COLD_ENDED)
    assert ended["reason"] == "elapsed" and ended["sent"] > 0
    sends = named(lines, events.COLD_SENDS)
    assert sum(fields["sent"] for fields in sends) == ended["sent"] <= sent
    assert len(sends) <= 4


def test_log_tells_that_an_upstream_is_cold_for_longer_or_gone():
    kernel, put, lines, run = create(table(upstream(1, cold=3.0)))
    run(1.0)
    put(UPSTREAMS, 8, table(upstream(1, cold=4.0)))
    put(UPSTREAMS, 9, table(upstream(1, cold=4.0), upstream(2)))
    first, second = named(lines, events.COLD_HELD)
    assert (second["seconds"], second["before"]) == (4.0, 2.0)
    put(UPSTREAMS, 10, table(upstream(2)))
    (ended,) = named(lines, events.COLD_ENDED)
    assert ended["reason"] == "removed"
