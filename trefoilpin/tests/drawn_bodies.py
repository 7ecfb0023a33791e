"""Bodies in chunks, drawn with faults and without, and a plain decoder for them."""

import os
import re
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st

__all__ = [
    "ENDLESS_BODIES",
    "MALFORMED_BODIES",
    "WireBody",
    "decode_plainly",
    "drawn",
    "faulty_bodies",
    "wire_bodies",
]

# Other examples are drawn, as many as wanted, when the variable is set.
EXAMPLES = os.environ.get("DRAWN_EXAMPLES")
drawn = settings(
    derandomize=EXAMPLES is None, deadline=None, max_examples=int(EXAMPLES or 60)
)

TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
QUOTED = r'"([\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
EXTENSIONS = rf"([ \t]*;[ \t]*{TOKEN}([ \t]*=[ \t]*({TOKEN}|{QUOTED}))?)*"
SIZE_LINE = re.compile(f"([0-9A-Fa-f]+){EXTENSIONS}\r\n".encode("latin-1"))
TRAILERS = re.compile(f"({TOKEN}:[\t -~\x80-\xff]*\r\n)*\r\n".encode("latin-1"))
# Each is malformed (RFC 9112, section 7.1), whatever follows.
MALFORMED_BODIES = {
    "signed size": b"+5\r\nabcde\r\n0\r\n\r\n",
    "negative size": b"-1\r\nabcde\r\n0\r\n\r\n",
    "size with a prefix": b"0x5\r\nabcde\r\n0\r\n\r\n",
    "size with an underscore": b"0_5\r\nabcde\r\n0\r\n\r\n",
    "blank before a size": b" 5\r\nabcde\r\n0\r\n\r\n",
    "blank behind a size": b"5 \r\nabcde\r\n0\r\n\r\n",
    "no size": b"\r\nabcde\r\n0\r\n\r\n",
    "two other bytes behind a chunk": b"5\r\nabcdexy0\r\n\r\n",
    "a byte too many in a chunk": b"5\r\nabcdef\r\n0\r\n\r\n",
    "bare LF behind a size": b"5\nabcde\r\n0\r\n\r\n",
    "bare LF behind a chunk": b"5\r\nabcde\n0\r\n\r\n",
    "bare LF behind the last size": b"5\r\nabcde\r\n0\n\r\n",
    "bare LF at the end": b"5\r\nabcde\r\n0\r\n\n",
    "CR LF LF at the end": b"5\r\nabcde\r\n0\r\n\r\r\n",
    "CR in a size": b"5\r5\r\nabcde\r\n0\r\n\r\n",
    "NUL in an extension": b"5;a=\x00\r\nabcde\r\n0\r\n\r\n",
    "CR in an extension": b"5;a=b\rc\r\nabcde\r\n0\r\n\r\n",
    "extension without a name": b"5;=b\r\nabcde\r\n0\r\n\r\n",
    "extension without a value": b"5;a=\r\nabcde\r\n0\r\n\r\n",
    "string without its end": b'5;a="b\r\nabcde\r\n0\r\n\r\n',
    "comment in place of an extension": b"5 abc\r\nabcde\r\n0\r\n\r\n",
    "trailer without a colon": b"5\r\nabcde\r\n0\r\nabc\r\n\r\n",
    "trailer with a folded line": b"5\r\nabcde\r\n0\r\na: b\r\n c\r\n\r\n",
    "trailer with NUL": b"5\r\nabcde\r\n0\r\na: \x00\r\n\r\n",
    "blank before a colon": b"5\r\nabcde\r\n0\r\na : b\r\n\r\n",
}
# Each takes more than a body may have beside its chunks.
ENDLESS_BODIES = {
    "size over 63 bits": b"8000000000000000\r\nabcde\r\n0\r\n\r\n",
    "size of many digits": b"1" + b"0" * 400 + b"\r\nabcde\r\n0\r\n\r\n",
    "line without end": b"0" * 5000 + b"5\r\nabcde\r\n0\r\n\r\n",
    "trailers without end": b"5\r\nabcde\r\n0\r\n" + b"a: b\r\n" * 20_000 + b"\r\n",
    "extensions without end": (b"1;" + b"a" * 4000 + b"\r\nx\r\n") * 20 + b"0\r\n\r\n",
}


class WireBody(NamedTuple):
    """A body, and the bytes that carry it."""

    body: bytes
    wire: bytes


def texts(alphabet, **sizes):
    return st.text(st.sampled_from(alphabet), **sizes).map(str.encode)


names = texts("abXY09-_!~", min_size=1, max_size=4)
blanks = texts(" \t", max_size=2)
strings = texts("a0 ;=,:\t", max_size=5).map(lambda text: b'"' + text + b'\\""')
values = st.tuples(blanks, st.just(b"="), blanks, names | strings).map(b"".join)
extensions = st.lists(
    st.tuples(blanks, st.just(b";"), blanks, names, values | st.just(b"")).map(
        b"".join
    ),
    max_size=2,
).map(b"".join)
trailers = st.lists(
    st.tuples(names, st.just(b":"), texts("a ,;\t", max_size=4), st.just(b"\r\n")).map(
        b"".join
    ),
    max_size=2,
).map(b"".join)


@st.composite
def wire_bodies(draw):
    """Draw a body in chunks with leading zeros, extensions and trailers."""
    body, wire = b"", b""
    for part in draw(st.lists(st.binary(min_size=1, max_size=20), max_size=4)):
        zeros = b"0" * draw(st.integers(0, 8))
        digits = (b"%x" if draw(st.booleans()) else b"%X") % len(part)
        wire += zeros + digits + draw(extensions) + b"\r\n" + part + b"\r\n"
        body += part
    last = b"0" * draw(st.integers(1, 9)) + draw(extensions) + b"\r\n"
    return WireBody(body, wire + last + draw(trailers) + b"\r\n")


@st.composite
def faulty_bodies(draw):
    """Draw bytes that are nearly a body: some are removed, added or replaced."""
    wire = bytearray(draw(wire_bodies()).wire)
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(wire)))
        end = draw(st.integers(start, min(start + 2, len(wire))))
        wire[start:end] = draw(texts('\r\n0 5af;:-+_x\0"\t', max_size=2))
    return bytes(wire)


def decode_plainly(wire):
    """Return the body in ``wire`` and what follows it, or None."""
    body = b""
    while True:
        line = SIZE_LINE.match(wire)
        if line is None:
            return None
        size, wire = int(line[1], 16), wire[line.end() :]
        if not size:
            break
        if wire[size : size + 2] != b"\r\n":
            return None
        body, wire = body + wire[:size], wire[size + 2 :]
    end = TRAILERS.match(wire)
    return None if end is None else (body, wire[end.end() :])
