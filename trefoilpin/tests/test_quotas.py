"""A quota and its reservations keep to the burst, even if replies get lost."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import quotas
from trefoilpin.fakes.naive_buckets import Segment, excess
from trefoilpin.limit_messages import LimitDurations, ReservationRequest
from trefoilpin.quotas import Quota
from trefoilpin.records import ClientAccount

DURATIONS = LimitDurations()
ACCOUNT = ClientAccount("a", 10.0, 20.0)


def create_quota(units=4, total=4, level=0.0):
    quota = Quota(ACCOUNT, 0.0)
    quotas.set_lender_units(quota, "lender", units, total, level, 0.0)
    return quota


def reserve(quota, sequence, now, kept=0, returned=0, wanted=5, host="h"):
    request = ReservationRequest("a", sequence, kept, returned, wanted)
    return quotas.reserve(quota, host, request, now, DURATIONS)


class HostReservation:
    """Tokens that one host considers valid."""

    def __init__(self):
        self.tokens = 0
        self.expires_at = 0.0


def request_tokens(quota, host, number, now, rng):
    """Request tokens as a host does; one reply in five gets lost."""
    sent_at, returned = now, 0
    if sent_at >= host.expires_at:
        returned, host.tokens = host.tokens, 0
    wanted = rng.randint(1, 12)
    reply = reserve(quota, number, now, host.tokens, returned, wanted, str(id(host)))
    if reply.lifetime and rng.random() < 0.8:
        host.tokens += reply.tokens
        host.expires_at = sent_at + reply.lifetime


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 10**9))
def test_no_window_exceeds_the_burst_plus_the_rate(seed):
    rng = random.Random(seed)
    quota, now, grants = create_quota(level=20.0), 0.0, []
    hosts = [HostReservation() for _ in range(3)]
    for number in range(1, 150):
        now += rng.expovariate(10)
        host = rng.choice(hosts)
        action = rng.random()
        if action < 0.4:
            request_tokens(quota, host, number, now, rng)
        elif action < 0.5 and quotas.take_token(quota, now) == 0:
            grants.append(now)
        while host.tokens and now < host.expires_at and rng.random() < 0.8:
            host.tokens -= 1
            grants.append(now)
    assert excess(grants, [Segment(0.0, ACCOUNT.rate, ACCOUNT.burst)]) < 1e-6


def test_outstanding_tokens_count_against_the_burst():
    quota = create_quota(level=20.0)
    assert reserve(quota, 1, 0.0).tokens == 5
    quotas.refresh(quota, 1.0)
    assert quota.bucket.level == 15.0
    quotas.refresh(quota, DURATIONS.reservation_lapse_seconds)
    quotas.refresh(quota, DURATIONS.reservation_lapse_seconds + 10)
    assert quota.bucket.level == 20.0


def test_late_request_is_ignored():
    quota = create_quota(level=20.0)
    assert reserve(quota, 2, 0.0).tokens == 5
    assert reserve(quota, 1, 0.1, kept=0, returned=5) == (0, 0.0, 0.1, True)
    assert quota.outstanding == 5


def test_unspent_tokens_are_returned():
    quota = create_quota(level=20.0)
    assert reserve(quota, 1, 1.0, wanted=2).tokens == 2
    reserve(quota, 2, 1.0, returned=2, wanted=1)
    assert quota.bucket.level == 19.0


def test_reservations_over_the_remaining_units_are_not_renewed():
    quota = create_quota(level=20.0)
    reserve(quota, 1, 0.0, wanted=10)
    quotas.set_lender_units(quota, "lender", 1, 4, 0.0, 0.0)
    assert reserve(quota, 2, 0.0, kept=10) == (0, 0.0, 0.4, True)
    assert not quotas.reserve(
        create_quota(units=0), "h", ReservationRequest("a", 1, 0, 0, 1), 0.0, DURATIONS
    ).available


def test_removed_lender_takes_its_share_of_the_level():
    quota = create_quota(units=1, level=4.0)
    quotas.set_lender_units(quota, "other", 3, 4, 4.0, 0.0)
    assert quotas.remove_lender(quota, "other", 0.0) == 6.0
    assert (quota.units, quota.bucket.level) == (1, 2.0)
    assert quotas.remove_lender(quota, "other", 0.0) == 0.0


def test_rate_change_does_not_add_tokens():
    quota = create_quota(level=3.0)
    account = ClientAccount("a", 100.0, 500.0)
    quotas.set_account(quota, account, 1.0)
    assert quota.bucket.level == 13.0
    quotas.set_account(quota, ClientAccount("a", 1.0, 5.0), 1.0)
    assert quota.bucket.level == 5.0
