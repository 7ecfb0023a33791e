"""One persistent connection to an upstream: writes a request and reads its answer.

Bytes are handled by urllib3's connection and the standard library's response class.
This module checks whether an answer is complete and a connection can be reused.
"""

import http.client
import socket
import struct
from typing import Any, Callable, NamedTuple

import eventlet
import eventlet.hubs
from urllib3.connection import HTTPConnection

from trefoilpin.strict_reads import create_strict_readline, create_strict_recv_into

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
    "read_fields",
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
# Chunks that are joined at a time.
JOINED_BYTES = 8_192
# Status line and headers of an answer, with those of the 1xx answers before it.
MAX_HEAD_BYTES = 65_536
METHODS_WITHOUT_BODY = frozenset(("DELETE", "GET", "HEAD", "OPTIONS"))
INFORMATIONAL = range(100, 200)
SWITCHING_PROTOCOLS = 101
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Enough for two retransmissions on a path of a few milliseconds, and less than a
# request's deadline.
USER_TIMEOUT_MS = 2000


class ResponseFile(NamedTuple):
    """File that the response class reads; closing it keeps the connection open."""

    read: Callable
    readinto: Callable
    readline: Callable
    flush: Callable
    close: Callable


class ResponseSocket(NamedTuple):
    """Stand-in for the socket that the response class expects."""

    makefile: Callable


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
    head_bytes_left : int or None
        How much longer the head that is being read may be; None outside of a head.
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
        self.head_bytes_left = None


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
    reader = connection.reader
    file = ResponseFile(
        reader.read,
        reader.readinto,
        create_strict_readline(connection),
        lambda: None,
        lambda: None,
    )
    source = ResponseSocket(lambda mode: file)

    def create_response(sock, method=None) -> Any:
        return http.client.HTTPResponse(source, method=method)

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


def read_head(connection):
    """Read status and headers of the final answer, skipping 1xx answers.

    Returns
    -------
    http.client.HTTPResponse

    Raises
    ------
    OSError, http.client.HTTPException
        When the connection broke, or the answer is malformed or ends in its head.
    """
    connection.head_bytes_left = MAX_HEAD_BYTES
    response = http.client.HTTPConnection.getresponse(connection.http_connection)
    return skip_informational(connection, response)


def skip_informational(connection, response):
    """Return the final answer of a response that has read its first head."""
    while response.status in INFORMATIONAL and response.status != SWITCHING_PROTOCOLS:
        response.headers = None
        response.begin()
    connection.head_bytes_left = None
    return response


def read_next_head(connection, method):
    """Read the head of another answer, after one that was skipped.

    Raises
    ------
    OSError, http.client.HTTPException
        When the connection broke, or the answer is malformed or ends in its head.
    """
    connection.head_bytes_left = MAX_HEAD_BYTES
    response = connection.http_connection.response_class(connection.sock, method=method)
    response.begin()
    return skip_informational(connection, response)


def read_fields(response):
    """Return the headers of an answer in order, names in lower case."""
    return [(name.lower(), value) for name, value in response.headers.raw_items()]


def framing_fault(response, fields, allows_unframed=False):
    """Return why the length of an answer is ambiguous or unknown, or None.

    Parameters
    ----------
    response : http.client.HTTPResponse
    fields : sequence of (str, str)
        Its headers, names in lower case.
    allows_unframed : bool
        True when an answer may be delimited by the end of its connection.
    """
    if response.status == SWITCHING_PROTOCOLS:
        return "the upstream switched protocols"
    if response.headers.defects:
        return "the headers are malformed"
    lengths = {value for name, value in fields if name == "content-length"}
    encoded = any(name == "transfer-encoding" for name, _ in fields)
    if lengths and encoded:
        return "there is both a length and a transfer encoding"
    if len(lengths) > 1:
        return "there are differing lengths"
    if encoded and not response.chunked:
        return "the transfer encoding is unknown"
    if lengths and not min(lengths).isdecimal():
        return "the length is not a number"
    if response.length is None and not response.chunked and not allows_unframed:
        return "there is neither a length nor a final chunk"
    return None


def read_body(response, max_buffered, reserve=lambda size: True):
    """Read a body up to a size, as far as there is memory for it.

    Parameters
    ----------
    response : http.client.HTTPResponse
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
        When the body ends before its length or final chunk.
    """
    if response.chunked:
        body = read_chunks(response, max_buffered + 1, reserve)
        return body, response.isclosed()
    if response.length is None:
        return read_unframed(response, max_buffered + 1, reserve)
    if not reserve(min(response.length, max_buffered)):
        return b"", False
    if response.length <= max_buffered:
        return response.read(), True
    body = response.read(max_buffered)
    if len(body) < max_buffered:
        raise http.client.IncompleteRead(body, response.length)
    return body, False


def read_unframed(response, size, reserve):
    """Read up to a number of bytes of a body that ends with its connection."""
    body = bytearray()
    while len(body) < size:
        expected = min(READ_BYTES, size - len(body))
        if not reserve(expected):
            return bytes(body), False
        part = response.read(expected)
        body += part
        if len(part) < expected:
            return bytes(body), True
    return bytes(body), False


def read_chunks(response, size, reserve=lambda size: True):
    """Read up to a number of bytes of a chunked body.

    Small chunks need many times their size in memory until they are joined, so that is
    done for a part of the body at a time.
    """
    body = bytearray()
    while not response.isclosed() and len(body) < size:
        expected = min(JOINED_BYTES, size - len(body))
        if not reserve(expected):
            break
        body += response.read(expected)
    return bytes(body)


def read_rest(response, size=READ_BYTES):
    """Read up to ``size`` bytes of a body that was not buffered, none at its end.

    Raises
    ------
    OSError, http.client.HTTPException
        When the body ends before its length or final chunk.
    """
    if response.isclosed():
        return b""
    if response.chunked:
        return read_chunks(response, size)
    expected = response.length
    part = response.read(size)
    if not part and expected:
        raise http.client.IncompleteRead(part, expected)
    return part
