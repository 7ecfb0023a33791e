"""Rows, their changes and their digest."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.gateway import rows

ROWS = st.dictionaries(st.sampled_from("abcdef"), st.text(max_size=3))


@settings(derandomize=True)
@given(ROWS, ROWS)
def test_changes_turn_one_document_into_the_other_with_its_digest(before, after):
    changes = rows.diff(before, after)
    assert rows.patch(before, changes) == after
    digest = rows.digest_after(rows.digest(before), before, changes)
    assert digest == rows.digest(after)


def test_a_digest_tells_names_texts_and_places_apart():
    tables = [{}, {"a": "b"}, {"a": "c"}, {"b": "a"}, {"a": "b", "b": "a"}]
    tables += [{"a": "a", "b": "b"}, {"ab": ""}, {"a": "b", "c": ""}]
    digests = {rows.digest(table) for table in tables}
    assert len(digests) == len(tables)
    assert all(0 <= digest < 1 << 63 for digest in digests)
