"""The filter against histories drawn from the model that it assumes."""

import random

import pytest

from trefoilpin.gateway import failure_models
from trefoilpin.gateway.failure_models import Outcome


def test_one_failure_makes_a_sound_upstream_doubtful():
    sound = failure_models.update(0.03, Outcome.FAILED)
    assert sound > 0.5


def test_doubt_passes_with_time_and_goes_with_good_outcomes():
    doubted = failure_models.update(0.3, Outcome.FAILED)
    later = failure_models.drift(doubted, 3.0)
    assert later < 0.5
    assert (
        failure_models.update(failure_models.update(later, Outcome.GOOD), Outcome.GOOD)
        < 0.05
    )


def test_a_spell_is_found_by_the_second_failure_and_its_end_by_two_good_answers():
    probability = failure_models.STATIONARY
    for _ in range(2):
        probability = failure_models.update(probability, Outcome.FAILED)
    assert probability > 0.9


@pytest.mark.parametrize("seed", range(3))
def test_probabilities_are_calibrated(seed):
    """Of the times at which the filter says 80%, about 80% are in a spell."""
    rng = random.Random(seed)
    step = 0.05
    failure_probability, probability, at = False, failure_models.STATIONARY, 0.0
    hits = {False: [0, 0], True: [0, 0]}
    for tick in range(200_000):
        rate = (
            failure_models.RECOVERY_PER_SECOND
            if failure_probability
            else failure_models.ONSET_PER_SECOND
        )
        if rng.random() < rate * step:
            failure_probability = not failure_probability
        if rng.random() < 3.0 * step:
            now = tick * step
            probability = failure_models.drift(probability, now - at)
            says = probability > 0.5
            hits[says][0] += 1
            hits[says][1] += failure_probability
            fails = rng.random() < (0.78 if failure_probability else 0.015)
            outcome = Outcome.FAILED if fails else Outcome.GOOD
            probability = failure_models.update(probability, outcome)
            at = now
    assert hits[True][1] / hits[True][0] > 0.6
    assert hits[False][1] / hits[False][0] < 0.15
