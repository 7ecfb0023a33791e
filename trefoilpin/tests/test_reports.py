"""Counts of attempts and the buckets of their latencies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import reports


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.floats(0.0001, 100))
def test_a_bucket_holds_its_latency(seconds):
    bucket = reports.bucket_of(seconds)
    low, high = reports.bucket_seconds(bucket), reports.bucket_seconds(bucket + 1)
    assert low * 0.999 <= seconds <= high * 1.001


def test_the_longest_latency_fits_the_message():
    assert reports.bucket_of(3600.0) < 2**15
    assert reports.bucket_of(0.0) == 0


def test_fingerprints_fit_the_message():
    assert 0 <= reports.hash_fingerprint("f" * 64) < 2**63
    assert reports.hash_fingerprint("") == 0
