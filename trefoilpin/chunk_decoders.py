"""Decodes bodies that come in chunks (RFC 9112, section 7.1), without input or output.

A body is whole behind the empty line that follows its trailers. The standard lets a
recipient take one that ends behind the last chunk for whole; here it is cut.
"""

from http.client import HTTPException
from typing import NamedTuple

from trefoilpin.grammars import CRLF, FIELD_LINE, PLAIN_SIZE_LINE, SIZE_LINE

__all__ = ["ChunkState", "Decoded", "decode"]

# A line with the size of a chunk and its extensions, or with a trailer.
MAX_LINE_BYTES = 4096
# Extensions may take as many bytes as the chunks, and this many more.
MAX_TRAILER_BYTES = MAX_EXTENSION_BYTES = 65_536
MAX_CHUNK_BYTES = 2**63 - 1


class Decoded(NamedTuple):
    """Outcome of a step: bytes of input that were used, and the part of the body."""

    used: int
    body: bytes | bytearray


class ChunkState:
    """Position in a body.

    Attributes
    ----------
    remaining : int
        Bytes of the current chunk that are due.
    decode_line : callable
        Takes the state and the line that is due outside of a chunk.
    line : bytes
        What has arrived of it.
    extension_bytes, trailer_bytes : int
        Bytes that these may still have.
    is_complete : bool
        True when the whole body was decoded.
    """

    def __init__(self):
        self.remaining = 0
        self.decode_line = decode_size
        self.line = b""
        self.extension_bytes = MAX_EXTENSION_BYTES
        self.trailer_bytes = MAX_TRAILER_BYTES
        self.is_complete = False


def decode(state, data, most):
    """Decode the beginning of ``data``; what follows the body is left.

    Parameters
    ----------
    state : ChunkState
    data : bytes
        The input that follows what was used before.
    most : int
        Bytes of the body, one at least; the step ends when it has as many.

    Returns
    -------
    Decoded

    Raises
    ------
    http.client.HTTPException
        When the input is malformed.
    """
    body = bytearray()
    position = 0
    while position < len(data) and len(body) < most and not state.is_complete:
        if state.remaining:
            size = min(state.remaining, most - len(body), len(data) - position)
            body += data[position : position + size]
            position += size
            state.remaining -= size
            continue
        if state.decode_line is decode_size and not state.line:
            position = decode_whole_chunks(state, data, position, body, most)
        end = data.find(b"\n", position) + 1 or len(data)
        line = state.line + data[position:end]
        position = end
        if len(line) > MAX_LINE_BYTES:
            raise HTTPException("a line within the body is too long")
        if line.endswith(b"\n"):
            state.line = b""
            state.decode_line(state, line)
            continue
        state.line = line
        if state.decode_line is decode_chunk_end and line != b"\r":
            raise HTTPException("a chunk is longer than its size")
    return Decoded(position, body)


def decode_whole_chunks(state, data, position, body, most):
    """Decode chunks that are whole in ``data`` fast; return the position behind."""
    match = PLAIN_SIZE_LINE.match
    already_decoded = len(body)
    room = most - already_decoded
    while found := match(data, position):
        start, size = found.end(), int(found[1], 16)
        end = start + size
        if not 0 < size < room or data[end : end + 2] != CRLF:
            break
        body += data[start:end]
        room -= size
        position = end + 2
    state.extension_bytes += len(body) - already_decoded
    return position


def decode_size(state, line):
    """Decode the line in front of a chunk."""
    found = SIZE_LINE.fullmatch(line)
    if found is None:
        raise HTTPException("the size of a chunk is malformed")
    size, extensions = int(found[1], 16), found[2]
    if size > MAX_CHUNK_BYTES:
        raise HTTPException("the size of a chunk is too large")
    state.extension_bytes += size - len(extensions)
    if state.extension_bytes < 0:
        raise HTTPException("the extensions of the chunks are too long")
    state.remaining = size
    state.decode_line = decode_chunk_end if size else decode_trailer


def decode_chunk_end(state, line):
    """Decode the end of the line behind a chunk."""
    if line != CRLF:
        raise HTTPException("a chunk is longer than its size")
    state.decode_line = decode_size


def decode_trailer(state, line):
    """Decode a trailer, which is dropped (section 7.1.2), or the line behind them."""
    if line == CRLF:
        state.is_complete = True
        return
    state.trailer_bytes -= len(line)
    if state.trailer_bytes < 0:
        raise HTTPException("the trailers are too long")
    if FIELD_LINE.fullmatch(line) is None:
        raise HTTPException("a trailer is malformed")
