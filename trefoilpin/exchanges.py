"""One persistent connection to an upstream: writes a request and reads its answer.

Requests are written by urllib3's connection and answers read by ``strict_responses``.
This module checks whether an answer is complete and a connection can be reused.
"""

import http.client
import socket
import struct

import eventlet
import eventlet.hubs
from returns.result import Failure
from urllib3.connection import HTTPConnection

from trefoilpin.strict_reads import create_strict_recv_into
from trefoilpin.strict_responses import (
    SWITCHING_PROTOCOLS,
    create_parser,
    open_response,
    skip_informational,
)

__all__ = [
    "UpstreamConnection",
    "abandon",
    "close",
    "framing_fault",
    "has_excess_bytes",
    "is_closing",
    "is_reusable",
    "open_connection",
    "prepare_request",
    "read_body",
    "read_head",
    "read_next_head",
    "read_rest",
    "set_dead_peer_timeouts",
    "wait_for_answer",
    "write_request",
]

READ_BYTES = 65_536
# Linger for no time: a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# For which memory is reserved at a time while a body in chunks is read.
CHUNKED_PART_BYTES = 8_192
METHODS_WITHOUT_BODY = frozenset(("DELETE", "GET", "HEAD", "OPTIONS"))
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Enough for two retransmissions on a path of a few milliseconds, and less than a
# request's deadline.
USER_TIMEOUT_MS = 2000


class UpstreamConnection:
    """An open connection with its read buffer.

    Attributes
    ----------
    address : str
    http_connection : HTTPConnection
    sock : socket
    reader : io.BufferedReader
    echoes_request_id : bool
        True when the last answer on it carried the id of its request.
    idle_since : float
        Seconds of the kernel's clock.
    max_idle : float or None
        Idle timeout in seconds, derived from the one that the upstream announced.
    is_reused : bool
        True once it was taken for a further request.
    is_suspect : bool
        True once an answer to another request arrived on it.
    may_repeat_refusal : bool
        True once a refusal that names no request arrived on it. A copy of it could be
        taken for the answer to a later request.
    """

    def __init__(self, address, http_connection):
        self.address = address
        self.http_connection = http_connection
        self.sock = http_connection.sock
        self.sock.recv_into = create_strict_recv_into(self.sock)
        self.reader = http_connection.sock.makefile("rb")
        self.echoes_request_id = False
        self.idle_since = 0.0
        self.max_idle = None
        self.is_reused = False
        self.is_suspect = False
        self.may_repeat_refusal = False


def set_dead_peer_timeouts(sock):
    """Have the operating system end a connection whose peer no longer acknowledges."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def open_connection(address, timeout):
    """Open a connection to ``ip:port`` within ``timeout`` seconds.

    Raises
    ------
    OSError, urllib3.exceptions.HTTPError
        When no connection was made.
    """
    host, _, port = address.rpartition(":")
    http_connection = HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
    http_connection.connect()
    # The library would send a request over a second connection once it has closed this.
    http_connection.auto_open = 0
    http_connection.sock.settimeout(None)
    set_dead_peer_timeouts(http_connection.sock)
    connection = UpstreamConnection(address, http_connection)

    def create_response(sock, method=None):
        return create_parser(connection.reader, method)

    http_connection.response_class = create_response
    return connection


def abandon(connection):
    """Reset a connection, so that what was not delivered yet is dropped.

    After a close the system goes on sending it, and an upstream that was cut off would
    run the request seconds after its caller was told that it failed.
    """
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    close(connection)


def close(connection):
    """Close a connection; what was written is still delivered."""
    connection.http_connection.close()
    connection.reader.close()
    connection.sock.close()


def is_reusable(connection):
    """Tell whether an idle connection is open and has no unread input."""
    try:
        connection.sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_excess_bytes(connection):
    """Tell whether more bytes than the last answer were received."""
    connection.sock.settimeout(0)
    try:
        return bool(connection.reader.peek(1))
    except OSError:
        return True
    finally:
        connection.sock.settimeout(None)


def is_closing(connection):
    """Tell whether an answer said that it closes the connection, even a 1xx one."""
    return connection.http_connection.sock is None


def prepare_request(connection, method, target, headers, body):
    """Encode the request line and the headers; nothing is written yet.

    Raises
    ------
    ValueError, http.client.HTTPException
        When the request can't be encoded.
    """
    http_connection = connection.http_connection
    http_connection.putrequest(
        method, target, skip_host=True, skip_accept_encoding=True
    )
    for name, value in headers:
        http_connection.putheader(name, value)
    if body or method not in METHODS_WITHOUT_BODY:
        http_connection.putheader("content-length", str(len(body)))


def write_request(connection, body):
    """Write the prepared request and its body.

    Raises
    ------
    OSError
        When the connection broke.
    """
    # The green socket copies what is left of bytes after each partial write.
    connection.http_connection.endheaders(memoryview(body) if body else None)


def wait_for_answer(connection, seconds):
    """Wait until there is input; return False after ``seconds`` without."""
    try:
        eventlet.hubs.trampoline(
            connection.sock.fd, read=True, timeout=seconds, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return False
    return True


def read_head(connection, method):
    """Read status and headers of the final answer, skipping 1xx answers.

    Parameters
    ----------
    connection : UpstreamConnection
    method : str
        Of the request.

    Returns
    -------
    Response

    Raises
    ------
    OSError, http.client.HTTPException
        When the connection broke, or the answer is malformed or ends in its head.
    """
    parser = http.client.HTTPConnection.getresponse(connection.http_connection)
    skip_informational(parser)
    # The next request may be prepared: whether the body was read is known elsewhere.
    parser.close()
    return open_response(connection.reader, method, parser)


def read_next_head(connection, method):
    """Read the head of another answer, after one that was skipped.

    Raises
    ------
    OSError, http.client.HTTPException
        When the connection broke, or the answer is malformed or ends in its head.
    """
    parser = create_parser(connection.reader, method)
    parser.begin()
    skip_informational(parser)
    return open_response(connection.reader, method, parser)


def framing_fault(response, allows_unframed=False):
    """Return why the length of an answer is ambiguous or unknown, or None.

    Parameters
    ----------
    response : Response
    allows_unframed : bool
        True when an answer may be delimited by the end of its connection.
    """
    if response.status == SWITCHING_PROTOCOLS:
        return "the upstream switched protocols"
    if isinstance(response.framing, Failure):
        return response.framing.failure()
    framing = response.framing.unwrap()
    if framing.length is None and not framing.is_chunked and not allows_unframed:
        return "there is neither a length nor a final chunk"
    return None


def read_body(response, max_buffered, reserve=lambda size: True):
    """Read a body up to a size, as far as there is memory for it.

    Parameters
    ----------
    response : Response
    max_buffered : int
        Bytes.
    reserve : callable, optional
        ``reserve(size)`` is called before bytes are read and returns False when there
        is no memory for them.

    Returns
    -------
    tuple of bytes and bool
        What was read, and whether it is the whole body.

    Raises
    ------
    OSError, http.client.HTTPException
        When the body ends before its length or final chunk, or is malformed.
    """
    framing = response.framing.unwrap()
    if framing.length is not None:
        size = min(framing.length, max_buffered)
        if not reserve(size):
            return b"", False
        return bytes(response.body.read(size)), response.body.is_complete()
    part_bytes = CHUNKED_PART_BYTES if framing.is_chunked else READ_BYTES
    body = bytearray()
    while len(body) <= max_buffered and not response.body.is_complete():
        size = min(part_bytes, max_buffered + 1 - len(body))
        if not reserve(size):
            break
        body += response.body.read(size)
    return bytes(body), response.body.is_complete()


def read_rest(response, size=READ_BYTES):
    """Read up to ``size`` bytes of a body that was not buffered, none at its end.

    Raises
    ------
    OSError, http.client.HTTPException
        When the body ends before its length or final chunk, or is malformed.
    """
    return bytes(response.body.read(size))
