"""Connections of callers and operators, served by eventlet's WSGI server.

A request that the server itself can't read is answered and reported too, and a
connection can be ended after its next answer.
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
    "end_after_answer",
    "is_gone",
    "listen",
    "retire",
    "serve",
]

logger = logging.getLogger(__name__)

CONNECTION = "trefoilpin.connection"
LISTEN_BACKLOG = 1024
LINGER_SECONDS = 1.0
LINGER_BYTES = 262_144
READ_BYTES = 65_536


class ConnectionState:
    """A connection that is being served.

    Attributes
    ----------
    share : float
        From 0 to 1: when in a drain the connection ends.
    idle_since : float
        Seconds of the clock; when the last answer was written.
    request_at : float
        Seconds of the clock; when the request under way began to come.
    is_retired : bool
        True once the caller was told that nothing further is read here.
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
        self.is_retired = False

    def is_idle(self):
        """Tell whether no request is under way or on its way in."""
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
    """Tell whether bytes wait to be read from a caller's socket."""
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
    """Have the answer under way say that the connection closes."""
    connection.protocol.close_connection = 1


def linger(connection):
    """Let the caller read the answer before unread input resets the connection."""
    connection.protocol.wfile.flush()
    connection.sock.shutdown(socket.SHUT_WR)
    discard(connection)


def discard(connection):
    """Read and drop what a caller still sends, for a while."""
    received = 0
    with eventlet.Timeout(LINGER_SECONDS, False):
        while received < LINGER_BYTES:
            part = connection.sock.recv(READ_BYTES)
            if not part:
                return
            received += len(part)


def listen(address):
    """Return a listener.

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
    """Return the answer to a request that the server can't read."""
    reason = Reason.HEADERS_TOO_LARGE if code == 431 else Reason.BAD_REQUEST
    return refusal_bytes(code, Refusal(reason, Verdict.NOT_RUN, detail))


def refusal_bytes(code, refusal):
    """Return a refusal as a whole answer that ends its connection."""
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

    def read_unless_retired():
        line = read_request_line()
        connection.request_at = now()
        if not connection.is_retired:
            return line
        # What crossed the close was answered already: it must not run.
        discard(connection)
        return b""

    def handle_and_report():
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
    protocol._read_request_line = read_unless_retired
    protocol.get_environ = get_environ_with_connection
    protocol.handle_one_request = handle_and_report
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
        Connections at the same time, and seconds without a byte that end one.
    clock : Clock
    rng : random.Random
        Draws each connection's place in a drain.
    record_break : callable
        ``report(peer, detail)`` is told of each request that can't be read.
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


def retire(connection, farewell=None):
    """End a connection on which no request is under way; return False otherwise.

    Parameters
    ----------
    connection : ConnectionState
    farewell : Refusal, optional
        Told as the answer (RFC 9110, 15.5.9) to a request that crosses the close, so
        that its caller knows that it has not run.
    """
    if not connection.is_idle():
        return False
    connection.server_state[2] = eventlet.wsgi.STATE_CLOSE
    if farewell is None:
        connection.sock.shutdown(socket.SHUT_RDWR)
        return True
    connection.is_retired = True
    try:
        connection.sock.fd.send(refusal_bytes(farewell.reason.value.status, farewell))
        connection.sock.shutdown(socket.SHUT_WR)
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)
    eventlet.spawn_after(LINGER_SECONDS, stop_reading, connection)
    return True


def stop_reading(connection):
    """Have the task of a retired connection come to its end."""
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)


def close(listener, farewell=None):
    """Stop accepting and return once every request under way was answered.

    Parameters
    ----------
    listener : Listener
    farewell : Refusal, optional
        For requests that cross the close of an idle connection; see ``retire``.
    """
    if listener.task is None or listener.closed.ready():
        listener.sock.close()
        return
    if farewell is not None:
        for connection in list(listener.connections):
            retire(connection, farewell)
    listener.task.kill()
    listener.sock.close()
    listener.closed.wait()
