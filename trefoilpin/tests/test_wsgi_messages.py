"""Bodies of requests, as they are read from a connection."""

import io
import tracemalloc

import pytest

from trefoilpin import wsgi_messages
from trefoilpin.verdicts import Refusal

MEGABYTE = 1_000_000


def read_chunked(body, max_body=100 * MEGABYTE):
    environ = {"HTTP_TRANSFER_ENCODING": "chunked", "wsgi.input": io.BytesIO(body)}
    return wsgi_messages.read_body(environ, max_body)


def test_a_large_body_in_chunks_takes_its_size_in_memory():
    """Guards against an upload that takes a host over its memory by its copy."""
    body = b"x" * (40 * MEGABYTE)
    tracemalloc.start()
    found = read_chunked(body)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found == body
    assert peak < 1.25 * len(body)


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 2 * MEGABYTE])
def test_a_body_in_chunks_is_read_whole(size):
    assert read_chunked(b"x" * size) == b"x" * size
    if size:
        assert isinstance(read_chunked(b"x" * size, size - 1), Refusal)
