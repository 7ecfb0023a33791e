"""Responses whose heads and bodies are read strictly, for all connections we open.

The standard library's response class parses the head; how the body is delimited is
decided by ``framings``, and it is read by ``body_readers``. The class itself takes
sizes of chunks such as -1, +5 or 0_5, an end within a size for the last chunk, and the
end of the stream for the end of the headers.
"""

import http.client
from typing import Callable, NamedTuple

import urllib3
from returns.result import Failure, Result
from urllib3.connection import HTTPConnection

from trefoilpin import body_readers
from trefoilpin.body_readers import BodyReader
from trefoilpin.framings import Framing, read_answer_framing
from trefoilpin.grammars import CRLF, FIELD_LINE, STATUS_LINE
from trefoilpin.strict_reads import create_give_way, create_strict_recv_into

__all__ = [
    "SWITCHING_PROTOCOLS",
    "Response",
    "create_parser",
    "create_pool_manager",
    "open_response",
    "skip_informational",
]

# Status line and headers of an answer, with those of the 1xx answers before it.
MAX_HEAD_BYTES = 65_536
INFORMATIONAL = range(100, 200)
SWITCHING_PROTOCOLS = 101


class Response(NamedTuple):
    """An answer whose head was read.

    Attributes
    ----------
    status : int
    fields : list of (str, str)
        Headers in order, names in lower case.
    will_close : bool
        True when the connection ends with the answer.
    framing : Result
        The ``Framing`` of the body, or why it has none.
    body : BodyReader
    """

    status: int
    fields: list[tuple[str, str]]
    will_close: bool
    framing: Result[Framing, str]
    body: BodyReader


class ResponseFile(NamedTuple):
    """File from which the response class reads heads."""

    readline: Callable
    flush: Callable
    close: Callable


class ResponseSocket(NamedTuple):
    """Stand-in for the socket that the response class expects."""

    makefile: Callable


class HeadState:
    """Bytes that the head which is being read may still have."""

    def __init__(self):
        self.bytes_left = MAX_HEAD_BYTES


def create_strict_readline(reader, state):
    """Return a ``readline`` that raises on a malformed line or an early end of a head.

    The response class takes the end of the stream for the end of the headers, and so
    an answer that was cut there for one with an empty body. It also joins folded lines,
    and takes control characters and line feeds alone.
    """

    def readline(limit):
        line = reader.readline(limit)
        state.bytes_left -= len(line)
        if state.bytes_left < 0:
            raise http.client.HTTPException("the head is too long")
        if not line.endswith(b"\n") and len(line) < limit:
            raise http.client.HTTPException("the head ended early")
        if line == CRLF or FIELD_LINE.fullmatch(line) or STATUS_LINE.fullmatch(line):
            return line
        raise http.client.HTTPException("a line of the head is malformed")

    return readline


def read_fields(message):
    """Return the headers of an answer in order, names in lower case."""
    return [(name.lower(), value) for name, value in message.raw_items()]


def create_parser(reader, method, close=lambda: None):
    """Return the response class's parser of the head of an answer.

    Parameters
    ----------
    reader : io.BufferedReader
        The connection.
    method : str
        Of the request.
    close : callable, optional
        Called when the parser closes its file.

    Returns
    -------
    http.client.HTTPResponse
    """
    readline = create_strict_readline(reader, HeadState())
    file = ResponseFile(readline, lambda: None, close)
    return http.client.HTTPResponse(ResponseSocket(lambda mode: file), method=method)


def skip_informational(parser):
    """Parse heads until that of the final answer was parsed."""
    while parser.status in INFORMATIONAL and parser.status != SWITCHING_PROTOCOLS:
        parser.headers = None
        parser.begin()


def open_response(reader, method, parser):
    """Return the ``Response`` of a parsed head.

    Parameters
    ----------
    reader : io.BufferedReader
        The connection, behind the head.
    method : str
        Of the request.
    parser : http.client.HTTPResponse
    """
    fields = read_fields(parser.headers)
    version = divmod(parser.version, 10)
    framing = read_answer_framing(method, parser.status, fields, version)
    if parser.headers.defects:
        framing = Failure("the headers are malformed")
    if isinstance(framing, Failure):
        body = create_unreadable_body(framing.failure())
    else:
        body = body_readers.create(reader, framing.unwrap(), create_give_way())
    return Response(parser.status, fields, parser.will_close, framing, body)


def create_unreadable_body(fault):
    """Return the ``BodyReader`` of a body that nothing delimits."""

    def read(size):
        raise http.client.HTTPException(fault)

    return BodyReader(read, lambda: False)


def create_pool_manager(**options):
    """Return a ``urllib3.PoolManager`` whose responses are read strictly.

    Their bodies have to be read with a size.

    Parameters
    ----------
    options : dict
        Of the pool manager.
    """

    def create_parser_with_body(sock, method=None):
        """Return a response, as the library expects it, that reads its body, too."""
        sock.recv_into = create_strict_recv_into(sock)
        reader = sock.makefile("rb")
        parser = create_parser(reader, method, reader.close)
        parse_head, body = parser.begin, None

        def begin():
            nonlocal body
            parse_head()
            skip_informational(parser)
            body = open_response(reader, method, parser).body

        def read(size):
            if parser.isclosed():
                return b""
            part = body.read(size)
            if body.is_complete():
                parser.close()
            return bytes(part)

        parser.begin, parser.read = begin, read
        return parser

    def create_connection(*arguments, **keywords):
        connection = HTTPConnection(*arguments, **keywords)
        connection.response_class = create_parser_with_body
        return connection

    def create_pool(*arguments, **keywords):
        pool = urllib3.HTTPConnectionPool(*arguments, **keywords)
        pool.ConnectionCls = create_connection
        return pool

    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": create_pool}
    return manager
