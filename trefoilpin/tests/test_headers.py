"""Validation of requests, and removal of hop-by-hop headers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import headers
from trefoilpin.headers import read_retry_after
from trefoilpin.verdicts import Verdict

VALID_HEADERS = (("host", "a"),)


@pytest.mark.parametrize(
    "method, target, fields",
    [
        ("GET", "/a", (("content-length", "1"), ("transfer-encoding", "chunked"))),
        ("GET", "/a", (("content-length", "1"), ("content-length", "2"))),
        ("GET", "/a", (("content-length", "+1"),)),
        ("GET", "/a", (("content-length", "1_0"),)),
        ("GET", "/a", (("content-length", "²"),)),
        ("GET", "/a", (("transfer-encoding", "gzip, chunked"),)),
        ("GET", "/a", (("transfer-encoding", "chunked"),) * 2),
        ("GET", "/a", (("host", "a"), ("host", "b"))),
        ("GET", "/a", (("x", "1\r\n 2"),)),
        ("GET", "/a", (("x", "1\x00"),)),
        ("GET", "/a", (("x y", "1"),)),
        ("GET", "http://b/a", VALID_HEADERS),
        ("GET", "/a\x7f", VALID_HEADERS),
        ("GET", "/é", VALID_HEADERS),
        ("GET", "/open/../ponds", VALID_HEADERS),
        ("GET", "/open/%2e%2E/ponds", VALID_HEADERS),
        ("GET", "/open/..%2fponds", VALID_HEADERS),
        ("GET", "/open/..\\ponds", VALID_HEADERS),
        ("GET", "/open/%0d%0a", VALID_HEADERS),
        ("CONNECT", "/a", VALID_HEADERS),
        ("G,ET", "/a", VALID_HEADERS),
    ],
)
def test_ambiguous_requests_are_refused(method, target, fields):
    refusal = headers.find_fault(method, target, fields, ())
    assert refusal is not None
    assert refusal.verdict is Verdict.NOT_RUN


def test_valid_requests_are_accepted():
    fields = (("host", "a"), ("content-length", "3"), ("x", "a\tb é"))
    for target in ("/", "/a.b/..c?q=../%00", "/a%20b"):
        assert headers.find_fault("POST", target, fields, ()) is None
    assert headers.find_fault("GET", "/", VALID_HEADERS, ("a defect",)) is not None


TOKENS = st.sampled_from(("close", "x-a", "x-b", "keep-alive", "x-c"))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(TOKENS), st.lists(TOKENS))
def test_headers_named_by_connection_are_dropped(named, present):
    fields = [("connection", ", ".join(named).upper())]
    fields += [(name, "1") for name in present]
    kept = [name for name, _ in headers.drop_hop_by_hop(fields)]
    expected = [name for name in present if name not in named and name != "keep-alive"]
    assert kept == expected


@pytest.mark.parametrize(
    "value, seconds",
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 2.5 ", 2.5),
        ("Thu, 01 Jan 1970 00:01:40 GMT", 90.0),
        ("Thu, 01 Jan 1970 00:00:01 GMT", 0.0),
        ("-1", None),
        ("1e999", None),
        ("nan", None),
        ("9" * 5000, None),
        ("soon", None),
        ("", None),
    ],
)
def test_retry_after_is_a_number_or_a_date(value, seconds):
    assert read_retry_after(value, 10.0) == seconds
