"""One connection of a caller: requests are read ahead and answered in their order.

The connection's task answers the requests. A reader task parses those that the caller
sends ahead (pipelining; RFC 9112, section 9.3.2). What runs ahead is decided by the
front end; answers always go out in the order of the requests.
"""

import io
import logging
import socket
from collections import deque
from typing import Any, Callable, NamedTuple

import eventlet
import eventlet.event
import eventlet.patcher
import eventlet.queue
import eventlet.semaphore
import eventlet.wsgi

from trefoilpin.request_inputs import replace_reads

__all__ = [
    "ARRIVED_AT",
    "CONNECTION",
    "IN_TURN",
    "LINGER_SECONDS",
    "ON_END",
    "PROTOCOL",
    "READ_ON",
    "ConnectionHooks",
    "ConnectionState",
    "Preparation",
    "end_after_answer",
    "is_gone",
    "serve_connection",
]

logger = logging.getLogger(__name__)

# Keys of the WSGI environment.
CONNECTION = "trefoilpin.connection"
PROTOCOL = "trefoilpin.protocol"
ARRIVED_AT = "trefoilpin.arrived_at"
# Called without arguments when a request was answered or is given up.
ON_END = "trefoilpin.on_end"
# Requests of one connection that were read and are not answered yet.
MAX_PENDING_REQUESTS = 8
LINGER_SECONDS = 1.0
# A whole body of a request that was refused, on a link that is fast enough.
LINGER_BYTES = 67_108_864
READ_BYTES = 65_536

select = eventlet.patcher.original("select")


class Preparation(NamedTuple):
    """What the front end decided on a request that was read.

    Attributes
    ----------
    task : object or None
        Task that runs the request while earlier ones are at work; None when it runs in
        its turn.
    reads_on : bool
        True when the next request may be read before this one is answered.
    """

    task: Any
    reads_on: bool


IN_TURN = Preparation(None, False)
READ_ON = Preparation(None, True)


class ConnectionHooks(NamedTuple):
    """Functions that a connection calls.

    Attributes
    ----------
    now : callable
        Seconds of the kernel's clock.
    report : callable
        ``report(peer, detail)`` is called for each request that can't be parsed.
    encode_error : callable
        ``encode_error(status, detail)`` returns the answer to such a request.
    prepare : callable or None
        ``prepare(environ, is_behind)`` returns a ``Preparation``; ``is_behind`` is True
        while an earlier request is not answered. None when every request is served in
        its turn.
    """

    now: Callable[[], float]
    report: Callable[[str, str], None]
    encode_error: Callable[[int, str], bytes]
    prepare: Callable[[dict, bool], Preparation] | None


class PendingRequest:
    """A request that was read and is not answered yet.

    Attributes
    ----------
    protocol : HttpProtocol
        The parsed request; its ``environ`` is None when it is malformed.
    error : bytes
        Answer to a malformed request.
    answered : Event
        Sent once the answer was written.
    """

    def __init__(self, protocol):
        self.protocol = protocol
        self.error = b""
        self.preparation = IN_TURN
        self.answered = eventlet.event.Event()

    def is_last(self):
        """Tell whether nothing that follows on the connection is read."""
        return self.protocol.environ is None or self.protocol.close_connection


class ConnectionState:
    """State of one accepted connection.

    Attributes
    ----------
    share : float
        Fraction of a drain, from 0 to 1, after which the connection is closed.
    idle_since : float
        Seconds of the clock; when the last answer was written.
    request_at : float
        Seconds of the clock; when the first line of the last request arrived.
    protocol : HttpProtocol or None
        The request that is being answered.
    writer : io.BufferedWriter or None
        Writes to the caller; set when the connection is served.
    pending : deque of PendingRequest
        In the order of their arrival.
    received : LightQueue
        Requests for the task that answers them; None at the end of the input.
    slots : Semaphore
        Bounds the pending requests.
    is_receiving : bool
        True while a request has arrived in part.
    lingers : bool
        True when unread input is discarded before the connection is closed.
    is_closing : bool
        True once the connection is being closed and nothing on it is served.
    ends : bool
        True when the connection closes after the answers to the requests that run.
    """

    def __init__(self, server_state, share, now):
        self.server_state = server_state
        self.sock = server_state[1]
        self.peer = server_state[0][0]
        self.share = share
        self.idle_since = now
        self.request_at = now
        self.protocol = None
        self.writer = None
        self.pending: deque[PendingRequest] = deque()
        self.received = eventlet.queue.LightQueue()
        self.slots = eventlet.semaphore.Semaphore(MAX_PENDING_REQUESTS)
        self.is_receiving = False
        self.lingers = False
        self.is_closing = False
        self.ends = False

    def is_idle(self):
        """Tell whether no request is in progress and none has begun to arrive."""
        if self.is_closing or self.pending or self.is_receiving:
            return False
        return not has_data(self.sock)

    def runs_ahead(self):
        """Tell whether a request behind the first one has been started."""
        return any(
            request.preparation.task is not None for request in list(self.pending)[1:]
        )


def has_data(sock):
    """Tell whether a socket has unread input."""
    try:
        return bool(sock.fd.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def is_gone(sock):
    """Tell whether the caller closed its connection."""
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK) or is_end_pending(sock)
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_end_pending(sock):
    """Tell whether the end of the input follows bytes that were not read yet."""
    poll = select.poll()
    poll.register(sock.fd, select.POLLRDHUP)
    return bool(poll.poll(0))


def end_after_answer(connection):
    """Close a connection once what runs on it is answered; the last answer says so."""
    connection.ends = True
    if not connection.runs_ahead():
        connection.protocol.close_connection = 1


def linger(connection):
    """Close the writing side and discard input, so that the caller can read the answer.

    Closing a socket with unread input resets the connection, and the caller may lose
    the answer.
    """
    connection.writer.flush()
    connection.sock.shutdown(socket.SHUT_WR)
    discard(connection)


def discard(connection):
    """Read and drop input, up to ``LINGER_SECONDS`` and ``LINGER_BYTES``."""
    received = 0
    with eventlet.Timeout(LINGER_SECONDS, False):
        while received < LINGER_BYTES:
            part = connection.sock.recv(READ_BYTES)
            if not part:
                return
            received += len(part)
            # A socket that always has input would keep the timeout from firing.
            eventlet.sleep(0)


def serve_connection(connection, server, hooks):
    """Serve one connection until it ends.

    Parameters
    ----------
    connection : ConnectionState
    server : eventlet.wsgi.Server
    hooks : ConnectionHooks
    """
    protocol = eventlet.wsgi.HttpProtocol.__new__(eventlet.wsgi.HttpProtocol)
    protocol.handle = lambda: serve_requests(connection, protocol, hooks)
    try:
        protocol.__init__(connection.server_state, server)
    finally:
        vars(protocol).clear()


def serve_requests(connection, protocol, hooks):
    """Answer requests in the order in which the reader task reads them."""
    connection.writer = protocol.wfile
    reader = eventlet.spawn(read_requests, connection, protocol, hooks)
    try:
        while True:
            request = connection.received.get()
            if request is None:
                return
            is_open = answer_request(connection, request, hooks)
            if not is_open and connection.lingers:
                reader.kill()
                linger(connection)
            vars(request.protocol).clear()
            if not is_open:
                return
    finally:
        reader.kill()
        for request in connection.pending:
            if request.preparation.task is not None:
                request.preparation.task.kill()
            end_request(request)


def read_requests(connection, protocol, hooks):
    """Read requests until the input ends or a request is the last one."""
    try:
        while True:
            connection.slots.acquire()
            request = read_request(connection, protocol, hooks)
            is_behind = bool(connection.pending)
            if request is None or (is_behind and connection.ends):
                # What follows an answer that closes the connection was not read.
                return
            connection.pending.append(request)
            connection.is_receiving = False
            if hooks.prepare is not None and not request.is_last():
                environ = request.protocol.environ
                request.preparation = hooks.prepare(environ, is_behind)
            connection.received.put(request)
            if request.is_last():
                return
            if not request.preparation.reads_on:
                request.answered.wait()
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)
    finally:
        connection.is_receiving = False
        connection.received.put(None)


def read_request(connection, protocol, hooks):
    """Return the next request of a connection, or None at the end of its input."""
    parsed = eventlet.wsgi.HttpProtocol.__new__(eventlet.wsgi.HttpProtocol)
    vars(parsed).update(vars(protocol))
    errors = parsed.wfile = io.BytesIO()
    parsed.environ = None
    get_environ = parsed.get_environ

    def read_request_line():
        if not parsed.rfile.peek(1):
            return b""
        connection.is_receiving = True
        line = parsed.rfile.readline(parsed.server.url_length_limit)
        connection.request_at = hooks.now()
        if not connection.is_closing:
            return line
        # A request that arrives while the connection is being closed must not run: its
        # caller was already sent a refusal, or finds the connection closed.
        discard(connection)
        return b""

    def send_error(code, message=None, explain=None):
        parsed.close_connection = 1
        errors.write(hooks.encode_error(code, message or "the request is malformed"))

    def get_environ_with_connection():
        parsed.wfile = connection.writer
        # The parser reduces several slashes at the start of a path to one.
        parsed.path = parsed.requestline.split()[1]
        environ = get_environ()
        replace_reads(environ, parsed)
        environ[CONNECTION] = connection
        environ[PROTOCOL] = parsed
        environ[ARRIVED_AT] = connection.request_at
        return environ

    parsed._read_request_line = read_request_line
    parsed.send_error = send_error
    parsed.get_environ = get_environ_with_connection
    # The answer is written when all earlier ones were.
    parsed.handle_one_response = lambda: None
    parsed.handle_one_request()
    if not parsed.raw_requestline:
        return None
    del parsed.handle_one_response
    request = PendingRequest(parsed)
    request.error = errors.getvalue()
    return request


def end_request(request):
    """Call what the front end wants to be told of at the end of a request."""
    environ = getattr(request.protocol, "environ", None) or {}
    on_end = environ.get(ON_END)
    if on_end is not None:
        on_end()


def answer_request(connection, request, hooks):
    """Write the answer to a request; return True when the connection stays open."""
    protocol = connection.protocol = request.protocol
    if protocol.environ is None:
        refuse_unparsed(connection, request, hooks)
    else:
        if connection.ends and not connection.runs_ahead():
            protocol.close_connection = 1
        try:
            protocol.handle_one_response()
        except OSError as error:
            logger.debug("connection of %s ended: %s", connection.peer, error)
            protocol.close_connection = 1
    end_request(request)
    connection.idle_since = hooks.now()
    connection.pending.popleft()
    connection.slots.release()
    request.answered.send()
    if protocol.close_connection:
        return False
    if not connection.pending and not connection.is_receiving:
        connection.server_state[2] = eventlet.wsgi.STATE_IDLE
    return True


def refuse_unparsed(connection, request, hooks):
    """Answer a request that can't be parsed, in its turn."""
    request.protocol.close_connection = 1
    connection.writer.write(request.error)
    connection.lingers = True
    hooks.report(connection.peer, "the request line or the headers are malformed")
