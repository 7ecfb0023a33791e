"""Conversion of requests and answers to and from WSGI, shared by the front ends."""

from http.client import responses

from eventlet.wsgi import ChunkReadError

from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["BODYLESS_STATUSES", "read_body", "status_line", "stream_body"]

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


def read_body(environ, max_body):
    """Return the body of a request as bytes, or a ``Refusal``."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if length > max_body:
        return refuse_large_body(max_body)
    if not length and not chunked:
        return b""
    try:
        body = environ["wsgi.input"].read(max_body + 1 if chunked else length)
    except (OSError, ValueError, ChunkReadError):
        detail = "the body ended early or is malformed"
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
    if len(body) > max_body:
        return refuse_large_body(max_body)
    if not chunked and len(body) < length:
        return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, "the body ended early")
    return body


def refuse_large_body(max_body):
    """Return the refusal of a body larger than ``max_body`` bytes."""
    detail = f"the body is larger than {max_body} bytes"
    return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, detail)
