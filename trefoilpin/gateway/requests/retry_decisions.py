"""Whether a request is sent again after an attempt, and what that costs the budget.

Each attempt that arrives at an upstream after the first needs a retry of the fleet's
budget. One that is withdrawn has to be sent by some time.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.admission.send_pacing import reserved_retries
from trefoilpin.gateway.balancing.upstream_health import is_unreached
from trefoilpin.gateway.requests.request_contexts import is_failed
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["RetryDecisions", "create"]

# Limit on attempts of one request that reached no upstream or a different one than
# intended. The request did not run in such an attempt.
MAX_UNREACHED_ATTEMPTS = 4
# A request waits up to this time for the holder's response: a host that is silent is
# passed over after 0.3 s.
MAX_GRANT_WAIT_SECONDS = 0.4
# The same while the request holds its place at an upstream.
MAX_RENEWAL_WAIT_SECONDS = 0.25


class RetryDecisions(NamedTuple):
    """Decisions on further attempts of a request.

    ``should_retry(context)`` tells whether another attempt is made, for which it
    withdraws a retry where one is needed. ``may_send(context)`` tells whether that
    attempt may still be sent now, and ``give_back(context)`` is called when it isn't.
    ``can_retry(context)`` tells whether a retry would be left after another attempt.
    """

    should_retry: Callable
    may_send: Callable
    give_back: Callable
    can_retry: Callable


def create(kernel):
    """Create the decisions.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    RetryDecisions
    """
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    budgets = kernel.find("retry_budgets")

    def should_retry(context):
        last = context.last_attempt
        if now() >= context.deadline or last.reason is Reason.CALLER_GONE:
            return False
        if is_unreached(last):
            if context.unreached_count >= MAX_UNREACHED_ATTEMPTS:
                return False
            # A misdirected request did arrive at an upstream.
            return not last.shed or withdraw(context, MAX_GRANT_WAIT_SECONDS)
        if context.attempt_count >= context.route.max_attempts:
            return False
        if last.verdict is not Verdict.NOT_RUN:
            if not (context.route.idempotent and is_failed(last)):
                return False
        return withdraw(context, MAX_GRANT_WAIT_SECONDS)

    def withdraw(context, seconds):
        """Withdraw a retry from the budget; return False if none is left."""
        time_left = context.deadline - now() - context.typical_seconds
        context.retry_by = budgets.withdraw(
            context.pool, reserved(context), max(min(seconds, time_left), 0.0)
        )
        if context.retry_by is not None:
            return True
        metrics.count("retries_over_budget")
        return False

    def may_send(context):
        """Withdraw another retry if the one withdrawn wasn't sent in time."""
        if context.retry_by is None or now() < context.retry_by:
            return True
        return withdraw(context, MAX_RENEWAL_WAIT_SECONDS)

    def give_back(context):
        if context.retry_by is not None:
            budgets.give_back(context.pool, context.retry_by)
            context.retry_by = None

    def can_retry(context):
        has_attempt_left = context.attempt_count + 1 < context.route.max_attempts
        return (
            has_attempt_left and budgets.balance(context.pool, reserved(context)) >= 1
        )

    def reserved(context):
        return reserved_retries(
            context.priority, context.deadline - now(), context.typical_seconds
        )

    return RetryDecisions(should_retry, may_send, give_back, can_retry)
