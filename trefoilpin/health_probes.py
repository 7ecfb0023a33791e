"""Asks one upstream for its health, over a connection of its own.

No connection is used twice, so an answer can't be one to an earlier question.
"""

from http.client import HTTPException

import eventlet
from returns.result import Failure, Result
from urllib3.exceptions import HTTPError

from trefoilpin import exchanges
from trefoilpin.request_services import HealthProbes

__all__ = ["create"]

CONNECT_TIMEOUT_SECONDS = 0.3
# A question waits for a slot like any request; one that waits for longer is repeated.
ANSWER_TIMEOUT_SECONDS = 1.0
# Status of an upstream that is well, and of one that is not or is leaving.
ANSWER_STATUSES = frozenset((200, 503))
# What is read of an answer's body, to find it cut or malformed.
MAX_BODY_BYTES = 65_536
EXCHANGE_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


def create(kernel, read_cold_seconds):
    """Create the service ``health_probes``.

    Parameters
    ----------
    kernel : Kernel
    read_cold_seconds : callable
        ``read_cold_seconds(upstream, fields)`` returns a ``Result`` with the seconds
        for which the answer with these headers says that the upstream of that id stays
        cold, or why it does not say it.

    Returns
    -------
    HealthProbes
    """

    def ask(upstream, path) -> Result[float, str]:
        timer = eventlet.Timeout(ANSWER_TIMEOUT_SECONDS)
        connection = None
        try:
            connection = exchanges.open_connection(
                upstream.address, CONNECT_TIMEOUT_SECONDS
            )
            response = send_question(connection, upstream, path)
            if response.status not in ANSWER_STATUSES:
                return Failure(f"the status is {response.status}")
            fault = exchanges.framing_fault(response, allows_unframed=True)
            if fault is not None:
                return Failure(fault)
            exchanges.read_body(response, MAX_BODY_BYTES)
            return read_cold_seconds(upstream.id, response.fields)
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            return Failure("no answer in time")
        except EXCHANGE_ERRORS as error:
            return Failure(f"no answer: {type(error).__name__}")
        finally:
            timer.cancel()
            if connection is not None:
                exchanges.abandon(connection)

    def send_question(connection, upstream, path):
        """Send a question and return the head of the answer."""
        headers = (("host", upstream.address), ("connection", "close"))
        exchanges.prepare_request(connection, "GET", path, headers, b"")
        exchanges.write_request(connection, b"")
        return exchanges.read_head(connection, "GET")

    service = HealthProbes(ask)
    kernel.register("health_probes", service)
    return service
