"""Upstreams as this host sees them, and the choice of one for a request.

What is known of each: the probability that it is unsound, the requests under way there
from the whole fleet, whether it is draining, cold, in a zone that is out, or out of
this host's reach. Identity is id and birth: another start under the same id begins
anew.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway import upstream_selection, failure_models, upstream_health
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS, ZONES_OUT
from trefoilpin.gateway.messages import UpstreamOutcome
from trefoilpin.gateway.failure_models import Outcome
from trefoilpin.gateway.request_contexts import is_unreached
from trefoilpin.messages import Choice
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["Upstreams", "create"]

# Beyond this probability an upstream gets work only when no sounder one is in the pool.
ACCEPTED_UNSOUND = 0.5
FIRST_BACKOFF_SECONDS = 0.3
MOST_BACKOFF_SECONDS = 2.0
# An upstream that shed is full for about this part of a request's time.
SHED_SECONDS = 0.06
SLOWNESS_WEIGHT = 0.25
# Good outcomes are told to others only when they say something.
TOLD_UNSOUND = 0.06
TOLD_SECONDS = 0.15
# A good outcome is told at once where an upstream was doubted.
URGENT_UNSOUND = 0.3
# A note goes out several times, as a datagram may be lost.
NEAR_NOTE_SECONDS = 0.3
FAR_NOTE_SECONDS = 1.0
MAX_NOTES = 60
# Counts of a host that fell silent are dropped after this time.
FLIGHT_SECONDS = 1.5
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
    """``upstreams``: choice of upstreams, and what their outcomes tell.

    ``choose(pool, tried, need, usual)`` gives a ``Choice`` or a ``Refusal``, where
    ``usual`` is the route's usual time; ``release(choice, attempt, usual)`` takes the
    outcome. ``learn_outcomes``, ``learn_flights`` and ``forget_flights`` take what
    another host tells, ``notes()`` and ``flights()`` give what to tell. ``on_news``
    has a function called when there is something that others should hear at once.
    ``watch()`` looks for requests that hang. ``find(pool)`` gives the standings.
    """

    choose: Callable
    release: Callable
    learn_outcomes: Callable
    learn_flights: Callable
    forget_flights: Callable
    notes: Callable
    flights: Callable
    on_news: Callable
    watch: Callable
    find: Callable


class UpstreamState:
    """Standings by pool, requests under way, and what to tell others."""

    def __init__(self):
        self.standings_by_pool: dict[str, dict[str, upstream_health.UpstreamHealth]] = (
            {}
        )
        self.standing_by_id: dict[str, upstream_health.UpstreamHealth] = {}
        self.flight_by_number: dict[int, upstream_health.InFlightRequest] = {}
        self.flights_by_host: dict[str, tuple[float, dict[str, int]]] = {}
        self.notes: list[tuple[float, UpstreamOutcome]] = []
        self.last_note_by_host: dict[tuple[str, int], int] = {}
        self.number = 0
        self.note_number = 0
        self.news = []


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
        standings_by_pool = {}
        standing_by_id = {}
        for upstream in upstream_by_id.values():
            standing = state.standing_by_id.get(upstream.id)
            if standing is None or standing.upstream.born != upstream.born:
                standing = upstream_health.UpstreamHealth(upstream, now())
            elif upstream.cold_remaining != standing.upstream.cold_remaining:
                standing.cold_until = now() + upstream.cold_remaining
            if upstream.draining and not standing.upstream.draining:
                emit(
                    events.UPSTREAM_DRAINING,
                    pool=upstream.pool,
                    upstream=upstream.id,
                    source="store",
                )
            standing.upstream = upstream
            standings_by_pool.setdefault(upstream.pool, {})[upstream.id] = standing
            standing_by_id[upstream.id] = standing
        state.standings_by_pool = standings_by_pool
        state.standing_by_id = standing_by_id

    def unsound(standing):
        return upstream_health.unsound(standing, now())

    def is_usable(standing, zones_out):
        upstream = standing.upstream
        return not upstream.draining and upstream.zone not in zones_out

    def has_room(standing, cold_rate):
        share = cold_rate / max(sender_count(), 1)
        return upstream_health.has_room(standing, now(), share)

    def describe(standing):
        upstream = standing.upstream
        return upstream_selection.Candidate(
            upstream.id,
            unsound(standing),
            (standing.own + standing.others + 1) / max(upstream.slots, 1),
            upstream.zone == own_zone,
            standing.slowness,
        )

    def choose(pool_id, tried, need, usual):
        zones_out = document_cache.value(ZONES_OUT)
        pool = document_cache.value(CONFIGURATION).pool_by_id.get(pool_id)
        cold_rate = pool.cold_rate if pool is not None else 0.0
        accepted, doubtful, exists_accepted, exists = [], [], False, False
        for standing in state.standings_by_pool.get(pool_id, {}).values():
            if standing.upstream.id in tried or not is_usable(standing, zones_out):
                continue
            exists = True
            candidate = describe(standing)
            is_accepted = candidate.unsound <= ACCEPTED_UNSOUND
            is_reachable = now() >= standing.avoided_until
            exists_accepted = exists_accepted or (is_accepted and is_reachable)
            if has_room(standing, cold_rate):
                (accepted if is_accepted else doubtful).append(candidate)
        if not exists:
            return NONE_LEFT
        if not accepted and (exists_accepted or not doubtful):
            return SATURATED
        chosen = upstream_selection.choose(accepted or doubtful, need, rng)
        return Success(take(pool_id, state.standing_by_id[chosen.id], usual))

    def take(pool_id, standing, usual):
        standing.own += 1
        if now() < standing.cold_until:
            standing.cold_tokens -= 1.0
        state.number += 1
        state.flight_by_number[state.number] = upstream_health.InFlightRequest(
            standing, now(), usual
        )
        return Choice(standing.upstream, pool_id, state.number)

    def release(choice, attempt, usual):
        flight = state.flight_by_number.pop(choice.number)
        standing = flight.standing
        standing.own -= 1
        if attempt is None:
            return
        if is_unreached(attempt):
            avoid(standing)
            return
        standing.failed_connects = 0
        outcome = upstream_health.judge(attempt, usual)
        if outcome is None:
            return
        if outcome is Outcome.SHED:
            standing.full_until = now() + SHED_SECONDS
        if attempt.answer is not None and outcome is not Outcome.SHED and usual > 0:
            ratio = attempt.seconds / usual
            standing.slowness += (min(ratio, 8.0) - standing.slowness) * SLOWNESS_WEIGHT
        if outcome is Outcome.SLOW and flight.is_slow:
            outcome = Outcome.GOOD
        note(standing, outcome)

    def avoid(standing):
        """Stay away from an upstream that this host can't reach, for ever longer."""
        doubled = FIRST_BACKOFF_SECONDS * 2 ** min(standing.failed_connects, 6)
        seconds = min(doubled, MOST_BACKOFF_SECONDS)
        standing.failed_connects += 1
        standing.avoided_until = now() + seconds
        emit(
            events.UPSTREAM_AVOIDED,
            pool=standing.upstream.pool,
            upstream=standing.upstream.id,
            seconds=seconds,
            failures=standing.failed_connects,
        )

    def note(standing, outcome):
        """Take an outcome of this host, and tell others when it says something."""
        before = unsound(standing)
        judge_standing(standing, before, outcome, "own")
        recently = now() - standing.told_at < TOLD_SECONDS
        if outcome is Outcome.GOOD and (before < TOLD_UNSOUND or recently):
            return
        standing.told_at = now()
        state.note_number += 1
        told = UpstreamOutcome(state.note_number, standing.upstream.id, outcome)
        state.notes.append((now(), told))
        del state.notes[:-MAX_NOTES]
        if outcome is not Outcome.GOOD or before > URGENT_UNSOUND:
            for function in state.news:
                function()

    def judge_standing(standing, before, outcome, source):
        standing.unsound = failure_models.update(before, outcome)
        standing.judged_at = now()
        crossed = (before <= ACCEPTED_UNSOUND) != (standing.unsound <= ACCEPTED_UNSOUND)
        if crossed:
            emit(
                events.SOUNDNESS_CHANGED,
                pool=standing.upstream.pool,
                upstream=standing.upstream.id,
                unsound=round(standing.unsound, 3),
                before=round(before, 3),
                outcome=outcome.name.lower(),
                source=source,
            )

    def learn_outcomes(host, incarnation, notes):
        last = state.last_note_by_host.get((host, incarnation), 0)
        for told in notes:
            if told.number <= last:
                continue
            last = told.number
            standing = state.standing_by_id.get(told.upstream)
            if standing is not None:
                judge_standing(standing, unsound(standing), told.outcome, host)
        state.last_note_by_host[(host, incarnation)] = last

    def learn_flights(host, count_by_upstream):
        drop_flights(host)
        for upstream, count in count_by_upstream.items():
            standing = state.standing_by_id.get(upstream)
            if standing is not None:
                standing.others += count
        state.flights_by_host[host] = (now(), count_by_upstream)

    def drop_flights(host):
        _, counts = state.flights_by_host.pop(host, (0.0, {}))
        for upstream, count in counts.items():
            standing = state.standing_by_id.get(upstream)
            if standing is not None:
                standing.others = max(standing.others - count, 0)

    def forget_flights():
        for host, (heard_at, _) in list(state.flights_by_host.items()):
            if now() - heard_at > FLIGHT_SECONDS:
                drop_flights(host)

    def notes(is_near):
        """Return outcomes of late; hosts of other zones hear of bad ones only."""
        found = []
        for at, told in state.notes:
            if now() - at > (NEAR_NOTE_SECONDS if is_near else FAR_NOTE_SECONDS):
                continue
            if is_near or told.outcome is not Outcome.GOOD:
                found.append(told)
        return tuple(found)

    def flights(zone):
        """Return requests of this host under way, at upstreams of one zone or all."""
        found = {}
        for standing in state.standing_by_id.values():
            if standing.own and zone in (None, standing.upstream.zone):
                found[standing.upstream.id] = standing.own
        return found

    def watch():
        """Count requests that are under way for far too long as slow, once each."""
        for flight in list(state.flight_by_number.values()):
            limit = max(
                flight.usual * upstream_health.SLOW_FACTOR,
                upstream_health.LEAST_SLOW_SECONDS,
            )
            if flight.is_slow or flight.usual <= 0:
                continue
            if now() - flight.started_at > limit:
                flight.is_slow = True
                note(flight.standing, Outcome.SLOW)
        forget_flights()

    document_cache.subscribe(UPSTREAMS, rebuild)
    service = Upstreams(
        choose,
        release,
        learn_outcomes,
        learn_flights,
        forget_flights,
        notes,
        flights,
        state.news.append,
        watch,
        lambda pool_id: tuple(state.standings_by_pool.get(pool_id, {}).values()),
    )
    kernel.register("upstreams", service)
    return service
