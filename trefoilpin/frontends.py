"""HTTP front end for callers, on eventlet's WSGI server.

It turns requests into ``CallerRequest`` and answers and refusals into HTTP; the
decisions are made in ``proxies``.
"""

import json
import logging
import math
from http.client import responses

import eventlet
import eventlet.wsgi
from returns.result import Failure, Success

from trefoilpin import codecs, events
from trefoilpin.messages import CallerRequest
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create", "create_application", "listen", "serve"]

logger = logging.getLogger(__name__)

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
LISTEN_BACKLOG = 1024

INTERNAL = Refusal(
    Reason.INTERNAL, Verdict.MAY_HAVE_RUN, "a fault of the proxy ended the request"
)


def status_line(status):
    """Return a status with its standard phrase."""
    return f"{status} {responses.get(status, 'Unknown')}"


def refuse(start_response, refusal, request_id):
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


def give(start_response, answer, request_id):
    """Send an upstream's answer."""
    headers = [header for header in answer.headers if header[0] != "content-length"]
    headers.append(("x-request-id", request_id))
    if answer.rest is None:
        headers.append(("content-length", str(len(answer.body))))
        start_response(status_line(answer.status), headers)
        return [answer.body]
    start_response(status_line(answer.status), headers)
    return answer.rest


def read_body(environ, max_body):
    """Return a request's body, or a ``Refusal``."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if length > max_body:
        return too_large(max_body)
    if not length and not chunked:
        return b""
    try:
        body = environ["wsgi.input"].read(max_body + 1 if chunked else length)
    except (OSError, ValueError, eventlet.wsgi.ChunkReadError):
        detail = "the body ended early or is malformed"
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
    if len(body) > max_body:
        return too_large(max_body)
    if not chunked and len(body) < length:
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, "the body ended early")
    return body


def too_large(max_body):
    """Return the refusal of a body that is too large."""
    detail = f"the body is larger than {max_body} bytes"
    return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, detail)


def create_application(kernel, proxies, max_body):
    """Create the WSGI application for callers.

    Parameters
    ----------
    kernel : Kernel
    proxies : Proxies
    max_body : int
        Bytes of the largest body a caller may send.

    Returns
    -------
    callable
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    rng = kernel.rng

    def decode(environ, body, request_id):
        headers = tuple(
            (name.lower(), value)
            for name, value in environ["headers_raw"]
            if name.lower() not in HOP_BY_HOP
        )
        return CallerRequest(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", "").partition(":")[0].lower(),
            path=environ["RAW_PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            body=body,
            peer=environ["REMOTE_ADDR"],
            arrived_at=now(),
            caller_gone=lambda: False,
        )

    def handle(request):
        try:
            return proxies.handle(request)
        except Exception as error:
            logger.exception("request %s failed", request.request_id)
            detail = f"{type(error).__name__}: {error}"
            emit(events.REQUEST_FAILED, request_id=request.request_id, detail=detail)
            return Failure(INTERNAL)

    def application(environ, start_response):
        request_id = f"{rng.getrandbits(64):016x}"
        body = read_body(environ, max_body)
        if isinstance(body, Refusal):
            emit(
                events.REQUEST_MALFORMED,
                peer=environ["REMOTE_ADDR"],
                detail=body.detail,
            )
            return refuse(start_response, body, request_id)
        outcome = handle(decode(environ, body, request_id))
        if isinstance(outcome, Success):
            return give(start_response, outcome.unwrap(), request_id)
        return refuse(start_response, outcome.failure(), request_id)

    return application


def listen(address):
    """Return a listening socket.

    Parameters
    ----------
    address : str
        ``ip:port``.

    Raises
    ------
    OSError
        When the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)


def serve(listener, application, max_connections, idle_seconds):
    """Serve an application until the task is killed.

    Parameters
    ----------
    listener : socket
    application : callable
    max_connections : int
    idle_seconds : float
    """
    eventlet.wsgi.server(
        listener,
        application,
        log=logger,
        log_output=False,
        max_size=max_connections,
        socket_timeout=idle_seconds,
        debug=False,
    )


def create(kernel, address, max_connections, idle_seconds, max_body):
    """Create the front end for callers and register it as ``frontends``."""
    application = create_application(kernel, kernel.find("proxies"), max_body)

    def start():
        listener = listen(address)
        kernel.spawn(serve, listener, application, max_connections, idle_seconds)

    kernel.register("frontends", application, start)
    return application
