"""Level of an upstream in slow start, from the outcomes at each level."""

from enum import Enum

from trefoilpin.reports import BUCKETS_PER_OCTAVE

__all__ = ["Ramp", "Step", "advance", "observe"]

STEP_SECONDS = 2.0
LEAST_SUCCESSES = 6
SUCCESSES_PER_UNIT = 2
MOST_BAD_SHARE = 0.3
RISE_BUCKETS = BUCKETS_PER_OCTAVE
USUAL_RISE_BUCKETS = 3
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
        self.began_at = since
        self.since = since
        self.setbacks = 0
        self.first_bucket = None
        self.successes = 0
        self.bad = 0
        self.sheds = 0
        self.bucket_sum = 0
        self.answered = 0
        self.total = 0
        self.total_bad = 0


def observe(ramp, samples):
    """Count the attempts of one report at this upstream.

    Parameters
    ----------
    ramp : Ramp
    samples : iterable of Sample
    """
    for sample in samples:
        ramp.bad += sample.failures
        ramp.sheds += sample.sheds
        ramp.bucket_sum += sum(sample.latencies)
        ramp.answered += len(sample.latencies)
        ramp.successes += sample.requests - sample.failures
        ramp.total += sample.requests
        ramp.total_bad += sample.failures


def reset_counts(ramp, now):
    """Begin to count at a new level."""
    ramp.since = now
    ramp.successes = ramp.bad = ramp.sheds = 0
    ramp.bucket_sum = ramp.answered = 0


def is_slow(ramp, bucket, rise):
    """Tell whether answers at this level are slower than a bucket by some rise."""
    if bucket is None or ramp.answered < LEAST_SUCCESSES:
        return False
    return ramp.bucket_sum / ramp.answered > bucket + rise


def is_failing(ramp):
    """Tell whether the upstream fails at this level."""
    return ramp.bad > 1 and ramp.bad > MOST_BAD_SHARE * (ramp.successes + ramp.bad)


def is_slower(ramp, usual):
    """Tell whether answers are slower than at the first level, or than usual."""
    if is_slow(ramp, usual, USUAL_RISE_BUCKETS):
        return True
    return ramp.level > 1 and is_slow(ramp, ramp.first_bucket, RISE_BUCKETS)


def advance(ramp, slots, usual, now):
    """Raise, lower or keep the level; return the ``Step``.

    Parameters
    ----------
    ramp : Ramp
    slots : int
        Concurrency at which the upstream is warm.
    usual : int or None
        Median latency bucket of the pool's warm upstreams.
    now : float
    """
    if is_failing(ramp):
        ramp.setbacks += 1
        return lower(ramp, now)
    if ramp.sheds or (ramp.level > 1 and is_slower(ramp, usual)):
        return lower(ramp, now)
    needed = max(LEAST_SUCCESSES, SUCCESSES_PER_UNIT * ramp.level)
    if ramp.successes < needed or now - ramp.since < STEP_SECONDS:
        return Step.HELD
    if is_slower(ramp, usual):
        return hold_slow(ramp, now)
    if ramp.level >= slots:
        return Step.WARM
    if ramp.level == 1:
        ramp.first_bucket = ramp.bucket_sum / max(ramp.answered, 1)
    ramp.level = min(2 * ramp.level, slots)
    reset_counts(ramp, now)
    return Step.RAISED


def hold_slow(ramp, now):
    """Stay at the lowest level while answers are slow; give up after a time."""
    if now - ramp.began_at > PATIENCE_SECONDS:
        return Step.FAILED
    reset_counts(ramp, now)
    return Step.HELD


def lower(ramp, now):
    """Halve the level; give up after several failures."""
    if ramp.setbacks >= MOST_SETBACKS:
        return Step.FAILED
    ramp.level = max(1, ramp.level // 2)
    reset_counts(ramp, now)
    return Step.LOWERED
