"""Whether it is known that an upstream is warm, and which upstreams to ask for it.

An upstream may turn cold at any time, so that it is warm is known only as of some time:
that at which the store held this host's document of upstreams, or at which a host of
the zone asked the upstream itself. Where that is too long ago the upstream gets no
requests. While no host reaches the store, nothing later can be known of most upstreams;
then only those are held back that this host could not reach since.

A question is a request like any other to an upstream that is cold. So each host that is
known in the zone, silent or not, has a turn of its own, by its position among them, and
asks in no other. Hosts that hear each other share results, and skip their turns while
one is recent; hosts that are cut off each for itself know less, but ask no more often.
"""

from typing import Callable, NamedTuple
from zlib import crc32

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS, ZONES_OUT

__all__ = [
    "AWAY_CHECK_INTERVAL_SECONDS",
    "CHECK_FROM_AGE_SECONDS",
    "CHECK_INTERVAL_SECONDS",
    "MAX_REPORTS",
    "MAX_WARMTH_AGE_SECONDS",
    "ColdChecks",
    "ColdReport",
    "DueCheck",
    "KnownHosts",
    "create",
    "is_unsure",
]

# An upstream counts as warm for this time after it was known to be. The last host in
# the order of readers reads the store at an age of 1.83 s; the call and two gossip
# messages take up to 0.65 s.
MAX_WARMTH_AGE_SECONDS = 2.5
# Upstreams are asked from this age of the document on, above that of a new reader.
CHECK_FROM_AGE_SECONDS = 1.9
# An upstream isn't asked while a result is younger than this.
CHECK_INTERVAL_SECONDS = 1.0
# The same while no host reaches the store, when a result only holds upstreams back.
AWAY_CHECK_INTERVAL_SECONDS = 2.0
# Questions a second that an upstream gets from all hosts of its zone, and from all
# others. The grants leave 3 in each second: the slack of 5 without the 2 of a full
# bucket; the hosts' documents don't grow old at the same moment.
ZONE_CHECKS_PER_SECOND = 1.5
OTHER_CHECKS_PER_SECOND = 0.7
STEP_INTERVAL_SECONDS = 0.05
# A host with few requests needs few upstreams.
CHECKS_PER_REQUEST = 2
MAX_CHECKS_AHEAD = 8
# Results are in the messages within the zone for this time. The relays pass them on to
# hosts outside the mesh, each 0.4 s.
REPORT_SECONDS = 1.0
MAX_REPORTS = 64
# Ages of one result in several messages differ by their time in queues.
SAME_RESULT_SECONDS = 0.2


class KnownHosts(NamedTuple):
    """Hosts that this one knows, silent ones and itself included.

    Attributes
    ----------
    in_zone, in_all : int
        Number of those of its zone, and of all.
    zone_position, position : int
        Its place among them by address, from 0.
    """

    in_zone: int
    in_all: int
    zone_position: int
    position: int


ALONE = KnownHosts(1, 1, 0, 0)


class ColdReport(NamedTuple):
    """What a host learned from an upstream's answer.

    Attributes
    ----------
    pool, upstream : str
    born : int
    cold_seconds : float
        Upper bound on how long it stays cold, counted from the sending of the report.
    age : float
        Upper bound in seconds since the upstream was asked.
    """

    pool: str
    upstream: str
    born: int
    cold_seconds: float
    age: float


class DueCheck(NamedTuple):
    """An upstream to ask, and the path to ask at.

    Attributes
    ----------
    health : UpstreamHealth
    upstream : Upstream
    path : str
    """

    health: tuple
    upstream: tuple
    path: str


class ColdChecks(NamedTuple):
    """``cold_checks``: whether upstreams are known to be warm.

    ``mark(pool, healths)`` is called before each choice of an upstream of a pool and
    sets ``is_unsure`` of its ``UpstreamHealth``. ``take_due()`` returns the upstreams
    to ask now, at most some at once, as ``DueCheck``. ``record(check, asked_at,
    outcome)`` records a ``Result`` with the seconds for which an upstream stays cold.
    ``reports()`` are the recent results that this host knows, and ``merge(reports)``
    takes those of another host. ``pause()`` returns the seconds until upstreams may be
    due.
    """

    mark: Callable
    take_due: Callable[[], tuple[DueCheck, ...]]
    record: Callable
    reports: Callable[[], tuple[ColdReport, ...]]
    merge: Callable
    pause: Callable[[], float]


class ColdCheckState:
    """Pools in use, those with marked upstreams, and recent results.

    Attributes
    ----------
    checks_left_by_pool : dict
        Questions that the requests of a pool are worth.
    unsure_since_by_pool : dict
        When a pool's upstreams began to be marked.
    report_by_upstream : dict
        Recent results, and the clock times at which the upstreams were asked, and at
        which this host learned the result.
    known : KnownHosts
        When the document was last recent. A host that is cut off forgets others in
        time, but they go on asking.
    """

    def __init__(self):
        self.known = ALONE
        self.checks_left_by_pool: dict[str, int] = {}
        self.unsure_since_by_pool: dict[str, float] = {}
        self.report_by_upstream: dict[str, tuple[float, float, ColdReport]] = {}


def is_unsure(health, known_at, is_store_away, now):
    """Tell whether an upstream may have turned cold without this host's knowledge.

    Parameters
    ----------
    health : UpstreamHealth
    known_at : float
        Clock time at which it was last known whether it is cold.
    is_store_away : bool
        True when no host reaches the store.
    now : float
    """
    if now - known_at <= MAX_WARMTH_AGE_SECONDS:
        return False
    # An upstream that could not be reached may have started again.
    return not is_store_away or known_at <= health.avoided_until


def create(
    kernel,
    own_zone,
    is_store_away,
    is_sender=lambda: True,
    known_hosts=lambda: ALONE,
):
    """Create the service ``cold_checks``.

    Parameters
    ----------
    kernel : Kernel
    own_zone : str
    is_store_away : callable
        Tells whether no host reaches the store.
    is_sender : callable, optional
        Tells whether this host is one of those that send most requests. One that isn't
        and knows no other host doesn't ask upstreams that it could reach while it can't
        read the store.
    known_hosts : callable, optional
        Returns the ``KnownHosts``.

    Returns
    -------
    ColdChecks
    """
    state = ColdCheckState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    started_at = now()

    def mark(pool_id, healths):
        age = document_cache.renewed_age(UPSTREAMS)
        if age > CHECK_FROM_AGE_SECONDS:
            left = state.checks_left_by_pool.get(pool_id, 0) + CHECKS_PER_REQUEST
            state.checks_left_by_pool[pool_id] = min(left, MAX_CHECKS_AHEAD)
        is_stale = age > MAX_WARMTH_AGE_SECONDS
        if not is_stale and pool_id not in state.unsure_since_by_pool:
            return
        is_away = is_stale and is_store_away()
        unsure = 0
        for health in healths:
            known_at = max(now() - age, health.checked_at)
            health.is_unsure = is_unsure(health, known_at, is_away, now())
            unsure += health.is_unsure
        log_change(pool_id, age, is_away, unsure)

    def log_change(pool_id, age, is_away, unsure):
        """Log that a pool begins or ends to have upstreams that are held back."""
        since = state.unsure_since_by_pool.get(pool_id)
        if unsure and since is None:
            state.unsure_since_by_pool[pool_id] = now()
            emit(
                events.WARMTH_UNKNOWN,
                pool=pool_id,
                age=round(age, 3),
                store_away=is_away,
                upstreams=unsure,
            )
        elif not unsure and since is not None:
            del state.unsure_since_by_pool[pool_id]
            metrics.time("warmth_unknown_seconds", now() - since)
            emit(events.WARMTH_KNOWN, pool=pool_id, seconds=round(now() - since, 3))

    def take_due():
        if document_cache.renewed_age(UPSTREAMS) <= CHECK_FROM_AGE_SECONDS:
            state.checks_left_by_pool.clear()
            state.known = known_hosts()
            return ()
        current = known_hosts()
        if current.in_all > state.known.in_all:
            state.known = current
        taken = []
        for pool_id, left in state.checks_left_by_pool.items():
            due = list_due(pool_id)
            due.sort(key=lambda check: check.health.checked_at)
            taken.extend(due[:left])
            state.checks_left_by_pool[pool_id] = max(left - len(due), 0)
        for check in taken:
            end_turn(check.health)
        return tuple(taken)

    def turns(upstream):
        """Return the seconds between two turns at an upstream, and the share of one."""
        if upstream.zone == own_zone:
            count, rate = state.known.in_zone, ZONE_CHECKS_PER_SECOND
        else:
            count, rate = state.known.in_all, OTHER_CHECKS_PER_SECOND
        period = max(CHECK_INTERVAL_SECONDS, count / rate)
        return period, period / count

    def begin_turns(health, time):
        """Set this host's turns at an upstream that all may ask from a time on."""
        upstream = health.upstream
        number = crc32(upstream.id.encode())
        if upstream.zone == own_zone:
            place = (number + state.known.zone_position) % state.known.in_zone
        else:
            place = (number + state.known.position) % state.known.in_all
        health.turn_at = time + place * turns(upstream)[1]

    def end_turn(health):
        """Wait for the next turn at an upstream."""
        period, _ = turns(health.upstream)
        missed = max((now() - health.turn_at) // period, 0.0)
        health.turn_at += (missed + 1.0) * period

    def is_only_host():
        return state.known.in_all == 1

    def is_turn(health, interval):
        """Tell whether this host may ask an upstream now.

        Not while a result is younger than the interval in seconds.
        """
        if health.turn_at < grown_old_at():
            begin_turns(health, grown_old_at())
        _, seconds = turns(health.upstream)
        # Late in its turn a host would ask together with the next one.
        if now() >= health.turn_at + seconds / 2.0 and not is_only_host():
            end_turn(health)
        if now() < health.turn_at:
            return False
        if now() - health.checked_at < interval:
            end_turn(health)
            return False
        return True

    def list_due(pool_id):
        """Return the upstreams of a pool that are due, of the own zone if it has any.

        Those of other zones are used by requests only when there are none of this one.
        """
        pool = document_cache.value(CONFIGURATION).pool_by_id.get(pool_id)
        if pool is None or not pool.health_path:
            return []
        is_away = is_store_away()
        in_use = list_in_use(pool_id)
        in_zone = [health for health in in_use if health.upstream.zone == own_zone]
        due = []
        for health in in_zone or in_use:
            if now() < max(health.cold_until, health.avoided_until):
                continue
            if is_due(health, is_away and not health.is_unsure):
                due.append(DueCheck(health, health.upstream, pool.health_path))
        return due

    def is_due(health, is_in_use):
        """Tell whether to ask an upstream, which may be in use in an outage."""
        if not is_in_use:
            return is_turn(health, CHECK_INTERVAL_SECONDS)
        if is_only_host() and not is_sender():
            return False
        return is_turn(health, AWAY_CHECK_INTERVAL_SECONDS)

    def grown_old_at():
        """Return when the document became old enough for questions."""
        seconds = document_cache.renewed_age(UPSTREAMS) - CHECK_FROM_AGE_SECONDS
        return max(now() - seconds, started_at)

    def list_in_use(pool_id):
        zones_out = document_cache.value(ZONES_OUT)
        found = []
        for health in kernel.find("upstreams").pool_health(pool_id):
            upstream = health.upstream
            is_departing = upstream.draining or health.is_leaving
            if not is_departing and upstream.zone not in zones_out:
                found.append(health)
        return found

    def record(check, asked_at, outcome):
        health, upstream = check.health, check.upstream
        metrics.count("health_checks")
        if isinstance(outcome, Failure):
            metrics.count("health_checks_failed")
            emit(
                events.HEALTH_CHECK_FAILED,
                pool=upstream.pool,
                upstream=upstream.id,
                detail=outcome.failure(),
            )
            return
        cold_seconds = outcome.unwrap()
        report = ColdReport(
            upstream.pool, upstream.id, upstream.born, cold_seconds, now() - asked_at
        )
        learn(health, report)
        emit(
            events.HEALTH_CHECKED,
            pool=upstream.pool,
            upstream=upstream.id,
            cold_seconds=round(cold_seconds, 3),
            milliseconds=round((now() - asked_at) * 1000, 1),
        )

    def learn(health, report):
        """Take a result, and keep it to be passed on.

        Ages are upper bounds, so of two results at about the same time either may be
        the later one; then the one that says cold holds.
        """
        if report.cold_seconds > 0.0:
            health.cold_until = max(health.cold_until, now() + report.cold_seconds)
            begin_turns(health, health.cold_until)
        asked_at = now() - report.age
        if asked_at < health.checked_at and not report.cold_seconds:
            return
        health.checked_at = max(health.checked_at, asked_at)
        kept = state.report_by_upstream.get(report.upstream)
        if report.cold_seconds or kept is None or not kept[-1].cold_seconds:
            state.report_by_upstream[report.upstream] = (asked_at, now(), report)

    def reports():
        recent = []
        for upstream, kept in list(state.report_by_upstream.items()):
            asked_at, learned_at, report = kept
            age = now() - asked_at
            if age > REPORT_SECONDS:
                del state.report_by_upstream[upstream]
                continue
            left = max(report.cold_seconds - (now() - learned_at), 0.0)
            recent.append(report._replace(cold_seconds=left, age=age))
        recent.sort(key=lambda report: report.age)
        return tuple(recent[:MAX_REPORTS])

    def merge(received):
        for report in received:
            for health in kernel.find("upstreams").pool_health(report.pool):
                upstream = health.upstream
                if (upstream.id, upstream.born) != (report.upstream, report.born):
                    continue
                asked_at = now() - report.age
                if asked_at > health.checked_at + SAME_RESULT_SECONDS:
                    join_questions(report.pool)
                learn(health, report)

    def join_questions(pool_id):
        """Have this host take its turns, as others of the zone have requests."""
        left = state.checks_left_by_pool.get(pool_id, 0)
        state.checks_left_by_pool[pool_id] = max(left, CHECKS_PER_REQUEST)

    def pause():
        remaining = CHECK_FROM_AGE_SECONDS - document_cache.renewed_age(UPSTREAMS)
        return max(remaining, STEP_INTERVAL_SECONDS)

    service = ColdChecks(mark, take_due, record, reports, merge, pause)
    kernel.register("cold_checks", service)
    return service
