"""Evidence by second, and what is usual for a pool."""

from trefoilpin.evidence import PoolEvidence, add_samples, open_second, slow_from
from trefoilpin.reports import Sample, bucket_of


def sample(upstream, seconds, count=1):
    latencies = (bucket_of(seconds),) * count
    return Sample(upstream, "A", count, 0, 0, 0, latencies, ())


def test_slow_is_unknown_until_there_are_answers():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 5.0, 3),))
    open_second(evidence, 2)
    assert slow_from(evidence) is None


def test_slow_is_about_five_times_the_usual():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    open_second(evidence, 2)
    assert bucket_of(0.2) < slow_from(evidence) < bucket_of(0.3)


def test_the_usual_holds_through_silence_and_slow_starts():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    for tick in range(2, 100):
        slow = (sample("u1", 0.5, 40),)
        add_samples(evidence, tick, "h", "a", slow, frozenset(("u1",)))
    assert evidence.usual == bucket_of(0.05)


def test_seconds_leave_the_window():
    evidence = PoolEvidence()
    add_samples(evidence, 1, "h", "a", (sample("u1", 0.05, 40),))
    assert evidence.sums_by_upstream["u1"] == [40, 0, 0]
    open_second(evidence, 17)
    assert evidence.sums_by_upstream["u1"] == [0, 0, 0]
