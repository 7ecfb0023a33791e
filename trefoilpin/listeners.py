"""Listening sockets, served by eventlet's WSGI server.

Adds to the server: requests that it can't parse are answered as JSON and reported, and
connections can be closed while idle or after their next answer. A listener that is at
its limit, or has no descriptor left, makes room for new callers by closing the
connections that have been idle for longest.
"""

import errno
import heapq
import json
import logging
import socket
from http.client import responses

import eventlet
import eventlet.event
import eventlet.wsgi

from trefoilpin import codecs
from trefoilpin.connections import (
    ARRIVED_AT,
    CONNECTION,
    IN_TURN,
    LINGER_SECONDS,
    ON_END,
    PROTOCOL,
    READ_ON,
    ConnectionHooks,
    ConnectionState,
    Preparation,
    end_after_answer,
    is_gone,
    serve_connection,
)
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "ARRIVED_AT",
    "CONNECTION",
    "IN_TURN",
    "ON_END",
    "PROTOCOL",
    "READ_ON",
    "ConnectionState",
    "Listener",
    "Preparation",
    "close",
    "close_if_idle",
    "end_after_answer",
    "is_gone",
    "listen",
    "serve",
    "stop_reading",
]

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
# The process or the system has no descriptor or no memory left for a connection.
EXHAUSTED_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
ACCEPT_RETRY_SECONDS = 0.1
# Idle connections that are closed at once to make room.
CLOSED_FOR_ROOM = 32


class Listener:
    """A listening socket with the connections accepted on it.

    Attributes
    ----------
    connections : dict of int to ConnectionState
        By the identity of eventlet's record of the connection.
    report_full : callable or None
        ``report_full(closed, detail)`` is called when idle connections were closed to
        make room.
    """

    def __init__(self, sock):
        self.sock = sock
        self.report_full = None
        self.task = None
        self.closed = eventlet.event.Event()
        self.connections: dict[int, ConnectionState] = {}


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


class ConnectionPool:
    """The pool in which eventlet's server runs the connections that it accepts.

    A connection is registered when it is accepted, before its task runs, so that a
    listener that closes knows every caller that may have sent a request.
    """

    def __init__(self, listener, max_connections, create_connection):
        self.listener = listener
        self.tasks = eventlet.GreenPool(max_connections)
        self.create_connection = create_connection
        self.waitall = self.tasks.waitall

    def spawn(self, process, server_state):
        """Start the task of an accepted connection."""
        if self.tasks.free() <= 0:
            make_room(self.listener, "the limit of connections is reached")
        connection = self.create_connection(server_state)
        self.listener.connections[id(server_state)] = connection
        is_started = False
        try:
            task = self.tasks.spawn(process, server_state)
            is_started = True
            return task
        finally:
            if not is_started:
                del self.listener.connections[id(server_state)]
                connection.sock.close()


def serve(listener, application, limits, clock, rng, report, prepare=None):
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
    prepare : callable, optional
        See ``ConnectionHooks``.
    """
    max_connections, idle_seconds = limits
    hooks = ConnectionHooks(clock.now, report, error_bytes, prepare)

    def create_connection(server_state):
        return ConnectionState(server_state, rng.random(), clock.now())

    def run_connection(server_state, server):
        connection = listener.connections[id(server_state)]
        try:
            serve_connection(connection, server, hooks)
        except OSError as error:
            logger.debug("connection of %s ended: %s", connection.peer, error)
        finally:
            del listener.connections[id(server_state)]

    listener.task = eventlet.getcurrent()
    listener.sock.accept = create_patient_accept(listener)
    try:
        eventlet.wsgi.server(
            listener.sock,
            application,
            log=logger,
            log_output=False,
            custom_pool=ConnectionPool(listener, max_connections, create_connection),
            socket_timeout=idle_seconds,
            protocol=run_connection,
            debug=False,
        )
    finally:
        listener.closed.send()


def create_patient_accept(listener):
    """Return an ``accept`` for a listener that waits while no descriptor is left.

    Eventlet's server would close the listening socket, for good.
    """
    accept = listener.sock.accept
    is_exhausted = False

    def accept_patiently():
        nonlocal is_exhausted
        while True:
            try:
                accepted = accept()
            except OSError as error:
                if error.errno not in EXHAUSTED_ERRNOS:
                    raise
                if not is_exhausted:
                    logger.warning("no connection can be accepted: %s", error)
                is_exhausted = True
                make_room(listener, str(error))
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if is_exhausted:
                logger.warning("connections are accepted again")
            is_exhausted = False
            return accepted

    return accept_patiently


def make_room(listener, detail):
    """Close the connections of a listener that have been idle for longest."""
    candidates = []
    for connection in listener.connections.values():
        if not (connection.pending or connection.is_receiving):
            candidates.append(connection)
    longest_idle = heapq.nsmallest(
        CLOSED_FOR_ROOM, candidates, key=lambda connection: connection.idle_since
    )
    closed = 0
    for connection in longest_idle:
        closed += close_if_idle(connection)
    if listener.report_full is not None:
        listener.report_full(closed, detail)


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
    connection.is_closing = True
    if refusal is None:
        stop_reading(connection)
        return True
    try:
        connection.sock.fd.send(refusal_bytes(refusal.reason.value.status, refusal))
        connection.sock.shutdown(socket.SHUT_WR)
    except OSError as error:
        logger.debug("connection of %s ended: %s", connection.peer, error)
    eventlet.spawn_after(LINGER_SECONDS, stop_reading, connection)
    return True


def stop_reading(connection):
    """Shut down a connection, which ends its task."""
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
        Sent on idle connections; see ``close_if_idle``.
    """
    if listener.task is None or listener.closed.ready():
        listener.sock.close()
        return
    for connection in list(listener.connections.values()):
        if not close_if_idle(connection, refusal):
            connection.ends = True
        # Eventlet's server would shut down a connection that it takes for idle though a
        # request waits in its socket; which ones are idle is decided here alone.
        connection.server_state[2] = eventlet.wsgi.STATE_REQUEST
    listener.task.kill()
    listener.sock.close()
    listener.closed.wait()
