"""Bodies of callers' requests, read strictly in place of eventlet's own reading.

Eventlet's input takes sizes of chunks such as -1, +5 or 0_5, bare LF, and lines without
a bound, and gives no other task a turn while there is input.
"""

from http.client import HTTPException

from eventlet.wsgi import ChunkReadError
from returns.result import Failure

from trefoilpin import body_readers
from trefoilpin.framings import Framing, read_framing
from trefoilpin.strict_reads import create_give_way

__all__ = ["replace_reads"]

NO_BODY_LENGTH = 0


def replace_reads(environ, protocol):
    """Have the input of a request read its body by ``body_readers``.

    The connection of a request whose framing is faulty closes after its answer, as
    nobody can tell where the next request begins.

    Parameters
    ----------
    environ : dict
        Of the WSGI application.
    protocol : eventlet.wsgi.HttpProtocol
        The parsed request.
    """
    source = environ["eventlet.input"]
    headers = [(name.lower(), value) for name, value in environ["headers_raw"]]
    framing = read_framing(headers, read_version(protocol.request_version))
    if isinstance(framing, Failure):
        protocol.close_connection = 1
        source.read = create_failing_read(framing.failure())
        return
    framing = framing.unwrap()
    if framing.length is None and not framing.is_chunked:
        # A request without either has no body (RFC 9112, section 6.3).
        framing = Framing(False, NO_BODY_LENGTH)
    reader = body_readers.create(protocol.rfile, framing, create_give_way())
    source.read = create_read(source, reader)


def read_version(text):
    """Return a version of the protocol, such as ``HTTP/1.1``, as numbers."""
    major, _, minor = text.removeprefix("HTTP/").partition(".")
    return int(major), int(minor)


def create_failing_read(fault):
    """Return the ``read`` of a body whose framing is faulty."""

    def read(size):
        raise ChunkReadError(fault)

    return read


def create_read(source, reader):
    """Return the ``read`` of an input, which needs a size.

    It raises ``eventlet.wsgi.ChunkReadError`` when the body ends early or is malformed.
    """

    def read(size):
        if source.should_send_hundred_continue:
            source.send_hundred_continue_response()
            source.is_hundred_continue_response_sent = True
        try:
            part = reader.read(size)
        except HTTPException as error:
            raise ChunkReadError(f"{type(error).__name__}: {error}") from error
        source.position += len(part)
        return part

    return read
