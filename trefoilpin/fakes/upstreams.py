"""Fake upstream with slots, slow start and gray failures.

It records every request that it executes, so that tests can compare the answers with
what really ran. Control: ``PUT /_faults`` with a ``Faults`` object, ``GET /_runs``,
``GET /_load``, ``GET /_health``; ``/_cold`` restarts the slow start.
"""

import hashlib
import json
import socket
from typing import TypedDict

import eventlet
import eventlet.wsgi

__all__ = ["Faults", "UpstreamState", "create_application", "expected_body"]

STALL_SECONDS = 3600.0
DRIP_INTERVAL_SECONDS = 0.02
DRIP_CONTENT_LENGTH = 1_000_000
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
SURPLUS_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"


class Faults(TypedDict, total=False):
    """Faults that the fake injects; shares are from 0 to 1.

    Responses: ``error_share`` of them are 500. ``slow_share`` take ``slow_seconds``
    longer. ``stall_share`` are never sent. ``short_share`` end before their content
    length. ``wrong_id_share`` carry another request id, and ``crossed_share`` the
    previous request's response. ``chunked_share`` are sent in chunks;
    ``cut_chunks_share`` are cut between two chunks. ``drip_share`` send a byte at a
    time and never end. ``surplus_share`` are followed by an unsolicited response.
    ``both_share`` have both a content length and a transfer encoding. ``hints_share``
    follow an interim 103. ``padding_bytes`` lengthens every response.

    Requests: ``reset_before_share`` and ``reset_after_share`` reset the connection
    before and after execution. ``crash_word`` resets the connection of each request
    whose body contains it. ``sheds`` refuses all requests without execution.

    ``draining`` announces a planned shutdown. ``health_lag_seconds`` is the delay
    until the health page shows a fault.
    """

    error_share: float
    slow_share: float
    slow_seconds: float
    stall_share: float
    reset_before_share: float
    reset_after_share: float
    short_share: float
    wrong_id_share: float
    crossed_share: float
    draining: bool
    sheds: bool
    health_lag_seconds: float
    crash_word: str
    chunked_share: float
    cut_chunks_share: float
    drip_share: float
    surplus_share: float
    both_share: float
    hints_share: float
    padding_bytes: int


class UpstreamState:
    """Faults, requests in flight and the record of executed requests."""

    def __init__(self, name, slots, service_seconds, cold_seconds, rng, now):
        self.name = name
        self.slots = slots
        self.service_seconds = service_seconds
        self.cold_seconds = cold_seconds
        self.rng = rng
        self.now = now
        self.started_at = now()
        self.faults: Faults = {}
        self.faulty_since = None
        self.in_flight = 0
        self.peak_in_flight = 0
        self.overloads = 0
        self.runs: list[dict] = []
        self.previous_answer = None


def expected_body(name, method, path, query, body):
    """Return the response body for a request to the named upstream."""
    digest = hashlib.sha256(body).hexdigest()
    row = {"upstream": name, "method": method, "path": path}
    return json.dumps(row | {"query": query, "digest": digest}).encode()


def should_inject(state, name):
    """Decide at random whether to inject a fault into this request."""
    share = state.faults.get(name, 0)
    return share > 0 and state.rng.random() < share


def concurrency_limit(state):
    """Return how many concurrent requests the upstream can handle now."""
    uptime = state.now() - state.started_at
    if uptime >= state.cold_seconds:
        return state.slots
    return max(1, int(state.slots * uptime / state.cold_seconds))


def reset_connection(environ):
    """Shut down the connection without a response."""
    connection = environ["eventlet.input"].get_socket()
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError("injected fault: connection reset")


def request_id_header(environ):
    """Return the header with the id of the request that a response belongs to."""
    return ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))


def send_raw(environ, data):
    """Write bytes to the socket, bypassing the WSGI server."""
    environ["eventlet.input"].get_socket().sendall(data)


def create_application(state):
    """Create the WSGI application of an upstream.

    Parameters
    ----------
    state : UpstreamState

    Returns
    -------
    callable
    """

    def handle_control(environ, start_response):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/_faults" and method == "PUT":
            state.faults = json.loads(environ["wsgi.input"].read())
            state.faulty_since = state.now()
            return send(start_response, 200, state.faults)
        if path == "/_faults":
            return send(start_response, 200, state.faults)
        if path == "/_cold":
            state.started_at = state.now()
            return send(start_response, 200, {})
        if path == "/_runs":
            return send(start_response, 200, state.runs)
        if path == "/_load":
            row = {"peak": state.peak_in_flight, "overloads": state.overloads}
            return send(start_response, 200, row)
        return send_health(start_response)

    def send_health(start_response):
        lag = state.faults.get("health_lag_seconds", 0)
        is_fault_visible = state.faulty_since is not None and (
            state.now() - state.faulty_since >= lag
        )
        healthy = not (is_fault_visible and state.faults)
        row = {"healthy": healthy, "in_flight": state.in_flight}
        return send(start_response, 200 if healthy else 503, row)

    def send(start_response, status, row, headers=()):
        body = json.dumps(row).encode()
        start_response(f"{status} -", [("Content-Type", "application/json"), *headers])
        return [body]

    def application(environ, start_response):
        if environ["PATH_INFO"].startswith("/_"):
            return handle_control(environ, start_response)
        body = environ["wsgi.input"].read()
        if state.faults.get("sheds") or state.in_flight >= state.slots:
            headers = [("X-Shed", "not-run"), request_id_header(environ)]
            return send(start_response, 503, {"shed": True}, headers)
        if should_inject(state, "reset_before_share"):
            reset_connection(environ)
        return run(environ, start_response, body)

    def run(environ, start_response, body):
        state.in_flight += 1
        state.peak_in_flight = max(state.peak_in_flight, state.in_flight)
        try:
            if state.in_flight > concurrency_limit(state):
                state.overloads += 1
                state.started_at = state.now()
            execute(environ, body)
        finally:
            state.in_flight -= 1
        return answer(environ, start_response, body)

    def execute(environ, body):
        word = state.faults.get("crash_word")
        state.runs.append(
            {
                "request_id": environ.get("HTTP_X_REQUEST_ID"),
                "account": environ.get("HTTP_X_ACCOUNT"),
                "operation": environ.get("HTTP_IDEMPOTENCY_KEY"),
                "authorization": environ.get("HTTP_AUTHORIZATION"),
                "api_key": environ.get("HTTP_X_API_KEY"),
                "method": environ["REQUEST_METHOD"],
                "path": environ["RAW_PATH_INFO"],
                "digest": hashlib.sha256(body).hexdigest(),
                "at": state.now(),
            }
        )
        if word and word.encode() in body:
            reset_connection(environ)
        if should_inject(state, "stall_share"):
            eventlet.sleep(STALL_SECONDS)
        slow = should_inject(state, "slow_share")
        extra_seconds = state.faults.get("slow_seconds", 1.0) if slow else 0
        eventlet.sleep(state.service_seconds + extra_seconds)
        if should_inject(state, "reset_after_share"):
            reset_connection(environ)

    def answer(environ, start_response, body):
        if should_inject(state, "error_share"):
            return send(
                start_response, 500, {"error": "fault"}, [request_id_header(environ)]
            )
        response_body = expected_body(
            state.name,
            environ["REQUEST_METHOD"],
            environ["RAW_PATH_INFO"],
            environ.get("QUERY_STRING", ""),
            body,
        )
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if should_inject(state, "wrong_id_share"):
            request_id = "of-another-request"
        response = (response_body, request_id)
        if should_inject(state, "crossed_share") and state.previous_answer:
            response = state.previous_answer
        state.previous_answer = (response_body, request_id)
        return send_response(environ, start_response, *response)

    def send_response(environ, start_response, response_body, request_id):
        environ["eventlet.minimum_write_chunk_size"] = 1
        response_body += b" " * state.faults.get("padding_bytes", 0)
        headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
        if state.faults.get("draining"):
            headers.append(("X-Draining", "1"))
        if should_inject(state, "hints_share"):
            send_raw(environ, EARLY_HINTS)
        if should_inject(state, "surplus_share"):
            hook = (lambda environ: send_raw(environ, SURPLUS_RESPONSE), (), {})
            environ["eventlet.posthooks"].append(hook)
        cut_chunks = should_inject(state, "cut_chunks_share")
        if cut_chunks or should_inject(state, "chunked_share"):
            start_response("200 OK", headers)
            return send_chunks(response_body, cut_chunks)
        is_dripping = should_inject(state, "drip_share")
        length = DRIP_CONTENT_LENGTH if is_dripping else len(response_body)
        headers.append(("Content-Length", str(length)))
        if should_inject(state, "both_share"):
            headers.append(("Transfer-Encoding", "chunked"))
        start_response("200 OK", headers)
        if should_inject(state, "short_share"):
            return send_truncated(response_body)
        if is_dripping:
            return drip(response_body)
        return [response_body]

    def send_truncated(response_body):
        yield response_body[: len(response_body) // 2]
        raise ConnectionAbortedError("injected fault: response truncated")

    def send_chunks(response_body, is_cut):
        middle = len(response_body) // 2
        yield response_body[:middle]
        if is_cut:
            raise ConnectionAbortedError("injected fault: response truncated")
        yield response_body[middle:]

    def drip(response_body):
        yield response_body[:1]
        while True:
            eventlet.sleep(DRIP_INTERVAL_SECONDS)
            yield b" "

    return application
