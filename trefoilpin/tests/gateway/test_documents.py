"""Documents, and what turns one into another."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpin.gateway import documents

OBJECTS = st.dictionaries(
    st.sampled_from("abcdef"), st.dictionaries(st.sampled_from("xy"), st.integers())
)


@settings(derandomize=True)
@given(OBJECTS, OBJECTS)
def test_changes_turn_one_document_into_the_other_byte_for_byte(before, after):
    first, second = map(documents.encode_objects, (before, after))
    changes = documents.difference(first, second)
    assert documents.patch(first, changes).unwrap() == second


@pytest.mark.parametrize("changes", [b"", b"spoilt", documents.encode_objects({})])
def test_spoilt_changes_are_refused(changes):
    document = documents.encode_objects({"a": {}})
    assert isinstance(documents.patch(document, changes), Failure)


def test_a_small_change_of_a_large_document_is_small():
    objects = {f"u{number}": {"address": f"10.0.{number}.1"} for number in range(900)}
    before = documents.encode_objects(objects)
    after = documents.encode_objects(objects | {"u7": {"state": "draining"}})
    assert len(documents.difference(before, after)) < 100 < len(before) / 10
