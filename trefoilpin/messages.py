"""Requests, answers and attempts, independent of their encoding."""

from typing import Any, Callable, Iterator, NamedTuple

from trefoilpin.records import ClientAccount, Route, Upstream
from trefoilpin.verdicts import Reason, Verdict

__all__ = [
    "Answer",
    "Attempt",
    "CallerRequest",
    "Choice",
    "OperationKey",
    "OutgoingRequest",
    "Permit",
]


class CallerRequest(NamedTuple):
    """A caller's request with its complete body.

    Attributes
    ----------
    request_id : str
    method, host, path, query : str
        ``host`` without port, ``query`` without question mark.
    headers : tuple of (str, str)
        Names in lower case, hop-by-hop headers left out.
    body : bytes
    peer : str
        Address of the caller.
    arrived_at : float
        Seconds of the kernel's clock.
    caller_gone : callable
        ``caller_gone()`` returns True once the caller has closed its connection.
    holding : Holding or None
        Memory that is held for the request; None where it is not counted.
    has_empty_query : bool
        True when a question mark ends the target.
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
    holding: Any = None
    has_empty_query: bool = False

    def target(self):
        """Return path and query as the caller sent them."""
        has_query = self.query or self.has_empty_query
        return f"{self.path}?{self.query}" if has_query else self.path

    def header(self, name):
        """Return the value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class OutgoingRequest(NamedTuple):
    """A request that is being sent to one upstream.

    Attributes
    ----------
    upstream, address : str
    request : CallerRequest
    deadline, started_at : float
        Seconds of the kernel's clock.
    idempotent : bool
    may_be_stale : bool
        True when the connection was idle for so long that the upstream may have closed
        it by now.
    extra_headers : tuple of (str, str)
        Headers that the gateway adds to the caller's.
    uses_new_connection : bool
        True when no idle connection may be used.
    send_by : float
        Seconds of the clock from which on nothing may be written.
    allows_decoys : bool
        False for an upstream that bears few requests.
    """

    upstream: str
    address: str
    request: tuple
    deadline: float
    idempotent: bool
    started_at: float
    may_be_stale: bool = False
    extra_headers: tuple[tuple[str, str], ...] = ()
    uses_new_connection: bool = False
    send_by: float = float("inf")
    allows_decoys: bool = True


class Answer(NamedTuple):
    """A complete answer, or the beginning of an answer that is streamed.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
        The complete body if ``rest`` is None, else its beginning.
    rest : iterator of bytes or None
        Remainder of a streamed body; raises ``OSError`` when the answer ends early.
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
        None when no complete answer was received.
    reason : Reason or None
        Why none was received.
    detail : str
    seconds : float
        Time the attempt took.
    shed : bool
        True when the upstream answered that it did not run the request.
    draining : bool
        True when the upstream announced that it is draining.
    broke_connection : bool
        True when the connection broke after the request was written.
    pause_seconds : float
        Time for which the upstream asked this host to send it nothing; 0 for none.
    broke_idle_connection : bool
        True when a connection broke that had been idle for so long that the upstream
        may have closed it before.
    is_too_late : bool
        True when the time by which the request had to be written was over.
    may_be_shed : bool
        True when the answer was a refusal that may be a copy of an earlier one.
    """

    verdict: Verdict
    answer: Answer | None
    reason: Reason | None
    detail: str
    seconds: float
    shed: bool = False
    draining: bool = False
    broke_connection: bool = False
    pause_seconds: float = 0.0
    broke_idle_connection: bool = False
    is_too_late: bool = False
    may_be_shed: bool = False


class Choice(NamedTuple):
    """An upstream chosen for one attempt, to be released with the attempt's outcome.

    Attributes
    ----------
    upstream : Upstream
    pool : str
    number : int
    send_by : float
        Clock time by which the request has to be written to the upstream.
    is_cold : bool
        True for a cold upstream, which bears few requests.
    """

    upstream: Upstream
    pool: str
    number: int
    send_by: float = float("inf")
    is_cold: bool = False


class OperationKey(NamedTuple):
    """A caller's idempotency key.

    Attributes
    ----------
    issuer : str
        Incarnation of the host that issued the key; empty for an opaque key.
    text : str
        The key as the caller sent it.
    fingerprint : str
        Hexadecimal digest of account, method, path, query and body.
    """

    issuer: str
    text: str
    fingerprint: str


class Permit(NamedTuple):
    """Permission to run an operation once.

    Attributes
    ----------
    key : OperationKey or None
        None when the caller sent none.
    attempt_id : str
        Id under which the key was claimed; empty for idempotent requests.
    route : Route
    account : ClientAccount or None
    """

    key: OperationKey | None
    attempt_id: str
    route: Route
    account: ClientAccount | None
