"""Verdicts on attempts, and refusals, which report a verdict to the caller."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Reason", "Refusal", "Verdict"]


class Verdict(Enum):
    """Whether a request may have run at an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ReasonFields(NamedTuple):
    """Code and HTTP status of a refusal, and whether a retry may succeed."""

    code: str
    status: int
    retryable: bool


class Reason(Enum):
    """Why a request was refused."""

    BAD_REQUEST = ReasonFields("bad_request", 400, False)
    KEY_MISSING = ReasonFields("key_missing", 401, False)
    KEY_UNKNOWN = ReasonFields("key_unknown", 401, False)
    ROUTE_FORBIDDEN = ReasonFields("route_forbidden", 403, False)
    ROUTE_UNKNOWN = ReasonFields("route_unknown", 404, False)
    METHOD_NOT_ALLOWED = ReasonFields("method_not_allowed", 405, False)
    CONNECTION_CLOSING = ReasonFields("connection_closing", 408, True)
    BODY_TOO_LARGE = ReasonFields("body_too_large", 413, False)
    HEADERS_TOO_LARGE = ReasonFields("headers_too_large", 431, False)
    OPERATION_KEY_REQUIRED = ReasonFields("operation_key_required", 428, False)
    OPERATION_KEY_REUSED = ReasonFields("operation_key_reused", 422, False)
    OPERATION_RUNNING = ReasonFields("operation_running", 409, True)
    OPERATION_UNCERTAIN = ReasonFields("operation_uncertain", 409, False)
    OPERATION_ANSWER_GONE = ReasonFields("operation_answer_gone", 410, False)
    ISSUER_UNREACHABLE = ReasonFields("issuer_unreachable", 503, True)
    RATE_EXCEEDED = ReasonFields("rate_exceeded", 429, True)
    QUARANTINED = ReasonFields("quarantined", 422, False)
    SUSPECT = ReasonFields("suspect", 503, True)
    OVERLOADED = ReasonFields("overloaded", 503, True)
    NO_UPSTREAM = ReasonFields("no_upstream", 503, True)
    NOT_CURRENT = ReasonFields("not_current", 503, True)
    STORE_UNAVAILABLE = ReasonFields("store_unavailable", 503, True)
    STOPPING = ReasonFields("stopping", 503, True)
    UPSTREAM_UNREACHABLE = ReasonFields("upstream_unreachable", 502, True)
    UPSTREAM_BROKEN = ReasonFields("upstream_broken", 502, False)
    UPSTREAM_TIMEOUT = ReasonFields("upstream_timeout", 504, False)
    CALLER_GONE = ReasonFields("caller_gone", 499, False)
    INTERNAL = ReasonFields("internal", 500, False)


class Refusal(NamedTuple):
    """An answer that a host gives itself, in place of an upstream's.

    Attributes
    ----------
    reason : Reason
    verdict : Verdict
        ``NOT_RUN`` only if it is certain that no upstream ran the request.
    detail : str
        One sentence for the caller; must not contain a key.
    retry_after : float or None
        Seconds after which the same request may succeed.
    """

    reason: Reason
    verdict: Verdict
    detail: str
    retry_after: float | None = None
