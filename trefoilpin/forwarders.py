"""Sending a request to one upstream over kept connections, with a verdict.

``NOT_RUN`` is given only when nothing of the request was written. A connection is
kept only after a whole answer.
"""

from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from trefoilpin.messages import Answer, Attempt
from trefoilpin.services import Forwarders
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["create"]

MAX_IDLE_SECONDS = 20.0
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
SHED_HEADER = "x-shed"
DRAIN_HEADER = "x-draining"


class ForwarderState:
    """Idle connections with the time they were put back."""

    def __init__(self):
        self.idle_by_address: dict[str, list] = {}


def failure(verdict, reason, detail, seconds, broke_connection=False):
    """Return an attempt without an answer."""
    return Attempt(
        verdict,
        None,
        reason,
        detail,
        seconds,
        broke_connection=broke_connection,
    )


def create(kernel, max_buffered):
    """Create the service ``forwarders``.

    Parameters
    ----------
    kernel : Kernel
    max_buffered : int
        Bytes of the largest answer that is passed on.

    Returns
    -------
    Forwarders
    """
    state = ForwarderState()
    now = kernel.clock.now

    def take_connection(address):
        idle = state.idle_by_address.setdefault(address, [])
        while idle:
            connection, put_at = idle.pop()
            if now() - put_at < MAX_IDLE_SECONDS and connection.is_connected:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        return HTTPConnection(host, int(port), blocksize=65536)

    def keep_connection(address, connection):
        state.idle_by_address[address].append((connection, now()))

    def exchange(upstream, request, deadline, idempotent):
        started = now()
        connection = take_connection(upstream.address)
        try:
            return send(connection, upstream, request, deadline, started)
        except BaseException:
            connection.close()
            raise

    def send(connection, upstream, request, deadline, started):
        connection.timeout = max(deadline - started, 0.001)
        try:
            if connection.sock is None:
                connection.connect()
        except (HTTPError, OSError) as error:
            detail = f"no connection: {type(error).__name__}"
            seconds = now() - started
            reason = Reason.UPSTREAM_UNREACHABLE
            return failure(Verdict.NOT_RUN, reason, detail, seconds)
        try:
            connection.sock.settimeout(connection.timeout)
            target = request.path + (f"?{request.query}" if request.query else "")
            headers = dict(request.headers)
            headers["x-request-id"] = request.request_id
            connection.request(
                request.method,
                target,
                body=request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
            body = response.read(decode_content=False)
        except (HTTPError, HTTPException, OSError) as error:
            connection.close()
            return broken(error, now() - started)
        echoed = response.headers.get("x-request-id", request.request_id)
        if echoed != request.request_id:
            connection.close()
            detail = "the answer belongs to another request"
            return failure(
                Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_BROKEN, detail, now() - started
            )
        return finish(connection, upstream, response, body, now() - started)

    def broken(error, seconds):
        timed_out = isinstance(error, (TimeoutError, urllib3.exceptions.TimeoutError))
        reason = Reason.UPSTREAM_TIMEOUT if timed_out else Reason.UPSTREAM_BROKEN
        return failure(
            Verdict.MAY_HAVE_RUN,
            reason,
            f"no whole answer: {type(error).__name__}",
            seconds,
            broke_connection=not timed_out,
        )

    def finish(connection, upstream, response, body, seconds):
        shed = response.status == 503 and SHED_HEADER in response.headers
        draining = DRAIN_HEADER in response.headers
        closes = response.headers.get("connection", "").lower() == "close"
        if closes:
            connection.close()
        else:
            keep_connection(upstream.address, connection)
        headers = tuple(
            (name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
        )
        answer = Answer(response.status, headers, body)
        verdict = Verdict.NOT_RUN if shed else Verdict.RAN
        return Attempt(verdict, answer, None, "", seconds, shed, draining)

    service = Forwarders(exchange)
    kernel.register("forwarders", service)
    return service
