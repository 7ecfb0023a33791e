"""Health of one incarnation of an upstream, and evidence from attempts."""

from trefoilpin.gateway.admission.body_memory import SMALL_BODY_BYTES
from trefoilpin.gateway.balancing import failure_models
from trefoilpin.gateway.balancing.failure_models import Outcome
from trefoilpin.verdicts import Reason, Verdict

__all__ = [
    "InFlightRequest",
    "MIN_SLOW_SECONDS",
    "SLOW_FACTOR",
    "UpstreamHealth",
    "back_off",
    "end_request",
    "has_body_room",
    "has_room",
    "hold_cold",
    "is_cold",
    "is_misdirected",
    "is_overdue",
    "is_unreached",
    "classify_attempt",
    "failure_probability",
    "record_load",
    "start_request",
    "tells_cold_time",
]

# Requests beyond its slots that may be sent to an upstream, which queues them.
MAX_QUEUED_REQUESTS = 1
# An upstream that shed counts as full for this time, part of a request's duration.
FULL_AFTER_SHED_SECONDS = 0.06
# Weight of a new sample in the moving average of an upstream's slowness.
SLOWNESS_WEIGHT = 0.25
# A request that takes this multiple of the typical duration counts as slow.
SLOW_FACTOR = 4.0
MIN_SLOW_SECONDS = 0.3
# HTTP status of an upstream that is not the one the request was intended for.
MISDIRECTED_STATUS = 421
GATEWAY_TIMEOUT_STATUS = 504
# Bytes of large request bodies for each slot of an upstream, from the whole fleet.
# Upstreams don't state their memory; some slots need this in a small part of it.
BODY_BYTES_PER_SLOT = 4_194_304
# Bounds of the exponential backoff from an upstream that this host can't reach.
MIN_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 2.0


class UpstreamHealth:
    """Health of one incarnation of an upstream.

    Attributes
    ----------
    failure_probability : float
        Probability at ``updated_at`` that it is in the failing state.
    shared_at : float
        Clock time of its last outcome that was shared with other hosts.
    own_in_flight, other_in_flight : int
        Requests in flight from this host and from the other hosts.
    other_reported_sum : float
        Sum over the requests from other hosts of the clock times of their reports.
    own_body_bytes : int
        Bytes of the large bodies of requests in flight from this host.
    slowness : float
        Moving average of durations relative to the typical duration of the route.
    cold_until, avoided_until, full_until : float
        Clock times until which it is cold, unreachable from this host, or full.
    paused_until : float
        Clock time until which it asked this host to send it nothing.
    checked_at : float
        Clock time of the last question for its health.
    turn_at : float
        Clock time from which this host may ask it next, by its turns.
    is_unsure : bool
        True while it may have turned cold without this host's knowledge.
    is_leaving : bool
        True once one of its answers said that it is leaving.
    used_at : float
        Clock time at which a host was last known to send it a request.
    joined_at : float
        Clock time at which this host learned of it.
    is_newcomer : bool
        True for an upstream that joined since this host started, until a host is known
        to have sent it a request.
    preference : float
        Random number below 1 that this host keeps, so that hosts prefer different ones.
    failed_connects : int
        Consecutive attempts that did not reach it.
    """

    def __init__(self, upstream, now, preference=0.0):
        self.upstream = upstream
        self.failure_probability = failure_models.STATIONARY_PROBABILITY
        self.updated_at = now
        self.shared_at = float("-inf")
        self.own_in_flight = 0
        self.other_in_flight = 0
        self.other_reported_sum = 0.0
        self.own_body_bytes = 0
        self.slowness = 1.0
        self.cold_until = now + upstream.cold_remaining
        self.avoided_until = float("-inf")
        self.failed_connects = 0
        self.full_until = float("-inf")
        self.paused_until = float("-inf")
        self.checked_at = float("-inf")
        self.turn_at = float("-inf")
        self.is_unsure = False
        self.is_leaving = False
        self.used_at = now
        self.is_newcomer = False
        self.joined_at = now
        self.preference = preference


class InFlightRequest:
    """A request in flight at an upstream.

    Attributes
    ----------
    is_slow : bool
        True once it was recorded as slow.
    is_proven : bool
        True once it was recorded as good, as it outlived the failures of its pool.
    """

    def __init__(self, health, started_at, typical_seconds, body_bytes):
        self.health = health
        self.body_bytes = body_bytes if body_bytes > SMALL_BODY_BYTES else 0
        self.started_at = started_at
        self.typical_seconds = typical_seconds
        self.is_slow = False
        self.is_proven = False


def start_request(health, now, typical_seconds, body_bytes):
    """Count a request that is sent to an upstream; return its ``InFlightRequest``."""
    in_flight = InFlightRequest(health, now, typical_seconds, body_bytes)
    health.own_in_flight += 1
    health.own_body_bytes += in_flight.body_bytes
    return in_flight


def end_request(in_flight):
    """Undo the count of a request."""
    in_flight.health.own_in_flight -= 1
    in_flight.health.own_body_bytes -= in_flight.body_bytes


def has_body_room(health, body_bytes, sender_count):
    """Tell whether an upstream may be sent a body beside those in flight to it.

    Parameters
    ----------
    health : UpstreamHealth
    body_bytes : int
    sender_count : int
        Hosts that send requests; each may use an equal share.
    """
    if body_bytes <= SMALL_BODY_BYTES or not health.own_body_bytes:
        return True
    limit = BODY_BYTES_PER_SLOT * health.upstream.slots / max(sender_count, 1)
    return health.own_body_bytes + body_bytes <= limit


def failure_probability(health, now):
    """Return the probability that an upstream is in the failing state now."""
    return failure_models.predict(health.failure_probability, now - health.updated_at)


def back_off(health, now):
    """Avoid an upstream after another connect failed; return for how many seconds."""
    backoff = MIN_BACKOFF_SECONDS * 2 ** min(health.failed_connects, 6)
    seconds = min(backoff, MAX_BACKOFF_SECONDS)
    health.failed_connects += 1
    health.avoided_until = now + seconds
    return seconds


def is_overdue(in_flight, now):
    """Tell whether a request takes far too long and was not recorded as slow yet."""
    if in_flight.is_slow or in_flight.typical_seconds <= 0:
        return False
    limit = max(in_flight.typical_seconds * SLOW_FACTOR, MIN_SLOW_SECONDS)
    return now - in_flight.started_at > limit


def tells_cold_time(upstream, known):
    """Tell whether the entry of an upstream newly tells how long it stays cold."""
    told = (upstream.cold_remaining, upstream.cold_heartbeat)
    return told != (known.cold_remaining, known.cold_heartbeat)


def hold_cold(health, until):
    """Hold an upstream for cold until a time, or longer if that is known.

    A restored store, or a late document, may hold an entry from before the cold start.
    """
    health.cold_until = max(health.cold_until, until)


def is_cold(health, now):
    """Tell whether requests to an upstream need a token of the fleet's."""
    return now < health.cold_until


def has_room(health, now):
    """Tell whether an upstream can take another request, but for a cold start."""
    if now < max(health.avoided_until, health.full_until, health.paused_until):
        return False
    in_flight = health.own_in_flight + health.other_in_flight
    if in_flight >= health.upstream.slots + MAX_QUEUED_REQUESTS:
        return False
    return is_cold(health, now) or not health.is_unsure


def classify_attempt(attempt, typical_seconds):
    """Return an attempt's outcome as evidence on its upstream, or None without any.

    Parameters
    ----------
    attempt : Attempt
    typical_seconds : float
        Typical duration of the route's requests.
    """
    if attempt.reason is Reason.CALLER_GONE or attempt.detail == "interrupted":
        return None
    if attempt.shed or attempt.may_be_shed:
        return Outcome.SHED
    is_slow = attempt.seconds > max(typical_seconds * SLOW_FACTOR, MIN_SLOW_SECONDS)
    if timed_out(attempt) and not is_slow:
        # The caller's deadline was too short for the usual work.
        return None
    if attempt.answer is None:
        return None if attempt.verdict is Verdict.NOT_RUN else Outcome.FAILED
    if attempt.answer.status >= 500:
        return Outcome.FAILED
    if is_slow:
        return Outcome.SLOW
    return Outcome.GOOD


def record_load(health, attempt, outcome, typical_seconds, now):
    """Record what an attempt says of an upstream's load: its duration, or a shed."""
    if outcome is Outcome.SHED:
        health.full_until = now + FULL_AFTER_SHED_SECONDS
    if attempt.answer is None or outcome is Outcome.SHED or typical_seconds <= 0:
        return
    ratio = attempt.seconds / typical_seconds
    health.slowness += (min(ratio, 8.0) - health.slowness) * SLOWNESS_WEIGHT


def timed_out(attempt):
    """Tell whether an attempt ended at the deadline of its request."""
    if attempt.answer is None:
        return attempt.reason is Reason.UPSTREAM_TIMEOUT
    return attempt.answer.status == GATEWAY_TIMEOUT_STATUS


def is_misdirected(attempt):
    """Tell whether a different upstream than intended answered at the address."""
    return attempt.shed and attempt.answer.status == MISDIRECTED_STATUS


def is_unreached(attempt):
    """Tell whether an attempt did not reach the intended upstream."""
    if attempt.verdict is not Verdict.NOT_RUN:
        return False
    return not attempt.shed or is_misdirected(attempt)
