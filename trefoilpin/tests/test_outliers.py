"""Outlier detection, and faults that do not count against a single upstream."""

import pytest

from trefoilpin import outliers
from trefoilpin.evidence import PoolEvidence, add_samples, drop_upstream
from trefoilpin.reports import Sample, bucket_of

ZONE_BY_UPSTREAM = {f"u{number}": "abc"[number % 3] for number in range(6)}
NORMAL_BUCKET = bucket_of(0.05)
SLOW_BUCKET = bucket_of(0.5)


def sample(
    upstream, account, failures=0, hard=0, bucket=NORMAL_BUCKET, fingerprints=()
):
    latencies = () if hard else (bucket,)
    return Sample(upstream, account, 1, failures, hard, 0, latencies, fingerprints)


def feed(evidence, seconds, fault=lambda tick, upstream, zone, account: {}):
    """Add two attempts per second at each upstream, one from a distant zone."""
    accounts = "ABCD"
    for tick in range(seconds):
        for upstream, own_zone in ZONE_BY_UPSTREAM.items():
            distant = "abc"[("abc".index(own_zone) + 1) % 3]
            for number, zone in enumerate((own_zone, distant)):
                account = accounts[(tick + number) % 4]
                outcome = fault(tick, upstream, zone, account)
                host = f"{zone}{tick % 2}{number}"
                new_sample = sample(upstream, account, **outcome)
                add_samples(evidence, tick, host, zone, (new_sample,))


def find_after(seconds, fault):
    evidence = PoolEvidence()
    feed(evidence, seconds, fault)
    return [
        outlier.upstream
        for outlier in outliers.find_outliers(evidence, seconds, ZONE_BY_UPSTREAM)
    ]


def failing_u1(**outcome):
    return lambda tick, upstream, zone, account: outcome if upstream == "u1" else {}


def test_healthy_pool_has_no_outliers():
    assert find_after(16, lambda *arguments: {}) == []


def test_errors_slow_answers_and_missing_answers_are_found():
    assert find_after(8, failing_u1(failures=1)) == ["u1"]
    assert find_after(8, failing_u1(failures=1, hard=1)) == ["u1"]
    late = lambda tick, upstream, *rest: (  # noqa: E731
        {"bucket": SLOW_BUCKET} if upstream == "u1" and tick >= 10 else {}
    )
    assert find_after(18, late) == ["u1"]


def test_fault_of_the_whole_pool_has_no_outliers():
    assert find_after(16, lambda *arguments: {"failures": 1}) == []


@pytest.fixture
def without_checks(monkeypatch):
    monkeypatch.setattr(outliers, "is_beyond_one_account", lambda *arguments: True)
    monkeypatch.setattr(outliers, "is_beyond_one_location", lambda *arguments: True)
    monkeypatch.setattr(outliers, "count_crash_requests", lambda *arguments: 0)


def one_account(tick, upstream, zone, account):
    return {"failures": 1} if upstream == "u1" and account == "A" else {}


def one_distant_zone(tick, upstream, zone, account):
    fails = upstream == "u1" and zone == "c"
    return {"failures": 1, "hard": 1} if fails else {}


def crashing_request(tick, upstream, zone, account):
    fails = upstream == "u1" or (upstream == "u2" and tick == 0)
    broken = {"failures": 1, "hard": 1, "fingerprints": (7,)}
    return broken if fails and tick < 5 else {}


CONFINED_FAULTS = (one_account, one_distant_zone, crashing_request)


@pytest.mark.parametrize("fault", CONFINED_FAULTS)
def test_confined_failures_do_not_count(fault):
    assert find_after(16, fault) == find_after(6, fault) == []


@pytest.mark.parametrize("fault", CONFINED_FAULTS)
def test_confined_failures_count_without_the_checks(fault, without_checks):
    assert ["u1"] in (find_after(16, fault), find_after(6, fault))


def test_failures_without_answer_at_one_host_are_not_enough():
    evidence = PoolEvidence()
    feed(evidence, 12)
    for tick in range(12, 16):
        samples = tuple(sample("u1", account, 1, 1) for account in "ABCD")
        add_samples(evidence, tick, "b00", "b", samples)
    assert outliers.find_outliers(evidence, 16, ZONE_BY_UPSTREAM) == []


def test_connections_broken_by_a_crashing_request_do_not_count():
    evidence = PoolEvidence()
    feed(evidence, 12)
    add_samples(
        evidence, 11, "a00", "a", (sample("u0", "A", 1, 1, NORMAL_BUCKET, (7,)),)
    )
    for tick, host in ((11, "b00"), (11, "b01")):
        crash = sample("u1", "A", 1, 1, NORMAL_BUCKET, (7,))
        others = tuple(sample("u1", account, 1, 1) for account in "BCDB")
        add_samples(evidence, tick, host, "b", (crash, *others))
    assert outliers.find_outliers(evidence, 12, ZONE_BY_UPSTREAM) == []
    evidence.ticks_by_fingerprint.clear()
    ejected = outliers.find_outliers(evidence, 12, ZONE_BY_UPSTREAM)
    assert [outlier.upstream for outlier in ejected] == ["u1"]


def test_running_sums_return_to_zero():
    evidence = PoolEvidence()
    feed(evidence, 10, failing_u1(failures=1))
    for upstream in ZONE_BY_UPSTREAM:
        drop_upstream(evidence, upstream)
    assert evidence.sums == [0, 0, 0]
    feed(evidence, 10)
    add_samples(evidence, 100, "h", "a", ())
    assert evidence.sums == [0, 0, 0]
