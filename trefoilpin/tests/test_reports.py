"""Counting of attempts, latency buckets and fingerprints."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import reports
from trefoilpin.messages import Attempt
from trefoilpin.verdicts import Reason, Verdict


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.floats(0.0001, 100))
def test_latency_is_within_its_bucket(seconds):
    bucket = reports.bucket_of(seconds)
    low, high = reports.bucket_seconds(bucket), reports.bucket_seconds(bucket + 1)
    assert low * 0.999 <= seconds <= high * 1.001


def test_buckets_fit_the_message_field():
    assert reports.bucket_of(3600.0) < 2**15
    assert reports.bucket_of(0.0) == 0


def test_fingerprints_fit_the_message_field():
    assert 0 <= reports.hash_fingerprint("f" * 64) < 2**63
    assert reports.hash_fingerprint("") == 0


def test_attempts_ended_by_the_caller_do_not_count_as_failures():
    counts = reports.Counts()
    for reason in (Reason.CALLER_GONE, Reason.BAD_REQUEST, Reason.INTERNAL):
        aborted = Attempt(Verdict.MAY_HAVE_RUN, None, reason, "", 0.1)
        reports.count_attempt(counts, aborted, "f")
    assert (counts.requests, counts.failures, counts.hard) == (0, 0, 0)
    timed_out = Attempt(Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_TIMEOUT, "", 0.1)
    reports.count_attempt(counts, timed_out, "f")
    assert (counts.requests, counts.failures, counts.hard) == (1, 1, 1)


def test_refusal_in_doubt_is_no_failure_of_its_upstream():
    counts = reports.Counts()
    doubtful = Attempt(
        Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_BROKEN, "", 0.1, may_be_shed=True
    )
    reports.count_attempt(counts, doubtful, "f")
    assert (counts.sheds, counts.failures) == (1, 0)
