"""Conversion of requests and answers to and from WSGI, shared by the front ends."""

from http.client import responses

from eventlet.wsgi import ChunkReadError

from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["BODYLESS_STATUSES", "read_body", "status_line", "stream_body"]

# Of a body in chunks that are read before memory is reserved for them.
PART_BYTES = 16_384
MAX_COPIED_BYTES = 1_048_576
BODYLESS_STATUSES = frozenset((204, 304))


def status_line(status):
    """Return a status code with its reason phrase."""
    return f"{status} {responses.get(status, 'Unknown')}"


def stream_body(answer):
    """Yield the body of a streamed answer; close its source at the end."""
    try:
        yield answer.body
        yield from answer.rest
    finally:
        answer.rest.close()


def read_body(environ, max_body, reserve=lambda size: None):
    """Return the body of a request, bytes or a bytearray, or a ``Refusal``.

    Parameters
    ----------
    environ : dict
    max_body : int
        Limit in bytes.
    reserve : callable, optional
        ``reserve(size)`` is called before bytes are read and returns a ``Refusal`` when
        there is no memory for them.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if length > max_body:
        return refuse_large_body(max_body)
    if not length and not chunked:
        return b""
    source = environ["wsgi.input"]
    try:
        if chunked:
            return read_chunked_body(source, max_body, reserve)
        refusal = reserve(length)
        body = b"" if refusal is not None else source.read(length)
    except (OSError, ValueError, ChunkReadError):
        detail = "the body ended early or is malformed"
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
    if refusal is not None:
        return refusal
    if len(body) < length:
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, "the body ended early")
    return copy_small(body)


def read_chunked_body(source, max_body, reserve):
    """Return a body that comes in chunks, or a ``Refusal``."""
    body = bytearray()
    while part := source.read(PART_BYTES):
        if len(body) + len(part) > max_body:
            return refuse_large_body(max_body)
        refusal = reserve(len(part))
        if refusal is not None:
            return refusal
        body += part
    return copy_small(body)


def copy_small(body):
    """Return a body as bytes; a large one may take half of the host's memory."""
    return bytes(body) if len(body) <= MAX_COPIED_BYTES else body


def refuse_large_body(max_body):
    """Return the refusal of a body larger than ``max_body`` bytes."""
    detail = f"the body is larger than {max_body} bytes"
    return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, detail)
