"""State of the upstreams at this host, and load balancing over them.

For each upstream: the probability that it is failing, the requests in flight from the
whole fleet, and whether it is draining, cold, in a zone that is out, or unreachable
from this host. An upstream is identified by its id and incarnation: a new incarnation
under the same id begins with fresh state.
"""

from typing import Callable, NamedTuple

from returns.result import Success

from trefoilpin import events
from trefoilpin.gateway.balancing import (
    cold_grants,
    cold_logs,
    departures,
    early_evidence,
    failure_models,
    floors,
    health_tables,
    outcome_log,
    pool_surveys,
    remote_in_flight,
    removed_upstreams,
    stale_loads,
    upstream_health,
    upstream_selection,
)
from trefoilpin.gateway.balancing.failure_models import Outcome
from trefoilpin.gateway.balancing.pool_refusals import (
    HELD_BACK,
    NO_UPSTREAM,
    SATURATED,
    refuse_paused,
)
from trefoilpin.gateway.balancing.pool_surveys import MAX_ACCEPTED_PROBABILITY
from trefoilpin.gateway.store.document_cache import UPSTREAMS, ZONES_OUT
from trefoilpin.messages import Choice

__all__ = ["Upstreams", "create"]

# Good outcomes are shared only when they are informative: of upstreams with at least
# this failure probability, and not again within the interval.
MIN_SHARED_PROBABILITY = 0.06
SHARE_INTERVAL_SECONDS = 0.15
# A good outcome of an upstream with a higher failure probability is sent at once.
URGENT_PROBABILITY = 0.3
# A request waits for a pool that asked for a pause only if it ends within this time.
MAX_PAUSE_WAIT_SECONDS = 0.25


class Upstreams(NamedTuple):
    """``upstreams``: load balancing, and health of upstreams from outcomes.

    ``choose(pool, tried, retry_policy, typical_seconds, body_bytes, accepts)`` returns
    a ``Choice`` or a ``Refusal``: ``typical_seconds`` is the route's typical duration,
    and ``accepts``, if given, tells whether an ``Upstream`` may get the request;
    ``release(choice, attempt, typical_seconds)`` records the outcome.
    ``merge_outcomes`` (told whether the host sends requests) and ``merge_in_flight``
    take what another host reports, and ``expire_in_flight()`` drops counts of hosts
    that no longer report.
    ``recent_outcomes(is_same_zone)`` and ``in_flight_counts(zone)`` return what to
    report to others. ``on_outcome(function)`` has ``function(is_urgent)`` called for
    each outcome to be shared. ``check_overdue()`` records requests that hang as slow,
    and ``record_broken_answer(upstream_id)`` an answer that broke off on its way.
    ``pool_health(pool)`` returns the ``UpstreamHealth`` of each upstream of a pool.
    """

    choose: Callable
    release: Callable
    merge_outcomes: Callable
    merge_in_flight: Callable
    expire_in_flight: Callable
    recent_outcomes: Callable
    in_flight_counts: Callable
    on_outcome: Callable
    check_overdue: Callable
    pool_health: Callable
    record_broken_answer: Callable


class UpstreamState:
    """Health of the upstreams, requests in flight, and who is told of outcomes."""

    def __init__(self):
        self.health = health_tables.EMPTY_TABLES
        self.in_flight_by_number: dict[int, upstream_health.InFlightRequest] = {}
        self.choice_number = 0
        self.outcome_listeners = []


def create(
    kernel,
    own_zone,
    sender_count,
    is_sender=lambda: True,
    zone_sender_count=lambda: 1,
    cold_checks=None,
    cold_bounds=cold_grants.DEFAULT_BOUNDS,
):
    """Create the service ``upstreams``.

    Parameters
    ----------
    kernel : Kernel
    own_zone : str
    sender_count : callable
        Returns the number of hosts that send requests to upstreams.
    is_sender : callable, optional
        Tells whether this host is one of them. Others don't know which upstreams are in
        use, so they leave newcomers alone, and cold ones unless there is no other.
    zone_sender_count : callable, optional
        As ``sender_count``, of the own zone.
    cold_checks : ColdChecks, optional
        Without it upstreams are warm as the document says, however old it is.
    cold_bounds : ColdBounds, optional

    Returns
    -------
    Upstreams
    """
    state = UpstreamState()
    now = kernel.clock.now
    rng = kernel.rng
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    floor = floors.create(kernel, sender_count)
    departure_service = departures.create(kernel)

    def mark_used(health):
        health.used_at = now()
        health.is_newcomer = False

    remote_counts = remote_in_flight.create(
        now, lambda upstream: state.health.by_id.get(upstream), mark_used
    )
    early = early_evidence.create(now, state.in_flight_by_number.get)
    log = outcome_log.create(now)
    removed = removed_upstreams.create(now)

    grants = cold_grants.create(kernel, cold_bounds)
    log_of_cold = cold_logs.create(kernel, sender_count)

    def rebuild(upstream_by_id):
        healths = []
        for upstream in upstream_by_id.values():
            health = state.health.by_id.get(upstream.id)
            health = health or removed.find(upstream.id)
            if health is None or health.upstream.born != upstream.born:
                health = upstream_health.UpstreamHealth(upstream, now(), rng.random())
                health.is_newcomer = bool(state.health.by_id)
            elif upstream_health.tells_cold_time(upstream, health.upstream):
                upstream_health.hold_cold(health, now() + upstream.cold_remaining)
            if upstream.draining and not health.upstream.draining:
                emit(
                    events.UPSTREAM_DRAINING,
                    pool=upstream.pool,
                    upstream=upstream.id,
                    source="store",
                )
            health.upstream = upstream
            health.is_leaving |= departure_service.is_leaving(upstream)
            healths.append(health)
        tables = health_tables.group(healths, own_zone)
        removed.update(state.health.by_id, tables.by_id)
        state.health = tables
        log_of_cold.update(healths)

    def failure_probability(health):
        return upstream_health.failure_probability(health, now())

    def record_survivors():
        """Record requests in flight as good that outlived fast failures."""
        for in_flight in early.take_survivors():
            in_flight.is_proven = True
            metrics.count("early_good_outcomes")
            record_outcome(in_flight.health, Outcome.GOOD)

    def pool_health(pool_id):
        return tuple(state.health.by_id_by_pool.get(pool_id, {}).values())

    def choose(pool_id, tried, retry_policy, typical, body_bytes=0, accepts=None):
        record_survivors()
        if cold_checks is not None:
            cold_checks.mark(pool_id, pool_health(pool_id))
        request = pool_surveys.SurveyRequest(
            now(),
            own_zone,
            tried,
            document_cache.value(ZONES_OUT),
            grants.has_token,
            body_bytes,
            sender_count(),
            accepts,
            typical,
            zone_sender_count(),
        )
        in_zone = survey_zone(pool_id, request, True)
        chosen = choose_in_zone(pool_id, in_zone, request, retry_policy)
        if chosen is not None:
            if is_sender():
                grants.want(in_zone.lacking_tokens)
            return Success(reserve(pool_id, chosen, typical, body_bytes))
        elsewhere = survey_zone(pool_id, request, False)
        grants.want(pool_surveys.lacking_tokens(in_zone, elsewhere, is_sender()))
        outcome = choose_anywhere(in_zone, elsewhere, retry_policy)
        return outcome.map(lambda health: reserve(pool_id, health, typical, body_bytes))

    def survey_zone(pool_id, request, is_same_zone):
        healths = state.health.by_pool_and_zone.get((pool_id, is_same_zone), ())
        return pool_surveys.survey(healths, request)

    def choose_in_zone(pool_id, in_zone, request, retry_policy):
        """Return the health of an upstream of the own zone, or None.

        None when one of another zone may have a lower loss.
        """
        is_repeatable = retry_policy.is_idempotent and retry_policy.can_retry
        if not request.tried and is_sender():
            # The hosts of a zone know from each other which upstreams are in use.
            due = floor.find_due(pool_id, in_zone.accepted_health, is_repeatable)
            if due is not None:
                return due
        probed = upstream_selection.choose_probe(in_zone.accepted, retry_policy, rng)
        if probed is not None:
            return state.health.by_id[probed.id]
        best = upstream_selection.choose_best(in_zone.accepted, retry_policy, rng)
        if best is None:
            return None
        loss = upstream_selection.loss(best, retry_policy)
        if loss > upstream_selection.CROSS_ZONE_LOSS:
            return None
        best = stale_loads.choose_even(in_zone.accepted, best, retry_policy, rng)
        return state.health.by_id[best.id]

    def choose_anywhere(in_zone, elsewhere, retry_policy):
        pool = pool_surveys.join(in_zone, elsewhere)
        if not pool.has_usable:
            return NO_UPSTREAM
        if pool.paused_until - now() > MAX_PAUSE_WAIT_SECONDS:
            return refuse_paused(pool.paused_until - now(), rng)
        if pool.is_held_back and grants.is_holder_away():
            metrics.count("cold_pools_refused")
            return HELD_BACK
        if not pool.accepted and (pool.has_accepted or not pool.others):
            return SATURATED
        # Those of the own zone were looked through for one to probe.
        probed = upstream_selection.choose_probe(elsewhere.accepted, retry_policy, rng)
        if probed is not None and not in_zone.accepted:
            return Success(state.health.by_id[probed.id])
        candidates = pool.accepted or pool.others
        best = upstream_selection.choose_best(candidates, retry_policy, rng)
        best = stale_loads.choose_even(candidates, best, retry_policy, rng)
        return Success(state.health.by_id[best.id])

    def reserve(pool_id, health, typical_seconds, body_bytes):
        mark_used(health)
        send_by = float("inf")
        is_cold = upstream_health.is_cold(health, now())
        if is_cold:
            send_by = grants.take(health.upstream)
            log_of_cold.record_send(health)
        state.choice_number += 1
        early.add(state.choice_number)
        state.in_flight_by_number[state.choice_number] = upstream_health.start_request(
            health, now(), typical_seconds, body_bytes
        )
        return Choice(health.upstream, pool_id, state.choice_number, send_by, is_cold)

    def release(choice, attempt, typical_seconds):
        in_flight = state.in_flight_by_number.pop(choice.number)
        health = in_flight.health
        upstream_health.end_request(in_flight)
        if attempt is None or attempt.is_too_late:
            return
        if upstream_health.is_unreached(attempt):
            back_off(health)
            return
        health.failed_connects = 0
        record_announcements(health, attempt)
        outcome = upstream_health.classify_attempt(attempt, typical_seconds)
        if outcome is None:
            return
        floor.record(choice.pool, outcome is Outcome.FAILED)
        if outcome is Outcome.FAILED:
            early.record_failure(choice.pool, attempt.seconds)
        upstream_health.record_load(health, attempt, outcome, typical_seconds, now())
        if outcome is Outcome.SLOW and in_flight.is_slow:
            outcome = Outcome.GOOD
        if outcome is Outcome.GOOD and in_flight.is_proven:
            # Says no more of the upstream now than when it had outlived fast failures.
            return
        record_outcome(health, outcome)

    def record_announcements(health, attempt):
        """Record what an answer announces: that its upstream leaves, or a pause."""
        upstream = health.upstream
        if attempt.draining and departure_service.record(upstream):
            health.is_leaving = True
            emit(
                events.UPSTREAM_DRAINING,
                pool=upstream.pool,
                upstream=upstream.id,
                source="answer",
            )
        if attempt.pause_seconds:
            paused_until = now() + attempt.pause_seconds
            health.paused_until = max(health.paused_until, paused_until)
            emit(
                events.UPSTREAM_PAUSED,
                pool=upstream.pool,
                upstream=upstream.id,
                seconds=attempt.pause_seconds,
            )

    def apply_departure(departure):
        """Stop using an upstream that told another host that it is leaving."""
        health = state.health.by_id.get(departure.upstream)
        if health is not None and health.upstream.born == departure.born:
            health.is_leaving = True

    def back_off(health):
        """Back off from an upstream that this host can't reach."""
        seconds = upstream_health.back_off(health, now())
        emit(
            events.UPSTREAM_AVOIDED,
            pool=health.upstream.pool,
            upstream=health.upstream.id,
            seconds=seconds,
            failures=health.failed_connects,
        )

    def record_outcome(health, outcome):
        """Record an outcome of this host, and share it if it is informative."""
        prior = failure_probability(health)
        update_health(health, prior, outcome, "own")
        is_recent = now() - health.shared_at < SHARE_INTERVAL_SECONDS
        if outcome is Outcome.GOOD and (prior < MIN_SHARED_PROBABILITY or is_recent):
            return
        health.shared_at = now()
        log.add(health.upstream.id, outcome)
        is_urgent = outcome is not Outcome.GOOD or prior > URGENT_PROBABILITY
        for function in state.outcome_listeners:
            function(is_urgent)

    def record_broken_answer(upstream_id):
        """Record the failure of an answer that was released as a good one."""
        health = state.health.by_id.get(upstream_id)
        if health is not None:
            record_outcome(health, Outcome.FAILED)

    def update_health(health, prior, outcome, source):
        health.failure_probability = failure_models.update(prior, outcome)
        health.updated_at = now()
        has_crossed = (prior <= MAX_ACCEPTED_PROBABILITY) != (
            health.failure_probability <= MAX_ACCEPTED_PROBABILITY
        )
        if has_crossed:
            emit(
                events.SOUNDNESS_CHANGED,
                pool=health.upstream.pool,
                upstream=health.upstream.id,
                unsound=round(health.failure_probability, 3),
                before=round(prior, 3),
                outcome=outcome.name.lower(),
                source=source,
            )

    def merge_outcomes(host, incarnation, recent_outcomes, is_remote_sender=True):
        for shared in log.take_new(host, incarnation, recent_outcomes):
            health = state.health.by_id.get(shared.upstream)
            if health is None:
                continue
            update_health(health, failure_probability(health), shared.outcome, host)
            if is_remote_sender and shared.outcome is Outcome.FAILED:
                floor.record_remote_failure(health.upstream.pool)

    def in_flight_counts(zone):
        """Return this host's in-flight requests by upstream, of one zone or all."""
        in_flights = state.in_flight_by_number.values()
        return remote_in_flight.own_counts(in_flights, state.health.by_id, zone)

    def check_overdue():
        """Record in-flight requests that take far too long as slow, once each."""
        record_survivors()
        for in_flight in list(state.in_flight_by_number.values()):
            if upstream_health.is_overdue(in_flight, now()):
                in_flight.is_slow = True
                record_outcome(in_flight.health, Outcome.SLOW)
        remote_counts.expire()
        log_of_cold.step()

    busiest = stale_loads.busiest_to_mean
    metrics.gauge(
        "busiest_upstream_to_mean", lambda: busiest(state.health.by_id_by_pool)
    )
    document_cache.subscribe(UPSTREAMS, rebuild)
    departure_service.on_merged(apply_departure)
    service = Upstreams(
        choose,
        release,
        merge_outcomes,
        remote_counts.merge,
        remote_counts.expire,
        log.recent,
        in_flight_counts,
        state.outcome_listeners.append,
        check_overdue,
        pool_health,
        record_broken_answer,
    )
    kernel.register("upstreams", service)
    return service
