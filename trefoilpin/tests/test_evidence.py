"""Evidence by second, and the median latency of a pool."""

from trefoilpin.evidence import PoolEvidence, add_samples, open_second, slow_threshold
from trefoilpin.reports import Sample, bucket_of


def sample(upstream, seconds, count=1):
    latencies = (bucket_of(seconds),) * count
    return Sample(upstream, "A", count, 0, 0, 0, latencies, ())


def test_slow_threshold_is_unknown_without_enough_answers():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 5.0, 3),))
    open_second(evidence, 2)
    assert slow_threshold(evidence) is None


def test_slow_threshold_is_about_five_times_the_median():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    open_second(evidence, 2)
    assert bucket_of(0.2) < slow_threshold(evidence) < bucket_of(0.3)


def test_median_is_kept_without_answers_and_during_slow_start():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    for tick in range(2, 100):
        slow_samples = (sample("u1", 0.5, 40),)
        add_samples(evidence, tick, "h", "a", slow_samples, frozenset(("u1",)))
    assert evidence.median_bucket == bucket_of(0.05)


def test_old_seconds_leave_the_window():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    assert evidence.sums_by_upstream["u1"] == [40, 0, 0]
    open_second(evidence, 17)
    assert evidence.sums_by_upstream["u1"] == [0, 0, 0]
