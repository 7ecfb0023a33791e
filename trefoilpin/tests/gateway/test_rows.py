"""Rows, deltas between them and their digest."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.gateway.store import rows

ROWS = st.dictionaries(st.sampled_from("abcdef"), st.text(max_size=3))


@settings(derandomize=True, deadline=None)
@given(ROWS, ROWS)
def test_patching_with_the_diff_gives_the_other_rows_and_their_digest(before, after):
    delta = rows.diff(before, after)
    assert rows.patch(before, delta) == after
    digest = rows.digest_after(rows.digest(before), before, delta)
    assert digest == rows.digest(after)


def test_digest_depends_on_names_texts_and_their_pairing():
    tables = [{}, {"a": "b"}, {"a": "c"}, {"b": "a"}, {"a": "b", "b": "a"}]
    tables += [{"a": "a", "b": "b"}, {"ab": ""}, {"a": "b", "c": ""}]
    digests = {rows.digest(table) for table in tables}
    assert len(digests) == len(tables)
    assert all(0 <= digest < 1 << 63 for digest in digests)
