"""Retries that the holder of the lease grants, by pool.

They are paid by the requests that hosts give with their asks, or come from a count of
retries that no request pays for. A holder that stops hands its count over. Where that
of an earlier holder isn't known, a new one grants no such retries until those of the
earlier one lie outside of any window.
"""

from collections import OrderedDict, deque
from typing import Callable, NamedTuple

from trefoilpin.gateway.admission import retry_ledgers
from trefoilpin.gateway.admission.retry_ledgers import Ledger

__all__ = [
    "MAX_GIVEN",
    "MAX_GIVEN_SECONDS",
    "MAX_POOLS",
    "MAX_TOKENS",
    "MAX_WANTS",
    "GrantedRetries",
    "RetryAsk",
    "RetryBounds",
    "RetryGrant",
    "RetryPools",
    "RetryWant",
    "create",
]

# Retries for one pool, and pools, that a host asks for at once.
MAX_TOKENS = 64
MAX_WANTS = 64
# Requests that a host gives for each of the last seconds.
MAX_GIVEN = 100_000
MAX_GIVEN_SECONDS = 9
# More asks than come in the time in which a datagram may be repeated.
MAX_ANSWERED = 10_000
# Pools whose counts are handed over, so that the object of the lease stays small.
MAX_HANDOVER = 200
# Time for which an ask may be under way; asks take milliseconds.
TRANSIT_SECONDS = 0.1
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
    """Retries that a host wants for a pool.

    Attributes
    ----------
    pool : str
    tokens : int
    reserved : float
        Retries that have to be left beside them.
    given : tuple of int
        Requests that the host gives, of each of the last seconds.
    """

    pool: str
    tokens: int
    reserved: float
    given: tuple[int, ...]


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
    """``answer(ask, time, held_since)`` returns what a host is granted, by its wants.

    It had asked by that time of the clock, at which this host held the lease, without
    another holder since ``held_since``. ``handover(held_since)`` is what the next
    holder has to know, or None.
    """

    answer: Callable
    handover: Callable


class PoolRetries:
    """What was granted for a pool.

    Attributes
    ----------
    ledger : Ledger
        Requests that hosts gave, and the retries for which they paid.
    beyond : deque of (float, float)
        When retries were granted that no request paid for, and how many.
    """

    def __init__(self):
        self.ledger = Ledger()
        self.beyond: deque[tuple[float, int]] = deque()


class PoolState:
    """Retries of each pool, and the lease in which they were counted.

    Attributes
    ----------
    counts_since : float
        Clock time from which on all retries beyond were counted.
    answered : OrderedDict
        Numbers of the last asks. Datagrams may be repeated, and no request pays twice.
    """

    def __init__(self):
        self.retries_by_pool: dict[str, PoolRetries] = {}
        self.held_since = float("-inf")
        self.counts_since = float("-inf")
        self.answered: OrderedDict[int, None] = OrderedDict()


def create(kernel, bounds, token_seconds, read_handover):
    """Create the pools of a holder.

    Parameters
    ----------
    kernel : Kernel
    bounds : RetryBounds
    token_seconds : float
        Time after an ask by which a granted retry is sent.
    read_handover : callable
        Returns what the earlier holder handed over to this one, or None.

    Returns
    -------
    RetryPools
    """
    state = PoolState()
    metrics = kernel.find("metrics")
    ledger_bounds = retry_ledgers.create_bounds(
        bounds.share, bounds.window, token_seconds
    )
    # Retries that are sent in a window were granted in this span.
    span = bounds.window + token_seconds

    def answer(ask, time, held_since):
        if state.held_since != held_since:
            begin(time, held_since)
        if ask.number in state.answered:
            return ()
        state.answered[ask.number] = None
        if len(state.answered) > MAX_ANSWERED:
            state.answered.popitem(last=False)
        if len(state.retries_by_pool) > MAX_POOLS:
            drop_unused(time)
        granted = []
        for want in ask.wants[:MAX_WANTS]:
            granted.append(grant(want, time))
        return tuple(granted)

    def begin(time, held_since):
        """Begin to count for a lease with what the earlier holder counted."""
        state.held_since = state.counts_since = held_since
        state.retries_by_pool.clear()
        count_by_pool = read_handover()
        if not is_handover(count_by_pool):
            return
        state.counts_since = held_since - span
        for pool, count in count_by_pool.items():
            retries = state.retries_by_pool[pool] = PoolRetries()
            retries.beyond.append((time, count))

    def grant(want, time):
        retries = state.retries_by_pool.setdefault(want.pool, PoolRetries())
        for age, count in enumerate(want.given[:MAX_GIVEN_SECONDS]):
            given_at = time - age - 1.0 - TRANSIT_SECONDS
            retry_ledgers.record_requests(
                retries.ledger, ledger_bounds, given_at, min(count, MAX_GIVEN)
            )
        paid = retry_ledgers.available(retries.ledger, ledger_bounds, time)
        paid = max(int(paid), 0)
        beyond = max(int(beyond_left(retries, time)), 0)
        free = max(int(paid + beyond - want.reserved), 0)
        tokens = min(free, want.tokens, MAX_TOKENS)
        paid_tokens = min(paid, tokens)
        if paid_tokens:
            retry_ledgers.record_retries(
                retries.ledger, ledger_bounds, time, paid_tokens
            )
        if tokens > paid_tokens:
            retries.beyond.append((time, tokens - paid_tokens))
            metrics.count("retries_granted_beyond", tokens - paid_tokens)
        metrics.count("retries_granted", tokens)
        return GrantedRetries(want.pool, tokens, float(paid + beyond - tokens))

    def beyond_left(retries, time):
        while retries.beyond and time - retries.beyond[0][0] > span:
            retries.beyond.popleft()
        if time < state.counts_since + span:
            return 0.0
        return bounds.slack - sum(count for _, count in retries.beyond)

    def drop_unused(time):
        """Drop pools that were asked for nothing lately."""
        for pool, retries in list(state.retries_by_pool.items()):
            beyond_left(retries, time)
            is_used = retry_ledgers.has_retries(retries.ledger, ledger_bounds, time)
            if not (is_used or retries.beyond):
                del state.retries_by_pool[pool]

    def handover(held_since):
        now = kernel.clock.now()
        if state.held_since != held_since:
            # Nobody asked in this lease; the earlier holder may have granted some.
            begin(now, held_since)
        if now < state.counts_since + span or len(state.retries_by_pool) > MAX_HANDOVER:
            return None
        count_by_pool = {}
        for pool, retries in state.retries_by_pool.items():
            beyond_left(retries, now)
            count = sum(granted for _, granted in retries.beyond)
            if count:
                count_by_pool[pool] = count
        return count_by_pool

    return RetryPools(answer, handover)


def is_handover(value):
    """Tell whether a value is the counts of an earlier holder, by pool."""
    if not isinstance(value, dict) or len(value) > MAX_HANDOVER:
        return False
    for pool, count in value.items():
        if not isinstance(pool, str) or not isinstance(count, int) or count < 0:
            return False
    return True
