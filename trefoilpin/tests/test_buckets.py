"""A token bucket keeps to its rate and burst in every time window."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.buckets import Bucket, refill, seconds_until
from trefoilpin.fakes.naive_buckets import Segment, excess


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.floats(0, 3), max_size=80),
    st.floats(0.1, 50),
    st.floats(1, 40),
)
def test_no_window_exceeds_the_burst_plus_the_rate(gaps, rate, burst):
    bucket, now, grants = Bucket(burst, 0.0), 0.0, []
    for gap in gaps:
        now += gap
        refill(bucket, rate, burst, now)
        while bucket.level >= 1:
            bucket.level -= 1
            grants.append(now)
    assert excess(grants, [Segment(0.0, rate, burst)]) < 1e-6


def test_refill_at_an_earlier_time_adds_nothing():
    bucket = Bucket(1.0, 10.0)
    refill(bucket, 5.0, 100.0, 4.0)
    assert (bucket.level, bucket.refilled_at) == (1.0, 10.0)


def test_negative_capacity_empties_the_bucket():
    bucket = Bucket(3.0, 0.0)
    refill(bucket, 1.0, -2.0, 1.0)
    assert bucket.level == 0.0
    assert seconds_until(bucket, 2.0, 1) == 0.5
    assert seconds_until(bucket, 0.0, 1) == float("inf")
