"""Health of one incarnation of an upstream, and evidence from attempts."""

from trefoilpin.gateway import failure_models
from trefoilpin.gateway.failure_models import Outcome
from trefoilpin.verdicts import Reason, Verdict

__all__ = [
    "COLD_BURST",
    "InFlightRequest",
    "LEAST_SLOW_SECONDS",
    "SLOW_FACTOR",
    "UpstreamHealth",
    "has_room",
    "is_misdirected",
    "classify_attempt",
    "failure_probability",
]

# Requests beyond its slots that one upstream may be given: it queues a few.
EXTRA_REQUESTS = 1
# A request this many times longer under way than usual counts as slow.
SLOW_FACTOR = 4.0
LEAST_SLOW_SECONDS = 0.3
COLD_BURST = 1.5
# HTTP status of an upstream that the request was not meant for.
MISDIRECTED = 421


class UpstreamHealth:
    """Health of one incarnation of an upstream.

    Attributes
    ----------
    failure_probability : float
        Probability at ``updated_at`` that it is in a failing spell.
    own_in_flight, other_in_flight : int
        Requests in flight from this host and from the other hosts.
    cold_until, avoided_until, full_until : float
    """

    def __init__(self, upstream, now):
        self.upstream = upstream
        self.failure_probability = failure_models.STATIONARY
        self.updated_at = now
        self.shared_at = float("-inf")
        self.own_in_flight = 0
        self.other_in_flight = 0
        self.slowness = 1.0
        self.cold_until = now + upstream.cold_remaining
        self.cold_tokens = 1.0
        self.cold_filled_at = now
        self.avoided_until = float("-inf")
        self.failed_connects = 0
        self.full_until = float("-inf")


class InFlightRequest:
    """A request in flight at an upstream."""

    def __init__(self, health, started_at, typical_seconds):
        self.health = health
        self.started_at = started_at
        self.typical_seconds = typical_seconds
        self.is_slow = False


def failure_probability(health, now):
    """Return the probability that an upstream is in a spell of failures."""
    return failure_models.drift(health.failure_probability, now - health.updated_at)


def has_room(health, now, cold_share):
    """Tell whether an upstream can be given another request.

    Parameters
    ----------
    health : UpstreamHealth
    now : float
    cold_share : float
        Requests a second that this host may send it while it is cold.
    """
    if now < max(health.avoided_until, health.full_until):
        return False
    in_flight = health.own_in_flight + health.other_in_flight
    if in_flight >= health.upstream.slots + EXTRA_REQUESTS:
        return False
    return now >= health.cold_until or has_cold_token(health, now, cold_share)


def has_cold_token(health, now, cold_share):
    """Fill the bucket of a cold upstream and tell whether it holds a token."""
    elapsed = now - health.cold_filled_at
    health.cold_filled_at = now
    filled = health.cold_tokens + elapsed * cold_share
    health.cold_tokens = min(filled, COLD_BURST)
    return health.cold_tokens >= 1.0


def classify_attempt(attempt, typical_seconds):
    """Return what an attempt tells of its upstream, or None when it tells nothing.

    Parameters
    ----------
    attempt : Attempt
    typical_seconds : float
        Seconds that requests of the route usually take.
    """
    if attempt.reason is Reason.CALLER_GONE or attempt.detail == "interrupted":
        return None
    if attempt.shed:
        return Outcome.SHED
    if attempt.answer is None:
        return None if attempt.verdict is Verdict.NOT_RUN else Outcome.FAILED
    if attempt.answer.status >= 500:
        return Outcome.FAILED
    if attempt.seconds > max(typical_seconds * SLOW_FACTOR, LEAST_SLOW_SECONDS):
        return Outcome.SLOW
    return Outcome.GOOD


def is_misdirected(attempt):
    """Tell whether another upstream answered at the address."""
    return attempt.shed and attempt.answer.status == MISDIRECTED
