"""Requests, answers and attempts, independent of any codec."""

from typing import Callable, Iterator, NamedTuple

from trefoilpin.records import ClientAccount, Route, Upstream
from trefoilpin.verdicts import Reason, Verdict

__all__ = [
    "Answer",
    "Attempt",
    "CallerRequest",
    "Choice",
    "OperationKey",
    "Permit",
]


class CallerRequest(NamedTuple):
    """A caller's request, its body read whole.

    Attributes
    ----------
    request_id : str
    method, host, path, query : str
        ``host`` without port, ``query`` without question mark.
    headers : tuple of (str, str)
        Names in lower case, hop-by-hop headers left out.
    body : bytes
    peer : str
        The caller's address.
    arrived_at : float
        Seconds of the kernel's clock.
    caller_gone : callable
        True once the caller closed its connection.
    """

    request_id: str
    method: str
    host: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str
    arrived_at: float
    caller_gone: Callable[[], bool]

    def header(self, name):
        """Return the value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Answer(NamedTuple):
    """A complete answer, or its beginning and a source of the rest.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
        The whole body, unless ``rest`` is given.
    rest : iterator of bytes or None
        What follows ``body``; raises when the upstream closes the connection early.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: Iterator[bytes] | None = None


class Attempt(NamedTuple):
    """Outcome of sending a request to one upstream.

    Attributes
    ----------
    verdict : Verdict
    answer : Answer or None
        None when there was no whole answer.
    reason : Reason or None
        Why there was none.
    detail : str
    seconds : float
        Time the attempt took.
    shed : bool
        True when the upstream answered that it refused without running.
    draining : bool
        True when the upstream announced that it is leaving.
    broke_connection : bool
        True when the connection broke after the request was written.
    """

    verdict: Verdict
    answer: Answer | None
    reason: Reason | None
    detail: str
    seconds: float
    shed: bool = False
    draining: bool = False
    broke_connection: bool = False


class Choice(NamedTuple):
    """An upstream chosen for one attempt; released with the outcome of the attempt."""

    upstream: Upstream
    pool: str
    number: int


class OperationKey(NamedTuple):
    """A caller's idempotency key.

    Attributes
    ----------
    issuer : str
        Incarnation that decides; empty for an opaque key.
    text : str
        The key as the caller sent it.
    fingerprint : str
        Digest of account, method, path, query and body.
    """

    issuer: str
    text: str
    fingerprint: str


class Permit(NamedTuple):
    """Permission to run an operation once.

    Attributes
    ----------
    key : OperationKey or None
    attempt_id : str
    route : Route
    account : ClientAccount or None
    """

    key: OperationKey | None
    attempt_id: str
    route: Route
    account: ClientAccount | None
