"""Survey of a pool's upstreams: which of them may get a request now."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.balancing import (
    stale_loads,
    upstream_health,
    upstream_selection,
)

__all__ = [
    "MAX_ACCEPTED_PROBABILITY",
    "PoolSurvey",
    "SurveyRequest",
    "join",
    "lacking_tokens",
    "survey",
]

# An upstream with a higher failure probability is used only if the pool has no
# healthier one.
MAX_ACCEPTED_PROBABILITY = 0.5


class SurveyRequest(NamedTuple):
    """What a survey is made for.

    Attributes
    ----------
    now : float
    own_zone : str
    tried : frozenset of str
        Upstreams that the request was sent to.
    zones_out : frozenset of str
    has_cold_token : callable
        Tells whether this host may send a request to a cold ``Upstream``.
    body_bytes : int
        Size of the request's body.
    sender_count : int
        Hosts that send requests.
    accepts : callable or None
        Tells whether an ``Upstream`` may get the request; None when all may.
    typical_seconds : float
        Typical duration of the route's requests, 0 when unknown.
    zone_sender_count : int
        Hosts of the own zone that send requests.
    """

    now: float
    own_zone: str
    tried: frozenset[str]
    zones_out: frozenset[str]
    has_cold_token: Callable
    body_bytes: int = 0
    sender_count: int = 1
    accepts: Callable | None = None
    typical_seconds: float = 0.0
    zone_sender_count: int = 1


class PoolSurvey(NamedTuple):
    """Upstreams that may get a request, and what the others wait for.

    Attributes
    ----------
    accepted, others : tuple of Candidate
        With room; the others have a high failure probability.
    accepted_health : tuple of UpstreamHealth
        Of the accepted candidates.
    has_accepted : bool
        True when there are healthy upstreams, with or without room.
    has_usable : bool
    paused_until : float
        Clock time at which the first upstream's pause ends, infinite without upstreams.
    lacking_tokens : tuple of Upstream
        Cold upstreams with room for which this host has no token.
    is_held_back : bool
        True when it has no token for any usable upstream.
    """

    accepted: tuple
    others: tuple
    accepted_health: tuple
    has_accepted: bool
    has_usable: bool
    paused_until: float
    lacking_tokens: tuple = ()
    is_held_back: bool = True


def is_usable(health, zones_out):
    """Tell whether an upstream may get any requests."""
    upstream = health.upstream
    is_departing = upstream.draining or health.is_leaving
    return not is_departing and upstream.zone not in zones_out


def create_candidate(health, request, preference_range):
    """Return an upstream as a candidate for a request."""
    upstream = health.upstream
    in_flight = health.own_in_flight + health.other_in_flight + 1
    load = expected_load = in_flight / max(upstream.slots, 1)
    if preference_range:
        expected_load = stale_loads.expected_load(
            health, request.now, request.typical_seconds
        )
    return upstream_selection.Candidate(
        upstream.id,
        upstream_health.failure_probability(health, request.now),
        load,
        upstream.zone == request.own_zone,
        health.slowness,
        expected_load,
        health.preference * preference_range,
    )


def survey(healths, request):
    """Return the ``PoolSurvey`` of some upstreams.

    Parameters
    ----------
    healths : iterable of UpstreamHealth
    request : SurveyRequest
    """
    preference_range = stale_loads.preference_range(request.zone_sender_count)
    accepted, others, accepted_health, lacking_tokens = [], [], [], []
    has_accepted, has_usable = False, False
    is_held_back = True
    paused_until = float("inf")
    for health in healths:
        if request.accepts is not None and not request.accepts(health.upstream):
            continue
        is_tried = health.upstream.id in request.tried
        if is_tried or not is_usable(health, request.zones_out):
            continue
        has_usable = True
        paused_until = min(paused_until, health.paused_until)
        is_cold = upstream_health.is_cold(health, request.now)
        lacks_token = is_cold and not request.has_cold_token(health.upstream)
        is_held_back = is_held_back and (lacks_token or health.is_unsure)
        candidate = create_candidate(health, request, preference_range)
        is_accepted = candidate.failure_probability <= MAX_ACCEPTED_PROBABILITY
        is_reachable = request.now >= health.avoided_until
        has_accepted = has_accepted or (is_accepted and is_reachable)
        if not upstream_health.has_body_room(
            health, request.body_bytes, request.sender_count
        ):
            continue
        if not upstream_health.has_room(health, request.now):
            continue
        if lacks_token:
            lacking_tokens.append(health.upstream)
            continue
        if is_accepted:
            accepted.append(candidate)
            accepted_health.append(health)
        else:
            others.append(candidate)
    return PoolSurvey(
        tuple(accepted),
        tuple(others),
        tuple(accepted_health),
        has_accepted,
        has_usable,
        paused_until,
        tuple(lacking_tokens),
        is_held_back,
    )


def join(first, second):
    """Return the survey of the upstreams of two surveys."""
    return PoolSurvey(
        first.accepted + second.accepted,
        first.others + second.others,
        first.accepted_health + second.accepted_health,
        first.has_accepted or second.has_accepted,
        first.has_usable or second.has_usable,
        min(first.paused_until, second.paused_until),
        first.lacking_tokens + second.lacking_tokens,
        first.is_held_back and second.is_held_back,
    )


def lacking_tokens(in_zone, elsewhere, is_sender):
    """Return the upstreams for which a host asks for tokens after two surveys.

    A host that sends few requests would leave most of its tokens unused, so it asks
    only when no other upstream can take the request.
    """
    if not (in_zone.accepted or elsewhere.accepted):
        return in_zone.lacking_tokens + elsewhere.lacking_tokens
    return in_zone.lacking_tokens if is_sender else ()
