"""Refusals of requests for a pool that is full."""

from returns.result import Failure

from trefoilpin.gateway.admission.pressure_estimates import (
    MAX_RETURN_SECONDS,
    MIN_RETURN_SECONDS,
)
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["YIELDED", "is_saturated", "refuse", "refuse_full"]


def is_saturated(outcome):
    """Tell whether a choice failed only because every upstream is at its limit."""
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().reason is Reason.OVERLOADED


def refuse(detail, seconds):
    """Create the refusal of a request that can't be served in time.

    Parameters
    ----------
    detail : str
    seconds : float
        Time after which the caller may return.
    """
    retry_after = min(max(seconds, MIN_RETURN_SECONDS), MAX_RETURN_SECONDS)
    return Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after))


def refuse_full(seconds):
    """Create the refusal of a request that would wait for too long."""
    return refuse("the pool is full for longer than the request has", seconds)


# Result of a choice that is left to other hosts.
YIELDED = refuse("requests at other hosts are served first", 0.0)
