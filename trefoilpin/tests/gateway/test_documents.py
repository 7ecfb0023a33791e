"""Encoding of documents and deltas, and rejection of malformed ones."""

import json
import tracemalloc
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpin.gateway.store import documents, rows
from trefoilpin.gateway.store.documents import CODEC
from trefoilpin.gateway.store.rows import Delta

ROWS = st.dictionaries(st.sampled_from("abcdef"), st.text(max_size=3))


@settings(derandomize=True, deadline=None)
@given(ROWS, ROWS)
def test_rows_and_deltas_survive_encoding_and_decoding(before, after):
    assert CODEC.decode_rows(CODEC.encode_rows(before)).unwrap() == before
    delta = rows.diff(before, after)
    data = CODEC.encode_delta(delta, rows.digest(after))
    decoded, digest = CODEC.decode_delta(data).unwrap()
    assert rows.patch(before, decoded) == after and digest == rows.digest(after)


@pytest.mark.parametrize(
    "table",
    [{"changed": {}, "gone": []}, {"changed": {"a": 1}, "gone": [], "digest": 1}]
    + [{"changed": {}, "gone": [1], "digest": 1}, {"changed": [], "gone": []}, []],
)
def test_malformed_deltas_are_rejected(table):
    assert isinstance(CODEC.decode_delta(documents.pack(table)), Failure)


@pytest.mark.parametrize("data", [b"", b"malformed", documents.pack({"a": {}})])
def test_malformed_documents_are_rejected(data):
    assert isinstance(CODEC.decode_rows(data), Failure)
    assert isinstance(CODEC.decode_delta(data), Failure)


def test_delta_of_a_large_document_is_small():
    table = {f"u{number}": f"10.0.{number}.1" for number in range(900)}
    delta = Delta({"u7": "draining"}, ())
    encoded = CODEC.encode_delta(delta, 1)
    assert len(encoded) < 100 < len(CODEC.encode_rows(table)) / 10


def test_equal_content_is_encoded_as_equal_text():
    one = CODEC.encode_content({"b": 1, "a": [1, 2]})
    assert one == CODEC.encode_content({"a": [1, 2], "b": 1})


MEGABYTE = 1_000_000
ODD_TEXTS = [
    "[" + "[]," * MEGABYTE + "[]]",
    '{"a":[' + "[]," * MEGABYTE + "[]]}",
    '{"changed":{},"gone":[' + '"",' * (3 * MEGABYTE) + '""],"digest":1}',
    '{"a":' * MEGABYTE + "1" + "}" * MEGABYTE,
    json.dumps({"a": "x" * (40 * MEGABYTE)}),
    "[" * MEGABYTE + "]" * MEGABYTE,
    "0" * (3 * MEGABYTE),
]


@pytest.mark.parametrize("text", ODD_TEXTS, ids=range(len(ODD_TEXTS)))
def test_an_odd_document_of_another_host_costs_little_memory(text):
    """Guards against a document that ends the hosts that decode it."""
    data = zlib.compress(text.encode(), 1)
    tracemalloc.start()
    assert isinstance(CODEC.decode_rows(data), Failure)
    assert isinstance(CODEC.decode_delta(data), Failure)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 3 * documents.MAX_DOCUMENT_BYTES


def test_a_document_of_the_planned_size_is_accepted():
    """21,000 accounts and 2,900 routes, or 5,600 upstreams."""
    account = json.dumps({"name": "a" * 12, "keys": ["k" * 20], "rate": 10, "burst": 5})
    table = {f"tenants/{number:012}": account for number in range(21_000)}
    table.update({f"listeners/{number:012}": "x" * 400 for number in range(2900)})
    assert CODEC.decode_rows(CODEC.encode_rows(table)).unwrap() == table
