"""Retries that the holder of the lease grants, by pool.

They come from the parts that hosts give with their asks, and from a count of retries
that no request pays for. As the count of an earlier holder isn't known, a new one uses
it only once the grants of the earlier one lie outside of any window.
"""

from collections import deque
from typing import Callable, NamedTuple

__all__ = [
    "MAX_GIVEN",
    "MAX_TOKENS",
    "MAX_WANTS",
    "POOL_SECONDS",
    "GrantedRetries",
    "RetryAsk",
    "RetryBounds",
    "RetryGrant",
    "RetryPools",
    "RetryWant",
    "create",
]

# What was given is granted within this time.
POOL_SECONDS = 0.5
# Retries for one pool, and pools, that a host asks for at once.
MAX_TOKENS = 8
MAX_WANTS = 64
# A host gives the parts of a second.
MAX_GIVEN = 1000.0
# Pools beyond this number are dropped when nothing is known of them.
MAX_POOLS = 1000


class RetryBounds(NamedTuple):
    """Bound on the retries of a pool in any window, over all hosts.

    Attributes
    ----------
    share : float
        Retries for each request.
    slack : float
        Retries beyond these.
    window : float
        Seconds.
    """

    share: float
    slack: float
    window: float


class RetryWant(NamedTuple):
    """Retries that a host wants for a pool, and the parts that it gives."""

    pool: str
    tokens: int
    given: float


class RetryAsk(NamedTuple):
    """A host's ask for retries."""

    number: int
    wants: tuple[RetryWant, ...]


class GrantedRetries(NamedTuple):
    """Retries that a host was granted for a pool, and what the holder has left."""

    pool: str
    tokens: int
    left: float


class RetryGrant(NamedTuple):
    """The response to an ask; the fields are as in ``ColdGrant``."""

    number: int
    is_holder: bool
    holder: str
    granted: tuple[GrantedRetries, ...]


class RetryPools(NamedTuple):
    """``answer(ask, time, held_since)`` returns what a host is granted.

    It had asked by that time of the clock, at which this host held the lease, without
    another holder since ``held_since``.
    """

    answer: Callable


class PoolRetries:
    """What is there to be granted for a pool.

    Attributes
    ----------
    parts : deque of [float, float]
        When a part was given, and what is left of it.
    beyond : deque of (float, float)
        When retries were granted that no request paid for, and how many.
    """

    def __init__(self):
        self.parts: deque[list[float]] = deque()
        self.beyond: deque[tuple[float, float]] = deque()


class PoolState:
    """Retries of each pool, and the lease in which they were counted."""

    def __init__(self):
        self.retries_by_pool: dict[str, PoolRetries] = {}
        self.held_since = float("-inf")


def create(kernel, bounds, token_seconds):
    """Create the pools of a holder.

    Parameters
    ----------
    kernel : Kernel
    bounds : RetryBounds
    token_seconds : float
        Time after an ask by which a granted retry is sent.

    Returns
    -------
    RetryPools
    """
    state = PoolState()
    metrics = kernel.find("metrics")
    # Retries that are sent in a window were granted in this span.
    span = bounds.window + token_seconds

    def answer(ask, time, held_since):
        if state.held_since != held_since:
            state.held_since = held_since
            state.retries_by_pool.clear()
        if len(state.retries_by_pool) > MAX_POOLS:
            drop_empty(time)
        granted = []
        for want in ask.wants[:MAX_WANTS]:
            granted.append(grant(want, time))
        return tuple(granted)

    def grant(want, time):
        retries = state.retries_by_pool.setdefault(want.pool, PoolRetries())
        expire(retries, time)
        retries.parts.append([time, min(want.given, MAX_GIVEN)])
        given = sum(part[1] for part in retries.parts)
        beyond = 0.0
        if time >= state.held_since + span:
            beyond = bounds.slack - sum(count for _, count in retries.beyond)
        available = given + max(beyond, 0.0)
        tokens = min(int(available), want.tokens, MAX_TOKENS)
        lacking = take_parts(retries, float(tokens))
        if lacking > 0.0:
            retries.beyond.append((time, lacking))
            metrics.count("retries_granted_beyond", lacking)
        metrics.count("retries_granted", tokens)
        return GrantedRetries(want.pool, tokens, available - tokens)

    def take_parts(retries, wanted):
        """Take what was given; return what is lacking."""
        while wanted > 0.0 and retries.parts:
            taken = min(retries.parts[0][1], wanted)
            wanted -= taken
            retries.parts[0][1] -= taken
            if retries.parts[0][1] <= 0.0:
                retries.parts.popleft()
        return wanted

    def expire(retries, time):
        while retries.parts and time - retries.parts[0][0] >= POOL_SECONDS:
            retries.parts.popleft()
        while retries.beyond and time - retries.beyond[0][0] > span:
            retries.beyond.popleft()

    def drop_empty(time):
        """Drop pools that a new one would equal."""
        for pool, retries in list(state.retries_by_pool.items()):
            expire(retries, time)
            if not retries.parts and not retries.beyond:
                del state.retries_by_pool[pool]

    return RetryPools(answer)
