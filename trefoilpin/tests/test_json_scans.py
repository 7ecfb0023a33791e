"""Extents of values in JSON text: as the decoder finds them, in bounded time."""

import json
import time
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import json_scans

TEXT_BYTES = 1_000_000
# No shape may take much longer than one of the slowest that are scanned in one go.
REFERENCE_UNIT = "[" * 9 + "]" * 9
MAX_TIMES_REFERENCE = 2.0
MAX_SCAN_BYTES = 4_000_000

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
BRACKET_TEXTS = st.text('[]{}",:\\ a', max_size=8)
VALUES = st.recursive(
    SCALARS | BRACKET_TEXTS,
    lambda children: st.lists(children, max_size=4)
    | st.dictionaries(BRACKET_TEXTS, children, max_size=4),
    max_leaves=40,
)
# Units that are opened, repeated and closed again, to any depth.
UNITS = st.tuples(
    st.sampled_from(["[", "[[],", '{"a":', '[{"b":[]},', '["]}",', "[ [1 , 2], "]),
    st.integers(1, 300),
    st.sampled_from(["1", '""', "[]", "{}", '"]["']),
    st.sampled_from(["", ",[]", ',{"c":1}', " "]),
)


def repeat_unit(unit):
    """Return the text of a value that nests a unit."""
    opener, depth, leaf, after = unit
    closer = "}" if opener.startswith('{"a"') else "]"
    after = "" if closer == "}" else after
    return opener * depth + leaf + (after + closer) * depth


@settings(derandomize=True, max_examples=200, deadline=None)
@given(VALUES, st.sampled_from([None, 1]), st.sampled_from([b"", b",1]", b"]}", b" "]))
def test_the_end_of_any_value_is_found(value, indent, rest):
    data = json.dumps(value, indent=indent).encode()
    assert json_scans.find_end(data + rest, 0) == len(data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(UNITS, min_size=1, max_size=4))
def test_the_ends_of_deep_values_in_a_list_are_found(units):
    texts = [repeat_unit(unit) for unit in units]
    data = f"[{', '.join(texts)}]".encode()
    extents, end = json_scans.cut_list(data, 0)
    assert [data[start:stop].decode() for start, stop in extents] == texts
    assert end == len(data) == json_scans.find_end(data, 0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.dictionaries(BRACKET_TEXTS, VALUES, max_size=4), st.sampled_from([None, 1]))
def test_the_entries_of_a_table_are_found(table, indent):
    data = json.dumps(table, indent=indent).encode()
    found = {}
    for key, start, end in json_scans.walk_table(data, 0):
        found[json.loads(key)] = data[start:end].decode().strip()
    expected = {key: json.dumps(value, indent=indent) for key, value in table.items()}
    assert set(found) == set(expected)
    for key, text in found.items():
        assert repr(json.loads(text)) == repr(table[key])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=60) | st.text('{}[]":,\\1a ', max_size=60))
def test_any_bytes_have_an_end_or_none(data):
    data = data if isinstance(data, bytes) else data.encode()
    for scan in (
        lambda: json_scans.find_end(data, 0),
        lambda: json_scans.cut_list(data, 0)[1],
        lambda: max((end for _, _, end in json_scans.walk_table(data, 0)), default=0),
    ):
        try:
            assert 0 <= scan() <= len(data)
        except ValueError:
            continue


@pytest.mark.parametrize(
    "text, count", [("1", 1), ("[]", 2), ('[1,{"a":[2,3]}]', 7), ('",[{,"', 1)]
)
def test_values_are_counted_up_to_a_limit(text, count):
    assert not json_scans.has_more_values(text.encode(), count)
    assert count == 1 or json_scans.has_more_values(text.encode(), count - 2)


def fill(unit_text):
    return f"[{','.join([unit_text] * (TEXT_BYTES // (len(unit_text) + 1)))}]"


def scan_seconds(data):
    """Return the processor time of a scan, the less of two."""
    seconds = []
    for _ in range(2):
        started = time.process_time()
        assert json_scans.find_end(data, 0) == len(data)
        seconds.append(time.process_time() - started)
    return min(seconds)


@pytest.mark.parametrize(
    "text",
    [
        fill("[]"),
        fill('""'),
        fill('{"a":1}'),
        fill("[" * 6 + "]" * 6),
        fill("[" * 70 + "]" * 70),
        fill("[[]," * 100 + "1" + "]" * 100),
        fill("[" * 100 + "1" + ",[]]" * 100),
        "[" * (TEXT_BYTES // 2) + "]" * (TEXT_BYTES // 2),
        "[[]," * (TEXT_BYTES // 5) + "1" + "]" * (TEXT_BYTES // 5),
        "[" * (TEXT_BYTES // 5) + "1" + ",[]]" * (TEXT_BYTES // 5),
        "[" * 4 + fill("[]")[:-1] + "," + "[" * 9 + "]" * 10 + "]" * 4,
        "[" * 70 + "1" + (",[]" * 5000 + "]") * 60 + ",[[[[[[[]]]]]]]" + "]" * 10,
        "[" * 100 + fill("[" * 60 + "1" + (",[]" * 80 + "]") * 60) + "]" * 100,
        "[" * 100 + fill("[" * 20 + "1" + (",[]" * 80 + "]") * 20) + "]" * 100,
        '"' + "\\\\" * (TEXT_BYTES // 2) + '"',
    ],
    ids=range(15),
)
def test_no_shape_takes_more_than_a_scan_of_the_text(text):
    """Guards against text of others that stops a host, or fills its memory."""
    data = text.encode()
    reference_seconds = scan_seconds(fill(REFERENCE_UNIT).encode())
    assert scan_seconds(data) < MAX_TIMES_REFERENCE * reference_seconds
    tracemalloc.start()
    json_scans.find_end(data, 0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < MAX_SCAN_BYTES
