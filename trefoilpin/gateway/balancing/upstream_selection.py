"""Selection of an upstream by the expected loss of a request.

The loss has three parts, each as a share of the request's value: the probability that
the upstream fails it, the delay that the upstream's load causes, and the cost of
traffic between availability zones. The weights suit pools at a quarter to all of their
capacity where three in ten upstreams fail most requests for a few seconds.
"""

from typing import NamedTuple

__all__ = [
    "CROSS_ZONE_LOSS",
    "Candidate",
    "RetryPolicy",
    "choose",
    "choose_best",
    "choose_probe",
    "failure_loss",
    "fixed_loss",
    "loss",
]

# Cost of a request and its answer between zones, as a share of the request's value.
CROSS_ZONE_LOSS = 0.05
# Loss when only one slot is free: upstreams slow down when nearly full.
FULL_LOSS = 0.12
# Loss by queueing at the upstream: each request beyond its slots waits for about one
# service time.
QUEUED_LOSS = 0.35
# Range of a random term, so that hosts don't all choose the same of several upstreams
# whose losses differ by less than this.
TIE_LOSS = 0.03
# Share of idempotent requests that probe an upstream whose failure probability is
# uncertain, which means within the two bounds below.
PROBE_SHARE = 0.2
MIN_PROBED_PROBABILITY = 0.08
MAX_PROBED_PROBABILITY = 0.45


class Candidate(NamedTuple):
    """An upstream that may get a request now.

    Attributes
    ----------
    id : str
    failure_probability : float
    load : float
        Known in-flight requests of the whole fleet, divided by its slots.
    is_same_zone : bool
        True in the host's own availability zone.
    slowness : float
        Its response time relative to what is typical for the route.
    expected_load : float
        Load without requests of other hosts that are expected to have ended.
    preference : float
        Load that this host accepts elsewhere to avoid it; differs from host to host.
    """

    id: str
    failure_probability: float
    load: float
    is_same_zone: bool
    slowness: float = 1.0
    expected_load: float = 0.0
    preference: float = 0.0


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


def failure_loss(candidate, retry_policy):
    """Return the part of the expected loss by failures of the upstream."""
    if retry_policy.is_idempotent and retry_policy.can_retry:
        # A second attempt is late more often than it fails.
        return candidate.failure_probability * 0.5
    return candidate.failure_probability


def fixed_loss(candidate, retry_policy):
    """Return the part of the expected loss that does not depend on the load."""
    slowness_loss = 0.1 * max(candidate.slowness - 1.5, 0.0)
    zone_loss = 0.0 if candidate.is_same_zone else CROSS_ZONE_LOSS
    return failure_loss(candidate, retry_policy) + slowness_loss + zone_loss


def loss(candidate, retry_policy):
    """Return the expected loss of a request at an upstream, as a share of its value."""
    delay_loss = FULL_LOSS * min(candidate.load, 1.0) ** 2
    delay_loss += QUEUED_LOSS * max(candidate.load - 1.0, 0.0)
    return fixed_loss(candidate, retry_policy) + delay_loss


def choose(candidates, retry_policy, rng):
    """Return the candidate with the least expected loss, or None without candidates.

    Parameters
    ----------
    candidates : sequence of Candidate
    retry_policy : RetryPolicy
    rng : random.Random

    Returns
    -------
    Candidate or None
    """
    probed = choose_probe(candidates, retry_policy, rng)
    if probed is not None:
        return probed
    return choose_best(candidates, retry_policy, rng)


def choose_probe(candidates, retry_policy, rng):
    """Return an uncertain candidate to probe with a repeatable request, or None."""
    is_repeatable = retry_policy.is_idempotent and retry_policy.can_retry
    if not is_repeatable or rng.random() >= PROBE_SHARE:
        return None
    return find_uncertain(candidates, rng)


def choose_best(candidates, retry_policy, rng):
    """Return the candidate with the least expected loss, or None without candidates."""
    best = None
    least_loss = float("inf")
    for candidate in candidates:
        expected_loss = loss(candidate, retry_policy) + rng.random() * TIE_LOSS
        if expected_loss < least_loss:
            best, least_loss = candidate, expected_loss
    return best


def find_uncertain(candidates, rng):
    """Return a lightly loaded upstream to probe, in the own zone if any, or None."""
    uncertain = []
    for candidate in candidates:
        if (
            not MIN_PROBED_PROBABILITY
            <= candidate.failure_probability
            <= MAX_PROBED_PROBABILITY
        ):
            continue
        if candidate.load < 0.7:
            uncertain.append(candidate)
    same_zone = [candidate for candidate in uncertain if candidate.is_same_zone]
    return rng.choice(same_zone or uncertain) if uncertain else None
