"""A request on its way to upstreams, and what it ends as."""

from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin.gateway.upstream_health import is_misdirected
from trefoilpin.gateway.poison_requests import fingerprint
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
    "conclude",
    "is_failed",
    "is_unreached",
]

SERVER_ERRORS = range(500, 600)
# A caller that is refused for this host's own reasons should ask another at once.
ELSEWHERE_SECONDS = 0.05

INTERRUPTED = Attempt(Verdict.MAY_HAVE_RUN, None, Reason.INTERNAL, "interrupted", 0.0)


def not_run(reason, detail, seconds=ELSEWHERE_SECONDS):
    """Return the refusal of a request that no upstream got."""
    return Refusal(reason, Verdict.NOT_RUN, detail, seconds)


NO_CONFIGURATION = not_run(
    Reason.NOT_CURRENT, "this host has no configuration yet", 0.3
)
NOT_CURRENT = not_run(
    Reason.NOT_CURRENT, "this host can't tell whether the key is still valid"
)
STOPPING = not_run(Reason.STOPPING, "this host is stopping")
UNKNOWN_ROUTE = Refusal(Reason.ROUTE_UNKNOWN, Verdict.NOT_RUN, "no route matches")
UNKNOWN_KEY = Refusal(Reason.KEY_UNKNOWN, Verdict.NOT_RUN, "the key is not valid")
MISSING_KEY = Refusal(Reason.KEY_MISSING, Verdict.NOT_RUN, "the route needs a key")
CALLER_LEFT = Refusal(
    Reason.CALLER_GONE, Verdict.NOT_RUN, "the caller left before anything was sent"
)


class IncomingRequest(NamedTuple):
    """A request as a front end hands it over.

    Attributes
    ----------
    request : CallerRequest
        Without the key.
    key : str or None
    patience : float or None
        Seconds that the caller said it waits.
    """

    request: CallerRequest
    key: str | None
    patience: float | None


class RequestContext:
    """A request on its way to upstreams."""

    def __init__(self, arrival, route, account, pool, usual):
        self.request = arrival.request
        self.route = route
        self.account = account
        self.pool = pool
        self.usual = usual
        patience = route.timeout
        if arrival.patience is not None:
            patience = min(patience, arrival.patience)
        self.deadline = arrival.request.arrived_at + patience
        self.fingerprint = fingerprint(account, arrival.request)
        self.tried: frozenset[str] = frozenset()
        self.sent = 0
        self.unreached = 0
        self.last: Attempt | None = None
        self.refusal: Refusal | None = None
        self.may_have_run = False
        self.upstream: Any = None

    @property
    def priority(self):
        """Rank of the account, else of the route; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def is_failed(attempt):
    """Tell whether an attempt brought no good answer though it may have run."""
    if attempt.verdict is Verdict.NOT_RUN:
        return False
    return attempt.answer is None or attempt.answer.status in SERVER_ERRORS


def is_unreached(attempt):
    """Tell whether an attempt did not even arrive at the upstream it was meant for."""
    if attempt.verdict is not Verdict.NOT_RUN:
        return False
    return not attempt.shed or is_misdirected(attempt)


def conclude(work):
    """Return the answer of a work, or the refusal with its verdict."""
    last = work.last
    if last is not None and last.answer is not None and not last.shed:
        return Success(last.answer)
    if work.may_have_run:
        if last is None or last.verdict is Verdict.NOT_RUN:
            detail = "an earlier attempt may have run and no further one could be made"
            return Failure(
                Refusal(Reason.UPSTREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail)
            )
        return Failure(Refusal(last.reason, last.verdict, last.detail))
    if work.refusal is not None:
        return Failure(work.refusal)
    detail = "every upstream that was asked could not be reached or was full"
    return Failure(not_run(Reason.OVERLOADED, detail, work.usual))
