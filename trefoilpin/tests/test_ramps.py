"""Levels of a slow start."""

from trefoilpin import ramps
from trefoilpin.ramps import Ramp, Step
from trefoilpin.reports import Sample


def feed(ramp, count, bucket=36, failures=0, sheds=0):
    answered = (bucket,) * (count - failures)
    ramps.observe(ramp, (Sample("u", "A", count, failures, 0, sheds, answered, ()),))


def climb(ramp, slots, start=0.0, usual=None):
    steps = []
    for turn in range(1, 5):
        feed(ramp, 16)
        steps.append(ramps.advance(ramp, slots, usual, start + 3.0 * turn))
    return steps


def test_levels_double_up_to_the_slots():
    ramp = Ramp(0.0)
    steps = climb(ramp, 6)
    assert steps == [Step.RAISED] * 3 + [Step.WARM]
    assert ramp.level == 6


def test_no_level_is_raised_without_time_or_successes():
    ramp = Ramp(0.0)
    feed(ramp, 100)
    assert ramps.advance(ramp, 6, None, 1.0) is Step.HELD
    ramp = Ramp(0.0)
    assert ramps.advance(ramp, 6, None, 100.0) is Step.HELD


def test_overload_failures_and_slowness_lower_it():
    for wrong in ({"sheds": 1}, {"failures": 8}, {"bucket": 46}):
        ramp = Ramp(0.0)
        climb(ramp, 64)
        level = ramp.level
        feed(ramp, 16, **wrong)
        assert ramps.advance(ramp, 64, 36, 99.0) is Step.LOWERED
        assert ramp.level == level // 2


def test_a_slow_upstream_stays_at_the_lowest_level_and_is_given_up():
    ramp = Ramp(0.0)
    feed(ramp, 16, bucket=42)
    assert ramps.advance(ramp, 6, 36, 3.0) is Step.HELD
    assert ramp.level == 1
    feed(ramp, 16, bucket=42)
    assert ramps.advance(ramp, 6, 36, 40.0) is Step.FAILED


def test_failures_at_the_lowest_level_end_it():
    ramp = Ramp(0.0)
    steps = []
    for turn in range(3):
        feed(ramp, 4, failures=4)
        steps.append(ramps.advance(ramp, 6, None, float(turn)))
    assert steps == [Step.LOWERED, Step.LOWERED, Step.FAILED]
