"""Bodies read from a connection that sends pieces of any length and ends anywhere."""

import io
from http.client import HTTPException

import pytest
from hypothesis import given

from trefoilpin import body_readers
from trefoilpin.framings import Framing
from trefoilpin.tests.drawn_bodies import (
    ENDLESS_BODIES,
    MALFORMED_BODIES,
    drawn,
    wire_bodies,
)

CHUNKED = Framing(True, None)
BEHIND = b"HTTP/1.1 200 OK\r\n"


class Pieces:
    """A connection that sends bytes in pieces of a length and then ends."""

    closed = False

    def __init__(self, data, piece_bytes):
        self.data = data
        self.piece_bytes = piece_bytes
        self.reads = 0

    def readable(self):
        return True

    def readinto(self, buffer):
        self.reads += 1
        part = self.data[: min(self.piece_bytes, len(buffer))]
        self.data = self.data[len(part) :]
        buffer[: len(part)] = part
        return len(part)


def open_body(framing, data, piece_bytes, give_way=lambda: None):
    file = io.BufferedReader(Pieces(data, piece_bytes))
    return file, body_readers.create(file, framing, give_way)


def read_all(reader, size):
    body = b""
    while part := reader.read(size):
        assert len(part) == size or reader.is_complete()
        body += part
    return body


@drawn
@given(wire_bodies())
def test_a_body_is_read_alike_in_pieces_of_every_length(drawn_body):
    body, wire = drawn_body
    cases = ((CHUNKED, wire), (Framing(False, len(body)), body))
    for framing, sent in cases:
        for piece_bytes in (*range(1, len(sent) + 2), 1 << 20):
            for size in (1, 4, 1 << 20):
                file, reader = open_body(framing, sent + BEHIND, piece_bytes)
                assert read_all(reader, size) == body
                assert reader.is_complete()
                assert file.read(len(BEHIND)) == BEHIND


@drawn
@given(wire_bodies())
def test_a_body_that_is_cut_anywhere_raises(drawn_body):
    """Guards against an end of the stream that is taken for the end of a body."""
    body, wire = drawn_body
    for framing, sent in ((CHUNKED, wire), (Framing(False, len(body)), body)):
        for end in range(len(sent)):
            for size in (1, 1 << 20):
                _, reader = open_body(framing, sent[:end], 1 << 20)
                with pytest.raises(HTTPException):
                    read_all(reader, size)
                assert not reader.is_complete()


@pytest.mark.parametrize("wire", [*MALFORMED_BODIES.values(), *ENDLESS_BODIES.values()])
def test_a_malformed_body_raises(wire):
    for piece_bytes in (1, 3, 1 << 20):
        _, reader = open_body(CHUNKED, wire, piece_bytes)
        with pytest.raises(HTTPException):
            read_all(reader, 1 << 20)
        assert not reader.is_complete()


@pytest.mark.parametrize("piece_bytes", [1, 100, 1 << 20])
def test_a_body_without_a_framing_ends_with_its_connection(piece_bytes):
    body = b"x" * 1000
    _, reader = open_body(Framing(False, None), body, piece_bytes)
    assert read_all(reader, 300) == body
    assert reader.is_complete()


def test_no_body_is_complete_at_once():
    file, reader = open_body(Framing(False, 0), BEHIND, 1 << 20)
    assert reader.is_complete()
    assert reader.read(10) == b""
    assert file.read(len(BEHIND)) == BEHIND


@pytest.mark.parametrize(
    "framing, data",
    [
        (CHUNKED, b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"),
        (CHUNKED, b"%x\r\n" % 2_000_000 + b"x" * 2_000_000 + b"\r\n0\r\n\r\n"),
        (Framing(False, 2_000_000), b"x" * 2_000_000),
    ],
)
def test_other_tasks_may_run_between_reads(framing, data):
    """Guards against a body in small chunks that keeps a host from all other work."""
    pieces = Pieces(data, 1 << 20)
    reads_at_turns = []
    file = io.BufferedReader(pieces)
    reader = body_readers.create(
        file, framing, lambda: reads_at_turns.append(pieces.reads)
    )
    read_all(reader, 1 << 24)
    gaps = zip(reads_at_turns, reads_at_turns[1:])
    assert max(later - earlier for earlier, later in gaps) <= 1
    assert len(reads_at_turns) >= pieces.reads
