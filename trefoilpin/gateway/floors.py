"""Floor on the number of upstreams that share a pool's requests.

Requests go to the upstreams that are known to be healthy, so one that failed and
recovered may get nothing for long if its pool serves only requests that may not be
repeated. While a pool leaves many requests unserved, each upstream that is not known to
fail gets a request now and then. An upstream that joins gets its first request soon.
"""

import math
from typing import Callable, NamedTuple

from trefoilpin import events

__all__ = ["Floors", "create"]

# Share of failed attempts from which on the floor holds. The floor is owed from a tenth
# of unserved requests on.
MIN_FAILED_SHARE = 0.09
# Time constant of the moving sums of attempts; the floor is judged over 2 s.
AVERAGE_SECONDS = 3.0
# Failed attempts below which their share says little.
MIN_FAILED_ATTEMPTS = 3.0
# An upstream without a request for this time is due for one.
MAX_IDLE_SECONDS = 1.0
# An upstream that joined waits at most this long for a request that may be repeated.
MAX_NEWCOMER_SECONDS = 1.0
# Share of the requests that may not be repeated that go to an upstream that is due.
NON_REPEATABLE_SHARE = 0.2


class Floors(NamedTuple):
    """``floors``: keeps a pool's requests spread while many of them fail.

    ``record(pool, is_failed)`` counts an attempt of this host. ``find_due(pool,
    healths, is_repeatable)`` returns the ``UpstreamHealth`` that is due for a request,
    or None.
    """

    record: Callable[[str, bool], None]
    find_due: Callable


class PoolAttempts:
    """Moving sums of a pool's attempts and of the failed ones."""

    def __init__(self, now):
        self.attempts = 0.0
        self.failed = 0.0
        self.updated_at = now

    def decay(self, now):
        """Let the sums decay until now."""
        factor = math.exp(-(now - self.updated_at) / AVERAGE_SECONDS)
        self.attempts *= factor
        self.failed *= factor
        self.updated_at = now


def create(kernel):
    """Create the service ``floors``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Floors
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    attempts_by_pool: dict[str, PoolAttempts] = {}

    def record(pool, is_failed):
        attempts = attempts_by_pool.get(pool)
        if attempts is None:
            attempts = attempts_by_pool[pool] = PoolAttempts(now())
        attempts.decay(now())
        attempts.attempts += 1.0
        attempts.failed += is_failed

    def is_at_risk(pool):
        attempts = attempts_by_pool.get(pool)
        if attempts is None:
            return False
        attempts.decay(now())
        min_failed = max(attempts.attempts * MIN_FAILED_SHARE, MIN_FAILED_ATTEMPTS)
        return attempts.failed >= min_failed

    def find_due(pool, healths, is_repeatable):
        for health in healths:
            uptime = now() - health.joined_at
            if health.is_newcomer and (is_repeatable or uptime > MAX_NEWCOMER_SECONDS):
                metrics.count("newcomer_requests")
                return report(health, "joined")
        if not is_at_risk(pool):
            return None
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

    service = Floors(record, find_due)
    kernel.register("floors", service)
    return service
