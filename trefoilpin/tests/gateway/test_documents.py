"""Documents as bytes, and what is no document."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpin.gateway import documents, rows
from trefoilpin.gateway.documents import CODEC
from trefoilpin.gateway.rows import Delta

ROWS = st.dictionaries(st.sampled_from("abcdef"), st.text(max_size=3))


@settings(derandomize=True)
@given(ROWS, ROWS)
def test_rows_and_changes_come_back_as_they_were(before, after):
    assert CODEC.decode_rows(CODEC.encode_rows(before)).unwrap() == before
    changes = rows.diff(before, after)
    data = CODEC.encode_delta(changes, rows.digest(after))
    decoded, digest = CODEC.decode_delta(data).unwrap()
    assert rows.patch(before, decoded) == after and digest == rows.digest(after)


@pytest.mark.parametrize(
    "table",
    [{"changed": {}, "gone": []}, {"changed": {"a": 1}, "gone": [], "digest": 1}]
    + [{"changed": {}, "gone": [1], "digest": 1}, {"changed": [], "gone": []}, []],
)
def test_changes_of_another_form_are_refused(table):
    assert isinstance(CODEC.decode_delta(documents.pack(table)), Failure)


@pytest.mark.parametrize("data", [b"", b"spoilt", documents.pack({"a": {}})])
def test_what_is_no_document_is_refused(data):
    assert isinstance(CODEC.decode_rows(data), Failure)
    assert isinstance(CODEC.decode_delta(data), Failure)


def test_a_small_change_of_a_large_document_is_small():
    table = {f"u{number}": f"10.0.{number}.1" for number in range(900)}
    changes = Delta({"u7": "draining"}, ())
    small = CODEC.encode_delta(changes, 1)
    assert len(small) < 100 < len(CODEC.encode_rows(table)) / 10


def test_the_same_content_is_the_same_text():
    one = CODEC.encode_content({"b": 1, "a": [1, 2]})
    assert one == CODEC.encode_content({"a": [1, 2], "b": 1})
