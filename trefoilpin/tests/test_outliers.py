"""Which upstreams count as worse than their pool, and which don't."""

import pytest

from trefoilpin import outliers
from trefoilpin.evidence import PoolEvidence, add_samples, forget
from trefoilpin.reports import Sample, bucket_of

HOMES = {f"u{number}": "abc"[number % 3] for number in range(6)}
GOOD = bucket_of(0.05)
SLOW = bucket_of(0.5)


def sample(upstream, account, failures=0, hard=0, bucket=GOOD, fingerprints=()):
    latencies = () if hard else (bucket,)
    return Sample(upstream, account, 1, failures, hard, 0, latencies, fingerprints)


def feed(evidence, seconds, bad=lambda tick, upstream, zone, account: {}):
    """Add two requests a second at each upstream, one from a distant zone."""
    accounts = "ABCD"
    for tick in range(seconds):
        for upstream, home in HOMES.items():
            distant = "abc"[("abc".index(home) + 1) % 3]
            for turn, zone in enumerate((home, distant)):
                account = accounts[(tick + turn) % 4]
                wrong = bad(tick, upstream, zone, account)
                host = f"{zone}{tick % 2}{turn}"
                item = sample(upstream, account, **wrong)
                add_samples(evidence, tick, host, zone, (item,))


def found(seconds, bad):
    evidence = PoolEvidence()
    feed(evidence, seconds, bad)
    return [item.upstream for item in outliers.find_outliers(evidence, seconds, HOMES)]


def on_u1(**wrong):
    return lambda tick, upstream, zone, account: wrong if upstream == "u1" else {}


def test_a_healthy_pool_has_none():
    assert found(16, lambda *where: {}) == []


def test_errors_slow_answers_and_missing_answers_are_found():
    assert found(8, on_u1(failures=1)) == ["u1"]
    assert found(8, on_u1(failures=1, hard=1)) == ["u1"]
    late = lambda tick, upstream, *rest: (  # noqa: E731
        {"bucket": SLOW} if upstream == "u1" and tick >= 10 else {}
    )
    assert found(18, late) == ["u1"]


def test_a_fault_of_the_whole_pool_is_no_outlier():
    assert found(16, lambda *where: {"failures": 1}) == []


@pytest.fixture
def unchecked(monkeypatch):
    monkeypatch.setattr(outliers, "is_beyond_one_account", lambda *arguments: True)
    monkeypatch.setattr(outliers, "is_beyond_one_place", lambda *arguments: True)
    monkeypatch.setattr(outliers, "crashes", lambda *arguments: 0)


def one_account(tick, upstream, zone, account):
    return {"failures": 1} if upstream == "u1" and account == "A" else {}


def one_distant_zone(tick, upstream, zone, account):
    fails = upstream == "u1" and zone == "c"
    return {"failures": 1, "hard": 1} if fails else {}


def crashing_request(tick, upstream, zone, account):
    fails = upstream == "u1" or (upstream == "u2" and tick == 0)
    broken = {"failures": 1, "hard": 1, "fingerprints": (7,)}
    return broken if fails and tick < 5 else {}


CONFINED = (one_account, one_distant_zone, crashing_request)


@pytest.mark.parametrize("bad", CONFINED)
def test_confined_failures_do_not_count(bad):
    assert found(16, bad) == found(6, bad) == []


@pytest.mark.parametrize("bad", CONFINED)
def test_confined_failures_would_count_without_the_checks(bad, unchecked):
    assert ["u1"] in (found(16, bad), found(6, bad))


def test_one_host_without_an_answer_is_not_enough():
    evidence = PoolEvidence()
    feed(evidence, 12)
    for tick in range(12, 16):
        items = tuple(sample("u1", account, 1, 1) for account in "ABCD")
        add_samples(evidence, tick, "b00", "b", items)
    assert outliers.find_outliers(evidence, 16, HOMES) == []


def test_connections_that_break_with_a_crash_do_not_count():
    evidence = PoolEvidence()
    feed(evidence, 12)
    add_samples(evidence, 11, "a00", "a", (sample("u0", "A", 1, 1, GOOD, (7,)),))
    for tick, host in ((11, "b00"), (11, "b01")):
        crash = sample("u1", "A", 1, 1, GOOD, (7,))
        others = tuple(sample("u1", account, 1, 1) for account in "BCDB")
        add_samples(evidence, tick, host, "b", (crash, *others))
    assert outliers.find_outliers(evidence, 12, HOMES) == []
    evidence.upstreams_by_fingerprint.clear()
    ejected = outliers.find_outliers(evidence, 12, HOMES)
    assert [item.upstream for item in ejected] == ["u1"]


def test_running_sums_come_back_to_nothing():
    evidence = PoolEvidence()
    feed(evidence, 10, on_u1(failures=1))
    for upstream in HOMES:
        forget(evidence, upstream)
    assert evidence.sums == [0, 0, 0]
    feed(evidence, 10)
    add_samples(evidence, 100, "h", "a", ())
    assert evidence.sums == [0, 0, 0]
