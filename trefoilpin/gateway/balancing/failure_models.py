"""Probability that an upstream is failing, from outcomes of requests.

A two-state hidden Markov model: an upstream is healthy or failing, switches between
the states at known rates, and fails a different share of its requests in each state.
Source: Rabiner, "A tutorial on hidden Markov models", Proceedings of the IEEE 77(2),
1989; the forward step for two states.
"""

import math
from enum import Enum
from typing import NamedTuple

__all__ = ["Outcome", "STATIONARY_PROBABILITY", "UpstreamOutcome", "predict", "update"]

# Transition rates of the model: an upstream stays in the failing state for a few
# seconds and is in it for about 3 tenths of the time.
RECOVERY_PER_SECOND = 1 / 2.7
ONSET_PER_SECOND = 1 / 8.0
TRANSITIONS_PER_SECOND = RECOVERY_PER_SECOND + ONSET_PER_SECOND
STATIONARY_PROBABILITY = ONSET_PER_SECOND / TRANSITIONS_PER_SECOND
# Bounds that keep the estimate from 0 and 1, so that one contrary outcome still counts.
MIN_PROBABILITY = 0.002
MAX_PROBABILITY = 0.995


class Outcome(Enum):
    """Outcome of a request, as evidence on the health of its upstream."""

    GOOD = 0
    FAILED = 1
    SLOW = 2
    SHED = 3


class UpstreamOutcome(NamedTuple):
    """Outcome of a request, as evidence on the health of an upstream.

    Attributes
    ----------
    number : int
        Sequence number at the sending host; a repeated outcome is counted once.
    upstream : str
    outcome : Outcome
    """

    number: int
    upstream: str
    outcome: Outcome


# Probability of each outcome in the failing and in the healthy state.
LIKELIHOODS_BY_OUTCOME = {
    Outcome.GOOD: (0.22, 0.94),
    Outcome.FAILED: (0.78, 0.015),
    Outcome.SLOW: (0.35, 0.05),
    Outcome.SHED: (0.30, 0.12),
}


def predict(probability, seconds):
    """Return the probability of the failing state after a time without outcomes.

    Parameters
    ----------
    probability : float
        Probability at the start of that time.
    seconds : float

    Returns
    -------
    float
    """
    decay = math.exp(-TRANSITIONS_PER_SECOND * max(seconds, 0.0))
    return STATIONARY_PROBABILITY + (probability - STATIONARY_PROBABILITY) * decay


def update(probability, outcome):
    """Return the probability of the failing state after an outcome.

    Parameters
    ----------
    probability : float
        Probability before the outcome.
    outcome : Outcome

    Returns
    -------
    float
    """
    failing_likelihood, healthy_likelihood = LIKELIHOODS_BY_OUTCOME[outcome]
    joint = probability * failing_likelihood
    posterior = joint / (joint + (1 - probability) * healthy_likelihood)
    return min(max(posterior, MIN_PROBABILITY), MAX_PROBABILITY)
