"""Selection of an upstream by the expected loss of a request.

The loss has three parts, each as a share of the request's value: the probability that
the upstream fails it, the delay that the upstream's load causes, and the price of
traffic that leaves the availability zone. The load pattern it answers: pools at a
quarter to all of their capacity where three in ten upstreams fail most requests for a
few seconds.
"""

from typing import NamedTuple

__all__ = ["Candidate", "RetryPolicy", "choose", "loss"]

# A request and its answer between zones cost about this share of its worth.
CROSS_ZONE_LOSS = 0.05
# Loss when every slot but one is taken: upstreams slow down when nearly full.
FULL_LOSS = 0.12
# Requests beyond the slots wait there for about one service time each.
QUEUED_LOSS = 0.35
# Losses closer than this are equal, so that hosts don't all pick the same upstream.
TIE_LOSS = 0.03
# Share of requests that may be repeated which try an upstream that is not known well.
EXPLORING_SHARE = 0.2
EXPLORED_FROM = 0.08
EXPLORED_TO = 0.45


class Candidate(NamedTuple):
    """An upstream that may get a request now.

    Attributes
    ----------
    id : str
    failure_probability : float
    load : float
        Known in-flight requests of the whole fleet, divided by its slots.
    is_near : bool
        True in the host's own availability zone.
    slowness : float
        Its response time relative to what is typical for the route.
    """

    id: str
    failure_probability: float
    load: float
    is_near: bool
    slowness: float = 1.0


class RetryPolicy(NamedTuple):
    """Whether a failed attempt can be repeated.

    Attributes
    ----------
    is_idempotent : bool
        True when a failed attempt may be followed by another one.
    can_retry : bool
        True when another attempt is allowed after this one.
    """

    is_idempotent: bool
    can_retry: bool


def loss(candidate, retry_policy):
    """Return the expected loss of a request at an upstream, in shares of its worth."""
    failure = candidate.failure_probability
    if retry_policy.is_idempotent and retry_policy.can_retry:
        # The second attempt is late more often than it fails.
        failure *= 0.5
    lateness = FULL_LOSS * min(candidate.load, 1.0) ** 2
    lateness += QUEUED_LOSS * max(candidate.load - 1.0, 0.0)
    lateness += 0.1 * max(candidate.slowness - 1.5, 0.0)
    distance = 0.0 if candidate.is_near else CROSS_ZONE_LOSS
    return failure + lateness + distance


def choose(candidates, retry_policy, rng):
    """Return the candidate with the least expected loss, or None when there is none.

    Parameters
    ----------
    candidates : sequence of Candidate
    retry_policy : RetryPolicy
    rng : random.Random

    Returns
    -------
    Candidate or None
    """
    if (
        retry_policy.is_idempotent
        and retry_policy.can_retry
        and rng.random() < EXPLORING_SHARE
    ):
        explored = find_unknown(candidates, rng)
        if explored is not None:
            return explored
    best = None
    least = float("inf")
    for candidate in candidates:
        expected = loss(candidate, retry_policy) + rng.random() * TIE_LOSS
        if expected < least:
            best, least = candidate, expected
    return best


def find_unknown(candidates, rng):
    """Return an upstream near enough whose state an outcome would tell, or None."""
    unknown = []
    for candidate in candidates:
        if not EXPLORED_FROM <= candidate.failure_probability <= EXPLORED_TO:
            continue
        if candidate.load < 0.7:
            unknown.append(candidate)
    near = [candidate for candidate in unknown if candidate.is_near]
    return rng.choice(near or unknown) if unknown else None
