"""Sending a request to one upstream over kept connections, with a verdict.

``NOT_RUN`` is given only when nothing of the request was written, or the upstream
itself states that it did not run it. A connection is kept only after a whole answer
to the right request.
"""

from http.client import HTTPException
from typing import NamedTuple

import eventlet
from urllib3.exceptions import HTTPError

from trefoilpin import events, exchanges
from trefoilpin.headers import drop_hop_by_hop
from trefoilpin.messages import Answer, Attempt
from trefoilpin.services import Forwarders
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["DEADLINE_HEADER", "create"]

MAX_IDLE_SECONDS = 20.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 64
SWEEP_SECONDS = 5.0
CONNECT_SECONDS = 1.0
CALLER_CHECK_SECONDS = 0.25
LEAST_SECONDS = 0.001
MILLISECONDS = 1000
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-timeout-ms"
OWN_HEADERS = frozenset(("content-length", "host", DEADLINE_HEADER, REQUEST_ID_HEADER))
SHED_STATUS = 503
SHED_HEADER = "x-shed"
SHED_NOT_RUN = "not-run"
DRAIN_HEADER = "x-draining"
CALLER_LEFT = "the caller left"
BROKEN = (HTTPError, HTTPException, OSError, ValueError)


class ForwarderState:
    """Idle connections by upstream address, the latest one last."""

    def __init__(self):
        self.idle_by_address: dict[str, list] = {}


class Sending(NamedTuple):
    """A request on its way to one upstream.

    ``was_idle`` is True when the connection had been idle so long that the upstream
    may just have closed it.
    """

    upstream: str
    address: str
    request: tuple
    deadline: float
    idempotent: bool
    started: float
    was_idle: bool = False


def request_headers(request, address, seconds):
    """Return the headers that an upstream gets."""
    headers = [("host", request.host or address)]
    for header in request.headers:
        if header[0] not in OWN_HEADERS:
            headers.append(header)
    headers.append((REQUEST_ID_HEADER, request.request_id))
    headers.append((DEADLINE_HEADER, str(int(seconds * MILLISECONDS))))
    return headers


def create(kernel, max_buffered):
    """Create the service ``forwarders``.

    Parameters
    ----------
    kernel : Kernel
    max_buffered : int
        Bytes of the largest answer that is checked whole before it is passed on.

    Returns
    -------
    Forwarders
    """
    state = ForwarderState()
    now = kernel.clock.now
    emit = kernel.find("events").emit

    def take(address, max_idle):
        idle = state.idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            fresh = now() - connection.idle_since < max_idle
            if fresh and exchanges.is_clean(connection):
                return connection
            exchanges.close(connection)
        return None

    def keep(connection):
        idle = state.idle_by_address.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS or exchanges.has_surplus(connection):
            exchanges.close(connection)
            return
        connection.idle_since = now()
        idle.append(connection)

    def sweep():
        for address, idle in list(state.idle_by_address.items()):
            while idle and now() - idle[0].idle_since >= MAX_IDLE_SECONDS:
                exchanges.close(idle.pop(0))
            if not idle:
                state.idle_by_address.pop(address)

    def sweep_forever():
        while True:
            kernel.clock.sleep(SWEEP_SECONDS)
            sweep()

    def close_all():
        for idle in state.idle_by_address.values():
            while idle:
                exchanges.close(idle.pop())

    def exchange(upstream, request, deadline, idempotent):
        sending = Sending(
            upstream.id, upstream.address, request, deadline, idempotent, now()
        )
        max_idle = MAX_IDLE_SECONDS if idempotent else MAX_IDLE_NON_IDEMPOTENT_SECONDS
        connection = take(upstream.address, max_idle)
        if connection is None:
            return open_and_send(sending)
        idle = now() - connection.idle_since
        was_idle = idle >= MAX_IDLE_NON_IDEMPOTENT_SECONDS
        return send(connection, sending._replace(was_idle=was_idle))

    def open_and_send(sending):
        seconds = min(sending.deadline - now(), CONNECT_SECONDS)
        try:
            connection = exchanges.open_connection(
                sending.address, max(seconds, LEAST_SECONDS)
            )
        except (HTTPError, OSError) as error:
            detail = f"no connection: {type(error).__name__}"
            reason = Reason.UPSTREAM_UNREACHABLE
            return failure(sending, Verdict.NOT_RUN, reason, detail)
        return send(connection, sending)

    def send(connection, sending):
        whole = False
        remaining = max(sending.deadline - now(), LEAST_SECONDS)
        limit = eventlet.Timeout(remaining)
        try:
            attempt, whole = converse(connection, sending, remaining)
            return attempt
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            reason = Reason.UPSTREAM_TIMEOUT
            detail = "no whole answer before the deadline"
            return failure(sending, Verdict.MAY_HAVE_RUN, reason, detail)
        finally:
            limit.cancel()
            if not whole:
                exchanges.close(connection)

    def converse(connection, sending, seconds):
        """Return the attempt, and False when the connection can't be used again."""
        request = sending.request
        target = request.path + (f"?{request.query}" if request.query else "")
        headers = request_headers(request, sending.address, seconds)
        try:
            exchanges.prepare_request(
                connection, request.method, target, headers, request.body
            )
        except (HTTPException, ValueError) as error:
            detail = f"the request can't be sent: {type(error).__name__}"
            return failure(sending, Verdict.NOT_RUN, Reason.BAD_REQUEST, detail), False
        response = None
        try:
            exchanges.write_request(connection, request.body)
            while not exchanges.wait_for_answer(connection, CALLER_CHECK_SECONDS):
                if sending.idempotent and request.caller_gone():
                    return caller_left(sending), False
            response = exchanges.read_head(connection)
            return read_answer(connection, sending, response)
        except BROKEN as error:
            detail = f"no whole answer: {type(error).__name__}"
            attempt = broken(sending, detail)
            stale = sending.was_idle and response is None
            return attempt._replace(broke_connection=not stale), False

    def read_answer(connection, sending, response):
        fields = exchanges.read_fields(response)
        fault = exchanges.framing_fault(response, fields)
        echoed = dict(fields).get(REQUEST_ID_HEADER)
        if echoed is None and connection.echoes:
            fault = fault or "the answer names no request"
        if echoed not in (None, sending.request.request_id):
            fault = fault or "the answer belongs to another request"
        connection.echoes = echoed is not None
        if fault is not None:
            return broken(sending, fault), False
        body, complete = exchanges.read_body(response, max_buffered)
        if not complete:
            rest = stream(connection, sending, response)
            return concluded(sending, response.status, fields, body, rest), True
        attempt = concluded(sending, response.status, fields, body, None)
        if response.will_close:
            return attempt, False
        keep(connection)
        return attempt, True

    def stream(connection, sending, response):
        """Yield the rest of an answer; close the connection unless it was whole."""
        whole = False
        try:
            while True:
                remaining = max(sending.deadline - now(), LEAST_SECONDS)
                with eventlet.Timeout(remaining):
                    part = exchanges.read_rest(response)
                if not part:
                    break
                yield part
            whole = not response.will_close
        except (*BROKEN, eventlet.Timeout) as error:
            report_dropped(sending, f"broke off: {type(error).__name__}")
            raise OSError("the answer broke off") from error
        finally:
            if whole:
                keep(connection)
            else:
                exchanges.close(connection)

    def concluded(sending, status, fields, body, rest):
        value_by_name = dict(fields)
        stated = value_by_name.get(SHED_HEADER, "")
        shed = status == SHED_STATUS and stated.lower() == SHED_NOT_RUN
        verdict = Verdict.NOT_RUN if shed else Verdict.RAN
        answer = Answer(status, drop_hop_by_hop(fields), body, rest)
        draining = DRAIN_HEADER in value_by_name
        seconds = now() - sending.started
        return Attempt(verdict, answer, None, "", seconds, shed, draining)

    def caller_left(sending):
        emit(events.CALLER_GONE, request_id=sending.request.request_id)
        return failure(sending, Verdict.MAY_HAVE_RUN, Reason.CALLER_GONE, CALLER_LEFT)

    def broken(sending, detail):
        report_dropped(sending, detail)
        reason = Reason.UPSTREAM_BROKEN
        attempt = failure(sending, Verdict.MAY_HAVE_RUN, reason, detail)
        return attempt._replace(broke_connection=True)

    def report_dropped(sending, detail):
        emit(
            events.ANSWER_DROPPED,
            request_id=sending.request.request_id,
            upstream=sending.upstream,
            detail=detail,
        )

    def failure(sending, verdict, reason, detail):
        return Attempt(verdict, None, reason, detail, now() - sending.started)

    service = Forwarders(exchange)
    kernel.register(
        "forwarders", service, lambda: kernel.spawn(sweep_forever), close_all
    )
    return service
