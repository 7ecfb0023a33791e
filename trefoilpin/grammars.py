"""The grammar of HTTP/1.1 messages as regular expressions, for all that is received.

Stricter than most readers: lines end with CRLF alone, nothing is folded, and no control
character is taken. They match in linear time, as their repetitions are possessive.
"""

import re

__all__ = [
    "CRLF",
    "FIELD_LINE",
    "LENGTH",
    "PLAIN_SIZE_LINE",
    "SIZE_LINE",
    "STATUS_LINE",
]

CRLF = b"\r\n"
# RFC 9110, section 5.6.2, 5.6.4 and 5.6.3.
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*+"'
BLANKS = rb"[ \t]*+"
# A value or a reason (RFC 9110, section 5.5, and RFC 9112, section 4).
TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"

# A status has three digits and its class is 1 to 5 (RFC 9110, section 15).
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: " + TEXT + rb")?+\r\n")
# A header or a trailer (RFC 9112, section 5).
FIELD_LINE = re.compile(TOKEN + rb":" + TEXT + rb"\r\n")
# The value of Content-Length (RFC 9110, section 8.6), which fits in 63 bits.
LENGTH = re.compile("0*([0-9]{1,18})")

# The line in front of a chunk (RFC 9112, section 7.1), and such a line as most are.
EXTENSION_VALUE = BLANKS + rb"=" + BLANKS + rb"(?:" + TOKEN + rb"|" + QUOTED + rb")"
EXTENSION = BLANKS + rb";" + BLANKS + TOKEN + rb"(?:" + EXTENSION_VALUE + rb")?+"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]++)((?:" + EXTENSION + rb")*+)\r\n")
PLAIN_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})\r\n")
