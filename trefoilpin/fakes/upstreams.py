"""Stand-in for an upstream: slots, slow start and gray faults.

It keeps a record of every request that ran, so that a test can tell the truth.
Control: ``PUT /_faults`` with a ``Faults`` object, ``GET /_runs``, ``GET /_health``.
"""

import hashlib
import json
import socket
from typing import TypedDict

import eventlet
import eventlet.wsgi

__all__ = ["Faults", "UpstreamState", "create_application", "expected_body"]

STALL_SECONDS = 3600.0
DRIP_SECONDS = 0.02
DRIP_BYTES = 1_000_000
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
SURPLUS = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus"


class Faults(TypedDict, total=False):
    """What the stand-in does wrong; shares are from 0 to 1.

    ``error_share`` of answers are 500. ``slow_share`` take ``slow_seconds``.
    ``stall_share`` never come. ``reset_before_share`` and ``reset_after_share``
    break the connection before and after running. ``short_share`` end before their
    length, ``wrong_id_share`` name another request, ``crossed_share`` carry the
    previous request's answer. ``draining`` announces departure. ``sheds`` refuses
    without running. ``health_lag_seconds`` delays what the health page shows.
    ``crash_word`` breaks the connection of each request whose body holds it.
    ``chunked_share`` of answers are sent in chunks, ``cut_chunks_share`` break off
    between two chunks. ``drip_share`` never end. ``surplus_share`` are followed by an
    answer that nobody asked for. ``both_share`` carry a length and a transfer encoding,
    ``hints_share`` come after an early 103. ``padding_bytes`` lengthens every answer.
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
    """Faults, work under way and the record of what ran."""

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
    """Return the answer's body for a request, given the upstream's name."""
    digest = hashlib.sha256(body).hexdigest()
    row = {"upstream": name, "method": method, "path": path}
    return json.dumps(row | {"query": query, "digest": digest}).encode()


def draw(state, name):
    """Tell whether a fault with a share strikes this request."""
    share = state.faults.get(name, 0)
    return share > 0 and state.rng.random() < share


def bearable(state):
    """Return how many requests at once the upstream bears now."""
    warm = state.now() - state.started_at
    if warm >= state.cold_seconds:
        return state.slots
    return max(1, int(state.slots * warm / state.cold_seconds))


def reset(environ):
    """Break the connection without an answer."""
    connection = environ["eventlet.input"].get_socket()
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError("reset by a fault")


def echo(environ):
    """Return the header that names the request an answer belongs to."""
    return ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))


def send_raw(environ, data):
    """Write bytes past the server."""
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

    def control(environ, start_response):
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
        shows_fault = state.faulty_since is not None and (
            state.now() - state.faulty_since >= lag
        )
        healthy = not (shows_fault and state.faults)
        row = {"healthy": healthy, "in_flight": state.in_flight}
        return send(start_response, 200 if healthy else 503, row)

    def send(start_response, status, row, headers=()):
        body = json.dumps(row).encode()
        start_response(f"{status} -", [("Content-Type", "application/json"), *headers])
        return [body]

    def application(environ, start_response):
        if environ["PATH_INFO"].startswith("/_"):
            return control(environ, start_response)
        body = environ["wsgi.input"].read()
        if state.faults.get("sheds") or state.in_flight >= state.slots:
            headers = [("X-Shed", "not-run"), echo(environ)]
            return send(start_response, 503, {"shed": True}, headers)
        if draw(state, "reset_before_share"):
            reset(environ)
        return run(environ, start_response, body)

    def run(environ, start_response, body):
        state.in_flight += 1
        state.peak_in_flight = max(state.peak_in_flight, state.in_flight)
        try:
            if state.in_flight > bearable(state):
                state.overloads += 1
                state.started_at = state.now()
            work(environ, body)
        finally:
            state.in_flight -= 1
        return answer(environ, start_response, body)

    def work(environ, body):
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
            reset(environ)
        if draw(state, "stall_share"):
            eventlet.sleep(STALL_SECONDS)
        slow = draw(state, "slow_share")
        pause = state.faults.get("slow_seconds", 1.0) if slow else 0
        eventlet.sleep(state.service_seconds + pause)
        if draw(state, "reset_after_share"):
            reset(environ)

    def answer(environ, start_response, body):
        if draw(state, "error_share"):
            return send(start_response, 500, {"error": "fault"}, [echo(environ)])
        whole = expected_body(
            state.name,
            environ["REQUEST_METHOD"],
            environ["RAW_PATH_INFO"],
            environ.get("QUERY_STRING", ""),
            body,
        )
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if draw(state, "wrong_id_share"):
            request_id = "of-another-request"
        sent = (whole, request_id)
        if draw(state, "crossed_share") and state.previous_answer:
            sent = state.previous_answer
        state.previous_answer = (whole, request_id)
        return deliver(environ, start_response, *sent)

    def deliver(environ, start_response, whole, request_id):
        environ["eventlet.minimum_write_chunk_size"] = 1
        whole += b" " * state.faults.get("padding_bytes", 0)
        headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
        if state.faults.get("draining"):
            headers.append(("X-Draining", "1"))
        if draw(state, "hints_share"):
            send_raw(environ, EARLY_HINTS)
        if draw(state, "surplus_share"):
            hook = (lambda environ: send_raw(environ, SURPLUS), (), {})
            environ["eventlet.posthooks"].append(hook)
        cut_chunks = draw(state, "cut_chunks_share")
        if cut_chunks or draw(state, "chunked_share"):
            start_response("200 OK", headers)
            return send_chunks(whole, cut_chunks)
        drips = draw(state, "drip_share")
        length = DRIP_BYTES if drips else len(whole)
        headers.append(("Content-Length", str(length)))
        if draw(state, "both_share"):
            headers.append(("Transfer-Encoding", "chunked"))
        start_response("200 OK", headers)
        if draw(state, "short_share"):
            return break_off(whole)
        if drips:
            return drip(whole)
        return [whole]

    def break_off(whole):
        yield whole[: len(whole) // 2]
        raise ConnectionAbortedError("cut short by a fault")

    def send_chunks(whole, cut):
        middle = len(whole) // 2
        yield whole[:middle]
        if cut:
            raise ConnectionAbortedError("cut short by a fault")
        yield whole[middle:]

    def drip(whole):
        yield whole[:1]
        while True:
            eventlet.sleep(DRIP_SECONDS)
            yield b" "

    return application
