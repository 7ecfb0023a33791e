"""When a request may be sent again, and a budget that keeps retries from multiplying.

The budget is a share of a pool's recent requests. Source: the retry budget of the
Finagle library, described in its user guide, "Retries".
"""

from trefoilpin.request_services import Retries
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["attempt_deadline", "create", "may_send_again"]

MAX_BALANCE = 100.0
RETRYABLE = frozenset((Reason.UPSTREAM_BROKEN, Reason.UPSTREAM_TIMEOUT))
FIRST_ATTEMPT_SHARE = 0.5


class RetryState:
    """Retries allowed by pool, and when they were last counted."""

    def __init__(self):
        self.balance_by_pool: dict[str, float] = {}
        self.counted_at_by_pool: dict[str, float] = {}


def may_send_again(attempt, idempotent):
    """Tell whether a request may go to another upstream after an attempt."""
    if attempt.verdict is Verdict.NOT_RUN:
        return True
    return idempotent and attempt.reason in RETRYABLE


def attempt_deadline(now, deadline, idempotent, has_balance):
    """Return until when one attempt may last.

    An idempotent request leaves time for another upstream when the first one does
    not answer and the budget has a retry left.
    """
    if not idempotent or not has_balance:
        return deadline
    return now + (deadline - now) * FIRST_ATTEMPT_SHARE


def create(kernel, share, least_per_second, max_balance=MAX_BALANCE):
    """Create the service ``retries``.

    Parameters
    ----------
    kernel : Kernel
    share : float
        Retries allowed for each request.
    least_per_second : float
        Retries a second allowed however few requests come.
    max_balance : float
        Retries that can be saved up.

    Returns
    -------
    Retries
    """
    now = kernel.clock.now
    state = RetryState()

    def balance(pool, kept=0.0):
        return count(pool) - kept

    def count(pool):
        elapsed = now() - state.counted_at_by_pool.get(pool, now())
        state.counted_at_by_pool[pool] = now()
        held = state.balance_by_pool.get(pool, min(max_balance, least_per_second))
        held = min(max_balance, held + elapsed * least_per_second)
        state.balance_by_pool[pool] = held
        return held

    def deposit(pool):
        state.balance_by_pool[pool] = min(max_balance, count(pool) + share)

    def withdraw(pool, kept=0.0):
        if balance(pool, kept) < 1.0:
            return False
        state.balance_by_pool[pool] -= 1.0
        return True

    service = Retries(deposit, withdraw, balance)
    kernel.register("retries", service)
    return service
