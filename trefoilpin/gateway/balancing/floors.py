"""Floor on the number of upstreams that share a pool's requests.

Requests go to the upstreams that are known to be healthy, so one that failed and
recovered may get nothing for long if its pool serves only requests that may not be
repeated. Most upstreams that are not known to fail get a request now and then; while a
pool leaves many requests unserved, each of them does. An upstream that joins gets its
first request soon.
"""

import math
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.balancing.upstream_health import failure_probability

__all__ = ["Floors", "create"]

# Share of failed attempts from which on the floor holds. The floor is owed from a tenth
# of unserved requests on.
MIN_FAILED_SHARE = 0.09
# The same for the attempts of all hosts, which tell more.
MIN_FLEET_FAILED_SHARE = 0.08
# Time constants of the moving sums of attempts. The floor is owed in any 2 s, so the
# failures of all hosts have to count well before these are over.
AVERAGE_SECONDS = 3.0
FLEET_AVERAGE_SECONDS = 0.8
# Failed attempts below which their share says little.
MIN_FAILED_ATTEMPTS = 3.0
# An upstream without a request for this time is due for one.
MAX_IDLE_SECONDS = 1.0
# Share of a zone's upstreams that are not known to fail and get requests also while few
# fail: the floor with a margin. All requests in flight may be lost at once, with the
# hosts that sent them, and the floor is owed for the time before that too. More would
# send more requests to upstreams of which little is known.
MIN_USED_SHARE = 0.72
# The floor is owed in any 2 s; the rest is for the time until a request that may go to
# an idle upstream arrives.
MAX_SPREAD_IDLE_SECONDS = 1.7
# With fewer upstreams in a zone, each further one would take some hundredths of all
# requests.
MIN_SPREAD_UPSTREAMS = 4
# An upstream that joined waits at most this long for a request that may be repeated.
MAX_NEWCOMER_SECONDS = 1.0
# Share of the requests that may not be repeated that go to an upstream that is due.
NON_REPEATABLE_SHARE = 0.2


class Floors(NamedTuple):
    """``floors``: keeps a pool's requests spread while many of them fail.

    ``record(pool, is_failed)`` counts an attempt of this host, and
    ``record_remote_failure(pool)`` a failed one of another host that sends requests;
    their other attempts are taken to be as many as those of this host. ``find_due(pool,
    healths, is_repeatable)`` returns the ``UpstreamHealth`` that is due for a request,
    or None.
    """

    record: Callable[[str, bool], None]
    record_remote_failure: Callable[[str], None]
    find_due: Callable


class PoolAttempts:
    """Moving sums of this host's attempts at a pool, and of the failed ones.

    Attributes
    ----------
    seconds : float
        Time constant of the sums.
    """

    def __init__(self, now, seconds):
        self.attempts = 0.0
        self.failed = 0.0
        self.seconds = seconds
        self.updated_at = now

    def decay(self, now):
        """Let the sums decay until now."""
        factor = math.exp(-(now - self.updated_at) / self.seconds)
        self.attempts *= factor
        self.failed *= factor
        self.updated_at = now

    def is_failing(self, share, hosts):
        """Tell whether a share failed, with this host's attempts made by all hosts."""
        min_failed = max(self.attempts * hosts * share, MIN_FAILED_ATTEMPTS)
        return self.failed >= min_failed


def create(kernel, sender_count):
    """Create the service ``floors``.

    Parameters
    ----------
    kernel : Kernel
    sender_count : callable
        Returns the number of hosts that send requests to upstreams.

    Returns
    -------
    Floors
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    own_by_pool: dict[str, PoolAttempts] = {}
    fleet_by_pool: dict[str, PoolAttempts] = {}

    def current(attempts_by_pool, pool, seconds):
        attempts = attempts_by_pool.get(pool)
        if attempts is None:
            attempts = attempts_by_pool[pool] = PoolAttempts(now(), seconds)
        attempts.decay(now())
        return attempts

    def own_attempts(pool):
        return current(own_by_pool, pool, AVERAGE_SECONDS)

    def fleet_attempts(pool):
        return current(fleet_by_pool, pool, FLEET_AVERAGE_SECONDS)

    def record(pool, is_failed):
        for attempts in (own_attempts(pool), fleet_attempts(pool)):
            attempts.attempts += 1.0
            attempts.failed += is_failed

    def record_remote_failure(pool):
        fleet_attempts(pool).failed += 1.0

    def is_at_risk(pool):
        if own_attempts(pool).is_failing(MIN_FAILED_SHARE, 1):
            return True
        hosts = max(sender_count(), 1)
        return fleet_attempts(pool).is_failing(MIN_FLEET_FAILED_SHARE, hosts)

    def find_due(pool, healths, is_repeatable):
        for health in healths:
            uptime = now() - health.joined_at
            if health.is_newcomer and (is_repeatable or uptime > MAX_NEWCOMER_SECONDS):
                metrics.count("newcomer_requests")
                return report(health, "joined")
        if not is_at_risk(pool):
            return find_unused(healths, is_repeatable)
        if not is_repeatable and kernel.rng.random() >= NON_REPEATABLE_SHARE:
            return None
        due = None
        for health in healths:
            if now() - health.used_at < MAX_IDLE_SECONDS:
                continue
            if due is None or health.used_at < due.used_at:
                due = health
        if due is None:
            return None
        metrics.count("floor_requests")
        return report(due, "unused")

    def find_unused(healths, is_repeatable):
        """Return the best idle upstream when too few of them are in use, or None."""
        if len(healths) < MIN_SPREAD_UPSTREAMS:
            return None
        idle = []
        for health in healths:
            if now() - health.used_at >= MAX_SPREAD_IDLE_SECONDS:
                idle.append(health)
        if len(idle) <= len(healths) * (1.0 - MIN_USED_SHARE):
            return None
        if not is_repeatable and kernel.rng.random() >= NON_REPEATABLE_SHARE:
            return None
        metrics.count("spread_requests")
        best = min(idle, key=lambda health: failure_probability(health, now()))
        return report(best, "spread")

    def report(health, reason):
        """Log why an upstream is due; return its health."""
        upstream = health.upstream
        emit(
            events.UPSTREAM_DUE,
            pool=upstream.pool,
            upstream=upstream.id,
            reason=reason,
        )
        return health

    service = Floors(record, record_remote_failure, find_due)
    kernel.register("floors", service)
    return service
