"""Validation of request lines and headers, removal of hop-by-hop headers, durations.

Requests that two HTTP parsers could read differently are refused, since they allow
request smuggling.
"""

import re
from datetime import timezone
from email.utils import parsedate_to_datetime
from urllib.parse import unquote

from trefoilpin.framings import HTTP_1_1, read_framing
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["HOP_BY_HOP", "drop_hop_by_hop", "find_fault", "read_retry_after"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
REFUSED_METHODS = frozenset(("CONNECT", "TRACE"))
CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")
NOT_TARGET_CHARACTER = re.compile("[^\x21-\x7e]")
RETRY_AFTER_SECONDS = re.compile("[0-9]{1,9}([.][0-9]{1,9})?")
TOKEN = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
DOT_SEGMENTS = frozenset((".", ".."))


def drop_hop_by_hop(headers):
    """Return headers without the hop-by-hop ones and those that ``Connection`` names.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names in lower case.

    Returns
    -------
    tuple of (str, str)
    """
    connection_options = set()
    for name, value in headers:
        if name == "connection":
            connection_options.update(
                token.strip().lower() for token in value.split(",")
            )
    return tuple(
        header
        for header in headers
        if header[0] not in HOP_BY_HOP and header[0] not in connection_options
    )


def read_retry_after(value, wall_seconds):
    """Return the delay in seconds that a ``Retry-After`` header states, or None.

    Parameters
    ----------
    value : str
        Seconds, which may have a fraction, or an HTTP date (RFC 9110, section 10.2.3).
    wall_seconds : float
        Time of day in seconds since the epoch.
    """
    text = value.strip()
    if RETRY_AFTER_SECONDS.fullmatch(text):
        return float(text)
    try:
        date = parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=timezone.utc)
        return max(date.timestamp() - wall_seconds, 0.0)
    except (TypeError, ValueError, OverflowError):
        return None


def find_fault(method, target, headers, defects):
    """Return the refusal of an ambiguous or malformed request, or None.

    Parameters
    ----------
    method, target : str
    headers : sequence of (str, str)
        Names in lower case, values as received.
    defects : sequence
        Defects that the header parser found.

    Returns
    -------
    Refusal or None
    """
    detail = (
        target_fault(method, target)
        or header_fault(headers, defects)
        or framing_fault(headers)
    )
    if detail is None:
        return None
    return Refusal(Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)


def target_fault(method, target):
    """Return the fault of a method or a request target, or None."""
    if method in REFUSED_METHODS or not TOKEN.fullmatch(method):
        return "the method is not served"
    if not target.startswith("/"):
        return "the path must start with a slash"
    if NOT_TARGET_CHARACTER.search(target):
        return "the path holds characters that must be percent-encoded"
    path = target.partition("?")[0]
    if "." not in path and "%" not in path and "\\" not in path:
        return None
    decoded = unquote(path, encoding="latin-1").replace("\\", "/")
    if CONTROL_CHARACTER.search(decoded):
        return "the path holds control characters"
    if DOT_SEGMENTS & set(decoded.split("/")):
        return "the path holds dot segments"
    return None


def header_fault(headers, defects):
    """Return the fault of the header names and values, or None."""
    if defects:
        return "the headers are malformed"
    for name, value in headers:
        if CONTROL_CHARACTER.search(value):
            return "a header is folded or holds control characters"
        if not TOKEN.fullmatch(name):
            return "a header's name holds characters that are not allowed"
    return None


def framing_fault(headers):
    """Return the fault of the headers that frame the body, or of ``Host``, or None."""
    host_count = 0
    for name, _ in headers:
        if name == "host":
            host_count += 1
    if host_count > 1:
        return "there is more than one host"
    return read_framing(headers, HTTP_1_1).swap().value_or(None)
