"""Tells a refusal that names no request from a copy of an earlier one.

A faulty upstream may write a refusal once more, on any connection that is kept, before
the answer to the next request there.
"""

from typing import Callable, NamedTuple

from trefoilpin import exchanges

__all__ = ["RefusalChecks", "create"]

# As many copies in a row are told apart from the answers to the decoys.
DECOY_COUNT = 2
MAX_ANSWERS = 6
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
        the answer to the first request on a connection, unless something has.
        """
        if outgoing.idempotent:
            return False
        if not (connection.is_reused or connection.is_suspect):
            return False
        is_unnamed = dialect.request_id not in value_by_name
        return is_unnamed and dialect.states_not_run(response.status, value_by_name)

    def find_own_response(connection, outgoing, refusal):
        """Return the answer to a request that follows a copied refusal, or None.

        Answers come in the order of their requests. Decoys are sent behind the request:
        when refusals to all of them are next, the first one was that of the request
        itself, unless it was copied more often than there are decoys. A refusal that
        closes its connection leaves no room for a decoy, and the end tells nothing: the
        upstream may have ended while it ran the request.

        Raises
        ------
        Exception
            One of the errors of an exchange when the next answers can't tell.
        """
        if not (dialect.decoy_headers and outgoing.allows_decoys):
            raise ValueError("the refusal names no request")
        own_id = outgoing.request.request_id
        decoy_ids = []
        sends_decoy = not refusal.will_close
        method = outgoing.request.method
        for _ in range(MAX_ANSWERS):
            if sends_decoy:
                decoy_ids.append(send_decoy(connection, outgoing))
                response = exchanges.read_head(connection, method)
            else:
                response = exchanges.read_next_head(connection, method)
            value_by_name = dict(response.fields)
            echoed = value_by_name.get(dialect.request_id)
            is_refusal = dialect.states_not_run(response.status, value_by_name)
            if echoed == own_id and not is_refusal:
                return response
            fault = exchanges.framing_fault(response)
            if fault is not None or not read_body(outgoing, response)[1]:
                raise ValueError(fault or "the answer is too long")
            if echoed is None and not is_refusal:
                raise ValueError("the answer names no request")
            connection.is_suspect = connection.is_suspect or response.will_close
            is_confirming = is_refusal and echoed in (None, own_id, *decoy_ids)
            sends_decoy = is_confirming and bool(decoy_ids)
            if not is_confirming:
                connection.is_suspect = True
            elif len(decoy_ids) == DECOY_COUNT:
                return None
        raise ValueError("too many answers to other requests")

    def send_decoy(connection, outgoing):
        """Send a request that is refused without being run; return its id."""
        seconds = max(outgoing.deadline - now(), MIN_TIMEOUT_SECONDS)
        decoy_id = f"{kernel.rng.getrandbits(64):016x}"
        headers = [
            ("host", outgoing.request.host or outgoing.address),
            (dialect.request_id, decoy_id),
            (dialect.deadline, str(int(seconds * MILLISECONDS_PER_SECOND))),
            *dialect.decoy_headers,
        ]
        exchanges.prepare_request(
            connection, "GET", outgoing.request.path, headers, b""
        )
        exchanges.write_request(connection, b"")
        return decoy_id

    return RefusalChecks(is_in_doubt, find_own_response)
