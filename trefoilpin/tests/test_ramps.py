"""Concurrency levels of an upstream in slow start."""

from trefoilpin import ramps
from trefoilpin.ramps import Ramp, Step
from trefoilpin.reports import Sample


def observe_attempts(ramp, count, bucket=36, failures=0, sheds=0):
    answered = (bucket,) * (count - failures)
    ramps.observe(ramp, (Sample("u", "A", count, failures, 0, sheds, answered, ()),))


def raise_levels(ramp, slots, start=0.0, pool_bucket=None):
    steps = []
    for number in range(1, 5):
        observe_attempts(ramp, 16)
        steps.append(ramps.advance(ramp, slots, pool_bucket, start + 3.0 * number))
    return steps


def test_levels_double_up_to_the_slots():
    ramp = Ramp(0.0)
    steps = raise_levels(ramp, 6)
    assert steps == [Step.RAISED] * 3 + [Step.WARM]
    assert ramp.level == 6


def test_level_is_held_without_enough_time_or_successes():
    ramp = Ramp(0.0)
    observe_attempts(ramp, 100)
    assert ramps.advance(ramp, 6, None, 1.0) is Step.HELD
    ramp = Ramp(0.0)
    assert ramps.advance(ramp, 6, None, 100.0) is Step.HELD


def test_overload_failures_and_slow_answers_lower_the_level():
    for outcome in ({"sheds": 1}, {"failures": 8}, {"bucket": 46}):
        ramp = Ramp(0.0)
        raise_levels(ramp, 64)
        level = ramp.level
        observe_attempts(ramp, 16, **outcome)
        assert ramps.advance(ramp, 64, 36, 99.0) is Step.LOWERED
        assert ramp.level == level // 2


def test_slow_upstream_is_held_at_the_lowest_level_and_fails():
    ramp = Ramp(0.0)
    observe_attempts(ramp, 16, bucket=42)
    assert ramps.advance(ramp, 6, 36, 3.0) is Step.HELD
    assert ramp.level == 1
    observe_attempts(ramp, 16, bucket=42)
    assert ramps.advance(ramp, 6, 36, 40.0) is Step.FAILED


def test_repeated_failures_at_the_lowest_level_fail_the_ramp():
    ramp = Ramp(0.0)
    steps = []
    for number in range(3):
        observe_attempts(ramp, 4, failures=4)
        steps.append(ramps.advance(ramp, 6, None, float(number)))
    assert steps == [Step.LOWERED, Step.LOWERED, Step.FAILED]
