"""HTTP interfaces for callers, other hosts and health checks.

This module decodes HTTP requests to ``IncomingRequest`` records and encodes answers and
refusals; the decisions are made in ``proxies`` and ``directories``.
"""

import json
import logging
from functools import partial
from typing import Any, Callable, NamedTuple
from urllib.parse import parse_qs

from returns.result import Failure, Success

from trefoilpin import codecs, events, listeners
from trefoilpin.caller_progress import delivered_bytes
from trefoilpin.gateway.admission.body_memory import BodyReservation
from trefoilpin.gateway.admission.response_memory import Caller
from trefoilpin.gateway.fleet.gossip_codecs import encode_document
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.requests.proxies import IncomingRequest
from trefoilpin.gateway.requests.request_heads import (
    read_base,
    read_caller_timeout,
    read_head,
)
from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.headers import drop_hop_by_hop
from trefoilpin.keys import read_key, strip
from trefoilpin.messages import CallerRequest
from trefoilpin.verdicts import Reason, Refusal, Verdict
from trefoilpin.wsgi_messages import (
    BODYLESS_STATUSES,
    read_body,
    status_line,
    stream_body,
)

__all__ = ["Addresses", "Frontends", "create"]

logger = logging.getLogger(__name__)

# Shares of the descriptors for the connections of each listener; the rest is for
# upstreams, other hosts, the store and files.
CALLER_SHARE, DIRECTORY_SHARE, OTHER_SHARE = 0.58, 0.14, 0.02
# Timeout of the sockets. The limit for idle connections is set by the configuration and
# enforced by a periodic check.
SOCKET_TIMEOUT_SECONDS = 60.0
IDLE_MARGIN_SECONDS = 1.0
IDLE_CHECK_INTERVAL_SECONDS = 1.0
HTTP_1_1 = "HTTP/1.1"
DOCUMENTS_PATH = "/documents/"
METRICS_PATH = "/metrics"

# Key of the WSGI environment.
AHEAD = "trefoilpin.ahead"

INTERNAL = Refusal(
    Reason.INTERNAL, Verdict.MAY_HAVE_RUN, "a fault of the gateway ended the request"
)


class Addresses(NamedTuple):
    """Listen addresses of this host, as ``ip:port``; None disables a listener."""

    callers: str | None
    readiness: str | None
    directory: str | None
    control: str | None


class RequestAhead(NamedTuple):
    """A request that was started before its turn, and the task that runs it."""

    incoming: IncomingRequest
    task: Any


class Frontends(NamedTuple):
    """``frontends``: the HTTP listeners.

    ``close_idle(is_due)`` closes idle connections of callers for whose
    ``ConnectionState`` ``is_due`` returns True; ``connection_count()`` is the number of
    connections, and ``unanswered_count()`` the number of requests whose answer was not
    written completely. ``close()`` stops accepting and returns when the requests in
    progress were answered.
    """

    close_idle: Callable
    connection_count: Callable[[], int]
    unanswered_count: Callable[[], int]
    close: Callable[[], None]


def send_refusal(start_response, refusal, request_id, id_header):
    """Send a refusal as JSON."""
    body = json.dumps(codecs.encode_refusal(refusal, request_id)).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (id_header, request_id),
    ]
    if refusal.retry_after is not None and refusal.verdict is Verdict.NOT_RUN:
        headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
    start_response(status_line(refusal.reason.value.status), headers)
    return [body]


def send_answer(start_response, answer, method):
    """Send an upstream's answer."""
    keeps_content_length = (
        answer.rest is not None or method == "HEAD" or answer.status == 304
    )
    headers = []
    for header in answer.headers:
        if header[0] != "content-length" or keeps_content_length:
            headers.append(header)
    if not keeps_content_length and answer.status not in BODYLESS_STATUSES:
        headers.append(("content-length", str(len(answer.body))))
    start_response(status_line(answer.status), headers)
    if answer.rest is None:
        return [answer.body]
    return stream_body(answer)


def send_text(start_response, status, body, content_type="text/plain"):
    """Send an answer with a short body."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status_line(status), headers)
    return [body]


def describe_caller(connection):
    """Return the ``Caller`` of a connection."""

    def delivered():
        try:
            return delivered_bytes(connection.sock)
        except OSError as error:
            logger.debug("connection of %s ended: %s", connection.peer, error)
            return None

    terminate = partial(listeners.stop_reading, connection)
    return Caller(id(connection), connection.peer, delivered, terminate)


def create(kernel, addresses, dialect, encode_addresses, descriptors):
    """Create the listeners and register them as ``frontends``.

    Parameters
    ----------
    kernel : Kernel
    addresses : Addresses
    dialect : Dialect
    encode_addresses : callable
        ``encode_addresses(answer)`` encodes an ``AddressAnswer``, with the port on
        which every host listens for callers.

    descriptors : int
        Limit of the process on open files and sockets.

    Returns
    -------
    Frontends
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    proxies = kernel.find("proxies")
    body_memory = kernel.find("body_memory")
    response_memory = kernel.find("response_memory")
    directories = kernel.find("directories")
    gossip_builders = kernel.find("gossip_builders")
    metrics = kernel.find("metrics")
    open_listeners = []

    def limits():
        return document_cache.value(CONFIGURATION).limits

    def decode_request(environ, head, body):
        connection = environ[listeners.CONNECTION]
        holding = response_memory.open(describe_caller(connection))
        environ[listeners.ON_END] = partial(response_memory.release, holding)
        request = CallerRequest(
            request_id=head.request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", "").partition(":")[0].lower(),
            path=environ["RAW_PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=drop_hop_by_hop(head.headers),
            body=body,
            peer=environ["REMOTE_ADDR"],
            arrived_at=environ[listeners.ARRIVED_AT],
            caller_gone=lambda: listeners.is_gone(connection.sock),
            holding=holding,
            has_empty_query=environ.get("QUERY_STRING") == "",
        )
        key = read_key(request)
        caller_timeout = read_caller_timeout(request.header(dialect.deadline))
        return IncomingRequest(
            request._replace(headers=strip(request.headers)), key, caller_timeout
        )

    def prepare(environ, is_behind):
        """Start a request early that was sent ahead and may run more than once."""
        head = read_head(environ, dialect.request_id)
        protocol = environ[listeners.PROTOCOL]
        if head.fault or head.has_body or protocol.request_version != HTTP_1_1:
            return listeners.IN_TURN
        if not is_behind:
            return listeners.READ_ON
        if not response_memory.has_room():
            # Nothing more is read from this connection until the request is answered.
            return listeners.IN_TURN
        incoming = decode_request(environ, head, b"")
        if not proxies.may_run_ahead(incoming.request):
            return listeners.IN_TURN
        task = kernel.spawn(handle_request, incoming)
        environ[AHEAD] = RequestAhead(incoming, task)
        metrics.count("requests_ahead")
        return listeners.Preparation(task, True)

    def refuse_unread(environ, start_response, refusal, request_id):
        """Refuse a request whose body was not read to its end."""
        connection = environ[listeners.CONNECTION]
        connection.lingers = True
        listeners.end_after_answer(connection)
        if refusal.reason is not Reason.OVERLOADED:
            peer = environ["REMOTE_ADDR"]
            emit(events.REQUEST_MALFORMED, peer=peer, detail=refusal.detail)
        return send_refusal(start_response, refusal, request_id, dialect.request_id)

    def reserve_body(reservation, size):
        refusal = body_memory.reserve(reservation, size)
        return response_memory.check_body() if refusal is None else refusal

    def serve_callers(environ, start_response):
        reservation = BodyReservation()
        try:
            return serve_request(environ, start_response, reservation)
        finally:
            body_memory.release(reservation)

    def serve_request(environ, start_response, reservation):
        connection = environ[listeners.CONNECTION]
        head = read_head(environ, dialect.request_id)
        request_id = head.request_id
        ahead = environ.get(AHEAD)
        if ahead is not None:
            incoming, outcome = ahead.incoming, ahead.task.wait()
        else:
            reserve = partial(reserve_body, reservation)
            max_body_bytes = limits().max_body_bytes
            body = head.fault or read_body(environ, max_body_bytes, reserve)
            if isinstance(body, Refusal):
                if body.reason is Reason.OVERLOADED:
                    incoming = decode_request(environ, head, b"")
                    proxies.record_refusal(incoming.request, body)
                return refuse_unread(environ, start_response, body, request_id)
            incoming = decode_request(environ, head, body)
            outcome = handle_request(incoming)
        if members.is_stopping():
            listeners.end_after_answer(connection)
        if isinstance(outcome, Failure):
            refusal = outcome.failure()
            return send_refusal(start_response, refusal, request_id, dialect.request_id)
        answer = outcome.unwrap()
        response_memory.start_writing(incoming.request.holding)
        if answer.rest is not None:
            environ["eventlet.minimum_write_chunk_size"] = 1
        return send_answer(start_response, answer, incoming.request.method)

    def handle_request(incoming):
        refusal = response_memory.admit(incoming.request.holding)
        if refusal is not None:
            return proxies.record_refusal(incoming.request, refusal)
        try:
            return proxies.handle(incoming)
        except Exception as error:
            request_id = incoming.request.request_id
            logger.exception("request %s failed", request_id)
            detail = f"{type(error).__name__}: {error}"
            emit(events.REQUEST_FAILED, request_id=request_id, detail=detail)
            return Failure(INTERNAL)

    def serve_readiness(environ, start_response):
        is_ready = (
            document_cache.version(CONFIGURATION).revision and not members.is_stopping()
        )
        if is_ready:
            return send_text(start_response, 200, b"ready\n")
        return send_text(start_response, 503, b"not ready\n")

    def serve_directory(environ, start_response):
        query = parse_qs(environ.get("QUERY_STRING", ""))
        zone = query.get("zone", [members.own.zone])[0]
        outcome = directories.answer(zone)
        if isinstance(outcome, Success):
            body = encode_addresses(outcome.unwrap())
            return send_text(start_response, 200, body, "application/json")
        return send_refusal(start_response, outcome.failure(), "", dialect.request_id)

    def serve_control(environ, start_response):
        path = environ["PATH_INFO"]
        if path == METRICS_PATH:
            return send_text(start_response, 200, metrics.render().encode())
        kind = path.removeprefix(DOCUMENTS_PATH)
        if kind not in document_cache.kinds:
            return send_text(start_response, 404, b"no such page\n")
        document = gossip_builders.build_document(
            kind, read_base(environ["QUERY_STRING"])
        )
        body = encode_document(document)
        metrics.count("document_bytes_served", len(body))
        emit(
            events.DOCUMENT_SERVED,
            host=environ["REMOTE_ADDR"],
            kind=kind,
            revision=document.revision,
            bytes=len(body),
            under_way=connection_count(),
        )
        return send_text(start_response, 200, body, "application/octet-stream")

    def report_malformed(peer, detail):
        emit(events.REQUEST_MALFORMED, peer=peer, detail=detail)

    def report_full(closed, detail):
        metrics.count("listeners_full")
        emit(events.LISTENER_FULL, closed=closed, detail=detail)

    def open_listener(address, application, share, prepare=None):
        if address is None:
            return
        listener = listeners.listen(address)
        listener.report_full = report_full
        open_listeners.append(listener)
        connection_limits = (int(descriptors * share), SOCKET_TIMEOUT_SECONDS)
        kernel.spawn(
            listeners.serve,
            listener,
            application,
            connection_limits,
            kernel.clock,
            kernel.rng,
            report_malformed,
            prepare,
        )

    def start():
        open_listener(addresses.control, serve_control, OTHER_SHARE)
        open_listener(addresses.callers, serve_callers, CALLER_SHARE, prepare)
        open_listener(addresses.readiness, serve_readiness, OTHER_SHARE)
        open_listener(addresses.directory, serve_directory, DIRECTORY_SHARE)
        kernel.spawn(
            repeat,
            kernel.clock.sleep,
            lambda: IDLE_CHECK_INTERVAL_SECONDS,
            close_expired,
        )

    def close_expired():
        idle_before = now() - limits().idle_seconds - IDLE_MARGIN_SECONDS
        close_idle(lambda connection: connection.idle_since < idle_before)

    def close_idle(is_due):
        for listener in open_listeners:
            for connection in list(listener.connections.values()):
                if is_due(connection):
                    listeners.close_if_idle(connection)

    def connection_count():
        return sum(len(listener.connections) for listener in open_listeners)

    def unanswered_count():
        count = 0
        for listener in open_listeners:
            for connection in listener.connections.values():
                count += len(connection.pending)
        return count

    def close():
        while open_listeners:
            listeners.close(open_listeners.pop())

    service = Frontends(close_idle, connection_count, unanswered_count, close)
    kernel.register("frontends", service, start)
    return service
