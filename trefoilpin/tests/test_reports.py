"""Counts of attempts and the buckets of their latencies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import reports
from trefoilpin.messages import Attempt
from trefoilpin.verdicts import Reason, Verdict


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


def test_what_a_caller_broke_off_is_not_held_against_the_upstream():
    counts = reports.Counts()
    for reason in (Reason.CALLER_GONE, Reason.BAD_REQUEST, Reason.INTERNAL):
        left = Attempt(Verdict.MAY_HAVE_RUN, None, reason, "", 0.1)
        reports.count_attempt(counts, left, "f")
    assert (counts.requests, counts.failures, counts.hard) == (0, 0, 0)
    late = Attempt(Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_TIMEOUT, "", 0.1)
    reports.count_attempt(counts, late, "f")
    assert (counts.requests, counts.failures, counts.hard) == (1, 1, 1)
