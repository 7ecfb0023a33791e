"""Binomial tails compared with sums of terms, and expected shares."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.binomials import (
    Tally,
    binomial_lower_tail,
    binomial_upper_tail,
    expected_share,
)


def naive_tail(successes, trials, share):
    terms = (
        math.comb(trials, count) * share**count * (1 - share) ** (trials - count)
        for count in range(successes, trials + 1)
    )
    return sum(terms)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, 60), st.integers(0, 60), st.floats(0.02, 0.9))
def test_upper_tail_is_the_sum_of_its_terms(successes, failures, share):
    trials = successes + failures
    probability = binomial_upper_tail(successes, trials, share)
    if successes > trials * share:
        assert math.isclose(
            probability, naive_tail(successes, trials, share), rel_tol=1e-6
        )
    else:
        assert probability == 1.0


def test_lower_tail_mirrors_the_upper_tail():
    assert math.isclose(binomial_lower_tail(0, 7, 0.5), 0.5**7)


def test_account_slow_everywhere_raises_its_expected_share():
    own = {"slow": Tally(10, 9), "fast": Tally(10, 0)}
    pool = {"slow": Tally(100, 90), "fast": Tally(100, 0)}
    assert expected_share(own, pool, {}) > 0.8
    assert expected_share({"fast": Tally(10, 5)}, pool, {}) == 0.02


def test_account_with_few_attempts_uses_the_long_term_tally():
    own, pool = {"slow": Tally(2, 2)}, {"slow": Tally(4, 4), "fast": Tally(90, 0)}
    assert expected_share(own, pool, {}) < 0.1
    assert expected_share(own, pool, {"slow": Tally(50, 45)}) == 0.9
