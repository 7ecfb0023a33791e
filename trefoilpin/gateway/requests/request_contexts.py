"""Context of a request while it is dispatched, and its final result."""

from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin.gateway.admission.poison_requests import fingerprint
from trefoilpin.messages import Attempt, CallerRequest
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "CALLER_LEFT",
    "INTERRUPTED",
    "MISSING_KEY",
    "NOT_CURRENT",
    "NO_CONFIGURATION",
    "SERVER_ERRORS",
    "STOPPING",
    "UNKNOWN_KEY",
    "UNKNOWN_ROUTE",
    "IncomingRequest",
    "RequestContext",
    "final_result",
    "is_failed",
    "is_served",
]

SERVER_ERRORS = range(500, 600)
# Retry delay of refusals that concern only this host: callers should try another one.
OTHER_HOST_RETRY_SECONDS = 0.05

INTERRUPTED = Attempt(Verdict.MAY_HAVE_RUN, None, Reason.INTERNAL, "interrupted", 0.0)


def create_refusal(reason, detail, retry_after=OTHER_HOST_RETRY_SECONDS):
    """Create the refusal of a request that did not run at any upstream."""
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after)


NO_CONFIGURATION = create_refusal(
    Reason.NOT_CURRENT, "this host has no configuration yet", 0.3
)
NOT_CURRENT = create_refusal(
    Reason.NOT_CURRENT, "this host can't tell whether the key is still valid"
)
STOPPING = create_refusal(Reason.STOPPING, "this host is stopping")
UNKNOWN_ROUTE = Refusal(Reason.ROUTE_UNKNOWN, Verdict.NOT_RUN, "no route matches")
UNKNOWN_KEY = Refusal(Reason.KEY_UNKNOWN, Verdict.NOT_RUN, "the key is not valid")
MISSING_KEY = Refusal(Reason.KEY_MISSING, Verdict.NOT_RUN, "the route needs a key")
CALLER_LEFT = Refusal(
    Reason.CALLER_GONE, Verdict.NOT_RUN, "the caller left before anything was sent"
)


class IncomingRequest(NamedTuple):
    """A request as decoded by a front end.

    Attributes
    ----------
    request : CallerRequest
        The request without its API key.
    key : str or None
        The API key.
    caller_timeout : float or None
        Timeout in seconds that the caller set for this request.
    """

    request: CallerRequest
    key: str | None
    caller_timeout: float | None


class RequestContext:
    """State of a request while it is dispatched to upstreams."""

    def __init__(self, incoming, route, account, pool, typical_seconds):
        self.request = incoming.request
        self.route = route
        self.account = account
        self.pool = pool
        self.typical_seconds = typical_seconds
        caller_timeout = route.timeout
        if incoming.caller_timeout is not None:
            caller_timeout = min(caller_timeout, incoming.caller_timeout)
        self.deadline = incoming.request.arrived_at + caller_timeout
        self.fingerprint = fingerprint(account, incoming.request)
        self.tried_upstreams: frozenset[str] = frozenset()
        self.tried_addresses: frozenset[str] = frozenset()
        self.attempt_count = 0
        self.unreached_count = 0
        self.last_attempt: Attempt | None = None
        self.refusal: Refusal | None = None
        self.may_have_run = False
        # Clock time by which a retry has to be sent, once one was withdrawn.
        self.retry_by: float | None = None
        self.is_held_back = False
        self.upstream: Any = None

    def start_attempt(self, upstream):
        """Record an attempt; return True if an earlier one went to the same address."""
        is_return = upstream.address in self.tried_addresses
        self.tried_upstreams |= {upstream.id}
        self.tried_addresses |= {upstream.address}
        return is_return

    @property
    def priority(self):
        """Priority of the account, else of the route; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def is_failed(attempt):
    """Tell whether an attempt failed and may have run."""
    if attempt.verdict is Verdict.NOT_RUN:
        return False
    return attempt.answer is None or attempt.answer.status in SERVER_ERRORS


def is_served(attempt):
    """Tell whether an attempt ran and did not fail."""
    return attempt.verdict is not Verdict.NOT_RUN and not is_failed(attempt)


def final_result(context, return_seconds):
    """Return the upstream's answer, or a refusal with the verdict of all attempts.

    Parameters
    ----------
    context : RequestContext
    return_seconds : callable
        Returns the seconds after which the pool should have room for the request.
    """
    last = context.last_attempt
    if last is not None and last.answer is not None and not last.shed:
        return Success(last.answer)
    if context.may_have_run:
        if last is None or last.verdict is Verdict.NOT_RUN:
            detail = "an earlier attempt may have run and no further one could be made"
            return Failure(
                Refusal(Reason.UPSTREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail)
            )
        return Failure(Refusal(last.reason, last.verdict, last.detail))
    if context.refusal is not None:
        return Failure(context.refusal)
    detail = "every upstream that was asked could not be reached or was full"
    return Failure(create_refusal(Reason.OVERLOADED, detail, return_seconds()))
