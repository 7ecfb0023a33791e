"""Dialects of HTTP: header names and rules that are specific to a deployment.

A deployment passes its dialect to the front end and to the forwarder; the routing
decisions don't depend on it.
"""

from typing import Callable, NamedTuple

__all__ = ["DEFAULT", "Dialect"]

SHED_STATUS = 503
SHED_HEADER = "x-shed"
SHED_NOT_RUN = "not-run"
DRAIN_HEADER = "x-draining"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-timeout-ms"


class Dialect(NamedTuple):
    """Header names and rules spoken with callers and upstreams.

    Attributes
    ----------
    request_id : str
        Header, in lower case, with a request's id, which its answer echoes.
    deadline : str
        Header with the milliseconds left until the sender's deadline.
    own_headers : frozenset of str
        Headers that the proxy sets itself and never forwards as received.
    states_not_run : callable
        ``states_not_run(status, value_by_name)`` is True when an answer says that the
        upstream did not run the request.
    states_drain : callable
        ``states_drain(value_by_name)`` is True when an answer says that the upstream
        is draining.
    fault : callable
        ``fault(status, value_by_name)`` returns why an answer is invalid, or None.
    allows_unframed : bool
        True when an answer may be delimited by the end of its connection.
    skips_mismatched_answers : bool
        True when every answer echoes its request's id unless it states that the request
        was not run; a complete answer with another id is then skipped.
    decoy_headers : tuple of (str, str)
        Headers of a request that every upstream refuses at once without running it, by
        which the answers on a connection are told apart; none where there is no such.
    promise_statuses : frozenset of int
        Statuses by which callers are promised that their request has not run.
    """

    request_id: str
    deadline: str
    own_headers: frozenset[str]
    states_not_run: Callable[[int, dict], bool]
    states_drain: Callable[[dict], bool]
    fault: Callable[[int, dict], str | None]
    allows_unframed: bool = False
    skips_mismatched_answers: bool = False
    decoy_headers: tuple[tuple[str, str], ...] = ()
    promise_statuses: frozenset[int] = frozenset()


def states_not_run(status, value_by_name):
    """Tell whether an answer says that the upstream shed the request."""
    return status == SHED_STATUS and (
        value_by_name.get(SHED_HEADER, "").lower() == SHED_NOT_RUN
    )


DEFAULT = Dialect(
    request_id=REQUEST_ID_HEADER,
    deadline=DEADLINE_HEADER,
    own_headers=frozenset(
        ("content-length", "host", DEADLINE_HEADER, REQUEST_ID_HEADER)
    ),
    states_not_run=states_not_run,
    states_drain=lambda value_by_name: DRAIN_HEADER in value_by_name,
    fault=lambda status, value_by_name: None,
)
