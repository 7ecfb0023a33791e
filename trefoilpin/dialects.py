"""Names and rules by which HTTP with callers and upstreams is spoken.

The decisions don't know them; a deployment passes its own dialect to the front end
and to the forwarder.
"""

from typing import Callable, NamedTuple

__all__ = ["OWN", "Dialect"]

SHED_STATUS = 503
SHED_HEADER = "x-shed"
SHED_NOT_RUN = "not-run"
DRAIN_HEADER = "x-draining"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-timeout-ms"


class Dialect(NamedTuple):
    """How requests and answers are marked.

    Attributes
    ----------
    request_id : str
        Header, in lower case, that names a request and is echoed in its answer.
    deadline : str
        Header with the milliseconds that the sender will wait.
    own_headers : frozenset of str
        Headers that are set here and never passed on as they came.
    states_not_run : callable
        ``states_not_run(status, value_by_name)`` is True when an answer says that the
        upstream did not run the request.
    states_drain : callable
        ``states_drain(value_by_name)`` is True when the upstream is leaving.
    fault : callable
        ``fault(status, value_by_name)`` tells why an answer can't be passed on.
    allows_unframed : bool
        True when an answer may end with its connection.
    skips_stray_answers : bool
        True when every answer echoes its request's id unless it states that nothing was
        run, so that a whole answer with another id is skipped and the next one read.
    """

    request_id: str
    deadline: str
    own_headers: frozenset[str]
    states_not_run: Callable[[int, dict], bool]
    states_drain: Callable[[dict], bool]
    fault: Callable[[int, dict], str | None]
    allows_unframed: bool = False
    skips_stray_answers: bool = False


def states_not_run(status, value_by_name):
    """Tell whether an answer says that the request was shed."""
    return status == SHED_STATUS and (
        value_by_name.get(SHED_HEADER, "").lower() == SHED_NOT_RUN
    )


OWN = Dialect(
    request_id=REQUEST_ID_HEADER,
    deadline=DEADLINE_HEADER,
    own_headers=frozenset(
        ("content-length", "host", DEADLINE_HEADER, REQUEST_ID_HEADER)
    ),
    states_not_run=states_not_run,
    states_drain=lambda value_by_name: DRAIN_HEADER in value_by_name,
    fault=lambda status, value_by_name: None,
)
