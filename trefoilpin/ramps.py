"""Concurrency level of an upstream in slow start, adapted to outcomes."""

from enum import Enum

from trefoilpin.reports import BUCKETS_PER_OCTAVE

__all__ = ["Ramp", "Step", "advance", "observe"]

MIN_LEVEL_SECONDS = 2.0
MIN_SUCCESSES = 6
SUCCESSES_PER_UNIT = 2
MAX_FAILURE_SHARE = 0.3
MAX_RISE_BUCKETS = BUCKETS_PER_OCTAVE
MAX_RISE_OVER_POOL_BUCKETS = 3
MAX_SETBACKS = 3
MAX_SLOW_SECONDS = 30.0


class Step(Enum):
    """Result of a decision on the level."""

    HELD = "held"
    RAISED = "raised"
    LOWERED = "lowered"
    WARM = "warm"
    FAILED = "failed"


class Ramp:
    """Concurrency that all hosts together may use, with the outcomes at that level.

    ``total_requests`` and ``total_failures`` count from the start of the ramp, all
    other counts from the start of the level.
    """

    def __init__(self, since):
        self.level = 1
        self.started_at = since
        self.level_since = since
        self.setbacks = 0
        self.first_level_bucket = None
        self.successes = 0
        self.level_failures = 0
        self.sheds = 0
        self.bucket_sum = 0
        self.answered = 0
        self.total_requests = 0
        self.total_failures = 0


def observe(ramp, samples):
    """Add the samples of one report to the counts.

    Parameters
    ----------
    ramp : Ramp
    samples : iterable of Sample
    """
    for sample in samples:
        ramp.level_failures += sample.failures
        ramp.sheds += sample.sheds
        ramp.bucket_sum += sum(sample.latencies)
        ramp.answered += len(sample.latencies)
        ramp.successes += sample.requests - sample.failures
        ramp.total_requests += sample.requests
        ramp.total_failures += sample.failures


def reset_counts(ramp, now):
    """Reset the counts of the level."""
    ramp.level_since = now
    ramp.successes = ramp.level_failures = ramp.sheds = 0
    ramp.bucket_sum = ramp.answered = 0


def is_slow(ramp, bucket, max_rise):
    """Return whether answers at this level exceed a bucket by over ``max_rise``."""
    if bucket is None or ramp.answered < MIN_SUCCESSES:
        return False
    return ramp.bucket_sum / ramp.answered > bucket + max_rise


def is_failing(ramp):
    """Return whether the upstream fails too often at this level."""
    return ramp.level_failures > 1 and ramp.level_failures > MAX_FAILURE_SHARE * (
        ramp.successes + ramp.level_failures
    )


def is_slower(ramp, pool_bucket):
    """Return whether answers are slower than at the first level or in the pool."""
    if is_slow(ramp, pool_bucket, MAX_RISE_OVER_POOL_BUCKETS):
        return True
    return ramp.level > 1 and is_slow(ramp, ramp.first_level_bucket, MAX_RISE_BUCKETS)


def advance(ramp, slots, pool_bucket, now):
    """Raise, lower or keep the level; return the ``Step``.

    Parameters
    ----------
    ramp : Ramp
    slots : int
        Concurrency at which the upstream is warm.
    pool_bucket : int or None
        Median latency bucket of the pool.
    now : float
    """
    if is_failing(ramp):
        ramp.setbacks += 1
        return lower(ramp, now)
    if ramp.sheds or (ramp.level > 1 and is_slower(ramp, pool_bucket)):
        return lower(ramp, now)
    required_successes = max(MIN_SUCCESSES, SUCCESSES_PER_UNIT * ramp.level)
    if (
        ramp.successes < required_successes
        or now - ramp.level_since < MIN_LEVEL_SECONDS
    ):
        return Step.HELD
    if is_slower(ramp, pool_bucket):
        return hold_while_slow(ramp, now)
    if ramp.level >= slots:
        return Step.WARM
    if ramp.level == 1:
        ramp.first_level_bucket = ramp.bucket_sum / max(ramp.answered, 1)
    ramp.level = min(2 * ramp.level, slots)
    reset_counts(ramp, now)
    return Step.RAISED


def hold_while_slow(ramp, now):
    """Keep the lowest level while answers are slow; fail after ``MAX_SLOW_SECONDS``."""
    if now - ramp.started_at > MAX_SLOW_SECONDS:
        return Step.FAILED
    reset_counts(ramp, now)
    return Step.HELD


def lower(ramp, now):
    """Halve the level; fail after ``MAX_SETBACKS`` levels with failures."""
    if ramp.setbacks >= MAX_SETBACKS:
        return Step.FAILED
    ramp.level = max(1, ramp.level // 2)
    reset_counts(ramp, now)
    return Step.LOWERED
