"""Requests in flight as evidence that their upstreams were healthy when they started.

Where failures come at once, a request that is still at work after that time shows as
much as its answer will, and far sooner.
"""

from collections import deque
from typing import Callable, NamedTuple

__all__ = ["FAST_FAILURE_SECONDS", "EarlyEvidence", "create"]

# Failures show within this time where upstreams fail fast.
FAST_FAILURE_SECONDS = 0.03
# A request counts as good once it outlived fast failures, if at least this share of its
# pool's failures is fast.
MIN_FAST_SHARE = 0.6
# Share assumed of a pool without failures so far: a connection that breaks or an error
# at once is the common failure.
INITIAL_FAST_SHARE = 0.6
# Weight of a new failure in the moving average of that share.
FAST_SHARE_WEIGHT = 0.2


class EarlyEvidence(NamedTuple):
    """Which requests in flight outlived fast failures.

    ``add(number)`` adds a request that was sent, by its number. ``record_failure(pool,
    seconds)`` counts a failure by the time it took. ``take_survivors()`` returns the
    ``InFlightRequest`` of each request that outlived fast failures since the last call.
    """

    add: Callable[[int], None]
    record_failure: Callable[[str, float], None]
    take_survivors: Callable[[], list]


def create(now, find_in_flight):
    """Create the functions that watch requests in flight.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.
    find_in_flight : callable
        Returns the ``InFlightRequest`` of a number, or None once it ended.

    Returns
    -------
    EarlyEvidence
    """
    numbers: deque[int] = deque()
    fast_share_by_pool: dict[str, float] = {}

    def fast_share(pool):
        return fast_share_by_pool.get(pool, INITIAL_FAST_SHARE)

    def record_failure(pool, seconds):
        is_fast = seconds < FAST_FAILURE_SECONDS
        share = fast_share(pool)
        fast_share_by_pool[pool] = share + (is_fast - share) * FAST_SHARE_WEIGHT

    def take_survivors():
        survivors = []
        while numbers:
            in_flight = find_in_flight(numbers[0])
            if in_flight is not None:
                if now() - in_flight.started_at < FAST_FAILURE_SECONDS:
                    break
                if fast_share(in_flight.health.upstream.pool) >= MIN_FAST_SHARE:
                    survivors.append(in_flight)
            numbers.popleft()
        return survivors

    return EarlyEvidence(numbers.append, record_failure, take_survivors)
