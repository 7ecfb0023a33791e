"""Tokens for cold upstreams: what a holder grants, and what a host may use."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    upstream,
)
from trefoilpin.gateway.balancing import cold_grants
from trefoilpin.gateway.balancing.cold_grants import (
    MAX_CAPACITY,
    TOKEN_SECONDS,
    ColdAsk,
    ColdBounds,
    ColdGrant,
    GrantedTokens,
    Want,
)
from trefoilpin.gateway.store.document_cache import CONFIGURATION

RATE = 9.9
COLD = upstream(1, cold=3.0)


def create(bounds=cold_grants.DEFAULT_BOUNDS):
    """Return the service, its clock and the asks that it sends."""
    kernel, clock, _ = create_host()
    kernel = kernel._replace(spawn=lambda function: function())
    _, put = create_document_cache(kernel)
    put(CONFIGURATION, 1, configuration(cold_rate=RATE))
    service = cold_grants.create(kernel, bounds)
    asks = []
    service.on_ask(asks.append)
    return service, clock, asks


def ask_for(tokens, number=1):
    return ColdAsk(number, (Want("u1", 1, "p", tokens),))


def grant_of(ask, tokens):
    return ColdGrant(ask.number, True, "h", (GrantedTokens("u1", 1, tokens),))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.6), st.integers(1, 2), st.integers(0, 30)),
        max_size=80,
    ),
    st.sampled_from([ColdBounds(), ColdBounds(1.2, 5.0), ColdBounds(3.0, 1.0)]),
)
def test_no_second_can_have_more_requests_than_the_bound(steps, bounds):
    """Tokens may be used at the very end of their time, and a lease may be new."""
    service, clock, _ = create(bounds)
    held_since = clock.time
    granted_at = []
    for seconds, tokens, lease in steps:
        clock.time += seconds
        if lease == 0:
            held_since = clock.time
        for item in service.answer(ask_for(tokens), clock.time, held_since):
            granted_at.extend([clock.time] * item.tokens)
    for first in granted_at:
        span = 1.0 + TOKEN_SECONDS
        granted = sum(first <= time <= first + span for time in granted_at)
        assert granted <= RATE * bounds.overshoot + bounds.slack


def test_bucket_of_a_new_lease_is_empty():
    service, clock, _ = create()
    held_since = clock.time
    clock.time += 10.0
    (granted,) = service.answer(ask_for(2), clock.time, held_since)
    assert granted.tokens == MAX_CAPACITY
    clock.time += 10.0
    assert service.answer(ask_for(2), clock.time, clock.time) == ()


def test_pool_that_the_holder_does_not_know_gets_no_tokens():
    service, clock, _ = create()
    ask = ColdAsk(1, (Want("u1", 1, "unknown", 1),))
    assert service.answer(ask, clock.time, clock.time - 10.0) == ()


def test_dropped_buckets_give_nothing_twice(monkeypatch):
    """Guards against a bucket that is forgotten empty and made anew full."""
    monkeypatch.setattr(cold_grants, "MAX_BUCKETS", 1)
    service, clock, _ = create()
    held_since = clock.time - 10.0
    total = 0
    for number in range(50):
        clock.time += 0.01
        wants = (Want("u1", 1, "p", 2), Want(f"other-{number}", 1, "p", 2))
        for item in service.answer(ColdAsk(1, wants), clock.time, held_since):
            total += item.tokens if item.upstream == "u1" else 0
    assert total <= RATE * 0.5 + MAX_CAPACITY


def test_token_counts_from_the_ask_and_is_used_once():
    service, clock, asks = create()
    asked_at = clock.time
    service.want((COLD,))
    assert not service.has_token(COLD)
    clock.time += 0.2
    service.receive(grant_of(asks[0], 1))
    service.receive(grant_of(asks[0], 1))
    assert service.has_token(COLD)
    assert service.take(COLD) == asked_at + TOKEN_SECONDS
    assert not service.has_token(COLD)
    assert service.take(COLD) <= clock.time


def test_token_ends_when_its_time_is_over():
    service, clock, asks = create()
    service.want((COLD,))
    service.receive(grant_of(asks[0], 1))
    clock.time += TOKEN_SECONDS
    assert not service.has_token(COLD)


def test_token_of_another_start_of_an_upstream_is_not_used():
    service, _, asks = create()
    service.want((COLD,))
    service.receive(grant_of(asks[0], 1))
    assert not service.has_token(COLD._replace(born=2))


def test_grant_of_more_than_was_asked_for_is_cut():
    service, _, asks = create()
    service.want((COLD,))
    service.receive(grant_of(asks[0], 100))
    service.take(COLD)
    assert not service.has_token(COLD)


def test_starts_of_an_upstream_share_a_bucket():
    """Guards against the rate twice while hosts know different starts (issue 47)."""
    service, clock, _ = create()
    held_since = clock.time
    granted = 0
    for number in range(1, 41):
        clock.time += 0.05
        for born in (1, 2):
            ask = ColdAsk(number, (Want("u1", born, "p", 2),))
            for item in service.answer(ask, clock.time, held_since):
                granted += item.tokens
    assert granted <= RATE * 2.0 + MAX_CAPACITY
