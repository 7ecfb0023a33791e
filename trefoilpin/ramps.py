"""Level of an upstream in slow start, from the outcomes at each level."""

from enum import Enum

from trefoilpin.reports import BUCKETS_PER_OCTAVE

__all__ = ["Ramp", "Step", "advance", "observe"]

STEP_SECONDS = 1.0
LEAST_SUCCESSES = 3
SUCCESSES_PER_UNIT = 2
MOST_BAD_SHARE = 0.3
RISE_BUCKETS = BUCKETS_PER_OCTAVE
MOST_SETBACKS = 3
PATIENCE_SECONDS = 30.0


class Step(Enum):
    """What became of a level."""

    HELD = "held"
    RAISED = "raised"
    LOWERED = "lowered"
    WARM = "warm"
    FAILED = "failed"


class Ramp:
    """Concurrency that all hosts together may use, and what came of it."""

    def __init__(self, since):
        self.level = 1
        self.since = since
        self.setbacks = 0
        self.first_bucket = None
        self.successes = 0
        self.bad = 0
        self.sheds = 0
        self.bucket_sum = 0
        self.answered = 0


def observe(ramp, samples, slow_from):
    """Count the attempts of one report at this upstream.

    Parameters
    ----------
    ramp : Ramp
    samples : iterable of Sample
    slow_from : int or None
        Bucket from which on an answer is slow for the pool.
    """
    for sample in samples:
        good = sample.requests - sample.failures
        ramp.bad += sample.failures
        ramp.sheds += sample.sheds
        ramp.bucket_sum += sum(sample.latencies)
        ramp.answered += len(sample.latencies)
        ramp.successes += good
        if slow_from is not None:
            slow = sum(bucket >= slow_from for bucket in sample.latencies)
            ramp.bad += min(slow, good)
            ramp.successes -= min(slow, good)


def reset_counts(ramp, now):
    """Begin to count at a new level."""
    ramp.since = now
    ramp.successes = ramp.bad = ramp.sheds = 0
    ramp.bucket_sum = ramp.answered = 0


def is_overloaded(ramp):
    """Tell whether the outcomes at this level speak against it."""
    if ramp.sheds:
        return True
    total = ramp.successes + ramp.bad
    if ramp.bad > 1 and ramp.bad > MOST_BAD_SHARE * total:
        return True
    if ramp.first_bucket is None or ramp.answered < LEAST_SUCCESSES:
        return False
    return ramp.bucket_sum / ramp.answered > ramp.first_bucket + RISE_BUCKETS


def advance(ramp, slots, now):
    """Raise, lower or keep the level; return the ``Step``.

    Parameters
    ----------
    ramp : Ramp
    slots : int
        Concurrency at which the upstream is warm.
    now : float
    """
    if is_overloaded(ramp):
        return lower(ramp, now)
    needed = max(LEAST_SUCCESSES, SUCCESSES_PER_UNIT * ramp.level)
    if ramp.successes < needed or now - ramp.since < STEP_SECONDS:
        stuck = ramp.bad and now - ramp.since > PATIENCE_SECONDS
        return Step.FAILED if stuck else Step.HELD
    if ramp.level >= slots:
        return Step.WARM
    if ramp.level == 1:
        ramp.first_bucket = ramp.bucket_sum / ramp.answered
    ramp.level = min(2 * ramp.level, slots)
    reset_counts(ramp, now)
    return Step.RAISED


def lower(ramp, now):
    """Halve the level after a setback; give up after several at the lowest."""
    if ramp.level == 1:
        ramp.setbacks += 1
        if ramp.setbacks >= MOST_SETBACKS:
            return Step.FAILED
    ramp.level = max(1, ramp.level // 2)
    reset_counts(ramp, now)
    return Step.LOWERED
