"""Listening sockets and their connections, served by eventlet's WSGI server.

Adds to the server: requests that it can't parse are answered as JSON and reported, and
connections can be closed while idle or after their next answer.
"""

import json
import logging
import socket
from http.client import responses

import eventlet
import eventlet.event
import eventlet.wsgi

from trefoilpin import codecs
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "CONNECTION",
    "ConnectionState",
    "Listener",
    "close",
    "close_if_idle",
    "end_after_answer",
    "is_gone",
    "listen",
    "serve",
]

logger = logging.getLogger(__name__)

CONNECTION = "trefoilpin.connection"
LISTEN_BACKLOG = 1024
LINGER_SECONDS = 1.0
LINGER_BYTES = 262_144
READ_BYTES = 65_536


class ConnectionState:
    """State of one accepted connection.

    Attributes
    ----------
    share : float
        Fraction of a drain, from 0 to 1, after which the connection is closed.
    idle_since : float
        Seconds of the clock; when the last answer was written.
    request_at : float
        Seconds of the clock; when the first line of the current request arrived.
    lingers : bool
        True when unread input is discarded before the connection is closed.
    is_closing : bool
        True once no further request is served on it.
    """

    def __init__(self, server_state, share, now):
        self.server_state = server_state
        self.sock = server_state[1]
        self.peer = server_state[0][0]
        self.share = share
        self.idle_since = now
        self.request_at = now
        self.protocol = None
        self.lingers = False
        self.is_closing = False

    def is_idle(self):
        """Tell whether no request is in progress and none has begun to arrive."""
        if self.server_state[2] != eventlet.wsgi.STATE_IDLE:
            return False
        return not has_data(self.sock)


class Listener:
    """A listening socket with the connections accepted on it."""

    def __init__(self, sock):
        self.sock = sock
        self.task = None
        self.closed = eventlet.event.Event()
        self.connections: set[ConnectionState] = set()


def has_data(sock):
    """Tell whether a socket has unread input."""
    try:
        return bool(sock.fd.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def is_gone(sock):
    """Tell whether the caller closed its connection."""
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def end_after_answer(connection):
    """Close a connection after the current answer, which announces it."""
    connection.protocol.close_connection = 1


def linger(connection):
    """Close the writing side and discard input, so that the caller can read the answer.

    Closing a socket with unread input resets the connection, and the caller may lose
    the answer.
    """
    connection.protocol.wfile.flush()
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


def listen(address):
    """Bind and listen to an address; return a ``Listener``.

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
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bind = (host.strip("[]"), int(port))
    sock = eventlet.listen(bind, family, LISTEN_BACKLOG, reuse_port=False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Listener(sock)


def error_bytes(code, detail):
    """Return the answer to a request that the server can't parse."""
    reason = Reason.HEADERS_TOO_LARGE if code == 431 else Reason.BAD_REQUEST
    return refusal_bytes(code, Refusal(reason, Verdict.NOT_RUN, detail))


def refusal_bytes(code, refusal):
    """Return a refusal as a complete answer that closes its connection."""
    body = json.dumps(codecs.encode_refusal(refusal, "")).encode() + b"\n"
    lines = (
        f"HTTP/1.1 {code} {responses.get(code, 'Unknown')}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def serve_connection(connection, server, now, report):
    """Serve one connection until it ends."""
    protocol = eventlet.wsgi.HttpProtocol.__new__(eventlet.wsgi.HttpProtocol)
    connection.protocol = protocol
    handle_one_request = protocol.handle_one_request
    get_environ = protocol.get_environ
    read_request_line = protocol._read_request_line

    def send_error(code, message=None, explain=None):
        protocol.close_connection = 1
        protocol.wfile.write(error_bytes(code, message or "the request is malformed"))

    def get_environ_with_connection():
        environ = get_environ()
        environ[CONNECTION] = connection
        return environ

    def read_request_line_unless_closing():
        line = read_request_line()
        connection.request_at = now()
        if not connection.is_closing:
            return line
        # The refusal was already sent as the answer to a request that arrives while the
        # connection is being closed, so this request must not run.
        discard(connection)
        return b""

    def handle_and_report_malformed():
        protocol.environ = None
        handle_one_request()
        connection.idle_since = now()
        if not protocol.raw_requestline:
            return
        if protocol.environ is None:
            connection.lingers = True
            report(connection.peer, "the request line or the headers are malformed")
        if connection.lingers:
            linger(connection)

    protocol.send_error = send_error
    protocol._read_request_line = read_request_line_unless_closing
    protocol.get_environ = get_environ_with_connection
    protocol.handle_one_request = handle_and_report_malformed
    try:
        protocol.__init__(connection.server_state, server)
    finally:
        vars(protocol).clear()


def serve(listener, application, limits, clock, rng, report):
    """Serve an application until the listener is closed.

    Parameters
    ----------
    listener : Listener
    application : callable
    limits : tuple of int and float
        Maximum number of connections, and socket timeout in seconds.
    clock : Clock
    rng : random.Random
        Draws ``share`` of each connection.
    report : callable
        ``report(peer, detail)`` is called for each request that can't be parsed.
    """
    max_connections, idle_seconds = limits

    def run_connection(server_state, server):
        connection = ConnectionState(server_state, rng.random(), clock.now())
        listener.connections.add(connection)
        try:
            serve_connection(connection, server, clock.now, report)
        except OSError as error:
            logger.debug("connection of %s ended: %s", connection.peer, error)
        finally:
            listener.connections.discard(connection)

    listener.task = eventlet.getcurrent()
    try:
        eventlet.wsgi.server(
            listener.sock,
            application,
            log=logger,
            log_output=False,
            max_size=max_connections,
            socket_timeout=idle_seconds,
            protocol=run_connection,
            debug=False,
        )
    finally:
        listener.closed.send()


def close_if_idle(connection, refusal=None):
    """Close a connection if it is idle; return False if it is not.

    Parameters
    ----------
    connection : ConnectionState
    refusal : Refusal, optional
        Sent as the answer (RFC 9110, 15.5.9, Request Timeout) to a request that arrives
        while the connection is being closed, so that its caller knows that it has not
        run.
    """
    if not connection.is_idle():
        return False
    connection.server_state[2] = eventlet.wsgi.STATE_CLOSE
    if refusal is None:
        connection.sock.shutdown(socket.SHUT_RDWR)
        return True
    connection.is_closing = True
    try:
        connection.sock.fd.send(refusal_bytes(refusal.reason.value.status, refusal))
        connection.sock.shutdown(socket.SHUT_WR)
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)
    eventlet.spawn_after(LINGER_SECONDS, stop_reading, connection)
    return True


def stop_reading(connection):
    """Shut down a connection that is being closed, which ends its task."""
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)


def close(listener, refusal=None):
    """Stop accepting and return when all requests in progress were answered.

    Parameters
    ----------
    listener : Listener
    refusal : Refusal, optional
        Closes idle connections too; see ``close_if_idle``.
    """
    if listener.task is None or listener.closed.ready():
        listener.sock.close()
        return
    if refusal is not None:
        for connection in list(listener.connections):
            close_if_idle(connection, refusal)
    listener.task.kill()
    listener.sock.close()
    listener.closed.wait()
