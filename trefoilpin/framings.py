"""Where the body of an HTTP/1.1 message ends, by its headers (RFC 9112, section 6).

Messages that two readers could delimit differently are refused: request smuggling
starts there, and a part of an answer could pass for the whole.
"""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from trefoilpin.grammars import LENGTH

__all__ = ["HTTP_1_1", "Framing", "read_answer_framing", "read_framing"]

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
