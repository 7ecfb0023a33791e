"""Heads of requests, read from the WSGI environment."""

from typing import NamedTuple
from urllib.parse import parse_qs

from trefoilpin import listeners
from trefoilpin.gateway.fleet.messages import NO_BASE
from trefoilpin.headers import find_fault
from trefoilpin.verdicts import Refusal

__all__ = ["RequestHead", "read_base", "read_caller_timeout", "read_head"]

MILLISECONDS_PER_SECOND = 1000.0
# Key of the WSGI environment.
HEAD = "trefoilpin.head"


class RequestHead(NamedTuple):
    """Headers of a request, with names in lower case, and its fault, if any.

    Attributes
    ----------
    headers : list of (str, str)
    request_id : str
    fault : Refusal or None
    has_body : bool
    """

    headers: list[tuple[str, str]]
    request_id: str
    fault: Refusal | None
    has_body: bool


def read_caller_timeout(value):
    """Return the timeout of a caller in seconds, or None without a valid header."""
    try:
        milliseconds = float(value)
    except (TypeError, ValueError):
        return None
    return max(milliseconds, 0.0) / MILLISECONDS_PER_SECOND


def read_base(query):
    """Return the digest of the document that the requesting host has."""
    value = parse_qs(query).get("base", [""])[0]
    return int(value) if value.isdecimal() else NO_BASE


def read_head(environ, id_header):
    """Return the ``RequestHead`` of a request."""
    head = environ.get(HEAD)
    if head is not None:
        return head
    headers = [(name.lower(), value) for name, value in environ["headers_raw"]]
    value_by_name = dict(headers)
    protocol = environ[listeners.PROTOCOL]
    fault = find_fault(
        protocol.command, protocol.path, headers, protocol.headers.defects
    )
    has_body = value_by_name.get("content-length", "0") != "0"
    head = environ[HEAD] = RequestHead(
        headers,
        value_by_name.get(id_header, ""),
        fault,
        has_body or "transfer-encoding" in value_by_name,
    )
    return head
