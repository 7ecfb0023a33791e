"""Where the body of an HTTP/1.1 message ends (RFC 9112, section 6), and its headers.

Messages that two readers could delimit differently are refused: request smuggling
starts there, and a part of an answer could pass for the whole.
"""

import re
from typing import NamedTuple

from returns.result import Failure, Result, Success

__all__ = [
    "FIELD_LINE",
    "HTTP_1_1",
    "TOKEN",
    "Framing",
    "read_answer_framing",
    "read_framing",
]

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
# A header or a trailer (RFC 9112, section 5): no blank before the colon, no folded
# line, no NUL or other control character, no CR or LF alone.
FIELD_LINE = re.compile(TOKEN + rb":[\t \x21-\x7e\x80-\xff]*+\r\n")
# Content-Length = 1*DIGIT (RFC 9110, section 8.6); the value fits in 63 bits.
LENGTH = re.compile("0*([0-9]{1,18})")
HTTP_1_1 = (1, 1)
# Answers that have no body whatever their headers say (RFC 9112, section 6.3).
BODYLESS_STATUSES = frozenset((*range(100, 200), 204, 304))


class Framing(NamedTuple):
    """How a body is delimited.

    Attributes
    ----------
    is_chunked : bool
    length : int or None
        Bytes; None when the body comes in chunks, or ends with its connection.
    """

    is_chunked: bool
    length: int | None


NO_BODY = Framing(False, 0)
CHUNKED = Framing(True, None)
UNFRAMED = Framing(False, None)


def read_framing(headers, version) -> Result[Framing, str]:
    """Return how the headers of a message delimit its body, or why they don't.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names in lower case.
    version : tuple of int
        Version of the protocol.
    """
    lengths, encodings = set(), []
    for name, value in headers:
        if name == "content-length":
            lengths.add(value.strip(" \t"))
        elif name == "transfer-encoding":
            encodings.append(value.strip(" \t").lower())
    if lengths and encodings:
        return Failure("there is both a length and a transfer encoding")
    if len(lengths) > 1:
        return Failure("there are differing lengths")
    if encodings and version < HTTP_1_1:
        return Failure("the version of the protocol has no transfer encoding")
    if encodings and encodings != ["chunked"]:
        return Failure("the transfer encoding is not known")
    if encodings:
        return Success(CHUNKED)
    for text in lengths:
        length = LENGTH.fullmatch(text)
        if length is None:
            return Failure("the length is not a number")
        return Success(Framing(False, int(length.group(1))))
    return Success(UNFRAMED)


def read_answer_framing(method, status, headers, version) -> Result[Framing, str]:
    """Return how the body of an answer is delimited, or why that is not known.

    Parameters
    ----------
    method : str
        Of the request.
    status : int
    headers, version
        See ``read_framing``.
    """
    framing = read_framing(headers, version)
    if method == "HEAD" or status in BODYLESS_STATUSES:
        return framing.map(lambda _: NO_BODY)
    return framing
