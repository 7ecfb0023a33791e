"""Reads the body of a message from a connection, as far as its framing reaches.

The same for answers of upstreams, the store and other hosts, and for the requests of
callers. An end of the connection within a body raises; it never ends the body, unless
nothing else delimits it.
"""

import io
from http.client import IncompleteRead
from typing import Callable, NamedTuple

from trefoilpin.chunk_decoders import ChunkState, decode

__all__ = ["BodyReader", "create"]

# Read at a time, so that other tasks have their turn in between.
PART_BYTES = 65_536


class BodyReader(NamedTuple):
    """Functions that read one body.

    ``read(size)`` returns as many bytes, fewer at the end of the body and none behind
    it; it raises ``OSError`` or ``http.client.HTTPException`` when the body ends early
    or is malformed. ``is_complete()`` tells whether the body was read to its end.
    """

    read: Callable[[int], bytes | bytearray]
    is_complete: Callable[[], bool]


class LengthState:
    """Bytes of a body that are due; None when its connection delimits it."""

    def __init__(self, remaining):
        self.remaining = remaining
        self.is_complete = remaining == 0


def create(file, framing, give_way):
    """Return the ``BodyReader`` of a body.

    Parameters
    ----------
    file : io.BufferedReader
        The connection, behind the head of the message. What follows the body stays in
        it. Its buffer bounds what is decoded without another task in between.
    framing : Framing
    give_way : callable
        Called without arguments between reads; lets other tasks run when this one has
        run for long.
    """
    if framing.is_chunked:
        return create_chunk_reader(file, give_way)
    return create_length_reader(file, framing.length, give_way)


def create_chunk_reader(file, give_way):
    """Return the ``BodyReader`` of a body in chunks."""
    state = ChunkState()

    def read_part(size):
        if state.remaining >= io.DEFAULT_BUFFER_SIZE:
            part = file.read1(min(size, state.remaining))
            state.remaining -= len(part)
            if not part:
                raise IncompleteRead(b"")
            return part
        data = file.peek(1)
        if not data:
            raise IncompleteRead(b"")
        decoded = decode(state, data, size)
        file.read(decoded.used)
        return decoded.body

    def read(size):
        body = bytearray()
        while len(body) < size and not state.is_complete:
            body += read_part(min(size - len(body), PART_BYTES))
            give_way()
        return body

    return BodyReader(read, lambda: state.is_complete)


def create_length_reader(file, length, give_way):
    """Return the ``BodyReader`` of a body with a length, or without one."""
    state = LengthState(length)

    def read(size):
        if state.remaining is not None:
            size = min(size, state.remaining)
        body = bytearray()
        while len(body) < size and not state.is_complete:
            part = file.read1(min(size - len(body), PART_BYTES))
            if part:
                body += part
                give_way()
            elif state.remaining is None:
                state.is_complete = True
            else:
                raise IncompleteRead(b"", state.remaining - len(body))
        if state.remaining is not None:
            state.remaining -= len(body)
            state.is_complete = not state.remaining
        return body

    return BodyReader(read, lambda: state.is_complete)
