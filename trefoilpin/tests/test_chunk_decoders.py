"""Bodies in chunks: whole, or a visible failure, whatever was sent and cut."""

from http.client import HTTPException

import pytest
from hypothesis import given, settings

from trefoilpin.chunk_decoders import MAX_LINE_BYTES, ChunkState, decode
from trefoilpin.tests.drawn_bodies import (
    ENDLESS_BODIES,
    MALFORMED_BODIES,
    decode_plainly,
    drawn,
    faulty_bodies,
    wire_bodies,
)


def decode_pieces(wire, piece_bytes, most=1 << 20):
    """Return the body, whether it is whole, and the bytes that were used."""
    state, body, used = ChunkState(), b"", 0
    while used < len(wire) and not state.is_complete:
        decoded = decode(state, wire[used : used + piece_bytes], most)
        assert 0 < decoded.used <= piece_bytes
        assert len(decoded.body) <= most
        assert len(state.line) <= MAX_LINE_BYTES
        body += decoded.body
        used += decoded.used
    return body, state.is_complete, used


@drawn
@given(wire_bodies())
def test_a_body_is_decoded_alike_in_pieces_of_every_length(drawn_body):
    body, wire = drawn_body
    for piece_bytes in range(1, len(wire) + 5):
        for most in (1, 3, 1 << 20):
            found = decode_pieces(wire + b"GET /", piece_bytes, most)
            assert found == (body, True, len(wire))


@drawn
@given(wire_bodies())
def test_a_body_that_is_cut_anywhere_is_not_whole(drawn_body):
    """Guards against an answer that ends within a chunk's size and passes as whole."""
    for end in range(len(drawn_body.wire)):
        for piece_bytes in (1, 7, 1 << 20):
            body, is_complete, used = decode_pieces(drawn_body.wire[:end], piece_bytes)
            assert not is_complete
            assert used == end
            assert drawn_body.body.startswith(body)


@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 1 << 20])
@pytest.mark.parametrize("wire", MALFORMED_BODIES.values(), ids=list(MALFORMED_BODIES))
def test_a_malformed_body_is_refused(wire, piece_bytes):
    """Guards against sizes such as -1, by which a host read without a bound."""
    assert decode_plainly(wire) is None
    with pytest.raises(HTTPException):
        decode_pieces(wire, piece_bytes)


@pytest.mark.parametrize("piece_bytes", [1, 1000, 1 << 20])
@pytest.mark.parametrize("wire", ENDLESS_BODIES.values(), ids=list(ENDLESS_BODIES))
def test_what_a_body_has_beside_its_chunks_is_bounded(wire, piece_bytes):
    with pytest.raises(HTTPException):
        decode_pieces(wire, piece_bytes)


@settings(drawn, max_examples=20 * drawn.max_examples)
@given(faulty_bodies())
def test_drawn_bytes_are_a_body_only_where_the_grammar_has_one(wire):
    expected = decode_plainly(wire)
    for piece_bytes in (1, 5, 1 << 20):
        try:
            body, is_complete, used = decode_pieces(wire, piece_bytes)
        except HTTPException:
            assert expected is None
            continue
        assert is_complete == (expected is not None)
        if is_complete:
            assert (body, wire[used:]) == expected


def test_extensions_in_proportion_to_their_chunks_are_read():
    """A signature of each chunk is no attack, however many chunks there are."""
    chunk = b"400;chunk-signature=" + b"a" * 64 + b"\r\n" + b"x" * 1024 + b"\r\n"
    body, is_complete, _ = decode_pieces(chunk * 3000 + b"0\r\n\r\n", 8192)
    assert is_complete
    assert len(body) == 3000 * 1024
