"""Retry policy, and a retry budget for each pool that prevents retry amplification.

The budget is a token bucket that each request fills by a share of a token. Source: the
retry budget of the Finagle library, described in its user guide, "Retries".
"""

from trefoilpin.request_services import Retries
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["attempt_deadline", "create", "may_retry"]

MAX_BALANCE = 100.0
RETRYABLE_REASONS = frozenset((Reason.UPSTREAM_BROKEN, Reason.UPSTREAM_TIMEOUT))
FIRST_ATTEMPT_SHARE = 0.5


class RetryState:
    """Retry tokens of each pool, and when they were last refilled."""

    def __init__(self):
        self.balance_by_pool: dict[str, float] = {}
        self.refilled_at_by_pool: dict[str, float] = {}


def may_retry(attempt, idempotent):
    """Tell whether a request may be sent to another upstream after an attempt."""
    if attempt.verdict is Verdict.NOT_RUN:
        return True
    return idempotent and attempt.reason in RETRYABLE_REASONS


def attempt_deadline(now, deadline, idempotent, can_retry):
    """Return the deadline of one attempt.

    An attempt of an idempotent request ends early enough for another upstream to be
    tried, unless the budget has no retry left.
    """
    if not idempotent or not can_retry:
        return deadline
    return now + (deadline - now) * FIRST_ATTEMPT_SHARE


def create(
    kernel,
    share,
    min_per_second,
    max_balance=MAX_BALANCE,
    host_count=lambda: 1,
):
    """Create the service ``retries``.

    Parameters
    ----------
    kernel : Kernel
    share : float
        Retries that each request adds to the budget.
    min_per_second : float
        Retries a second that are allowed whatever the number of requests.
    max_balance : float
        Capacity of the budget, in retries.
    host_count : callable, optional
        Returns the number of hosts among which the last two are divided.

    Returns
    -------
    Retries
    """
    now = kernel.clock.now
    state = RetryState()

    def balance(pool, reserved=0.0):
        return refill(pool) - reserved

    def capacity():
        return max(max_balance / host_count(), 1.0)

    def refill(pool):
        elapsed = now() - state.refilled_at_by_pool.get(pool, now())
        state.refilled_at_by_pool[pool] = now()
        rate = min_per_second / host_count()
        tokens = state.balance_by_pool.get(pool, min(capacity(), rate))
        tokens = min(capacity(), tokens + elapsed * rate)
        state.balance_by_pool[pool] = tokens
        return tokens

    def deposit(pool):
        state.balance_by_pool[pool] = min(capacity(), refill(pool) + share)

    def withdraw(pool, reserved=0.0):
        if balance(pool, reserved) < 1.0:
            return False
        state.balance_by_pool[pool] -= 1.0
        return True

    service = Retries(deposit, withdraw, balance)
    kernel.register("retries", service)
    return service
