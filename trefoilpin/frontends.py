"""HTTP front end for callers, on eventlet's WSGI server.

Decodes requests into ``CallerRequest`` and encodes answers and refusals as HTTP;
``proxies`` and ``addresses`` decide on them.
"""

import json
import logging
import math
from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import codecs, events, listeners
from trefoilpin.headers import drop_hop_by_hop, find_fault
from trefoilpin.messages import CallerRequest
from trefoilpin.verdicts import Reason, Refusal, Verdict
from trefoilpin.wsgi_messages import (
    BODYLESS_STATUSES,
    read_body,
    status_line,
    stream_body,
)

__all__ = ["Frontends", "create", "create_application"]

logger = logging.getLogger(__name__)

HOSTS_PATH = "/v1/hosts"
HOSTS_METHODS = frozenset(("GET", "HEAD"))

INTERNAL_ERROR = Refusal(
    Reason.INTERNAL, Verdict.MAY_HAVE_RUN, "a fault of the proxy ended the request"
)
CLOSING = Refusal(
    Reason.CONNECTION_CLOSING,
    Verdict.NOT_RUN,
    "this host was closing the idle connection when the request came",
)
WRONG_METHOD = Refusal(
    Reason.METHOD_NOT_ALLOWED, Verdict.NOT_RUN, "the page takes GET only"
)


class Frontends(NamedTuple):
    """``frontends``: connections of callers.

    ``application`` is the WSGI application. ``close_idle(is_due)`` closes idle
    connections for whose ``ConnectionState`` ``is_due`` returns True. ``close()`` stops
    accepting and returns when all requests in progress were answered.
    ``connection_count()`` is the number of connections.
    """

    application: Callable
    close_idle: Callable[[Callable], None]
    close: Callable[[], None]
    connection_count: Callable[[], int]


def send_refusal(start_response, refusal, request_id):
    """Send a refusal as JSON."""
    body = json.dumps(codecs.encode_refusal(refusal, request_id)).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after))))
    start_response(status_line(refusal.reason.value.status), headers)
    return [body]


def send_answer(start_response, answer, method, request_id):
    """Send an upstream's answer."""
    headers = [("x-request-id", request_id)]
    keeps_length = answer.rest is not None or method == "HEAD" or answer.status == 304
    for header in answer.headers:
        if header[0] == "x-request-id":
            continue
        if header[0] == "content-length" and not keeps_length:
            continue
        headers.append(header)
    if not keeps_length and answer.status not in BODYLESS_STATUSES:
        headers.append(("content-length", str(len(answer.body))))
    start_response(status_line(answer.status), headers)
    if answer.rest is None:
        return [answer.body]
    return stream_body(answer)


def send_hosts(start_response, outcome, request_id):
    """Send the answer of ``addresses`` as JSON."""
    if isinstance(outcome, Failure):
        return send_refusal(start_response, outcome.failure(), request_id)
    found = outcome.unwrap()
    row = {
        "hosts": [{"address": host[0], "zone": host[1]} for host in found.hosts],
        "lifetime_seconds": found.lifetime,
        "issuer": found.issuer,
    }
    body = json.dumps(row).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Cache-Control", f"private, max-age={int(found.lifetime)}"),
        ("X-Request-Id", request_id),
    ]
    start_response(status_line(200), headers)
    return [body]


def create_application(kernel, max_body):
    """Create the WSGI application for callers.

    Parameters
    ----------
    kernel : Kernel
    max_body : int
        Largest body of a request in bytes.

    Returns
    -------
    callable
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    proxies = kernel.find("proxies")
    addresses = kernel.find("addresses")
    shutdowns = kernel.find("shutdowns")
    rng = kernel.rng

    def decode(environ, headers, body, request_id):
        connection = environ[listeners.CONNECTION]
        return CallerRequest(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", "").partition(":")[0].lower(),
            path=environ["RAW_PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=drop_hop_by_hop(headers),
            body=body,
            peer=environ["REMOTE_ADDR"],
            arrived_at=now(),
            caller_gone=lambda: listeners.is_gone(connection.sock),
            has_empty_query=environ.get("QUERY_STRING") == "",
        )

    def handle(request):
        try:
            if request.path == HOSTS_PATH:
                return answer_hosts(request)
            return proxies.handle(request)
        except Exception as error:
            logger.exception("request %s failed", request.request_id)
            detail = f"{type(error).__name__}: {error}"
            emit(events.REQUEST_FAILED, request_id=request.request_id, detail=detail)
            return Failure(INTERNAL_ERROR)

    def answer_hosts(request):
        if request.method not in HOSTS_METHODS:
            return Failure(WRONG_METHOD)
        return addresses.answer(request)

    def refuse_malformed(environ, start_response, refusal, request_id):
        connection = environ[listeners.CONNECTION]
        connection.lingers = True
        listeners.end_after_answer(connection)
        emit(
            events.REQUEST_MALFORMED,
            peer=environ["REMOTE_ADDR"],
            detail=refusal.detail,
        )
        return send_refusal(start_response, refusal, request_id)

    def application(environ, start_response):
        request_id = f"{rng.getrandbits(64):016x}"
        connection = environ[listeners.CONNECTION]
        headers = [(name.lower(), value) for name, value in environ["headers_raw"]]
        protocol = connection.protocol
        defects = protocol.headers.defects
        fault = find_fault(protocol.command, protocol.path, headers, defects)
        if fault is not None:
            return refuse_malformed(environ, start_response, fault, request_id)
        body = read_body(environ, max_body)
        if isinstance(body, Refusal):
            return refuse_malformed(environ, start_response, body, request_id)
        request = decode(environ, headers, body, request_id)
        outcome = handle(request)
        if shutdowns.is_due(connection.share):
            listeners.end_after_answer(connection)
        if request.path == HOSTS_PATH:
            return send_hosts(start_response, outcome, request_id)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            if answer.rest is not None:
                environ["eventlet.minimum_write_chunk_size"] = 1
            return send_answer(start_response, answer, request.method, request_id)
        return send_refusal(start_response, outcome.failure(), request_id)

    return application


def create(kernel, address, max_connections, idle_seconds, max_body):
    """Create the front end for callers and register it as ``frontends``.

    Parameters
    ----------
    kernel : Kernel
    address : str
        ``ip:port`` to listen on.
    max_connections : int
    idle_seconds : float
        Seconds without input after which a connection is closed.
    max_body : int
        Largest body of a request in bytes.

    Returns
    -------
    Frontends
    """
    application = create_application(kernel, max_body)
    emit = kernel.find("events").emit
    open_listeners = []

    def report_malformed(peer, detail):
        emit(events.REQUEST_MALFORMED, peer=peer, detail=detail)

    def start():
        listener = listeners.listen(address)
        listener.report_full = report_full
        open_listeners.append(listener)
        kernel.spawn(
            listeners.serve,
            listener,
            application,
            (max_connections, idle_seconds),
            kernel.clock,
            kernel.rng,
            report_malformed,
        )

    def report_full(closed, detail):
        emit(events.LISTENER_FULL, closed=closed, detail=detail)

    def connection_count():
        return sum(len(listener.connections) for listener in open_listeners)

    def close_idle(is_due):
        for listener in open_listeners:
            for connection in list(listener.connections.values()):
                if is_due(connection):
                    listeners.close_if_idle(connection, CLOSING)

    def close():
        while open_listeners:
            listeners.close(open_listeners.pop(), CLOSING)

    service = Frontends(application, close_idle, close, connection_count)
    kernel.register("frontends", service, start)
    return service
