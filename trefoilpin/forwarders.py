"""Sends a request to one upstream over persistent connections and gives a verdict.

The verdict is ``NOT_RUN`` only when nothing of the request was written, or the upstream
states that it did not run it. A refusal that names no request may be a copy of an
earlier one: where the dialect has a decoy, the answer to it shows whether that is so;
elsewhere the connection is reused only for requests that may run more than once. A
connection is reused only after a complete answer to the request that was sent on it.
"""

from http.client import HTTPException
from typing import NamedTuple

import eventlet
from urllib3.exceptions import HTTPError

from trefoilpin import (
    answer_checks,
    dialects,
    events,
    exchanges,
    idle_connections,
    refusal_checks,
    response_streams,
)
from trefoilpin.headers import drop_hop_by_hop
from trefoilpin.idle_connections import MAX_IDLE_CONNECTIONS
from trefoilpin.messages import Answer, Attempt, OutgoingRequest
from trefoilpin.request_services import Forwarders
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["MAX_IDLE_CONNECTIONS", "ForwarderBounds", "create"]

SWEEP_INTERVAL_SECONDS = 5.0
CALLER_CHECK_INTERVAL_SECONDS = 0.25
MIN_TIMEOUT_SECONDS = 0.001
MILLISECONDS_PER_SECOND = 1000
MAX_SKIPPED_ANSWERS = 2
CALLER_LEFT = "the caller left"
EXCHANGE_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class ForwarderBounds(NamedTuple):
    """Timeouts of connections, and the largest answer that is buffered.

    Attributes
    ----------
    max_buffered : int
        Bytes of the largest answer that is read completely before it is passed on.
    connect_seconds : float
        Time after which an upstream counts as unreachable.
    max_idle, max_idle_non_idempotent : float
        Seconds without a request after which a connection is not reused, for idempotent
        and for other requests.
    """

    max_buffered: int
    connect_seconds: float = 1.0
    max_idle: float = 20.0
    max_idle_non_idempotent: float = 1.0


def create(kernel, bounds, dialect=dialects.DEFAULT, memory=None):
    """Create the service ``forwarders``.

    Parameters
    ----------
    kernel : Kernel
    bounds : ForwarderBounds
    dialect : Dialect
    memory : ResponseMemory, optional
        Counts responses to requests that have a holding.

    Returns
    -------
    Forwarders
    """
    now = kernel.clock.now
    idle = idle_connections.create(now, bounds.max_idle)
    emit = kernel.find("events").emit
    broken_answer_listeners = []

    def request_headers(outgoing, seconds):
        request = outgoing.request
        headers = [("host", request.host or outgoing.address)]
        for header in request.headers:
            if header[0] not in dialect.own_headers:
                headers.append(header)
        headers.append((dialect.request_id, request.request_id))
        headers.append((dialect.deadline, str(int(seconds * MILLISECONDS_PER_SECOND))))
        headers.extend(outgoing.extra_headers)
        return headers

    def sweep_forever():
        while True:
            kernel.clock.sleep(SWEEP_INTERVAL_SECONDS)
            idle.sweep()

    def exchange(
        upstream,
        request,
        deadline,
        idempotent,
        extra_headers=(),
        uses_new_connection=False,
        send_by=float("inf"),
        allows_decoys=True,
    ):
        outgoing = OutgoingRequest(
            upstream.id,
            upstream.address,
            request,
            deadline,
            idempotent,
            now(),
            extra_headers=extra_headers,
            uses_new_connection=uses_new_connection,
            send_by=send_by,
            allows_decoys=allows_decoys,
        )
        if not is_counted(request):
            return connect_and_send(outgoing)
        memory.start_exchange(request.holding)
        try:
            return connect_and_send(outgoing)
        finally:
            memory.end_exchange(request.holding)

    def is_counted(request):
        return memory is not None and request.holding is not None

    def connect_and_send(outgoing):
        if outgoing.uses_new_connection:
            return open_and_send(outgoing)
        idempotent = outgoing.idempotent
        max_idle = bounds.max_idle if idempotent else bounds.max_idle_non_idempotent
        connection = idle.take(outgoing.address, max_idle, idempotent)
        if connection is None:
            return open_and_send(outgoing)
        connection.is_reused = True
        idle_seconds = now() - connection.idle_since
        may_be_stale = idle_seconds >= bounds.max_idle_non_idempotent
        return send(connection, outgoing._replace(may_be_stale=may_be_stale))

    def open_and_send(outgoing):
        seconds = min(outgoing.deadline - now(), bounds.connect_seconds)
        try:
            connection = exchanges.open_connection(
                outgoing.address, max(seconds, MIN_TIMEOUT_SECONDS)
            )
        except (HTTPError, OSError) as error:
            detail = f"no connection: {type(error).__name__}"
            reason = Reason.UPSTREAM_UNREACHABLE
            return failed_attempt(outgoing, Verdict.NOT_RUN, reason, detail)
        return send(connection, outgoing)

    def send(connection, outgoing):
        attempt, keeps_open = None, False
        remaining = max(outgoing.deadline - now(), MIN_TIMEOUT_SECONDS)
        timer = eventlet.Timeout(remaining)
        try:
            attempt, keeps_open = send_and_receive(connection, outgoing, remaining)
            return attempt
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            reason = Reason.UPSTREAM_TIMEOUT
            detail = "no whole answer before the deadline"
            idle.close_address(outgoing.address)
            return failed_attempt(outgoing, Verdict.MAY_HAVE_RUN, reason, detail)
        finally:
            timer.cancel()
            if attempt is None or attempt.answer is None:
                exchanges.abandon(connection)
            elif not keeps_open:
                exchanges.close(connection)

    def send_and_receive(connection, outgoing, seconds):
        """Return the attempt, and whether the connection stays open."""
        request = outgoing.request
        headers = request_headers(outgoing, seconds)
        try:
            exchanges.prepare_request(
                connection, request.method, request.target(), headers, request.body
            )
        except (HTTPException, ValueError) as error:
            detail = f"the request can't be sent: {type(error).__name__}"
            return (
                failed_attempt(outgoing, Verdict.NOT_RUN, Reason.BAD_REQUEST, detail),
                False,
            )
        if now() >= outgoing.send_by:
            return too_late_attempt(outgoing), False
        response = None
        try:
            exchanges.write_request(connection, request.body)
            while not exchanges.wait_for_answer(
                connection, CALLER_CHECK_INTERVAL_SECONDS
            ):
                if outgoing.idempotent and request.caller_gone():
                    return caller_left_attempt(outgoing), False
            response = read_matching_head(connection, outgoing)
            return read_answer(connection, outgoing, response)
        except EXCHANGE_ERRORS as error:
            detail = f"no whole answer: {type(error).__name__}"
            idle.close_address(outgoing.address)
            attempt = broken_attempt(outgoing, detail)
            closed_while_idle = outgoing.may_be_stale and response is None
            may_be_shed = checks.is_refusal(response)
            attempt = attempt._replace(
                broke_connection=not (closed_while_idle or may_be_shed),
                broke_idle_connection=closed_while_idle,
                may_be_shed=may_be_shed,
            )
            return attempt, False

    def read_matching_head(connection, outgoing):
        """Read the head of the answer, skipping complete answers to other requests."""
        response = exchanges.read_head(connection, outgoing.request.method)
        for _ in range(MAX_SKIPPED_ANSWERS):
            fields = response.fields
            echoed = dict(fields).get(dialect.request_id)
            is_mismatched = echoed not in (None, outgoing.request.request_id)
            if not (is_mismatched and dialect.skips_mismatched_answers):
                return response
            if exchanges.framing_fault(response) is not None:
                return response
            if not read_body(outgoing, response)[1]:
                return response
            report_dropped(outgoing, "skipped an answer to another request")
            connection.is_suspect = True
            response = exchanges.read_next_head(connection, outgoing.request.method)
        return response

    def read_body(outgoing, response):
        """Return what is buffered of a body, and whether it is the whole body."""
        if not is_counted(outgoing.request):
            return exchanges.read_body(response, bounds.max_buffered)
        holding = outgoing.request.holding
        body, complete = exchanges.read_body(
            response, bounds.max_buffered, lambda size: memory.reserve(holding, size)
        )
        if not complete and len(body) < bounds.max_buffered:
            memory.report_streamed(outgoing.request.request_id)
        return body, complete

    def stream_answer(connection, outgoing, response, body):
        """Return the buffered part of an answer, and an iterator of the rest."""
        if not is_counted(outgoing.request):
            return body, stream(connection, outgoing, response)
        source = response_streams.PartSource(
            lambda take_room: stream(connection, outgoing, response, take_room),
            lambda: exchanges.close(connection),
            body,
        )
        holding = outgoing.request.holding
        return b"", response_streams.read_ahead(source, memory, holding, now)

    def read_answer(connection, outgoing, response):
        fields = response.fields
        value_by_name = dict(fields)
        fault = exchanges.framing_fault(response, dialect.allows_unframed)
        fault = fault or checks.identity_fault(
            connection, outgoing, response, value_by_name
        )
        fault = fault or dialect.fault(response.status, value_by_name)
        if fault is not None:
            return broken_attempt(outgoing, fault), False
        if checks.makes_false_promise(outgoing, response.status, value_by_name):
            attempt = broken_attempt(
                outgoing, "the status promises that it did not run"
            )
            pause_seconds = checks.read_pause(outgoing, response.status, value_by_name)
            return (
                attempt._replace(broke_connection=False, pause_seconds=pause_seconds),
                False,
            )
        body, complete = read_body(outgoing, response)
        if refusals.is_in_doubt(connection, outgoing, response, value_by_name):
            if not complete:
                raise ValueError("the refusal is too long")
            own_response = refusals.find_own_response(connection, outgoing, response)
            if own_response is not None:
                connection.is_suspect = True
                report_dropped(outgoing, "skipped a copy of another refusal")
                return read_answer(connection, outgoing, own_response)
        if not complete:
            body, rest = stream_answer(connection, outgoing, response, body)
            return answered_attempt(outgoing, response.status, fields, body, rest), True
        attempt = answered_attempt(outgoing, response.status, fields, body, None)
        is_unnamed = dialect.request_id not in value_by_name
        if attempt.shed and is_unnamed and not dialect.decoy_headers:
            connection.may_repeat_refusal = True
        is_unsound = connection.may_repeat_refusal and not outgoing.idempotent
        if response.will_close or connection.is_suspect or is_unsound:
            return attempt, False
        connection.max_idle = answer_checks.read_max_idle(
            value_by_name, connection.max_idle
        )
        idle.keep(connection)
        return attempt, True

    def stream(connection, outgoing, response, take_room=lambda: exchanges.READ_BYTES):
        """Yield the rest of an answer; close the connection unless it is complete.

        ``take_room()`` waits for memory and returns the number of bytes to read. The
        time in which it waits for a slow caller does not count toward the deadline.
        """
        is_complete = False
        paused = 0.0
        try:
            while True:
                asked_at = now()
                size = take_room()
                paused += now() - asked_at
                remaining = outgoing.deadline + paused - now()
                if remaining <= 0:
                    raise TimeoutError("the answer did not end before the deadline")
                with eventlet.Timeout(remaining):
                    part = exchanges.read_rest(response, size)
                if not part:
                    break
                yield part
            is_complete = not (response.will_close or connection.is_suspect)
        except (*EXCHANGE_ERRORS, eventlet.Timeout) as error:
            report_dropped(outgoing, f"answer ended early: {type(error).__name__}")
            # One that takes too long may be held up by its caller.
            if not isinstance(error, (TimeoutError, eventlet.Timeout)):
                for function in broken_answer_listeners:
                    function(outgoing.upstream)
            raise OSError("the upstream's answer ended early") from error
        finally:
            if is_complete:
                idle.keep(connection)
            else:
                exchanges.close(connection)

    def answered_attempt(outgoing, status, fields, body, rest):
        value_by_name = dict(fields)
        shed = dialect.states_not_run(status, value_by_name)
        verdict = Verdict.NOT_RUN if shed else Verdict.RAN
        answer = Answer(status, drop_hop_by_hop(fields), body, rest)
        draining = dialect.states_drain(value_by_name)
        seconds = now() - outgoing.started_at
        return Attempt(
            verdict,
            answer,
            None,
            "",
            seconds,
            shed,
            draining,
            pause_seconds=checks.read_pause(outgoing, status, value_by_name),
        )

    def caller_left_attempt(outgoing):
        emit(events.CALLER_GONE, request_id=outgoing.request.request_id)
        return failed_attempt(
            outgoing, Verdict.MAY_HAVE_RUN, Reason.CALLER_GONE, CALLER_LEFT
        )

    def too_late_attempt(outgoing):
        reason = Reason.UPSTREAM_UNREACHABLE
        detail = "the time by which the request had to be written was over"
        attempt = failed_attempt(outgoing, Verdict.NOT_RUN, reason, detail)
        return attempt._replace(is_too_late=True)

    def broken_attempt(outgoing, detail):
        report_dropped(outgoing, detail)
        reason = Reason.UPSTREAM_BROKEN
        attempt = failed_attempt(outgoing, Verdict.MAY_HAVE_RUN, reason, detail)
        return attempt._replace(broke_connection=True)

    def report_dropped(outgoing, detail):
        emit(
            events.ANSWER_DROPPED,
            request_id=outgoing.request.request_id,
            upstream=outgoing.upstream,
            detail=detail,
        )

    def failed_attempt(outgoing, verdict, reason, detail):
        return Attempt(verdict, None, reason, detail, now() - outgoing.started_at)

    checks = answer_checks.create(kernel, dialect)
    refusals = refusal_checks.create(kernel, dialect, read_body)
    service = Forwarders(exchange, broken_answer_listeners.append)
    kernel.register(
        "forwarders", service, lambda: kernel.spawn(sweep_forever), idle.close_all
    )
    return service
