"""The retry budget of the fleet, as used by this host.

In any window of some seconds, a pool may get a share of a retry for each request for
it, and a number of retries beyond that, from all hosts together.

Each request pays for retries at the host that it came to. A host whose requests don't
pay for a whole one gives them to the holder of the lease and asks for retries. The
holder grants those that the requests it was given pay for, and the ones beyond, of
which it keeps count for the whole fleet. So no request pays twice, and the bound holds
for any number of hosts. While no host grants, a host uses its own retries only.

Requests of a lower priority leave a reserve to others. The holder heeds the reserve of
an ask, and what it grants is left to requests with that reserve or a smaller one.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.admission import retry_ledgers, retry_pools
from trefoilpin.gateway.admission.retry_ledgers import Ledger
from trefoilpin.gateway.admission.retry_pools import (
    MAX_GIVEN_SECONDS,
    MAX_POOLS,
    MAX_TOKENS,
    MAX_WANTS,
    GrantedRetries,
    RetryAsk,
    RetryBounds,
    RetryGrant,
    RetryWant,
)
from trefoilpin.gateway.store import lease_asks

__all__ = [
    "ASK_PERIOD_SECONDS",
    "TOKEN_SECONDS",
    "GrantedRetries",
    "RetryAsk",
    "RetryBounds",
    "RetryBudgets",
    "RetryGrant",
    "RetryWant",
    "create",
]

# A granted retry has to be sent within this time after the ask, and one of the host's
# own after it was withdrawn, so that it may wait in a queue for some time.
TOKEN_SECONDS = 0.9
# Period in which a host asks at most once.
ASK_PERIOD_SECONDS = 0.2
# What the holder has left is known for this time, and then taken for so many retries,
# which any request may ask for.
LEFT_SECONDS = 1.0
UNKNOWN_LEFT = 10.0


class RetryBudgets(NamedTuple):
    """``retry_budgets``: the retries that this host may send.

    ``deposit(pool)`` counts a request. ``withdraw(pool, reserved, seconds)`` takes a
    retry if so many are left beside it, and waits up to ``seconds`` for one; it returns
    the clock time by which the retry has to be sent, or None. ``give_back(pool,
    send_by)`` returns one that was not sent. ``balance(pool, reserved)`` is about what
    is left. ``on_ask``, ``receive`` and ``answer`` are as in ``ColdGrants``, and
    ``handover(held_since)`` is what the next holder of the lease has to know.
    """

    deposit: Callable[[str], None]
    withdraw: Callable[..., float | None]
    give_back: Callable[[str, float], None]
    balance: Callable[..., float]
    on_ask: Callable
    receive: Callable
    answer: Callable
    handover: Callable


class Token(NamedTuple):
    """A retry that was granted to this host.

    Attributes
    ----------
    send_by : float
        Clock time by which it has to be sent.
    reserved : float
        Reserve that the holder heeded.
    """

    send_by: float
    reserved: float


class PoolBudget:
    """Retries of a pool at this host.

    Attributes
    ----------
    ledger : Ledger
        Requests that came to this host, and the retries for which they paid.
    tokens : list of Token
    wanted_by_reserve : dict
        Retries that requests lack.
    left, left_at : float
        What the holder had left, and when it said so.
    news : event
        Sent when a response has come.
    """

    def __init__(self, news):
        self.ledger = Ledger()
        self.tokens: list[Token] = []
        self.wanted_by_reserve: dict[float, int] = {}
        self.left = 0.0
        self.left_at = float("-inf")
        self.news = news


class BudgetState:
    """Budget of each pool, and the pools for which this host wants retries."""

    def __init__(self):
        self.budget_by_pool: dict[str, PoolBudget] = {}
        self.wanting: dict[str, None] = {}


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
    pools = retry_pools.create(
        kernel, bounds, TOKEN_SECONDS, lambda: kernel.find("leases").handover()
    )
    own_bounds = retry_ledgers.create_bounds(bounds.share, bounds.window, TOKEN_SECONDS)

    def find_budget(pool):
        budget = state.budget_by_pool.get(pool)
        if budget is None:
            if len(state.budget_by_pool) >= MAX_POOLS:
                drop_unused()
            budget = state.budget_by_pool[pool] = PoolBudget(create_event())
        return budget

    def drop_unused():
        """Drop the budgets of pools without requests or retries in the last windows."""
        for pool, budget in list(state.budget_by_pool.items()):
            is_used = retry_ledgers.is_used(budget.ledger, own_bounds, now())
            if not (is_used or budget.tokens or budget.wanted_by_reserve):
                del state.budget_by_pool[pool]

    def deposit(pool):
        ledger = find_budget(pool).ledger
        retry_ledgers.record_requests(ledger, own_bounds, now())

    def own_balance(budget):
        return retry_ledgers.available(budget.ledger, own_bounds, now())

    def balance(pool, reserved=0.0):
        budget = find_budget(pool)
        expire_tokens(budget)
        left = fleet_balance(budget)
        return own_balance(budget) + len(budget.tokens) + left - reserved

    def expire_tokens(budget):
        kept = [token for token in budget.tokens if now() < token.send_by]
        expired = len(budget.tokens) - len(kept)
        if expired:
            budget.tokens = kept
            metrics.count("retries_expired", expired)

    def fleet_balance(budget):
        if now() - budget.left_at < LEFT_SECONDS:
            return budget.left
        return 0.0 if asks.is_holder_away() else UNKNOWN_LEFT

    def withdraw(pool, reserved=0.0, seconds=0.0):
        budget = find_budget(pool)
        ends_at = now() + seconds
        while reserved < float("inf"):
            send_by = take(pool, budget, reserved)
            if send_by is not None:
                return send_by
            want(pool, budget, reserved)
            remaining = ends_at - now()
            if remaining <= 0.0 or balance(pool, reserved) < 1.0:
                break
            budget.news.wait(remaining)
        return None

    def take(pool, budget, reserved):
        """Take a token, else a retry of the host's own; return its time or None."""
        expire_tokens(budget)
        for token in budget.tokens:
            if token.reserved >= reserved:
                budget.tokens.remove(token)
                return token.send_by
        if own_balance(budget) >= 1.0 and balance(pool, reserved) >= 1.0:
            retry_ledgers.record_retries(budget.ledger, own_bounds, now())
            return now() + TOKEN_SECONDS
        return None

    def want(pool, budget, reserved):
        wanted = budget.wanted_by_reserve.get(reserved, 0) + 1
        budget.wanted_by_reserve[reserved] = min(wanted, MAX_TOKENS)
        state.wanting[pool] = None
        asks.schedule()

    def give_back(pool, send_by):
        if now() < send_by:
            find_budget(pool).tokens.insert(0, Token(send_by, float("inf")))

    def take_wants():
        wants = []
        for pool in list(state.wanting):
            budget = find_budget(pool)
            if len(wants) + len(budget.wanted_by_reserve) > MAX_WANTS:
                # The others come first in the next ask.
                asks.schedule()
                break
            del state.wanting[pool]
            given = give_requests(budget.ledger)
            for reserved, tokens in sorted(budget.wanted_by_reserve.items()):
                wants.append(RetryWant(pool, tokens, reserved, given))
                given = ()
            budget.wanted_by_reserve.clear()
        return tuple(wants)

    def give_requests(ledger):
        """Return the requests of the last seconds by age, unless some are used here."""
        if retry_ledgers.has_retries(ledger, own_bounds, now()):
            return ()
        return retry_ledgers.take_requests(ledger, now(), MAX_GIVEN_SECONDS)

    def on_ask(function):
        asks.on_ask(lambda number, wants: function(RetryAsk(number, wants)))

    def receive(grant):
        sent = asks.receive(grant.number, grant.is_holder)
        if sent is None:
            return
        send_by = sent.sent_at + TOKEN_SECONDS
        for want_sent, item in zip(sent.wants, grant.granted):
            if item.pool != want_sent.pool:
                continue
            budget = find_budget(item.pool)
            tokens = min(item.tokens, want_sent.tokens)
            budget.tokens.extend([Token(send_by, want_sent.reserved)] * tokens)
            budget.left, budget.left_at = item.left, now()
            metrics.count("retries_received", tokens)
        for pool in {want_sent.pool for want_sent in sent.wants}:
            wake(find_budget(pool))

    def wake(budget):
        """Have the requests that wait for a retry look again."""
        news, budget.news = budget.news, create_event()
        news.send()

    asks = lease_asks.create(
        kernel, "retry", ASK_PERIOD_SECONDS, TOKEN_SECONDS, take_wants
    )
    service = RetryBudgets(
        deposit,
        withdraw,
        give_back,
        balance,
        on_ask,
        receive,
        pools.answer,
        pools.handover,
    )
    kernel.register("retry_budgets", service)
    return service
