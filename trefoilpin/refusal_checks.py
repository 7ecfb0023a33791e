"""Tells a refusal that names no request from a copy of an earlier one.

A faulty upstream may write a refusal once more, on any connection that is kept, before
the answer to the next request there.
"""

from typing import Callable, NamedTuple

from trefoilpin import exchanges

__all__ = ["RefusalChecks", "create"]

MAX_ANSWERS = 2
MIN_TIMEOUT_SECONDS = 0.001
MILLISECONDS_PER_SECOND = 1000


class RefusalChecks(NamedTuple):
    """Functions that check refusals.

    ``is_in_doubt(connection, outgoing, response, value_by_name)`` tells whether a
    refusal may be a copy, and ``find_own_response(connection, outgoing, refusal)``
    returns the answer that follows a copy, or None after a true refusal.
    """

    is_in_doubt: Callable[..., bool]
    find_own_response: Callable


def create(kernel, dialect, read_body):
    """Return the ``RefusalChecks`` of a dialect.

    Parameters
    ----------
    kernel : Kernel
    dialect : Dialect
    read_body : callable
        ``read_body(outgoing, response)`` returns what is buffered of a body, and
        whether it is the whole body.
    """
    now = kernel.clock.now

    def is_in_doubt(connection, outgoing, response, value_by_name):
        """Tell whether a refusal may be a copy of that of an earlier request.

        Only requests that must not run again need to know, and nothing comes before
        the answer to the first request on a connection.
        """
        if outgoing.idempotent or not connection.is_reused:
            return False
        is_unnamed = dialect.request_id not in value_by_name
        is_refusal = dialect.states_not_run(response.status, value_by_name)
        return bool(dialect.decoy_headers) and is_unnamed and is_refusal

    def find_own_response(connection, outgoing, refusal):
        """Return the answer to a request that follows a copied refusal, or None.

        Answers come in the order of their requests. A decoy is sent behind the request:
        when the decoy's answer is next, the refusal was that of the request itself. A
        refusal that closes its connection leaves no room for a decoy, and the end tells
        nothing: the upstream may have ended while it ran the request.

        Raises
        ------
        Exception
            One of the errors of an exchange when the next answer can't tell.
        """
        if refusal.will_close:
            response = exchanges.read_next_head(connection, outgoing.request.method)
        else:
            response = send_decoy(connection, outgoing)
        for _ in range(MAX_ANSWERS):
            fields = exchanges.read_fields(response)
            value_by_name = dict(fields)
            echoed = value_by_name.get(dialect.request_id)
            if echoed == outgoing.request.request_id:
                return response
            fault = exchanges.framing_fault(response, fields)
            if fault is not None or not read_body(outgoing, response)[1]:
                raise ValueError(fault or "the answer is too long")
            if dialect.states_not_run(response.status, value_by_name):
                connection.is_suspect = connection.is_suspect or response.will_close
                return None
            if echoed is None:
                raise ValueError("the answer names no request")
            connection.is_suspect = True
            response = exchanges.read_next_head(connection, outgoing.request.method)
        raise ValueError("too many answers to other requests")

    def send_decoy(connection, outgoing):
        """Send a request that is refused without being run; return its answer's head.

        The answer may as well be one to a request sent before it.
        """
        seconds = max(outgoing.deadline - now(), MIN_TIMEOUT_SECONDS)
        headers = [
            ("host", outgoing.request.host or outgoing.address),
            (dialect.request_id, f"{kernel.rng.getrandbits(64):016x}"),
            (dialect.deadline, str(int(seconds * MILLISECONDS_PER_SECOND))),
            *dialect.decoy_headers,
        ]
        exchanges.prepare_request(
            connection, "GET", outgoing.request.path, headers, b""
        )
        exchanges.write_request(connection, b"")
        return exchanges.read_head(connection)

    return RefusalChecks(is_in_doubt, find_own_response)
