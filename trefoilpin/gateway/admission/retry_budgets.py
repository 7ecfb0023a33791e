"""The retry budget of the fleet, as used by this host.

In any window of some seconds, a pool may get a share of a retry for each request for
it, and a number of retries beyond that, from all hosts together.

Each request adds its share of a retry at the host that it came to, which may be used
there for ``DEPOSIT_SECONDS``. A host that lacks a whole retry gives its parts to the
holder of the lease and asks for retries. The holder grants what it was given in the
last moments, and the retries beyond, of which it keeps count for the whole fleet.

So a retry is paid by a request at most ``MAX_AGE_SECONDS`` earlier, or by the count,
for any number of hosts. While no host grants, a host uses its own parts only.
"""

from collections import deque
from typing import Callable, NamedTuple

from trefoilpin.gateway.admission import retry_pools
from trefoilpin.gateway.admission.retry_pools import (
    MAX_TOKENS,
    MAX_WANTS,
    POOL_SECONDS,
    GrantedRetries,
    RetryAsk,
    RetryBounds,
    RetryGrant,
    RetryWant,
)
from trefoilpin.gateway.store import lease_asks

__all__ = [
    "ASK_PERIOD_SECONDS",
    "DEPOSIT_SECONDS",
    "MAX_AGE_SECONDS",
    "TOKEN_SECONDS",
    "GrantedRetries",
    "RetryAsk",
    "RetryBounds",
    "RetryBudgets",
    "RetryGrant",
    "RetryWant",
    "create",
]

# A host with 6 requests a second for a pool has whole retries of its own by this time.
DEPOSIT_SECONDS = 1.0
# A granted retry has to be sent within this time after the ask, and one of the host's
# own after it was withdrawn, so that it may wait in a queue for some time.
TOKEN_SECONDS = 0.9
# Time for which an ask may be under way; asks take milliseconds.
TRANSIT_SECONDS = 0.1
MAX_AGE_SECONDS = DEPOSIT_SECONDS + TRANSIT_SECONDS + POOL_SECONDS + TOKEN_SECONDS
# Requests are counted in parts of a second.
PART_SECONDS = 0.1
# Period in which a host asks at most once.
ASK_PERIOD_SECONDS = 0.2
# What the holder has left is known for this time, and then taken for so many retries,
# which any request may ask for.
LEFT_SECONDS = 0.5
UNKNOWN_LEFT = 10.0


class RetryBudgets(NamedTuple):
    """``retry_budgets``: the retries that this host may send.

    ``deposit(pool)`` counts a request. ``withdraw(pool, reserved, seconds)`` takes a
    retry if so many are left beside it, and waits up to ``seconds`` for one; it returns
    the clock time by which the retry has to be sent, or None. ``give_back(pool,
    send_by)`` returns one that was not sent. ``balance(pool, reserved)`` is about what
    is left. ``on_ask``, ``receive`` and ``answer`` are as in ``ColdGrants``.
    """

    deposit: Callable[[str], None]
    withdraw: Callable[..., float | None]
    give_back: Callable[[str, float], None]
    balance: Callable[..., float]
    on_ask: Callable
    receive: Callable
    answer: Callable


class PoolBudget:
    """Retries of a pool at this host.

    Attributes
    ----------
    parts : deque of [float, float]
        Start of a part of a second, and the retries that its requests added.
    granted : deque of float
        Clock times by which granted retries have to be sent, in order.
    wanted : int
        Retries that requests lack.
    left, left_at : float
        What the holder had left, and when it said so.
    """

    def __init__(self, news):
        self.parts: deque[list[float]] = deque()
        self.granted: deque[float] = deque()
        self.wanted = 0
        self.left = 0.0
        self.left_at = float("-inf")
        self.news = news


class BudgetState:
    """Budget of each pool."""

    def __init__(self):
        self.budget_by_pool: dict[str, PoolBudget] = {}


def create(kernel, bounds, create_event):
    """Create the service ``retry_budgets``.

    Parameters
    ----------
    kernel : Kernel
    bounds : RetryBounds
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.

    Returns
    -------
    RetryBudgets
    """
    state = BudgetState()
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    pools = retry_pools.create(kernel, bounds, TOKEN_SECONDS)
    # The requests that pay for a window's retries came in a longer span.
    share = bounds.share * bounds.window / (bounds.window + MAX_AGE_SECONDS)

    def find_budget(pool):
        if pool not in state.budget_by_pool:
            state.budget_by_pool[pool] = PoolBudget(create_event())
        return state.budget_by_pool[pool]

    def deposit(pool):
        parts = find_budget(pool).parts
        if not parts or now() - parts[-1][0] >= PART_SECONDS:
            expire(parts)
            parts.append([now(), 0.0])
        parts[-1][1] += share

    def expire(parts):
        while parts and now() - parts[0][0] >= DEPOSIT_SECONDS:
            parts.popleft()

    def own_balance(budget):
        expire(budget.parts)
        while budget.granted and budget.granted[0] <= now():
            budget.granted.popleft()
            metrics.count("retries_expired")
        return sum(part[1] for part in budget.parts) + len(budget.granted)

    def balance(pool, reserved=0.0):
        budget = find_budget(pool)
        return own_balance(budget) + fleet_balance(budget) - reserved

    def fleet_balance(budget):
        if now() - budget.left_at < LEFT_SECONDS:
            return budget.left
        return 0.0 if asks.is_holder_away() else UNKNOWN_LEFT

    def withdraw(pool, reserved=0.0, seconds=0.0):
        budget = find_budget(pool)
        ends_at = now() + seconds
        while balance(pool, reserved) >= 1.0:
            if own_balance(budget) >= 1.0:
                return take(budget)
            budget.wanted = min(budget.wanted + 1, MAX_TOKENS)
            asks.schedule()
            remaining = ends_at - now()
            if remaining <= 0.0:
                return None
            budget.news.wait(remaining)
        return None

    def take(budget):
        """Take a granted retry, else parts of the host's own; return its time."""
        if budget.granted:
            return budget.granted.popleft()
        lacking = 1.0
        while lacking > 0.0 and budget.parts:
            taken = min(budget.parts[0][1], lacking)
            lacking -= taken
            budget.parts[0][1] -= taken
            if budget.parts[0][1] <= 0.0:
                budget.parts.popleft()
        return now() + TOKEN_SECONDS

    def give_back(pool, send_by):
        if now() < send_by:
            find_budget(pool).granted.appendleft(send_by)

    def take_wants():
        wants = []
        for pool, budget in state.budget_by_pool.items():
            if not budget.wanted or len(wants) == MAX_WANTS:
                continue
            expire(budget.parts)
            given = sum(part[1] for part in budget.parts)
            budget.parts.clear()
            wants.append(RetryWant(pool, budget.wanted, given))
            budget.wanted = 0
        return tuple(wants)

    def on_ask(function):
        asks.on_ask(lambda number, wants: function(RetryAsk(number, wants)))

    def receive(grant):
        sent = asks.receive(grant.number, grant.is_holder)
        if sent is None:
            return
        tokens_by_pool = {want.pool: want.tokens for want in sent.wants}
        for item in grant.granted:
            tokens = min(item.tokens, tokens_by_pool.get(item.pool, 0))
            budget = find_budget(item.pool)
            budget.granted.extend([sent.sent_at + TOKEN_SECONDS] * tokens)
            budget.left, budget.left_at = item.left, now()
            metrics.count("retries_received", tokens)
        for pool in tokens_by_pool:
            wake(find_budget(pool))

    def wake(budget):
        """Have the requests that wait for a retry look again."""
        news, budget.news = budget.news, create_event()
        news.send()

    asks = lease_asks.create(
        kernel, "retry", ASK_PERIOD_SECONDS, TOKEN_SECONDS, take_wants
    )
    service = RetryBudgets(
        deposit, withdraw, give_back, balance, on_ask, receive, pools.answer
    )
    kernel.register("retry_budgets", service)
    return service
