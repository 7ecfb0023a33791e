"""State of the upstreams at this host, and load balancing over them.

For each upstream: the probability that it is failing, the requests in flight from the
whole fleet, and whether it is draining, cold, in a zone that is out, or unreachable
from this host. An upstream is identified by its id and its start: another start under
the same id begins with fresh state.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway import failure_models, upstream_health, upstream_selection
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS, ZONES_OUT
from trefoilpin.gateway.failure_models import Outcome
from trefoilpin.gateway.messages import UpstreamOutcome
from trefoilpin.gateway.request_contexts import is_unreached
from trefoilpin.messages import Choice
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["Upstreams", "create"]

# Beyond this probability an upstream gets work only when no sounder one is in the pool.
ACCEPTED_FAILURE_PROBABILITY = 0.5
FIRST_BACKOFF_SECONDS = 0.3
MOST_BACKOFF_SECONDS = 2.0
# An upstream that shed is full for about this part of a request's time.
SHED_SECONDS = 0.06
SLOWNESS_WEIGHT = 0.25
# Good outcomes are told to others only when they say something.
SHARED_FAILURE_PROBABILITY = 0.06
SHARED_SECONDS = 0.15
# A good outcome is told at once where an upstream was doubted.
URGENT_FAILURE_PROBABILITY = 0.3
# A note goes out several times, as a datagram may be lost.
NEAR_OUTCOME_SECONDS = 0.3
FAR_OUTCOME_SECONDS = 1.0
MAX_OUTCOMES = 60
# Counts of a host that fell silent are dropped after this time.
IN_FLIGHT_SECONDS = 1.5
RETRY_SECONDS = 0.2

SATURATED = Failure(
    Refusal(
        Reason.OVERLOADED,
        Verdict.NOT_RUN,
        "every upstream of the pool is at its limit",
        RETRY_SECONDS,
    )
)
NONE_LEFT = Failure(
    Refusal(
        Reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        "no upstream of the pool can be used",
        RETRY_SECONDS,
    )
)


class Upstreams(NamedTuple):
    """``upstreams``: load balancing, and health of upstreams from outcomes.

    ``choose(pool, tried, retry_policy, typical_seconds)`` returns a ``Choice`` or a
    ``Refusal``, where ``typical_seconds`` is the typical duration of the route's
    requests; ``release(choice, attempt, typical_seconds)`` records the outcome.
    ``merge_outcomes`` and ``merge_in_flight`` take what another host reports, and
    ``expire_in_flight()`` drops counts of hosts that no longer report.
    ``recent_outcomes(is_near)`` and ``in_flight_counts(zone)`` return what to report to
    others. ``on_urgent_outcome(function)`` has a function called when an outcome should
    be sent at once. ``check_overdue()`` records requests that hang as slow.
    ``pool_health(pool)`` returns the ``UpstreamHealth`` of each upstream of a pool.
    """

    choose: Callable
    release: Callable
    merge_outcomes: Callable
    merge_in_flight: Callable
    expire_in_flight: Callable
    recent_outcomes: Callable
    in_flight_counts: Callable
    on_urgent_outcome: Callable
    check_overdue: Callable
    pool_health: Callable


class UpstreamState:
    """Health by pool, requests in flight, and outcomes to share with others."""

    def __init__(self):
        self.health_by_pool: dict[str, dict[str, upstream_health.UpstreamHealth]] = {}
        self.health_by_id: dict[str, upstream_health.UpstreamHealth] = {}
        self.in_flight_by_number: dict[int, upstream_health.InFlightRequest] = {}
        self.in_flight_by_host: dict[str, tuple[float, dict[str, int]]] = {}
        self.recent_outcomes: list[tuple[float, UpstreamOutcome]] = []
        self.last_outcome_by_host: dict[tuple[str, int], int] = {}
        self.number = 0
        self.outcome_number = 0
        self.urgent_listeners = []


def create(kernel, own_zone, sender_count):
    """Create the service ``upstreams``.

    Parameters
    ----------
    kernel : Kernel
    own_zone : str
    sender_count : callable
        Hosts that send requests to upstreams, of which each bears an equal part of
        what a cold one gets.

    Returns
    -------
    Upstreams
    """
    state = UpstreamState()
    now = kernel.clock.now
    rng = kernel.rng
    emit = kernel.find("events").emit
    document_cache = kernel.find("document_cache")

    def rebuild(upstream_by_id):
        health_by_pool = {}
        health_by_id = {}
        for upstream in upstream_by_id.values():
            health = state.health_by_id.get(upstream.id)
            if health is None or health.upstream.born != upstream.born:
                health = upstream_health.UpstreamHealth(upstream, now())
            elif upstream.cold_remaining != health.upstream.cold_remaining:
                health.cold_until = now() + upstream.cold_remaining
            if upstream.draining and not health.upstream.draining:
                emit(
                    events.UPSTREAM_DRAINING,
                    pool=upstream.pool,
                    upstream=upstream.id,
                    source="store",
                )
            health.upstream = upstream
            health_by_pool.setdefault(upstream.pool, {})[upstream.id] = health
            health_by_id[upstream.id] = health
        state.health_by_pool = health_by_pool
        state.health_by_id = health_by_id

    def failure_probability(health):
        return upstream_health.failure_probability(health, now())

    def is_usable(health, zones_out):
        upstream = health.upstream
        return not upstream.draining and upstream.zone not in zones_out

    def has_room(health, cold_rate):
        share = cold_rate / max(sender_count(), 1)
        return upstream_health.has_room(health, now(), share)

    def describe(health):
        upstream = health.upstream
        return upstream_selection.Candidate(
            upstream.id,
            failure_probability(health),
            (health.own_in_flight + health.other_in_flight + 1)
            / max(upstream.slots, 1),
            upstream.zone == own_zone,
            health.slowness,
        )

    def choose(pool_id, tried, retry_policy, typical_seconds):
        zones_out = document_cache.value(ZONES_OUT)
        pool = document_cache.value(CONFIGURATION).pool_by_id.get(pool_id)
        cold_rate = pool.cold_rate if pool is not None else 0.0
        accepted, doubtful, exists_accepted, exists = [], [], False, False
        for health in state.health_by_pool.get(pool_id, {}).values():
            if health.upstream.id in tried or not is_usable(health, zones_out):
                continue
            exists = True
            candidate = describe(health)
            is_accepted = candidate.failure_probability <= ACCEPTED_FAILURE_PROBABILITY
            is_reachable = now() >= health.avoided_until
            exists_accepted = exists_accepted or (is_accepted and is_reachable)
            if has_room(health, cold_rate):
                (accepted if is_accepted else doubtful).append(candidate)
        if not exists:
            return NONE_LEFT
        if not accepted and (exists_accepted or not doubtful):
            return SATURATED
        chosen = upstream_selection.choose(accepted or doubtful, retry_policy, rng)
        return Success(take(pool_id, state.health_by_id[chosen.id], typical_seconds))

    def take(pool_id, health, typical_seconds):
        health.own_in_flight += 1
        if now() < health.cold_until:
            health.cold_tokens -= 1.0
        state.number += 1
        state.in_flight_by_number[state.number] = upstream_health.InFlightRequest(
            health, now(), typical_seconds
        )
        return Choice(health.upstream, pool_id, state.number)

    def release(choice, attempt, typical_seconds):
        in_flight = state.in_flight_by_number.pop(choice.number)
        health = in_flight.health
        health.own_in_flight -= 1
        if attempt is None:
            return
        if is_unreached(attempt):
            avoid(health)
            return
        health.failed_connects = 0
        outcome = upstream_health.classify_attempt(attempt, typical_seconds)
        if outcome is None:
            return
        if outcome is Outcome.SHED:
            health.full_until = now() + SHED_SECONDS
        if (
            attempt.answer is not None
            and outcome is not Outcome.SHED
            and typical_seconds > 0
        ):
            ratio = attempt.seconds / typical_seconds
            health.slowness += (min(ratio, 8.0) - health.slowness) * SLOWNESS_WEIGHT
        if outcome is Outcome.SLOW and in_flight.is_slow:
            outcome = Outcome.GOOD
        record_outcome(health, outcome)

    def avoid(health):
        """Stay away from an upstream that this host can't reach, for ever longer."""
        doubled = FIRST_BACKOFF_SECONDS * 2 ** min(health.failed_connects, 6)
        seconds = min(doubled, MOST_BACKOFF_SECONDS)
        health.failed_connects += 1
        health.avoided_until = now() + seconds
        emit(
            events.UPSTREAM_AVOIDED,
            pool=health.upstream.pool,
            upstream=health.upstream.id,
            seconds=seconds,
            failures=health.failed_connects,
        )

    def record_outcome(health, outcome):
        """Take an outcome of this host, and tell others when it says something."""
        before = failure_probability(health)
        update_health(health, before, outcome, "own")
        recently = now() - health.shared_at < SHARED_SECONDS
        if outcome is Outcome.GOOD and (
            before < SHARED_FAILURE_PROBABILITY or recently
        ):
            return
        health.shared_at = now()
        state.outcome_number += 1
        told = UpstreamOutcome(state.outcome_number, health.upstream.id, outcome)
        state.recent_outcomes.append((now(), told))
        del state.recent_outcomes[:-MAX_OUTCOMES]
        if outcome is not Outcome.GOOD or before > URGENT_FAILURE_PROBABILITY:
            for function in state.urgent_listeners:
                function()

    def update_health(health, before, outcome, source):
        health.failure_probability = failure_models.update(before, outcome)
        health.updated_at = now()
        crossed = (before <= ACCEPTED_FAILURE_PROBABILITY) != (
            health.failure_probability <= ACCEPTED_FAILURE_PROBABILITY
        )
        if crossed:
            emit(
                events.SOUNDNESS_CHANGED,
                pool=health.upstream.pool,
                upstream=health.upstream.id,
                unsound=round(health.failure_probability, 3),
                before=round(before, 3),
                outcome=outcome.name.lower(),
                source=source,
            )

    def merge_outcomes(host, incarnation, recent_outcomes):
        last = state.last_outcome_by_host.get((host, incarnation), 0)
        for told in recent_outcomes:
            if told.number <= last:
                continue
            last = told.number
            health = state.health_by_id.get(told.upstream)
            if health is not None:
                update_health(health, failure_probability(health), told.outcome, host)
        state.last_outcome_by_host[(host, incarnation)] = last

    def merge_in_flight(host, count_by_upstream):
        drop_in_flight(host)
        for upstream, count in count_by_upstream.items():
            health = state.health_by_id.get(upstream)
            if health is not None:
                health.other_in_flight += count
        state.in_flight_by_host[host] = (now(), count_by_upstream)

    def drop_in_flight(host):
        _, counts = state.in_flight_by_host.pop(host, (0.0, {}))
        for upstream, count in counts.items():
            health = state.health_by_id.get(upstream)
            if health is not None:
                health.other_in_flight = max(health.other_in_flight - count, 0)

    def expire_in_flight():
        for host, (heard_at, _) in list(state.in_flight_by_host.items()):
            if now() - heard_at > IN_FLIGHT_SECONDS:
                drop_in_flight(host)

    def recent_outcomes(is_near):
        """Return outcomes of late; hosts of other zones hear of bad ones only."""
        found = []
        for at, told in state.recent_outcomes:
            if now() - at > (NEAR_OUTCOME_SECONDS if is_near else FAR_OUTCOME_SECONDS):
                continue
            if is_near or told.outcome is not Outcome.GOOD:
                found.append(told)
        return tuple(found)

    def in_flight_counts(zone):
        """Return requests of this host under way, at upstreams of one zone or all."""
        found = {}
        for health in state.health_by_id.values():
            if health.own_in_flight and zone in (None, health.upstream.zone):
                found[health.upstream.id] = health.own_in_flight
        return found

    def check_overdue():
        """Count requests that are under way for far too long as slow, once each."""
        for in_flight in list(state.in_flight_by_number.values()):
            limit = max(
                in_flight.typical_seconds * upstream_health.SLOW_FACTOR,
                upstream_health.LEAST_SLOW_SECONDS,
            )
            if in_flight.is_slow or in_flight.typical_seconds <= 0:
                continue
            if now() - in_flight.started_at > limit:
                in_flight.is_slow = True
                record_outcome(in_flight.health, Outcome.SLOW)
        expire_in_flight()

    document_cache.subscribe(UPSTREAMS, rebuild)
    service = Upstreams(
        choose,
        release,
        merge_outcomes,
        merge_in_flight,
        expire_in_flight,
        recent_outcomes,
        in_flight_counts,
        state.urgent_listeners.append,
        check_overdue,
        lambda pool_id: tuple(state.health_by_pool.get(pool_id, {}).values()),
    )
    kernel.register("upstreams", service)
    return service
