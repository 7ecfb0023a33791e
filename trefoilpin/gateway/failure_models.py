"""Probability that an upstream is failing, from outcomes of requests.

A two-state hidden Markov model: an upstream is healthy or failing, switches between
the states at known rates, and fails a different share of its requests in each state.
Source: Rabiner, "A tutorial on hidden Markov models", Proceedings of the IEEE 77(2),
1989; the forward step for two states.
"""

import math
from enum import Enum

__all__ = ["Outcome", "STATIONARY", "drift", "update"]

# A spell of failures lasts a few seconds and takes about 3 in 10 of the time
# (measured with ``bench`` days by the share of failed requests of each upstream).
RECOVERY_PER_SECOND = 1 / 2.7
ONSET_PER_SECOND = 1 / 8.0
CHANGE_PER_SECOND = RECOVERY_PER_SECOND + ONSET_PER_SECOND
STATIONARY = ONSET_PER_SECOND / CHANGE_PER_SECOND
# Nothing is ever certain, so that one contrary outcome still counts.
LEAST = 0.002
MOST = 0.995


class Outcome(Enum):
    """Outcome of a request, as evidence on the health of its upstream."""

    GOOD = 0
    FAILED = 1
    SLOW = 2
    SHED = 3


# Probability of each outcome in the unsound and in the sound state.
LIKELIHOODS = {
    Outcome.GOOD: (0.22, 0.94),
    Outcome.FAILED: (0.78, 0.015),
    Outcome.SLOW: (0.35, 0.05),
    Outcome.SHED: (0.30, 0.12),
}


def drift(probability, seconds):
    """Return the probability of being unsound after a time without outcomes.

    Parameters
    ----------
    probability : float
    seconds : float

    Returns
    -------
    float
    """
    decay = math.exp(-CHANGE_PER_SECOND * max(seconds, 0.0))
    return STATIONARY + (probability - STATIONARY) * decay


def update(probability, outcome):
    """Return the probability of being unsound after an outcome.

    Parameters
    ----------
    probability : float
    outcome : Outcome

    Returns
    -------
    float
    """
    failure_probability, sound = LIKELIHOODS[outcome]
    weighted = probability * failure_probability
    updated = weighted / (weighted + (1 - probability) * sound)
    return min(max(updated, LEAST), MOST)
